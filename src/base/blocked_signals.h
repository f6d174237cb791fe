// Blocks SIGHUP and SIGTERM while a process starts, so that they are delivered once it can handle them. Their
// default action is to end the process: SIGHUP would end one that is about to read its settings anyway, and
// SIGTERM one that has not set up its graceful shutdown yet.
#pragma once

namespace ryeglade {

void BlockSignals();    // to be called as early as possible, before threads are started
void UnblockSignals();  // delivers pending signals

}  // namespace ryeglade
