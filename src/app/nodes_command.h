// `ryeglade nodes`: what a node thinks of the others, read from the status address of its membership.
#pragma once

#include <string>

namespace CLI {
class App;
}

namespace ryeglade {

struct NodesOptions {
  std::string at = "127.0.0.1:7947", name;
  double every = 1;  // seconds, of `watch`
  int times = 0;     // looks of `watch`; 0: until Ctrl-C
  bool json = false;
};

class NodesCommand {
 public:
  // Adds the sub-commands; `options` must live as long as the app.
  NodesCommand(CLI::App& app, NodesOptions* options);
  bool chosen() const;
  int Run();  // its exit code; throws std::runtime_error

 private:
  int Show();
  int Watch();
  int Explain();
  int Tier();
  int Check();

  NodesOptions* o_;
  CLI::App *group_, *show_, *watch_, *explain_, *tier_, *check_;
};

}  // namespace ryeglade
