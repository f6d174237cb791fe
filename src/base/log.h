// One line an event on standard error: milliseconds of Unix time, a stable word, and fields. The words are
// listed in docs/on-call.md.
#pragma once

namespace ryeglade {

[[gnu::format(printf, 1, 2)]] void Log(const char* format, ...);

}  // namespace ryeglade
