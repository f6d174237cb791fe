#include "core/streams.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "base/log.h"
#include "core/enum_names.h"

namespace ryeglade {
namespace {

// Microseconds, except for kMigrationsAtOnce.
constexpr Time kWatchdogMargin = 8'000;       // the watchdog acts this long before the client's deadline
constexpr Time kMigrateBefore = 600'000;      // migration starts at most this long before the shutdown ends
constexpr Time kMigrationInterval = 50'000;   // between two groups of migrated streams
constexpr std::size_t kMigrationsAtOnce = 8;  // streams in a group
constexpr Time kMigrationReserve = 50'000;    // the last group is migrated this long before the shutdown ends
constexpr Time kShutdownRetryAfter = 1'000'000;  // sent with the rejection of a request that arrives too late

}  // namespace

// ---- Requests and their deadlines ----

Handle Streams::Open(StreamRequest request, StreamSink* sink, Handle client) {
  const Time now = Now();
  const std::string class_name = ClassName(request);
  if (conclude_by_ != 0 && now >= accept_until_) {
    if (core_->counters != nullptr) ++core_->counters->by_class[class_name].rejected;
    sink->OnRejected(client, kShutdownRetryAfter);
    return 0;
  }
  Time time_left = std::max<Time>(0, request.arrival.time_budget - (now - request.received_at));
  if (conclude_by_ != 0) time_left = std::min(time_left, std::max<Time>(0, conclude_by_ - now));
  core_->dialect->Prepare(request);
  Stream new_stream{std::move(request)};
  new_stream.sink = sink;
  new_stream.client = client;
  new_stream.class_name = class_name;
  const Handle handle = streams_.Add(std::move(new_stream));
  Stream& stream = *streams_.Get(handle);
  stream.request.arrival.id = handle;
  stream.request.arrival.time_budget = time_left;
  SetDeadline(stream, handle, now + time_left);
  if (core_->stream_observer != nullptr)
    core_->stream_observer->OnCallId(now, handle, stream.request.call_id);
  core_->events->Post(stream.request.arrival);
  return handle;
}

std::string Streams::ClassName(const StreamRequest& request) const {
  const auto& classes = core_->config->settings.classes;
  const auto index = static_cast<std::size_t>(request.arrival.class_index);
  return index < classes.size() ? classes[index].name : "";
}

// Sets the watchdog, so that every stream is concluded. Usually the decision module concludes it earlier, if
// only because the upstream request times out; but not if a request arrives with very little time left.
void Streams::SetDeadline(Stream& stream, Handle handle, Time deadline) {
  const Time time_left = std::max<Time>(0, deadline - Now());
  stream.deadline = deadline;
  core_->deadlines->Cancel(stream.watchdog);
  stream.watchdog = core_->deadlines->Set(deadline - Margin(time_left, kWatchdogMargin),
                                          [this, handle] { OnWatchdog(handle); });
}

// The time budget is used up. Which response is correct depends on whether an attempt may have run, so the
// decision module chooses it: it is notified that no time is left, and then of the outcome of the attempt in
// flight. If it still does not conclude the stream, the stream fails here, which does not promise that the
// request can be repeated safely.
void Streams::OnWatchdog(Handle handle) {
  const Stream* stream = streams_.Get(handle);
  if (stream == nullptr || stream->started) return;
  core_->events->Post(policy::DeadlineShortened{handle, 0});
  stream = streams_.Get(handle);
  if (stream == nullptr) return;
  core_->upstream_requests->Abort(stream->upstream_request);
  stream = streams_.Get(handle);
  if (stream == nullptr) return;
  Log(Level::kError, "watchdog-reply",
      {{"id", stream->request.call_id},
       {"out", stream->upstream_request != 0},
       {"written", stream->attempts_written}});
  if (core_->counters != nullptr) ++core_->counters->watchdog_replies;
  core_->events->Post(policy::ClientDisconnected{handle});  // so that the decision module ends the request
  Fail(handle);
}

// ---- Graceful shutdown ----

// Shortens time budgets that go beyond `conclude_by`: SIGKILL could come before those requests are answered.
// The decision module is notified, so that it concludes them in time according to what their attempts may
// have done.
void Streams::BeginShutdown(Time conclude_by, Time accept_until) {
  conclude_by_ = conclude_by;
  accept_until_ = accept_until;
  for (const Handle handle : streams_.All()) {
    Stream* stream = streams_.Get(handle);
    if (stream == nullptr || stream->started || stream->deadline <= conclude_by) continue;
    SetDeadline(*stream, handle, conclude_by);
    const Time time_left = std::max<Time>(0, conclude_by - Now());
    const Time attempt_by = conclude_by - Margin(time_left, kAttemptMargin);
    core_->upstream_requests->ShortenDeadline(stream->upstream_request, attempt_by);
    core_->events->Post(policy::DeadlineShortened{handle, time_left});
  }
  core_->deadlines->Cancel(migration_timer_);
  ScheduleMigration(std::max(Now(), conclude_by - kMigrateBefore));
}

void Streams::ScheduleMigration(Time at) {
  migration_timer_ = core_->deadlines->Set(at, [this] { MigrateSome(); });
}

// Returns the streams that have started and that their clients can resume, in the order of their slots.
std::vector<Handle> Streams::MigratableStreams() const {
  std::vector<Handle> migratable;
  for (const Handle handle : streams_.All()) {
    const Stream& stream = *streams_.Get(handle);
    if (stream.started && stream.request.resumable) migratable.push_back(handle);
  }
  return migratable;
}

// Migrates resumable streams before SIGKILL would cut them off. The client of a stream that is cut off would
// try to resume it at this node, which the client still treats as available, and be rejected; while the node
// drains, the client resumes the stream at another node. Streams are migrated a few at a time.
void Streams::MigrateSome() {
  std::vector<Handle> migratable = MigratableStreams();
  // Migrate as late as possible: streams that end by themselves need no migration.
  const auto groups = static_cast<Time>(migratable.size() / kMigrationsAtOnce + 1);
  const Time needed = groups * kMigrationInterval + kMigrationReserve;
  if (Now() + needed < conclude_by_) return ScheduleMigration(Now() + kMigrationInterval);
  if (migratable.size() > kMigrationsAtOnce) migratable.resize(kMigrationsAtOnce);
  for (const Handle handle : migratable) Migrate(handle);
  if (!migratable.empty()) {
    Log(Level::kInfo, "streams-migrating", {{"migrated", migratable.size()}, {"streams", streams_.size()}});
  }
  ScheduleMigration(Now() + kMigrationInterval);
}

// ---- The client ----

bool Streams::CheckClientConnected(Handle handle) {
  const Stream* stream = streams_.Get(handle);
  if (stream == nullptr) return false;
  if (stream->sink->Connected(stream->client)) return true;
  OnClientDisconnected(handle);
  return false;
}

bool Streams::ClientMayHaveClosedUnseen(Handle handle) const {
  const Stream* stream = streams_.Get(handle);
  return stream != nullptr && stream->sink->MayHaveClosedUnseen(stream->client);
}

void Streams::OnClientDisconnected(Handle handle) {
  const Stream* stream = streams_.Get(handle);
  if (stream == nullptr) return;
  Log(Level::kInfo, "client-disconnected",
      {{"id", stream->request.call_id}, {"started", stream->started ? 1 : 0}});
  core_->events->Post(policy::ClientDisconnected{handle});
  Handle client = 0;
  Conclude(handle, Conclusion::kDisconnected, &client);
}

void Streams::SetPaused(Handle handle, bool paused) {
  const Stream* stream = streams_.Get(handle);
  if (stream != nullptr) core_->upstream_requests->SetPaused(stream->upstream_request, paused);
}

// ---- The response ----

void Streams::OnData(Handle handle, std::string_view events) {
  Stream* stream = streams_.Get(handle);
  if (stream == nullptr) return;
  if (!stream->started) {
    stream->started = true;
    CountStart(*stream);
    core_->deadlines->Cancel(stream->watchdog);
    stream->request.body.Clear();  // no retry after the response has started
  }
  stream->sink->OnData(stream->client, events);
}

void Streams::OnComplete(Handle handle) {
  Handle client = 0;
  if (StreamSink* sink = Conclude(handle, Conclusion::kServed, &client)) sink->OnComplete(client);
}

void Streams::OnTruncated(Handle handle) {
  Handle client = 0;
  if (StreamSink* sink = Conclude(handle, Conclusion::kFailed, &client)) sink->OnTruncated(client);
}

void Streams::Reject(Handle handle, Time retry_after) {
  const Stream* stream = streams_.Get(handle);
  if (stream == nullptr || stream->started) return;
  const Time longest = std::max(stream->retry_after, retry_after);
  Handle client = 0;
  if (StreamSink* sink = Conclude(handle, Conclusion::kRejected, &client)) sink->OnRejected(client, longest);
}

void Streams::Fail(Handle handle) {
  const Stream* stream = streams_.Get(handle);
  if (stream == nullptr || stream->started) return;
  const policy::Outcome last = stream->last_outcome;
  Handle client = 0;
  if (StreamSink* sink = Conclude(handle, Conclusion::kFailed, &client)) sink->OnFailed(client, last);
}

void Streams::OnInvalidRequest(Handle handle, int status, const std::string& body) {
  const Stream* stream = streams_.Get(handle);
  if (stream == nullptr || stream->started) return;
  Handle client = 0;
  if (StreamSink* sink = Conclude(handle, Conclusion::kFailed, &client)) {
    sink->OnInvalidRequest(client, status, body);
  }
}

// The connection ends without the last chunk, and the client resumes the response with a new request.
void Streams::Migrate(Handle handle) {
  const Stream* stream = streams_.Get(handle);
  if (stream == nullptr || !stream->started || !stream->request.resumable) return;
  if (core_->counters != nullptr) ++core_->counters->streams_migrated;
  Handle client = 0;
  if (StreamSink* sink = Conclude(handle, Conclusion::kMigrated, &client)) sink->OnTruncated(client);
}

// ---- How a stream ends ----

// Also cancels the upstream request, whose response nobody would read.
StreamSink* Streams::Conclude(Handle handle, Conclusion how, Handle* client) {
  Stream* stream = streams_.Get(handle);
  if (stream == nullptr) return nullptr;
  if (how != Conclusion::kServed && how != Conclusion::kDisconnected) LogConclusion(*stream, how);
  CountConclusion(*stream, how);
  core_->deadlines->Cancel(stream->watchdog);
  *client = stream->client;
  StreamSink* sink = stream->sink;
  const Handle upstream_request = stream->upstream_request;
  streams_.Remove(handle);
  core_->upstream_requests->Cancel(upstream_request);
  return sink;
}

const char* Streams::ConclusionName(Conclusion how) {
  switch (how) {
    case Conclusion::kServed:
      return "served";
    case Conclusion::kRejected:
      return "refused";
    case Conclusion::kFailed:
      return "failed";
    case Conclusion::kMigrated:
      return "migrated";
    case Conclusion::kDisconnected:
      return "client-left";
  }
  return "";
}

// Logs what the node knew of the request's attempts when it concluded the request by itself, so that it can
// be checked whether a rejection was justified, and whether the node itself ended a stream.
void Streams::LogConclusion(const Stream& stream, Conclusion how) const {
  const Time now = Now();
  Log(Level::kInfo, "request-ended",
      {{"id", stream.request.call_id},
       {"how", ConclusionName(how)},
       {"class", stream.class_name},
       {"attempts", stream.attempts},
       {"written", stream.attempts_written},
       {"out", stream.upstream_request != 0},
       {"started", stream.started},
       {"last", stream.last_replica == 0 ? "-" : Hex8(stream.last_replica)},
       {"outcome", stream.last_replica == 0 ? "-" : Name(stream.last_outcome)},
       {"age_ms", (now - stream.request.received_at) / 1000},
       {"left_ms", (stream.deadline - now) / 1000}});
}

void Streams::CountStart(Stream& stream) {
  if (core_->counters == nullptr) return;
  const auto& classes = core_->config->settings.classes;
  const auto index = static_cast<std::size_t>(stream.request.arrival.class_index);
  const Time elapsed = std::max<Time>(1, Now() - stream.request.received_at);
  if (index < classes.size()) {
    const policy::ClassSettings& c = classes[index];
    const double for_prompt =
        static_cast<double>(c.objective_per_1000_tokens) * stream.request.arrival.prompt_tokens / 1000.0;
    const double objective = static_cast<double>(c.latency_objective) + for_prompt;
    stream.within_objective = static_cast<double>(elapsed) <= objective;
  }
  NodeCounters::RequestClass& counters = core_->counters->by_class[stream.class_name];
  const double ln = std::log(static_cast<double>(elapsed) / 1000.0);
  ++counters.started;
  counters.first_token_ln += ln;
  counters.first_token_ln_squared += ln * ln;
}

void Streams::CountConclusion(const Stream& stream, Conclusion how) {
  if (how == Conclusion::kDisconnected || core_->counters == nullptr) return;
  NodeCounters::RequestClass& counters = core_->counters->by_class[stream.class_name];
  if (how == Conclusion::kServed) {
    ++counters.served;
    if (stream.within_objective) ++counters.within_objective;
  } else if (how == Conclusion::kRejected) {
    ++counters.rejected;
  } else {
    ++counters.failed;
  }
  const auto attempts = static_cast<std::uint64_t>(stream.attempts);
  counters.attempts += attempts;
  counters.attempts_squared += attempts * attempts;
}

}  // namespace ryeglade
