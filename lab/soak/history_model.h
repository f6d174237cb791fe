// What a soak saw from outside of the nodes: the clients' requests, the attempts at replicas, the processes,
// what discovery told. The checker judges by this alone. All times are microseconds of one monotonic clock;
// 0: never.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::soak {

using policy::Time;

// What the settings say of a class, as far as the rules go by it.
struct ClassRules {
  policy::Idempotency effect = policy::Idempotency::kIdempotent;
  policy::DedupScope scope = policy::DedupScope::kAll;
  Time window = 0;
  Time deadline = 0;
};
using ClassTable = std::map<std::string, ClassRules>;

// Bytes that were written, or came, at once.
struct TimedBytes {
  Time at = 0;
  std::string bytes;
};

enum class ClientEnd : std::uint8_t {
  kUnfinished,    // the soak was over first
  kServed,        // 200 and the last chunk
  kRefused,       // 429 or 503
  kFailed,        // any other status
  kTruncated,     // 200 began, and the connection ended without the last chunk
  kNoAnswer,      // the connection ended without a byte of an answer
  kTimedOut,      // nothing came until the client gave up, well after its budget
  kClientClosed,  // the client closed the connection by its own plan
  kNotSent,       // no connection came up, or it broke under the request
};

struct ClientRequest {
  std::string id, cls;
  std::size_t node = 0;
  Time connected = 0;  // when its connection came up
  Time sent = 0;       // its last byte
  Time budget = 0;
  Time client_closed = 0;  // when the client closed or half-closed the connection by its own plan
  Time ended = 0;
  bool reused = false;       // its connection had carried an answer before
  bool pipelined = false;    // it was written behind another request, before that one's answer
  bool half_closed = false;  // `left` was the end of its sending only
  bool slow_reader = false;
  ClientEnd end = ClientEnd::kUnfinished;
  int status = 0;
  std::vector<TimedBytes> events;  // of the body
};

enum class AttemptEnd : std::uint8_t {
  kUnfinished,  // the soak was over first
  kComplete,    // answered to the last chunk
  kRejected,    // turned away unseen, which the answer says
  kError,       // an error status
  kReset,       // the replica, or the link to it, broke the connection
  kNodeClosed,  // the node gave it up
};

struct Attempt {
  std::string id;
  std::size_t node = 0, replica = 0;
  Time began = 0;     // its first byte came from the node
  Time received = 0;  // its last byte came to the replica, which may run it from here on
  Time ended = 0;
  Time budget = 0;  // that the node told
  AttemptEnd end = AttemptEnd::kUnfinished;
  std::vector<TimedBytes> events;
  // Whether it may have had an effect, as far as anybody can tell.
  bool MayHaveRun() const { return received != 0 && end != AttemptEnd::kRejected; }
};

struct Replica {
  std::string name;
  int zone = 0, cell = 0;
};

struct Interval {
  Time from = 0, to = 0;
};

// One process of a node, from its start to its end.
struct Process {
  std::size_t node = 0;
  Time started = 0;
  Time ready = 0;               // takes clients
  Time sigterm_at = 0;          // the first SIGTERM
  Time sigkill_due = 0;         // SIGKILL was due then, by the settings
  Time killed = 0;              // it was sent, as the process had not ended
  bool killed_by_plan = false;  // SIGKILL without a SIGTERM, by the plan
  bool replaced = false;        // another process of the node took over beside it
  Time ended = 0;
  int status = -1;               // exit code; 128 and more: a signal
  std::vector<Interval> pauses;  // it was held up: by SIGSTOP, or as it waited for a core
  std::size_t first_descriptors = 0, last_descriptors = 0;
  std::size_t first_memory = 0, last_memory = 0;  // resident bytes, as it became ready and as its end began
  std::string counters;                           // as last read
};

// The class table that a node was told to use.
struct SettingsChange {
  std::size_t node = 0;
  Time at = 0;
  ClassTable classes;
};

// A replica stopped wanting new requests (or wants them again), as one node was told.
struct DiscoveryChange {
  std::size_t node = 0, replica = 0;
  Time at = 0;       // discovery has it
  Time written = 0;  // it was written to the node's process of that time
  bool accepts_requests = false;
};

// Nothing passed between a replica and the nodes from, to, or all connections were reset then.
struct LinkFault {
  std::size_t replica = 0;
  Time from = 0, to = 0;
};

// A connection that was opened to do harm: it stopped in the middle of a request.
struct BadClient {
  std::size_t node = 0;
  Time began = 0, ended = 0;
  bool answered = false;
};

struct History {
  Time begin = 0, end = 0;
  bool resume = false;             // clients ask for the rest of a stream that broke
  bool crowd = false;              // idle connections fill the descriptors
  std::vector<Interval> lab_lags;  // the lab itself was held up, and saw everything late
  std::vector<Replica> replicas;
  std::vector<ClientRequest> requests;
  std::vector<Attempt> attempts;
  std::vector<Process> processes;
  std::vector<SettingsChange> settings;
  std::vector<DiscoveryChange> discovery_changes;
  std::vector<LinkFault> link_faults;
  std::vector<BadClient> bad_clients;
};

}  // namespace ryeglade::soak
