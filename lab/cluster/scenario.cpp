#include "lab/cluster/scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>

#include "settings/toml_reader.h"

namespace ryeglade::cluster {
namespace {

constexpr double kNoEnd = 1e9;  // duration of a fault without an end, in periods; longer than any scenario

// Parses a whole number; returns false if `text` is anything else.
bool Number(std::string_view text, std::size_t* out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *out);
  return error == std::errc() && end == text.data() + text.size();
}

// Parses a list of nodes: "all", "3", "2-5", "zone:1", "not:3", or several of these with commas.
Nodes ParseNodes(TomlSection& s, const std::string& key, const Scenario& scenario,
                 const std::string& fallback) {
  const std::string text = s.Text(key, fallback);
  std::vector<bool> in(scenario.nodes, false);
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    std::string_view word = rest.substr(0, comma);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    while (!word.empty() && word.front() == ' ') word.remove_prefix(1);
    std::size_t a = 0, b = 0;
    if (word == "all") {
      std::fill(in.begin(), in.end(), true);
    } else if (word.starts_with("zone:") && Number(word.substr(5), &a) && a < scenario.zones) {
      for (std::size_t i = 0; i < scenario.nodes; ++i) in[i] = in[i] || i % scenario.zones == a;
    } else if (word.starts_with("not:") && Number(word.substr(4), &a) && a < scenario.nodes) {
      for (std::size_t i = 0; i < scenario.nodes; ++i) in[i] = in[i] || i != a;
    } else if (const std::size_t dash = word.find('-');
               dash != std::string_view::npos && Number(word.substr(0, dash), &a) &&
               Number(word.substr(dash + 1), &b) && a <= b && b < scenario.nodes) {
      for (std::size_t i = a; i <= b; ++i) in[i] = true;
    } else if (Number(word, &a) && a < scenario.nodes) {
      in[a] = true;
    } else {
      s.Fail(key,
             fmt::format("\"{}\" names no nodes; give all, a number under {}, 2-5, zone:0 or not:3, several "
                         "with commas",
                         std::string(word), scenario.nodes));
    }
  }
  Nodes nodes;
  for (std::size_t i = 0; i < in.size(); ++i) {
    if (in[i]) nodes.push_back(i);
  }
  return nodes;
}

Fault ParseFault(TomlSection& s, const Scenario& scenario) {
  Fault f;
  const std::string what = s.Choice("what",
                                    {"cut", "loss", "delay", "duplicate", "reorder", "corrupt", "throttle",
                                     "kill", "pause", "starve", "term", "hand-over", "absent", "flood"},
                                    "");
  f.at = s.Number("at", 0, 1e6, 0);
  f.lasts = s.Number("lasts", 0, 1e6, 0);
  f.times = static_cast<int>(s.Integer("times", 1, 1000, 1));
  f.again_after = s.Number("again_after", 0, 1e6, 0);
  if (f.times > 1 && f.again_after <= f.lasts)
    s.Fail("again_after", fmt::format("is {}, but must be more than lasts ({} periods) if times is above 1",
                                      f.again_after, f.lasts));
  const auto periods = [&](const char* key, double fallback) {
    return static_cast<Time>(s.Number(key, 0, 1000, fallback) * static_cast<double>(scenario.period));
  };
  const std::vector<std::pair<std::string, Fault::What>> process = {
      {"kill", Fault::What::kKill},  {"pause", Fault::What::kPause},        {"starve", Fault::What::kStarve},
      {"term", Fault::What::kTerm},  {"hand-over", Fault::What::kHandOver}, {"absent", Fault::What::kAbsent},
      {"flood", Fault::What::kFlood}};
  for (const auto& [word, kind] : process) {
    if (what == word) f.what = kind;
  }
  if (f.what != Fault::What::kLink) {
    f.nodes = ParseNodes(s, "nodes", scenario, "");
    if (f.nodes.empty()) s.Fail("nodes", "is missing or empty; name the nodes that the fault concerns");
    if (f.what == Fault::What::kStarve) {
      f.share = s.Number("share", 0.01, 0.99, f.share);
      f.every = s.Number("every", 0.05, 100, f.every);
    }
    if ((f.what == Fault::What::kPause || f.what == Fault::What::kStarve || f.what == Fault::What::kAbsent) &&
        f.lasts == 0)
      s.Fail("lasts", "is missing or 0; give the duration of the fault in periods");
    s.RejectUnknownKeys();
    return f;
  }
  f.from = ParseNodes(s, "from", scenario, "all");
  f.to = ParseNodes(s, "to", scenario, "all");
  f.both = s.Flag("both", false);
  const double share = s.Number("share", 0, 1, 0.1);
  if (what == "cut") f.link.cut = true;
  if (what == "loss") f.link.drop = scenario.loss > 0 ? scenario.loss : share;
  if (what == "duplicate") f.link.duplicate = share;
  if (what == "corrupt") f.link.corrupt = share;
  if (what == "reorder") {
    f.link.reorder = share;
    f.link.reorder_by = periods("by", 0.3);
  }
  if (what == "delay") {
    f.link.delay = periods("by", 0.1);
    f.link.jitter = periods("jitter", 0);
  }
  if (what == "throttle") f.link.bytes_per_second = s.Number("bytes_per_second", 10, 1e9, 2000);
  s.RejectUnknownKeys();
  return f;
}

