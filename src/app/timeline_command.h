// `ryeglade timeline`: reads flight records.
#pragma once

#include <string>
#include <vector>

#include "ryeglade/router.h"

namespace CLI {
class App;
}

namespace ryeglade {

struct TimelineOptions {
  std::vector<std::string> paths;  // flight files, or directories of them
  std::string replica;             // its name, or its eight digits
  std::string request;             // the module's number, or what its client calls it
  std::vector<std::string> span;   // from and to: Unix time in milliseconds, or "+SECONDS" since the begin
  bool records = false;            // one by one, instead of a summary
  bool again = false;              // look for the unusual anew
  std::string out, title, csv, hdf5;
  int width = 1400;
};

class TimelineCommand {
 public:
  // Adds the sub-commands; `options` must live as long as the app.
  TimelineCommand(CLI::App& app, TimelineOptions* options);
  bool chosen() const;
  int Run();  // its exit code; throws std::runtime_error

 private:
  int Verify();
  int Show();
  int Events();
  int Why();
  int MergeNodes();
  int Export();
  int Plot();

  TimelineOptions* options_;
  CLI::App* group_;
  CLI::App *verify_, *show_, *events_, *why_, *merge_, *export_, *plot_;
};

}  // namespace ryeglade
