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
#include "openai/strict_json.h"
#include "settings/toml_reader.h"

namespace ryeglade {
namespace {

using ledger::Column;

constexpr const char* kChat = "/v1/chat/completions";
constexpr const char* kCompletions = "/v1/completions";
constexpr const char* kModels = "/v1/models";
constexpr Time kSecond = 1'000'000;
constexpr Time kBrokenRetry = 1 * kSecond;
constexpr const char* kJson = "Content-Type: application/json\r\n";

double NumberOf(const std::string* text) {
  if (text == nullptr) return 0;
  double value = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  return error == std::errc() && end == text->data() + text->size() && value > 0 && value < 1e9 ? value : 0;
}

std::string Wait(Time t) { return fmt::format("{:.3f}s", static_cast<double>(t) / 1e6); }

std::string LimitHeaders(const limits::Left& left) {
  std::string out;
  if (left.limit_requests > 0) {
    out += fmt::format(
        "x-ratelimit-limit-requests: {:.0f}\r\nx-ratelimit-remaining-requests: {:.0f}\r\n"
        "x-ratelimit-reset-requests: {}\r\n",
        left.limit_requests, left.requests, Wait(left.requests_full_in));
  }
  if (left.limit_tokens > 0) {
    out += fmt::format(
        "x-ratelimit-limit-tokens: {:.0f}\r\nx-ratelimit-remaining-tokens: {:.0f}\r\n"
        "x-ratelimit-reset-tokens: {}\r\n",
        left.limit_tokens, left.tokens, Wait(left.tokens_full_in));
  }
  return out;
}

ApiError LimitError(const limits::Answer& answer) {
  ApiError e{429, "rate_limit_error", "rate_limit_exceeded", "", "", answer.retry_after};
  switch (answer.verdict) {
    case limits::Verdict::kRequests:
      e.message = "Your key has used its requests for this minute.";
      break;
    case limits::Verdict::kTokens:
      e.message = "Your key has used its tokens for this minute.";
      break;
    case limits::Verdict::kStreams:
      e.message = "Your key has as many requests open as it may.";
      e.retry_after = std::max(e.retry_after, kSecond);
      break;
    default:
      e.code = "request_over_limit";
      e.message = "This request asks for more tokens than your key has in a whole minute; make it smaller.";
      e.retry_after = 0;
  }
  return e;
}

}  // namespace

OpenAiFront::OpenAiFront(Core* core, Streams* streams, const OpenAiSettings* settings, keys::Keyring keyring)
    : core_(core),
      streams_(streams),
      settings_(settings),
      keyring_(std::move(keyring)),
      id_seed_(core->config->seed) {
  anyone_.id = "-";
  for (const std::string& network : settings_->metrics_networks) metrics_networks_.Add(network);
  std::uint64_t fresh = 0;  // ids must differ from those before a restart too
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&fresh), sizeof fresh) == 1) id_seed_ ^= fresh;
}

void OpenAiFront::ReloadKeys() {
  if (settings_->keys_file.empty()) return;
  keys::Keyring fresh = keys::Keyring::Load(settings_->keys_file);
  std::vector<Handle> revoked;
  for (const auto& [connection, open] : open_) {
    if (fresh.Find(open.key) == nullptr) revoked.push_back(connection);
  }
  for (const std::string& id : keyring_.order()) {
    if (fresh.Find(id) == nullptr) limits_.Forget(id);
  }
  keyring_ = std::move(fresh);
  Log(Level::kInfo, "keys-reloaded", {{"keys", keyring_.size()}, {"ended", revoked.size()}});
  for (const Handle connection : revoked) {
    Drop(connection, {401, "authentication_error", "key_revoked", "Your key has been revoked.", "", 0},
         Column::kCut);
  }
}

std::string OpenAiFront::NewId() {
  const std::uint64_t n = ++ids_;
  return fmt::format("{:016x}", XXH3_64bits_withSeed(&n, sizeof n, id_seed_));
}

// ---- Answers that this side gives ----

void OpenAiFront::Dress(int status, std::string& headers, std::string& body) {
  const ApiError e = ErrorOfStatus(status);
  headers = "x-request-id: req_" + NewId() + "\r\n" + kJson + RetryHeaders(e.retry_after);
  body = ErrorJson(e);
  ledger_.TurnedAway(e.code);
}

