#include "lab/experiment/spec.h"

#include <fmt/format.h>
#include <toml++/toml.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>
#include <utility>

#include "lab/experiment/measures.h"
#include "lab/experiment/scenario_fields.h"
#include "settings/toml_reader.h"

namespace ryeglade::experiment {
namespace {

constexpr std::size_t kMaxCells = 10'000;

// A visitor that fills fields from a table; fields without a key there keep their values.
class Reader {
 public:
  explicit Reader(TomlSection& section) : s_(section) {}
  void Number(const char* key, double& field, double least, double most) {
    field = s_.Number(key, least, most, field);
  }
  template <class T>
  void Whole(const char* key, T& field, std::int64_t least, std::uint64_t most) {
    if constexpr (std::is_signed_v<T>) {
      const double value = s_.Number(key, static_cast<double>(least), static_cast<double>(most), field);
      if (value != std::floor(value)) s_.Fail(key, "must be a whole number");
      field = static_cast<T>(value);
    } else {
      field = s_.Integer(key, static_cast<std::size_t>(least), most, field);
    }
  }
  void Span(const char* key, Time& field, Time least, Time most) {
    field = s_.Duration(key, least, most, field);
  }
  void Seconds(const char* key, double& field, double least, double most) {
    if (s_.Has(key))
      field = static_cast<double>(
                  s_.Duration(key, static_cast<Time>(least * 1e6), static_cast<Time>(most * 1e6), 0)) /
              1e6;
  }
  void Rate(const char* key, double& field, double least, double most) {
    field = s_.Rate(key, least, most, field);
  }
  void Text(const char* key, std::string& field) { field = s_.Text(key, field); }
  void Flag(const char* key, bool& field) { field = s_.Flag(key, field); }

 private:
  TomlSection& s_;
};

// A visitor that writes the fields whose values differ from `defaults`, a writer that has visited the
// defaults in the same order. If it is null, all fields are written.
class Writer {
 public:
  explicit Writer(const Writer* defaults) : defaults_(defaults) {}
  void Number(const char* key, double& field, double, double) { Put(key, fmt::format("{}", field)); }
  template <class T>
  void Whole(const char* key, T& field, std::int64_t, std::uint64_t) {
    Put(key, fmt::format("{}", field));
  }
  void Span(const char* key, Time& field, Time, Time) { Put(key, DurationText(static_cast<double>(field))); }
  void Seconds(const char* key, double& field, double, double) {
    Put(key, DurationText(std::round(field * 1e6)));
  }
  void Rate(const char* key, double& field, double, double) { Put(key, fmt::format("\"{}/s\"", field)); }
  void Text(const char* key, std::string& field) {
    std::ostringstream out;
    out << toml::value<std::string>(field);
    Put(key, out.str());
  }
  void Flag(const char* key, bool& field) { Put(key, field ? "true" : "false"); }

  std::string Lines() const {
    std::string out;
    for (std::size_t n = 0; n < all_.size(); ++n) {
      if (defaults_ != nullptr && n < defaults_->all_.size() && defaults_->all_[n] == all_[n]) continue;
      out += all_[n].first + " = " + all_[n].second + "\n";
    }
    return out;
  }

