#include "fronts/openai/openai_front.h"

#include <fmt/format.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "fronts/openai/metrics.h"
#include "fronts/openai/rate_limit_response.h"
#include "openai/strict_json.h"
#include "settings/toml_reader.h"

namespace ryeglade {
namespace {

using ledger::Outcome;

constexpr const char* kChatPath = "/v1/chat/completions";
constexpr const char* kCompletionsPath = "/v1/completions";
constexpr const char* kModelsPath = "/v1/models";
constexpr std::string_view kModelPrefix = "/v1/models/";
constexpr Time kSecond = 1'000'000;                 // microseconds
constexpr Time kRetryAfterTruncated = 1 * kSecond;  // sent to a client whose response broke off
// The least number of tokens to reserve at once for an output that exceeds its reservation.
constexpr double kMinExtraTokens = 64;
constexpr const char* kJsonType = "Content-Type: application/json\r\n";

// Returns the header's value if it is a positive number below 1e9; otherwise, or if there is none, 0.
double NumberInHeader(const HttpRequest& request, std::string_view name) {
  const std::string* text = request.Header(name);
  if (text == nullptr) return 0;
  double value = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  const bool is_number = error == std::errc() && end == text->data() + text->size();
  return is_number && value > 0 && value < 1e9 ? value : 0;
}

std::string RequestIdHeader(const std::string& id) { return "x-request-id: req_" + id + "\r\n"; }

std::string ModelJson(const ModelSettings& model) {
  return fmt::format("{{\"id\":{},\"object\":\"model\",\"created\":{},\"owned_by\":{}}}",
                     openai::QuoteJson(model.id), model.created, openai::QuoteJson(model.owned_by));
}

ApiError UnknownModel(const std::string& id) {
  return {404,
          "invalid_request_error",
          "model_not_found",
          fmt::format("The model '{}' does not exist.", id.substr(0, 100)),
          "model",
          0};
}

// Returns the name under which replicas know the model, or an empty string if it is the same.
std::string ReplicaModelName(const ModelSettings& model) {
  return model.upstream == model.id ? "" : model.upstream;
}

}  // namespace

OpenAiFront::OpenAiFront(Core* core, Streams* streams, const OpenAiSettings* settings, keys::Keyring keyring)
    : core_(core),
      streams_(streams),
      settings_(settings),
      keyring_(std::move(keyring)),
      id_seed_(core->config->seed) {
  anonymous_key_.id = "-";
  for (const std::string& network : settings_->metrics_networks) metrics_networks_.Add(network);
  std::uint64_t random_bits = 0;  // makes the request ids differ from those of the process before a restart
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&random_bits), sizeof random_bits) == 1)
    id_seed_ ^= random_bits;
}

keys::Keyring OpenAiFront::LoadKeys() const {
  return settings_->keys_file.empty() ? keyring_ : keys::Keyring::Load(settings_->keys_file);
}

void OpenAiFront::UseKeys(keys::Keyring loaded) {
  if (settings_->keys_file.empty()) return;
  std::vector<Handle> revoked;
  for (const auto& [connection, open] : open_requests_) {
    if (loaded.Find(open.key) == nullptr) revoked.push_back(connection);
  }
  for (const std::string& id : keyring_.ids()) {
    if (loaded.Find(id) == nullptr) limiter_.Forget(id);
  }
  keyring_ = std::move(loaded);
  Log(Level::kInfo, "keys-reloaded", {{"keys", keyring_.size()}, {"ended", revoked.size()}});
  for (const Handle connection : revoked) {
    Abort(connection, {401, "authentication_error", "key_revoked", "Your key has been revoked.", "", 0},
          Outcome::kTerminated);
  }
}

std::string OpenAiFront::NewRequestId() {
  const std::uint64_t n = ++ids_;
  return fmt::format("{:016x}", XXH3_64bits_withSeed(&n, sizeof n, id_seed_));
}

// ---- Responses by this node ----

void OpenAiFront::FormatError(int status, std::string& headers, std::string& body) {
  const ApiError error = ErrorForStatus(status);
  headers = RequestIdHeader(NewRequestId()) + kJsonType + RetryHeaders(error.retry_after);
  body = ErrorJson(error);
  ledger_.CountRejection(error.code);
}

