// Small helpers around processes of this machine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ryeglade::rollout {

// When a process started, in kernel clock ticks since boot; 0: there is none, or it is a zombie.
std::uint64_t ProcessStartTicks(std::int64_t pid);

// A loopback address, ip:port, whose port is free now. Throws std::runtime_error where there is none.
std::string FreeLoopbackAddress();

struct ProgramResult {
  std::optional<int> exit_code;  // null: it did not start, or did not exit by itself in time
  std::string output;            // stdout and stderr together, up to a bound
};

// Runs a program (an absolute path, then its arguments) to its end. Blocks, for 10 s at most.
ProgramResult RunProgram(const std::vector<std::string>& command_line);

}  // namespace ryeglade::rollout
