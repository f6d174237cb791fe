#include "timeline/plot_model.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <map>
#include <stdexcept>
#include <vector>

#include "base/gnuplot.h"

namespace ryeglade::timeline {
namespace {

// Colours as 0xRRGGBB.
constexpr unsigned kReady = 0xd4ead4, kDraining = 0xf4d58a, kUnknown = 0xc9c9d1, kGone = 0xf3f3f3;
constexpr unsigned kSent = 0x4a7ab5, kFailed = 0xc8321f, kAtCapacity = 0xe58a1a, kEjected = 0x7b5aa6,
                   kAnomaly = 0xb0127b;

constexpr double kFleetPanelPixels = 210;
constexpr double kDetailedRowPixels = 54, kPlainRowPixels = 11;  // height of one replica's row
constexpr double kBarHeight = 0.62;  // height of the largest bar, as a share of the row
constexpr std::size_t kMaxReplicaLabels = 4, kMaxFleetLabels = 12;
// The quantile of the times to first token that is drawn at the top of a row, so that one outlier does not
// flatten the lines of all replicas.
constexpr double kFirstTokenQuantile = 0.995;

unsigned ColourOf(ReplicaState state) {
  switch (state) {
    case ReplicaState::kReady:
      return kReady;
    case ReplicaState::kDraining:
      return kDraining;
    case ReplicaState::kUnknown:
      return kUnknown;
    default:
      return kGone;
  }
}

unsigned Blend(unsigned a, unsigned b, double share) {
  unsigned out = 0;
  for (const int shift : {16, 8, 0}) {
    const double x = (a >> shift) & 0xffU;
    const double y = (b >> shift) & 0xffU;
    out |= static_cast<unsigned>(std::lround(x + (y - x) * std::clamp(share, 0.0, 1.0))) << shift;
  }
  return out;
}

// Makes a text safe within gnuplot's double quotes: special characters become apostrophes, control characters
// are removed.
std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '"' || c == '\\' || c == '`' || c == '$') {
      out += '\'';
    } else if (static_cast<unsigned char>(c) >= 0x20) {
      out += c;
    }
  }
  return out;
}

// Rectangles with a colour each, which become one data block of the script.
class Rectangles {
 public:
  explicit Rectangles(std::string name) : name_(std::move(name)) {}
  void Add(double x0, double x1, double y0, double y1, unsigned colour) {
    if (x1 <= x0 || y1 <= y0) return;
    // Equal neighbours are merged, to keep the script small.
    if (n_ > 0 && colour == colour_ && y0 == y0_ && y1 == y1_ && std::abs(x0 - x1_) < 1e-6) {
      x1_ = x1;
      return;
    }
    Flush();
    x0_ = x0;
    x1_ = x1;
    y0_ = y0;
    y1_ = y1;
    colour_ = colour;
    ++n_;
  }
  // Returns the data block of the script. PlotClause returns the part of the plot command that draws it; both
  // are empty if there are no rectangles.
  std::string DataBlock() {
    Flush();
    n_ = 0;
    return rows_.empty() ? "" : fmt::format("${} << EOD\n{}EOD\n", name_, rows_);
  }
  std::string PlotClause() const {
    return rows_.empty()
               ? ""
               : fmt::format(
                     ", ${} using 1:2:3:4:5:6:7 with boxxyerror fs solid noborder lc rgb variable notitle",
                     name_);
  }

 private:
  void Flush() {
    if (n_ > 0) {
      rows_ += fmt::format("{:.3f} {:.3f} {:.3f} {:.3f} {:.3f} {:.3f} {}\n", (x0_ + x1_) / 2, (y0_ + y1_) / 2,
                           x0_, x1_, y0_, y1_, colour_);
    }
  }
  std::string name_, rows_;
  std::size_t n_ = 0;  // rectangles added since the last DataBlock
  double x0_ = 0, x1_ = 0, y0_ = 0, y1_ = 0;
  unsigned colour_ = 0;
};

