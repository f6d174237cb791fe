// A release, what a keeper tells of its node, and what a driver may ask of a keeper, as JSON. Fields that a
// reader does not know are passed over. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/metrics_model.h"

namespace ryeglade::rollout {

inline constexpr int kProtocol = 1;  // of these messages

// What a node runs. The sums are of the files' bytes: a file that is another one by the time it is started is
// refused.
struct Release {
  std::string id;        // a word people know it by
  std::string program;   // path
  std::string config;    // path of the platform's JSON; empty: the keeper's own
  std::string settings;  // path of our TOML; empty: none
  std::string program_sum, config_sum, settings_sum;
  bool operator==(const Release&) const = default;
};

// kFailed: the last change did not come about, and what ran before runs on.
enum class Phase : std::uint8_t { kDown, kStarting, kRunning, kChanging, kSettling, kCount };
const char* Name(Phase phase);

// What a keeper saw of its node before a driver came: so that a new driver does not begin from nothing.
struct Past {
  std::string release;
  Figures figures;
};

struct KeeperStatus {
  std::string node;
  std::uint64_t epoch = 0;   // the highest that has claimed this keeper
  std::string driver, plan;  // who claimed it, and the plan's text it left here
  std::string mark;  // what was last said of the rollout: "", "pause", "resume", "abort", "back", "done"
  std::uint64_t mark_number = 0;
  std::string why;  // of the mark
  Phase phase = Phase::kDown;
  Release in_force, last_good;
  std::string trying;              // a change to that release is under way
  std::string failed, failed_why;  // the last change that did not come about, or was taken back here
  int crashes = 0;                 // of the release in force since it was put in force
  std::int64_t pid = 0;
  std::string zone;
  std::optional<Figures> figures;
  std::int64_t now = 0;       // microseconds, by the clock of its figures
  std::int64_t claimed = 0;   // when it was last claimed, by the keeper's own clock; 0: not told
  std::vector<Past> history;  // with the first claim of an epoch only; oldest first
};

struct Command {
  // kClaim: a driver takes the keeper for `epoch`, or renews. The others need a claim of the same epoch that
  // is not older than the lease. kConfirm: the release in force becomes the last good one.
  enum class What : std::uint8_t { kClaim, kChange, kBack, kConfirm, kMark, kCount } what = What::kClaim;
  std::uint64_t epoch = 0;
  std::string driver;
  std::string plan;  // with a claim: kept by the keeper
  Release release;   // kChange
  std::string mark, why;
  // What the keeper said as `claimed` when the claim was answered on which this rests: so a command that was
  // on its way for longer than the lease is refused also by a keeper that was claimed again meanwhile. 0: a
  // driver that does not tell.
  std::int64_t claim = 0;
};

struct Reply {
  bool yes = false;
  std::string why;  // where no: "stale", "lease", "busy", "failed-before", "unreadable ..."
  KeeperStatus status;
};

std::string EncodeRelease(const Release& r);
std::optional<Release> DecodeRelease(const std::string& text);
std::string EncodeStatus(const KeeperStatus& s);
std::optional<KeeperStatus> DecodeStatus(const std::string& text);
std::string EncodeCommand(const Command& c);
std::optional<Command> DecodeCommand(const std::string& text);
std::string EncodeReply(const Reply& r);
std::optional<Reply> DecodeReply(const std::string& text);

// Whether an old and a new program can stand side by side, by what `version --compat` of each says. Empty:
// yes; else why not.
std::string CannotStandBeside(const std::string& old_compat, const std::string& new_compat);

}  // namespace ryeglade::rollout
