// Estimates the runtime of a request from those of similar requests: from means by bucket (class, prompt
// length, lengths of answer and shared prefix), each bucket shrunk towards the next coarser one, and, for
// requests with a cost hint, from the runtime per unit of the hint. Only served requests are learned from.
// Times are microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "request.h"
#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

class RuntimeEstimator {
 public:
  // The settings must outlive this object.
  explicit RuntimeEstimator(const Settings& settings) : settings_(settings) {}

  // Sets the three estimates of the request's runtime.
  void Estimate(Request& request) const;
  // The mean runtime of the request's class, or the request's own estimate before any of it was served.
  double TypicalRuntime(const Request& request) const;
  // The expected time from sending the request to its first token; at most half of its latency objective.
  Time ExpectedTimeToFirstToken(const Request& request) const;
  // The mean of similar requests, or nullopt if too few were seen.
  std::optional<double> TypicalTimeToFirstToken(const Request& request) const;
  // The mean runtime of all served requests; 0: none yet.
  double mean_runtime() const { return mean_runtime_.mean; }

  void LearnTimeToFirstToken(const Request& request, double time_to_first_token);
  void LearnRuntime(const Request& request, double runtime);

  // Must be called after the settings' classes have changed.
  void ResizeTables();
  void ExportTo(LearnedState& state) const;
  void RestoreFrom(const LearnedState& state);

 private:
  const Settings& settings_;
  RunningAverage mean_runtime_;
  std::unordered_map<std::uint32_t, RunningAverage> runtime_by_bucket_;
  std::unordered_map<std::uint32_t, RunningAverage> first_token_by_bucket_;
  std::vector<RunningAverage> runtime_per_hint_;  // by class: runtime / cost hint
  std::vector<RunningAverage> bucket_error_;      // by class: squared ln(estimate from buckets / runtime)
  std::vector<RunningAverage> hint_error_;  // by class: squared ln(estimate from the cost hint / runtime)
};

}  // namespace ryeglade::policy
