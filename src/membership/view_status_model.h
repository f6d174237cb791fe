// How far a node's view of the members can be relied on: whether it is stable, and whether a partition is
// suspected, in which case those that can't be reached may live. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>

#include "ryeglade/router.h"

namespace ryeglade::membership {

using policy::Time;

// Changed by the events that it is told of; it computes nothing itself.
class ViewStatus {
 public:
  explicit ViewStatus(Time now) : changed_at_(now) {}

  bool partition_suspected() const { return partition_suspected_; }
  bool stable() const { return stable_; }
  bool ever_stable() const { return ever_stable_; }
  Time stable_since() const { return stable_since_; }
  std::uint64_t version() const { return version_; }  // rises with every change of who is in the view
  // Nobody is declared dead before then.
  bool MayDeclareDeaths(Time now) const { return now >= no_deaths_until_; }

  // Somebody has come or gone.
  void OnChange(Time now) {
    changed_at_ = now;
    stable_ = false;
    ++version_;
  }
  // False: it is as before. A suspicion that ends gives those that were cut off `grace` to speak.
  bool SetPartitionSuspected(bool suspected, Time now, Time grace) {
    if (suspected == partition_suspected_) return false;
    partition_suspected_ = suspected;
    stable_ = false;
    if (!suspected) {
      no_deaths_until_ = std::max(no_deaths_until_, now + grace);
      changed_at_ = now;
    }
    return true;
  }
  // True: the view becomes stable now, having been unchanged for `after`.
  bool BecomesStable(Time now, bool joined, Time after) {
    if (stable_ || !joined || partition_suspected_ || now - changed_at_ < after) return false;
    stable_ = true;
    ever_stable_ = true;
    stable_since_ = now;
    return true;
  }
  // This node was not running for `span`.
  void OnPause(Time span, Time no_deaths_until) {
    changed_at_ += span;
    no_deaths_until_ = no_deaths_until;
  }

 private:
  bool partition_suspected_ = false;
  bool stable_ = false;
  bool ever_stable_ = false;
  Time changed_at_;
  Time stable_since_ = 0;
  Time no_deaths_until_ = 0;
  std::uint64_t version_ = 1;
};

}  // namespace ryeglade::membership
