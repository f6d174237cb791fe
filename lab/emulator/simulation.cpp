#include "lab/emulator/simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <deque>
#include <map>
#include <queue>
#include <stdexcept>
#include <utility>

#include "base/slot_table.h"
#include "lab/emulator/random.h"

namespace ryeglade::emulator {
namespace {

using namespace policy;

constexpr Time kBegin = 1'000'000'000;                 // virtual time at which a run starts
constexpr Time kVanishedRemovalDelay = 10'000'000;     // until discovery removes a vanished replica
constexpr std::uint64_t kMaxEventsAtOnce = 5'000'000;  // limit of events in the same microsecond
constexpr Time kQueueHorizon = 1 << 18;  // later events are kept in buckets of this width, see RefillQueue
constexpr Time kPrefixDecayTime = 20'000'000;       // of the use counts of prefixes, gossip mode "oracle"
constexpr Time kDiscoveryFailureDelay = 2'800'000;  // until nodes notice that discovery is unavailable

double Seconds(Time t) { return static_cast<double>(t) / 1e6; }
Time Micros(double seconds) { return static_cast<Time>(seconds * 1e6); }

double CpuNow() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

class Simulation {
 public:
  Simulation(const ScenarioSpec& spec, const ScenarioOptions& options)
      : spec_(spec),
        options_(options),
        arrivals_(spec.seed, RandomPurpose::kArrivals),
        sessions_(spec.seed, RandomPurpose::kSessions),
        sizes_(spec.seed, RandomPurpose::kSizes),
        network_(spec.seed, RandomPurpose::kNetwork),
        balancing_(spec.seed, RandomPurpose::kBalancing),
        retries_(spec.seed, RandomPurpose::kRetries),
        discovery_(spec.seed, RandomPurpose::kDiscovery),
        failures_(spec.seed, RandomPurpose::kFailures) {
    Check();
    Build();
  }

  ScenarioResult Run() {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      StartNode(n);
      Push(now_, EventKind::kList, static_cast<std::uint32_t>(n), 0, kFullList);
    }
    for (std::size_t f = 0; f < spec_.faults.size(); ++f) {
      Push(kBegin + Micros(spec_.faults[f].at), EventKind::kFault, static_cast<std::uint32_t>(f), 1, 0);
      Push(kBegin + Micros(spec_.faults[f].at + spec_.faults[f].lasts), EventKind::kFault,
           static_cast<std::uint32_t>(f), 0, 0);
    }
    if (options_.trace == nullptr) {
      NextArrival();
    } else if (!options_.trace->empty()) {
      Push(kBegin + options_.trace->front().at, EventKind::kTraced, 0, 0, 0);
    }
    Push(now_ + 1'000'000, EventKind::kSecond, 0, 0, 0);
    if (tier_) Push(now_ + RoutingTier::kTickInterval, EventKind::kTier, 0, 0, 0);
    // After the last arrival the run goes on until all open requests have ended.
    while (RefillQueue()) {
      const SimulationEvent e = queue_.top();
      queue_.pop();
      events_at_once_ = e.at == now_ ? events_at_once_ + 1 : 0;
      if (events_at_once_ > kMaxEventsAtOnce) {
        throw std::runtime_error(fmt::format(
            "virtual time stopped advancing at {:.6f} s: more than {} events in the same microsecond, "
            "for instance because a policy sets timers with zero delay",
            Seconds(e.at - kBegin), kMaxEventsAtOnce));
      }
      now_ = e.at;
      ++result_.events;
      if ((result_.events & 0xffffU) == 0 && options_.stop && options_.stop()) throw SimulationStopped{};
      Dispatch(e);
      if (now_ > end_ && open_requests_ == 0) break;
      if (options_.progress && (result_.events & 0xfffffU) == 0)
        options_.progress(Seconds(now_ - kBegin) / spec_.seconds);
    }
    Finish();
    return std::move(result_);
  }

