// What each node reports to all others (its request rate, the outliers that it has observed, its busiest
// prefixes), as values and as bytes on the membership's messages. What comes from a peer is untrusted: every
// length, range and count is checked here, and a message that breaks one is rejected as a whole, with a
// reason. No I/O.
//
// A MessagePack array: form (1), node, age in ms, incarnation, sequence, rate in hundredths, flags, failing
// replicas, [outlier reports...], [prefix rates...]. A reader passes over fields behind those that it knows,
// and rejects other forms.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::gossip {

using policy::Time;  // microseconds, steady

inline constexpr double kMaxRate = 1e6;                 // requests a second that a report may claim
inline constexpr std::size_t kMaxOutlierReports = 20;   // in one node report
inline constexpr std::size_t kMaxPrefixRates = 12;      // in one node report
inline constexpr Time kMaxSpan = 60'000'000;            // longer spans are reported as this
inline constexpr Time kMaxAge = 60'000'000;             // an older message is not forwarded
inline constexpr std::size_t kMaxMessageBytes = 1'150;  // so that one message always fits a datagram

// What a node has itself observed of one replica. `started_at` is the replica's incarnation: a report about
// one that has restarted since says nothing of it.
struct OutlierReport {
  policy::ReplicaId replica = 0;
  Time started_at = 0;
  int consecutive_failures = 0;  // 0 to 255
  Time ejected_for = 0;          // counted from the report on: the node sends nothing there; 0: not ejected
  Time last_outcome_age = -1;    // age, at the report, of the last outcome there, which was an answer if
                                 // `consecutive_failures` is 0; -1: none within kMaxSpan
  double slowness = 0;           // mean ln(observed / expected) of its answers there, -4 to 4
  double slowness_samples = 0;   // how many answers `slowness` rests on, 0 to 255
  int in_flight = 0;             // attempts, 0 to 255
  Time stalled_for = 0;  // for so long no answer has begun there though some are awaited; 0: not stalled
};

// How often a shared prompt prefix is requested.
struct PrefixRate {
  std::uint64_t prefix = 0;
  double rate = 0;  // requests a second, at most kMaxRate
};

// What one node reports of itself and of what it has observed. `sequence` rises with each report of one
// process, `incarnation` with each process.
struct NodeReport {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  double rate = 0;               // requests a second that arrive at the node
  bool suspects_itself = false;  // its own network may be at fault: its outlier reports count for nothing
  int failing_replicas = 0;      // that fail for it, also those that are not in `outlier_reports`
  std::vector<OutlierReport> outlier_reports;
  std::vector<PrefixRate> prefix_rates;
};

// A report on its way through the cluster.
struct GossipMessage {
  std::string node;  // that made the report
  Time age = 0;      // since the report was made, as far as is known
  NodeReport report;
};

// The rate that counts of what any one node reports is at most this many times the median of all reported
// rates, so that a node that lies takes a bounded share from the others. Fewer than three rates: no bound.
inline constexpr double kMaxTimesMedian = 8;
double MaxCountedRate(std::vector<double> rates);

std::string Encode(const GossipMessage& message);
// Null, and `why` a reason word: malformed, range, form.
std::optional<GossipMessage> Decode(std::string_view bytes, const char** why);

}  // namespace ryeglade::gossip
