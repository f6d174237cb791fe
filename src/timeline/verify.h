// Replays a flight record: a Router built from the recorded settings and seed is given the recorded events,
// and must return the recorded actions. Performs no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "ryeglade/router.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

// Returns the index of the field of a load report that best describes the load: requests in flight, or else
// utilization, queue length, or the first field. Reads the recorded settings; returns 0 if they are invalid.
std::size_t LoadFieldOf(const std::string& settings);

// Compares the recorded actions of each decision with those of a replay.
class Verifier {
 public:
  // `observer` receives the reasons of the replayed decisions; may be null.
  explicit Verifier(policy::DecisionObserver* observer = nullptr) : observer_(observer) {}

  // Records are added in order. Throws std::runtime_error if the recorded settings are invalid.
  void AddRecord(const Record& record);

  std::uint64_t starts() const { return starts_; }        // Start records
  std::uint64_t decisions() const { return decisions_; }  // decisions that were compared
  std::uint64_t matched() const { return matched_; }      // compared decisions with equal actions
  // Decisions that cannot be compared: those after a gap until the next start, and before the first start.
  std::uint64_t skipped() const { return skipped_; }
  const std::string& first_difference() const { return difference_; }  // as text; empty if there is none
  // Returns whether at least one decision was compared and all of them matched.
  bool good() const { return decisions_ > 0 && matched_ == decisions_ && difference_.empty(); }

  // The Router after the last decision; null after a gap and before the first start.
  const policy::Router* router() const { return router_.get(); }

 private:
  policy::DecisionObserver* observer_;
  std::unique_ptr<policy::Router> router_;
  std::uint64_t starts_ = 0, decisions_ = 0, matched_ = 0, skipped_ = 0;
  std::string difference_;
};

}  // namespace ryeglade::timeline
