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

constexpr Time kSecond = 1'000'000;
constexpr Time kTick = 100'000;  // microseconds, as all Times
constexpr Time kRoundInterval =
    500'000;  // between a driver's rounds, and between readings of a node's metrics
constexpr Time kLease = 3 * kSecond;
constexpr Time kWarmUp = 5 * kSecond;         // before the rollout starts, without faults
constexpr Time kPauseTimeout = 60 * kSecond;  // a run ends once its rollout has been paused for longer
constexpr double kFirstTokenMs = 200, kFirstTokenSigma = 0.5;  // median, and sigma of its logarithm
constexpr std::uint64_t kMemoryLimitBytes = std::uint64_t{192} << 20;

struct SimulatedNode : SupervisedNode {
  bool lost = false;  // its machine has disappeared
  // Requests per second, and the shares of requests that fail or are rejected on any release.
  double rate = 0, baseline_failed_share = 0, baseline_rejected_share = 0;
  std::optional<NodeMetrics> last_metrics;  // as its supervisor last read them
  std::deque<MetricsSample> history;        // one sample every 10 s, since its supervisor started
  Time metrics_read_at = 0;
};

// A driver process. It sends the messages of a round one by one and may be killed before each.
struct DriverRun {
  std::unique_ptr<Driver> driver;
  Time next_round = 0, paused_until = -1;   // -1: not paused
  std::deque<NodeCommand> unsent_commands;  // of the last round
  bool ended = false;
};

class Simulation {
 public:
  explicit Simulation(const SimulationSpec& spec)
      : spec_(spec),
        traffic_random_(spec.seed, RandomPurpose::kArrivals),
        fault_random_(spec.seed, RandomPurpose::kFailures),
        node_random_(spec.seed, RandomPurpose::kSizes),
        node_simulator_(RulesOf(spec_)) {
    std::string text = fmt::format(
        "name = \"trial\"\nunreached_after = \"20s\"\nmost_passed_over = 2\nask_after = \"600s\"\n"
        "back_at_once = {}\n[release]\nid = \"new\"\nprogram = \"/new\"\n",
        std::max<std::size_t>(4, spec.max_concurrent));
    for (int i = 0; i < spec.nodes; ++i) {
      text += fmt::format("[[node]]\nname = \"n{}\"\nkeeper = \"127.0.0.1:{}\"\nzone = \"z{}\"\n", i,
                          1000 + i, i % spec.zones);
    }
    std::vector<int> stages = spec.stages;
    if (spec.rule == StopRule::kAllAtOnce) stages.clear();
    const std::size_t at_once =
        spec.rule == StopRule::kAllAtOnce ? static_cast<std::size_t>(spec.nodes) : spec.max_concurrent;
    for (const int n : stages)
      text += fmt::format("[[stage]]\ncount = {}\nat_once = {}\nsoak = \"{}s\"\nrequests = {}\n", n, at_once,
                          spec.soak_seconds, spec.requests);
    text += fmt::format("[[stage]]\nat_once = {}\nsoak = \"{}s\"\nrequests = {}\n", at_once,
                        spec.soak_seconds, spec.requests);
    // With the two simple rules the canary analysis must never stop the rollout, so its limits are as wide as
    // they can be.
    if (spec.rule != StopRule::kCanaryAnalysis)
      text +=
          "[guards]\nfailed = 1\nrefused = 1\nlate = 1\nslower = 10\nattempts = 10\ngrowth = 1000\nworld = "
          "1\n";
    plan_ = ParsePlan("trial", text);
    for (int i = 0; i < spec.nodes; ++i) {
      auto node = std::make_unique<SimulatedNode>();
      node->name = fmt::format("n{}", i);
      node->zone = fmt::format("z{}", i % spec.zones);
      node->rate = node_random_.Lognormal(spec.rate, spec.spread);
      node->baseline_failed_share = node_random_.Lognormal(spec.baseline_failed_share, spec.overdispersion);
      node->baseline_rejected_share =
          node_random_.Lognormal(spec.baseline_rejected_share, spec.overdispersion);
      node->saved_state.active = node->saved_state.last_good = {"old", "/old", "/c", "", "", "", ""};
      nodes_.push_back(std::move(node));
    }
  }

