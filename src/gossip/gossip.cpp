#include "gossip/gossip.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/log.h"

namespace ryeglade::gossip {
namespace {

// Spans in microseconds.
constexpr Time kTimerInterval = 250'000;
constexpr Time kReportIntervalPerNode = 40'000;  // mean time between reports, over all nodes together

GossipFeatures FeaturesOf(const GossipSettings& settings) {
  return {settings.traffic_shares, settings.outlier_reports, settings.prefix_shares};
}

SharedStateLimits LimitsOf(const GossipSettings& settings) {
  SharedStateLimits limits;
  limits.traffic_share.report_interval_per_node = kReportIntervalPerNode;
  limits.outliers.required_reporters = settings.min_reporters;
  limits.outliers.max_ejected_share = settings.max_ejected_fraction;
  if (!settings.dead_in_flight) limits.outliers.orphan_lifetime = 0;
  return limits;
}

std::string JoinWithCommas(const std::vector<std::string>& names) {
  std::string all;
  for (const std::string& name : names) all += (all.empty() ? "" : ",") + name;
  return all;
}

}  // namespace

Gossip::Gossip(const Runtime* runtime, const GossipSettings& settings, const std::string& node,
               std::uint64_t incarnation, const ClusterViewPort* view, const ReplicaViewPort* fleet,
               EventPort* events)
    : runtime_(runtime),
      node_(node),
      view_(view),
      fleet_(fleet),
      events_(events),
      model_(node, incarnation, Now(), FeaturesOf(settings), LimitsOf(settings)) {}

void Gossip::Start() { OnTimer(); }

void Gossip::Close() { runtime_->deadlines->Cancel(timer_); }

void Gossip::OnDecision(Time now, const policy::Event& event, const std::vector<policy::Action>&) {
  if (const auto* arrived = std::get_if<policy::RequestArrived>(&event))
    model_.OnArrival(now, arrived->prefix);
}

void Gossip::OnTimer() {
  timer_ = runtime_->deadlines->Set(Now() + kTimerInterval, [this] { OnTimer(); });
  const Time now = Now();
  const ClusterView view = view_->View();
  UpdateMembers(now, view);
  if (model_.features().outlier_reports) {
    observed_fleet_.clear();
    fleet_->ListReplicas(&observed_fleet_);
    model_.ObserveReplicas(now, observed_fleet_, false);
  }
  if (std::optional<NodeReport> report = model_.NextReport(now))
    queue_.Enqueue(now, {node_, 0, std::move(*report)}, true);
  for (policy::Event& event : model_.Evaluate(now, view.announced_nodes)) events_->Post(std::move(event));
  LogShareState();
  LogEjections(now);
}

void Gossip::UpdateMembers(Time now, const ClusterView& view) {
  std::vector<OutlierConsensusModel::Peer> members;
  std::string zone;
  for (const ClusterMember& member : view.members) {
    if (member.name == node_) {
      zone = member.zone;
    } else {
      members.push_back({member.name, member.zone});
    }
  }
  const bool is_certain = view.joined && !view.partition_suspected && !members.empty();
  model_.SetMembers(now, members, zone, is_certain, view.stable);
}

void Gossip::LogShareState() {
  const char* state = model_.traffic_shares().state();
  if (logged_state_ == state) return;
  logged_state_ = state;
  Log(Level::kInfo, "traffic-share", {{"state", state}, {"part", fmt::format("{:.4f}", model_.share())}});
}

void Gossip::LogEjections(Time now) {
  std::map<policy::ReplicaId, Time> ejected;
  for (const OutlierConsensusModel::Finding& finding : model_.outliers().findings()) {
    if (finding.ejected_until <= now) continue;
    ejected[finding.replica] = finding.ejected_until;
    if (ejected_.contains(finding.replica)) continue;
    Log(Level::kWarn, "replica-ejected-by-peers",
        {{"host", fleet_->NameOf(finding.replica)}, {"by", JoinWithCommas(finding.reporters)}});
  }
  for (const auto& [id, until] : ejected_) {
    if (!ejected.contains(id)) Log(Level::kInfo, "replica-ejection-ended", {{"host", fleet_->NameOf(id)}});
  }
  ejected_ = std::move(ejected);
}

std::vector<std::string> Gossip::TakeMessages(std::size_t capacity, std::size_t overhead) {
  std::vector<std::string> messages = queue_.TakeMessages(Now(), capacity, overhead);
  traffic_.sent += messages.size();
  return messages;
}

void Gossip::OnMessages(const std::vector<std::string>& messages) {
  const Time now = Now();
  for (const std::string& bytes : messages) {
    ++traffic_.received;
    const char* why = "";
    std::optional<GossipMessage> message = Decode(bytes, &why);
    if (!message) {
      ++traffic_.dropped[why];
      continue;
    }
    if (message->node == node_ || !model_.OnMessage(now, *message))
      continue;  // already known, outdated, or not from a member
    ++traffic_.accepted;
    queue_.Enqueue(now, std::move(*message), false);
  }
}

// The JSON keys are part of the interface and differ from the names in the code: part = share, told =
// announced or reported, uses = features, evidence = outlier reports, beginnings = prefixes, doubts_itself =
// suspects_itself, words = messages (news: accepted), accusers = reporters, rests = ejected.
std::string Gossip::StatusJson() const {
  const Time now = Now();
  using nlohmann::json;
  json status = {{"name", node_},
                 {"state", model_.traffic_shares().state()},
                 {"part", model_.share()},
                 {"told", model_.announced_share()},
                 {"uses",
                  {{"parts", model_.features().traffic_shares},
                   {"evidence", model_.features().outlier_reports},
                   {"beginnings", model_.features().prefix_traffic}}},
                 {"doubts_itself", model_.outliers().suspects_itself()},
                 {"beginnings_told", model_.prefix_traffic().announced()},
                 {"words",
                  {{"out", traffic_.sent},
                   {"in", traffic_.received},
                   {"news", traffic_.accepted},
                   {"dropped", traffic_.dropped}}},
                 {"nodes", json::array()},
                 {"replicas", json::array()}};
  for (const TrafficShareModel::NodeShare& node : model_.traffic_shares().Explain(now)) {
    status["nodes"].push_back({{"name", node.node},
                               {"rate", node.rate},
                               {"told", node.reported},
                               {"stale", node.stale},
                               {"part", node.share}});
  }
  for (const OutlierConsensusModel::Finding& finding : model_.outliers().findings()) {
    const Time left = finding.ejected_until > now ? finding.ejected_until - now : 0;
    status["replicas"].push_back({{"host", fleet_->NameOf(finding.replica)},
                                  {"accusers", finding.reporters},
                                  {"answered", finding.answered_by},
                                  {"rests_ms", left / 1000},
                                  {"why", finding.reason}});
  }
  return status.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace ryeglade::gossip
