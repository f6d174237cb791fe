#include "rollout/supervisor_model.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

namespace ryeglade::rollout {
namespace {

using nlohmann::json;

constexpr int kStateFormat = 1;
constexpr int kMaxBackoffDoublings = 10;

json ToJson(const ProcessRecord& record) {
  return {{"pid", record.pid}, {"ticks", record.start_ticks}, {"management", record.management}};
}

ProcessRecord ProcessRecordFrom(const json& state, const char* key) {
  const auto at = state.find(key);
  if (at == state.end()) return {};
  return {at->value("pid", std::int64_t{0}), at->value("ticks", std::uint64_t{0}),
          at->value("management", "")};
}

}  // namespace

// The keys of the state file are older than the names in SupervisorState, and are mapped only here and in
// DecodeSupervisorState.
std::string EncodeSupervisorState(const SupervisorState& state) {
  const json j = {{"format", kStateFormat},
                  {"epoch", state.epoch},
                  {"driver", state.driver},
                  {"plan", state.plan},
                  {"mark", state.directive},
                  {"why", state.directive_reason},
                  {"mark_number", state.directive_number},
                  {"in_force", EncodeRelease(state.active)},
                  {"last_good", EncodeRelease(state.last_good)},
                  {"trying", state.pending ? EncodeRelease(*state.pending) : ""},
                  {"failed", state.failed_release},
                  {"failed_why", state.failure_reason},
                  {"current", ToJson(state.current)},
                  {"next", ToJson(state.next)},
                  {"old", ToJson(state.stopping)}};
  return j.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::optional<SupervisorState> DecodeSupervisorState(const std::string& text) {
  try {
    const json j = json::parse(text);
    if (j.at("format").get<int>() != kStateFormat) return std::nullopt;
    const auto active = DecodeRelease(j.at("in_force").get<std::string>());
    const auto last_good = DecodeRelease(j.at("last_good").get<std::string>());
    if (!active || !last_good || active->program.empty() || last_good->program.empty()) return std::nullopt;
    SupervisorState state;
    state.epoch = j.at("epoch").get<std::uint64_t>();
    state.driver = j.value("driver", "");
    state.plan = j.value("plan", "");
    state.directive = j.value("mark", "");
    state.directive_reason = j.value("why", "");
    state.directive_number = j.value("mark_number", std::uint64_t{0});
    state.active = *active;
    state.last_good = *last_good;
    if (const std::string pending = j.value("trying", ""); !pending.empty())
      state.pending = DecodeRelease(pending);
    state.failed_release = j.value("failed", "");
    state.failure_reason = j.value("failed_why", "");
    state.current = ProcessRecordFrom(j, "current");
    state.next = ProcessRecordFrom(j, "next");
    state.stopping = ProcessRecordFrom(j, "old");
    return state;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Supervisor::Supervisor(std::string node, std::string zone, SupervisorLimits limits, SupervisorState state)
    : node_(std::move(node)), zone_(std::move(zone)), limits_(limits), state_(std::move(state)) {}

// Returns how long to wait before the next start after this many failures.
Time Supervisor::Backoff(int failures) const {
  const int doublings = std::clamp(failures - 1, 0, kMaxBackoffDoublings);
  return std::min(limits_.max_backoff, limits_.initial_backoff << doublings);
}

int Supervisor::StartProcess(const Release& release, SupervisorEffects& effects) {
  effects.push_back({SupervisorEffect::Kind::kStartProcess, ++last_process_, release});
  return last_process_;
}

void Supervisor::KillProcess(int process, SupervisorEffects& effects) {
  effects.push_back({SupervisorEffect::Kind::kKillProcess, process, {}});
}

void Supervisor::Save(SupervisorEffects& effects) {
  effects.push_back({SupervisorEffect::Kind::kSaveState, 0, {}});
}

void Supervisor::MarkFailed(const std::string& release_id, const std::string& reason) {
  state_.failed_release = release_id;
  state_.failure_reason = reason;
}

// A change that an earlier supervisor began is abandoned, because it is not known how far it got. A driver
// that still wants it sends the command again, and the old process resumes its clients by itself. If only the
// new process is alive, its release becomes the active one.
void Supervisor::Recover(Time now, bool current_lives, bool next_lives, bool stopping_lives,
                         SupervisorEffects& effects) {
  current_since_ = now;
  stopping_since_ = now;
  if (stopping_lives) {
    stopping_ = kRecoveredStopping;
  } else {
    state_.stopping = {};
  }
  if (state_.pending) {
    if (!current_lives && next_lives) {
      state_.active = *state_.pending;
      state_.current = std::exchange(state_.next, {});
      current_ = kRecoveredNext;
    } else {
      if (next_lives) KillProcess(kRecoveredNext, effects);
      state_.next = {};
      MarkFailed(state_.pending->id, kFailedSupervisorRestarted);
    }
    state_.pending.reset();
  }
  if (current_lives) current_ = kRecoveredCurrent;
  if (current_ == 0) {
    state_.current = {};
    current_ = StartProcess(state_.active, effects);
  }
  Save(effects);
}

CommandReply Supervisor::Accept() const { return {true, "", Status()}; }
CommandReply Supervisor::Reject(const char* reason) const { return {false, reason, Status()}; }

CommandReply Supervisor::HandleCommand(Time now, const SupervisorCommand& command,
                                       SupervisorEffects& effects) {
  if (shutting_down_) return Reject(kRejectedShuttingDown);
  const bool same_epoch_other_driver = command.epoch == state_.epoch && command.driver != state_.driver;
  if (command.epoch < state_.epoch || same_epoch_other_driver) return Reject(kRejectedStaleEpoch);
  if (command.kind == CommandKind::kClaim) {
    Claim(now, command, effects);
    return Accept();
  }
  if (command.epoch > state_.epoch) return Reject(kRejectedNotClaimed);
  if (!HasLease(now, command)) return Reject(kRejectedLeaseExpired);
  return ExecuteClaimed(now, command, effects);
}

void Supervisor::Claim(Time now, const SupervisorCommand& command, SupervisorEffects& effects) {
  claimed_at_ = now;
  const bool other_rollout = command.plan != state_.plan;
  if (command.epoch <= state_.epoch && !other_rollout) return;
  if (other_rollout) {  // directives and failures of the previous rollout no longer count
    state_.directive.clear();
    state_.directive_reason.clear();
    state_.directive_number = 0;
    MarkFailed("", "");
  }
  state_.epoch = command.epoch;
  state_.driver = command.driver;
  state_.plan = command.plan;
  Save(effects);
}

// Returns whether the command is within the lease of a claim. Guards against a driver that was paused or
// whose commands were in transit for a long time: another driver may be active by now.
bool Supervisor::HasLease(Time now, const SupervisorCommand& command) const {
  if (claimed_at_ < 0 || now - claimed_at_ > limits_.lease) return false;
  if (command.claimed_at <= 0) return true;  // the driver does not send it
  return command.claimed_at <= now && now - command.claimed_at <= limits_.lease;
}

CommandReply Supervisor::ExecuteClaimed(Time now, const SupervisorCommand& command,
                                        SupervisorEffects& effects) {
  switch (command.kind) {
    case CommandKind::kSetDirective:
      state_.directive = command.directive;
      state_.directive_reason = command.directive_reason;
      ++state_.directive_number;
      Save(effects);
      return Accept();
    case CommandKind::kConfirm:
      return Confirm(command.release, effects);
    case CommandKind::kRollBack:
      return RollBack(now, effects);
    case CommandKind::kChange:
      return Change(now, command.release, effects);
    default:
      return Reject(kRejectedUnknownKind);
  }
}

CommandReply Supervisor::Confirm(const Release& release, SupervisorEffects& effects) {
  if (state_.pending || state_.active.id != release.id) return Reject(kRejectedBusy);
  if (state_.last_good != state_.active) {
    state_.last_good = state_.active;
    Save(effects);
  }
  return Accept();
}

CommandReply Supervisor::RollBack(Time now, SupervisorEffects& effects) {
  const bool done = !state_.pending && state_.active == state_.last_good;
  const bool under_way = state_.pending && *state_.pending == state_.last_good;
  if (!done && !under_way) BeginChange(now, state_.last_good, effects);
  return Accept();
}

CommandReply Supervisor::Change(Time now, const Release& release, SupervisorEffects& effects) {
  if (release.id.empty() || release.program.empty()) return Reject(kRejectedNoRelease);
  if (state_.pending) return *state_.pending == release ? Accept() : Reject(kRejectedBusy);
  if (state_.active == release)
    return Accept();  // already done: the command was sent twice, or the reply was lost
  if (state_.failed_release == release.id && state_.failure_reason != kFailedSupervisorRestarted)
    return Reject(kRejectedFailedBefore);
  BeginChange(now, release, effects);
  return Accept();
}

// Abandons any change that is under way, then starts `release` beside the active one.
void Supervisor::BeginChange(Time now, const Release& release, SupervisorEffects& effects) {
  if (next_ != 0) {
    KillProcess(next_, effects);
    next_ = 0;
  }
  restart_next_at_ = -1;
  next_attempts_ = 0;
  if (release == state_.active) {  // a rollback before the new release became active
    if (state_.pending) MarkFailed(state_.pending->id, kFailedRolledBack);
    state_.pending.reset();
    Save(effects);
    return;
  }
  state_.pending = release;
  Save(effects);
  next_since_ = now;
  next_ = StartProcess(release, effects);
}

void Supervisor::OnProcessStarted(int process, const ProcessRecord& record, SupervisorEffects& effects) {
  if (process == 0 || (process != next_ && process != current_)) return;
  (process == next_ ? state_.next : state_.current) = record;
  Save(effects);
}

void Supervisor::OnProcessReady(Time now, int process, SupervisorEffects& effects) {
  if (process == current_) {
    current_ready_ = true;
    return;
  }
  if (process != next_ || process == 0 || !state_.pending) return;
  const bool rolling_back = *state_.pending == state_.last_good;
  if (rolling_back && state_.active.id != state_.last_good.id && state_.failed_release != state_.active.id)
    MarkFailed(state_.active.id, kFailedRolledBack);
  if (stopping_ != 0) KillProcess(stopping_, effects);  // a node has at most two processes
  stopping_ = current_;
  stopping_since_ = now;
  if (stopping_ != 0) effects.push_back({SupervisorEffect::Kind::kTerminateProcess, stopping_, {}});
  current_ = std::exchange(next_, 0);
  current_ready_ = true;
  current_since_ = now;
  restart_current_at_ = -1;
  state_.active = *state_.pending;
  state_.pending.reset();
  state_.stopping = std::exchange(state_.current, std::exchange(state_.next, {}));
  recent_crashes_ = 0;
  crashes_ = 0;
  next_attempts_ = 0;
  Save(effects);
}

void Supervisor::AbandonChange(const std::string& reason, SupervisorEffects& effects) {
  MarkFailed(state_.pending->id, reason);
  state_.pending.reset();
  restart_next_at_ = -1;
  next_attempts_ = 0;
  Save(effects);
}

void Supervisor::OnProcessEnded(Time now, int process, const std::string& reason,
                                SupervisorEffects& effects) {
  if (process == 0) return;
  if (process == stopping_) {
    stopping_ = 0;
    state_.stopping = {};
    Save(effects);
  } else if (process == next_) {
    OnNextEnded(now, reason, effects);
  } else if (process == current_) {
    OnCurrentEnded(now, reason, effects);
  }
}

void Supervisor::OnNextEnded(Time now, const std::string& reason, SupervisorEffects& effects) {
  next_ = 0;
  state_.next = {};
  if (!state_.pending || shutting_down_) return;
  if (++next_attempts_ >= limits_.max_attempts) return AbandonChange(reason, effects);
  restart_next_at_ = now + Backoff(next_attempts_);
}

void Supervisor::OnCurrentEnded(Time now, const std::string& reason, SupervisorEffects& effects) {
  current_ = 0;
  current_ready_ = false;
  state_.current = {};
  if (shutting_down_) return Save(effects);
  if (now - crashed_at_ > limits_.crash_window) recent_crashes_ = 0;
  crashed_at_ = now;
  ++recent_crashes_;
  ++crashes_;
  const bool crash_loops = recent_crashes_ >= limits_.max_attempts;
  if (crash_loops && state_.active != state_.last_good && next_ == 0) {
    MarkFailed(state_.active.id, "crashes: " + reason);
    state_.active = state_.last_good;
    recent_crashes_ = 0;
    crashes_ = 0;
    Save(effects);
    restart_current_at_ = now;
  } else {
    restart_current_at_ = now + (recent_crashes_ == 1 ? 0 : Backoff(recent_crashes_ - 1));
  }
  OnTick(now, effects);
}

// A process that is not ready within the limit is killed and treated like one that ended.
void Supervisor::KillIfNeverReady(Time now, int process, Time started_at, SupervisorEffects& effects) {
  if (process == 0 || now - started_at <= limits_.ready_timeout) return;
  KillProcess(process, effects);
  OnProcessEnded(now, process, "never-ready", effects);
}

void Supervisor::OnTick(Time now, SupervisorEffects& effects) {
  if (stopping_ != 0 && now - stopping_since_ > limits_.stop_timeout) {
    KillProcess(stopping_, effects);
    stopping_since_ = now;
  }
  if (shutting_down_) return;
  if (current_ == 0 && restart_current_at_ >= 0 && now >= restart_current_at_) {
    restart_current_at_ = -1;
    current_since_ = now;
    current_ = StartProcess(state_.active, effects);
  }
  if (!current_ready_) KillIfNeverReady(now, current_, current_since_, effects);
  KillIfNeverReady(now, next_, next_since_, effects);
  if (next_ == 0 && restart_next_at_ >= 0 && now >= restart_next_at_ && state_.pending) {
    restart_next_at_ = -1;
    next_since_ = now;
    next_ = StartProcess(*state_.pending, effects);
  }
}

void Supervisor::ShutDown(Time now, SupervisorEffects& effects) {
  if (shutting_down_) return;
  shutting_down_ = true;
  if (next_ != 0) KillProcess(next_, effects);
  next_ = 0;
  if (current_ != 0) effects.push_back({SupervisorEffect::Kind::kTerminateProcess, current_, {}});
  stopping_since_ = now;
  if (stopping_ != 0) KillProcess(stopping_, effects);
  stopping_ = std::exchange(current_, 0);
}

NodePhase Supervisor::phase() const {
  if (state_.pending) return NodePhase::kChanging;
  if (current_ == 0) return NodePhase::kDown;
  if (!current_ready_) return NodePhase::kStarting;
  return stopping_ != 0 ? NodePhase::kSettling : NodePhase::kRunning;
}

SupervisorStatus Supervisor::Status() const {
  SupervisorStatus status;
  status.node = node_;
  status.zone = zone_;
  status.epoch = state_.epoch;
  status.driver = state_.driver;
  status.plan = state_.plan;
  status.directive = state_.directive;
  status.directive_number = state_.directive_number;
  status.directive_reason = state_.directive_reason;
  status.phase = phase();
  status.active = state_.active;
  status.last_good = state_.last_good;
  status.pending = state_.pending ? state_.pending->id : "";
  status.failed_release = state_.failed_release;
  status.failure_reason = state_.failure_reason;
  status.crashes = crashes_;
  status.pid = state_.current.pid;
  status.claimed_at = std::max<Time>(0, claimed_at_);
  return status;
}

}  // namespace ryeglade::rollout
