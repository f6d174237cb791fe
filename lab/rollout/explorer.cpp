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
constexpr Time kDriverWait = kLease * 12 / 10;  // of a new driver, between its claims and its first command
constexpr int kSupervisorRestartRounds = 2;     // from a supervisor's death to its restart
constexpr std::size_t kMaxDriverRuns = 6;  // in one execution; at this number no fault starts another driver
constexpr std::size_t kMaxPending = 64;    // executions queued for other workers
constexpr std::size_t kMaxViolations = 200;  // kept with their traces; further ones are only counted

// What happens to a message. kDelayed1, 3 and 5 arrive after that many rounds.
enum class Delivery : std::uint8_t { kDelivered, kLost, kReplyLost, kDelayed1, kDelayed3, kDelayed5 };
constexpr std::array<const char*, 6> kDeliveryNames{"", "lost", "answer-lost", "late-1", "late-3", "late-5"};

// Faults that are injected before a driver's next message or before a round.
enum class FaultKind : std::uint8_t {
  kDriverDies,
  kDriverPauses2,
  kDriverPauses6,
  kStopRequested,  // the driver is told to roll back
  kSupervisorDies,
  kNodeDies,
  kNewDriver,  // another driver starts with the same plan
  kNewPlan     // another driver starts with a plan of another release
};
constexpr std::array<const char*, 8> kFaultNames{"dies",        "pauses-2",  "pauses-6",   "stops",
                                                 "keeper-dies", "node-dies", "new-driver", "new-plan"};

struct DriverRun {
  Driver driver;
  int number = 0;
  bool second_plan = false;     // set if it drives the second plan
  bool finished = false;        // superseded or dead
  int paused = 0;               // remaining rounds
  bool round_done = false;      // set while it waits for the next round
  std::size_t claims_sent = 0;  // in this round
  std::map<std::string, SupervisorResponse> responses;
  std::vector<NodeCommand> commands;  // of this round that are still to be sent
  bool claims_done = false;           // set once it has sent its claims of this round
};

struct DelayedCommand {
  int rounds = 0;      // until it arrives
  std::size_t to = 0;  // index of the node
  SupervisorCommand command;
};

// The state of one execution of a rollout. A copy can be continued independently of the original.
class Execution {
 public:
  explicit Execution(const RolloutExploreOptions& options)
      : options_(&options), node_simulator_(RulesOf(options)), faults_left_(options.faults) {
    node_simulator_.now = kSecond;
    for (int i = 0; i < options.nodes; ++i) {
      SupervisedNode node;
      node.name = fmt::format("n{}", i);
      node.saved_state.active = node.saved_state.last_good = {"old", "/old", "", "", "", "", ""};
      nodes_.push_back(std::move(node));
    }
    for (SupervisedNode& node : nodes_) node_simulator_.StartSupervisor(node);
    AdvanceOneSecond();
    AdvanceOneSecond();
    NewDriver(false);
  }

