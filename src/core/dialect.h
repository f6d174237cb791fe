// What a protocol that upstream hosts speak has to tell: how a request is written, and what an answer means.
// HTTP's own framing, connections and time-outs are the upstream's; a dialect does no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "ryeglade/router.h"

namespace ryeglade {

struct StreamRequest;

// What a whole answer comes to.
struct ResponseResult {
  policy::Outcome outcome = policy::Outcome::kError;
  bool client_fault = false;     // the request itself is wrong: status and body pass on, nobody else is asked
  policy::Time retry_after = 0;  // the host's own word for how long to stay away, microseconds; 0: none
};

// What an answer told beside its events.
struct ResponseMetadata {
  double kept_tokens = 0;   // of the prompt, found in the host's cache
  std::string load_report;  // "name=value,..."; empty: none
};

// Reads one answer, from its head on.
class ResponseReader {
 public:
  enum class Body : std::uint8_t {
    kIdle,    // nothing of the stream's own: padding that keeps a connection alive
    kEvents,  // the stream goes on
    kSpoilt,  // this can't be, or has ceased to be, a stream that may be passed on
  };

  virtual ~ResponseReader() = default;
  virtual void OnHeader(const std::string& name, const std::string& value) = 0;
  virtual void OnBytes(std::string_view body) = 0;   // of any answer, as they come
  virtual Body OnEvents(std::string_view body) = 0;  // of a stream, the same bytes as they come
  virtual bool opened() const = 0;                   // a whole event has come
  // The last chunk has come. `opened` as above; a probe has no events.
  virtual ResponseResult AtEnd(int status, bool probe) const = 0;
  virtual ResponseMetadata Notes(bool probe) const = 0;
  virtual std::string error_body() const { return ""; }
};

// The number that follows `name` last in the text. Names that an answer's own text holds are quoted there
// with backslashes, so they do not match. Absent: no such name; 0: no number behind it.
std::optional<double> NumberAfter(std::string_view text, std::string_view name);

class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual const char* name() const = 0;
  // Whether the head of an answer arrives with its first event, so that one which does not go on is broken.
  virtual bool HeadComesWithEvent() const = 0;
  // Once for a request, before its first attempt.
  virtual void Prepare(StreamRequest& request) const = 0;
  // The heads, the empty line included. `left` is how long the client still waits.
  virtual std::string RequestHead(const StreamRequest& request, const std::string& host,
                                  policy::Time left) const = 0;
  virtual std::string ProbeHead(const std::string& host) const = 0;
  virtual std::unique_ptr<ResponseReader> NewReader() const = 0;
};

}  // namespace ryeglade