  SimulationResult Run() {
    for (auto& node : nodes_) StartSupervisor(*node, false);
    for (now_ = kTick; now_ < kWarmUp; now_ += kTick) Tick();
    started_at_ = now_;
    NewDriver();
    while (now_ - started_at_ < static_cast<Time>(spec_.max_seconds * 1e6) && !finished_) {
      now_ += kTick;
      Tick();
      RunDrivers();
      CheckInvariants();
    }
    Finish();
    return std::move(result_);
  }

 private:
  double SecondsSinceStart() const { return static_cast<double>(now_ - started_at_) / 1e6; }
  bool Unreachable(std::size_t index) const {
    const auto n = static_cast<int>(index);
    return nodes_[index]->lost || (spec_.partition_first >= 0 && n >= spec_.partition_first &&
                                   n <= spec_.partition_last && SecondsSinceStart() >= spec_.partition_at &&
                                   SecondsSinceStart() < spec_.partition_at + spec_.partition_seconds);
  }
  void AddViolation(const std::string& what) {
    if (result_.violations.size() < 8)
      result_.violations.push_back(fmt::format("at {:.1f} s: {}", SecondsSinceStart(), what));
  }

  // ---- Nodes and supervisors ----

  static NodeSimulator::Rules RulesOf(const SimulationSpec& spec) {
    NodeSimulator::Rules rules;
    rules.limits.lease = spec.no_lease ? Time{1} << 50 : kLease;
    rules.limits.ready_timeout = 3 * kSecond;
    rules.limits.stop_timeout = 5 * kSecond;
    rules.memory_limit = kMemoryLimitBytes;
    rules.fails_to_start = [&spec](const SupervisedNode& node, const Release& release) {
      return release.id == "new" &&
             (spec.defects.does_not_start || spec.defects.unreadable_on_node == node.name);
    };
    rules.ignores_sigterm = [&spec](const Release& release) {
      return release.id == "new" && spec.defects.ignores_sigterm;
    };
    return rules;
  }

  void StartSupervisor(SimulatedNode& node, bool is_restart) {
    if (is_restart) node.history.clear();  // a supervisor keeps it in memory only
    if (spec_.forgets_last_good && is_restart) node.saved_state.last_good = {};
    node_simulator_.StartSupervisor(node);
  }

