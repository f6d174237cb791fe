// The platform's protocol: its paths, headers, health and statuses. It turns an HTTP request into a stream
// and the stream's answer back; everything behind it is the same for any other front.
#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/core.h"
#include "core/streams.h"
#include "http/downstream.h"

namespace ryeglade {

class PlatformFront : public Front, public StreamSink {
 public:
  PlatformFront(Core* core, Streams* streams) : core_(core), streams_(streams) {}
  void Use(Downstream* downstream) { downstream_ = downstream; }

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnGone(Handle connection) override;
  void OnFlow(Handle connection, bool congested) override;

  bool Connected(Handle connection) const override { return downstream_->Connected(connection); }
  void OnData(Handle connection, std::string_view events) override;
  void OnComplete(Handle connection) override;
  void OnTruncated(Handle connection) override;
  void OnRejected(Handle connection, Time retry_after) override;
  void OnFailed(Handle connection, policy::Outcome last) override;
  void OnRequestRefused(Handle connection, int status, const std::string& body) override;

 private:
  struct Open {
    Handle stream = 0;
    std::string call_id;
    bool begun = false;
  };

  void Health(Handle connection, const HttpRequest& request);
  void Local(Handle connection, int status, const char* why, const std::string& headers = "");
  // Fills what the headers tell; the name of the header that is malformed, or null.
  const char* Read(const HttpRequest& request, StreamRequest& stream) const;
  void Forget(Handle connection);

  Core* core_;
  Streams* streams_;
  Downstream* downstream_ = nullptr;
  std::unordered_map<Handle, Open> open_;  // by connection
  std::unordered_set<std::string> ids_;    // of the streams open now
};

}  // namespace ryeglade
