#include "app/rollout_command.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "app/rollout_run.h"
#include "hot_restart/handover_state_codec.h"
#include "membership/member_record_model.h"
#include "rollout/plan.h"
#include "rollout/release_model.h"
#include "rollout/supervisor.h"
#include "settings/toml_reader.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade {
namespace {

rollout::Time Micros(double seconds) { return static_cast<rollout::Time>(seconds * 1e6); }

}  // namespace

std::string CompatText() {
  return nlohmann::json{
      {"version", RYEGLADE_VERSION},
      {"membership-wire", {membership::kMinReaderSchema, membership::kSchema}},
      {"hand-over-state", {hot_restart::kHandoverFormatMajor, hot_restart::kHandoverFormatMajor}},
      {"keeper-protocol", {rollout::kProtocolVersion, rollout::kProtocolVersion}},
      {"flight-record", {1, timeline::kFormat}}}
      .dump();
}

RolloutCommand::RolloutCommand(CLI::App& app, RolloutOptions* options) : options_(options) {
  AddSupervisorCommand(app);
  AddRolloutCommands(app);
}

void RolloutCommand::AddSupervisorCommand(CLI::App& app) {
  keep_ = app.add_subcommand(
      "keep", "keep a node running: start it, replace it by another release, go back by itself");
  keep_->add_option("--node", options_->node, "the node's name")->required();
  keep_->add_option("--zone", options_->zone, "its zone");
  keep_->add_option("--directory", options_->directory, "the keeper's own: memory, logs, the node's $TMPDIR")
      ->required();
  keep_->add_option("--control", options_->control, "ip:port where rollouts reach this keeper")->required();
  keep_->add_option("--program", options_->program, "at the first start: the node's program");
  keep_->add_option("-c,--config", options_->config,
                    "at the first start: the platform's configuration, JSON");
  keep_->add_option("-s,--settings", options_->settings, "at the first start: our own settings, TOML");
  keep_->add_option("--release", options_->release_id, "at the first start: a word for this release");
  keep_->add_option("--ready-within", options_->ready_timeout, "seconds from a start to its yes")
      ->check(CLI::Range(0.5, 600.0));
  keep_->add_option("--end-within", options_->stop_timeout, "seconds from SIGTERM to SIGKILL")
      ->check(CLI::Range(0.5, 3600.0));
  keep_->add_option("--lease", options_->lease, "seconds that a driver's claim allows commands")
      ->check(CLI::Range(0.5, 600.0));
}

CLI::App* RolloutCommand::AddPlanCommand(const char* name, const char* description) {
  CLI::App* command = rollout_->add_subcommand(name, description);
  command->add_option("-p,--plan", options_->plan, "the plan, TOML")->required();
  command->add_option("--from", options_->source_address, "call keepers from this address of the machine");
  command->add_option("--driver", options_->driver, "a word for this driver; by default made up");
  return command;
}

void RolloutCommand::AddRolloutCommands(CLI::App& app) {
  rollout_ = app.add_subcommand("rollout", "change the program or settings of a tier in stages");
  rollout_->require_subcommand(1);
  plan_ =
      AddPlanCommand("plan", "show what would change, in which order, and whether each node could run it");
  start_ = AddPlanCommand("start", "drive the rollout, from the beginning or from where it stands");
  status_ = AddPlanCommand("status", "what the keepers say");
  pause_ = AddPlanCommand("pause", "let it stand where it is");
  resume_ = AddPlanCommand("resume", "drive on what stands paused");
  abort_ = AddPlanCommand("abort", "stop it and go back");
  back_ = AddPlanCommand("back", "the same: all nodes go back to their last good release");
  for (CLI::App* command : {start_, resume_, back_, abort_}) {
    command->add_option("--round", options_->round_interval, "seconds between two rounds")
        ->check(CLI::Range(0.05, 60.0));
    command->add_option("--lease", options_->lease, "the keepers' lease, seconds")
        ->check(CLI::Range(0.5, 600.0));
    command->add_option("--record", options_->record,
                        "a file that gets each round's figures, for `rollout report`");
  }
  report_ = rollout_->add_subcommand("report", "what a record tells: turns, comparisons, a chart");
  report_->add_option("record", options_->record, "as `start --record` wrote it")->required();
  report_->add_option("--chart", options_->chart, "a name that ends in .svg or .png; takes gnuplot");
  report_->add_option("--csv", options_->csv, "every comparison of every round");
  for (CLI::App* command : {pause_, resume_, abort_, back_})
    command->add_option("--why", options_->reason, "kept beside the word");
  status_->add_flag("--follow", options_->follow, "again each second, until it is done or back");
}

bool RolloutCommand::chosen() const { return *keep_ || *rollout_; }

int RolloutCommand::RunSupervisorCommand() const {
  rollout::SupervisorOptions supervisor;
  supervisor.node = options_->node;
  supervisor.zone = options_->zone;
  supervisor.directory = options_->directory;
  supervisor.control = options_->control;
  supervisor.limits.ready_timeout = Micros(options_->ready_timeout);
  supervisor.limits.stop_timeout = Micros(options_->stop_timeout);
  supervisor.limits.lease = Micros(options_->lease);
  rollout::Release& release = supervisor.initial_release;
  release.id = options_->release_id;
  release.program = options_->program;
  release.config = options_->config;
  release.settings = options_->settings;
  if (!release.program.empty()) rollout::AddDigests(release);
  rollout::RunSupervisor(supervisor);
  return 0;
}

int RolloutCommand::Run() {
  if (*keep_) return RunSupervisorCommand();
  rollout::HandleInterrupts();
  if (*report_) return rollout::ShowReport(*options_);
  const rollout::Plan plan = rollout::ParsePlan(options_->plan, ReadWholeFile(options_->plan));
  if (*plan_) return rollout::ShowPlan(plan, *options_);
  if (*status_) return rollout::ShowStatus(plan, *options_);
  if (*start_) return rollout::DriveRollout(plan, *options_);
  if (*pause_) return rollout::SetDirective(plan, rollout::kDirectivePause, *options_);
  // `abort` and `back` are the same.
  const char* directive = *resume_ ? rollout::kDirectiveResume : rollout::kDirectiveRollBack;
  const int failed = rollout::SetDirective(plan, directive, *options_);
  return failed != 0 ? failed : rollout::DriveRollout(plan, *options_);
}

}  // namespace ryeglade
