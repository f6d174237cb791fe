#include "rollout/report_chart_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <stdexcept>

#include "base/gnuplot.h"

namespace ryeglade::rollout {
namespace {

// Widths, heights and margins are in pixels.
constexpr double kWidth = 1100, kComparisonPanelHeight = 190;
constexpr double kNodeRowHeight = 16, kNodePanelMargin = 60;
constexpr double kMinNodePanelHeight = 120, kMaxNodePanelHeight = 700;
constexpr int kFontPoints = 9;
constexpr double kBarTop = 0.12, kBarBottom = 0.88;  // edges of a node's bar, as parts of its row
constexpr double kMinYRange = 1e-3;                  // of a comparison panel

struct ComparisonPanel {
  const char* metric;
  const char* title;
};
constexpr ComparisonPanel kComparisonPanels[] = {{"failed", "failed: new less old"},
                                                 {"late", "not in time: new less old"},
                                                 {"first-token", "ln(first token): new less old"}};
constexpr double kPanels = static_cast<double>(std::size(kComparisonPanels));

// Returns the colour of a RecordedNode::state; grey for "old" and unknown states.
const char* ColourOf(const std::string& node_state) {
  if (node_state == "new") return "#4c9f70";
  if (node_state == "changing") return "#4070c0";
  if (node_state == "gone") return "#c03030";
  if (node_state == "left-alone") return "#e0a030";
  return "#b8b8b8";
}

// Makes text safe for a gnuplot string in double quotes: special characters become spaces.
std::string Escaped(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    const bool special = c == '"' || c == '\\' || c == '`' || c == '\n';
    escaped += special ? ' ' : c;
  }
  return escaped;
}

class ChartScript {
 public:
  // `record` and `out` must outlive this object.
  ChartScript(const std::vector<RecordedRound>& record, const std::string& out) : record_(record), out_(out) {
    for (const RecordedRound& round : record) {
      if (round.fault.empty()) rounds_.push_back(&round);
    }
    if (rounds_.empty()) throw std::runtime_error("the record has no round, so no chart can be drawn");
    begin_ = record.front().at;
    end_ = std::max(record.back().at, begin_ + 1);
    for (const RecordedNode& node : rounds_.back()->nodes) node_names_.push_back(node.name);
    rows_ = static_cast<double>(std::max<std::size_t>(node_names_.size(), 1));
    node_panel_height_ =
        std::clamp(rows_ * kNodeRowHeight + kNodePanelMargin, kMinNodePanelHeight, kMaxNodePanelHeight);
    height_ = node_panel_height_ + kPanels * kComparisonPanelHeight;
  }

  std::string Build() {
    script_ = GnuplotHead(out_, kWidth, height_, kFontPoints);
    script_ += "set multiplot\nset lmargin at screen 0.10\nset rmargin at screen 0.97\n";
    script_ += fmt::format("set xrange [0:{:.3f}]\nunset key\n", end_ - begin_);
    // Objects and arrows that are set before the first plot appear on every panel, each over its full height.
    AddFaults();
    AddStageBegins();
    AddNodePanel();
    double top = node_panel_height_;
    for (const ComparisonPanel& panel : kComparisonPanels) {
      AddComparisonPanel(panel, top);
      top += kComparisonPanelHeight;
    }
    return script_ + "unset multiplot\n";
  }

 private:
  void PlacePanel(double top, double panel_height) {
    script_ += fmt::format("set origin 0,{:.4f}\nset size 1,{:.4f}\n", 1 - (top + panel_height) / height_,
                           panel_height / height_);
  }

  void AddFaults() {
    std::map<std::string, double> begun;  // start times of faults that have not ended so far, by name
    for (const RecordedRound& marker : record_) {
      if (marker.fault.empty()) continue;
      if (!marker.fault_ends) {
        begun.emplace(marker.fault, marker.at);
      } else if (const auto at = begun.find(marker.fault); at != begun.end()) {
        AddShading(at->second, marker.at);
        begun.erase(at);
      }
    }
    for (const auto& [fault, at] : begun) AddShading(at, end_);
  }

  void AddShading(double from, double to) {
    script_ += fmt::format(
        "set object {} rect from first {:.3f},graph 0 to first {:.3f},graph 1 fs solid 0.15 noborder fc rgb "
        "\"#808080\" behind\n",
        ++objects_, from - begin_, to - begin_);
  }

  void AddStageBegins() {
    std::size_t stage = 0;
    int arrow = 0;
    for (const RecordedRound* round : rounds_) {
      if (round->stage == stage || round->stage == 0) continue;
      stage = round->stage;
      ++arrow;
      const double at = round->at - begin_;
      script_ += fmt::format(
          "set arrow {} from first {:.3f},graph 0 to first {:.3f},graph 1 nohead dt 3 lc rgb \"#606060\"\n"
          "set label {} \" stage {}\" at first {:.3f},graph 0.97 font \",7\"\n",
          arrow, at, at, arrow, stage, at);
    }
  }

