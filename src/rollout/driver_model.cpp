#include "rollout/driver_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ryeglade::rollout {
namespace {

// A node that runs the new release and reports no valid metrics for longer than this fails the release.
constexpr Time kMaxTimeWithoutMetrics = 20'000'000;  // microseconds
// Names used in records and on the operator's terminal, in the order of RolloutState.
constexpr const char* kStateNames[] = {"waiting", "stage", "soak",      "back",
                                       "paused",  "done",  "back-done", "over"};

bool MeansRollBack(const std::string& directive) {
  return directive == kDirectiveRollBack || directive == kDirectiveAbort;
}

}  // namespace

const char* Name(RolloutState state) { return kStateNames[static_cast<std::size_t>(state)]; }

Driver::Driver(Plan plan, std::uint64_t epoch, std::string driver, Time lease)
    : plan_(std::move(plan)),
      epoch_(epoch),
      driver_(std::move(driver)),
      lease_(lease),
      analysis_(plan_.thresholds) {
  for (std::size_t i = 0; i < plan_.nodes.size(); ++i) nodes_[plan_.nodes[i].name].plan_index = i;
  for (std::size_t s = 0; s < plan_.stages.size(); ++s) {
    for (const std::string& name : plan_.stages[s].nodes) nodes_[name].stage = s;
  }
}

SupervisorCommand Driver::MakeClaim() const {
  SupervisorCommand claim;
  claim.kind = CommandKind::kClaim;
  claim.epoch = epoch_;
  claim.driver = driver_;
  claim.plan = plan_.text;
  return claim;
}

NodeCommand Driver::CommandFor(const Node& node, CommandKind kind) const {
  NodeCommand to_node;
  to_node.node = plan_.nodes[node.plan_index].name;
  SupervisorCommand& command = to_node.command;
  command.kind = kind;
  command.epoch = epoch_;
  command.driver = driver_;
  command.claimed_at = node.status ? node.status->claimed_at : 0;
  if (kind == CommandKind::kChange || kind == CommandKind::kConfirm) command.release = ReleaseFor(node);
  return to_node;
}

// Returns the plan's release. Fields that the plan leaves empty are taken from the node's last good release.
Release Driver::ReleaseFor(const Node& node) const {
  Release release = plan_.release;
  if (!node.status) return release;
  const Release& last_good = node.status->last_good;
  if (release.program.empty()) release.program = last_good.program;
  if (release.config.empty()) release.config = last_good.config;
  if (release.settings.empty()) release.settings = last_good.settings;
  return release;
}

bool Driver::RunsNewRelease(const SupervisorStatus& status) const {
  return status.active.id == plan_.release.id;
}
bool Driver::IsUpdated(const Node& node) const {
  return node.status && RunsNewRelease(*node.status) && node.status->pending.empty() &&
         node.status->phase == NodePhase::kRunning;
}
bool Driver::IsOutdated(const Node& node) const {
  return node.status && !RunsNewRelease(*node.status) && node.status->pending.empty();
}
bool Driver::IsChanging(const Node& node) const {
  if (node.command_sent) return true;
  return node.status && !IsUpdated(node) && !IsOutdated(node);
}

// Returns a reason to roll back at once, whatever the canary analysis says, or nullopt.
std::optional<std::string> Driver::HardFailure(Time now, const Node& node) const {
  if (!node.status) return std::nullopt;
  const SupervisorStatus& status = *node.status;
  const bool release_not_at_fault =
      status.failure_reason == kFailedSupervisorRestarted || status.failure_reason == kFailedRolledBack;
  if (status.failed_release == plan_.release.id && !release_not_at_fault)
    return status.node + ": " + status.failure_reason;
  if (RunsNewRelease(status) && status.crashes > node.old_release_crashes)
    return fmt::format("{}: crashed {} times", status.node, status.crashes);
  if (node.no_metrics_since >= 0 && now - node.no_metrics_since > kMaxTimeWithoutMetrics)
    return fmt::format("{}: reported no valid metrics for more than {} s", status.node,
                       kMaxTimeWithoutMetrics / 1'000'000);
  return std::nullopt;
}

std::vector<std::string> Driver::skipped_nodes() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_) {
    if (node.skipped) names.push_back(name);
  }
  return names;
}

std::vector<std::string> Driver::deferred_nodes() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_) {
    if (node.absent_since >= 0 && !node.skipped) names.push_back(name);
  }
  return names;
}

