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

// Choice of a replica.
constexpr double kLeastRead = 300;     // tokens: what any request costs at least
constexpr double kCrossingRead = 800;  // tokens that a zone crossing is worth
constexpr double kShun = 0.5;          // how far a replica slower than its kind is taken to be fuller
constexpr double kMostOccupied = 0.8;  // replicas are not taken to be fuller than this unless they say so
constexpr double kTie = 0.02;          // rooms closer than this are a tie, drawn by weight

// Large fleets: looking at every replica for every request would cost more the more there are.
constexpr int kPoints = 8;              // of a replica on the ring that says where keys have their homes
constexpr std::size_t kMostHomes = 32;  // of a key that are looked at
constexpr int kDrawn = 24;  // drawn besides: the best of so many is hardly worse than the best of all

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
  Replica* Choose(const Request& r);
  void Send(Request& r, Replica& to);
  void DoneReading(Attempt& a);
  void MakeRing();
  void Everyone(const RequestArrived& i, double prefix_share, double session_share);
  void Candidates(const RequestArrived& i, double prefix_share, double session_share);

  // What is learned.
  LimitUsage Usage() const { return {now_, fleet_.in_flight(), limits_.total(), estimator_.mean_runtime()}; }
  void LearnServed(const Request& r, Replica* from, Time runtime);
  void LearnSlow(Replica& x, double log_ratio);
  void LearnFailure(Replica& x, Outcome o);

  // Rules.
  const ClassSettings& ClassOf(const Request& r) const { return settings_.classes[r.class_index()]; }
  bool ByZone() const { return settings_.cross_zone_penalty > 0 && settings_.zone_count > 1; }
  void Conclude(Request& r, ConclusionReason why);
  void NoteSend(const Request& r, const Replica& to) const;
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
  std::unordered_map<RequestId, Request> requests_;
  RequestQueue queue_;

  TimerQueue timers_;

  struct Option {
    Replica* replica;
    double prefix_rank, session_rank;
    bool home, session_home;
    double room;
    std::uint64_t session_order = 0;  // of large fleets
  };
  std::vector<Option> options_;  // scratch
  // Of large fleets only.
  std::vector<std::pair<std::uint64_t, Replica*>> ring_;  // points of usable replicas, by hash
  bool ring_old_ = true;
  std::uint64_t search_ = 0;
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
  ring_old_ = true;
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
    Replica* to = Choose(r);
    if (to == nullptr) {
      if (r.attempts.empty()) return;  // free to go anywhere, and nowhere is room
      ++stuck;
      continue;
    }
    queue_.Dequeue(r);
    Send(r, *to);
  }
}

// From what Choose has just weighed.
void Router::Impl::NoteSend(const Request& r, const Replica& to) const {
  DispatchRecord note{r.id(), static_cast<int>(r.attempts.size()), to.endpoint.id, r.estimated_runtime,
                      now_ - r.arrived_at};
  note.candidates = static_cast<int>(options_.size());
  note.concurrency_limit = to.concurrency_limit;
  note.in_flight = to.in_flight;
  for (const Option& o : options_) {
    if (o.room >= 0) ++note.candidates_with_capacity;
    if (o.replica == &to) {
      note.score = o.room;
      note.tokens_to_prefill = affinity_.TokensToPrefill(r.arrival, to, {o.home, false, false}, now_);
    } else if (o.room > note.runner_up_score) {
      note.runner_up = o.replica->endpoint.id;
      note.runner_up_score = o.room;
    }
  }
  observer_->OnDispatch(note);
}

void Router::Impl::Send(Request& r, Replica& to) {
  if (observer_ != nullptr && observer_->wants_dispatches()) NoteSend(r, to);
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
  const bool home = std::any_of(options_.begin(), options_.end(),
                                [&](const Option& o) { return o.replica == &to && o.home; });
  r.attempts.back().tokens_to_prefill = affinity_.TokensToPrefill(r.arrival, to, {home, false, false}, now_);
  if (to.prefill_backlog_tokens < 1) to.waiting_since = now_;
  to.prefill_backlog_tokens += r.attempts.back().tokens_to_prefill;
  affinity_.RecordDispatch(r.arrival, to.endpoint.id, now_);
  slow_start_.RecordDispatch(to, now_);
  Act(SendAttempt{r.id(), to.endpoint.id, 0, write_within});
}