 private:
  enum class EventKind : std::uint8_t {
    kArrive,
    kTurn,
    kTry,
    kAtNode,
    kTimer,
    kOffer,
    kStop,
    kReplica,
    kFirst,
    kEnded,
    kClientDeadline,
    kList,
    kFault,
    kSecond,
    kRemoveVanished,
    kClientGone,
    kAttemptDeadline,
    kTraced,
    kTier
  };
  enum ListKind : std::uint64_t { kFullList = 0, kDeltaList = 1, kFailedList = 2 };
  struct SimulationEvent {
    Time at;
    std::uint64_t
        order;        // number of the event in scheduling order, by which events of the same time are sorted
    std::uint64_t c;  // a, b and c are arguments whose meaning depends on the kind, see Dispatch
    std::uint32_t a, b;
    EventKind kind;
    bool operator<(const SimulationEvent& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  // A request of a client, which may take several tries.
  struct ClientRequest {
    int cls = 0;
    std::uint64_t prefix = 0, session = 0;
    double prompt = 0, answer = 0, prefix_tokens = 0;
    Time created_at = 0, deadline = 0;
    int tries = 0, turns_left = 0;
    bool honors_retry_after = true;
    bool counted = false;           // the results count it, because it arrived after the warm-up
    std::uint64_t current_try = 0;  // handle of the try in progress; 0: none
    Time first = 0;                 // when the first token reaches the client; 0: not yet
  };
  using AttemptHandles = std::vector<std::uint64_t>;
  // One request from a client to a node.
  struct Try {
    std::uint64_t request = 0;
    std::uint32_t node = 0;
    bool at_node = false;  // it has arrived at the node
    bool started = false;
    bool final = false;  // the client has its final answer
    int attempts = 0;    // sent so far
    int in_flight = 0;
    AttemptHandles attempts_in_flight;
  };
  // One request from a node to a replica.
  struct Attempt {
    std::uint64_t try_handle = 0;
    std::uint32_t node = 0;
    std::uint32_t replica = 0;
    int n = 0;  // index within its try
    Time sent = 0;
    bool at_replica = false;       // the replica has accepted it
    bool answer_complete = false;  // the replica has produced the whole answer
    bool started = false;
    bool over = false;             // its end is known to the node, or the node has died
    Time first_token_at_node = 0;  // the end of the answer must not arrive earlier
    double cached = 0;
  };
  struct Node {
    std::unique_ptr<NodePolicy> policy;
    int zone = 0;
    bool up = true;
    std::uint32_t incarnation = 0;
    std::uint32_t list_generation = 0;  // of the last endpoint list received
    // By replica: when the node learned that it drains or is gone; 0: ready.
    std::vector<Time> draining_since;
  };
  struct Host {
    std::unique_ptr<Replica> replica;
    Endpoint endpoint;
    ReplicaSpec spec;
    int rack = 0;
    std::uint32_t plan_generation = 0;  // scheduled kReplica events of older generations are ignored
    bool up = true, vanished = false, hangs = false, listed = true, fabricates = false;
    double slow = 1;   // factor by which it is slower than its spec
    double fails = 0;  // share of requests that it answers with an error
    std::uint64_t served = 0;
  };

  void Check() const {
    const auto need = [](bool good, const char* what) {
      if (!good) throw std::runtime_error(what);
    };
    need(spec_.seconds > 0 && spec_.seconds < 1e7, "seconds: must be over 0 and below 1e7");
    need(spec_.warm_up_s >= 0 && spec_.warm_up_s < spec_.seconds,
         "warm: must be 0 or more and less than `seconds`");
    need(!spec_.classes.empty(), "classes: at least one is needed");
    need(spec_.fleet.nodes > 0 && spec_.fleet.nodes <= 4096, "fleet.nodes: must be 1 to 4096");
    need(spec_.fleet.replicas > 0 && spec_.fleet.replicas <= 100'000, "fleet.replicas: must be 1 to 100000");
    need(spec_.fleet.zones > 0 && spec_.fleet.racks > 0, "fleet.zones, fleet.racks: must be 1 or more");
    need(spec_.fleet.skew >= 0 && spec_.fleet.skew <= 3, "fleet.skew: must be 0 to 3");
    const std::string talk_error = "fleet.talk: must be " + std::string(kGossipValues);
    need(spec_.fleet.tier.IsValid(), talk_error.c_str());
    need(!spec_.fleet.kinds.empty(), "fleet.kinds: at least one is needed");
    need(spec_.clients.per_second >= 0, "clients.per_second: must not be negative");
    need(spec_.clients.session_turns >= 1, "clients.session_turns: must be 1 or more");
    const std::vector<std::string> names = FaultNames();
    for (const FaultSpec& f : spec_.faults) {
      if (std::find(names.begin(), names.end(), f.what) == names.end())
        throw std::runtime_error("faults.what: '" + f.what + "' is not a known fault");
    }
  }

  void Build() {
    now_ = kBegin;
    end_ = kBegin + Micros(spec_.seconds);
    result_.first_token = lab::NewLatencies();
    RandomStream speeds(spec_.seed, RandomPurpose::kSpeeds);
    double shares = 0;
    for (const KindSpec& k : spec_.fleet.kinds) shares += k.share;
    for (int i = 0; i < spec_.fleet.replicas; ++i) {
      Host h;
      double at = (i + 0.5) / spec_.fleet.replicas * shares;
      std::size_t kind = 0;
      while (kind + 1 < spec_.fleet.kinds.size() && at >= spec_.fleet.kinds[kind].share)
        at -= spec_.fleet.kinds[kind++].share;
      h.spec = spec_.fleet.kinds[kind].replica;
      h.spec.speed *= speeds.Lognormal(1, spec_.fleet.speed_sigma);
      h.endpoint.id = static_cast<ReplicaId>(i);
      h.endpoint.kind = static_cast<int>(kind);
      h.endpoint.zone = i % spec_.fleet.zones;
      h.rack = h.endpoint.zone * spec_.fleet.racks + i / spec_.fleet.zones % spec_.fleet.racks;
      h.replica = std::make_unique<Replica>(h.spec, 0);  // warm from the start
      hosts_.push_back(std::move(h));
    }
    nodes_.resize(static_cast<std::size_t>(spec_.fleet.nodes));
    for (std::size_t n = 0; n < nodes_.size(); ++n) nodes_[n].zone = static_cast<int>(n) % spec_.fleet.zones;
    BuildTier();
    const std::size_t zones = static_cast<std::size_t>(spec_.fleet.zones);
    cut_.assign(zones * zones, 0);
    double all = 0;
    for (const ClassSpec& c : spec_.classes) all += c.share;
    for (const ClassSpec& c : spec_.classes)
      class_cdf_.push_back((class_cdf_.empty() ? 0 : class_cdf_.back()) + c.share / all);
  }

  void BuildTier() {
    if (spec_.fleet.skew <= 0 && spec_.fleet.tier.gossip_mode.empty()) return;
    RandomStream random(spec_.seed, RandomPurpose::kBalancing, 1);
    std::vector<double> weights;
    double total_weight = 0;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      weights.push_back(random.Lognormal(1, spec_.fleet.skew));
      total_weight += weights.back();
    }
    for (double& w : weights) w /= total_weight;
    for (const double w : weights)
      traffic_cdf_.push_back((traffic_cdf_.empty() ? 0 : traffic_cdf_.back()) + w);
    if (!spec_.fleet.tier.gossip_mode.empty())
      tier_ =
          std::make_unique<RoutingTier>(spec_.fleet.tier, std::move(weights), spec_.fleet.zones, spec_.seed);
    traffic_shares_.assign(nodes_.size(), 1.0 / static_cast<double>(nodes_.size()));
  }

  void OnTier() {
    const auto replica_views = [this](std::size_t n, std::vector<ReplicaView>* fleet) {
      for (const Host& h : hosts_) {
        ReplicaView v = nodes_[n].policy->replica(h.endpoint.id);
        if (v.endpoint.id == h.endpoint.id) fleet->push_back(v);
      }
    };
    for (const auto& [n, event] : tier_->Tick(now_, replica_views)) {
      if (const auto* share = std::get_if<TrafficShareChanged>(&event)) traffic_shares_[n] = share->share;
      Deliver(n, event);
    }
    if (spec_.fleet.tier.oracle()) DeliverOracleReports();
    double all = 0;
    for (std::size_t n = 0; n < nodes_.size(); ++n) all += nodes_[n].up ? traffic_shares_[n] : 0;
    if (now_ >= kBegin + Micros(spec_.warm_up_s)) result_.joint_shares = std::max(result_.joint_shares, all);
    if (now_ < end_) Push(now_ + RoutingTier::kTickInterval, EventKind::kTier, 0, 0, 0);
  }

  // With the gossip mode "oracle", nodes receive what no real node can know: which replicas fail, how slow
  // each is, and the prefixes of the whole traffic.
  void DeliverOracleReports() {
    const RoutingTierSpec& t = spec_.fleet.tier;
    PeerReportsReceived truth;
    for (const Host& h : hosts_) {
      const bool bad = !h.up || h.vanished || h.hangs || h.fails >= 0.5;
      const double slow = bad ? 1.1 : std::log(h.slow);  // a failing replica also counts as slow
      truth.replicas.push_back({h.endpoint.id, h.endpoint.started_at, slow, slow != 0 ? 8.0 : 0.0,
                                bad ? now_ + 2 * RoutingTier::kTickInterval : 0, 0});
    }
    PrefixTrafficReceived keys;
    double all = 0;
    for (const auto& [key, use] : prefix_use_) all += use.ValueAt(now_, kPrefixDecayTime);
    for (const auto& [key, use] : prefix_use_)
      keys.shares.emplace_back(key, all > 0 ? use.ValueAt(now_, kPrefixDecayTime) / all : 0);
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (t.shares_outlier_reports()) Deliver(n, truth);
      if (t.shares_prefix_traffic()) Deliver(n, keys);
    }
  }

  // The load balancer in front of the nodes chooses a node by traffic weight.
  std::uint32_t NodeFor() {
    if (traffic_cdf_.empty()) return static_cast<std::uint32_t>(balancing_.Below(nodes_.size()));
    const auto at = std::upper_bound(traffic_cdf_.begin(), traffic_cdf_.end() - 1, balancing_.Unit());
    return static_cast<std::uint32_t>(at - traffic_cdf_.begin());
  }

