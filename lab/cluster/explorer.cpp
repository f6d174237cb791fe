#include "lab/cluster/explorer.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <unordered_set>
#include <utility>

#include "lab/emulator/random.h"
#include "membership/membership_model.h"

namespace ryeglade::cluster {
namespace {

using membership::Actions;
using membership::MemberRecord;
using membership::MembershipModel;
using membership::MemberState;
using membership::Message;
using policy::Time;

constexpr Time kPeriod = 1'000'000;
constexpr int kTicksPerPeriod = 10;
// The two durations of a fault: shorter and longer than a suspicion lasts.
constexpr int kShortPeriods = 1, kLongPeriods = 14;
constexpr int kConvergencePeriods = 120;  // periods after the faults until the views must agree

struct Choice {
  enum class What : std::uint8_t {
    kCut,       // messages from a to b are lost
    kCutBoth,   // messages between a and b are lost in both directions
    kDeaf,      // messages to a are lost
    kMute,      // messages from a are lost
    kAlone,     // messages to and from a are lost
    kPause,     // a is paused
    kCrash,     // a crashes and is started again afterwards
    kStayDown,  // a crashes for good
    kSlow,      // all messages come at least half a period late, reordered by the last bits of their number
    kTwice,     // all datagrams come twice, the second time three periods late
  } what = What::kCut;
  std::size_t a = 0, b = 0;
  int periods = kShortPeriods;
};

std::string Describe(const Choice& c) {
  static constexpr const char* kNames[] = {"cut",   "cut-both", "deaf", "mute", "alone",
                                           "pause", "crash",    "down", "slow", "twice"};
  return fmt::format("{}({}{},{})", kNames[static_cast<int>(c.what)], c.a,
                     c.what <= Choice::What::kCutBoth ? fmt::format(">{}", c.b) : "", c.periods);
}

std::vector<Choice> Choices(std::size_t n) {
  std::vector<Choice> choices;
  for (const int periods : {kShortPeriods, kLongPeriods}) {
    for (std::size_t a = 0; a < n; ++a) {
      for (std::size_t b = 0; b < n; ++b) {
        if (a != b) choices.push_back({Choice::What::kCut, a, b, periods});
        if (a < b) choices.push_back({Choice::What::kCutBoth, a, b, periods});
      }
      for (const Choice::What what : {Choice::What::kDeaf, Choice::What::kMute, Choice::What::kAlone,
                                      Choice::What::kPause, Choice::What::kCrash})
        choices.push_back({what, a, 0, periods});
    }
    choices.push_back({Choice::What::kSlow, 0, 0, periods});
    choices.push_back({Choice::What::kTwice, 0, 0, periods});
  }
  for (std::size_t a = 0; a < n; ++a) choices.push_back({Choice::What::kStayDown, a, 0, kLongPeriods});
  return choices;
}

class Simulation {
 public:
  Simulation(const ExploreOptions& options, ExplorationResult* out, std::unordered_set<std::uint64_t>* states)
      : options_(options), result_(out), states_(states), nodes_(options.nodes) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) Start(i);
    Run(30, nullptr);
  }
  Simulation(const Simulation& other)
      : options_(other.options_),
        result_(other.result_),
        states_(other.states_),
        now_(other.now_),
        process_count_(other.process_count_),
        in_flight_(other.in_flight_) {
    for (const Node& n : other.nodes_) {
      Node copy;
      copy.up = n.up;
      copy.stopped = n.stopped;
      copy.random = n.random;
      copy.seen = n.seen;
      copy.waiting = n.waiting;
      nodes_.push_back(std::move(copy));
    }
    // The copied models draw from random streams of their own.
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (other.nodes_[i].model) nodes_[i].model = other.nodes_[i].model->Clone(RandomBitsFor(i));
    }
  }
  Simulation& operator=(const Simulation&) = delete;

  void Apply(const Choice& c) {
    using What = Choice::What;
    if (c.what == What::kCrash || c.what == What::kStayDown) StopProcess(c.a);
    if (c.what == What::kPause) nodes_[c.a].stopped = true;
    Run(c.periods, &c);
    if (c.what == What::kPause) Resume(c.a);
    if (c.what == What::kCrash && !nodes_[c.a].up) Start(c.a);
  }

  // Continues without faults. Returns false if the views do not agree within kConvergencePeriods.
  bool ReachesOneView() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].stopped) Resume(i);
    }
    for (int p = 0; p < kConvergencePeriods; ++p) {
      Run(1, nullptr);
      if (p >= 3 && OneView()) return true;
    }
    return false;
  }
  std::size_t up() const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.up; }));
  }
  std::string Views() const {
    std::string views;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].up) continue;
      views += fmt::format(" n{}{}:", i, nodes_[i].model->partition_suspected() ? "?" : "");
      for (std::size_t k = 0; k < nodes_.size(); ++k) {
        if (k != i) views += fmt::format(" n{}={}", k, Name(nodes_[i].model->StateOf(fmt::format("n{}", k))));
      }
      views += ";";
    }
    return views;
  }
  std::optional<Violation> violation;

 private:
  struct LastSeen {
    std::uint64_t incarnation = 0, dead_at = 0;
    bool was_dead = false;
    MemberState state = MemberState::kLeft;
  };
  struct Node {
    std::optional<MembershipModel> model;
    std::shared_ptr<emulator::RandomStream> random;
    bool up = false, stopped = false;
    std::map<std::size_t, LastSeen> seen;  // the last state of each member, kept outside of the model
    std::deque<std::pair<std::size_t, std::shared_ptr<const Message>>> waiting;
  };
  struct InFlightMessage {
    Time at = 0;
    std::size_t from = 0, to = 0;
    int kind = 0;  // 0: a datagram, 1: a push-pull request, 2: a push-pull answer
    std::shared_ptr<const Message> message;
  };

  membership::RandomBits RandomBitsFor(std::size_t i) {
    // Each copy of the simulation has its own random stream, which continues from the state of the
    // original's.
    if (nodes_[i].random) nodes_[i].random = std::make_shared<emulator::RandomStream>(*nodes_[i].random);
    auto stream = nodes_[i].random;
    return [stream] { return (stream->Below(1ULL << 32) << 32) | stream->Below(1ULL << 32); };
  }

  void Start(std::size_t i) {
    Node& n = nodes_[i];
    n.up = true;
    n.stopped = false;
    n.seen.clear();
    n.waiting.clear();
    n.random = std::make_shared<emulator::RandomStream>(options_.seed, emulator::RandomPurpose::kPolicy,
                                                        i * 100 + ++process_count_);
    membership::MembershipOptions o;
    o.cluster = "x";
    o.probe_interval = kPeriod;
    o.seeds = {"e:0", "e:1"};
    o.refutation = options_.variant != "no-refute";
    o.incarnation_order = options_.variant != "no-order";
    o.require_majority = options_.variant != "no-majority";
    if (options_.variant == "no-memory") o.forget_after = 0;
    MemberRecord self;
    self.name = fmt::format("n{}", i);
    self.address = fmt::format("e:{}", i);
    self.incarnation = static_cast<std::uint64_t>(now_ / 1000) + 1;
    self.uid = (self.incarnation << 20) | process_count_;
    n.model.emplace(o, self, now_, RandomBitsFor(i));
  }
  void StopProcess(std::size_t i) {
    nodes_[i].up = nodes_[i].stopped = false;
    nodes_[i].waiting.clear();
  }
  void Resume(std::size_t i) {
    Node& n = nodes_[i];
    n.stopped = false;
    const auto waiting = std::move(n.waiting);
    n.waiting.clear();
    for (const auto& [from, message] : waiting) Receive(i, from, *message, nullptr);
  }

  bool Passes(const Choice* c, std::size_t from, std::size_t to) const {
    if (c == nullptr) return true;
    switch (c->what) {
      case Choice::What::kCut:
        return !(from == c->a && to == c->b);
      case Choice::What::kCutBoth:
        return !((from == c->a && to == c->b) || (from == c->b && to == c->a));
      case Choice::What::kDeaf:
        return to != c->a;
      case Choice::What::kMute:
        return from != c->a;
      case Choice::What::kAlone:
        return from != c->a && to != c->a;
      default:
        return true;
    }
  }

  void Run(int periods, const Choice* c) {
    for (int t = 0; t < periods * kTicksPerPeriod; ++t) {
      now_ += kPeriod / kTicksPerPeriod;
      ++result_->ticks;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!nodes_[i].up || nodes_[i].stopped) continue;
        Actions out;
        nodes_[i].model->Tick(now_, out);
        PerformActions(i, out, c);
      }
      // Messages and their answers arrive in the tick in which they are sent, unless the links are slow.
      for (std::size_t k = 0; k < in_flight_.size();) {
        if (in_flight_[k].at > now_) {
          ++k;
          continue;
        }
        const InFlightMessage f = std::move(in_flight_[k]);
        in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(k));
        Deliver(f, c);
        k = 0;
      }
      Check(c);
    }
  }

  void PerformActions(std::size_t from, Actions& out, const Choice* c) {
    for (const membership::MembershipEvent& event : out.events) {
      const std::string_view what = event.reason;
      if (what == "member-dead") ++result_->deaths;
      if (what == "member-returned") ++result_->returns;
      if (what == "view-in-doubt") ++result_->doubts;
      // The node declared this death itself, so it must have reached a majority of its stable view.
      if (what == "member-dead" && event.reporter == fmt::format("n{}", from) && !violation) {
        const std::size_t n = nodes_[from].model->stable_view_size();
        std::size_t reach = 1;
        for (std::size_t k = 0; k < nodes_.size(); ++k) {
          if (k == from) continue;  // counts even if it has just crashed
          const auto m = nodes_[from].model->Find(now_, fmt::format("n{}", k));
          if (m && m->reached_at > 0 &&
              now_ - m->reached_at <= (8 + 2 * nodes_[from].model->health()) * kPeriod)
            ++reach;
        }
        if (2 * reach <= n)
          AddViolation("minority",
                       fmt::format("n{} removed {} with {} of {} reached", from, event.member, reach, n));
      }
    }
    for (membership::OutgoingMessage& send : out.sends) Send(from, send.to, std::move(send.message), 0, c);
    for (const std::string& to : out.push_pulls) Send(from, to, nodes_[from].model->PushPullMessage(), 1, c);
  }

  void Send(std::size_t from, const std::string& address, Message message, int kind, const Choice* c) {
    const std::size_t to = static_cast<std::size_t>(address.back() - '0');
    if (to >= nodes_.size() || !Passes(c, from, to)) return;
    if (kind != 0 && !Passes(c, to, from)) return;  // a connection needs both directions
    auto shared = std::make_shared<const Message>(std::move(message));
    Time late = 0;
    if (c != nullptr && c->what == Choice::What::kSlow)
      late = kPeriod / 2 + static_cast<Time>(shared->seq % 4) * kPeriod / 10;
    in_flight_.push_back({now_ + late, from, to, kind, shared});
    if (c != nullptr && c->what == Choice::What::kTwice && kind == 0)
      in_flight_.push_back({now_ + 3 * kPeriod, from, to, kind, shared});
  }

  void Deliver(const InFlightMessage& f, const Choice* c) {
    Node& n = nodes_[f.to];
    if (!n.up) return;
    if (n.stopped) {
      if (f.kind == 0 && n.waiting.size() < 250) n.waiting.emplace_back(f.from, f.message);
      return;
    }
    if (f.kind == 0) return Receive(f.to, f.from, *f.message, c);
    Actions out;
    n.model->OnPushPull(now_, *f.message, f.kind == 2, out);
    PerformActions(f.to, out, c);
    if (f.kind == 1) Send(f.to, fmt::format("e:{}", f.from), n.model->PushPullMessage(), 2, c);
  }

  void Receive(std::size_t to, std::size_t from, const Message& message, const Choice* c) {
    Actions out;
    nodes_[to].model->OnMessage(now_, fmt::format("e:{}", from), message, out);
    PerformActions(to, out, c);
  }

  void AddViolation(const char* invariant, std::string what) {
    if (!violation) violation = Violation{invariant, "", std::move(what)};
  }

  void Check(const Choice*) {
    std::string fingerprint;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& n = nodes_[i];
      fingerprint += n.up ? n.stopped ? 's' : 'u' : 'd';
      if (!n.up) continue;
      fingerprint += n.model->partition_suspected() ? '?' : n.model->stable() ? '!' : '.';
      fingerprint += static_cast<char>('0' + n.model->health());
      for (std::size_t k = 0; k < nodes_.size(); ++k) {
        if (k == i) continue;
        const auto m = n.model->Find(now_, fmt::format("n{}", k));
        LastSeen& last = n.seen[k];
        const MemberState state = m ? m->state : MemberState::kLeft;
        fingerprint += static_cast<char>('a' + static_cast<int>(state));
        if (!m) {
          if (last.state == MemberState::kJoining) last.incarnation = 0;  // removed before it had joined
          continue;
        }
        fingerprint += static_cast<char>('0' + m->reporters.size() * 4 + m->reachable_reporters.size());
        const std::uint64_t incarnation = m->record.incarnation;
        if (incarnation < last.incarnation)
          AddViolation("incarnation", fmt::format("n{} in the view of n{} went from incarnation {} to {}", k,
                                                  i, last.incarnation, incarnation));
        const bool live = IsLive(state);
        if (last.was_dead && live && incarnation <= last.dead_at)
          AddViolation(
              "resurrection",
              fmt::format("n{} in the view of n{} is alive again with incarnation {}", k, i, incarnation));
        if (state == MemberState::kDead) {
          last.was_dead = true;
          last.dead_at = incarnation;
        }
        if (live) last.was_dead = false;
        last.incarnation = incarnation;
        last.state = state;
      }
    }
    states_->insert(XXH3_64bits(fingerprint.data(), fingerprint.size()));
  }

  bool OneView() const {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].up) continue;
      if (nodes_[i].model->partition_suspected()) return false;
      for (std::size_t k = 0; k < nodes_.size(); ++k) {
        if (k == i) continue;
        const MemberState s = nodes_[i].model->StateOf(fmt::format("n{}", k));
        const bool in = IsLive(s);
        if (in != nodes_[k].up) return false;
      }
    }
    return true;
  }

  const ExploreOptions& options_;
  ExplorationResult* result_;
  std::unordered_set<std::uint64_t>* states_;
  std::vector<Node> nodes_;
  Time now_ = 10'000'000;
  std::uint64_t process_count_ = 0;
  std::vector<InFlightMessage> in_flight_;
};

}  // namespace

