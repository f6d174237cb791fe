#include "timeline/anomaly_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "timeline/verify.h"

namespace ryeglade::timeline {
namespace {

using policy::EndpointState;
using policy::Outcome;

// Standard deviation of a normal distribution over its median absolute deviation.
constexpr double kMadToSigma = 1.4826;
constexpr Time kMaxLoadAge = 5'000'000;      // an older load report is ignored
constexpr std::size_t kMeasureInterval = 8;  // values between two computations of median and scale
// A larger step between two events is taken for a gap in the record rather than for a time without traffic.
constexpr Time kMaxTimeStep = 60'000'000;
// A replica that became ready less than this time ago is skipped, as it behaves differently from the others.
constexpr Time kWarmUp = 10'000'000;
// Lower bounds of the scale, in this order: for shares of attempts, for ln(time to first token), for the load
// (as a share of the fleet's mean) and for the share of traffic.
constexpr double kFloorError = 0.02, kFloorFirst = 0.10, kFloorLoad = 0.25, kFloorShare = 0.30;
// Standard deviation of ln(time to first token) of one request; that of the mean of n is smaller by sqrt(n).
constexpr double kFirstTokenSigma = 0.35;
// Number of first tokens that count in the moving average of the expected time.
constexpr double kMaxMeanWeight = 20'000;
constexpr std::size_t kMinPeers = 3;  // with fewer replicas a replica is not compared

double MedianOf(std::vector<double>& v) {
  const auto middle = v.begin() + static_cast<std::ptrdiff_t>(v.size() / 2);
  std::nth_element(v.begin(), middle, v.end());
  if (v.size() % 2 != 0) return *middle;
  return (*middle + *std::max_element(v.begin(), middle)) / 2;
}

double ScaleOf(const std::vector<double>& v, double median) {
  std::vector<double> deviations;
  deviations.reserve(v.size());
  for (const double x : v) deviations.push_back(std::abs(x - median));
  return kMadToSigma * MedianOf(deviations);
}

bool Failed(Outcome o) {
  return o == Outcome::kError || o == Outcome::kTimeout || o == Outcome::kConnectFailed ||
         o == Outcome::kReset;
}

}  // namespace

void AnomalyDetector::Baseline::Add(double x, std::size_t max_values) {
  values_.push_back(x);
  if (values_.size() > max_values) values_.pop_front();
  if (++unmeasured_values_ >= kMeasureInterval || values_.size() <= 2 * kMeasureInterval) Measure();
}

void AnomalyDetector::Baseline::Clear() {
  values_.clear();
  unmeasured_values_ = 0;
}

void AnomalyDetector::Baseline::Measure() {
  unmeasured_values_ = 0;
  std::vector<double> v(values_.begin(), values_.end());
  median_ = MedianOf(v);
  scale_ = ScaleOf(v, median_);
}

AnomalyDetector::AnomalyDetector(Sink sink, AnomalyOptions options)
    : sink_(std::move(sink)), options_(options) {}

AnomalyDetector::Replica* AnomalyDetector::FindOrAdd(policy::ReplicaId id) {
  const auto it = replicas_.find(id);
  if (it != replicas_.end()) return &it->second;
  return replicas_.size() >= options_.max_replicas ? nullptr : &replicas_[id];
}

// Converts a value to the unit in which it is reported: shares and loads are unchanged, and a time to first
// token becomes a multiple of the expected time.
double AnomalyDetector::Displayed(AnomalyKind kind, double x) {
  return kind == AnomalyKind::kFirstToken ? std::exp(x) : x;
}

double AnomalyDetector::ExpectedFirstToken(std::uint8_t bucket, double ln) {
  Mean& m = first_token_means_[bucket];
  const double before = m.n > 0 ? m.mean : ln;
  m.n = std::min(m.n + 1, kMaxMeanWeight);
  m.mean += (ln - m.mean) / m.n;
  return before;
}

std::uint64_t AnomalyDetector::BeginAnomaly(Anomaly anomaly) {
  anomaly.begins = true;
  anomaly.number = ++number_;
  ++open_;
  sink_(anomaly);
  return anomaly.number;
}

void AnomalyDetector::EndAnomaly(Anomaly anomaly) {
  anomaly.begins = false;
  --open_;
  sink_(anomaly);
}

void AnomalyDetector::Advance(Time now) {
  now_ = std::max(now_, now);
  if (tick_at_ == 0) tick_at_ = now_ + options_.tick;
  if (now_ - tick_at_ > kMaxTimeStep) {  // what happened in between is not known
    for (auto& [id, r] : replicas_) r.counts = {};
    tick_at_ = now_ + options_.tick;
  }
  while (now_ >= tick_at_) {
    Tick(tick_at_);
    tick_at_ += options_.tick;
  }
}

void AnomalyDetector::OnDecision(Time now, const policy::Event& event,
                                 const std::vector<policy::Action>& actions) {
  Advance(now);
  if (const auto* list = std::get_if<policy::EndpointList>(&event)) {
    if (list->scope == policy::EndpointListScope::kFailed) return OnEndpointList(now_, "", "failed");
    if (list->scope == policy::EndpointListScope::kFull) {
      std::vector<policy::ReplicaId> unlisted;
      const std::vector<policy::ReplicaId> listed = ListedIds(*list);
      for (const auto& known : replicas_) {
        if (!std::binary_search(listed.begin(), listed.end(), known.first)) unlisted.push_back(known.first);
      }
      for (const policy::ReplicaId id : unlisted) {
        RemoveReplica(id, replicas_.at(id), now_);
        replicas_.erase(id);
      }
    }
    for (const policy::Endpoint& e : list->endpoints) {
      if (e.state == EndpointState::kRemoved) {
        const auto it = replicas_.find(e.id);
        if (it == replicas_.end()) continue;
        RemoveReplica(e.id, it->second, now_);
        replicas_.erase(it);
        continue;
      }
      Replica* r = FindOrAdd(e.id);
      if (r == nullptr) continue;
      if (e.started_at > r->started_at && r->ready_since != 0) {  // restarted: its baseline no longer applies
        RemoveReplica(e.id, *r, now_);
        *r = {};
      }
      r->started_at = e.started_at;
      if (e.state == EndpointState::kReady && r->state != EndpointState::kReady) r->ready_since = now_;
      r->state = e.state;
    }
    // A cached list says nothing about the present state of the replicas.
    const bool cached = list->scope == policy::EndpointListScope::kCached;
    if (!cached) return OnEndpointList(now_, "event", "");
    if (list_received_at_ == 0) {
      cached_only_ = true;
      list_stale_since_ = now_;
    }
    return;
  }
  if (const auto* arrived = std::get_if<policy::RequestArrived>(&event)) {
    const double octaves = std::log2(std::max(1.0, arrived->prompt_tokens));
    SizeOf(arrived->id) = {
        arrived->id, static_cast<std::uint8_t>(std::min(2 * octaves, static_cast<double>(kBuckets - 1)))};
  } else if (const auto* started = std::get_if<policy::ResponseStarted>(&event)) {
    const PromptSize& prompt_size = SizeOf(started->id);
    if (Replica* r = FindOrAdd(started->replica); r != nullptr) {
      r->refused_connects = 0;
      if (prompt_size.id == started->id) {
        const double ln = std::log(static_cast<double>(std::max<Time>(1, started->elapsed)));
        ++r->counts.first_tokens;
        r->counts.first_token_log_sum += ln - ExpectedFirstToken(prompt_size.bucket, ln);
      }
    }
  } else if (const auto* ended = std::get_if<policy::AttemptEnded>(&event)) {
    if (Replica* r = FindOrAdd(ended->replica); r != nullptr) {
      ++r->counts.ended;
      if (Failed(ended->outcome)) ++r->counts.failed;
      if (ended->outcome == Outcome::kAtCapacity) ++r->counts.at_capacity;
      if (ended->outcome == Outcome::kConnectFailed) {
        if (r->refused_connects++ == 0) r->refused_since = now_;
      } else if (ended->outcome != Outcome::kCancelled && ended->outcome != Outcome::kNotSent) {
        r->refused_connects = 0;
      }
      if (ended->load_report.size() > load_field_) {
        r->load = ended->load_report[load_field_];
        r->load_at = now_;
      }
    }
  } else if (const auto* probe = std::get_if<policy::HealthCheckCompleted>(&event)) {
    if (Replica* r = FindOrAdd(probe->replica); r != nullptr && probe->load_report.size() > load_field_) {
      r->load = probe->load_report[load_field_];
      r->load_at = now_;
    }
  }
  for (const policy::Action& a : actions) {
    if (const auto* send = std::get_if<policy::SendAttempt>(&a)) {
      if (Replica* r = FindOrAdd(send->replica); r != nullptr) ++r->counts.sent;
    }
  }
}

void AnomalyDetector::OnStart(const std::string& settings) { load_field_ = LoadFieldOf(settings); }

void AnomalyDetector::OnEndpointList(Time now, std::string_view source, std::string_view unavailable_reason) {
  Advance(now);
  if (source == "known") return;
  if (!unavailable_reason.empty()) {
    if (list_unavailable_ != 0) return;
    list_unavailable_since_ = now_;
    list_unavailable_ = BeginAnomaly({.now = now_,
                                      .kind = AnomalyKind::kEndpointListUnavailable,
                                      .fleet = true,
                                      .since = list_received_at_ != 0 ? list_received_at_ : now_,
                                      .baseline = 0,
                                      .during = 0});
    return;
  }
  const auto end = [&](std::uint64_t& number, AnomalyKind kind, Time since) {
    if (number == 0) return;
    EndAnomaly({.now = now_,
                .number = std::exchange(number, 0),
                .kind = kind,
                .fleet = true,
                .since = since,
                .during = static_cast<double>(now_ - since) / 1e6});
  };
  end(list_unavailable_, AnomalyKind::kEndpointListUnavailable, list_unavailable_since_);
  end(list_stale_, AnomalyKind::kEndpointListStale, list_stale_since_);
  cached_only_ = false;
  list_received_at_ = now_;
}

// Adds decisions that were counted instead of recorded to the values of the tick.
void AnomalyDetector::OnCoalesced(const CoalescedDecisions& coalesced) {
  Advance(coalesced.last);
  for (const CoalescedReplica& counted : coalesced.replicas) {
    Replica* r = FindOrAdd(counted.id);
    if (r == nullptr) continue;
    r->counts.sent += static_cast<std::uint32_t>(counted.sent);
    r->counts.ended += static_cast<std::uint32_t>(counted.served + counted.failed);
    r->counts.failed += static_cast<std::uint32_t>(counted.failed);
  }
}

void AnomalyDetector::OnRecord(const Record& record) {
  if (const auto* s = std::get_if<Start>(&record)) return OnStart(s->settings);
  if (const auto* d = std::get_if<Decision>(&record)) return OnDecision(d->now, d->event, d->actions);
  if (const auto* r = std::get_if<EndpointListRecord>(&record); r != nullptr && !r->repeated)
    return OnEndpointList(r->now, r->source, r->unavailable_reason);
  if (const auto* b = std::get_if<CoalescedDecisions>(&record)) return OnCoalesced(*b);
}

// ---- One tick ----

void AnomalyDetector::ComputeValues(Replica& r, double mean_sent, double load_scale) {
  const Counts& counts = r.counts;
  const double ended = counts.ended;
  auto& values = r.values;  // the index is the AnomalyKind of the series
  values = {};
  if (counts.ended > 0) {
    // With few attempts a single failure is a large share. The floor is the sampling error of a share of
    // 0.03.
    const double floor = kFloorError + std::sqrt(0.03 / ended);
    values[0] = Value{counts.failed / ended, floor};
    values[3] = Value{counts.at_capacity / ended, floor + kFloorError};
  }
  // A mean of few first tokens is imprecise: they are collected until there are min_first_tokens of them, or
  // for at most max_first_token_ticks.
  if (counts.first_tokens > 0 && (counts.first_tokens >= options_.min_first_tokens ||
                                  ++r.first_token_ticks >= options_.max_first_token_ticks))
    values[1] = Value{counts.first_token_log_sum / counts.first_tokens,
                      kFloorFirst + kFirstTokenSigma / std::sqrt(counts.first_tokens)};
  if (r.load >= 0 && now_ - r.load_at < kMaxLoadAge) values[2] = Value{r.load, kFloorLoad * load_scale + 1};
  if (mean_sent >= 1 && r.state == EndpointState::kReady)
    values[4] = Value{counts.sent / mean_sent, kFloorShare + 1.5 / std::sqrt(mean_sent)};
}

void AnomalyDetector::Tick(Time at) {
  double sent = 0;
  double ready_replicas = 0;
  double load_sum = 0;
  double loaded_replicas = 0;
  for (const auto& [id, r] : replicas_) {
    sent += r.counts.sent;
    if (r.state == EndpointState::kReady) ++ready_replicas;
    if (r.load >= 0 && now_ - r.load_at < kMaxLoadAge) {
      load_sum += r.load;
      ++loaded_replicas;
    }
  }
  for (auto& [id, r] : replicas_)
    ComputeValues(r, ready_replicas > 0 ? sent / ready_replicas : 0,
                  loaded_replicas > 0 ? load_sum / loaded_replicas : 0);

  std::vector<double> fleet_values;
  for (std::size_t k = 0; k < kSeries; ++k) {
    const auto kind = static_cast<AnomalyKind>(k);
    fleet_values.clear();
    double floors = 0;
    for (const auto& [id, r] : replicas_) {
      if (!r.values[k]) continue;
      fleet_values.push_back(r.values[k]->x);
      floors += r.values[k]->floor;
    }
    if (fleet_values.empty()) {
      if (fleet_[k].number != 0)
        UpdateSeries(fleet_[k], at, kind, true, 0, fleet_[k].baseline.median(), 0, 0);
      continue;
    }
    const double n = static_cast<double>(fleet_values.size());
    const double median = MedianOf(fleet_values);
    const double scale = ScaleOf(fleet_values, median);
    const bool compare = fleet_values.size() >= kMinPeers;
    for (auto& [id, r] : replicas_) {
      Series& series = r.series[k];
      if (!r.values[k]) {
        // A tick without data is neither a deviation nor a return, but an anomaly must not stay open forever:
        // it counts as a distance of 0.
        if (series.number != 0)
          UpdateSeries(series, at, kind, false, id, series.baseline.median(), 0, median);
        continue;
      }
      if (at - r.ready_since < kWarmUp) continue;
      const Value& v = *r.values[k];
      const double own_distance =
          series.baseline.size() < options_.min_baseline_values
              ? 0
              : (v.x - series.baseline.median()) / std::max(series.baseline.scale(), v.floor);
      const double peer_distance = (v.x - median) / std::max(scale, v.floor);
      double distance = 0;
      if (compare && own_distance * peer_distance > 0)
        distance = std::copysign(std::min(std::abs(own_distance), std::abs(peer_distance)), own_distance);
      // With too few peers a change of one replica cannot be told from one of the fleet, and is attributed to
      // the fleet.
      UpdateSeries(series, at, kind, false, id, v.x, distance, median);
    }
    if (kind == AnomalyKind::kTrafficShare) continue;  // the mean share over the fleet is constant
    Series& fleet_series = fleet_[k];
    const double floor = floors / n / std::sqrt(std::max(1.0, n / 2));
    const double distance =
        fleet_series.baseline.size() < options_.min_baseline_values
            ? 0
            : (median - fleet_series.baseline.median()) / std::max(fleet_series.baseline.scale(), floor);
    UpdateSeries(fleet_series, at, kind, true, 0, median, distance, median);
  }

  for (auto& [id, r] : replicas_) {
    const bool refuses = r.state == EndpointState::kReady &&
                         r.refused_connects >= options_.min_refused_connects &&
                         at - r.refused_since >= options_.min_refused_time;
    if (refuses && r.contradicted == 0) {
      r.contradicted = BeginAnomaly({.now = at,
                                     .kind = AnomalyKind::kEndpointListContradicted,
                                     .replica = id,
                                     .since = r.refused_since,
                                     .during = static_cast<double>(r.refused_connects)});
    } else if (r.contradicted != 0 && (r.refused_connects == 0 || r.state != EndpointState::kReady)) {
      EndContradicted(id, r, at);
    }
    const Counts counts = r.counts;
    r.counts = {};
    if (r.values[1]) {
      r.first_token_ticks = 0;
    } else {
      r.counts.first_tokens = counts.first_tokens;
      r.counts.first_token_log_sum = counts.first_token_log_sum;
    }
  }
  if (cached_only_ && list_stale_ == 0 && at - list_stale_since_ >= options_.stale_after) {
    list_stale_ = BeginAnomaly(
        {.now = at, .kind = AnomalyKind::kEndpointListStale, .fleet = true, .since = list_stale_since_});
  }
}

void AnomalyDetector::UpdateSeries(Series& series, Time at, AnomalyKind kind, bool fleet,
                                   policy::ReplicaId id, double x, double distance, double peers) {
  if (series.number == 0) {
    series.baseline.Add(x, options_.baseline_values);
    const auto accumulate = [&](double& total, Time& since, double d) {
      const double before = total;
      total = std::max(0.0, total + std::min(d, options_.max_distance) - options_.slack);
      if (before == 0 && total > 0) since = at - options_.tick;
    };
    accumulate(series.up, series.up_since, distance);
    accumulate(series.down, series.down_since, -distance);
    // Fewer errors or rejections, lower latency or less load than usual is not an anomaly. A share of traffic
    // may deviate in both directions.
    const bool two_sided = kind == AnomalyKind::kTrafficShare;
    const bool up = series.up > options_.alarm_sum;
    const bool down = two_sided && series.down > options_.alarm_sum;
    if (!up && !down) return;
    series.rising = up;
    series.since = up ? series.up_since : series.down_since;
    series.baseline_value = series.baseline.median();
    series.sum = x;
    series.values = 1;
    series.calm_ticks = 0;
    series.peers = peers;
    series.number = BeginAnomaly({.now = at,
                                  .kind = kind,
                                  .fleet = fleet,
                                  .replica = id,
                                  .since = series.since,
                                  .baseline = Displayed(kind, series.baseline_value),
                                  .during = Displayed(kind, x),
                                  .peers = Displayed(kind, peers)});
    return;
  }
  series.sum += x;
  ++series.values;
  const double d = series.rising ? distance : -distance;
  series.calm_ticks = d < options_.calm_distance ? series.calm_ticks + 1 : 0;
  if (series.calm_ticks >= options_.calm_ticks) return EndSeries(series, at, kind, fleet, id);
  // The baseline takes up every fourth value, so that the anomaly of a permanent change ends eventually.
  if (series.values % 4 == 0) series.baseline.Add(x, options_.baseline_values);
}

void AnomalyDetector::EndSeries(Series& series, Time at, AnomalyKind kind, bool fleet, policy::ReplicaId id) {
  EndAnomaly({.now = at,
              .number = std::exchange(series.number, 0),
              .kind = kind,
              .fleet = fleet,
              .replica = id,
              .since = series.since,
              .baseline = Displayed(kind, series.baseline_value),
              .during = Displayed(kind, series.sum / std::max(1, series.values)),
              .peers = Displayed(kind, series.peers)});
  series.up = series.down = 0;
  series.calm_ticks = 0;
}

void AnomalyDetector::EndContradicted(policy::ReplicaId id, Replica& r, Time at) {
  EndAnomaly({.now = at,
              .number = std::exchange(r.contradicted, 0),
              .kind = AnomalyKind::kEndpointListContradicted,
              .replica = id,
              .since = r.refused_since});
}

void AnomalyDetector::RemoveReplica(policy::ReplicaId id, Replica& r, Time at) {
  for (std::size_t k = 0; k < kSeries; ++k) {
    if (r.series[k].number != 0) EndSeries(r.series[k], at, static_cast<AnomalyKind>(k), false, id);
  }
  if (r.contradicted != 0) EndContradicted(id, r, at);
}

void AnomalyDetector::Close() {
  for (auto& [id, r] : replicas_) RemoveReplica(id, r, now_);
  for (std::size_t k = 0; k < kSeries; ++k) {
    if (fleet_[k].number != 0) EndSeries(fleet_[k], now_, static_cast<AnomalyKind>(k), true, 0);
  }
}

}  // namespace ryeglade::timeline
