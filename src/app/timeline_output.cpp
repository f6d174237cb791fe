#include "app/timeline_output.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <utility>
#include <vector>

#include "core/enum_names.h"

namespace ryeglade::timeline {
namespace {

constexpr std::uint32_t kMaxBinLines = 30;        // printed for one replica
constexpr std::size_t kMaxFleetAnnotations = 60;  // the newest are printed

double Seconds(Time span) { return static_cast<double>(span) / 1e6; }

std::string SpanText(const StateSpan& span) {
  const double seconds = Seconds(span.to - span.from);
  if (span.state == ReplicaState::kUnknown)
    return fmt::format("unknown for {:.1f} s, last known {}: {}", seconds, Name(span.last_known),
                       span.reason);
  return fmt::format("{} for {:.1f} s, source: {}", Name(span.state), seconds, span.reason);
}

std::string EjectionText(const EjectionSpan& ejection) {
  return fmt::format("ejected for {:.0f} ms: {}, {} failures in a row",
                     static_cast<double>(ejection.until - ejection.from) / 1000,
                     ryeglade::Name(ejection.outcome), ejection.consecutive_failures);
}

std::string AnomalyText(const Anomaly& anomaly) {
  return fmt::format("anomaly #{} {}: {}{}; {:.4g} before, {:.4g} during, {:.4g} on peers", anomaly.number,
                     anomaly.begins ? "begins" : "ends", Name(anomaly.kind),
                     anomaly.fleet ? " of the fleet" : "", anomaly.baseline, anomaly.during, anomaly.peers);
}

std::string MeanFirstToken(const ReplicaBin& bin) {
  return bin.first_tokens > 0 ? fmt::format("{:.0f}", bin.first_token_sum / bin.first_tokens) : "-";
}

std::string LoadText(const ReplicaBin& bin) {
  if (bin.load < 0) return "unknown";
  if (bin.load_age >= 0) return fmt::format("{:g} ({:.0f}s)", bin.load, bin.load_age);
  return fmt::format("{:g}", bin.load);
}

// Prints what happened to the replica, in the order of time.
void PrintEvents(const ReplicaTimelines& timelines, const ReplicaTimeline& replica) {
  std::vector<std::pair<Time, std::string>> lines;
  for (const StateSpan& span : replica.spans) lines.emplace_back(span.from, SpanText(span));
  for (const EjectionSpan& ejection : replica.ejections)
    lines.emplace_back(ejection.from, EjectionText(ejection));
  for (const Annotation& annotation : replica.annotations) lines.emplace_back(annotation.at, annotation.text);
  for (const Annotation& annotation : timelines.annotations())
    lines.emplace_back(annotation.at, "(node) " + annotation.text);
  for (const Anomaly& anomaly : timelines.anomalies()) {
    if (anomaly.fleet || anomaly.replica == replica.id) lines.emplace_back(anomaly.now, AnomalyText(anomaly));
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [at, text] : lines) Print(fmt::format("  {}  {}\n", ClockText(at), text));
}

// Prints the bins, combined into at most kMaxBinLines lines.
void PrintBins(const ReplicaTimelines& timelines, const ReplicaTimeline& replica) {
  Print(fmt::format("\n  {:<12} {:>6} {:>6} {:>6} {:>6} {:>9} {:>9} {:>9} {:>10}\n", "from", "sent", "served",
                    "failed", "full", "in flight", "first ms", "max ms", "load"));
  const std::uint32_t step = std::max(1U, (timelines.bins() + kMaxBinLines - 1) / kMaxBinLines);
  for (std::uint32_t n = 0; n < timelines.bins(); n += step) {
    ReplicaBin sum;
    for (auto bin = replica.bins.lower_bound(n); bin != replica.bins.end() && bin->first < n + step; ++bin)
      sum.Add(bin->second);
    Print(fmt::format(
        "  {:<12} {:>6} {:>6} {:>6} {:>6} {:>9} {:>9} {:>9} {:>10}\n", ClockText(timelines.BinStart(n)),
        sum.sent, sum.served, sum.failed, sum.at_capacity, sum.in_flight, MeanFirstToken(sum),
        sum.first_tokens > 0 ? fmt::format("{:.0f}", sum.first_token_max) : "-", LoadText(sum)));
  }
}

std::string StateAtEnd(const ReplicaTimeline& replica) {
  if (replica.spans.empty()) return "never listed";
  const StateSpan& last = replica.spans.back();
  if (last.state == ReplicaState::kUnknown) return fmt::format("unknown, was {}", Name(last.last_known));
  return Name(last.state);
}

void PrintReplicaLine(const ReplicaTimelines& timelines, const ReplicaTimeline& replica) {
  ReplicaBin sum;
  for (const auto& [n, bin] : replica.bins) sum.Add(bin);
  const auto anomalies =
      std::count_if(timelines.anomalies().begin(), timelines.anomalies().end(),
                    [&](const Anomaly& a) { return a.begins && !a.fleet && a.replica == replica.id; });
  std::map<std::string, double> seconds_by_state;
  for (const StateSpan& span : replica.spans)
    seconds_by_state[Name(span.state)] += Seconds(span.to - span.from);
  std::string states;
  for (const auto& [name, seconds] : seconds_by_state) states += fmt::format(" {} {:.0f}s", name, seconds);
  Print(fmt::format("{:<24} {:<22} {:>8} {:>8} {:>7} {:>7} {:>9} {:>8} {:>9} {}\n", replica.Title(),
                    StateAtEnd(replica), sum.sent, sum.served, sum.failed, sum.at_capacity,
                    MeanFirstToken(sum), replica.ejections.size(), anomalies, states));
}

void PrintFleetTotals(const ReplicaTimelines& timelines) {
  FleetBin sum;
  for (const auto& [n, bin] : timelines.fleet()) sum.Add(bin);
  Print(fmt::format(
      "requests: {} arrived, {} served, {} rejected, {} failed, {} abandoned by their clients; {} coalesced "
      "decisions\n",
      sum.arrived, sum.served, sum.rejected, sum.failed, sum.disconnected, sum.coalesced));
  std::string reasons;
  for (std::size_t reason = 0; reason < timelines.conclusions().size(); ++reason) {
    const std::uint64_t count = timelines.conclusions()[reason];
    if (count > 0)
      reasons += fmt::format(" {}={}", ryeglade::Name(static_cast<policy::ConclusionReason>(reason)), count);
  }
  if (!reasons.empty()) Print("rejections and failures by reason:" + reasons + "\n");
}

// Prints the newest annotations of the node itself and of the cluster.
void PrintFleetAnnotations(const ReplicaTimelines& timelines) {
  const auto& annotations = timelines.annotations();
  const std::size_t first =
      annotations.size() > kMaxFleetAnnotations ? annotations.size() - kMaxFleetAnnotations : 0;
  if (first > 0) Print(fmt::format("  ({} earlier ones)\n", first));
  for (std::size_t i = first; i < annotations.size(); ++i)
    Print(fmt::format("  {}  {}\n", ClockText(annotations[i].at), annotations[i].text));
}

}  // namespace

void Print(const std::string& text) { std::fputs(text.c_str(), stdout); }

std::string ClockText(Time at) {
  const auto seconds = static_cast<std::time_t>(at / 1'000'000);
  return fmt::format("{:%H:%M:%S}.{:03}", fmt::gmtime(seconds), at / 1000 % 1000);
}

std::string AnomalyLine(const ReplicaTimelines& timelines, const Anomaly& anomaly) {
  return fmt::format(
      "{}  #{:<4} {:<6} {:<20} {:<24} before {:<9.4g} during {:<9.4g} peers {:<9.4g} since {}\n",
      ClockText(anomaly.now), anomaly.number, anomaly.begins ? "begins" : "ends", Name(anomaly.kind),
      anomaly.fleet ? "the fleet" : timelines.ReplicaTitle(anomaly.replica), anomaly.baseline, anomaly.during,
      anomaly.peers, ClockText(anomaly.since));
}

void PrintReplica(const ReplicaTimelines& timelines, const ReplicaTimeline& replica) {
  Print(fmt::format("replica {} ({:08x}) at {}, {} to {} UTC\n", replica.Title(), replica.id,
                    replica.address.empty() ? "an unknown address" : replica.address,
                    ClockText(timelines.begin()), ClockText(timelines.end())));
  PrintEvents(timelines, replica);
  PrintBins(timelines, replica);
  if (replica.dropped_items > 0)
    Print(fmt::format("  {} states, ejections and annotations are omitted, as the timeline is full\n",
                      replica.dropped_items));
}

void PrintFleet(const ReplicaTimelines& timelines) {
  Print(fmt::format("{}: {} to {} UTC, {} replicas\n", timelines.node(), ClockText(timelines.begin()),
                    ClockText(timelines.end()), timelines.replicas().size()));
  Print(fmt::format("{:<24} {:<22} {:>8} {:>8} {:>7} {:>7} {:>9} {:>8} {:>9}  {}\n", "replica", "last state",
                    "sent", "served", "failed", "full", "first ms", "ejected", "anomalies", "states"));
  for (const auto& [id, replica] : timelines.replicas()) PrintReplicaLine(timelines, replica);
  PrintFleetTotals(timelines);
  if (timelines.dropped_replicas() > 0) Print("some replicas are omitted, as the timeline is full\n");
  PrintFleetAnnotations(timelines);
}

}  // namespace ryeglade::timeline
