// `ryeglade-lab load` and `agree`.
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
  explicit Commands(CLI::App& app);  // adds them; must live as long as the app
  bool chosen() const;
  // Its exit code; throws std::runtime_error. `node` is the node's program, for what starts one.
  int Run(const std::string& node);

 private:
  int RunLoad(const std::string& node);
  int RunAgree(const std::string& node);

  CLI::App *load_, *agree_;
  std::string to_, profile_ = "100/s:10s", protocol_ = "openai", key_ = "lab", out_, chart_;
  std::vector<std::string> classes_;
  std::size_t fleet_ = 0, most_connections_ = 2000;
  std::uint64_t seed_ = 1;
  double churn_ = 0.1, seconds_ = 20, bound_ = 0.3;
  std::vector<double> loads_{0.5, 0.8, 1.1};
};

}  // namespace ryeglade::load
