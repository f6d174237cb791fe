// A whole installation on loopback: stand-in replicas, discovery and one node as a process.
#pragma once

#include <uv.h>

#include <memory>
#include <string>
#include <vector>

#include "base/buffer_pool.h"
#include "base/deadlines.h"
#include "lab/client.h"
#include "lab/fake_discovery.h"
#include "lab/fake_replica.h"
#include "lab/node_process.h"

namespace ryeglade::lab {

struct LocalFleetOptions {
  std::string program;  // the node's
  std::vector<FakeReplicaOptions> replicas;
  std::string openai_listen = "127.0.0.1:0";
  std::string key;             // that clients show; empty: no keys are asked for
  std::string extra_settings;  // TOML put behind what the fleet writes
  std::string limits;          // TOML of [openai.limits]
  std::int64_t latency_objective_ms = 20'000, deadline_ms = 30'000;  // of both classes
  std::string effect = "free";                                       // of both: free, single_shot or guarded
};

class LocalFleet {
 public:
  explicit LocalFleet(
      const LocalFleetOptions& options);  // throws std::runtime_error if the node does not come up
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  const Runtime* run() const { return &run_; }
  Client& client() { return client_; }
  NodeProcess& node() { return node_; }
  AttemptCounts& attempt_counts() { return attempt_counts_; }
  FakeDiscovery& discovery() { return discovery_; }
  std::vector<std::unique_ptr<FakeReplica>>& replicas() { return replicas_; }
  const std::string& address(std::size_t replica) const { return addresses_[replica]; }
  const std::string& platform() const { return platform_; }  // ip:port of the node's two fronts
  const std::string& openai() const { return openai_; }

  void Turn() { uv_run(&loop_, UV_RUN_ONCE); }
  // Turns the loop until `done` says so; false: `most` has passed first.
  template <class Condition>
  bool Until(Condition done, Time most) {
    const Time end = Now() + most;
    DeadlineId wake = deadlines_.Set(end, [] {});
    while (!done() && Now() < end) Turn();
    deadlines_.Cancel(wake);
    return done();
  }
  // One request, waited for.
  Reply SendAndWait(const std::string& to, const std::string& request, Time most = 60'000'000);
  std::string Ledger();  // stops the node, and the ledger it wrote

 private:
  std::string LoggedAddress(const std::string& event) const;

  uv_loop_t loop_{};
  BufferPool buffers_;
  Deadlines deadlines_;
  Runtime run_;
  AttemptCounts attempt_counts_;
  Client client_;
  FakeDiscovery discovery_;
  std::vector<std::unique_ptr<FakeReplica>> replicas_;
  NodeProcess node_;
  std::vector<std::string> addresses_;
  std::string platform_, openai_;
};

}  // namespace ryeglade::lab
