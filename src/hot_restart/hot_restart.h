// Runs the hot restart between two processes of one node on the event loop: writes this process's lease,
// reads its sibling's, passes learned state and in-flight counts through files in $TMPDIR, and splits the
// node's limits. HotRestartPolicy makes the decisions; the node carries them out through HotRestartPort.
#pragma once

#include <string>

#include "base/runtime.h"
#include "base/state_file.h"
#include "hot_restart/handover_state_codec.h"
#include "hot_restart/hot_restart_policy.h"
#include "hot_restart/lease_file.h"

namespace ryeglade::hot_restart {

// What HotRestart needs from the node, which implements it.
class HotRestartPort {
 public:
  virtual ~HotRestartPort() = default;
  virtual void StartServing() = 0;                             // accept clients; may be called more than once
  virtual void RestoreState(HandoverState state) = 0;          // called before StartServing
  virtual void SetSiblingInFlight(InFlightCounts counts) = 0;  // empty: none in flight, or no sibling
  virtual HandoverState ExportState() = 0;                     // the state to hand over to the new process
  virtual InFlightCounts CountInFlight() = 0;                  // upstream requests in flight at this process
  virtual std::uint64_t ListGeneration() const = 0;            // of the endpoint list in use
  virtual std::string ExportList() const = 0;                  // that list, as ExportState names it
  virtual void AdoptSiblingList(const std::string& list) = 0;  // if it is newer than the one in use
  virtual void HandOverClients() = 0;                          // the sibling serves: accept no new clients
  virtual void ResumeClients() = 0;             // the sibling no longer serves: accept clients again
  virtual std::size_t UsedSockets() const = 0;  // descriptors in use or reserved
  virtual std::size_t UsedMemory() const = 0;   // bytes of buffers
  // Sets how many descriptors and how many bytes of buffers this process may use.
  virtual void SetLimits(std::size_t sockets, std::size_t memory) = 0;
};

// Files in $TMPDIR that the node's processes share. An empty path turns that part off.
struct HotRestartPaths {
  std::string lease;      // without the "-0" or "-1" that LeaseFile appends
  std::string state;      // the state that the old process hands over
  std::string in_flight;  // the requests that the old process still has in flight
  std::string list;       // the latest endpoint list that the old process was told
};

struct HotRestartOptions {
  std::string node;  // name of the node
  HotRestartPaths paths;
  std::size_t sockets = 0;  // socket limit of the whole node
  std::size_t memory = 0;   // memory limit of the whole node, in bytes of buffers
};

// This process's part in a hot restart. Used on the event loop's thread only.
class HotRestart {
 public:
  // Locks a lease file. `runtime` and `port` must outlive this object.
  HotRestart(const Runtime* runtime, HotRestartPort* port, HotRestartOptions options);
  // Calls StartServing immediately if no other process of this node is alive; otherwise once that process has
  // handed over its state, has died or has been found to be starting as well, or kMaxStateWait has passed.
  void Start();
  void Terminate();  // to be called when this process was told to end
  void Close();      // stops the polling and the watching of files, so that the event loop can end
  bool handed_over() const { return policy_.handed_over(); }  // the sibling accepts clients instead

 private:
  void Poll();
  void Apply(const Actions& actions);
  void UpdateLease();
  void TryRestoreState();
  void PublishInFlight();
  void PublishList();
  void OnSiblingInFlight(const std::string& text);
  void OnSiblingList(const std::string& text);
  std::int64_t SiblingPid() const;
  ShareRequest MakeShareRequest() const;

  const Runtime* runtime_;
  HotRestartPort* port_;
  HotRestartOptions options_;
  LeaseFile lease_file_;
  Sibling sibling_;
  HotRestartPolicy policy_;
  StateFile state_file_;
  StateFile in_flight_file_;
  StateFile list_file_;
  Lease lease_;  // this process's lease, as last written
  Time lease_written_at_ = 0;
  Time in_flight_published_at_ = 0;
  InFlightCounts published_in_flight_;
  std::uint64_t published_generation_ = 0;  // of the list that the other process was given last
  bool watches_in_flight_ = false;
  bool closed_ = false;
  DeadlineId poll_timer_;
};

}  // namespace ryeglade::hot_restart
