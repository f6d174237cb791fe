#include "timeline/anomaly_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "timeline/verify.h"

namespace ryeglade::timeline {
namespace {

using policy::EndpointState;
using policy::Outcome;

constexpr double kMad = 1.4826;           // of the median absolute deviation of a normal distribution
constexpr Time kLoadFresh = 5'000'000;    // a report older than this says nothing
constexpr std::size_t kMeasureEvery = 8;  // values between two measures of the past
constexpr Time kStep = 60'000'000;        // a jump ahead this wide is a hole, not a quiet time
constexpr Time kWarmUp = 10'000'000;      // a replica that has just come is unlike the others
constexpr double kFloorError = 0.02, kFloorFirst = 0.10, kFloorLoad = 0.25, kFloorShare = 0.30;
constexpr double kSpread = 0.35;         // of the mean of n logs of first-token times, over the root of n
constexpr double kUsualMemory = 20'000;  // first tokens that the usual looks back on
constexpr std::size_t kFewestPeers = 3;

double MedianOf(std::vector<double>& v) {
  const auto middle = v.begin() + static_cast<std::ptrdiff_t>(v.size() / 2);
  std::nth_element(v.begin(), middle, v.end());
  if (v.size() % 2 != 0) return *middle;
  return (*middle + *std::max_element(v.begin(), middle)) / 2;
}

double ScaleOf(const std::vector<double>& v, double median) {
  std::vector<double> off;
  off.reserve(v.size());
  for (const double x : v) off.push_back(std::abs(x - median));
  return kMad * MedianOf(off);
}

bool Failed(Outcome o) {
  return o == Outcome::kError || o == Outcome::kTimeout || o == Outcome::kConnectFailed ||
         o == Outcome::kReset;
}

}  // namespace

void AnomalyDetector::Baseline::Add(double x, std::size_t most) {
  values_.push_back(x);
  if (values_.size() > most) values_.pop_front();
  if (++unmeasured_ >= kMeasureEvery || values_.size() <= 2 * kMeasureEvery) Measure();
}

void AnomalyDetector::Baseline::Clear() {
  values_.clear();
  unmeasured_ = 0;
}

void AnomalyDetector::Baseline::Measure() {
  unmeasured_ = 0;
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

// What people read: shares, loads as they are, first tokens as times of the usual.
double AnomalyDetector::Displayed(AnomalyKind kind, double x) {
  return kind == AnomalyKind::kFirstToken ? std::exp(x) : x;
}

double AnomalyDetector::ExpectedFirstToken(std::uint8_t bucket, double ln) {
  Mean& m = usual_[bucket];
  const double before = m.n > 0 ? m.mean : ln;
  m.n = std::min(m.n + 1, kUsualMemory);
  m.mean += (ln - m.mean) / m.n;
  return before;
}

std::uint64_t AnomalyDetector::BeginAnomaly(Anomaly u) {
  u.begins = true;
  u.number = ++number_;
  ++open_;
  sink_(u);
  return u.number;
}

void AnomalyDetector::EndAnomaly(Anomaly u) {
  u.begins = false;
  --open_;
  sink_(u);
}

void AnomalyDetector::Advance(Time now) {
  now_ = std::max(now_, now);
  if (tick_at_ == 0) tick_at_ = now_ + options_.tick;
  if (now_ - tick_at_ > kStep) {  // what happened in between is not known
    for (auto& [id, r] : replicas_) r.tick = {};
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
      std::vector<policy::ReplicaId> gone;
      const std::vector<policy::ReplicaId> listed = ListedIds(*list);
      for (const auto& known : replicas_) {
        if (!std::binary_search(listed.begin(), listed.end(), known.first)) gone.push_back(known.first);
      }
      for (const policy::ReplicaId id : gone) {
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
      if (e.started_at > r->started_at && r->ready_since != 0) {  // another life: its past says nothing
        RemoveReplica(e.id, *r, now_);
        *r = {};
      }
      r->started_at = e.started_at;
      if (e.state == EndpointState::kReady && r->phase != EndpointState::kReady) r->ready_since = now_;
      r->phase = e.state;
    }
    // A module that was only given what the node once knew has been told nothing yet.
    const bool cached = list->scope == policy::EndpointListScope::kCached;
    if (!cached) return OnEndpointList(now_, "told", "");
    if (told_at_ == 0) {
      cached_only_ = true;
      behind_since_ = now_;
    }
    return;
  }
  if (const auto* arrived = std::get_if<policy::RequestArrived>(&event)) {
    const double octaves = std::log2(std::max(1.0, arrived->prompt_tokens));
    SizeOf(arrived->id) = {
        arrived->id, static_cast<std::uint8_t>(std::min(2 * octaves, static_cast<double>(kBuckets - 1)))};
  } else if (const auto* started = std::get_if<policy::ResponseStarted>(&event)) {
    const PromptSize& sized = SizeOf(started->id);
    if (Replica* r = FindOrAdd(started->replica); r != nullptr) {
      r->refused = 0;
      if (sized.id == started->id) {
        const double ln = std::log(static_cast<double>(std::max<Time>(1, started->elapsed)));
        ++r->tick.first_n;
        r->tick.first_sum += ln - ExpectedFirstToken(sized.bucket, ln);
      }
    }
  } else if (const auto* ended = std::get_if<policy::AttemptEnded>(&event)) {
    if (Replica* r = FindOrAdd(ended->replica); r != nullptr) {
      ++r->tick.ended;
      if (Failed(ended->outcome)) ++r->tick.failed;
      if (ended->outcome == Outcome::kAtCapacity) ++r->tick.full;
      if (ended->outcome == Outcome::kConnectFailed) {
        if (r->refused++ == 0) r->refused_since = now_;
      } else if (ended->outcome != Outcome::kCancelled && ended->outcome != Outcome::kNotSent) {
        r->refused = 0;
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
      if (Replica* r = FindOrAdd(send->replica); r != nullptr) ++r->tick.sent;
    }
  }
}

void AnomalyDetector::OnStart(const std::string& settings) { load_field_ = LoadFieldOf(settings); }

void AnomalyDetector::OnEndpointList(Time now, std::string_view source, std::string_view why) {
  Advance(now);
  if (source == "known") return;
  if (!why.empty()) {
    if (dark_ != 0) return;
    dark_since_ = now_;
    dark_ = BeginAnomaly({.now = now_,
                          .kind = AnomalyKind::kEndpointListUnavailable,
                          .fleet = true,
                          .since = told_at_ != 0 ? told_at_ : now_,
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
  end(dark_, AnomalyKind::kEndpointListUnavailable, dark_since_);
  end(behind_, AnomalyKind::kEndpointListStale, behind_since_);
  cached_only_ = false;
  told_at_ = now_;
}

// What was counted instead of kept still counts here.
void AnomalyDetector::OnCoalesced(const CoalescedDecisions& b) {
  Advance(b.last);
  for (const CoalescedReplica& x : b.replicas) {
    Replica* r = FindOrAdd(x.id);
    if (r == nullptr) continue;
    r->tick.sent += static_cast<std::uint32_t>(x.sent);
    r->tick.ended += static_cast<std::uint32_t>(x.served + x.failed);
    r->tick.failed += static_cast<std::uint32_t>(x.failed);
  }
}

void AnomalyDetector::OnRecord(const Record& record) {
  if (const auto* s = std::get_if<Start>(&record)) return OnStart(s->settings);
  if (const auto* d = std::get_if<Decision>(&record)) return OnDecision(d->now, d->event, d->actions);
  if (const auto* r = std::get_if<EndpointListRecord>(&record); r != nullptr && !r->repeated)
    return OnEndpointList(r->now, r->source, r->unavailable_reason);
  if (const auto* b = std::get_if<CoalescedDecisions>(&record)) return OnCoalesced(*b);
}

// ---- A tick ----

void AnomalyDetector::ComputeValues(Replica& r, double usual_sent, double load_scale) {
  const Counts& c = r.tick;
  const double ended = c.ended;
  auto& now = r.now;
  now = {};
  if (c.ended > 0) {
    // Of few attempts, one that fails is a large share: the floor is the error of a share near 2 in 100.
    const double floor = kFloorError + std::sqrt(0.03 / ended);
    now[0] = Value{c.failed / ended, floor};
    now[3] = Value{c.full / ended, floor + kFloorError};
  }
  // Few first tokens say little: they are gathered until there are some, or they get old.
  if (c.first_n > 0 &&
      (c.first_n >= options_.min_first_tokens || ++r.first_ticks >= options_.max_first_token_ticks))
    now[1] = Value{c.first_sum / c.first_n, kFloorFirst + kSpread / std::sqrt(c.first_n)};
  if (r.load >= 0 && now_ - r.load_at < kLoadFresh) now[2] = Value{r.load, kFloorLoad * load_scale + 1};
  if (usual_sent >= 1 && r.phase == EndpointState::kReady)
    now[4] = Value{c.sent / usual_sent, kFloorShare + 1.5 / std::sqrt(usual_sent)};
}

void AnomalyDetector::Tick(Time at) {
  double sent = 0;
  double ready = 0;
  double loads = 0;
  double loaded = 0;
  for (const auto& [id, r] : replicas_) {
    sent += r.tick.sent;
    if (r.phase == EndpointState::kReady) ++ready;
    if (r.load >= 0 && now_ - r.load_at < kLoadFresh) {
      loads += r.load;
      ++loaded;
    }
  }
  for (auto& [id, r] : replicas_)
    ComputeValues(r, ready > 0 ? sent / ready : 0, loaded > 0 ? loads / loaded : 0);

  std::vector<double> others;
  for (std::size_t k = 0; k < kSeries; ++k) {
    const auto kind = static_cast<AnomalyKind>(k);
    others.clear();
    double floors = 0;
    for (const auto& [id, r] : replicas_) {
      if (!r.now[k]) continue;
      others.push_back(r.now[k]->x);
      floors += r.now[k]->floor;
    }
    if (others.empty()) {
      if (fleet_[k].number != 0)
        UpdateSeries(fleet_[k], at, kind, true, 0, fleet_[k].baseline.median(), 0, 0);
      continue;
    }
    const double n = static_cast<double>(others.size());
    const double median = MedianOf(others);
    const double scale = ScaleOf(others, median);
    const bool compare = others.size() >= kFewestPeers;
    for (auto& [id, r] : replicas_) {
      Series& s = r.series[k];
      if (!r.now[k]) {
        // Silence is no departure, and no return either, but an event must not last for ever.
        if (s.number != 0) UpdateSeries(s, at, kind, false, id, s.baseline.median(), 0, median);
        continue;
      }
      if (at - r.ready_since < kWarmUp) continue;
      const Value& v = *r.now[k];
      const double own = s.baseline.size() < options_.min_baseline_values
                             ? 0
                             : (v.x - s.baseline.median()) / std::max(s.baseline.scale(), v.floor);
      const double apart = (v.x - median) / std::max(scale, v.floor);
      double d = 0;
      if (compare && own * apart > 0) d = std::copysign(std::min(std::abs(own), std::abs(apart)), own);
      // Without peers there is nothing to tell one replica's doing from the fleet's: it stays with the fleet.
      UpdateSeries(s, at, kind, false, id, v.x, d, median);
    }
    if (kind == AnomalyKind::kTrafficShare) continue;  // the shares of all are always the same
    Series& f = fleet_[k];
    const double floor = floors / n / std::sqrt(std::max(1.0, n / 2));
    const double d = f.baseline.size() < options_.min_baseline_values
                         ? 0
                         : (median - f.baseline.median()) / std::max(f.baseline.scale(), floor);
    UpdateSeries(f, at, kind, true, 0, median, d, median);
  }

  for (auto& [id, r] : replicas_) {
    const bool refuses = r.phase == EndpointState::kReady && r.refused >= options_.min_refused_connects &&
                         at - r.refused_since >= options_.min_refused_time;
    if (refuses && r.contradicted == 0) {
      r.contradicted = BeginAnomaly({.now = at,
                                     .kind = AnomalyKind::kEndpointListContradicted,
                                     .replica = id,
                                     .since = r.refused_since,
                                     .during = static_cast<double>(r.refused)});
    } else if (r.contradicted != 0 && (r.refused == 0 || r.phase != EndpointState::kReady)) {
      EndContradicted(id, r, at);
    }
    const Counts gathered = r.tick;
    r.tick = {};
    if (r.now[1]) {
      r.first_ticks = 0;
    } else {
      r.tick.first_n = gathered.first_n;
      r.tick.first_sum = gathered.first_sum;
    }
  }
  if (cached_only_ && behind_ == 0 && at - behind_since_ >= options_.stale_after) {
    behind_ = BeginAnomaly(
        {.now = at, .kind = AnomalyKind::kEndpointListStale, .fleet = true, .since = behind_since_});
  }
}

void AnomalyDetector::UpdateSeries(Series& s, Time at, AnomalyKind kind, bool fleet, policy::ReplicaId id,
                                   double x, double distance, double peers) {
  if (s.number == 0) {
    s.baseline.Add(x, options_.baseline_values);
    const auto sum = [&](double& total, Time& since, double d) {
      const double before = total;
      total = std::max(0.0, total + std::min(d, options_.max_distance) - options_.slack);
      if (before == 0 && total > 0) since = at - options_.tick;
    };
    sum(s.up, s.up_since, distance);
    sum(s.down, s.down_since, -distance);
    // Fewer errors, refusals or less load than usual is no news; a share may depart both ways.
    const bool both = kind == AnomalyKind::kTrafficShare;
    const bool up = s.up > options_.alarm_sum;
    const bool down = both && s.down > options_.alarm_sum;
    if (!up && !down) return;
    s.rising = up;
    s.began = up ? s.up_since : s.down_since;
    s.before = s.baseline.median();
    s.sum = x;
    s.n = 1;
    s.calm = 0;
    s.peers = peers;
    s.number = BeginAnomaly({.now = at,
                             .kind = kind,
                             .fleet = fleet,
                             .replica = id,
                             .since = s.began,
                             .baseline = Displayed(kind, s.before),
                             .during = Displayed(kind, x),
                             .peers = Displayed(kind, peers)});
    return;
  }
  s.sum += x;
  ++s.n;
  const double d = s.rising ? distance : -distance;
  s.calm = d < options_.calm_distance ? s.calm + 1 : 0;
  if (s.calm >= options_.calm_ticks) return EndSeries(s, at, kind, fleet, id);
  // What lasts becomes the usual: the past takes it up slowly, so that a change for good ends as an event.
  if (s.n % 4 == 0) s.baseline.Add(x, options_.baseline_values);
}

void AnomalyDetector::EndSeries(Series& s, Time at, AnomalyKind kind, bool fleet, policy::ReplicaId id) {
  EndAnomaly({.now = at,
              .number = std::exchange(s.number, 0),
              .kind = kind,
              .fleet = fleet,
              .replica = id,
              .since = s.began,
              .baseline = Displayed(kind, s.before),
              .during = Displayed(kind, s.sum / std::max(1, s.n)),
              .peers = Displayed(kind, s.peers)});
  s.up = s.down = 0;
  s.calm = 0;
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
