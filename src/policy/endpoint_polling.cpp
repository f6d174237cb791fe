#include "endpoint_polling.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ryeglade::policy {
namespace {

constexpr Time kMaxFirstDelay = 1'000'000;  // upper bound of the time span before the first request
constexpr double kBaseBackoff = 100'000;    // doubled by each consecutive failure
constexpr double kMaxBackoff = 2'000'000;
constexpr int kMaxDoublings = 5;

}  // namespace

// All nodes may start at the same time, and simultaneous calls would overload discovery, so each node waits
// for a random part of a time span. The span is short because the list known at the start may be out of date,
// and the node is soon expected to act on its changes.
std::optional<Time> EndpointPolling::FirstDelay(RandomSource& random) const {
  if (!settings_.poll_endpoints) return std::nullopt;
  const Time span = settings_.max_poll_interval > 0
                        ? std::min(kMaxFirstDelay, settings_.max_poll_interval * 4 / 10)
                        : kMaxFirstDelay;
  return static_cast<Time>(random.Next() * static_cast<double>(span));
}

std::optional<Time> EndpointPolling::OnFailure(RandomSource& random) {
  watching_ = false;
  ++consecutive_failures_;
  if (!settings_.poll_endpoints) return std::nullopt;
  const double backoff =
      std::min(kBaseBackoff * std::exp2(std::min(consecutive_failures_, kMaxDoublings)), kMaxBackoff);
  return static_cast<Time>(backoff * (0.5 + random.Next()));
}

void EndpointPolling::OnList(EndpointListScope scope) {
  if (scope != EndpointListScope::kCached) consecutive_failures_ = 0;
}

bool EndpointPolling::OpenWatch() { return !std::exchange(watching_, true); }

}  // namespace ryeglade::policy
