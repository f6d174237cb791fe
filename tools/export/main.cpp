// ryeglade-export: writes a flight record's tables as one HDF5 file. `ryeglade timeline export --hdf5` runs
// it; it is a program of its own so that the node does not load the library.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "columnar/columnar_file.h"
#include "timeline/export_model.h"
#include "timeline/merge_model.h"
#include "timeline/record_loader.h"

namespace {

int Run(int argc, char** argv) {
  CLI::App app("Writes a flight record's tables as one HDF5 file.");
  std::string out;
  ryeglade::timeline::LoadOptions options;
  options.max_bins = 100'000;
  std::vector<std::string> paths;
  app.add_option("--out", out, "the file")->required();
  app.add_option("--span", options.span, "from, and to: Unix milliseconds, or +SECONDS since the begin")
      ->expected(1, 2)
      ->delimiter(',');
  app.add_option("path", paths, "each is one node: a directory, or a file")->required();
  CLI11_PARSE(app, argc, argv);
  std::string losses;
  const std::vector<ryeglade::timeline::ReplicaTimelines> nodes =
      ryeglade::timeline::LoadNodes(paths, options, &losses);
  const ryeglade::timeline::TimelineMerge merge(nodes);
  const std::vector<ryeglade::TextTable> sheets =
      ryeglade::timeline::TimelineTables(nodes.size() == 1 ? nodes.front() : merge.timelines());
  ryeglade::WriteColumns(out, {{}, sheets});
  for (const ryeglade::TextTable& sheet : sheets) {
    std::printf("%s /%s: %zu rows, %zu columns\n", out.c_str(), sheet.name.c_str(), sheet.rows(),
                sheet.columns.size());
  }
  std::fputs(losses.c_str(), stdout);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "ryeglade-export: %s\n", e.what());
  }
  return 1;
}