void OpenAiFront::Error(Handle connection, const ApiError& e, const std::string& headers) {
  const std::string id =
      headers.find("x-request-id") == std::string::npos ? "x-request-id: req_" + NewId() + "\r\n" : "";
  Log(Level::kWarn, "local-reply", {{"status", e.status}, {"why", e.code}});
  downstream_->Reply(connection, e.status, id + headers + kJson + RetryHeaders(e.retry_after), ErrorJson(e));
}

// The one way out of the table.
OpenAiFront::Open OpenAiFront::Settle(Handle connection, Column column) {
  const auto it = open_.find(connection);
  Open o = std::move(it->second);
  open_.erase(it);
  assembling_ -= std::min(assembling_, o.assembler.bytes());
  unfinished_ -= std::min(unfinished_, o.watch.unfinished());
  const bool ran = column == Column::kServed || o.watch.seen().text_events > 0 || o.watch.usage_times() > 0;
  ledger::Usage used;
  bool reported = false;
  const ledger::UsageFault* fault = nullptr;
  ledger::UsageResult result;
  if (ran) {
    result = ledger::CheckUsage(o.watch.usage_text(), o.watch.usage_times(), o.watch.seen());
    reported = result.usage.has_value();
    used = reported ? *result.usage : sizes_.Estimate(o.model, o.watch.seen());
    // An answer that was cut off owes no usage; one that came all the same is checked like any other.
    if (!reported && (column == Column::kServed || o.watch.usage_times() > 0)) fault = &result.fault;
    if (reported) sizes_.Learn(o.model, o.watch.seen().prompt_chars, used.prompt);
  }
  ledger_.Ended(o.key, o.model, column, used, reported, fault);
  const bool let_through = column != Column::kRefused;
  limits_.Settle(Now(), o.key, o.rule, o.reserved, used.prompt + used.answer, let_through);
  return o;
}

// Whatever has been passed on, the client gets one clear end: an error answer, or an error event and no
// [DONE].
void OpenAiFront::Drop(Handle connection, const ApiError& e, Column column) {
  const auto it = open_.find(connection);
  if (it == open_.end()) return;
  const bool may_repeat = core_->retry_safety->IsSafeToRetry(it->second.stream);
  const Open o = Settle(connection, column);
  streams_->ClientGone(o.stream);
  if (!o.begun && !may_repeat) return Error(connection, WithoutRepeat(e), o.headers + kNoRepeatHeader);
  if (!o.begun) return Error(connection, e, o.headers);
  Log(Level::kWarn, "stream-ended", {{"why", e.code}, {"id", o.request_id}});
  downstream_->Chunk(connection, "event: error\ndata: " + ErrorJson(e) + "\n\n");
  downstream_->EndBroken(connection);
}

// ---- Requests ----

void OpenAiFront::OnRequest(Handle connection, HttpRequest request) {
  const std::string_view path = request.Path();
  const bool chat = path == kChat, completions = path == kCompletions;
  const bool models = path == kModels || path.starts_with("/v1/models/");
  if (path == "/health" || path == "/metrics") {
    if (request.method != "GET") return Error(connection, ErrorOfStatus(405), "Allow: GET\r\n");
    if (path == "/metrics") return Metrics(connection, request);
    const bool well = !downstream_->draining() && core_->discovery->ready();
    return downstream_->Reply(connection, well ? 200 : 503, "Content-Type: text/plain\r\n",
                              well ? "ok\n" : "not ready\n");
  }
  if (!chat && !completions && !models) {
    ledger_.TurnedAway("unknown_url");
    return Error(connection, {404, "invalid_request_error", "unknown_url",
                              fmt::format("Unknown request URL: {} {}.", request.method, path), "", 0});
  }
  if (request.method != (models ? "GET" : "POST")) {
    ledger_.TurnedAway("method_not_allowed");
    return Error(connection, ErrorOfStatus(405), models ? "Allow: GET\r\n" : "Allow: POST\r\n");
  }
  if (models) return Models(connection, request, path);
  Completion(connection, request, chat ? openai::Endpoint::kChat : openai::Endpoint::kCompletions);
}

