// What the nodes say of each other, as a rollout's driver takes it: who is not to be touched now, who counts
// as gone, and whether the view can be trusted at all. Read from nodes' status addresses (`GET /nodes`), of
// which any may be dead, cut off or wrong. No I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ryeglade::rollout {

inline constexpr std::size_t kMostStatusBytes = std::size_t{4} << 20;
inline constexpr std::size_t kMostMembersTold = 10'000;

// One node's answer.
struct TierSaid {
  std::string node;
  bool joined = false, in_doubt = true, settled = false;
  std::map<std::string, std::string> standings;  // of the others, by name: "alive", "suspect", "dead", ...
};
// Null: not the answer of a status address, or without bounds.
std::optional<TierSaid> ReadTierSaid(const std::string& body);

// All answers together. A member is taken for what more than half of the answers say that know it and are
// sure of their own views; a node's own answer is a word for it being there.
struct TierWord {
  std::size_t asked = 0, answers = 0, sure = 0;  // sure: joined and not in doubt
  std::set<std::string> suspect, dead;           // leaving and left ones count as dead
  std::set<std::string> known;                   // all that were named
  // More than half of those asked are sure: what absent nodes do is known.
  bool trusted() const { return 2 * sure > asked; }
};
TierWord PutTogether(std::size_t asked, const std::vector<TierSaid>& said);

}  // namespace ryeglade::rollout