 private:
  static std::string DurationText(double micros) {
    return std::fmod(micros, 1e6) == 0 ? fmt::format("\"{}s\"", micros / 1e6)
                                       : fmt::format("\"{}ms\"", micros / 1e3);
  }
  void Put(const char* key, std::string value) { all_.emplace_back(key, std::move(value)); }
  const Writer* defaults_;
  std::vector<std::pair<std::string, std::string>> all_;
};

// The defaults of experiment files where they differ from those of the emulator.
ScenarioSpec DefaultScenario() {
  ScenarioSpec scenario;
  scenario.series_interval_s = 1;
  return scenario;
}

FaultSpec DefaultFault() {
  FaultSpec f;
  f.factor = 4;
  return f;
}

template <class Visit, class T>
void Fill(TomlSection section, T& into, Visit visit) {
  Reader reader(section);
  visit(reader, into);
  section.RejectUnknownKeys();
}

ScenarioSpec ReadScenario(TomlSection& root) {
  ScenarioSpec scenario = DefaultScenario();
  Fill(root.Table("day"), scenario, [](auto& v, auto& x) { VisitScenario(v, x); });
  Fill(root.Table("clients"), scenario.clients, [](auto& v, auto& x) { VisitClients(v, x); });
  Fill(root.Table("fleet"), scenario.fleet, [](auto& v, auto& x) { VisitFleet(v, x); });
  const auto all = [&](const char* key, auto& list, const auto& defaults, auto visit) {
    const std::vector<TomlSection> tables = root.Tables(key);
    if (tables.empty()) return;
    list.clear();
    for (const TomlSection& t : tables) {
      list.push_back(defaults);
      Fill(t, list.back(), visit);
    }
  };
  all("kind", scenario.fleet.kinds, KindSpec{}, [](auto& v, auto& x) { VisitKind(v, x); });
  all("class", scenario.classes, ClassSpec{}, [](auto& v, auto& x) { VisitClass(v, x); });
  const std::vector<TomlSection> faults = root.Tables("fault");
  for (TomlSection t : faults) {
    FaultSpec f = DefaultFault();
    f.what = t.Choice("what", emulator::FaultNames(), "");
    Fill(t, f, [](auto& v, auto& x) { VisitFault(v, x); });
    scenario.faults.push_back(f);
  }
  if (scenario.warm_up_s >= scenario.seconds)
    root.Fail("day", "warm must be shorter than length, or nothing is counted");
  for (const ClassSpec& c : scenario.classes) {
    if (c.latency_objective > c.deadline)
      root.Fail("class", "'" + c.name + "': its aim is later than its deadline");
  }
  return scenario;
}

std::string ValueText(const toml::node& node) {
  if (node.is_string()) return node.as_string()->get();
  if (node.is_integer()) return std::to_string(node.as_integer()->get());
  if (node.is_floating_point()) return fmt::format("{}", node.as_floating_point()->get());
  if (node.is_boolean()) return node.as_boolean()->get() ? "true" : "false";
  return "";
}

// Parses "40s" to 40, "1800/s" to 1800 and "0.9" to 0.9. Returns NaN if the text is not a quantity.
double ValueNumber(const std::string& text) {
  double v = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc()) return std::nan("");
  const std::string unit(end, text.data() + text.size());
  for (const auto& [name, factor] : std::initializer_list<std::pair<const char*, double>>{{"", 1},
                                                                                          {"/s", 1},
                                                                                          {"/m", 1 / 60.0},
                                                                                          {"/h", 1 / 3600.0},
                                                                                          {"ms", 1e-3},
                                                                                          {"s", 1},
                                                                                          {"m", 60},
                                                                                          {"h", 3600}}) {
    if (unit == name) return v * factor;
  }
  return std::nan("");
}

// Sets `value` at a path like "clients.rate" or "fault.0.factor". Missing tables on the path are created.
void SetAtPath(toml::table& root, const std::string& path, const toml::node& value,
               const TomlSection& sweep) {
  toml::node* at = &root;
  std::size_t from = 0;
  for (;;) {
    const std::size_t dot = path.find('.', from);
    const std::string name = path.substr(from, dot - from);
    const bool last = dot == std::string::npos;
    if (name.empty())
      sweep.Fail("key", "is \"" + path + "\"; expected names separated by dots, as in \"clients.rate\"");
    if (toml::table* table = at->as_table()) {
      if (last) {
        value.visit([&](const auto& v) { table->insert_or_assign(name, v); });
        return;
      }
      toml::node* next = table->get(name);
      if (next == nullptr) next = &table->insert(name, toml::table{}).first->second;
      at = next;
    } else if (toml::array* list = at->as_array()) {
      std::size_t n = 0;
      const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), n);
      if (error != std::errc() || end != name.data() + name.size() || n >= list->size() || last)
        sweep.Fail("key", fmt::format("is \"{}\"; '{}' is not an index of that list, 0 to {}", path, name,
                                      list->size() - 1));
      at = list->get(n);
    } else {
      sweep.Fail("key", fmt::format("is \"{}\"; there is no table at '{}'", path, name));
    }
    from = dot + 1;
  }
}

}  // namespace

