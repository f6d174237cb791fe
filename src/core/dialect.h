// What a protocol that upstream hosts speak has to tell: how a request is written, and what a response means.
// HTTP's own framing, connections and timeouts are the upstream's; a dialect does no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "ryeglade/router.h"

namespace ryeglade {

struct StreamRequest;

// What a complete response comes to.
struct ResponseResult {
  policy::Outcome outcome = policy::Outcome::kError;
  bool client_fault = false;     // the request itself is wrong: status and body pass on, nobody else is asked
  policy::Time retry_after = 0;  // how long the host asks to be left alone, microseconds; 0: it doesn't
};

// What a response tells beside its events.
struct ResponseMetadata {
  double cached_tokens = 0;  // of the prompt, found in the host's cache
  std::string load_report;   // "name=value,..."; empty: none
};

// Reads one response, from its head on.
class ResponseReader {
 public:
  // What some bytes of a stream say of it.
  enum class StreamStatus : std::uint8_t {
    kKeepAlive,  // nothing of the stream's own: padding that keeps a connection alive
    kProgress,   // the stream goes on
    kInvalid,    // this can't be, or has ceased to be, a stream that may be passed on
  };

  virtual ~ResponseReader() = default;
  virtual void OnHeader(const std::string& name, const std::string& value) = 0;
  // Bytes of the body, as they come: of any response to OnBody, then of a stream to OnStream too.
  virtual void OnBody(std::string_view bytes) = 0;
  virtual StreamStatus OnStream(std::string_view bytes) = 0;
  virtual bool has_event() const = 0;  // a complete event has come
  // The response is complete. A response to a health check has no events.
  virtual ResponseResult Result(int status, bool health_check) const = 0;
  // May be asked at any time: what has been read so far.
  virtual ResponseMetadata Metadata(bool health_check) const = 0;
  virtual std::string error_body() const { return ""; }
};

// The number that follows `name` last in the text. Names that a response's own text contains are quoted there
// with backslashes, so they do not match. Absent: no such name; 0: no number behind it.
std::optional<double> FindLastNumber(std::string_view text, std::string_view name);

// One protocol; the same object for all requests.
class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual const char* name() const = 0;
  // Whether the head of a response arrives with its first event, so that one which does not go on is broken.
  virtual bool SendsHeadWithFirstEvent() const = 0;
  // Once for a request, before its first attempt.
  virtual void Prepare(StreamRequest& request) const = 0;
  // The heads, the empty line included. `time_left` is how long the client still waits.
  virtual std::string RequestHead(const StreamRequest& request, const std::string& host,
                                  policy::Time time_left) const = 0;
  virtual std::string HealthCheckHead(const std::string& host) const = 0;
  virtual std::unique_ptr<ResponseReader> NewReader() const = 0;
};

}  // namespace ryeglade
