#include "lab/experiment/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <map>
#include <numeric>
#include <set>
#include <stdexcept>

#include "base/gnuplot.h"
#include "lab/experiment/measures.h"

namespace ryeglade::experiment {
namespace {

using emulator::Interval;
using emulator::IntervalOf;

constexpr std::size_t kMaxCharts = 12;

std::vector<double> WithoutNaN(const std::vector<double>& by_seed) {
  std::vector<double> out;
  std::copy_if(by_seed.begin(), by_seed.end(), std::back_inserter(out),
               [](double v) { return !std::isnan(v); });
  return out;
}

std::string FormatInterval(const Interval& i, int digits, bool with_sign) {
  return with_sign ? fmt::format("{:+.{}f} ± {:.{}f}", i.mean, digits, i.half, digits)
                   : fmt::format("{:.{}f} ± {:.{}f}", i.mean, digits, i.half, digits);
}

const char* Verdict(double difference, int better, bool significant) {
  if (!significant) return "noise";
  if (better == 0) return "differs";
  return (difference > 0) == (better > 0) ? "better" : "worse";
}

// Groups the cells by the values of all axes except `excluded`; each group is ordered by that axis.
std::vector<std::vector<std::size_t>> CellsAlong(const Experiment& e, std::size_t excluded) {
  std::map<std::vector<std::size_t>, std::vector<std::size_t>> by;
  for (std::size_t c = 0; c < e.cells.size(); ++c) {
    std::vector<std::size_t> others = e.cells[c].at;
    if (excluded < others.size()) others.erase(others.begin() + static_cast<std::ptrdiff_t>(excluded));
    by[others].push_back(c);
  }
  std::vector<std::vector<std::size_t>> out;
  out.reserve(by.size());
  for (auto& [others, cells] : by) out.push_back(std::move(cells));
  return out;
}

std::string GnuplotText(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '"' || c == '\\' || c == '_' || c == '{' || c == '}' || c == '^' || c == '@' || c == '&') {
      if (c == '"') {
        out += '\'';
        continue;
      }
      out += "\\\\";
    }
    out += c;
  }
  return out;
}

class GnuplotScript {
 public:
  GnuplotScript(const std::string& out, double width, double height, const std::string& title, int rows,
                int columns) {
    head_ = GnuplotHead(out, width, height, 11);
    head_ += fmt::format("set multiplot layout {},{} title \"{}\"\n", rows, columns, GnuplotText(title));
    head_ += "set grid lc rgb \"#dddddd\"\nset autoscale xfix\nset offsets graph 0.03, graph 0.03, 0, 0\n";
  }
  std::string AddData(const std::string& lines) {
    std::string name = fmt::format("$d{}", blocks_++);
    data_ += name + " << EOD\n" + lines + "EOD\n";
    return name;
  }
  void Add(const std::string& text) { body_ += text; }
  std::string Take() const { return data_ + head_ + body_ + "unset multiplot\nunset output\n"; }

 private:
  std::string head_, data_, body_;
  int blocks_ = 0;
};