  void Tick() {
    node_simulator_.now = now_;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      SimulatedNode& node = *nodes_[i];
      if (node.lost) continue;
      if (static_cast<int>(i) == spec_.lost_machine && started_at_ > 0 &&
          SecondsSinceStart() >= spec_.lost_machine_at) {
        node.lost = true;
        node.processes.clear();
        continue;
      }
      const double tick_seconds = static_cast<double>(kTick) / 1e6;
      if (started_at_ > 0 && !node.supervisor_down &&
          fault_random_.Chance(spec_.supervisor_kills_per_second * tick_seconds)) {
        node.supervisor_down = true;
        node.supervisor_restart_at = now_ + 2 * kSecond;
        ++result_.supervisors_killed;
      }
      if (node.supervisor_down && now_ >= node.supervisor_restart_at) StartSupervisor(node, true);
      ServeRequests(node);
      std::vector<int> ended;
      for (auto& [number, p] : node.processes) {
        const bool killed =
            started_at_ > 0 && fault_random_.Chance(spec_.node_kills_per_second * tick_seconds);
        if (killed || (p.ends_at >= 0 && now_ >= p.ends_at)) ended.push_back(number);
      }
      for (const int number : ended) {
        node.processes.erase(number);
        if (!node.supervisor_down) node_simulator_.EndProcess(node, number);
      }
      if (node.supervisor_down) continue;
      for (auto& [number, p] : node.processes) {
        const bool never_ready = p.release.id == "new" && spec_.defects.never_ready;
        if (!p.ready && !never_ready && now_ - p.started >= kSecond) {
          p.ready = true;
          std::vector<SupervisorEffect> effects;
          node.supervisor->OnProcessReady(now_, number, effects);
          node_simulator_.CarryOut(node, std::move(effects));
          break;
        }
      }
      node_simulator_.TickSupervisor(node);
      if (now_ - node.metrics_read_at >= kRoundInterval) ReadMetrics(node);
    }
    node_simulator_.EndUnstartedProcesses();
  }

  void ReadMetrics(SimulatedNode& node) {
    node.metrics_read_at = now_;
    const auto at = node.processes.find(node.supervisor->current());
    node.last_metrics.reset();
    if (at == node.processes.end() || !at->second.ready) return;
    if (at->second.release.id == "new" && spec_.defects.no_metrics) return;
    node.last_metrics = at->second.metrics;
    node.last_metrics->measured_at = now_;
    if (node.history.empty() || now_ - node.history.back().metrics.measured_at >= 10 * kSecond)
      node.history.push_back({at->second.release.id, *node.last_metrics});
    if (node.history.size() > 180) node.history.pop_front();
  }

  // Returns a random number from the Poisson distribution, by Knuth's method.
  int Poisson(double mean) {
    if (mean <= 0) return 0;
    const double limit = std::exp(-mean);
    int n = 0;
    double product = traffic_random_.Unit();
    while (product > limit) {
      ++n;
      product *= traffic_random_.Unit();
    }
    return n;
  }

  // Sends the requests of one tick to the newest process that is ready and was not told to terminate. Without
  // such a process they are lost.
  void ServeRequests(SimulatedNode& node) {
    SimulatedProcess* process = nullptr;
    for (auto& [number, p] : node.processes) {
      if (p.ready && !p.terminating && (process == nullptr || p.started > process->started)) process = &p;
    }
    const bool load_peak = spec_.load_peak_at >= 0 && SecondsSinceStart() >= spec_.load_peak_at &&
                           SecondsSinceStart() < spec_.load_peak_at + spec_.load_peak_seconds &&
                           started_at_ > 0;
    const bool fleet_failure = spec_.fleet_failure_at >= 0 && SecondsSinceStart() >= spec_.fleet_failure_at &&
                               SecondsSinceStart() < spec_.fleet_failure_at + spec_.fleet_failure_seconds &&
                               started_at_ > 0;
    const double load_factor = load_peak ? spec_.load_peak_factor : 1;
    const int n = Poisson(node.rate * load_factor * static_cast<double>(kTick) / 1e6);
    for (int k = 0; k < n; ++k) {
      const bool agent = traffic_random_.Chance(0.2);
      const std::string cls = agent ? "agent" : "docs";
      const double worth = agent ? 9 : 3;
      if (started_at_ > 0) result_.worth += worth;
      if (process == nullptr) {
        if (started_at_ > 0) result_.worth_lost += worth;
        continue;
      }
      const bool new_release = process->release.id == "new";
      const bool defective =
          new_release && (spec_.defects.only_class.empty() || spec_.defects.only_class == cls);
      ClassMetrics& class_metrics = process->metrics.classes[cls];
      class_metrics.priority_weight = worth;
      const double outcome_draw = traffic_random_.Unit();
      const double baseline_failed_share =
          std::min(0.9, node.baseline_failed_share + (fleet_failure ? spec_.fleet_failure_share : 0));
      const double baseline_rejected_share =
          std::min(0.9 - baseline_failed_share, node.baseline_rejected_share * (load_peak ? 10 : 1));
      const double extra_failed_share = defective ? spec_.defects.failed_share : 0,
                   extra_rejected_share = defective ? spec_.defects.rejected_share : 0;
      const double attempts = 1 + (traffic_random_.Chance(0.05) ? 1 : 0);
      class_metrics.attempts_sum += attempts, class_metrics.attempts_sum_of_squares += attempts * attempts;
      if (new_release) result_.exposed_requests += 1;
      if (outcome_draw < baseline_failed_share) {
        ++class_metrics.failed;
      } else if (outcome_draw < baseline_failed_share + baseline_rejected_share) {
        ++class_metrics.rejected;
      } else if (outcome_draw < baseline_failed_share + baseline_rejected_share + extra_failed_share) {
        ++class_metrics.failed;
        result_.worth_lost += worth;
      } else if (outcome_draw < baseline_failed_share + baseline_rejected_share + extra_failed_share +
                                    extra_rejected_share) {
        ++class_metrics.rejected;
        result_.worth_lost += worth;
      } else {
        double ms = traffic_random_.Lognormal(kFirstTokenMs, kFirstTokenSigma) * (load_peak ? 1.5 : 1);
        if (defective) ms *= 1 + spec_.defects.first_token_slowdown;
        ++class_metrics.served;
        ++class_metrics.started;
        if (ms < 800) ++class_metrics.in_time;
        class_metrics.first_token_ln_sum += std::log(ms);
        class_metrics.first_token_ln_sum_of_squares += std::log(ms) * std::log(ms);
      }
      process->requests += 1;
      if (new_release && spec_.defects.crash_at_request > 0 &&
          process->requests >= spec_.defects.crash_at_request)
        process->ends_at = now_;
    }
    if (process != nullptr && process->release.id == "new")
      process->metrics.memory_bytes +=
          static_cast<std::uint64_t>(spec_.defects.leak_bytes_per_second * static_cast<double>(kTick) / 1e6);
  }

  // ---- Drivers ----

  std::size_t IndexOf(const std::string& name) const {
    return static_cast<std::size_t>(std::stoi(name.substr(1)));
  }

  // Sends a command to a node's supervisor. Returns nullopt if the command or the reply is lost.
  std::optional<CommandReply> Send(const NodeCommand& command) {
    const std::size_t index = IndexOf(command.node);
    SimulatedNode& node = *nodes_[index];
    if (Unreachable(index) || node.supervisor_down || fault_random_.Chance(spec_.message_loss))
      return std::nullopt;
    SupervisorCommand c = command.command;
    if (spec_.accepts_any_epoch) {
      const SupervisorStatus s = node.supervisor->Status();
      if (c.epoch < s.epoch) c.epoch = s.epoch;
      if (c.epoch == s.epoch && s.epoch > 0) c.driver = s.driver;
    }
    std::vector<SupervisorEffect> effects;
    const std::uint64_t epoch = node.supervisor->state().epoch;
    CommandReply reply = node.supervisor->HandleCommand(now_, c, effects);
    const bool acted = !effects.empty();
    node_simulator_.CarryOut(node, std::move(effects));
    const bool changes_release = c.kind == CommandKind::kChange || c.kind == CommandKind::kRollBack;
    if (reply.accepted && changes_release && acted) {
      if (command.command.epoch < highest_executed_epoch_)
        AddViolation(fmt::format("a command of epoch {} was executed at {} after one of epoch {}",
                                 command.command.epoch, node.name, highest_executed_epoch_));
      highest_executed_epoch_ = std::max(highest_executed_epoch_, command.command.epoch);
    }
    reply.status.metrics = node.last_metrics;
    reply.status.now = now_;
    if (reply.accepted && node.supervisor->state().epoch > epoch)
      reply.status.history.assign(node.history.begin(), node.history.end());
    if (spec_.accepts_any_epoch) reply.status.epoch = std::min(reply.status.epoch, command.command.epoch);
    if (fault_random_.Chance(spec_.message_loss)) return std::nullopt;  // the command was executed
    return reply;
  }

  void NewDriver() {
    std::uint64_t epoch = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!Unreachable(i) && !nodes_[i]->supervisor_down && !fault_random_.Chance(spec_.message_loss))
        epoch = std::max(epoch, nodes_[i]->supervisor->Status().epoch);
    }
    DriverRun run;
    Plan plan = plan_;
    if (spec_.ignores_max_concurrent) {
      for (Stage& stage : plan.stages) stage.max_concurrent = 100;
    }
    run.driver = std::make_unique<Driver>(plan, epoch + 1, fmt::format("d{}", ++result_.drivers),
                                          spec_.no_lease ? 0 : kLease * 12 / 10);
    run.next_round = now_;
    driver_runs_.push_back(std::move(run));
  }

  void RunDrivers() {
    if (spec_.concurrent_drivers && now_ % (20 * kSecond) == 0) NewDriver();
    bool alive = false;
    for (std::size_t i = 0; i < driver_runs_.size(); ++i) {
      if (!driver_runs_[i].ended) RunDriver(driver_runs_[i]);
      alive = alive || !driver_runs_[i].ended;
    }
    std::erase_if(driver_runs_, [](const DriverRun& run) { return run.ended; });
    if (!alive && !finished_ && next_driver_at_ < 0)
      next_driver_at_ = now_ + kSecond + static_cast<Time>(fault_random_.Below(4'000'000));
    if (next_driver_at_ >= 0 && now_ >= next_driver_at_) {
      next_driver_at_ = -1;
      NewDriver();
    }
  }

  // Returns true if the driver was killed.
  bool KillAtRandom(DriverRun& run) {
    if (!fault_random_.Chance(spec_.driver_kill_probability)) return false;
    run.ended = true;
    return true;
  }

  void RunDriver(DriverRun& run) {
    if (run.paused_until >= 0) {
      if (now_ < run.paused_until) return;
      run.paused_until = -1;  // goes on with the commands that it had not sent before the pause
    } else {
      if (now_ < run.next_round) return;
      run.next_round = now_ + kRoundInterval;
      std::map<std::string, SupervisorResponse> responses;
      for (const PlanNode& n : plan_.nodes) {
        if (KillAtRandom(run)) return;
        const auto reply = Send({n.name, run.driver->MakeClaim()});
        if (!reply) continue;
        responses[n.name] = {reply->status, reply->accepted};
        if (!reply->accepted) run.driver->OnRejected(reply->reason);
      }
      if (!run.driver->ended()) {
        const std::vector<NodeCommand> commands = run.driver->RunRound(now_, responses);
        // Directives are sent first, as by the real driver.
        for (const bool directives : {true, false}) {
          for (const NodeCommand& c : commands) {
            if ((c.command.kind == CommandKind::kSetDirective) == directives)
              run.unsent_commands.push_back(c);
          }
        }
      }
      ApplyThreshold(run);
      if (fault_random_.Chance(spec_.driver_pause_probability)) {
        run.paused_until = now_ + static_cast<Time>(spec_.driver_pause_seconds * 1e6);
        return;
      }
    }
    while (!run.unsent_commands.empty()) {
      if (KillAtRandom(run)) return;
      const NodeCommand command = run.unsent_commands.front();
      run.unsent_commands.pop_front();
      if (command.command.kind == CommandKind::kSetDirective && command.command.directive == "back" &&
          result_.stopped_at < 0) {
        result_.stopped_at = SecondsSinceStart();
        result_.stopped_stage = run.driver->stage() + 1;
        result_.stop_reason = command.command.directive_reason;
      }
      const auto reply = Send(command);
      if (reply && !reply->accepted) run.driver->OnRejected(reply->reason);
    }
    switch (run.driver->state()) {
      case RolloutState::kCompleted:
      case RolloutState::kRolledBack:
        finished_ = true;
        result_.end = run.driver->state() == RolloutState::kCompleted ? "done" : "back";
        break;
      case RolloutState::kPaused:
        // In production an operator would look at it. Here the run ends, unless the rollout leaves the pause
        // within kPauseTimeout or a partition still lasts.
        if (paused_since_ < 0) paused_since_ = now_;
        if (now_ - paused_since_ > kPauseTimeout &&
            SecondsSinceStart() > spec_.partition_at + spec_.partition_seconds) {
          result_.end = "paused: " + run.driver->reason();
          finished_ = true;
        }
        break;
      case RolloutState::kSuperseded:
        run.ended = true;
        break;
      default:
        paused_since_ = -1;
    }
  }

  // StopRule::kThreshold: rolls back once the new release has concluded 100 requests and more than 5% of
  // them have failed or were rejected.
  void ApplyThreshold(DriverRun& run) {
    if (spec_.rule != StopRule::kThreshold || run.driver->ended()) return;
    double bad = 0, n = 0;
    for (const auto& node : nodes_) {
      if (!node->last_metrics) continue;
      const auto at = node->processes.find(node->supervisor->current());
      if (at == node->processes.end() || at->second.release.id != "new") continue;
      for (const auto& [cls, c] : node->last_metrics->classes)
        n += static_cast<double>(c.concluded()), bad += static_cast<double>(c.failed + c.rejected);
    }
    if (n >= 100 && bad / n > 0.05)
      run.driver->SetDirective("back", fmt::format("{:.3f} of requests bad", bad / n));
  }

  // ---- Invariants ----

  void CheckInvariants() {
    std::size_t changing = 0;
    for (const auto& node : nodes_) {
      if (node->lost) continue;
      const SupervisorState& state = node->saved_state;
      if (state.last_good.program.empty()) AddViolation(node->name + " has no last good release");
      if (state.active.program.empty()) AddViolation(node->name + " has no active release");
      if (state.pending && state.pending->id == "new") ++changing;
      std::size_t living = 0;
      for (const auto& [number, p] : node->processes) {
        living += p.terminating ? 0 : 1;
        if (p.release.id == "new" && p.ready) exposed_nodes_.insert(node->name);
      }
      if (living > 2)
        AddViolation(fmt::format("{} has {} running processes, at most 2 allowed", node->name, living));
    }
    const std::size_t allowed = spec_.rule == StopRule::kAllAtOnce ? nodes_.size() : spec_.max_concurrent;
    if (changing > allowed)
      AddViolation(fmt::format("{} nodes are changing at once, {} allowed", changing, allowed));
  }

  void Finish() {
    result_.seconds = SecondsSinceStart();
    result_.exposed_nodes = exposed_nodes_.size();
    if (result_.end.empty()) result_.end = "unfinished";
    const bool ended = result_.end == "done" || result_.end == "back" || result_.end.starts_with("paused: ");
    if (!ended) AddViolation(fmt::format("the rollout did not end within {} s", spec_.max_seconds));
    if (result_.end == "back") {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const SimulatedNode& node = *nodes_[i];
        if (node.lost || node.supervisor_down || Unreachable(i)) continue;
        if (node.saved_state.active.id == "new" && node.saved_state.last_good.id != "new")
          AddViolation("the rollback did not reach " + node.name);
      }
    }
    if (result_.end == "done") {
      std::size_t unchanged = 0;
      for (const auto& node : nodes_)
        unchanged += !node->lost && node->saved_state.active.id != "new" ? 1 : 0;
      if (unchanged > plan_.max_skipped)
        AddViolation(fmt::format("the rollout is done, but {} nodes do not run the release, {} allowed",
                                 unchanged, plan_.max_skipped));
    }
  }

  SimulationSpec spec_;
  Plan plan_;
  RandomStream traffic_random_, fault_random_, node_random_;
  NodeSimulator node_simulator_;
  Time now_ = 0, started_at_ = 0;
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
  std::deque<DriverRun> driver_runs_;
  std::uint64_t highest_executed_epoch_ = 0;
  Time next_driver_at_ = -1, paused_since_ = -1;
  bool finished_ = false;
  std::set<std::string> exposed_nodes_;
  SimulationResult result_;
};

}  // namespace

