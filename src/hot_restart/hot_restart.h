// The hand-over between two processes of one node, on the loop: the lease that each keeps, the state that
// passes, and what the old one still has out. What is to be done is Succession's; the node does it.
#pragma once

#include <string>
#include <vector>

#include "base/runtime.h"
#include "base/state_file.h"
#include "hot_restart/handover_state_codec.h"
#include "hot_restart/hot_restart_policy.h"
#include "hot_restart/lease_file.h"

namespace ryeglade::hot_restart {

// The node's side.
class HandOverPort {
 public:
  virtual ~HandOverPort() = default;
  virtual void Serve() = 0;               // start to take clients
  virtual void Inherit(State state) = 0;  // before Serve
  virtual void Beside(Out out) = 0;       // what the other process has out, now
  virtual State Known() = 0;
  virtual Out OutNow() = 0;
  virtual void Yield() = 0;
  virtual void TakeUp() = 0;
  virtual std::size_t UsedSockets() const = 0;
  virtual std::size_t UsedMemory() const = 0;
  virtual void Limit(std::size_t sockets, std::size_t memory) = 0;
};

class HandOver {
 public:
  // `path`: where in $TMPDIR, less a word and the place. `sockets`, `memory`: the node's whole limits.
  HandOver(const Runtime* run, HandOverPort* port, const std::string& lease, const std::string& state,
           const std::string& out, std::string node, std::size_t sockets, std::size_t memory);
  // Calls Serve at once where no other process lives, else once it has given what it knows.
  void Start();
  void Term();  // this process was told to end
  void Close();
  bool yielded() const { return succession_.yielded(); }
  bool beside() const { return other_.alive; }

 private:
  void Look();
  void Do(const Step& step);
  void Say();
  void TryState();
  void Told(const std::string& text);

  const Runtime* run_;
  HandOverPort* port_;
  LeaseFile lease_;
  Other other_;
  Succession succession_;
  StateFile state_, out_;
  std::string node_;
  std::size_t sockets_, memory_;
  Lease mine_;
  Time said_at_ = 0, told_at_ = 0;
  Out told_;
  bool watching_ = false, closed_ = false;
  DeadlineId tick_;
};

}  // namespace ryeglade::hot_restart