std::string AxisChart(const Results& r, std::size_t axis, const std::vector<std::size_t>& cells,
                      const std::string& out) {
  const Experiment& e = r.experiment;
  const std::size_t panels = e.measures.size(), columns = std::min<std::size_t>(3, panels),
                    rows = (panels + columns - 1) / columns;
  std::string title = e.title;
  for (std::size_t a = 0; a < e.axes.size(); ++a) {
    if (a != axis) title += ", " + e.axes[a].label + " " + e.axes[a].values[e.cells[cells.front()].at[a]];
  }
  GnuplotScript s(out, 420.0 * static_cast<double>(columns), 340.0 * static_cast<double>(rows) + 30, title,
                  static_cast<int>(rows), static_cast<int>(columns));
  s.Add(fmt::format("set xlabel \"{}\"\n", GnuplotText(e.axes[axis].label)));
  for (std::size_t m = 0; m < panels; ++m) {
    const Measure& measure = MeasureOf(e.measures[m]);
    s.Add(fmt::format("set ylabel \"{}\"\n", GnuplotText(measure.label)));
    s.Add(measure.name.find("_ms") != std::string::npos ? "set logscale y\nset yrange [*:*]\n"
                                                        : "unset logscale y\nset yrange [0:*]\n");
    s.Add(m == 0 ? "set key bottom left\n" : "unset key\n");
    s.Add("plot ");
    for (std::size_t p = 0; p < e.policies.size(); ++p) {
      std::string lines;
      for (const std::size_t c : cells) {
        const std::vector<double> values = WithoutNaN(r.ValuesOf(c, p, measure.name));
        if (values.empty()) continue;
        const Interval i = IntervalOf(values);
        lines += fmt::format("{} {:.6g} {:.6g}\n", e.axes[axis].numbers[e.cells[c].at[axis]], i.mean, i.half);
      }
      s.Add(fmt::format("{}{} using 1:2:3 with yerrorlines lw 1.6 pt 7 ps 0.4 lc {} title \"{}\"",
                        p > 0 ? ", " : "", s.AddData(lines), p + 1, GnuplotText(e.policies[p])));
    }
    s.Add("\n");
  }
  return s.Take();
}

// Returns the time series of a cell and policy, averaged over the seeds.
std::vector<SeriesPoint> MeanSeries(const Results& r, std::size_t cell, std::size_t policy) {
  std::vector<SeriesPoint> out;
  std::vector<int> n;
  for (std::size_t seed = 0; seed < r.experiment.seeds; ++seed) {
    const ScenarioRow* row =
        r.Find((cell * r.experiment.policies.size() + policy) * r.experiment.seeds + seed);
    if (row == nullptr) continue;
    if (out.size() < row->series.size()) {
      out.resize(row->series.size());
      n.resize(out.size());
    }
    for (std::size_t t = 0; t < row->series.size(); ++t) {
      const SeriesPoint& p = row->series[t];
      ++n[t];
      out[t].at = p.at;
      out[t].worth_asked += p.worth_asked;
      out[t].worth += p.worth;
      out[t].refused += p.refused;
      out[t].held += p.held;
      out[t].caps += p.caps;
      out[t].busy += p.busy;
      out[t].arrived += p.arrived;
    }
  }
  for (std::size_t t = 0; t < out.size(); ++t) {
    for (double* v : {&out[t].worth_asked, &out[t].worth, &out[t].refused, &out[t].held, &out[t].caps,
                      &out[t].busy, &out[t].arrived})
      *v /= std::max(1, n[t]);
  }
  return out;
}

std::string SeriesChart(const Results& r, std::size_t cell, const std::string& out) {
  const Experiment& e = r.experiment;
  std::string name = e.CellName(cell);
  GnuplotScript s(out, 1260, 660, e.title + (name.empty() ? "" : ", " + name) + ": time series", 2, 3);
  std::vector<std::string> blocks;
  for (std::size_t p = 0; p < e.policies.size(); ++p) {
    std::string lines;
    for (const SeriesPoint& t : MeanSeries(r, cell, p)) {
      if (t.at >= e.cells[cell].scenario.seconds) break;
      lines += fmt::format("{} {:.6g} {:.6g} {:.6g} {:.6g} {:.6g} {:.6g}\n", t.at, t.arrived, t.worth,
                           t.refused, t.held, t.caps, t.busy);
    }
    blocks.push_back(s.AddData(lines));
  }
  s.Add("set xlabel \"second\"\nset yrange [0:*]\n");
  int column = 2;
  for (const char* label : {"requests, 1/s", "worth served, 1/s", "refused finally, 1/s", "queued at nodes",
                            "concurrency limits, all nodes together", "being read or answered at replicas"}) {
    s.Add(fmt::format("set ylabel \"{}\"\n{}\nplot ", label,
                      column == 2 ? "set key bottom right" : "unset key"));
    for (std::size_t p = 0; p < blocks.size(); ++p)
      s.Add(fmt::format("{}{} using 1:{} with lines lw 1.6 lc {} title \"{}\"", p > 0 ? ", " : "", blocks[p],
                        column, p + 1, GnuplotText(e.policies[p])));
    s.Add("\n");
    ++column;
  }
  return s.Take();
}

