// The Router's state of a replica: its entry in the endpoint list, what this node has learned of it
// and has in flight there, and what other nodes report of it. Owned by Fleet. Times are microseconds.
#pragma once

#include <cstdint>

#include "ryeglade/router.h"

namespace ryeglade::policy {

struct Replica : ReplicaView {
  bool ready = false;             // listed, and neither draining nor removed
  bool listed = false;            // false: Fleet removes it when its last attempt has ended
  int sibling_in_flight = 0;      // attempts of the other process of this node, during a hot restart
  PeerReplicaReport peer_report;  // latest report of the other nodes of the tier
  Time peer_report_at = 0;        // time of that report; 0: none
  std::uint64_t last_search = 0;  // number of the last search of CandidateFinder that made it a candidate

  // Attempts of other processes that count against this node's limit.
  double in_flight_elsewhere() const { return sibling_in_flight + peer_report.orphaned_in_flight; }
};

}  // namespace ryeglade::policy
