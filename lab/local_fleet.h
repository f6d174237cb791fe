// A local fleet on loopback: fake replicas, fake discovery and one node as a process.
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
  std::string openai_listen = "127.0.0.1:0";  // of the OpenAI-style front
  std::string key;                            // of the clients; empty: the node requires no keys
  std::string extra_settings;                 // TOML appended to the settings
  std::string limits;                         // TOML of [openai.limits]
  std::int64_t latency_objective_ms = 20'000, deadline_ms = 30'000;  // of both classes
  std::string effect = "free";  // of both classes: free, single_shot or guarded
};

class LocalFleet {
 public:
  // Starts everything and waits for the node. Throws std::runtime_error if it is not ready in time.
  explicit LocalFleet(const LocalFleetOptions& options);
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  const Runtime* runtime() const { return &runtime_; }
  Client& client() { return client_; }
  NodeProcess& node() { return node_; }
  AttemptCounts& attempt_counts() { return attempt_counts_; }
  FakeDiscovery& discovery() { return discovery_; }
  std::vector<std::unique_ptr<FakeReplica>>& replicas() { return replicas_; }
  const std::string& address(std::size_t replica) const { return addresses_[replica]; }
  const std::string& platform() const { return platform_; }  // ip:port of the node's two fronts
  const std::string& openai() const { return openai_; }

  void RunLoopOnce() { uv_run(&loop_, UV_RUN_ONCE); }
  // Runs the event loop until `done` returns true. Returns false if that takes longer than `timeout`.
  template <class Condition>
  bool Until(Condition done, Time timeout) {
    const Time end = Now() + timeout;
    DeadlineId wake = deadlines_.Set(end, [] {});
    while (!done() && Now() < end) RunLoopOnce();
    deadlines_.Cancel(wake);
    return done();
  }
  // Sends one request and waits for the response, or for what has been received after `timeout`.
  Reply SendAndWait(const std::string& to, const std::string& request, Time timeout = 60'000'000);
  std::string StopAndReadLedger();  // returns the ledger that the node wrote

 private:
  // Returns the address that the node logged with the event; empty: not logged yet.
  std::string LoggedAddress(const std::string& event) const;

  uv_loop_t loop_{};
  BufferPool buffers_;
  Deadlines deadlines_;
  Runtime runtime_;
  AttemptCounts attempt_counts_;
  Client client_;
  FakeDiscovery discovery_;
  std::vector<std::unique_ptr<FakeReplica>> replicas_;
  NodeProcess node_;
  std::vector<std::string> addresses_;
  std::string platform_, openai_;
};

}  // namespace ryeglade::lab
