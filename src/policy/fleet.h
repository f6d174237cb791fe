// The replicas that this node knows of, and how many attempts are in flight at them. Takes endpoint lists;
// a replica that is listed no more stays until the last attempt there has ended. Owns the replicas: pointers
// stay valid until Apply or RemoveIfUnlisted takes the replica out.
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
  // Takes a list of any scope but kFailed.
  void Apply(const EndpointList& list, Time now, RandomSource& random);

  // Null: not known.
  const Replica* Find(ReplicaId id) const;
  Replica* Find(ReplicaId id) { return const_cast<Replica*>(std::as_const(*this).Find(id)); }

  // By id.
  const std::vector<std::unique_ptr<Replica>>& replicas() const { return replicas_; }
  std::size_t size() const { return replicas_.size(); }

  // Whether it is so large that a dispatch looks at a sample of it and limits are updated by time: looking at
  // every replica for every request would cost more the more there are.
  bool UsesSampling() const { return replicas_.size() > kMaxFullScan; }

  void AttemptSent(Replica& replica);
  // Null: a replica that is known no more.
  void AttemptEnded(Replica* replica);
  void RemoveIfUnlisted(const Replica& replica);

  // Replaces what is known of another process of this node.
  void SetSiblingInFlight(const std::vector<std::pair<ReplicaId, int>>& in_flight);

  int own_in_flight() const { return own_in_flight_; }
  // With those of another process of this node.
  int in_flight() const { return own_in_flight_ + sibling_in_flight_; }

 private:
  static constexpr std::size_t kMaxFullScan = 64;

  Replica& FindOrAdd(ReplicaId id, Time now, RandomSource& random);
  void ResetAfterRestart(Replica& replica, Time now, RandomSource& random);

  std::vector<std::unique_ptr<Replica>> replicas_;  // by id
  int own_in_flight_ = 0;
  int sibling_in_flight_ = 0;
};

}  // namespace ryeglade::policy
