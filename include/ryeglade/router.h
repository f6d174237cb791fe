// ryeglade::policy: the decisions of a request router for fleets of language-model servers.
//
// One Router is one node of the routing tier. It is constructed from settings, a seed and the present
// time; it is then given every event that concerns it, with the time of the event, and appends the actions
// it wants carried out to a sink. It does no I/O, starts no thread, reads no clock and shares nothing:
// the same events at the same times yield the same actions. All times are microseconds.
//
// Wrong calls never corrupt state: an event for an unknown request, attempt, replica or timer, a second
// outcome of one attempt, or a second arrival under one id is ignored. Time that steps back is held still.
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

// A replica as a Router sees it now; all zeros: not known.
struct ReplicaView : LearnedReplica {
  Endpoint endpoint;
  int in_flight = 0;                  // this node's attempts there
  double concurrency_limit = 0;       // this node's present limit there; 0: nothing new is sent
  double prefill_backlog_tokens = 0;  // tokens of this node's prompts still to be read, as far as is known
  Time no_response_since = 0;         // while there are any: how long no answer has begun there
};

class Router {
 public:
  Router(const Settings& settings, std::uint64_t seed, Time now);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Takes one event that happened at `now` and appends what is to be done about it.
  void Handle(Time now, const Event& event, std::vector<Action>& actions);

  // New settings at run time: the classes by index (those of open requests keep their index and meaning, so
  // the caller only appends; fewer than before are ignored) and how many attempts a request may have.
  void UpdateClasses(const std::vector<ClassSettings>& classes, int max_attempts);

  // Null: nobody; then nothing is spent on reasons. Not owned. What is observed changes no decision.
  void SetObserver(DecisionObserver* observer);

  // All that is learned, and what is in flight at each replica, to hand on as StateRestored and
  // SiblingInFlightChanged.
  LearnedState ExportState() const;

  // For dashboards and tests; none of these changes anything.
  std::size_t queued_requests() const;  // waiting at this node
  std::size_t open_requests() const;    // taken and not finished with
  ReplicaView replica(ReplicaId replica_id) const;
  int in_flight(ReplicaId replica_id) const { return replica(replica_id).in_flight; }
  double concurrency_limit(ReplicaId replica_id) const { return replica(replica_id).concurrency_limit; }
  // After failures it gets nothing new before then; 0: never.
  Time ejected_until(ReplicaId replica_id) const { return replica(replica_id).ejected_until; }
  double total_concurrency_limit() const;
  // Whether a client may be told now that repeating this request is harmless: by its class's idempotency and
  // scope, or because every attempt provably never ran. One that is in flight counts as run; false for an
  // unknown request.
  bool may_reject(RequestId id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryeglade::policy
