// The front for the platform's protocol: its paths, headers, health check and statuses. It turns an HTTP
// request into a stream, and the stream's result into the HTTP response. What happens in between does not
// depend on the front.
#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/core.h"
#include "core/streams.h"
#include "fronts/platform/used_call_ids.h"
#include "http/downstream.h"

namespace ryeglade {

// At most one request per connection at a time, each with its own stream.
class PlatformFront : public Front, public StreamSink {
 public:
  PlatformFront(Core* core, Streams* streams) : core_(core), streams_(streams) {}
  void SetDownstream(Downstream* downstream) { downstream_ = downstream; }

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle connection) override;
  void OnBackpressure(Handle connection, bool congested) override;

  bool Connected(Handle connection) const override { return downstream_->Connected(connection); }
  bool MayHaveClosedUnseen(Handle connection) const override {
    return downstream_->MayHaveClosedUnseen(connection);
  }
  void OnData(Handle connection, std::string_view events) override;
  void OnComplete(Handle connection) override;
  void OnTruncated(Handle connection) override;
  void OnRejected(Handle connection, Time retry_after) override;
  void OnFailed(Handle connection, policy::Outcome last) override;
  void OnInvalidRequest(Handle connection, int status, const std::string& body) override;

  // For the other process of a hot restart: the ids that must not run there, and those of the other process.
  std::vector<std::string> CallIds() const;
  void AddUsedCallIds(const std::vector<std::string>& ids);

 private:
  // A request whose response is not complete.
  struct Request {
    Handle stream = 0;  // 0 if it is not open yet or has already been concluded
    std::string call_id;
    bool response_begun = false;  // the response head has been sent
    bool may_repeat = false;      // its class allows that it runs more than once
  };

  void ReplyHealth(Handle connection, const HttpRequest& request);
  void ReplyLocally(Handle connection, int status, const char* reason, const std::string& headers = "");
  // Fills `stream` from the request's headers. Returns nullptr, or the reason why they are invalid: the name
  // of the malformed header, or "repeated".
  const char* ReadHeaders(const HttpRequest& request, StreamRequest& stream) const;
  void Forget(Handle connection);
  void ForgetAfterRun(Handle connection);

  Core* core_;
  Streams* streams_;
  Downstream* downstream_ = nullptr;
  std::unordered_map<Handle, Request> requests_;  // open requests, by connection
  std::unordered_set<std::string> call_ids_;      // the ids of these requests
  UsedCallIds used_call_ids_;
};

}  // namespace ryeglade
