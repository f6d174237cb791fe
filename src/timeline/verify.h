// Runs a flight record again: a Router built from the recorded settings and seed is given the recorded
// events, and must give the recorded actions. No I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "ryeglade/router.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

// Which field of a load report says how much there is: requests in flight, else the share in use, else the
// queue, else the first. From the recorded settings; 0 if they can't be read.
std::size_t LoadFieldOf(const std::string& settings);

class Verifier {
 public:
  // Told the reasons of what is run again; null: nobody.
  explicit Verifier(policy::DecisionObserver* observer = nullptr) : observer_(observer) {}

  // In the record's order. Throws std::runtime_error if the recorded settings can't be read.
  void AddRecord(const Record& record);

  std::uint64_t starts() const { return starts_; }
  std::uint64_t decisions() const { return decisions_; }  // compared
  std::uint64_t matched() const { return matched_; }
  std::uint64_t skipped() const {
    return skipped_;
  }  // behind a gap, or before the first start: not comparable
  const std::string& first_difference() const { return difference_; }  // in words; empty: none
  bool good() const { return decisions_ > 0 && matched_ == decisions_ && difference_.empty(); }

  // As it was after the last decision; null behind a gap.
  const policy::Router* router() const { return router_.get(); }

 private:
  policy::DecisionObserver* observer_;
  std::unique_ptr<policy::Router> router_;
  std::uint64_t starts_ = 0, decisions_ = 0, matched_ = 0, skipped_ = 0;
  std::string difference_;
};

}  // namespace ryeglade::timeline
