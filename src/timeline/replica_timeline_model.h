// Timelines of each replica and of the fleet: the states in the endpoint list, and the attempts and their
// outcomes in bins of time. Built from a flight record in bounded memory, whatever its length: when the
// record needs more than the maximum number of bins, the bins become twice as wide. Performs no I/O and reads
// no clock.
//
// The state at a time is what the node knew at that time. While the endpoint list is unavailable, before the
// first list, and after a gap in the record, the state of a replica is `unknown`, together with its last
// known state; the replica is never assumed to be ready.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

// kUnlisted: not listed so far. kGone: removed from the list.
enum class ReplicaState : std::uint8_t { kUnlisted, kReady, kDraining, kGone, kUnknown };
const char* Name(ReplicaState state);

// A time in which the state of a replica did not change.
struct StateSpan {
  Time from = 0, to = 0;  // `to` is exclusive; 0 if the span is the last one and still open
  ReplicaState state = ReplicaState::kUnlisted;
  // For kUnknown the state before it became unknown; otherwise equal to `state`.
  ReplicaState last_known = ReplicaState::kUnlisted;
  std::string reason;  // the source of the state, or why the state is unknown
};

// What happened at one replica in one bin.
struct ReplicaBin {
  std::uint32_t sent = 0, served = 0, failed = 0, at_capacity = 0, cancelled = 0;  // attempts
  std::uint32_t first_tokens = 0;                                                  // responses that started
  double first_token_sum = 0, first_token_max = 0;                                 // time to first token, ms
  std::int32_t in_flight = 0;  // maximum of this node's concurrent attempts
  double load = -1;            // the load last reported; negative if none has been reported
  // Age in seconds of a load report that is older than the bin; negative if the report came within the bin.
  double load_age = -1;
  void Add(const ReplicaBin& other);
};

// What happened at the node, over all replicas, in one bin.
struct FleetBin {
  std::uint32_t arrived = 0;       // requests
  std::uint32_t sent = 0;          // attempts
  std::uint32_t served = 0;        // requests
  std::uint32_t rejected = 0;      // requests
  std::uint32_t failed = 0;        // requests
  std::uint32_t disconnected = 0;  // requests whose client disconnected
  std::uint64_t coalesced = 0;     // decisions that were counted instead of recorded
  void Add(const FleetBin& other);
};

// A time for which a replica was ejected after failures.
struct EjectionSpan {
  Time from = 0, until = 0;
  policy::Outcome outcome = policy::Outcome::kServed;  // outcome of the attempt that caused the ejection
  int consecutive_failures = 0;
};

// An event to show beside a timeline, as text.
struct Annotation {
  Time at = 0;
  std::string text;
};

struct ReplicaTimeline {
  policy::ReplicaId id = 0;
  std::string name, address;
  std::vector<StateSpan> spans;
  std::map<std::uint32_t, ReplicaBin> bins;  // by index; empty bins are absent
  std::vector<EjectionSpan> ejections;
  std::vector<Annotation> annotations;
  std::uint64_t dropped_items = 0;  // spans, ejections and annotations beyond max_items
  // State while the timeline is built.
  std::int32_t outstanding = 0;  // attempts in flight
  double load = -1;              // the load last reported; negative if none has been reported
  Time load_at = 0;              // time of that report
  std::string Title() const;     // the name, or the id in hexadecimal if the name is not known
};

struct ReplicaTimelineOptions {
  Time width = 1'000'000;           // initial width of a bin
  std::uint32_t max_bins = 1800;    // for more, the bins are made wider
  std::size_t max_replicas = 4096;  // further replicas are ignored
  std::size_t max_items = 2048;     // maximum of a replica's spans, of its ejections, and of its annotations
  Time from = 0, to = 0;            // only records within these times; 0 means no bound
};

class ReplicaTimelines {
 public:
  explicit ReplicaTimelines(ReplicaTimelineOptions options = {}) : options_(options), width_(options.width) {}

  void AddRecord(const Record& record);  // records are added in order
  void Close();                          // ends the last spans at the end of the record

