// ryeglade::policy: every decision of the router. The interface (settings, events, actions) is
// include/ryeglade/router.h.
//
// The ordinary path, after Dyachuk and Deters' transparent scheduling:
//   a request arrives      -> it is held; its size is estimated from what its bucket took before (Estimate);
//   held requests leave    -> shortest estimated first, while this node's in-flight total is below the sum
//                             of its caps and some replica has room under its own cap (Release);
//   each goes to the replica with most room, room being counted in requests like this one, so that a replica
//                             which keeps the prompt has more of it (Choose);
//   outcomes teach         -> the estimates (served answers only), how slow each replica is, and the caps.
// What departs from that path is marked "Departure" and listed, with its condition, in docs/design.md.
#include "ryeglade/router.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "adaptive_concurrency.h"
#include "capacity_backoff.h"
#include "endpoint_polling.h"
#include "fleet.h"
#include "hashing.h"
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

// Learning.
constexpr double kFailureSlow = 1.1;  // ln 3: a failed attempt makes a replica look this much slower

Settings Checked(Settings settings) {
  if (settings.classes.empty()) settings.classes.emplace_back();
  settings.node_count = std::max(1, settings.node_count);
  return settings;
}

}  // namespace

class Router::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Time now);
  void Handle(Time now, const Event& event, std::vector<Action>& actions);

  const Replica* Find(ReplicaId id) const { return fleet_.Find(id); }
  bool MayRefuse(RequestId id) const {
    const auto it = requests_.find(id);
    return it != requests_.end() && retry_policy_.MayReject(it->second);
  }
  void Retune(const std::vector<ClassSettings>& classes, int max_attempts) {
    if (classes.size() < settings_.classes.size()) return;
    settings_.classes = classes;
    settings_.max_attempts = std::max(1, max_attempts);
    Fit();
  }
  LearnedState Export() const;
  std::size_t held() const { return queue_.size(); }
  std::size_t open() const { return requests_.size(); }
  double total_concurrency_limit() const { return limits_.total(); }
  void Observe(DecisionObserver* observer) { observer_ = observer; }

 private:
  // Events.
  void On(const EndpointList& e);
  void On(const RequestArrived& e);
  void On(const ResponseStarted& e);
  void On(const AttemptEnded& e);
  void On(const ClientDisconnected& e);
  void On(const TimerFired& e);
  void On(const HealthCheckCompleted&) {}
  void On(const NodeCountChanged& e);
  void On(const TrafficShareChanged& e);
  void On(const StateRestored& e);
  void On(const SiblingInFlightChanged& e);
  void On(const PeerReportsReceived& e);
  void On(const DeadlineShortened& e);
  void On(const PrefixTrafficReceived& e) { affinity_.SetTierTraffic(e.shares); }
  void Fit();  // what is learned class by class, to the classes in force

  // The ordinary path.
  PriorityTier TierOf(const Request& r) const;
  void Hold(Request& r);
  void Release();
  void Send(Request& r, Replica& to);
  void DoneReading(Attempt& a);

  // What is learned.
  LimitUsage Usage() const { return {now_, fleet_.in_flight(), limits_.total(), estimator_.mean_runtime()}; }
  void LearnServed(const Request& r, Replica* from, Time runtime);
  void LearnSlow(Replica& x, double log_ratio);
  void LearnFailure(Replica& x, Outcome o);

  // Rules.
  const ClassSettings& ClassOf(const Request& r) const { return settings_.classes[r.class_index()]; }
  void Conclude(Request& r, ConclusionReason why);
  void Forget(RequestId id);
  void RetryOrConclude(Request& r, Outcome o);
  Time GiveUpAt(const Request& r) const;

  void AskForList();
  template <class T>
  void Act(T action) {
    actions_->push_back(std::move(action));
  }

  Settings settings_;
  RandomSource random_;
  Time now_;
  std::vector<Action>* actions_ = nullptr;
  DecisionObserver* observer_ = nullptr;

  Fleet fleet_;
  RuntimeEstimator estimator_{settings_};
  ReplicaSpeed speed_{settings_};
  LoadReports load_reports_{settings_, speed_};
  SlowStart slow_start_{settings_};
  TrafficShare traffic_share_{settings_.node_count};
  AdaptiveConcurrency concurrency_{settings_, traffic_share_};
  OutlierEjection ejection_;
  PrefixAffinity affinity_{settings_};
  TenantQuotas tenant_quotas_{settings_, traffic_share_};
  RetryPolicy retry_policy_{settings_};
  RetryBudget retry_budget_;
  EndpointPolling polling_{settings_};
  ReplicaLimits limits_{
      {fleet_, traffic_share_, concurrency_, speed_, slow_start_, ejection_, load_reports_}};
  ReplicaSelector selector_{
      {settings_, fleet_, traffic_share_, limits_, speed_, load_reports_, affinity_, retry_policy_, random_}};
  std::unordered_map<RequestId, Request> requests_;
  RequestQueue queue_;

  TimerQueue timers_;
};

