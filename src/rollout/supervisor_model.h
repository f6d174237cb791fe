// The state machine of a node's supervisor: which release the node runs, when a new one takes over, when it
// is rolled back, and whose commands are accepted. No I/O, no clock. The same class runs in `ryeglade keep`,
// in tests and in the lab's explorer.
//
// A change starts the new release beside the old one; the two processes hand over by hot restart. Once the
// new process is ready the old one is terminated. A new process that ends or is not ready in time is started
// again up to a limit, and then the change is given up: the old process never stopped serving. A release that
// became active and then crash-loops before it was confirmed is replaced by the last good one, without a
// command.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rollout/release_model.h"

namespace ryeglade::rollout {

using Time = std::int64_t;  // microseconds, steady

struct SupervisorLimits {
  Time ready_timeout = 10'000'000;  // from the start of a process until it is ready
  Time stop_timeout = 15'000'000;   // from SIGTERM to SIGKILL
  Time lease = 10'000'000;          // a claim allows commands for so long
  Time crash_window = 60'000'000;   // crashes are forgotten after so long without one
  Time initial_backoff = 200'000;   // before a restart after a crash, doubling,
  Time max_backoff = 10'000'000;    // up to this
  int max_attempts = 3;             // starts of a new release, or crashes of the active one, before giving up
};

// A process that may outlive its supervisor. The start time tells it from a later process with its pid.
struct ProcessRecord {
  std::int64_t pid = 0;           // 0: none
  std::uint64_t start_ticks = 0;  // kernel clock ticks since boot
  std::string management;         // ip:port of its management address
};

// What is persisted, complete, at each SupervisorEffect::kSaveState.
struct SupervisorState {
  std::uint64_t epoch = 0;
  std::string driver, plan, directive, directive_reason;
  std::uint64_t directive_number = 0;
  Release active, last_good;
  std::optional<Release> pending;
  std::string failed_release, failure_reason;
  // The process of the active release, the one that is to replace it, and one that was told to stop.
  ProcessRecord current, next, stopping;
};
std::string EncodeSupervisorState(const SupervisorState& state);
// Null: not a state file of this version.
std::optional<SupervisorState> DecodeSupervisorState(const std::string& text);

// What the caller must do, in order.
struct SupervisorEffect {
  enum class Kind : std::uint8_t { kStartProcess, kTerminateProcess, kKillProcess, kSaveState };
  Kind kind = Kind::kSaveState;
  int process = 0;  // the supervisor's own number for it
  Release release;  // kStartProcess
};
using SupervisorEffects = std::vector<SupervisorEffect>;

class Supervisor {
 public:
  // The numbers of processes that an earlier supervisor started.
  static constexpr int kRecoveredCurrent = 1, kRecoveredNext = 2, kRecoveredStopping = 3;

  Supervisor(std::string node, std::string zone, SupervisorLimits limits, SupervisorState state);

  // To be called first, with those of the state's processes that still live.
  void Recover(Time now, bool current_lives, bool next_lives, bool stopping_lives,
               SupervisorEffects& effects);
  CommandReply HandleCommand(Time now, const SupervisorCommand& command, SupervisorEffects& effects);
  void OnProcessStarted(int process, const ProcessRecord& record, SupervisorEffects& effects);
  void OnProcessReady(Time now, int process, SupervisorEffects& effects);
  // `reason`: the exit code or signal, in words.
  void OnProcessEnded(Time now, int process, const std::string& reason, SupervisorEffects& effects);
  void OnTick(Time now, SupervisorEffects& effects);
  // Stops the node and then the supervisor itself, which is done once has_shut_down().
  void ShutDown(Time now, SupervisorEffects& effects);
  bool has_shut_down() const { return shutting_down_ && current_ == 0 && next_ == 0 && stopping_ == 0; }

  SupervisorStatus Status() const;
  const SupervisorState& state() const { return state_; }
  int current() const { return current_; }
  int next() const { return next_; }
  bool current_ready() const { return current_ready_; }
  NodePhase phase() const;

 private:
  int StartProcess(const Release& release, SupervisorEffects& effects);
  static void KillProcess(int process, SupervisorEffects& effects);
  static void Save(SupervisorEffects& effects);
  CommandReply Accept() const;
  CommandReply Reject(const char* reason) const;
  void Claim(Time now, const SupervisorCommand& command, SupervisorEffects& effects);
  bool HasLease(Time now, const SupervisorCommand& command) const;
  CommandReply ExecuteClaimed(Time now, const SupervisorCommand& command, SupervisorEffects& effects);
  CommandReply Change(Time now, const Release& release, SupervisorEffects& effects);
  CommandReply RollBack(Time now, SupervisorEffects& effects);
  CommandReply Confirm(const Release& release, SupervisorEffects& effects);
  void BeginChange(Time now, const Release& release, SupervisorEffects& effects);
  void AbandonChange(const std::string& reason, SupervisorEffects& effects);
  void OnNextEnded(Time now, const std::string& reason, SupervisorEffects& effects);
  void OnCurrentEnded(Time now, const std::string& reason, SupervisorEffects& effects);
  void KillIfNeverReady(Time now, int process, Time started_at, SupervisorEffects& effects);
  void MarkFailed(const std::string& release_id, const std::string& reason);
  Time Backoff(int failures) const;

  std::string node_, zone_;
  SupervisorLimits limits_;
  SupervisorState state_;
  int last_process_ = kRecoveredStopping;      // the highest number given to a process
  int current_ = 0, next_ = 0, stopping_ = 0;  // processes; 0: none
  bool current_ready_ = false;
  Time current_since_ = 0, next_since_ = 0, stopping_since_ = 0;
  Time restart_current_at_ = -1, restart_next_at_ = -1;  // -1: no restart is due
  int next_attempts_ = 0;                                // starts of the pending release that failed
  int recent_crashes_ = 0, crashes_ = 0;                 // of the active release; all since it became active
  Time crashed_at_ = 0;
  Time claimed_at_ = -1;  // by this supervisor's clock; a claim before its restart gives no lease. -1: none
  bool shutting_down_ = false;
};

}  // namespace ryeglade::rollout
