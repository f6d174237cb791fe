// The client of service discovery: the watch, single polls, and the change to another address. The decision
// module says when to ask, and asks again later each time after a failure; a request here only ever succeeds
// or fails. What comes is applied by the EndpointTable.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/slot_table.h"
#include "base/tcp.h"
#include "core/core.h"
#include "core/endpoint_table.h"
#include "core/json_object_reader_model.h"

namespace ryeglade {

// At most kMaxSockets connections, each for one request.
class Discovery : public TcpOwner, public EndpointDiscoveryPort {
 public:
  static constexpr std::size_t kMaxSockets = 4;
  explicit Discovery(Core* core) : core_(core), address_(core->config->discovery), endpoints_(core) {}

  EndpointTable& endpoints() { return endpoints_; }
  const EndpointTable& endpoints() const { return endpoints_; }
  bool ready() const override { return !endpoints_.listed().empty(); }

  // The list as the node last had it; it may be old, or no list at all. Comes before any other.
  void LoadCachedList(const std::string& list);
  void Watch(bool enabled) override;
  void Poll() override;
  // Where lists are pushed the decision module asks for none: the watch is opened here, and opened again soon
  // whenever it ends, for as long as the node runs.
  void KeepWatching();
  // Called once, when a first list has come from discovery or the first request for one has failed.
  void OnFirstResult(std::function<void()> callback) { on_first_result_ = std::move(callback); }

  // Another address from here on. The watch at the old one is kept until the new one has given a complete
  // list: versions of the one say nothing about versions of the other.
  void SwitchAddress(const std::string& address);
  const std::string& address() const { return address_; }
  void Close();

  // From the sockets.
  void OnConnected(Handle request, int status) override;
  void OnRead(Handle request, std::string_view bytes) override;
  void OnDisconnected(Handle request) override;

 private:
  // What a request asks for.
  enum class RequestKind : std::uint8_t {
    kWatch,
    kPoll,
    kSwitchPoll,  // for the complete list that a watch at a new address starts from
  };
  // A request to discovery, from its connection on to the end of its response.
  struct Request {
    RequestKind kind = RequestKind::kPoll;
    Tcp* tcp = nullptr;
    http_parser parser{};
    bool list_received = false;  // of a watch
    bool complete = false;       // the end of the response has come
    int status = 0;              // 0: no complete head yet
    std::string body;            // what has not been used yet
    JsonObjectReader objects;    // of a watch
    DeadlineId deadline;
  };

  void StartRequest(RequestKind kind);
  void StartSwitch();
  void SetTimeout(Handle request, Time timeout);
  void Close(Handle request);
  void Fail(Handle request, const char* reason);
  void RetrySwitch();
  void RetryWatch();
  void ReadWatch(Handle request);
  void ReadList(Handle request);
  bool ApplyWatchEvent(Handle request, std::string_view object);
  void ReportFailure(const char* source, const char* reason);
  void NotifyFirstResult();
  static const http_parser_settings& Callbacks();

  Core* core_;
  std::string address_;
  EndpointTable endpoints_;
  SlotTable<Request> requests_;
  bool cached_list_loaded_ = false;
  bool address_is_new_ = false;  // no complete list from it has come yet
  Handle watch_ = 0;
  Handle switch_poll_ = 0;
  Handle previous_watch_ = 0;  // at the address that is being left
  DeadlineId switch_retry_;
  bool keep_watching_ = false;
  DeadlineId watch_retry_;
  std::function<void()> on_first_result_;
};

}  // namespace ryeglade
