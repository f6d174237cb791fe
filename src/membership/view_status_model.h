// How reliable a node's view of the members is: whether it is stable, and whether a partition is suspected,
// in which case members that can't be reached may still be running. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>

#include "ryeglade/router.h"

namespace ryeglade::membership {

using policy::Time;

// Keeps the status; the caller reports the events that change it. Times in microseconds.
class ViewStatus {
 public:
  explicit ViewStatus(Time now) : changed_at_(now) {}

  bool partition_suspected() const { return partition_suspected_; }
  bool stable() const { return stable_; }
  bool ever_stable() const { return ever_stable_; }
  Time stable_since() const { return stable_since_; }
  std::uint64_t version() const { return version_; }  // rises with every change of the view's members
  // Whether deaths may be declared. For a while after a pause or a suspected partition they may not.
  bool MayDeclareDeaths(Time now) const { return now >= no_deaths_until_; }

  // A member has joined or gone.
  void OnChange(Time now) {
    changed_at_ = now;
    stable_ = false;
    ++version_;
  }
  // Returns false if nothing changed. When a suspicion ends, members that were cut off get the span `grace`
  // to make contact before deaths may be declared.
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
  // Returns true if the view becomes stable now, because it has been unchanged for the span `after`.
  bool BecomesStable(Time now, bool joined, Time after) {
    if (stable_ || !joined || partition_suspected_ || now - changed_at_ < after) return false;
    stable_ = true;
    ever_stable_ = true;
    stable_since_ = now;
    return true;
  }
  // This node was not running for `span`: the pause does not count as time without a change, and no deaths
  // may be declared until `no_deaths_until`.
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
