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
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "adaptive_concurrency.h"
#include "capacity_backoff.h"
#include "fleet.h"
#include "hashing.h"
#include "load_reports.h"
#include "outlier_ejection.h"
#include "queue_order.h"
#include "random_source.h"
#include "replica.h"
#include "replica_limits.h"
#include "replica_speed.h"
#include "request.h"
#include "runtime_estimator.h"
#include "slow_start.h"
#include "timer_queue.h"
#include "traffic_share.h"

namespace ryeglade::policy {
namespace {

// Learning.
constexpr double kFailureSlow = 1.1;  // ln 3: a failed attempt makes a replica look this much slower

// Choice of a replica.
constexpr double kHomeKeeps = 0.7;     // chance that a home still keeps a beginning not seen there from here
constexpr double kSessionKeeps = 0.5;  // the same of a session's home and the whole prompt
constexpr Time kKept = 30'000'000;     // what this node sent a replica is taken to be kept this long
constexpr double kLeastRead = 300;     // tokens: what any request costs at least
constexpr double kCrossingRead = 800;  // tokens that a zone crossing is worth
constexpr std::size_t kMostKept = 16384;  // sessions and beginnings remembered
constexpr double kSpread = 4.0;           // homes of a key: its share of traffic in replicas, times this
constexpr double kShun = 0.5;             // how far a replica slower than its kind is taken to be fuller
constexpr double kMostOccupied = 0.8;     // replicas are not taken to be fuller than this unless they say so
constexpr double kTie = 0.02;             // rooms closer than this are a tie, drawn by weight
constexpr Time kKeyMemory = 60'000'000;   // traffic by key fades this fast
constexpr Time kHotMemory = 5'000'000;    // and this fast when watching for a key that turns hot

// Health, retries and second copies.
// A repeat is decided so long before its window ends: the node may be held up between its clock and the write
// (0.15 s), and clocks of replicas start when the first attempt's last byte arrives, never earlier.
constexpr Time kRepeatMargin = 160'000;
constexpr double kRetryShare = 0.3;  // further attempts after failures, as a share of requests
constexpr double kBudgetMost = 10;   // what either budget can save up

// Cold replicas and tenants.
constexpr Time kTenantMemory = 20'000'000;
constexpr double kOverShare = 1.25;  // a tenant's rate above its quota times this is beyond its share

// Large fleets: looking at every replica for every request would cost more the more there are.
constexpr int kPoints = 8;              // of a replica on the ring that says where keys have their homes
constexpr std::size_t kMostHomes = 32;  // of a key that are looked at
constexpr int kDrawn = 24;  // drawn besides: the best of so many is hardly worse than the best of all

// Discovery. A change counts as told at the latest 6 s after discovery has it and can be reached, so calls
// that fail are repeated well within that.
constexpr Time kFirstAskWithin = 1'000'000;
constexpr double kAskAgainFirst = 100'000;  // microseconds, doubled by each failure in a row
constexpr double kAskAgainMost = 2'000'000;

bool ProvesNotRun(Outcome o) {
  return o == Outcome::kAtCapacity || o == Outcome::kConnectFailed || o == Outcome::kNotSent;
}

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
    return it != requests_.end() && MayRefuse(it->second);
  }
  void Retune(const std::vector<ClassSettings>& classes, int max_attempts) {
    if (classes.size() < settings_.classes.size()) return;
    settings_.classes = classes;
    settings_.max_attempts = std::max(1, max_attempts);
    Fit();
  }
  LearnedState Export() const;
  std::size_t held() const { return held_.size(); }
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
  void On(const PrefixTrafficReceived& e) { told_keys_ = {e.shares.begin(), e.shares.end()}; }
  void Fit();  // what is learned class by class, to the classes in force

  // The ordinary path.
  PriorityTier TierOf(const Request& r) const;
  void Hold(Request& r);
  void Unhold(Request& r);
  void Release();
  Replica* Choose(const Request& r);
  void Send(Request& r, Replica& to);
  double Unread(const RequestArrived& i, const Replica& x, bool home, bool session_home, bool hot) const;
  void Keep(const RequestArrived& i, ReplicaId at);
  void DoneReading(Attempt& a);
  void MakeRing();
  static std::size_t Homes(double share, std::size_t n, std::size_t most);
  void Everyone(const RequestArrived& i, double prefix_share, double session_share);
  void Candidates(const RequestArrived& i, double prefix_share, double session_share);

