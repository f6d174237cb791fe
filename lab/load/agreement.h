// Compares the emulator with the real node: the same trace goes through a node process with fake replicas on
// loopback, and through the emulator with model replicas of the same speed, batch size and queue.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace ryeglade::load {

struct AgreementOptions {
  std::string program;  // path of the node's program
  int replicas = 4, batch = 4, queue = 8;
  // Time of a fake replica per token, and from the admission of a request to its first token.
  double token_ms = 5;
  double load = 0.8;  // relative to the capacity of the replicas
  double seconds = 20;
  std::uint64_t seed = 1;
  std::function<void(double done)> progress;  // called with the completed share; may be empty
};

// Results of one side of the comparison: the real node or the emulator.
struct Side {
  double p50_ms = 0, p90_ms = 0, p99_ms = 0;  // time to the first token
  double share = 0;                           // served worth as a share of the requested worth
  double unserved = 0;                        // share of requests that were not served
};
struct Agreement {
  std::size_t requests = 0;
  Side real, emulated;
  double step_ms = 0;  // measured time per token of the fake replicas
  double late_ms = 0;  // p99 of the delay with which the load client itself sent requests
};

// Runs in real time: `seconds` of load, after up to 3 s that measure step_ms.
Agreement MeasureAgreement(const AgreementOptions& options);

}  // namespace ryeglade::load
