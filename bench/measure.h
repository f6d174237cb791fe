// Shared parts of the benchmarks: a fleet whose replicas answer at once, requests, and the CPU time of a
// node, which the kernel counts in nanoseconds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "lab/local_fleet.h"

namespace ryeglade::lab {

// Path of the node's program; null if the variable is not set.
inline const char* Program() { return std::getenv("RYEGLADE_PROGRAM"); }

// CPU time in seconds: of the event loop's thread, and of the whole process.
struct Cpu {
  double loop = 0, all = 0;
};

// CPU time of a process since its start. Its event loop runs in its first thread.
inline Cpu CpuTimeOf(pid_t pid) {
  Cpu cpu;
  const std::string base = "/proc/" + std::to_string(pid) + "/task";
  for (const auto& task : std::filesystem::directory_iterator(base)) {
    std::ifstream in(task.path() / "schedstat");
    double ns = 0;
    in >> ns;
    cpu.all += ns / 1e9;
    if (task.path().filename() == std::to_string(pid)) cpu.loop = ns / 1e9;
  }
  return cpu;
}

// A streamed chat request for the OpenAI-style front or the platform's. `n` and `mark` make its text unique.
inline std::string Request(bool openai_front, std::size_t n, std::size_t body_bytes, std::size_t tokens,
                           const std::string& mark = "") {
  const std::string body =
      "{\"model\":\"docs-model\",\"stream\":true,\"max_tokens\":" + std::to_string(tokens) +
      ",\"messages\":[{\"role\":\"system\",\"content\":\"You know the "
      "rules.\"},{\"role\":\"user\",\"content\":\"" +
      std::to_string(n) + mark + std::string(body_bytes, 'q') + "\"}]}";
  if (openai_front)
    return Post("/v1/chat/completions", "Authorization: Bearer k\r\nConnection: close\r\n", body);
  char id[32];
  std::snprintf(id, sizeof id, "%zx", n + 1);
  return Post("/v1/chat/completions",
              std::string("Connection: close\r\nX-Call-Id: ") + id +
                  "\r\nX-Call-Class: docs\r\nX-Budget: 30\r\nX-Call-Info: "
                  "prefix=5c,prompt_len=1024,prefix_len=20,max_out=16\r\n",
              body);
}

inline std::unique_ptr<LocalFleet> MakeFleet(ReplicaDialect dialect, std::size_t tokens,
                                             const std::string& extra_settings = "",
                                             Fault fault = Fault::kNone, std::size_t replicas = 2) {
  LocalFleetOptions o;
  o.program = Program();
  o.key = "k";
  o.extra_settings = extra_settings;
  FakeReplicaOptions replica;
  replica.dialect = dialect;
  replica.first_token = 0;
  replica.per_token = 0;
  replica.tokens = tokens;
  replica.batch = 256;
  replica.queue = 4096;
  replica.fault = fault;
  o.replicas.assign(replicas, replica);
  return std::make_unique<LocalFleet>(o);
}

struct SendResult {
  Cpu cpu;                          // of the node, per request
  std::size_t bytes = 0;            // of all response bodies
  std::vector<double> response_ms;  // duration of each response
};

// Sends `requests` requests with a body of `body` bytes, at most 8 open at any time, and waits for all
// responses. Aborts on a response that is incomplete or not 200, unless `any_status` is set.
inline SendResult SendRequests(LocalFleet& fleet, bool openai_front, std::size_t requests, std::size_t body,
                               std::size_t tokens, bool any_status = false) {
  constexpr std::size_t kMaxOpen = 8;
  static std::size_t number = 0;
  std::size_t sent = 0, done = 0;
  SendResult result;
  const Cpu before = CpuTimeOf(fleet.node().pid());
  fleet.Until(
      [&] {
        while (sent < requests && sent - done < kMaxOpen) {
          ++sent;
          fleet.client().Send(openai_front ? fleet.openai() : fleet.platform(),
                              Request(openai_front, ++number, body, tokens), 30'000'000, [&](const Reply& r) {
                                ++done;
                                if (!any_status && (r.status != 200 || !r.complete)) {
                                  std::fprintf(stderr,
                                               "response status %d, complete %d; log of the node:\n%s",
                                               r.status, r.complete, fleet.node().Log().c_str());
                                  std::abort();
                                }
                                result.bytes += r.body.size();
                                result.response_ms.push_back(static_cast<double>(r.ended - r.started) / 1000);
                              });
        }
        return done == requests;
      },
      600'000'000);
  const Cpu after = CpuTimeOf(fleet.node().pid());
  const auto n = static_cast<double>(requests);
  result.cpu = {(after.loop - before.loop) / n, (after.all - before.all) / n};
  return result;
}

// Sorts `v` and returns its quantile `q` (0 to 1); 0 if it is empty.
inline double Quantile(std::vector<double>& v, double q) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return v[static_cast<std::size_t>(q * static_cast<double>(v.size() - 1))];
}

}  // namespace ryeglade::lab
