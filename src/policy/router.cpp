// The decisions of the router. The interface (settings, events, actions) is include/ryeglade/router.h.
//
// The ordinary path of a request follows Dyachuk and Deters' transparent scheduling:
//   1. A request that arrives is queued. Its runtime is estimated from those of similar requests
//      (RuntimeEstimator).
//   2. Queued requests are dispatched in the order of their estimates, the shortest first, while this node
//      has fewer attempts in flight than the sum of its concurrency limits and a replica has spare capacity
//      (DispatchQueued).
//   3. A request is sent to the replica with the most spare capacity, measured in requests like this one,
//      so that a replica which has cached the prompt has more of it (ReplicaSelector).
//   4. From the outcomes the Router learns the estimates (from served requests only), how slow each replica
//      is, and the limits (LearnServed, LearnFailure).
// Code that departs from this path is marked "Departure". docs/design.md lists the departures with their
// conditions.
#include "ryeglade/router.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_map>
#include <utility>

#include "adaptive_concurrency.h"
#include "capacity_backoff.h"
#include "endpoint_polling.h"
#include "fleet.h"
#include "load_reports.h"
#include "outlier_ejection.h"
#include "prefix_affinity.h"
#include "queue_order.h"
#include "random_source.h"
#include "replica.h"
#include "replica_limits.h"
#include "replica_selector.h"
#include "replica_speed.h"
#include "request.h"
#include "request_queue.h"
#include "retry_policy.h"
#include "runtime_estimator.h"
#include "slow_start.h"
#include "tenant_quotas.h"
#include "timer_queue.h"
#include "traffic_share.h"

namespace ryeglade::policy {
namespace {

// ln 3: a failed attempt counts as an answer that took three times as long as expected.
constexpr double kFailureSlowness = 1.1;
constexpr double kMaxPromptTokens = 1e9;  // longer prompts could overflow the latency objective
// Retry rules can keep a queued request from every replica with spare capacity. Up to this many such requests
// are passed over in one round, so that they don't block the others.
constexpr int kMaxUnplaceable = 8;
// The final response must be sent before the client's deadline by the larger of these margins: a fixed time,
// or the time budget divided by kResponseMarginParts.
constexpr Time kMinResponseMargin = 20'000;
constexpr Time kResponseMarginParts = 50;

// Makes sure that there is a class and that the tier has at least one node.
Settings Normalized(Settings settings) {
  if (settings.classes.empty()) settings.classes.emplace_back();
  settings.node_count = std::max(1, settings.node_count);
  return settings;
}

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

class Router::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Time now);

  void Handle(Time now, const Event& event, std::vector<Action>& actions);
  void UpdateClasses(const std::vector<ClassSettings>& classes, int max_attempts);
  void SetObserver(DecisionObserver* observer) { observer_ = observer; }
  LearnedState ExportState() const;

  const Replica* FindReplica(ReplicaId id) const { return fleet_.Find(id); }
  bool MayReject(RequestId id) const;
  std::size_t queued_requests() const { return queue_.size(); }
  std::size_t open_requests() const { return requests_.size(); }
  double total_concurrency_limit() const { return limits_.total(); }

 private:
  // Event handlers.
  void HandleEvent(const Event& event);
  void OnEndpointList(const EndpointList& list);
  void OnRequestArrived(const RequestArrived& arrival);
  void OnResponseStarted(const ResponseStarted& started);
  void OnAttemptEnded(const AttemptEnded& ended);
  void OnClientDisconnected(RequestId id);
  void OnDeadlineShortened(const DeadlineShortened& shortened);
  void OnTimerFired(std::uint64_t token);
  void OnNodeCountChanged(int node_count);
  void OnTrafficShareChanged(double share);
  void OnStateRestored(const LearnedState& state);
  void OnPeerReports(const std::vector<PeerReplicaReport>& reports);

  // The queue.
  void Enqueue(Request& request);
  void DispatchQueued();
  void Send(Request& request, Replica& replica);
  Time LatestDispatch(const Request& request) const;
  Time LatestDispatchForObjective(const Request& request) const;
  PriorityTier TierOf(const Request& request) const;
  void OnRequestTimer(const Timer& timer);

