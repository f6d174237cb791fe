// A progress line on the terminal for long commands.
#pragma once

#include <functional>

namespace ryeglade::lab {

// Returns a function that prints the share that is done (0 to 1, its argument) and the estimated time that is
// left, counted from now. Returns null if standard error is not a terminal.
std::function<void(double done)> ProgressLine();

}  // namespace ryeglade::lab
