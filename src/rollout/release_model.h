// A release, the status that a supervisor reports of its node, and the commands that a rollout's driver may
// send to a supervisor, as JSON. A reader skips fields that it does not know. The JSON keys are older than
// the names here and don't change; release_model.cpp maps them. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/metrics_model.h"

namespace ryeglade::rollout {

inline constexpr int kProtocolVersion = 1;  // version of these messages

// What a node runs. The digests are those of the files' contents: if a file has changed by the time the
// release is to be started, the release is rejected.
struct Release {
  std::string id;        // the operators' name for the release
  std::string program;   // path
  std::string config;    // path of the platform's JSON; empty: that of the last good release
  std::string settings;  // path of the TOML settings; empty: none
  std::string program_digest, config_digest, settings_digest;  // from FileDigest; empty: not known
  bool operator==(const Release&) const = default;
};

// What a supervised node does.
enum class NodePhase : std::uint8_t {
  kDown,      // no process runs
  kStarting,  // the process is not ready yet
  kRunning,
  kChanging,  // a process of another release has been started beside it
  kSettling,  // the process that was replaced has not ended yet
  kCount
};
// Returns the name used on the wire and in tables.
const char* Name(NodePhase phase);

// Metrics that a supervisor sampled from its node. It keeps the latest samples for a driver that starts
// later.
struct MetricsSample {
  std::string release_id;  // the release that was active then
  NodeMetrics metrics;
};

// Directives: what an operator or a driver has decided about the rollout. Every supervisor stores the last
// one, so that a driver that takes over continues with it. An unknown directive is stored and has no effect.
inline constexpr const char* kDirectivePause = "pause";
inline constexpr const char* kDirectiveResume = "resume";
inline constexpr const char* kDirectiveAbort = "abort";
inline constexpr const char* kDirectiveRollBack = "back";
inline constexpr const char* kDirectiveDone = "done";

// Values of SupervisorStatus::failure_reason that do not blame the release: the supervisor was restarted
// during the change, or the release was rolled back by a command. All other reasons say how the release
// failed, for example its process's exit code or signal.
inline constexpr const char* kFailedSupervisorRestarted = "keeper-restarted";
inline constexpr const char* kFailedRolledBack = "taken-back";

// What a supervisor reports of itself and its node.
struct SupervisorStatus {
  std::string node;                    // its name
  std::uint64_t epoch = 0;             // the highest epoch that has claimed this supervisor
  std::string driver;                  // name of the driver that claimed it
  std::string plan;                    // text of that driver's plan
  std::string directive;               // the last one that was set; empty: none
  std::uint64_t directive_number = 0;  // how many directives were set in this rollout
  std::string directive_reason;        // text for operators, may be empty
  NodePhase phase = NodePhase::kDown;
  Release active, last_good;   // the release that the node runs, and the one that it is rolled back to
  std::string pending;         // id of the release that a change under way leads to; empty: none
  std::string failed_release;  // id of the last release that failed or was rolled back here
  std::string failure_reason;  // why; empty: no release failed
  int crashes = 0;             // of the active release since it became active
  std::int64_t pid = 0;        // of the active release's process; 0: none
  std::string zone;
  std::optional<NodeMetrics> metrics;  // of the active release's process; nullopt: not available
  std::int64_t now = 0;                // microseconds, on the same clock as the metrics
  std::int64_t claimed_at = 0;         // time of the last claim, on the same clock; 0: not reported
  std::vector<MetricsSample> history;  // oldest first; sent only in reply to the first claim of an epoch
};

enum class CommandKind : std::uint8_t {
  kClaim,         // the driver claims the supervisor for `epoch`, or renews its lease
  kChange,        // replace the active release by `release`
  kRollBack,      // return to the last good release
  kConfirm,       // the active release becomes the last good one
  kSetDirective,  // store `directive`
  kCount
};

// Every kind except kClaim needs a claim of the same epoch that is not older than the lease.
struct SupervisorCommand {
  CommandKind kind = CommandKind::kClaim;
  std::uint64_t epoch = 0;                  // of the driver that sends the command
  std::string driver;                       // name of that driver
  std::string plan;                         // for kClaim; the supervisor stores it
  Release release;                          // for kChange and kConfirm
  std::string directive, directive_reason;  // for kSetDirective
  // The `claimed_at` in the reply to the claim that allows this command. With it, a command that was in
  // transit for longer than the lease is rejected even if the supervisor was claimed again meanwhile. 0: the
  // driver does not send it.
  std::int64_t claimed_at = 0;
};

// Why a command was rejected, as given in CommandReply::reason. Another reason is "unreadable: ..." with the
// text of an error, if a file of the release can't be read or is not the expected one.
inline constexpr const char* kRejectedShuttingDown = "ending";
inline constexpr const char* kRejectedStaleEpoch = "stale";
inline constexpr const char* kRejectedNotClaimed = "claim-first";
inline constexpr const char* kRejectedLeaseExpired = "lease";
inline constexpr const char* kRejectedBusy = "busy";
inline constexpr const char* kRejectedNoRelease = "no release";
inline constexpr const char* kRejectedFailedBefore = "failed-before";
inline constexpr const char* kRejectedUnknownKind = "unknown";

// The answer to a SupervisorCommand.
struct CommandReply {
  bool accepted = false;
  std::string reason;       // why it was rejected; empty if accepted
  SupervisorStatus status;  // after the command
};

// JSON forms. Each Decode function returns nullopt if the text does not have the form that Encode gives it.
std::string EncodeRelease(const Release& release);
std::optional<Release> DecodeRelease(const std::string& text);
std::string EncodeStatus(const SupervisorStatus& status);
std::optional<SupervisorStatus> DecodeStatus(const std::string& text);
std::string EncodeCommand(const SupervisorCommand& command);
std::optional<SupervisorCommand> DecodeCommand(const std::string& text);
std::string EncodeReply(const CommandReply& reply);
std::optional<CommandReply> DecodeReply(const std::string& text);

// Compares what `version --compat` of an old and a new program printed. Returns why their processes can't run
// side by side, or an empty string if they can.
std::string CompatibilityError(const std::string& old_compat, const std::string& new_compat);

}  // namespace ryeglade::rollout
