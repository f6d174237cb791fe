#include "rollout/plan.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/tcp.h"
#include "settings/toml_reader.h"

namespace ryeglade::rollout {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr std::size_t kMostNodes = 2000;
constexpr std::size_t kMostStatus = 64;

// The nodes of a stage: named, or a number or share of those left, of one zone where the stage names it.
std::vector<std::string> Chosen(TomlSection& s, const std::vector<PlanNode>& all,
                                std::set<std::string>& taken) {
  const std::vector<std::string> names = s.Texts("nodes");
  const std::string zone = s.Text("zone", "");
  const bool by_count = s.Has("count"), by_share = s.Has("share");
  if ((names.empty() ? 0 : 1) + (by_count ? 1 : 0) + (by_share ? 1 : 0) > 1)
    s.Fail("nodes", "comes with `count` or `share`; give one of the three");
  std::vector<std::string> chosen;
  const auto take = [&](const std::string& name) {
    if (taken.insert(name).second) chosen.push_back(name);
  };
  if (!names.empty()) {
    for (const std::string& name : names) {
      if (std::none_of(all.begin(), all.end(), [&](const PlanNode& n) { return n.name == name; }))
        s.Fail("nodes", "\"" + name + "\" is none of [[node]]");
      if (taken.contains(name)) s.Fail("nodes", "\"" + name + "\" is in a stage before; name each node once");
      take(name);
    }
    return chosen;
  }
  std::vector<std::string> left;
  for (const PlanNode& n : all) {
    if (!taken.contains(n.name) && (zone.empty() || n.zone == zone)) left.push_back(n.name);
  }
  std::size_t count = left.size();
  if (by_count) {
    count = s.Whole("count", 1, kMostNodes, 1);
  } else if (by_share) {
    const double share = s.Number("share", 0.0001, 1, 1);
    count = static_cast<std::size_t>(std::ceil(share * static_cast<double>(all.size())));
  }
  for (std::size_t i = 0; i < std::min(count, left.size()); ++i) take(left[i]);
  return chosen;
}

}  // namespace

Plan ParsePlan(const std::string& file, const std::string& text) {
  const toml::table table = ParseToml(file, text);
  TomlSection root(file, "", &table);
  Plan plan;
  plan.text = text;
  plan.name = root.Needed("name", "a word for this rollout; it is told in logs and by keepers");
  plan.unreached_after = root.Span("unreached_after", kSecond, 3600 * kSecond, plan.unreached_after);
  plan.most_passed_over = root.Whole("most_passed_over", 0, kMostNodes, plan.most_passed_over);
  plan.ask_after = root.Span("ask_after", kSecond, Time{7} * 86400 * kSecond, plan.ask_after);
  plan.back_at_once = root.Whole("back_at_once", 1, kMostNodes, plan.back_at_once);

  TomlSection release = root.Table("release");
  if (!release.present()) root.Fail("release", "is missing; add [release] with `id` and what changes");
  plan.release.id = release.Needed("id", "a word for the release");
  plan.release.program = release.Text("program", "");
  plan.release.config = release.Text("config", "");
  plan.release.settings = release.Text("settings", "");
  if (plan.release.program.empty() && plan.release.config.empty() && plan.release.settings.empty())
    release.Fail("program", "is missing, and so are `settings` and `config`: nothing would change");
  release.Close();

  std::set<std::string> names, keepers;
  for (TomlSection& n : root.Tables("node")) {
    PlanNode node;
    node.name = n.Needed("name", "the node's name");
    node.keeper = n.Needed("keeper", "ip:port of its keeper");
    node.zone = n.Text("zone", "");
    sockaddr_storage address{};
    if (!ParseAddress(node.keeper, &address)) n.Fail("keeper", "is not an ip:port: \"" + node.keeper + "\"");
    if (!names.insert(node.name).second) n.Fail("name", "\"" + node.name + "\" comes twice");
    if (!keepers.insert(node.keeper).second) n.Fail("keeper", "\"" + node.keeper + "\" comes twice");
    n.Close();
    plan.nodes.push_back(node);
  }
  if (plan.nodes.empty()) root.Fail("node", "is missing; add a [[node]] for each node");
  if (plan.nodes.size() > kMostNodes) root.Fail("node", "comes more than 2,000 times");

  std::set<std::string> taken;
  for (TomlSection& s : root.Tables("stage")) {
    Stage stage;
    stage.soak = s.Span("soak", 0, Time{7} * 86400 * kSecond, stage.soak);
    stage.requests = s.Whole("requests", 0, 1'000'000'000, stage.requests);
    stage.at_once = s.Whole("at_once", 1, kMostNodes, stage.at_once);
    stage.nodes = Chosen(s, plan.nodes, taken);
    if (stage.nodes.empty())
      s.Fail("nodes", "no node is left for this stage; take the stage out or name fewer before");
    s.Close();
    plan.stages.push_back(std::move(stage));
  }
  if (plan.stages.empty()) root.Fail("stage", "is missing; add a [[stage]] for each step");
  if (taken.size() != plan.nodes.size()) {
    for (const PlanNode& n : plan.nodes) {
      if (!taken.contains(n.name))
        root.Fail("stage",
                  "leaves out \"" + n.name + "\"; a last [[stage]] without `nodes` takes all that are left");
    }
  }

  TomlSection tier = root.Table("membership");
  plan.status = tier.Texts("status");
  std::set<std::string> statuses;
  for (const std::string& at : plan.status) {
    sockaddr_storage address{};
    if (!ParseAddress(at, &address)) tier.Fail("status", "is not an ip:port: \"" + at + "\"");
    if (!statuses.insert(at).second) tier.Fail("status", "\"" + at + "\" comes twice");
  }
  if (plan.status.size() > kMostStatus)
    tier.Fail("status", "names more than 64 nodes; a few from each zone suffice");
  if (tier.present() && plan.status.empty())
    tier.Fail("status",
              "is missing; name the status address of one node in each zone, or take the table out");
  tier.Close();

  TomlSection g = root.Table("guards");
  Guards& guards = plan.guards;
  guards.error_rate = g.Number("error_rate", 1e-6, 0.5, guards.error_rate);
  guards.failed = g.Number("failed", 0, 1, guards.failed);
  guards.refused = g.Number("refused", 0, 1, guards.refused);
  guards.late = g.Number("late", 0, 1, guards.late);
  guards.slower = g.Number("slower", 0, 10, guards.slower);
  guards.attempts = g.Number("attempts", 0, 10, guards.attempts);
  guards.memory_share = g.Number("memory_share", 0.1, 1, guards.memory_share);
  guards.growth = g.Number("growth", 0, 1000, guards.growth);
  guards.sure = g.Number("sure", 0.001, 1, guards.sure);
  guards.world = g.Number("world", 0.01, 1, guards.world);
  guards.window = g.Span("window", 100'000, 600 * kSecond, guards.window);
  g.Close();
  root.Close();
  return plan;
}

}  // namespace ryeglade::rollout
