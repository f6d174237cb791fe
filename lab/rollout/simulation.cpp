#include "lab/rollout/simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <set>
#include <thread>

#include "lab/emulator/random.h"
#include "lab/rollout/supervised_node.h"

namespace ryeglade::rollout_lab {
namespace {

using namespace rollout;
using emulator::RandomPurpose;
using emulator::RandomStream;

constexpr Time kSecond = 1'000'000, kTick = 100'000, kRound = 500'000;
constexpr Time kLease = 3 * kSecond;
constexpr double kFirstMs = 200, kFirstSigma = 0.5;
constexpr std::uint64_t kMemory = std::uint64_t{192} << 20;

struct Site : KeptNode {
  bool vanished = false;
  double rate = 0, own_failed = 0, own_refused = 0;
  std::optional<NodeMetrics> told;  // as the keeper last read them
  std::deque<MetricsSample> past;
  Time read_at = 0;
};

// Sends a round's messages one by one; it may die before each.
struct Pilot {
  std::unique_ptr<Driver> driver;
  Time next_round = 0, paused_until = -1;
  std::deque<NodeCommand> to_send;  // of the last round, left over by a pause
  bool dead = false;
};

class World {
 public:
  explicit World(const WorldSpec& s)
      : s_(s),
        traffic_(s.seed, RandomPurpose::kArrivals),
        chance_(s.seed, RandomPurpose::kFailures),
        size_(s.seed, RandomPurpose::kSizes),
        machine_(RulesOf(s_)) {
    std::string text = fmt::format(
        "name = \"trial\"\nunreached_after = \"20s\"\nmost_passed_over = 2\nask_after = \"600s\"\n"
        "back_at_once = {}\n[release]\nid = \"new\"\nprogram = \"/new\"\n",
        std::max<std::size_t>(4, s.at_once));
    for (int i = 0; i < s.nodes; ++i) {
      text += fmt::format("[[node]]\nname = \"n{}\"\nkeeper = \"127.0.0.1:{}\"\nzone = \"z{}\"\n", i,
                          1000 + i, i % s.zones);
    }
    std::vector<int> stages = s.stages;
    if (s.rule == Rule::kAllAtOnce) stages.clear();
    const std::size_t at_once = s.rule == Rule::kAllAtOnce ? static_cast<std::size_t>(s.nodes) : s.at_once;
    for (const int n : stages)
      text += fmt::format("[[stage]]\ncount = {}\nat_once = {}\nsoak = \"{}s\"\nrequests = {}\n", n, at_once,
                          s.soak, s.requests);
    text +=
        fmt::format("[[stage]]\nat_once = {}\nsoak = \"{}s\"\nrequests = {}\n", at_once, s.soak, s.requests);
    // The two plain rules have no verdict of their own: guards so wide that it never speaks.
    if (s.rule != Rule::kVerdict)
      text +=
          "[guards]\nfailed = 1\nrefused = 1\nlate = 1\nslower = 10\nattempts = 10\ngrowth = 1000\nworld = "
          "1\n";
    plan_ = ParsePlan("trial", text);
    for (int i = 0; i < s.nodes; ++i) {
      auto site = std::make_unique<Site>();
      site->name = fmt::format("n{}", i);
      site->zone = fmt::format("z{}", i % s.zones);
      site->rate = size_.Lognormal(s.rate, s.spread);
      site->own_failed = size_.Lognormal(s.own_failed, s.overdispersion);
      site->own_refused = size_.Lognormal(s.own_refused, s.overdispersion);
      site->disk.active = site->disk.last_good = {"old", "/old", "/c", "", "", "", ""};
      sites_.push_back(std::move(site));
    }
  }

  WorldResult Run() {
    for (auto& site : sites_) Boot(*site, false);
    for (now_ = kTick; now_ < 5 * kSecond; now_ += kTick) Turn();
    begin_ = now_;
    NewDriver();
    while (now_ - begin_ < static_cast<Time>(s_.length * 1e6) && !over_) {
      now_ += kTick;
      Turn();
      Drivers();
      Check();
    }
    Finish();
    return std::move(result_);
  }

