#include "membership/probing_model.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ryeglade::membership {
namespace {

constexpr int kPings = 3;                   // direct pings of one probe before its timeout
constexpr std::size_t kHelperDraws = 24;    // members that are drawn at random to find candidates
constexpr std::size_t kMaxCandidates = 12;  // candidates for helpers

}  // namespace

Probe* Probing::Start(Time now, const std::string& target, Time timeout, Time duration,
                      const RandomBits& random) {
  if (probes_.size() >= kMaxProbes) return nullptr;
  for (const Probe& probe : probes_) {
    if (probe.target == target) return nullptr;
  }
  Probe probe;
  probe.seq = random();
  probe.indirect_seq = random();
  probe.target = target;
  probe.started_at = now;
  probe.timeout = timeout;
  probe.ends_at = now + duration;
  probes_.push_back(std::move(probe));
  return &probes_.back();
}

std::vector<Probe> Probing::TakeFailed(Time now) {
  std::vector<Probe> failed;
  for (std::size_t i = 0; i < probes_.size();) {
    if (now < probes_[i].ends_at) {
      ++i;
      continue;
    }
    failed.push_back(std::move(probes_[i]));
    probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return failed;
}

std::vector<Probing::Due> Probing::DueProbes(Time now) {
  std::vector<Due> due;
  for (Probe& probe : probes_) {
    if (probe.indirect) continue;
    if (now >= probe.started_at + probe.timeout) {
      due.push_back({&probe, true});
    } else if (probe.pings < kPings && now >= probe.started_at + probe.pings * probe.timeout / kPings) {
      due.push_back({&probe, false});
    }
  }
  return due;
}

std::optional<std::string> Probing::OnAck(std::uint64_t seq, const std::string& sender, bool sender_live) {
  // The ack comes from the target itself or from a helper that reached it.
  const auto it = std::find_if(probes_.begin(), probes_.end(), [&](const Probe& probe) {
    if (probe.target == sender) return probe.seq == seq;
    return probe.indirect && probe.indirect_seq == seq && sender_live;
  });
  if (it == probes_.end()) return std::nullopt;
  std::string target = std::move(it->target);
  probes_.erase(it);
  return target;
}

bool Probing::OnNack(std::uint64_t seq) {
  const auto it = std::find_if(probes_.begin(), probes_.end(),
                               [&](const Probe& probe) { return probe.indirect_seq == seq; });
  if (it == probes_.end() || it->nacks >= it->requests) return false;
  ++it->nacks;
  return true;
}

std::optional<RelayedProbe> Probing::TakeRelay(std::uint64_t seq, const std::string& sender) {
  const auto it = std::find_if(relays_.begin(), relays_.end(), [&](const RelayedProbe& relay) {
    return relay.seq == seq && relay.target == sender;
  });
  if (it == relays_.end()) return std::nullopt;
  RelayedProbe relay = std::move(*it);
  relays_.erase(it);
  return relay;
}

std::vector<RelayedProbe> Probing::TakeDueNacks(Time now) {
  std::vector<RelayedProbe> due;
  for (RelayedProbe& relay : relays_) {
    if (relay.nacked || now < relay.nack_at) continue;
    relay.nacked = true;
    due.push_back(relay);
  }
  return due;
}

void Probing::RemoveEndedRelays(Time now) {
  std::erase_if(relays_, [&](const RelayedProbe& relay) { return now >= relay.ends_at; });
}

Member* Probing::NextTarget(MemberTable& table, const RandomBits& random) {
  while (true) {
    if (round_.empty()) {
      for (const Member* member : table.live()) round_.push_back(member->record.name);
      for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[random() % i]);
      if (round_.empty()) return nullptr;
    }
    Member* member = table.Find(round_.back());
    round_.pop_back();
    if (member != nullptr && member->live()) return member;
  }
}

void Probing::Clear() {
  probes_.clear();
  relays_.clear();
}

std::vector<const Member*> ChooseHelpers(const std::vector<Member*>& live, const Member* target,
                                         std::size_t count, const RandomBits& random) {
  std::vector<const Member*> candidates;
  for (std::size_t i = 0; i < kHelperDraws && candidates.size() < kMaxCandidates && !live.empty(); ++i) {
    const Member* member = live[random() % live.size()];
    if (member != target && std::find(candidates.begin(), candidates.end(), member) == candidates.end())
      candidates.push_back(member);
  }
  std::vector<const Member*> chosen;
  std::set<std::string> zones;
  for (const Member* member : candidates) {
    if (chosen.size() < count && zones.insert(member->record.zone).second) chosen.push_back(member);
  }
  for (const Member* member : candidates) {
    if (chosen.size() < count && std::find(chosen.begin(), chosen.end(), member) == chosen.end())
      chosen.push_back(member);
  }
  return chosen;
}

}  // namespace ryeglade::membership
