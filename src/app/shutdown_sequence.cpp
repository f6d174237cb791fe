#include "app/shutdown_sequence.h"

#include <utility>

#include "base/log.h"

namespace ryeglade {
namespace {

constexpr Time kInterval = 50'000;  // microseconds between two steps
constexpr Time kLastResponseTime =
    200'000;  // a last response has this long to be read before the process ends

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

// Two dangers. Closing too early loses what was accepted: requests come on old and new connections for a
// while after SIGTERM, and one in the kernel's queue counts as accepted when the listener closes. Closing too
// late means SIGKILL: as long as connections are accepted or kept, one more request may be under way when it
// comes.
void ShutdownSequence::Advance() {
  const Time since = Now() - began_at_;
  const bool replaced = hot_restart_->handed_over();
  const bool stop_listening = since >= plan_.listen_until || replaced;
  if (since >= plan_.close_idle_from || replaced) {
    for (Downstream* listener : listeners_) listener->CloseIdle();
  }
  if (stop_listening) {
    for (Downstream* listener : listeners_) listener->StopAccepting();
  }
  if (since >= plan_.respond_by) {
    for (Downstream* listener : listeners_) listener->EndIncomplete();
  }
  if (stop_listening && streams_->size() == 0) {
    const Time quiet = since >= plan_.exit_by ? 0 : kLastResponseTime;
    if (ListenersSettled(quiet)) return finished_();
  }
  deadlines_->Set(Now() + kInterval, [this] { Advance(); });
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