  // What is learned.
  LimitUsage Usage() const { return {now_, fleet_.in_flight(), limits_.total(), estimator_.mean_runtime()}; }
  void LearnServed(const Request& r, Replica* from, Time runtime);
  void LearnSlow(Replica& x, double log_ratio);
  void LearnFailure(Replica& x, Outcome o);
  double KeyShare(std::uint64_t key, bool hot_only) const;
  void CountKeys(const RequestArrived& e);
  bool OverShare(int tenant);

  // Rules.
  const ClassSettings& ClassOf(const Request& r) const { return settings_.classes[r.class_index()]; }
  bool MaySend(const Request& r, const Replica& to) const;
  bool ByZone() const { return settings_.cross_zone_penalty > 0 && settings_.zone_count > 1; }
  bool MaySendAnywhere(const Request& r) const;
  Time RepeatWithin(const Request& r) const;
  bool MayRefuse(const Request& r) const;
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
  ReplicaLimits limits_{
      {fleet_, traffic_share_, concurrency_, speed_, slow_start_, ejection_, load_reports_}};
  std::unordered_map<RequestId, Request> requests_;
  std::set<QueuePosition> held_;
  std::uint64_t order_ = 0;

  LearnedState k_;                                       // all that is learned of more than one replica
  std::unordered_map<std::uint64_t, double> told_keys_;  // shares of the tier's traffic

  TimerQueue timers_;
  bool subscribed_ = false;
  int asks_failed_ = 0;

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
  k_.retry_budget = kBudgetMost / 2;
  Fit();
  // Nodes start together: calls in step would overrun discovery, so each waits a random part of a span. It is
  // short: the list known at the start may be old, and what it lacks counts as told before long.
  if (settings_.poll_endpoints) {
    const Time span = settings_.max_poll_interval > 0
                          ? std::min(kFirstAskWithin, settings_.max_poll_interval * 4 / 10)
                          : kFirstAskWithin;
    timers_.Schedule(now + static_cast<Time>(random_.Next() * static_cast<double>(span)),
                     TimerKind::kPollEndpoints);
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
    // The old list stays; ask again, later each time and not in step with the others, but soon at first: what
    // changes meanwhile counts as told before long.
    subscribed_ = false;
    ++asks_failed_;
    const double wait = std::min(kAskAgainFirst * std::exp2(std::min(asks_failed_, 5)), kAskAgainMost);
    if (settings_.poll_endpoints)
      timers_.Schedule(now_ + static_cast<Time>(wait * (0.5 + random_.Next())), TimerKind::kPollEndpoints);
    return;
  }
  if (e.scope != EndpointListScope::kCached) asks_failed_ = 0;
  fleet_.Apply(e, now_, random_);
  limits_.Invalidate();
  ring_old_ = true;
}

void Router::Impl::AskForList() {
  if (subscribed_) return;
  subscribed_ = true;
  Act(WatchEndpoints{true});
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
  k_.retry_budget = std::min(kBudgetMost, k_.retry_budget + kRetryShare);
  CountKeys(e);
  r.over_quota = OverShare(e.tenant_index);
  estimator_.Estimate(r);
  // A try can come with no patience left; a timer would answer it a tick too late.
  if (GiveUpAt(r) <= now_) return Conclude(r, ConclusionReason::kNoTimeBudget);
  Hold(r);
}

void Router::Impl::On(const ClientDisconnected& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end() || it->second.concluded) return;
  Request& r = it->second;
  Unhold(r);
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
  r.queued = true;
  const double key = QueueKey(
      {r.arrived_at, r.objective_at - r.arrived_at, r.estimated_runtime, estimator_.TypicalRuntime(r)});
  // Departure: what can no longer meet its aim waits behind what can. In the order of size and age alone, a
  // queue that has once grown past the aim serves everything late.
  const Time last_call = r.objective_at - estimator_.ExpectedTimeToFirstToken(r);
  const PriorityTier tier = TierOf(r);
  r.queue_position = {tier, key, ++order_, r.id()};
  held_.insert(r.queue_position);
  r.latest_dispatch_at = GiveUpAt(r);
  if (tier != PriorityTier::kObjectiveLost && last_call < r.latest_dispatch_at)
    timers_.Schedule(last_call, TimerKind::kObjectiveLost, r.id());
  timers_.Schedule(r.latest_dispatch_at, TimerKind::kQueueTimeout, r.id());
}