// The replica with most room. Room is the part of a replica's cap that is thought free, counted in requests
// like this one: where its prompt is kept, a request takes less, so more of them fit.
Replica* Router::Impl::Choose(const Request& r) {
  const double nodes = traffic_share_.equivalent_nodes();
  const bool by_zone = ByZone();
  const RequestArrived& i = r.arrival;
  options_.clear();
  const double prefix_share = i.prefix != 0 ? affinity_.TrafficShareOf(i.prefix, now_) : 0;
  const double session_share = i.session != 0 ? affinity_.RecentTrafficShareOf(i.session, now_) : 0;
  fleet_.UsesSampling() ? Candidates(i, prefix_share, session_share)
                        : Everyone(i, prefix_share, session_share);
  if (options_.empty()) return nullptr;
  // What others have out is not seen; it is taken to be like this node's own, or like what replicas report.
  double occupied = std::min(kMostOccupied, fleet_.in_flight() / std::max(limits_.total(), 1e-9));

  const double among =
      static_cast<double>(fleet_.UsesSampling() ? limits_.available().size() : options_.size());
  const bool hot = PrefixAffinity::IsHot(session_share, among);
  double best = -1;
  for (Option& o : options_) {
    const Replica& x = *o.replica;
    o.room = -1;
    if (!limits_.HasCapacity(x, now_) || !retry_policy_.MaySendTo(r, x, now_)) continue;
    const bool tried = std::any_of(r.attempts.begin(), r.attempts.end(),
                                   [&](const Attempt& a) { return a.replica == x.endpoint.id; });
    // What other nodes have there is not seen: as much as here on average, more where answers are slow.
    const double slowness = speed_.Slowness(x, now_);
    double others = occupied * std::exp(kShun * (slowness - speed_.KindSlowness(x.endpoint.kind)));
    if (LoadReports::HasReport(x)) {
      const double trust = LoadReports::Freshness(x, now_);
      others = trust * occupied * load_reports_.RelativeLoad(x, now_) + (1 - trust) * others;
    }
    const double own = (x.in_flight + x.in_flight_elsewhere()) / (nodes * x.concurrency_limit);
    const double free = std::max(0.01, 1 - own - others * (nodes - 1) / nodes);
    // Room is counted in requests like this one, and what a request takes is what must be read before its
    // first token comes: the prompts that came before it, and what of its own is not kept there.
    double weight =
        (x.prefill_backlog_tokens + affinity_.TokensToPrefill(i, x, {o.home, o.session_home, hot}, now_)) *
            std::exp(slowness) +
        kLeastRead;
    if (by_zone && x.endpoint.zone != settings_.zone)
      weight += kCrossingRead * settings_.cross_zone_penalty / 0.08;
    if (tried) weight *= 5;  // somewhere else, if there is anywhere else
    o.room = free / weight;
    best = std::max(best, o.room);
  }
  if (best < 0) return nullptr;
  double total = 0;
  for (const Option& o : options_) {
    if (o.room >= best * (1 - kTie)) total += o.replica->concurrency_limit;
  }
  double draw = random_.Next() * total;
  Replica* chosen = nullptr;
  for (const Option& o : options_) {
    if (o.room < best * (1 - kTie)) continue;
    chosen = o.replica;
    draw -= o.replica->concurrency_limit;
    if (draw <= 0) break;
  }
  return chosen;
}

// All replicas that have a cap, with the homes of the prefix, then of the session among them; in each zone,
// where crossing costs.
void Router::Impl::Everyone(const RequestArrived& i, double prefix_share, double session_share) {
  const bool by_zone = ByZone();
  load_reports_.ResetMean();
  for (auto& x : fleet_.replicas()) {
    if (x->concurrency_limit <= 0) continue;
    const double speed = ReplicaSpeed::LoadFactor(speed_.KindSlowness(x->endpoint.kind));
    options_.push_back({x.get(), i.prefix != 0 ? RendezvousScore(i.prefix, x->endpoint.id, speed) : 0,
                        i.session != 0 ? RendezvousScore(i.session, x->endpoint.id, speed) : 0, false, false,
                        0});
    load_reports_.CountTowardsMean(*x, now_);
  }
  const auto by = [by_zone](auto member) {
    const auto key = [=](const Option& o) {
      return std::tuple(by_zone ? o.replica->endpoint.zone : 0, -(o.*member), o.replica->endpoint.id);
    };
    return [key](const Option& a, const Option& b) { return key(a) < key(b); };
  };
  if (i.prefix != 0) {
    std::sort(options_.begin(), options_.end(), by(&Option::prefix_rank));
  } else if (i.session != 0) {
    std::sort(options_.begin(), options_.end(), by(&Option::session_rank));
  }
  for (std::size_t from = 0; from < options_.size();) {
    std::size_t to = from + 1;
    while (to < options_.size() &&
           (!by_zone || options_[to].replica->endpoint.zone == options_[from].replica->endpoint.zone)) {
      ++to;
    }
    std::size_t set =
        i.prefix != 0 ? PrefixAffinity::PreferredCount(prefix_share, to - from, to - from) : to - from;
    if (i.prefix != 0) {
      for (std::size_t k = from; k < from + set; ++k) options_[k].home = true;
      std::sort(options_.begin() + static_cast<std::ptrdiff_t>(from),
                options_.begin() + static_cast<std::ptrdiff_t>(from + set), by(&Option::session_rank));
    }
    if (i.session != 0 && (!by_zone || options_[from].replica->endpoint.zone == settings_.zone)) {
      const std::size_t mine = PrefixAffinity::PreferredCount(session_share, to - from, set);
      for (std::size_t k = from; k < from + mine; ++k) options_[k].session_home = true;
    }
    from = to;
  }
}

