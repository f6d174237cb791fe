// Detects when a replica, or the whole fleet, deviates from its own baseline and from its peers. Performs no
// I/O and reads no clock. A node runs it on live decisions; `timeline events` runs it on a flight record.
//
// At each tick (1 s of the record's time) each series gets a value: the share of attempts that failed, the
// mean of ln(time to first token / time expected for a prompt of that length), the reported load, the share
// of attempts rejected by a replica at capacity, and the share of traffic. The prompt length matters because
// a router sends short prompts to a slow replica, which would otherwise look fast. The expected time is
// learned slowly over the whole fleet, for each half octave of the prompt length.
//
// The distance of a value from the replica's own baseline is (x - median) / scale, where the scale is the
// median absolute deviation times 1.4826 (Hampel 1974), with a lower bound for the sampling error of a tick.
// Its distance from its peers is the same expression over all replicas in that tick. The smaller of the two
// distances counts, and only if both have the same sign: a change that all replicas show at once is not
// attributed to one of them. The median over the replicas is a series of its own, that of the fleet, and is
// compared with its own baseline.
//
// Distances are added up in a one-sided cumulative sum in each direction (Page, Biometrika 41, 1954):
// S <- max(0, S + min(d, max_distance) - slack). An anomaly begins when S exceeds `alarm_sum`, and ends when
// d has stayed below `calm_distance` for `calm_ticks` ticks. While it lasts, the baseline takes up only every
// fourth value.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "ryeglade/router.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

struct AnomalyOptions {
  Time tick = 1'000'000;             // interval at which each series gets a value
  std::size_t baseline_values = 90;  // values that the baseline of a series holds
  // The number of first tokens that make up one value. They are collected over up to max_first_token_ticks.
  std::uint32_t min_first_tokens = 5;
  int max_first_token_ticks = 6;
  std::size_t min_baseline_values = 15;  // with fewer values a series is not compared with its baseline
  // Distances are in robust standard deviations.
  double max_distance = 6;     // larger distances count as this
  double slack = 2.0;          // subtracted from each distance before it is added up
  double alarm_sum = 9;        // sum of distances above which an anomaly begins
  double calm_distance = 1.5;  // a tick below this distance counts towards the end of an anomaly
  int calm_ticks = 4;          // consecutive ticks below calm_distance that end an anomaly
  // The endpoint list is stale if the node has had only its cached list for this long.
  Time stale_after = 5'000'000;
  // The endpoint list is contradicted if this many connects in a row, over at least this time, were refused
  // at a replica that it lists as ready.
  int min_refused_connects = 4;
  Time min_refused_time = 2'000'000;
  std::size_t max_replicas = 4096;  // further replicas are ignored
};

class AnomalyDetector {
 public:
  using Sink = std::function<void(const Anomaly&)>;
  explicit AnomalyDetector(Sink sink, AnomalyOptions options = {});

  // Events are passed in order. A time before that of an earlier event counts as the latest time so far.
  // `actions` are those that the decision module returned for `event`.
  void OnDecision(Time now, const policy::Event& event, const std::vector<policy::Action>& actions);
  // Selects the field of load reports that is compared, by the `key=value` lines of the recorded settings.
  void OnStart(const std::string& settings);
  // `source` is that of EndpointListRecord. `unavailable_reason` is empty if a list was received.
  void OnEndpointList(Time now, std::string_view source, std::string_view unavailable_reason);
  void OnCoalesced(const CoalescedDecisions& coalesced);
  void OnRecord(const Record& record);  // dispatches a record of any kind
  // Ends the open anomalies of the replicas and of the fleet's metrics. Those of the endpoint list stay open.
  void Close();

  std::size_t open_anomalies() const { return open_; }

 private:
  static constexpr std::size_t kSeries = 5;  // one for each of the first five kinds of AnomalyKind

  // The most recent values of a series, with their median and scale.
  class Baseline {
   public:
    void Add(double x, std::size_t max_values);
    std::size_t size() const { return values_.size(); }
    double median() const { return median_; }
    double scale() const { return scale_; }
    void Clear();

