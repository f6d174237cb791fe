// The links from one node to the replicas. Each link has its own listener, which shows which node connects,
// and forwards bytes to its replica. A link can delay connections or bytes, stop passing bytes, reset
// connections, or repeat answers.
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

// The state of a connection over a link, which the replica's side looks up when it has received a request.
struct LinkRecord {
  Time up = 0;      // when the connection to the replica was established
  Time began = 0;   // when the node sent the first byte of the current request; 0 if none is being sent
  Time closed = 0;  // when the node closed the connection; 0 if it has not
};

class LinkRelay : public TcpOwner {
 public:
  // The listeners use ports of 127.0.0.1 that the kernel chooses.
  explicit LinkRelay(const Runtime* run) : run_(run) {}
  ~LinkRelay() override { Close(); }
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  // Adds a link to a replica's ip:port. Returns the link's own ip:port, which the node uses as the replica's
  // address. Throws std::runtime_error if the address is invalid.
  std::string Add(const std::string& replica);
  void Close();  // closes all listeners and connections

  // While `late` is set, new connections are not established; the kernel of the connecting side retries after
  // 1 s.
  void SetLate(std::size_t link, bool late);
  // Delays all bytes, in both directions, by this many microseconds.
  void SetDelay(std::size_t link, Time delay) { links_[link]->delay = delay; }
  // A silent link behaves like an unreachable machine: no bytes pass, no connection is established, and none
  // is closed. Ending the silence resets all connections of the link.
  void SetSilent(std::size_t link, bool silent);
  // Resets the connections of the next `requests` requests after their first bytes.
  void ResetNextRequests(std::size_t link, int requests) { links_[link]->requests_to_reset = requests; }
  void ResetAll(std::size_t link);  // resets all connections of the link, at the node's side
  // While set, each answer is sent a second time, a few milliseconds after its last chunk.
  void SetRepeatAnswers(std::size_t link, bool repeat_answers) {
    links_[link]->repeat_answers = repeat_answers;
  }

  // The latest connection over a link that reaches the replica from this port. Returns null if there was
  // none. Several links may use the same port at once.
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
    int requests_to_reset = 0;  // how many of the next requests are still to be reset
  };
  struct QueuedBytes {
    Time due = 0;  // when the bytes are to be written at the other end
    std::string bytes;
  };
  struct Side {  // one end of a forwarded connection
    Tcp* tcp = nullptr;
    Handle other = 0;
    std::size_t link = 0;
    bool from_node = false, connected = false, ended = false, forward_scheduled = false;
    int port = 0;                    // local port of the connection to the replica; 0 until it is established
    std::deque<QueuedBytes> queued;  // read at this end and not yet written at the other
    std::string answer;              // bytes of the answer so far, if it may have to be repeated
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
