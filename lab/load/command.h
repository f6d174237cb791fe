// `ryeglade-lab load` and `ryeglade-lab agree`.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace ryeglade::load {

// The sub-commands `load` and `agree`. Their options are stored in this object, which must outlive every use
// of `app`.
class Commands {
 public:
  explicit Commands(CLI::App& app);  // adds the sub-commands to `app`
  bool chosen() const;               // one of the sub-commands is on the command line
  // Runs the chosen sub-command and returns the exit code. Throws std::runtime_error. `node` is the path of
  // the node's program, for commands that start a node.
  int Run(const std::string& node);

 private:
  int RunLoad(const std::string& node);
  int RunAgree(const std::string& node);

  CLI::App *load_, *agree_;
  std::string to_, profile_ = "100/s:10s", protocol_ = "openai", key_ = "lab", out_, chart_;
  std::vector<std::string> classes_;
  std::size_t replica_count_ = 0, max_connections_ = 2000;
  std::uint64_t seed_ = 1;
  double churn_ = 0.1, seconds_ = 20, bound_ = 0.3;
  std::vector<double> loads_{0.5, 0.8, 1.1};
};

}  // namespace ryeglade::load