// Each replica has some points on a ring, at the same places at every node, and a key's homes are the
// replicas whose points come next behind it: few keys move when a replica comes or goes.
void Router::Impl::MakeRing() {
  ring_old_ = false;
  ring_.clear();
  for (const auto& x : fleet_.replicas()) {
    if (!x->ready) continue;
    for (int k = 0; k < kPoints; ++k)
      ring_.emplace_back(Mix64(Mix64(x->endpoint.id) + static_cast<std::uint64_t>(k)), x.get());
  }
  std::sort(ring_.begin(), ring_.end(), [](const auto& a, const auto& b) {
    return std::pair(a.first, a.second->endpoint.id) < std::pair(b.first, b.second->endpoint.id);
  });
}

// Departure: of a large fleet only a key's homes and some drawn by chance are looked at (power of d choices).
void Router::Impl::Candidates(const RequestArrived& i, double prefix_share, double session_share) {
  if (ring_old_) MakeRing();
  ++search_;
  const bool by_zone = ByZone();
  const auto homes = [&](std::uint64_t key, double share, std::size_t most, bool session) {
    const std::size_t set = PrefixAffinity::PreferredCount(share, limits_.available().size(), ring_.size());
    std::size_t left = std::min(most, set);
    const auto first = std::lower_bound(ring_.begin(), ring_.end(), Mix64(key),
                                        [](const auto& p, std::uint64_t h) { return p.first < h; });
    std::size_t at = static_cast<std::size_t>(first - ring_.begin());
    // Of a key with many homes a stretch is looked at, for a session always the same one.
    if (set > most) {
      const double part = i.session != 0 ? UnitInterval(Mix64(i.session)) : random_.Next();
      at += static_cast<std::size_t>(part * static_cast<double>(set - most));
    }
    for (std::size_t n = 0; n < ring_.size() && n < 8 * kMostHomes * kPoints && left > 0; ++n, ++at) {
      Replica* x = ring_[at % ring_.size()].second;
      if (x->concurrency_limit <= 0 || x->last_search == search_ ||
          (by_zone && x->endpoint.zone != settings_.zone))
        continue;
      x->last_search = search_;
      options_.push_back({x, 0, 0, !session, session, 0});
      --left;
    }
  };
  if (i.prefix != 0) {
    homes(i.prefix, prefix_share, kMostHomes, false);
    // Among them the session has its own.
    if (i.session != 0 && !options_.empty()) {
      for (Option& o : options_) o.session_order = Mix64(i.session ^ Mix64(o.replica->endpoint.id));
      std::sort(options_.begin(), options_.end(), [](const Option& a, const Option& b) {
        return std::pair(~a.session_order, a.replica->endpoint.id) <
               std::pair(~b.session_order, b.replica->endpoint.id);
      });
      const std::size_t mine =
          PrefixAffinity::PreferredCount(session_share, limits_.available().size(), options_.size());
      for (std::size_t k = 0; k < mine; ++k) options_[k].session_home = true;
    }
  } else if (i.session != 0) {
    homes(i.session, session_share, kMostHomes, true);
  }
  for (int k = 0; k < kDrawn && !limits_.available().empty(); ++k) {
    Replica* x = limits_.available()[std::min(
        limits_.available().size() - 1,
        static_cast<std::size_t>(random_.Next() * static_cast<double>(limits_.available().size())))];
    if (x->concurrency_limit <= 0 || x->last_search == search_) continue;
    x->last_search = search_;
    options_.push_back({x, 0, 0, false, false, 0});
  }
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