  void Push(Time at, EventKind kind, std::uint32_t a, std::uint32_t b, std::uint64_t c) {
    const SimulationEvent e{std::max(at, now_), ++order_, c, a, b, kind};
    if (e.at - now_ > kQueueHorizon) {
      far_events_[e.at / kQueueHorizon].push_back(e);
    } else {
      queue_.push(e);
    }
  }

  // Moves events that are due soon from the buckets to the queue. Most of them are deadlines of requests that
  // have ended in the meantime; they are dropped and never reach the queue. Returns false if no event is
  // left.
  bool RefillQueue() {
    while (!far_events_.empty() &&
           (queue_.empty() || far_events_.begin()->first * kQueueHorizon <= queue_.top().at)) {
      for (const SimulationEvent& e : far_events_.begin()->second) {
        if (e.kind == EventKind::kClientDeadline && requests_.Get(e.c) == nullptr) continue;
        if (e.kind == EventKind::kAttemptDeadline && tries_.Get(e.c) == nullptr) continue;
        queue_.push(e);
      }
      far_events_.erase(far_events_.begin());
    }
    return !queue_.empty();
  }

  // ---- Network ----

  Time Delay(int from, int to) {
    const double mean = from == to ? spec_.fleet.same_zone_us : spec_.fleet.cross_zone_us;
    return std::max<Time>(1, static_cast<Time>(network_.Lognormal(mean, spec_.fleet.jitter)));
  }
  Time ClientDelay() {
    return std::max<Time>(1,
                          static_cast<Time>(network_.Lognormal(spec_.fleet.client_us, spec_.fleet.jitter)));
  }
  bool IsCut(int from, int to) const {
    return cut_[static_cast<std::size_t>(from) * static_cast<std::size_t>(spec_.fleet.zones) +
                static_cast<std::size_t>(to)] > 0;
  }

  // ---- Nodes ----

  void StartNode(std::size_t n) {
    Node& node = nodes_[n];
    node.up = true;
    ++node.incarnation;
    node.list_generation = 0;
    node.draining_since.assign(hosts_.size(), 0);
    if (tier_) tier_->OnNodeStarted(n, now_);
    const Settings settings = SettingsOf(spec_, static_cast<int>(n));
    const std::uint64_t seed = spec_.seed * 1000003 + n * 7919 + node.incarnation;
    node.policy = options_.policy ? options_.policy(static_cast<int>(n), settings, now_)
                                  : MakePolicy(spec_.policy, settings, seed, now_, [this](ReplicaId id) {
                                      const Host& h = hosts_[id];
                                      return (h.replica->unread() * h.spec.per_read_us +
                                              (h.replica->busy() + h.replica->waiting()) * h.spec.base_us) *
                                             h.slow / h.replica->Speed(now_);
                                    });
  }

