#include "lab/experiment/results.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

#include "lab/experiment/measures.h"

namespace ryeglade::experiment {
namespace {

constexpr const char* kSchema = "1";

using emulator::ScenarioResult;

std::map<std::string, std::int64_t> CountsOf(const ScenarioResult& d) {
  const auto n = [](std::uint64_t v) { return static_cast<std::int64_t>(v); };
  return {{"requests", n(d.requests)},
          {"in_time", n(d.in_time)},
          {"late", n(d.late)},
          {"count_refused", n(d.refused)},
          {"count_failed", n(d.failed)},
          {"count_broken", n(d.broken)},
          {"count_lost", n(d.lost)},
          {"tries", n(d.tries)},
          {"attempts", n(d.attempts)},
          {"decisions", n(d.decisions)},
          {"events", n(d.events)},
          {"break_no_answer", n(d.violations.no_answer)},
          {"break_two_answers", n(d.violations.two_answers)},
          {"break_two_attempts", n(d.violations.two_attempts)},
          {"break_after_drain", n(d.violations.after_drain)},
          {"break_cold_pushed", n(d.violations.cold_pushed)},
          {"break_not_made", n(d.violations.not_made)}};
}

std::vector<Point> CourseOf(const ScenarioResult& d, double every) {
  std::vector<Point> out;
  if (every <= 0) return out;
  std::vector<int> in;
  for (std::size_t s = 0; s < d.seconds.size(); ++s) {
    const auto n = static_cast<std::size_t>(static_cast<double>(s) / std::max(1.0, every));
    if (out.size() <= n) {
      out.resize(n + 1);
      in.resize(n + 1);
    }
    const emulator::SecondStats& x = d.seconds[s];
    Point& p = out[n];
    ++in[n];
    p.arrived += x.arrived;
    p.worth_asked += x.worth_asked;
    p.worth += x.worth;
    p.refused += x.refused;
    p.held += x.held;
    p.caps += x.caps;
    p.busy += x.busy;
  }
  for (std::size_t n = 0; n < out.size(); ++n) {
    out[n].at = static_cast<double>(n) * std::max(1.0, every);
    for (double* v : {&out[n].arrived, &out[n].worth_asked, &out[n].worth, &out[n].refused, &out[n].held,
                      &out[n].caps, &out[n].busy})
      *v /= std::max(1, in[n]);
  }
  return out;
}

const std::vector<std::pair<std::string, double Point::*>>& PointFields() {
  static const std::vector<std::pair<std::string, double Point::*>> all = {
      {"at_s", &Point::at},     {"arrived", &Point::arrived}, {"worth_asked", &Point::worth_asked},
      {"worth", &Point::worth}, {"refused", &Point::refused}, {"held", &Point::held},
      {"caps", &Point::caps},   {"busy", &Point::busy}};
  return all;
}

}  // namespace

const ScenarioRow* Results::Find(std::size_t day) const {
  const auto it = std::lower_bound(rows.begin(), rows.end(), day,
                                   [](const ScenarioRow& r, std::size_t d) { return r.day < d; });
  return it != rows.end() && it->day == day ? &*it : nullptr;
}

std::vector<double> Results::Of(std::size_t cell, std::size_t policy, const std::string& measure) const {
  std::vector<double> out;
  for (std::size_t s = 0; s < experiment.seeds; ++s) {
    const ScenarioRow* row = Find((cell * experiment.policies.size() + policy) * experiment.seeds + s);
    out.push_back(row == nullptr ? std::nan("") : row->measures.at(measure));
  }
  return out;
}

ScenarioRow RowOf(std::size_t day, const emulator::ScenarioSpec& spec, const ScenarioResult& result) {
  ScenarioRow row;
  row.day = day;
  for (const Measure& m : Measures()) row.measures[m.name] = m.of(result, spec.seconds - spec.warm_up_s);
  row.counts = CountsOf(result);
  for (const auto& bin : boost::histogram::indexed(result.first_token, boost::histogram::coverage::all)) {
    if (*bin > 0) row.first_token.emplace_back(std::max(0.0, bin.bin().lower()), *bin);
  }
  row.course = CourseOf(result, spec.series_interval_s);
  row.served_in = result.served_in;
  return row;
}

ColumnarFile ToFile(const Results& r) {
  const Experiment& e = r.experiment;
  ColumnarFile file;
  file.attributes = {{"schema", kSchema},
                     {"what", "results of ryeglade-lab run"},
                     {"settings", e.text},
                     {"mark", fmt::format("{:016x}", e.mark)},
                     {"build", r.build}};
  TextTable days{"days", {{"day", Integers{}}, {"policy", Strings{}}, {"seed", Integers{}}}};
  for (std::size_t a = 0; a < e.axes.size(); ++a)
    days.columns.push_back({"axis_" + e.axes[a].key, Strings{}});
  const std::size_t measures_at = days.columns.size();
  for (const Measure& m : Measures()) days.columns.push_back({m.name, Numbers{}});
  const std::size_t counts_at = days.columns.size();
  for (const auto& [name, n] : CountsOf({})) days.columns.push_back({name, Integers{}});
  const auto numbers = [](Column& c) -> Numbers& { return std::get<Numbers>(c.values); };
  const auto wholes = [](Column& c) -> Integers& { return std::get<Integers>(c.values); };
  const auto words = [](Column& c) -> Strings& { return std::get<Strings>(c.values); };
  TableBuilder first("first_token", {{"day", Integers{}}, {"from_ms", Numbers{}}, {"count", Numbers{}}});
  TableBuilder replicas(
      "replicas",
      {{"day", Integers{}}, {"span", Integers{}}, {"replica", Integers{}}, {"served", Integers{}}});
  TextTable seconds{"seconds", {{"day", Integers{}}}};
  for (const auto& [name, field] : PointFields()) seconds.columns.push_back({name, Numbers{}});
  for (const ScenarioRow& row : r.rows) {
    const auto day = static_cast<std::int64_t>(row.day);
    wholes(days.columns[0]).push_back(day);
    words(days.columns[1]).push_back(e.policies[e.PolicyOf(row.day)]);
    wholes(days.columns[2]).push_back(static_cast<std::int64_t>(e.first_seed + e.SeedOf(row.day)));
    for (std::size_t a = 0; a < e.axes.size(); ++a)
      words(days.columns[3 + a]).push_back(e.axes[a].values[e.cells[e.CellOf(row.day)].at[a]]);
    std::size_t at = measures_at;
    for (const Measure& m : Measures()) numbers(days.columns[at++]).push_back(row.measures.at(m.name));
    at = counts_at;
    for (const auto& [name, n] : row.counts) wholes(days.columns[at++]).push_back(n);
    for (const auto& [from, count] : row.first_token) first.Add(day, from, count);
    for (const Point& p : row.course) {
      wholes(seconds.columns[0]).push_back(day);
      for (std::size_t f = 0; f < PointFields().size(); ++f)
        numbers(seconds.columns[f + 1]).push_back(p.*PointFields()[f].second);
    }
    for (std::size_t span = 0; span < row.served_in.size(); ++span) {
      for (std::size_t replica = 0; replica < row.served_in[span].size(); ++replica)
        replicas.Add(day, span, replica, row.served_in[span][replica]);
    }
  }
  file.tables = {std::move(days), first.Take(), std::move(seconds), replicas.Take()};
  return file;
}

Results FromFile(const ColumnarFile& file) {
  const auto note = [&](const std::string& name) {
    const auto it = file.attributes.find(name);
    return it == file.attributes.end() ? std::string() : it->second;
  };
  if (note("what") != "results of ryeglade-lab run")
    throw std::runtime_error("holds no results of an experiment");
  if (note("schema") != kSchema)
    throw std::runtime_error("is of schema " + note("schema") + "; this program reads " + kSchema);
  Results r;
  r.experiment = ParseExperiment("settings in the results", note("settings"));
  r.build = note("build");
  const TextTable& days = file.TableNamed("days");
  const Integers& numbers = days.IntegersOf("day");
  std::map<std::int64_t, std::size_t> at;
  for (std::size_t n = 0; n < numbers.size(); ++n) {
    if (numbers[n] < 0 || static_cast<std::size_t>(numbers[n]) >= r.experiment.days() ||
        !at.emplace(numbers[n], n).second)
      throw std::runtime_error(fmt::format("day {} does not belong to its settings", numbers[n]));
    ScenarioRow row;
    row.day = static_cast<std::size_t>(numbers[n]);
    r.rows.push_back(std::move(row));
  }
  for (const Measure& m : Measures()) {
    const Numbers& values = days.NumbersOf(m.name);
    for (std::size_t n = 0; n < numbers.size(); ++n) r.rows[n].measures[m.name] = values[n];
  }
  for (const auto& [name, zero] : CountsOf({})) {
    const Integers& values = days.IntegersOf(name);
    for (std::size_t n = 0; n < numbers.size(); ++n) r.rows[n].counts[name] = values[n];
  }
  const auto row_of = [&](std::int64_t day) -> ScenarioRow& {
    const auto it = at.find(day);
    if (it == at.end()) throw std::runtime_error(fmt::format("tells of day {}, which it has not", day));
    return r.rows[it->second];
  };
  const TextTable& first = file.TableNamed("first_token");
  for (std::size_t n = 0; n < first.rows(); ++n)
    row_of(first.IntegersOf("day")[n])
        .first_token.emplace_back(first.NumbersOf("from_ms")[n], first.NumbersOf("count")[n]);
  const TextTable& seconds = file.TableNamed("seconds");
  std::vector<const Numbers*> fields;
  for (const auto& [name, field] : PointFields()) fields.push_back(&seconds.NumbersOf(name));
  for (std::size_t n = 0; n < seconds.rows(); ++n) {
    Point p;
    for (std::size_t f = 0; f < fields.size(); ++f) p.*PointFields()[f].second = (*fields[f])[n];
    row_of(seconds.IntegersOf("day")[n]).course.push_back(p);
  }
  const TextTable& replicas = file.TableNamed("replicas");
  const Integers &of = replicas.IntegersOf("day"), &span = replicas.IntegersOf("span"),
                 &replica = replicas.IntegersOf("replica"), &served = replicas.IntegersOf("served");
  for (std::size_t n = 0; n < of.size(); ++n) {
    auto& spans = row_of(of[n]).served_in;
    if (span[n] < 0 || replica[n] < 0 || static_cast<std::size_t>(span[n]) > spans.size() ||
        replica[n] > 1'000'000)
      throw std::runtime_error("its table of replicas is out of order");
    if (static_cast<std::size_t>(span[n]) == spans.size()) spans.emplace_back();
    auto& list = spans[static_cast<std::size_t>(span[n])];
    if (list.size() <= static_cast<std::size_t>(replica[n]))
      list.resize(static_cast<std::size_t>(replica[n]) + 1);
    list[static_cast<std::size_t>(replica[n])] = static_cast<std::uint32_t>(served[n]);
  }
  std::sort(r.rows.begin(), r.rows.end(),
            [](const ScenarioRow& a, const ScenarioRow& b) { return a.day < b.day; });
  return r;
}

Results ReadResults(const std::string& path) {
  const ColumnarFile file = ReadColumns(path);
  try {
    return FromFile(file);
  } catch (const std::exception& e) {
    throw std::runtime_error(path + ": " + e.what());
  }
}

std::string BuildDescription() {
#if defined(__clang__)
  const std::string compiler = fmt::format("clang {}.{}", __clang_major__, __clang_minor__);
#else
  const std::string compiler = fmt::format("gcc {}.{}", __GNUC__, __GNUC_MINOR__);
#endif
#ifdef NDEBUG
  const char* how = "optimized";
#else
  const char* how = "with assertions";
#endif
  return fmt::format("ryeglade-lab {} ({}, {})", RYEGLADE_VERSION, compiler, how);
}

}  // namespace ryeglade::experiment