Router::Impl::Impl(const Settings& settings, std::uint64_t seed, Time now)
    : settings_(Checked(settings)), random_(seed), now_(now) {
  Fit();
  if (const std::optional<Time> delay = polling_.FirstDelay(random_)) {
    timers_.Schedule(now_ + *delay, TimerKind::kPollEndpoints);
  }
}

void Router::Impl::Handle(Time now, const Event& event, std::vector<Action>& actions) {
  now_ = std::max(now_, now);
  actions_ = &actions;
  std::visit([this](const auto& e) { On(e); }, event);
  Release();
  if (const std::optional<SetTimer> timer = timers_.Arm(now_)) Act(*timer);
  actions_ = nullptr;
}

// ---- The list of replicas ----

void Router::Impl::On(const EndpointList& e) {
  if (e.scope == EndpointListScope::kFailed) {
    // The old list stays.
    const std::optional<Time> delay = polling_.OnFailure(random_);
    if (delay) timers_.Schedule(now_ + *delay, TimerKind::kPollEndpoints);
    return;
  }
  polling_.OnList(e.scope);
  fleet_.Apply(e, now_, random_);
  limits_.Invalidate();
  selector_.OnFleetChanged();
}

void Router::Impl::AskForList() {
  if (polling_.OpenWatch()) Act(WatchEndpoints{true});
}

// ---- Requests ----

void Router::Impl::On(const RequestArrived& e) {
  if (requests_.contains(e.id)) return;
  Request& r = requests_[e.id];
  r.arrival = e;
  r.arrival.class_index = std::clamp(e.class_index, 0, static_cast<int>(settings_.classes.size()) - 1);
  r.arrival.prompt_tokens = std::min(1e9, std::max(0.0, e.prompt_tokens));  // 0 for what is no number
  const ClassSettings& c = ClassOf(r);
  r.arrived_at = now_;
  r.deadline = now_ + std::max<Time>(0, e.time_budget);
  r.objective_at =
      now_ + c.latency_objective +
      static_cast<Time>(static_cast<double>(c.objective_per_1000_tokens) * r.arrival.prompt_tokens / 1000.0);
  retry_budget_.AddRequest();
  affinity_.CountArrival(e, now_);
  r.over_quota = tenant_quotas_.CountArrival(e.tenant_index, now_);
  estimator_.Estimate(r);
  // A try can come with no patience left; a timer would answer it a tick too late.
  if (GiveUpAt(r) <= now_) return Conclude(r, ConclusionReason::kNoTimeBudget);
  Hold(r);
}

void Router::Impl::On(const ClientDisconnected& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end() || it->second.concluded) return;
  Request& r = it->second;
  queue_.Dequeue(r);
  r.concluded = true;
  if (settings_.can_cancel) {
    for (std::size_t i = 0; i < r.attempts.size(); ++i) {
      if (r.attempts[i].in_flight) Act(CancelAttempt{e.id, static_cast<int>(i)});
    }
  }
  Forget(e.id);
}