std::string FirstTokenChart(const Results& r, std::size_t cell, const std::string& out) {
  const Experiment& e = r.experiment;
  const std::string name = e.CellName(cell);
  GnuplotScript s(out, 760, 480, e.title + (name.empty() ? "" : ", " + name) + ": first tokens", 1, 1);
  s.Add(
      "set logscale x\nset xlabel \"first token, ms\"\nset ylabel \"share of the answers\"\nset yrange "
      "[0:1]\nset "
      "key bottom right\nplot ");
  for (std::size_t p = 0; p < e.policies.size(); ++p) {
    std::map<double, double> bins;
    double all = 0, upto = 0;
    for (std::size_t seed = 0; seed < e.seeds; ++seed) {
      const ScenarioRow* row = r.Find((cell * e.policies.size() + p) * e.seeds + seed);
      if (row == nullptr) continue;
      for (const auto& [from, count] : row->first_token) {
        bins[std::max(from, 0.1)] += count;
        all += count;
      }
    }
    std::string lines;
    for (const auto& [from, count] : bins)
      lines += fmt::format("{:.5g} {:.5f}\n", from, (upto += count) / all);
    s.Add(fmt::format("{}{} using 1:2 with steps lw 1.6 lc {} title \"{}\"", p > 0 ? ", " : "",
                      s.AddData(lines.empty() ? "1 0\n" : lines), p + 1, GnuplotText(e.policies[p])));
  }
  s.Add("\n");
  return s.Take();
}

// One heat map for each policy: time on the x axis, replicas on the y axis, and as colour what a replica
// served relative to the mean of its interval.
std::string ReplicaChart(const Results& r, std::size_t cell, const std::string& out) {
  const Experiment& e = r.experiment;
  const std::string name = e.CellName(cell);
  const std::size_t n = e.policies.size(), columns = std::min<std::size_t>(3, n),
                    rows = (n + columns - 1) / columns;
  GnuplotScript s(out, 440.0 * static_cast<double>(columns), 360.0 * static_cast<double>(rows) + 30,
                  e.title + (name.empty() ? "" : ", " + name) + ": served by each replica, times the mean",
                  static_cast<int>(rows), static_cast<int>(columns));
  s.Add(
      "set xlabel \"second\"\nset ylabel \"replica\"\nset cbrange [0:2]\nunset key\n"
      "set autoscale yfix\nset offsets 0, 0, 0, 0\nset palette defined (0 \"#f7f7f7\", 1 \"#67a9cf\", 2 "
      "\"#b2182b\")\n");
  for (std::size_t p = 0; p < n; ++p) {
    const ScenarioRow* row = r.Find((cell * n + p) * e.seeds);
    std::string lines;
    const double every = e.cells[cell].scenario.replica_series_interval_s;
    for (std::size_t t = 0; row != nullptr && t < row->served_in.size(); ++t) {
      if (static_cast<double>(t) * every >= e.cells[cell].scenario.seconds) break;
      const auto& list = row->served_in[t];
      const double mean = static_cast<double>(std::accumulate(list.begin(), list.end(), std::uint64_t{0})) /
                          std::max(1.0, static_cast<double>(list.size()));
      for (std::size_t i = 0; i < list.size(); ++i)
        lines += fmt::format("{} {} {:.3f}\n", (static_cast<double>(t) + 0.5) * every, i,
                             mean > 0 ? list[i] / mean : 0.0);
      lines += "\n";
    }
    s.Add(fmt::format("set title \"{}\"\nplot {} using 1:2:3 with image\n", GnuplotText(e.policies[p]),
                      s.AddData(lines.empty() ? "0 0 0\n" : lines)));
  }
  return s.Take();
}

}  // namespace

