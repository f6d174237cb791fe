#include "lab/rollout/explorer.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <thread>
#include <unordered_set>
#include <utility>

#include "lab/rollout/supervised_node.h"
#include "rollout/driver_model.h"

namespace ryeglade::rollout_lab {
namespace {

using namespace rollout;

constexpr Time kSecond = 1'000'000;
constexpr Time kLease = 2 * kSecond;
constexpr Time kWaits = kLease * 12 / 10;  // of a new driver, before its first act
constexpr int kKeeperBack = 2;             // rounds

enum class Fate : std::uint8_t { kCome, kLost, kUnheard, kLate1, kLate3, kLate5 };
constexpr std::array<const char*, 6> kFates{"", "lost", "answer-lost", "late-1", "late-3", "late-5"};

// What may happen to a driver instead of its next message, or at the begin of a round.
enum class Mishap : std::uint8_t {
  kDriverDies,
  kDriverPauses2,
  kDriverPauses6,
  kStop,  // it decides to go back
  kKeeperDies,
  kNodeDies,
  kNewDriver,  // somebody starts one beside
  kNewPlan     // and with another release
};
constexpr std::array<const char*, 8> kMishaps{"dies",        "pauses-2",  "pauses-6",   "stops",
                                              "keeper-dies", "node-dies", "new-driver", "new-plan"};

struct Pilot {
  Driver driver;
  int number = 0;
  bool fresh_plan = false;  // it drives the second plan
  bool over = false;        // ended or dead
  int paused = 0;           // rounds still
  bool round_done = false;  // waits for the next round
  std::size_t claims = 0;   // sent in this round
  std::map<std::string, SupervisorResponse> seen;
  std::vector<NodeCommand> orders;  // still to be sent, from the front
  bool acting = false;              // its claims are through
};

struct Letter {
  int rounds = 0;
  std::size_t to = 0;
  SupervisorCommand command;
};

class Course {
 public:
  explicit Course(const RolloutExploreOptions& o) : o_(&o), machine_(RulesOf(o)), left_(o.faults) {
    machine_.now = kSecond;
    for (int i = 0; i < o.nodes; ++i) {
      KeptNode n;
      n.name = fmt::format("n{}", i);
      n.disk.active = n.disk.last_good = {"old", "/old", "", "", "", "", ""};
      nodes_.push_back(std::move(n));
    }
    for (KeptNode& n : nodes_) machine_.Boot(n);
    Settle();
    Settle();
    NewDriver(false);
  }

