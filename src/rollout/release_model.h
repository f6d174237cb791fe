// A release, the status that a supervisor reports of its node, and the commands that a rollout's driver may
// send it, as JSON. A reader skips fields that it does not know. The JSON keys are older than the names here
// and stay as they are; release_model.cpp maps them. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/metrics_model.h"

namespace ryeglade::rollout {

inline constexpr int kProtocolVersion = 1;  // of these messages

// What a node runs. The digests are of the files' bytes: a file that has changed by the time it is to be
// started is rejected.
struct Release {
  std::string id;        // the operators' name for it
  std::string program;   // path
  std::string config;    // path of the platform's JSON; empty: the supervisor's own
  std::string settings;  // path of our TOML; empty: none
  std::string program_digest, config_digest, settings_digest;
  bool operator==(const Release&) const = default;
};

enum class NodePhase : std::uint8_t {
  kDown,      // no process runs
  kStarting,  // the process is not ready yet
  kRunning,
  kChanging,  // a process of another release has been started beside it
  kSettling,  // the process that was replaced has not ended yet
  kCount
};
const char* Name(NodePhase phase);

// Metrics that a supervisor sampled from its node; it keeps the last ones for a driver that comes later.
struct MetricsSample {
  std::string release_id;  // that was active then
  NodeMetrics metrics;
};

// What is to become of the rollout, as decided by an operator or a driver. Stored by every supervisor, so
// that a driver that takes over continues with it. An unknown one is stored and has no effect.
inline constexpr const char* kDirectivePause = "pause";
inline constexpr const char* kDirectiveResume = "resume";
inline constexpr const char* kDirectiveAbort = "abort";
inline constexpr const char* kDirectiveRollBack = "back";
inline constexpr const char* kDirectiveDone = "done";

// Why a release is not active (SupervisorStatus::failure_reason) though nothing is wrong with it. All other
// reasons are a process's exit code or signal, in words.
inline constexpr const char* kFailedSupervisorRestarted = "keeper-restarted";
inline constexpr const char* kFailedRolledBack = "taken-back";

struct SupervisorStatus {
  std::string node;
  std::uint64_t epoch = 0;  // the highest that has claimed this supervisor
  std::string driver;       // that claimed it,
  std::string plan;         // and the plan's text that it left here
  std::string directive;    // the last one set; empty: none
  std::uint64_t directive_number = 0;
  std::string directive_reason;
  NodePhase phase = NodePhase::kDown;
  Release active, last_good;
  std::string pending;         // release id: a change to it is under way
  std::string failed_release;  // id of the last one that could not be started, or was rolled back here
  std::string failure_reason;
  int crashes = 0;  // of the active release since it became active
  std::int64_t pid = 0;
  std::string zone;
  std::optional<NodeMetrics> metrics;
  std::int64_t now = 0;                // microseconds, by the clock of its metrics
  std::int64_t claimed_at = 0;         // last claim, by the supervisor's own clock; 0: not reported
  std::vector<MetricsSample> history;  // with the first claim of an epoch only; oldest first
};

enum class CommandKind : std::uint8_t {
  kClaim,         // the driver takes the supervisor for `epoch`, or renews its lease
  kChange,        // replace the active release by `release`
  kRollBack,      // return to the last good release
  kConfirm,       // the active release becomes the last good one
  kSetDirective,  // store `directive`
  kCount
};

// All kinds but kClaim need a claim of the same epoch that is not older than the lease.
struct SupervisorCommand {
  CommandKind kind = CommandKind::kClaim;
  std::uint64_t epoch = 0;
  std::string driver;
  std::string plan;  // kClaim: stored by the supervisor
  Release release;   // kChange, kConfirm
  std::string directive, directive_reason;
  // The `claimed_at` of the reply to the claim on which this command rests: a command that was in transit for
  // longer than the lease is rejected also by a supervisor that was claimed again meanwhile. 0: a driver that
  // does not send it.
  std::int64_t claimed_at = 0;
};

// Why a command was rejected, as it stands in CommandReply::reason. Besides, "unreadable: ..." with the text
// of an error.
inline constexpr const char* kRejectedShuttingDown = "ending";
inline constexpr const char* kRejectedStaleEpoch = "stale";
inline constexpr const char* kRejectedNotClaimed = "claim-first";
inline constexpr const char* kRejectedLeaseExpired = "lease";
inline constexpr const char* kRejectedBusy = "busy";
inline constexpr const char* kRejectedNoRelease = "no release";
inline constexpr const char* kRejectedFailedBefore = "failed-before";
inline constexpr const char* kRejectedUnknownKind = "unknown";

struct CommandReply {
  bool accepted = false;
  std::string reason;  // where rejected
  SupervisorStatus status;
};

// Each Decode... gives null for text that is not of its form.
std::string EncodeRelease(const Release& release);
std::optional<Release> DecodeRelease(const std::string& text);
std::string EncodeStatus(const SupervisorStatus& status);
std::optional<SupervisorStatus> DecodeStatus(const std::string& text);
std::string EncodeCommand(const SupervisorCommand& command);
std::optional<SupervisorCommand> DecodeCommand(const std::string& text);
std::string EncodeReply(const CommandReply& reply);
std::optional<CommandReply> DecodeReply(const std::string& text);

// Whether processes of an old and a new program can run side by side, by what `version --compat` of each
// prints. Empty: they can; else the reason why not.
std::string CompatibilityError(const std::string& old_compat, const std::string& new_compat);

}  // namespace ryeglade::rollout
