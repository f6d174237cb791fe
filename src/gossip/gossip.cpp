#include "gossip/gossip.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/log.h"

namespace ryeglade::gossip {
namespace {

constexpr Time kEvery = 250'000;
constexpr Time kTellEach = 40'000;  // words of a tier come no closer than this, over all nodes

TierLimits LimitsOf(const GossipSettings& s) {
  TierLimits l;
  l.share.tell_each = kTellEach;
  l.evidence.accusers = s.min_reporters;
  l.evidence.most_out = s.max_ejected_fraction;
  if (!s.dead_in_flight) l.evidence.ends = 0;
  return l;
}

}  // namespace

Tier::Tier(const Runtime* run, const GossipSettings& settings, const std::string& node, std::uint64_t life,
           const ClusterViewPort* view, const ReplicaViewPort* fleet, EventPort* events)
    : run_(run),
      node_(node),
      view_(view),
      fleet_(fleet),
      events_(events),
      model_(node, life, Now(),
             Uses{settings.traffic_shares, settings.outlier_reports, settings.prefix_shares},
             LimitsOf(settings)) {}

void Tier::Start() { Turn(); }

void Tier::Close() { run_->deadlines->Cancel(turn_); }

void Tier::OnDecision(Time now, const policy::Event& event, const std::vector<policy::Action>&) {
  if (const auto* arrived = std::get_if<policy::RequestArrived>(&event)) model_.Arrived(now, arrived->prefix);
}

void Tier::Turn() {
  turn_ = run_->deadlines->Set(Now() + kEvery, [this] { Turn(); });
  const Time now = Now();
  const ClusterView view = view_->View();
  std::vector<EvidenceModel::Peer> members;
  std::string zone;
  for (const ClusterMember& m : view.members) {
    if (m.name == node_) {
      zone = m.zone;
    } else {
      members.push_back({m.name, m.zone});
    }
  }
  model_.View(now, members, zone, view.joined && !view.partition_suspected && !members.empty(), view.stable);
  if (model_.uses().evidence) {
    seen_.clear();
    fleet_->ListReplicas(&seen_);
    model_.See(now, seen_, false);
  }
  if (std::optional<Word> word = model_.Tell(now)) gossip_.Put(now, {node_, 0, std::move(*word)}, true);
  for (policy::Event& event : model_.Turn(now, view.announced_nodes)) events_->Post(std::move(event));

  if (state_ != model_.shares().state()) {
    state_ = model_.shares().state();
    Log(Level::kInfo, "tier-part", {{"state", state_}, {"part", fmt::format("{:.4f}", model_.part())}});
  }
  std::map<policy::ReplicaId, Time> alone;
  for (const EvidenceModel::Line& line : model_.evidence().Explain()) {
    if (line.rests_until <= now) continue;
    alone[line.replica] = line.rests_until;
    if (left_alone_.contains(line.replica)) continue;
    std::string by;
    for (const std::string& name : line.accusers) by += (by.empty() ? "" : ",") + name;
    Log(Level::kWarn, "tier-left-alone", {{"host", fleet_->NameOf(line.replica)}, {"by", by}});
  }
  for (const auto& [id, until] : left_alone_) {
    if (!alone.contains(id)) Log(Level::kInfo, "tier-released", {{"host", fleet_->NameOf(id)}});
  }
  left_alone_ = std::move(alone);
}

std::vector<std::string> Tier::TakeMessages(std::size_t room, std::size_t overhead) {
  std::vector<std::string> words = gossip_.Fill(Now(), room, overhead);
  traffic_.out += words.size();
  return words;
}

void Tier::OnMessages(const std::vector<std::string>& words) {
  const Time now = Now();
  for (const std::string& bytes : words) {
    ++traffic_.in;
    const char* why = "";
    std::optional<Telling> telling = Decode(bytes, &why);
    if (!telling) {
      ++traffic_.dropped[why];
      continue;
    }
    if (telling->node == node_ || !model_.Learn(now, *telling)) continue;  // known, old, or of no member
    ++traffic_.news;
    gossip_.Put(now, std::move(*telling), false);
  }
}

std::string Tier::StatusJson() const {
  const Time now = Now();
  using nlohmann::json;
  json j = {
      {"name", node_},
      {"state", model_.shares().state()},
      {"part", model_.part()},
      {"told", model_.told_part()},
      {"uses",
       {{"parts", model_.uses().parts},
        {"evidence", model_.uses().evidence},
        {"beginnings", model_.uses().beginnings}}},
      {"doubts_itself", model_.evidence().doubts()},
      {"beginnings_told", model_.beginnings().told()},
      {"words",
       {{"out", traffic_.out}, {"in", traffic_.in}, {"news", traffic_.news}, {"dropped", traffic_.dropped}}},
      {"nodes", json::array()},
      {"replicas", json::array()}};
  for (const ShareModel::Line& l : model_.shares().Explain(now))
    j["nodes"].push_back(
        {{"name", l.node}, {"rate", l.rate}, {"told", l.told}, {"stale", l.stale}, {"part", l.share}});
  for (const EvidenceModel::Line& l : model_.evidence().Explain())
    j["replicas"].push_back({{"host", fleet_->NameOf(l.replica)},
                             {"accusers", l.accusers},
                             {"answered", l.answered},
                             {"rests_ms", l.rests_until > now ? (l.rests_until - now) / 1000 : 0},
                             {"why", l.why}});
  return j.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace ryeglade::gossip
