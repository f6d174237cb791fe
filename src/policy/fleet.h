// The replicas that this node knows and the number of attempts in flight at them. The replicas come from
// endpoint lists. A replica that is no longer listed stays until the last attempt there has ended. Fleet owns
// the replicas: pointers to them stay valid until Apply or RemoveIfUnlisted removes the replica.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

#include "random_source.h"
#include "replica.h"

namespace ryeglade::policy {

class Fleet {
 public:
  // Applies an endpoint list of any scope except kFailed.
  void Apply(const EndpointList& list, Time now, RandomSource& random);

  // Returns null if the replica is not known.
  const Replica* Find(ReplicaId id) const;
  Replica* Find(ReplicaId id) { return const_cast<Replica*>(std::as_const(*this).Find(id)); }

  // Sorted by id.
  const std::vector<std::unique_ptr<Replica>>& replicas() const { return replicas_; }
  std::size_t size() const { return replicas_.size(); }

  // Whether the fleet is so large that a dispatch considers only a sample of it and limits are updated at
  // intervals, because the cost of considering every replica for every request grows with their number.
  bool UsesSampling() const { return replicas_.size() > kMaxFullScan; }

  void AttemptSent(Replica& replica);
  // `replica` is null if the replica is no longer known.
  void AttemptEnded(Replica* replica);
  // Removes the replica if it is no longer listed and has no attempt in flight.
  void RemoveIfUnlisted(const Replica& replica);

  // Replaces the numbers of attempts that another process of this node has in flight; see
  // SiblingInFlightChanged.
  void SetSiblingInFlight(const std::vector<std::pair<ReplicaId, int>>& in_flight);

  // Attempts in flight at all replicas: those of this process, and those of both processes of this node
  // during a hot restart.
  int own_in_flight() const { return own_in_flight_; }
  int in_flight() const { return own_in_flight_ + sibling_in_flight_; }

 private:
  static constexpr std::size_t kMaxFullScan = 64;  // replicas

  Replica& FindOrAdd(ReplicaId id, Time now, RandomSource& random);
  void ResetAfterRestart(Replica& replica, Time now, RandomSource& random);

  std::vector<std::unique_ptr<Replica>> replicas_;  // sorted by id
  int own_in_flight_ = 0;
  int sibling_in_flight_ = 0;
};

}  // namespace ryeglade::policy