 private:
  double At() const { return static_cast<double>(now_ - begin_) / 1e6; }
  bool Cut(std::size_t node) const {
    const auto n = static_cast<int>(node);
    return sites_[node]->vanished || (s_.cut_from >= 0 && n >= s_.cut_from && n <= s_.cut_to &&
                                      At() >= s_.cut_at && At() < s_.cut_at + s_.cut_for);
  }
  void Broken(const std::string& what) {
    if (result_.broken.size() < 8) result_.broken.push_back(fmt::format("at {:.1f} s: {}", At(), what));
  }

  // ---- Nodes and keepers ----

  static Machine::Rules RulesOf(const WorldSpec& s) {
    Machine::Rules r;
    r.limits.lease = s.no_lease ? Time{1} << 50 : kLease;
    r.limits.ready_timeout = 3 * kSecond;
    r.limits.stop_timeout = 5 * kSecond;
    r.memory_limit = kMemory;
    r.fails_to_start = [&s](const KeptNode& node, const Release& release) {
      return release.id == "new" && (s.harm.does_not_start || s.harm.unreadable_at == node.name);
    };
    r.deaf = [&s](const Release& release) { return release.id == "new" && s.harm.deaf; };
    return r;
  }

  void Boot(Site& site, bool again) {
    if (again) site.past.clear();  // what a keeper saw goes with it
    if (s_.forgetful && again) site.disk.last_good = {};
    machine_.Boot(site);
  }

  void Turn() {
    machine_.now = now_;
    for (std::size_t i = 0; i < sites_.size(); ++i) {
      Site& site = *sites_[i];
      if (site.vanished) continue;
      if (static_cast<int>(i) == s_.vanish && begin_ > 0 && At() >= s_.vanish_at) {
        site.vanished = true;
        site.processes.clear();
        continue;
      }
      const double second = static_cast<double>(kTick) / 1e6;
      if (begin_ > 0 && !site.keeper_down && chance_.Chance(s_.kill_keeper * second)) {
        site.keeper_down = true;
        site.keeper_back = now_ + 2 * kSecond;
        ++result_.keepers_killed;
      }
      if (site.keeper_down && now_ >= site.keeper_back) Boot(site, true);
      Serve(site);
      std::vector<int> gone;
      for (auto& [number, p] : site.processes) {
        const bool killed = begin_ > 0 && chance_.Chance(s_.kill_node * second);
        if (killed || (p.ends_at >= 0 && now_ >= p.ends_at)) gone.push_back(number);
      }
      for (const int number : gone) {
        site.processes.erase(number);
        if (!site.keeper_down) machine_.End(site, number);
      }
      if (site.keeper_down) continue;
      for (auto& [number, p] : site.processes) {
        const bool never = p.release.id == "new" && s_.harm.never_ready;
        if (!p.ready && !never && now_ - p.started >= kSecond) {
          p.ready = true;
          std::vector<SupervisorEffect> acts;
          site.keeper->OnProcessReady(now_, number, acts);
          machine_.Carry(site, std::move(acts));
          break;
        }
      }
      machine_.Tick(site);
      if (now_ - site.read_at >= kRound) Read(site);
    }
    machine_.EndUnstarted();
  }

  void Read(Site& site) {
    site.read_at = now_;
    const auto at = site.processes.find(site.keeper->current());
    site.told.reset();
    if (at == site.processes.end() || !at->second.ready) return;
    if (at->second.release.id == "new" && s_.harm.no_figures) return;
    site.told = at->second.figures;
    site.told->measured_at = now_;
    if (site.past.empty() || now_ - site.past.back().metrics.measured_at >= 10 * kSecond)
      site.past.push_back({at->second.release.id, *site.told});
    if (site.past.size() > 180) site.past.pop_front();
  }

  int Poisson(double mean) {
    if (mean <= 0) return 0;
    const double limit = std::exp(-mean);
    int n = 0;
    double p = traffic_.Unit();
    while (p > limit) {
      ++n;
      p *= traffic_.Unit();
    }
    return n;
  }

