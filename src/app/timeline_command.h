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
  std::string replica;             // name, or id of eight hexadecimal digits; empty: all
  std::string request;             // the client's id, or the decision module's number; empty: all
  std::vector<std::string> span;   // from and to: Unix milliseconds, or "+SECONDS" since the record begins
  bool records = false;            // print single records instead of a summary
  bool again = false;              // detect anomalies anew instead of reading the recorded ones
  std::string out, csv, hdf5;      // output paths; empty: none
  std::string title;               // of the plot
  int width = 1400;                // of the plot, in pixels
};

class TimelineCommand {
 public:
  // Adds the sub-commands. `options` must outlive the app, which fills it.
  TimelineCommand(CLI::App& app, TimelineOptions* options);
  bool chosen() const;
  int Run();  // returns the exit code; throws std::runtime_error

 private:
  int Verify();
  int Show();
  int Events();
  int ExplainRequest();
  int MergeNodes();
  int Export();
  int Plot();

  TimelineOptions* options_;
  CLI::App* group_;
  CLI::App *verify_, *show_, *events_, *why_, *merge_, *export_, *plot_;
};

}  // namespace ryeglade
