#include "lab/emulator/gossip_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gossip/gossip_queue_model.h"
#include "gossip/shared_state_model.h"
#include "lab/emulator/random.h"

namespace ryeglade::emulator {
namespace {

using policy::Time;

constexpr Time kTick = 100'000, kEvaluateInterval = 250'000, kBegin = 1'000'000'000,
               kFailsAt = kBegin + 10'000'000;
constexpr std::size_t kDatagramBytes = 1400, kReportOverheadBytes = 5, kFanout = 2;

double CpuNow() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

struct SimulatedNode {
  std::unique_ptr<gossip::SharedStateModel> shared_state;
  gossip::GossipQueue gossip;
  std::vector<Time> report_created_at;  // by node: when its newest report here was created; 0: none
  std::vector<policy::ReplicaView> fleet;
  // By failing replica: when this node first ejected it, or first probed it on behalf of all nodes; 0: never.
  std::vector<Time> ejected_at;
};

// Returns -1 if there are no values. Reorders them.
double QuantileOf(std::vector<double>& all, double q) {
  if (all.empty()) return -1;
  const auto n = static_cast<std::size_t>(q * static_cast<double>(all.size() - 1));
  std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n), all.end());
  return all[n];
}

}  // namespace

GossipSimulationResult RunGossipSimulation(const GossipSimulationSpec& spec) {
  RandomStream random(spec.seed, RandomPurpose::kNetwork, 11);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < spec.nodes; ++i) names.push_back(fmt::format("node-{:03}", i));
  std::vector<gossip::OutlierConsensusModel::Peer> members;
  for (std::size_t i = 0; i < spec.nodes; ++i) members.push_back({names[i], fmt::format("z{}", i % 3)});
  gossip::SharedStateLimits limits;
  limits.traffic_share.report_interval_per_node = 40'000;  // as in the program
  std::vector<SimulatedNode> nodes(spec.nodes);
  for (std::size_t i = 0; i < spec.nodes; ++i) {
    SimulatedNode& n = nodes[i];
    n.shared_state =
        std::make_unique<gossip::SharedStateModel>(names[i], 1, kBegin, gossip::GossipFeatures{}, limits);
    n.report_created_at.assign(spec.nodes, 0);
    n.ejected_at.assign(spec.failing, 0);
    n.fleet.resize(spec.replicas);
    for (std::size_t r = 0; r < spec.replicas; ++r) {
      n.fleet[r].endpoint.id = static_cast<policy::ReplicaId>(r + 1);
      n.fleet[r].endpoint.started_at = kBegin;
    }
  }
  GossipSimulationResult result;
  std::vector<double> ages;
  double unknown = 0, pairs = 0, bytes = 0, messages = 0, cpu = 0;
  const Time end = kBegin + static_cast<Time>(spec.seconds * 1e6);
  for (Time now = kBegin; now < end; now += kTick) {
    for (std::size_t i = 0; i < spec.nodes; ++i) {
      SimulatedNode& n = nodes[i];
      const double before = CpuNow();
      // A request arrives, and the node observes the replica that serves it.
      if (random.Chance(spec.rate * 0.1)) {
        n.shared_state->OnArrival(now, 1 + random.Zipf(40, 1.0));
        policy::ReplicaView& v = n.fleet[random.Below(spec.replicas)];
        const bool fails = now >= kFailsAt && v.endpoint.id <= spec.failing;
        v.slowness_updated_at = now;
        v.slowness_samples = std::min(20.0, v.slowness_samples + 1);
        v.slowness = 0.8 * v.slowness + 0.2 * (fails ? 1.1 : random.Unit() - 0.5);
        v.consecutive_failures = fails ? v.consecutive_failures + 1 : 0;
        if (v.consecutive_failures > 1) v.ejected_until = now + 4'000'000;
      }
      if ((now - kBegin) % kEvaluateInterval < kTick) {
        n.shared_state->SetMembers(now, members, members[i].zone, true, true);
        n.shared_state->ObserveReplicas(now, n.fleet, false);
        if (std::optional<gossip::NodeReport> report = n.shared_state->NextReport(now))
          n.gossip.Enqueue(now, {names[i], 0, std::move(*report)}, true);
        n.shared_state->Evaluate(now, spec.nodes);
        for (const gossip::OutlierConsensusModel::Finding& finding : n.shared_state->outliers().findings()) {
          if (finding.replica <= spec.failing && n.ejected_at[finding.replica - 1] == 0 &&
              (finding.ejected_until > now || std::string_view(finding.reason) == "tries"))
            n.ejected_at[finding.replica - 1] = now;
        }
      }
      for (std::size_t k = 0; k < kFanout && n.gossip.has_pending(); ++k) {
        const std::size_t to = random.Below(spec.nodes);
        if (to == i) continue;
        const std::vector<std::string> reports =
            n.gossip.TakeMessages(now, kDatagramBytes - spec.header_bytes, kReportOverheadBytes);
        if (reports.empty()) break;
        ++messages;
        bytes += static_cast<double>(spec.header_bytes);
        for (const std::string& encoded : reports)
          bytes += static_cast<double>(encoded.size() + kReportOverheadBytes);
        if (random.Chance(spec.loss) || (to < spec.one_way && i % 2 == 0)) continue;
        for (const std::string& encoded : reports) {
          const char* error = "";
          std::optional<gossip::GossipMessage> message = gossip::Decode(encoded, &error);
          if (!message || !nodes[to].shared_state->OnMessage(now, *message)) continue;
          nodes[to].report_created_at[static_cast<std::size_t>(std::stoi(message->node.substr(5)))] =
              now - message->age;
          nodes[to].gossip.Enqueue(now, std::move(*message), false);
        }
      }
      cpu += CpuNow() - before;
    }
    if (now < kBegin + (end - kBegin) / 2 || (now - kBegin) % 1'000'000 != 0) continue;
    for (std::size_t i = 0; i < spec.nodes; ++i) {
      for (std::size_t m = 0; m < spec.nodes; ++m) {
        if (m == i) continue;
        ++pairs;
        if (nodes[i].report_created_at[m] == 0) {
          ++unknown;
        } else {
          ages.push_back(static_cast<double>(now - nodes[i].report_created_at[m]) / 1e6);
        }
      }
    }
  }
  result.age_p50 = QuantileOf(ages, 0.5);
  result.age_p99 = QuantileOf(ages, 0.99);
  result.unknown_share = pairs > 0 ? unknown / pairs : 0;
  std::vector<double> ejection_times;
  for (const SimulatedNode& n : nodes) {
    for (const Time t : n.ejected_at)
      ejection_times.push_back(static_cast<double>((t > 0 ? t : end) - kFailsAt) / 1e6);
  }
  result.ejection_p50 = QuantileOf(ejection_times, 0.5);
  result.ejection_last = QuantileOf(ejection_times, 1);
  const double node_seconds = static_cast<double>(spec.nodes) * spec.seconds;
  result.bytes = bytes / node_seconds;
  result.messages = messages / node_seconds;
  result.cpu_share = cpu / node_seconds;
  return result;
}

}  // namespace ryeglade::emulator