const keys::Key* OpenAiFront::Authorize(Handle connection, const HttpRequest& request) {
  if (settings_->keys_file.empty()) return &anyone_;
  const std::string* shown = request.Header("authorization");
  std::string_view text = shown == nullptr ? std::string_view() : std::string_view(*shown);
  if (text.substr(0, 7) == "Bearer " || text.substr(0, 7) == "bearer ") text.remove_prefix(7);
  if (const keys::Key* key = keyring_.Verify(text)) return key;
  ledger_.TurnedAway("invalid_api_key");
  const ApiError e{401,
                   "authentication_error",
                   "invalid_api_key",
                   shown == nullptr ? "You didn't provide an API key. Send it as 'Authorization: Bearer KEY'."
                                    : "Incorrect API key provided.",
                   "",
                   0};
  const Time wait = wrong_keys_.Wait(Now());
  if (wait == 0) {
    Error(connection, e);
  } else {
    core_->deadlines->Set(Now() + wait, [this, connection, e] { Error(connection, e); });
  }
  return nullptr;
}

void OpenAiFront::Models(Handle connection, const HttpRequest& request, std::string_view path) {
  if (Authorize(connection, request) == nullptr) return;
  const auto one = [](const ModelSettings& m) {
    return fmt::format("{{\"id\":{},\"object\":\"model\",\"created\":{},\"owned_by\":{}}}",
                       openai::Quoted(m.id), m.created, openai::Quoted(m.owned_by));
  };
  const std::string headers = "x-request-id: req_" + NewId() + "\r\n" + kJson;
  if (path != kModels) {
    const std::string id(path.substr(std::string_view("/v1/models/").size()));
    const ModelSettings* model = Model(id);
    if (model != nullptr) return downstream_->Reply(connection, 200, headers, one(*model));
    return Error(connection, {404, "invalid_request_error", "model_not_found",
                              fmt::format("The model '{}' does not exist.", id.substr(0, 100)), "model", 0});
  }
  std::string all;
  for (const ModelSettings& m : settings_->models) all += (all.empty() ? "" : ",") + one(m);
  downstream_->Reply(connection, 200, headers, "{\"object\":\"list\",\"data\":[" + all + "]}");
}

void OpenAiFront::Metrics(Handle connection, const HttpRequest&) {
  if (!metrics_networks_.Contains(downstream_->PeerOf(connection))) {
    return Error(connection, {403, "permission_error", "network_not_allowed",
                              "Metrics are not told to this address.", "", 0});
  }
  downstream_->Reply(connection, 200, "Content-Type: text/plain; version=0.0.4\r\n",
                     MetricsText(ledger_, open_.size(), assembling_));
}

const ModelSettings* OpenAiFront::Model(const std::string& id) const {
  const auto it = std::find_if(settings_->models.begin(), settings_->models.end(),
                               [&](const ModelSettings& m) { return m.id == id; });
  return it == settings_->models.end() ? nullptr : &*it;
}

limits::Rule OpenAiFront::RuleOf(const keys::Key& key) const {
  limits::Rule rule = settings_->default_limits;
  if (key.rule.requests_per_min > 0) rule.requests_per_min = key.rule.requests_per_min;
  if (key.rule.tokens_per_min > 0) rule.tokens_per_min = key.rule.tokens_per_min;
  if (key.rule.streams > 0) rule.streams = key.rule.streams;
  return rule;
}

void OpenAiFront::Route(const std::string& path, const keys::Key& key, const ModelSettings& model,
                        policy::RequestArrived& a, Time* deadline) const {
  std::string cls = key.cls.empty() ? model.class_name : key.cls;
  for (const RouteSettings& r : settings_->routes) {
    if (!r.model.empty() && r.model != model.id) continue;
    if (!r.key.empty() && r.key != key.id && r.key != key.name) continue;
    if (!r.path.empty() && r.path != path) continue;
    if (!r.class_name.empty()) cls = r.class_name;
    *deadline = r.time_budget;
    break;
  }
  const auto& classes = core_->config->settings.classes;
  const int found = core_->config->ClassIndex(cls);  // else the first in force, as before
  const std::vector<std::size_t>& in_force = core_->config->active_classes;
  a.class_index = found >= 0 ? found : in_force.empty() ? 0 : static_cast<int>(in_force.front());
  if (*deadline == 0) *deadline = classes[static_cast<std::size_t>(a.class_index)].time_budget;
}

// A client may ask for less time than its route gives, never for more.
Time OpenAiFront::Patience(const HttpRequest& request, Time deadline) const {
  const double ms = NumberOf(request.Header("x-deadline-ms"));
  if (ms > 0) deadline = std::min(deadline, static_cast<Time>(ms * 1e3));
  const double seconds = NumberOf(request.Header("x-stainless-read-timeout"));  // what official clients send
  if (seconds > 0) deadline = std::min(deadline, static_cast<Time>(seconds * 1e6));
  return deadline;
}

