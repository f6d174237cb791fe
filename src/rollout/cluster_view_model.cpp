#include "rollout/cluster_view_model.h"

#include <exception>
#include <nlohmann/json.hpp>

namespace ryeglade::rollout {
namespace {

using nlohmann::json;

// Throws if the JSON is not the answer of a status address.
std::optional<NodeClusterView> NodeClusterViewFrom(const json& j) {
  NodeClusterView view;
  view.node = j.at("name").get<std::string>();
  if (view.node.empty()) return std::nullopt;
  // During a hot restart two processes answer for the node, and only the active one has a current view: the
  // new one has none yet, and the old one no longer receives messages.
  if (!j.contains("members") || j.value("phase", "") != "active") return view;
  view.joined = j.at("joined").get<bool>();
  view.in_doubt = j.at("in_doubt").get<bool>();
  view.settled = j.at("settled").get<bool>();
  const json& members = j.at("members");
  if (!members.is_array() || members.size() > kMaxMembers) return std::nullopt;
  for (const json& member : members)
    view.member_states[member.at("name").get<std::string>()] = member.at("standing").get<std::string>();
  return view;
}

struct Votes {
  std::size_t alive = 0, suspect = 0, dead = 0;
};

void CountVote(const std::string& state, Votes& votes) {
  if (state == "suspect") {
    ++votes.suspect;
  } else if (state == "dead" || state == "left" || state == "leaving") {
    ++votes.dead;
  } else if (state == "alive") {
    ++votes.alive;
  }
}

}  // namespace

std::optional<NodeClusterView> DecodeNodeClusterView(const std::string& body) {
  if (body.size() > kMaxStatusBytes) return std::nullopt;
  try {
    return NodeClusterViewFrom(json::parse(body));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

ClusterView MergeClusterViews(std::size_t polled, const std::vector<NodeClusterView>& views) {
  ClusterView merged;
  merged.polled = polled;
  std::map<std::string, Votes> votes;
  std::set<std::string> counted;
  for (const NodeClusterView& view : views) {
    if (!counted.insert(view.node).second) continue;  // a node that answers at two addresses votes once
    ++merged.answers;
    merged.known.insert(view.node);
    ++votes[view.node].alive;
    if (!view.joined || view.in_doubt) continue;
    ++merged.confident;
    for (const auto& [name, state] : view.member_states) {
      merged.known.insert(name);
      CountVote(state, votes[name]);
    }
  }
  for (const auto& [name, v] : votes) {
    const std::size_t all = v.alive + v.suspect + v.dead;
    if (2 * v.dead > all) {
      merged.dead.insert(name);
    } else if (2 * (v.suspect + v.dead) > all) {
      merged.suspect.insert(name);
    }
  }
  return merged;
}

}  // namespace ryeglade::rollout
