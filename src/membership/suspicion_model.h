// Suspicion of members that can't be reached (SWIM): who is suspect, whose reports count, and how many of
// them and how long a wait a death takes. No I/O, no clock.
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

// The rules by which reports on a member are counted. A view of what it is given, which outlives it.
class SuspicionRules {
 public:
  static constexpr std::size_t kMaxReports = 16;  // kept of a member

  SuspicionRules(const MembershipOptions& options, const MemberTable& table, const std::string& self)
      : options_(options), table_(table), self_(self) {}

  // How long a suspect has to refute; longer in a larger cluster.
  Time SuspicionTime() const;
  // Reports that a member is unreachable count for so long,
  Time UnreachableReportLifetime() const;
  // and those that it was reached for so long.
  Time ReachableReportLifetime() const { return options_.Intervals(3); }
  // How many reporters the death of a member takes; fewer where fewer are left that could report.
  std::size_t RequiredReporters(const Member& member) const;
  // Who reports the member as unreachable; only live members and this node count.
  std::vector<std::string> UnreachableReporters(const Member& member, Time now) const;
  // Who reports that the member was reached.
  std::vector<std::string> ReachableReporters(const Member& member, Time now) const;
  bool IsReportedReachable(const Member& member, Time now) const;
  // Whether this node is among the members that probe a suspect themselves as soon as they hear of it: the
  // first by rendezvous hashing, so that all agree on who they are.
  bool IsObserver(const Member& member) const;

 private:
  const MembershipOptions& options_;
  const MemberTable& table_;
  const std::string& self_;
};

// The members that are suspect now, by name.
class Suspects {
 public:
  bool Contains(const std::string& name) const { return names_.contains(name); }
  bool empty() const { return names_.empty(); }
  const std::set<std::string>& names() const { return names_; }
  // False: it is suspect already.
  bool Add(Member& member, Time now);
  // False: it was not suspect.
  bool Remove(const std::string& name) { return names_.erase(name) > 0; }
  void Clear() { names_.clear(); }
  // How many suspects that are live and in the stable view `predicate` (const Member& -> bool) holds for.
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
