// Sends the requests of a plan over loopback at their scheduled times and reads the answers, on reused and on
// new connections.
#pragma once

#include <http_parser.h>

#include <functional>
#include <string>
#include <vector>

#include "base/runtime.h"
#include "base/tcp.h"
#include "http/event_stream.h"
#include "lab/load/load_model.h"

namespace ryeglade::load {

// The node that the load is sent to.
struct LoadTarget {
  std::string address;      // ip:port; must be on loopback
  bool openai = true;       // the OpenAI-style front; false: the platform's
  std::string key = "lab";  // API key
  std::size_t max_connections = 2000;
  Time give_up = 60'000'000;  // microseconds after its scheduled time at which a request is given up
};

class LoadClient : public TcpOwner {
 public:
  // Throws std::runtime_error if the address is invalid or not on loopback.
  LoadClient(const Runtime* run, const LoadPlan& plan, const LoadTarget& target);
  ~LoadClient() override;
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;
  // Starts the run. done() must be true before the object is destroyed.
  void Start();
  // Sends no more requests. Those already sent are still waited for.
  void Halt() { schedule_.resize(next_); }
  bool done() const { return ended_ == schedule_.size(); }
  std::size_t ended() const { return ended_; }  // requests that have an outcome
  std::size_t scheduled() const { return schedule_.size(); }
  const Tally& tally() const { return tally_; }
  std::size_t connections() const { return opened_connections_; }  // opened in total

  void OnConnected(Handle connection, int status) override;
  void OnRead(Handle connection, std::string_view bytes) override;
  void OnDisconnected(Handle connection) override;

 private:
  static constexpr std::size_t kIdle = SIZE_MAX;
  struct Connection {
    Tcp* tcp = nullptr;
    http_parser parser{};
    LoadClient* client = nullptr;
    std::size_t request_index = kIdle;  // index in `schedule_`; kIdle: kept open without a request
    Time idle_since = 0;
    bool connected = false;
    std::string request_text;
    Response response;
    int status = 0;  // HTTP status; 0: no response yet
    bool stream_done = false, error = false, complete = false, retry_after = false, in_retry_after = false;
    EventStream events{std::size_t{1} << 20};
    DeadlineId give_up{};
  };

  void SendDue();
  void Send(std::size_t n);
  void SendRequest(Handle connection, std::size_t n);
  // Records the outcome of the connection's request, and keeps the connection or closes it.
  void Finish(Handle connection);
  void Drop(Handle connection);  // closes the connection
  static const http_parser_settings& Callbacks();

  const Runtime* run_;
  LoadPlan plan_;
  LoadTarget target_;
  sockaddr_storage to_{};
  std::vector<ScheduledRequest> schedule_;
  Tally tally_;
  SlotTable<Connection> connections_;
  std::vector<Handle> idle_;
  std::size_t next_ = 0, ended_ = 0, opened_connections_ = 0;
  Time start_ = 0;
  DeadlineId wake_{};
};

}  // namespace ryeglade::load
