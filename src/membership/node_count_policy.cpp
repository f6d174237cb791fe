#include "membership/node_count_policy.h"

namespace ryeglade::membership {

std::optional<std::size_t> TierPolicy::Look(Time now, const TierFacts& f) {
  if (f.live == told_) return std::nullopt;
  const bool fewer_is_sure = f.joined && f.settled && !f.in_doubt && now - f.settled_since >= shrink_after_;
  if (f.live < told_ && !fewer_is_sure) return std::nullopt;
  told_ = f.live;
  return told_;
}

}  // namespace ryeglade::membership
