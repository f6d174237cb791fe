#include "rollout/cluster_view_model.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>

namespace ryeglade::rollout {

std::optional<TierSaid> ReadTierSaid(const std::string& body) {
  if (body.size() > kMostStatusBytes) return std::nullopt;
  try {
    const nlohmann::json j = nlohmann::json::parse(body);
    TierSaid said;
    said.node = j.at("name").get<std::string>();
    if (said.node.empty()) return std::nullopt;
    // One that waits for the process before it has no view yet.
    // Of two processes at one address the one that yielded answers too: it no longer hears anybody.
    if (!j.contains("members") || j.value("phase", "") != "active") return said;
    said.joined = j.at("joined").get<bool>();
    said.in_doubt = j.at("in_doubt").get<bool>();
    said.settled = j.at("settled").get<bool>();
    const nlohmann::json& members = j.at("members");
    if (!members.is_array() || members.size() > kMostMembersTold) return std::nullopt;
    for (const nlohmann::json& m : members)
      said.standings[m.at("name").get<std::string>()] = m.at("standing").get<std::string>();
    return said;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

TierWord PutTogether(std::size_t asked, const std::vector<TierSaid>& said) {
  TierWord word;
  word.asked = asked;
  struct Votes {
    std::size_t here = 0, suspect = 0, dead = 0;
  };
  std::map<std::string, Votes> votes;
  std::set<std::string> heard;
  for (const TierSaid& s : said) {
    if (!heard.insert(s.node).second) continue;  // one node at two addresses speaks once
    ++word.answers;
    word.known.insert(s.node);
    ++votes[s.node].here;
    if (!s.joined || s.in_doubt) continue;
    ++word.sure;
    for (const auto& [name, standing] : s.standings) {
      word.known.insert(name);
      Votes& v = votes[name];
      if (standing == "suspect") {
        ++v.suspect;
      } else if (standing == "dead" || standing == "left" || standing == "leaving") {
        ++v.dead;
      } else if (standing == "alive") {
        ++v.here;
      }
    }
  }
  for (const auto& [name, v] : votes) {
    const std::size_t all = v.here + v.suspect + v.dead;
    if (2 * v.dead > all) {
      word.dead.insert(name);
    } else if (2 * (v.suspect + v.dead) > all) {
      word.suspect.insert(name);
    }
  }
  return word;
}

}  // namespace ryeglade::rollout
