// A replica as the decision module keeps it: what the endpoint list says, what this node has learned and has
// in flight there, and what other nodes report of it. Owned by Fleet. Times are microseconds.
#pragma once

#include <cstdint>

#include "ryeglade/router.h"

namespace ryeglade::policy {

struct Replica : ReplicaView {
  bool ready = false;             // listed, and neither draining nor removed
  bool listed = false;            // else it stays only until its last attempt has ended
  int sibling_in_flight = 0;      // attempts of another process of this node, across a hot restart
  PeerReplicaReport peer_report;  // what the other nodes of the tier know of it
  Time peer_report_at = 0;        // 0: no report
  std::uint64_t last_search = 0;  // the last search of ReplicaSelector that took it as a candidate

  // Attempts that count against this node's limit and are not its own process's.
  double in_flight_elsewhere() const { return sibling_in_flight + peer_report.orphaned_in_flight; }
};

}  // namespace ryeglade::policy