   private:
    void Measure();
    std::deque<double> values_;
    std::size_t unmeasured_values_ = 0;  // added since median and scale were computed
    double median_ = 0, scale_ = 0;
  };
  // One metric of a replica or of the fleet.
  struct Series {
    Baseline baseline;
    double up = 0, down = 0;            // cumulative sums of the distances above and below the baseline
    Time up_since = 0, down_since = 0;  // when each sum last left zero
    // The open anomaly.
    std::uint64_t number = 0;   // 0 if no anomaly is open
    bool rising = true;         // whether the values are above the baseline
    Time since = 0;             // estimated begin of the anomaly
    int calm_ticks = 0;         // consecutive ticks below calm_distance
    double baseline_value = 0;  // median of the baseline when the anomaly began
    double peers = 0;           // median over the replicas when the anomaly began
    double sum = 0;             // sum of the values during the anomaly
    int values = 0;             // number of values during the anomaly
  };
  // What happened at one replica in one tick.
  struct Counts {
    std::uint32_t sent = 0, ended = 0, failed = 0, at_capacity = 0;  // attempts
    std::uint32_t first_tokens = 0;                                  // responses that started
    double first_token_log_sum = 0;  // sum of ln(time to first token / expected time) over these responses
  };
  // A value of a series in one tick.
  struct Value {
    double x = 0;
    double floor = 0;  // lower bound of the scale by which the value's distances are divided
  };
  struct Replica {
    policy::EndpointState state = policy::EndpointState::kRemoved;
    Time ready_since = 0;  // 0 if it has not been ready
    Time started_at = 0;   // as given in the endpoint list
    Counts counts;
    int first_token_ticks = 0;       // ticks over which the first tokens in `counts` have been collected
    double load = -1;                // the load last reported; -1 if none has been reported
    Time load_at = 0;                // time of that report
    int refused_connects = 0;        // refused connects in a row
    Time refused_since = 0;          // time of the first of them
    std::uint64_t contradicted = 0;  // number of the open kEndpointListContradicted; 0 if there is none
    std::array<Series, kSeries> series;
    // The values of this tick; nullopt if there was no data.
    std::array<std::optional<Value>, kSeries> values;
  };

  Replica* FindOrAdd(policy::ReplicaId id);
  void Advance(Time now);  // evaluates all ticks up to `now`
  void Tick(Time at);
  void ComputeValues(Replica& r, double mean_sent, double load_scale);
  void UpdateSeries(Series& series, Time at, AnomalyKind kind, bool fleet, policy::ReplicaId id, double x,
                    double distance, double peers);
  void EndSeries(Series& series, Time at, AnomalyKind kind, bool fleet, policy::ReplicaId id);
  std::uint64_t BeginAnomaly(Anomaly anomaly);
  void EndAnomaly(Anomaly anomaly);
  void EndContradicted(policy::ReplicaId id, Replica& r, Time at);
  void RemoveReplica(policy::ReplicaId id, Replica& r, Time at);
  static double Displayed(AnomalyKind kind, double x);
  // The prompt size of a request. Stored by a hash of the id; a newer request may overwrite an entry.
  struct PromptSize {
    policy::RequestId id = 0;
    std::uint8_t bucket = 0;  // log2 of the number of prompt tokens, in steps of 0.5
  };
  static constexpr std::size_t kPromptSizes = 16384, kBuckets = 40;
  PromptSize& SizeOf(policy::RequestId id) { return prompt_sizes_[(id * 0x9e3779b97f4a7c15ULL) >> 50]; }
  // Returns the expected ln(time to first token) for prompts of that bucket, and then learns from `ln`.
  double ExpectedFirstToken(std::uint8_t bucket, double ln);

  Sink sink_;
  AnomalyOptions options_;
  Time now_ = 0, tick_at_ = 0;
  std::map<policy::ReplicaId, Replica> replicas_;
  std::array<Series, kSeries> fleet_;
  std::vector<PromptSize> prompt_sizes_ = std::vector<PromptSize>(kPromptSizes);
  struct Mean {
    double mean = 0;  // of ln(time to first token in microseconds)
    double n = 0;     // number of values, at most the weight of the moving average
  };
  std::array<Mean, kBuckets> first_token_means_{};
  std::size_t load_field_ = 0;  // index of the load in a load report
  std::uint64_t number_ = 0;    // number of the last anomaly
  std::size_t open_ = 0;        // number of open anomalies
  // The endpoint list.
  Time list_received_at_ = 0;                            // 0 if none has been received
  bool cached_only_ = false;                             // only the node's cached list is known
  std::uint64_t list_unavailable_ = 0, list_stale_ = 0;  // numbers of the open anomalies; 0 if there is none
  Time list_unavailable_since_ = 0, list_stale_since_ = 0;
};

}  // namespace ryeglade::timeline