  // Retries and the conclusion of requests.
  void RetryOrConclude(Request& request, Outcome outcome);
  ConclusionReason WhyNoRetry(const Request& request) const;
  void Conclude(Request& request, ConclusionReason reason);
  void MarkConcluded(Request& request);

  // Learning from outcomes.
  void FinishPrefill(Attempt& attempt);
  void LearnServed(const Request& request, Replica& replica, Time runtime);
  void LearnFailure(Replica& replica, Outcome outcome);
  void LearnAtCapacity(Replica& replica);
  void LearnSpeed(Replica& replica, double log_ratio);
  LimitUsage CurrentUsage() const;
  void ResizeTables();

  const ClassSettings& ClassOf(const Request& request) const {
    return settings_.classes[request.class_index()];
  }
  // Returns null if the request is unknown or concluded.
  Request* FindOpen(RequestId id);
  void PollEndpointsAfter(std::optional<Time> delay);
  void ReportEjection(const Replica& replica, Outcome outcome, Time until) const;
  template <class T>
  void Emit(T action) {
    actions_->push_back(std::move(action));
  }

  Settings settings_;
  RandomSource random_;
  Time now_;                                // time of the latest event; never decreases
  std::vector<Action>* actions_ = nullptr;  // set while an event is handled
  DecisionObserver* observer_ = nullptr;    // null: none

  // State of the replicas, and what is learned from outcomes.
  Fleet fleet_;
  TrafficShare traffic_share_{settings_.node_count};
  RuntimeEstimator estimator_{settings_};
  ReplicaSpeed speed_{settings_};
  LoadReports load_reports_{settings_, speed_};
  SlowStart slow_start_{settings_};
  OutlierEjection ejection_;
  AdaptiveConcurrency concurrency_{settings_, traffic_share_};
  PrefixAffinity affinity_{settings_};
  TenantQuotas tenant_quotas_{settings_, traffic_share_};
  RetryBudget retry_budget_;

  // Decisions based on that state.
  RetryPolicy retry_policy_{settings_};
  ReplicaLimits limits_{
      {fleet_, traffic_share_, concurrency_, speed_, slow_start_, ejection_, load_reports_}};
  ReplicaSelector selector_{
      {settings_, fleet_, traffic_share_, limits_, speed_, load_reports_, affinity_, retry_policy_, random_}};
  EndpointPolling polling_{settings_};

  std::unordered_map<RequestId, Request> requests_;
  RequestQueue queue_;
  TimerQueue timers_;
};

Router::Impl::Impl(const Settings& settings, std::uint64_t seed, Time now)
    : settings_(Normalized(settings)), random_(seed), now_(now) {
  ResizeTables();
  PollEndpointsAfter(polling_.FirstDelay(random_));
}

// ---- Events ----

void Router::Impl::Handle(Time now, const Event& event, std::vector<Action>& actions) {
  now_ = std::max(now_, now);
  actions_ = &actions;
  HandleEvent(event);
  DispatchQueued();
  if (const std::optional<SetTimer> timer = timers_.Arm(now_)) Emit(*timer);
  actions_ = nullptr;
}

void Router::Impl::HandleEvent(const Event& event) {
  const Overloaded handlers = {
      [&](const EndpointList& e) { OnEndpointList(e); },
      [&](const RequestArrived& e) { OnRequestArrived(e); },
      [&](const ResponseStarted& e) { OnResponseStarted(e); },
      [&](const AttemptEnded& e) { OnAttemptEnded(e); },
      [&](const ClientDisconnected& e) { OnClientDisconnected(e.id); },
      [&](const DeadlineShortened& e) { OnDeadlineShortened(e); },
      [&](const TimerFired& e) { OnTimerFired(e.token); },
      [&](const HealthCheckCompleted&) {},  // ignored: the Router requests no health checks
      [&](const NodeCountChanged& e) { OnNodeCountChanged(e.node_count); },
      [&](const TrafficShareChanged& e) { OnTrafficShareChanged(e.share); },
      [&](const StateRestored& e) {
        if (e.state != nullptr) OnStateRestored(*e.state);
      },
      [&](const SiblingInFlightChanged& e) { fleet_.SetSiblingInFlight(e.in_flight); },
      [&](const PeerReportsReceived& e) { OnPeerReports(e.replicas); },
      [&](const PrefixTrafficReceived& e) { affinity_.SetTierTraffic(e.shares); },
  };
  std::visit(handlers, event);
}

