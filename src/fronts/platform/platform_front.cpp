#include "fronts/platform/platform_front.h"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <string_view>
#include <utility>
#include <vector>

#include "base/log.h"
#include "http/end_to_end_fields_model.h"

namespace ryeglade {
namespace {

constexpr const char* kCompletionsPath = "/v1/chat/completions";
constexpr const char* kHealthPath = "/_health";
constexpr double kMaxBudgetSeconds = 3600;
constexpr double kBytesPerToken = 4;  // to estimate the prompt of a request without prompt_len

// Names of the header fields that this front reads, or whose value the node writes itself.
const std::vector<std::string_view>& FieldsReadHere() {
  static const std::vector<std::string_view> names = {"x-call-id", "x-call-class", "x-route-hash",
                                                      "x-budget",  "x-call-info",  "x-call-cost",
                                                      "x-again",   "content-type"};
  return names;
}

bool ParseHex(std::string_view text, std::uint64_t* value) {
  if (text.empty() || text.size() > 16) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value, 16);
  return error == std::errc() && end == text.data() + text.size();
}

// Returns the value of a hexadecimal number of up to 16 digits, and a hash of any other text.
std::uint64_t KeyOf(std::string_view text) {
  std::uint64_t value = 0;
  if (ParseHex(text, &value)) return value;
  value = 14695981039346656037ULL;  // FNV-1a
  for (const char c : text) value = (value ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return value;
}

// Sets `*value`. Returns false if the text is not a number from 0 to `max`.
bool ParseAmount(std::string_view text, double max, double* value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size() && *value >= 0 && *value <= max;
}

}  // namespace

void PlatformFront::OnRequest(Handle connection, HttpRequest request) {
  const std::string_view path = request.Path();
  if (path == kHealthPath) return ReplyHealth(connection, request);
  if (path != kCompletionsPath) return ReplyLocally(connection, 404, "path");
  if (request.method != "POST") return ReplyLocally(connection, 405, "method", "Allow: POST\r\n");
  if (!request.http11) return ReplyLocally(connection, 505, "version");

  StreamRequest stream{{}, {}, {}, {}, BufferChain(core_->buffers), {}, 0};
  if (const char* malformed = ReadHeaders(request, stream)) {
    // Closes the connection, as it is not certain how a malformed request is to be understood. An unknown
    // class leaves no such doubt.
    if (std::string_view(malformed) != "X-Call-Class") downstream_->CloseAfterResponse(connection);
    return ReplyLocally(connection, 400, malformed);
  }
  // Two streams with the same id could send two attempts of one call at the same time.
  if (call_ids_.contains(stream.call_id)) return ReplyLocally(connection, 409, "open-id");
  if (used_call_ids_.Contains(stream.call_id)) return ReplyLocally(connection, 409, "used-id");
  if (!core_->buffers->MakeHeadroom()) return ReplyLocally(connection, 503, "memory", "Retry-After: 1\r\n");
  stream.method = request.method;
  stream.target = request.target;
  if (const std::string* type = request.Header("content-type")) stream.content_type = *type;
  stream.body = std::move(request.body);
  // Replicas of guarded classes recognize retries by a header that the client sends. Its name is not
  // specified, so all end-to-end headers are forwarded.
  stream.forwarded_headers = FieldLines(EndToEndFields(request.headers, FieldsReadHere()));
  stream.head_memory = std::move(request.head_memory);
  stream.received_at = request.first_byte;
  stream.resumable = core_->config->settings.can_migrate_streams;
  call_ids_.insert(stream.call_id);
  const auto class_index = static_cast<std::size_t>(stream.arrival.class_index);
  const policy::Idempotency idempotency = core_->config->settings.classes[class_index].idempotency;
  requests_[connection] = {0, stream.call_id, false, idempotency == policy::Idempotency::kIdempotent};
  const Handle handle = streams_->Open(std::move(stream), this, connection);
  // The request may have been answered already, and the connection may serve its next request by now.
  if (streams_->Find(handle) != nullptr) requests_[connection].stream = handle;
}

const char* PlatformFront::ReadHeaders(const HttpRequest& request, StreamRequest& stream) const {
  policy::RequestArrived& arrival = stream.arrival;
  const auto text = [&](const char* name) -> std::string_view {
    const std::string* value = request.Header(name);
    return value == nullptr ? std::string_view() : std::string_view(*value);
  };
  // A repeated header is ambiguous: the replica might use a different one of the values than this node.
  for (std::size_t n = 0; n < request.headers.size(); ++n) {
    const std::string& name = request.headers[n].first;
    if (name.size() < 2 || strncasecmp(name.c_str(), "x-", 2) != 0) continue;
    for (std::size_t k = 0; k < n; ++k) {
      if (strcasecmp(request.headers[k].first.c_str(), name.c_str()) == 0) return "repeated";
    }
  }
  std::uint64_t id = 0;
  if (!ParseHex(text("x-call-id"), &id)) return "X-Call-Id";
  stream.call_id = text("x-call-id");

  arrival.class_index = core_->config->ClassIndex(text("x-call-class"));
  if (arrival.class_index < 0 || text("x-call-class").empty()) return "X-Call-Class";

  double budget = 0;
  if (!ParseAmount(text("x-budget"), kMaxBudgetSeconds, &budget)) return "X-Budget";
  arrival.time_budget = static_cast<Time>(std::llround(budget * 1e6));

  if (!text("x-route-hash").empty()) arrival.session = KeyOf(text("x-route-hash"));
  arrival.prompt_tokens = static_cast<double>(request.body.size()) / kBytesPerToken;
  std::string_view info = text("x-call-info");
  while (!info.empty()) {
    std::string_view item = info.substr(0, info.find(','));
    info.remove_prefix(std::min(item.size() + 1, info.size()));
    while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
    const std::size_t eq = item.find('=');
    if (eq == std::string_view::npos) return "X-Call-Info";
    const std::string_view key = item.substr(0, eq);
    const std::string_view value = item.substr(eq + 1);
    bool valid = true;
    if (key == "prefix") arrival.prefix = KeyOf(value);
    if (key == "prompt_len") valid = ParseAmount(value, 1e9, &arrival.prompt_tokens);
    if (key == "prefix_len") valid = ParseAmount(value, 1e9, &arrival.prefix_tokens);
    if (key == "max_out") valid = ParseAmount(value, 1e9, &arrival.max_answer_tokens);
    if (!valid) return "X-Call-Info";
  }
  double cost = 0;
  if (!text("x-call-cost").empty() && !ParseAmount(text("x-call-cost"), 1e12, &cost)) return "X-Call-Cost";
  arrival.cost_hint = static_cast<Time>(cost);
  arrival.client_retry = text("x-again") == "1";
  arrival.resumed = text("x-again") == "again";
  return nullptr;
}

void PlatformFront::ReplyHealth(Handle connection, const HttpRequest& request) {
  if (request.method != "GET") return ReplyLocally(connection, 405, "method", "Allow: GET\r\n");
  const bool healthy = !downstream_->draining() && core_->discovery->ready();
  downstream_->Reply(connection, healthy ? 200 : 503, "Content-Type: text/plain\r\n",
                     healthy ? "ok\n" : "not ready\n");
}

void PlatformFront::ReplyLocally(Handle connection, int status, const char* reason,
                                 const std::string& headers) {
  Log(Level::kWarn, "local-reply", {{"status", status}, {"why", reason}});
  downstream_->Reply(connection, status, headers + "Content-Type: text/plain\r\n",
                     std::string(reason) + "\n");
}

void PlatformFront::Forget(Handle connection) {
  const auto it = requests_.find(connection);
  if (it == requests_.end()) return;
  call_ids_.erase(it->second.call_id);
  requests_.erase(it);
}

// For a request of which an attempt may have run.
void PlatformFront::ForgetAfterRun(Handle connection) {
  const auto it = requests_.find(connection);
  if (it != requests_.end() && !it->second.may_repeat) used_call_ids_.Add(it->second.call_id);
  Forget(connection);
}

std::vector<std::string> PlatformFront::CallIds() const {
  std::vector<std::string> ids = used_call_ids_.InOrder();
  ids.insert(ids.end(), call_ids_.begin(), call_ids_.end());
  return ids;
}

void PlatformFront::AddUsedCallIds(const std::vector<std::string>& ids) {
  for (const std::string& id : ids) used_call_ids_.Add(id);
}

void PlatformFront::OnClientDisconnected(Handle connection) {
  const auto it = requests_.find(connection);
  if (it == requests_.end()) return;
  const Handle handle = it->second.stream;
  const Stream* stream = streams_->Find(handle);
  if (stream != nullptr && stream->attempts_written > 0) {
    ForgetAfterRun(connection);
  } else {
    Forget(connection);
  }
  streams_->OnClientDisconnected(handle);
}

void PlatformFront::OnBackpressure(Handle connection, bool congested) {
  const auto it = requests_.find(connection);
  if (it != requests_.end()) streams_->SetPaused(it->second.stream, congested);
}

void PlatformFront::OnData(Handle connection, std::string_view events) {
  const auto it = requests_.find(connection);
  if (it == requests_.end()) return;
  if (!std::exchange(it->second.response_begun, true)) {
    downstream_->BeginChunks(connection, "Content-Type: text/event-stream\r\nCache-Control: no-cache\r\n");
  }
  downstream_->Chunk(connection, events);
}

void PlatformFront::OnComplete(Handle connection) {
  ForgetAfterRun(connection);
  downstream_->EndChunks(connection);
}

void PlatformFront::OnTruncated(Handle connection) {
  ForgetAfterRun(connection);
  downstream_->Abort(connection);
}

void PlatformFront::OnRejected(Handle connection, Time retry_after) {
  const auto it = requests_.find(connection);
  if (it == requests_.end()) return;
  Log(Level::kWarn, "local-reply", {{"status", 503}, {"why", "refused"}, {"id", it->second.call_id}});
  Forget(connection);
  char after[48] = "";
  if (retry_after > 0) {
    std::snprintf(after, sizeof after, "Retry-After: %.3f\r\n", static_cast<double>(retry_after) / 1e6);
  }
  downstream_->Reply(connection, 503, after, "");
}

void PlatformFront::OnFailed(Handle connection, policy::Outcome) {
  const auto it = requests_.find(connection);
  if (it == requests_.end()) return;
  Log(Level::kWarn, "local-reply", {{"status", 502}, {"why", "failed"}, {"id", it->second.call_id}});
  ForgetAfterRun(connection);
  downstream_->Reply(connection, 502, "", "");
}

void PlatformFront::OnInvalidRequest(Handle connection, int status, const std::string& body) {
  Log(Level::kWarn, "local-reply", {{"status", status}, {"why", "rejected"}});
  Forget(connection);
  downstream_->Reply(connection, status, "Content-Type: application/json\r\n", body);
}

}  // namespace ryeglade
