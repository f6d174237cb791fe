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

constexpr std::size_t kMostGenerations = 65536;

LaneState StateOf(EndpointState phase) {
  return phase == EndpointState::kReady      ? LaneState::kReady
         : phase == EndpointState::kDraining ? LaneState::kDraining
                                             : LaneState::kGone;
}

}  // namespace

const char* Name(LaneState state) {
  static constexpr const char* kNames[] = {"unlisted", "ready", "draining", "gone", "unknown"};
  const auto n = static_cast<std::size_t>(state);
  return n < std::size(kNames) ? kNames[n] : "?";
}

void LaneBin::Add(const LaneBin& o) {
  sent += o.sent;
  served += o.served;
  failed += o.failed;
  full += o.full;
  cancelled += o.cancelled;
  first_n += o.first_n;
  first_sum += o.first_sum;
  first_most = std::max(first_most, o.first_most);
  in_flight = std::max(in_flight, o.in_flight);
  if (o.load >= 0) {
    load = o.load;
    load_age = o.load_age;
  }
}

void FleetBin::Add(const FleetBin& o) {
  arrived += o.arrived;
  sent += o.sent;
  served += o.served;
  refused += o.refused;
  failed += o.failed;
  gone += o.gone;
  coalesced += o.coalesced;
}

std::string Lane::Title() const { return name.empty() ? fmt::format("{:08x}", id) : name; }

std::string Lanes::TitleOf(policy::ReplicaId id) const {
  const auto it = lanes_.find(id);
  return it == lanes_.end() ? fmt::format("{:08x}", id) : it->second.Title();
}

std::uint32_t Lanes::bins() const {
  return begun_ ? static_cast<std::uint32_t>((end_ - begin_) / width_) + 1 : 0;
}

Lane* Lanes::At(policy::ReplicaId id) {
  const auto it = lanes_.find(id);
  if (it != lanes_.end()) return &it->second;
  if (lanes_.size() >= options_.most_lanes) {
    ++lanes_left_out_;
    return nullptr;
  }
  Lane& lane = lanes_[id];
  lane.id = id;
  return &lane;
}

const LaneSpan* Lanes::At(const Lane& lane, Time when) {
  const auto it = std::upper_bound(lane.spans.begin(), lane.spans.end(), when,
                                   [](Time t, const LaneSpan& s) { return t < s.from; });
  return it == lane.spans.begin() ? nullptr : &*std::prev(it);
}

void Lanes::Fold() {
  width_ *= 2;
  const auto fold = [](auto& bins) {
    std::remove_reference_t<decltype(bins)> folded;
    for (const auto& [n, bin] : bins) folded[n / 2].Add(bin);
    bins = std::move(folded);
  };
  fold(fleet_);
  for (auto& [id, lane] : lanes_) fold(lane.bins);
}

std::uint32_t Lanes::BinOf(Time at) {
  at = std::max(at, begin_);
  while ((at - begin_) / width_ >= static_cast<Time>(options_.most_bins)) Fold();
  return static_cast<std::uint32_t>((at - begin_) / width_);
}

void Lanes::Mark(std::vector<LaneMark>& marks, Time at, std::string text, Lane* lane) {
  if (marks.size() < options_.most_items) {
    marks.push_back({at, std::move(text)});
  } else if (lane != nullptr) {
    ++lane->left_out;
  }
}

void Lanes::Set(Lane& lane, Time at, LaneState state, std::string why) {
  const bool unknown = state == LaneState::kUnknown;
  LaneState known = state;
  if (!lane.spans.empty()) {
    LaneSpan& last = lane.spans.back();
    if (unknown) known = last.state == LaneState::kUnknown ? last.known : last.state;
    if (last.state == state && last.known == known) return;
    // Who is gone or was never listed does not become unknown: nobody says that it is there.
    if (unknown && (known == LaneState::kGone || known == LaneState::kUnlisted)) return;
    if (last.from == at) {  // told twice at one moment: what came last holds
      last = {at, 0, state, known, std::move(why)};
      return;
    }
    if (lane.spans.size() >= options_.most_items) {
      ++lane.left_out;
      // The newest is the one that is asked for; what was before it runs together.
      last.state = state;
      last.known = known;
      last.why = std::move(why);
      return;
    }
    last.to = at;
  }
  lane.spans.push_back({at, 0, state, known, std::move(why)});
}

void Lanes::AllUnknown(Time at, const std::string& why) {
  for (auto& [id, lane] : lanes_) {
    if (!lane.spans.empty()) Set(lane, at, LaneState::kUnknown, why);
  }
}

