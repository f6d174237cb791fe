// The hot restart between two processes of one node, on the event loop: keeps this process's lease, observes
// its sibling's, passes learned state and in-flight counts through files in $TMPDIR, and splits the node's
// limits. HotRestartPolicy decides; the node carries it out through HotRestartPort.
#pragma once

#include <string>

#include "base/runtime.h"
#include "base/state_file.h"
#include "hot_restart/handover_state_codec.h"
#include "hot_restart/hot_restart_policy.h"
#include "hot_restart/lease_file.h"

namespace ryeglade::hot_restart {

// Implemented by the node.
class HotRestartPort {
 public:
  virtual ~HotRestartPort() = default;
  virtual void StartServing() = 0;                             // may come more than once
  virtual void RestoreState(HandoverState state) = 0;          // before StartServing
  virtual void SetSiblingInFlight(InFlightCounts counts) = 0;  // empty: none, or there is no sibling
  virtual HandoverState ExportState() = 0;
  virtual InFlightCounts CountInFlight() = 0;
  virtual void HandOverClients() = 0;  // the sibling serves: accept nothing new
  virtual void ResumeClients() = 0;    // the sibling no longer serves: accept again
  virtual std::size_t UsedSockets() const = 0;
  virtual std::size_t UsedMemory() const = 0;  // bytes of buffers
  virtual void SetLimits(std::size_t sockets, std::size_t memory) = 0;
};

// Files in $TMPDIR that the node's processes share; an empty path: that part is off.
struct HotRestartPaths {
  std::string lease;      // without the number of the file
  std::string state;      // what the old process hands over
  std::string in_flight;  // what the old process still has in flight
};

struct HotRestartOptions {
  std::string node;  // its name
  HotRestartPaths paths;
  std::size_t sockets = 0;  // the whole node's limit
  std::size_t memory = 0;   // the same, in bytes of buffers
};

class HotRestart {
 public:
  HotRestart(const Runtime* runtime, HotRestartPort* port, HotRestartOptions options);
  // Calls StartServing at once where no other process lives, else once that one has handed over its state or
  // has let kMaxStateWait pass.
  void Start();
  void Terminate();  // this process was told to end
  void Close();
  bool handed_over() const { return policy_.handed_over(); }  // the sibling serves in its place

 private:
  void Poll();
  void Apply(const Actions& actions);
  void UpdateLease();
  void TryRestoreState();
  void PublishInFlight();
  void OnSiblingInFlight(const std::string& text);
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
  Lease lease_;  // this process's, as last written
  Time lease_written_at_ = 0;
  Time in_flight_published_at_ = 0;
  InFlightCounts published_in_flight_;
  bool watches_in_flight_ = false;
  bool closed_ = false;
  DeadlineId poll_timer_;
};

}  // namespace ryeglade::hot_restart
