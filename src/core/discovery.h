// Client of service discovery: the watch, single polls, and the switch to another address. The decision
// module decides when to make a request and retries with growing delays after failures; here a request only
// succeeds or fails. The EndpointTable applies the lists.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/slot_table.h"
#include "base/tcp.h"
#include "core/core.h"
#include "core/endpoint_table.h"
#include "core/json_object_reader_model.h"
#include "http/message_parser.h"

namespace ryeglade {

// Has at most kMaxSockets connections, each for one request.
class Discovery : public TcpOwner, public EndpointDiscoveryPort {
 public:
  static constexpr std::size_t kMaxSockets = 4;
  explicit Discovery(Core* core) : core_(core), address_(core->config->discovery), endpoints_(core) {}

  EndpointTable& endpoints() { return endpoints_; }
  const EndpointTable& endpoints() const { return endpoints_; }
  bool ready() const override { return !endpoints_.listed().empty(); }

  // Applies the list that the node knew last, which may be outdated or invalid. Must be called before any
  // other list is applied.
  void LoadCachedList(const std::string& list);
  // Applies a list that another process of this node was told by the same discovery, if it is newer.
  void AdoptList(const std::string& list);
  void Watch(bool enabled) override;
  void Poll() override;
  // Opens the watch, and opens it again shortly after it ends, for as long as the node runs. For the mode in
  // which discovery pushes lists: the decision module asks for none then.
  void KeepWatching();
  // `callback` is called once, when the first list has arrived from discovery or the first request for one
  // has failed.
  void OnFirstResult(std::function<void()> callback) { on_first_result_ = std::move(callback); }

  // Switches to another address. The watch at the old address is kept until the new one has sent a complete
  // list, because generations of the two cannot be compared.
  void SwitchAddress(const std::string& address);
  const std::string& address() const { return address_; }
  void Close();  // closes all requests; their failure is not reported

  // Called by the sockets.
  void OnConnected(Handle request, int status) override;
  void OnRead(Handle request, std::string_view bytes) override;
  void OnDisconnected(Handle request) override;

 private:
  // What a request is for.
  enum class RequestKind : std::uint8_t {
    kWatch,
    kPoll,
    kSwitchPoll,  // fetches the complete list with which a watch at a new address starts
  };
  // A request to discovery, from opening its connection to the end of its response.
  struct Request : private MessageReceiver {
    Request(BufferPool* pool, std::size_t max_list_bytes)
        : parser(HTTP_RESPONSE, max_list_bytes), max_bytes(max_list_bytes), memory(pool) {}
    // Parses the bytes of one read. Returns false if they are no response, or one that is too long.
    bool Parse(std::string_view bytes);
    bool OnHead(const http_parser& head, BodyFraming framing) override;
    bool OnBody(std::string_view part) override;

    RequestKind kind = RequestKind::kPoll;
    Tcp* tcp = nullptr;
    MessageParser parser;
    bool list_received = false;  // for a watch: it has sent a list
    bool complete = false;       // the response has ended
    int status = 0;              // 0 until the response head is complete
    std::string body;            // received and not processed yet
    std::size_t max_bytes;       // of a list
    MemoryReservation memory;    // for `body` and `objects`
    JsonObjectReader objects;    // for a watch: splits the body into objects
    DeadlineId deadline;         // when the request fails unless more arrives
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

  Core* core_;
  std::string address_;  // "ip:port"
  EndpointTable endpoints_;
  SlotTable<Request> requests_;
  bool cached_list_loaded_ = false;
  bool address_is_new_ = false;  // the current address has not sent a complete list yet
  // Handles of requests; 0 if there is no such request.
  Handle watch_ = 0;
  Handle switch_poll_ = 0;
  Handle previous_watch_ = 0;  // the watch at the old address during a switch
  DeadlineId switch_retry_;
  bool keep_watching_ = false;  // KeepWatching was called: a watch that ends is opened again here
  DeadlineId watch_retry_;
  std::function<void()> on_first_result_;
};

}  // namespace ryeglade