std::string Driver::StateFingerprint(Time now) const {
  const auto ago = [&](Time at) { return at < 0 ? Time{-1} : now - at; };
  std::string text = fmt::format("{} {} {} {} {} {} {} {} {} {} {} {} {};", ago(view_in_doubt_since_), epoch_,
                                 static_cast<int>(state_), stage_, std::min(ago(first_majority_at_), lease_),
                                 history_analysed_, change_begun_, ago(soaking_since_), ago(waiting_since_),
                                 directive_.name, operator_directive_.name, directive_number_, reason_);
  for (const auto& [name, node] : nodes_) {
    text += fmt::format("{} {} {} {} {} {} {} {} {}", ago(node.absent_since), node.dead,
                        ago(node.first_polled_at) < plan_.unreachable_after, ago(node.answered_at),
                        node.skipped, ago(node.no_metrics_since), node.old_release_crashes, node.command_sent,
                        node.status.has_value());
    if (node.status) {
      const SupervisorStatus& status = *node.status;
      text += fmt::format(" {} {} {} {} {} {} {}", status.active.id, status.last_good.id, status.pending,
                          status.failed_release, status.failure_reason, status.crashes,
                          static_cast<int>(status.phase));
    }
    text += ";";
  }
  return text;
}

void Driver::SetDirective(std::string directive, std::string reason) {
  operator_directive_ = {std::move(directive), std::move(reason)};
}

void Driver::OnRejected(const std::string& reason) {
  if (reason != kRejectedStaleEpoch) return;
  state_ = RolloutState::kSuperseded;
  reason_ = "another driver has taken over";
}

// Stores a decision at the supervisors before it is acted on, so that a driver that takes over continues it.
void Driver::SendDirective(const std::string& name, const std::string& reason, Commands& commands) {
  directive_ = {name, reason};
  for (const auto& [node_name, node] : nodes_) {
    if (node.answered_at < 0 || node.skipped) continue;
    NodeCommand to_node = CommandFor(node, CommandKind::kSetDirective);
    to_node.command.directive = name;
    to_node.command.directive_reason = reason;
    commands.push_back(std::move(to_node));
  }
}

// ---- The answers of a round ----

// Sets which nodes count as absent or dead. A view that can't be trusted does not change that.
void Driver::UpdateFromClusterView(Time now, const ClusterView& view) {
  if (!view.trusted()) {
    if (view_in_doubt_since_ < 0) view_in_doubt_since_ = now;
    return;
  }
  view_in_doubt_since_ = -1;
  for (auto& [name, node] : nodes_) {
    node.dead = view.dead.contains(name);
    const bool absent = node.dead || view.suspect.contains(name);
    if (!absent) {
      node.absent_since = -1;
    } else if (node.absent_since < 0) {
      node.absent_since = now;
    }
  }
}

// Takes the status of each node that answered, and counts the claims that were accepted and the skipped
// nodes.
std::optional<Driver::RoundCounts> Driver::TakeResponses(
    Time now, const std::map<std::string, SupervisorResponse>& responses) {
  RoundCounts counts;
  for (auto& [name, node] : nodes_) {
    const auto response = responses.find(name);
    const bool answered = response != responses.end() && response->second.status.has_value();
    if (answered) {
      const SupervisorStatus& status = *response->second.status;
      if (status.epoch > epoch_) {
        OnRejected(kRejectedStaleEpoch);
        return std::nullopt;
      }
      TakeStatus(now, name, node, status);
      if (response->second.claimed) ++counts.claimed;
    }
    UpdateReachability(now, node, answered);
    if (node.skipped) ++counts.skipped;
  }
  changing_nodes_ = static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& n) {
    return !n.second.skipped && IsChanging(n.second);
  }));
  return counts;
}

void Driver::TakeStatus(Time now, const std::string& name, Node& node, const SupervisorStatus& status) {
  node.status = status;
  node.status->history.clear();
  node.answered_at = now;
  node.command_sent = false;  // this status is newer than the command
  TakeDirective(status);
  if (!RunsNewRelease(status)) node.old_release_crashes = std::max(node.old_release_crashes, status.crashes);
  if (!IsUpdated(node) || status.metrics) {
    node.no_metrics_since = -1;
  } else if (node.no_metrics_since < 0) {
    node.no_metrics_since = now;
  }
  const Time clock_offset = now - status.now;
  for (const MetricsSample& sample : status.history)
    node.history.emplace_back(clock_offset + sample.metrics.measured_at, sample);
  if (status.metrics && history_analysed_)
    analysis_.AddSample(now, name, plan_.nodes[node.plan_index].zone, RunsNewRelease(status),
                        *status.metrics);
}

