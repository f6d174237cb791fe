#include "rollout/plan.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/tcp.h"
#include "settings/toml_reader.h"

namespace ryeglade::rollout {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kHour = 3600 * kSecond;
constexpr Time kWeek = Time{7} * 24 * kHour;
constexpr std::size_t kMaxNodes = 2000;
constexpr std::size_t kMaxStatusAddresses = 64;

bool IsAddress(const std::string& text) {
  sockaddr_storage address{};
  return ParseAddress(text, &address);
}

Release ParseRelease(TomlSection& root) {
  TomlSection section = root.Table("release");
  if (!section.present())
    root.Fail("release",
              "is missing; add [release] with `id` and at least one of `program`, `config` and `settings`");
  Release release;
  release.id = section.RequiredText("id", "a name for the release");
  release.program = section.Text("program", "");
  release.config = section.Text("config", "");
  release.settings = section.Text("settings", "");
  if (release.program.empty() && release.config.empty() && release.settings.empty())
    section.Fail("program",
                 "is missing, and so are `settings` and `config`: nothing would change; give at least one");
  section.RejectUnknownKeys();
  return release;
}

std::vector<PlanNode> ParseNodes(TomlSection& root) {
  std::vector<PlanNode> nodes;
  std::set<std::string> names;
  std::set<std::string> addresses;
  for (TomlSection& section : root.Tables("node")) {
    PlanNode node;
    node.name = section.RequiredText("name", "the node's name");
    node.supervisor_address = section.RequiredText("keeper", "ip:port of its keeper");
    node.zone = section.Text("zone", "");
    if (!IsAddress(node.supervisor_address))
      section.Fail("keeper", "is not an ip:port: \"" + node.supervisor_address + "\"");
    if (!names.insert(node.name).second)
      section.Fail("name", "\"" + node.name + "\" is the name of two nodes; give each [[node]] its own name");
    if (!addresses.insert(node.supervisor_address).second)
      section.Fail("keeper", "\"" + node.supervisor_address +
                                 "\" is the keeper of two nodes; give each [[node]] its own keeper");
    section.RejectUnknownKeys();
    nodes.push_back(node);
  }
  if (nodes.empty()) root.Fail("node", "is missing; add a [[node]] for each node");
  if (nodes.size() > kMaxNodes)
    root.Fail("node", "is given more than 2,000 times, the maximum number of nodes in a plan");
  return nodes;
}

// Returns `names`. Throws SettingsError if one is not in `nodes`, or is in this or an earlier stage already.
std::vector<std::string> CheckNamedNodes(TomlSection& section, std::vector<std::string> names,
                                         const std::vector<PlanNode>& nodes,
                                         const std::set<std::string>& assigned) {
  std::set<std::string> seen;
  for (const std::string& name : names) {
    if (std::none_of(nodes.begin(), nodes.end(), [&](const PlanNode& node) { return node.name == name; }))
      section.Fail("nodes", "\"" + name + "\" is not the name of any [[node]]; correct it, or add the node");
    if (assigned.contains(name) || !seen.insert(name).second)
      section.Fail("nodes", "\"" + name + "\" is already in this or an earlier stage; name each node once");
  }
  return names;
}

// Returns the nodes of a stage: those that it names, or a count or share of those that no earlier stage has.
// If the stage gives a zone, only nodes of that zone are counted.
std::vector<std::string> ParseStageNodes(TomlSection& section, const std::vector<PlanNode>& nodes,
                                         const std::set<std::string>& assigned) {
  const std::vector<std::string> names = section.Texts("nodes");
  const std::string zone = section.Text("zone", "");
  const bool by_count = section.Has("count");
  const bool by_share = section.Has("share");
  if ((names.empty() ? 0 : 1) + (by_count ? 1 : 0) + (by_share ? 1 : 0) > 1)
    section.Fail("nodes", "`nodes`, `count` and `share` can't be combined; give one of the three");
  if (!names.empty()) return CheckNamedNodes(section, names, nodes, assigned);
  std::vector<std::string> unassigned;
  for (const PlanNode& node : nodes) {
    if (!assigned.contains(node.name) && (zone.empty() || node.zone == zone)) unassigned.push_back(node.name);
  }
  std::size_t count = unassigned.size();
  if (by_count) {
    count = section.Integer("count", 1, kMaxNodes, 1);
  } else if (by_share) {
    const double share = section.Number("share", 0.0001, 1, 1);
    count = static_cast<std::size_t>(std::ceil(share * static_cast<double>(nodes.size())));
  }
  if (count < unassigned.size()) unassigned.resize(count);
  return unassigned;
}

std::vector<Stage> ParseStages(TomlSection& root, const std::vector<PlanNode>& nodes) {
  std::vector<Stage> stages;
  std::set<std::string> assigned;
  for (TomlSection& section : root.Tables("stage")) {
    Stage stage;
    stage.soak = section.Duration("soak", 0, kWeek, stage.soak);
    stage.min_requests = section.Integer("requests", 0, 1'000'000'000, stage.min_requests);
    stage.max_concurrent = section.Integer("at_once", 1, kMaxNodes, stage.max_concurrent);
    stage.nodes = ParseStageNodes(section, nodes, assigned);
    if (stage.nodes.empty())
      section.Fail("nodes",
                   "no node is left for this stage; remove the stage, or give earlier stages fewer nodes");
    section.RejectUnknownKeys();
    assigned.insert(stage.nodes.begin(), stage.nodes.end());
    stages.push_back(std::move(stage));
  }
  if (stages.empty()) root.Fail("stage", "is missing; add a [[stage]] for each step of the rollout");
  for (const PlanNode& node : nodes) {
    if (!assigned.contains(node.name))
      root.Fail("stage", "leaves out \"" + node.name +
                             "\"; add a last [[stage]] without `nodes`: it takes all that are left");
  }
  return stages;
}

std::vector<std::string> ParseStatusAddresses(TomlSection& root) {
  TomlSection section = root.Table("membership");
  std::vector<std::string> addresses = section.Texts("status");
  std::set<std::string> seen;
  for (const std::string& address : addresses) {
    if (!IsAddress(address)) section.Fail("status", "is not an ip:port: \"" + address + "\"");
    if (!seen.insert(address).second)
      section.Fail("status", "\"" + address + "\" is given twice; give each address once");
  }
  if (addresses.size() > kMaxStatusAddresses)
    section.Fail("status", "names more than 64 nodes; a few from each zone are enough");
  if (section.present() && addresses.empty())
    section.Fail("status",
                 "is missing; name the status address of one node in each zone, or remove the table");
  section.RejectUnknownKeys();
  return addresses;
}

// Reads [guards]. Its keys are older than the names in CanaryThresholds, and are mapped only here.
CanaryThresholds ParseThresholds(TomlSection& root) {
  TomlSection section = root.Table("guards");
  CanaryThresholds thresholds;
  thresholds.false_positive_rate = section.Number("error_rate", 1e-6, 0.5, thresholds.false_positive_rate);
  thresholds.failed_share = section.Number("failed", 0, 1, thresholds.failed_share);
  thresholds.rejected_share = section.Number("refused", 0, 1, thresholds.rejected_share);
  thresholds.late_share = section.Number("late", 0, 1, thresholds.late_share);
  thresholds.first_token_slowdown = section.Number("slower", 0, 10, thresholds.first_token_slowdown);
  thresholds.attempts_per_request = section.Number("attempts", 0, 10, thresholds.attempts_per_request);
  thresholds.resource_usage = section.Number("memory_share", 0.1, 1, thresholds.resource_usage);
  thresholds.memory_growth_per_hour = section.Number("growth", 0, 1000, thresholds.memory_growth_per_hour);
  thresholds.failure_precision = section.Number("sure", 0.001, 1, thresholds.failure_precision);
  thresholds.environment_shift = section.Number("world", 0.01, 1, thresholds.environment_shift);
  thresholds.window = section.Duration("window", 100'000, 600 * kSecond, thresholds.window);
  section.RejectUnknownKeys();
  return thresholds;
}

}  // namespace

Plan ParsePlan(const std::string& file, const std::string& text) {
  const toml::table table = ParseToml(file, text);
  TomlSection root(file, "", &table);
  Plan plan;
  plan.text = text;
  plan.name = root.RequiredText("name", "a name for this rollout, shown in logs and by keepers");
  plan.unreachable_after = root.Duration("unreached_after", kSecond, kHour, plan.unreachable_after);
  plan.max_skipped = root.Integer("most_passed_over", 0, kMaxNodes, plan.max_skipped);
  plan.inconclusive_timeout = root.Duration("ask_after", kSecond, kWeek, plan.inconclusive_timeout);
  plan.rollback_concurrency = root.Integer("back_at_once", 1, kMaxNodes, plan.rollback_concurrency);
  plan.release = ParseRelease(root);
  plan.nodes = ParseNodes(root);
  plan.stages = ParseStages(root, plan.nodes);
  plan.status_addresses = ParseStatusAddresses(root);
  plan.thresholds = ParseThresholds(root);
  root.RejectUnknownKeys();
  return plan;
}

}  // namespace ryeglade::rollout
