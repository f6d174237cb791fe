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

constexpr unsigned kReady = 0xd4ead4, kDraining = 0xf4d58a, kUnknown = 0xc9c9d1, kGone = 0xf3f3f3;
constexpr unsigned kSent = 0x4a7ab5, kFailed = 0xc8321f, kFull = 0xe58a1a, kRest = 0x7b5aa6,
                   kUnusual = 0xb0127b;

unsigned ColourOf(ReplicaState s) {
  switch (s) {
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
    const double x = (a >> shift) & 0xffU, y = (b >> shift) & 0xffU;
    out |= static_cast<unsigned>(std::lround(x + (y - x) * std::clamp(share, 0.0, 1.0))) << shift;
  }
  return out;
}

// Text within gnuplot's double quotes, with its markup switched off.
std::string Text(const std::string& text) {
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

// Rectangles of one data block, each with its colour.
class Boxes {
 public:
  explicit Boxes(std::string name) : name_(std::move(name)) {}
  void Add(double x0, double x1, double y0, double y1, unsigned colour) {
    if (x1 <= x0 || y1 <= y0) return;
    // Neighbours alike are one, so that strips of many bins stay small.
    if (n_ > 0 && colour == colour_ && y0 == y0_ && y1 == y1_ && std::abs(x0 - x1_) < 1e-6) {
      x1_ = x1;
      return;
    }
    Flush();
    x0_ = x0, x1_ = x1, y0_ = y0, y1_ = y1, colour_ = colour;
    ++n_;
  }
  // The block, and the term of the plot command that draws it.
  std::string Block() {
    Flush();
    n_ = 0;
    return rows_.empty() ? "" : fmt::format("${} << EOD\n{}EOD\n", name_, rows_);
  }
  std::string Term() const {
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
  std::size_t n_ = 0;
  double x0_ = 0, x1_ = 0, y0_ = 0, y1_ = 0;
  unsigned colour_ = 0;
};

// How much there is to tell of a lane, for choosing among too many.
double Interest(const ReplicaTimeline& lane, const std::map<policy::ReplicaId, int>& events) {
  double failed = 0;
  for (const auto& [n, b] : lane.bins) failed += b.failed + b.at_capacity;
  const auto it = events.find(lane.id);
  return failed +
         50.0 * static_cast<double>(lane.spans.size() + lane.ejections.size() + lane.annotations.size()) +
         1000.0 * (it == events.end() ? 0 : it->second);
}

}  // namespace

std::string TimelinePlotScript(const ReplicaTimelines& lanes, const PlotOptions& options) {
  const double span = std::max(1.0, static_cast<double>(lanes.end() - lanes.begin()) / 1e6);
  const double bin_s = static_cast<double>(lanes.width()) / 1e6;
  const auto x = [&](Time t) { return std::clamp(static_cast<double>(t - lanes.begin()) / 1e6, 0.0, span); };
  const auto bin_x = [&](std::uint32_t n) { return static_cast<double>(n) * bin_s; };

  std::map<policy::ReplicaId, int> events;
  for (const Anomaly& u : lanes.anomalies()) {
    if (u.begins && !u.fleet) ++events[u.replica];
  }
  std::vector<const ReplicaTimeline*> shown;
  for (const auto& [id, lane] : lanes.replicas()) shown.push_back(&lane);
  std::size_t hidden = 0;
  if (shown.size() > kMaxPlottedTimelines) {
    std::stable_sort(shown.begin(), shown.end(), [&](const ReplicaTimeline* a, const ReplicaTimeline* b) {
      return Interest(*a, events) > Interest(*b, events);
    });
    hidden = shown.size() - kMaxPlottedTimelines;
    shown.resize(kMaxPlottedTimelines);
  }
  std::sort(shown.begin(), shown.end(),
            [](const ReplicaTimeline* a, const ReplicaTimeline* b) { return a->Title() < b->Title(); });
  const bool full = shown.size() <= kMaxDetailedTimelines;

  double most_sent = 1, most_first = 1;
  std::vector<double> firsts;
  for (const ReplicaTimeline* lane : shown) {
    for (const auto& [n, b] : lane->bins) {
      most_sent = std::max(most_sent, static_cast<double>(b.sent + b.failed));
      if (b.first_tokens > 0) firsts.push_back(b.first_token_sum / b.first_tokens);
    }
  }
  if (!firsts.empty()) {  // one mad answer must not flatten all lines
    const auto at =
        firsts.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(firsts.size() - 1) * 0.995);
    std::nth_element(firsts.begin(), at, firsts.end());
    most_first = std::max(1.0, *at);
  }

  Boxes states("states"), traffic("traffic"), faults("faults"), rests("rests"), unusual("unusual");
  std::string firsts_block, labels, tics;
  const double count = static_cast<double>(shown.size());
  std::map<policy::ReplicaId, double> bottom;
  for (std::size_t i = 0; i < shown.size(); ++i) {
    const ReplicaTimeline& lane = *shown[i];
    const double y = count - 1 - static_cast<double>(i);
    bottom[lane.id] = y;
    tics += fmt::format("{}\"{}\" {}", tics.empty() ? "" : ", ", Text(lane.Title()), y + 0.5);
    for (const StateSpan& s : lane.spans)
      states.Add(x(s.from), x(s.to == 0 ? lanes.end() : s.to), y + 0.03, y + 0.97, ColourOf(s.state));
    for (const auto& [n, b] : lane.bins) {
      const double x0 = bin_x(n), x1 = std::min(span, x0 + bin_s), failed = b.failed, turned = b.at_capacity;
      const double tried = std::max(1.0, static_cast<double>(b.served + b.cancelled) + failed + turned);
      if (full) {
        // What was sent, and of what ended in that bin the parts that failed or were turned away.
        const double top = 0.62 * (b.sent + 0.0) / most_sent;
        traffic.Add(x0, x1, y + 0.05, y + 0.05 + top, kSent);
        faults.Add(x0, x1, y + 0.05, y + 0.05 + std::max(failed > 0 ? 0.06 : 0.0, 0.62 * failed / most_sent),
                   kFailed);
        const double base = 0.62 * failed / most_sent;
        faults.Add(x0, x1, y + 0.05 + base,
                   y + 0.05 + base + (turned > 0 ? std::max(0.05, 0.62 * turned / most_sent) : 0), kFull);
        if (b.first_tokens > 0) {
          firsts_block +=
              fmt::format("{:.3f} {:.4f}\n", (x0 + x1) / 2,
                          y + 0.05 + 0.85 * std::min(1.0, b.first_token_sum / b.first_tokens / most_first));
        }
      } else if (failed + turned > 0) {
        const bool mostly = failed >= turned;
        faults.Add(x0, x1, y + 0.03, y + 0.97,
                   Blend(kReady, mostly ? kFailed : kFull, 0.25 + 0.75 * (failed + turned) / tried));
      }
    }
    firsts_block += "\n";
    for (const EjectionSpan& r : lane.ejections)
      rests.Add(x(r.from), std::max(x(r.until), x(r.from) + span / 700), y + 0.0, y + (full ? 0.06 : 0.3),
                kRest);
    std::size_t written = 0;
    for (const Annotation& m : lane.annotations) {
      if (full && written++ < 4)
        labels += fmt::format("set label \"{}\" at {:.3f},{:.3f} font \",7\" tc rgb \"#444444\"\n",
                              Text(m.text), x(m.at), y + 0.9);
    }
  }
  std::map<std::uint64_t, Anomaly> open;
  std::string fleet_events;
  std::size_t fleet_n = 0;
  const auto draw = [&](const Anomaly& from, Time to) {
    const double x0 = x(from.since), x1 = std::max(x(to), x0 + span / 400);
    if (from.fleet) {
      fleet_events += fmt::format(
          "set object rect from {:.3f}, graph 0 to {:.3f}, graph 1 fc rgb \"#f7d5ea\" fs solid noborder "
          "behind\n"
          "set label \"{}\" at {:.3f}, graph {:.2f} font \",8\" tc rgb \"#b0127b\"\n",
          x0, x1, Name(from.kind), x0, 0.93 - 0.11 * static_cast<double>(fleet_n++ % 3));
      return;
    }
    const auto at = bottom.find(from.replica);
    if (at == bottom.end()) return;
    unusual.Add(x0, x1, at->second + (full ? 0.9 : 0.55), at->second + 0.97, kUnusual);
    if (full) {
      labels += fmt::format("set label \"{}\" at {:.3f},{:.3f} font \",8\" tc rgb \"#b0127b\" front\n",
                            Name(from.kind), x0, at->second + 0.81);
    }
  };
  for (const Anomaly& u : lanes.anomalies()) {
    if (u.begins) {
      open[u.number] = u;
    } else if (const auto it = open.find(u.number); it != open.end()) {
      draw(it->second, u.now);
      open.erase(it);
    }
  }
  for (const auto& [n, u] : open) draw(u, lanes.end());

  std::string fleet = "$fleet << EOD\n";
  for (std::uint32_t n = 0; n < lanes.bins(); ++n) {
    const auto it = lanes.fleet().find(n);
    const FleetBin f = it == lanes.fleet().end() ? FleetBin{} : it->second;
    fleet += fmt::format("{:.3f} {:.3f} {:.3f} {:.3f} {:.3f}\n", bin_x(n) + bin_s / 2, f.arrived / bin_s,
                         f.served / bin_s, (f.rejected + f.failed) / bin_s,
                         static_cast<double>(f.coalesced) / bin_s);
  }
  fleet += "EOD\n";
  std::string marks;
  std::size_t written = 0;
  for (const Annotation& m : lanes.annotations()) {
    if (written >= 12) break;
    marks += fmt::format(
        "set arrow from {0:.3f}, graph 0 to {0:.3f}, graph 1 nohead lt 0 lc rgb \"#555555\"\n", x(m.at));
    marks += fmt::format("set label \"{}\" at {:.3f}, graph {:.2f} font \",7\" tc rgb \"#333333\"\n",
                         Text(m.text), x(m.at), 0.82 - 0.1 * static_cast<double>(written % 6));
    ++written;
  }

  const double lane_px = full ? 54 : 11;
  const double top_px = 210, foot_px = full ? 84 : 60,
               height = top_px + foot_px + lane_px * std::max(1.0, count);
  const std::time_t began = static_cast<std::time_t>(lanes.begin() / 1'000'000);
  const std::string title = fmt::format(
      "{}{}, {} replicas{}, from {:%Y-%m-%d %H:%M:%S} UTC, {:.0f} s, bins of {:g} s", Text(options.title),
      options.title.empty() ? Text(lanes.node()) : "", shown.size(),
      hidden > 0 ? fmt::format(" of {}", shown.size() + hidden) : "", fmt::gmtime(began), span, bin_s);
  std::string s = GnuplotHead(options.out, options.width, height, 10);
  s += fleet + states.Block() + traffic.Block() + faults.Block() + rests.Block() + unusual.Block();
  s += "$first << EOD\n" + (firsts_block.empty() ? std::string("\n") : firsts_block) + "EOD\n";
  s += "set multiplot\n";
  s += fmt::format("set xrange [0:{:.3f}]\nset lmargin at screen 0.13\nset rmargin at screen 0.985\n", span);
  s += fmt::format("set tmargin at screen {:.5f}\nset bmargin at screen {:.5f}\n", 1 - 30 / height,
                   1 - (top_px - 30) / height);
  s += fmt::format(
      "set title \"{}\" font \",11\" offset 0,-0.4\nset ylabel \"requests/s\"\nset yrange [0:*]\n", title);
  s += "set key top right horizontal samplen 2 font \",8\"\nset xtics format \"\"\nset grid xtics lc rgb "
       "\"#dddddd\"\n";
  s += fleet_events + marks;
  s += "plot $fleet using 1:2 with lines lw 1.5 lc rgb \"#333333\" title \"arrived\", "
       "$fleet using 1:3 with lines lw 1.5 lc rgb \"#2f8f46\" title \"served\", "
       "$fleet using 1:4 with lines lw 1.5 lc rgb \"#c8321f\" title \"refused or failed\"";
  s += ", $fleet using 1:5 with lines lw 1 dt 2 lc rgb \"#7b5aa6\" title \"counted, not kept\"\n";
  s += "unset arrow\nunset label\nunset object\nunset title\n";
  s += fmt::format("set tmargin at screen {:.5f}\nset bmargin at screen {:.5f}\n", 1 - (top_px - 10) / height,
                   foot_px / height);
  s += fmt::format("set yrange [0:{}]\nunset ylabel\nset ytics ({}) font \",{}\" scale 0\n",
                   std::max(1.0, count), tics, full ? 9 : 6);
  s += "set xtics format \"%g s\"\nset grid xtics front lc rgb "
       "\"#e4e4e4\"\n";
  s += fmt::format(
      "set key at screen 0.985, screen {:.5f} right bottom horizontal maxrows 1 samplen 1.2 font \",8\"\n",
      6 / height);
  s += labels;
  s += "plot -1 notitle" + states.Term() + traffic.Term() + faults.Term() + rests.Term() + unusual.Term();
  if (full) {
    s += fmt::format(
        ", $first using 1:2 with lines lw 1.2 lc rgb \"#222222\" title \"first token (lane's top: {:.0f} "
        "ms)\"",
        most_first);
    s += fmt::format(", keyentry with boxes fs solid lc rgb {} title \"sent (most: {:.0f}/s)\"", kSent,
                     most_sent / bin_s);
  }
  for (const auto& [colour, name] : std::vector<std::pair<unsigned, const char*>>{{kReady, "ready"},
                                                                                  {kDraining, "draining"},
                                                                                  {kUnknown, "unknown"},
                                                                                  {kGone, "gone"},
                                                                                  {kFailed, "failed"},
                                                                                  {kFull, "turned away"},
                                                                                  {kRest, "rests"},
                                                                                  {kUnusual, "unusual"}})
    s += fmt::format(", keyentry with boxes fs solid lc rgb {} title \"{}\"", colour, name);
  s += "\nunset multiplot\nunset output\n";
  return s;
}

}  // namespace ryeglade::timeline