void Lanes::Take(const Record& record) {
  if (const auto* start = std::get_if<Start>(&record)) {
    // A process that starts earlier than the last one ended has another clock: times go on from there.
    shift_ = 0;
    if (begun_ && start->now < end_) {
      shift_ = end_ - start->now;
      Mark(marks_, end_,
           fmt::format("the clock stepped back by {:.1f} s; times are shifted",
                       static_cast<double>(shift_) / 1e6),
           nullptr);
    }
    const Time now = start->now + shift_;
    if (!begun_) begin_ = std::max(now, options_.from);
    begun_ = true;
    end_ = std::max({end_, now, begin_});
    node_ = start->node;
    load_field_ = LoadFieldOf(start->settings);
    Mark(marks_, now, "the node starts", nullptr);
    AllUnknown(now, "the node starts");
    for (auto& [id, lane] : lanes_) {
      lane.out = 0;
      lane.load = -1;
    }
    told_ = dark_ = hole_ = false;
    generation_ = 0;
    return;
  }
  if (const auto* gap = std::get_if<Gap>(&record)) {
    if (!begun_) return;
    hole_ = true;
    Mark(marks_, end_,
         gap->records > 0 ? fmt::format("{} records were not kept", gap->records) : "records are missing",
         nullptr);
    return;
  }
  const Time said = TimeOf(record);
  const Time now = std::max(end_, said + shift_);  // within a run time never steps back
  if ((options_.from != 0 && said < options_.from) || (options_.to != 0 && said > options_.to)) {
    // Outside of what is asked for only the roster's word is followed, so that states are right when it
    // begins.
    const auto* d = std::get_if<Decision>(&record);
    const bool roster = std::holds_alternative<Member>(record) || std::holds_alternative<Roster>(record) ||
                        (d != nullptr && std::holds_alternative<policy::EndpointList>(d->event));
    if (!roster || (options_.to != 0 && said > options_.to)) return;
  }
  if (!begun_) {
    begun_ = true;
    begin_ = now;
  }
  end_ = now;
  if (std::exchange(hole_, false)) {
    AllUnknown(now, "a hole in the record");
    for (auto& [id, lane] : lanes_) lane.out = 0;
  }
  if (const auto* d = std::get_if<Decision>(&record)) return On(*d, now);
  if (const auto* b = std::get_if<Burst>(&record)) return On(*b, now);
  if (const auto* m = std::get_if<Member>(&record)) {
    Lane* lane = At(m->id);
    if (lane == nullptr) return;
    if (!lane->address.empty() && lane->address != m->address)
      Mark(lane->marks, now, fmt::format("moved from {} to {}", lane->address, m->address), lane);
    lane->name = m->name;
    lane->address = m->address;
    if (m->again && !dark_) Set(*lane, now, StateOf(m->phase), "as before");
    return;
  }
  if (const auto* r = std::get_if<Roster>(&record)) {
    if (!r->why.empty()) {
      if (!dark_ && !r->again)
        Mark(marks_, now, fmt::format("roster dark: {} {}", r->source, r->why), nullptr);
      dark_ = true;
      return AllUnknown(now, fmt::format("roster dark: {} {}", r->source, r->why));
    }
    source_ = r->source;
    // The first list after a start only catches up; later ones are told to all nodes at about the same time.
    if (!r->again && told_ && r->generation > generation_ && r->source == "watch" &&
        generations_.size() < kMostGenerations)
      generations_.emplace(r->generation, now);
    generation_ = std::max(generation_, r->generation);
    return;
  }
  if (const auto* t = std::get_if<Tier>(&record)) {
    return Mark(marks_, now,
                fmt::format("{}{}{}; {} nodes", t->what, t->member.empty() ? "" : " " + t->member,
                            t->by.empty() ? "" : " by " + t->by, t->live),
                nullptr);
  }
  if (const auto* n = std::get_if<Note>(&record)) {
    if (const auto* end = std::get_if<policy::ConclusionRecord>(&n->what)) {
      const auto why = static_cast<std::size_t>(end->reason);
      if (why < whys_.size()) ++whys_[why];
    }
    if (const auto* rest = std::get_if<policy::EjectionRecord>(&n->what)) {
      Lane* lane = At(rest->replica);
      if (lane == nullptr) return;
      const LaneRest r{now, rest->ejected_until + shift_, rest->outcome, rest->consecutive_failures};
      if (!lane->rests.empty() && lane->rests.back().until >= r.from &&
          lane->rests.back().outcome == r.outcome) {
        lane->rests.back().until = std::max(lane->rests.back().until, r.until);
        lane->rests.back().failures = std::max(lane->rests.back().failures, r.failures);
      } else if (lane->rests.size() < options_.most_items) {
        lane->rests.push_back(r);
      } else {
        ++lane->left_out;
      }
    }
    return;
  }
  if (const auto* u = std::get_if<Unusual>(&record)) {
    Unusual shifted = *u;
    shifted.now = now;
    shifted.since += shift_;
    if (unusual_.size() < 4 * options_.most_items) unusual_.push_back(shifted);
  }
}