// Returns a rank by failures, state changes and anomalies. If there are too many replicas, those with the
// highest rank are plotted.
double PlotRank(const ReplicaTimeline& replica, const std::map<policy::ReplicaId, int>& anomalies) {
  double failed = 0;
  for (const auto& [n, bin] : replica.bins) failed += bin.failed + bin.at_capacity;
  const auto at = anomalies.find(replica.id);
  const auto items =
      static_cast<double>(replica.spans.size() + replica.ejections.size() + replica.annotations.size());
  return failed + 50.0 * items + 1000.0 * (at == anomalies.end() ? 0 : at->second);
}

// Builds the script of one chart, with one row per replica from the top; x is in seconds since the begin.
class TimelinePlot {
 public:
  // Both arguments must outlive this object.
  TimelinePlot(const ReplicaTimelines& timelines, const PlotOptions& options)
      : timelines_(timelines),
        options_(options),
        span_(std::max(1.0, static_cast<double>(timelines.end() - timelines.begin()) / 1e6)),
        bin_seconds_(static_cast<double>(timelines.width()) / 1e6) {
    ChooseReplicas();
    detailed_ = shown_.size() <= kMaxDetailedTimelines;
    rows_ = static_cast<double>(shown_.size());
    footer_pixels_ = detailed_ ? 84 : 60;
    height_pixels_ = kFleetPanelPixels + footer_pixels_ +
                     (detailed_ ? kDetailedRowPixels : kPlainRowPixels) * std::max(1.0, rows_);
  }

  std::string Build() {
    ComputeScales();
    for (std::size_t i = 0; i < shown_.size(); ++i)
      AddReplica(*shown_[i], rows_ - 1 - static_cast<double>(i));
    AddAnomalies();
    std::string script = GnuplotHead(options_.out, options_.width, height_pixels_, 10);
    script += FleetData() + states_.DataBlock() + traffic_.DataBlock() + faults_.DataBlock() +
              ejections_.DataBlock() + anomalies_.DataBlock();
    script += "$first << EOD\n" + (first_tokens_.empty() ? std::string("\n") : first_tokens_) + "EOD\n";
    script += "set multiplot\n";
    script += fmt::format("set xrange [0:{:.3f}]\nset lmargin at screen 0.13\nset rmargin at screen 0.985\n",
                          span_);
    script += FleetPanel() + ReplicaPanel();
    return script + "\nunset multiplot\nunset output\n";
  }

 private:
  double X(Time at) const {
    return std::clamp(static_cast<double>(at - timelines_.begin()) / 1e6, 0.0, span_);
  }
  double BinX(std::uint32_t bin) const { return static_cast<double>(bin) * bin_seconds_; }

  void ChooseReplicas() {
    std::map<policy::ReplicaId, int> anomalies;
    for (const Anomaly& anomaly : timelines_.anomalies()) {
      if (anomaly.begins && !anomaly.fleet) ++anomalies[anomaly.replica];
    }
    for (const auto& [id, replica] : timelines_.replicas()) shown_.push_back(&replica);
    if (shown_.size() > kMaxPlottedTimelines) {
      std::stable_sort(shown_.begin(), shown_.end(), [&](const ReplicaTimeline* a, const ReplicaTimeline* b) {
        return PlotRank(*a, anomalies) > PlotRank(*b, anomalies);
      });
      hidden_ = shown_.size() - kMaxPlottedTimelines;
      shown_.resize(kMaxPlottedTimelines);
    }
    std::sort(shown_.begin(), shown_.end(),
              [](const ReplicaTimeline* a, const ReplicaTimeline* b) { return a->Title() < b->Title(); });
  }

  void ComputeScales() {
    std::vector<double> first_tokens;
    for (const ReplicaTimeline* replica : shown_) {
      for (const auto& [n, bin] : replica->bins) {
        max_sent_ = std::max(max_sent_, static_cast<double>(bin.sent + bin.failed));
        if (bin.first_tokens > 0) first_tokens.push_back(bin.first_token_sum / bin.first_tokens);
      }
    }
    if (first_tokens.empty()) return;
    const double index = static_cast<double>(first_tokens.size() - 1) * kFirstTokenQuantile;
    const auto at = first_tokens.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(first_tokens.begin(), at, first_tokens.end());
    max_first_token_ = std::max(1.0, *at);
  }

