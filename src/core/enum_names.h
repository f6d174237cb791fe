// The names by which log lines, counters and flight records call outcomes and reasons. They are part of the
// log's interface (docs/on-call.md): a name never changes its meaning. A value that is not known here, as a
// record of a later version may hold, is "?".
#pragma once

#include "ryeglade/router.h"

namespace ryeglade {

const char* Name(policy::Outcome outcome);
const char* Name(policy::ConclusionReason reason);

}  // namespace ryeglade
