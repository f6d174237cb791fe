// SIGHUP and SIGTERM while a process starts: they wait until it can act on them. By default the first would
// end a process that is about to read its settings anyway, and the second one that has nothing to end in
// order.
#pragma once

namespace ryeglade {

void BlockSignals();    // as early as possible, before there are threads
void UnblockSignals();  // whatever came meanwhile is delivered now

}  // namespace ryeglade
