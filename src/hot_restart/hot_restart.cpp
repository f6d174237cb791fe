#include "hot_restart/hot_restart.h"

#include <unistd.h>

#include <utility>

#include "base/log.h"

namespace ryeglade::hot_restart {
namespace {

// Intervals of type Time are in microseconds.
constexpr Time kPollIntervalAlone = 100'000;
constexpr Time kPollIntervalWithSibling = 20'000;
constexpr Time kHeartbeatInterval = 200'000;
constexpr Time kMinInFlightPublishInterval = 100'000;
constexpr unsigned kInFlightWatchIntervalMs = 50;

}  // namespace

HotRestart::HotRestart(const Runtime* runtime, HotRestartPort* port, HotRestartOptions options)
    : runtime_(runtime),
      port_(port),
      options_(std::move(options)),
      lease_file_(options_.paths.lease),
      sibling_(lease_file_.ReadSibling()),
      policy_(Now(), sibling_.alive),
      state_file_(runtime->loop, options_.paths.state, [](const std::string&) {}),
      in_flight_file_(runtime->loop, options_.paths.in_flight,
                      [this](const std::string& text) { OnSiblingInFlight(text); }),
      list_file_(runtime->loop, options_.paths.list,
                 [this](const std::string& text) { OnSiblingList(text); }) {
  lease_.pid = getpid();
  lease_.started_at = policy_.started_at();
  lease_.socket_limit = options_.sockets;
  lease_.memory_limit = options_.memory;
}

void HotRestart::Start() {
  if (!lease_file_.is_holder() && state_file_.enabled())
    Log(Level::kWarn, "hand-over-off",
        {{"why",
          "two other processes of this node have locked both lease files, or none can be opened in "
          "$TMPDIR"}});
  UpdateLease();
  if (!sibling_.alive) {
    port_->StartServing();
  } else {
    Log(Level::kInfo, "hand-over-waits", {{"pid", SiblingPid()}});
  }
  if (lease_file_.is_holder()) Poll();
}

void HotRestart::Poll() {
  if (closed_) return;
  sibling_ = lease_file_.ReadSibling();
  if (policy_.phase() == Phase::kStarting && sibling_.alive) TryRestoreState();
  Apply(policy_.Update(Now(), sibling_));
  if (closed_) return;
  if (policy_.handed_over()) {
    PublishInFlight();
    PublishList();
  }
  const bool is_successor = policy_.phase() != Phase::kStarting && !policy_.handed_over();
  if (sibling_.alive && is_successor && !watches_in_flight_) {
    watches_in_flight_ = true;
    in_flight_file_.Watch(kInFlightWatchIntervalMs);
    list_file_.Watch(kInFlightWatchIntervalMs);
  }
  UpdateLease();
  const Time interval = sibling_.alive ? kPollIntervalWithSibling : kPollIntervalAlone;
  poll_timer_ = runtime_->deadlines->Set(Now() + interval, [this] { Poll(); });
}

// Writes the counts of the requests that this process still has in flight, if they have changed. The new
// process reads them.
void HotRestart::PublishInFlight() {
  if (Now() - in_flight_published_at_ < kMinInFlightPublishInterval) return;
  in_flight_published_at_ = Now();
  InFlightCounts counts = port_->CountInFlight();
  if (counts == published_in_flight_) return;
  published_in_flight_ = std::move(counts);
  in_flight_file_.Write(EncodeInFlight(published_in_flight_, lease_.pid));
}

// The other process may not have heard yet what discovery has told this one; but the node counts as told.
void HotRestart::PublishList() {
  if (port_->ListGeneration() == published_generation_) return;
  published_generation_ = port_->ListGeneration();
  list_file_.Write(EncodeSiblingList(port_->ExportList(), lease_.pid));
}

void HotRestart::TryRestoreState() {
  const auto text = state_file_.ReadNow();
  if (!text) return;
  std::string why;
  auto state = DecodeHandoverState(*text, lease_.pid, options_.node, &why);
  if (!state) {
    if (!IsForAnotherProcess(why)) Log(Level::kWarn, "hand-over-state-aside", {{"why", why}});
    return;
  }
  InFlightCounts in_flight;
  for (const auto& replica : state->learned.replicas) {
    if (replica.in_flight > 0) in_flight.emplace_back(replica.id, replica.in_flight);
  }
  Log(Level::kInfo, "hand-over-taken",
      {{"program", state->program},
       {"bytes", text->size()},
       {"replicas", state->learned.replicas.size()},
       {"out", in_flight.size()}});
  port_->RestoreState(std::move(*state));
  Apply(policy_.OnStateReceived());
  if (!closed_) port_->SetSiblingInFlight(std::move(in_flight));
}

// HotRestartPort::StartServing may fail and then calls Close(), so closed_ is checked after it.
void HotRestart::Apply(const Actions& actions) {
  if (actions.send_state) {
    Log(Level::kInfo, "hand-over-gives", {{"to", actions.state_recipient}});
    published_generation_ = port_->ListGeneration();
    state_file_.Write(EncodeHandoverState(port_->ExportState(), actions.state_recipient));
  }
  if (actions.start_serving) {
    if (actions.reason != Reason::kStateReceived)  // logged by TryRestoreState
      Log(Level::kInfo, "hand-over-serves", {{"why", Name(actions.reason)}});
    port_->StartServing();
    UpdateLease();
  }
  if (closed_) return;
  if (actions.hand_over_clients) {
    Log(Level::kInfo, "hand-over-yields", {{"to", SiblingPid()}, {"why", Name(actions.reason)}});
    port_->HandOverClients();
  }
  if (actions.resume_clients) {
    Log(Level::kWarn, "hand-over-taken-up-again", {{"why", Name(actions.reason)}});
    port_->ResumeClients();
  }
  if (actions.sibling_gone) port_->SetSiblingInFlight({});
}

ShareRequest HotRestart::MakeShareRequest() const {
  ShareRequest request;
  request.is_older = !sibling_.lease || sibling_.lease->started_at > lease_.started_at;
  request.handed_over = policy_.handed_over();
  request.sibling_alive = sibling_.alive;
  return request;
}

// Writes the lease if the phase or the limits have changed, or if the next heartbeat is due.
void HotRestart::UpdateLease() {
  ShareRequest request = MakeShareRequest();
  request.total = options_.sockets;
  request.used = port_->UsedSockets();
  request.current_share = lease_.socket_limit;
  request.sibling_share = sibling_.lease ? sibling_.lease->socket_limit : options_.sockets / 2;
  const std::size_t sockets = ComputeShare(request);
  request.total = options_.memory;
  request.used = port_->UsedMemory();
  request.current_share = lease_.memory_limit;
  request.sibling_share = sibling_.lease ? sibling_.lease->memory_limit : options_.memory / 2;
  const std::size_t memory = ComputeShare(request);

  const bool limits_changed = sockets != lease_.socket_limit || memory != lease_.memory_limit;
  if (limits_changed) port_->SetLimits(sockets, memory);
  const bool heartbeat_due = Now() - lease_written_at_ >= kHeartbeatInterval;
  if (!limits_changed && policy_.phase() == lease_.phase && !heartbeat_due) return;
  lease_.socket_limit = sockets;
  lease_.memory_limit = memory;
  lease_.phase = policy_.phase();
  ++lease_.heartbeat;
  lease_written_at_ = Now();
  lease_file_.Write(lease_);
}

void HotRestart::OnSiblingInFlight(const std::string& text) {
  if (!sibling_.lease || policy_.handed_over()) return;
  if (auto counts = DecodeInFlight(text, sibling_.lease->pid)) port_->SetSiblingInFlight(std::move(*counts));
}

void HotRestart::OnSiblingList(const std::string& text) {
  if (!sibling_.lease || policy_.handed_over()) return;
  if (const auto list = DecodeSiblingList(text, sibling_.lease->pid)) port_->AdoptSiblingList(*list);
}

std::int64_t HotRestart::SiblingPid() const { return sibling_.lease ? sibling_.lease->pid : 0; }

void HotRestart::Terminate() {
  if (lease_file_.is_holder()) sibling_ = lease_file_.ReadSibling();
  Apply(policy_.OnTerminate(sibling_));
  UpdateLease();
}

void HotRestart::Close() {
  closed_ = true;
  runtime_->deadlines->Cancel(poll_timer_);
  state_file_.Close();
  in_flight_file_.Close();
  list_file_.Close();
}

}  // namespace ryeglade::hot_restart