  void Deliver(std::size_t n, const policy::Event& event) {
    Node& node = nodes_[n];
    if (!node.up) return;
    std::vector<Action>& actions = actions_;  // reused; none of the actions below calls Deliver
    actions.clear();
    const double before = options_.measure_policy ? CpuNow() : 0;
    node.policy->Handle(now_, event, actions);
    if (options_.measure_policy) result_.policy_cpu_s += CpuNow() - before;
    ++result_.decisions;
    if (options_.observer != nullptr)
      options_.observer->OnDecision(static_cast<int>(n), now_, event, actions);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&a)) {
        Send(n, *send);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&a)) {
        CancelAttemptOf(cancel->id, cancel->attempt);
      } else if (const auto* refuse = std::get_if<RejectRequest>(&a)) {
        EndTry(refuse->id, false, refuse->retry_after);
      } else if (const auto* fail = std::get_if<FailRequest>(&a)) {
        EndTry(fail->id, true, 0);
      } else if (const auto* timer = std::get_if<SetTimer>(&a)) {
        Push(now_ + timer->delay, EventKind::kTimer, static_cast<std::uint32_t>(n), node.incarnation,
             timer->token);
      }
    }
  }

  void Send(std::size_t n, const SendAttempt& send) {
    Try* t = tries_.Get(send.id);
    if (t == nullptr || t->node != n || send.replica >= hosts_.size()) return;
    ++result_.attempts;
    if (t->in_flight > 0) ++result_.violations.two_attempts;
    Node& node = nodes_[n];
    const Time drained = node.draining_since[send.replica];
    if (drained != 0 && now_ - drained > spec_.drain_grace) ++result_.violations.after_drain;
    Attempt a;
    a.try_handle = send.id;
    a.node = static_cast<std::uint32_t>(n);
    a.replica = send.replica;
    a.n = t->attempts++;
    a.sent = now_;
    ++t->in_flight;
    const std::uint64_t handle = attempts_.Add(a);
    t->attempts_in_flight.push_back(handle);
    const Host& h = hosts_[send.replica];
    if (h.vanished || IsCut(node.zone, h.endpoint.zone)) {
      Push(now_ + Micros(spec_.fleet.connect_timeout), EventKind::kEnded, 0,
           static_cast<std::uint32_t>(Outcome::kConnectFailed), handle);
    } else {
      Push(now_ + Delay(node.zone, h.endpoint.zone), EventKind::kOffer, send.replica, 0, handle);
    }
  }

  void CancelAttemptOf(RequestId id, int n) {
    const Try* t = tries_.Get(id);
    if (t == nullptr) return;
    for (const std::uint64_t handle : AttemptHandles(t->attempts_in_flight)) {
      Attempt* a = attempts_.Get(handle);
      if (a == nullptr || a->n != n || a->over) continue;
      StopAt(handle, *a);
      Push(now_, EventKind::kEnded, 0, static_cast<std::uint32_t>(Outcome::kCancelled), handle);
    }
  }

  // The node closes the connection; the replica learns of it after the network delay.
  void StopAt(std::uint64_t handle, const Attempt& a) {
    const Host& h = hosts_[a.replica];
    if (!h.vanished && !IsCut(nodes_[a.node].zone, h.endpoint.zone))
      Push(now_ + Delay(nodes_[a.node].zone, h.endpoint.zone), EventKind::kStop, a.replica, 0, handle);
  }

  // ---- Replicas ----

  void ScheduleReplica(std::uint32_t replica) {
    Host& h = hosts_[replica];
    ++h.plan_generation;
    const Time next = h.replica->Next();
    if (next == Replica::kNever) return;
    Push(next, EventKind::kReplica, replica, h.plan_generation, 0);
  }

  void OnOffer(std::uint32_t replica, std::uint64_t handle) {
    Attempt* a = attempts_.Get(handle);
    if (a == nullptr || a->over) return;
    Host& h = hosts_[replica];
    const int zone = nodes_[a->node].zone;
    if (h.fabricates)
      return Push(now_ + Delay(h.endpoint.zone, zone), EventKind::kEnded, 0,
                  static_cast<std::uint32_t>(Outcome::kServed), handle);
    if (h.vanished)
      return Push(now_ + Micros(spec_.fleet.silence_timeout_s), EventKind::kEnded, 0,
                  static_cast<std::uint32_t>(Outcome::kReset), handle);
    if (!h.up) {
      return Push(now_ + Delay(h.endpoint.zone, zone), EventKind::kEnded, 0,
                  static_cast<std::uint32_t>(Outcome::kConnectFailed), handle);
    }
    if (failures_.Chance(h.fails))
      return Push(now_ + Delay(h.endpoint.zone, zone), EventKind::kEnded, 0,
                  static_cast<std::uint32_t>(Outcome::kError), handle);
    if (h.hangs) return;
    const Try* t = tries_.Get(a->try_handle);
    const ClientRequest* c = t == nullptr ? nullptr : requests_.Get(t->request);
    if (c == nullptr) return;
    if (!h.replica->Offer(now_, {handle, c->prompt, c->answer, c->prefix, c->session, c->prefix_tokens})) {
      return Push(now_ + Delay(h.endpoint.zone, zone), EventKind::kEnded, 0,
                  static_cast<std::uint32_t>(Outcome::kAtCapacity), handle);
    }
    a->at_replica = true;
    ScheduleReplica(replica);
  }

  void OnReplica(std::uint32_t replica, std::uint32_t plan) {
    Host& h = hosts_[replica];
    if (plan != h.plan_generation || !h.up) return;
    job_events_.clear();
    h.replica->Run(now_, job_events_);
    for (const JobEvent& e : job_events_) {
      Attempt* a = attempts_.Get(e.id);
      if (a == nullptr) continue;
      const int zone = nodes_[a->node].zone;
      const bool lost = h.vanished || IsCut(h.endpoint.zone, zone);
      if (e.kind == JobEvent::Kind::kFirst) {
        a->cached = e.cached;
        if (lost) {
          Push(now_ + Micros(spec_.fleet.silence_timeout_s), EventKind::kEnded, 0,
               static_cast<std::uint32_t>(Outcome::kReset), e.id);
        } else {
          a->first_token_at_node = now_ + Delay(h.endpoint.zone, zone);
          Push(a->first_token_at_node, EventKind::kFirst, replica, 0, e.id);
        }
        continue;
      }
      a->answer_complete = true;
      ++h.served;
      CountServed(replica);
      // If the answer is lost on the way, the node waits until its silence timeout.
      if (lost) {
        Push(now_ + Micros(spec_.fleet.silence_timeout_s), EventKind::kEnded, 0,
             static_cast<std::uint32_t>(Outcome::kReset), e.id);
      } else {
        Push(std::max(a->first_token_at_node, now_ + Delay(h.endpoint.zone, zone)), EventKind::kEnded, 0,
             static_cast<std::uint32_t>(Outcome::kServed), e.id);
      }
    }
    ScheduleReplica(replica);
  }

  void CountServed(std::uint32_t replica) {
    if (spec_.replica_series_interval_s <= 0) return;
    const auto n = static_cast<std::size_t>(Seconds(now_ - kBegin) / spec_.replica_series_interval_s);
    while (result_.served_in.size() <= n) result_.served_in.emplace_back(hosts_.size());
    ++result_.served_in[n][replica];
  }

  // Ends all attempts at a replica. If it vanishes silently, nodes notice only by their silence timeout.
  void KillReplica(std::uint32_t replica, bool silent) {
    Host& h = hosts_[replica];
    const std::vector<std::uint64_t> here = h.replica->Jobs();
    ++h.plan_generation;
    for (const std::uint64_t handle : here) {
      const Attempt* a = attempts_.Get(handle);
      if (a == nullptr || a->over) continue;
      const Time after =
          silent ? Micros(spec_.fleet.silence_timeout_s) : Delay(h.endpoint.zone, nodes_[a->node].zone);
      Push(now_ + after, EventKind::kEnded, 0, static_cast<std::uint32_t>(Outcome::kReset), handle);
    }
    result_.preempted += h.replica->preempted();
    h.replica = std::make_unique<Replica>(h.spec, now_);
  }

  void OnFirst(std::uint64_t handle) {
    Attempt* a = attempts_.Get(handle);
    if (a == nullptr || a->over || a->started) return;
    a->started = true;
    Try* t = tries_.Get(a->try_handle);
    if (t == nullptr || !nodes_[a->node].up) return;
    t->started = true;
    if (ClientRequest* c = requests_.Get(t->request); c != nullptr && c->first == 0)
      c->first = now_ + ClientDelay();
    Deliver(a->node, ResponseStarted{a->try_handle, a->n, a->replica, now_ - a->sent});
  }

  void OnEnded(std::uint64_t handle, Outcome outcome) {
    Attempt* a = attempts_.Get(handle);
    if (a == nullptr || a->over) return;
    a->over = true;
    const Attempt ended = *a;
    attempts_.Remove(handle);
    Try* t = tries_.Get(ended.try_handle);
    if (t != nullptr) RemoveAttempt(*t, handle);
    if (outcome != Outcome::kServed) ++unserved_attempts_;
    if (outcome == Outcome::kAtCapacity) ++result_.full;
    if (outcome == Outcome::kError || outcome == Outcome::kReset || outcome == Outcome::kTimeout ||
        outcome == Outcome::kConnectFailed)
      ++result_.errors;
    if (outcome == Outcome::kReset && ended.at_replica)
      Push(now_, EventKind::kStop, ended.replica, 0, handle);
    if (!nodes_[ended.node].up) return;
    AttemptEnded e{
        ended.try_handle, ended.n, ended.replica, outcome, now_ - ended.sent, outcome == Outcome::kServed,
        ended.cached,     {}};
    const Host& h = hosts_[ended.replica];
    if (outcome == Outcome::kServed || outcome == Outcome::kAtCapacity)
      e.load_report = {static_cast<double>(h.replica->busy() + h.replica->waiting())};
    const std::uint64_t try_handle = ended.try_handle;
    if (outcome == Outcome::kServed) {
      if (!ended.answer_complete) ++result_.violations.not_made;
      if (t != nullptr) {
        const bool again = t->final && requests_.Get(t->request) != nullptr;
        if (again) ++result_.violations.two_answers;
        t->final = true;
        if (ClientRequest* c = requests_.Get(t->request)) {
          cached_tokens_ += ended.cached;
          prompt_tokens_ += c->prompt;
          RequestServed(t->request, *c);
        }
      }
    }
    const bool began = t != nullptr && t->started;
    Deliver(ended.node, e);
    t = tries_.Get(try_handle);
    if (outcome == Outcome::kServed) {
      if (t != nullptr) RemoveTry(try_handle);
    } else if (t != nullptr && began && t->in_flight == 0 && !t->final) {
      // A stream that has started can't be retried: the client sees it broken, whatever the policy decides.
      t->final = true;
      RequestBroken(t->request);
      RemoveTry(try_handle);
    } else if (t != nullptr && t->final && t->in_flight == 0) {
      RemoveTry(try_handle);
    }
  }

  static void RemoveAttempt(Try& t, std::uint64_t attempt) {
    --t.in_flight;
    t.attempts_in_flight.erase(std::remove(t.attempts_in_flight.begin(), t.attempts_in_flight.end(), attempt),
                               t.attempts_in_flight.end());
  }

  void RemoveTry(std::uint64_t handle) {
    Try* t = tries_.Get(handle);
    if (t == nullptr) return;
    if (ClientRequest* c = requests_.Get(t->request); c != nullptr && c->current_try == handle)
      c->current_try = 0;
    if (t->in_flight == 0) tries_.Remove(handle);
  }

  // ---- Clients ----

  // Returns the current rate of new conversations per second. Their later turns are scheduled when an answer
  // ends.
  double Rate() const {
    const ClientSpec& c = spec_.clients;
    const double t = Seconds(now_ - kBegin);
    double rate =
        c.per_second * load_factor_ * (1 + c.wave * std::sin(2 * M_PI * t / std::max(1.0, c.wave_every)));
    if (c.burst_every > 0 && std::fmod(t, c.burst_every) < c.burst_for) rate *= c.burst;
    return rate / c.session_turns;
  }

  // Thinning (Lewis and Shedler 1979): arrivals are drawn at the highest rate, and OnArrive accepts each with
  // the probability of the current rate divided by the highest.
  void NextArrival() {
    const ClientSpec& c = spec_.clients;
    double max_rate = c.per_second * (1 + std::abs(c.wave)) * std::max(1.0, c.burst) / c.session_turns;
    for (const FaultSpec& f : spec_.faults) max_rate *= f.what == "load" ? std::max(1.0, f.factor) : 1;
    if (max_rate <= 0) return;
    Push(now_ + std::max<Time>(1, Micros(arrivals_.Exponential(1 / max_rate))), EventKind::kArrive, 0, 0,
         static_cast<std::uint64_t>(max_rate * 1e6));
  }

  void OnArrive(double max_rate) {
    if (now_ < end_) NextArrival();
    if (now_ >= end_ || arrivals_.Unit() * max_rate >= Rate()) return;
    ClientRequest c;
    const double u = sizes_.Unit();
    c.cls =
        static_cast<int>(std::lower_bound(class_cdf_.begin(), class_cdf_.end() - 1, u) - class_cdf_.begin());
    c.prefix =
        0x9e3779b97f4a7c15ULL * (1 + sessions_.Zipf(spec_.clients.prefixes, spec_.clients.prefix_power));
    c.prefix_tokens = spec_.clients.prefix_tokens;
    c.session = 0xc2b2ae3d27d4eb4fULL * ++conversations_;
    c.honors_retry_after = retries_.Chance(spec_.clients.honors_retry_after);
    c.turns_left = 0;
    while (sessions_.Unit() > 1 / spec_.clients.session_turns) ++c.turns_left;
    c.prompt = c.prefix_tokens;
    StartTurn(c);
  }

  void OnTraced(std::uint64_t n) {
    const std::vector<TracedRequest>& trace = *options_.trace;
    if (n + 1 < trace.size()) Push(kBegin + trace[n + 1].at, EventKind::kTraced, 0, 0, n + 1);
    const TracedRequest& t = trace[n];
    ClientRequest c;
    c.cls = std::clamp(t.cls, 0, static_cast<int>(spec_.classes.size()) - 1);
    c.prefix = t.prefix;
    c.prefix_tokens = t.prefix_tokens;
    c.session = t.session;
    c.prompt = t.prompt;
    c.answer = t.answer;
    StartRequest(c);
  }

  void StartTurn(ClientRequest c) {
    const ClassSpec& k = spec_.classes[static_cast<std::size_t>(c.cls)];
    c.prompt = std::min(30'000.0, c.prompt + std::ceil(sizes_.Lognormal(k.prompt, k.prompt_sigma)));
    c.answer = std::clamp(std::ceil(sizes_.Lognormal(k.answer, k.answer_sigma)), 1.0, k.max_answer);
    StartRequest(c);
  }

  void StartRequest(ClientRequest c) {
    const ClassSpec& k = spec_.classes[static_cast<std::size_t>(c.cls)];
    c.created_at = now_;
    c.deadline = now_ + k.deadline;
    c.tries = 0;
    c.first = 0;
    c.current_try = 0;
    c.counted = now_ >= kBegin + Micros(spec_.warm_up_s) && now_ < end_;
    if (c.counted) {
      ++result_.requests;
      result_.worth_asked += k.worth;
    }
    SecondNow().arrived += 1;
    SecondNow().worth_asked += k.worth;
    const Time deadline = c.deadline;
    const std::uint64_t request = requests_.Add(c);
    ++result_.calls;
    ++open_requests_;
    Push(deadline, EventKind::kClientDeadline, 0, 0, request);
    StartTry(request);
  }

  void StartTry(std::uint64_t request) {
    ClientRequest* c = requests_.Get(request);
    if (c == nullptr || c->current_try != 0) return;
    ++c->tries;
    ++result_.tries;
    // The load balancer in front of the nodes knows which of them are up.
    std::uint32_t node = NodeFor();
    for (std::size_t i = 0; i < nodes_.size() && !nodes_[node].up; ++i)
      node =
          traffic_cdf_.empty() || i > 64 ? (node + 1) % static_cast<std::uint32_t>(nodes_.size()) : NodeFor();
    Try t;
    t.request = request;
    t.node = node;
    c->current_try = tries_.Add(std::move(t));
    Push(now_ + ClientDelay(), EventKind::kAtNode, node, 0, c->current_try);
  }

  void OnAtNode(std::uint32_t n, std::uint64_t try_handle) {
    Try* t = tries_.Get(try_handle);
    ClientRequest* c = t == nullptr ? nullptr : requests_.Get(t->request);
    if (c == nullptr) return;
    if (!nodes_[n].up) return EndTry(try_handle, true, 0);
    t->at_node = true;
    if (tier_) tier_->OnArrival(n, now_, c->prefix);
    if (spec_.fleet.tier.oracle()) prefix_use_[c->prefix].Add(now_, kPrefixDecayTime, 1);
    RequestArrived r;
    r.id = try_handle;
    r.class_index = c->cls;
    r.session = c->session;
    r.prefix = c->prefix;
    r.prompt_tokens = c->prompt;
    r.prefix_tokens = std::min(c->prefix_tokens, c->prompt);
    r.max_answer_tokens = spec_.classes[static_cast<std::size_t>(c->cls)].max_answer;
    r.time_budget = std::max<Time>(0, c->deadline - now_);
    r.client_retry = c->tries > 1;
    // As in the real node, an attempt without a first token ends shortly before the request's deadline.
    const Time margin = std::max<Time>(10'000, r.time_budget / 100);
    if (r.time_budget > margin)
      Push(now_ + r.time_budget - margin, EventKind::kAttemptDeadline, n, 0, try_handle);
    Deliver(n, r);
  }

  void OnAttemptDeadline(std::uint64_t try_handle) {
    const Try* t = tries_.Get(try_handle);
    if (t == nullptr || t->started) return;
    for (const std::uint64_t handle : AttemptHandles(t->attempts_in_flight)) {
      if (const Attempt* a = attempts_.Get(handle); a != nullptr && !a->over) StopAt(handle, *a);
      OnEnded(handle, Outcome::kTimeout);
    }
  }

  // Ends a try with a rejection or a failure; the client tries again if it has tries and time left.
  void EndTry(std::uint64_t try_handle, bool failed, Time retry_after) {
    Try* t = tries_.Get(try_handle);
    if (t == nullptr) return;
    if (t->final) {
      ++result_.violations.two_answers;
      return;
    }
    t->final = true;
    const std::uint64_t request = t->request;
    RemoveTry(try_handle);
    ClientRequest* c = requests_.Get(request);
    if (c == nullptr) return;
    c->current_try = 0;
    const Time back = ClientDelay();
    const ClientSpec& k = spec_.clients;
    const double gap = k.retry_backoff_s * std::pow(2.0, c->tries - 1) * (0.5 + retries_.Unit());
    const Time wait =
        back + (c->honors_retry_after && retry_after > 0 ? retry_after + Micros(0.2 * gap) : Micros(gap));
    if (c->tries < k.max_tries && now_ + wait < c->deadline)
      return Push(now_ + wait, EventKind::kTry, 0, 0, request);
    if (c->counted) ++(failed ? result_.failed : result_.refused);
    SecondNow().refused += 1;
    EndRequest(request);
  }

  void RequestServed(std::uint64_t request, const ClientRequest& c) {
    const ClassSpec& k = spec_.classes[static_cast<std::size_t>(c.cls)];
    const Time first = c.first - c.created_at;
    const bool in_time = first <= k.latency_objective;
    const double worth = in_time ? k.worth : first <= k.deadline ? k.worth * k.late_worth : 0;
    if (c.counted) {
      ++(in_time ? result_.in_time : result_.late);
      result_.worth += worth;
      result_.first_token(static_cast<double>(first) / 1000);
    }
    SecondNow().worth += worth;
    if (c.turns_left > 0 && now_ < end_) {
      ClientRequest next = c;
      --next.turns_left;
      next.prompt = c.prompt + c.answer;
      const std::uint64_t waiting = turns_.Add(next);
      Push(now_ + Micros(sessions_.Exponential(spec_.clients.turn_gap)), EventKind::kTurn, 0, 0, waiting);
    }
    EndRequest(request);
  }

  void RequestBroken(std::uint64_t request) {
    const ClientRequest* c = requests_.Get(request);
    if (c == nullptr) return;
    if (c->counted) ++result_.broken;
    EndRequest(request);
  }

  void EndRequest(std::uint64_t request) {
    requests_.Remove(request);
    --open_requests_;
  }

  // The client gives up at its deadline, unless its stream has started.
  void OnClientDeadline(std::uint64_t request) {
    ClientRequest* c = requests_.Get(request);
    if (c == nullptr) return;
    const std::uint64_t try_handle = c->current_try;
    Try* t = tries_.Get(try_handle);
    if (t != nullptr && t->started) return;
    if (t != nullptr && t->at_node && nodes_[t->node].up) ++result_.violations.no_answer;
    if (c->counted) ++result_.lost;
    if (t != nullptr) {
      t->final = true;
      const std::uint32_t node = t->node;
      const bool node_informed = t->at_node;
      EndRequest(request);
      if (node_informed) Push(now_ + ClientDelay(), EventKind::kClientGone, node, 0, try_handle);
      if (!node_informed) RemoveTry(try_handle);
      return;
    }
    EndRequest(request);
  }

  void OnClientGone(std::uint32_t node, std::uint64_t try_handle) {
    if (tries_.Get(try_handle) == nullptr) return;
    Deliver(node, ClientDisconnected{try_handle});
    const Try* t = tries_.Get(try_handle);
    if (t != nullptr && t->in_flight == 0) tries_.Remove(try_handle);
  }

  // ---- Discovery ----

  // Announces changed replicas to all nodes, to each after a random delay of its own.
  void AnnounceChange(const std::vector<std::uint32_t>& changed) {
    ++generation_;
    for (const std::uint32_t r : changed) changes_[generation_].push_back(hosts_[r].endpoint);
    if (discovery_down_) return;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
      Push(now_ + Micros(discovery_.Exponential(spec_.fleet.discovery_delay_s * discovery_delay_factor_)),
           EventKind::kList, static_cast<std::uint32_t>(n), generation_, kDeltaList);
    if (changes_.size() > 64) changes_.erase(changes_.begin());
  }

  void OnList(std::uint32_t n, std::uint32_t generation, std::uint64_t kind) {
    Node& node = nodes_[n];
    if (!node.up) return;
    EndpointList list;
    if (kind == kFailedList) {
      if (!discovery_down_) return;
      list.scope = EndpointListScope::kFailed;
      return Deliver(n, list);
    }
    if (discovery_down_ && kind == kDeltaList) return;
    const auto it = changes_.find(generation);
    // A delta that arrives out of order must not undo a newer one, so the whole list is sent instead.
    if (kind == kDeltaList && generation == node.list_generation + 1 && it != changes_.end()) {
      list.scope = EndpointListScope::kDelta;
      list.endpoints = it->second;
    } else {
      if (kind == kDeltaList && generation <= node.list_generation) return;
      list.scope = EndpointListScope::kFull;
      for (const Host& h : hosts_) {
        if (h.listed) list.endpoints.push_back(h.endpoint);
      }
      generation = generation_;
    }
    node.list_generation = generation;
    list.version = generation;
    std::vector<bool> seen(hosts_.size());
    for (const Endpoint& e : list.endpoints) {
      seen[e.id] = true;
      Time& drained = node.draining_since[e.id];
      if (e.state == EndpointState::kReady) {
        drained = 0;
      } else if (drained == 0) {
        drained = now_;
      }
    }
    if (list.scope == EndpointListScope::kFull) {
      for (std::size_t r = 0; r < seen.size(); ++r) {
        if (!seen[r] && node.draining_since[r] == 0) node.draining_since[r] = now_;
      }
    }
    // With the fault "contradict", every second node is told that draining replicas are ready.
    if (discovery_contradicts_ && n % 2 == 1) {
      for (Endpoint& e : list.endpoints) {
        if (e.state == EndpointState::kDraining) {
          e.state = EndpointState::kReady;
          node.draining_since[e.id] = 0;
        }
      }
    }
    Deliver(n, list);
  }

  // ---- Faults ----

  std::vector<std::uint32_t> AffectedReplicas(const FaultSpec& f) const {
    std::vector<std::uint32_t> all;
    for (std::uint32_t r = 0; r < hosts_.size(); ++r) {
      const Host& h = hosts_[r];
      const int at = f.what == "rack" ? h.rack : f.what == "zone" ? h.endpoint.zone : static_cast<int>(r);
      if (at >= f.first && at < f.first + f.count) all.push_back(r);
    }
    return all;
  }

  void OnFault(const FaultSpec& f, bool begins) {
    const std::vector<std::uint32_t> affected = AffectedReplicas(f);
    if (f.what == "drain") {
      for (const std::uint32_t r : affected)
        hosts_[r].endpoint.state = begins ? EndpointState::kDraining : EndpointState::kReady;
      AnnounceChange(affected);
    } else if (f.what == "restart" || f.what == "replace" || f.what == "rack" || f.what == "zone") {
      for (const std::uint32_t r : affected) {
        Host& h = hosts_[r];
        if (begins) {
          KillReplica(r, false);
          h.up = false;
          h.endpoint.state = EndpointState::kRemoved;
          h.listed = false;
        } else {
          h.up = true;
          h.listed = true;
          h.endpoint.state = EndpointState::kReady;
          h.endpoint.started_at = now_;
          h.replica = std::make_unique<Replica>(h.spec, now_);
        }
      }
      // A replacement in place is announced only when the new instance is up.
      if (f.what != "replace" || !begins) AnnounceChange(affected);
    } else if (f.what == "vanish") {
      for (const std::uint32_t r : affected) {
        Host& h = hosts_[r];
        if (begins) {
          KillReplica(r, true);
          h.vanished = true;
          Push(now_ + kVanishedRemovalDelay, EventKind::kRemoveVanished, r, h.plan_generation, 0);
        } else {
          h.vanished = false;
          h.listed = true;
          h.endpoint.state = EndpointState::kReady;
          h.endpoint.started_at = now_;
          h.replica = std::make_unique<Replica>(h.spec, now_);
        }
      }
      if (!begins) AnnounceChange(affected);
    } else if (f.what == "slow") {
      for (const std::uint32_t r : affected) {
        Host& h = hosts_[r];
        h.slow = begins ? f.factor : 1;
        ReplicaSpec spec = h.spec;
        spec.speed /= h.slow;
        SetSpeed(r, spec);
      }
    } else if (f.what == "hangs") {
      for (const std::uint32_t r : affected) hosts_[r].hangs = begins;
    } else if (f.what == "fails") {
      for (const std::uint32_t r : affected) hosts_[r].fails = begins ? f.factor : 0;
    } else if (f.what == "cut") {
      const auto cut = [&](int from, int to) {
        cut_[static_cast<std::size_t>(from) * static_cast<std::size_t>(spec_.fleet.zones) +
             static_cast<std::size_t>(to)] += begins ? 1 : -1;
      };
      if (f.other >= 0 && f.other < spec_.fleet.zones && f.first < spec_.fleet.zones) {
        cut(f.first, f.other);
        if (!f.one_way) cut(f.other, f.first);
      }
    } else if (f.what == "dark") {
      discovery_down_ = begins;
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        Push(now_ + (begins ? kDiscoveryFailureDelay
                            : Micros(discovery_.Exponential(spec_.fleet.discovery_delay_s))),
             EventKind::kList, static_cast<std::uint32_t>(n), generation_, begins ? kFailedList : kFullList);
      }
    } else if (f.what == "invent") {
      for (const std::uint32_t r : affected) hosts_[r].fabricates = begins;
    } else if (f.what == "late") {
      discovery_delay_factor_ = begins ? std::max(1.0, f.factor) : 1;
    } else if (f.what == "contradict") {
      discovery_contradicts_ = begins;
      if (!begins) {
        for (std::size_t n = 0; n < nodes_.size(); ++n)
          Push(now_, EventKind::kList, static_cast<std::uint32_t>(n), generation_, kFullList);
      }
    } else if (f.what == "talk-cut") {
      if (tier_) tier_->Partition(begins ? static_cast<std::size_t>(f.count) : 0);
    } else if (f.what == "load") {
      load_factor_ = begins ? f.factor : 1;
    } else if (f.what == "node-dies") {
      for (int n = f.first; n < f.first + f.count && n < spec_.fleet.nodes; ++n)
        begins ? NodeDies(static_cast<std::size_t>(n)) : NodeReturns(static_cast<std::size_t>(n));
    }
  }

  void SetSpeed(std::uint32_t r, const ReplicaSpec& spec) {
    Host& h = hosts_[r];
    h.replica->SetSpeed(now_, spec.speed);
    ScheduleReplica(r);
  }

  void NodeDies(std::size_t n) {
    nodes_[n].up = false;
    if (tier_) tier_->OnNodeStopped(n);
    std::vector<std::uint64_t> handles, tries;
    for (const Handle handle : attempts_.All()) {
      const Attempt& a = *attempts_.Get(handle);
      if (a.node == n && !a.over) handles.push_back(handle);
    }
    for (const std::uint64_t handle : handles) {
      const Attempt a = *attempts_.Get(handle);
      StopAt(handle, a);
      if (Try* t = tries_.Get(a.try_handle)) RemoveAttempt(*t, handle);
      attempts_.Remove(handle);
    }
    for (const Handle handle : tries_.All()) {
      const Try& t = *tries_.Get(handle);
      if (t.node == n && t.at_node) tries.push_back(handle);
    }
    for (const std::uint64_t handle : tries) {
      const Try t = *tries_.Get(handle);
      if (t.final) {
        tries_.Remove(handle);
      } else if (t.started) {
        RequestBroken(t.request);
        tries_.Remove(handle);
      } else {
        EndTry(handle, true, 0);
      }
    }
  }

  void NodeReturns(std::size_t n) {
    StartNode(n);
    Push(now_ + Micros(discovery_.Exponential(spec_.fleet.discovery_delay_s)), EventKind::kList,
         static_cast<std::uint32_t>(n), generation_, kFullList);
  }

  // ---- Statistics and dispatch ----

  SecondStats& SecondNow() {
    const auto n = static_cast<std::size_t>((now_ - kBegin) / 1'000'000);
    if (result_.seconds.size() <= n) result_.seconds.resize(n + 1);
    return result_.seconds[n];
  }

  void OnSecond() {
    SecondStats& s = SecondNow();
    for (const Node& n : nodes_) {
      if (!n.up) continue;
      s.held += static_cast<double>(n.policy->queued_requests());
      s.caps += n.policy->total_concurrency_limit();
    }
    double slots = 0, most = 0, all = 0;
    for (Host& h : hosts_) {
      const double here = h.replica->busy() + h.replica->waiting();
      most = std::max(most, here);
      all += here;
      s.busy += h.replica->busy();
      slots += h.spec.slots;
      const double speed = h.replica->Speed(now_);
      if (speed < h.spec.speed && h.up && !h.vanished && h.slow == 1 &&
          h.replica->unread() * h.spec.per_read_us / speed > spec_.cold_backlog_s * 1e6)
        ++result_.violations.cold_pushed;
    }
    if (all > 0 && now_ >= kBegin + Micros(spec_.warm_up_s)) {
      peak_to_mean_sum_ += most * static_cast<double>(hosts_.size()) / all;
      ++peak_to_mean_samples_;
    }
    result_.joint_overshoot = std::max(result_.joint_overshoot, s.caps / std::max(1.0, slots));
    if (now_ < end_) Push(now_ + 1'000'000, EventKind::kSecond, 0, 0, 0);
  }

  void Dispatch(const SimulationEvent& e) {
    switch (e.kind) {
      case EventKind::kArrive:
        return OnArrive(static_cast<double>(e.c) / 1e6);
      case EventKind::kTurn: {
        ClientRequest c = *turns_.Get(e.c);
        turns_.Remove(e.c);
        if (now_ < end_) StartTurn(c);
        return;
      }
      case EventKind::kTry:
        return StartTry(e.c);
      case EventKind::kAtNode:
        return OnAtNode(e.a, e.c);
      case EventKind::kTimer:
        if (nodes_[e.a].incarnation == e.b) Deliver(e.a, TimerFired{e.c});
        return;
      case EventKind::kOffer:
        return OnOffer(e.a, e.c);
      case EventKind::kStop: {
        Host& h = hosts_[e.a];
        return h.replica->Cancel(now_, e.c) ? ScheduleReplica(e.a) : void();
      }
      case EventKind::kReplica:
        return OnReplica(e.a, e.b);
      case EventKind::kFirst:
        return OnFirst(e.c);
      case EventKind::kEnded:
        return OnEnded(e.c, static_cast<Outcome>(e.b));
      case EventKind::kClientDeadline:
        return OnClientDeadline(e.c);
      case EventKind::kList:
        return OnList(e.a, e.b, e.c);
      case EventKind::kFault:
        return OnFault(spec_.faults[e.a], e.b == 1);
      case EventKind::kSecond:
        return OnSecond();
      case EventKind::kRemoveVanished: {
        Host& h = hosts_[e.a];
        if (!h.vanished) return;
        h.endpoint.state = EndpointState::kRemoved;
        h.listed = false;
        return AnnounceChange({e.a});
      }
      case EventKind::kClientGone:
        return OnClientGone(e.a, e.c);
      case EventKind::kAttemptDeadline:
        return OnAttemptDeadline(e.c);
      case EventKind::kTraced:
        return OnTraced(e.c);
      case EventKind::kTier:
        return OnTier();
    }
  }

  void Finish() {
    for (const Host& h : hosts_) {
      result_.served_by_replica.push_back(static_cast<double>(h.served));
      result_.preempted += h.replica->preempted();
    }
    result_.peak_to_mean_load = peak_to_mean_samples_ > 0 ? peak_to_mean_sum_ / peak_to_mean_samples_ : 0;
    result_.cached_share = prompt_tokens_ > 0 ? cached_tokens_ / prompt_tokens_ : 0;
    result_.wasted_share =
        result_.attempts > 0 ? static_cast<double>(unserved_attempts_) / static_cast<double>(result_.attempts)
                             : 0;
    if (spec_.faults.empty()) return;
    double fault_begin_s = spec_.seconds, fault_end_s = 0;
    for (const FaultSpec& f : spec_.faults) {
      fault_begin_s = std::min(fault_begin_s, f.at);
      fault_end_s = std::max(fault_end_s, f.at + f.lasts);
    }
    result_.recovery_s =
        TimeToRecovery(result_.seconds, spec_.seconds, spec_.warm_up_s, fault_begin_s, fault_end_s);
  }

  ScenarioSpec spec_;
  const ScenarioOptions& options_;
  RandomStream arrivals_, sessions_, sizes_, network_, balancing_, retries_, discovery_, failures_;
  Time now_ = 0, end_ = 0;
  std::priority_queue<SimulationEvent> queue_;
  std::map<Time, std::vector<SimulationEvent>> far_events_;  // buckets, by time divided by kQueueHorizon
  std::uint64_t events_at_once_ = 0, order_ = 0, conversations_ = 0, open_requests_ = 0,
                unserved_attempts_ = 0;
  std::vector<Host> hosts_;
  std::vector<Node> nodes_;
  std::vector<int> cut_;
  std::vector<double> class_cdf_, traffic_cdf_, traffic_shares_;
  std::unique_ptr<RoutingTier> tier_;
  std::map<std::uint64_t, DecayingCounter> prefix_use_;  // of all nodes together
  SlotTable<ClientRequest> requests_, turns_;
  SlotTable<Try> tries_;
  SlotTable<Attempt> attempts_;
  std::vector<JobEvent> job_events_;
  std::vector<Action> actions_;
  std::map<std::uint32_t, std::vector<Endpoint>> changes_;  // by generation
  std::uint32_t generation_ = 1;
  bool discovery_down_ = false, discovery_contradicts_ = false;
  double discovery_delay_factor_ = 1, load_factor_ = 1, cached_tokens_ = 0, prompt_tokens_ = 0,
         peak_to_mean_sum_ = 0;
  int peak_to_mean_samples_ = 0;
  ScenarioResult result_;
};

}  // namespace

