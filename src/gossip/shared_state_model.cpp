#include "gossip/shared_state_model.h"

#include <cmath>
#include <utility>

namespace ryeglade::gossip {
namespace {

constexpr double kWorthTelling = 0.02;  // a part that has moved by this share of itself

}  // namespace

TierModel::TierModel(std::string self, std::uint64_t life, Time now, Uses uses, TierLimits limits)
    : self_(std::move(self)),
      uses_(uses),
      limits_(limits),
      share_(self_, life, now, limits.share),
      evidence_(self_, limits.evidence),
      beginnings_(self_, now, limits.beginnings) {}

void TierModel::Arrived(Time now, std::uint64_t beginning) {
  share_.Arrived(now);
  if (uses_.beginnings) beginnings_.Arrived(now, beginning);
}

void TierModel::View(Time now, const std::vector<EvidenceModel::Peer>& members, const std::string& zone,
                     bool sure, bool settled) {
  sure_ = sure;
  doubt_since_ = sure ? -1 : doubt_since_ >= 0 ? doubt_since_ : now;
  std::vector<std::string> names;
  names.reserve(members.size());
  for (const auto& p : members) names.push_back(p.name);
  share_.View(now, names, sure, settled);
  evidence_.View(now, members, zone, sure);
  if (!sure || !settled) return;
  std::map<std::string, bool> now_in;
  for (const std::string& name : names) now_in[name] = true;
  for (const auto& [name, yes] : members_) {
    if (!now_in.contains(name)) beginnings_.Forget(name);
  }
  members_ = std::move(now_in);
}

void TierModel::See(Time now, const std::vector<policy::ReplicaView>& fleet, bool doubt) {
  evidence_.See(now, fleet, doubt || !sure_);
}

bool TierModel::Learn(Time now, const Telling& telling) {
  if (!share_.Learn(now, telling.node, telling.word)) return false;
  const Time made = now - telling.age;
  evidence_.Learn(made, telling.node, telling.word);
  if (uses_.beginnings) beginnings_.Learn(made, telling.node, telling.word);
  return true;
}

std::optional<Word> TierModel::Tell(Time now) {
  const int urgent = uses_.evidence ? evidence_.urgent() : 0;
  std::optional<Word> word = share_.Tell(now, urgent > urgent_);
  if (!word) return word;
  urgent_ = urgent;
  if (uses_.evidence) evidence_.Tell(now, &*word);
  if (uses_.beginnings) beginnings_.Tell(now, &*word);
  return word;
}

std::vector<policy::Event> TierModel::Turn(Time now, std::size_t nodes) {
  std::vector<policy::Event> events;
  part_ = share_.Share(now, nodes);
  if (uses_.parts && !(told_part_ > 0 && std::abs(part_ / told_part_ - 1) < kWorthTelling)) {
    told_part_ = part_;
    events.emplace_back(policy::TrafficShareChanged{part_});
  }
  if (judged_ != 0 && now - judged_ < limits_.judge_every) return events;
  judged_ = now;
  const bool lost = doubt_since_ >= 0 && now - doubt_since_ > limits_.stand;
  if (uses_.evidence && (sure_ || lost)) {
    // In doubt nothing more is said: rests run out and slowness fades, step by step, as the module has it.
    policy::PeerReportsReceived e{sure_ ? evidence_.Judge(now, part_) : evidence_.Withdraw(now)};
    if (!e.replicas.empty()) events.emplace_back(std::move(e));
  }
  if (uses_.beginnings) {
    policy::PrefixTrafficReceived keys;
    if (sure_ ? beginnings_.Shares(now, &keys) : lost && beginnings_.Withdraw(&keys))
      events.emplace_back(std::move(keys));
  }
  return events;
}

}  // namespace ryeglade::gossip