  // Whoever is the newest ready process of a node and does not leave takes what comes.
  void Serve(Site& site) {
    Process* takes = nullptr;
    for (auto& [number, p] : site.processes) {
      if (p.ready && !p.leaving && (takes == nullptr || p.started > takes->started)) takes = &p;
    }
    const bool load = s_.load_at >= 0 && At() >= s_.load_at && At() < s_.load_at + s_.load_for && begin_ > 0;
    const bool world =
        s_.world_at >= 0 && At() >= s_.world_at && At() < s_.world_at + s_.world_for && begin_ > 0;
    const double times = load ? s_.load_times : 1;
    const int n = Poisson(site.rate * times * static_cast<double>(kTick) / 1e6);
    for (int k = 0; k < n; ++k) {
      const bool agent = traffic_.Chance(0.2);
      const std::string cls = agent ? "agent" : "docs";
      const double worth = agent ? 9 : 3;
      if (begin_ > 0) result_.worth += worth;
      if (takes == nullptr) {
        if (begin_ > 0) result_.worth_lost += worth;
        continue;
      }
      const bool fresh = takes->release.id == "new";
      const bool harmed = fresh && (s_.harm.only_class.empty() || s_.harm.only_class == cls);
      ClassMetrics& c = takes->figures.classes[cls];
      c.priority_weight = worth;
      const double u = traffic_.Unit();
      const double own_failed = std::min(0.9, site.own_failed + (world ? s_.world_failed : 0));
      const double own_refused = std::min(0.9 - own_failed, site.own_refused * (load ? 10 : 1));
      const double more_failed = harmed ? s_.harm.failed : 0, more_refused = harmed ? s_.harm.refused : 0;
      const double tries = 1 + (traffic_.Chance(0.05) ? 1 : 0);
      c.attempts_sum += tries, c.attempts_sum_of_squares += tries * tries;
      if (fresh) result_.exposed_requests += 1;
      if (u < own_failed) {
        ++c.failed;
      } else if (u < own_failed + own_refused) {
        ++c.rejected;
      } else if (u < own_failed + own_refused + more_failed) {
        ++c.failed;
        result_.worth_lost += worth;
      } else if (u < own_failed + own_refused + more_failed + more_refused) {
        ++c.rejected;
        result_.worth_lost += worth;
      } else {
        double ms = traffic_.Lognormal(kFirstMs, kFirstSigma) * (load ? 1.5 : 1);
        if (harmed) ms *= 1 + s_.harm.slower;
        ++c.served;
        ++c.started;
        if (ms < 800) ++c.in_time;
        c.first_token_ln_sum += std::log(ms);
        c.first_token_ln_sum_of_squares += std::log(ms) * std::log(ms);
      }
      takes->asked += 1;
      if (fresh && s_.harm.crash_at > 0 && takes->asked >= s_.harm.crash_at) takes->ends_at = now_;
    }
    if (takes != nullptr && takes->release.id == "new")
      takes->figures.memory_bytes +=
          static_cast<std::uint64_t>(s_.harm.leak * static_cast<double>(kTick) / 1e6);
  }

  // ---- Drivers ----

  std::size_t IndexOf(const std::string& name) const {
    return static_cast<std::size_t>(std::stoi(name.substr(1)));
  }

  // What a keeper answers, as far as the message and its answer arrive; `late`: the message sits on the way.
  std::optional<CommandReply> Ask(const NodeCommand& order) {
    const std::size_t node = IndexOf(order.node);
    Site& site = *sites_[node];
    if (Cut(node) || site.keeper_down || chance_.Chance(s_.lost)) return std::nullopt;
    SupervisorCommand c = order.command;
    if (s_.forge_epoch) {
      const SupervisorStatus s = site.keeper->Status();
      if (c.epoch < s.epoch) c.epoch = s.epoch;
      if (c.epoch == s.epoch && s.epoch > 0) c.driver = s.driver;
    }
    std::vector<SupervisorEffect> acts;
    const std::uint64_t epoch = site.keeper->state().epoch;
    CommandReply reply = site.keeper->HandleCommand(now_, c, acts);
    const bool acted = !acts.empty();
    machine_.Carry(site, std::move(acts));
    const bool act = c.kind == CommandKind::kChange || c.kind == CommandKind::kRollBack;
    if (reply.accepted && act && acted) {
      if (order.command.epoch < acted_)
        Broken(fmt::format("epoch {} acted at {} behind epoch {}", order.command.epoch, site.name, acted_));
      acted_ = std::max(acted_, order.command.epoch);
    }
    reply.status.metrics = site.told;
    reply.status.now = now_;
    if (reply.accepted && site.keeper->state().epoch > epoch)
      reply.status.history.assign(site.past.begin(), site.past.end());
    if (s_.forge_epoch) reply.status.epoch = std::min(reply.status.epoch, order.command.epoch);
    if (chance_.Chance(s_.lost)) return std::nullopt;  // the answer is lost: done all the same
    return reply;
  }