  const std::string& node() const { return node_; }
  Time begin() const { return begin_; }
  Time end() const { return end_; }
  Time width() const { return width_; }  // of a bin
  std::uint32_t bins() const;            // number of bins from begin() to end(); 0 without records
  Time BinStart(std::uint32_t bin) const { return begin_ + static_cast<Time>(bin) * width_; }
  const std::map<policy::ReplicaId, ReplicaTimeline>& replicas() const { return replicas_; }
  const std::map<std::uint32_t, FleetBin>& fleet() const { return fleet_; }
  // Begin and end records of anomalies, up to four times max_items; later ones are dropped.
  const std::vector<Anomaly>& anomalies() const { return anomalies_; }
  // Annotations of the node: restarts, gaps, coalesced decisions, and an unavailable endpoint list.
  const std::vector<Annotation>& annotations() const { return annotations_; }
  // Number of requests that concluded for each policy::ConclusionReason.
  const std::array<std::uint64_t, static_cast<std::size_t>(policy::ConclusionReason::kCount)>& conclusions()
      const {
    return conclusions_;
  }
  // Number of times that a record named a replica beyond max_replicas.
  std::uint64_t dropped_replicas() const { return dropped_replicas_; }
  // The time at which each generation of the endpoint list was first received. Lists by which a node caught
  // up after a start are excluded, so that the clocks of several nodes can be compared by these times.
  const std::map<std::uint64_t, Time>& generations() const { return generations_; }
  std::string ReplicaTitle(policy::ReplicaId id) const;  // the name, or the id in hexadecimal
  // Returns the span that contains the time, or null if the time is before the first span.
  static const StateSpan* SpanAt(const ReplicaTimeline& replica, Time when);

 private:
  friend class TimelineMerge;
  ReplicaTimeline* FindOrAdd(policy::ReplicaId id);
  std::uint32_t BinIndex(Time at);
  void MergeBins();
  void SetState(ReplicaTimeline& replica, Time at, ReplicaState state, std::string reason);
  void SetAllUnknown(Time at, const std::string& reason);
  // `replica` counts the annotations that are dropped; null for those of the node.
  void Annotate(std::vector<Annotation>& annotations, Time at, std::string text, ReplicaTimeline* replica);
  bool IsOutsideBounds(const Record& record, Time recorded_at) const;
  void OnStart(const Start& start);
  void OnGap(const Gap& gap);
  void OnEndpoint(const EndpointRecord& endpoint, Time now);
  void OnListSource(const EndpointListRecord& list, Time now);
  void OnClusterEvent(const ClusterEventRecord& event, Time now);
  void OnReason(const ReasonRecord& record, Time now);
  void OnAnomaly(const Anomaly& anomaly, Time now);
  void AddEjection(ReplicaTimeline& replica, const EjectionSpan& ejection);
  void OnEndpointList(Time now, const policy::EndpointList& list);
  // `n` is the index of the bin at that time.
  void OnResponseStarted(const policy::ResponseStarted& started, std::uint32_t n);
  void OnAttemptEnded(const policy::AttemptEnded& ended, std::uint32_t n, Time now);
  void OnSendAttempt(const policy::SendAttempt& send, std::uint32_t n, Time now);
  void OnDecision(const Decision& decision, Time now);
  void OnCoalesced(const CoalescedDecisions& coalesced, Time now);

  ReplicaTimelineOptions options_;
  Time width_;
  std::string node_;
  bool begun_ = false;
  Time begin_ = 0, end_ = 0;
  Time shift_ = 0;  // is added to the times recorded since the last start
  std::map<policy::ReplicaId, ReplicaTimeline> replicas_;
  std::map<std::uint32_t, FleetBin> fleet_;
  std::vector<Anomaly> anomalies_;
  std::vector<Annotation> annotations_;
  std::array<std::uint64_t, static_cast<std::size_t>(policy::ConclusionReason::kCount)> conclusions_{};
  std::uint64_t dropped_replicas_ = 0;
  std::map<std::uint64_t, Time> generations_;
  bool list_received_ = false;  // a list other than the cached one was received since the last start
  bool list_unavailable_ = false;
  bool after_gap_ = false;        // after a Gap, until the next record
  std::size_t load_field_ = 0;    // index of the load in a load report
  std::string source_;            // source of the next endpoint list
  std::uint64_t generation_ = 0;  // highest generation since the last start
};

}  // namespace ryeglade::timeline
