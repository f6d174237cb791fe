// `ryeglade nodes`: a node's view of the other nodes, read from the status address of its membership.
#pragma once

#include <string>

namespace CLI {
class App;
}

namespace ryeglade {

struct NodesOptions {
  std::string status_address = "127.0.0.1:7947";  // ip:port
  std::string member;                             // for `explain`: its name
  double interval = 1;                            // for `watch`: seconds between two polls
  int polls = 0;                                  // for `watch`; 0: until Ctrl-C
  bool json = false;                              // print the response unchanged
};

class NodesCommand {
 public:
  // Adds the sub-commands. `options` must outlive the app, which fills it.
  NodesCommand(CLI::App& app, NodesOptions* options);
  bool chosen() const;
  int Run();  // returns the exit code; throws std::runtime_error

 private:
  int Show();
  int Watch();
  int Explain();
  int ShowTier();
  int Check();

  NodesOptions* options_;
  CLI::App *group_, *show_, *watch_, *explain_, *tier_, *check_;
};

}  // namespace ryeglade
