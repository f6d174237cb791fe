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

std::map<std::string, std::int64_t> CountsOf(const ScenarioResult& result) {
  const auto n = [](std::uint64_t v) { return static_cast<std::int64_t>(v); };
  return {{"requests", n(result.requests)},
          {"in_time", n(result.in_time)},
          {"late", n(result.late)},
          {"count_refused", n(result.refused)},
          {"count_failed", n(result.failed)},
          {"count_broken", n(result.broken)},
          {"count_lost", n(result.lost)},
          {"tries", n(result.tries)},
          {"attempts", n(result.attempts)},
          {"decisions", n(result.decisions)},
          {"events", n(result.events)},
          {"break_no_answer", n(result.violations.no_answer)},
          {"break_two_answers", n(result.violations.two_answers)},
          {"break_two_attempts", n(result.violations.two_attempts)},
          {"break_after_drain", n(result.violations.after_drain)},
          {"break_cold_pushed", n(result.violations.cold_pushed)},
          {"break_not_made", n(result.violations.not_made)}};
}

std::vector<SeriesPoint> SeriesOf(const ScenarioResult& result, double every) {
  std::vector<SeriesPoint> out;
  if (every <= 0) return out;
  std::vector<int> in;
  for (std::size_t s = 0; s < result.seconds.size(); ++s) {
    const auto n = static_cast<std::size_t>(static_cast<double>(s) / std::max(1.0, every));
    if (out.size() <= n) {
      out.resize(n + 1);
      in.resize(n + 1);
    }
    const emulator::SecondStats& x = result.seconds[s];
    SeriesPoint& p = out[n];
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

const std::vector<std::pair<std::string, double SeriesPoint::*>>& SeriesFields() {
  static const std::vector<std::pair<std::string, double SeriesPoint::*>> all = {
      {"at_s", &SeriesPoint::at},
      {"arrived", &SeriesPoint::arrived},
      {"worth_asked", &SeriesPoint::worth_asked},
      {"worth", &SeriesPoint::worth},
      {"refused", &SeriesPoint::refused},
      {"held", &SeriesPoint::held},
      {"caps", &SeriesPoint::caps},
      {"busy", &SeriesPoint::busy}};
  return all;
}

}  // namespace

const ScenarioRow* Results::Find(std::size_t simulation) const {
  const auto it =
      std::lower_bound(rows.begin(), rows.end(), simulation,
                       [](const ScenarioRow& r, std::size_t wanted) { return r.simulation < wanted; });
  return it != rows.end() && it->simulation == simulation ? &*it : nullptr;
}

std::vector<double> Results::ValuesOf(std::size_t cell, std::size_t policy,
                                      const std::string& measure) const {
  std::vector<double> out;
  for (std::size_t s = 0; s < experiment.seeds; ++s) {
    const ScenarioRow* row = Find((cell * experiment.policies.size() + policy) * experiment.seeds + s);
    out.push_back(row == nullptr ? std::nan("") : row->measures.at(measure));
  }
  return out;
}

ScenarioRow RowOf(std::size_t simulation, const emulator::ScenarioSpec& spec, const ScenarioResult& result) {
  ScenarioRow row;
  row.simulation = simulation;
  for (const Measure& m : Measures()) row.measures[m.name] = m.of(result, spec.seconds - spec.warm_up_s);
  row.counts = CountsOf(result);
  for (const auto& bin : boost::histogram::indexed(result.first_token, boost::histogram::coverage::all)) {
    if (*bin > 0) row.first_token.emplace_back(std::max(0.0, bin.bin().lower()), *bin);
  }
  row.series = SeriesOf(result, spec.series_interval_s);
  row.served_in = result.served_in;
  return row;
}

ColumnarFile ToFile(const Results& r) {
  const Experiment& e = r.experiment;
  ColumnarFile file;
  file.attributes = {{"schema", kSchema},
                     {"what", "results of ryeglade-lab run"},
                     {"settings", e.text},
                     {"mark", fmt::format("{:016x}", e.fingerprint)},
                     {"build", r.build}};
  TextTable simulations{"days", {{"day", Integers{}}, {"policy", Strings{}}, {"seed", Integers{}}}};
  for (std::size_t a = 0; a < e.axes.size(); ++a)
    simulations.columns.push_back({"axis_" + e.axes[a].key, Strings{}});
  const std::size_t measures_at = simulations.columns.size();
  for (const Measure& m : Measures()) simulations.columns.push_back({m.name, Numbers{}});
  const std::size_t counts_at = simulations.columns.size();
  for (const auto& [name, n] : CountsOf({})) simulations.columns.push_back({name, Integers{}});
  const auto numbers = [](Column& c) -> Numbers& { return std::get<Numbers>(c.values); };
  const auto integers = [](Column& c) -> Integers& { return std::get<Integers>(c.values); };
  const auto strings = [](Column& c) -> Strings& { return std::get<Strings>(c.values); };
  TableBuilder first_token("first_token",
                           {{"day", Integers{}}, {"from_ms", Numbers{}}, {"count", Numbers{}}});
  TableBuilder replicas(
      "replicas",
      {{"day", Integers{}}, {"span", Integers{}}, {"replica", Integers{}}, {"served", Integers{}}});
  TextTable seconds{"seconds", {{"day", Integers{}}}};
  for (const auto& [name, field] : SeriesFields()) seconds.columns.push_back({name, Numbers{}});
  for (const ScenarioRow& row : r.rows) {
    const auto simulation = static_cast<std::int64_t>(row.simulation);
    integers(simulations.columns[0]).push_back(simulation);
    strings(simulations.columns[1]).push_back(e.policies[e.PolicyOf(row.simulation)]);
    integers(simulations.columns[2])
        .push_back(static_cast<std::int64_t>(e.first_seed + e.SeedOf(row.simulation)));
    for (std::size_t a = 0; a < e.axes.size(); ++a)
      strings(simulations.columns[3 + a])
          .push_back(e.axes[a].values[e.cells[e.CellOf(row.simulation)].at[a]]);
    std::size_t at = measures_at;
    for (const Measure& m : Measures()) numbers(simulations.columns[at++]).push_back(row.measures.at(m.name));
    at = counts_at;
    for (const auto& [name, n] : row.counts) integers(simulations.columns[at++]).push_back(n);
    for (const auto& [from, count] : row.first_token) first_token.Add(simulation, from, count);
    for (const SeriesPoint& p : row.series) {
      integers(seconds.columns[0]).push_back(simulation);
      for (std::size_t f = 0; f < SeriesFields().size(); ++f)
        numbers(seconds.columns[f + 1]).push_back(p.*SeriesFields()[f].second);
    }
    for (std::size_t span = 0; span < row.served_in.size(); ++span) {
      for (std::size_t replica = 0; replica < row.served_in[span].size(); ++replica)
        replicas.Add(simulation, span, replica, row.served_in[span][replica]);
    }
  }
  file.tables = {std::move(simulations), first_token.Take(), std::move(seconds), replicas.Take()};
  return file;
}

Results FromFile(const ColumnarFile& file) {
  const auto attribute = [&](const std::string& name) {
    const auto it = file.attributes.find(name);
    return it == file.attributes.end() ? std::string() : it->second;
  };
  if (attribute("what") != "results of ryeglade-lab run")
    throw std::runtime_error("holds no results of an experiment");
  if (attribute("schema") != kSchema)
    throw std::runtime_error("has schema " + attribute("schema") + "; this program reads schema " + kSchema);
  Results r;
  r.experiment = ParseExperiment("settings in the results", attribute("settings"));
  r.build = attribute("build");
  const TextTable& simulations = file.TableNamed("days");
  const Integers& numbers = simulations.IntegersOf("day");
  std::map<std::int64_t, std::size_t> at;
  for (std::size_t n = 0; n < numbers.size(); ++n) {
    if (numbers[n] < 0 || static_cast<std::size_t>(numbers[n]) >= r.experiment.simulations() ||
        !at.emplace(numbers[n], n).second)
      throw std::runtime_error(
          fmt::format("table days: simulation {} is repeated or not part of the settings", numbers[n]));
    ScenarioRow row;
    row.simulation = static_cast<std::size_t>(numbers[n]);
    r.rows.push_back(std::move(row));
  }
  for (const Measure& m : Measures()) {
    const Numbers& values = simulations.NumbersOf(m.name);
    for (std::size_t n = 0; n < numbers.size(); ++n) r.rows[n].measures[m.name] = values[n];
  }
  for (const auto& [name, zero] : CountsOf({})) {
    const Integers& values = simulations.IntegersOf(name);
    for (std::size_t n = 0; n < numbers.size(); ++n) r.rows[n].counts[name] = values[n];
  }
  const auto row_of = [&](std::int64_t simulation) -> ScenarioRow& {
    const auto it = at.find(simulation);
    if (it == at.end())
      throw std::runtime_error(
          fmt::format("refers to simulation {}, which is not in table days", simulation));
    return r.rows[it->second];
  };
  const TextTable& first_token = file.TableNamed("first_token");
  for (std::size_t n = 0; n < first_token.rows(); ++n)
    row_of(first_token.IntegersOf("day")[n])
        .first_token.emplace_back(first_token.NumbersOf("from_ms")[n], first_token.NumbersOf("count")[n]);
  const TextTable& seconds = file.TableNamed("seconds");
  std::vector<const Numbers*> fields;
  for (const auto& [name, field] : SeriesFields()) fields.push_back(&seconds.NumbersOf(name));
  for (std::size_t n = 0; n < seconds.rows(); ++n) {
    SeriesPoint p;
    for (std::size_t f = 0; f < fields.size(); ++f) p.*SeriesFields()[f].second = (*fields[f])[n];
    row_of(seconds.IntegersOf("day")[n]).series.push_back(p);
  }
  const TextTable& replicas = file.TableNamed("replicas");
  const Integers &of = replicas.IntegersOf("day"), &span = replicas.IntegersOf("span"),
                 &replica = replicas.IntegersOf("replica"), &served = replicas.IntegersOf("served");
  for (std::size_t n = 0; n < of.size(); ++n) {
    auto& spans = row_of(of[n]).served_in;
    if (span[n] < 0 || replica[n] < 0 || static_cast<std::size_t>(span[n]) > spans.size() ||
        replica[n] > 1'000'000)
      throw std::runtime_error(
          "table replicas: rows are not ordered by span, or a replica index is not from 0 to 1000000");
    if (static_cast<std::size_t>(span[n]) == spans.size()) spans.emplace_back();
    auto& list = spans[static_cast<std::size_t>(span[n])];
    if (list.size() <= static_cast<std::size_t>(replica[n]))
      list.resize(static_cast<std::size_t>(replica[n]) + 1);
    list[static_cast<std::size_t>(replica[n])] = static_cast<std::uint32_t>(served[n]);
  }
  std::sort(r.rows.begin(), r.rows.end(),
            [](const ScenarioRow& a, const ScenarioRow& b) { return a.simulation < b.simulation; });
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