void OpenAiFront::ReplyError(Handle connection, const ApiError& error, const std::string& headers) {
  const bool has_id = headers.find("x-request-id") != std::string::npos;
  const std::string id = has_id ? "" : RequestIdHeader(NewRequestId());
  Log(Level::kWarn, "local-reply", {{"status", error.status}, {"why", error.code}});
  downstream_->Reply(connection, error.status, id + headers + kJsonType + RetryHeaders(error.retry_after),
                     ErrorJson(error));
}

void OpenAiFront::Reject(Handle connection, const ApiError& error, const std::string& headers) {
  ledger_.CountRejection(error.code);
  ReplyError(connection, error, headers);
}

// Nothing else removes a request from `open_requests_`, so that each is settled exactly once.
OpenAiFront::OpenRequest OpenAiFront::Settle(Handle connection, Outcome outcome) {
  const auto it = open_requests_.find(connection);
  OpenRequest open = std::move(it->second);
  open_requests_.erase(it);
  assembled_bytes_ -= std::min(assembled_bytes_, open.assembler.bytes());
  unfinished_bytes_ -= std::min(unfinished_bytes_, open.observer.unfinished());
  const ledger::ObservedResponse& seen = open.observer.seen();
  const int usage_times = open.observer.usage_times();
  const bool ran = outcome == Outcome::kServed || seen.text_events > 0 || usage_times > 0;
  ledger::Usage used;
  bool reported = false;
  const ledger::UsageFault* fault = nullptr;
  ledger::UsageResult result;
  if (ran) {
    result = ledger::CheckUsage(open.observer.usage_text(), usage_times, seen);
    reported = result.usage.has_value();
    used = reported ? *result.usage : token_sizes_.Estimate(open.model, seen);
    // A response that broke off may lack usage figures without a fault; if it has some, they are checked.
    if (!reported && (outcome == Outcome::kServed || usage_times > 0)) fault = &result.fault;
    if (reported) token_sizes_.Learn(open.model, seen.prompt_bytes, used.prompt);
  }
  ledger_.RecordOutcome(open.key, open.model, outcome, used, reported, fault);
  const bool forwarded = outcome != Outcome::kRejectedByNode;
  limiter_.Settle(Now(), open.key, open.limits, open.reserved_tokens, used.prompt + used.output, forwarded);
  return open;
}

// The client always gets one unambiguous end: an error response if nothing has been forwarded, otherwise an
// error event without a [DONE].
void OpenAiFront::Abort(Handle connection, const ApiError& error, Outcome outcome) {
  const auto it = open_requests_.find(connection);
  if (it == open_requests_.end()) return;
  const bool safe_to_retry = core_->retry_safety->IsSafeToRetry(it->second.stream);
  const OpenRequest open = Settle(connection, outcome);
  streams_->OnClientDisconnected(open.stream);
  if (!open.response_begun) {
    if (safe_to_retry) return ReplyError(connection, error, open.response_headers);
    return ReplyError(connection, WithoutRetry(error), open.response_headers + kNoRetryHeader);
  }
  Log(Level::kWarn, "stream-ended", {{"why", error.code}, {"id", open.request_id}});
  downstream_->Chunk(connection, "event: error\ndata: " + ErrorJson(error) + "\n\n");
  downstream_->EndTruncated(connection);
}

// ---- Requests ----

void OpenAiFront::OnRequest(Handle connection, HttpRequest request) {
  const std::string_view path = request.Path();
  if (path == "/health" || path == "/metrics") {
    if (request.method != "GET") return ReplyError(connection, ErrorForStatus(405), "Allow: GET\r\n");
    return path == "/metrics" ? ServeMetrics(connection) : ServeHealth(connection);
  }
  const bool chat = path == kChatPath;
  const bool models = path == kModelsPath || path.starts_with(kModelPrefix);
  if (!chat && !models && path != kCompletionsPath) {
    return Reject(connection, {404, "invalid_request_error", "unknown_url",
                               fmt::format("Unknown request URL: {} {}.", request.method, path), "", 0});
  }
  if (request.method != (models ? "GET" : "POST")) {
    ledger_.CountRejection("method_not_allowed");
    return ReplyError(connection, ErrorForStatus(405), models ? "Allow: GET\r\n" : "Allow: POST\r\n");
  }
  if (models) return ServeModels(connection, request, path);
  ServeCompletion(connection, request, chat ? openai::Endpoint::kChat : openai::Endpoint::kCompletions);
}

