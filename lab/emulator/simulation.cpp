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

constexpr Time kBegin = 1'000'000'000;      // of the day, by every clock
constexpr Time kVanishedTold = 10'000'000;  // a machine that vanishes is taken off the list this much later
constexpr std::uint64_t kMostAtOnce = 5'000'000;  // things in one microsecond
constexpr Time kFar = 1 << 18;                    // microseconds
constexpr Time kPrefixMemory = 20'000'000;
constexpr Time kDarkNoticed = 2'800'000;  // and a roster that has gone dark is noticed

double Seconds(Time t) { return static_cast<double>(t) / 1e6; }
Time Micros(double seconds) { return static_cast<Time>(seconds * 1e6); }

double CpuNow() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

class Simulation {
 public:
  Simulation(const ScenarioSpec& day, const ScenarioOptions& options)
      : day_(day),
        options_(options),
        arrivals_(day.seed, RandomPurpose::kArrivals),
        sessions_(day.seed, RandomPurpose::kSessions),
        sizes_(day.seed, RandomPurpose::kSizes),
        network_(day.seed, RandomPurpose::kNetwork),
        balancing_(day.seed, RandomPurpose::kBalancing),
        retries_(day.seed, RandomPurpose::kRetries),
        discovery_(day.seed, RandomPurpose::kDiscovery),
        failures_(day.seed, RandomPurpose::kFailures) {
    Check();
    Build();
  }

