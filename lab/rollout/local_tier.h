// A tier of real processes to change: a keeper with its node each, stand-in replicas, discovery, clients that
// keep asking, and a link between the driver and each keeper that cuts or delays one direction. Loopback
// only; every process is ended by its id.
#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/cluster/relay.h"
#include "lab/fake_discovery.h"
#include "lab/fake_replica.h"
#include "lab/load/load_client.h"
#include "rollout/cluster_view_model.h"
#include "rollout/release_model.h"

namespace ryeglade::rollout_lab {

// A program with its output in a file; it is told to end when this goes, and when the lab dies.
class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& words, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  bool IsRunning();
  void Signal(int number) const;
  int Wait(Time timeout,
           const std::function<void()>& turn);  // its exit code; -1: it runs still; 128 and more: a signal
  std::string Log() const;
  pid_t pid() const { return pid_; }

 private:
  std::string log_;
  pid_t pid_ = -1;
  int status_ = 0;
};

struct LocalTierOptions {
  std::string program;
  std::size_t nodes = 4;
  double rate = 40;     // requests a second at each node
  double seconds = 60;  // for so long
  std::string lease = "1", ready_within = "3", end_within = "8";
  std::uint64_t seed = 1;
  int memory_mb = 0;        // of a node; 0: as in ConfigJson
  bool membership = false;  // the nodes know of each other, and plans name their status addresses
};

class LocalTier {
 public:
  explicit LocalTier(const LocalTierOptions& options);
  ~LocalTier();
  LocalTier(const LocalTier&) = delete;
  LocalTier& operator=(const LocalTier&) = delete;

  // Turns the loop until `done` says so; false: `most` has passed first.
  bool Until(const std::function<bool()>& done, Time timeout);
  // All nodes serve, as their keepers say. Clients begin.
  bool WaitUntilRunning();
  void StartClients();
  // A plan for this tier: `release` is TOML within [release], `rest` follows the stages of which there is one
  // of one node, and one of the others.
  std::string WritePlan(const std::string& name, const std::string& release, const std::string& stages,
                        const std::string& rest = "");
  std::unique_ptr<ChildProcess> StartRolloutCommand(const std::string& verb, const std::string& plan,
                                                    const std::string& driver,
                                                    const std::vector<std::string>& more = {});
  std::optional<rollout::SupervisorStatus> Status(std::size_t node) const;
  std::string ActiveRelease(std::size_t node) const;
  std::string SupervisorLog(std::size_t node) const;
  std::size_t CountRunning(const std::string& release) const;  // how many nodes run it
  void KillSupervisor(std::size_t node);                       // SIGKILL
  void StartSupervisor(std::size_t node);
  pid_t NodePid(std::size_t node) const;
  void SignalNode(std::size_t node, int number) const;
  // Members alive in that node's settled view, itself among them; 0: it has none.
  std::size_t AliveMembers(std::size_t node) const;
  bool InDoubt(std::size_t node) const;                    // as it says itself
  std::size_t CountNodeProcesses(std::size_t node) const;  // processes of that node
  // What the links between the driver and a keeper do from now on.
  void CutLink(std::size_t node, bool to_keeper, bool from_keeper);
  void SetLinkDelay(Time one_way);
  void StopClients();  // clients; waits for what is out

  struct RequestCounts {
    std::uint64_t asked = 0, served = 0, refused = 0, unanswered = 0, other = 0, overlapping_attempts = 0;
    double worth = 0, worth_asked = 0;
  };
  RequestCounts request_counts() const;
  std::vector<std::unique_ptr<lab::FakeReplica>>& replicas() { return replicas_; }
  lab::FakeDiscovery& discovery() { return discovery_; }
  const std::string& root() const { return root_; }

 private:
  struct Node {
    std::string ip, control, client, directory, config, settings, status;
    std::unique_ptr<ChildProcess> supervisor;
  };
  static uv_loop_t* Init(uv_loop_t* loop);
  void WriteMembership();
  std::optional<rollout::NodeClusterView> ClusterView(std::size_t node) const;
  std::vector<pid_t> ProcessesWith(const std::string& word, const std::string& file = "") const;

  LocalTierOptions options_;
  uv_loop_t loop_{};
  BufferPool buffers_;
  Deadlines deadlines_;
  Runtime runtime_;
  lab::FakeDiscovery discovery_;
  lab::AttemptCounts attempt_counts_;
  std::string root_, driver_ip_;
  std::vector<Node> nodes_;
  std::vector<std::unique_ptr<lab::FakeReplica>> replicas_;
  std::vector<std::unique_ptr<load::LoadClient>> clients_;
  std::unique_ptr<cluster::Network> network_;
  std::vector<std::pair<bool, bool>> cut_links_;  // by keeper: to it, from it
  Time delay_ = 0;
  int driver_logs_ = 0;
};

}  // namespace ryeglade::rollout_lab
