// Records of why a Router decided as it did, for logs, flight records and dashboards. They are not needed to
// carry out the actions, and observing them changes no decision. Times are microseconds.
#pragma once

#include <cstdint>

#include "ryeglade/events.h"
#include "ryeglade/time.h"

namespace ryeglade::policy {

// Why a request was rejected or failed.
enum class ConclusionReason : std::uint8_t {
  kNoTimeBudget,          // the request arrived with too little time left for an attempt
  kQueueTimeout,          // no replica had capacity before the latest useful dispatch
  kDeadlineExceeded,      // an attempt failed, and no time was left for another
  kAttemptsExhausted,     // the maximum number of attempts has failed
  kUnsafeToRetry,         // an attempt may have run, and the request must not be executed twice
  kRetryBudgetExhausted,  // too many attempts have failed: retries are limited to a share of the requests
  kStreamInterrupted,     // the stream had begun, so no other replica can answer the request
  kCount                  // number of reasons
};

// An attempt that is about to be sent, and the figures by which its replica was chosen.
struct DispatchRecord {
  RequestId id = 0;
  int attempt = 0;
  ReplicaId replica = 0;
  double estimated_runtime = 0;      // microseconds
  Time queued_for = 0;               // time since the request arrived
  int candidates = 0;                // replicas considered whose concurrency limit is above 0
  int candidates_with_capacity = 0;  // candidates to which the request could be sent now
  double score = 0;                  // of the chosen replica: spare share of its limit / cost of the request
  ReplicaId runner_up = 0;           // the replica with the second highest score
  double runner_up_score = 0;        // 0: there is no runner-up
  double concurrency_limit = 0;      // this node's limit for the chosen replica
  int in_flight = 0;                 // this node's attempts at the chosen replica, without this one
  double tokens_to_prefill = 0;      // prompt tokens that the chosen replica is expected to prefill
};

// The rejection or failure of a request.
struct ConclusionRecord {
  RequestId id = 0;
  ConclusionReason reason = ConclusionReason::kQueueTimeout;
  int attempts = 0;                    // number of attempts sent
  Time open_for = 0;                   // time since the request arrived
  std::uint32_t queue_length = 0;      // requests queued at this node
  double total_concurrency_limit = 0;  // sum of this node's limits
  int in_flight = 0;                   // this node's attempts, over all replicas
};

// A replica gets no new attempts until `ejected_until`, after failures or because it is at capacity.
struct EjectionRecord {
  ReplicaId replica = 0;
  Outcome outcome = Outcome::kServed;  // the outcome that caused the ejection
  int consecutive_failures = 0;        // "at capacity" is not counted as a failure
  Time ejected_until = 0;
};

// Receives the records in the order of the decisions, within Router::Handle. Must not call the Router.
class DecisionObserver {
 public:
  virtual ~DecisionObserver() = default;
  // If this returns false, OnDispatch is not called and its records are not computed.
  virtual bool wants_dispatches() const { return true; }
  virtual void OnDispatch(const DispatchRecord& record) = 0;
  virtual void OnConclusion(const ConclusionRecord& record) = 0;
  virtual void OnEjection(const EjectionRecord& record) = 0;
};

}  // namespace ryeglade::policy
