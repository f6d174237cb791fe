// The links from one node to the replicas: each has a listener of its own, so that it is known which node
// calls, and passes bytes on to the replica. A link can be late, slow, silent, or reset what passes over it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/listener.h"
#include "base/runtime.h"
#include "base/slot_table.h"
#include "base/tcp.h"

namespace ryeglade::soak {

// What a connection over a link had seen when the replica took a request from it.
struct LinkRecord {
  Time up = 0;      // since when it passes bytes to the replica
  Time began = 0;   // the request's first byte came from the node
  Time closed = 0;  // the node closed it; 0: it has not
};

class LinkRelay : public TcpOwner {
 public:
  // The listeners are on kernel-chosen ports of 127.0.0.1.
  explicit LinkRelay(const Runtime* run) : run_(run) {}
  ~LinkRelay() override { Close(); }
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  // A link to a replica's ip:port; its own ip:port, by which the node knows the replica.
  std::string Add(const std::string& replica);
  void Close();

  // Connections that are being opened come up only once this ends (the caller's kernel tries again after 1
  // s).
  void SetLate(std::size_t link, bool late);
  // Bytes pass so much later, both ways, microseconds.
  void SetDelay(std::size_t link, Time delay) { links_[link]->delay = delay; }
  // As a machine that vanished: nothing passes, nothing comes up, nobody is told. Its return resets all that
  // was.
  void SetSilent(std::size_t link, bool silent);
  // The next so many requests are reset after their first bytes.
  void ResetNextRequests(std::size_t link, int requests) { links_[link]->requests_to_reset = requests; }
  void ResetAll(std::size_t link);
  // Answers come a second time, a few milliseconds after their last chunk.
  void SetRepeatAnswers(std::size_t link, bool repeat_answers) {
    links_[link]->repeat_answers = repeat_answers;
  }

  // The last connection over a link whose way to the replica comes from this port; null: there was none. A
  // port may be in use on several links at once.
  const LinkRecord* RecordOf(std::size_t link, int port) const;
  // Called when the node closes a connection.
  void OnClosed(std::function<void(std::size_t link, int port)> closed) { on_closed_ = std::move(closed); }

  void OnConnected(Handle side, int status) override;
  void OnRead(Handle side, std::string_view bytes) override;
  void OnDisconnected(Handle side) override;

 private:
  struct Link {
    sockaddr_storage replica{};
    std::unique_ptr<Listener> listener;
    Time delay = 0;
    bool late = false, silent = false, repeat_answers = false;
    int requests_to_reset = 0;
  };
  struct QueuedBytes {
    Time due = 0;  // at the other end
    std::string bytes;
  };
  struct Side {  // one end of a connection that passes through
    Tcp* tcp = nullptr;
    Handle other = 0;
    std::size_t link = 0;
    bool from_node = false, connected = false, ended = false, forward_scheduled = false;
    int port = 0;                    // of the way to the replica
    std::deque<QueuedBytes> queued;  // read here and not yet written at the other end
    std::string answer;              // that has passed, as far as it may have to be repeated
  };

  void Accept(std::size_t link);
  void Forward(Handle side);
  void ScheduleRepeat(Handle side, std::string_view bytes);
  void Drop(Handle side);

  const Runtime* run_;
  std::vector<std::unique_ptr<Link>> links_;
  SlotTable<Side> sides_;
  std::map<std::pair<std::size_t, int>, LinkRecord> records_;  // by link and port
  std::function<void(std::size_t, int)> on_closed_;
  bool closed_ = false;
};

}  // namespace ryeglade::soak