// Adopts the newest directive that any supervisor has stored for this rollout. Of two with the same number,
// one that means a rollback wins.
void Driver::TakeDirective(const SupervisorStatus& status) {
  if (status.plan != plan_.text || status.directive_number == 0 || status.directive.empty()) return;
  const bool newer = status.directive_number > directive_number_;
  const bool stronger = MeansRollBack(status.directive) && directive_.name != status.directive &&
                        status.directive_number == directive_number_;
  if (!newer && !stronger) return;
  directive_number_ = status.directive_number;
  directive_ = {status.directive, status.directive_reason};
}

// A node whose supervisor does not answer and that is dead in the cluster view is skipped at once. One whose
// supervisor answers although it is absent from the cluster view is skipped after the same time as one whose
// supervisor does not answer.
void Driver::UpdateReachability(Time now, Node& node, bool answered) {
  if (node.first_polled_at < 0) node.first_polled_at = now;
  const Time silent = answered ? 0 : now - std::max(node.first_polled_at, node.answered_at);
  const Time absent = node.absent_since < 0 ? 0 : now - node.absent_since;
  node.skipped =
      silent > plan_.unreachable_after || (silent > 0 && node.dead) || absent > plan_.unreachable_after;
  if (node.skipped) node.command_sent = false;
}

// Returns whether the driver may send commands. Without a majority of claims it must not, because another
// driver may have claimed the other nodes.
bool Driver::MayAct(Time now, std::size_t claimed) {
  const std::size_t majority = plan_.nodes.size() / 2 + 1;
  if (claimed < majority) {
    if (state_ != RolloutState::kWaiting)
      reason_ = fmt::format("{} of {} keepers accepted the claim; a majority is needed", claimed,
                            plan_.nodes.size());
    state_ = RolloutState::kWaiting;
    return false;
  }
  if (first_majority_at_ < 0) first_majority_at_ = now;
  if (now - first_majority_at_ < lease_) {
    state_ = RolloutState::kWaiting;
    reason_ = "waiting for an earlier driver's lease to expire";
    return false;
  }
  return true;
}

// Returns the time of the first sample of the new release in the history, or -1 if there is none.
Time Driver::NewReleaseFirstSeen() const {
  Time first = -1;
  for (const auto& [name, node] : nodes_) {
    for (const auto& [at, sample] : node.history) {
      if (sample.release_id == plan_.release.id && (first < 0 || at < first)) first = at;
    }
  }
  return first;
}

// Adds the samples that the supervisors took before this driver started to the analysis. Samples before the
// first one of the new release are the environment's baseline.
void Driver::AnalyseHistory() {
  history_analysed_ = true;
  const Time first = NewReleaseFirstSeen();
  const auto add_samples = [&](bool of_baseline) {
    for (const auto& [name, node] : nodes_) {
      for (const auto& [at, sample] : node.history) {
        if ((first >= 0 && at < first) != of_baseline) continue;
        analysis_.AddSample(at, name, plan_.nodes[node.plan_index].zone,
                            sample.release_id == plan_.release.id, sample.metrics);
      }
    }
  };
  add_samples(true);
  if (first >= 0) {
    analysis_.StartComparison();
    change_begun_ = true;
  }
  add_samples(false);
  for (auto& [name, node] : nodes_) node.history.clear();
}

// ---- Actions ----

