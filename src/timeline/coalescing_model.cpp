#include "timeline/coalescing_model.h"

#include <algorithm>
#include <utility>

namespace ryeglade::timeline {
namespace {

constexpr double kResumeShare = 0.25;  // share of a second's budget at which recording resumes
constexpr std::size_t kOutcomes = static_cast<std::size_t>(policy::Outcome::kNotSent) + 1;

}  // namespace

bool RecordBudget::MayKeep(Time now) {
  if (at_ != 0 && now > at_)
    available_ =
        std::min(bytes_per_second_, available_ + bytes_per_second_ * static_cast<double>(now - at_) / 1e6);
  at_ = std::max(at_, now);
  if (available_ <= 0) exhausted_ = true;
  if (exhausted_ && available_ >= kResumeShare * bytes_per_second_) exhausted_ = false;
  return !exhausted_;
}

CoalescedReplica* Coalescer::FindOrAdd(policy::ReplicaId id) {
  auto& all = counted_.replicas;
  const auto it =
      std::lower_bound(all.begin(), all.end(), id, [](const auto& r, auto v) { return r.id < v; });
  if (it != all.end() && it->id == id) return &*it;
  if (all.size() >= kMaxReplicas) {
    ++counted_.other_attempts;
    return nullptr;
  }
  return &*all.insert(it, {.id = id});
}

void Coalescer::Count(Time now, const policy::Event& event, const std::vector<policy::Action>& actions) {
  if (counted_.decisions++ == 0) counted_.first = now;
  counted_.last = std::max(counted_.last, now);
  if (counted_.outcomes.empty()) counted_.outcomes.resize(kOutcomes);
  if (std::holds_alternative<policy::RequestArrived>(event)) ++counted_.arrived;
  if (std::holds_alternative<policy::EndpointList>(event)) ++counted_.endpoint_lists;
  if (const auto* ended = std::get_if<policy::AttemptEnded>(&event)) {
    ++counted_.outcomes[std::min(static_cast<std::size_t>(ended->outcome), kOutcomes - 1)];
    if (CoalescedReplica* r = FindOrAdd(ended->replica)) {
      ++(ended->outcome == policy::Outcome::kServed ? r->served : r->failed);
    }
  }
  for (const policy::Action& a : actions) {
    if (std::holds_alternative<policy::RejectRequest>(a)) ++counted_.rejected;
    if (std::holds_alternative<policy::FailRequest>(a)) ++counted_.failed;
    if (const auto* send = std::get_if<policy::SendAttempt>(&a)) {
      ++counted_.sent;
      if (CoalescedReplica* r = FindOrAdd(send->replica)) ++r->sent;
    }
  }
}

std::optional<CoalescedDecisions> Coalescer::TakeCounted() {
  if (counted_.decisions == 0) return std::nullopt;
  return std::exchange(counted_, {});
}

}  // namespace ryeglade::timeline