void OpenAiFront::ServeHealth(Handle connection) {
  const bool ready = !downstream_->draining() && core_->discovery->ready();
  downstream_->Reply(connection, ready ? 200 : 503, "Content-Type: text/plain\r\n",
                     ready ? "ok\n" : "not ready\n");
}

void OpenAiFront::ServeMetrics(Handle connection) {
  if (!metrics_networks_.Contains(downstream_->PeerOf(connection))) {
    return ReplyError(connection, {403, "permission_error", "network_not_allowed",
                                   "Metrics are not told to this address.", "", 0});
  }
  downstream_->Reply(connection, 200, "Content-Type: text/plain; version=0.0.4\r\n",
                     MetricsText(ledger_, open_requests_.size(), assembled_bytes_));
}

const keys::Key* OpenAiFront::Authorize(Handle connection, const HttpRequest& request) {
  if (settings_->keys_file.empty()) return &anonymous_key_;
  const std::string* header = request.Header("authorization");
  std::string_view presented = header == nullptr ? std::string_view() : std::string_view(*header);
  if (presented.starts_with("Bearer ") || presented.starts_with("bearer ")) presented.remove_prefix(7);
  if (const keys::Key* key = keyring_.Verify(presented)) return key;
  ledger_.CountRejection("invalid_api_key");
  ApiError error{401, "authentication_error", "invalid_api_key", "Incorrect API key provided.", "", 0};
  if (header == nullptr) {
    error.message = "You didn't provide an API key. Send it as 'Authorization: Bearer KEY'.";
  }
  const Time delay = invalid_key_throttle_.DelayOfNext(Now());
  if (delay == 0) {
    ReplyError(connection, error);
  } else {
    core_->deadlines->Set(Now() + delay, [this, connection, error] { ReplyError(connection, error); });
  }
  return nullptr;
}

void OpenAiFront::ServeModels(Handle connection, const HttpRequest& request, std::string_view path) {
  if (Authorize(connection, request) == nullptr) return;
  const std::string headers = RequestIdHeader(NewRequestId()) + kJsonType;
  if (path != kModelsPath) {
    const std::string id(path.substr(kModelPrefix.size()));
    const ModelSettings* model = FindModel(id);
    if (model == nullptr) return ReplyError(connection, UnknownModel(id));
    return downstream_->Reply(connection, 200, headers, ModelJson(*model));
  }
  std::string all;
  for (const ModelSettings& model : settings_->models) all += (all.empty() ? "" : ",") + ModelJson(model);
  downstream_->Reply(connection, 200, headers, "{\"object\":\"list\",\"data\":[" + all + "]}");
}

const ModelSettings* OpenAiFront::FindModel(const std::string& id) const {
  const auto it = std::find_if(settings_->models.begin(), settings_->models.end(),
                               [&](const ModelSettings& model) { return model.id == id; });
  return it == settings_->models.end() ? nullptr : &*it;
}

limits::KeyLimits OpenAiFront::LimitsOf(const keys::Key& key) const {
  limits::KeyLimits limits = settings_->default_limits;
  if (key.limits.requests_per_min > 0) limits.requests_per_min = key.limits.requests_per_min;
  if (key.limits.tokens_per_min > 0) limits.tokens_per_min = key.limits.tokens_per_min;
  if (key.limits.streams > 0) limits.streams = key.limits.streams;
  return limits;
}

