#include "membership/member_table_model.h"

#include <algorithm>

namespace ryeglade::membership {

const char* Name(MemberState state) {
  switch (state) {
    case MemberState::kJoining:
      return "joining";
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      break;
  }
  return "left";
}

ReachabilityReport* Member::FindReport(std::string_view reporter) {
  const auto it = std::find_if(reports.begin(), reports.end(),
                               [&](const ReachabilityReport& report) { return report.reporter == reporter; });
  return it == reports.end() ? nullptr : &*it;
}

MemberTable::MemberTable(const MemberTable& other)
    : members_(other.members_), stable_view_(other.stable_view_), stable_live_(other.stable_live_) {
  // The copy's indices must point to its own members.
  for (auto& [name, member] : members_) by_name_.emplace(name, &member);
  live_.reserve(other.live_.size());
  for (const Member* member : other.live_) live_.push_back(Find(member->record.name));
}

Member* MemberTable::Find(std::string_view name) {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : it->second;
}

Member& MemberTable::Add(const std::string& name) {
  const auto [it, added] = members_.try_emplace(name);
  if (added) {
    by_name_.emplace(it->first, &it->second);
    it->second.in_stable_view = stable_view_.contains(name);
  }
  return it->second;
}

void MemberTable::Remove(const std::string& name) {
  const auto it = members_.find(name);
  if (it == members_.end()) return;
  by_name_.erase(it->first);
  members_.erase(it);
}

void MemberTable::RemoveAll() {
  live_.clear();
  stable_live_ = 0;
  by_name_.clear();
  members_.clear();
}

void MemberTable::Forget(Time now, Time forget_after, std::size_t max_members) {
  std::erase_if(members_, [&](const auto& entry) {
    const Member& member = entry.second;
    const bool expired = member.gone() && !member.returning && now - member.gone_at >= forget_after;
    if (expired) by_name_.erase(entry.first);
    return expired;
  });
  if (members_.size() < max_members) return;
  auto oldest = members_.end();
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    const Member& member = it->second;
    if (!member.gone() || member.returning) continue;
    if (oldest == members_.end() || member.gone_at < oldest->second.gone_at) oldest = it;
  }
  if (oldest != members_.end()) Remove(std::string(oldest->first));
}

void MemberTable::UpdateLive(Member& member) {
  if (member.live() == (member.live_index_ != Member::kNotListed)) return;
  if (member.live()) {
    member.live_index_ = live_.size();
    live_.push_back(&member);
    stable_live_ += member.in_stable_view ? 1 : 0;
    return;
  }
  stable_live_ -= member.in_stable_view ? 1 : 0;
  live_.back()->live_index_ = member.live_index_;
  live_[member.live_index_] = live_.back();
  live_.pop_back();
  member.live_index_ = Member::kNotListed;
}

void MemberTable::MarkStable(const std::string& self) {
  stable_view_.clear();
  stable_view_.insert(self);
  for (auto& [name, member] : members_) {
    member.in_stable_view = member.live();
    if (member.in_stable_view) stable_view_.insert(name);
  }
  stable_live_ = live_.size();
}

void MemberTable::AddToStableView(Member& member) {
  stable_view_.insert(member.record.name);
  member.in_stable_view = true;
}

}  // namespace ryeglade::membership
