// What one soak plays: an installation and its schedule of faults, all drawn from a seed. A plan can be
// written to a file, edited there and played again.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/soak/history_model.h"

namespace ryeglade::soak {

enum class FaultKind : std::uint8_t {
  // A node's process. `node` is meant.
  kTerm,         // SIGTERM; SIGKILL at the earliest moment that the pages allow; started again
  kTermTwice,    // the same with a second SIGTERM 0.1 s later
  kHup,          // SIGHUP with the same settings
  kHupSettings,  // SIGHUP with the other class table (deadlines and effects differ)
  kKill,         // SIGKILL out of nothing
  kStop,         // SIGSTOP for `lasts`
  kHotRestart,   // a second process of the node takes over, then SIGTERM to the first
  // A replica. `replica` is meant, for `lasts`, `share` of its requests.
  kHang,       // takes requests and says nothing
  kStall,      // stops in the middle of a stream
  kBreak,      // resets in the middle of a stream
  kReset,      // resets once it has the whole request
  kError,      // answers 500
  kReject,     // turns away unseen
  kSlow,       // first tokens take eight times as long
  kCloseIdle,  // closes idle connections all the time
  kDrain,      // wants nothing new for `lasts`, then is there again
  kRestart,    // vanishes for `lasts` and is back, just started, at the same address
  // The links between all nodes and `replica`.
  kLate,        // connections come up late
  kDelay,       // bytes come later
  kResetLinks,  // all connections are reset
  kResetUnder,  // requests are reset after their first bytes
  kTwice,       // answers come a second time, some milliseconds later
  // Discovery.
  kDark,
  kSilent,
  kSlowList,
  // Clients.
  kLeave,  // half of all clients leave at once
  kCount
};
const char* Name(FaultKind kind);

struct Fault {
  Time at = 0;
  FaultKind kind = FaultKind::kTerm;
  std::size_t node = 0, replica = 0;
  Time duration = 0;
  double share = 1;
};

struct PlannedReplica {
  int zone = 0, cell = 0;
  Time first_token = 20'000, per_token = 2'000;
  std::size_t tokens = 40;
};

// Shares of requests, 0 to 1.
struct Habits {
  double fresh = 0.2;        // closes its connection after the answer
  double leave = 0.05;       // goes away at any moment
  double half_close = 0.01;  // ends its sending and waits
  double partial = 0.01;     // stops in the middle of the request
  double pipeline = 0.02;    // writes a second request at once
  double slow_reader = 0.02;
  double little_time = 0.05;  // comes with 20 to 60 ms left
  Time think = 100'000;       // mean pause between requests; also after a refusal
};

struct Plan {
  std::uint64_t seed = 1;
  Time length = 40'000'000;
  std::size_t nodes = 3;
  int zones = 2;
  bool push = false;    // lists are pushed; else asked for
  bool resume = false;  // clients may ask for the rest of a stream
  int max_attempts = 3;
  Time connect_timeout = 500'000;
  Time idle_close = 3'000'000;
  std::size_t clients = 10;  // at each node
  std::size_t crowd = 0;     // idle connections at each node
  std::size_t sockets = 1024;
  std::vector<PlannedReplica> replicas;
  ClassTable classes, other_classes;  // the second one comes with SIGHUP
  Habits habits;
  std::vector<Fault> faults;  // by time
};

Plan MakePlan(std::uint64_t seed, Time length);
std::string PlanToJson(const Plan& plan);
// Throws std::runtime_error, which names the key and what it may be.
Plan ParsePlan(const std::string& text);
// Throws std::runtime_error for a word that is none.
FaultKind ParseFaultKind(const std::string& word);

}  // namespace ryeglade::soak
