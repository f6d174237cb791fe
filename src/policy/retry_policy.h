// Decides when a request may be sent again. A request that may have been executed is repeated only where that
// is harmless: its class is idempotent, or the replica recognises the repeat by its idempotency key. Times
// are microseconds.
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
  // The settings must outlive this object.
  explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

  // Whether another attempt may be sent now to at least some replicas.
  bool MaySend(const Request& request, Time now) const;
  // Whether another attempt may be sent now to this replica.
  bool MaySendTo(const Request& request, const Replica& replica, Time now) const;
  // The time within which the next attempt must be written, because replicas recognise it as a repeat only
  // for a limited time; 0: no bound.
  Time WriteWithin(const Request& request, Time now) const;
  // Whether a client may be told that sending the request again is harmless.
  bool MayReject(const Request& request) const;

 private:
  const ClassSettings& ClassOf(const Request& request) const {
    return settings_.classes[request.class_index()];
  }

  const Settings& settings_;
};

// A token bucket that limits retries after failures to a share of the requests.
class RetryBudget {
 public:
  void AddRequest() { retries_ = std::min(kMaxRetries, retries_ + kRetriesPerRequest); }
  bool HasRetry() const { return retries_ >= 1; }
  void SpendRetry() { retries_ -= 1; }

  void ExportTo(LearnedState& state) const { state.retry_budget = retries_; }
  void RestoreFrom(const LearnedState& state) { retries_ = state.retry_budget; }

 private:
  static constexpr double kRetriesPerRequest = 0.3;
  static constexpr double kMaxRetries = 10;  // the most retries that can accumulate

  double retries_ = kMaxRetries / 2;  // retries that may be sent now, if at least 1
};

}  // namespace ryeglade::policy
