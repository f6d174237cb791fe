// The part of the model that tracks which members this node reaches, and decides when a suspect is declared
// dead.
#include <algorithm>
#include <utility>

#include "membership/membership_model.h"

namespace ryeglade::membership {
namespace {

// In probe intervals.
// A node suspects a member only if its last round trip with any member is at most this old.
constexpr double kOthersReachedWithin = 2;
constexpr double kCensusDuration = 1.5;  // from the start of a census until its answers are counted
constexpr double kCensusValidFor = 4;    // for this long after that its result counts

// With this many suspects at once a partition is as likely as deaths, so each gets twice the suspicion time.
constexpr double kManySuspectsShare = 0.25;  // of the stable view
constexpr std::size_t kMinManySuspects = 3;

}  // namespace

// Returns a number based on the time, so that numbers also rise across restarts unless the clock was set
// back.
std::uint64_t MembershipModel::NextReportSeq(Time now) {
  last_report_seq_ = std::max(last_report_seq_ + 1, static_cast<std::uint64_t>(std::max<Time>(0, now)));
  return last_report_seq_;
}

void MembershipModel::RecordOwnReport(Time now, Member& member, bool reachable) {
  const ReachabilityReport report{self_.name, reachable, NextReportSeq(now), now};
  if (ReachabilityReport* earlier = member.FindReport(self_.name); earlier != nullptr) {
    *earlier = report;
  } else if (member.reports.size() >= SuspicionRules::kMaxReports) {
    member.reports.back() = report;
  } else {
    member.reports.push_back(report);
  }
  if (!reachable || options_.reachable_reports) EnqueueReport(now, member, report);
}

bool MembershipModel::MaySuspect(Time now, const Member& member) const {
  if (!options_.local_health) return true;
  return table_.live().size() > (member.live() ? 1U : 0U) &&
         now - last_reached_at_ <= health_.ScaledAtMostTwice(options_.Intervals(kOthersReachedWithin));
}

void MembershipModel::ReportUnreachable(Time now, Member& member, Actions& out) {
  if (!MaySuspect(now, member)) return;
  RecordOwnReport(now, member, false);
  if (suspects_.Add(member, now)) EmitMemberEvent(member, now, "member-suspect", self_.name, out);
}

void MembershipModel::MarkVerified(Time now, Member& member, Actions& out) {
  const bool has_returned = member.returning.has_value();
  if (has_returned) {
    member.record = *member.returning;
    member.returning.reset();
  }
  if (IsGone(member.record)) return;
  member.verified = true;
  member.state_since = now;
  member.failed_probes = 0;
  // Majorities are counted among the members in the stable view. Members are added to that view at once if
  // they were removed and return, or if they join while no partition is suspected and no member is suspect.
  // Others are added when the view has become stable with them, because a side that is cut off must not grow
  // into a majority.
  const bool undisturbed = !view_.partition_suspected() && suspects_.empty();
  if (!table_.stable_view().empty() && (has_returned || undisturbed)) table_.AddToStableView(member);
  unverified_.erase(member.record.name);
  table_.UpdateLive(member);
  view_.OnChange(now);
  EmitMemberEvent(member, now, has_returned ? "member-returned" : "member-alive", self_.name, out);
  EnqueueRecord(now, member.record);
}

void MembershipModel::OnReached(Time now, Member& member, Actions& out) {
  member.reached_at = now;
  last_reached_at_ = now;
  if (!member.verified && (!member.gone() || member.returning)) MarkVerified(now, member, out);
  if (suspects_.Contains(member.record.name)) RecordOwnReport(now, member, true);
}

void MembershipModel::MarkGone(Time now, Member& member, const MemberRecord& record,
                               const std::string& reporter, Actions& out) {
  const bool was_live = member.live();
  member.record = record;
  member.returning.reset();
  member.verified = false;
  member.state_since = now;
  member.gone_at = now;
  member.suspect_since = 0;
  member.reports.clear();
  suspects_.Remove(record.name);
  unverified_.erase(record.name);
  EnqueueRecord(now, member.record);
  table_.UpdateLive(member);
  if (!was_live) return;
  view_.OnChange(now);
  EmitMemberEvent(member, now, record.state == RecordState::kDead ? "member-dead" : "member-left", reporter,
                  out);
}

void MembershipModel::CheckSuspects(Time now, Actions& out) {
  if (suspects_.empty()) return;
  const Time suspicion_time = Rules().SuspicionTime();
  struct Suspect {
    Member* member;
    std::vector<std::string> reporters;
  };
  std::vector<Suspect> all;
  all.reserve(suspects_.names().size());
  std::size_t enough_reporters = 0;
  for (const std::string& name : suspects_.names()) {
    Member& member = *table_.Find(name);
    all.push_back({&member, Rules().UnreachableReporters(member, now)});
    if (all.back().reporters.size() >= Rules().RequiredReporters(member)) ++enough_reporters;
  }
  const bool many_at_once = options_.require_majority && enough_reporters >= kMinManySuspects &&
                            static_cast<double>(enough_reporters) >=
                                kManySuspectsShare * static_cast<double>(table_.stable_view().size());
  bool removed = false;  // a suspect was removed in this loop; its reports on the others no longer count
  for (Suspect& suspect : all) {
    Member& member = *suspect.member;
    std::vector<std::string> reporters =
        removed ? Rules().UnreachableReporters(member, now) : std::move(suspect.reporters);
    if (CheckSuspect(now, member, std::move(reporters), suspicion_time, many_at_once, out)) removed = true;
  }
}

// Returns true if the suspect was removed: declared dead, or recorded as having left.
bool MembershipModel::CheckSuspect(Time now, Member& member, std::vector<std::string> reporters,
                                   Time suspicion_time, bool many_at_once, Actions& out) {
  if (reporters.empty()) {  // all reports were withdrawn or have expired
    suspects_.Remove(member.record.name);
    member.suspect_since = 0;
    member.state_since = now;
    member.reports.clear();
    EmitMemberEvent(member, now, "member-cleared", "", out);
    return false;
  }
  for (const ReachabilityReport& report : member.reports) {
    if (report.reachable) member.suspect_since = std::max(member.suspect_since, report.made_at);
  }
  const bool is_leaving = member.record.state == RecordState::kLeaving;
  const Time suspect_for = now - member.suspect_since;
  const bool waited = suspect_for >= (many_at_once || is_leaving ? 2 * suspicion_time : suspicion_time);
  const bool enough_reporters = reporters.size() >= Rules().RequiredReporters(member);
  const bool agreed = enough_reporters && !Rules().IsReportedReachable(member, now);
  // The member itself announced that it is leaving, so no majority is needed. It may only be slow and nothing
  // depends on its early removal, so it still gets the full time.
  if (is_leaving && waited && agreed) {
    MemberRecord left = member.record;
    left.state = RecordState::kLeft;
    MarkGone(now, member, left, self_.name, out);
    return true;
  }
  // The census begins before the suspicion time has passed, so that it is normally complete by then.
  const bool census_due = !is_leaving && enough_reporters &&
                          suspect_for >= suspicion_time - options_.Intervals(kCensusDuration + 1);
  const bool has_majority =
      !options_.require_majority || (census_due && HasMajority(now, member.suspect_since, out));
  const bool may_declare_deaths = !(options_.require_majority && view_.partition_suspected()) &&
                                  has_majority && view_.MayDeclareDeaths(now);
  if (!is_leaving && waited && may_declare_deaths && agreed) {
    MemberRecord dead = member.record;
    dead.state = RecordState::kDead;
    if (reporters.size() > kMaxRecordReporters) reporters.resize(kMaxRecordReporters);
    dead.reporters = std::move(reporters);
    MarkGone(now, member, dead, self_.name, out);
    return true;
  }
  ProbeSuspectAgain(now, member, suspicion_time, out);
  return false;
}

// Probes a suspect again if this node has reported on it or is one of its observers.
void MembershipModel::ProbeSuspectAgain(Time now, Member& member, Time suspicion_time, Actions& out) {
  const Time interval = std::max(options_.Intervals(2), suspicion_time / 3);
  const ReachabilityReport* own = member.FindReport(self_.name);
  const bool due = own != nullptr ? now - own->made_at >= interval
                                  : Rules().IsObserver(member) && now - member.suspect_since >= interval;
  if (due) StartProbe(now, member, out);
}

bool MembershipModel::HasMajority(Time now, Time since, Actions& out) {
  const MajorityCensus::Timing timing{health_.Scaled(options_.Intervals(kCensusDuration)),
                                      options_.Intervals(kCensusValidFor), options_.probe_interval};
  return census_.HasMajority(now, since, timing, table_, suspects_, random_,
                             [&](Member& member) { StartProbe(now, member, out); });
}

}  // namespace ryeglade::membership