  ScenarioResult Play() {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      StartNode(n);
      Push(now_, What::kList, static_cast<std::uint32_t>(n), 0, kFullList);
    }
    for (std::size_t f = 0; f < day_.faults.size(); ++f) {
      Push(kBegin + Micros(day_.faults[f].at), What::kFault, static_cast<std::uint32_t>(f), 1, 0);
      Push(kBegin + Micros(day_.faults[f].at + day_.faults[f].lasts), What::kFault,
           static_cast<std::uint32_t>(f), 0, 0);
    }
    if (options_.trace == nullptr) {
      NextArrival();
    } else if (!options_.trace->empty()) {
      Push(kBegin + options_.trace->front().at, What::kTraced, 0, 0, 0);
    }
    Push(now_ + 1'000'000, What::kSecond, 0, 0, 0);
    if (tier_) Push(now_ + RoutingTier::kEvery, What::kTier, 0, 0, 0);
    // Who is still waiting when no new requests come is played to the end.
    while (Near()) {
      const Event_ e = queue_.top();
      queue_.pop();
      same_ = e.at == now_ ? same_ + 1 : 0;
      if (same_ > kMostAtOnce) {
        throw std::runtime_error(
            fmt::format("time stands still at {:.6f} s: more than {} things happen at once",
                        Seconds(e.at - kBegin), kMostAtOnce));
      }
      now_ = e.at;
      ++result_.events;
      if ((result_.events & 0xffffU) == 0 && options_.stop && options_.stop()) throw SimulationStopped{};
      Do(e);
      if (now_ > end_ && open_calls_ == 0) break;
      if (options_.progress && (result_.events & 0xfffffU) == 0)
        options_.progress(Seconds(now_ - kBegin) / day_.seconds);
    }
    Finish();
    return std::move(result_);
  }

 private:
  enum class What : std::uint8_t {
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
    kPatience,
    kList,
    kFault,
    kSecond,
    kSilence,
    kGone,
    kGuard,
    kTraced,
    kTier
  };
  enum ListKind : std::uint64_t { kFullList = 0, kDeltaList = 1, kFailedList = 2 };
  struct Event_ {
    Time at;
    std::uint64_t order, c;
    std::uint32_t a, b;
    What what;
    bool operator<(const Event_& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  struct Call {  // a client's request, over all its tries
    int cls = 0;
    std::uint64_t prefix = 0, session = 0;
    double prompt = 0, answer = 0, prefix_tokens = 0;
    Time born = 0, gives_up = 0;
    int tries = 0, turns_left = 0;
    bool honors_retry_after = true, counted = false;
    std::uint64_t tried = 0;  // the try that is out; 0: none
    Time first = 0;
  };
  using Outs = std::vector<std::uint64_t>;
  struct Try {
    std::uint64_t call = 0;
    std::uint32_t node = 0;
    bool at_node = false;  // the node has been told
    bool started = false;
    bool final = false;  // its one answer has been given
    int attempts = 0, out = 0;
    Outs outs;  // attempts that are out
  };
  struct Attempt {
    std::uint64_t tried = 0;
    std::uint32_t node = 0;
    std::uint32_t replica = 0;
    int n = 0;
    Time sent = 0;
    bool at_replica = false, made = false;  // a replica has it; has made all of it
    bool started = false;
    bool over = false;             // the node has been told its end, or has died
    Time first_token_at_node = 0;  // when the first token is at the node: the end can't overtake it
    double kept = 0;
  };
  struct Node {
    std::unique_ptr<NodePolicy> policy;
    int zone = 0;
    bool up = true;
    std::uint32_t life = 0;
    std::uint32_t told = 0;     // generation
    std::vector<Time> drained;  // by replica: when it was told that it drains; 0: not
  };
  struct Host {
    std::unique_ptr<Replica> replica;
    Endpoint entry;
    ReplicaSpec spec;
    int rack = 0;
    std::uint32_t plan = 0;  // of its next event; older ones are void
    bool up = true, silent = false, hangs = false, listed = true, invents = false;
    double slow = 1, fails = 0;
    std::uint64_t served = 0;
  };

  void Check() const {
    const auto need = [](bool good, const char* what) {
      if (!good) throw std::runtime_error(what);
    };
    need(day_.seconds > 0 && day_.seconds < 1e7, "seconds: must be between 0 and 1e7");
    need(day_.warm_up_s >= 0 && day_.warm_up_s < day_.seconds, "warm: must be less than `seconds`");
    need(!day_.classes.empty(), "classes: at least one is needed");
    need(day_.fleet.nodes > 0 && day_.fleet.nodes <= 4096, "fleet.nodes: must be 1 to 4096");
    need(day_.fleet.replicas > 0 && day_.fleet.replicas <= 100'000, "fleet.replicas: must be 1 to 100000");
    need(day_.fleet.zones > 0 && day_.fleet.racks > 0, "fleet.zones, fleet.racks: must be 1 or more");
    need(day_.fleet.skew >= 0 && day_.fleet.skew <= 3, "fleet.skew: must be 0 to 3");
    const std::string talk_error = "fleet.talk: must be " + std::string(kGossipValues);
    need(day_.fleet.tier.IsValid(), talk_error.c_str());
    need(!day_.fleet.kinds.empty(), "fleet.kinds: at least one is needed");
    need(day_.clients.per_second >= 0, "clients.per_second: must not be negative");
    need(day_.clients.session_turns >= 1, "clients.session_turns: must be 1 or more");
    const std::vector<std::string> names = FaultNames();
    for (const FaultSpec& f : day_.faults) {
      if (std::find(names.begin(), names.end(), f.what) == names.end())
        throw std::runtime_error("faults.what: '" + f.what + "' is none of them");
    }
  }

  void Build() {
    now_ = kBegin;
    end_ = kBegin + Micros(day_.seconds);
    result_.first_token = lab::NewLatencies();
    RandomStream speeds(day_.seed, RandomPurpose::kSpeeds);
    double shares = 0;
    for (const KindSpec& k : day_.fleet.kinds) shares += k.share;
    for (int i = 0; i < day_.fleet.replicas; ++i) {
      Host h;
      double at = (i + 0.5) / day_.fleet.replicas * shares;
      std::size_t kind = 0;
      while (kind + 1 < day_.fleet.kinds.size() && at >= day_.fleet.kinds[kind].share)
        at -= day_.fleet.kinds[kind++].share;
      h.spec = day_.fleet.kinds[kind].replica;
      h.spec.speed *= speeds.Lognormal(1, day_.fleet.speed_sigma);
      h.entry.id = static_cast<ReplicaId>(i);
      h.entry.kind = static_cast<int>(kind);
      h.entry.zone = i % day_.fleet.zones;
      h.rack = h.entry.zone * day_.fleet.racks + i / day_.fleet.zones % day_.fleet.racks;
      h.replica = std::make_unique<Replica>(h.spec, 0);  // warm from the begin
      hosts_.push_back(std::move(h));
    }
    nodes_.resize(static_cast<std::size_t>(day_.fleet.nodes));
    for (std::size_t n = 0; n < nodes_.size(); ++n) nodes_[n].zone = static_cast<int>(n) % day_.fleet.zones;
    BuildTier();
    const std::size_t zones = static_cast<std::size_t>(day_.fleet.zones);
    cut_.assign(zones * zones, 0);
    double all = 0;
    for (const ClassSpec& c : day_.classes) all += c.share;
    for (const ClassSpec& c : day_.classes)
      class_upto_.push_back((class_upto_.empty() ? 0 : class_upto_.back()) + c.share / all);
  }

  void BuildTier() {
    if (day_.fleet.skew <= 0 && day_.fleet.tier.gossip_mode.empty()) return;
    RandomStream random(day_.seed, RandomPurpose::kBalancing, 1);
    std::vector<double> weights;
    double whole = 0;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      weights.push_back(random.Lognormal(1, day_.fleet.skew));
      whole += weights.back();
    }
    for (double& w : weights) w /= whole;
    for (const double w : weights)
      traffic_upto_.push_back((traffic_upto_.empty() ? 0 : traffic_upto_.back()) + w);
    if (!day_.fleet.tier.gossip_mode.empty())
      tier_ = std::make_unique<RoutingTier>(day_.fleet.tier, std::move(weights), day_.fleet.zones, day_.seed);
    parts_.assign(nodes_.size(), 1.0 / static_cast<double>(nodes_.size()));
  }

  void OnTier() {
    const auto sight = [this](std::size_t n, std::vector<ReplicaView>* fleet) {
      for (const Host& h : hosts_) {
        ReplicaView v = nodes_[n].policy->seen(h.entry.id);
        if (v.endpoint.id == h.entry.id) fleet->push_back(v);
      }
    };
    for (const auto& [n, event] : tier_->Turn(now_, sight)) {
      if (const auto* share = std::get_if<TrafficShareChanged>(&event)) parts_[n] = share->share;
      Give(n, event);
    }
    if (day_.fleet.tier.oracle()) TellTruth();
    double all = 0;
    for (std::size_t n = 0; n < nodes_.size(); ++n) all += nodes_[n].up ? parts_[n] : 0;
    if (now_ >= kBegin + Micros(day_.warm_up_s)) result_.joint_shares = std::max(result_.joint_shares, all);
    if (now_ < end_) Push(now_ + RoutingTier::kEvery, What::kTier, 0, 0, 0);
  }

  // What no node can know: which replicas are bad, how slow each is, what beginnings the traffic has.
  void TellTruth() {
    const RoutingTierSpec& t = day_.fleet.tier;
    PeerReportsReceived truth;
    for (const Host& h : hosts_) {
      const bool bad = !h.up || h.silent || h.hangs || h.fails >= 0.5;
      const double slow = bad ? 1.1 : std::log(h.slow);  // what fails looks slow to the module too
      truth.replicas.push_back({h.entry.id, h.entry.started_at, slow, slow != 0 ? 8.0 : 0.0,
                                bad ? now_ + 2 * RoutingTier::kEvery : 0, 0});
    }
    PrefixTrafficReceived keys;
    double all = 0;
    for (const auto& [key, use] : prefix_use_) all += use.ValueAt(now_, kPrefixMemory);
    for (const auto& [key, use] : prefix_use_)
      keys.shares.emplace_back(key, all > 0 ? use.ValueAt(now_, kPrefixMemory) / all : 0);
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (t.shares_outlier_reports()) Give(n, truth);
      if (t.shares_prefix_traffic()) Give(n, keys);
    }
  }

  // The balancer in front deals requests out by the nodes' weights.
  std::uint32_t NodeFor() {
    if (traffic_upto_.empty()) return static_cast<std::uint32_t>(balancing_.Below(nodes_.size()));
    const auto at = std::upper_bound(traffic_upto_.begin(), traffic_upto_.end() - 1, balancing_.Unit());
    return static_cast<std::uint32_t>(at - traffic_upto_.begin());
  }

  void Push(Time at, What what, std::uint32_t a, std::uint32_t b, std::uint64_t c) {
    const Event_ e{std::max(at, now_), ++order_, c, a, b, what};
    if (e.at - now_ > kFar) {
      far_[e.at / kFar].push_back(e);
    } else {
      queue_.push(e);
    }
  }

  // What is far off waits in buckets by its time; most of it, the ends of patience, has nothing left to do
  // when its time comes near, and never reaches the queue. False: nothing is left at all.
  bool Near() {
    while (!far_.empty() && (queue_.empty() || far_.begin()->first * kFar <= queue_.top().at)) {
      for (const Event_& e : far_.begin()->second) {
        if (e.what == What::kPatience && calls_.Get(e.c) == nullptr) continue;
        if (e.what == What::kGuard && tries_.Get(e.c) == nullptr) continue;
        queue_.push(e);
      }
      far_.erase(far_.begin());
    }
    return !queue_.empty();
  }

  // ---- Network ----

  Time Delay(int from, int to) {
    const double mean = from == to ? day_.fleet.same_zone_us : day_.fleet.cross_zone_us;
    return std::max<Time>(1, static_cast<Time>(network_.Lognormal(mean, day_.fleet.jitter)));
  }
  Time ClientDelay() {
    return std::max<Time>(1, static_cast<Time>(network_.Lognormal(day_.fleet.client_us, day_.fleet.jitter)));
  }
  bool Cut(int from, int to) const {
    return cut_[static_cast<std::size_t>(from) * static_cast<std::size_t>(day_.fleet.zones) +
                static_cast<std::size_t>(to)] > 0;
  }

  // ---- Nodes ----

  void StartNode(std::size_t n) {
    Node& node = nodes_[n];
    node.up = true;
    ++node.life;
    node.told = 0;
    node.drained.assign(hosts_.size(), 0);
    if (tier_) tier_->Starts(n, now_);
    const Settings settings = SettingsOf(day_, static_cast<int>(n));
    const std::uint64_t seed = day_.seed * 1000003 + n * 7919 + node.life;
    node.policy = options_.policy ? options_.policy(static_cast<int>(n), settings, now_)
                                  : MakePolicy(day_.policy, settings, seed, now_, [this](ReplicaId id) {
                                      const Host& h = hosts_[id];
                                      return (h.replica->unread() * h.spec.per_read_us +
                                              (h.replica->busy() + h.replica->waiting()) * h.spec.base_us) *
                                             h.slow / h.replica->Speed(now_);
                                    });
  }

  void Give(std::size_t n, const policy::Event& event) {
    Node& node = nodes_[n];
    if (!node.up) return;
    std::vector<Action>& actions = actions_;  // nothing below gives a node anything before it is done
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
        CancelOf(cancel->id, cancel->attempt);
      } else if (const auto* refuse = std::get_if<RejectRequest>(&a)) {
        Final(refuse->id, false, refuse->retry_after);
      } else if (const auto* fail = std::get_if<FailRequest>(&a)) {
        Final(fail->id, true, 0);
      } else if (const auto* timer = std::get_if<SetTimer>(&a)) {
        Push(now_ + timer->delay, What::kTimer, static_cast<std::uint32_t>(n), node.life, timer->token);
      }
    }
  }

  void Send(std::size_t n, const SendAttempt& send) {
    Try* t = tries_.Get(send.id);
    if (t == nullptr || t->node != n || send.replica >= hosts_.size()) return;
    ++result_.attempts;
    if (t->out > 0) ++result_.violations.two_attempts;
    Node& node = nodes_[n];
    const Time drained = node.drained[send.replica];
    if (drained != 0 && now_ - drained > day_.drain_grace) ++result_.violations.after_drain;
    Attempt a;
    a.tried = send.id;
    a.node = static_cast<std::uint32_t>(n);
    a.replica = send.replica;
    a.n = t->attempts++;
    a.sent = now_;
    ++t->out;
    const std::uint64_t handle = attempts_.Add(a);
    t->outs.push_back(handle);
    const Host& h = hosts_[send.replica];
    if (h.silent || Cut(node.zone, h.entry.zone)) {
      Push(now_ + Micros(day_.fleet.connect_timeout), What::kEnded, 0,
           static_cast<std::uint32_t>(Outcome::kConnectFailed), handle);
    } else {
      Push(now_ + Delay(node.zone, h.entry.zone), What::kOffer, send.replica, 0, handle);
    }
  }

  void CancelOf(RequestId id, int n) {
    const Try* t = tries_.Get(id);
    if (t == nullptr) return;
    for (const std::uint64_t handle : Outs(t->outs)) {
      Attempt* a = attempts_.Get(handle);
      if (a == nullptr || a->n != n || a->over) continue;
      StopAt(handle, *a);
      Push(now_, What::kEnded, 0, static_cast<std::uint32_t>(Outcome::kCancelled), handle);
    }
  }

  // The connection closes: its replica hears of it a little later.
  void StopAt(std::uint64_t handle, const Attempt& a) {
    const Host& h = hosts_[a.replica];
    if (!h.silent && !Cut(nodes_[a.node].zone, h.entry.zone))
      Push(now_ + Delay(nodes_[a.node].zone, h.entry.zone), What::kStop, a.replica, 0, handle);
  }

  // ---- Replicas ----

  void Plan(std::uint32_t replica) {
    Host& h = hosts_[replica];
    ++h.plan;
    const Time next = h.replica->Next();
    if (next == Replica::kNever) return;
    Push(next, What::kReplica, replica, h.plan, 0);
  }

  void OnOffer(std::uint32_t replica, std::uint64_t handle) {
    Attempt* a = attempts_.Get(handle);
    if (a == nullptr || a->over) return;
    Host& h = hosts_[replica];
    const int zone = nodes_[a->node].zone;
    if (h.invents)
      return Push(now_ + Delay(h.entry.zone, zone), What::kEnded, 0,
                  static_cast<std::uint32_t>(Outcome::kServed), handle);
    if (h.silent)
      return Push(now_ + Micros(day_.fleet.silence_timeout_s), What::kEnded, 0,
                  static_cast<std::uint32_t>(Outcome::kReset), handle);
    if (!h.up) {
      return Push(now_ + Delay(h.entry.zone, zone), What::kEnded, 0,
                  static_cast<std::uint32_t>(Outcome::kConnectFailed), handle);
    }
    if (failures_.Chance(h.fails))
      return Push(now_ + Delay(h.entry.zone, zone), What::kEnded, 0,
                  static_cast<std::uint32_t>(Outcome::kError), handle);
    if (h.hangs) return;
    const Try* t = tries_.Get(a->tried);
    const Call* c = t == nullptr ? nullptr : calls_.Get(t->call);
    if (c == nullptr) return;
    if (!h.replica->Offer(now_, {handle, c->prompt, c->answer, c->prefix, c->session, c->prefix_tokens})) {
      return Push(now_ + Delay(h.entry.zone, zone), What::kEnded, 0,
                  static_cast<std::uint32_t>(Outcome::kAtCapacity), handle);
    }
    a->at_replica = true;
    Plan(replica);
  }

  void OnReplica(std::uint32_t replica, std::uint32_t plan) {
    Host& h = hosts_[replica];
    if (plan != h.plan || !h.up) return;
    job_events_.clear();
    h.replica->Run(now_, job_events_);
    for (const JobEvent& e : job_events_) {
      Attempt* a = attempts_.Get(e.id);
      if (a == nullptr) continue;
      const int zone = nodes_[a->node].zone;
      const bool lost = h.silent || Cut(h.entry.zone, zone);
      if (e.kind == JobEvent::Kind::kFirst) {
        a->kept = e.kept;
        if (lost) {
          Push(now_ + Micros(day_.fleet.silence_timeout_s), What::kEnded, 0,
               static_cast<std::uint32_t>(Outcome::kReset), e.id);
        } else {
          a->first_token_at_node = now_ + Delay(h.entry.zone, zone);
          Push(a->first_token_at_node, What::kFirst, replica, 0, e.id);
        }
        continue;
      }
      a->made = true;
      ++h.served;
      CountShare(replica);
      // What is lost on its way leaves the node waiting, until it has waited too long.
      if (lost) {
        Push(now_ + Micros(day_.fleet.silence_timeout_s), What::kEnded, 0,
             static_cast<std::uint32_t>(Outcome::kReset), e.id);
      } else {
        Push(std::max(a->first_token_at_node, now_ + Delay(h.entry.zone, zone)), What::kEnded, 0,
             static_cast<std::uint32_t>(Outcome::kServed), e.id);
      }
    }
    Plan(replica);
  }

  void CountShare(std::uint32_t replica) {
    if (day_.replica_series_interval_s <= 0) return;
    const auto n = static_cast<std::size_t>(Seconds(now_ - kBegin) / day_.replica_series_interval_s);
    while (result_.served_in.size() <= n) result_.served_in.emplace_back(hosts_.size());
    ++result_.served_in[n][replica];
  }

  // What runs there is lost; who hears of it and when depends on how it goes.
  void Kill(std::uint32_t replica, bool silent) {
    Host& h = hosts_[replica];
    const std::vector<std::uint64_t> here = h.replica->Jobs();
    ++h.plan;
    for (const std::uint64_t handle : here) {
      const Attempt* a = attempts_.Get(handle);
      if (a == nullptr || a->over) continue;
      const Time after =
          silent ? Micros(day_.fleet.silence_timeout_s) : Delay(h.entry.zone, nodes_[a->node].zone);
      Push(now_ + after, What::kEnded, 0, static_cast<std::uint32_t>(Outcome::kReset), handle);
    }
    result_.preempted += h.replica->preempted();
    h.replica = std::make_unique<Replica>(h.spec, now_);
  }

  void OnFirst(std::uint64_t handle) {
    Attempt* a = attempts_.Get(handle);
    if (a == nullptr || a->over || a->started) return;
    a->started = true;
    Try* t = tries_.Get(a->tried);
    if (t == nullptr || !nodes_[a->node].up) return;
    t->started = true;
    if (Call* c = calls_.Get(t->call); c != nullptr && c->first == 0) c->first = now_ + ClientDelay();
    Give(a->node, ResponseStarted{a->tried, a->n, a->replica, now_ - a->sent});
  }

  void OnEnded(std::uint64_t handle, Outcome outcome) {
    Attempt* a = attempts_.Get(handle);
    if (a == nullptr || a->over) return;
    a->over = true;
    const Attempt ended = *a;
    attempts_.Remove(handle);
    Try* t = tries_.Get(ended.tried);
    if (t != nullptr) NoLongerOut(*t, handle);
    if (outcome != Outcome::kServed) ++wasted_;
    if (outcome == Outcome::kAtCapacity) ++result_.full;
    if (outcome == Outcome::kError || outcome == Outcome::kReset || outcome == Outcome::kTimeout ||
        outcome == Outcome::kConnectFailed)
      ++result_.errors;
    if (outcome == Outcome::kReset && ended.at_replica) Push(now_, What::kStop, ended.replica, 0, handle);
    if (!nodes_[ended.node].up) return;
    AttemptEnded e{
        ended.tried, ended.n, ended.replica, outcome, now_ - ended.sent, outcome == Outcome::kServed,
        ended.kept,  {}};
    const Host& h = hosts_[ended.replica];
    if (outcome == Outcome::kServed || outcome == Outcome::kAtCapacity)
      e.load_report = {static_cast<double>(h.replica->busy() + h.replica->waiting())};
    const std::uint64_t tried = ended.tried;
    if (outcome == Outcome::kServed) {
      if (!ended.made) ++result_.violations.not_made;
      if (t != nullptr) {
        const bool again = t->final && calls_.Get(t->call) != nullptr;
        if (again) ++result_.violations.two_answers;
        t->final = true;
        if (Call* c = calls_.Get(t->call)) {
          kept_ += ended.kept;
          asked_ += c->prompt;
          Served(t->call, *c);
        }
      }
    }
    const bool began = t != nullptr && t->started;
    Give(ended.node, e);
    t = tries_.Get(tried);
    if (outcome == Outcome::kServed) {
      if (t != nullptr) RemoveTry(tried);
    } else if (t != nullptr && began && t->out == 0 && !t->final) {
      // A stream that had begun can't be answered again: its client sees it broken, whatever the module says.
      t->final = true;
      Broken(t->call);
      RemoveTry(tried);
    } else if (t != nullptr && t->final && t->out == 0) {
      RemoveTry(tried);
    }
  }

  static void NoLongerOut(Try& t, std::uint64_t attempt) {
    --t.out;
    t.outs.erase(std::remove(t.outs.begin(), t.outs.end(), attempt), t.outs.end());
  }

  void RemoveTry(std::uint64_t handle) {
    Try* t = tries_.Get(handle);
    if (t == nullptr) return;
    if (Call* c = calls_.Get(t->call); c != nullptr && c->tried == handle) c->tried = 0;
    if (t->out == 0) tries_.Remove(handle);
  }

  // ---- Clients ----

  double Rate() const {
    const ClientSpec& c = day_.clients;
    const double t = Seconds(now_ - kBegin);
    double rate = c.per_second * rate_ * (1 + c.wave * std::sin(2 * M_PI * t / std::max(1.0, c.wave_every)));
    if (c.burst_every > 0 && std::fmod(t, c.burst_every) < c.burst_for) rate *= c.burst;
    return rate / c.session_turns;  // conversations, whose later turns come by themselves
  }

  // Thinning (Lewis and Shedler 1979): gaps at the highest rate, each kept by its share of it.
  void NextArrival() {
    const ClientSpec& c = day_.clients;
    double most = c.per_second * (1 + std::abs(c.wave)) * std::max(1.0, c.burst) / c.session_turns;
    for (const FaultSpec& f : day_.faults) most *= f.what == "load" ? std::max(1.0, f.factor) : 1;
    if (most <= 0) return;
    Push(now_ + std::max<Time>(1, Micros(arrivals_.Exponential(1 / most))), What::kArrive, 0, 0,
         static_cast<std::uint64_t>(most * 1e6));
  }

  void OnArrive(double most) {
    if (now_ < end_) NextArrival();
    if (now_ >= end_ || arrivals_.Unit() * most >= Rate()) return;
    Call c;
    const double u = sizes_.Unit();
    c.cls = static_cast<int>(std::lower_bound(class_upto_.begin(), class_upto_.end() - 1, u) -
                             class_upto_.begin());
    c.prefix = 0x9e3779b97f4a7c15ULL * (1 + sessions_.Zipf(day_.clients.prefixes, day_.clients.prefix_power));
    c.prefix_tokens = day_.clients.prefix_tokens;
    c.session = 0xc2b2ae3d27d4eb4fULL * ++conversations_;
    c.honors_retry_after = retries_.Chance(day_.clients.honors_retry_after);
    c.turns_left = 0;
    while (sessions_.Unit() > 1 / day_.clients.session_turns) ++c.turns_left;
    c.prompt = c.prefix_tokens;
    Ask(c);
  }

  void OnTraced(std::uint64_t n) {
    const std::vector<TracedRequest>& trace = *options_.trace;
    if (n + 1 < trace.size()) Push(kBegin + trace[n + 1].at, What::kTraced, 0, 0, n + 1);
    const TracedRequest& t = trace[n];
    Call c;
    c.cls = std::clamp(t.cls, 0, static_cast<int>(day_.classes.size()) - 1);
    c.prefix = t.prefix;
    c.prefix_tokens = t.prefix_tokens;
    c.session = t.session;
    c.prompt = t.prompt;
    c.answer = t.answer;
    Begin(c);
  }

  void Ask(Call c) {
    const ClassSpec& k = day_.classes[static_cast<std::size_t>(c.cls)];
    c.prompt = std::min(30'000.0, c.prompt + std::ceil(sizes_.Lognormal(k.prompt, k.prompt_sigma)));
    c.answer = std::clamp(std::ceil(sizes_.Lognormal(k.answer, k.answer_sigma)), 1.0, k.max_answer);
    Begin(c);
  }

  void Begin(Call c) {
    const ClassSpec& k = day_.classes[static_cast<std::size_t>(c.cls)];
    c.born = now_;
    c.gives_up = now_ + k.deadline;
    c.tries = 0;
    c.first = 0;
    c.tried = 0;
    c.counted = now_ >= kBegin + Micros(day_.warm_up_s) && now_ < end_;
    if (c.counted) {
      ++result_.requests;
      result_.worth_asked += k.worth;
    }
    SecondNow().arrived += 1;
    SecondNow().worth_asked += k.worth;
    const Time gives_up = c.gives_up;
    const std::uint64_t call = calls_.Add(c);
    ++result_.calls;
    ++open_calls_;
    Push(gives_up, What::kPatience, 0, 0, call);
    TryNow(call);
  }

  void TryNow(std::uint64_t call) {
    Call* c = calls_.Get(call);
    if (c == nullptr || c->tried != 0) return;
    ++c->tries;
    ++result_.tries;
    // The balancer in front knows which nodes are up.
    std::uint32_t node = NodeFor();
    for (std::size_t i = 0; i < nodes_.size() && !nodes_[node].up; ++i)
      node = traffic_upto_.empty() || i > 64 ? (node + 1) % static_cast<std::uint32_t>(nodes_.size())
                                             : NodeFor();
    Try t;
    t.call = call;
    t.node = node;
    c->tried = tries_.Add(std::move(t));
    Push(now_ + ClientDelay(), What::kAtNode, node, 0, c->tried);
  }

  void OnAtNode(std::uint32_t n, std::uint64_t tried) {
    Try* t = tries_.Get(tried);
    Call* c = t == nullptr ? nullptr : calls_.Get(t->call);
    if (c == nullptr) return;
    if (!nodes_[n].up) return Final(tried, true, 0);
    t->at_node = true;
    if (tier_) tier_->Arrives(n, now_, c->prefix);
    if (day_.fleet.tier.oracle()) prefix_use_[c->prefix].Add(now_, kPrefixMemory, 1);
    RequestArrived r;
    r.id = tried;
    r.class_index = c->cls;
    r.session = c->session;
    r.prefix = c->prefix;
    r.prompt_tokens = c->prompt;
    r.prefix_tokens = std::min(c->prefix_tokens, c->prompt);
    r.max_answer_tokens = day_.classes[static_cast<std::size_t>(c->cls)].max_answer;
    r.time_budget = std::max<Time>(0, c->gives_up - now_);
    r.client_retry = c->tries > 1;
    // What the real node's upstream does: an attempt without a first token ends when time is nearly up.
    const Time margin = std::max<Time>(10'000, r.time_budget / 100);
    if (r.time_budget > margin) Push(now_ + r.time_budget - margin, What::kGuard, n, 0, tried);
    Give(n, r);
  }

  void OnGuard(std::uint64_t tried) {
    const Try* t = tries_.Get(tried);
    if (t == nullptr || t->started) return;
    for (const std::uint64_t handle : Outs(t->outs)) {
      if (const Attempt* a = attempts_.Get(handle); a != nullptr && !a->over) StopAt(handle, *a);
      OnEnded(handle, Outcome::kTimeout);
    }
  }

  // A refusal or a failure of one try.
  void Final(std::uint64_t tried, bool failed, Time retry_after) {
    Try* t = tries_.Get(tried);
    if (t == nullptr) return;
    if (t->final) {
      ++result_.violations.two_answers;
      return;
    }
    t->final = true;
    const std::uint64_t call = t->call;
    RemoveTry(tried);
    Call* c = calls_.Get(call);
    if (c == nullptr) return;
    c->tried = 0;
    const Time back = ClientDelay();
    const ClientSpec& k = day_.clients;
    const double gap = k.retry_backoff_s * std::pow(2.0, c->tries - 1) * (0.5 + retries_.Unit());
    const Time wait =
        back + (c->honors_retry_after && retry_after > 0 ? retry_after + Micros(0.2 * gap) : Micros(gap));
    if (c->tries < k.max_tries && now_ + wait < c->gives_up) return Push(now_ + wait, What::kTry, 0, 0, call);
    if (c->counted) ++(failed ? result_.failed : result_.refused);
    SecondNow().refused += 1;
    Over(call);
  }

  void Served(std::uint64_t call, const Call& c) {
    const ClassSpec& k = day_.classes[static_cast<std::size_t>(c.cls)];
    const Time first = c.first - c.born;
    const bool in_time = first <= k.latency_objective;
    const double worth = in_time ? k.worth : first <= k.deadline ? k.worth * k.late_worth : 0;
    if (c.counted) {
      ++(in_time ? result_.in_time : result_.late);
      result_.worth += worth;
      result_.first_token(static_cast<double>(first) / 1000);
    }
    SecondNow().worth += worth;
    if (c.turns_left > 0 && now_ < end_) {
      Call next = c;
      --next.turns_left;
      next.prompt = c.prompt + c.answer;
      const std::uint64_t waiting = turns_.Add(next);
      Push(now_ + Micros(sessions_.Exponential(day_.clients.turn_gap)), What::kTurn, 0, 0, waiting);
    }
    Over(call);
  }

  void Broken(std::uint64_t call) {
    const Call* c = calls_.Get(call);
    if (c == nullptr) return;
    if (c->counted) ++result_.broken;
    Over(call);
  }

  void Over(std::uint64_t call) {
    calls_.Remove(call);
    --open_calls_;
  }

  // The client's time is up. A stream that has begun goes on; all else is left.
  void OnPatience(std::uint64_t call) {
    Call* c = calls_.Get(call);
    if (c == nullptr) return;
    const std::uint64_t tried = c->tried;
    Try* t = tries_.Get(tried);
    if (t != nullptr && t->started) return;
    if (t != nullptr && t->at_node && nodes_[t->node].up) ++result_.violations.no_answer;
    if (c->counted) ++result_.lost;
    if (t != nullptr) {
      t->final = true;
      const std::uint32_t node = t->node;
      const bool told = t->at_node;
      Over(call);
      if (told) Push(now_ + ClientDelay(), What::kGone, node, 0, tried);
      if (!told) RemoveTry(tried);
      return;
    }
    Over(call);
  }

  void OnGone(std::uint32_t node, std::uint64_t tried) {
    if (tries_.Get(tried) == nullptr) return;
    Give(node, ClientDisconnected{tried});
    const Try* t = tries_.Get(tried);
    if (t != nullptr && t->out == 0) tries_.Remove(tried);
  }

  // ---- Discovery ----

  // A change is told to each node after a while of its own.
  void Tell(const std::vector<std::uint32_t>& changed) {
    ++generation_;
    for (const std::uint32_t r : changed) pending_[generation_].push_back(hosts_[r].entry);
    if (dark_) return;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
      Push(now_ + Micros(discovery_.Exponential(day_.fleet.discovery_delay_s * late_)), What::kList,
           static_cast<std::uint32_t>(n), generation_, kDeltaList);
    if (pending_.size() > 64) pending_.erase(pending_.begin());
  }

  void OnList(std::uint32_t n, std::uint32_t generation, std::uint64_t kind) {
    Node& node = nodes_[n];
    if (!node.up) return;
    EndpointList list;
    if (kind == kFailedList) {
      if (!dark_) return;
      list.scope = EndpointListScope::kFailed;
      return Give(n, list);
    }
    if (dark_ && kind == kDeltaList) return;
    const auto it = pending_.find(generation);
    // An older change that comes late must not undo a newer one: then the whole list is sent.
    if (kind == kDeltaList && generation == node.told + 1 && it != pending_.end()) {
      list.scope = EndpointListScope::kDelta;
      list.endpoints = it->second;
    } else {
      if (kind == kDeltaList && generation <= node.told) return;
      list.scope = EndpointListScope::kFull;
      for (const Host& h : hosts_) {
        if (h.listed) list.endpoints.push_back(h.entry);
      }
      generation = generation_;
    }
    node.told = generation;
    list.version = generation;
    std::vector<bool> seen(hosts_.size());
    for (const Endpoint& e : list.endpoints) {
      seen[e.id] = true;
      Time& drained = node.drained[e.id];
      if (e.state == EndpointState::kReady) {
        drained = 0;
      } else if (drained == 0) {
        drained = now_;
      }
    }
    if (list.scope == EndpointListScope::kFull) {
      for (std::size_t r = 0; r < seen.size(); ++r) {
        if (!seen[r] && node.drained[r] == 0) node.drained[r] = now_;
      }
    }
    // Contradicted nodes are told that those which drain are ready.
    if (contradict_ && n % 2 == 1) {
      for (Endpoint& e : list.endpoints) {
        if (e.state == EndpointState::kDraining) {
          e.state = EndpointState::kReady;
          node.drained[e.id] = 0;
        }
      }
    }
    Give(n, list);
  }

  // ---- What goes wrong ----

  std::vector<std::uint32_t> Those(const FaultSpec& f) const {
    std::vector<std::uint32_t> all;
    for (std::uint32_t r = 0; r < hosts_.size(); ++r) {
      const Host& h = hosts_[r];
      const int at = f.what == "rack" ? h.rack : f.what == "zone" ? h.entry.zone : static_cast<int>(r);
      if (at >= f.first && at < f.first + f.count) all.push_back(r);
    }
    return all;
  }

  void OnFault(const FaultSpec& f, bool begins) {
    const std::vector<std::uint32_t> those = Those(f);
    if (f.what == "drain") {
      for (const std::uint32_t r : those)
        hosts_[r].entry.state = begins ? EndpointState::kDraining : EndpointState::kReady;
      Tell(those);
    } else if (f.what == "restart" || f.what == "replace" || f.what == "rack" || f.what == "zone") {
      for (const std::uint32_t r : those) {
        Host& h = hosts_[r];
        if (begins) {
          Kill(r, false);
          h.up = false;
          h.entry.state = EndpointState::kRemoved;
          h.listed = false;
        } else {
          h.up = true;
          h.listed = true;
          h.entry.state = EndpointState::kReady;
          h.entry.started_at = now_;
          h.replica = std::make_unique<Replica>(h.spec, now_);
        }
      }
      // One that is replaced in place is told only when the new one is there: in between nobody knows.
      if (f.what != "replace" || !begins) Tell(those);
    } else if (f.what == "vanish") {
      for (const std::uint32_t r : those) {
        Host& h = hosts_[r];
        if (begins) {
          Kill(r, true);
          h.silent = true;
          Push(now_ + kVanishedTold, What::kSilence, r, h.plan, 0);
        } else {
          h.silent = false;
          h.listed = true;
          h.entry.state = EndpointState::kReady;
          h.entry.started_at = now_;
          h.replica = std::make_unique<Replica>(h.spec, now_);
        }
      }
      if (!begins) Tell(those);
    } else if (f.what == "slow") {
      for (const std::uint32_t r : those) {
        Host& h = hosts_[r];
        h.slow = begins ? f.factor : 1;
        // Its steps take that much longer from now on: what it has is taken over by one of that speed.
        ReplicaSpec spec = h.spec;
        spec.speed /= h.slow;
        Respeed(r, spec);
      }
    } else if (f.what == "hangs") {
      for (const std::uint32_t r : those) hosts_[r].hangs = begins;
    } else if (f.what == "fails") {
      for (const std::uint32_t r : those) hosts_[r].fails = begins ? f.factor : 0;
    } else if (f.what == "cut") {
      const auto cut = [&](int from, int to) {
        cut_[static_cast<std::size_t>(from) * static_cast<std::size_t>(day_.fleet.zones) +
             static_cast<std::size_t>(to)] += begins ? 1 : -1;
      };
      if (f.other >= 0 && f.other < day_.fleet.zones && f.first < day_.fleet.zones) {
        cut(f.first, f.other);
        if (!f.one_way) cut(f.other, f.first);
      }
    } else if (f.what == "dark") {
      dark_ = begins;
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        Push(now_ + (begins ? kDarkNoticed : Micros(discovery_.Exponential(day_.fleet.discovery_delay_s))),
             What::kList, static_cast<std::uint32_t>(n), generation_, begins ? kFailedList : kFullList);
      }
    } else if (f.what == "invent") {
      for (const std::uint32_t r : those) hosts_[r].invents = begins;
    } else if (f.what == "late") {
      late_ = begins ? std::max(1.0, f.factor) : 1;
    } else if (f.what == "contradict") {
      contradict_ = begins;
      if (!begins) {
        for (std::size_t n = 0; n < nodes_.size(); ++n)
          Push(now_, What::kList, static_cast<std::uint32_t>(n), generation_, kFullList);
      }
    } else if (f.what == "talk-cut") {
      if (tier_) tier_->Cut(begins ? static_cast<std::size_t>(f.count) : 0);
    } else if (f.what == "load") {
      rate_ = begins ? f.factor : 1;
    } else if (f.what == "node-dies") {
      for (int n = f.first; n < f.first + f.count && n < day_.fleet.nodes; ++n)
        begins ? NodeDies(static_cast<std::size_t>(n)) : NodeReturns(static_cast<std::size_t>(n));
    }
  }

  void Respeed(std::uint32_t r, const ReplicaSpec& spec) {
    Host& h = hosts_[r];
    h.replica->Respeed(now_, spec.speed);
    Plan(r);
  }

  void NodeDies(std::size_t n) {
    nodes_[n].up = false;
    if (tier_) tier_->Ends(n);
    std::vector<std::uint64_t> handles, tries;
    for (const Handle handle : attempts_.All()) {
      const Attempt& a = *attempts_.Get(handle);
      if (a.node == n && !a.over) handles.push_back(handle);
    }
    for (const std::uint64_t handle : handles) {
      const Attempt a = *attempts_.Get(handle);
      StopAt(handle, a);
      if (Try* t = tries_.Get(a.tried)) NoLongerOut(*t, handle);
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
        Broken(t.call);
        tries_.Remove(handle);
      } else {
        Final(handle, true, 0);
      }
    }
  }

  void NodeReturns(std::size_t n) {
    StartNode(n);
    Push(now_ + Micros(discovery_.Exponential(day_.fleet.discovery_delay_s)), What::kList,
         static_cast<std::uint32_t>(n), generation_, kFullList);
  }

  // ---- The day ----

  SecondStats& SecondNow() {
    const auto n = static_cast<std::size_t>((now_ - kBegin) / 1'000'000);
    if (result_.seconds.size() <= n) result_.seconds.resize(n + 1);
    return result_.seconds[n];
  }

  void OnSecond() {
    SecondStats& s = SecondNow();
    for (const Node& n : nodes_) {
      if (!n.up) continue;
      s.held += static_cast<double>(n.policy->held());
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
      if (speed < h.spec.speed && h.up && !h.silent && h.slow == 1 &&
          h.replica->unread() * h.spec.per_read_us / speed > day_.cold_backlog_s * 1e6)
        ++result_.violations.cold_pushed;
    }
    if (all > 0 && now_ >= kBegin + Micros(day_.warm_up_s)) {
      crowds_ += most * static_cast<double>(hosts_.size()) / all;
      ++crowded_;
    }
    result_.joint_overshoot = std::max(result_.joint_overshoot, s.caps / std::max(1.0, slots));
    if (now_ < end_) Push(now_ + 1'000'000, What::kSecond, 0, 0, 0);
  }

  void Do(const Event_& e) {
    switch (e.what) {
      case What::kArrive:
        return OnArrive(static_cast<double>(e.c) / 1e6);
      case What::kTurn: {
        Call c = *turns_.Get(e.c);
        turns_.Remove(e.c);
        if (now_ < end_) Ask(c);
        return;
      }
      case What::kTry:
        return TryNow(e.c);
      case What::kAtNode:
        return OnAtNode(e.a, e.c);
      case What::kTimer:
        if (nodes_[e.a].life == e.b) Give(e.a, TimerFired{e.c});
        return;
      case What::kOffer:
        return OnOffer(e.a, e.c);
      case What::kStop: {
        Host& h = hosts_[e.a];
        return h.replica->Cancel(now_, e.c) ? Plan(e.a) : void();
      }
      case What::kReplica:
        return OnReplica(e.a, e.b);
      case What::kFirst:
        return OnFirst(e.c);
      case What::kEnded:
        return OnEnded(e.c, static_cast<Outcome>(e.b));
      case What::kPatience:
        return OnPatience(e.c);
      case What::kList:
        return OnList(e.a, e.b, e.c);
      case What::kFault:
        return OnFault(day_.faults[e.a], e.b == 1);
      case What::kSecond:
        return OnSecond();
      case What::kSilence: {
        Host& h = hosts_[e.a];
        if (!h.silent) return;
        h.entry.state = EndpointState::kRemoved;
        h.listed = false;
        return Tell({e.a});
      }
      case What::kGone:
        return OnGone(e.a, e.c);
      case What::kGuard:
        return OnGuard(e.c);
      case What::kTraced:
        return OnTraced(e.c);
      case What::kTier:
        return OnTier();
    }
  }

  void Finish() {
    for (const Host& h : hosts_) {
      result_.served_by_replica.push_back(static_cast<double>(h.served));
      result_.preempted += h.replica->preempted();
    }
    result_.crowd = crowded_ > 0 ? crowds_ / crowded_ : 0;
    result_.kept_share = asked_ > 0 ? kept_ / asked_ : 0;
    result_.wasted_share =
        result_.attempts > 0 ? static_cast<double>(wasted_) / static_cast<double>(result_.attempts) : 0;
    if (day_.faults.empty()) return;
    double trouble = day_.seconds, calm = 0;
    for (const FaultSpec& f : day_.faults) {
      trouble = std::min(trouble, f.at);
      calm = std::max(calm, f.at + f.lasts);
    }
    result_.recovery_s = TimeToRecovery(result_.seconds, day_.seconds, day_.warm_up_s, trouble, calm);
  }

  ScenarioSpec day_;
  const ScenarioOptions& options_;
  RandomStream arrivals_, sessions_, sizes_, network_, balancing_, retries_, discovery_, failures_;
  Time now_ = 0, end_ = 0;
  std::priority_queue<Event_> queue_;
  std::map<Time, std::vector<Event_>> far_;  // by time over kFar
  std::uint64_t same_ = 0, order_ = 0, conversations_ = 0, open_calls_ = 0, wasted_ = 0;
  std::vector<Host> hosts_;
  std::vector<Node> nodes_;
  std::vector<int> cut_;
  std::vector<double> class_upto_, traffic_upto_, parts_;
  std::unique_ptr<RoutingTier> tier_;
  std::map<std::uint64_t, DecayingCounter> prefix_use_;  // as all nodes together see it
  SlotTable<Call> calls_, turns_;
  SlotTable<Try> tries_;
  SlotTable<Attempt> attempts_;
  std::vector<JobEvent> job_events_;
  std::vector<Action> actions_;
  std::map<std::uint32_t, std::vector<Endpoint>> pending_;  // changes by generation
  std::uint32_t generation_ = 1;
  bool dark_ = false, contradict_ = false;
  double late_ = 1, rate_ = 1, kept_ = 0, asked_ = 0, crowds_ = 0;
  int crowded_ = 0;
  ScenarioResult result_;
};

}  // namespace

