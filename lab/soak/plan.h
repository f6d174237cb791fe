// The plan of one soak: an installation and its schedule of faults, all drawn from a seed. A plan can be
// written to a file, edited there and played again. All times are in microseconds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/soak/history_model.h"

namespace ryeglade::soak {

enum class FaultKind : std::uint8_t {
  // Faults of the process of `node`.
  kTerm,           // SIGTERM, SIGKILL at the earliest time that PROTOCOL allows, then a new start
  kTermTwice,      // the same, with a second SIGTERM 0.1 s after the first
  kHup,            // SIGHUP with the same settings
  kHupSettings,    // SIGHUP with the other class table (deadlines and effects differ)
  kKill,           // SIGKILL without SIGTERM
  kStop,           // SIGSTOP, and SIGCONT after `duration`
  kHotRestart,     // a second process of the node starts, then SIGTERM to the first
  kUpgrades,       // hot restarts one after another, for `duration`
  kOperatorCalls,  // an operator takes replicas out of use at `node` and back, for `duration`
  // Faults of `replica`, for `duration`; some affect only a `share` of its requests.
  kHang,       // accepts requests and sends nothing
  kStall,      // stops in the middle of a stream
  kBreak,      // resets the connection in the middle of a stream
  kReset,      // resets the connection when it has received the whole request
  kError,      // answers 500
  kReject,     // rejects requests without running them
  kSlow,       // first tokens take eight times as long
  kCloseIdle,  // closes its idle connections again and again
  kDrain,      // is listed as leaving for `duration`, then as active again
  kRestart,    // is unreachable for `duration`, then is back at the same address, newly started
  // Faults of the links between all nodes and `replica`.
  kLate,        // new connections are established late
  kDelay,       // bytes are delayed in both directions
  kResetLinks,  // all connections are reset
  kResetUnder,  // the next requests are reset after their first bytes
  kTwice,       // answers are sent a second time, some milliseconds later
  kCutShort,    // answers of `replica` end with the last chunk before they are complete
  kSlowWrite,   // `replica` writes its events in pieces
  // Faults of bad clients at `node`, for `duration`.
  kFlood,              // one sends small and unsound requests at full speed, under ever new names
  kSendAndLeave,       // each sends hundreds of requests at once and closes its connection
  kHalfBodies,         // each stops half way through a large request
  kManyFields,         // each sends a head of very many short fields
  kUnreadAnswers,      // each sends a request and does not read the answer
  kUnreadableFraming,  // each sends requests whose framing can't be read
  // Faults of discovery.
  kDark,      // discovery closes its watches, and closes every call without an answer
  kSilent,    // discovery accepts calls and never answers
  kSlowList,  // discovery answers calls a second late
  // Faults of clients.
  kLeave,  // every second client closes its connection if it has a request in flight
  kCount
};
const char* Name(FaultKind kind);  // the name in a plan file

struct Fault {
  Time at = 0;  // since the clients started
  FaultKind kind = FaultKind::kTerm;
  std::size_t node = 0, replica = 0;
  Time duration = 0;  // 0 for a fault that happens at once
  double share = 1;   // of the replica's requests that it affects, 0 to 1
};

struct PlannedReplica {
  int zone = 0, cell = 0;
  Time first_token = 20'000, per_token = 2'000;  // time to the first token; time between two tokens
  std::size_t tokens = 40;                       // tokens of an answer
};

// How clients behave. All fields but `think` are shares of the requests, 0 to 1.
struct Habits {
  double fresh = 0.2;         // the client closes its connection after the answer
  double leave = 0.05;        // the client closes the connection at any time within the budget
  double half_close = 0.01;   // the client closes its sending side and waits for the answer
  double partial = 0.01;      // the client stops in the middle of the request
  double pipeline = 0.02;     // the client writes a second request behind the first
  double slow_reader = 0.02;  // the client stops reading for 1 s
  double id_again = 0.2;      // of the requests whose client closed its connection: their id comes again
  double little_time = 0.05;  // the request has a budget of only 20 to 60 ms
  double chunked = 0.3;       // the request's body comes in chunks
  double long_answer = 0.03;  // the request asks for a long answer; half of those at the OpenAI-style address
  Time think = 100'000;       // mean pause between requests, microseconds; also after a refusal
};

struct Plan {
  std::uint64_t seed = 1;
  Time length = 40'000'000;  // of the schedule of faults
  std::size_t nodes = 3;
  int zones = 2;
  bool push = false;    // discovery pushes its list; otherwise the nodes poll it
  bool resume = false;  // the platform's clients may ask for the rest of a broken stream
  // SIGKILL comes this long after the earliest time that PROTOCOL allows.
  Time sigkill_delay = 0;
  // Limits in the nodes' settings.
  int max_attempts = 3;
  Time connect_timeout = 500'000;
  Time idle_close = 3'000'000;     // after which a node closes an idle connection
  std::size_t clients = 10;        // at each node
  std::size_t openai_clients = 0;  // at each node's OpenAI-style address
  std::size_t long_answer = 500;   // tokens of a long answer
  std::size_t crowd = 0;           // idle connections at each node, to use up its descriptors
  std::size_t sockets = 1024;      // the limit of sockets in each node's configuration
  std::vector<PlannedReplica> replicas;
  ClassTable classes, other_classes;  // SIGHUP with other settings switches between the two
  Habits habits;
  std::vector<Fault> faults;  // in the order of time
};

// Draws a plan. The same seed and length give the same plan.
Plan MakePlan(std::uint64_t seed, Time length);
std::string PlanToJson(const Plan& plan);
// Throws std::runtime_error, which names the faulty key and its allowed values.
Plan ParsePlan(const std::string& text);
// Returns the kind with this name. Throws std::runtime_error, which lists the names, if there is none.
FaultKind ParseFaultKind(const std::string& word);

}  // namespace ryeglade::soak