std::vector<NodeCommand> Driver::RunRound(Time now,
                                          const std::map<std::string, SupervisorResponse>& responses,
                                          const ClusterView* cluster_view) {
  if (ended()) return {};
  if (cluster_view != nullptr) UpdateFromClusterView(now, *cluster_view);
  const auto counts = TakeResponses(now, responses);
  if (!counts || !MayAct(now, counts->claimed)) return {};
  if (!history_analysed_) AnalyseHistory();
  Commands commands;
  if (!operator_directive_.name.empty()) {
    const Directive directive = std::exchange(operator_directive_, {});
    SendDirective(directive.name, directive.reason, commands);
  }
  if (MeansRollBack(directive_.name)) {
    RollBack(now, commands);
    return commands;
  }
  if (directive_.name == kDirectivePause) {
    state_ = RolloutState::kPaused;
    reason_ = directive_.reason;
    StopSoaking();
    return commands;
  }
  if (counts->skipped > plan_.max_skipped) {
    Pause(fmt::format("{} nodes are skipped, as they do not answer or are absent from the cluster view; "
                      "most_passed_over is {}",
                      counts->skipped, plan_.max_skipped),
          commands);
    return commands;
  }
  for (const auto& [name, node] : nodes_) {
    const auto failure = HardFailure(now, node);
    if (!failure) continue;
    SendDirective(kDirectiveRollBack, *failure, commands);
    RollBack(now, commands);
    return commands;
  }
  if (view_in_doubt_since_ >= 0 && cluster_view != nullptr) {
    WaitForTrustedView(now, *cluster_view, commands);
  } else {
    Advance(now, commands);
  }
  return commands;
}

// While no majority of the status addresses has a confident view, no change begins and nothing is analysed. A
// rollback is not held up: RunRound handles it first.
void Driver::WaitForTrustedView(Time now, const ClusterView& view, Commands& commands) {
  if (now - view_in_doubt_since_ > plan_.inconclusive_timeout)
    return Pause("the cluster view has been in doubt for longer than ask_after", commands);
  state_ = RolloutState::kWaiting;
  reason_ = fmt::format("{} of {} status addresses report a confident view; a majority is needed",
                        view.confident, view.polled);
  StopSoaking();
}

void Driver::Pause(const std::string& reason, Commands& commands) {
  SendDirective(kDirectivePause, reason, commands);
  state_ = RolloutState::kPaused;
  reason_ = reason;
  StopSoaking();
}

// Returns the index of the first stage with a node that is neither updated nor skipped; the number of stages
// if there is none.
std::size_t Driver::FirstUnfinishedStage() const {
  std::size_t stage = plan_.stages.size();
  for (const auto& [name, node] : nodes_) {
    if (!node.skipped && !IsUpdated(node)) stage = std::min(stage, node.stage);
  }
  return stage;
}

// Takes the next step of a rollout that is neither paused nor rolled back.
void Driver::Advance(Time now, Commands& commands) {
  const std::size_t stage = FirstUnfinishedStage();
  if (stage == plan_.stages.size()) {
    const std::size_t last = stage - 1;
    if (StagePasses(now, last, commands)) Complete(now, plan_.stages[last].soak, commands);
    return;
  }
  // A stage must pass its analysis before the next one begins. If an earlier driver has begun this stage, the
  // one before it has passed.
  const bool begun = std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& n) {
    return n.second.stage == stage && (IsUpdated(n.second) || IsChanging(n.second));
  });
  const bool may_change =
      !begun && stage > 0 ? StagePasses(now, stage - 1, commands) : PassesInterimAnalysis(now, commands);
  if (may_change) ChangeNodes(now, stage, commands);
}

// Evaluates the analysis also while a stage changes, so that a bad release gets no more nodes.
bool Driver::PassesInterimAnalysis(Time now, Commands& commands) {
  canary_result_ = analysis_.Evaluate(0);
  if (!ActOnVerdict(now, commands)) return false;
  StopSoaking();
  return true;
}

// Rolls back or pauses if the verdict asks for it. Returns whether the rollout may go on.
bool Driver::ActOnVerdict(Time now, Commands& commands) {
  switch (canary_result_.verdict) {
    case CanaryVerdict::kFail:
      SendDirective(kDirectiveRollBack, canary_result_.reason, commands);
      RollBack(now, commands);
      return false;
    case CanaryVerdict::kEnvironmentChanged:
      Pause("the environment changed: " + canary_result_.reason, commands);
      return false;
    default:
      return true;
  }
}

// Returns whether the stage has soaked for long enough and its analysis has passed.
bool Driver::StagePasses(Time now, std::size_t stage, Commands& commands) {
  const Stage& plan = plan_.stages[stage];
  state_ = RolloutState::kSoaking;
  stage_ = stage;
  if (soaking_since_ < 0) soaking_since_ = waiting_since_ = now;
  canary_result_ = analysis_.Evaluate(plan.min_requests);
  if (!ActOnVerdict(now, commands)) return false;
  if (canary_result_.verdict == CanaryVerdict::kInconclusive) {
    WaitForRequests(now, stage, commands);
    return false;
  }
  if (now - soaking_since_ < plan.soak) {
    reason_ = "soaking";
    return false;
  }
  StopSoaking();
  return true;
}