  void AddNodePanel() {
    PlacePanel(0, node_panel_height_);
    const RecordedRound& last = *rounds_.back();
    const std::string reason = last.reason.empty() ? "" : ", " + last.reason;
    script_ +=
        fmt::format("set title \"{}\"\n", Escaped("final state of the rollout: " + last.state + reason));
    script_ += fmt::format("set yrange [{}:0]\n", rows_);
    std::string tics;
    for (std::size_t i = 0; i < node_names_.size(); ++i)
      tics += fmt::format("{}\"{}\" {}", i == 0 ? "" : ", ", Escaped(node_names_[i]),
                          static_cast<double>(i) + 0.5);
    script_ += "set ytics (" + tics + ")\n";
    const int before = objects_;
    for (std::size_t i = 0; i < node_names_.size(); ++i) AddNodeRow(static_cast<double>(i), node_names_[i]);
    script_ += "plot NaN\n";
    for (int object = before + 1; object <= objects_; ++object)
      script_ += fmt::format("unset object {}\n", object);
    script_ += "unset title\nset ytics auto\nset autoscale y\n";
  }

  void AddNodeRow(double row, const std::string& name) {
    std::string state;
    double since = begin_;
    for (const RecordedRound* round : rounds_) {
      const auto node = std::find_if(round->nodes.begin(), round->nodes.end(),
                                     [&](const RecordedNode& n) { return n.name == name; });
      const std::string now = node == round->nodes.end() ? "" : node->state;
      if (now == state) continue;
      AddNodeBar(row, state, since, round->at);
      state = now;
      since = round->at;
    }
    AddNodeBar(row, state, since, end_);
  }

  void AddNodeBar(double row, const std::string& state, double from, double to) {
    if (state.empty() || to <= from) return;
    script_ +=
        fmt::format("set object {} rect from {:.3f},{} to {:.3f},{} fs solid 0.85 noborder fc rgb \"{}\"\n",
                    ++objects_, from - begin_, row + kBarTop, to - begin_, row + kBarBottom, ColourOf(state));
  }

  void AddComparisonPanel(const ComparisonPanel& panel, double top) {
    PlacePanel(top, kComparisonPanelHeight);
    std::string data;  // columns: seconds, difference, lower and upper bound of the difference
    double allowed = 0;
    double largest = 0;
    for (const RecordedRound* round : rounds_) {
      for (const CohortComparison& c : round->comparisons) {
        if (c.class_name != kAllClasses || c.metric != panel.metric || !c.known()) continue;
        allowed = c.allowed;
        data += fmt::format("{:.3f} {} {} {}\n", round->at - begin_, c.difference,
                            c.difference - c.half_width, c.difference + c.half_width);
        largest = std::max(largest, std::abs(c.difference));
      }
    }
    script_ += fmt::format("set ylabel \"{}\"\n", panel.title);
    const bool last = top + kComparisonPanelHeight >= height_ - 1;
    if (last) script_ += "set xlabel \"seconds\"\n";
    if (data.empty()) {
      script_ += "set yrange [-1:1]\nplot NaN\n";
      return;
    }
    // The range ignores the confidence intervals: those of the first rounds are so wide that they would hide
    // the rest.
    const double range = std::max({3 * allowed, 1.5 * largest, kMinYRange});
    script_ += fmt::format("set yrange [{}:{}]\n$d << EOD\n{}EOD\n", -range, range, data);
    script_ += fmt::format(
        "plot $d using 1:3:4 with filledcurves fc rgb \"#4070c0\" fs transparent solid 0.25, $d using 1:2 "
        "with lines lc rgb \"#203060\", {} with lines dt 2 lc rgb \"#c03030\", 0 with lines lc rgb "
        "\"#808080\"\n",
        allowed);
  }

  const std::vector<RecordedRound>& record_;
  const std::string& out_;                     // path of the image
  std::vector<const RecordedRound*> rounds_;   // without the markers of faults
  std::vector<std::string> node_names_;        // rows from the top, as in the last round
  double begin_ = 0, end_ = 0;                 // seconds, Unix time
  double rows_ = 0;                            // number of rows of nodes, at least 1
  double node_panel_height_ = 0, height_ = 0;  // pixels
  int objects_ = 0;                            // the highest number given to a gnuplot object so far
  std::string script_;
};

}  // namespace

std::string ReportChart(const std::vector<RecordedRound>& rounds, const std::string& out) {
  return ChartScript(rounds, out).Build();
}

}  // namespace ryeglade::rollout
