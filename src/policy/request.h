// An open request and its attempts, as the Router keeps them until every attempt has ended. Times are
// microseconds.
#pragma once

#include <cstddef>
#include <vector>

#include "queue_order.h"
#include "ryeglade/events.h"
#include "ryeglade/time.h"

namespace ryeglade::policy {

struct Attempt {
  ReplicaId replica = 0;
  int zone = 0;  // of the replica, as are the cell and the id: it may be gone when the attempt matters
  int cell = 0;
  Time sent_at = 0;
  bool in_flight = true;
  double tokens_to_prefill = 0;  // before its first token; 0 from then on
  bool may_have_run = true;      // as far as is known
};

struct Request {
  RequestArrived arrival;
  Time arrived_at = 0;
  Time deadline = 0;            // the client gives up
  Time objective_at = 0;        // a first token by then earns the full weight
  Time latest_dispatch_at = 0;  // while queued: concluded if not dispatched by then
  double estimated_runtime = 0;
  double runtime_by_bucket = 0;  // the two estimates that it was made from
  double runtime_by_hint = 0;
  bool over_quota = false;  // beyond its tenant's quota
  bool queued = false;
  bool response_started = false;
  Time time_to_first_token = 0;
  bool concluded = false;  // only outcomes of attempts are still to come
  int attempts_in_flight = 0;
  QueuePosition queue_position;  // while queued
  std::vector<Attempt> attempts;

  RequestId id() const { return arrival.id; }
  std::size_t class_index() const { return static_cast<std::size_t>(arrival.class_index); }

  // Null: there is no such attempt, or it has ended.
  Attempt* InFlightAttempt(int index) {
    const auto i = static_cast<std::size_t>(index);
    return index >= 0 && i < attempts.size() && attempts[i].in_flight ? &attempts[i] : nullptr;
  }
};

}  // namespace ryeglade::policy
