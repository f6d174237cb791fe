// Detects when a replica, or the whole fleet, departs from its own baseline and from its peers. No I/O, no
// clock; a node runs it as things happen, `timeline events` over a record.
//
// Once a tick (1 s of the record's time) each series gets a value: the share of attempts that failed, the
// mean of ln(time to first token over what is expected for prompts of that length), the load reported, the
// share of attempts that met a full replica, the share of traffic. Routers send short prompts to a slow
// replica: without the length it would seem fast. What is expected is learned over the whole fleet, slowly,
// by half octaves of the length. A value's distance from the replica's own baseline is (x - median) / scale,
// the scale from the median absolute deviation (times 1.4826, Hampel 1974) and a floor for the sampling error
// of a tick; its distance from its peers is the same over the other replicas in that tick. What counts is the
// smaller of the two, and only if both have the same sign: what all replicas do at once is not one replica's
// fault. The peers' median itself is one more series, the fleet's, against its own baseline. Distances add up
// in a one-sided cumulative sum in each direction (Page, Biometrika 41, 1954): S <- max(0, S + min(d,
// max_distance) - slack); S above `alarm_sum` begins an anomaly, which ends when d has stayed below
// `calm_distance` for some ticks. While it lasts the baseline does not learn.
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
  Time tick = 1'000'000;
  std::size_t baseline_values = 90;  // values of a series that its baseline holds
  std::uint32_t min_first_tokens =
      5;  // first tokens that are one value, gathered over up to max_first_token_ticks
  int max_first_token_ticks = 6;
  std::size_t min_baseline_values = 15;  // below it nothing is compared
  double max_distance = 6;               // a larger one counts as this
  double slack = 2.0;                    // robust standard deviations that do not count
  double alarm_sum = 9;                  // summed distances at which an anomaly begins
  double calm_distance = 1.5;            // a distance below this counts towards the end
  int calm_ticks = 4;
  Time stale_after = 5'000'000;       // a list that old, when it is only what the node had cached, is stale
  int min_refused_connects = 4;       // in a row, at a replica that the endpoint list calls ready
  Time min_refused_time = 2'000'000;  // and for this long
  std::size_t max_replicas = 4096;
};

class AnomalyDetector {
 public:
  using Sink = std::function<void(const Anomaly&)>;
  explicit AnomalyDetector(Sink sink, AnomalyOptions options = {});

  // In order; times that step back are held still.
  void OnDecision(Time now, const policy::Event& event, const std::vector<policy::Action>& actions);
  void OnStart(const std::string& settings);
  void OnEndpointList(Time now, std::string_view source, std::string_view unavailable_reason);
  void OnCoalesced(const CoalescedDecisions& coalesced);
  void OnRecord(const Record& record);  // of any kind
  void Close();                         // ends the anomalies that have begun

  std::size_t open_anomalies() const { return open_; }

 private:
  static constexpr std::size_t kSeries = 5;  // the first kinds of AnomalyKind

  // The last values, and their median and scale.
  class Baseline {
   public:
    void Add(double x, std::size_t most);
    std::size_t size() const { return values_.size(); }
    double median() const { return median_; }
    double scale() const { return scale_; }
    void Clear();

   private:
    void Measure();
    std::deque<double> values_;
    std::size_t unmeasured_ = 0;
    double median_ = 0, scale_ = 0;
  };
  struct Series {
    Baseline baseline;
    double up = 0, down = 0;  // the two sums
    Time up_since = 0, down_since = 0;
    std::uint64_t number = 0;  // of the event that lasts; 0: none
    bool rising = true;
    Time began = 0;
    int calm = 0;
    double before = 0, sum = 0, peers = 0;
    int n = 0;
  };
  struct Counts {
    std::uint32_t sent = 0, ended = 0, failed = 0, full = 0, first_n = 0;
    double first_sum = 0;  // of ln
  };
  struct Value {
    double x = 0;
    double floor = 0;  // of the scale
  };
  struct Replica {
    policy::EndpointState phase = policy::EndpointState::kRemoved;
    Time ready_since = 0;
    Time started_at = 0;
    Counts tick;
    int first_ticks = 0;  // that its first tokens have been gathered over
    double load = -1;
    Time load_at = 0;
    int refused = 0;  // connects, in a row
    Time refused_since = 0;
    std::uint64_t contradicted = 0;  // number of that event
    std::array<Series, kSeries> series;
    std::array<std::optional<Value>, kSeries> now;
  };

  Replica* FindOrAdd(policy::ReplicaId id);
  void Advance(Time now);
  void Tick(Time at);
  void ComputeValues(Replica& r, double usual_sent, double load_scale);
  void UpdateSeries(Series& s, Time at, AnomalyKind kind, bool fleet, policy::ReplicaId id, double x,
                    double distance, double peers);
  void EndSeries(Series& s, Time at, AnomalyKind kind, bool fleet, policy::ReplicaId id);
  std::uint64_t BeginAnomaly(Anomaly anomaly);
  void EndAnomaly(Anomaly anomaly);
  void EndContradicted(policy::ReplicaId id, Replica& r, Time at);
  void RemoveReplica(policy::ReplicaId id, Replica& r, Time at);
  static double Displayed(AnomalyKind kind, double x);
  struct PromptSize {  // of a request; a newer one may take its place
    policy::RequestId id = 0;
    std::uint8_t bucket = 0;
  };
  static constexpr std::size_t kPromptSizes = 16384, kBuckets = 40;
  PromptSize& SizeOf(policy::RequestId id) { return prompt_sizes_[(id * 0x9e3779b97f4a7c15ULL) >> 50]; }
  double ExpectedFirstToken(std::uint8_t bucket, double ln);  // of that length; and learns

  Sink sink_;
  AnomalyOptions options_;
  Time now_ = 0, tick_at_ = 0;
  std::map<policy::ReplicaId, Replica> replicas_;
  std::array<Series, kSeries> fleet_;
  std::vector<PromptSize> prompt_sizes_ = std::vector<PromptSize>(kPromptSizes);
  struct Mean {
    double mean = 0, n = 0;
  };
  std::array<Mean, kBuckets> usual_{};
  std::size_t load_field_ = 0;
  std::uint64_t number_ = 0;
  std::size_t open_ = 0;
  // The roster.
  Time told_at_ = 0;
  bool cached_only_ = false;
  std::uint64_t dark_ = 0, behind_ = 0;
  Time dark_since_ = 0, behind_since_ = 0;
};

}  // namespace ryeglade::timeline
