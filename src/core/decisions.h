// The only caller of the decision module. Events are handed over one at a time in the order posted, and the
// module's actions are carried out in the order given; what they cause is posted behind them.
#pragma once

#include <deque>
#include <vector>

#include "core/core.h"
#include "ryeglade/router.h"

namespace ryeglade {

class Decisions : public EventPort, public RetrySafetyPort, private policy::DecisionObserver {
 public:
  explicit Decisions(Core* core);
  void Post(policy::Event event) override;
  bool IsSafeToRetry(Handle stream) const override { return router_.may_reject(stream); }
  // Before the first event; none: nobody listens, at no cost.
  void Tap(DecisionRecorder* tap);
  // Whoever else wants the decision module's reasons. Must be set before the first event; not owned.
  void Observe(policy::DecisionObserver* observer) { observer_ = observer; }
  const policy::Router& router() const { return router_; }
  void Retune(const std::vector<policy::ClassSettings>& classes, int max_attempts) {
    router_.UpdateClasses(classes, max_attempts);
  }

 private:
  void CarryOut(const policy::Action& action);

  // Reasons: each refusal and failure is logged, and all are passed on to the observer, if there is one.
  bool wants_dispatches() const override { return observer_ != nullptr && observer_->wants_dispatches(); }
  void OnDispatch(const policy::DispatchRecord& note) override;
  void OnConclusion(const policy::ConclusionRecord& note) override;
  void OnEjection(const policy::EjectionRecord& note) override;

  Core* core_;
  Time start_;
  std::vector<DecisionRecorder*> taps_;
  policy::DecisionObserver* observer_ = nullptr;
  policy::Router router_;
  std::deque<policy::Event> events_;
  std::vector<policy::Action> actions_;
  bool busy_ = false;
};

}  // namespace ryeglade
