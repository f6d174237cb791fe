// What a soak recorded from outside the nodes: the clients' requests, the attempts at replicas, the processes
// and what discovery sent to the nodes. The checker uses nothing else. All times are microseconds of one
// monotonic clock; 0 means that the event did not happen.
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
  Time window = 0;    // deduplication window
  Time deadline = 0;  // the time budget of a request
};
using ClassTable = std::map<std::string, ClassRules>;

// Bytes that were written or received in one call, and when.
struct TimedBytes {
  Time at = 0;
  std::string bytes;
};

enum class ClientEnd : std::uint8_t {
  kUnfinished,    // the soak ended before the request did
  kServed,        // status 200, complete with the last chunk
  kRefused,       // status 429 or 503
  kFailed,        // any other status
  kTruncated,     // 200 began, and the connection ended without the last chunk
  kNoAnswer,      // the connection ended without a byte of an answer
  kTimedOut,      // the client gave up after its budget, before the end of the answer
  kClientClosed,  // the client closed the connection as the plan says
  kNotSent,       // no connection came up, or it broke while the request was written
  kCount
};

// The API by which a client asks, and the form of the answer.
enum class Api : std::uint8_t { kPlatform, kOpenAiStreamed, kOpenAiAssembled, kCount };

struct ClientRequest {
  Api api = Api::kPlatform;
  std::string id, cls;  // the id, which the prompt holds too, and the name of its class
  std::size_t node = 0;
  Time connected = 0;        // when its connection was established
  Time sent = 0;             // when the last byte of the request was written
  Time budget = 0;           // the time budget that the client sent along
  Time client_closed = 0;    // when the client closed or half-closed the connection as the plan says
  Time ended = 0;            // when the answer was complete or the connection ended
  bool reused = false;       // its connection had carried an answer before
  bool pipelined = false;    // written behind another request, before the answer to that one
  bool half_closed = false;  // at `client_closed` the client closed its sending side only
  bool slow_reader = false;
  std::size_t body_hash = 0;  // of the body that the client meant to send
  bool id_again = false;      // its id is that of a request whose client has closed its connection
  ClientEnd end = ClientEnd::kUnfinished;
  int status = 0;                  // of the answer; 0 if none was complete
  std::vector<TimedBytes> events;  // pieces of the answer's body, as they were read
};

enum class AttemptEnd : std::uint8_t {
  kUnfinished,  // the soak ended before the attempt did
  kComplete,    // answered completely, including the last chunk
  kCutShort,    // ended with the last chunk before the end of [DONE]
  kRejected,    // rejected before it ran, which the answer says
  kError,       // an error status
  kReset,       // the replica, or the link to it, broke the connection
  kNodeClosed,  // the node closed the connection
  kCount
};

struct Attempt {
  std::string id;
  std::size_t node = 0, replica = 0;
  Time began = 0;  // when the node sent the first byte to the link
  // When the last byte reached the replica, which may run the attempt from then on; 0 if it never did.
  Time received = 0;
  Time ended = 0;
  Time budget = 0;            // the time budget that the node sent along
  std::size_t body_hash = 0;  // of the body that the replica received
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
  Time sigterm_at = 0;          // when the first SIGTERM was sent
  Time sigkill_due = 0;         // the earliest time for SIGKILL that the settings in force allow
  Time killed = 0;              // when SIGKILL was sent because the process had not exited
  bool killed_by_plan = false;  // the plan sent SIGKILL without SIGTERM
  bool replaced = false;        // by a second process of the node, in a hot restart
  Time ended = 0;
  int status = -1;               // the exit code; 128 and above means that a signal ended it
  std::vector<Interval> pauses;  // by SIGSTOP, or because it waited for a core
  // Open descriptors, when it became ready and before SIGTERM.
  std::size_t first_descriptors = 0, last_descriptors = 0;
  std::size_t memory_limit = 0, peak_memory = 0;  // bytes; the peak is that of private memory
  std::size_t first_memory = 0, last_memory = 0;  // resident bytes, when it became ready and before SIGTERM
  std::string counters;                           // its metrics text, read before SIGTERM; empty if not read
};

// The class table that a node was told to use, by its first configuration or by SIGHUP.
struct SettingsChange {
  std::size_t node = 0;
  Time at = 0;
  ClassTable classes;
};

// Discovery tells one node that a replica drains, or that it accepts new requests again.
struct DiscoveryChange {
  std::size_t node = 0, replica = 0;
  Time at = 0;       // when discovery learned of the change
  Time written = 0;  // when it was written to the node's process; 0 if it never was
  bool accepts_requests = false;
};

// From `from` to `to` no bytes passed between a replica and the nodes. If the two are equal, all connections
// were reset at that time.
struct LinkFault {
  std::size_t replica = 0;
  Time from = 0, to = 0;
};

// A connection whose client stopped in the middle of a request.
struct BadClient {
  std::size_t node = 0;
  Time began = 0, ended = 0;  // when it sent the partial request, and when its connection ended
  bool answered = false;      // the node sent some bytes before the end
};

// A request whose framing can't be read.
struct UnreadableRequest {
  std::size_t node = 0;
  std::string id;
  Time began = 0, ended = 0;  // when it was written, and when its answer began or its connection ended
  int status = 0;             // of the answer; 0 if there was none
};

// A call by which an operator takes a replica out of use at a node, or back. The calls at a node come one
// after another.
struct OperatorCall {
  std::size_t node = 0, replica = 0;
  bool out = true;              // otherwise back
  Time sent = 0, answered = 0;  // 0: not answered
  int status = 0;
  bool accepted() const { return status >= 200 && status < 300; }
};

// Bad clients that were connected to a node at once.
struct BadCrowd {
  std::size_t node = 0;
  Time from = 0, to = 0;
  std::size_t clients = 0;
};

// A client that sent many requests at once and closed its connection.
struct ClientThatLeft {
  std::size_t node = 0;
  Time closed = 0;
  std::string id_prefix;  // of its requests' ids
};

struct History {
  Time begin = 0, end = 0;
  bool resume = false;  // the plan lets the platform's clients ask for the rest of a broken stream
  bool crowd = false;   // idle connections use up the nodes' descriptors
  std::vector<Interval>
      lab_lags;  // when the lab's own event loop was delayed, so that events were recorded late
  std::vector<Replica> replicas;
  std::vector<ClientRequest> requests;
  std::vector<Attempt> attempts;
  std::vector<Process> processes;
  std::vector<SettingsChange> settings;
  std::vector<DiscoveryChange> discovery_changes;
  std::vector<LinkFault> link_faults;
  std::vector<BadClient> bad_clients;
  std::vector<BadCrowd> bad_crowds;
  std::vector<ClientThatLeft> clients_that_left;
  std::vector<UnreadableRequest> unreadable_requests;
  std::vector<OperatorCall> operator_calls;
};

}  // namespace ryeglade::soak
