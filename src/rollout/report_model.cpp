#include "rollout/report_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/gnuplot.h"

namespace ryeglade::rollout {
namespace {

using nlohmann::json;

constexpr std::size_t kMostNodes = 2000, kMostComparisons = 2000;
constexpr const char* kAllClasses = "all";
constexpr double kUnknown = 1e6;  // a half beyond this says that nothing is known yet

double Finite(double v) { return std::isfinite(v) ? v : 0; }

json Of(const Comparison& c) {
  json j = {{"class", c.cls},
            {"what", c.what},
            {"n_new", Finite(c.n_new)},
            {"n_old", Finite(c.n_old)},
            {"new", Finite(c.mean_new)},
            {"old", Finite(c.mean_old)},
            {"difference", Finite(c.difference)},
            {"allowed", Finite(c.allowed)},
            {"worse", c.worse}};
  if (std::isfinite(c.half) && c.half < kUnknown) j["half"] = c.half;
  return j;
}

Comparison ComparisonOf(const json& j) {
  Comparison c;
  c.cls = j.value("class", "");
  c.what = j.value("what", "");
  c.n_new = j.value("n_new", 0.0), c.n_old = j.value("n_old", 0.0);
  c.mean_new = j.value("new", 0.0), c.mean_old = j.value("old", 0.0);
  c.difference = j.value("difference", 0.0);
  c.half = j.value("half", kUnknown);
  c.allowed = j.value("allowed", 0.0);
  c.worse = j.value("worse", false);
  return c;
}

const char* ColourOf(const std::string& state) {
  if (state == "new") return "#4c9f70";
  if (state == "changing") return "#4070c0";
  if (state == "gone") return "#c03030";
  if (state == "left-alone") return "#e0a030";
  return "#b8b8b8";
}

std::string Quoted(const std::string& text) {
  std::string out;
  for (const char c : text) out += c == '"' || c == '\\' || c == '`' || c == '\n' ? ' ' : c;
  return out;
}

}  // namespace

std::string EncodeRound(const RecordedRound& r) {
  json j = {{"at", r.at}};
  if (!r.fault.empty()) {
    j["fault"] = r.fault;
    j["ends"] = r.ends;
  } else {
    j["course"] = r.course, j["why"] = r.why, j["driver"] = r.driver, j["epoch"] = r.epoch;
    j["stage"] = r.stage, j["in_change"] = r.in_change;
    json nodes = json::array(), comparisons = json::array();
    for (const RecordedNode& n : r.nodes) nodes.push_back({n.name, n.zone, n.state});
    for (const Comparison& c : r.comparisons) comparisons.push_back(Of(c));
    j["nodes"] = std::move(nodes);
    if (!comparisons.empty()) j["comparisons"] = std::move(comparisons);
  }
  return j.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::optional<RecordedRound> DecodeRound(std::string_view line) {
  try {
    const json j = json::parse(line);
    RecordedRound r;
    r.at = j.at("at").get<double>();
    if (!std::isfinite(r.at)) return std::nullopt;
    r.fault = j.value("fault", "");
    r.ends = j.value("ends", false);
    if (!r.fault.empty()) return r;
    r.course = j.at("course").get<std::string>();
    r.why = j.value("why", ""), r.driver = j.value("driver", "");
    r.epoch = j.value("epoch", std::uint64_t{0});
    r.stage = j.value("stage", std::size_t{0}), r.in_change = j.value("in_change", std::size_t{0});
    const json nodes = j.value("nodes", json::array());
    const json comparisons = j.value("comparisons", json::array());
    if (nodes.size() > kMostNodes || comparisons.size() > kMostComparisons) return std::nullopt;
    for (const json& n : nodes)
      r.nodes.push_back({n.at(0).get<std::string>(), n.at(1).get<std::string>(), n.at(2).get<std::string>()});
    for (const json& c : comparisons) r.comparisons.push_back(ComparisonOf(c));
    return r;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::vector<RecordedRound> DecodeRecord(std::string_view text, std::size_t* skipped) {
  std::vector<RecordedRound> all;
  *skipped = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    if (end > 0) {
      if (auto r = DecodeRound(text.substr(0, end))) {
        all.push_back(std::move(*r));
      } else {
        ++*skipped;
      }
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const RecordedRound& a, const RecordedRound& b) { return a.at < b.at; });
  return all;
}

std::string ReportTable(const std::vector<RecordedRound>& rounds) {
  if (rounds.empty()) return "no round is recorded\n";
  const double begin = rounds.front().at;
  std::string out = fmt::format("{:>9}  {:<10} {:>5} {:>9} {:>5} {:>5} {:>5}  {}\n", "seconds", "course",
                                "stage", "in change", "new", "old", "gone", "why");
  std::string last;
  const RecordedRound* compared = nullptr;
  for (const RecordedRound& r : rounds) {
    if (!r.fault.empty()) {
      out += fmt::format("{:>9.1f}  fault {} {}\n", r.at - begin, r.fault, r.ends ? "is over" : "begins");
      continue;
    }
    if (!r.comparisons.empty()) compared = &r;
    std::map<std::string, int> states;
    for (const RecordedNode& n : r.nodes) ++states[n.state];
    const std::string line = fmt::format("{:<10} {:>5} {:>9} {:>5} {:>5} {:>5}  {}", r.course, r.stage,
                                         r.in_change, states["new"], states["old"], states["gone"], r.why);
    // The counts of a wait change with each round; a turn is what is worth a line.
    const std::string turn =
        fmt::format("{} {} {} {} {}", r.course, r.stage, states["new"], states["old"], states["gone"]);
    if (turn == last) continue;
    last = turn;
    out += fmt::format("{:>9.1f}  {}\n", r.at - begin, line);
  }
  out += fmt::format("{:>9.1f}  the end of the record\n", rounds.back().at - begin);
  if (compared == nullptr) return out;
  out += fmt::format("\n{:<12} {:<12} {:>9} {:>9} {:>10} {:>10} {:>10} {:>9} {:>9}\n", "class", "what",
                     "new n", "old n", "new", "old", "difference", "+-", "allowed");
  for (const Comparison& c : compared->comparisons) {
    out += fmt::format("{:<12} {:<12} {:>9.0f} {:>9.0f} {:>10.4f} {:>10.4f} {:>+10.4f} {:>9} {:>9.4f}{}\n",
                       c.cls, c.what, c.n_new, c.n_old, c.mean_new, c.mean_old, c.difference,
                       c.half < kUnknown ? fmt::format("{:.4f}", c.half) : "?", c.allowed,
                       c.worse ? "  WORSE" : "");
  }
  return out;
}

TextTable ReportSheet(const std::vector<RecordedRound>& rounds) {
  Rows rows("comparisons", {{"at_seconds", Numbers{}},
                            {"course", Texts{}},
                            {"stage", Wholes{}},
                            {"class", Texts{}},
                            {"what", Texts{}},
                            {"n_new", Numbers{}},
                            {"n_old", Numbers{}},
                            {"new", Numbers{}},
                            {"old", Numbers{}},
                            {"difference", Numbers{}},
                            {"half", Numbers{}},
                            {"allowed", Numbers{}},
                            {"worse", Wholes{}}});
  for (const RecordedRound& r : rounds) {
    for (const Comparison& c : r.comparisons)
      rows.Add(r.at - rounds.front().at, r.course, r.stage, c.cls, c.what, c.n_new, c.n_old, c.mean_new,
               c.mean_old, c.difference, c.half < kUnknown ? c.half : std::nan(""), c.allowed,
               c.worse ? 1 : 0);
  }
  return rows.Take();
}

std::string ReportChart(const std::vector<RecordedRound>& rounds, const std::string& out) {
  std::vector<const RecordedRound*> seen;
  for (const RecordedRound& r : rounds) {
    if (r.fault.empty()) seen.push_back(&r);
  }
  if (seen.empty()) throw std::runtime_error("no round is recorded");
  const double begin = rounds.front().at, end = std::max(rounds.back().at, begin + 1);
  std::vector<std::string> names;
  for (const RecordedNode& n : seen.back()->nodes) names.push_back(n.name);
  const double lanes = static_cast<double>(std::max<std::size_t>(names.size(), 1));
  const double top = std::clamp(lanes * 16 + 60, 120.0, 700.0), panel = 190;
  std::string script = GnuplotHead(out, 1100, top + 3 * panel, 9);
  script += "set multiplot\nset lmargin at screen 0.10\nset rmargin at screen 0.97\n";
  script += fmt::format("set xrange [0:{:.3f}]\nunset key\n", end - begin);
  const double whole = top + 3 * panel;
  const auto place = [&](double from, double high) {
    script +=
        fmt::format("set origin 0,{:.4f}\nset size 1,{:.4f}\n", 1 - (from + high) / whole, high / whole);
  };

  // Faults and the begin of each stage, on every panel, in the graph's own height.
  std::string shades;
  int object = 0;
  std::map<std::string, double> open;
  const auto shade = [&](double from, double to) {
    shades += fmt::format(
        "set object {} rect from first {:.3f},graph 0 to first {:.3f},graph 1 fs solid 0.15 noborder fc rgb "
        "\"#808080\" behind\n",
        ++object, from - begin, to - begin);
  };
  for (const RecordedRound& r : rounds) {
    if (r.fault.empty()) continue;
    if (!r.ends) {
      open.emplace(r.fault, r.at);
    } else if (const auto it = open.find(r.fault); it != open.end()) {
      shade(it->second, r.at);
      open.erase(it);
    }
  }
  for (const auto& [fault, at] : open) shade(at, end);
  std::size_t stage = 0;
  int arrow = 0;
  for (const RecordedRound* r : seen) {
    if (r->stage == stage || r->stage == 0) continue;
    stage = r->stage;
    ++arrow;
    shades += fmt::format(
        "set arrow {} from first {:.3f},graph 0 to first {:.3f},graph 1 nohead dt 3 lc rgb \"#606060\"\n"
        "set label {} \" stage {}\" at first {:.3f},graph 0.97 font \",7\"\n",
        arrow, r->at - begin, r->at - begin, arrow, stage, r->at - begin);
  }
  script += shades;
  const int shared = object;

  place(0, top);
  script +=
      fmt::format("set title \"{}\"\n", Quoted("the rollout's end: " + seen.back()->course +
                                               (seen.back()->why.empty() ? "" : ", " + seen.back()->why)));
  script += fmt::format("set yrange [{}:0]\n", lanes);
  std::string tics;
  for (std::size_t i = 0; i < names.size(); ++i)
    tics += fmt::format("{}\"{}\" {}", i == 0 ? "" : ", ", Quoted(names[i]), static_cast<double>(i) + 0.5);
  script += "set ytics (" + tics + ")\n";
  for (std::size_t i = 0; i < names.size(); ++i) {
    std::string state;
    double since = begin;
    const auto close = [&](double at) {
      if (state.empty() || at <= since) return;
      script +=
          fmt::format("set object {} rect from {:.3f},{} to {:.3f},{} fs solid 0.85 noborder fc rgb \"{}\"\n",
                      ++object, since - begin, static_cast<double>(i) + 0.12, at - begin,
                      static_cast<double>(i) + 0.88, ColourOf(state));
    };
    for (const RecordedRound* r : seen) {
      const auto n = std::find_if(r->nodes.begin(), r->nodes.end(),
                                  [&](const RecordedNode& x) { return x.name == names[i]; });
      const std::string now = n == r->nodes.end() ? "" : n->state;
      if (now == state) continue;
      close(r->at);
      state = now;
      since = r->at;
    }
    close(end);
  }
  script += "plot NaN\n";
  for (int i = shared + 1; i <= object; ++i) script += fmt::format("unset object {}\n", i);
  script += "unset title\nset ytics auto\nset autoscale y\n";

  double from = top;
  for (const auto& [what, title] : {std::pair{"failed", "failed: new less old"},
                                    {"late", "not in time: new less old"},
                                    {"first-token", "ln(first token): new less old"}}) {
    place(from, panel);
    from += panel;
    std::string data;
    double allowed = 0, most = 0;
    for (const RecordedRound* r : seen) {
      for (const Comparison& c : r->comparisons) {
        if (c.cls != kAllClasses || c.what != what || c.half >= kUnknown) continue;
        allowed = c.allowed;
        data += fmt::format("{:.3f} {} {} {}\n", r->at - begin, c.difference, c.difference - c.half,
                            c.difference + c.half);
        most = std::max(most, std::abs(c.difference));
      }
    }
    script += fmt::format("set ylabel \"{}\"\n", title);
    if (from >= whole - 1) script += "set xlabel \"seconds\"\n";
    if (data.empty()) {
      script += "set yrange [-1:1]\nplot NaN\n";
      continue;
    }
    // Wide intervals of the first rounds must not hide the rest.
    const double high = std::max({3 * allowed, 1.5 * most, 1e-3});
    script += fmt::format("set yrange [{}:{}]\n$d << EOD\n{}EOD\n", -high, high, data);
    script += fmt::format(
        "plot $d using 1:3:4 with filledcurves fc rgb \"#4070c0\" fs transparent solid 0.25, $d using 1:2 "
        "with "
        "lines lc rgb \"#203060\", {} with lines dt 2 lc rgb \"#c03030\", 0 with lines lc rgb \"#808080\"\n",
        allowed);
  }
  return script + "unset multiplot\n";
}

}  // namespace ryeglade::rollout
