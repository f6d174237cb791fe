#include "rollout/node_process.h"

#include <fcntl.h>
#include <unistd.h>

#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

#include "rollout/process_util.h"

extern char** environ;

namespace ryeglade::rollout {
namespace {

constexpr std::string_view kManagementVariable = "EDGE_MANAGEMENT=";
constexpr std::string_view kTmpdirVariable = "TMPDIR=";

std::vector<std::string> CommandLine(const Release& release) {
  std::vector<std::string> arguments = {release.program, "serve", "--config", release.config};
  if (!release.settings.empty()) arguments.insert(arguments.end(), {"--settings", release.settings});
  return arguments;
}

// Returns this process's environment with the node's own management address and $TMPDIR.
std::vector<std::string> Environment(const std::string& management, const std::string& directory) {
  std::vector<std::string> variables = {std::string(kManagementVariable) + management,
                                        std::string(kTmpdirVariable) + directory + "/tmp"};
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string_view variable = *entry;
    if (!variable.starts_with(kManagementVariable) && !variable.starts_with(kTmpdirVariable))
      variables.emplace_back(variable);
  }
  return variables;
}

// Returns the array of pointers that exec needs. It is valid as long as `strings` is.
std::vector<char*> NullTerminated(std::vector<std::string>& strings) {
  std::vector<char*> pointers;
  pointers.reserve(strings.size() + 1);
  for (std::string& text : strings) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

void NodeProcess::Closer::operator()(NodeProcess* process) const {
  if (!process->has_handle_) {
    delete process;
    return;
  }
  uv_close(reinterpret_cast<uv_handle_t*>(&process->handle_),
           [](uv_handle_t* handle) { delete static_cast<NodeProcess*>(handle->data); });
}

NodeProcess::Ptr NodeProcess::Adopt(int number, const ProcessRecord& record) {
  const bool alive =
      record.pid > 0 && record.start_ticks != 0 && ProcessStartTicks(record.pid) == record.start_ticks;
  if (!alive) return nullptr;
  Ptr process(new NodeProcess(number, {}));
  process->record_ = record;
  return process;
}

NodeProcess::Ptr NodeProcess::Start(uv_loop_t* loop, int number, const Release& release,
                                    const std::string& directory, OnExit on_exit) {
  Ptr process(new NodeProcess(number, std::move(on_exit)));
  process->record_.management = FreeLoopbackAddress();
  process->Spawn(loop, release, directory);
  process->record_.pid = process->handle_.pid;
  process->record_.start_ticks = ProcessStartTicks(process->record_.pid);
  return process;
}

void NodeProcess::Spawn(uv_loop_t* loop, const Release& release, const std::string& directory) {
  std::vector<std::string> arguments = CommandLine(release);
  std::vector<std::string> variables = Environment(record_.management, directory);
  std::vector<char*> argv = NullTerminated(arguments);
  std::vector<char*> environment = NullTerminated(variables);
  const std::string log = directory + "/node.log";
  const int log_fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log_fd < 0) throw std::runtime_error("cannot open " + log + " for writing");
  uv_stdio_container_t stdio[3];
  stdio[0].flags = UV_IGNORE;
  for (int fd : {STDOUT_FILENO, STDERR_FILENO}) {
    stdio[fd].flags = UV_INHERIT_FD;
    stdio[fd].data.fd = log_fd;
  }
  uv_process_options_t options{};
  options.file = argv[0];
  options.args = argv.data();
  options.env = environment.data();
  options.flags = UV_PROCESS_DETACHED;  // the node outlives its supervisor
  options.stdio = stdio;
  options.stdio_count = 3;
  options.exit_cb = [](uv_process_t* handle, std::int64_t status, int signal) {
    auto* process = static_cast<NodeProcess*>(handle->data);
    const OnExit on_exit = process->on_exit_;  // a copy, because the call may destroy `process`
    on_exit(process->number_, status, signal);
  };
  handle_.data = this;
  has_handle_ = true;  // set before uv_spawn, which initializes the handle even if it fails
  const int error = uv_spawn(loop, &handle_, &options);
  close(log_fd);
  if (error != 0) throw std::runtime_error("cannot start " + release.program + ": " + uv_strerror(error));
}

bool NodeProcess::AdoptedHasEnded() const {
  return !has_handle_ && ProcessStartTicks(record_.pid) != record_.start_ticks;
}

}  // namespace ryeglade::rollout