  // `y` is the bottom of the row.
  void AddReplica(const ReplicaTimeline& replica, double y) {
    row_of_[replica.id] = y;
    tics_ += fmt::format("{}\"{}\" {}", tics_.empty() ? "" : ", ", Escaped(replica.Title()), y + 0.5);
    for (const StateSpan& span : replica.spans)
      states_.Add(X(span.from), X(span.to == 0 ? timelines_.end() : span.to), y + 0.03, y + 0.97,
                  ColourOf(span.state));
    for (const auto& [n, bin] : replica.bins) {
      if (detailed_) {
        AddDetailedBin(n, bin, y);
      } else {
        AddPlainBin(n, bin, y);
      }
    }
    first_tokens_ += "\n";  // ends this replica's line in the plot
    for (const EjectionSpan& ejection : replica.ejections)
      ejections_.Add(X(ejection.from), std::max(X(ejection.until), X(ejection.from) + span_ / 700), y + 0.0,
                     y + (detailed_ ? 0.06 : 0.3), kEjected);
    if (!detailed_) return;
    const std::size_t labels = std::min(replica.annotations.size(), kMaxReplicaLabels);
    for (std::size_t i = 0; i < labels; ++i) {
      const Annotation& annotation = replica.annotations[i];
      labels_ += fmt::format("set label \"{}\" at {:.3f},{:.3f} font \",7\" tc rgb \"#444444\"\n",
                             Escaped(annotation.text), X(annotation.at), y + 0.9);
    }
  }

  // Draws bars for the attempts sent in the bin and, of those that ended in it, for those that failed and
  // those that were rejected by the replica at capacity; and a point of the line of times to first token.
  void AddDetailedBin(std::uint32_t n, const ReplicaBin& bin, double y) {
    const double x0 = BinX(n);
    const double x1 = std::min(span_, x0 + bin_seconds_);
    const double failed = bin.failed;
    const double at_capacity = bin.at_capacity;
    const double top = kBarHeight * (bin.sent + 0.0) / max_sent_;
    traffic_.Add(x0, x1, y + 0.05, y + 0.05 + top, kSent);
    faults_.Add(x0, x1, y + 0.05,
                y + 0.05 + std::max(failed > 0 ? 0.06 : 0.0, kBarHeight * failed / max_sent_), kFailed);
    const double base = kBarHeight * failed / max_sent_;
    const double height = at_capacity > 0 ? std::max(0.05, kBarHeight * at_capacity / max_sent_) : 0;
    faults_.Add(x0, x1, y + 0.05 + base, y + 0.05 + base + height, kAtCapacity);
    if (bin.first_tokens == 0) return;
    const double mean = bin.first_token_sum / bin.first_tokens;
    first_tokens_ += fmt::format("{:.3f} {:.4f}\n", (x0 + x1) / 2,
                                 y + 0.05 + 0.85 * std::min(1.0, mean / max_first_token_));
  }

  // Draws the share of attempts that failed or were rejected at capacity as a colour.
  void AddPlainBin(std::uint32_t n, const ReplicaBin& bin, double y) {
    const double x0 = BinX(n);
    const double x1 = std::min(span_, x0 + bin_seconds_);
    const double failed = bin.failed;
    const double at_capacity = bin.at_capacity;
    if (failed + at_capacity <= 0) return;
    const double ended =
        std::max(1.0, static_cast<double>(bin.served + bin.cancelled) + failed + at_capacity);
    const unsigned colour = failed >= at_capacity ? kFailed : kAtCapacity;
    faults_.Add(x0, x1, y + 0.03, y + 0.97,
                Blend(kReady, colour, 0.25 + 0.75 * (failed + at_capacity) / ended));
  }

  void AddAnomalies() {
    std::map<std::uint64_t, Anomaly> open;
    for (const Anomaly& anomaly : timelines_.anomalies()) {
      if (anomaly.begins) {
        open[anomaly.number] = anomaly;
      } else if (const auto begun = open.find(anomaly.number); begun != open.end()) {
        AddAnomaly(begun->second, anomaly.now);
        open.erase(begun);
      }
    }
    for (const auto& [number, anomaly] : open) AddAnomaly(anomaly, timelines_.end());
  }