  // What may come next: one word for each way to go on, told apart by number. The first is the way without a
  // fault.
  struct Way {
    std::size_t pilot = 0;
    std::optional<Mishap> mishap;
    Fate fate = Fate::kCome;
    std::size_t node = 0;
    bool round = false;  // the round begins
  };
  std::vector<Way> Ways() const {
    std::vector<Way> all;
    bool moves = false;
    for (std::size_t i = 0; i < pilots_.size(); ++i) {
      const Pilot& p = pilots_[i];
      if (p.over || p.paused > 0 || p.round_done) continue;
      moves = true;
      all.push_back({i, std::nullopt, Fate::kCome, 0, false});
      if (left_ == 0) continue;
      for (const Fate f : {Fate::kLost, Fate::kUnheard}) all.push_back({i, std::nullopt, f, 0, false});
      // A claim that comes late is as good as lost: its answer is not waited for. A command is not.
      if (p.acting) {
        for (const Fate f : {Fate::kLate1, Fate::kLate3, Fate::kLate5})
          all.push_back({i, std::nullopt, f, 0, false});
      }
      for (const Mishap m : {Mishap::kDriverDies, Mishap::kDriverPauses2, Mishap::kDriverPauses6})
        all.push_back({i, m, Fate::kCome, 0, false});
    }
    if (moves) return all;
    all.push_back({0, std::nullopt, Fate::kCome, 0, true});
    if (left_ == 0) return all;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].keeper_down) all.push_back({0, Mishap::kKeeperDies, Fate::kCome, i, true});
      if (!nodes_[i].processes.empty()) all.push_back({0, Mishap::kNodeDies, Fate::kCome, i, true});
    }
    bool drives = false;
    for (std::size_t i = 0; i < pilots_.size(); ++i) {
      const Pilot& p = pilots_[i];
      drives = drives || !p.over;
      if (!p.over && p.paused == 0) all.push_back({i, Mishap::kStop, Fate::kCome, 0, true});
    }
    if (drives && pilots_.size() < 6) {
      all.push_back({0, Mishap::kNewDriver, Fate::kCome, 0, true});
      if (!second_plan_) all.push_back({0, Mishap::kNewPlan, Fate::kCome, 0, true});
    }
    return all;
  }

  void Go(const Way& way) {
    if (way.mishap || way.fate != Fate::kCome) {
      --left_;
      told_ += fmt::format(" r{}:{}{}", round_,
                           way.mishap ? kMishaps[static_cast<std::size_t>(*way.mishap)]
                                      : kFates[static_cast<std::size_t>(way.fate)],
                           Where(way));
    }
    if (way.round) {
      if (way.mishap) Happen(way);
      Round();
    } else if (way.mishap) {
      Happen(way);
    } else {
      Message(way.pilot, way.fate);
    }
    Check();
  }

  bool over() const { return !end_.empty() || breach_; }
  const std::string& end() const { return end_; }
  const std::optional<RolloutExplored::Breach>& breach() const { return breach_; }

  // Two courses of the same print go on alike. What decides is in it, with times as spans.
  std::uint64_t Print() const {
    std::string all = fmt::format("{} {} {} {} {}|", left_, acted_, idle_, second_plan_, killed_);
    for (const KeptNode& n : nodes_) {
      const SupervisorState& m = n.disk;
      all += fmt::format("{} {} {} {} {} {} {} {} {} {} {} {} {}", m.epoch, m.driver, m.directive,
                         m.directive_number, m.active.id, m.last_good.id, m.pending ? m.pending->id : "-",
                         m.failed_release, m.failure_reason, n.keeper_down ? n.keeper_back - machine_.now : 0,
                         m.plan.size(), m.current.pid > 0, m.next.pid > 0);
      if (!n.keeper_down) {
        const SupervisorStatus s = n.keeper->Status();
        all += fmt::format(" {} {} {}", static_cast<int>(s.phase), s.crashes,
                           s.claimed_at == 0 ? -1 : std::min(machine_.now - s.claimed_at, 2 * kLease));
        all += fmt::format(" {} {}", n.keeper->current(), n.keeper->next());
      }
      for (const auto& [number, p] : n.processes)
        all += fmt::format(" {}:{}{}{}{}{}", number, p.release.id, p.ready, p.leaving,
                           machine_.now - p.started, p.ends_at < 0 ? -1 : p.ends_at - machine_.now);
      all += ";";
    }
    for (const Pilot& p : pilots_) {
      if (p.over) continue;
      all += fmt::format("p{} {} {} {} {} {} [", p.number, p.fresh_plan, p.paused, p.round_done, p.claims,
                         p.acting);
      for (const auto& [name, v] : p.seen)
        all += fmt::format("{} {} {} {},", name, v.claimed, v.status->active.id, v.status->pending);
      for (const NodeCommand& o : p.orders)
        all += fmt::format("{} {} {},", o.node, static_cast<int>(o.command.kind),
                           o.command.claimed_at > 0 ? machine_.now - o.command.claimed_at : -1);
      all += "]" + p.driver.StateFingerprint(machine_.now) + ";";
    }
    for (const Letter& l : late_)
      all +=
          fmt::format("l{} {} {} {} {};", l.rounds, l.to, static_cast<int>(l.command.kind), l.command.epoch,
                      l.command.claimed_at > 0 ? machine_.now - l.command.claimed_at : -1);
    return XXH3_64bits(all.data(), all.size());
  }
  // It has come to where it was before, and no fault is left to lead elsewhere.
  void Stuck() { Broken("ends", "the course goes round in a circle"); }

 private:
  static Machine::Rules RulesOf(const RolloutExploreOptions& o) {
    Machine::Rules r;
    r.limits.lease = o.variant == "no-lease" || o.variant == "hasty" ? Time{1} << 50 : kLease;
    r.limits.ready_timeout = 3 * kSecond;
    r.limits.stop_timeout = 3 * kSecond;
    r.limits.crash_window = 1000 * kSecond;
    r.limits.initial_backoff = kSecond;
    r.ends_in = kSecond;
    return r;
  }
  bool Is(const char* variant) const { return o_->variant == variant; }

  rollout::Plan PlanOf(bool second) const {
    rollout::Plan plan;
    plan.name = second ? "second" : "first";
    plan.text = second ? "plan two" : "plan 1";
    plan.release = {second ? "newer" : "new", second ? "/newer" : "/new", "", "", "", "", ""};
    for (std::size_t i = 0; i < nodes_.size(); ++i) plan.nodes.push_back({nodes_[i].name, "", ""});
    plan.stages.push_back({{nodes_[0].name}, kSecond, 0, 1});
    plan.stages.push_back({{}, kSecond, 0, 1});
    for (std::size_t i = 1; i < nodes_.size(); ++i) plan.stages.back().nodes.push_back(nodes_[i].name);
    if (Is("greedy")) plan.stages.back().max_concurrent = nodes_.size();
    plan.unreachable_after = 8 * kSecond;
    plan.max_skipped = nodes_.size() > 2 ? 1 : 0;
    return plan;
  }

  void NewDriver(bool second) {
    std::uint64_t epoch = 0;
    for (const KeptNode& n : nodes_) {
      if (!n.keeper_down) epoch = std::max(epoch, n.keeper->Status().epoch);
    }
    const int number = ++drivers_;
    pilots_.push_back({Driver(PlanOf(second), epoch + 1, fmt::format("d{}", number),
                              Is("no-lease") || Is("hasty") ? 0 : kWaits),
                       number,
                       second,
                       false,
                       0,
                       false,
                       0,
                       {},
                       {},
                       false});
  }

  std::string Where(const Way& way) const {
    if (way.round && way.mishap && (*way.mishap == Mishap::kKeeperDies || *way.mishap == Mishap::kNodeDies))
      return "(n" + std::to_string(way.node) + ")";
    const Pilot& p = pilots_[way.pilot];
    if (way.round) return fmt::format("(d{})", p.number);
    const std::string to =
        !p.acting ? fmt::format("claim n{}", p.claims)
        : p.orders.empty()
            ? "-"
            : fmt::format("{} {}", static_cast<int>(p.orders.front().command.kind), p.orders.front().node);
    return fmt::format("(d{} {})", p.number, to);
  }

  void Happen(const Way& way) {
    switch (*way.mishap) {
      case Mishap::kDriverDies:
        pilots_[way.pilot].over = true;
        break;
      case Mishap::kDriverPauses2:
        pilots_[way.pilot].paused = 2;
        break;
      case Mishap::kDriverPauses6:
        pilots_[way.pilot].paused = 6;
        break;
      case Mishap::kStop:
        pilots_[way.pilot].driver.SetDirective("back", "stopped");
        break;
      case Mishap::kKeeperDies: {
        KeptNode& n = nodes_[way.node];
        n.keeper_down = true;
        n.keeper_back = machine_.now + kKeeperBack * kSecond;
        if (Is("forgetful")) n.disk.last_good = {};
        break;
      }
      case Mishap::kNodeDies: {
        KeptNode& n = nodes_[way.node];
        const auto at = std::find_if(n.processes.begin(), n.processes.end(),
                                     [](const auto& p) { return p.second.ready && !p.second.leaving; });
        if (at == n.processes.end()) break;
        const int number = at->first;
        n.processes.erase(at);
        killed_ |= 1U << way.node;
        if (!n.keeper_down) machine_.End(n, number);
        break;
      }
      case Mishap::kNewDriver:
      case Mishap::kNewPlan:
        second_plan_ = second_plan_ || *way.mishap == Mishap::kNewPlan;
        NewDriver(*way.mishap == Mishap::kNewPlan);
        break;
    }
  }

  // A driver's next message; behind its last claim it decides.
  void Message(std::size_t number, Fate fate) {
    Pilot& p = pilots_[number];
    if (!p.acting) {
      const std::size_t to = p.claims++;
      NodeCommand claim{nodes_[to].name, p.driver.MakeClaim()};
      if (const auto reply = Ask(to, claim.command, fate)) {
        p.seen[claim.node] = {reply->status, reply->accepted};
        if (!reply->accepted) p.driver.OnRejected(reply->reason);
      }
      if (p.claims < nodes_.size()) return;
      p.acting = true;
      if (!p.driver.ended()) {
        p.orders = p.driver.RunRound(machine_.now, p.seen);
        std::stable_partition(p.orders.begin(), p.orders.end(), [](const NodeCommand& o) {
          return o.command.kind == CommandKind::kSetDirective;
        });
      }
    } else {
      const NodeCommand order = p.orders.front();
      p.orders.erase(p.orders.begin());
      const std::size_t to = static_cast<std::size_t>(std::stoul(order.node.substr(1)));
      const auto reply = Ask(to, order.command, fate);
      if (reply && !reply->accepted) p.driver.OnRejected(reply->reason);
    }
    // What a round has decided is sent to its end, as the real driver does, also where one answer says stale.
    if (!p.orders.empty()) return;
    p.round_done = true;
    if (p.driver.state() == RolloutState::kSuperseded) {
      p.over = true;
    } else if (p.driver.ended() || p.driver.state() == RolloutState::kPaused) {
      End(p);
    }
  }

  std::optional<CommandReply> Ask(std::size_t to, const SupervisorCommand& command, Fate fate) {
    switch (fate) {
      case Fate::kLost:
        return std::nullopt;
      case Fate::kLate1:
      case Fate::kLate3:
      case Fate::kLate5:
        late_.push_back({fate == Fate::kLate1 ? 1 : fate == Fate::kLate3 ? 3 : 5, to, command});
        return std::nullopt;
      case Fate::kUnheard:
        Take(to, command);
        return std::nullopt;
      case Fate::kCome:
        break;
    }
    return Take(to, command);
  }

  std::optional<CommandReply> Take(std::size_t to, const SupervisorCommand& command) {
    KeptNode& n = nodes_[to];
    if (n.keeper_down) return std::nullopt;
    SupervisorCommand c = command;
    if (Is("no-token") || Is("hasty")) c.claimed_at = 0;
    if (Is("any-epoch")) {
      const SupervisorStatus s = n.keeper->Status();
      if (c.epoch < s.epoch) c.epoch = s.epoch;
      if (c.epoch == s.epoch && s.epoch > 0) c.driver = s.driver;
    }
    std::vector<SupervisorEffect> acts;
    CommandReply reply = n.keeper->HandleCommand(machine_.now, c, acts);
    const bool acted = reply.accepted && !acts.empty() &&
                       (c.kind == CommandKind::kChange || c.kind == CommandKind::kRollBack);
    machine_.Carry(n, std::move(acts));
    if (acted) {
      if (command.epoch < acted_)
        Broken("one-driver",
               fmt::format("epoch {} acted at {} behind epoch {}", command.epoch, n.name, acted_));
      acted_ = std::max(acted_, command.epoch);
    }
    reply.status.metrics = NodeMetrics{};
    reply.status.metrics->pid = reply.status.pid;
    reply.status.now = machine_.now;
    if (Is("any-epoch")) reply.status.epoch = std::min(reply.status.epoch, command.epoch);
    return reply;
  }

  // Processes and keepers come to where a second leads them.
  void Settle() {
    for (KeptNode& n : nodes_) {
      if (n.keeper_down && machine_.now >= n.keeper_back) machine_.Boot(n);
      std::vector<int> gone;
      for (const auto& [number, p] : n.processes) {
        if (p.ends_at >= 0 && machine_.now >= p.ends_at) gone.push_back(number);
      }
      for (const int number : gone) {
        n.processes.erase(number);
        if (!n.keeper_down) machine_.End(n, number);
      }
      if (n.keeper_down) continue;
      for (auto& [number, p] : n.processes) {
        if (p.ready || machine_.now - p.started < kSecond) continue;
        p.ready = true;
        std::vector<SupervisorEffect> acts;
        n.keeper->OnProcessReady(machine_.now, number, acts);
        machine_.Carry(n, std::move(acts));
        break;
      }
      machine_.Tick(n);
    }
    machine_.EndUnstarted();
    machine_.now += kSecond;
  }

  void Round() {
    ++round_;
    Settle();
    std::vector<Letter> due;
    for (Letter& l : late_) {
      if (--l.rounds <= 0) due.push_back(l);
    }
    std::erase_if(late_, [](const Letter& l) { return l.rounds <= 0; });
    for (const Letter& l : due) Take(l.to, l.command);
    bool drives = false;
    for (Pilot& p : pilots_) {
      if (p.over) continue;
      if (p.paused > 0) {
        --p.paused;
        continue;  // whoever waits for it starts another
      }
      drives = true;
      if (!p.round_done) continue;
      p.round_done = p.acting = false;
      p.claims = 0;
      p.seen.clear();
    }
    if (!drives && end_.empty()) {
      if (++idle_ >= 2) {
        idle_ = 0;
        NewDriver(second_plan_);
      }
    } else {
      idle_ = 0;
    }
    if (round_ > o_->rounds) Broken("ends", "the course came to no end");
  }

  void End(Pilot& p) {
    switch (p.driver.state()) {
      case RolloutState::kCompleted:
        end_ = p.fresh_plan ? "second done" : "done";
        for (const KeptNode& n : nodes_) {
          if (n.disk.active.id != p.driver.plan().release.id && p.driver.skipped_nodes().empty())
            Broken("all-changed", n.name + " runs " + n.disk.active.id + " and it is called done");
        }
        break;
      case RolloutState::kRolledBack:
        end_ = "back";
        for (const KeptNode& n : nodes_) {
          if (n.keeper_down || n.disk.active.id != p.driver.plan().release.id) continue;
          const auto gone = p.driver.skipped_nodes();
          if (n.disk.last_good.id != n.disk.active.id &&
              std::find(gone.begin(), gone.end(), n.name) == gone.end())
            Broken("stop-reaches", "a stop did not reach " + n.name);
        }
        break;
      case RolloutState::kPaused:
        // An operator goes on with it: here that is where it ends, unless faults are still to come.
        end_ = "paused: " + p.driver.reason();
        break;
      default:
        break;
    }
  }

  void Check() {
    std::size_t changing = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const KeptNode& n = nodes_[i];
      const SupervisorState& m = n.disk;
      if (m.last_good.program.empty()) Broken("good-release", n.name + " has no good release");
      if (m.active.program.empty()) Broken("good-release", n.name + " has no release");
      if (m.pending && *m.pending != m.last_good) ++changing;
      std::size_t living = 0, serving = 0;
      for (const auto& [number, p] : n.processes) {
        living += p.leaving || (p.ends_at >= 0 && p.ends_at <= machine_.now) ? 0 : 1;  // a killed one is none
        serving += p.ready && !p.leaving ? 1 : 0;
      }
      if (living > 2) Broken("two-processes", fmt::format("{} has {} processes", n.name, living));
      if (serving == 0 && (killed_ >> i & 1U) == 0 && round_ > 0)
        Broken("serves", n.name + " serves with no process though none was killed");
    }
    if (changing > 1) Broken("at-once", fmt::format("{} nodes in change, 1 allowed", changing));
  }

  void Broken(const char* invariant, const std::string& what) {
    if (!breach_) breach_ = RolloutExplored::Breach{invariant, what, told_};
  }

  const RolloutExploreOptions* o_;
  Machine machine_;
  int left_;
  std::vector<KeptNode> nodes_;
  std::vector<Pilot> pilots_;
  std::vector<Letter> late_;
  std::uint64_t acted_ = 0;
  unsigned killed_ = 0;  // bits: nodes of which a process was killed by a fault
  int round_ = 0, drivers_ = 0, idle_ = 0;
  bool second_plan_ = false;
  std::string end_, told_;
  std::optional<RolloutExplored::Breach> breach_;
};

