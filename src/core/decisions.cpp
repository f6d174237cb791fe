#include "core/decisions.h"

#include <utility>
#include <variant>

#include "base/log.h"
#include "core/enum_names.h"
#include "core/streams.h"

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

void Decisions::OnDispatch(const policy::DispatchRecord& record) { observer_->OnDispatch(record); }

void Decisions::OnConclusion(const policy::ConclusionRecord& record) {
  const Stream* stream = core_->responses->Find(record.id);
  if (core_->counters != nullptr) ++core_->counters->requests_concluded[Name(record.reason)];
  Log(Level::kInfo, "request-given-up",
      {{"id", stream != nullptr ? stream->request.call_id.c_str() : "-"},
       {"why", Name(record.reason)},
       {"attempts", record.attempts},
       {"held_ms", record.open_for / 1000},
       {"queue", record.queue_length},
       {"cap", record.total_concurrency_limit},
       {"in_flight", record.in_flight}});
  if (observer_ != nullptr) observer_->OnConclusion(record);
}

void Decisions::OnEjection(const policy::EjectionRecord& record) {
  if (observer_ != nullptr) observer_->OnEjection(record);
}

void Decisions::AddRecorder(DecisionRecorder* recorder) {
  recorders_.push_back(recorder);
  recorder->OnStart(core_->config->settings_text, core_->config->seed, start_);
}

void Decisions::Post(policy::Event event) {
  events_.push_back(std::move(event));
  if (handling_) return;
  handling_ = true;
  while (!events_.empty()) {
    const policy::Event next = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    const Time now = Now();
    router_.Handle(now, next, actions_);
    for (DecisionRecorder* recorder : recorders_) recorder->OnDecision(now, next, actions_);
    for (const policy::Action& action : actions_) Execute(action);
  }
  handling_ = false;
}

void Decisions::Execute(const policy::Action& action) {
  using namespace ryeglade::policy;
  std::visit(
      Overloaded{
          [&](const SendAttempt& a) { core_->attempts->Send(a.id, a.replica, a.timeout, a.write_within); },
          [&](const CancelAttempt& a) { core_->attempts->CancelAttempt(a.id, a.attempt); },
          [&](const RejectRequest& a) { core_->conclusions->Reject(a.id, a.retry_after); },
          [&](const FailRequest& a) { core_->conclusions->Fail(a.id); },
          [&](const MigrateStream& a) { core_->conclusions->Migrate(a.id); },
          [&](const SetTimer& a) {
            core_->deadlines->Set(Now() + a.delay, [this, token = a.token] { Post(TimerFired{token}); });
          },
          [&](const CheckHealth& a) { core_->attempts->CheckHealth(a.replica); },
          [&](const WatchEndpoints& a) { core_->discovery->Watch(a.enabled); },
          [&](const PollEndpoints&) { core_->discovery->Poll(); },
      },
      action);
}

}  // namespace ryeglade