  void AddAnomaly(const Anomaly& begin, Time end) {
    const double x0 = X(begin.since);
    const double x1 = std::max(X(end), x0 + span_ / 400);
    if (begin.fleet) {
      fleet_anomalies_ += fmt::format(
          "set object rect from {:.3f}, graph 0 to {:.3f}, graph 1 fc rgb \"#f7d5ea\" fs solid noborder "
          "behind\n"
          "set label \"{}\" at {:.3f}, graph {:.2f} font \",8\" tc rgb \"#b0127b\"\n",
          x0, x1, Name(begin.kind), x0, 0.93 - 0.11 * static_cast<double>(fleet_anomaly_count_++ % 3));
      return;
    }
    const auto row = row_of_.find(begin.replica);
    if (row == row_of_.end()) return;
    const double y = row->second;
    anomalies_.Add(x0, x1, y + (detailed_ ? 0.9 : 0.55), y + 0.97, kAnomaly);
    if (detailed_)
      labels_ += fmt::format("set label \"{}\" at {:.3f},{:.3f} font \",8\" tc rgb \"#b0127b\" front\n",
                             Name(begin.kind), x0, y + 0.81);
  }

  // One line per bin: time, and the rates per second of requests that arrived, were served, and were rejected
  // or failed, and of coalesced decisions.
  std::string FleetData() const {
    std::string data = "$fleet << EOD\n";
    for (std::uint32_t n = 0; n < timelines_.bins(); ++n) {
      const auto at = timelines_.fleet().find(n);
      const FleetBin bin = at == timelines_.fleet().end() ? FleetBin{} : at->second;
      data += fmt::format("{:.3f} {:.3f} {:.3f} {:.3f} {:.3f}\n", BinX(n) + bin_seconds_ / 2,
                          bin.arrived / bin_seconds_, bin.served / bin_seconds_,
                          (bin.rejected + bin.failed) / bin_seconds_,
                          static_cast<double>(bin.coalesced) / bin_seconds_);
    }
    return data + "EOD\n";
  }

  std::string FleetAnnotations() const {
    std::string commands;
    const std::size_t count = std::min(timelines_.annotations().size(), kMaxFleetLabels);
    for (std::size_t i = 0; i < count; ++i) {
      const Annotation& annotation = timelines_.annotations()[i];
      const double x = X(annotation.at);
      commands += fmt::format(
          "set arrow from {0:.3f}, graph 0 to {0:.3f}, graph 1 nohead lt 0 lc rgb \"#555555\"\n", x);
      commands += fmt::format("set label \"{}\" at {:.3f}, graph {:.2f} font \",7\" tc rgb \"#333333\"\n",
                              Escaped(annotation.text), x, 0.82 - 0.1 * static_cast<double>(i % 6));
    }
    return commands;
  }

  std::string Title() const {
    const auto begin = static_cast<std::time_t>(timelines_.begin() / 1'000'000);
    return fmt::format("{}{}, {} replicas{}, from {:%Y-%m-%d %H:%M:%S} UTC, {:.0f} s, bins of {:g} s",
                       Escaped(options_.title), options_.title.empty() ? Escaped(timelines_.node()) : "",
                       shown_.size(), hidden_ > 0 ? fmt::format(" of {}", shown_.size() + hidden_) : "",
                       fmt::gmtime(begin), span_, bin_seconds_);
  }

