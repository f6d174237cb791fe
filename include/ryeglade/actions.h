// The actions that a Router asks its host to carry out, in the order in which they are appended. Durations
// are microseconds.
#pragma once

#include <cstdint>
#include <variant>

#include "ryeglade/events.h"
#include "ryeglade/time.h"

namespace ryeglade::policy {

// Sends the request to a replica. Attempts of a request are numbered from 0 in the order of these actions.
struct SendAttempt {
  RequestId id = 0;
  ReplicaId replica = 0;
  Time timeout = 0;  // 0: no timeout of its own; the attempt may last until the client gives up
  // The first byte must be written within this time of the action, because afterwards the replica may no
  // longer recognise the attempt as a repeat. A late attempt is not sent and ends as kNotSent. 0: no bound.
  Time write_within = 0;
};

// Cancels an attempt, which stays in flight until an AttemptEnded event reports its outcome.
struct CancelAttempt {
  RequestId id = 0;
  int attempt = 0;  // number of the attempt, as in SendAttempt
};

// Concludes the request with a response that tells the client that sending it again is harmless.
struct RejectRequest {
  RequestId id = 0;
  Time retry_after = 0;  // how long the client should wait before it retries; 0: not stated
};

// Concludes the request with a failure: it may have been executed, so the client is not told that a retry is
// harmless.
struct FailRequest {
  RequestId id = 0;
};

// Ends a stream before it is complete, so that the client resumes it with a new request
// (RequestArrived::resumed).
struct MigrateStream {
  RequestId id = 0;
};

// Asks for a TimerFired event with this token after `delay`.
struct SetTimer {
  std::uint64_t token = 0;
  Time delay = 0;
};

// Sends a health check to a replica. A HealthCheckCompleted event reports the result.
struct CheckHealth {
  ReplicaId replica = 0;
};

// Opens or closes a watch on the endpoint list, whose changes arrive as EndpointList events.
struct WatchEndpoints {
  bool enabled = true;  // false: closes the watch
};

// Requests the endpoint list once. It arrives as an EndpointList event.
struct PollEndpoints {};

// Flight records store an action's index in this variant, so new actions must be added at the end.
using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, MigrateStream, SetTimer,
                            CheckHealth, WatchEndpoints, PollEndpoints>;

}  // namespace ryeglade::policy
