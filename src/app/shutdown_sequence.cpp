#include "app/shutdown_sequence.h"

#include <utility>

#include "base/log.h"

namespace ryeglade {
namespace {

// Both in microseconds.
constexpr Time kAdvanceInterval = 50'000;  // between two steps
constexpr Time kLastResponseTime =
    200'000;  // for the client to read the last response before the process exits

}  // namespace

ShutdownSequence::ShutdownSequence(Deadlines* deadlines, Streams* streams,
                                   const hot_restart::HotRestart* hot_restart, std::function<void()> finished)
    : deadlines_(deadlines), streams_(streams), hot_restart_(hot_restart), finished_(std::move(finished)) {}

void ShutdownSequence::Begin(Time began_at, const std::vector<policy::ClassSettings>& classes) {
  began_at_ = began_at;
  for (Downstream* listener : listeners_) listener->Drain();
  plan_ = PlanTermination(classes);
  Log(Level::kInfo, "draining",
      {{"streams", streams_->size()},
       {"clients", connections()},
       {"take_ms", plan_.accept_requests_until / 1000},
       {"answer_ms", plan_.respond_by / 1000},
       {"kill_ms", plan_.earliest_kill / 1000}});
  SetStreamDeadlines();
  Advance();
}

void ShutdownSequence::UpdateClasses(const std::vector<policy::ClassSettings>& classes) {
  if (!began()) return;
  plan_ = EarlierOf(plan_, PlanTermination(classes));
  SetStreamDeadlines();
}

Time ShutdownSequence::elapsed() const { return began() ? Now() - began_at_ : 0; }

void ShutdownSequence::SetStreamDeadlines() {
  streams_->BeginShutdown(began_at_ + plan_.respond_by, began_at_ + plan_.accept_requests_until);
}

// One step of the shutdown; schedules the next one until the process can exit. Closing too early loses
// accepted requests: they arrive on old and new connections for a while after SIGTERM, and a connection in
// the kernel's queue counts as accepted when the listener closes. Closing too late risks SIGKILL: as long as
// connections are accepted or kept open, another request may be in progress when it comes.
void ShutdownSequence::Advance() {
  const Time since_begin = Now() - began_at_;
  const bool handed_over = hot_restart_->handed_over();
  const bool stop_listening = since_begin >= plan_.listen_until || handed_over;
  if (since_begin >= plan_.close_idle_from || handed_over) {
    for (Downstream* listener : listeners_) listener->CloseIdle();
  }
  if (stop_listening) {
    for (Downstream* listener : listeners_) listener->StopAccepting();
  }
  if (since_begin >= plan_.respond_by) {
    for (Downstream* listener : listeners_) listener->EndIncomplete();
  }
  LogPastKill(since_begin);
  if (stop_listening && streams_->size() == 0) {
    const Time quiet = since_begin >= plan_.exit_by ? 0 : kLastResponseTime;
    if (ListenersSettled(quiet)) return finished_();
  }
  deadlines_->Set(Now() + kAdvanceInterval, [this] { Advance(); });
}

// Says once what the process still waits for when SIGKILL may come.
void ShutdownSequence::LogPastKill(Time since_begin) {
  if (past_kill_logged_ || since_begin < plan_.earliest_kill) return;
  past_kill_logged_ = true;
  Log(Level::kInfo, "draining-past-kill", {{"streams", streams_->size()}, {"clients", connections()}});
}

bool ShutdownSequence::ListenersSettled(Time quiet) const {
  for (const Downstream* listener : listeners_) {
    if (!listener->Settled(quiet)) return false;
  }
  return true;
}

std::size_t ShutdownSequence::connections() const {
  std::size_t sum = 0;
  for (const Downstream* listener : listeners_) sum += listener->size();
  return sum;
}

}  // namespace ryeglade