// ---- Replicas and the routing tier ----

void Router::Impl::OnEndpointList(const EndpointList& list) {
  if (list.scope == EndpointListScope::kFailed) {  // the previous list stays in use
    PollEndpointsAfter(polling_.OnFailure(random_));
    return;
  }
  polling_.OnList(list.scope);
  fleet_.Apply(list, now_, random_);
  limits_.Invalidate();
  selector_.OnFleetChanged();
}

void Router::Impl::PollEndpointsAfter(std::optional<Time> delay) {
  if (delay) timers_.Schedule(now_ + *delay, TimerKind::kPollEndpoints);
}

void Router::Impl::OnNodeCountChanged(int node_count) {
  const double before = std::exchange(settings_.node_count, std::max(1, node_count));
  concurrency_.Scale(traffic_share_.ScaleNodeCount(before, settings_.node_count));
  limits_.InvalidateUnlessSampling();
}

void Router::Impl::OnTrafficShareChanged(double share) {
  const std::optional<double> factor = traffic_share_.SetShare(share);
  if (!factor) return;
  concurrency_.Scale(*factor);
  limits_.InvalidateUnlessSampling();
}

void Router::Impl::OnPeerReports(const std::vector<PeerReplicaReport>& reports) {
  for (const PeerReplicaReport& report : reports) {
    Replica* replica = fleet_.Find(report.id);
    if (replica == nullptr || replica->endpoint.started_at != report.started_at) continue;
    PeerReplicaReport& known = replica->peer_report;
    known = report;
    known.slowness = std::clamp(report.slowness, -ReplicaSpeed::kMaxSlowness, ReplicaSpeed::kMaxSlowness);
    known.slowness_samples = std::clamp(report.slowness_samples, 0.0, ReplicaSpeed::kPriorWeight);
    replica->peer_report_at = now_;
    if (report.ejected_until > now_) {
      timers_.Schedule(report.ejected_until, TimerKind::kUpdateLimits);
    }
  }
  limits_.Invalidate();
}

// ---- Requests ----

void Router::Impl::OnRequestArrived(const RequestArrived& arrival) {
  if (requests_.contains(arrival.id)) return;
  Request& request = requests_[arrival.id];
  request.arrival = arrival;
  const int last_class = static_cast<int>(settings_.classes.size()) - 1;
  request.arrival.class_index = std::clamp(arrival.class_index, 0, last_class);
  // In this order of the arguments, NaN becomes 0.
  request.arrival.prompt_tokens = std::min(kMaxPromptTokens, std::max(0.0, arrival.prompt_tokens));
  const ClassSettings& settings = ClassOf(request);
  const double objective_for_prompt =
      static_cast<double>(settings.objective_per_1000_tokens) * request.arrival.prompt_tokens / 1000.0;
  request.arrived_at = now_;
  request.deadline = now_ + std::max<Time>(0, arrival.time_budget);
  request.objective_at = now_ + settings.latency_objective + static_cast<Time>(objective_for_prompt);

  retry_budget_.AddRequest();
  affinity_.CountArrival(arrival, now_);
  request.over_quota = tenant_quotas_.CountArrival(arrival.tenant_index, now_);
  estimator_.Estimate(request);

  // The request may arrive with no time left, and a timer would conclude it slightly too late.
  if (LatestDispatch(request) <= now_) {
    Conclude(request, ConclusionReason::kNoTimeBudget);
    return;
  }
  Enqueue(request);
}

void Router::Impl::OnClientDisconnected(RequestId id) {
  Request* request = FindOpen(id);
  if (request == nullptr) return;
  queue_.Dequeue(*request);
  if (settings_.can_cancel) {
    for (std::size_t i = 0; i < request->attempts.size(); ++i) {
      if (request->attempts[i].in_flight) Emit(CancelAttempt{id, static_cast<int>(i)});
    }
  }
  MarkConcluded(*request);
}

