// The state machine of a node's supervisor. It decides which release the node runs, when a new one becomes
// active, when it is rolled back, and whose commands are accepted. No I/O, no clock. The same class runs in
// `ryeglade keep`, in tests and in the lab's explorer.
//
// A change starts the new release beside the old one; the two processes hand over by hot restart. Once the
// new process is ready the old one is terminated. A new process that ends or is not ready in time is started
// again up to a limit; after that the change is abandoned, and the old process has served throughout. A
// release that became active and then crash-loops before it was confirmed is replaced by the last good one,
// without a command.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rollout/release_model.h"

namespace ryeglade::rollout {

using Time = std::int64_t;  // microseconds; never steps back

// Times are in microseconds.
struct SupervisorLimits {
  Time ready_timeout = 10'000'000;  // from the start of a process until it is ready
  Time stop_timeout = 15'000'000;   // from SIGTERM to SIGKILL
  Time lease = 10'000'000;          // time after a claim for which commands are accepted
  Time crash_window = 60'000'000;   // crashes no longer count after this long without one
  Time initial_backoff = 200'000;   // wait before a restart, doubled with each further failure
  Time max_backoff = 10'000'000;    // longest wait before a restart
  int max_attempts = 3;  // a release is given up after this many failed starts, or crashes while it is active
};

// A process that may outlive its supervisor. The start time distinguishes it from a later process with the
// same pid.
struct ProcessRecord {
  std::int64_t pid = 0;           // 0: none
  std::uint64_t start_ticks = 0;  // kernel clock ticks since boot
  std::string management;         // ip:port of its management address
};

// The state that each SupervisorEffect::Kind::kSaveState writes to disk as a whole.
struct SupervisorState {
  // These have the same meaning as the fields of SupervisorStatus.
  std::uint64_t epoch = 0;
  std::string driver, plan, directive, directive_reason;
  std::uint64_t directive_number = 0;
  Release active, last_good;
  std::optional<Release> pending;              // the release that a change under way leads to
  std::string failed_release, failure_reason;  // id of the last release that failed, and why
  // The process of the active release, the one that is to replace it, and one that was told to stop.
  ProcessRecord current, next, stopping;
};
// Returns the text of the state file.
std::string EncodeSupervisorState(const SupervisorState& state);
// Returns nullopt if the text is not a state file of this version.
std::optional<SupervisorState> DecodeSupervisorState(const std::string& text);

// Something that the caller must do. Effects are to be carried out in order.
struct SupervisorEffect {
  enum class Kind : std::uint8_t { kStartProcess, kTerminateProcess, kKillProcess, kSaveState };
  Kind kind = Kind::kSaveState;
  int process = 0;  // number that the supervisor gave the process; 0 for kSaveState
  Release release;  // for kStartProcess only
};
using SupervisorEffects = std::vector<SupervisorEffect>;

class Supervisor {
 public:
  // Numbers of the processes in the state, which an earlier supervisor started.
  static constexpr int kRecoveredCurrent = 1, kRecoveredNext = 2, kRecoveredStopping = 3;

  Supervisor(std::string node, std::string zone, SupervisorLimits limits, SupervisorState state);

  // To be called first. Says which of the processes in the state are still alive.
  void Recover(Time now, bool current_lives, bool next_lives, bool stopping_lives,
               SupervisorEffects& effects);
  // Executes a driver's command or rejects it. The reply must be sent after the effects have been carried
  // out.
  CommandReply HandleCommand(Time now, const SupervisorCommand& command, SupervisorEffects& effects);
  // To be called once a process has been started for kStartProcess; `process` is its number.
  void OnProcessStarted(int process, const ProcessRecord& record, SupervisorEffects& effects);
  // To be called when a process first reports that it is ready.
  void OnProcessReady(Time now, int process, SupervisorEffects& effects);
  // `reason` gives the exit code or signal in words, or why the process could not be started.
  void OnProcessEnded(Time now, int process, const std::string& reason, SupervisorEffects& effects);
  // To be called at short intervals: enforces the timeouts, and starts processes whose backoff is over.
  void OnTick(Time now, SupervisorEffects& effects);
  // Stops the node. The supervisor may end once has_shut_down() is true.
  void ShutDown(Time now, SupervisorEffects& effects);
  bool has_shut_down() const { return shutting_down_ && current_ == 0 && next_ == 0 && stopping_ == 0; }

  SupervisorStatus Status() const;
  const SupervisorState& state() const { return state_; }
  // Numbers of the process of the active release and of the one that is to replace it; 0: none.
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
  SupervisorState state_;                      // as it is to be saved
  int last_process_ = kRecoveredStopping;      // the highest number given to a process
  int current_ = 0, next_ = 0, stopping_ = 0;  // numbers of processes; 0: none
  bool current_ready_ = false;
  // When the current process was started or became current, when the next one was started, and when the
  // stopping one was last sent a signal.
  Time current_since_ = 0, next_since_ = 0, stopping_since_ = 0;
  Time restart_current_at_ = -1, restart_next_at_ = -1;  // -1: no restart is due
  int next_attempts_ = 0;                                // failed starts of the pending release
  int recent_crashes_ = 0;  // of the active release, each within crash_window of the one before
  int crashes_ = 0;         // of the active release since it became active
  Time crashed_at_ = 0;     // time of the last crash; 0: none
  // When this supervisor was last claimed; -1: not since it started. A claim before its restart gives no
  // lease.
  Time claimed_at_ = -1;
  bool shutting_down_ = false;
};

}  // namespace ryeglade::rollout
