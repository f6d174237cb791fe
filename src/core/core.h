// What the parts of the core share: the runtime, the configuration, and each other by port. The node puts it
// together.
#pragma once

#include "base/runtime.h"
#include "core/dialect.h"
#include "core/ports.h"
#include "core/tally.h"
#include "settings/config.h"

namespace ryeglade {

struct Core : Runtime {
  const Config* config = nullptr;
  Dialect* dialect = nullptr;  // that the upstream hosts speak
  EventPort* events = nullptr;
  VerdictPort* verdicts = nullptr;
  AnswerPort* answers = nullptr;
  AttemptPort* attempts = nullptr;
  FlowPort* flow = nullptr;
  HostPort* hosts = nullptr;
  MembershipPort* membership = nullptr;
  StreamTap* stream_tap = nullptr;          // null: nobody listens, at no cost
  MembershipTap* membership_tap = nullptr;  // the same
  Tally* tally = nullptr;                   // what was done, for the counters; never null once put together
  const RepeatPort* repeats = nullptr;
};

}  // namespace ryeglade
