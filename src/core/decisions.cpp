#include "core/decisions.h"

#include <utility>
#include <variant>

#include "base/log.h"
#include "core/streams.h"
#include "core/words.h"

namespace ryeglade {
namespace {

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace

Decisions::Decisions(Core* core)
    : core_(core), start_(Now()), router_(core->config->settings, core->config->seed, start_) {
  router_.SetObserver(this);
}

void Decisions::OnDispatch(const policy::DispatchRecord& note) { observer_->OnDispatch(note); }

void Decisions::OnConclusion(const policy::ConclusionRecord& note) {
  const Stream* stream = core_->answers->Get(note.id);
  if (core_->tally != nullptr) ++core_->tally->given_up[Word(note.reason)];
  Log(Level::kInfo, "request-given-up",
      {{"id", stream != nullptr ? stream->request.call_id.c_str() : "-"},
       {"why", Word(note.reason)},
       {"attempts", note.attempts},
       {"held_ms", note.open_for / 1000},
       {"queue", note.queue_length},
       {"cap", note.total_concurrency_limit},
       {"in_flight", note.in_flight}});
  if (observer_ != nullptr) observer_->OnConclusion(note);
}

void Decisions::OnEjection(const policy::EjectionRecord& note) {
  if (observer_ != nullptr) observer_->OnEjection(note);
}

void Decisions::Tap(DecisionTap* tap) {
  taps_.push_back(tap);
  tap->OnStart(core_->config->settings_text, core_->config->seed, start_);
}

void Decisions::Post(policy::Event event) {
  events_.push_back(std::move(event));
  if (busy_) return;
  busy_ = true;
  while (!events_.empty()) {
    const policy::Event next = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    const Time now = Now();
    router_.Handle(now, next, actions_);
    for (DecisionTap* tap : taps_) tap->OnDecision(now, next, actions_);
    for (const policy::Action& action : actions_) CarryOut(action);
  }
  busy_ = false;
}

void Decisions::CarryOut(const policy::Action& action) {
  using namespace ryeglade::policy;
  std::visit(
      Overloaded{
          [&](const SendAttempt& a) { core_->attempts->Send(a.id, a.replica, a.timeout, a.write_within); },
          [&](const CancelAttempt& a) { core_->attempts->CancelAttempt(a.id, a.attempt); },
          [&](const RejectRequest& a) { core_->verdicts->Refuse(a.id, a.retry_after); },
          [&](const FailRequest& a) { core_->verdicts->Fail(a.id); },
          [&](const MigrateStream& a) { core_->verdicts->Move(a.id); },
          [&](const SetTimer& a) {
            core_->deadlines->Set(Now() + a.delay, [this, token = a.token] { Post(TimerFired{token}); });
          },
          [&](const CheckHealth& a) { core_->attempts->Probe(a.replica); },
          [&](const WatchEndpoints& a) { core_->membership->Watch(a.enabled); },
          [&](const PollEndpoints&) { core_->membership->Fetch(); },
      },
      action);
}

}  // namespace ryeglade
