#include "app/rollout_run.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <future>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include "app/rollout_client.h"
#include "app/rollout_output.h"
#include "app/rollout_record_file.h"
#include "base/deadlines.h"
#include "base/gnuplot.h"
#include "rollout/driver_model.h"
#include "rollout/file_digest.h"
#include "rollout/report_chart_model.h"
#include "rollout/report_model.h"
#include "settings/toml_reader.h"

namespace ryeglade::rollout {
namespace {

// The driver counts the lease as longer than the supervisors do: clocks differ, and commands take time to
// arrive.
constexpr double kLeaseFactor = 1.2;

volatile std::sig_atomic_t interrupted = 0;  // 1 once SIGINT or SIGTERM was received

RolloutClient ClientFor(const Plan& plan, const RolloutOptions& options) {
  return {plan, options.lease, options.source_address};
}

std::string DriverName(const RolloutOptions& options) {
  return options.driver.empty() ? fmt::format("{}-{}", getpid(), Now()) : options.driver;
}

double UnixSeconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// ---- plan ----

void PrintPlanHeader(const Plan& plan) {
  std::printf("%s: release %s", plan.name.c_str(), plan.release.id.c_str());
  const auto print_path = [](const char* what, const std::string& path) {
    if (!path.empty()) std::printf(", %s %s", what, path.c_str());
  };
  print_path("program", plan.release.program);
  print_path("config", plan.release.config);
  print_path("settings", plan.release.settings);
  std::printf("\n");
}

// Prints what would change on the node, and returns whether it could run the release.
bool PrintPlannedNode(const PlanNode& node, const std::optional<SupervisorStatus>& status,
                      const Release& release, const RolloutClient& client) {
  if (!status) {
    std::printf("  %-16s NO ANSWER from its keeper at %s\n", node.name.c_str(),
                node.supervisor_address.c_str());
    return false;
  }
  const std::string error = client.CheckRelease(node, release);
  const std::string note = error.empty() ? "" : ": REFUSED: " + error;
  std::printf("  %-16s %s -> %s%s\n", node.name.c_str(), status->active.id.c_str(), release.id.c_str(),
              note.c_str());
  return error.empty();
}

void PrintMembership(const Plan& plan, const ClusterView& view) {
  std::printf("membership: %zu of %zu status addresses answer, %zu are confident of their views\n",
              view.answers, view.polled, view.confident);
  for (const std::string& name : view.suspect)
    std::printf("  %-16s is suspect: it would be deferred\n", name.c_str());
  for (const std::string& name : view.dead)
    std::printf("  %-16s is dead: it would be skipped\n", name.c_str());
  for (const std::string& name : MembersNotInPlan(plan, view))
    std::printf("  %-16s is a member and not in the plan: it keeps its release\n", name.c_str());
}

// ---- start ----

// Returns the state of a node as it is stored in the record.
std::string NodeStateName(const Plan& plan, const Driver& driver, const std::string& node,
                          const std::map<std::string, SupervisorResponse>& responses) {
  const auto response = responses.find(node);
  const bool answered = response != responses.end() && response->second.status.has_value();
  if (!answered || Contains(driver.skipped_nodes(), node)) return "gone";
  if (Contains(driver.deferred_nodes(), node)) return "left-alone";
  const SupervisorStatus& status = *response->second.status;
  if (!status.pending.empty() || status.phase != NodePhase::kRunning) return "changing";
  return status.active.id == plan.release.id ? "new" : "old";
}

// Returns the round as it is written to the record.
RecordedRound Recorded(const Plan& plan, const Driver& driver, std::uint64_t epoch,
                       const std::string& driver_name,
                       const std::map<std::string, SupervisorResponse>& responses) {
  RecordedRound round;
  round.at = UnixSeconds();
  round.state = Name(driver.state());
  round.reason = driver.reason();
  round.driver = driver_name;
  round.epoch = epoch;
  round.stage = driver.stage() + 1;
  round.changing_nodes = driver.changing_nodes();
  for (const PlanNode& node : plan.nodes)
    round.nodes.push_back({node.name, node.zone, NodeStateName(plan, driver, node.name, responses)});
  round.comparisons = driver.canary_result().comparisons;
  return round;
}

// Prints an event only if it differs from the previous one.
class ChangedEvents {
 public:
  void Print(const std::string& event) {
    if (event != last_) PrintEvent(event);
    last_ = event;
  }

