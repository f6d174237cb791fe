#include "rollout/process_util.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace ryeglade::rollout {
namespace {

constexpr unsigned kProgramTimeoutSeconds = 10;
constexpr std::size_t kMaxOutputBytes = std::size_t{16} * 1024;
constexpr int kStartTimeField = 22;  // number of the field in /proc/PID/stat, from 1; see proc(5)

// Runs in the child process. The alarm kills a program that does not end in time.
[[noreturn]] void ExecuteProgram(int output, char* const* argv) {
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  alarm(kProgramTimeoutSeconds);
  execv(argv[0], argv);
  _exit(127);
}

// Returns what is read up to the end of the pipe. Output beyond kMaxOutputBytes is dropped.
std::string ReadOutput(int fd) {
  std::string output;
  char buffer[4096];
  ssize_t length = 0;
  while ((length = read(fd, buffer, sizeof buffer)) > 0) {
    if (output.size() < kMaxOutputBytes) output.append(buffer, static_cast<std::size_t>(length));
  }
  return output;
}

}  // namespace

std::uint64_t ProcessStartTicks(std::int64_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(in, line);
  // The second field is the program's name in brackets, which may contain spaces and brackets itself.
  const std::size_t name_end = line.rfind(')');
  if (name_end == std::string::npos || name_end + 2 >= line.size()) return 0;
  std::size_t field_start = name_end + 2;
  if (line[field_start] == 'Z') return 0;
  for (int field = 3; field < kStartTimeField; ++field) field_start = line.find(' ', field_start) + 1;
  return std::strtoull(line.c_str() + field_start, nullptr, 10);
}

std::string FreeLoopbackAddress() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  close(fd);
  if (!bound) throw std::runtime_error("no free port for the node's management address");
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

ProgramResult RunProgram(const std::vector<std::string>& command_line) {
  int pipe_ends[2];
  if (pipe2(pipe_ends, O_CLOEXEC) != 0)
    return {std::nullopt, "cannot create a pipe for the output of the program"};
  std::vector<char*> argv;
  argv.reserve(command_line.size() + 1);
  for (const std::string& argument : command_line) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const pid_t pid = fork();
  if (pid == 0) ExecuteProgram(pipe_ends[1], argv.data());
  close(pipe_ends[1]);
  ProgramResult result;
  if (pid > 0) result.output = ReadOutput(pipe_ends[0]);
  close(pipe_ends[0]);
  int status = 0;
  if (pid > 0 && waitpid(pid, &status, 0) == pid && WIFEXITED(status)) result.exit_code = WEXITSTATUS(status);
  return result;
}

}  // namespace ryeglade::rollout
