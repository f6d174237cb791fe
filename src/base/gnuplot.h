// Draws charts with gnuplot, which must be installed.
#pragma once

#include <string>

namespace ryeglade {

// Returns the script lines that set the output file and its format, which is given by the extension of `out`:
// .svg or .png. Sizes are in pixels, `font` is in points. Quotes, backslashes and backticks in `out`, which
// gnuplot would interpret, are replaced by underscores. Throws std::runtime_error for any other extension.
std::string GnuplotHead(const std::string& out, double width, double height, int font);

// Runs a script. Throws std::runtime_error if gnuplot is missing or fails.
void RunGnuplot(const std::string& script);

}  // namespace ryeglade
