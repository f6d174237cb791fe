// The only caller of the decision module. Events are passed to it one at a time in the order posted, and the
// module's actions are carried out in the order given; what they cause is posted behind them.
#pragma once

#include <deque>
#include <vector>

#include "core/core.h"
#include "ryeglade/router.h"

namespace ryeglade {

// Posting from within an action is allowed: the event waits for its turn.
class Decisions : public EventPort, public RetrySafetyPort, private policy::DecisionObserver {
 public:
  explicit Decisions(Core* core);
  void Post(policy::Event event) override;
  bool IsSafeToRetry(Handle stream) const override { return router_.may_reject(stream); }
  // Recorders and the observer of reasons are not owned, and come before the first event. Without any there
  // is no cost.
  void AddRecorder(DecisionRecorder* recorder);
  void SetObserver(policy::DecisionObserver* observer) { observer_ = observer; }
  const policy::Router& router() const { return router_; }
  void UpdateClasses(const std::vector<policy::ClassSettings>& classes, int max_attempts) {
    router_.UpdateClasses(classes, max_attempts);
  }

 private:
  void Execute(const policy::Action& action);

  // Reasons: each rejection and failure is logged, and all are passed on to the observer, if there is one.
  bool wants_dispatches() const override { return observer_ != nullptr && observer_->wants_dispatches(); }
  void OnDispatch(const policy::DispatchRecord& record) override;
  void OnConclusion(const policy::ConclusionRecord& record) override;
  void OnEjection(const policy::EjectionRecord& record) override;

  Core* core_;
  Time start_;
  std::vector<DecisionRecorder*> recorders_;
  policy::DecisionObserver* observer_ = nullptr;
  policy::Router router_;
  std::deque<policy::Event> events_;     // posted and not yet passed to the module
  std::vector<policy::Action> actions_;  // of the event being handled
  bool handling_ = false;                // an event is being handled: others wait
};

}  // namespace ryeglade