Difference PairedDifference(const std::vector<double>& a, const std::vector<double>& b) {
  std::vector<double> by;
  for (std::size_t s = 0; s < a.size() && s < b.size(); ++s) {
    if (!std::isnan(a[s]) && !std::isnan(b[s])) by.push_back(b[s] - a[s]);
  }
  Difference difference;
  difference.pairs = by.size();
  difference.interval = IntervalOf(by);
  if (by.size() < 2) return difference;
  const auto n = static_cast<double>(by.size());
  const boost::math::students_t t(n - 1);
  const double error = difference.interval.half / boost::math::quantile(t, 0.975);
  if (error <= 0) {  // all pairs have the same difference
    difference.p = difference.interval.mean == 0 ? 1 : 0;
    return difference;
  }
  difference.p = 2 * boost::math::cdf(boost::math::complement(t, std::abs(difference.interval.mean) / error));
  return difference;
}

std::vector<bool> HolmSignificant(const std::vector<double>& p) {
  std::vector<std::size_t> order(p.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return p[a] < p[b]; });
  std::vector<bool> significant(p.size());
  for (std::size_t n = 0; n < order.size(); ++n) {
    if (p[order[n]] > 0.05 / static_cast<double>(p.size() - n)) break;
    significant[order[n]] = true;
  }
  return significant;
}

std::string ReportMarkdown(const Results& r, const std::vector<std::string>& charts) {
  const Experiment& e = r.experiment;
  std::string out = "# " + e.title + "\n\n";
  out += fmt::format("{} of {} simulations: {} cells, {} policies, {} seeds from {}. Made by {}.\n",
                     r.rows.size(), e.simulations(), e.cells.size(), e.policies.size(), e.seeds, e.first_seed,
                     r.build);
  std::vector<double> breaks(e.policies.size());
  for (const ScenarioRow& row : r.rows) breaks[e.PolicyOf(row.simulation)] += row.measures.at("breaks");
  out += "Rule violations:";
  for (std::size_t p = 0; p < breaks.size(); ++p)
    out += fmt::format("{} {} {:.0f}", p > 0 ? "," : "", e.policies[p], breaks[p]);
  out += fmt::format(
      ". Values are means ± half of the 95% interval over seeds (Student's t). Differences are relative to "
      "`{}` on the same seeds, and count as noise unless they are significant at 5% over all rows of a table "
      "(Holm).\n",
      e.policies.front());
  for (const std::string& name : e.measures) {
    const Measure& m = MeasureOf(name);
    out += fmt::format("\n## {}\n\n|", m.label);
    for (const Axis& a : e.axes) out += " " + a.label + " |";
    out += fmt::format(" policy | {} | against {} | |\n|", m.name, e.policies.front());
    for (std::size_t n = 0; n < e.axes.size() + 4; ++n) out += " --- |";
    out += "\n";
    std::vector<double> ps;
    std::vector<Difference> differences;
    for (std::size_t c = 0; c < e.cells.size(); ++c) {
      for (std::size_t p = 1; p < e.policies.size(); ++p) {
        differences.push_back(PairedDifference(r.ValuesOf(c, 0, name), r.ValuesOf(c, p, name)));
        ps.push_back(differences.back().p);
      }
    }
    const std::vector<bool> significant = HolmSignificant(ps);
    std::size_t at = 0;
    for (std::size_t c = 0; c < e.cells.size(); ++c) {
      for (std::size_t p = 0; p < e.policies.size(); ++p) {
        out += "|";
        for (std::size_t a = 0; a < e.axes.size(); ++a)
          out += " " + e.axes[a].values[e.cells[c].at[a]] + " |";
        const std::vector<double> values = WithoutNaN(r.ValuesOf(c, p, name));
        out += " " + e.policies[p] + " | " +
               (values.empty() ? "not run" : FormatInterval(IntervalOf(values), m.digits, false)) + " |";
        if (p == 0) {
          out += " | |\n";
          continue;
        }
        const Difference& difference = differences[at];
        if (difference.pairs < 2) {
          out += " | too few seeds |\n";
        } else {
          out += " " + FormatInterval(difference.interval, m.digits, true) + " | " +
                 Verdict(difference.interval.mean, m.better, significant[at]) + " |\n";
        }
        ++at;
      }
    }
  }
  if (!charts.empty()) out += "\n## Charts\n\n";
  for (const std::string& p : charts) out += "![" + e.title + "](" + p + ")\n\n";
  out +=
      "\n## Settings\n\n```toml\n" + e.text + (e.text.empty() || e.text.back() != '\n' ? "\n" : "") + "```\n";
  return out;
}

