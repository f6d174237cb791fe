// Translates a replica's stream of events into the response to a client of the API: either a stream that is
// forwarded, or a complete response that is assembled from the stream's chunks. In both cases the usage
// figures are recorded and the text is counted. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "http/event_stream.h"
#include "ledger/usage_model.h"
#include "openai/body.h"

namespace ryeglade {

// Returns the number of bytes of the response's text in an event's JSON, over all fields that may carry text.
// An escape sequence counts one byte less than it has.
std::size_t TextBytes(std::string_view data);

// Assembles the chunks of a stream into the complete response that a request with `stream: false` gets.
class ResponseAssembler {
 public:
  ResponseAssembler(openai::Endpoint endpoint, std::size_t max_bytes)
      : endpoint_(endpoint), max_bytes_(max_bytes) {}

  // Counts bytes that will be added. Returns false if the response is too long.
  bool ReserveBytes(std::size_t bytes);
  // Adds the data of one event. Returns false if it can't be parsed.
  bool AddEvent(std::string_view data);
  // The arguments are used for the fields that the replica did not send; `created` is the Unix time in
  // seconds.
  std::string CompleteResponse(const std::string& id, const std::string& model, std::int64_t created) const;
  std::size_t bytes() const { return bytes_; }

 private:
  bool AddChunk(const nlohmann::json& chunk);
  static void Merge(nlohmann::json& into, const nlohmann::json& piece);

  openai::Endpoint endpoint_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  nlohmann::json top_ = nlohmann::json::object();      // the top-level fields except choices and usage
  nlohmann::json choice_ = nlohmann::json::object();   // the fields of the choice except `delta`
  nlohmann::json message_ = nlohmann::json::object();  // the merged `delta` objects
  nlohmann::json usage_;                               // null if no usage object was received
};

// Inspects events for accounting and decides which of them are forwarded. Does not change them.
class ResponseObserver {
 public:
  // `usage_wanted` tells whether the client asked for the usage chunk; otherwise it is not forwarded.
  explicit ResponseObserver(bool usage_wanted) : usage_wanted_(usage_wanted) {}

  // Appends to `out` what may be forwarded now: complete events, unchanged, without a usage chunk that the
  // client did not ask for and without `[DONE]`, which is withheld until the response is known to be
  // complete. Returns false if the stream can't be forwarded.
  bool Feed(std::string_view bytes, std::string& out);
  // The same for a response that is assembled.
  bool Feed(std::string_view bytes, ResponseAssembler& assembler);
  // The `[DONE]` event, to be forwarded once the response is complete; empty if none was received.
  const std::string& done_event() const { return done_event_; }

  // Number of buffered bytes of the event that is not complete yet.
  std::size_t unfinished() const { return events_.unfinished().size(); }

  const ledger::ObservedResponse& seen() const { return seen_; }
  ledger::ObservedResponse& seen() { return seen_; }
  // The JSON that contains the final usage object, or the last running one if no final one was received.
  const std::string& usage_text() const { return usage_times_ > 0 ? usage_ : running_usage_; }
  // How many usage objects count as final; more than one is a fault.
  int usage_times() const { return usage_times_ > 0 ? usage_times_ : running_usage_.empty() ? 0 : 1; }

 private:
  bool Observe(const EventStream::Event& event);  // returns whether the event is forwarded

  bool usage_wanted_;
  EventStream events_{std::size_t{512} * 1024};  // maximum number of bytes of an event
  ledger::ObservedResponse seen_;
  std::string usage_;          // the last event with usage and without choices
  std::string running_usage_;  // the last event with both; replicas may send running totals
  int usage_times_ = 0;        // events with usage and without choices
  std::string done_event_;
};

}  // namespace ryeglade
