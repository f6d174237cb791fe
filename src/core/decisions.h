// The only caller of the decision module. Events are passed to it one at a time in the order posted, and its
// actions are executed in the order returned. Events that an action causes are queued behind those already
// posted.
#pragma once

#include <deque>
#include <vector>

#include "core/core.h"
#include "ryeglade/router.h"

namespace ryeglade {

// Post may be called while an action is executed: the event is queued.
class Decisions : public EventPort, public RetrySafetyPort, private policy::DecisionObserver {
 public:
  explicit Decisions(Core* core);
  void Post(policy::Event event) override;
  bool IsSafeToRetry(Handle stream) const override { return router_.may_reject(stream); }
  // Recorders and the observer are not owned and must be set before the first event.
  void AddRecorder(DecisionRecorder* recorder);
  void SetObserver(policy::DecisionObserver* observer) { observer_ = observer; }
  const policy::Router& router() const { return router_; }
  // See policy::Router::UpdateClasses.
  void UpdateClasses(const std::vector<policy::ClassSettings>& classes, int max_attempts) {
    router_.UpdateClasses(classes, max_attempts);
  }

 private:
  void Execute(const policy::Action& action);

  // Called by the decision module with a record of what it decided and why. Rejections and failures are
  // logged; all records are passed on to the observer, if there is one.
  bool wants_dispatches() const override { return observer_ != nullptr && observer_->wants_dispatches(); }
  void OnDispatch(const policy::DispatchRecord& record) override;
  void OnConclusion(const policy::ConclusionRecord& record) override;
  void OnEjection(const policy::EjectionRecord& record) override;

  Core* core_;
  Time start_;
  std::vector<DecisionRecorder*> recorders_;
  policy::DecisionObserver* observer_ = nullptr;
  policy::Router router_;
  std::deque<policy::Event> events_;     // posted but not yet passed to the module
  std::vector<policy::Action> actions_;  // returned for the event being handled
  bool handling_ = false;                // an event is being handled; further ones are queued
};

}  // namespace ryeglade