void Router::Impl::Unhold(Request& r) {
  if (!r.queued) return;
  held_.erase(r.queue_position);
  r.queued = false;
}

void Router::Impl::Release() {
  if (held_.empty()) return;
  limits_.Update(now_);
  int stuck = 0;  // requests that rules keep from every replica with room; they must not block the others
  for (auto it = held_.begin(); it != held_.end() && stuck < 8;) {
    if (fleet_.in_flight() >= std::max(1.0, limits_.total())) return;
    Request& r = requests_.at(it->id);
    ++it;
    Replica* to = Choose(r);
    if (to == nullptr) {
      if (r.attempts.empty()) return;  // free to go anywhere, and nowhere is room
      ++stuck;
      continue;
    }
    Unhold(r);
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
      note.tokens_to_prefill = Unread(r.arrival, to, o.home, false, false);
    } else if (o.room > note.runner_up_score) {
      note.runner_up = o.replica->endpoint.id;
      note.runner_up_score = o.room;
    }
  }
  observer_->OnDispatch(note);
}

void Router::Impl::Send(Request& r, Replica& to) {
  if (observer_ != nullptr && observer_->wants_dispatches()) NoteSend(r, to);
  const Time write_within = RepeatWithin(r);
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
  r.attempts.back().tokens_to_prefill = Unread(r.arrival, to, home, false, false);
  if (to.prefill_backlog_tokens < 1) to.waiting_since = now_;
  to.prefill_backlog_tokens += r.attempts.back().tokens_to_prefill;
  Keep(r.arrival, to.endpoint.id);
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
  const double prefix_share = i.prefix != 0 ? KeyShare(i.prefix, false) : 0;
  const double session_share = i.session != 0 ? KeyShare(i.session, true) : 0;
  fleet_.UsesSampling() ? Candidates(i, prefix_share, session_share)
                        : Everyone(i, prefix_share, session_share);
  if (options_.empty()) return nullptr;
  // What others have out is not seen; it is taken to be like this node's own, or like what replicas report.
  double occupied = std::min(kMostOccupied, fleet_.in_flight() / std::max(limits_.total(), 1e-9));

  const double among =
      static_cast<double>(fleet_.UsesSampling() ? limits_.available().size() : options_.size());
  const bool hot = session_share * among * kSpread > 1;
  double best = -1;
  for (Option& o : options_) {
    const Replica& x = *o.replica;
    o.room = -1;
    if (!limits_.HasCapacity(x, now_) || !MaySend(r, x)) continue;
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
        (x.prefill_backlog_tokens + Unread(i, x, o.home, o.session_home, hot)) * std::exp(slowness) +
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
    std::size_t set = i.prefix != 0 ? Homes(prefix_share, to - from, to - from) : to - from;
    if (i.prefix != 0) {
      for (std::size_t k = from; k < from + set; ++k) options_[k].home = true;
      std::sort(options_.begin() + static_cast<std::ptrdiff_t>(from),
                options_.begin() + static_cast<std::ptrdiff_t>(from + set), by(&Option::session_rank));
    }
    if (i.session != 0 && (!by_zone || options_[from].replica->endpoint.zone == settings_.zone)) {
      const std::size_t mine = Homes(session_share, to - from, set);
      for (std::size_t k = from; k < from + mine; ++k) options_[k].session_home = true;
    }
    from = to;
  }
}

