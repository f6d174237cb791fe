// The settings of a Router. Every field has a default that is safe to run with. Durations are microseconds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ryeglade/time.h"

namespace ryeglade::policy {

// Whether the requests of a class may be executed more than once.
enum class Idempotency : std::uint8_t {
  kIdempotent,      // a repeat does no harm
  kIdempotencyKey,  // replicas recognise a repeat by its idempotency key, within a scope and a time window
  kNotIdempotent,   // a request that may have run must not be sent again
};

// Which replicas recognise the repeat of a request that carries an idempotency key: all of them, or those in
// the zone or cell of the replica that got the first attempt.
enum class DedupScope : std::uint8_t { kAll, kZone, kCell };

struct ClassSettings {
  std::string name;  // for logs only
  // A first token (or, without streaming, an answer) within this time earns the full priority weight.
  Time latency_objective = 1'000'000;
  Time time_budget = 10'000'000;  // how long the client waits in total, over all attempts
  double priority_weight = 1.0;   // what one request earns if it is answered within its latency objective
  // The part of the priority weight that is earned after the latency objective, within the time budget.
  double late_weight_share = 0.0;
  Idempotency idempotency = Idempotency::kIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;  // used with kIdempotencyKey only
  Time dedup_window = 0;                      // how long repeats are recognised; with kIdempotencyKey only
  bool streaming = false;                     // answers are streams of tokens
  Time objective_per_1000_tokens = 0;         // added to the latency objective for each 1,000 prompt tokens
  Time inter_token_objective = 0;             // objective for the mean interval between tokens; 0: none
};

struct TenantSettings {
  std::string name;               // for logs only
  double traffic_share = 1.0;     // the tenant's share of the service's traffic
  double quota_per_second = 0.0;  // requests per second, over all nodes; 0: no quota
};

// What one number of a replica's load report means.
enum class LoadField : std::uint8_t {
  kOther,
  kInFlight,
  kQueueLength,
  kUtilization,
  kLatencyMs,
  kQueriesPerSecond,
  kErrorsPerSecond,
  kMemoryShare,
  kTokensToPrefill
};

struct Settings {
  std::vector<ClassSettings> classes;      // empty: one class with default values
  std::vector<TenantSettings> tenants;     // by tenant index
  std::vector<LoadField> load_fields;      // the meaning of each number of a load report, in order
  bool load_reports_in_responses = false;  // false: reports come with health checks only, or not at all
  int node_count = 1;                      // nodes of the routing tier, this one included
  int node_index = 0;                      // this node's index among them
  int zone = 0;                            // this node's zone
  int zone_count = 1;
  int replica_kind_count = 1;
  bool poll_endpoints = false;  // the node has to request the endpoint list; false: it is pushed to the node
  bool weights_known = false;   // service discovery states Endpoint::weight
  double over_quota_weight = 1.0;  // weight of a request beyond its tenant's quota; 1 or more: no quotas
  // Penalties: the part of the score (0 to 1) that would be lost in the case named beside each.
  double cross_zone_penalty = 0.0;        // every request crosses zones once
  double wasted_work_penalty = 0.0;       // as much work is wasted as is requested
  double late_failure_penalty = 0.0;      // all requests fail, and only after their latency objective
  double health_check_penalty = 0.0;      // there is one health check for each request
  double migration_penalty = 0.0;         // every stream migrates once
  bool can_cancel = true;                 // attempts can be cancelled
  bool can_check_health = false;          // CheckHealth actions are carried out
  bool can_hedge = false;                 // two attempts of a request may be in flight at once
  bool clients_honor_retry_after = true;  // rejections carry a Retry-After
  bool can_migrate_streams = false;       // the platform's clients resume a stream that ends early
  int max_attempts = 1;                   // of one request, including the first
  Time max_retry_after = 1'000'000;       // the Retry-After of a rejection
  Time connect_timeout = 250'000;         // for opening a connection to a replica
  Time response_grace = 0;                // a final response this long after the deadline still counts
  Time drain_grace = 0;                   // a draining replica stays up for this long
  Time max_poll_interval = 0;         // with poll_endpoints: longest time between list requests; 0: no bound
  Time slow_start_window = 0;         // a replica has warmed up this long after its start; 0: no slow start
  double slow_start_min_share = 1.0;  // the share of its capacity that a replica has at its start
  // A replica that is warming up fails if it gets more than `overload_factor` times the load that it can
  // serve at that time, for `overload_window`.
  double overload_factor = 2.0;
  Time overload_window = 1'000'000;
};

}  // namespace ryeglade::policy
