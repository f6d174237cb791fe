// Translates a replica's stream of events into the response to a client of the API: a stream that is
// forwarded, or a complete response that is assembled from its chunks. Both observe usage and count text. No
// I/O.
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

// The bytes of a response's text that an event's JSON carries, in any field that streams it.
std::size_t TextBytes(std::string_view data);

// Puts the chunks of a stream together to the answer that `stream: false` asks for.
class ResponseAssembler {
 public:
  ResponseAssembler(openai::Endpoint endpoint, std::size_t max_bytes)
      : endpoint_(endpoint), max_bytes_(max_bytes) {}

  bool ReserveBytes(std::size_t bytes);  // counts what comes next; false: the response is too long
  bool AddEvent(std::string_view data);  // data of one event; false: it can't be parsed
  // The arguments replace what the replica did not give; `created` is Unix time in seconds.
  std::string CompleteResponse(const std::string& id, const std::string& model, std::int64_t created) const;
  std::size_t bytes() const { return bytes_; }

 private:
  bool AddChunk(const nlohmann::json& chunk);
  static void Merge(nlohmann::json& into, const nlohmann::json& piece);

  openai::Endpoint endpoint_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  nlohmann::json top_ = nlohmann::json::object();     // of the chunks, but for choices and usage
  nlohmann::json choice_ = nlohmann::json::object();  // but for the message or text
  nlohmann::json message_ = nlohmann::json::object();
  nlohmann::json usage_;
};

// Observes events for accounting, without changing them.
class ResponseObserver {
 public:
  // `usage_wanted`: the client asked for the usage chunk, so it is forwarded.
  explicit ResponseObserver(bool usage_wanted) : usage_wanted_(usage_wanted) {}

  // Appends to `out` what may be forwarded now: complete events, unchanged, without a usage chunk that nobody
  // asked for and without `[DONE]`, which is kept until the response is known to be complete. False: this
  // can't be forwarded.
  bool Feed(std::string_view bytes, std::string& out);
  // The same for a response that is assembled.
  bool Feed(std::string_view bytes, ResponseAssembler& assembler);
  // The `[DONE]` event, to be forwarded once the response is complete; empty: none came.
  const std::string& done_event() const { return done_event_; }

  // Bytes of an event that has not ended.
  std::size_t unfinished() const { return events_.unfinished().size(); }

  const ledger::ObservedResponse& seen() const { return seen_; }
  ledger::ObservedResponse& seen() { return seen_; }
  // The JSON that holds the usage object, and how often one came.
  const std::string& usage_text() const { return usage_times_ > 0 ? usage_ : running_usage_; }
  int usage_times() const { return usage_times_ > 0 ? usage_times_ : running_usage_.empty() ? 0 : 1; }

 private:
  bool Observe(const EventStream::Event& event);  // whether it is forwarded

  bool usage_wanted_;
  EventStream events_{std::size_t{512} * 1024};
  ledger::ObservedResponse seen_;
  std::string usage_, running_usage_;
  int usage_times_ = 0;
  std::string done_event_;
};

}  // namespace ryeglade
