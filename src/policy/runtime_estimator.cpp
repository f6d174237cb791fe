#include "runtime_estimator.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::policy {
namespace {

constexpr double kMaxSamples = 200;  // answers over which a bucket is averaged
constexpr double kParentWeight = 4;  // weight of the coarser bucket's mean, as a number of answers

// Each level subdivides the buckets of the level before.
enum BucketLevel : std::uint32_t { kAll, kByClass, kByPromptLength, kByAnswerAndPrefixLength, kLevelCount };

std::uint32_t LengthBucket(double tokens) {
  return tokens < 1 ? 0 : static_cast<std::uint32_t>(1 + std::min(30, static_cast<int>(std::log2(tokens))));
}

std::uint32_t BucketKey(const RequestArrived& request, std::uint32_t level) {
  std::uint32_t key = level;
  if (level >= kByClass) key |= static_cast<std::uint32_t>(request.class_index + 1) << 2;
  if (level >= kByPromptLength) key |= LengthBucket(request.prompt_tokens) << 12;
  if (level >= kByAnswerAndPrefixLength) {
    key |= LengthBucket(request.max_answer_tokens) << 17;
    key |= LengthBucket(request.prefix_tokens) << 22;
  }
  return key;
}

}  // namespace

void RuntimeEstimator::Estimate(Request& request) const {
  const std::size_t class_index = request.class_index();
  // The estimate before any request was served.
  double estimate = static_cast<double>(settings_.classes[class_index].latency_objective);
  for (std::uint32_t level = kAll; level < kLevelCount; ++level) {
    const auto bucket = runtime_by_bucket_.find(BucketKey(request.arrival, level));
    if (bucket == runtime_by_bucket_.end()) continue;
    estimate = bucket->second.Shrunk(estimate, level == kAll ? 0 : kParentWeight);
  }
  request.runtime_by_bucket = std::max(estimate, 1.0);
  request.runtime_by_hint = request.runtime_by_bucket;
  request.estimated_runtime = request.runtime_by_bucket;
  if (request.arrival.cost_hint <= 0 || runtime_per_hint_[class_index].samples <= kParentWeight) return;
  request.runtime_by_hint =
      std::max(1.0, runtime_per_hint_[class_index].mean * static_cast<double>(request.arrival.cost_hint));
  // The two estimates are weighted by how accurate they have been so far.
  const double hint_weight = (bucket_error_[class_index].mean + 1e-6) /
                             (bucket_error_[class_index].mean + hint_error_[class_index].mean + 2e-6);
  request.estimated_runtime = std::exp(hint_weight * std::log(request.runtime_by_hint) +
                                       (1 - hint_weight) * std::log(request.runtime_by_bucket));
}

double RuntimeEstimator::TypicalRuntime(const Request& request) const {
  const auto bucket = runtime_by_bucket_.find(BucketKey(request.arrival, kByClass));
  return bucket == runtime_by_bucket_.end() ? request.estimated_runtime : bucket->second.mean;
}

Time RuntimeEstimator::ExpectedTimeToFirstToken(const Request& request) const {
  const auto bucket = first_token_by_bucket_.find(BucketKey(request.arrival, kByPromptLength));
  const double mean = bucket == first_token_by_bucket_.end() ? 0 : bucket->second.mean;
  const double objective = static_cast<double>(request.objective_at - request.arrived_at);
  return static_cast<Time>(std::min(mean, 0.5 * objective));
}

std::optional<double> RuntimeEstimator::TypicalTimeToFirstToken(const Request& request) const {
  const auto bucket = first_token_by_bucket_.find(BucketKey(request.arrival, kByPromptLength));
  if (bucket == first_token_by_bucket_.end() || bucket->second.samples <= kParentWeight) return std::nullopt;
  return bucket->second.mean;
}

void RuntimeEstimator::LearnTimeToFirstToken(const Request& request, double time_to_first_token) {
  first_token_by_bucket_[BucketKey(request.arrival, kByPromptLength)].Add(time_to_first_token, kMaxSamples);
}

void RuntimeEstimator::LearnRuntime(const Request& request, double runtime) {
  for (std::uint32_t level = kAll; level < kLevelCount; ++level) {
    runtime_by_bucket_[BucketKey(request.arrival, level)].Add(runtime, kMaxSamples);
  }
  mean_runtime_.Add(runtime, kMaxSamples);
  const std::size_t class_index = request.class_index();
  bucket_error_[class_index].Add(std::pow(std::log(request.runtime_by_bucket / runtime), 2), kMaxSamples);
  if (request.arrival.cost_hint <= 0) return;
  runtime_per_hint_[class_index].Add(runtime / static_cast<double>(request.arrival.cost_hint), kMaxSamples);
  hint_error_[class_index].Add(std::pow(std::log(request.runtime_by_hint / runtime), 2), kMaxSamples);
}

void RuntimeEstimator::ResizeTables() {
  const std::size_t classes = settings_.classes.size();
  runtime_per_hint_.resize(classes);
  bucket_error_.resize(classes);
  hint_error_.resize(classes);
}

void RuntimeEstimator::ExportTo(LearnedState& state) const {
  state.mean_runtime = mean_runtime_;
  state.runtime_by_bucket = runtime_by_bucket_;
  state.first_token_by_bucket = first_token_by_bucket_;
  state.runtime_per_hint = runtime_per_hint_;
  state.bucket_error = bucket_error_;
  state.hint_error = hint_error_;
}

void RuntimeEstimator::RestoreFrom(const LearnedState& state) {
  mean_runtime_ = state.mean_runtime;
  runtime_by_bucket_ = state.runtime_by_bucket;
  first_token_by_bucket_ = state.first_token_by_bucket;
  runtime_per_hint_ = state.runtime_per_hint;
  bucket_error_ = state.bucket_error;
  hint_error_ = state.hint_error;
  ResizeTables();
}

}  // namespace ryeglade::policy