Time OpenAiFront::ApplyRoute(const std::string& path, const keys::Key& key, const ModelSettings& model,
                             policy::RequestArrived& arrival) const {
  std::string class_name = key.class_name.empty() ? model.class_name : key.class_name;
  Time time_budget = 0;
  for (const RouteSettings& route : settings_->routes) {
    if (!route.model.empty() && route.model != model.id) continue;
    if (!route.key.empty() && route.key != key.id && route.key != key.name) continue;
    if (!route.path.empty() && route.path != path) continue;
    if (!route.class_name.empty()) class_name = route.class_name;
    time_budget = route.time_budget;
    break;
  }
  const std::vector<std::size_t>& active = core_->config->active_classes;
  arrival.class_index = core_->config->ClassIndex(class_name);
  if (arrival.class_index < 0) arrival.class_index = active.empty() ? 0 : static_cast<int>(active.front());
  if (time_budget != 0) return time_budget;
  return core_->config->settings.classes[static_cast<std::size_t>(arrival.class_index)].time_budget;
}

Time OpenAiFront::TimeBudgetFor(const HttpRequest& request, Time configured) const {
  Time time_budget = configured;
  const double ms = NumberInHeader(request, "x-deadline-ms");
  if (ms > 0) time_budget = std::min(time_budget, static_cast<Time>(ms * 1e3));
  // Official clients send their time-out in this header.
  const double seconds = NumberInHeader(request, "x-stainless-read-timeout");
  if (seconds > 0) time_budget = std::min(time_budget, static_cast<Time>(seconds * 1e6));
  return time_budget;
}

OpenAiFront::TokenEstimate OpenAiFront::EstimateTokens(const openai::Body& body,
                                                       const ModelSettings& model) const {
  const double bytes_per_token = token_sizes_.BytesPerToken(model.id);
  TokenEstimate estimate;
  estimate.prompt = std::ceil(static_cast<double>(body.prompt_bytes) / bytes_per_token);
  estimate.prefix = std::ceil(static_cast<double>(body.prefix_bytes) / bytes_per_token);
  estimate.output = body.max_tokens.value_or(model.default_output_tokens);
  return estimate;
}

void OpenAiFront::ServeCompletion(Handle connection, HttpRequest& request, openai::Endpoint endpoint) {
  const keys::Key* key = Authorize(connection, request);
  if (key == nullptr) return;
  const std::string text = request.body.Text();
  const openai::BodyResult read = openai::ReadBody(text, endpoint);
  if (!read.body) {
    return Reject(connection,
                  {400, "invalid_request_error", read.error.code, read.error.message, read.error.param, 0});
  }
  const openai::Body& body = *read.body;
  const ModelSettings* model = FindModel(body.model);
  if (model == nullptr) return Reject(connection, UnknownModel(body.model));
  if (!core_->buffers->MakeHeadroom()) return Reject(connection, ErrorForStatus(503));

  const TokenEstimate tokens = EstimateTokens(body, *model);
  const limits::KeyLimits limits = LimitsOf(*key);
  const limits::AdmissionResult admission = limiter_.Admit(Now(), key->id, limits, tokens.total());
  if (admission.admission != limits::Admission::kAdmitted) {
    return Reject(connection, RateLimitError(admission), RateLimitHeaders(admission.remaining));
  }

  StreamRequest stream{{}, {}, {}, {}, BufferChain(core_->buffers), {}, 0, true};
  const std::string for_replica = openai::RewriteForReplica(text, read, ReplicaModelName(*model));
  request.body.Clear();
  if (!stream.body.Append(for_replica)) {
    limiter_.Settle(Now(), key->id, limits, tokens.total(), 0, false);
    return Reject(connection, ErrorForStatus(503));
  }
  stream.method = "POST";
  stream.target = endpoint == openai::Endpoint::kChat ? kChatPath : kCompletionsPath;
  stream.call_id = NewRequestId();
  stream.content_type = "application/json";
  stream.received_at = request.first_byte;
  policy::RequestArrived& arrival = stream.arrival;
  const Time configured_budget = ApplyRoute(stream.target, *key, *model, arrival);
  arrival.time_budget = TimeBudgetFor(request, configured_budget);
  arrival.session = body.session;
  arrival.prefix = body.prefix;
  arrival.prompt_tokens = tokens.prompt;
  arrival.prefix_tokens = tokens.prefix;
  arrival.max_answer_tokens = tokens.output;
  arrival.client_retry = NumberInHeader(request, "x-stainless-retry-count") > 0;

  OpenRequest open(endpoint, body.include_usage, settings_->max_answer);
  open.request_id = stream.call_id;
  open.key = key->id;
  open.model = model->id;
  open.limits = limits;
  open.reserved_tokens = tokens.total();
  open.reserved_output_tokens = tokens.output;
  open.has_max_tokens = body.max_tokens.has_value();
  open.streamed = body.stream;
  open.response_headers = RequestIdHeader(open.request_id) + RateLimitHeaders(admission.remaining);
  open.observer.seen().prompt_bytes = body.prompt_bytes;
  open.observer.seen().max_tokens = body.max_tokens;
  ledger_.RecordAdmission(open.key, open.model);
  open_requests_.insert_or_assign(connection, std::move(open));
  const Handle handle = streams_->Open(std::move(stream), this, connection);
  // The request may have been answered already, and the connection may serve its next request by now.
  if (streams_->Find(handle) == nullptr) return;
  if (const auto it = open_requests_.find(connection); it != open_requests_.end()) it->second.stream = handle;
}