// An attempt in flight is not cancelled. Its outcome concludes the request, as there is no time for a retry.
void Router::Impl::OnDeadlineShortened(const DeadlineShortened& shortened) {
  Request* request = FindOpen(shortened.id);
  if (request == nullptr || request->response_started) return;
  request->deadline = std::min(request->deadline, now_ + std::max<Time>(0, shortened.time_budget));
  if (!request->queued) return;
  request->latest_dispatch_at = LatestDispatch(*request);
  if (now_ >= request->latest_dispatch_at) {
    Conclude(*request, ConclusionReason::kQueueTimeout);
    return;
  }
  timers_.Schedule(request->latest_dispatch_at, TimerKind::kQueueTimeout, request->id());
}

Request* Router::Impl::FindOpen(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() || it->second.concluded ? nullptr : &it->second;
}

// ---- The queue ----

// The latest time of a dispatch at which the request can still earn some of its priority weight.
Time Router::Impl::LatestDispatch(const Request& request) const {
  const Time time_budget = request.deadline - request.arrived_at;
  const Time margin = std::max(kMinResponseMargin, time_budget / kResponseMarginParts);
  Time latest = request.deadline - margin;
  // Departure: a request that earns nothing after its objective is rejected early rather than served late.
  if (ClassOf(request).late_weight_share <= 0) {
    latest = std::min(latest, LatestDispatchForObjective(request));
  }
  return std::max(request.arrived_at, latest);
}

// The latest time of a dispatch at which the request is expected to meet its latency objective.
Time Router::Impl::LatestDispatchForObjective(const Request& request) const {
  return request.objective_at - estimator_.ExpectedTimeToFirstToken(request);
}

// Departure: requests that can no longer meet their objective wait behind those that can. If the order
// depended on runtime and age only, a queue in which requests once wait longer than their objective would
// serve every request late.
PriorityTier Router::Impl::TierOf(const Request& request) const {
  if (now_ >= LatestDispatchForObjective(request)) return PriorityTier::kObjectiveMissed;
  return request.over_quota ? PriorityTier::kOverQuota : PriorityTier::kOrdinary;
}

void Router::Impl::Enqueue(Request& request) {
  const PriorityTier tier = TierOf(request);
  queue_.Enqueue(request, tier,
                 QueueKey({request.arrived_at, request.objective_at - request.arrived_at,
                           request.estimated_runtime, estimator_.TypicalRuntime(request)}));
  request.latest_dispatch_at = LatestDispatch(request);
  const Time objective_missed_at = LatestDispatchForObjective(request);
  if (tier != PriorityTier::kObjectiveMissed && objective_missed_at < request.latest_dispatch_at) {
    timers_.Schedule(objective_missed_at, TimerKind::kObjectiveMissed, request.id());
  }
  timers_.Schedule(request.latest_dispatch_at, TimerKind::kQueueTimeout, request.id());
}

void Router::Impl::DispatchQueued() {
  if (queue_.empty()) return;
  limits_.Update(now_);
  int unplaceable = 0;
  for (auto it = queue_.begin(); it != queue_.end() && unplaceable < kMaxUnplaceable;) {
    if (fleet_.in_flight() >= std::max(1.0, limits_.total())) return;
    Request& request = requests_.at(it->id);
    ++it;  // the request may be removed from the queue below
    Replica* replica = selector_.Select(request, now_);
    if (replica != nullptr) {
      queue_.Dequeue(request);
      Send(request, *replica);
    } else if (request.attempts.empty()) {
      return;  // a first attempt may go to any replica, so none has spare capacity
    } else {
      ++unplaceable;
    }
  }
}

