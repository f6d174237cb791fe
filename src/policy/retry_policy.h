// When a request may be sent again. An attempt that may have run is repeated only where that does no harm:
// the class is idempotent, or the replica recognises the repeat by its idempotency key. Microseconds.
#pragma once

#include <algorithm>

#include "replica.h"
#include "request.h"
#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

// Whether an outcome proves that the request was not executed.
bool ProvesNotRun(Outcome outcome);

class RetryPolicy {
 public:
  // The settings must outlive it.
  explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

  // Whether another attempt may be sent now, if the replica is right.
  bool MaySend(const Request& request, Time now) const;
  // Whether it may be sent to this replica.
  bool MaySendTo(const Request& request, const Replica& replica, Time now) const;
  // Within how long the next attempt must be written, as repeats are recognised only so long; 0: no bound.
  Time WriteWithin(const Request& request, Time now) const;
  // Whether a client may be told that sending the request again is harmless.
  bool MayReject(const Request& request) const;

 private:
  const ClassSettings& ClassOf(const Request& request) const {
    return settings_.classes[request.class_index()];
  }

  const Settings& settings_;
};

// Bounds retries after failures to a share of the requests.
class RetryBudget {
 public:
  void AddRequest() { retries_ = std::min(kMaxRetries, retries_ + kRetriesPerRequest); }
  bool HasRetry() const { return retries_ >= 1; }
  void SpendRetry() { retries_ -= 1; }

  void ExportTo(LearnedState& state) const { state.retry_budget = retries_; }
  void RestoreFrom(const LearnedState& state) { retries_ = state.retry_budget; }

 private:
  static constexpr double kRetriesPerRequest = 0.3;
  static constexpr double kMaxRetries = 10;  // that can be saved up

  double retries_ = kMaxRetries / 2;
};

}  // namespace ryeglade::policy
