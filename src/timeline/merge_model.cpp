#include "timeline/merge_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

namespace ryeglade::timeline {
namespace {

constexpr std::size_t kMostDisagreements = 4096;

Time MedianOf(std::vector<Time> v) {
  const auto middle = v.begin() + static_cast<std::ptrdiff_t>(v.size() / 2);
  std::nth_element(v.begin(), middle, v.end());
  return *middle;
}

// What is known counts more than what is not; of what two nodes know, the one that keeps work away.
int Rank(ReplicaState s) {
  switch (s) {
    case ReplicaState::kDraining:
      return 4;
    case ReplicaState::kReady:
      return 3;
    case ReplicaState::kGone:
      return 2;
    case ReplicaState::kUnknown:
      return 1;
    case ReplicaState::kUnlisted:
      return 0;
  }
  return 0;
}

}  // namespace

TimelineMerge::TimelineMerge(const std::vector<ReplicaTimelines>& nodes) {
  Time begin = std::numeric_limits<Time>::max(), end = 0, width = 1;
  std::uint32_t most_bins = 1;
  for (const ReplicaTimelines& n : nodes) {
    MergedNode m{n.node()};
    std::vector<Time> differences;
    if (!nodes_.empty()) {
      for (const auto& [generation, at] : n.generations()) {
        const auto first = nodes.front().generations().find(generation);
        if (first != nodes.front().generations().end()) differences.push_back(first->second - at);
      }
    }
    if (!differences.empty()) {
      m.offset = MedianOf(differences);
      m.common = differences.size();
      for (Time& d : differences) d = std::abs(d - m.offset);
      m.spread = MedianOf(differences);
    }
    nodes_.push_back(m);
    if (n.bins() == 0) continue;
    begin = std::min(begin, n.begin() + m.offset);
    end = std::max(end, n.end() + m.offset);
    width = std::max(width, n.width());
    most_bins = std::max(most_bins, n.options_.max_bins);
  }
  merged_.width_ = width;
  if (end == 0) return;
  merged_.begun_ = true;
  merged_.begin_ = begin;
  merged_.end_ = end;
  while ((end - begin) / merged_.width_ >= static_cast<Time>(most_bins)) merged_.width_ *= 2;
  const auto bin_of = [&](const ReplicaTimelines& n, std::size_t i, std::uint32_t bin) {
    return static_cast<std::uint32_t>((n.BinStart(bin) + nodes_[i].offset - begin) / merged_.width_);
  };

  // By name: the number of a replica may differ where two names clash.
  std::map<std::string, std::vector<std::pair<std::size_t, const ReplicaTimeline*>>> by_name;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const ReplicaTimelines& n = nodes[i];
    for (const auto& [id, lane] : n.replicas()) by_name[lane.Title()].emplace_back(i, &lane);
    for (const auto& [bin, f] : n.fleet()) merged_.fleet_[bin_of(n, i, bin)].Add(f);
    for (std::size_t w = 0; w < merged_.conclusions_.size(); ++w)
      merged_.conclusions_[w] += n.conclusions()[w];
    merged_.dropped_replicas_ += n.dropped_replicas();
    for (const Annotation& m : n.annotations())
      merged_.annotations_.push_back({m.at + nodes_[i].offset, nodes_[i].name + ": " + m.text});
    merged_.node_ += (i > 0 ? "+" : "") + nodes_[i].name;
  }
  std::stable_sort(merged_.annotations_.begin(), merged_.annotations_.end(),
                   [](const Annotation& a, const Annotation& b) { return a.at < b.at; });

