// What a request is going to take, estimated from what similar ones took: means by bucket (class, prompt
// length, lengths of answer and shared prefix), each bucket shrunk towards the next coarser one, and, where
// requests carry a cost hint, the runtime by unit of hint. Only served requests teach. Microseconds.
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
  // The settings must outlive it.
  explicit RuntimeEstimator(const Settings& settings) : settings_(settings) {}

  // Sets the request's estimates.
  void Estimate(Request& request) const;
  // The mean runtime of the request's class; before any was served, the request's own estimate.
  double TypicalRuntime(const Request& request) const;
  // How long a first token is likely to take once the request is sent; at most half of its objective.
  Time ExpectedTimeToFirstToken(const Request& request) const;
  // The mean of requests like this one, once enough of them were seen.
  std::optional<double> TypicalTimeToFirstToken(const Request& request) const;
  // The mean of all served requests; 0: none yet.
  double mean_runtime() const { return mean_runtime_.mean; }

  void LearnTimeToFirstToken(const Request& request, double time_to_first_token);
  void LearnRuntime(const Request& request, double runtime);

  // After a change of the settings' classes.
  void ResizeTables();
  void ExportTo(LearnedState& state) const;
  void RestoreFrom(const LearnedState& state);

 private:
  const Settings& settings_;
  RunningAverage mean_runtime_;
  std::unordered_map<std::uint32_t, RunningAverage> runtime_by_bucket_;
  std::unordered_map<std::uint32_t, RunningAverage> first_token_by_bucket_;
  std::vector<RunningAverage> runtime_per_hint_;  // by class: runtime over cost hint
  std::vector<RunningAverage> bucket_error_;      // by class: squared ln of estimate over runtime
  std::vector<RunningAverage> hint_error_;
};

}  // namespace ryeglade::policy
