// The words by which log lines, counters and flight records name what the decision module and the upstream
// side say. They are part of the log's interface (docs/on-call.md): a word never changes its meaning.
#pragma once

#include "ryeglade/router.h"

namespace ryeglade {

const char* Name(policy::Outcome outcome);
const char* Name(policy::ConclusionReason why);

}  // namespace ryeglade
