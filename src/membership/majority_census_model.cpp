#include "membership/majority_census_model.h"

namespace ryeglade::membership {
namespace {

constexpr std::size_t kMaxSample = 24;  // members; in a smaller view all members are counted
constexpr double kSampleMargin = 1.1;   // an estimated majority must exceed half of the view times this

}  // namespace

bool MajorityCensus::HasMajority(Time now, Time since, const Timing& timing, MemberTable& table,
                                 const Suspects& suspects, const RandomBits& random,
                                 const StartProbe& start_probe) {
  if (table.stable_view().size() < 2) return true;
  if (began_at_ < since || now - began_at_ > timing.duration + timing.valid_for)
    Begin(now, timing, table, suspects, random, start_probe);
  if (now - began_at_ < timing.duration) return false;
  return CountMajority(timing, table, suspects);
}

void MajorityCensus::Begin(Time now, const Timing& timing, MemberTable& table, const Suspects& suspects,
                           const RandomBits& random, const StartProbe& start_probe) {
  began_at_ = now;
  sample_.clear();
  std::vector<std::string> names;
  for (const Member* member : table.live()) {
    if (member->in_stable_view && !suspects.Contains(member->record.name))
      names.push_back(member->record.name);
  }
  while (sample_.size() < kMaxSample && !names.empty()) {
    const std::size_t i = random() % names.size();
    Member& member = *table.Find(names[i]);
    if (now - member.reached_at > timing.probe_interval) start_probe(member);
    sample_.push_back(names[i]);
    names.erase(names.begin() + static_cast<std::ptrdiff_t>(i));
  }
  complete_ = names.empty();
}

bool MajorityCensus::CountMajority(const Timing& timing, const MemberTable& table,
                                   const Suspects& suspects) const {
  const double view_size = static_cast<double>(table.stable_view().size());
  double reached = 0;
  double sampled = 0;
  for (const std::string& name : sample_) {
    const Member* member = table.Find(name);
    ++sampled;
    if (member != nullptr && member->live() && member->reached_at >= began_at_ - timing.probe_interval)
      ++reached;
  }
  if (complete_) return 2 * (1 + reached) > view_size;
  const double unsuspected = static_cast<double>(
      table.stable_live() - suspects.CountInStableView(table, [](const Member&) { return true; }));
  return 2 * (1 + unsuspected * reached / sampled) > kSampleMargin * view_size;
}

}  // namespace ryeglade::membership
