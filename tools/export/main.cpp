// ryeglade-export writes the tables of a flight record to one HDF5 file. `ryeglade timeline export --hdf5`
// runs it. It is a separate program so that the node does not load the HDF5 library.
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
  app.add_option("--out", out, "the HDF5 file to write")->required();
  app.add_option("--span", options.span,
                 "start and end: Unix milliseconds, or +SECONDS since the start of the record")
      ->expected(1, 2)
      ->delimiter(',');
  app.add_option("path", paths, "flight records, one path per node: a directory or a file")->required();
  CLI11_PARSE(app, argc, argv);
  std::string losses;
  const std::vector<ryeglade::timeline::ReplicaTimelines> nodes =
      ryeglade::timeline::LoadNodes(paths, options, &losses);
  const ryeglade::timeline::TimelineMerge merge(nodes);
  const std::vector<ryeglade::TextTable> tables =
      ryeglade::timeline::TimelineTables(nodes.size() == 1 ? nodes.front() : merge.timelines());
  ryeglade::WriteColumns(out, {{}, tables});
  for (const ryeglade::TextTable& table : tables) {
    std::printf("%s /%s: %zu rows, %zu columns\n", out.c_str(), table.name.c_str(), table.rows(),
                table.columns.size());
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
