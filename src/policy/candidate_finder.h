// Finds the candidate replicas for a dispatch, and which of them are preferred for the request's shared
// prefix and session. Candidates are all replicas with a limit above 0 or, in a large fleet, some of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "fleet.h"
#include "hash_ring.h"
#include "load_reports.h"
#include "prefix_affinity.h"
#include "random_source.h"
#include "replica_limits.h"
#include "replica_speed.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

// A replica to which the request may be sent, with what ReplicaSelector needs to choose among them.
struct Candidate {
  Replica* replica = nullptr;
  bool prefix_preferred = false;   // a preferred replica of the request's shared prefix
  bool session_preferred = false;  // a preferred replica of the request's session
  // Rendezvous scores, higher is more preferred. Not used in a sampled fleet.
  double prefix_rank = 0;
  double session_rank = 0;
  std::uint64_t session_hash = 0;  // used in a sampled fleet only; higher is more preferred
  std::optional<double> score;     // set by ReplicaSelector; nullopt if the request can't be sent there now
};

// Whether sending a request to another zone is penalized.
inline bool AvoidsOtherZones(const Settings& settings) {
  return settings.cross_zone_penalty > 0 && settings.zone_count > 1;
}

class CandidateFinder {
 public:
  // All members must outlive the CandidateFinder.
  struct Inputs {
    const Settings& settings;
    const Fleet& fleet;
    const ReplicaLimits& limits;
    const ReplicaSpeed& speed;
    // In a fleet that is not sampled, Find sets the mean of the reports to that of the candidates.
    LoadReports& load_reports;
    RandomSource& random;
  };
  explicit CandidateFinder(const Inputs& inputs) : inputs_(inputs) {}

  // Must be called after the replicas of the fleet have changed.
  void InvalidateRing() { ring_.Invalidate(); }

  // Replaces the contents of `candidates`. `prefix_share` and `session_share` are the shares of the traffic
  // that the request's prefix and session have, 0 if it has none.
  void Find(const RequestArrived& request, double prefix_share, double session_share, Time now,
            std::vector<Candidate>& candidates);

 private:
  // A search of the ring for the preferred replicas of one key.
  struct RingSearch {
    std::uint64_t key;
    double traffic_share;  // of the key, 0 to 1
    bool is_session;       // whether `key` is that of a session; false: of a shared prefix
  };

  void AddAll(const RequestArrived& request, Time now, std::vector<Candidate>& candidates);
  void MarkPreferred(const RequestArrived& request, double prefix_share, double session_share,
                     std::vector<Candidate>& candidates) const;
  void AddFromRing(const RequestArrived& request, const RingSearch& search,
                   std::vector<Candidate>& candidates);
  void MarkSessionAmongPrefix(const RequestArrived& request, double session_share,
                              std::vector<Candidate>& candidates) const;
  void AddRandom(std::vector<Candidate>& candidates);
  // Returns true if the replica has a limit above 0 and is not yet a candidate of the current search, and
  // marks it as one.
  bool ClaimForSearch(Replica& replica) const;

  Inputs inputs_;
  HashRing ring_;
  std::uint64_t search_ = 0;  // number of the current search of a sampled fleet
};

}  // namespace ryeglade::policy
