#include "core/streams.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "core/enum_names.h"

namespace ryeglade {
namespace {

constexpr Time kGuardMargin = 8'000;
constexpr Time kMoveBefore = 600'000;  // this long before the end, clients are sent elsewhere for the rest
constexpr Time kMoveEvery = 50'000;
constexpr int kMoveAtOnce = 8;
constexpr Time kMoveSpare = 50'000;  // and the last are gone by this long before the end
constexpr Time kEndingRetryAfter = 1'000'000;

}  // namespace

Handle Streams::Open(StreamRequest request, StreamSink* sink, Handle client) {
  const Time now = Now();
  const auto& classes = core_->config->settings.classes;
  const auto cls = static_cast<std::size_t>(request.arrival.class_index);
  const std::string class_name = cls < classes.size() ? classes[cls].name : "";
  if (end_by_ != 0 && now >= take_until_) {
    if (core_->counters != nullptr) ++core_->counters->by_class[class_name].busy;
    sink->OnRefused(client, kEndingRetryAfter);
    return 0;
  }
  Time patience = std::max<Time>(0, request.arrival.time_budget - (now - request.sent_at));
  if (end_by_ != 0) patience = std::min(patience, std::max<Time>(0, end_by_ - now));
  core_->dialect->Prepare(request);
  Stream stream{std::move(request)};
  stream.sink = sink;
  stream.client = client;
  stream.class_name = class_name;
  const Handle handle = table_.Add(std::move(stream));
  Stream& s = *table_.Get(handle);
  s.request.arrival.id = handle;
  s.request.arrival.time_budget = patience;
  Bound(s, handle, now + patience);
  if (core_->stream_observer != nullptr) core_->stream_observer->OnCallId(now, handle, s.request.call_id);
  core_->events->Post(s.request.arrival);
  return handle;
}

// Guards against a stream that nothing answers: the module answers sooner, or the upstream request's own
// time-out makes it do so, unless a client comes with very little time left.
void Streams::Bound(Stream& s, Handle handle, Time deadline) {
  const Time patience = std::max<Time>(0, deadline - Now());
  s.deadline = deadline;
  core_->deadlines->Cancel(s.guard);
  s.guard =
      core_->deadlines->Set(deadline - Margin(patience, kGuardMargin), [this, handle] { Guard(handle); });
}

// Guards against a budget that is longer than this process has to live: SIGKILL would find it unanswered. The
// module is told, so that it concludes in time on what it knows of the attempts.
void Streams::EndBy(Time at, Time take_until) {
  end_by_ = at;
  take_until_ = take_until;
  for (const Handle handle : table_.All()) {
    Stream* s = table_.Get(handle);
    if (s == nullptr || s->started || s->deadline <= at) continue;
    Bound(*s, handle, at);
    const Time left = std::max<Time>(0, at - Now());
    core_->upstream_requests->ShortenDeadline(s->upstream_request, at - Margin(left, kTimeoutMargin));
    core_->events->Post(policy::DeadlineShortened{handle, left});
  }
  if (core_->config->settings.can_migrate_streams) {
    core_->deadlines->Cancel(move_on_);
    move_on_ = core_->deadlines->Set(std::max(Now(), at - kMoveBefore), [this] { MoveOn(); });
  }
}

// Guards against streams that are cut by SIGKILL: their clients ask for the rest at a node that is thought to
// be up still, and are refused. While it drains they are sent to another. A few at a time, oldest slot first.
void Streams::MoveOn() {
  // Whatever ends by itself meanwhile need not be moved, so they start as late as they can.
  const std::vector<Handle> all = table_.All();
  const auto running = static_cast<Time>(
      std::count_if(all.begin(), all.end(), [this](Handle h) { return table_.Get(h)->started; }));
  if (Now() + (running / kMoveAtOnce + 1) * kMoveEvery + kMoveSpare < end_by_) {
    move_on_ = core_->deadlines->Set(Now() + kMoveEvery, [this] { MoveOn(); });
    return;
  }
  int moved = 0;
  for (const Handle handle : all) {
    if (!table_.Get(handle)->started) continue;
    if (moved++ == kMoveAtOnce) break;
    Migrate(handle);
  }
  if (moved > 0) Log(Level::kInfo, "moving", {{"streams", table_.size()}});
  move_on_ = core_->deadlines->Set(Now() + kMoveEvery, [this] { MoveOn(); });
}

// The time is up. What may be told to the client hangs on what its attempts may have done, so the module
// answers: it learns that there is no time left, then how the attempt that is out ends. Should it not answer
// even so, the answer given here promises nothing.
void Streams::Guard(Handle handle) {
  const Stream* s = table_.Get(handle);
  if (s == nullptr || s->started) return;
  core_->events->Post(policy::DeadlineShortened{handle, 0});
  s = table_.Get(handle);
  if (s == nullptr) return;
  core_->upstream_requests->Abort(s->upstream_request);
  s = table_.Get(handle);
  if (s == nullptr) return;
  Log(Level::kError, "guard-reply",
      {{"id", s->request.call_id}, {"out", s->upstream_request != 0}, {"written", s->written}});
  if (core_->counters != nullptr) ++core_->counters->guard_replies;
  core_->events->Post(policy::ClientDisconnected{handle});  // to the module it is over
  Fail(handle);
}

bool Streams::CheckClientConnected(Handle handle) {
  const Stream* s = table_.Get(handle);
  if (s == nullptr) return false;
  if (s->sink->Connected(s->client)) return true;
  ClientGone(handle);
  return false;
}

void Streams::ClientGone(Handle handle) {
  Handle client = 0;
  const Stream* s = table_.Get(handle);
  if (s == nullptr) return;
  Log(Level::kInfo, "client-gone", {{"id", s->request.call_id}, {"started", s->started ? 1 : 0}});
  core_->events->Post(policy::ClientDisconnected{handle});
  End(handle, &client, Ended::kGone);
}

void Streams::Pause(Handle handle, bool pause) {
  if (const Stream* s = table_.Get(handle)) core_->upstream_requests->SetPaused(s->upstream_request, pause);
}

void Streams::OnData(Handle handle, std::string_view events) {
  Stream* s = table_.Get(handle);
  if (s == nullptr) return;
  if (!s->started) {
    s->started = true;
    CountStart(*s);
    core_->deadlines->Cancel(s->guard);
    s->request.body.Clear();  // it is not sent again from here on
  }
  s->sink->OnData(s->client, events);
}

void Streams::CountStart(Stream& s) {
  if (core_->counters == nullptr) return;
  const auto& classes = core_->config->settings.classes;
  const auto cls = static_cast<std::size_t>(s.request.arrival.class_index);
  const Time took = std::max<Time>(1, Now() - s.request.sent_at);
  if (cls < classes.size()) {
    const policy::ClassSettings& c = classes[cls];
    const double more =
        static_cast<double>(c.objective_per_1000_tokens) * s.request.arrival.prompt_tokens / 1000.0;
    s.in_time = static_cast<double>(took) <= static_cast<double>(c.latency_objective) + more;
  }
  NodeCounters::Ends& ends = core_->counters->by_class[s.class_name];
  const double ln = std::log(static_cast<double>(took) / 1000.0);
  ++ends.started;
  ends.first_ln += ln;
  ends.first_ln_squared += ln * ln;
}

void Streams::OnComplete(Handle handle) {
  Handle client = 0;
  if (StreamSink* sink = End(handle, &client, Ended::kServed)) sink->OnWhole(client);
}

void Streams::OnTruncated(Handle handle) {
  Handle client = 0;
  if (StreamSink* sink = End(handle, &client, Ended::kFailed)) sink->OnBroken(client);
}

void Streams::Reject(Handle handle, Time retry_after) {
  Handle client = 0;
  const Stream* s = table_.Get(handle);
  if (s != nullptr && s->started) return;
  const Time told = s != nullptr ? std::max(s->stay_away, retry_after) : retry_after;
  if (StreamSink* sink = End(handle, &client, Ended::kRefused)) sink->OnRefused(client, told);
}

void Streams::Fail(Handle handle) {
  Handle client = 0;
  const Stream* s = table_.Get(handle);
  if (s == nullptr || s->started) return;
  const policy::Outcome last = s->last_outcome;
  if (StreamSink* sink = End(handle, &client, Ended::kFailed)) sink->OnFailed(client, last);
}

void Streams::OnRequestRefused(Handle handle, int status, const std::string& body) {
  Handle client = 0;
  const Stream* s = table_.Get(handle);
  if (s == nullptr || s->started) return;
  if (StreamSink* sink = End(handle, &client, Ended::kFailed)) sink->OnRejected(client, status, body);
}

// The client asks for the rest as a new stream once its connection ends without the last chunk.
void Streams::Migrate(Handle handle) {
  const Stream* s = table_.Get(handle);
  if (s == nullptr || !s->started) return;
  OnTruncated(handle);
}

// What the node knew of a request's attempts when it answered by itself: enough to tell whether a refusal was
// true.
void Streams::LogEnd(const Stream& s, Ended how) const {
  const Time now = Now();
  Log(Level::kInfo, "request-ended",
      {{"id", s.request.call_id},
       {"how", how == Ended::kRefused ? "refused" : "failed"},
       {"class", s.class_name},
       {"attempts", s.attempts},
       {"written", s.written},
       {"out", s.upstream_request != 0},
       {"started", s.started},
       {"last", s.last_replica == 0 ? "-" : Hex8(s.last_replica)},
       {"outcome", s.last_replica == 0 ? "-" : Name(s.last_outcome)},
       {"age_ms", (now - s.request.sent_at) / 1000},
       {"left_ms", (s.deadline - now) / 1000}});
}

// Guards against an upstream request that outlives its stream: nobody would ever read its answer.
StreamSink* Streams::End(Handle handle, Handle* client, Ended how) {
  Stream* s = table_.Get(handle);
  if (s == nullptr) return nullptr;
  if (how == Ended::kRefused || how == Ended::kFailed) LogEnd(*s, how);
  if (how != Ended::kGone && core_->counters != nullptr) {
    NodeCounters::Ends& ends = core_->counters->by_class[s->class_name];
    ++(how == Ended::kServed ? ends.success : how == Ended::kRefused ? ends.busy : ends.failure);
    if (how == Ended::kServed && s->in_time) ++ends.in_time;
    const auto tries = static_cast<std::uint64_t>(s->attempts);
    ends.attempts += tries;
    ends.attempts_squared += tries * tries;
  }
  core_->deadlines->Cancel(s->guard);
  *client = s->client;
  StreamSink* sink = s->sink;
  const Handle attempt = s->upstream_request;
  table_.Remove(handle);
  core_->upstream_requests->Cancel(attempt);
  return sink;
}

}  // namespace ryeglade
