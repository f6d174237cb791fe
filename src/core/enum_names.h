// The names of outcomes and reasons in log lines, counters and flight records. They are part of the log's
// interface (docs/on-call.md): a name never changes its meaning. An unknown value, which a record of a later
// version may contain, is "?".
#pragma once

#include "core/stream_end_model.h"
#include "ryeglade/router.h"

namespace ryeglade {

const char* Name(policy::Outcome outcome);
const char* Name(policy::ConclusionReason reason);
const char* Name(StreamEnd end);

}  // namespace ryeglade