  std::vector<std::map<policy::ReplicaId, policy::ReplicaId>> ids(nodes.size());  // by node: theirs to ours
  for (const auto& [name, parts] : by_name) {
    policy::ReplicaId id = parts.front().second->id;
    while (merged_.replicas_.contains(id)) ++id;
    ReplicaTimeline& lane = merged_.replicas_[id];
    lane.id = id;
    for (const auto& [i, part] : parts) {
      ids[i][part->id] = id;
      if (!part->name.empty()) lane.name = part->name;
      lane.address = part->address;
      lane.dropped_items += part->dropped_items;
      // Nodes count in flight and load side by side: this node's add up, what the replica reports does not.
      std::map<std::uint32_t, ReplicaBin> folded;
      for (const auto& [bin, b] : part->bins) folded[bin_of(nodes[i], i, bin)].Add(b);
      for (const auto& [bin, b] : folded) {
        const std::int32_t before = lane.bins[bin].in_flight;
        lane.bins[bin].Add(b);
        lane.bins[bin].in_flight = before + b.in_flight;
      }
      for (EjectionSpan r : part->ejections) {
        r.from += nodes_[i].offset;
        r.until += nodes_[i].offset;
        lane.ejections.push_back(r);
      }
      for (const Annotation& m : part->annotations)
        lane.annotations.push_back({m.at + nodes_[i].offset, nodes_[i].name + ": " + m.text});
    }
    std::sort(lane.ejections.begin(), lane.ejections.end(),
              [](const EjectionSpan& a, const EjectionSpan& b) { return a.from < b.from; });
    Join(lane, lane.Title(), parts);
  }
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    for (Anomaly u : nodes[i].anomalies()) {
      u.now += nodes_[i].offset;
      u.since += nodes_[i].offset;
      u.number = u.number * nodes.size() + i;  // each node counts for itself
      if (const auto ours = ids[i].find(u.replica); !u.fleet && ours != ids[i].end())
        u.replica = ours->second;
      merged_.anomalies_.push_back(u);
    }
  }
  std::stable_sort(merged_.anomalies_.begin(), merged_.anomalies_.end(),
                   [](const Anomaly& a, const Anomaly& b) { return a.now < b.now; });
  std::sort(disagreements_.begin(), disagreements_.end(),
            [](const Disagreement& a, const Disagreement& b) { return a.from < b.from; });
}

// The states of one replica as all nodes together know them.
void TimelineMerge::Join(ReplicaTimeline& into, const std::string& replica,
                         const std::vector<std::pair<std::size_t, const ReplicaTimeline*>>& parts) {
  std::set<Time> cuts;
  for (const auto& [i, part] : parts) {
    for (const StateSpan& s : part->spans) {
      cuts.insert(s.from + nodes_[i].offset);
      cuts.insert(s.to + nodes_[i].offset);
    }
  }
  if (cuts.empty()) return;
  const Time last = *cuts.rbegin();
  for (const Time at : cuts) {
    if (at == last && !into.spans.empty()) break;
    StateSpan best{at, 0, ReplicaState::kUnlisted, ReplicaState::kUnlisted, ""};
    std::string said;
    bool differ = false;
    for (const auto& [i, part] : parts) {
      const StateSpan* s = ReplicaTimelines::SpanAt(*part, at - nodes_[i].offset);
      if (s == nullptr || (s->to != 0 && at - nodes_[i].offset >= s->to))
        continue;  // before it, or behind its end
      const bool told = s->state != ReplicaState::kUnknown && s->state != ReplicaState::kUnlisted;
      const bool best_told = best.state != ReplicaState::kUnknown && best.state != ReplicaState::kUnlisted;
      if (told && best_told && s->state != best.state) differ = true;
      if (told) said += fmt::format("{}{} says {}", said.empty() ? "" : ", ", nodes_[i].name, Name(s->state));
      if (Rank(s->state) > Rank(best.state)) {
        best.state = s->state;
        best.known = s->known;
        best.why = fmt::format("{}: {}", nodes_[i].name, s->why);
      }
    }
    if (differ) {
      if (!disagreements_.empty() && disagreements_.back().replica == replica &&
          disagreements_.back().to == 0) {
        disagreements_.back().what = said;
      } else if (disagreements_.size() < kMostDisagreements) {
        disagreements_.push_back({replica, at, 0, said});
      }
    } else if (!disagreements_.empty() && disagreements_.back().replica == replica &&
               disagreements_.back().to == 0) {
      disagreements_.back().to = at;
      if (at - disagreements_.back().from <= kMaxListDelay)
        disagreements_.pop_back();  // lists take a while to arrive
    }
    if (!into.spans.empty() && into.spans.back().state == best.state && into.spans.back().known == best.known)
      continue;
    if (!into.spans.empty()) into.spans.back().to = at;
    into.spans.push_back(best);
  }
  into.spans.back().to = std::max(last, into.spans.back().from);
  if (!disagreements_.empty() && disagreements_.back().replica == replica && disagreements_.back().to == 0)
    disagreements_.back().to = last;
}

}  // namespace ryeglade::timeline
