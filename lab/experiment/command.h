// `ryeglade-lab run`, `report` and `shrink`, and `compare` of two results files.
#pragma once

#include <cstdint>
#include <string>

namespace CLI {
class App;
}

namespace ryeglade::experiment {

// The sub-commands `run`, `report` and `shrink`. Their options are stored in this object, which must outlive
// every use of `app`.
class Commands {
 public:
  explicit Commands(CLI::App& app);  // adds the sub-commands to `app`
  bool chosen() const;               // one of the sub-commands is on the command line
  // Runs the chosen sub-command and returns the exit code. Throws std::runtime_error and SettingsError.
  int Run();

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

// Prints the differences between two results files. Returns 0, the exit code. Throws std::runtime_error.
int CompareFiles(const std::string& a, const std::string& b);

}  // namespace ryeglade::experiment