 private:
  std::string last_;
};

// Sends the round's claim to every supervisor. Returns the responses of those that answered.
std::map<std::string, SupervisorResponse> ClaimAll(const Plan& plan, const RolloutClient& client,
                                                   Driver& driver) {
  std::vector<NodeCommand> claims;
  for (const PlanNode& node : plan.nodes) claims.push_back({node.name, driver.MakeClaim()});
  std::map<std::string, SupervisorResponse> responses;
  for (auto& [node, reply] : client.Send(claims)) {
    if (!reply) continue;
    responses[node] = {reply->status, reply->accepted};
    if (!reply->accepted) driver.OnRejected(reply->reason);
  }
  return responses;
}

// Prints an event for each rejected command and tells the driver.
void SendAndReport(const std::vector<NodeCommand>& commands, const RolloutClient& client, Driver& driver) {
  for (const auto& [node, reply] : client.Send(commands)) {
    if (!reply || reply->accepted) continue;
    PrintEvent(fmt::format("event=refused node={} why=\"{}\"", node, reply->reason));
    driver.OnRejected(reply->reason);
  }
}

// Sends directives first, so that a decision is stored before it is acted on.
void SendCommands(std::vector<NodeCommand> commands, const RolloutClient& client, Driver& driver) {
  const auto is_directive = [](const NodeCommand& c) { return c.command.kind == CommandKind::kSetDirective; };
  const auto first_action = std::stable_partition(commands.begin(), commands.end(), is_directive);
  const std::vector<NodeCommand> directives(commands.begin(), first_action);
  const std::vector<NodeCommand> actions(first_action, commands.end());
  for (const NodeCommand& action : actions)
    PrintEvent(
        fmt::format("event=order node={} what={}", action.node, static_cast<int>(action.command.kind)));
  SendAndReport(directives, client, driver);
  SendAndReport(actions, client, driver);
}

int ExitCode(RolloutState state) {
  switch (state) {
    case RolloutState::kCompleted:
      return 0;
    case RolloutState::kRolledBack:
      return 3;
    case RolloutState::kSuperseded:
      return 4;
    default:
      return 5;
  }
}

// ---- directives ----

std::size_t CountAccepted(const RolloutClient::Replies& replies) {
  return static_cast<std::size_t>(std::count_if(
      replies.begin(), replies.end(), [](const auto& r) { return r.second && r.second->accepted; }));
}

RolloutClient::Replies SendToAll(const Plan& plan, const SupervisorCommand& command,
                                 const RolloutClient& client) {
  std::vector<NodeCommand> commands;
  for (const PlanNode& node : plan.nodes) commands.push_back({node.name, command});
  return client.Send(commands);
}

void WriteFile(const std::string& path, const std::string& text) {
  std::FILE* file = std::fopen(path.c_str(), "we");
  const bool written = file != nullptr && std::fwrite(text.data(), 1, text.size(), file) == text.size();
  const bool closed = file != nullptr && std::fclose(file) == 0;
  if (!written || !closed) throw std::runtime_error("rollout: cannot write " + path);
}

}  // namespace

void HandleInterrupts() {
  std::signal(SIGINT, [](int) { interrupted = 1; });
  std::signal(SIGTERM, [](int) { interrupted = 1; });
}

void AddDigests(Release& release) {
  const auto add = [](const std::string& path, std::string& digest) {
    if (!path.empty() && access(path.c_str(), R_OK) == 0) digest = FileDigest(path);
  };
  add(release.program, release.program_digest);
  add(release.config, release.config_digest);
  add(release.settings, release.settings_digest);
}

int ShowPlan(const Plan& plan, const RolloutOptions& options) {
  const RolloutClient client = ClientFor(plan, options);
  const auto statuses = client.PollStatuses();
  PrintPlanHeader(plan);
  Release release = plan.release;
  AddDigests(release);
  int unable = 0;
  for (std::size_t s = 0; s < plan.stages.size(); ++s) {
    const Stage& stage = plan.stages[s];
    std::printf("stage %zu: %zu nodes, %zu at a time, soak %.0f s, at least %llu requests for a verdict\n",
                s + 1, stage.nodes.size(), stage.max_concurrent, static_cast<double>(stage.soak) / 1e6,
                static_cast<unsigned long long>(stage.min_requests));
    for (const std::string& name : stage.nodes) {
      const auto node = std::find_if(plan.nodes.begin(), plan.nodes.end(),
                                     [&](const PlanNode& n) { return n.name == name; });
      if (!PrintPlannedNode(*node, statuses.at(name), release, client)) ++unable;
    }
  }
  if (!plan.status_addresses.empty()) PrintMembership(plan, client.PollClusterView());
  if (unable > 0)
    std::printf("%d nodes can't run the release: fix that, or remove them from the plan\n", unable);
  return unable > 0 ? 1 : 0;
}

int DriveRollout(Plan plan, const RolloutOptions& options) {
  AddDigests(plan.release);
  const RolloutClient client = ClientFor(plan, options);
  const std::uint64_t epoch = HighestEpoch(client.PollStatuses()) + 1;
  const std::string name = DriverName(options);
  Driver driver(plan, epoch, name, static_cast<Time>(options.lease * kLeaseFactor * 1e6));
  PrintEvent(fmt::format("event=rollout plan={} release={} epoch={} driver={}", plan.name, plan.release.id,
                         epoch, name));
  RecordFile record(options.record);
  ChangedEvents state_events;
  ChangedEvents view_events;
  while (!driver.ended() && interrupted == 0) {
    const auto began = std::chrono::steady_clock::now();
    // Polled in parallel with the claims, as a round must end well within the lease.
    std::future<ClusterView> polled_view;
    if (!plan.status_addresses.empty())
      polled_view = std::async(std::launch::async, [&] { return client.PollClusterView(); });
    const auto responses = ClaimAll(plan, client, driver);
    std::optional<ClusterView> view;
    if (polled_view.valid()) view = polled_view.get();
    if (driver.ended()) break;
    const auto commands = driver.RunRound(Now(), responses, view ? &*view : nullptr);
    if (view) view_events.Print(ClusterViewEvent(plan, *view));
    SendCommands(commands, client, driver);
    record.Add(Recorded(plan, driver, epoch, name, responses));
    state_events.Print(StateEvent(driver));
    std::this_thread::sleep_until(began +
                                  std::chrono::microseconds(static_cast<Time>(options.round_interval * 1e6)));
  }
  if (!driver.canary_result().comparisons.empty())
    std::fputs(ComparisonTable(driver.canary_result()).c_str(), stdout);
  std::fputs(StatusTable(plan, client.PollStatuses()).c_str(), stdout);
  return ExitCode(driver.state());
}

int SetDirective(const Plan& plan, const std::string& directive, const RolloutOptions& options) {
  const RolloutClient client = ClientFor(plan, options);
  const std::size_t half = plan.nodes.size() / 2;
  SupervisorCommand command;
  command.kind = CommandKind::kClaim;
  command.epoch = HighestEpoch(client.PollStatuses()) + 1;
  command.driver = DriverName(options);
  command.plan = plan.text;
  const std::size_t claimed = CountAccepted(SendToAll(plan, command, client));
  if (claimed <= half) {
    std::printf(
        "%zu of %zu keepers accepted the claim, which is not a majority, so no directive was set; check that "
        "the keepers can be reached\n",
        claimed, plan.nodes.size());
    return 1;
  }
  command.kind = CommandKind::kSetDirective;
  command.directive = directive;
  command.directive_reason = options.reason.empty() ? "set by an operator" : options.reason;
  const std::size_t stored = CountAccepted(SendToAll(plan, command, client));
  std::printf("%s: %zu of %zu keepers have stored it\n", directive.c_str(), stored, plan.nodes.size());
  return stored > half ? 0 : 1;
}

int ShowStatus(const Plan& plan, const RolloutOptions& options) {
  const RolloutClient client = ClientFor(plan, options);
  const bool clear_screen = options.follow && isatty(STDOUT_FILENO) != 0;
  for (;;) {
    const auto statuses = client.PollStatuses();
    if (clear_screen) std::fputs("\x1b[H\x1b[2J", stdout);
    std::fputs(StatusTable(plan, statuses).c_str(), stdout);
    std::fflush(stdout);
    const bool done = std::all_of(statuses.begin(), statuses.end(), [](const auto& s) {
      return s.second && s.second->directive == kDirectiveDone;
    });
    if (!options.follow || interrupted != 0 || done) return 0;
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

int ShowReport(const RolloutOptions& options) {
  std::size_t skipped = 0;
  const auto rounds = DecodeRecord(ReadWholeFile(options.record), &skipped);
  std::fputs(ReportTable(rounds).c_str(), stdout);
  if (skipped > 0) std::printf("%zu lines of the record could not be decoded and are omitted\n", skipped);
  if (!options.csv.empty()) WriteFile(options.csv, Csv(ComparisonColumns(rounds)));
  if (!options.chart.empty()) RunGnuplot(ReportChart(rounds, options.chart));
  return rounds.empty() ? 1 : 0;
}

}  // namespace ryeglade::rollout