void OpenAiFront::Completion(Handle connection, HttpRequest& request, openai::Endpoint endpoint) {
  const keys::Key* key = Authorize(connection, request);
  if (key == nullptr) return;
  const auto reject = [&](const ApiError& e) {
    ledger_.TurnedAway(e.code);
    Error(connection, e);
  };
  const std::string text = request.body.Text();
  const openai::BodyResult read = openai::ReadBody(text, endpoint);
  if (!read.body) {
    return reject({400, "invalid_request_error", read.fault.code, read.fault.message, read.fault.param, 0});
  }
  const openai::Body& body = *read.body;
  const ModelSettings* model = Model(body.model);
  if (model == nullptr) {
    return reject({404, "invalid_request_error", "model_not_found",
                   fmt::format("The model '{}' does not exist.", body.model.substr(0, 100)), "model", 0});
  }
  if (core_->buffers->Scarce()) return reject(ErrorOfStatus(503));

  const double size = sizes_.Of(model->id);
  const double prompt = std::ceil(static_cast<double>(body.prompt_chars) / size);
  const double answer = body.max_tokens.value_or(model->default_output_tokens);
  const limits::Rule rule = RuleOf(*key);
  const limits::Answer admitted = limits_.Admit(Now(), key->id, rule, prompt + answer);
  if (admitted.verdict != limits::Verdict::kAdmitted) {
    const ApiError e = LimitError(admitted);
    ledger_.TurnedAway(e.code);
    return Error(connection, e, LimitHeaders(admitted.left));
  }

  StreamRequest stream{{}, {}, {}, {}, BufferChain(core_->buffers), {}, 0, true};
  const std::string for_replica = openai::ForReplica(
      text, read, model->upstream.empty() || model->upstream == model->id ? "" : model->upstream);
  request.body.Clear();
  if (!stream.body.Append(for_replica)) {
    limits_.Settle(Now(), key->id, rule, prompt + answer, 0, false);
    return reject(ErrorOfStatus(503));
  }
  policy::RequestArrived& a = stream.arrival;
  Time deadline = 0;
  const char* path = endpoint == openai::Endpoint::kChat ? kChat : kCompletions;
  Route(path, *key, *model, a, &deadline);
  a.time_budget = Patience(request, deadline);
  a.session = body.session;
  a.prefix = body.prefix;
  a.prompt_tokens = prompt;
  a.prefix_tokens = std::ceil(static_cast<double>(body.prefix_chars) / size);
  a.max_answer_tokens = answer;
  a.client_retry = NumberOf(request.Header("x-stainless-retry-count")) > 0;
  stream.method = "POST";
  stream.target = path;
  stream.call_id = NewId();
  stream.content_type = "application/json";
  stream.sent_at = request.first_byte;

  Open o(endpoint, body.include_usage, settings_->max_answer);
  o.request_id = stream.call_id;
  o.key = key->id;
  o.model = model->id;
  o.rule = rule;
  o.reserved = prompt + answer;
  o.reserved_answer = answer;
  o.bounded = body.max_tokens.has_value();
  o.streamed = body.stream;
  o.headers = "x-request-id: req_" + o.request_id + "\r\n" + LimitHeaders(admitted.left);
  o.watch.seen().prompt_chars = body.prompt_chars;
  o.watch.seen().max_tokens = body.max_tokens;
  ledger_.Admitted(o.key, o.model);
  open_.insert_or_assign(connection, std::move(o));
  const Handle handle = streams_->Open(std::move(stream), this, connection);
  // It may be answered already, and the connection on to its next request.
  if (streams_->Find(handle) == nullptr) return;
  if (const auto it = open_.find(connection); it != open_.end()) it->second.stream = handle;
}

void OpenAiFront::OnGone(Handle connection) {
  if (!open_.contains(connection)) return;
  const Open o = Settle(connection, Column::kClientLeft);
  streams_->ClientGone(o.stream);
}

void OpenAiFront::OnFlow(Handle connection, bool congested) {
  const auto it = open_.find(connection);
  if (it != open_.end()) streams_->Pause(it->second.stream, congested);
}

// ---- Answers of replicas ----

void OpenAiFront::BeginStream(Handle connection, const Open& o) {
  downstream_->BeginChunks(connection,
                           o.headers + "Content-Type: text/event-stream\r\nCache-Control: no-cache\r\n");
}