void OpenAiFront::OnClientDisconnected(Handle connection) {
  if (!open_requests_.contains(connection)) return;
  const OpenRequest open = Settle(connection, Outcome::kClientDisconnected);
  streams_->OnClientDisconnected(open.stream);
}

void OpenAiFront::OnBackpressure(Handle connection, bool congested) {
  const auto it = open_requests_.find(connection);
  if (it != open_requests_.end()) streams_->SetPaused(it->second.stream, congested);
}

// ---- Responses of replicas ----

void OpenAiFront::BeginStream(Handle connection, const OpenRequest& open) {
  downstream_->BeginChunks(
      connection, open.response_headers + "Content-Type: text/event-stream\r\nCache-Control: no-cache\r\n");
}

Handle OpenAiFront::LargestRequest(std::size_t (*held_by)(const OpenRequest&)) const {
  Handle largest = 0;
  std::size_t most = 0;
  for (const auto& [connection, open] : open_requests_) {
    if (held_by(open) <= most) continue;
    most = held_by(open);
    largest = connection;
  }
  return largest;
}

bool OpenAiFront::ReserveAssembly(Handle connection, OpenRequest& open, std::size_t bytes) {
  assembled_bytes_ += bytes;
  if (!open.assembler.ReserveBytes(bytes)) AbortTooLong(connection);
  // The buffers may use half of the memory; all responses being assembled together may use a quarter of that.
  const std::size_t limit = core_->config->memory_mb * 1024 * 1024 / 8;
  while (assembled_bytes_ > limit) {
    const Handle largest = LargestRequest([](const OpenRequest& r) { return r.assembler.bytes(); });
    if (largest == 0) break;
    AbortTooLong(largest);
  }
  return open_requests_.contains(connection);
}

bool OpenAiFront::LimitUnfinished(Handle connection) {
  // Bounds the memory that replicas can occupy with long events that never end.
  const std::size_t limit = core_->config->memory_mb * 1024 * 1024 / 16;
  while (unfinished_bytes_ > limit) {
    const Handle largest = LargestRequest([](const OpenRequest& r) { return r.observer.unfinished(); });
    if (largest == 0) break;
    AbortUnreadable(largest);
  }
  return open_requests_.contains(connection);
}

void OpenAiFront::AbortTooLong(Handle connection) {
  Abort(connection,
        {503, "server_error", "answer_too_long",
         "The answer is longer than is put together here; ask for a stream instead.", "", kSecond},
        Outcome::kTerminated);
}

void OpenAiFront::AbortUnreadable(Handle connection) {
  Abort(connection,
        {502, "server_error", "upstream_unreadable", "The model's answer could not be read.", "",
         kRetryAfterTruncated},
        Outcome::kTruncated);
}

bool OpenAiFront::ReserveForGrowth(OpenRequest& open) {
  if (open.has_max_tokens) return true;
  const double output = token_sizes_.Estimate(open.model, open.observer.seen()).output;
  if (output <= open.reserved_output_tokens) return true;
  const double more = std::max(output - open.reserved_output_tokens, kMinExtraTokens);
  if (!limiter_.ReserveMore(Now(), open.key, open.limits, more)) return false;
  open.reserved_tokens += more;
  open.reserved_output_tokens += more;
  return true;
}