void Driver::WaitForRequests(Time now, std::size_t stage, Commands& commands) {
  const Stage& plan = plan_.stages[stage];
  if (now - waiting_since_ > std::max(plan.soak, plan_.inconclusive_timeout)) {
    Pause(fmt::format("no verdict after {} requests with the new release in stage {}, of at least {}: resume "
                      "to wait longer, or roll back",
                      canary_result_.new_requests, stage + 1, plan.min_requests),
          commands);
  } else {
    reason_ = fmt::format("{} of at least {} requests with the new release", canary_result_.new_requests,
                          plan.min_requests);
  }
}

// Called when the last stage has passed: the new release becomes the last good one of every node.
void Driver::Complete(Time now, Time soak, Commands& commands) {
  bool confirmed = true;
  for (const auto& [name, node] : nodes_) {
    if (node.skipped || (node.status && node.status->last_good.id == plan_.release.id)) continue;
    confirmed = false;
    commands.push_back(CommandFor(node, CommandKind::kConfirm));
  }
  if (!confirmed) {
    // The soak time is over. A start that far back lets the next round send the confirmations again, until
    // all nodes have confirmed.
    soaking_since_ = waiting_since_ = now - soak;
    return;
  }
  SendDirective(kDirectiveDone, "", commands);
  state_ = RolloutState::kCompleted;
  reason_.clear();
}

// Sends the command to change to the outdated nodes of the stage, up to the stage's limit of concurrent
// changes.
void Driver::ChangeNodes(Time now, std::size_t stage, Commands& commands) {
  state_ = RolloutState::kChanging;
  stage_ = stage;
  reason_.clear();
  for (const std::string& name : plan_.stages[stage].nodes) {
    if (changing_nodes_ >= plan_.stages[stage].max_concurrent) break;
    Node& node = nodes_.at(name);
    if (node.answered_at != now || !IsOutdated(node) || node.absent_since >= 0) continue;
    // What was sampled before the first change becomes the environment's baseline.
    if (!std::exchange(change_begun_, true)) analysis_.StartComparison();
    node.command_sent = true;
    ++changing_nodes_;
    commands.push_back(CommandFor(node, CommandKind::kChange));
  }
}

void Driver::RollBack(Time now, Commands& commands) {
  state_ = RolloutState::kRollingBack;
  reason_ = directive_.reason;
  RollBackNodes(now, commands);
  FinishRollBack();
}

// Sends commands to roll back: to every node on which the new release is still starting, and to as many
// others as the plan allows at a time.
void Driver::RollBackNodes(Time now, Commands& commands) {
  std::size_t rolling_back = 0;
  for (const auto& [name, node] : nodes_) {
    if (node.skipped || !node.status || IsOutdated(node)) continue;
    const std::string& pending = node.status->pending;
    if (node.command_sent || (!pending.empty() && pending != plan_.release.id)) ++rolling_back;
  }
  for (auto& [name, node] : nodes_) {
    if (node.answered_at != now || !node.status) continue;
    const SupervisorStatus& status = *node.status;
    if (status.pending == plan_.release.id) {
      // Abandoned at once and without a limit on their number: the new release does not serve there yet.
      node.command_sent = false;
      commands.push_back(CommandFor(node, CommandKind::kRollBack));
      continue;
    }
    const bool runs_new = RunsNewRelease(status) && status.pending.empty();
    const bool confirmed = status.last_good.id == plan_.release.id;  // there is nothing to roll back to
    if (!runs_new || confirmed || rolling_back >= plan_.rollback_concurrency) continue;
    ++rolling_back;
    node.command_sent = true;
    commands.push_back(CommandFor(node, CommandKind::kRollBack));
  }
}

// Ends the rollback once no node is left to roll back. Nodes that have already confirmed the new release keep
// it; the operator decides what to do about them.
void Driver::FinishRollBack() {
  bool any_left = false;
  bool only_confirmed_left = true;
  for (const auto& [name, node] : nodes_) {
    if (node.skipped || !node.status || IsOutdated(node)) continue;
    any_left = true;
    if (node.status->last_good.id != plan_.release.id) only_confirmed_left = false;
  }
  if (any_left && !only_confirmed_left) return;
  state_ = RolloutState::kRolledBack;
  if (any_left) reason_ += "; some nodes had confirmed the release and keep it";
}

}  // namespace ryeglade::rollout