void Router::Impl::Send(Request& request, Replica& replica) {
  if (observer_ != nullptr && observer_->wants_dispatches()) {
    observer_->OnDispatch(selector_.Describe(request, replica, now_));
  }
  const Time write_within = retry_policy_.WriteWithin(request, now_);
  Attempt attempt;
  attempt.replica = replica.endpoint.id;
  attempt.zone = replica.endpoint.zone;
  attempt.cell = replica.endpoint.cell;
  attempt.sent_at = now_;
  // Must come before RecordDispatch, after which the whole prompt is taken to be cached at the replica.
  attempt.tokens_to_prefill = selector_.TokensToPrefill(request, replica, now_);
  affinity_.RecordDispatch(request.arrival, replica.endpoint.id, now_);

  if (replica.prefill_backlog_tokens < 1) replica.no_response_since = now_;
  replica.prefill_backlog_tokens += attempt.tokens_to_prefill;
  slow_start_.RecordDispatch(replica, now_);
  fleet_.AttemptSent(replica);
  request.attempts.push_back(attempt);
  ++request.attempts_in_flight;
  Emit(SendAttempt{request.id(), replica.endpoint.id, 0, write_within});
}

// ---- Timers ----

void Router::Impl::OnTimerFired(std::uint64_t token) {
  timers_.Fired(token);
  while (const std::optional<Timer> timer = timers_.PopDue(now_)) {
    switch (timer->kind) {
      case TimerKind::kUpdateLimits:  // the dispatch that follows every event updates them
        limits_.Invalidate();
        break;
      case TimerKind::kPollEndpoints:
        if (polling_.OpenWatch()) Emit(WatchEndpoints{true});
        break;
      case TimerKind::kObjectiveMissed:
      case TimerKind::kQueueTimeout:
        OnRequestTimer(*timer);
        break;
    }
  }
}

void Router::Impl::OnRequestTimer(const Timer& timer) {
  Request* request = FindOpen(timer.request);
  if (request == nullptr || !request->queued || request->response_started) return;
  if (timer.kind == TimerKind::kQueueTimeout) {
    if (now_ >= request->latest_dispatch_at) Conclude(*request, ConclusionReason::kQueueTimeout);
    return;
  }
  if (request->queue_position.tier == PriorityTier::kObjectiveMissed) return;
  queue_.Dequeue(*request);
  Enqueue(*request);
}

// ---- Outcomes ----

void Router::Impl::OnResponseStarted(const ResponseStarted& started) {
  Request* request = FindOpen(started.id);
  Attempt* attempt = request == nullptr ? nullptr : request->InFlightAttempt(started.attempt);
  if (attempt == nullptr || request->response_started) return;
  request->response_started = true;
  request->time_to_first_token = started.elapsed;
  FinishPrefill(*attempt);

  const double time_to_first_token = static_cast<double>(started.elapsed);
  const double objective = static_cast<double>(request->objective_at - request->arrived_at);
  if (concurrency_.LearnTimeToFirstToken(time_to_first_token, objective, CurrentUsage())) {
    limits_.InvalidateUnlessSampling();
  }
  if (Replica* replica = fleet_.Find(attempt->replica)) {
    replica->consecutive_failures = 0;
    replica->no_response_since = now_;
    if (const std::optional<double> typical = estimator_.TypicalTimeToFirstToken(*request)) {
      LearnSpeed(*replica, std::log(std::max(1.0, time_to_first_token) / std::max(1.0, *typical)));
    }
  }
  estimator_.LearnTimeToFirstToken(*request, time_to_first_token);
}