// An attempt that is out stays so: the request is concluded by its outcome, as there is no time for another.
void Router::Impl::On(const DeadlineShortened& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end() || it->second.concluded || it->second.response_started) return;
  Request& r = it->second;
  r.deadline = std::min(r.deadline, now_ + std::max<Time>(0, e.time_budget));
  if (!r.queued) return;
  r.latest_dispatch_at = GiveUpAt(r);
  if (now_ >= r.latest_dispatch_at) return Conclude(r, ConclusionReason::kQueueTimeout);
  timers_.Schedule(r.latest_dispatch_at, TimerKind::kQueueTimeout, e.id);
}

void Router::Impl::Forget(RequestId id) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && it->second.concluded && it->second.attempts_in_flight == 0)
    requests_.erase(it);
}

Time Router::Impl::GiveUpAt(const Request& r) const {
  // The final answer has to be out before the client's time is up, with some ticks to spare.
  const Time patience = r.deadline - r.arrived_at;
  const Time last = r.deadline - std::max<Time>(20'000, patience / 50);
  // Departure: what earns nothing once its aim has passed is refused early, not served late.
  if (ClassOf(r).late_weight_share <= 0)
    return std::max(r.arrived_at, std::min(last, r.objective_at - estimator_.ExpectedTimeToFirstToken(r)));
  return std::max(r.arrived_at, last);
}

PriorityTier Router::Impl::TierOf(const Request& r) const {
  if (now_ >= r.objective_at - estimator_.ExpectedTimeToFirstToken(r)) return PriorityTier::kObjectiveLost;
  return r.over_quota ? PriorityTier::kOverQuota : PriorityTier::kOrdinary;
}

void Router::Impl::Hold(Request& r) {
  const double key = QueueKey(
      {r.arrived_at, r.objective_at - r.arrived_at, r.estimated_runtime, estimator_.TypicalRuntime(r)});
  // Departure: what can no longer meet its aim waits behind what can. In the order of size and age alone, a
  // queue that has once grown past the aim serves everything late.
  const Time last_call = r.objective_at - estimator_.ExpectedTimeToFirstToken(r);
  const PriorityTier tier = TierOf(r);
  queue_.Enqueue(r, tier, key);
  r.latest_dispatch_at = GiveUpAt(r);
  if (tier != PriorityTier::kObjectiveLost && last_call < r.latest_dispatch_at)
    timers_.Schedule(last_call, TimerKind::kObjectiveLost, r.id());
  timers_.Schedule(r.latest_dispatch_at, TimerKind::kQueueTimeout, r.id());
}

void Router::Impl::Release() {
  if (queue_.empty()) return;
  limits_.Update(now_);
  int stuck = 0;  // requests that rules keep from every replica with room; they must not block the others
  for (auto it = queue_.begin(); it != queue_.end() && stuck < 8;) {
    if (fleet_.in_flight() >= std::max(1.0, limits_.total())) return;
    Request& r = requests_.at(it->id);
    ++it;
    Replica* to = selector_.Select(r, now_);
    if (to == nullptr) {
      if (r.attempts.empty()) return;  // free to go anywhere, and nowhere is room
      ++stuck;
      continue;
    }
    queue_.Dequeue(r);
    Send(r, *to);
  }
}

void Router::Impl::Send(Request& r, Replica& to) {
  if (observer_ != nullptr && observer_->wants_dispatches()) {
    observer_->OnDispatch(selector_.Describe(r, to, now_));
  }
  const Time write_within = retry_policy_.WriteWithin(r, now_);
  Attempt a;
  a.replica = to.endpoint.id;
  a.zone = to.endpoint.zone;
  a.cell = to.endpoint.cell;
  a.sent_at = now_;
  r.attempts.push_back(a);
  ++r.attempts_in_flight;
  fleet_.AttemptSent(to);
  // What is kept now is what it had to read less; from here on the whole prompt is there.
  r.attempts.back().tokens_to_prefill = selector_.TokensToPrefill(r, to, now_);
  if (to.prefill_backlog_tokens < 1) to.waiting_since = now_;
  to.prefill_backlog_tokens += r.attempts.back().tokens_to_prefill;
  affinity_.RecordDispatch(r.arrival, to.endpoint.id, now_);
  slow_start_.RecordDispatch(to, now_);
  Act(SendAttempt{r.id(), to.endpoint.id, 0, write_within});
}

void Router::Impl::DoneReading(Attempt& a) {
  if (Replica* x = fleet_.Find(a.replica))
    x->prefill_backlog_tokens = std::max(0.0, x->prefill_backlog_tokens - a.tokens_to_prefill);
  a.tokens_to_prefill = 0;
}

// ---- Estimates ----

void Router::Impl::LearnServed(const Request& r, Replica* from, Time runtime) {
  const double t = std::max<double>(1, static_cast<double>(runtime));
  estimator_.LearnRuntime(r, t);
  if (concurrency_.LearnPace(r, runtime, Usage())) limits_.InvalidateUnlessSampling();
  if (from != nullptr) LearnSlow(*from, std::log(t / r.estimated_runtime));
}

void Router::Impl::LearnSlow(Replica& x, double log_ratio) {
  speed_.Learn(x, log_ratio, now_, slow_start_.IsWarmingUp(x, now_));
}

void Router::Impl::LearnFailure(Replica& x, Outcome o) {
  limits_.InvalidateUnlessSampling();
  if (o == Outcome::kAtCapacity) {
    RecordAtCapacity(x, now_, estimator_.mean_runtime(), settings_.connect_timeout);
    timers_.Schedule(x.at_capacity_until, TimerKind::kUpdateLimits);
    if (observer_ != nullptr)
      observer_->OnEjection({x.endpoint.id, o, x.consecutive_failures, x.at_capacity_until});
    concurrency_.LearnLate(Usage());
    return;
  }
  // An error must never make a replica look fast or roomy: it counts as slow.
  LearnSlow(x, kFailureSlow);
  if (o == Outcome::kTimeout) concurrency_.LearnLate(Usage());
  const std::optional<Time> ejected_until = ejection_.RecordFailure(x, o, now_, random_);
  if (!ejected_until) return;
  timers_.Schedule(*ejected_until, TimerKind::kUpdateLimits);
  if (fleet_.UsesSampling() && ejection_.is_enforced()) limits_.Exclude(x);
  if (observer_ != nullptr) observer_->OnEjection({x.endpoint.id, o, x.consecutive_failures, *ejected_until});
}

// ---- Outcomes ----

void Router::Impl::On(const ResponseStarted& e) {
  const auto it = requests_.find(e.id);
  Attempt* const a = it == requests_.end() ? nullptr : it->second.InFlightAttempt(e.attempt);
  if (a == nullptr || it->second.response_started || it->second.concluded) return;
  Request& r = it->second;
  r.response_started = true;
  DoneReading(*a);
  r.time_to_first_token = e.elapsed;
  const double aim = static_cast<double>(r.objective_at - r.arrived_at);
  const double t = static_cast<double>(e.elapsed);
  if (concurrency_.LearnTimeToFirstToken(t, aim, Usage())) limits_.InvalidateUnlessSampling();
  if (Replica* x = fleet_.Find(a->replica)) {
    x->consecutive_failures = 0, x->waiting_since = now_;
    if (const std::optional<double> typical = estimator_.TypicalTimeToFirstToken(r)) {
      LearnSlow(*x, std::log(std::max(1.0, t) / std::max(1.0, *typical)));
    }
  }
  estimator_.LearnTimeToFirstToken(r, t);
}

void Router::Impl::On(const AttemptEnded& e) {
  const auto it = requests_.find(e.id);
  Attempt* const out = it == requests_.end() ? nullptr : it->second.InFlightAttempt(e.attempt);
  if (out == nullptr) return;
  Request& r = it->second;
  Attempt& a = *out;
  a.in_flight = false;
  DoneReading(a);
  a.may_have_run = !ProvesNotRun(e.outcome);
  --r.attempts_in_flight;
  Replica* x = fleet_.Find(a.replica);
  fleet_.AttemptEnded(x);
  if (x != nullptr) {
    load_reports_.Take(*x, e.load_report, now_);
    if (e.outcome == Outcome::kServed) {
      x->consecutive_failures = 0;
      LearnServed(r, x, e.elapsed);
    } else if (e.outcome != Outcome::kCancelled && e.outcome != Outcome::kNotSent) {
      LearnFailure(*x, e.outcome);
    }
    fleet_.RemoveIfGone(*x);
  }
  if (e.request_concluded || e.outcome == Outcome::kServed ||
      (r.response_started && !r.concluded && r.attempts_in_flight == 0)) {
    if (!r.concluded && !e.request_concluded && e.outcome != Outcome::kServed) {
      Conclude(r, ConclusionReason::kStreamInterrupted);
    } else {
      queue_.Dequeue(r);
      r.concluded = true;
      Forget(e.id);
    }
    return;
  }
  if (r.concluded) {
    Forget(e.id);
    return;
  }
  if (!r.response_started && r.attempts_in_flight == 0) RetryOrConclude(r, e.outcome);
}

void Router::Impl::RetryOrConclude(Request& r, Outcome o) {
  const bool costs = o != Outcome::kAtCapacity;  // a 'full' is cheap, and its cap has fallen
  if (r.queued) return;
  const bool left = r.attempts.size() < static_cast<std::size_t>(settings_.max_attempts);
  if (left && now_ < GiveUpAt(r) && retry_policy_.MaySend(r, now_) && (!costs || retry_budget_.HasRetry())) {
    if (costs) retry_budget_.SpendRetry();
    Hold(r);
    return;
  }
  Conclude(r, !left                             ? ConclusionReason::kAttemptsExhausted
              : now_ >= GiveUpAt(r)             ? ConclusionReason::kDeadlineExceeded
              : !retry_policy_.MaySend(r, now_) ? ConclusionReason::kUnsafeToRetry
                                                : ConclusionReason::kRetryBudgetExhausted);
}

// ---- The rules ----

// The one final answer, given only when no attempt is out: a refusal where that is allowed, else a failure.
void Router::Impl::Conclude(Request& r, ConclusionReason why) {
  const RequestId id = r.id();
  if (observer_ != nullptr) {
    observer_->OnConclusion({id, why, static_cast<int>(r.attempts.size()), now_ - r.arrived_at,
                             static_cast<std::uint32_t>(queue_.size()), limits_.total(),
                             fleet_.own_in_flight()});
  }
  queue_.Dequeue(r);
  if (retry_policy_.MayReject(r)) {
    Act(RejectRequest{id, settings_.clients_honor_retry_after ? settings_.max_retry_after : 0});
  } else {
    Act(FailRequest{id});
  }
  r.concluded = true;
  Forget(id);
}

// ---- Timers and probes ----

void Router::Impl::On(const TimerFired& e) {
  timers_.Fired(e.token);
  while (const std::optional<Timer> timer = timers_.PopDue(now_)) {
    if (timer->kind == TimerKind::kUpdateLimits) {  // Handle releases after every event
      limits_.Invalidate();
      continue;
    }
    if (timer->kind == TimerKind::kPollEndpoints) {
      AskForList();
      continue;
    }
    const auto it = requests_.find(timer->request);
    if (it == requests_.end() || it->second.concluded || it->second.response_started) continue;
    Request& r = it->second;
    if (timer->kind == TimerKind::kObjectiveLost) {
      if (r.queued && r.queue_position.tier != PriorityTier::kObjectiveLost) {
        queue_.Dequeue(r);
        Hold(r);
      }
    } else if (timer->kind == TimerKind::kQueueTimeout) {
      if (r.queued && now_ >= r.latest_dispatch_at) Conclude(r, ConclusionReason::kQueueTimeout);
    }
  }
}

void Router::Impl::On(const NodeCountChanged& e) {
  const double before = std::exchange(settings_.node_count, std::max(1, e.node_count));
  concurrency_.Scale(traffic_share_.ScaleNodeCount(before, settings_.node_count));
  limits_.InvalidateUnlessSampling();
}

void Router::Impl::On(const TrafficShareChanged& e) {
  const std::optional<double> factor = traffic_share_.SetShare(e.share);
  if (!factor) return;
  concurrency_.Scale(*factor);
  limits_.InvalidateUnlessSampling();
}

// What another process of this node learned, and what it still has out: a hot restart loses neither.
void Router::Impl::On(const StateRestored& e) {
  if (e.state == nullptr) return;
  const LearnedState& state = *e.state;
  concurrency_.RestoreFrom(state);
  estimator_.RestoreFrom(state);
  speed_.RestoreFrom(state);
  slow_start_.RestoreFrom(state);
  affinity_.RestoreFrom(state);
  tenant_quotas_.RestoreFrom(state);
  retry_budget_.RestoreFrom(state);
  for (const LearnedState::Replica& r : state.replicas) {
    Replica* x = fleet_.Find(r.id);
    if (x != nullptr && x->endpoint.started_at == r.started_at) static_cast<LearnedReplica&>(*x) = r.learned;
  }
  limits_.Invalidate();
}

void Router::Impl::On(const SiblingInFlightChanged& e) { fleet_.SetSiblingInFlight(e.in_flight); }

void Router::Impl::On(const PeerReportsReceived& e) {
  for (const PeerReplicaReport& t : e.replicas) {
    Replica* x = fleet_.Find(t.id);
    if (x == nullptr || x->endpoint.started_at != t.started_at) continue;
    x->peer_report = t;
    x->peer_report.slowness = std::clamp(t.slowness, -ReplicaSpeed::kMaxSlowness, ReplicaSpeed::kMaxSlowness);
    x->peer_report.slowness_samples = std::clamp(t.slowness_samples, 0.0, ReplicaSpeed::kPriorWeight);
    x->peer_report_at = now_;
    if (t.ejected_until > now_) timers_.Schedule(t.ejected_until, TimerKind::kUpdateLimits);
  }
  limits_.Invalidate();
}

void Router::Impl::Fit() {
  concurrency_.ResizeTables();
  estimator_.ResizeTables();
  speed_.ResizeTables();
  tenant_quotas_.ResizeTables();
}

LearnedState Router::Impl::Export() const {
  LearnedState all;
  concurrency_.ExportTo(all);
  estimator_.ExportTo(all);
  speed_.ExportTo(all);
  slow_start_.ExportTo(all);
  affinity_.ExportTo(all);
  tenant_quotas_.ExportTo(all);
  retry_budget_.ExportTo(all);
  for (const auto& x : fleet_.replicas())
    all.replicas.push_back({x->endpoint.id, x->endpoint.started_at, x->in_flight, *x});
  return all;
}

// ---- The public face ----

Router::Router(const Settings& settings, std::uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::Handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

void Router::SetObserver(DecisionObserver* observer) { impl_->Observe(observer); }
void Router::UpdateClasses(const std::vector<ClassSettings>& classes, int max_attempts) {
  impl_->Retune(classes, max_attempts);
}

std::size_t Router::queued_requests() const { return impl_->held(); }
std::size_t Router::open_requests() const { return impl_->open(); }
ReplicaView Router::replica(ReplicaId replica) const {
  const ReplicaView* x = impl_->Find(replica);
  return x == nullptr ? ReplicaView{} : *x;
}
LearnedState Router::ExportState() const { return impl_->Export(); }
double Router::total_concurrency_limit() const { return impl_->total_concurrency_limit(); }
bool Router::may_reject(RequestId id) const { return impl_->MayRefuse(id); }

}  // namespace ryeglade::policy
