// Decides, for two processes of one node during a hot restart, which one accepts clients, when learned state
// is handed over, and how the node's limits are split. No I/O, no clock. Each process runs this policy for
// itself, on what it observes of its sibling: whether it is alive (its lease file is locked) and what its
// lease says.
//
// The new process starts beside the old one, receives the old one's state, and accepts clients; from then on
// the old one accepts no new clients and finishes the requests that it has. If the new process dies, hangs or
// is told to end while the old one still runs, the old one accepts clients again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "hot_restart/lease_codec.h"

namespace ryeglade::hot_restart {

// Microseconds that a new process waits for the old one's state before it serves without it.
inline constexpr Time kMaxStateWait = 1'500'000;
// A sibling whose heartbeat does not change for this many microseconds counts as hung.
inline constexpr Time kHeartbeatTimeout = 2'000'000;

// The other process of this node, as this one observes it.
struct Sibling {
  bool alive = false;
  std::optional<Lease> lease;  // nullopt: no lease could be read
};

// Why a process starts to serve, hands its clients over or resumes them.
enum class Reason : std::uint8_t {
  kNone,
  kNoSibling,        // no other process of this node is alive
  kStateTimeout,     // the old process handed over no state in time
  kBothStarting,     // the sibling is starting, too, and has no state to hand over
  kStateReceived,    // the old process's state has been restored
  kSuccessorServes,  // the new process accepts clients
  kSuccessorGone,    // the new process is dead
  kSuccessorEnds,    // the new process was told to end
  kSuccessorSilent,  // the new process is alive, but its heartbeat has stopped
};
// The name used in log lines.
const char* Name(Reason reason);

// What this process has to do now, in the order of the fields.
struct Actions {
  bool send_state = false;           // write the learned state for the process `state_recipient`
  std::int64_t state_recipient = 0;  // pid; 0 unless send_state is set
  bool start_serving = false;        // start to accept clients
  bool hand_over_clients = false;    // accept no new clients from now on
  bool resume_clients = false;       // accept clients again
  bool sibling_gone = false;         // the sibling has died, so it has nothing in flight
  Reason reason = Reason::kNone;     // for the log: why clients are served, handed over or resumed
};

// The decisions of one process. Functions that return Actions tell what the process has to do now.
class HotRestartPolicy {
 public:
  // `has_sibling` says whether another process of this node is already alive.
  HotRestartPolicy(Time now, bool has_sibling);
  // To be called about every 100 ms, or more often, with what is observed of the sibling.
  Actions Update(Time now, const Sibling& sibling);
  Actions OnStateReceived();                    // the old process's state has been restored
  Actions OnTerminate(const Sibling& sibling);  // this process was told to end
  Phase phase() const { return phase_; }
  bool handed_over() const { return handed_over_; }  // this process has handed its clients over
  Time started_at() const { return started_at_; }

 private:
  bool IsResponsive(Time now, const Sibling& sibling);
  bool IsSuccessor(const Sibling& sibling) const;
  Actions StartServing(Reason reason);
  Actions UpdateStarting(Time now, const Sibling& sibling);
  void UpdateClients(const Sibling& sibling, bool responsive, Actions* actions);

  Time started_at_;
  Time updated_at_ = 0;                  // time of the last update; 0: none
  Time heartbeat_changed_at_ = 0;        // when the sibling's heartbeat was last seen to change; 0: never
  std::int64_t sibling_pid_ = 0;         // as of the last update; 0: none seen
  std::uint64_t sibling_heartbeat_ = 0;  // as of the last update
  std::int64_t state_sent_to_ = 0;       // pid of the process that the state was written for; 0: none
  Phase phase_;
  bool handed_over_ = false;
  bool had_sibling_ = false;  // a sibling was alive at the last update
};

// Input for a process's share of one of the node's limits; all amounts are in units of that limit.
struct ShareRequest {
  std::size_t total = 0;          // limit of the whole node
  std::size_t used = 0;           // what this process uses now
  std::size_t current_share = 0;  // this process's share as last computed
  std::size_t sibling_share = 0;  // the sibling's share according to its lease
  bool is_older = false;          // this process started before its sibling
  bool handed_over = false;       // this process has handed its clients over
  bool sibling_alive = false;
};

// Returns what this process may use, so that both processes together stay within the total as soon as each
// has read the other's lease:
// - without a sibling, the whole total;
// - the older process, while it has not handed over: half of the total, or what it uses if that is more;
// - a process that has handed over: what it uses, but at least an eighth, and never more than its last share;
// - the newer process: what the sibling does not claim, but at least an eighth. Until the older one has given
//   up enough, the sum may exceed the total by up to that eighth.
std::size_t ComputeShare(const ShareRequest& request);

}  // namespace ryeglade::hot_restart
