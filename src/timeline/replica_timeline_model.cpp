#include "timeline/replica_timeline_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "timeline/verify.h"

namespace ryeglade::timeline {
namespace {

using policy::EndpointListScope;
using policy::EndpointState;
using policy::Outcome;

constexpr std::size_t kMaxGenerations = 65536;

ReplicaState StateOf(EndpointState state) {
  if (state == EndpointState::kReady) return ReplicaState::kReady;
  return state == EndpointState::kDraining ? ReplicaState::kDraining : ReplicaState::kGone;
}

}  // namespace

const char* Name(ReplicaState state) {
  static constexpr const char* kNames[] = {"unlisted", "ready", "draining", "gone", "unknown"};
  const auto n = static_cast<std::size_t>(state);
  return n < std::size(kNames) ? kNames[n] : "?";
}

void ReplicaBin::Add(const ReplicaBin& other) {
  sent += other.sent;
  served += other.served;
  failed += other.failed;
  at_capacity += other.at_capacity;
  cancelled += other.cancelled;
  first_tokens += other.first_tokens;
  first_token_sum += other.first_token_sum;
  first_token_max = std::max(first_token_max, other.first_token_max);
  in_flight = std::max(in_flight, other.in_flight);
  if (other.load >= 0) {
    load = other.load;
    load_age = other.load_age;
  }
}

void FleetBin::Add(const FleetBin& other) {
  arrived += other.arrived;
  sent += other.sent;
  served += other.served;
  rejected += other.rejected;
  failed += other.failed;
  disconnected += other.disconnected;
  coalesced += other.coalesced;
}

std::string ReplicaTimeline::Title() const { return name.empty() ? fmt::format("{:08x}", id) : name; }

std::string ReplicaTimelines::ReplicaTitle(policy::ReplicaId id) const {
  const auto it = replicas_.find(id);
  return it == replicas_.end() ? fmt::format("{:08x}", id) : it->second.Title();
}

std::uint32_t ReplicaTimelines::bins() const {
  return begun_ ? static_cast<std::uint32_t>((end_ - begin_) / width_) + 1 : 0;
}

ReplicaTimeline* ReplicaTimelines::FindOrAdd(policy::ReplicaId id) {
  const auto it = replicas_.find(id);
  if (it != replicas_.end()) return &it->second;
  if (replicas_.size() >= options_.max_replicas) {
    ++dropped_replicas_;
    return nullptr;
  }
  ReplicaTimeline& replica = replicas_[id];
  replica.id = id;
  return &replica;
}

const StateSpan* ReplicaTimelines::SpanAt(const ReplicaTimeline& replica, Time when) {
  const auto it = std::upper_bound(replica.spans.begin(), replica.spans.end(), when,
                                   [](Time t, const StateSpan& s) { return t < s.from; });
  return it == replica.spans.begin() ? nullptr : &*std::prev(it);
}

void ReplicaTimelines::MergeBins() {
  width_ *= 2;
  const auto fold = [](auto& bins) {
    std::remove_reference_t<decltype(bins)> folded;
    for (const auto& [n, bin] : bins) folded[n / 2].Add(bin);
    bins = std::move(folded);
  };
  fold(fleet_);
  for (auto& [id, replica] : replicas_) fold(replica.bins);
}

std::uint32_t ReplicaTimelines::BinIndex(Time at) {
  at = std::max(at, begin_);
  while ((at - begin_) / width_ >= static_cast<Time>(options_.max_bins)) MergeBins();
  return static_cast<std::uint32_t>((at - begin_) / width_);
}

void ReplicaTimelines::Annotate(std::vector<Annotation>& annotations, Time at, std::string text,
                                ReplicaTimeline* replica) {
  if (annotations.size() < options_.max_items) {
    annotations.push_back({at, std::move(text)});
  } else if (replica != nullptr) {
    ++replica->dropped_items;
  }
}

void ReplicaTimelines::SetState(ReplicaTimeline& replica, Time at, ReplicaState state, std::string reason) {
  const bool unknown = state == ReplicaState::kUnknown;
  ReplicaState known = state;
  if (!replica.spans.empty()) {
    StateSpan& last = replica.spans.back();
    if (unknown) known = last.state == ReplicaState::kUnknown ? last.last_known : last.state;
    if (last.state == state && last.last_known == known) return;
    // A replica that was removed or never listed does not become unknown, as it is in no list.
    if (unknown && (known == ReplicaState::kGone || known == ReplicaState::kUnlisted)) return;
    if (last.from == at) {  // two states at the same time: the later one applies
      last = {at, 0, state, known, std::move(reason)};
      return;
    }
    if (replica.spans.size() >= options_.max_items) {
      ++replica.dropped_items;
      // The newest state matters most: the last span is overwritten, and keeps its begin.
      last.state = state;
      last.last_known = known;
      last.reason = std::move(reason);
      return;
    }
    last.to = at;
  }
  replica.spans.push_back({at, 0, state, known, std::move(reason)});
}

void ReplicaTimelines::SetAllUnknown(Time at, const std::string& reason) {
  for (auto& [id, replica] : replicas_) {
    if (!replica.spans.empty()) SetState(replica, at, ReplicaState::kUnknown, reason);
  }
}

void ReplicaTimelines::AddRecord(const Record& record) {
  if (const auto* start = std::get_if<Start>(&record)) return OnStart(*start);
  if (const auto* gap = std::get_if<Gap>(&record)) return OnGap(*gap);
  const Time recorded_at = RecordTime(record);
  if (IsOutsideBounds(record, recorded_at)) return;
  const Time now = std::max(end_, recorded_at + shift_);  // times do not decrease
  if (!begun_) {
    begun_ = true;
    begin_ = now;
  }
  end_ = now;
  if (std::exchange(after_gap_, false)) {
    SetAllUnknown(now, "records are missing");
    for (auto& [id, replica] : replicas_) replica.outstanding = 0;
  }
  if (const auto* decision = std::get_if<Decision>(&record)) return OnDecision(*decision, now);
  if (const auto* coalesced = std::get_if<CoalescedDecisions>(&record)) return OnCoalesced(*coalesced, now);
  if (const auto* endpoint = std::get_if<EndpointRecord>(&record)) return OnEndpoint(*endpoint, now);
  if (const auto* list = std::get_if<EndpointListRecord>(&record)) return OnListSource(*list, now);
  if (const auto* event = std::get_if<ClusterEventRecord>(&record)) return OnClusterEvent(*event, now);
  if (const auto* reason = std::get_if<ReasonRecord>(&record)) return OnReason(*reason, now);
  if (const auto* anomaly = std::get_if<Anomaly>(&record)) return OnAnomaly(*anomaly, now);
}

void ReplicaTimelines::OnStart(const Start& start) {
  // If the start is recorded with a time before the end of the previous process, the clock has stepped back.
  // The times that follow are shifted, to continue from that end.
  shift_ = 0;
  if (begun_ && start.now < end_) {
    shift_ = end_ - start.now;
    Annotate(annotations_, end_,
             fmt::format("the clock stepped back by {:.1f} s; times are shifted",
                         static_cast<double>(shift_) / 1e6),
             nullptr);
  }
  const Time now = start.now + shift_;
  if (!begun_) begin_ = std::max(now, options_.from);
  begun_ = true;
  end_ = std::max({end_, now, begin_});
  node_ = start.node;
  load_field_ = LoadFieldOf(start.settings);
  Annotate(annotations_, now, "the node starts", nullptr);
  SetAllUnknown(now, "the node starts");
  for (auto& [id, replica] : replicas_) {
    replica.outstanding = 0;
    replica.load = -1;
  }
  list_received_ = false;
  list_unavailable_ = false;
  after_gap_ = false;
  generation_ = 0;
}

void ReplicaTimelines::OnGap(const Gap& gap) {
  if (!begun_) return;
  after_gap_ = true;
  Annotate(annotations_, end_,
           gap.records > 0 ? fmt::format("{} records were dropped", gap.records) : "records are missing",
           nullptr);
}

// Endpoint lists before `from` are still applied, so that the states are right at `from`.
bool ReplicaTimelines::IsOutsideBounds(const Record& record, Time recorded_at) const {
  if (options_.to != 0 && recorded_at > options_.to) return true;
  if (options_.from == 0 || recorded_at >= options_.from) return false;
  const auto* decision = std::get_if<Decision>(&record);
  const bool of_endpoints =
      std::holds_alternative<EndpointRecord>(record) || std::holds_alternative<EndpointListRecord>(record) ||
      (decision != nullptr && std::holds_alternative<policy::EndpointList>(decision->event));
  return !of_endpoints;
}

void ReplicaTimelines::OnEndpoint(const EndpointRecord& endpoint, Time now) {
  ReplicaTimeline* replica = FindOrAdd(endpoint.id);
  if (replica == nullptr) return;
  if (!replica->address.empty() && replica->address != endpoint.address)
    Annotate(replica->annotations, now,
             fmt::format("moved from {} to {}", replica->address, endpoint.address), replica);
  replica->name = endpoint.name;
  replica->address = endpoint.address;
  if (endpoint.repeated && !list_unavailable_)
    SetState(*replica, now, StateOf(endpoint.state), "repeated record");
}

void ReplicaTimelines::OnListSource(const EndpointListRecord& list, Time now) {
  if (!list.unavailable_reason.empty()) {
    const std::string text =
        fmt::format("endpoint list unavailable: {} {}", list.source, list.unavailable_reason);
    if (!list_unavailable_ && !list.repeated) Annotate(annotations_, now, text, nullptr);
    list_unavailable_ = true;
    return SetAllUnknown(now, text);
  }
  source_ = list.source;
  // The first list after a start only brings the node up to date. Later lists reach all nodes at about the
  // same time.
  const bool reaches_all =
      !list.repeated && list_received_ && list.generation > generation_ && list.source == "watch";
  if (reaches_all && generations_.size() < kMaxGenerations) generations_.emplace(list.generation, now);
  generation_ = std::max(generation_, list.generation);
}

void ReplicaTimelines::OnClusterEvent(const ClusterEventRecord& event, Time now) {
  Annotate(annotations_, now,
           fmt::format("{}{}{}; {} nodes", event.what, event.member.empty() ? "" : " " + event.member,
                       event.by.empty() ? "" : " by " + event.by, event.live),
           nullptr);
}

void ReplicaTimelines::OnReason(const ReasonRecord& record, Time now) {
  if (const auto* conclusion = std::get_if<policy::ConclusionRecord>(&record.reason)) {
    const auto reason = static_cast<std::size_t>(conclusion->reason);
    if (reason < conclusions_.size()) ++conclusions_[reason];
  }
  if (const auto* ejection = std::get_if<policy::EjectionRecord>(&record.reason)) {
    if (ReplicaTimeline* replica = FindOrAdd(ejection->replica))
      AddEjection(*replica,
                  {now, ejection->ejected_until + shift_, ejection->outcome, ejection->consecutive_failures});
  }
}

// An ejection that begins during the previous one, for the same outcome, extends it.
void ReplicaTimelines::AddEjection(ReplicaTimeline& replica, const EjectionSpan& ejection) {
  EjectionSpan* last = replica.ejections.empty() ? nullptr : &replica.ejections.back();
  if (last != nullptr && last->until >= ejection.from && last->outcome == ejection.outcome) {
    last->until = std::max(last->until, ejection.until);
    last->consecutive_failures = std::max(last->consecutive_failures, ejection.consecutive_failures);
  } else if (replica.ejections.size() < options_.max_items) {
    replica.ejections.push_back(ejection);
  } else {
    ++replica.dropped_items;
  }
}

void ReplicaTimelines::OnAnomaly(const Anomaly& anomaly, Time now) {
  if (anomalies_.size() >= 4 * options_.max_items) return;
  anomalies_.push_back(anomaly);
  anomalies_.back().now = now;
  anomalies_.back().since += shift_;
}

void ReplicaTimelines::OnEndpointList(Time now, const policy::EndpointList& list) {
  if (list.scope == EndpointListScope::kFailed) {
    list_unavailable_ = true;
    return SetAllUnknown(now, "endpoint list unavailable");
  }
  const bool cached = list.scope == EndpointListScope::kCached;
  const std::string source = source_.empty() ? "the endpoint list" : source_;
  if (!cached) {
    if (list_unavailable_) Annotate(annotations_, now, "endpoint list available again", nullptr);
    list_unavailable_ = false;
    list_received_ = true;
  }
  std::map<policy::ReplicaId, bool> listed;
  for (const policy::Endpoint& e : list.endpoints) {
    ReplicaTimeline* replica = FindOrAdd(e.id);
    if (replica == nullptr) continue;
    listed[e.id] = true;
    if (!cached) {
      SetState(*replica, now, StateOf(e.state), source);
    } else if (replica->spans.empty()) {
      // A cached list says nothing about the present state.
      replica->spans.push_back(
          {now, 0, ReplicaState::kUnknown, StateOf(e.state), "only the cached endpoint list is known"});
    }
  }
  if (cached) return;
  for (auto& [id, replica] : replicas_) {
    if (listed.contains(id) || replica.spans.empty()) continue;
    if (list.scope == EndpointListScope::kFull) {
      SetState(replica, now, ReplicaState::kGone, source + ", not listed");
    } else if (replica.spans.back().state == ReplicaState::kUnknown) {
      SetState(replica, now, replica.spans.back().last_known,
               source);  // a delta that does not name the replica implies that it has not changed
    }
  }
}

void ReplicaTimelines::OnDecision(const Decision& decision, Time now) {
  const std::uint32_t n = BinIndex(now);
  if (const auto* list = std::get_if<policy::EndpointList>(&decision.event)) {
    OnEndpointList(now, *list);
  } else if (std::holds_alternative<policy::RequestArrived>(decision.event)) {
    ++fleet_[n].arrived;
  } else if (std::holds_alternative<policy::ClientDisconnected>(decision.event)) {
    ++fleet_[n].disconnected;
  } else if (const auto* started = std::get_if<policy::ResponseStarted>(&decision.event)) {
    OnResponseStarted(*started, n);
  } else if (const auto* ended = std::get_if<policy::AttemptEnded>(&decision.event)) {
    OnAttemptEnded(*ended, n, now);
  } else if (const auto* check = std::get_if<policy::HealthCheckCompleted>(&decision.event)) {
    ReplicaTimeline* replica = FindOrAdd(check->replica);
    if (replica != nullptr && check->load_report.size() > load_field_) {
      replica->load = replica->bins[n].load = check->load_report[load_field_];
      replica->load_at = now;
    }
  }
  for (const policy::Action& action : decision.actions) {
    if (std::holds_alternative<policy::RejectRequest>(action)) ++fleet_[n].rejected;
    if (std::holds_alternative<policy::FailRequest>(action)) ++fleet_[n].failed;
    if (const auto* send = std::get_if<policy::SendAttempt>(&action)) OnSendAttempt(*send, n, now);
  }
}

void ReplicaTimelines::OnResponseStarted(const policy::ResponseStarted& started, std::uint32_t n) {
  ReplicaTimeline* replica = FindOrAdd(started.replica);
  if (replica == nullptr) return;
  ReplicaBin& bin = replica->bins[n];
  const double ms = static_cast<double>(started.elapsed) / 1000;
  ++bin.first_tokens;
  bin.first_token_sum += ms;
  bin.first_token_max = std::max(bin.first_token_max, ms);
}

void ReplicaTimelines::OnAttemptEnded(const policy::AttemptEnded& ended, std::uint32_t n, Time now) {
  ReplicaTimeline* replica = FindOrAdd(ended.replica);
  if (replica == nullptr) return;
  ReplicaBin& bin = replica->bins[n];
  replica->outstanding = std::max(0, replica->outstanding - 1);
  switch (ended.outcome) {
    case Outcome::kServed:
      ++bin.served;
      ++fleet_[n].served;
      break;
    case Outcome::kAtCapacity:
      ++bin.at_capacity;
      break;
    case Outcome::kCancelled:
    case Outcome::kNotSent:
      ++bin.cancelled;
      break;
    default:
      ++bin.failed;
  }
  if (ended.load_report.size() > load_field_) {
    replica->load = bin.load = ended.load_report[load_field_];
    replica->load_at = now;
    bin.load_age = -1;
  }
}

void ReplicaTimelines::OnSendAttempt(const policy::SendAttempt& send, std::uint32_t n, Time now) {
  ++fleet_[n].sent;
  ReplicaTimeline* replica = FindOrAdd(send.replica);
  if (replica == nullptr) return;
  ReplicaBin& bin = replica->bins[n];
  ++bin.sent;
  bin.in_flight = std::max(bin.in_flight, ++replica->outstanding);
  if (bin.load < 0 && replica->load >= 0) {
    bin.load = replica->load;
    bin.load_age = static_cast<double>(now - replica->load_at) / 1e6;
  }
}

void ReplicaTimelines::OnCoalesced(const CoalescedDecisions& coalesced, Time now) {
  const std::uint32_t n = BinIndex(now);
  FleetBin& fleet = fleet_[n];
  fleet.arrived += static_cast<std::uint32_t>(coalesced.arrived);
  fleet.sent += static_cast<std::uint32_t>(coalesced.sent);
  fleet.rejected += static_cast<std::uint32_t>(coalesced.rejected);
  fleet.failed += static_cast<std::uint32_t>(coalesced.failed);
  fleet.coalesced += coalesced.decisions;
  if (!coalesced.outcomes.empty()) fleet.served += static_cast<std::uint32_t>(coalesced.outcomes.front());
  for (const CoalescedReplica& r : coalesced.replicas) {
    if (ReplicaTimeline* replica = FindOrAdd(r.id)) {
      ReplicaBin& bin = replica->bins[n];
      bin.sent += static_cast<std::uint32_t>(r.sent);
      bin.served += static_cast<std::uint32_t>(r.served);
      bin.failed += static_cast<std::uint32_t>(r.failed);
    }
  }
  for (auto& [id, replica] : replicas_) replica.outstanding = 0;
  Annotate(annotations_, now, fmt::format("{} decisions coalesced", coalesced.decisions), nullptr);
  if (coalesced.endpoint_lists > 0) SetAllUnknown(now, "endpoint lists among the coalesced decisions");
}

void ReplicaTimelines::Close() {
  for (auto& [id, replica] : replicas_) {
    if (!replica.spans.empty() && replica.spans.back().to == 0)
      replica.spans.back().to = std::max(end_, replica.spans.back().from);
  }
}

}  // namespace ryeglade::timeline