void Router::Impl::OnAttemptEnded(const AttemptEnded& ended) {
  const auto it = requests_.find(ended.id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  Attempt* attempt = request.InFlightAttempt(ended.attempt);
  if (attempt == nullptr) return;

  attempt->in_flight = false;
  attempt->may_have_run = !ProvesNotRun(ended.outcome);
  FinishPrefill(*attempt);
  --request.attempts_in_flight;
  Replica* replica = fleet_.Find(attempt->replica);
  fleet_.AttemptEnded(replica);
  const bool served = ended.outcome == Outcome::kServed;
  if (replica != nullptr) {
    load_reports_.Record(*replica, ended.load_report, now_);
    if (served) {
      LearnServed(request, *replica, ended.elapsed);
    } else if (ended.outcome != Outcome::kCancelled && ended.outcome != Outcome::kNotSent) {
      LearnFailure(*replica, ended.outcome);
    }
    fleet_.RemoveIfUnlisted(*replica);
  }

  if (request.concluded || served || ended.request_concluded) {
    queue_.Dequeue(request);
    MarkConcluded(request);
  } else if (request.attempts_in_flight > 0) {
    return;  // the attempts still in flight decide how the request is concluded
  } else if (request.response_started) {
    Conclude(request, ConclusionReason::kStreamInterrupted);
  } else {
    RetryOrConclude(request, ended.outcome);
  }
}

void Router::Impl::RetryOrConclude(Request& request, Outcome outcome) {
  if (request.queued) return;
  const bool in_time = now_ < LatestDispatch(request);
  // A refusal at capacity costs little and has lowered that replica's limit, so its retry needs no budget.
  const bool takes_budget = outcome != Outcome::kAtCapacity;
  const bool in_budget = !takes_budget || retry_budget_.HasRetry();
  if (in_time && retry_policy_.MaySend(request, now_) && in_budget) {
    if (takes_budget) retry_budget_.SpendRetry();
    Enqueue(request);
    return;
  }
  Conclude(request, WhyNoRetry(request));
}

// Must be called with the same state as the decision in RetryOrConclude.
ConclusionReason Router::Impl::WhyNoRetry(const Request& request) const {
  if (request.attempts.size() >= static_cast<std::size_t>(settings_.max_attempts)) {
    return ConclusionReason::kAttemptsExhausted;
  }
  if (now_ >= LatestDispatch(request)) return ConclusionReason::kDeadlineExceeded;
  if (!retry_policy_.MaySend(request, now_)) return ConclusionReason::kUnsafeToRetry;
  return ConclusionReason::kRetryBudgetExhausted;
}

// Gives the final response: a rejection if that is allowed, else a failure. Must not be called while an
// attempt is in flight.
void Router::Impl::Conclude(Request& request, ConclusionReason reason) {
  const RequestId id = request.id();
  if (observer_ != nullptr) {
    ConclusionRecord record;
    record.id = id;
    record.reason = reason;
    record.attempts = static_cast<int>(request.attempts.size());
    record.open_for = now_ - request.arrived_at;
    record.queue_length = static_cast<std::uint32_t>(queue_.size());
    record.total_concurrency_limit = limits_.total();
    record.in_flight = fleet_.own_in_flight();
    observer_->OnConclusion(record);
  }
  queue_.Dequeue(request);
  if (retry_policy_.MayReject(request)) {
    Emit(RejectRequest{id, settings_.clients_honor_retry_after ? settings_.max_retry_after : 0});
  } else {
    Emit(FailRequest{id});
  }
  MarkConcluded(request);
}

// `request` may have been destroyed when this returns.
void Router::Impl::MarkConcluded(Request& request) {
  request.concluded = true;
  if (request.attempts_in_flight == 0) requests_.erase(request.id());
}

bool Router::Impl::MayReject(RequestId id) const {
  const auto it = requests_.find(id);
  return it != requests_.end() && retry_policy_.MayReject(it->second);
}

// ---- Learning from outcomes ----

// Removes the attempt's tokens from the replica's prefill backlog. Does nothing if called again.
void Router::Impl::FinishPrefill(Attempt& attempt) {
  if (Replica* replica = fleet_.Find(attempt.replica)) {
    replica->prefill_backlog_tokens =
        std::max(0.0, replica->prefill_backlog_tokens - attempt.tokens_to_prefill);
  }
  attempt.tokens_to_prefill = 0;
}

LimitUsage Router::Impl::CurrentUsage() const {
  return {now_, fleet_.in_flight(), limits_.total(), estimator_.mean_runtime()};
}

void Router::Impl::LearnServed(const Request& request, Replica& replica, Time runtime) {
  replica.consecutive_failures = 0;
  const double positive_runtime = std::max<double>(1, static_cast<double>(runtime));
  estimator_.LearnRuntime(request, positive_runtime);
  if (concurrency_.LearnPace(request, runtime, CurrentUsage())) limits_.InvalidateUnlessSampling();
  LearnSpeed(replica, std::log(positive_runtime / request.estimated_runtime));
}

void Router::Impl::LearnFailure(Replica& replica, Outcome outcome) {
  limits_.InvalidateUnlessSampling();
  if (outcome == Outcome::kAtCapacity) {
    LearnAtCapacity(replica);
    return;
  }
  // Failures are often quick and must not make a replica look fast or idle, so they count as slow answers.
  LearnSpeed(replica, kFailureSlowness);
  if (outcome == Outcome::kTimeout) concurrency_.LearnLateResponse(CurrentUsage());
  const std::optional<Time> ejected_until = ejection_.RecordFailure(replica, outcome, now_, random_);
  if (!ejected_until) return;
  timers_.Schedule(*ejected_until, TimerKind::kUpdateLimits);
  if (fleet_.UsesSampling() && ejection_.is_enforced()) limits_.Exclude(replica);
  ReportEjection(replica, outcome, *ejected_until);
}

void Router::Impl::LearnAtCapacity(Replica& replica) {
  RecordAtCapacity(replica, now_, estimator_.mean_runtime(), settings_.connect_timeout);
  timers_.Schedule(replica.at_capacity_until, TimerKind::kUpdateLimits);
  ReportEjection(replica, Outcome::kAtCapacity, replica.at_capacity_until);
  concurrency_.LearnLateResponse(CurrentUsage());
}

void Router::Impl::ReportEjection(const Replica& replica, Outcome outcome, Time until) const {
  if (observer_ == nullptr) return;
  observer_->OnEjection({replica.endpoint.id, outcome, replica.consecutive_failures, until});
}

void Router::Impl::LearnSpeed(Replica& replica, double log_ratio) {
  speed_.Learn(replica, log_ratio, now_, slow_start_.IsWarmingUp(replica, now_));
}

void Router::Impl::UpdateClasses(const std::vector<ClassSettings>& classes, int max_attempts) {
  if (classes.size() < settings_.classes.size()) return;
  settings_.classes = classes;
  settings_.max_attempts = std::max(1, max_attempts);
  ResizeTables();
}

void Router::Impl::ResizeTables() {
  concurrency_.ResizeTables();
  estimator_.ResizeTables();
  speed_.ResizeTables();
  tenant_quotas_.ResizeTables();
}

LearnedState Router::Impl::ExportState() const {
  LearnedState state;
  concurrency_.ExportTo(state);
  estimator_.ExportTo(state);
  speed_.ExportTo(state);
  slow_start_.ExportTo(state);
  affinity_.ExportTo(state);
  tenant_quotas_.ExportTo(state);
  retry_budget_.ExportTo(state);
  for (const auto& replica : fleet_.replicas()) {
    state.replicas.push_back(
        {replica->endpoint.id, replica->endpoint.started_at, replica->in_flight, *replica});
  }
  return state;
}

// Takes over what another process of this node has learned, so that a hot restart does not lose it.
void Router::Impl::OnStateRestored(const LearnedState& state) {
  concurrency_.RestoreFrom(state);
  estimator_.RestoreFrom(state);
  speed_.RestoreFrom(state);
  slow_start_.RestoreFrom(state);
  affinity_.RestoreFrom(state);
  tenant_quotas_.RestoreFrom(state);
  retry_budget_.RestoreFrom(state);
  for (const LearnedState::Replica& restored : state.replicas) {
    Replica* replica = fleet_.Find(restored.id);
    if (replica == nullptr || replica->endpoint.started_at != restored.started_at) continue;
    static_cast<LearnedReplica&>(*replica) = restored.learned;
  }
  limits_.Invalidate();
}

// ---- Router ----

Router::Router(const Settings& settings, std::uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::Handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}
void Router::UpdateClasses(const std::vector<ClassSettings>& classes, int max_attempts) {
  impl_->UpdateClasses(classes, max_attempts);
}
void Router::SetObserver(DecisionObserver* observer) { impl_->SetObserver(observer); }
LearnedState Router::ExportState() const { return impl_->ExportState(); }

std::size_t Router::queued_requests() const { return impl_->queued_requests(); }
std::size_t Router::open_requests() const { return impl_->open_requests(); }
ReplicaView Router::replica(ReplicaId replica_id) const {
  const ReplicaView* replica = impl_->FindReplica(replica_id);
  return replica == nullptr ? ReplicaView{} : *replica;
}
double Router::total_concurrency_limit() const { return impl_->total_concurrency_limit(); }
bool Router::may_reject(RequestId id) const { return impl_->MayReject(id); }

}  // namespace ryeglade::policy
