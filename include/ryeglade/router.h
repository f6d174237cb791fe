// ryeglade::policy: the decisions of a request router for fleets of language-model servers.
//
// A Router decides for one node of the routing tier. It is constructed from settings, a seed and the current
// time. The host then gives it every event that concerns it, with the time of the event, and the Router
// appends the actions that the host has to carry out. It does no I/O, starts no thread, reads no clock and
// shares no state, so the same events at the same times yield the same actions. All times are microseconds.
//
// Invalid calls never corrupt its state: an event for an unknown request, attempt, replica or timer, a second
// outcome of one attempt, or a second arrival with the same id is ignored. A time before that of an earlier
// event is replaced by the latest time seen.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "ryeglade/actions.h"
#include "ryeglade/decision_observer.h"
#include "ryeglade/events.h"
#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"
#include "ryeglade/time.h"

namespace ryeglade::policy {

// The current state of a replica at this node; default values if the replica is not known.
struct ReplicaView : LearnedReplica {
  Endpoint endpoint;
  int in_flight = 0;             // this node's attempts at the replica
  double concurrency_limit = 0;  // this node's current limit for the replica; 0: no new attempts
  // Prompt tokens that the replica is expected to have yet to prefill for this node's attempts.
  double prefill_backlog_tokens = 0;
  // While there is such a backlog: the time since which no response has started at the replica.
  Time no_response_since = 0;
};

// Makes the decisions of one node. Not thread-safe.
class Router {
 public:
  // Copies the settings.
  Router(const Settings& settings, std::uint64_t seed, Time now);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Handles an event that happened at `now` and appends the resulting actions to `actions`.
  void Handle(Time now, const Event& event, std::vector<Action>& actions);

  // Replaces the request classes and the maximum number of attempts of a request at run time. Open requests
  // refer to their class by index, so the caller may only append classes and must not reorder them. A list
  // with fewer classes than before is ignored.
  void UpdateClasses(const std::vector<ClassSettings>& classes, int max_attempts);

  // Sets the observer of the decisions, or removes it (null), in which case no records are computed. Does not
  // take ownership. Observing changes no decision.
  void SetObserver(DecisionObserver* observer);

  // Returns everything learned and the number of attempts in flight at each replica, for another process of
  // this node to take up by StateRestored and SiblingInFlightChanged.
  LearnedState ExportState() const;

  // For dashboards and tests.
  std::size_t queued_requests() const;  // waiting at this node for a replica
  std::size_t open_requests() const;    // not concluded, or with an attempt still in flight
  ReplicaView replica(ReplicaId replica_id) const;
  int in_flight(ReplicaId replica_id) const { return replica(replica_id).in_flight; }
  double concurrency_limit(ReplicaId replica_id) const { return replica(replica_id).concurrency_limit; }
  // The time before which the replica gets no new attempts after failures; 0: it has not been ejected.
  Time ejected_until(ReplicaId replica_id) const { return replica(replica_id).ejected_until; }
  double total_concurrency_limit() const;  // sum of this node's limits for all replicas
  // Whether a client may now be told that repeating this request is harmless, because its class's idempotency
  // and scope allow it or because it is proved that no attempt ran. An attempt in flight counts as run.
  // Returns false for an unknown request.
  bool may_reject(RequestId id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryeglade::policy
