// `ryeglade-lab soak`: runs plans drawn from seeds, or one plan file, and prints the checker's verdict on
// each.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace ryeglade::soak {

class Commands {
 public:
  explicit Commands(CLI::App& app);  // adds the subcommand; this object must live as long as `app`
  bool chosen() const;               // true if the command line has the subcommand
  // Returns the exit code: 0 if every play finished and broke no rule, otherwise 1. Throws std::runtime_error
  // for a wrong option, a file that can't be read or written, or a play of a plan file that did not finish.
  int Run(const std::string& node_program);

 private:
  int PlayPlanFile(const std::string& node_program);

  CLI::App* soak_;
  std::string seeds_ = "1", report_, plan_, write_plan_, preload_;
  std::vector<std::string> excluded_faults_;
  double seconds_ = 40;
  std::size_t jobs_ = 1;
  bool replay_ = false, shrink_ = false;
  std::size_t most_plays_ = 40;
};

}  // namespace ryeglade::soak
