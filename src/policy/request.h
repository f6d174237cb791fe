// A request and its attempts, which the Router keeps until the request is concluded and every attempt has
// ended. Times are microseconds.
#pragma once

#include <cstddef>
#include <vector>

#include "queue_order.h"
#include "ryeglade/events.h"
#include "ryeglade/time.h"

namespace ryeglade::policy {

// One attempt to have the request served by a replica.
struct Attempt {
  ReplicaId replica = 0;
  // Zone and cell of the replica, kept here because the replica may no longer be known when they are needed.
  int zone = 0;
  int cell = 0;
  Time sent_at = 0;
  bool in_flight = true;
  double tokens_to_prefill = 0;  // expected number; 0 after the first token or the end of the attempt
  bool may_have_run = true;      // false: the outcome proves that the request was not executed
};

struct Request {
  RequestArrived arrival;
  Time arrived_at = 0;
  Time deadline = 0;             // when the client gives up
  Time objective_at = 0;         // a first token by then earns the full weight
  Time latest_dispatch_at = 0;   // while queued: the request is concluded if it is not dispatched by then
  double estimated_runtime = 0;  // microseconds; combines the two estimates below
  double runtime_by_bucket = 0;  // estimated from similar requests
  double runtime_by_hint = 0;    // estimated from the cost hint
  bool over_quota = false;       // beyond its tenant's quota
  bool queued = false;
  bool response_started = false;
  Time time_to_first_token = 0;  // of the attempt whose response has started
  bool concluded = false;        // no further actions; only outcomes of attempts are still awaited
  int attempts_in_flight = 0;
  QueuePosition queue_position;  // valid while queued
  std::vector<Attempt> attempts;

  RequestId id() const { return arrival.id; }
  std::size_t class_index() const { return static_cast<std::size_t>(arrival.class_index); }

  // Returns null if there is no such attempt or it has ended.
  Attempt* InFlightAttempt(int index) {
    const auto i = static_cast<std::size_t>(index);
    return index >= 0 && i < attempts.size() && attempts[i].in_flight ? &attempts[i] : nullptr;
  }
};

}  // namespace ryeglade::policy