SimulationResult RunSimulation(const SimulationSpec& spec) { return Simulation(spec).Run(); }

SimulationTotals RunSimulations(SimulationSpec spec, int runs, int workers) {
  SimulationTotals totals;
  std::mutex mutex;
  std::atomic<int> next{0};
  const auto work = [&] {
    for (int i = next++; i < runs; i = next++) {
      SimulationSpec s = spec;
      s.seed = spec.seed + static_cast<std::uint64_t>(i);
      const SimulationResult result = RunSimulation(s);
      const std::lock_guard<std::mutex> lock(mutex);
      ++totals.runs;
      if (result.end == "done") ++totals.done;
      if (result.stopped_at >= 0) ++totals.stopped;
      if (result.end != "done" && result.stopped_at < 0) ++totals.other;
      if (result.stopped_at >= 0 && result.stopped_stage <= 1) ++totals.stopped_in_first_stage;
      totals.exposed_nodes += static_cast<double>(result.exposed_nodes);
      totals.exposed_requests += result.exposed_requests;
      totals.worth_lost += result.worth_lost;
      totals.worth += result.worth;
      totals.seconds += result.seconds;
      if (result.end != "done")
        totals.ends.push_back(fmt::format("seed {}: {}{}", s.seed, result.end,
                                          result.stop_reason.empty() ? "" : ": " + result.stop_reason));
      for (const std::string& violation : result.violations)
        totals.violations.push_back(fmt::format("seed {}: {}", s.seed, violation));
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < std::max(1, workers); ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  return totals;
}

}  // namespace ryeglade::rollout_lab
