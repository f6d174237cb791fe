// Suspicion of members that can't be reached (SWIM): which members are suspect, whose reports count, and how
// many reports and how much time a death requires. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "membership/member_table_model.h"
#include "membership/membership_options.h"

namespace ryeglade::membership {

// The rules by which reports on a member are counted. Keeps references to the constructor's arguments, which
// must outlive it.
class SuspicionRules {
 public:
  static constexpr std::size_t kMaxReports = 16;  // kept for one member

  SuspicionRules(const MembershipOptions& options, const MemberTable& table, const std::string& self)
      : options_(options), table_(table), self_(self) {}

  // The time in which a suspect can refute the suspicion; longer in a larger cluster.
  Time SuspicionTime() const;
  // The time for which a report that a member is unreachable counts.
  Time UnreachableReportLifetime() const;
  // The time for which a report that a member was reached counts.
  Time ReachableReportLifetime() const { return options_.Intervals(3); }
  // The number of reporters that the death of a member requires; fewer if fewer are left that could report.
  std::size_t RequiredReporters(const Member& member) const;
  // The nodes that report the member as unreachable. Only live members and this node count.
  std::vector<std::string> UnreachableReporters(const Member& member, Time now) const;
  // The nodes that report that the member was reached.
  std::vector<std::string> ReachableReporters(const Member& member, Time now) const;
  bool IsReportedReachable(const Member& member, Time now) const;
  // Whether this node is one of the member's observers, which probe it as soon as they receive a report that
  // makes it suspect. Observers are the first MembershipOptions::observers members by rendezvous hashing, so
  // that all nodes with the same view agree on them.
  bool IsObserver(const Member& member) const;

 private:
  const MembershipOptions& options_;
  const MemberTable& table_;
  const std::string& self_;
};

// The set of members that are suspect now, by name.
class Suspects {
 public:
  bool Contains(const std::string& name) const { return names_.contains(name); }
  bool empty() const { return names_.empty(); }
  const std::set<std::string>& names() const { return names_; }
  // Returns false if the member is suspect already.
  bool Add(Member& member, Time now);
  // Returns false if the member was not suspect.
  bool Remove(const std::string& name) { return names_.erase(name) > 0; }
  void Clear() { names_.clear(); }
  // Counts the suspects that are live, are in the stable view and fulfil `predicate` (const Member& -> bool).
  template <typename Predicate>
  std::size_t CountInStableView(const MemberTable& table, const Predicate& predicate) const {
    return static_cast<std::size_t>(std::count_if(names_.begin(), names_.end(), [&](const std::string& name) {
      const Member* member = table.Find(name);
      return member != nullptr && member->in_stable_view && member->live() && predicate(*member);
    }));
  }

 private:
  std::set<std::string> names_;
};

}  // namespace ryeglade::membership