void OpenAiFront::ForwardChunk(Handle connection, OpenRequest& open) {
  if (!open.response_begun && !chunk_.empty()) {
    open.response_begun = true;
    BeginStream(connection, open);
  }
  downstream_->Chunk(connection, chunk_);
}

void OpenAiFront::OnData(Handle connection, std::string_view events) {
  const auto it = open_requests_.find(connection);
  if (it == open_requests_.end()) return;
  OpenRequest& open = it->second;
  if (!open.streamed && !ReserveAssembly(connection, open, events.size())) return;
  chunk_.clear();
  const std::size_t unfinished_before = open.observer.unfinished();
  const bool readable =
      open.streamed ? open.observer.Feed(events, chunk_) : open.observer.Feed(events, open.assembler);
  unfinished_bytes_ += open.observer.unfinished();
  unfinished_bytes_ -= std::min(unfinished_bytes_, unfinished_before);
  if (!readable) return AbortUnreadable(connection);
  if (!LimitUnfinished(connection)) return;
  if (open.streamed) ForwardChunk(connection, open);
  if (ReserveForGrowth(open)) return;
  Abort(connection,
        {429, "rate_limit_error", "tokens_spent",
         "Your key's tokens for this minute are spent; the answer ends here.", "", 10 * kSecond},
        Outcome::kTerminated);
}

void OpenAiFront::OnComplete(Handle connection) {
  if (!open_requests_.contains(connection)) return;
  const OpenRequest open = Settle(connection, Outcome::kServed);
  if (!open.streamed) {
    return downstream_->Reply(connection, 200, open.response_headers + kJsonType,
                              open.assembler.CompleteResponse(open.request_id, open.model, Now() / kSecond));
  }
  if (!open.response_begun) BeginStream(connection, open);
  downstream_->Chunk(connection, open.observer.done_event());
  downstream_->EndChunks(connection);
}

void OpenAiFront::OnTruncated(Handle connection) {
  Abort(connection,
        {502, "server_error", "upstream_broken", "The model's answer broke off.", "", kRetryAfterTruncated},
        Outcome::kTruncated);
}

void OpenAiFront::OnRejected(Handle connection, Time retry_after) {
  if (!open_requests_.contains(connection)) return;
  const OpenRequest open = Settle(connection, Outcome::kRejectedByNode);
  ReplyError(connection,
             {503, "server_error", "overloaded", "The models are at their limit; try again later.", "",
              std::max<Time>(retry_after, 1000)},
             open.response_headers);
}

void OpenAiFront::OnFailed(Handle connection, policy::Outcome last) {
  if (!open_requests_.contains(connection)) return;
  const OpenRequest open = Settle(connection, Outcome::kFailed);
  // This is a failure and not a rejection: an attempt may have run, so that a retry may not be safe.
  const std::string headers = open.response_headers + kNoRetryHeader;
  if (last == policy::Outcome::kTimeout) {
    return ReplyError(
        connection, {504, "server_error", "upstream_timeout", "No model answered in time.", "", 0}, headers);
  }
  ReplyError(connection, {502, "server_error", "upstream_failed", "No model could answer.", "", 0}, headers);
}

// Forwards the replica's body if it is a JSON object; otherwise sends an error in the API's format.
void OpenAiFront::OnInvalidRequest(Handle connection, int status, const std::string& body) {
  if (!open_requests_.contains(connection)) return;
  const OpenRequest open = Settle(connection, Outcome::kRejectedByReplica);
  Log(Level::kWarn, "local-reply", {{"status", status}, {"why", "rejected"}, {"id", open.request_id}});
  const bool is_json_object = !body.empty() && nlohmann::json::parse(body, nullptr, false).is_object();
  const ApiError fallback{status,
                          "invalid_request_error",
                          "rejected_by_model",
                          "The model's server turned the request down as wrong.",
                          "",
                          0};
  downstream_->Reply(connection, status, open.response_headers + kJsonType,
                     is_json_object ? body : ErrorJson(fallback));
}

}  // namespace ryeglade
