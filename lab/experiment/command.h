// `ryeglade-lab run`, `report` and `shrink`, and `compare` of two results files.
#pragma once

#include <cstdint>
#include <string>

namespace CLI {
class App;
}

namespace ryeglade::experiment {

class Commands {
 public:
  explicit Commands(CLI::App& app);  // adds the sub-commands; must outlive `app`
  bool chosen() const;
  int Run();  // returns the exit code; throws std::runtime_error and SettingsError

 private:
  int RunExperimentFile();
  int RunReport();
  int RunShrink();

  CLI::App *run_, *report_, *shrink_;
  std::string file_, out_, rule_, baseline_, policy_;
  int workers_ = 0;
  bool rerun_ = false, png_ = false;
  double margin_ = 0.05;
  std::size_t cell_ = 0, max_runs_ = 400;
  std::uint64_t seed_ = 0;
};

// Prints the differences between two results files. Returns 0.
int CompareFiles(const std::string& a, const std::string& b);

}  // namespace ryeglade::experiment
