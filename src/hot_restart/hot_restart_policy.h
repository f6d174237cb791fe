// Two processes of one node during a hot restart: which accepts clients, when learned state is handed over,
// and how the node's limits are split. Decides only: no I/O, no clock. Each process runs this policy for
// itself, on what it observes of its sibling: whether it lives (its lease is locked) and what its lease says.
//
// The new process starts beside the old one, receives the old one's state, and accepts clients; from then on
// the old one accepts nothing new and finishes what it has. A new process that dies, hangs or is told to end
// while the old one is still there leaves the old one accepting clients again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "hot_restart/lease_codec.h"

namespace ryeglade::hot_restart {

inline constexpr Time kMaxStateWait = 1'500'000;      // a new process waits so long for the old one's state
inline constexpr Time kHeartbeatTimeout = 2'000'000;  // a lease without a heartbeat for so long: it hangs

// The other process of this node, as observed.
struct Sibling {
  bool alive = false;
  std::optional<Lease> lease;  // null: none that could be read
};

enum class Reason : std::uint8_t {
  kNone,
  kNoSibling,        // no other process of this node lives
  kStateTimeout,     // the old process handed over nothing in time
  kBothStarting,     // the sibling starts too and has no state to hand over
  kStateReceived,    // the old process's state has been restored
  kSuccessorServes,  // the new process accepts clients
  kSuccessorGone,    // the new process is dead
  kSuccessorEnds,    // the new process was told to end
  kSuccessorSilent,  // the new process lives without a heartbeat
};
// As log lines name it.
const char* Name(Reason reason);

// What the process has to do now, in the order of the fields.
struct Actions {
  bool send_state = false;           // write the learned state for the process `state_recipient`
  std::int64_t state_recipient = 0;  // pid
  bool start_serving = false;        // begin to accept clients
  bool hand_over_clients = false;    // accept nothing new from here on
  bool resume_clients = false;       // accept clients again
  bool sibling_gone = false;         // the sibling is dead: it has nothing in flight any more
  Reason reason = Reason::kNone;
};

class HotRestartPolicy {
 public:
  // `has_sibling`: another process of this node lives already.
  HotRestartPolicy(Time now, bool has_sibling);
  // To be called every few ten milliseconds with what is observed of the sibling.
  Actions Update(Time now, const Sibling& sibling);
  Actions OnStateReceived();                    // the old process's state has been restored
  Actions OnTerminate(const Sibling& sibling);  // this process was told to end
  Phase phase() const { return phase_; }
  bool handed_over() const { return handed_over_; }  // its clients, to the new process
  Time started_at() const { return started_at_; }

 private:
  bool IsResponsive(Time now, const Sibling& sibling);
  bool IsSuccessor(const Sibling& sibling) const;
  Actions StartServing(Reason reason);
  Actions UpdateStarting(Time now, const Sibling& sibling);
  void UpdateClients(const Sibling& sibling, bool responsive, Actions* actions);

  Time started_at_;
  Time updated_at_ = 0;
  Time heartbeat_changed_at_ = 0;
  std::int64_t sibling_pid_ = 0;  // as last seen
  std::uint64_t sibling_heartbeat_ = 0;
  std::int64_t state_sent_to_ = 0;  // pid
  Phase phase_;
  bool handed_over_ = false;
  bool had_sibling_ = false;  // at the last update
};

// What decides about a process's share of one of the node's limits, all in units of that limit.
struct ShareRequest {
  std::size_t total = 0;          // the whole node's limit
  std::size_t used = 0;           // by this process now
  std::size_t current_share = 0;  // this process's, as decided last
  std::size_t sibling_share = 0;  // as the sibling's lease says
  bool is_older = false;          // this process started before its sibling
  bool handed_over = false;       // this process has handed its clients over
  bool sibling_alive = false;
};

// What this process may use, so that both together stay within the total as soon as each has read the
// other's lease. Without a sibling: all. The older one of two that serves leaves half, or what it does not
// use; one that has handed over never takes more than it uses; the newer one has what the other does not
// claim, and an eighth in any case (for that long the sum may be over by so much).
std::size_t ComputeShare(const ShareRequest& request);

}  // namespace ryeglade::hot_restart
