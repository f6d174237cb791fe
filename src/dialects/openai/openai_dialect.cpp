#include "dialects/openai/openai_dialect.h"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "core/streams.h"
#include "http/event_stream.h"
#include "openai/body.h"

namespace ryeglade {
namespace {

using policy::Outcome;
using policy::Time;

constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxErrorBodyBytes = std::size_t{16} * 1024;
constexpr double kMaxRetryAfterSeconds = 3600;

// Returns whether the event's JSON reports an error: its outermost object has a member `error` that is not
// null, or its `object` is "error". Generated text cannot match, because quotes in it are escaped.
bool ReportsError(std::string_view data) {
  static constexpr std::string_view kName = "\"error\"";
  std::size_t at = data.find(kName);
  if (at == std::string_view::npos) return false;
  int depth = 0;
  bool in_string = false;
  std::string_view key;  // the last key of the outermost object that was read, with its quotes
  std::size_t string_start = 0;
  for (std::size_t i = 0; i < data.size(); ++i) {
    const char c = data[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c != '"') continue;
      in_string = false;
      if (depth != 1) continue;
      const std::string_view text = data.substr(string_start, i + 1 - string_start);
      std::size_t next = i + 1;
      while (next < data.size() && data[next] == ' ') ++next;
      const bool is_key = next < data.size() && data[next] == ':';
      if (!is_key && text == kName && key == "\"object\"") return true;
      if (!is_key) continue;
      key = text;
      if (text != kName) continue;
      for (++next; next < data.size() && data[next] == ' ';) ++next;
      return data.substr(next, 4) != "null";
    }
    if (c == '"') {
      in_string = true;
      string_start = i;
    }
    if (c == '{' || c == '[') ++depth;
    if (c == '}' || c == ']') --depth;
  }
  return false;
}

// Reads the response of a server with the OpenAI-style API.
class Reader : public ResponseReader {
 public:
  void OnHeader(const std::string& name, const std::string& value) override {
    if (strcasecmp(name.c_str(), "retry-after") == 0) retry_after_ = ReadRetryAfter(value);
    if (strcasecmp(name.c_str(), "retry-after-ms") == 0) retry_after_ = ReadRetryAfter(value) / 1000;
    if (strcasecmp(name.c_str(), "x-load-report") == 0) load_report_ = value;
  }

  void OnBody(std::string_view bytes) override {
    if (has_event_) return;
    error_body_.append(
        bytes.substr(0, kMaxErrorBodyBytes - std::min(kMaxErrorBodyBytes, error_body_.size())));
  }

  StreamStatus OnStream(std::string_view bytes) override {
    bool progress = false;
    const bool valid = events_.Feed(bytes, [&](const EventStream::Event& event) {
      if (!event.has_data) return true;
      if (event.type == "error" || ReportsError(event.data)) return false;
      progress = true;
      has_event_ = true;
      if (const auto cached = FindLastNumber(event.data, "\"cached_tokens\"")) {
        cached_tokens_ = std::isfinite(*cached) && *cached > 0 ? *cached : 0;
      }
      return true;
    });
    if (!valid) return StreamStatus::kInvalid;
    // A part of a long event counts as progress; a part of a comment does not.
    if (!events_.unfinished().empty() && events_.unfinished().front() != ':') progress = true;
    if (has_event_) error_body_ = {};
    return progress ? StreamStatus::kProgress : StreamStatus::kKeepAlive;
  }

  ResponseResult Result(int status, bool health_check) const override {
    if (health_check) return {HealthOutcome(status)};
    // A 503 may also come from an intermediary that lost its connection to the engine while the request was
    // running. It counts as a rejection only if it says when to retry.
    if (status == 429 || (status == 503 && retry_after_ > 0))
      return {Outcome::kAtCapacity, false, retry_after_};
    if (status == 400 || status == 404 || status == 413 || status == 422) return {Outcome::kError, true};
    return {Outcome::kError, false, retry_after_};
  }

  static Outcome HealthOutcome(int status) {
    if (status == 200) return Outcome::kServed;
    return status == 503 || status == 429 ? Outcome::kAtCapacity : Outcome::kError;
  }

  ResponseMetadata Metadata(bool) const override { return {cached_tokens_, load_report_}; }
  std::string error_body() const override { return error_body_; }
  std::size_t held_bytes() const override { return events_.unfinished().size() + error_body_.size(); }

 private:
  EventStream events_{kMaxEventBytes};
  bool has_event_ = false;  // an event that is no error has been received
  double cached_tokens_ = 0;
  Time retry_after_ = 0;  // from the headers, microseconds; 0 if there is none
  std::string load_report_;
  std::string error_body_;  // the start of the body; cleared once an event has been received
};

}  // namespace

Time ReadRetryAfter(const std::string& seconds) {
  double value = 0;
  const auto [end, error] = std::from_chars(seconds.data(), seconds.data() + seconds.size(), value);
  if (error != std::errc() || end != seconds.data() + seconds.size() || !(value > 0)) return 0;
  return static_cast<Time>(std::llround(std::min(value, kMaxRetryAfterSeconds) * 1e6));
}

void OpenAiDialect::Prepare(StreamRequest& request) const {
  if (request.prepared) return;
  const std::string text = request.body.Text();
  const openai::Endpoint endpoint = request.target.starts_with("/v1/completions")
                                        ? openai::Endpoint::kCompletions
                                        : openai::Endpoint::kChat;
  const openai::BodyResult read = openai::ReadBody(text, endpoint, false);
  if (!read.body) return;  // an invalid body is left to the replica to reject
  const std::string changed = openai::RewriteForReplica(text, read);
  request.body.Clear();
  request.body.Append(changed);
  request.content_type = "application/json";
}

std::string OpenAiDialect::RequestHead(const StreamRequest& request, const std::string& host, Time) const {
  return request.method + " " + request.target + " HTTP/1.1\r\nHost: " + host +
         "\r\nX-Request-Id: " + request.call_id + "\r\nAccept: text/event-stream" +
         (api_key_.empty() ? "" : "\r\nAuthorization: Bearer " + api_key_) +
         "\r\nContent-Type: " + (request.content_type.empty() ? "application/json" : request.content_type) +
         "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
}

std::string OpenAiDialect::HealthCheckHead(const std::string& host) const {
  return "GET /v1/models HTTP/1.1\r\nHost: " + host +
         (api_key_.empty() ? "" : "\r\nAuthorization: Bearer " + api_key_) + "\r\n\r\n";
}

std::unique_ptr<ResponseReader> OpenAiDialect::NewReader() const { return std::make_unique<Reader>(); }

}  // namespace ryeglade
