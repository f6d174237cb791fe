// What a Router is told: everything that happens to its requests, its replicas and its routing tier.
// Durations and times are microseconds.
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
  double weight = 1.0;
  int kind = 0;
  int zone = 0;
  int cell = 0;
  Time started_at = 0;  // 0: long ago
  EndpointState state = EndpointState::kReady;
};

enum class EndpointListScope : std::uint8_t {
  kFailed,  // no list could be had
  kDelta,   // only what has changed
  kCached,  // a whole list as the node last knew it
  kFull,    // a whole list from discovery
};

struct EndpointList {
  EndpointListScope scope = EndpointListScope::kFull;
  std::uint32_t version = 0;
  std::vector<Endpoint> endpoints;
};

// ---- Requests ----

struct RequestArrived {
  RequestId id = 0;
  int class_index = 0;
  int tenant_index = 0;
  std::uint64_t session = 0;  // key of the client's session; 0: none
  std::uint64_t prefix = 0;   // key of the prompt's shared prefix; 0: none
  double prompt_tokens = 0;
  double prefix_tokens = 0;
  double max_answer_tokens = 0;
  Time time_budget = 0;  // until the client gives this request up
  Time cost_hint = 0;    // expected work; 0: none
  bool client_retry = false;
  bool write = false;
  bool resumed = false;  // comes again after its stream was interrupted
};

// The stream's first token has come; the attempt now belongs to the client.
struct ResponseStarted {
  RequestId id = 0;
  int attempt = 0;
  ReplicaId replica = 0;
  Time elapsed = 0;
};

// How an attempt or a health check ended.
enum class Outcome : std::uint8_t {
  kServed,
  kError,
  kAtCapacity,  // the replica turned it down unexecuted, as it has no capacity
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent  // this node did not write it
};

struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  ReplicaId replica = 0;
  Outcome outcome = Outcome::kServed;
  Time elapsed = 0;
  bool request_concluded = false;
  double cached_tokens = 0;         // of the prompt, found in the replica's prefix cache
  std::vector<double> load_report;  // in the order of Settings::load_fields; empty: none
};

struct ClientDisconnected {
  RequestId id = 0;
};

// An open request has to be answered sooner than its client asks for: within `time_budget` of this event,
// because the process ends before then, or at once (0). More than is left is ignored, and so is a request
// whose stream has begun.
struct DeadlineShortened {
  RequestId id = 0;
  Time time_budget = 0;
};

// ---- Timers and health checks ----

// A timer that SetTimer asked for.
struct TimerFired {
  std::uint64_t token = 0;
};

struct HealthCheckCompleted {
  ReplicaId replica = 0;
  Outcome outcome = Outcome::kServed;
  Time elapsed = 0;
  std::vector<double> load_report;
};

// ---- The routing tier ----

// How many nodes the tier has from now on, this one included: limits keep their sum over all nodes.
struct NodeCountChanged {
  int node_count = 1;
};

// This node's share of the tier's traffic, where the nodes know: over 0 to 1. Concurrency limits, quotas and
// what others are taken to have in flight go by it instead of by one part of `node_count`; each change of the
// tier's size scales it. Out of range: ignored.
struct TrafficShareChanged {
  double share = 1;
};

// What another process of this node had learned; it takes the place of what was learned here. Of replicas
// only those count that are listed here with the same start, so the endpoint list comes first. Null: nothing.
struct StateRestored {
  std::shared_ptr<const LearnedState> state;
};

// How many attempts another process of this node (before or after a hot restart) still has in flight, by
// replica; what is not named has none. They count against this node's limits.
struct SiblingInFlightChanged {
  std::vector<std::pair<ReplicaId, int>> in_flight;
};

// What the other nodes of the tier know of a replica, already weighed by whoever passes it on, with every
// number finite. It takes the place of the earlier report on that replica.
struct PeerReplicaReport {
  ReplicaId id = 0;
  Time started_at = 0;  // another than the listed one: ignored
  double slowness = 0;  // as in LearnedReplica; counts beside this node's own answers
  double slowness_samples = 0;
  Time ejected_until = 0;         // nothing new before then, as after own failures
  double orphaned_in_flight = 0;  // attempts of nodes that have died: this node's share of those
};
struct PeerReportsReceived {
  std::vector<PeerReplicaReport> replicas;
};

// Shares, 0 to 1, of the tier's traffic that belongs to shared prefixes. They take the place of the earlier
// ones; a prefix that is left out goes by what this node has counted itself.
struct PrefixTrafficReceived {
  std::vector<std::pair<std::uint64_t, double>> shares;
};

// In the order in which flight records number the events: new ones go to the end.
using Event =
    std::variant<EndpointList, RequestArrived, ResponseStarted, AttemptEnded, ClientDisconnected, TimerFired,
                 HealthCheckCompleted, NodeCountChanged, StateRestored, SiblingInFlightChanged,
                 TrafficShareChanged, PeerReportsReceived, PrefixTrafficReceived, DeadlineShortened>;

}  // namespace ryeglade::policy
