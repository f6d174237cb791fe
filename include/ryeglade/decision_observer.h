// Why a Router decided as it did, for logs, flight records and dashboards. Nothing of it is needed to carry
// actions out, and what is observed changes no decision. Times are microseconds.
#pragma once

#include <cstdint>

#include "ryeglade/events.h"
#include "ryeglade/time.h"

namespace ryeglade::policy {

// Why a request was rejected or failed.
enum class ConclusionReason : std::uint8_t {
  kNoTimeBudget,          // it came with no time left
  kQueueTimeout,          // no replica had capacity for it before its latest useful dispatch
  kDeadlineExceeded,      // an attempt failed, and there was no time for another
  kAttemptsExhausted,     // as many attempts as are allowed have failed
  kUnsafeToRetry,         // an attempt may have run, and running it again is not harmless
  kRetryBudgetExhausted,  // too many attempts fail: further ones are a bounded share of requests
  kStreamInterrupted,     // its stream had begun, so it can't be answered from elsewhere
  kCount
};

// An attempt that is about to be sent, and what the choice of its replica rested on.
struct DispatchRecord {
  RequestId id = 0;
  int attempt = 0;
  ReplicaId replica = 0;
  double estimated_runtime = 0;      // microseconds
  Time queued_for = 0;               // since the request arrived
  int candidates = 0;                // replicas with a limit above 0
  int candidates_with_capacity = 0;  // of them
  double score = 0;                  // the chosen one's: free share of its limit, over tokens to prefill
  ReplicaId runner_up = 0;
  double runner_up_score = 0;    // 0: there is none
  double concurrency_limit = 0;  // this node's, of the chosen one
  int in_flight = 0;             // this node's there, before this one
  double tokens_to_prefill = 0;  // tokens of the prompt that it is taken to have to read
};

// A rejection or a failure.
struct ConclusionRecord {
  RequestId id = 0;
  ConclusionReason reason = ConclusionReason::kQueueTimeout;
  int attempts = 0;
  Time open_for = 0;               // since the request arrived
  std::uint32_t queue_length = 0;  // requests queued at this node
  double total_concurrency_limit = 0;
  int in_flight = 0;  // this node's, everywhere
};

// A replica gets nothing new until then.
struct EjectionRecord {
  ReplicaId replica = 0;
  Outcome outcome = Outcome::kServed;  // that led to it
  int consecutive_failures = 0;
  Time ejected_until = 0;
};

// Must not call back. Records come before the Router returns, in the order of the decisions.
class DecisionObserver {
 public:
  virtual ~DecisionObserver() = default;
  // False: OnDispatch is not called, and what its records cost is not spent.
  virtual bool wants_dispatches() const { return true; }
  virtual void OnDispatch(const DispatchRecord& record) = 0;
  virtual void OnConclusion(const ConclusionRecord& record) = 0;
  virtual void OnEjection(const EjectionRecord& record) = 0;
};

}  // namespace ryeglade::policy
