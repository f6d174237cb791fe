// The replicas that are looked at for a dispatch, and which of them are preferred for the request's shared
// prefix and session: all replicas with a limit, or of a large fleet a sample of them.
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

struct Candidate {
  Replica* replica = nullptr;
  bool prefix_preferred = false;
  bool session_preferred = false;
  double prefix_rank = 0;  // rendezvous scores, the higher the more preferred
  double session_rank = 0;
  std::uint64_t session_hash = 0;  // of a sampled fleet, the higher the more preferred
  std::optional<double> score;     // set by ReplicaSelector; none: not eligible
};

// Whether a request that crosses zones costs.
inline bool AvoidsOtherZones(const Settings& settings) {
  return settings.cross_zone_penalty > 0 && settings.zone_count > 1;
}

class CandidateFinder {
 public:
  // All must outlive it.
  struct Inputs {
    const Settings& settings;
    const Fleet& fleet;
    const ReplicaLimits& limits;
    const ReplicaSpeed& speed;
    LoadReports& load_reports;  // their mean, of a fleet that is not sampled, is over the candidates
    RandomSource& random;
  };
  explicit CandidateFinder(const Inputs& inputs) : in_(inputs) {}

  // The replicas of the fleet have changed.
  void InvalidateRing() { ring_.Invalidate(); }

  // Fills `candidates`; the shares are of the traffic, 0 where the request has no such key.
  void Find(const RequestArrived& request, double prefix_share, double session_share, Time now,
            std::vector<Candidate>& candidates);

 private:
  struct RingSearch {
    std::uint64_t key;
    double traffic_share;
    bool is_session;  // else a shared prefix
  };

  void AddAll(const RequestArrived& request, Time now, std::vector<Candidate>& candidates);
  void MarkPreferred(const RequestArrived& request, double prefix_share, double session_share,
                     std::vector<Candidate>& candidates) const;
  void AddFromRing(const RequestArrived& request, const RingSearch& search,
                   std::vector<Candidate>& candidates);
  void MarkSessionAmongPrefix(const RequestArrived& request, double session_share,
                              std::vector<Candidate>& candidates) const;
  void AddRandom(std::vector<Candidate>& candidates);
  bool ClaimForSearch(Replica& replica) const;

  Inputs in_;
  HashRing ring_;
  std::uint64_t search_ = 0;
};

}  // namespace ryeglade::policy