bool In(const Nodes& nodes, std::size_t node) { return std::binary_search(nodes.begin(), nodes.end(), node); }

std::vector<std::size_t> ParseNodeNumbers(TomlSection& s, const std::string& key, const Scenario& scenario) {
  return ParseNodes(s, key, scenario, "");
}

}  // namespace

std::string Scenario::NodeName(std::size_t node) const {
  for (const auto& [first, second] : same_name) {
    if (second == node) return NodeName(first);
  }
  return fmt::format("n{}", node);
}

std::string Scenario::ZoneOf(std::size_t node) const { return fmt::format("z{}", node % zones); }

LinkState Scenario::LinkAt(std::size_t from, std::size_t to, double at) const {
  LinkState state;
  if (from == to) return state;
  for (const Fault& f : faults) {
    if (f.what != Fault::What::kLink) continue;
    const bool hit = (In(f.from, from) && In(f.to, to)) || (f.both && In(f.from, to) && In(f.to, from));
    if (!hit) continue;
    for (int i = 0; i < f.times; ++i) {
      const double begin = f.at + i * f.again_after;
      if (at >= begin && at < begin + (f.lasts > 0 ? f.lasts : kNoEnd)) {
        state.Add(f.link);
        break;
      }
    }
  }
  return state;
}

double Scenario::FaultsEndAt() const {
  double last_end = 0;
  for (const Fault& f : faults) {
    const double last = f.at + (f.times - 1) * f.again_after + f.lasts;
    // A fault with `lasts` 0 counts with its beginning: it either lasts until the end of the scenario or is
    // over at once.
    last_end = std::max(last_end, last);
  }
  return last_end;
}