// How many homes a key has among n replicas. Powers of two: nodes whose counts differ a little still agree.
std::size_t Router::Impl::Homes(double share, std::size_t n, std::size_t most) {
  const double wanted = share * static_cast<double>(n) * kSpread;
  return std::min(most, std::bit_ceil(static_cast<std::size_t>(std::max(1.0, wanted))));
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
    const std::size_t set = Homes(share, limits_.available().size(), ring_.size());
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
      const std::size_t mine = Homes(session_share, limits_.available().size(), options_.size());
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

// How much of the prompt a replica has to read: what it keeps need not be read again.
double Router::Impl::Unread(const RequestArrived& i, const Replica& x, bool home, bool session_home,
                            bool hot) const {
  const double prompt = std::max(1.0, i.prompt_tokens);
  const auto kept = [&](std::uint64_t key) {
    if (key == 0) return 0.0;
    const auto it = k_.cached_prefixes.find(key ^ Mix64(x.endpoint.id));
    if (it == k_.cached_prefixes.end() || now_ - it->second.cached_at > kKept) return 0.0;
    return it->second.cached_at < x.endpoint.started_at ? 0.0
                                                        : it->second.tokens;  // it has started afresh since
  };
  // A session that is hot has several homes, and each is as good.
  const double session = hot ? 0 : kept(i.session);
  double found = std::max(session, std::min(kept(i.prefix), i.prefix_tokens));
  if (home) found = std::max(found, kHomeKeeps * i.prefix_tokens);
  if (session_home) found = std::max(found, kSessionKeeps * prompt);
  return std::max(0.0, prompt - found);
}

void Router::Impl::Keep(const RequestArrived& i, ReplicaId at) {
  if (k_.cached_prefixes.size() > kMostKept)
    std::erase_if(k_.cached_prefixes, [&](const auto& k) { return now_ - k.second.cached_at > kKept; });
  if (k_.cached_prefixes.size() > kMostKept) k_.cached_prefixes.clear();
  if (i.session != 0) k_.cached_prefixes[i.session ^ Mix64(at)] = {i.prompt_tokens, now_};
  if (i.prefix != 0) k_.cached_prefixes[i.prefix ^ Mix64(at)] = {i.prefix_tokens, now_};
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

void Router::Impl::CountKeys(const RequestArrived& e) {
  k_.arrivals_long_term.Add(now_, kKeyMemory, 1);
  k_.arrivals_short_term.Add(now_, kHotMemory, 1);
  for (const std::uint64_t key : {e.prefix, e.session}) {
    if (key == 0) continue;
    LearnedState::KeyTraffic& use = k_.key_traffic[key];
    use.long_term.Add(now_, kKeyMemory, 1);
    use.short_term.Add(now_, kHotMemory, 1);
  }
  if (k_.key_traffic.size() > 1024 &&
      k_.key_traffic.size() > 4 * static_cast<std::size_t>(k_.arrivals_long_term.value)) {
    std::erase_if(k_.key_traffic,
                  [&](const auto& k) { return k.second.long_term.ValueAt(now_, kKeyMemory) < 0.3; });
  }
}

// A key's share of this node's traffic, which stands for its share of all. What has been seen once or twice
// may be chance, so that much is taken off. Not in a tier of many nodes: each sees few requests, would take a
// hot prefix for cold, and all would send it to the same one home; there a share starts wide and narrows.
double Router::Impl::KeyShare(std::uint64_t key, bool hot_only) const {
  if (const auto told = told_keys_.find(key); told != told_keys_.end()) return told->second;
  const auto it = k_.key_traffic.find(key);
  if (it == k_.key_traffic.end()) return 0;
  const double fast = it->second.short_term.ValueAt(now_, kHotMemory);
  double share =
      (fast - 2 * std::sqrt(fast)) / std::max(8.0, k_.arrivals_short_term.ValueAt(now_, kHotMemory));
  if (!hot_only) {
    const double slow = it->second.long_term.ValueAt(now_, kKeyMemory);
    const double n = k_.arrivals_long_term.ValueAt(now_, kKeyMemory);
    share = std::max(share, IsLargeTier(settings_) ? slow / (8 + n) : (slow - 1) / std::max(8.0, n));
  }
  return std::clamp(share, 0.0, 1.0);
}

bool Router::Impl::OverShare(int tenant) {
  const std::size_t t = static_cast<std::size_t>(tenant);
  if (tenant < 0 || t >= k_.arrivals_by_tenant.size() || settings_.over_quota_weight >= 1) return false;
  const double quota = settings_.tenants[t].quota_per_second;
  k_.arrivals_by_tenant[t].Add(now_, kTenantMemory, 1);
  if (quota <= 0) return false;
  const double seen = k_.arrivals_by_tenant[t].ValueAt(now_, kTenantMemory);
  const double fair = quota * static_cast<double>(kTenantMemory) / 1e6 / traffic_share_.equivalent_nodes();
  return seen > kOverShare * fair + 2 * std::sqrt(fair) + 1;
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
      Unhold(r);
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
  if (left && now_ < GiveUpAt(r) && MaySendAnywhere(r) && (!costs || k_.retry_budget >= 1)) {
    if (costs) k_.retry_budget -= 1;
    Hold(r);
    return;
  }
  Conclude(r, !left                 ? ConclusionReason::kAttemptsExhausted
              : now_ >= GiveUpAt(r) ? ConclusionReason::kDeadlineExceeded
              : !MaySendAnywhere(r) ? ConclusionReason::kUnsafeToRetry
                                    : ConclusionReason::kRetryBudgetExhausted);
}

// ---- The rules ----

bool Router::Impl::MaySendAnywhere(const Request& r) const {
  if (r.attempts.size() >= static_cast<std::size_t>(settings_.max_attempts)) return false;
  if (r.attempts_in_flight > 0 && !settings_.can_hedge) return false;
  const ClassSettings& c = ClassOf(r);
  if (c.idempotency == Idempotency::kIdempotent) return true;
  for (const Attempt& a : r.attempts) {
    if (!a.may_have_run) continue;
    if (c.idempotency == Idempotency::kNotIdempotent) return false;
    if (now_ - a.sent_at >= c.dedup_window - kRepeatMargin) return false;
  }
  return true;
}

bool Router::Impl::MaySend(const Request& r, const Replica& to) const {
  const ClassSettings& c = ClassOf(r);
  if (!MaySendAnywhere(r)) return false;
  if (c.idempotency != Idempotency::kIdempotencyKey || c.dedup_scope == DedupScope::kAll) return true;
  for (const Attempt& a : r.attempts) {
    if (!a.may_have_run) continue;
    // A zone or cell that is not known (below 0) may be any.
    const int group = c.dedup_scope == DedupScope::kZone ? a.zone : a.cell;
    const int of_next = c.dedup_scope == DedupScope::kZone ? to.endpoint.zone : to.endpoint.cell;
    if (group < 0 || group != of_next) return false;
  }
  return true;
}

// How much is left of the window in which repeats are dropped, for a request that may have run; 0: no bound.
Time Router::Impl::RepeatWithin(const Request& r) const {
  const ClassSettings& c = ClassOf(r);
  if (c.idempotency != Idempotency::kIdempotencyKey) return 0;
  Time within = 0;
  for (const Attempt& a : r.attempts) {
    if (!a.may_have_run) continue;
    const Time left = std::max<Time>(1, a.sent_at + c.dedup_window - kRepeatMargin - now_);
    within = within == 0 ? left : std::min(within, left);
  }
  return within;
}

bool Router::Impl::MayRefuse(const Request& r) const {
  const ClassSettings& c = ClassOf(r);
  if (c.idempotency == Idempotency::kIdempotent) return true;
  if (c.idempotency == Idempotency::kIdempotencyKey && c.dedup_scope == DedupScope::kAll) return true;
  return std::none_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
}

// The one final answer, given only when no attempt is out: a refusal where that is allowed, else a failure.
void Router::Impl::Conclude(Request& r, ConclusionReason why) {
  const RequestId id = r.id();
  if (observer_ != nullptr) {
    observer_->OnConclusion({id, why, static_cast<int>(r.attempts.size()), now_ - r.arrived_at,
                             static_cast<std::uint32_t>(held_.size()), limits_.total(),
                             fleet_.own_in_flight()});
  }
  Unhold(r);
  if (MayRefuse(r)) {
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
        Unhold(r);
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
  k_ = *e.state;
  concurrency_.RestoreFrom(k_);
  estimator_.RestoreFrom(k_);
  speed_.RestoreFrom(k_);
  slow_start_.RestoreFrom(k_);
  for (const LearnedState::Replica& r : std::exchange(k_.replicas, {})) {
    Replica* x = fleet_.Find(r.id);
    if (x != nullptr && x->endpoint.started_at == r.started_at) static_cast<LearnedReplica&>(*x) = r.learned;
  }
  Fit();
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
  k_.arrivals_by_tenant.resize(settings_.tenants.size());
}

LearnedState Router::Impl::Export() const {
  LearnedState all = k_;
  concurrency_.ExportTo(all);
  estimator_.ExportTo(all);
  speed_.ExportTo(all);
  slow_start_.ExportTo(all);
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