double TimeToRecovery(const std::vector<SecondStats>& seconds, double length_s, double warm_up_s,
                      double fault_begin_s, double fault_end_s) {
  // Returns the served share of the worth requested from `from` to `to`. It exceeds 1 while a backlog is
  // worked off.
  const auto share = [&](double from, double to) {
    double worth = 0, asked = 0;
    for (auto s = static_cast<std::size_t>(from); s < static_cast<std::size_t>(to) && s < seconds.size();
         ++s) {
      worth += seconds[s].worth;
      asked += seconds[s].worth_asked;
    }
    return asked > 0 ? worth / asked : 0;
  };
  constexpr double kWindowS = 5;
  const double target = 0.95 * share(warm_up_s, fault_begin_s);
  for (double t = std::ceil(fault_end_s); t + 2 * kWindowS <= length_s; ++t) {
    if (share(t, t + kWindowS) >= target && share(t + kWindowS, t + 2 * kWindowS) >= target)
      return t - fault_end_s;
  }
  return std::max(0.0, length_s - fault_end_s);
}

std::vector<std::string> FaultNames() {
  return {"drain",      "restart",   "vanish", "slow",    "rack",   "zone",     "cut",   "dark", "late",
          "contradict", "node-dies", "load",   "replace", "invent", "talk-cut", "fails", "hangs"};
}

