// `ryeglade-lab rollout`: runs simulated rollouts and prints a table of their results, explores all
// executions of a small rollout, or measures rollouts over real processes.
#pragma once

#include <string>

namespace CLI {
class App;
}

namespace ryeglade::rollout_lab {

// The subcommand `rollout` with its options.
class Commands {
 public:
  explicit Commands(CLI::App& app);  // must live as long as `app`, which holds references to its members
  bool chosen() const;               // true if the command line contains the subcommand
  // `node_program` is the path of `ryeglade`. Returns the exit code: 0, or 1 if an invariant was violated, or
  // if a planted fault was not detected.
  int Run(const std::string& node_program);

 private:
  CLI::App* rollout_;
  int Explore() const;
  int Real(const std::string& node_program) const;

  int runs_ = 200, workers_ = 4, seed_ = 1, nodes_ = 0, faults_ = 2, kills_ = 0;
  double rate_ = 20;
  bool ends_ = false, explore_ = false, real_ = false;
  std::string variant_;
  std::string set_ = "harms";
};

}  // namespace ryeglade::rollout_lab