std::vector<std::pair<std::string, std::string>> ReportCharts(const Results& r, const std::string& stem,
                                                              const std::string& ending) {
  const Experiment& e = r.experiment;
  std::vector<std::pair<std::string, std::string>> out;
  const auto name = [&](const std::string& what) { return stem + "-" + what + "." + ending; };
  for (std::size_t axis = 0; axis < e.axes.size(); ++axis) {
    if (e.axes[axis].numbers.size() < 2) continue;
    const auto lines = CellsAlong(e, axis);
    for (std::size_t n = 0; n < lines.size() && n < kMaxCharts; ++n) {
      const std::string file = name(e.axes[axis].label + (lines.size() > 1 ? fmt::format("-{}", n + 1) : ""));
      out.emplace_back(file, AxisChart(r, axis, lines[n], file));
    }
    break;
  }
  const std::size_t cell = e.cells.size() - 1;
  const std::size_t first = cell * e.policies.size() * e.seeds;
  const ScenarioRow* row = r.Find(first);
  if (row == nullptr) return out;
  if (!row->series.empty()) out.emplace_back(name("course"), SeriesChart(r, cell, name("course")));
  out.emplace_back(name("first-token"), FirstTokenChart(r, cell, name("first-token")));
  if (!row->served_in.empty()) out.emplace_back(name("replicas"), ReplicaChart(r, cell, name("replicas")));
  return out;
}

std::string CompareResults(const Results& a, const Results& b, std::size_t* differs) {
  const Experiment &ea = a.experiment, &eb = b.experiment;
  const auto shape = [](const Experiment& e) {
    std::string s = fmt::format("{} seeds from {};", e.seeds, e.first_seed);
    for (std::size_t c = 0; c < e.cells.size(); ++c) s += e.CellName(c) + ";";
    return s;
  };
  if (shape(ea) != shape(eb)) {
    throw std::runtime_error("the results differ in their cells or seeds and can't be paired: " + shape(ea) +
                             " and " + shape(eb));
  }
  struct Row {
    std::string cell, policy;
    const Measure* measure;
    Interval was;
    Difference by;
  };
  std::vector<Row> rows;
  for (std::size_t c = 0; c < ea.cells.size(); ++c) {
    for (std::size_t p = 0; p < ea.policies.size(); ++p) {
      const auto other = std::find(eb.policies.begin(), eb.policies.end(), ea.policies[p]);
      if (other == eb.policies.end()) continue;
      const auto q = static_cast<std::size_t>(other - eb.policies.begin());
      for (const std::string& name : ea.measures) {
        const std::vector<double> was = a.ValuesOf(c, p, name);
        rows.push_back({ea.CellName(c), ea.policies[p], &MeasureOf(name), IntervalOf(WithoutNaN(was)),
                        PairedDifference(was, b.ValuesOf(c, q, name))});
      }
    }
  }
  std::vector<double> ps;
  ps.reserve(rows.size());
  for (const Row& row : rows) ps.push_back(row.by.p);
  const std::vector<bool> significant = HolmSignificant(ps);
  *differs = static_cast<std::size_t>(std::count(significant.begin(), significant.end(), true));
  std::string out =
      "| cell | policy | measure | was | by | p | |\n| --- | --- | --- | --- | --- | --- | --- |\n";
  for (std::size_t n = 0; n < rows.size(); ++n) {
    const Row& row = rows[n];
    const int digits = row.measure->digits;
    out += fmt::format("| {} | {} | {} | {} | {} | {:.3g} | {} |\n", row.cell, row.policy, row.measure->name,
                       FormatInterval(row.was, digits, false), FormatInterval(row.by.interval, digits, true),
                       row.by.p,
                       row.by.pairs < 2 ? "too few seeds"
                                        : Verdict(row.by.interval.mean, row.measure->better, significant[n]));
  }
  return out + fmt::format("\n{} of {} differences are significant at 5% over all of them together (Holm).\n",
                           *differs, rows.size());
}

}  // namespace ryeglade::experiment
