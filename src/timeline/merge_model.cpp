#include "timeline/merge_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

namespace ryeglade::timeline {
namespace {

constexpr std::size_t kMaxDisagreements = 4096;  // further ones are not reported

Time MedianOf(std::vector<Time> v) {
  const auto middle = v.begin() + static_cast<std::ptrdiff_t>(v.size() / 2);
  std::nth_element(v.begin(), middle, v.end());
  return *middle;
}

// The state of the highest rank is the merged one: known states before unknown ones and, among the known
// ones, draining first.
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
  for (const ReplicaTimelines& node : nodes) nodes_.push_back(ClockOf(node, nodes.front()));
  if (!SetBounds(nodes)) return;
  for (std::size_t i = 0; i < nodes.size(); ++i) AddFleet(nodes[i], i);
  std::stable_sort(merged_.annotations_.begin(), merged_.annotations_.end(),
                   [](const Annotation& a, const Annotation& b) { return a.at < b.at; });

  // Replicas are matched by name, because the ids of a replica may differ between nodes if two names clash.
  std::map<std::string, Parts> parts_by_name;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    for (const auto& [id, replica] : nodes[i].replicas())
      parts_by_name[replica.Title()].emplace_back(i, &replica);
  }
  std::vector<ReplicaIds> ids(nodes.size());
  for (const auto& [name, parts] : parts_by_name) AddReplica(nodes, parts, ids);
  for (std::size_t i = 0; i < nodes.size(); ++i) AddAnomalies(nodes[i], i, nodes.size(), ids[i]);
  std::stable_sort(merged_.anomalies_.begin(), merged_.anomalies_.end(),
                   [](const Anomaly& a, const Anomaly& b) { return a.now < b.now; });
  std::sort(disagreements_.begin(), disagreements_.end(),
            [](const Disagreement& a, const Disagreement& b) { return a.from < b.from; });
}

// Estimates the offset of a node's clock from the generations of the endpoint list that both nodes received.
MergedNode TimelineMerge::ClockOf(const ReplicaTimelines& node, const ReplicaTimelines& reference) {
  MergedNode merged{node.node()};
  if (&node == &reference) return merged;
  std::vector<Time> differences;
  for (const auto& [generation, at] : node.generations()) {
    const auto there = reference.generations().find(generation);
    if (there != reference.generations().end()) differences.push_back(there->second - at);
  }
  if (differences.empty()) return merged;
  merged.offset = MedianOf(differences);
  merged.common_generations = differences.size();
  for (Time& difference : differences) difference = std::abs(difference - merged.offset);
  merged.offset_spread = MedianOf(differences);
  return merged;
}

// Sets the begin, end and bin width of the merged timelines. The bins are at least as wide as the widest of
// the nodes. Returns false if no node has a record.
bool TimelineMerge::SetBounds(const std::vector<ReplicaTimelines>& nodes) {
  Time begin = std::numeric_limits<Time>::max();
  Time end = 0;
  Time width = 1;
  std::uint32_t max_bins = 1;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const ReplicaTimelines& node = nodes[i];
    if (node.bins() == 0) continue;
    begin = std::min(begin, node.begin() + nodes_[i].offset);
    end = std::max(end, node.end() + nodes_[i].offset);
    width = std::max(width, node.width());
    max_bins = std::max(max_bins, node.options_.max_bins);
  }
  merged_.width_ = width;
  if (end == 0) return false;
  merged_.begun_ = true;
  merged_.begin_ = begin;
  merged_.end_ = end;
  while ((end - begin) / merged_.width_ >= static_cast<Time>(max_bins)) merged_.width_ *= 2;
  return true;
}

// Returns the index of the merged bin in which the bin `bin` of node `i` begins.
std::uint32_t TimelineMerge::MergedBin(const ReplicaTimelines& node, std::size_t i, std::uint32_t bin) const {
  return static_cast<std::uint32_t>((node.BinStart(bin) + nodes_[i].offset - merged_.begin_) /
                                    merged_.width_);
}

void TimelineMerge::AddFleet(const ReplicaTimelines& node, std::size_t i) {
  for (const auto& [n, bin] : node.fleet()) merged_.fleet_[MergedBin(node, i, n)].Add(bin);
  for (std::size_t reason = 0; reason < merged_.conclusions_.size(); ++reason)
    merged_.conclusions_[reason] += node.conclusions()[reason];
  merged_.dropped_replicas_ += node.dropped_replicas();
  for (const Annotation& annotation : node.annotations())
    merged_.annotations_.push_back(Shifted(annotation, i));
  merged_.node_ += (i > 0 ? "+" : "") + nodes_[i].name;
}

Annotation TimelineMerge::Shifted(const Annotation& annotation, std::size_t i) const {
  return {annotation.at + nodes_[i].offset, nodes_[i].name + ": " + annotation.text};
}

