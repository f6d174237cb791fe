// A tier of real processes on loopback, on which rollouts are run: a supervisor and its node for each member,
// fake replicas, discovery, clients that send requests, and a link between the driver and each supervisor
// that can be cut in one direction or delayed. Processes are signalled by their ids only.
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

// A child process whose output is appended to a log file. The destructor sends it SIGTERM, and SIGKILL after
// 20 s. If the lab dies, the kernel sends it SIGTERM.
class ChildProcess {
 public:
  // Starts the program arguments[0]. Throws std::runtime_error if it cannot fork.
  ChildProcess(const std::vector<std::string>& arguments, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  bool IsRunning();
  void Signal(int number) const;
  // Calls `poll` until the process has ended. Returns its exit code, 128 plus the number of the signal that
  // killed it, or -1 if it still runs after `timeout`.
  int Wait(Time timeout, const std::function<void()>& poll);
  std::string Log() const;  // contents of the log file
  pid_t pid() const { return pid_; }

 private:
  std::string log_;
  pid_t pid_ = -1;
  int status_ = 0;
};

struct LocalTierOptions {
  std::string program;  // path of `ryeglade`
  std::size_t nodes = 4;
  double rate = 40;                                               // requests a second at each node
  double seconds = 60;                                            // for which the clients send requests
  std::string lease = "1", ready_within = "3", end_within = "8";  // seconds, as options of the supervisors
  std::uint64_t seed = 1;
  int memory_mb = 0;        // memory limit of a node; 0: as in ConfigJson
  bool membership = false;  // the nodes form a membership cluster, and plans list their status addresses
};

class LocalTier {
 public:
  explicit LocalTier(const LocalTierOptions& options);
  ~LocalTier();
  LocalTier(const LocalTier&) = delete;
  LocalTier& operator=(const LocalTier&) = delete;

  // Runs the event loop until `done` returns true. Returns false if that takes longer than `timeout`.
  bool Until(const std::function<bool()>& done, Time timeout);
  // Waits until the supervisors report that all nodes serve. Returns false if that takes more than 30 s.
  bool WaitUntilRunning();
  void StartClients();  // one for each node
  // Writes a plan for this tier to a file and returns its path. `release` is the TOML of [release], `stages`
  // that of the stages. `rest` follows the stages; if it sets most_passed_over, only its
  // first line is used.
  std::string WritePlan(const std::string& name, const std::string& release, const std::string& stages,
                        const std::string& rest = "");
  // Starts `ryeglade rollout VERB` for the plan, under the name `driver`.
  std::unique_ptr<ChildProcess> StartRolloutCommand(const std::string& verb, const std::string& plan,
                                                    const std::string& driver,
                                                    const std::vector<std::string>& more = {});
  // Returns nullopt if the supervisor does not answer within 1 s.
  std::optional<rollout::SupervisorStatus> Status(std::size_t node) const;
  std::string ActiveRelease(std::size_t node) const;  // its id; empty if the supervisor does not answer
  std::string SupervisorLog(std::size_t node) const;
  std::size_t CountRunning(const std::string& release) const;  // number of nodes on which it is active
  void KillSupervisor(std::size_t node);                       // SIGKILL
  void StartSupervisor(std::size_t node);                      // ends one that still runs first
  pid_t NodePid(std::size_t node) const;                       // -1: unknown
  void SignalNode(std::size_t node, int number) const;
  // Returns how many members are alive in that node's cluster view, itself included. Returns 0 if the view is
  // in doubt or has not settled.
  std::size_t AliveMembers(std::size_t node) const;
  bool InDoubt(std::size_t node) const;  // as the node's cluster view reports
  std::size_t CountNodeProcesses(std::size_t node) const;
  // Cuts the link between drivers and a node's supervisor in the directions that are true, and restores it in
  // the others.
  void CutLink(std::size_t node, bool to_supervisor, bool from_supervisor);
  void SetLinkDelay(Time one_way);  // delay in each direction, of all links
  void StopClients();               // waits until all requests have an outcome

  struct RequestCounts {
    std::uint64_t asked = 0, served = 0, refused = 0;
    std::uint64_t unanswered = 0;            // never sent, or without a response
    std::uint64_t other = 0;                 // failed, rejected as invalid, or broken off
    std::uint64_t overlapping_attempts = 0;  // must be 0: two attempts of one request at the same time
    double worth = 0, worth_asked = 0;       // priority weight of the requests that were served, and of all
  };
  RequestCounts request_counts() const;
  std::vector<std::unique_ptr<lab::FakeReplica>>& replicas() { return replicas_; }
  lab::FakeDiscovery& discovery() { return discovery_; }
  const std::string& root() const { return root_; }

 private:
  struct Node {
    // `control`, `client` and `status` are ip:port; `directory`, `config` and `settings` are paths. Without
    // membership `settings` and `status` are empty.
    std::string ip, control, client, directory, config, settings, status;
    std::unique_ptr<ChildProcess> supervisor;
  };
  static uv_loop_t* Init(uv_loop_t* loop);
  void WriteMembership();
  std::optional<rollout::NodeClusterView> ClusterView(std::size_t node) const;
  // Returns the processes whose command line contains `argument` and names `file`, or any file of this
  // tier if `file` is empty.
  std::vector<pid_t> ProcessesWith(const std::string& argument, const std::string& file = "") const;

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
  std::vector<std::pair<bool, bool>> cut_links_;  // by node: to its supervisor, from it
  Time delay_ = 0;
  int driver_logs_ = 0;  // number of log files of rollout commands
};

}  // namespace ryeglade::rollout_lab
