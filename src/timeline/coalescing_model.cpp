#include "timeline/coalescing_model.h"

#include <algorithm>
#include <utility>

namespace ryeglade::timeline {
namespace {

constexpr double kReopen = 0.25;  // of a second's worth
constexpr std::size_t kOutcomes = static_cast<std::size_t>(policy::Outcome::kNotSent) + 1;

}  // namespace

bool Budget::Open(Time now) {
  if (at_ != 0 && now > at_) left_ = std::min(rate_, left_ + rate_ * static_cast<double>(now - at_) / 1e6);
  at_ = std::max(at_, now);
  if (left_ <= 0) shut_ = true;
  if (shut_ && left_ >= kReopen * rate_) shut_ = false;
  return !shut_;
}

BurstReplica* Coalescer::At(policy::ReplicaId id) {
  auto& all = burst_.replicas;
  const auto it =
      std::lower_bound(all.begin(), all.end(), id, [](const auto& r, auto v) { return r.id < v; });
  if (it != all.end() && it->id == id) return &*it;
  if (all.size() >= kMostReplicas) {
    ++burst_.elsewhere;
    return nullptr;
  }
  return &*all.insert(it, {.id = id});
}

void Coalescer::Count(Time now, const policy::Event& event, const std::vector<policy::Action>& actions) {
  if (burst_.decisions++ == 0) burst_.first = now;
  burst_.last = std::max(burst_.last, now);
  if (burst_.outcomes.empty()) burst_.outcomes.resize(kOutcomes);
  if (std::holds_alternative<policy::RequestArrived>(event)) ++burst_.arrived;
  if (std::holds_alternative<policy::EndpointList>(event)) ++burst_.lists;
  if (const auto* ended = std::get_if<policy::AttemptEnded>(&event)) {
    ++burst_.outcomes[std::min(static_cast<std::size_t>(ended->outcome), kOutcomes - 1)];
    if (BurstReplica* r = At(ended->replica)) {
      ++(ended->outcome == policy::Outcome::kServed ? r->served : r->failed);
    }
  }
  for (const policy::Action& a : actions) {
    if (std::holds_alternative<policy::RejectRequest>(a)) ++burst_.refused;
    if (std::holds_alternative<policy::FailRequest>(a)) ++burst_.failed;
    if (const auto* send = std::get_if<policy::SendAttempt>(&a)) {
      ++burst_.sent;
      if (BurstReplica* r = At(send->replica)) ++r->sent;
    }
  }
}

std::optional<Burst> Coalescer::Cut() {
  if (burst_.decisions == 0) return std::nullopt;
  return std::exchange(burst_, {});
}

}  // namespace ryeglade::timeline
