// `ryeglade-lab load` and `ryeglade-lab agree`.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace ryeglade::load {

class Commands {
 public:
  explicit Commands(CLI::App& app);  // adds the sub-commands; must outlive `app`
  bool chosen() const;
  // Returns the exit code; throws std::runtime_error. `node` is the path of the node's program, for commands
  // that start a node.
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
