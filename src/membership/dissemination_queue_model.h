// What a node has to tell, and how often each piece was told: one place a piece, newer words in the place of
// older ones on the same matter, bounded. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "membership/member_record_model.h"

namespace ryeglade::membership {

class NewsQueue {
 public:
  static constexpr std::size_t kMost = 512;    // pieces
  static constexpr std::size_t kAtATime = 48;  // looked at for one message
  // A record ends what is said in any number of ballots: where not all can be told, it goes out oftener.
  static constexpr int kRecordsOftener = 2;

  // `at` (microseconds): when a ballot was cast. A record takes away the ballots that it makes void. False:
  // another piece, the one told most, made room.
  bool Put(News news, Time at);

  // Hands over the least told pieces, of those the newest first, and counts what `fits` (const News& -> bool)
  // takes. One that has been taken `enough` times goes.
  template <typename Fits>
  void Tell(Time now, int enough, const Fits& fits) {
    const std::size_t n = Order();
    std::vector<std::size_t> spent;
    for (std::size_t i = 0; i < n; ++i) {
      const std::size_t at = order_[i].item;
      News& news = items_[at].news;
      if (news.kind == News::Kind::kBallot) news.age = std::clamp<Time>(now - items_[at].at, 0, kMostAge);
      if (fits(std::as_const(news)) && ++slots_[at].sent >= enough) spent.push_back(at);
    }
    std::sort(spent.begin(), spent.end(), std::greater<>());  // the last first: the others keep their places
    for (const std::size_t at : spent) Remove(at);
  }

  void Shift(Time span);  // this node was not running for so long
  void Clear();
  std::size_t size() const { return slots_.size(); }
  bool empty() const { return slots_.empty(); }

 private:
  // What is gone through for each message lies apart from the pieces themselves.
  struct Slot {
    std::uint64_t key = 0;
    std::uint64_t about = 0;  // the same for all pieces on one member
    std::uint64_t order = 0;  // rises with each Put
    int sent = 0;
  };
  struct Item {
    News news;
    Time at = 0;
  };
  struct Place {
    int told = 0;  // `sent`, weighted
    std::uint64_t order = 0;
    std::size_t item = 0;
  };
  std::size_t Order();  // of order_, how many from its beginning are sorted
  void Remove(std::size_t i);
  void Void(const Record& record, std::uint64_t about);

  std::vector<Slot> slots_;
  std::vector<Item> items_;  // slots_[i] is of items_[i]
  std::vector<Place> order_;
  std::uint64_t puts_ = 0;
};

}  // namespace ryeglade::membership
