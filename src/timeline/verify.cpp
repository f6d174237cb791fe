#include "timeline/verify.h"

#include <algorithm>
#include <exception>
#include <vector>

#include "settings.h"
#include "timeline/flight_record_text_model.h"

namespace ryeglade::timeline {

std::size_t LoadFieldOf(const std::string& settings) {
  using policy::LoadField;
  try {
    const std::vector<LoadField> fields = policy::wire::ReadSettings(settings).load_fields;
    for (const LoadField wanted : {LoadField::kInFlight, LoadField::kUtilization, LoadField::kQueueLength}) {
      const auto at = std::find(fields.begin(), fields.end(), wanted);
      if (at != fields.end()) return static_cast<std::size_t>(at - fields.begin());
    }
  } catch (const std::exception&) {
    // The settings may be damaged, or written by another version.
  }
  return 0;
}

void Verifier::AddRecord(const Record& record) {
  if (const auto* start = std::get_if<Start>(&record)) {
    ++starts_;
    router_ = std::make_unique<policy::Router>(policy::wire::ReadSettings(start->settings), start->seed,
                                               start->now);
    router_->SetObserver(observer_);
    return;
  }
  if (std::holds_alternative<Gap>(record) || std::holds_alternative<CoalescedDecisions>(record)) {
    router_.reset();  // the events in the gap are not known, so later decisions cannot be reproduced
    return;
  }
  if (!std::holds_alternative<Decision>(record)) return;
  const Decision& d = std::get<Decision>(record);
  if (router_ == nullptr) {
    ++skipped_;
    return;
  }
  ++decisions_;
  std::vector<policy::Action> actions;
  router_->Handle(d.now, d.event, actions);
  if (ActionBytes(actions) == ActionBytes(d.actions)) {
    ++matched_;
    return;
  }
  if (difference_.empty()) {
    difference_ = "decision " + std::to_string(decisions_) + "\n  recorded: " + ToText(d) +
                  "\n  replayed: " + ToText(Decision{d.now, d.event, actions});
  }
}

}  // namespace ryeglade::timeline
