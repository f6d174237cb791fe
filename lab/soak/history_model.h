// What a soak recorded from outside the nodes: the clients' requests, the attempts at replicas, the processes
// and what discovery told. The checker uses nothing else. All times are microseconds of one monotonic clock;
// 0 means that the event did not happen.
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

// The settings of a request class that the rules depend on.
struct ClassRules {
  policy::Idempotency effect = policy::Idempotency::kIdempotent;
  policy::DedupScope scope = policy::DedupScope::kAll;
  Time window = 0;
  Time deadline = 0;
};
using ClassTable = std::map<std::string, ClassRules>;

// Bytes that were written or received in one call.
struct TimedBytes {
  Time at = 0;
  std::string bytes;
};

enum class ClientEnd : std::uint8_t {
  kUnfinished,    // the soak ended before the request did
  kServed,        // 200 and the last chunk
  kRefused,       // 429 or 503
  kFailed,        // any other status
  kTruncated,     // 200 began, and the connection ended without the last chunk
  kNoAnswer,      // the connection ended without a byte of an answer
  kTimedOut,      // the client gave up well after its budget, before the end of the answer
  kClientClosed,  // the client closed the connection as the plan says
  kNotSent,       // no connection came up, or it broke while the request was written
};

struct ClientRequest {
  std::string id, cls;
  std::size_t node = 0;
  Time connected = 0;  // when its connection was established
  Time sent = 0;       // when the last byte of the request was written
  Time budget = 0;
  Time client_closed = 0;  // when the client closed or half-closed the connection as the plan says
  Time ended = 0;
  bool reused = false;       // its connection had carried an answer before
  bool pipelined = false;    // written behind another request, before the answer to that one
  bool half_closed = false;  // at `client_closed` the client closed its sending side only
  bool slow_reader = false;
  ClientEnd end = ClientEnd::kUnfinished;
  int status = 0;
  std::vector<TimedBytes> events;  // pieces of the answer's body, as they were read
};

enum class AttemptEnd : std::uint8_t {
  kUnfinished,  // the soak ended before the attempt did
  kComplete,    // answered completely, including the last chunk
  kRejected,    // rejected before it ran, which the answer says
  kError,       // an error status
  kReset,       // the replica, or the link to it, broke the connection
  kNodeClosed,  // the node closed the connection
};

struct Attempt {
  std::string id;
  std::size_t node = 0, replica = 0;
  Time began = 0;  // when the node sent the first byte to the link
  // When the last byte reached the replica, which may run the attempt from then on; 0 if it never did.
  Time received = 0;
  Time ended = 0;
  Time budget = 0;  // the time budget that the node sent along
  AttemptEnd end = AttemptEnd::kUnfinished;
  std::vector<TimedBytes> events;  // pieces of the answer, as the replica wrote them
  // True if the attempt may have had an effect: the replica got all of it and did not reject it.
  bool MayHaveRun() const { return received != 0 && end != AttemptEnd::kRejected; }
};

struct Replica {
  std::string name;
  int zone = 0, cell = 0;
};

struct Interval {
  Time from = 0, to = 0;
};

// One process of a node, from its start to its exit.
struct Process {
  std::size_t node = 0;
  Time started = 0;
  Time ready = 0;               // when it began to listen for clients
  Time sigterm_at = 0;          // the first SIGTERM
  Time sigkill_due = 0;         // the earliest time for SIGKILL that the settings in force allow
  Time killed = 0;              // when SIGKILL was sent because the process had not exited
  bool killed_by_plan = false;  // the plan sent SIGKILL without SIGTERM
  bool replaced = false;        // by a second process of the node, in a hot restart
  Time ended = 0;
  int status = -1;               // the exit code; 128 and above means that a signal ended it
  std::vector<Interval> pauses;  // by SIGSTOP, or because it waited for a core
  std::size_t first_descriptors = 0, last_descriptors = 0;
  std::size_t first_memory = 0, last_memory = 0;  // resident bytes, when it became ready and before SIGTERM
  std::string counters;                           // its text of counters, read before SIGTERM
};

// The class table that a node was told to use, by its first configuration or by SIGHUP.
struct SettingsChange {
  std::size_t node = 0;
  Time at = 0;
  ClassTable classes;
};

// Discovery tells one node that a replica takes no new requests, or that it takes them again.
struct DiscoveryChange {
  std::size_t node = 0, replica = 0;
  Time at = 0;       // when discovery learned of the change
  Time written = 0;  // when it was written to the node's process; 0 if it never was
  bool accepts_requests = false;
};

// Between the two times nothing passed between a replica and the nodes. If they are equal, all connections
// were reset then.
struct LinkFault {
  std::size_t replica = 0;
  Time from = 0, to = 0;
};

// A connection whose client stopped in the middle of a request.
struct BadClient {
  std::size_t node = 0;
  Time began = 0, ended = 0;
  bool answered = false;
};

struct History {
  Time begin = 0, end = 0;
  bool resume = false;             // the plan lets clients ask for the rest of a broken stream
  bool crowd = false;              // idle connections use up the nodes' descriptors
  std::vector<Interval> lab_lags;  // when the lab itself was held up, and recorded events late
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
