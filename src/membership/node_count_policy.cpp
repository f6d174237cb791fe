#include "membership/node_count_policy.h"

namespace ryeglade::membership {

std::optional<std::size_t> NodeCountPolicy::Update(Time now, const NodeCountFacts& facts) {
  if (facts.live == announced_) return std::nullopt;
  const bool may_shrink =
      facts.joined && facts.stable && !facts.partition_suspected && now - facts.stable_since >= shrink_after_;
  if (facts.live < announced_ && !may_shrink) return std::nullopt;
  announced_ = facts.live;
  return announced_;
}

}  // namespace ryeglade::membership