void Lanes::On(Time now, const policy::EndpointList& list) {
  if (list.scope == EndpointListScope::kFailed) {
    dark_ = true;
    return AllUnknown(now, "roster dark");
  }
  const bool cached = list.scope == EndpointListScope::kCached;
  const std::string source = source_.empty() ? "the list" : source_;
  if (!cached) {
    if (dark_) Mark(marks_, now, "the roster is back", nullptr);
    dark_ = false;
    told_ = true;
  }
  std::map<policy::ReplicaId, bool> listed;
  for (const policy::Endpoint& e : list.endpoints) {
    Lane* lane = At(e.id);
    if (lane == nullptr) continue;
    listed[e.id] = true;
    if (!cached) {
      Set(*lane, now, StateOf(e.state), source);
    } else if (lane->spans.empty()) {
      // What a node once knew is no word about now.
      lane->spans.push_back({now, 0, LaneState::kUnknown, StateOf(e.state), "only what the node once knew"});
    }
  }
  if (cached) return;
  for (auto& [id, lane] : lanes_) {
    if (listed.contains(id) || lane.spans.empty()) continue;
    if (list.scope == EndpointListScope::kFull) {
      Set(lane, now, LaneState::kGone, source + ", by leaving it out");
    } else if (lane.spans.back().state == LaneState::kUnknown) {
      Set(lane, now, lane.spans.back().known,
          source);  // a change of others says that this one has not changed
    }
  }
}

void Lanes::On(const Decision& d, Time now) {
  const std::uint32_t n = BinOf(now);
  if (const auto* list = std::get_if<policy::EndpointList>(&d.event)) {
    On(now, *list);
  } else if (std::holds_alternative<policy::RequestArrived>(d.event)) {
    ++fleet_[n].arrived;
  } else if (std::holds_alternative<policy::ClientDisconnected>(d.event)) {
    ++fleet_[n].gone;
  } else if (const auto* started = std::get_if<policy::ResponseStarted>(&d.event)) {
    if (Lane* lane = At(started->replica)) {
      LaneBin& bin = lane->bins[n];
      const double ms = static_cast<double>(started->elapsed) / 1000;
      ++bin.first_n;
      bin.first_sum += ms;
      bin.first_most = std::max(bin.first_most, ms);
    }
  } else if (const auto* ended = std::get_if<policy::AttemptEnded>(&d.event)) {
    if (Lane* lane = At(ended->replica)) {
      LaneBin& bin = lane->bins[n];
      lane->out = std::max(0, lane->out - 1);
      switch (ended->outcome) {
        case Outcome::kServed:
          ++bin.served;
          ++fleet_[n].served;
          break;
        case Outcome::kAtCapacity:
          ++bin.full;
          break;
        case Outcome::kCancelled:
        case Outcome::kNotSent:
          ++bin.cancelled;
          break;
        default:
          ++bin.failed;
      }
      if (ended->load_report.size() > load_field_) {
        lane->load = bin.load = ended->load_report[load_field_];
        lane->load_at = now;
        bin.load_age = -1;
      }
    }
  } else if (const auto* probe = std::get_if<policy::HealthCheckCompleted>(&d.event)) {
    if (Lane* lane = At(probe->replica); lane != nullptr && probe->load_report.size() > load_field_) {
      lane->load = lane->bins[n].load = probe->load_report[load_field_];
      lane->load_at = now;
    }
  }
  for (const policy::Action& a : d.actions) {
    if (std::holds_alternative<policy::RejectRequest>(a)) ++fleet_[n].refused;
    if (std::holds_alternative<policy::FailRequest>(a)) ++fleet_[n].failed;
    if (const auto* send = std::get_if<policy::SendAttempt>(&a)) {
      ++fleet_[n].sent;
      if (Lane* lane = At(send->replica)) {
        LaneBin& bin = lane->bins[n];
        ++bin.sent;
        bin.in_flight = std::max(bin.in_flight, ++lane->out);
        if (bin.load < 0 && lane->load >= 0) {
          bin.load = lane->load;
          bin.load_age = static_cast<double>(now - lane->load_at) / 1e6;
        }
      }
    }
  }
}

void Lanes::On(const Burst& b, Time now) {
  const std::uint32_t n = BinOf(now);
  FleetBin& fleet = fleet_[n];
  fleet.arrived += static_cast<std::uint32_t>(b.arrived);
  fleet.sent += static_cast<std::uint32_t>(b.sent);
  fleet.refused += static_cast<std::uint32_t>(b.refused);
  fleet.failed += static_cast<std::uint32_t>(b.failed);
  fleet.coalesced += b.decisions;
  if (!b.outcomes.empty()) fleet.served += static_cast<std::uint32_t>(b.outcomes.front());
  for (const BurstReplica& r : b.replicas) {
    if (Lane* lane = At(r.id)) {
      LaneBin& bin = lane->bins[n];
      bin.sent += static_cast<std::uint32_t>(r.sent);
      bin.served += static_cast<std::uint32_t>(r.served);
      bin.failed += static_cast<std::uint32_t>(r.failed);
    }
  }
  for (auto& [id, lane] : lanes_) lane.out = 0;
  Mark(marks_, now, fmt::format("{} decisions counted, not kept", b.decisions), nullptr);
  if (b.lists > 0) AllUnknown(now, "lists among what was only counted");
}

void Lanes::Close() {
  for (auto& [id, lane] : lanes_) {
    if (!lane.spans.empty() && lane.spans.back().to == 0)
      lane.spans.back().to = std::max(end_, lane.spans.back().from);
  }
}

}  // namespace ryeglade::timeline