ExplorationResult Explore(const ExploreOptions& options) {
  const std::vector<Choice> choices = Choices(options.nodes);
  ExplorationResult total;
  std::unordered_set<std::uint64_t> all_states;
  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  std::atomic<std::size_t> broken{0};
  const auto work = [&] {
    ExplorationResult partial;
    std::unordered_set<std::uint64_t> states;
    const Simulation begin(options, &partial, &states);
    std::function<void(const Simulation&, const std::string&, int)> extend_schedule =
        [&](const Simulation& simulation, const std::string& earlier_faults, int depth) {
          for (std::size_t c = 0; c < choices.size(); ++c) {
            if (depth == 0) {  // the workers share the first choices between them
              c = next++;
              if (c >= choices.size()) return;
            }
            if (broken >= options.stop_at) return;
            Simulation one(simulation);
            const std::string schedule =
                earlier_faults + (earlier_faults.empty() ? "" : " ") + Describe(choices[c]);
            one.Apply(choices[c]);
            if (!one.violation && depth + 1 < options.depth) extend_schedule(one, schedule, depth + 1);
            if (!one.violation) {
              ++partial.schedules;
              Simulation without_faults(one);
              const std::size_t up = without_faults.up();
              // With half of the nodes or fewer running, a node can't distinguish a partition from crashes,
              // and suspecting one is correct.
              if (!without_faults.ReachesOneView() && 2 * up > options.nodes && !without_faults.violation)
                without_faults.violation = Violation{
                    "one-view", "",
                    "after " + std::to_string(kConvergencePeriods) + " periods:" + without_faults.Views()};
              if (without_faults.violation) one.violation = without_faults.violation;
            }
            if (one.violation) {
              ++broken;
              one.violation->schedule = schedule;
              ++partial.by_invariant[one.violation->invariant];
              partial.violations.push_back(*one.violation);
            }
            if (depth == 0) --c;  // undoes the loop's increment; `next` gives the next choice
          }
        };
    extend_schedule(begin, "", 0);
    const std::lock_guard<std::mutex> lock(mutex);
    total.schedules += partial.schedules;
    total.ticks += partial.ticks;
    total.deaths += partial.deaths;
    total.returns += partial.returns;
    total.doubts += partial.doubts;
    all_states.insert(states.begin(), states.end());
    for (Violation& b : partial.violations) total.violations.push_back(std::move(b));
    for (const auto& [name, n] : partial.by_invariant) total.by_invariant[name] += n;
  };
  const unsigned cores = options.workers > 0 ? static_cast<unsigned>(options.workers)
                                             : std::max(1U, std::thread::hardware_concurrency());
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < cores; ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  total.states = all_states.size();
  return total;
}

}  // namespace ryeglade::cluster
