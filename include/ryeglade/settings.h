// What a Router is told when it is constructed. Every field has a default that is safe to run with.
// Durations are microseconds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ryeglade/time.h"

namespace ryeglade::policy {

// Whether the requests of a class may be executed more than once.
enum class Idempotency : std::uint8_t {
  kIdempotent,      // a repeat does no harm
  kIdempotencyKey,  // replicas recognise a repeat by its idempotency key, within a scope and for a while
  kNotIdempotent,   // a request that may have run must not be sent again
};

// Which replicas recognise the repeat of a request that carries an idempotency key.
enum class DedupScope : std::uint8_t { kAll, kZone, kCell };

struct ClassSettings {
  std::string name;                    // for logs only, never decided on
  Time latency_objective = 1'000'000;  // a first token (or answer) within this earns the full weight
  Time time_budget = 10'000'000;       // how long the client waits in all, over all its attempts
  double priority_weight = 1.0;        // of one request
  double late_weight_share = 0.0;  // part of the weight still earned after the objective, within the budget
  Idempotency idempotency = Idempotency::kIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;  // with kIdempotencyKey only
  Time dedup_window = 0;                      // with kIdempotencyKey only: how long repeats are recognised
  bool streaming = false;
  Time objective_per_1000_tokens = 0;  // added to the objective for each 1,000 prompt tokens
  Time inter_token_objective = 0;      // wanted mean interval between tokens; 0: none
};

struct TenantSettings {
  std::string name;               // for logs only
  double traffic_share = 1.0;     // of the service
  double quota_per_second = 0.0;  // requests within its quota, over all nodes; 0: unknown
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
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<LoadField> load_fields;      // what a load report holds, in order
  bool load_reports_in_responses = false;  // else they come with health checks, or not at all
  int node_count = 1;                      // nodes of the routing tier, this one included
  int node_index = 0;                      // this node's index among them
  int zone = 0;                            // this node's zone
  int zone_count = 1;
  int replica_kind_count = 1;
  bool poll_endpoints = false;            // the endpoint list comes only when the node asks for it
  bool weights_known = false;             // Endpoint::weight means something
  double over_quota_weight = 1.0;         // weight of what a tenant sends beyond its quota
  double cross_zone_penalty = 0.0;        // points (of 1) if every request crossed zones once
  double wasted_work_penalty = 0.0;       // points if as much work was wasted as was asked for
  double late_failure_penalty = 0.0;      // points if all weight failed only after its objective
  double health_check_penalty = 0.0;      // points for one health check a request
  double migration_penalty = 0.0;         // points if every stream migrated once
  bool can_cancel = true;                 // attempts can be cancelled
  bool can_check_health = false;          // CheckHealth actions are carried out
  bool can_hedge = false;                 // two attempts of a request may be in flight at once
  bool clients_honor_retry_after = true;  // rejections carry a Retry-After
  bool can_migrate_streams = false;
  int max_attempts = 1;
  Time max_retry_after = 1'000'000;
  Time connect_timeout = 250'000;
  Time response_grace = 0;            // a final response this long after the deadline still counts
  Time drain_grace = 0;               // a draining replica stays up for this long
  Time max_poll_interval = 0;         // polling: at least one call in each such span; 0: no such rule
  Time slow_start_window = 0;         // a started replica has warmed up no later than this
  double slow_start_min_share = 1.0;  // and starts at no less than this share of its capacity
  double overload_factor = 2.0;       // a warming replica that is sent more than this multiple of its
  Time overload_window = 1'000'000;   // present capacity for this long fails
};

}  // namespace ryeglade::policy
