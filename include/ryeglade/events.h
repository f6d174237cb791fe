// The events that a Router handles: everything that happens to its requests, its replicas and its routing
// tier. Durations and times are microseconds.
#pragma once

#include <cstdint>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "ryeglade/learned_state.h"
#include "ryeglade/time.h"

namespace ryeglade::policy {

using RequestId = std::uint64_t;
using ReplicaId = std::uint32_t;

// ---- Endpoints ----

enum class EndpointState : std::uint8_t { kRemoved, kReady, kDraining };

// A replica as service discovery lists it.
struct Endpoint {
  ReplicaId id = 0;
  double weight = 1.0;  // relative capacity according to service discovery; see Settings::weights_known
  int kind = 0;         // index of its machine type; replicas of one kind are expected to be equally fast
  int zone = 0;         // below 0: unknown
  int cell = 0;         // a group of replicas, see DedupScope::kCell; below 0: unknown
  Time started_at = 0;  // when the replica started; 0: long ago
  EndpointState state = EndpointState::kReady;
};

enum class EndpointListScope : std::uint8_t {
  kFailed,  // the list could not be fetched; `endpoints` is not used
  kDelta,   // only the endpoints that have changed
  kCached,  // a complete list that this node has kept, which may be out of date
  kFull,    // a complete list from service discovery
};

struct EndpointList {
  EndpointListScope scope = EndpointListScope::kFull;
  std::uint32_t version = 0;  // number of the list at its source; recorded only, not used by the Router
  std::vector<Endpoint> endpoints;
};

// ---- Requests ----

struct RequestArrived {
  RequestId id = 0;
  int class_index = 0;           // in Settings::classes; the nearest class if out of range
  int tenant_index = 0;          // in Settings::tenants; no quota if out of range
  std::uint64_t session = 0;     // key of the client's session; 0: none
  std::uint64_t prefix = 0;      // key of the prompt's shared prefix; 0: none
  double prompt_tokens = 0;      // length of the whole prompt
  double prefix_tokens = 0;      // length of the prompt's shared prefix
  double max_answer_tokens = 0;  // upper bound of the answer's length
  Time time_budget = 0;          // time until the client gives up on this request
  Time cost_hint = 0;            // expected work as stated by the client; 0: not stated
  bool client_retry = false;     // the client has sent this request before
  bool write = false;            // the request is marked as a write
  bool resumed = false;          // the client sends it to resume an interrupted stream
};

// The first token of the stream has arrived and is sent to the client, so no other attempt can serve the
// request any more.
struct ResponseStarted {
  RequestId id = 0;
  int attempt = 0;
  ReplicaId replica = 0;
  Time elapsed = 0;  // since the attempt was sent
};

// How an attempt or a health check ended.
enum class Outcome : std::uint8_t {
  kServed,         // a complete answer
  kError,          // the replica answered with an error
  kAtCapacity,     // the replica refused it without executing it, because it has no capacity
  kTimeout,        // no answer in time
  kConnectFailed,  // no connection could be opened
  kReset,          // the connection broke
  kCancelled,      // by a CancelAttempt action
  kNotSent         // this node did not send it, so the replica has not executed it
};

// An attempt is no longer in flight. The host must report this once for every SendAttempt action.
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  ReplicaId replica = 0;
  Outcome outcome = Outcome::kServed;
  Time elapsed = 0;                 // since the attempt was sent
  bool request_concluded = false;   // nothing is left to send to the client, so the request is over
  double cached_tokens = 0;         // prompt tokens that the replica found in its prefix cache
  std::vector<double> load_report;  // in the order of Settings::load_fields; empty: no report
};

// The client has closed its connection and needs no response.
struct ClientDisconnected {
  RequestId id = 0;
};

// The process ends before the client's deadline, so the request must be concluded within `time_budget` of
// this event (0: at once). A budget longer than the time left changes nothing, and a request whose stream has
// begun is not affected.
struct DeadlineShortened {
  RequestId id = 0;
  Time time_budget = 0;
};

// ---- Timers and health checks ----

// A timer that a SetTimer action asked for has expired.
struct TimerFired {
  std::uint64_t token = 0;
};

// The health check that a CheckHealth action asked for has ended.
struct HealthCheckCompleted {
  ReplicaId replica = 0;
  Outcome outcome = Outcome::kServed;
  Time elapsed = 0;                 // since the check was sent
  std::vector<double> load_report;  // as in AttemptEnded
};

// ---- The routing tier ----

// The tier now has `node_count` nodes, this one included. Limits are scaled so that their sum over all nodes
// stays the same.
struct NodeCountChanged {
  int node_count = 1;
};

// This node's share of the tier's traffic, above 0 and up to 1, where the nodes measure it; other values are
// ignored. It takes the place of 1 / `node_count` in concurrency limits, quotas and the estimate of what the
// other nodes have in flight. A later NodeCountChanged scales it.
struct TrafficShareChanged {
  double share = 1;
};

// State that another process of this node had learned. It replaces what this Router has learned. The state of
// a replica is used only if the replica is listed here with the same start time, so the endpoint list must be
// given first. A null pointer is ignored.
struct StateRestored {
  std::shared_ptr<const LearnedState> state;
};

// The number of attempts that another process of this node (before or after a hot restart) still has in
// flight, by replica; replicas that are left out have none. They count against this node's limits.
struct SiblingInFlightChanged {
  std::vector<std::pair<ReplicaId, int>> in_flight;
};

// What the other nodes of the tier report of a replica, already combined and weighted by the caller, which
// must pass finite numbers only. It replaces the earlier report on that replica.
struct PeerReplicaReport {
  ReplicaId id = 0;
  Time started_at = 0;            // the report is ignored if the listed start time differs
  double slowness = 0;            // as in LearnedReplica; counts beside this node's own samples
  double slowness_samples = 0;    // number of answers from which `slowness` was computed
  Time ejected_until = 0;         // no new attempts before then; 0: the other nodes have not ejected it
  double orphaned_in_flight = 0;  // this node's share of the attempts in flight that dead nodes left behind
};

// The other nodes' reports. Replicas that are left out keep their earlier report.
struct PeerReportsReceived {
  std::vector<PeerReplicaReport> replicas;
};

// The shares, 0 to 1, that shared prefixes have of the tier's traffic, by prefix key. They replace all
// earlier shares; for a prefix that is left out, the Router uses the share that it has counted itself.
struct PrefixTrafficReceived {
  std::vector<std::pair<std::uint64_t, double>> shares;
};

// Flight records store an event's index in this variant, so new events must be added at the end.
using Event =
    std::variant<EndpointList, RequestArrived, ResponseStarted, AttemptEnded, ClientDisconnected, TimerFired,
                 HealthCheckCompleted, NodeCountChanged, StateRestored, SiblingInFlightChanged,
                 TrafficShareChanged, PeerReportsReceived, PrefixTrafficReceived, DeadlineShortened>;

}  // namespace ryeglade::policy
