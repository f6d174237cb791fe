// The report that each node sends to all others (its request rate, the outliers that it has observed, its
// busiest prefixes), as values and as bytes in the membership's messages. Input from a peer is untrusted:
// every length, range and count is checked here, and a message that violates one is rejected as a whole, with
// a reason. No I/O.
//
// The encoding is a MessagePack array: format version (1), node, age in ms, incarnation, sequence, rate in
// hundredths, flags, failing replicas, [outlier reports...], [prefix rates...]. A reader skips fields after
// those that it knows, and rejects other format versions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::gossip {

using policy::Time;  // microseconds of a steady clock

inline constexpr double kMaxRate = 1e6;  // highest rate that a report may have, requests per second
inline constexpr std::size_t kMaxOutlierReports = 20;   // in one node report
inline constexpr std::size_t kMaxPrefixRates = 12;      // in one node report
inline constexpr Time kMaxSpan = 60'000'000;            // microseconds; longer spans are reported as this
inline constexpr Time kMaxAge = 60'000'000;             // microseconds; an older message is not forwarded
inline constexpr std::size_t kMaxMessageBytes = 1'150;  // a message of this size always fits into a datagram

// What a node has itself observed of one replica, at the time of the report. Spans in microseconds.
// `started_at` identifies the replica's process: after a restart the report no longer applies.
struct OutlierReport {
  policy::ReplicaId replica = 0;
  Time started_at = 0;
  int consecutive_failures = 0;  // 0 to 255
  Time ejected_for = 0;          // how long the node will still send no requests there; 0: not ejected
  Time last_outcome_age = -1;    // time since the last outcome of an attempt there, which was an answer if
                                 // `consecutive_failures` is 0; -1: no outcome within kMaxSpan
  double slowness = 0;           // mean of ln(observed / expected time) over its answers, -4 to 4
  double slowness_samples = 0;   // number of answers that `slowness` is based on, 0 to 255
  int in_flight = 0;             // attempts in flight there, 0 to 255
  Time stalled_for = 0;  // how long no answer has begun although the node waits for one; 0: it waits for none
};

// The rate of requests with a shared prompt prefix.
struct PrefixRate {
  std::uint64_t prefix = 0;  // key of the prefix
  double rate = 0;           // requests per second, at most kMaxRate
};

// One node's report on itself and on what it has observed. `sequence` rises with each report of one process,
// `incarnation` with each process of the node.
struct NodeReport {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  double rate = 0;               // requests per second that arrive at the node
  bool suspects_itself = false;  // its own network may be at fault, so its outlier reports are ignored
  int failing_replicas = 0;      // replicas that fail for it, including those not in `outlier_reports`
  std::vector<OutlierReport> outlier_reports;  // the most severe first
  std::vector<PrefixRate> prefix_rates;        // the busiest first
};

// A report as it is forwarded through the cluster.
struct GossipMessage {
  std::string node;  // name of the node that made the report
  Time age = 0;      // microseconds since the report was made, without the time in transit
  NodeReport report;
};

// A node's reported rate counts only up to this multiple of the median of all reported rates, so that a node
// that reports a false rate takes only a bounded share from the others.
inline constexpr double kMaxTimesMedian = 8;
// Returns the rate up to which a node's report counts, given all reported rates. With fewer than three rates
// it is kMaxRate.
double MaxCountedRate(std::vector<double> rates);

// Returns the message as bytes. Values out of range are clamped, NaN becomes 0, and lists are cut to their
// maximum lengths.
std::string Encode(const GossipMessage& message);
// Returns nullopt if the message is rejected, and sets `why` to the reason: malformed, range or form (unknown
// format version).
std::optional<GossipMessage> Decode(std::string_view bytes, const char** why);

}  // namespace ryeglade::gossip
