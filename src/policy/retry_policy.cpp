#include "retry_policy.h"

#include <cstddef>

namespace ryeglade::policy {
namespace {

// A repeat must be decided at least this long before the deduplication window ends, because up to 0.15 s may
// pass between the node reading its clock and writing the request. The clocks of the replicas need no margin:
// a replica's window starts when the last byte of the first attempt arrives, which is never earlier.
constexpr Time kDedupWindowMargin = 160'000;

}  // namespace

bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kAtCapacity || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent;
}

bool RetryPolicy::MaySend(const Request& request, Time now) const {
  if (request.attempts.size() >= static_cast<std::size_t>(settings_.max_attempts)) return false;
  if (request.attempts_in_flight > 0 && !settings_.can_hedge) return false;
  const ClassSettings& settings = ClassOf(request);
  if (settings.idempotency == Idempotency::kIdempotent) return true;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run) continue;
    if (settings.idempotency == Idempotency::kNotIdempotent) return false;
    if (now - attempt.sent_at >= settings.dedup_window - kDedupWindowMargin) return false;
  }
  return true;
}

bool RetryPolicy::MaySendTo(const Request& request, const Replica& replica, Time now) const {
  if (!MaySend(request, now)) return false;
  const ClassSettings& settings = ClassOf(request);
  if (settings.idempotency != Idempotency::kIdempotencyKey) return true;
  if (settings.dedup_scope == DedupScope::kAll) return true;
  const bool by_zone = settings.dedup_scope == DedupScope::kZone;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run) continue;
    // An unknown zone or cell (below 0) may differ from any other.
    const int scope = by_zone ? attempt.zone : attempt.cell;
    const int next_scope = by_zone ? replica.endpoint.zone : replica.endpoint.cell;
    if (scope < 0 || scope != next_scope) return false;
  }
  return true;
}

Time RetryPolicy::WriteWithin(const Request& request, Time now) const {
  const ClassSettings& settings = ClassOf(request);
  if (settings.idempotency != Idempotency::kIdempotencyKey) return 0;
  Time within = 0;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run) continue;
    const Time left = std::max<Time>(1, attempt.sent_at + settings.dedup_window - kDedupWindowMargin - now);
    within = within == 0 ? left : std::min(within, left);
  }
  return within;
}

bool RetryPolicy::MayReject(const Request& request) const {
  const ClassSettings& settings = ClassOf(request);
  if (settings.idempotency == Idempotency::kIdempotent) return true;
  if (settings.idempotency == Idempotency::kIdempotencyKey && settings.dedup_scope == DedupScope::kAll) {
    return true;
  }
  return std::none_of(request.attempts.begin(), request.attempts.end(),
                      [](const Attempt& attempt) { return attempt.may_have_run; });
}

}  // namespace ryeglade::policy
