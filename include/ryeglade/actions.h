// What a Router wants done, to be carried out in the order appended. Durations are microseconds.
#pragma once

#include <cstdint>
#include <variant>

#include "ryeglade/events.h"
#include "ryeglade/time.h"

namespace ryeglade::policy {

// Attempts of a request count from 0 in the order sent.
struct SendAttempt {
  RequestId id = 0;
  ReplicaId replica = 0;
  Time timeout = 0;  // 0: until the client gives up
  // Its first byte may be written no later than this after the action: beyond it a repeat is no longer known
  // to be recognised. 0: any time. What comes too late is not sent and ends as kNotSent.
  Time write_within = 0;
};

struct CancelAttempt {
  RequestId id = 0;
  int attempt = 0;
};

// Final; tells the client that trying again is harmless.
struct RejectRequest {
  RequestId id = 0;
  Time retry_after = 0;
};

// Final; promises nothing.
struct FailRequest {
  RequestId id = 0;
};

struct MigrateStream {
  RequestId id = 0;
};

struct SetTimer {
  std::uint64_t token = 0;
  Time delay = 0;
};

struct CheckHealth {
  ReplicaId replica = 0;
};

// Opens (or closes) a watch on the endpoint list.
struct WatchEndpoints {
  bool enabled = true;
};

// Asks for the endpoint list once.
struct PollEndpoints {};

// In the order in which flight records number the actions: new ones go to the end.
using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, MigrateStream, SetTimer,
                            CheckHealth, WatchEndpoints, PollEndpoints>;

}  // namespace ryeglade::policy