void TimelineMerge::AddReplica(const std::vector<ReplicaTimelines>& nodes, const Parts& parts,
                               std::vector<ReplicaIds>& ids) {
  policy::ReplicaId id = parts.front().second->id;
  while (merged_.replicas_.contains(id)) ++id;
  ReplicaTimeline& replica = merged_.replicas_[id];
  replica.id = id;
  for (const auto& [i, part] : parts) {
    ids[i][part->id] = id;
    if (!part->name.empty()) replica.name = part->name;
    replica.address = part->address;
    replica.dropped_items += part->dropped_items;
    AddBins(nodes[i], i, *part, replica);
    for (EjectionSpan ejection : part->ejections) {
      ejection.from += nodes_[i].offset;
      ejection.until += nodes_[i].offset;
      replica.ejections.push_back(ejection);
    }
    for (const Annotation& annotation : part->annotations)
      replica.annotations.push_back(Shifted(annotation, i));
  }
  std::sort(replica.ejections.begin(), replica.ejections.end(),
            [](const EjectionSpan& a, const EjectionSpan& b) { return a.from < b.from; });
  MergeStates(replica, replica.Title(), parts);
}

// Attempts in flight are counted by each node and are summed. The load reported by the replica is the same
// for all nodes and is not summed.
void TimelineMerge::AddBins(const ReplicaTimelines& node, std::size_t i, const ReplicaTimeline& part,
                            ReplicaTimeline& into) const {
  std::map<std::uint32_t, ReplicaBin> bins;
  for (const auto& [n, bin] : part.bins) bins[MergedBin(node, i, n)].Add(bin);
  for (const auto& [n, bin] : bins) {
    ReplicaBin& merged = into.bins[n];
    const std::int32_t in_flight_before = merged.in_flight;
    merged.Add(bin);
    merged.in_flight = in_flight_before + bin.in_flight;
  }
}

void TimelineMerge::AddAnomalies(const ReplicaTimelines& node, std::size_t i, std::size_t node_count,
                                 const ReplicaIds& ids) {
  for (Anomaly anomaly : node.anomalies()) {
    anomaly.now += nodes_[i].offset;
    anomaly.since += nodes_[i].offset;
    anomaly.number = anomaly.number * node_count + i;  // unique, as each node numbers its own anomalies
    if (const auto merged = ids.find(anomaly.replica); !anomaly.fleet && merged != ids.end())
      anomaly.replica = merged->second;
    merged_.anomalies_.push_back(anomaly);
  }
}

// Merges the states of one replica over all nodes, and records where the nodes disagree.
void TimelineMerge::MergeStates(ReplicaTimeline& into, const std::string& replica, const Parts& parts) {
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
    std::string states_by_node;
    bool differ = false;
    for (const auto& [i, part] : parts) {
      const StateSpan* s = ReplicaTimelines::SpanAt(*part, at - nodes_[i].offset);
      if (s == nullptr || (s->to != 0 && at - nodes_[i].offset >= s->to))
        continue;  // the node's record does not cover this time
      const bool is_known = s->state != ReplicaState::kUnknown && s->state != ReplicaState::kUnlisted;
      const bool best_is_known =
          best.state != ReplicaState::kUnknown && best.state != ReplicaState::kUnlisted;
      if (is_known && best_is_known && s->state != best.state) differ = true;
      if (is_known)
        states_by_node +=
            fmt::format("{}{}: {}", states_by_node.empty() ? "" : ", ", nodes_[i].name, Name(s->state));
      if (Rank(s->state) > Rank(best.state)) {
        best.state = s->state;
        best.last_known = s->last_known;
        best.reason = fmt::format("{}: {}", nodes_[i].name, s->reason);
      }
    }
    if (differ) {
      if (!disagreements_.empty() && disagreements_.back().replica == replica &&
          disagreements_.back().to == 0) {
        disagreements_.back().what = states_by_node;
      } else if (disagreements_.size() < kMaxDisagreements) {
        disagreements_.push_back({replica, at, 0, states_by_node});
      }
    } else if (!disagreements_.empty() && disagreements_.back().replica == replica &&
               disagreements_.back().to == 0) {
      disagreements_.back().to = at;
      if (at - disagreements_.back().from <= kMaxListDelay)
        disagreements_.pop_back();  // explained by the delay of the lists
    }
    if (!into.spans.empty() && into.spans.back().state == best.state &&
        into.spans.back().last_known == best.last_known)
      continue;
    if (!into.spans.empty()) into.spans.back().to = at;
    into.spans.push_back(best);
  }
  into.spans.back().to = std::max(last, into.spans.back().from);
  if (!disagreements_.empty() && disagreements_.back().replica == replica && disagreements_.back().to == 0)
    disagreements_.back().to = last;
}

}  // namespace ryeglade::timeline
