#include "membership/suspicion_model.h"

#include <cmath>

namespace ryeglade::membership {
namespace {

// A report that a member is unreachable counts for this many suspicion times.
constexpr double kReportSuspicionTimes = 3;

}  // namespace

Time SuspicionRules::SuspicionTime() const {
  const double members = static_cast<double>(table_.live().size() + 1);
  return options_.Intervals(options_.suspicion_intervals * std::max(1.0, std::log10(members)));
}

Time SuspicionRules::UnreachableReportLifetime() const {
  return static_cast<Time>(kReportSuspicionTimes * static_cast<double>(SuspicionTime()));
}

std::size_t SuspicionRules::RequiredReporters(const Member& member) const {
  if (!options_.several_reporters) return 1;
  const std::size_t others = table_.live().size() + 1 - (member.live() ? 1 : 0);
  return std::max<std::size_t>(1, std::min(static_cast<std::size_t>(options_.required_reporters), others));
}

std::vector<std::string> SuspicionRules::UnreachableReporters(const Member& member, Time now) const {
  std::vector<std::string> all;
  const Time lifetime = UnreachableReportLifetime();
  for (const ReachabilityReport& report : member.reports) {
    if (report.reachable || now - report.made_at > lifetime) continue;
    const Member* reporter = table_.Find(report.reporter);
    if (report.reporter == self_ || (reporter != nullptr && reporter->live())) all.push_back(report.reporter);
  }
  return all;
}

std::vector<std::string> SuspicionRules::ReachableReporters(const Member& member, Time now) const {
  std::vector<std::string> all;
  if (!options_.reachable_reports) return all;
  for (const ReachabilityReport& report : member.reports) {
    if (report.reachable && now - report.made_at <= ReachableReportLifetime()) all.push_back(report.reporter);
  }
  return all;
}

bool SuspicionRules::IsReportedReachable(const Member& member, Time now) const {
  return options_.reachable_reports &&
         std::any_of(member.reports.begin(), member.reports.end(), [&](const ReachabilityReport& report) {
           return report.reachable && now - report.made_at <= ReachableReportLifetime();
         });
}

bool SuspicionRules::IsObserver(const Member& member) const {
  const std::uint64_t subject = Hash(member.record.name);
  const std::uint64_t own_rank = Hash(self_, subject);
  int ranked_before = 0;
  for (const Member* other : table_.live()) {
    if (other != &member && Hash(other->record.name, subject) < own_rank &&
        ++ranked_before >= options_.observers)
      return false;
  }
  return true;
}

bool Suspects::Add(Member& member, Time now) {
  if (!names_.insert(member.record.name).second) return false;
  member.suspect_since = now;
  member.state_since = now;
  return true;
}

}  // namespace ryeglade::membership