  std::string FleetPanel() const {
    std::string script = fmt::format("set tmargin at screen {:.5f}\nset bmargin at screen {:.5f}\n",
                                     1 - 30 / height_pixels_, 1 - (kFleetPanelPixels - 30) / height_pixels_);
    script += fmt::format(
        "set title \"{}\" font \",11\" offset 0,-0.4\nset ylabel \"requests/s\"\nset yrange [0:*]\n",
        Title());
    script +=
        "set key top right horizontal samplen 2 font \",8\"\nset xtics format \"\"\nset grid xtics lc rgb "
        "\"#dddddd\"\n";
    script += fleet_anomalies_ + FleetAnnotations();
    script +=
        "plot $fleet using 1:2 with lines lw 1.5 lc rgb \"#333333\" title \"arrived\", "
        "$fleet using 1:3 with lines lw 1.5 lc rgb \"#2f8f46\" title \"served\", "
        "$fleet using 1:4 with lines lw 1.5 lc rgb \"#c8321f\" title \"rejected or failed\"";
    script += ", $fleet using 1:5 with lines lw 1 dt 2 lc rgb \"#7b5aa6\" title \"coalesced decisions\"\n";
    return script + "unset arrow\nunset label\nunset object\nunset title\n";
  }

  std::string ReplicaPanel() const {
    std::string script =
        fmt::format("set tmargin at screen {:.5f}\nset bmargin at screen {:.5f}\n",
                    1 - (kFleetPanelPixels - 10) / height_pixels_, footer_pixels_ / height_pixels_);
    script += fmt::format("set yrange [0:{}]\nunset ylabel\nset ytics ({}) font \",{}\" scale 0\n",
                          std::max(1.0, rows_), tics_, detailed_ ? 9 : 6);
    script += "set xtics format \"%g s\"\nset grid xtics front lc rgb \"#e4e4e4\"\n";
    script += fmt::format(
        "set key at screen 0.985, screen {:.5f} right bottom horizontal maxrows 1 samplen 1.2 font \",8\"\n",
        6 / height_pixels_);
    script += labels_;
    script += "plot -1 notitle" + states_.PlotClause() + traffic_.PlotClause() + faults_.PlotClause() +
              ejections_.PlotClause() + anomalies_.PlotClause();
    if (detailed_) {
      script += fmt::format(
          ", $first using 1:2 with lines lw 1.2 lc rgb \"#222222\" title \"first token (top of row: {:.0f} "
          "ms)\"",
          max_first_token_);
      script += fmt::format(", keyentry with boxes fs solid lc rgb {} title \"sent (maximum: {:.0f}/s)\"",
                            kSent, max_sent_ / bin_seconds_);
    }
    return script + ColourKey();
  }

  static std::string ColourKey() {
    constexpr std::pair<unsigned, const char*> kEntries[] = {
        {kReady, "ready"},   {kDraining, "draining"},      {kUnknown, "unknown"}, {kGone, "gone"},
        {kFailed, "failed"}, {kAtCapacity, "at capacity"}, {kEjected, "ejected"}, {kAnomaly, "anomaly"}};
    std::string key;
    for (const auto& [colour, name] : kEntries)
      key += fmt::format(", keyentry with boxes fs solid lc rgb {} title \"{}\"", colour, name);
    return key;
  }

  const ReplicaTimelines& timelines_;
  const PlotOptions& options_;
  double span_, bin_seconds_;                  // seconds
  std::vector<const ReplicaTimeline*> shown_;  // from the top
  std::size_t hidden_ = 0;                     // replicas that are not plotted
  bool detailed_ = false;                      // rows with bars and lines; otherwise plain strips
  double rows_ = 0;
  double footer_pixels_ = 0, height_pixels_ = 0;
  double max_sent_ = 1;         // attempts in a bin at the top of the scale
  double max_first_token_ = 1;  // mean time to first token at the top of the scale, ms
  Rectangles states_{"states"}, traffic_{"traffic"}, faults_{"faults"}, ejections_{"ejections"},
      anomalies_{"anomalies"};
  std::string first_tokens_;     // points of the lines of times to first token; an empty line ends a line
  std::string labels_, tics_;    // labels and tics of the replicas' panel, as gnuplot commands and entries
  std::string fleet_anomalies_;  // gnuplot commands that mark the fleet's anomalies
  std::size_t fleet_anomaly_count_ = 0;
  std::map<policy::ReplicaId, double> row_of_;  // the bottom of a replica's row
};

}  // namespace

std::string TimelinePlotScript(const ReplicaTimelines& timelines, const PlotOptions& options) {
  return TimelinePlot(timelines, options).Build();
}

}  // namespace ryeglade::timeline