  void NewDriver() {
    std::uint64_t epoch = 0;
    for (std::size_t i = 0; i < sites_.size(); ++i) {
      if (!Cut(i) && !sites_[i]->keeper_down && !chance_.Chance(s_.lost))
        epoch = std::max(epoch, sites_[i]->keeper->Status().epoch);
    }
    Pilot p;
    Plan plan = plan_;
    if (s_.greedy) {
      for (Stage& stage : plan.stages) stage.max_concurrent = 100;
    }
    p.driver = std::make_unique<Driver>(plan, epoch + 1, fmt::format("d{}", ++result_.drivers),
                                        s_.no_lease ? 0 : kLease * 12 / 10);
    p.next_round = now_;
    pilots_.push_back(std::move(p));
  }

  void Drivers() {
    if (s_.two_drivers && now_ % (20 * kSecond) == 0) NewDriver();
    bool alive = false;
    for (std::size_t i = 0; i < pilots_.size(); ++i) {
      if (!pilots_[i].dead) Drive(pilots_[i]);
      alive = alive || !pilots_[i].dead;
    }
    std::erase_if(pilots_, [](const Pilot& p) { return p.dead; });
    if (!alive && !over_ && revive_at_ < 0)
      revive_at_ = now_ + kSecond + static_cast<Time>(chance_.Below(4'000'000));
    if (revive_at_ >= 0 && now_ >= revive_at_) {
      revive_at_ = -1;
      NewDriver();
    }
  }

  bool Killed(Pilot& p) {
    if (!chance_.Chance(s_.kill_driver)) return false;
    p.dead = true;
    return true;
  }

  void Drive(Pilot& p) {
    if (p.paused_until >= 0) {
      if (now_ < p.paused_until) return;
      p.paused_until = -1;  // it goes on with what it was about to send
    } else {
      if (now_ < p.next_round) return;
      p.next_round = now_ + kRound;
      std::map<std::string, SupervisorResponse> round;
      for (const PlanNode& n : plan_.nodes) {
        if (Killed(p)) return;
        const auto reply = Ask({n.name, p.driver->MakeClaim()});
        if (!reply) continue;
        round[n.name] = {reply->status, reply->accepted};
        if (!reply->accepted) p.driver->OnRejected(reply->reason);
      }
      if (!p.driver->ended()) {
        const std::vector<NodeCommand> orders = p.driver->RunRound(now_, round);
        // Marks go first.
        for (const bool marks : {true, false}) {
          for (const NodeCommand& o : orders) {
            if ((o.command.kind == CommandKind::kSetDirective) == marks) p.to_send.push_back(o);
          }
        }
      }
      Threshold(p);
      if (chance_.Chance(s_.pause_driver)) {
        p.paused_until = now_ + static_cast<Time>(s_.pause_for * 1e6);
        return;
      }
    }
    while (!p.to_send.empty()) {
      if (Killed(p)) return;
      const NodeCommand order = p.to_send.front();
      p.to_send.pop_front();
      if (order.command.kind == CommandKind::kSetDirective && order.command.directive == "back" &&
          result_.stopped_at < 0) {
        result_.stopped_at = At();
        result_.stopped_stage = p.driver->stage() + 1;
        result_.why = order.command.directive_reason;
      }
      const auto reply = Ask(order);
      if (reply && !reply->accepted) p.driver->OnRejected(reply->reason);
    }
    switch (p.driver->state()) {
      case RolloutState::kCompleted:
      case RolloutState::kRolledBack:
        over_ = true;
        result_.end = p.driver->state() == RolloutState::kCompleted ? "done" : "back";
        break;
      case RolloutState::kPaused:
        // An operator would look; here it ends, unless the fault is over before long.
        if (paused_since_ < 0) paused_since_ = now_;
        if (now_ - paused_since_ > 60 * kSecond && At() > s_.cut_at + s_.cut_for) {
          result_.end = "paused: " + p.driver->reason();
          over_ = true;
        }
        break;
      case RolloutState::kSuperseded:
        p.dead = true;
        break;
      default:
        paused_since_ = -1;
    }
  }

