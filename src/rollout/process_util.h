// Helper functions to examine and run processes on this machine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ryeglade::rollout {

// Returns when a process started, in kernel clock ticks since boot, or 0 if there is no such process or it is
// a zombie.
std::uint64_t ProcessStartTicks(std::int64_t pid);

// Returns a loopback address (ip:port) whose port is free now. Throws std::runtime_error if there is none.
std::string FreeLoopbackAddress();

struct ProgramResult {
  std::optional<int> exit_code;  // nullopt: not started, or ended by a signal, as after the time limit
  std::string output;            // stdout and stderr together, cut off after about 16 KiB
};

// Runs a program to its end. `command_line` is its absolute path followed by its arguments. Blocks for at
// most 10 s; then the program is killed.
ProgramResult RunProgram(const std::vector<std::string>& command_line);

}  // namespace ryeglade::rollout