ScenarioSpec Experiment::Scenario(std::size_t n) const {
  ScenarioSpec scenario = cells[CellOf(n)].scenario;
  scenario.policy = policies[PolicyOf(n)];
  scenario.seed = first_seed + SeedOf(n);
  return scenario;
}

std::string Experiment::CellName(std::size_t cell) const {
  std::string out;
  for (std::size_t a = 0; a < axes.size(); ++a)
    out += (a > 0 ? ", " : "") + axes[a].label + " " + axes[a].values[cells[cell].at[a]];
  return out;
}

Experiment ParseExperiment(const std::string& file, const std::string& text) {
  const toml::table table = ParseToml(file, text);
  TomlSection root(file, "", &table);
  Experiment e;
  e.text = text;
  e.name = root.RequiredText("name", "a short name, as in name = \"load\"");
  e.title = root.Text("title", e.name);
  e.policies = root.Texts("policies");
  if (e.policies.empty()) e.policies = {"router"};
  const std::vector<std::string> known = emulator::PolicyNames();
  for (const std::string& p : e.policies) {
    std::string all;
    for (const std::string& k : known) all += (all.empty() ? "" : ", ") + k;
    if (std::find(known.begin(), known.end(), p) == known.end())
      root.Fail("policies", fmt::format("'{}' is not one of {}", p, all));
    if (std::count(e.policies.begin(), e.policies.end(), p) > 1)
      root.Fail("policies", "'" + p + "' is listed twice");
  }
  e.seeds = root.Integer("seeds", 1, 10'000, 5);
  e.measures = root.Texts("measures");
  if (e.measures.empty()) e.measures = {"share", "goodput", "p50_ms", "p99_ms", "unserved", "kept"};
  for (const std::string& m : e.measures) {
    try {
      MeasureOf(m);
    } catch (const std::exception& unknown) {
      root.Fail("measures", unknown.what());
    }
  }
  std::vector<TomlSection> sweeps = root.Tables("sweep");
  std::vector<const toml::array*> values;
  std::size_t cells = 1;
  for (std::size_t n = 0; n < sweeps.size(); ++n) {
    TomlSection& s = sweeps[n];
    Axis axis;
    axis.key = s.RequiredText("key", "the setting that is varied, as in \"clients.rate\" or \"load\"");
    axis.label = s.Text("label", axis.key.substr(axis.key.rfind('.') + 1));
    s.Has("values");
    const toml::node* list = table["sweep"].as_array()->get(n)->as_table()->get("values");
    if (list == nullptr || !list->is_array() || list->as_array()->empty())
      s.Fail("values", "must be a list with at least one value, as in [0.5, 0.9]");
    bool numbers = true;
    for (const toml::node& v : *list->as_array()) {
      if (!v.is_value()) s.Fail("values", "must hold numbers, texts or booleans");
      axis.values.push_back(ValueText(v));
      axis.numbers.push_back(ValueNumber(axis.values.back()));
      numbers = numbers && !std::isnan(axis.numbers.back());
    }
    if (!numbers) axis.numbers.clear();
    values.push_back(list->as_array());
    cells *= axis.values.size();
    if (cells > kMaxCells) s.Fail("values", fmt::format("makes more than {} cells", kMaxCells));
    s.RejectUnknownKeys();
    e.axes.push_back(std::move(axis));
  }
  ScenarioSpec base = ReadScenario(root);
  root.RejectUnknownKeys();
  e.first_seed = base.seed;
  std::string fingerprint_input;
  for (std::size_t n = 0; n < cells; ++n) {
    Cell cell;
    cell.at.resize(e.axes.size());
    for (std::size_t a = e.axes.size(), rest = n; a-- > 0;) {
      cell.at[a] = rest % e.axes[a].values.size();
      rest /= e.axes[a].values.size();
    }
    toml::table changed = table;
    double load = 1;
    for (std::size_t a = 0; a < e.axes.size(); ++a) {
      if (e.axes[a].key != "load") {
        SetAtPath(changed, e.axes[a].key, *values[a]->get(cell.at[a]), sweeps[a]);
      } else if (e.axes[a].numbers.empty() || e.axes[a].numbers[cell.at[a]] < 0) {
        sweeps[a].Fail("values",
                       "of \"load\" must be numbers of 0 or more, by which clients.rate is multiplied");
      } else {
        load *= e.axes[a].numbers[cell.at[a]];
      }
    }
    TomlSection whole(file, "", &changed);
    try {
      cell.scenario = ReadScenario(whole);
    } catch (const SettingsError& wrong) {
      e.cells.push_back(cell);
      throw SettingsError(fmt::format("{} (in the sweep at {})", wrong.what(), e.CellName(n)));
    }
    cell.scenario.clients.per_second *= load;
    fingerprint_input += WriteExperiment("", "", cell.scenario);
    e.cells.push_back(std::move(cell));
  }
  for (const std::string& p : e.policies) fingerprint_input += p + "\n";
  fingerprint_input += std::to_string(e.first_seed) + " " + std::to_string(e.seeds);
  e.fingerprint = XXH3_64bits(fingerprint_input.data(), fingerprint_input.size());
  return e;
}

Experiment ReadExperiment(const std::string& path) { return ParseExperiment(path, ReadWholeFile(path)); }

std::string WriteExperiment(const std::string& name, const std::string& title, const ScenarioSpec& scenario) {
  ScenarioSpec spec = scenario;
  std::string out;
  const auto quoted = [](const std::string& text) {
    std::ostringstream s;
    s << toml::value<std::string>(text);
    return s.str();
  };
  out += "name = " + quoted(name) + "\ntitle = " + quoted(title) + "\npolicies = [" + quoted(spec.policy) +
         "]\nseeds = 1\n";
  const auto table = [&](const std::string& head, auto& is, auto defaults, auto visit, bool always) {
    Writer default_lines(nullptr);
    visit(default_lines, defaults);
    Writer now(&default_lines);
    visit(now, is);
    const std::string lines = now.Lines();
    if (always || !lines.empty()) out += "\n" + head + "\n" + lines;
  };
  ScenarioSpec defaults = DefaultScenario();
  table(
      "[day]", spec, defaults, [](auto& v, auto& x) { VisitScenario(v, x); }, false);
  table(
      "[clients]", spec.clients, defaults.clients, [](auto& v, auto& x) { VisitClients(v, x); }, false);
  table(
      "[fleet]", spec.fleet, defaults.fleet, [](auto& v, auto& x) { VisitFleet(v, x); }, false);
  for (KindSpec& k : spec.fleet.kinds)
    table(
        "[[kind]]", k, KindSpec{}, [](auto& v, auto& x) { VisitKind(v, x); }, true);
  for (ClassSpec& c : spec.classes)
    table(
        "[[class]]", c, ClassSpec{}, [](auto& v, auto& x) { VisitClass(v, x); }, true);
  for (FaultSpec& f : spec.faults)
    table(
        "[[fault]]", f, DefaultFault(), [](auto& v, auto& x) { VisitFault(v, x); }, true);
  return out;
}

}  // namespace ryeglade::experiment