  // The plain rule: a share of failures and refusals of the new cohort since the start, over a fixed line.
  void Threshold(Pilot& p) {
    if (s_.rule != Rule::kThreshold || p.driver->ended()) return;
    double bad = 0, n = 0;
    for (const auto& site : sites_) {
      if (!site->told) continue;
      const auto at = site->processes.find(site->keeper->current());
      if (at == site->processes.end() || at->second.release.id != "new") continue;
      for (const auto& [cls, c] : site->told->classes)
        n += static_cast<double>(c.concluded()), bad += static_cast<double>(c.failed + c.rejected);
    }
    if (n >= 100 && bad / n > 0.05)
      p.driver->SetDirective("back", fmt::format("{:.3f} of requests bad", bad / n));
  }

  // ---- What must hold ----

  void Check() {
    std::size_t changing = 0, exposed = 0;
    for (const auto& site : sites_) {
      if (site->vanished) continue;
      const SupervisorState& m = site->disk;
      if (m.last_good.program.empty()) Broken(site->name + " has no good release");
      if (m.active.program.empty()) Broken(site->name + " has no release");
      if (m.pending && m.pending->id == "new") ++changing;
      std::size_t living = 0;
      for (const auto& [number, p] : site->processes) {
        living += p.leaving ? 0 : 1;
        if (p.release.id == "new" && p.ready) fresh_.insert(site->name);
      }
      if (living > 2) Broken(fmt::format("{} has {} processes", site->name, living));
      if (m.active.id == "new") ++exposed;
    }
    const std::size_t most = s_.rule == Rule::kAllAtOnce ? sites_.size() : s_.at_once;
    if (changing > most) Broken(fmt::format("{} nodes in change, {} allowed", changing, most));
  }

  void Finish() {
    result_.seconds = At();
    result_.exposed_nodes = fresh_.size();
    if (result_.end.empty()) result_.end = "unfinished";
    const bool good = result_.end == "done" || result_.end == "back" || result_.end.starts_with("paused: ");
    if (!good) Broken("it came to no end");
    if (result_.end == "back") {
      for (std::size_t i = 0; i < sites_.size(); ++i) {
        const Site& site = *sites_[i];
        if (site.vanished || site.keeper_down || Cut(i)) continue;
        if (site.disk.active.id == "new" && site.disk.last_good.id != "new")
          Broken("a stop did not reach " + site.name);
      }
    }
    if (result_.end == "done") {
      std::size_t left = 0;
      for (const auto& site : sites_) left += !site->vanished && site->disk.active.id != "new" ? 1 : 0;
      if (left > plan_.max_skipped) Broken(fmt::format("done, but {} nodes lack it", left));
    }
  }

  WorldSpec s_;
  Plan plan_;
  RandomStream traffic_, chance_, size_;
  Machine machine_;
  Time now_ = 0, begin_ = 0;
  std::vector<std::unique_ptr<Site>> sites_;
  std::deque<Pilot> pilots_;
  std::uint64_t acted_ = 0;
  Time revive_at_ = -1, paused_since_ = -1;
  bool over_ = false;
  std::set<std::string> fresh_;
  WorldResult result_;
};

}  // namespace

WorldResult Play(const WorldSpec& spec) { return World(spec).Run(); }

Set PlayAll(WorldSpec spec, int runs, int workers) {
  Set set;
  std::mutex mutex;
  std::atomic<int> next{0};
  const auto work = [&] {
    for (int i = next++; i < runs; i = next++) {
      WorldSpec s = spec;
      s.seed = spec.seed + static_cast<std::uint64_t>(i);
      const WorldResult r = Play(s);
      const std::lock_guard<std::mutex> lock(mutex);
      ++set.runs;
      if (r.end == "done") ++set.done;
      if (r.stopped_at >= 0) ++set.stopped;
      if (r.end != "done" && r.stopped_at < 0) ++set.other;
      if (r.stopped_at >= 0 && r.stopped_stage <= 1) ++set.first_stage;
      set.nodes += static_cast<double>(r.exposed_nodes);
      set.requests += r.exposed_requests;
      set.lost += r.worth_lost;
      set.worth += r.worth;
      set.seconds += r.seconds;
      if (r.end != "done")
        set.ends.push_back(fmt::format("seed {}: {}{}", s.seed, r.end, r.why.empty() ? "" : ": " + r.why));
      for (const std::string& b : r.broken) set.broken.push_back(fmt::format("seed {}: {}", s.seed, b));
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < std::max(1, workers); ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  return set;
}

}  // namespace ryeglade::rollout_lab
