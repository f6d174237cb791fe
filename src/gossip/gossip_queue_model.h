// Which nodes' words travel next. Each node passes on the newest word of every other a few times, on whatever
// message leaves it, so that words get round where links are cut, at a cost that does not grow with the tier.
// No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gossip/gossip_message_codec.h"

namespace ryeglade::gossip {

class GossipModel {
 public:
  static constexpr int kSends = 3;     // of each word by each node that has it
  static constexpr int kOwnSends = 6;  // and by the node that said it
  static constexpr std::size_t kMostNodes = 4096;

  // The newest word of its node: it takes the place of the one before.
  void Put(Time now, Telling telling, bool own);
  void Forget(const std::string& node) { words_.erase(node); }
  // Words, encoded, that fit into `room` bytes with `overhead` bytes for each: those sent least first, the
  // newest of them first. Each counts as sent.
  std::vector<std::string> Fill(Time now, std::size_t room, std::size_t overhead);
  bool waiting() const { return left_ > 0; }  // something is to be sent yet
  std::size_t size() const { return words_.size(); }

 private:
  struct Entry {
    Telling telling;
    Time at = 0;
    int left = 0;  // sends
    int sent = 0;
    std::uint64_t order = 0;
  };
  std::map<std::string, Entry> words_;
  std::size_t left_ = 0;  // of all entries
  std::uint64_t orders_ = 0;
};

}  // namespace ryeglade::gossip