std::string RuleViolations::Describe() const {
  return fmt::format(
      "no answer {}, two answers {}, concurrent attempts {}, attempts after a drain {}, "
      "overloaded cold replicas {}, answers not produced by a replica {}",
      no_answer, two_answers, two_attempts, after_drain, cold_pushed, not_made);
}

double ScenarioResult::Quantile(double q) const { return lab::QuantileOf(first_token, q); }

Settings SettingsOf(const ScenarioSpec& spec, int node) {
  Settings s;
  for (const ClassSpec& c : spec.classes) {
    ClassSettings k;
    k.name = c.name;
    k.latency_objective = c.latency_objective;
    k.time_budget = c.deadline;
    k.priority_weight = c.worth;
    k.late_weight_share = c.late_worth;
    k.streaming = true;
    s.classes.push_back(k);
  }
  s.load_fields = {LoadField::kInFlight};
  s.load_reports_in_responses = true;
  s.node_count = spec.fleet.nodes;
  s.node_index = node;
  s.zone_count = spec.fleet.zones;
  s.zone = node % spec.fleet.zones;
  s.replica_kind_count = static_cast<int>(spec.fleet.kinds.size());
  s.max_attempts = spec.max_attempts;
  s.connect_timeout = Micros(spec.fleet.connect_timeout);
  s.response_grace = 16'000;
  s.drain_grace = spec.drain_grace;
  for (const KindSpec& k : spec.fleet.kinds) {
    s.slow_start_window = std::max(s.slow_start_window, k.replica.slow_start_window);
    s.slow_start_min_share = std::min(s.slow_start_min_share, k.replica.slow_start_min_share);
  }
  if (spec.fleet.zones > 1) s.cross_zone_penalty = 0.02;
  return s;
}

ScenarioResult RunScenario(const ScenarioSpec& spec, const ScenarioOptions& options) {
  return Simulation(spec, options).Run();
}

}  // namespace ryeglade::emulator
