#include "base/gnuplot.h"

#include <fmt/format.h>

#include <cstdio>
#include <stdexcept>

namespace ryeglade {

std::string GnuplotHead(const std::string& out, double width, double height, int font) {
  const bool svg = out.ends_with(".svg");
  if (!svg && !out.ends_with(".png"))
    throw std::runtime_error(out + ": the name of a chart file must end in .svg or .png");
  std::string name;
  for (const char c : out) name += c == '"' || c == '\\' || c == '`' ? '_' : c;
  return fmt::format(
             "set terminal {} size {:.0f},{:.0f}{} font \"DejaVu Sans,{}\" noenhanced background "
             "\"#ffffff\"\n",
             svg ? "svg" : "pngcairo", width, height, svg ? " dynamic" : "", svg ? font : font - 1) +
         fmt::format("set output \"{}\"\n", name);
}

void RunGnuplot(const std::string& script) {
  FILE* pipe = popen("gnuplot", "w");
  if (pipe == nullptr) throw std::runtime_error("gnuplot cannot be started; install the package gnuplot-nox");
  const bool written = std::fwrite(script.data(), 1, script.size(), pipe) == script.size();
  const int status = pclose(pipe);
  if (!written || status != 0)
    throw std::runtime_error("gnuplot failed; if it is missing, install the package gnuplot-nox");
}

}  // namespace ryeglade