// Courses that are still to be gone on with, shared by the workers; each worker goes deep by itself and hands
// over what lies near the root.
class Search {
 public:
  explicit Search(const RolloutExploreOptions& o) : o_(o) {}

  RolloutExplored Run() {
    open_.push_back(Course(o_));
    const int workers =
        o_.workers > 0 ? o_.workers : std::max(1, static_cast<int>(std::thread::hardware_concurrency()));
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(workers));
    for (int i = 0; i < workers; ++i) threads.emplace_back([this] { Work(); });
    for (std::thread& t : threads) t.join();
    out_.states = 0;
    for (const Shard& s : shards_) out_.states += s.seen.size();
    return std::move(out_);
  }

 private:
  struct Shard {
    std::mutex mutex;
    std::unordered_set<std::uint64_t> seen;
  };

  bool New(std::uint64_t print) {
    Shard& s = shards_[print % shards_.size()];
    const std::lock_guard<std::mutex> lock(s.mutex);
    return s.seen.insert(print).second;
  }

  void Work() {
    while (true) {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait(lock, [&] { return !open_.empty() || busy_ == 0; });
      if (open_.empty()) {
        wake_.notify_all();
        return;
      }
      Course c = std::move(open_.back());
      open_.pop_back();
      ++busy_;
      lock.unlock();
      Tally t;
      Deep(std::move(c), t);
      lock.lock();
      --busy_;
      Merge(t);
      wake_.notify_all();
    }
  }

  struct Tally {
    std::uint64_t steps = 0, courses = 0;
    std::map<std::string, std::uint64_t> ends;
    std::vector<RolloutExplored::Breach> breaches;
  };

  // Along the way without a fault; what branches off is played from copies.
  void Deep(Course c, Tally& t) {
    std::unordered_set<std::uint64_t> own;  // of this way on, which has no further fault in it
    while (true) {
      if (c.over()) {
        ++t.courses;
        if (c.breach()) {
          t.breaches.push_back(*c.breach());
        } else {
          ++t.ends[c.end().substr(0, 40)];
        }
        return;
      }
      const std::uint64_t print = c.Print();
      if (!own.insert(print).second) c.Stuck();
      if (c.over()) continue;
      if (!New(print)) return;
      const std::vector<Course::Way> ways = c.Ways();
      for (std::size_t i = 1; i < ways.size(); ++i) {
        Course branch = c;
        branch.Go(ways[i]);
        ++t.steps;
        if (Hungry()) {
          const std::lock_guard<std::mutex> lock(mutex_);
          open_.push_back(std::move(branch));
          wake_.notify_one();
        } else {
          Deep(std::move(branch), t);
        }
      }
      c.Go(ways.front());
      ++t.steps;
    }
  }

  bool Hungry() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return open_.size() < 64;
  }

  void Merge(const Tally& t) {
    out_.steps += t.steps;
    out_.courses += t.courses;
    for (const auto& [end, n] : t.ends) out_.ends[end] += n;
    for (const auto& b : t.breaches) {
      ++out_.by_invariant[b.invariant];
      if (out_.breaches.size() < 200) out_.breaches.push_back(b);
    }
  }

  const RolloutExploreOptions& o_;
  std::array<Shard, 64> shards_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Course> open_;
  int busy_ = 0;
  RolloutExplored out_;
};

}  // namespace

RolloutExplored ExploreRollout(const RolloutExploreOptions& options) {
  static const std::set<std::string> known{"",       "any-epoch", "no-lease", "no-token",
                                           "greedy", "forgetful", "hasty"};
  if (!known.contains(options.variant))
    throw std::runtime_error("there is no variant '" + options.variant + "'");
  if (options.nodes < 2 || options.nodes > 5) throw std::runtime_error("2 to 5 nodes can be explored");
  return Search(options).Run();
}

}  // namespace ryeglade::rollout_lab