void OpenAiFront::OnData(Handle connection, std::string_view events) {
  const auto it = open_.find(connection);
  if (it == open_.end()) return;
  Open& o = it->second;
  static const ApiError kUnreadable{
      502, "server_error", "upstream_unreadable", "The model's answer could not be read.", "", kBrokenRetry};
  const std::size_t memory = core_->config->memory_mb * 1024 * 1024;
  if (!o.streamed) {
    assembling_ += events.size();
    // Whole answers share a quarter of what buffers may take.
    if (!o.assembler.Room(events.size()) || assembling_ > memory / 8) {
      return Drop(connection,
                  {503, "server_error", "answer_too_long",
                   "The answer is longer than is put together here; ask for a stream instead.", "", kSecond},
                  Column::kCut);
    }
  }
  out_.clear();
  const std::size_t before = o.watch.unfinished();
  const bool readable = o.streamed ? o.watch.Feed(events, out_) : o.watch.Feed(events, o.assembler);
  unfinished_ += o.watch.unfinished();
  unfinished_ -= std::min(unfinished_, before);
  // Guards against replicas that open many long events and end none.
  if (!readable || unfinished_ > memory / 16) return Drop(connection, kUnreadable, Column::kBroken);
  if (o.streamed) {
    if (!o.begun && !out_.empty()) {
      o.begun = true;
      BeginStream(connection, o);
    }
    downstream_->Chunk(connection, out_);
  }
  // An answer that outgrows its reservation takes more, a piece at a time, while the key has any.
  if (o.bounded) return;
  const double seen = sizes_.Estimate(o.model, o.watch.seen()).answer;
  if (seen <= o.reserved_answer) return;
  const double more = std::max(seen - o.reserved_answer, 64.0);
  if (!limits_.Grow(Now(), o.key, o.rule, more)) {
    return Drop(connection,
                {429, "rate_limit_error", "tokens_spent",
                 "Your key's tokens for this minute are spent; the answer ends here.", "", 10 * kSecond},
                Column::kCut);
  }
  o.reserved += more;
  o.reserved_answer += more;
}

void OpenAiFront::OnWhole(Handle connection) {
  if (!open_.contains(connection)) return;
  const Open o = Settle(connection, Column::kServed);
  if (o.streamed) {
    if (!o.begun) BeginStream(connection, o);
    downstream_->Chunk(connection, o.watch.done());
    return downstream_->EndChunks(connection);
  }
  downstream_->Reply(connection, 200, o.headers + kJson,
                     o.assembler.Whole(o.request_id, o.model, Now() / kSecond));
}

void OpenAiFront::OnBroken(Handle connection) {
  Drop(connection,
       {502, "server_error", "upstream_broken", "The model's answer broke off.", "", kBrokenRetry},
       Column::kBroken);
}

void OpenAiFront::OnRefused(Handle connection, Time retry_after) {
  if (!open_.contains(connection)) return;
  const Open o = Settle(connection, Column::kRefused);
  Error(connection,
        {503, "server_error", "overloaded", "The models are at their limit; try again later.", "",
         std::max<Time>(retry_after, 1000)},
        o.headers);
}

void OpenAiFront::OnFailed(Handle connection, policy::Outcome last) {
  if (!open_.contains(connection)) return;
  const Open o = Settle(connection, Column::kFailed);
  // A failure, not a refusal: an attempt may have run, and a repeat is not known to be harmless.
  const std::string headers = o.headers + kNoRepeatHeader;
  if (last == policy::Outcome::kTimeout) {
    return Error(connection, {504, "server_error", "upstream_timeout", "No model answered in time.", "", 0},
                 headers);
  }
  Error(connection, {502, "server_error", "upstream_failed", "No model could answer.", "", 0}, headers);
}

// The replica's own words pass on once, in the API's shape whatever it spoke.
void OpenAiFront::OnRejected(Handle connection, int status, const std::string& body) {
  if (!open_.contains(connection)) return;
  const Open o = Settle(connection, Column::kRejected);
  Log(Level::kWarn, "local-reply", {{"status", status}, {"why", "rejected"}, {"id", o.request_id}});
  const bool shaped = !body.empty() && nlohmann::json::parse(body, nullptr, false).is_object();
  downstream_->Reply(connection, status, o.headers + kJson,
                     shaped ? body
                            : ErrorJson({status, "invalid_request_error", "rejected_by_model",
                                         "The model's server turned the request down as wrong.", "", 0}));
}

}  // namespace ryeglade