  // A step that may come next. Without `begins_round`, the driver run sends its next message.
  struct Step {
    std::size_t driver_run = 0;
    std::optional<FaultKind> fault;  // injected before the round, or instead of the message
    Delivery delivery = Delivery::kDelivered;
    std::size_t node = 0;  // of kSupervisorDies and kNodeDies
    bool begins_round = false;
  };
  // Returns all steps that are possible in this state. The first is the one without a fault.
  std::vector<Step> NextSteps() const {
    std::vector<Step> all;
    bool driver_can_act = false;
    for (std::size_t i = 0; i < driver_runs_.size(); ++i) {
      const DriverRun& run = driver_runs_[i];
      if (run.finished || run.paused > 0 || run.round_done) continue;
      driver_can_act = true;
      all.push_back({i, std::nullopt, Delivery::kDelivered, 0, false});
      if (faults_left_ == 0) continue;
      for (const Delivery delivery : {Delivery::kLost, Delivery::kReplyLost})
        all.push_back({i, std::nullopt, delivery, 0, false});
      // A delayed claim is not explored: the driver does not wait for its reply, so it is like a lost one. A
      // delayed command may still be executed.
      if (run.claims_done) {
        for (const Delivery delivery : {Delivery::kDelayed1, Delivery::kDelayed3, Delivery::kDelayed5})
          all.push_back({i, std::nullopt, delivery, 0, false});
      }
      for (const FaultKind kind :
           {FaultKind::kDriverDies, FaultKind::kDriverPauses2, FaultKind::kDriverPauses6})
        all.push_back({i, kind, Delivery::kDelivered, 0, false});
    }
    if (driver_can_act) return all;
    all.push_back({0, std::nullopt, Delivery::kDelivered, 0, true});
    if (faults_left_ == 0) return all;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].supervisor_down)
        all.push_back({0, FaultKind::kSupervisorDies, Delivery::kDelivered, i, true});
      if (!nodes_[i].processes.empty())
        all.push_back({0, FaultKind::kNodeDies, Delivery::kDelivered, i, true});
    }
    bool driver_is_running = false;
    for (std::size_t i = 0; i < driver_runs_.size(); ++i) {
      const DriverRun& run = driver_runs_[i];
      driver_is_running = driver_is_running || !run.finished;
      if (!run.finished && run.paused == 0)
        all.push_back({i, FaultKind::kStopRequested, Delivery::kDelivered, 0, true});
    }
    if (driver_is_running && driver_runs_.size() < kMaxDriverRuns) {
      all.push_back({0, FaultKind::kNewDriver, Delivery::kDelivered, 0, true});
      if (!second_plan_) all.push_back({0, FaultKind::kNewPlan, Delivery::kDelivered, 0, true});
    }
    return all;
  }

  void Apply(const Step& step) {
    if (step.fault || step.delivery != Delivery::kDelivered) {
      --faults_left_;
      trace_ += fmt::format(" r{}:{}{}", round_,
                            step.fault ? kFaultNames[static_cast<std::size_t>(*step.fault)]
                                       : kDeliveryNames[static_cast<std::size_t>(step.delivery)],
                            DescribeTarget(step));
    }
    if (step.begins_round) {
      if (step.fault) InjectFault(step);
      BeginRound();
    } else if (step.fault) {
      InjectFault(step);
    } else {
      SendNext(step.driver_run, step.delivery);
    }
    Check();
  }

  bool finished() const { return !outcome_.empty() || violation_; }
  const std::string& outcome() const { return outcome_; }
  const std::optional<RolloutExploration::Violation>& violation() const { return violation_; }

  // Executions with the same fingerprint continue in the same way. It covers everything that later decisions
  // depend on, with times relative to now.
  std::uint64_t Fingerprint() const {
    std::string all = fmt::format("{} {} {} {} {}|", faults_left_, highest_executed_epoch_,
                                  rounds_without_driver_, second_plan_, nodes_killed_);
    for (const SupervisedNode& node : nodes_) {
      const SupervisorState& state = node.saved_state;
      all += fmt::format("{} {} {} {} {} {} {} {} {} {} {} {} {}", state.epoch, state.driver, state.directive,
                         state.directive_number, state.active.id, state.last_good.id,
                         state.pending ? state.pending->id : "-", state.failed_release, state.failure_reason,
                         node.supervisor_down ? node.supervisor_restart_at - node_simulator_.now : 0,
                         state.plan.size(), state.current.pid > 0, state.next.pid > 0);
      if (!node.supervisor_down) {
        const SupervisorStatus s = node.supervisor->Status();
        all += fmt::format(" {} {} {}", static_cast<int>(s.phase), s.crashes,
                           s.claimed_at == 0 ? -1 : std::min(node_simulator_.now - s.claimed_at, 2 * kLease));
        all += fmt::format(" {} {}", node.supervisor->current(), node.supervisor->next());
      }
      for (const auto& [number, process] : node.processes)
        all += fmt::format(" {}:{}{}{}{}{}", number, process.release.id, process.ready, process.terminating,
                           node_simulator_.now - process.started,
                           process.ends_at < 0 ? -1 : process.ends_at - node_simulator_.now);
      all += ";";
    }
    for (const DriverRun& run : driver_runs_) {
      if (run.finished) continue;
      all += fmt::format("p{} {} {} {} {} {} [", run.number, run.second_plan, run.paused, run.round_done,
                         run.claims_sent, run.claims_done);
      for (const auto& [name, v] : run.responses)
        all += fmt::format("{} {} {} {},", name, v.claimed, v.status->active.id, v.status->pending);
      for (const NodeCommand& node_command : run.commands)
        all += fmt::format(
            "{} {} {},", node_command.node, static_cast<int>(node_command.command.kind),
            node_command.command.claimed_at > 0 ? node_simulator_.now - node_command.command.claimed_at : -1);
      all += "]" + run.driver.StateFingerprint(node_simulator_.now) + ";";
    }
    for (const DelayedCommand& delayed : delayed_)
      all +=
          fmt::format("l{} {} {} {} {};", delayed.rounds, delayed.to, static_cast<int>(delayed.command.kind),
                      delayed.command.epoch,
                      delayed.command.claimed_at > 0 ? node_simulator_.now - delayed.command.claimed_at : -1);
    return XXH3_64bits(all.data(), all.size());
  }
  // Called if the execution has returned to an earlier state without a fault.
  void ReportCycle() {
    AddViolation("ends", "the execution returned to an earlier state without a fault, so it never ends");
  }

 private:
  static NodeSimulator::Rules RulesOf(const RolloutExploreOptions& options) {
    NodeSimulator::Rules rules;
    rules.limits.lease = options.variant == "no-lease" || options.variant == "hasty" ? Time{1} << 50 : kLease;
    rules.limits.ready_timeout = 3 * kSecond;
    rules.limits.stop_timeout = 3 * kSecond;
    rules.limits.crash_window = 1000 * kSecond;
    rules.limits.initial_backoff = kSecond;
    rules.stop_duration = kSecond;
    return rules;
  }
  bool HasVariant(const char* variant) const { return options_->variant == variant; }

  rollout::Plan PlanOf(bool second) const {
    rollout::Plan plan;
    plan.name = second ? "second" : "first";
    plan.text = second ? "plan two" : "plan 1";
    plan.release = {second ? "newer" : "new", second ? "/newer" : "/new", "", "", "", "", ""};
    for (std::size_t i = 0; i < nodes_.size(); ++i) plan.nodes.push_back({nodes_[i].name, "", ""});
    plan.stages.push_back({{nodes_[0].name}, kSecond, 0, 1});
    plan.stages.push_back({{}, kSecond, 0, 1});
    for (std::size_t i = 1; i < nodes_.size(); ++i) plan.stages.back().nodes.push_back(nodes_[i].name);
    if (HasVariant("greedy")) plan.stages.back().max_concurrent = nodes_.size();
    plan.unreachable_after = 8 * kSecond;
    plan.max_skipped = nodes_.size() > 2 ? 1 : 0;
    return plan;
  }

  void NewDriver(bool second) {
    std::uint64_t epoch = 0;
    for (const SupervisedNode& node : nodes_) {
      if (!node.supervisor_down) epoch = std::max(epoch, node.supervisor->Status().epoch);
    }
    const int number = ++driver_count_;
    driver_runs_.push_back({Driver(PlanOf(second), epoch + 1, fmt::format("d{}", number),
                                   HasVariant("no-lease") || HasVariant("hasty") ? 0 : kDriverWait),
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

  std::string DescribeTarget(const Step& step) const {
    if (step.begins_round && step.fault &&
        (*step.fault == FaultKind::kSupervisorDies || *step.fault == FaultKind::kNodeDies))
      return "(n" + std::to_string(step.node) + ")";
    const DriverRun& run = driver_runs_[step.driver_run];
    if (step.begins_round) return fmt::format("(d{})", run.number);
    const std::string to = !run.claims_done ? fmt::format("claim n{}", run.claims_sent)
                           : run.commands.empty()
                               ? "-"
                               : fmt::format("{} {}", static_cast<int>(run.commands.front().command.kind),
                                             run.commands.front().node);
    return fmt::format("(d{} {})", run.number, to);
  }

  void InjectFault(const Step& step) {
    switch (*step.fault) {
      case FaultKind::kDriverDies:
        driver_runs_[step.driver_run].finished = true;
        break;
      case FaultKind::kDriverPauses2:
        driver_runs_[step.driver_run].paused = 2;
        break;
      case FaultKind::kDriverPauses6:
        driver_runs_[step.driver_run].paused = 6;
        break;
      case FaultKind::kStopRequested:
        driver_runs_[step.driver_run].driver.SetDirective("back", "stopped");
        break;
      case FaultKind::kSupervisorDies: {
        SupervisedNode& node = nodes_[step.node];
        node.supervisor_down = true;
        node.supervisor_restart_at = node_simulator_.now + kSupervisorRestartRounds * kSecond;
        if (HasVariant("forgetful")) node.saved_state.last_good = {};
        break;
      }
      case FaultKind::kNodeDies: {
        SupervisedNode& node = nodes_[step.node];
        const auto at = std::find_if(node.processes.begin(), node.processes.end(), [](const auto& process) {
          return process.second.ready && !process.second.terminating;
        });
        if (at == node.processes.end()) break;
        const int number = at->first;
        node.processes.erase(at);
        nodes_killed_ |= 1U << step.node;
        if (!node.supervisor_down) node_simulator_.EndProcess(node, number);
        break;
      }
      case FaultKind::kNewDriver:
      case FaultKind::kNewPlan:
        second_plan_ = second_plan_ || *step.fault == FaultKind::kNewPlan;
        NewDriver(*step.fault == FaultKind::kNewPlan);
        break;
    }
  }

  // Sends the driver's next message. After its last claim the driver decides on the commands of the round.
  void SendNext(std::size_t number, Delivery delivery) {
    DriverRun& run = driver_runs_[number];
    if (!run.claims_done) {
      const std::size_t to = run.claims_sent++;
      NodeCommand claim{nodes_[to].name, run.driver.MakeClaim()};
      if (const auto reply = Send(to, claim.command, delivery)) {
        run.responses[claim.node] = {reply->status, reply->accepted};
        if (!reply->accepted) run.driver.OnRejected(reply->reason);
      }
      if (run.claims_sent < nodes_.size()) return;
      run.claims_done = true;
      if (!run.driver.ended()) {
        run.commands = run.driver.RunRound(node_simulator_.now, run.responses);
        std::stable_partition(run.commands.begin(), run.commands.end(), [](const NodeCommand& node_command) {
          return node_command.command.kind == CommandKind::kSetDirective;
        });
      }
    } else {
      const NodeCommand command = run.commands.front();
      run.commands.erase(run.commands.begin());
      const std::size_t to = static_cast<std::size_t>(std::stoul(command.node.substr(1)));
      const auto reply = Send(to, command.command, delivery);
      if (reply && !reply->accepted) run.driver.OnRejected(reply->reason);
    }
    // All commands of a round are sent, as by the real driver, even after a reply that rejects a stale epoch.
    if (!run.commands.empty()) return;
    run.round_done = true;
    if (run.driver.state() == RolloutState::kSuperseded) {
      run.finished = true;
    } else if (run.driver.ended() || run.driver.state() == RolloutState::kPaused) {
      End(run);
    }
  }

  std::optional<CommandReply> Send(std::size_t to, const SupervisorCommand& command, Delivery delivery) {
    switch (delivery) {
      case Delivery::kLost:
        return std::nullopt;
      case Delivery::kDelayed1:
      case Delivery::kDelayed3:
      case Delivery::kDelayed5:
        delayed_.push_back({delivery == Delivery::kDelayed1   ? 1
                            : delivery == Delivery::kDelayed3 ? 3
                                                              : 5,
                            to, command});
        return std::nullopt;
      case Delivery::kReplyLost:
        Deliver(to, command);
        return std::nullopt;
      case Delivery::kDelivered:
        break;
    }
    return Deliver(to, command);
  }

  std::optional<CommandReply> Deliver(std::size_t to, const SupervisorCommand& command) {
    SupervisedNode& node = nodes_[to];
    if (node.supervisor_down) return std::nullopt;
    SupervisorCommand delivered = command;
    if (HasVariant("no-token") || HasVariant("hasty")) delivered.claimed_at = 0;
    if (HasVariant("any-epoch")) {
      const SupervisorStatus s = node.supervisor->Status();
      if (delivered.epoch < s.epoch) delivered.epoch = s.epoch;
      if (delivered.epoch == s.epoch && s.epoch > 0) delivered.driver = s.driver;
    }
    std::vector<SupervisorEffect> effects;
    CommandReply reply = node.supervisor->HandleCommand(node_simulator_.now, delivered, effects);
    const bool executed =
        reply.accepted && !effects.empty() &&
        (delivered.kind == CommandKind::kChange || delivered.kind == CommandKind::kRollBack);
    node_simulator_.CarryOut(node, std::move(effects));
    if (executed) {
      if (command.epoch < highest_executed_epoch_)
        AddViolation("one-driver",
                     fmt::format("a command of epoch {} was executed at {} after one of epoch {}",
                                 command.epoch, node.name, highest_executed_epoch_));
      highest_executed_epoch_ = std::max(highest_executed_epoch_, command.epoch);
    }
    reply.status.metrics = NodeMetrics{};
    reply.status.metrics->pid = reply.status.pid;
    reply.status.now = node_simulator_.now;
    if (HasVariant("any-epoch")) reply.status.epoch = std::min(reply.status.epoch, command.epoch);
    return reply;
  }

  // Advances the clock by one second and lets supervisors and processes restart, become ready or end.
  void AdvanceOneSecond() {
    for (SupervisedNode& node : nodes_) {
      if (node.supervisor_down && node_simulator_.now >= node.supervisor_restart_at)
        node_simulator_.StartSupervisor(node);
      std::vector<int> ended;
      for (const auto& [number, process] : node.processes) {
        if (process.ends_at >= 0 && node_simulator_.now >= process.ends_at) ended.push_back(number);
      }
      for (const int number : ended) {
        node.processes.erase(number);
        if (!node.supervisor_down) node_simulator_.EndProcess(node, number);
      }
      if (node.supervisor_down) continue;
      for (auto& [number, process] : node.processes) {
        if (process.ready || node_simulator_.now - process.started < kSecond) continue;
        process.ready = true;
        std::vector<SupervisorEffect> effects;
        node.supervisor->OnProcessReady(node_simulator_.now, number, effects);
        node_simulator_.CarryOut(node, std::move(effects));
        break;
      }
      node_simulator_.TickSupervisor(node);
    }
    node_simulator_.EndUnstartedProcesses();
    node_simulator_.now += kSecond;
  }

  void BeginRound() {
    ++round_;
    AdvanceOneSecond();
    std::vector<DelayedCommand> due;
    for (DelayedCommand& delayed : delayed_) {
      if (--delayed.rounds <= 0) due.push_back(delayed);
    }
    std::erase_if(delayed_, [](const DelayedCommand& delayed) { return delayed.rounds <= 0; });
    for (const DelayedCommand& delayed : due) Deliver(delayed.to, delayed.command);
    bool driver_is_running = false;
    for (DriverRun& run : driver_runs_) {
      if (run.finished) continue;
      if (run.paused > 0) {
        --run.paused;
        continue;  // does not count as running, so another driver may be started
      }
      driver_is_running = true;
      if (!run.round_done) continue;
      run.round_done = run.claims_done = false;
      run.claims_sent = 0;
      run.responses.clear();
    }
    if (!driver_is_running && outcome_.empty()) {
      if (++rounds_without_driver_ >= 2) {
        rounds_without_driver_ = 0;
        NewDriver(second_plan_);
      }
    } else {
      rounds_without_driver_ = 0;
    }
    if (round_ > options_->rounds)
      AddViolation("ends", fmt::format("the execution did not end within {} rounds", options_->rounds));
  }

  void End(DriverRun& run) {
    switch (run.driver.state()) {
      case RolloutState::kCompleted:
        outcome_ = run.second_plan ? "second done" : "done";
        for (const SupervisedNode& node : nodes_) {
          if (node.saved_state.active.id != run.driver.plan().release.id &&
              run.driver.skipped_nodes().empty())
            AddViolation("all-changed",
                         node.name + " runs " + node.saved_state.active.id + " although the rollout is done");
        }
        break;
      case RolloutState::kRolledBack:
        outcome_ = "back";
        for (const SupervisedNode& node : nodes_) {
          if (node.supervisor_down || node.saved_state.active.id != run.driver.plan().release.id) continue;
          const auto skipped = run.driver.skipped_nodes();
          if (node.saved_state.last_good.id != node.saved_state.active.id &&
              std::find(skipped.begin(), skipped.end(), node.name) == skipped.end())
            AddViolation("stop-reaches", "the rollback did not reach " + node.name);
        }
        break;
      case RolloutState::kPaused:
        // An operator would continue it. The execution ends here.
        outcome_ = "paused: " + run.driver.reason();
        break;
      default:
        break;
    }
  }

  void Check() {
    std::size_t changing = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const SupervisedNode& node = nodes_[i];
      const SupervisorState& state = node.saved_state;
      if (state.last_good.program.empty())
        AddViolation("good-release", node.name + " has no last good release");
      if (state.active.program.empty()) AddViolation("good-release", node.name + " has no active release");
      if (state.pending && *state.pending != state.last_good) ++changing;
      std::size_t living = 0, serving = 0;
      for (const auto& [number, process] : node.processes) {
        // A killed process does not count as living.
        living +=
            process.terminating || (process.ends_at >= 0 && process.ends_at <= node_simulator_.now) ? 0 : 1;
        serving += process.ready && !process.terminating ? 1 : 0;
      }
      if (living > 2)
        AddViolation("two-processes",
                     fmt::format("{} has {} running processes, at most 2 allowed", node.name, living));
      if (serving == 0 && (nodes_killed_ >> i & 1U) == 0 && round_ > 0)
        AddViolation("serves", node.name + " has no serving process although none was killed");
    }
    if (changing > 1)
      AddViolation("at-once", fmt::format("{} nodes are changing at once, 1 allowed", changing));
  }

  void AddViolation(const char* invariant, const std::string& what) {
    if (!violation_) violation_ = RolloutExploration::Violation{invariant, what, trace_};
  }

  const RolloutExploreOptions* options_;
  NodeSimulator node_simulator_;
  int faults_left_;
  std::vector<SupervisedNode> nodes_;
  std::vector<DriverRun> driver_runs_;
  std::vector<DelayedCommand> delayed_;
  std::uint64_t highest_executed_epoch_ = 0;
  unsigned nodes_killed_ = 0;  // one bit for each node, set if a fault killed a process of it
  int round_ = 0, driver_count_ = 0, rounds_without_driver_ = 0;
  bool second_plan_ = false;
  std::string outcome_, trace_;
  std::optional<RolloutExploration::Violation> violation_;
};

// Depth-first search over all executions with several workers. A worker explores branches itself, and queues
// them for the others while the queue has room.
class Search {
 public:
  explicit Search(const RolloutExploreOptions& options) : options_(options) {}

  RolloutExploration Run() {
    pending_.push_back(Execution(options_));
    const int workers = options_.workers > 0
                            ? options_.workers
                            : std::max(1, static_cast<int>(std::thread::hardware_concurrency()));
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(workers));
    for (int i = 0; i < workers; ++i) threads.emplace_back([this] { RunWorker(); });
    for (std::thread& t : threads) t.join();
    result_.states = 0;
    for (const Shard& s : shards_) result_.states += s.fingerprints.size();
    return std::move(result_);
  }

 private:
  struct Shard {
    std::mutex mutex;
    std::unordered_set<std::uint64_t> fingerprints;
  };

  bool IsNewState(std::uint64_t fingerprint) {
    Shard& s = shards_[fingerprint % shards_.size()];
    const std::lock_guard<std::mutex> lock(s.mutex);
    return s.fingerprints.insert(fingerprint).second;
  }

  void RunWorker() {
    while (true) {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [&] { return !pending_.empty() || busy_workers_ == 0; });
      if (pending_.empty()) {
        changed_.notify_all();
        return;
      }
      Execution execution = std::move(pending_.back());
      pending_.pop_back();
      ++busy_workers_;
      lock.unlock();
      Counts counts;
      ExploreFrom(std::move(execution), counts);
      lock.lock();
      --busy_workers_;
      Merge(counts);
      changed_.notify_all();
    }
  }

  // Results of one worker that have not been merged yet.
  struct Counts {
    std::uint64_t steps = 0, executions = 0;
    std::map<std::string, std::uint64_t> ends;
    std::vector<RolloutExploration::Violation> violations;
  };

  // Follows the steps without a fault to the end of the execution, and explores each other step from a copy.
  void ExploreFrom(Execution execution, Counts& counts) {
    std::unordered_set<std::uint64_t> own;  // fingerprints since the last fault
    while (true) {
      if (execution.finished()) {
        ++counts.executions;
        if (execution.violation()) {
          counts.violations.push_back(*execution.violation());
        } else {
          ++counts.ends[execution.outcome().substr(0, 40)];
        }
        return;
      }
      const std::uint64_t fingerprint = execution.Fingerprint();
      if (!own.insert(fingerprint).second) execution.ReportCycle();
      if (execution.finished()) continue;
      if (!IsNewState(fingerprint)) return;
      const std::vector<Execution::Step> steps_from_here = execution.NextSteps();
      for (std::size_t i = 1; i < steps_from_here.size(); ++i) {
        Execution branch = execution;
        branch.Apply(steps_from_here[i]);
        ++counts.steps;
        if (QueueHasRoom()) {
          const std::lock_guard<std::mutex> lock(mutex_);
          pending_.push_back(std::move(branch));
          changed_.notify_one();
        } else {
          ExploreFrom(std::move(branch), counts);
        }
      }
      execution.Apply(steps_from_here.front());
      ++counts.steps;
    }
  }

  bool QueueHasRoom() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return pending_.size() < kMaxPending;
  }

  void Merge(const Counts& counts) {
    result_.steps += counts.steps;
    result_.executions += counts.executions;
    for (const auto& [outcome, n] : counts.ends) result_.ends[outcome] += n;
    for (const auto& violation : counts.violations) {
      ++result_.by_invariant[violation.invariant];
      if (result_.violations.size() < kMaxViolations) result_.violations.push_back(violation);
    }
  }

  const RolloutExploreOptions& options_;
  std::array<Shard, 64> shards_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Execution> pending_;
  int busy_workers_ = 0;
  RolloutExploration result_;
};

}  // namespace

RolloutExploration ExploreRollout(const RolloutExploreOptions& options) {
  static const std::set<std::string> known{"",       "any-epoch", "no-lease", "no-token",
                                           "greedy", "forgetful", "hasty"};
  if (!known.contains(options.variant))
    throw std::runtime_error(
        "unknown variant '" + options.variant +
        "'; the variants are any-epoch, no-lease, no-token, greedy, forgetful and hasty");
  if (options.nodes < 2 || options.nodes > 5)
    throw std::runtime_error("the number of nodes must be 2 to 5, but is " + std::to_string(options.nodes));
  return Search(options).Run();
}

}  // namespace ryeglade::rollout_lab
