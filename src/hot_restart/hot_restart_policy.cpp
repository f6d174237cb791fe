#include "hot_restart/hot_restart_policy.h"

#include <algorithm>

namespace ryeglade::hot_restart {

const char* Name(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "";
    case Reason::kNoSibling:
      return "alone";
    case Reason::kStateTimeout:
      return "no-state";
    case Reason::kBothStarting:
      return "both-new";
    case Reason::kStateReceived:
      return "state-came";
    case Reason::kSuccessorServes:
      return "successor-serves";
    case Reason::kSuccessorGone:
      return "successor-gone";
    case Reason::kSuccessorEnds:
      return "successor-ends";
    case Reason::kSuccessorSilent:
      return "successor-silent";
  }
  return "";
}

HotRestartPolicy::HotRestartPolicy(Time now, bool has_sibling)
    : started_at_(now), phase_(has_sibling ? Phase::kStarting : Phase::kServing), had_sibling_(has_sibling) {}

Actions HotRestartPolicy::StartServing(Reason reason) {
  phase_ = Phase::kServing;
  Actions actions;
  actions.start_serving = true;
  actions.reason = reason;
  return actions;
}

Actions HotRestartPolicy::OnStateReceived() {
  return phase_ == Phase::kStarting ? StartServing(Reason::kStateReceived) : Actions{};
}

// Whether the sibling's event loop appears to run: its heartbeat has changed within kHeartbeatTimeout. If
// this process itself was stopped for a while, that time does not count against the sibling.
bool HotRestartPolicy::IsResponsive(Time now, const Sibling& sibling) {
  const bool was_paused = updated_at_ != 0 && now - updated_at_ > kHeartbeatTimeout / 2;
  updated_at_ = now;
  if (!sibling.lease) return sibling.alive && now - heartbeat_changed_at_ <= kHeartbeatTimeout;
  const Lease& lease = *sibling.lease;
  if (lease.pid != sibling_pid_ || lease.heartbeat != sibling_heartbeat_ || was_paused) {
    sibling_pid_ = lease.pid;
    sibling_heartbeat_ = lease.heartbeat;
    heartbeat_changed_at_ = now;
  }
  return now - heartbeat_changed_at_ <= kHeartbeatTimeout;
}

bool HotRestartPolicy::IsSuccessor(const Sibling& sibling) const {
  return sibling.alive && sibling.lease && sibling.lease->started_at > started_at_;
}

Actions HotRestartPolicy::Update(Time now, const Sibling& sibling) {
  const bool responsive = IsResponsive(now, sibling);
  const bool sibling_gone = had_sibling_ && !sibling.alive;
  had_sibling_ = sibling.alive;
  if (phase_ == Phase::kStarting) {
    Actions actions = UpdateStarting(now, sibling);
    actions.sibling_gone = !sibling.alive;
    return actions;
  }
  Actions actions;
  actions.sibling_gone = sibling_gone;
  if (IsSuccessor(sibling) && sibling.lease->phase == Phase::kStarting &&
      state_sent_to_ != sibling.lease->pid) {
    state_sent_to_ = sibling.lease->pid;
    actions.send_state = true;
    actions.state_recipient = sibling.lease->pid;
  }
  UpdateClients(sibling, responsive, &actions);
  return actions;
}

// Starts to serve without the old process's state if there is none to wait for, or it did not come in time.
Actions HotRestartPolicy::UpdateStarting(Time now, const Sibling& sibling) {
  if (!sibling.alive) return StartServing(Reason::kNoSibling);
  if (now - started_at_ > kMaxStateWait) return StartServing(Reason::kStateTimeout);
  const bool sibling_starts = sibling.lease && sibling.lease->phase == Phase::kStarting;
  if (sibling_starts && !IsSuccessor(sibling)) return StartServing(Reason::kBothStarting);
  return {};
}

// Hands the clients over to a successor that serves, and resumes them when it no longer does.
void HotRestartPolicy::UpdateClients(const Sibling& sibling, bool responsive, Actions* actions) {
  if (!handed_over_) {
    if (!IsSuccessor(sibling) || !responsive || sibling.lease->phase != Phase::kServing) return;
    handed_over_ = true;
    if (phase_ == Phase::kServing) phase_ = Phase::kDraining;
    actions->hand_over_clients = true;
    actions->reason = Reason::kSuccessorServes;
    return;
  }
  if (phase_ != Phase::kDraining) return;
  const bool successor_ends = sibling.lease && sibling.lease->phase == Phase::kTerminating;
  if (sibling.alive && responsive && !successor_ends) return;
  handed_over_ = false;
  phase_ = Phase::kServing;
  actions->resume_clients = true;
  if (!sibling.alive) {
    actions->reason = Reason::kSuccessorGone;
  } else {
    actions->reason = successor_ends ? Reason::kSuccessorEnds : Reason::kSuccessorSilent;
  }
}

Actions HotRestartPolicy::OnTerminate(const Sibling& sibling) {
  phase_ = Phase::kTerminating;
  Actions actions;
  if (IsSuccessor(sibling) && !handed_over_ && sibling.lease->phase == Phase::kServing) {
    handed_over_ = true;
    actions.hand_over_clients = true;
    actions.reason = Reason::kSuccessorServes;
  }
  return actions;
}

std::size_t ComputeShare(const ShareRequest& request) {
  const std::size_t total = request.total;
  if (!request.sibling_alive) return total;
  if (request.handed_over) return std::min(request.current_share, std::max(request.used, total / 8));
  if (request.is_older) return std::max(request.used, total / 2);
  return std::max(total - std::min(total, request.sibling_share), total / 8);
}

}  // namespace ryeglade::hot_restart
