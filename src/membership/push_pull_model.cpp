#include "membership/push_pull_model.h"

#include <algorithm>

namespace ryeglade::membership {
namespace {

// The first attempts to join are one probe interval apart, the further ones three.
constexpr std::size_t kFastAttempts = 10;

// Returns the seeds that are not in the view. They may be in a part of the cluster that has had no contact
// with this one.
std::vector<std::string> MissingSeeds(const std::vector<std::string>& seeds,
                                      const std::vector<Member*>& live) {
  std::vector<std::string> missing;
  for (const std::string& seed : seeds) {
    if (std::none_of(live.begin(), live.end(),
                     [&](const Member* member) { return member->record.address == seed; }))
      missing.push_back(seed);
  }
  return missing;
}

std::vector<const Member*> DeadMembers(const MemberTable& table) {
  std::vector<const Member*> dead;
  for (const auto& [name, member] : table.all()) {
    if (member.record.state == RecordState::kDead && !member.returning) dead.push_back(&member);
  }
  return dead;
}

}  // namespace

void PushPullSchedule::JoinAgain(Time now) {
  joined_ = false;
  next_at_ = now;
}

PushPullSchedule::Due PushPullSchedule::TakeDue(Time now, const MembershipOptions& options,
                                                const MemberTable& table, bool stable,
                                                const RandomBits& random) {
  Due due;
  if (now < next_at_) return due;
  const Time jitter = static_cast<Time>(random() % static_cast<std::uint64_t>(options.probe_interval));
  if (!joined_) {
    due.addresses.push_back(options.seeds[seed_attempts_++ % options.seeds.size()]);
    const Time gap = seed_attempts_ < kFastAttempts ? options.probe_interval : options.Intervals(3);
    next_at_ = now + gap + jitter;
    return due;
  }
  const std::vector<Member*>& live = table.live();
  // The cost of an exchange grows with the number of members, so beyond 100 members exchanges are less
  // frequent while the view is stable.
  const double factor = stable ? std::max(1.0, static_cast<double>(live.size()) / 100) : 1;
  next_at_ = now + options.Intervals(options.push_pull_intervals * factor) + jitter;
  if (!live.empty()) due.addresses.push_back(live[random() % live.size()]->record.address);
  const std::vector<std::string> missing = MissingSeeds(options.seeds, live);
  if (!missing.empty()) due.addresses.push_back(missing[random() % missing.size()]);
  const std::vector<const Member*> dead = DeadMembers(table);
  if (!dead.empty()) due.dead_member = dead[random() % dead.size()];
  return due;
}

}  // namespace ryeglade::membership
