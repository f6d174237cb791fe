// Runs a command and returns what it wrote to standard output and standard error. If the command does not
// exit with 0, the result begins with "failed: ".
#pragma once

#include <cstdio>
#include <string>

namespace ryeglade::policy::test {

inline std::string Shell(const std::string& command) {
  std::string out;
  FILE* pipe = popen((command + " 2>&1").c_str(), "r");
  for (char buffer[4096]; std::fgets(buffer, sizeof buffer, pipe) != nullptr;) out += buffer;
  return pclose(pipe) == 0 ? out : "failed: " + out;
}

}  // namespace ryeglade::policy::test
