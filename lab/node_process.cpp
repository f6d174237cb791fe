#include "lab/node_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ryeglade::lab {
namespace {

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error("cannot write " + path);
}

}  // namespace

void NodeProcess::Start(const std::string& program, const NodeFiles& files) {
  std::string name = std::filesystem::temp_directory_path().string() + "/ryeglade-lab-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create the directory " + name);
  directory_ = name;
  const std::string config = directory_ + "/config.json", settings = directory_ + "/settings.toml",
                    keys = directory_ + "/keys.toml", log = directory_ + "/log";
  WriteFile(config, files.config);
  if (!files.keys.empty()) {
    WriteFile(keys, files.keys);
    chmod(keys.c_str(), 0600);
  }
  std::string text = files.settings;
  for (const auto& [placeholder, path] :
       {std::pair<std::string, std::string>{"@KEYS@", keys}, {"@DIR@", directory_}}) {
    for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
      text.replace(at, placeholder.size(), path);
    }
  }
  WriteFile(settings, text);
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork the node's process");
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // no node outlives the lab, however that ends
    setpgid(0, 0);                     // Ctrl-C reaches the lab only, which then stops the node
    for (const char* variable : {"EDGE_CONFIG", "EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"})
      unsetenv(variable);
    if (!files.tmpdir.empty()) setenv("TMPDIR", files.tmpdir.c_str(), 1);
    if (!files.preload.empty()) setenv("LD_PRELOAD", files.preload.c_str(), 1);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    if (fd >= 0) dup2(fd, STDERR_FILENO);
    if (files.settings.empty()) {
      execl(program.c_str(), program.c_str(), "serve", "--config", config.c_str(), nullptr);
    } else {
      execl(program.c_str(), program.c_str(), "serve", "--config", config.c_str(), "--settings",
            settings.c_str(), nullptr);
    }
    _exit(127);
  }
}

std::string NodeProcess::Log() const { return LogFrom(0); }

std::string NodeProcess::LogFrom(std::size_t offset) const {
  std::ifstream in(directory_ + "/log", std::ios::binary);
  in.seekg(static_cast<std::streamoff>(offset));
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

bool NodeProcess::IsRunning() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, &status_, WNOHANG) != pid_) return true;
  pid_ = -1;
  return false;
}

void NodeProcess::Signal(int number) const {
  if (pid_ > 0) kill(pid_, number);
}

int NodeProcess::Stop() {
  if (pid_ > 0) {
    kill(pid_, SIGTERM);
    waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  return status();
}

int NodeProcess::status() const {
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : 128 + WTERMSIG(status_);
}

// Renames a new file into place, because the node may read the configuration at any time.
void NodeProcess::WriteConfig(const std::string& config) const {
  WriteFile(directory_ + "/config.new", config);
  std::filesystem::rename(directory_ + "/config.new", directory_ + "/config.json");
}

namespace {

// In pages.
struct MemoryPages {
  std::size_t all = 0, resident = 0, shared = 0;
};

MemoryPages ReadMemoryPages(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  MemoryPages pages;
  in >> pages.all >> pages.resident >> pages.shared;
  return pages;
}

}  // namespace

std::size_t NodeProcess::ResidentBytes() const {
  return ReadMemoryPages(pid_).resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t NodeProcess::PrivateBytes() const {
  const MemoryPages pages = ReadMemoryPages(pid_);
  return (pages.resident - std::min(pages.resident, pages.shared)) *
         static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::int64_t NodeProcess::CpuWaitTime() const {
  std::ifstream in("/proc/" + std::to_string(pid_) +
                   "/schedstat");  // in ns: running, waiting; then the number of time slices
  std::int64_t run = 0, waited = 0;
  in >> run >> waited;
  return waited / 1000;
}

std::size_t NodeProcess::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/fd", error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

NodeProcess::~NodeProcess() {
  Stop();
  std::error_code ignored;
  if (!directory_.empty()) std::filesystem::remove_all(directory_, ignored);
}

std::string ConfigJson(const std::string& listen, const std::string& discovery, const std::string& known,
                       std::int64_t latency_objective_ms, std::int64_t deadline_ms,
                       const std::string& effect) {
  const auto cls = [&](const char* name, double worth) {
    return nlohmann::json{{"name", name},
                          {"promise", latency_objective_ms * 1000},
                          {"deadline", deadline_ms * 1000},
                          {"stream", true},
                          {"effect", effect},
                          {"worth", worth}};
  };
  const nlohmann::json config = {{"name", "lab"},
                                 {"listen", listen},
                                 {"discovery", discovery},
                                 {"seed", "8c1f30d27a5be964"},
                                 {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 4096}}},
                                 {"known", nlohmann::json::parse(known)},
                                 {"settings",
                                  {{"classes", {cls("docs", 3), cls("agent", 9)}},
                                   {"localities", {"z"}},
                                   {"shapes", {"m"}},
                                   {"membership-mode", "ask"},
                                   {"stats", {{"how", "none"}}},
                                   {"limits",
                                    {{"max-attempts", 4},
                                     {"idle-close", 5'000'000},
                                     {"connect-timeout", 2'000'000},
                                     {"retry-after", true}}},
                                   {"obligations", {{"ask-within", 500'000}}}}}};
  return config.dump();
}

}  // namespace ryeglade::lab
