// Interface of a dialect, a protocol that upstream hosts speak: how a request is written, and what a response
// means. HTTP framing, connections and timeouts are handled by Upstream; a dialect does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "ryeglade/router.h"

namespace ryeglade {

struct StreamRequest;

// How a complete response that is no stream is classified.
struct ResponseResult {
  policy::Outcome outcome = policy::Outcome::kError;
  // The request itself is invalid: status and body go to the client, and it is not retried at another host.
  bool client_fault = false;
  policy::Time retry_after = 0;  // how long the host asks to wait, microseconds; 0 if it does not ask
};

// What a response contains besides its events.
struct ResponseMetadata {
  double cached_tokens = 0;  // prompt tokens that were found in the host's cache
  std::string load_report;   // "name=value,..."; empty if the response has no report
};

// Reads one response: its headers, then its body.
class ResponseReader {
 public:
  // State of a stream after some of its bytes were read.
  enum class StreamStatus : std::uint8_t {
    kKeepAlive,  // only padding that keeps the connection alive, no content
    kProgress,   // content was received
    kInvalid,    // not a valid stream, or no longer one: nothing more of it may be passed on
  };

  virtual ~ResponseReader() = default;
  virtual void OnHeader(const std::string& name, const std::string& value) = 0;
  // OnBody is called with the body bytes of every response as they arrive; for a stream, OnStream is then
  // called with the same bytes.
  virtual void OnBody(std::string_view bytes) = 0;
  virtual StreamStatus OnStream(std::string_view bytes) = 0;
  // Called once the response to a health check, or one with another status than 200, is complete. Whether a
  // stream is complete is decided by ClassifyStreamEnd for all dialects.
  virtual ResponseResult Result(int status, bool health_check) const = 0;
  // What has been read so far; may be called at any time.
  virtual ResponseMetadata Metadata(bool health_check) const = 0;
  // The body of an error response, for the client; it may be truncated. Empty if the dialect does not keep
  // it.
  virtual std::string error_body() const { return ""; }
  // How many bytes of the response the reader holds, but for a small constant number.
  virtual std::size_t held_bytes() const { return 0; }
};

// Returns the number after the last occurrence of `name`, 0 if no number follows it, and nullopt if the text
// does not contain `name`. Give `name` with its quotes: in generated text within the response quotes are
// escaped with backslashes, so such text does not match.
std::optional<double> FindLastNumber(std::string_view text, std::string_view name);

// One protocol. One object serves all requests.
class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual const char* name() const = 0;
  // Whether hosts send the head of a response together with its first event, so that a response whose head is
  // not followed by an event has failed.
  virtual bool SendsHeadWithFirstEvent() const = 0;
  // Called once for each request, before its first attempt.
  virtual void Prepare(StreamRequest& request) const = 0;
  // RequestHead and HealthCheckHead return the head of a request, including the empty line at its end.
  // `time_left` is the rest of the client's time budget, in microseconds.
  virtual std::string RequestHead(const StreamRequest& request, const std::string& host,
                                  policy::Time time_left) const = 0;
  virtual std::string HealthCheckHead(const std::string& host) const = 0;
  virtual std::unique_ptr<ResponseReader> NewReader() const = 0;
};

}  // namespace ryeglade