double TimeToRecovery(const std::vector<SecondStats>& day, double length, double warm, double trouble,
                      double calm) {
  // What is served of what is asked for from `from` on; more than all where a backlog is worked off.
  const auto share = [&](double from, double upto) {
    double worth = 0, asked = 0;
    for (auto s = static_cast<std::size_t>(from); s < static_cast<std::size_t>(upto) && s < day.size(); ++s) {
      worth += day[s].worth;
      asked += day[s].worth_asked;
    }
    return asked > 0 ? worth / asked : 0;
  };
  constexpr double kStretch = 5;
  const double steady = 0.95 * share(warm, trouble);
  for (double t = std::ceil(calm); t + 2 * kStretch <= length; ++t) {
    if (share(t, t + kStretch) >= steady && share(t + kStretch, t + 2 * kStretch) >= steady) return t - calm;
  }
  return std::max(0.0, length - calm);
}

std::vector<std::string> FaultNames() {
  return {"drain",      "restart",   "vanish", "slow",    "rack",   "zone",     "cut",   "dark", "late",
          "contradict", "node-dies", "load",   "replace", "invent", "talk-cut", "fails", "hangs"};
}

std::string RuleViolations::Describe() const {
  return fmt::format(
      "no answer {}, two answers {}, two attempts at once {}, sent after a drain {}, cold pushed over {}, "
      "not made {}",
      no_answer, two_answers, two_attempts, after_drain, cold_pushed, not_made);
}

double ScenarioResult::Quantile(double q) const { return lab::QuantileOf(first_token, q); }

Settings SettingsOf(const ScenarioSpec& day, int node) {
  Settings s;
  for (const ClassSpec& c : day.classes) {
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
  s.node_count = day.fleet.nodes;
  s.node_index = node;
  s.zone_count = day.fleet.zones;
  s.zone = node % day.fleet.zones;
  s.replica_kind_count = static_cast<int>(day.fleet.kinds.size());
  s.max_attempts = day.max_attempts;
  s.connect_timeout = Micros(day.fleet.connect_timeout);
  s.response_grace = 16'000;
  s.drain_grace = day.drain_grace;
  for (const KindSpec& k : day.fleet.kinds) {
    s.slow_start_window = std::max(s.slow_start_window, k.replica.slow_start_window);
    s.slow_start_min_share = std::min(s.slow_start_min_share, k.replica.slow_start_min_share);
  }
  if (day.fleet.zones > 1) s.cross_zone_penalty = 0.02;
  return s;
}

ScenarioResult RunScenario(const ScenarioSpec& day, const ScenarioOptions& options) {
  return Simulation(day, options).Play();
}

}  // namespace ryeglade::emulator