Scenario ParseScenario(const std::string& file, const std::string& text) {
  const toml::table table = ParseToml(file, text);
  TomlSection top(file, "", &table);
  Scenario s;
  s.text = text;
  s.name = top.RequiredText("name", "a short name");
  s.title = top.Text("title", s.name);
  s.nodes = top.Integer("nodes", 2, 1000, s.nodes);
  s.seeds = top.Integer("seeds", 1, 16, s.seeds);
  s.zones = top.Integer("zones", 1, 16, s.zones);
  s.length = top.Number("length", 1, 1e6, s.length);
  s.warm_up = top.Number("warm_up", 1, 1e4, s.warm_up);
  s.loss = top.Number("loss", 0, 0.99, s.loss);
  s.period = top.Duration("period", 20'000, 60'000'000, s.period);
  s.seed = top.Integer("seed", 0, 1'000'000'000, 1);
  s.rate = top.Rate("rate", 0, 10'000, 0);
  s.replicas = top.Integer("replicas", 1, 64, s.replicas);
  s.old_wire = ParseNodeNumbers(top, "old_wire", s);
  s.other_cluster = ParseNodeNumbers(top, "other_cluster", s);
  s.old_build = ParseNodeNumbers(top, "old_build", s);
  if (const Nodes twins = ParseNodes(top, "same_name", s, ""); !twins.empty()) {
    if (twins.size() != 2)
      top.Fail("same_name",
               fmt::format("names {} nodes; give exactly two, of which the second gets the name of the first",
                           twins.size()));
    s.same_name.emplace_back(twins[0], twins[1]);
  }
  s.tier = top.Flag("tier", false);
  for (TomlSection& f : top.Tables("fault")) s.faults.push_back(ParseFault(f, s));
  for (TomlSection& r : top.Tables("replica")) {
    ReplicaFault f;
    f.how = r.Choice("how", {"error", "silent", "unreachable"}, "error");
    f.first = r.Integer("first", 0, s.replicas - 1, 0);
    f.count = r.Integer("count", 1, s.replicas - f.first, 1);
    f.nodes = ParseNodes(r, "nodes", s, "all");
    f.at = r.Number("at", 0, 1e6, 0);
    f.lasts = r.Number("lasts", 0, 1e6, 0);
    if (f.nodes.size() < s.nodes && f.how != "unreachable")
      r.Fail("nodes", "only unreachable replicas can differ between nodes; give how = \"unreachable\"");
    r.RejectUnknownKeys();
    s.replica_faults.push_back(std::move(f));
  }
  TomlSection e = top.Table("expect");
  s.expect.removed = ParseNodes(e, "removed", s, "");
  s.expect.may_remove = ParseNodes(e, "may_remove", s, "");
  s.expect.in_doubt = ParseNodes(e, "in_doubt", s, "");
  s.expect.refused = ParseNodes(e, "refused", s, "");
  s.expect.no_doubt = e.Flag("no_doubt", false);
  s.expect.most_false = e.Integer("most_false", 0, 1'000'000, 0);
  s.expect.most_returns = e.Integer("most_returns", 0, 1000, s.expect.most_returns);
  s.expect.removed_within = e.Number("removed_within", 1, 1e4, s.expect.removed_within);
  s.expect.one_view_within = e.Number("one_view_within", 1, 1e4, s.expect.one_view_within);
  s.expect.served = e.Number("served", 0, 1, s.expect.served);
  e.RejectUnknownKeys();
  top.RejectUnknownKeys();
  return s;
}

Scenario ReadScenario(const std::string& path) { return ParseScenario(path, ReadWholeFile(path)); }

std::vector<Step> ProcessSteps(const Scenario& s) {
  std::vector<Step> steps;
  for (const Fault& f : s.faults) {
    for (int i = 0; i < f.times; ++i) {
      const double at = f.at + i * f.again_after, end = at + f.lasts;
      for (const std::size_t n : f.nodes) {
        switch (f.what) {
          case Fault::What::kKill:
          case Fault::What::kTerm:
            steps.push_back({at, f.what == Fault::What::kKill ? Step::Do::kKill : Step::Do::kTerm, n});
            if (f.lasts > 0) steps.push_back({end, Step::Do::kStart, n});
            break;
          case Fault::What::kPause:
            steps.push_back({at, Step::Do::kStop, n});
            steps.push_back({end, Step::Do::kContinue, n});
            break;
          case Fault::What::kStarve:
            for (int k = 0; at + k * f.every < end; ++k) {
              const double t = at + k * f.every;
              steps.push_back({t, Step::Do::kStop, n});
              steps.push_back({std::min(end, t + f.every * f.share), Step::Do::kContinue, n});
            }
            break;
          case Fault::What::kHandOver:
            steps.push_back({at, Step::Do::kHotRestart, n});
            break;
          case Fault::What::kAbsent:
            steps.push_back({end, Step::Do::kStart, n});
            break;
          case Fault::What::kFlood:
            for (int k = 0; k == 0 || at + k * 0.05 < end; ++k)
              steps.push_back({at + k * 0.05, Step::Do::kFlood, n});
            break;
          case Fault::What::kLink:
          case Fault::What::kCount:
            break;
        }
      }
    }
  }
  std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
  return steps;
}

}  // namespace ryeglade::cluster
