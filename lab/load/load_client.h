// Sends what is due over loopback and reads the answers, on kept and on fresh connections.
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

struct LoadTarget {
  std::string address;  // ip:port; only loopback is taken
  bool openai = true;   // which front it is
  std::string key = "lab";
  std::size_t most_connections = 2000;
  Time give_up = 60'000'000;  // after the request was due
};

class LoadClient : public TcpOwner {
 public:
  // Throws std::runtime_error for an address that is none, or not on loopback.
  LoadClient(const Runtime* run, const LoadPlan& plan, const LoadTarget& target);
  ~LoadClient() override;
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;
  void Start();                        // must end, or time out, before this goes
  void Halt() { due_.resize(next_); }  // nothing more is sent; what is out is waited for as before
  bool done() const { return ended_ == due_.size(); }
  std::size_t ended() const { return ended_; }
  std::size_t asked() const { return due_.size(); }
  const Tally& tally() const { return tally_; }
  std::size_t connections() const { return connected_; }  // opened in all

  void OnConnected(Handle link, int status) override;
  void OnRead(Handle link, std::string_view bytes) override;
  void OnDisconnected(Handle link) override;

 private:
  static constexpr std::size_t kNobody = SIZE_MAX;
  struct Link {
    Tcp* tcp = nullptr;
    http_parser parser{};
    LoadClient* client = nullptr;
    std::size_t due = kNobody;  // whose answer it waits for; kNobody: kept, idle
    Time idle_since = 0;
    bool connected = false;
    std::string request;
    Answer answer;
    int status = 0;
    bool sse_done = false, error = false, whole = false, retry_after = false, in_retry_after = false;
    EventStream events{std::size_t{1} << 20};
    DeadlineId give_up{};
  };

  void Next();
  void Send(std::size_t n);
  void Ask(Handle link, std::size_t n);
  void Finish(Handle link);  // its answer is judged; the connection is kept or closed
  void Drop(Handle link);
  static const http_parser_settings& Callbacks();

  const Runtime* run_;
  LoadPlan plan_;
  LoadTarget target_;
  sockaddr_storage to_{};
  std::vector<Due> due_;
  Tally tally_;
  SlotTable<Link> links_;
  std::vector<Handle> idle_;
  std::size_t next_ = 0, ended_ = 0, connected_ = 0;
  Time start_ = 0;
  DeadlineId wake_{};
};

}  // namespace ryeglade::load
