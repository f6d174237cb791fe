#include "app/timeline_command.h"

#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <utility>

#include "app/timeline_output.h"
#include "base/file_io.h"
#include "base/gnuplot.h"
#include "timeline/export_model.h"
#include "timeline/flight_record_codec.h"
#include "timeline/flight_record_text_model.h"
#include "timeline/merge_model.h"
#include "timeline/plot_model.h"
#include "timeline/reader.h"
#include "timeline/record_loader.h"
#include "timeline/replica_timeline_model.h"
#include "timeline/request_trace_model.h"
#include "timeline/verify.h"

namespace ryeglade {
namespace {

namespace fs = std::filesystem;
using namespace timeline;

// Maximum number of bins of a summary as text, of a table and of a plot.
constexpr std::uint32_t kTextBins = 1800;
constexpr std::uint32_t kTableBins = 100'000;
constexpr std::uint32_t kPlotBins = 500;

// Returns a function that shows the progress in a line that it overwrites, or null if stderr is not a
// terminal.
std::function<void(std::size_t, std::size_t)> MakeProgress() {
  if (isatty(STDERR_FILENO) == 0) return nullptr;
  return [](std::size_t done, std::size_t total) {
    std::fprintf(stderr, "\r%zu of %zu files%s", done, total, done == total ? "\n" : "");
    std::fflush(stderr);
  };
}

LoadOptions LoadOptionsFor(const TimelineOptions& options, std::uint32_t max_bins) {
  return {options.span, max_bins, options.again, MakeProgress()};
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

// Throws std::runtime_error, which lists replicas with similar names, if no replica has this name or id.
const ReplicaTimeline& FindReplica(const ReplicaTimelines& timelines, const std::string& name) {
  const std::string wanted = Lower(name);
  std::string similar;
  for (const auto& [id, replica] : timelines.replicas()) {
    if (Lower(replica.name) == wanted || fmt::format("{:08x}", id) == wanted) return replica;
    if (Lower(replica.Title()).find(wanted) != std::string::npos && similar.size() < 200)
      similar += " " + replica.Title();
  }
  throw std::runtime_error("--replica: no replica '" + name + "' in this record" +
                           (similar.empty() ? "" : "; similar names are:" + similar));
}

// Returns whether the text of a record contains the name of a request as a word: after a space, and before a
// space, a full stop, a comma or the end of the text.
bool MentionsRequest(const std::string& text, const std::string& name) {
  for (std::size_t at = text.find(" " + name); at != std::string::npos; at = text.find(" " + name, at + 1)) {
    const std::size_t end = at + 1 + name.size();
    if (end == text.size() || text[end] == ' ' || text[end] == '.' || text[end] == ',') return true;
  }
  return false;
}

void WriteFile(const std::string& path, const std::string& text) {
  const FileError error = ReplaceFile(path, text, 0644);
  if (error.error != 0)
    throw std::runtime_error(fmt::format("{}: {}: {}", path, error.what, std::strerror(error.error)));
}

}  // namespace

TimelineCommand::TimelineCommand(CLI::App& app, TimelineOptions* options) : options_(options) {
  group_ =
      app.add_subcommand("timeline", "read flight records: the inputs and decisions of the decision module");
  group_->require_subcommand(1);
  const auto add = [&](const char* name, const char* description) {
    CLI::App* command = group_->add_subcommand(name, description);
    command->add_option("path", options_->paths, "flight files, or directories of them")->required();
    return command;
  };
  const auto add_span_option = [&](CLI::App* command) {
    command
        ->add_option("--span", options_->span,
                     "only from this time, and to this one: Unix milliseconds, or +SECONDS from the "
                     "beginning of the record")
        ->expected(1, 2)
        ->delimiter(',');
  };
  verify_ = add("verify", "replay the record and compare each decision");
  show_ = add("show", "the fleet, or with --replica one replica, as text");
  show_->add_option("--replica", options_->replica, "its name, or its id of eight hexadecimal digits");
  show_->add_option("--request", options_->request, "only records that name this request");
  show_->add_flag("--records", options_->records, "print single records instead of a summary");
  add_span_option(show_);
  events_ = add("events", "anomalies of replicas and of the fleet");
  events_->add_flag("--again", options_->again,
                    "detect them anew instead of reading those that the node recorded");
  add_span_option(events_);
  why_ = group_->add_subcommand("why", "everything about one request, with the reasons of its decisions");
  why_->add_option("request", options_->request,
                   "the client's id, x-request-id, or the decision module's number")
      ->required();
  why_->add_option("path", options_->paths, "flight files, or directories of them")->required();
  merge_ =
      add("merge", "merge the records of several nodes, with one line per replica; each path is one node");
  merge_->add_option("--replica", options_->replica, "one replica, as text");
  merge_->add_option("--plot", options_->out, "also plot to this file, whose name ends in .svg or .png");
  add_span_option(merge_);
  export_ = add("export", "write tables as CSV files or as one HDF5 file; each path is one node");
  export_->add_option("--csv", options_->csv, "a directory, which gets one file per table");
  export_->add_option("--hdf5", options_->hdf5, "an HDF5 file");
  add_span_option(export_);
  plot_ = add("plot", "plot one row per replica; each path is one node");
  plot_->add_option("-o,--out", options_->out, "the file, whose name ends in .svg or .png")->required();
  plot_->add_option("--title", options_->title);
  plot_->add_option("--width", options_->width, "pixels")->check(CLI::Range(600, 8000));
  add_span_option(plot_);
}

bool TimelineCommand::chosen() const { return group_->parsed(); }

int TimelineCommand::Run() {
  if (*verify_) return Verify();
  if (*show_) return Show();
  if (*events_) return Events();
  if (*why_) return ExplainRequest();
  if (*merge_) return MergeNodes();
  if (*export_) return Export();
  return Plot();
}

int TimelineCommand::Verify() {
  Verifier verifier;
  const ReadTotals totals = ReadFlight(
      FlightFiles(options_->paths), [&](const Record& r) { verifier.AddRecord(r); }, MakeProgress());
  Print(fmt::format("{} blocks, {} starts; {} of {} decisions reproduced, {} could not be compared\n",
                    totals.report.blocks, verifier.starts(), verifier.matched(), verifier.decisions(),
                    verifier.skipped()));
  Print(totals.Losses());
  if (!verifier.first_difference().empty()) Print("first difference: " + verifier.first_difference() + "\n");
  return verifier.good() ? 0 : 1;
}

int TimelineCommand::Show() {
  if (!options_->records && options_->request.empty()) {
    const LoadedTimelines loaded = LoadTimelines(options_->paths, LoadOptionsFor(*options_, kTextBins));
    if (options_->replica.empty()) {
      PrintFleet(loaded.timelines);
    } else {
      PrintReplica(loaded.timelines, FindReplica(loaded.timelines, options_->replica));
    }
    Print(loaded.totals.Losses());
    return 0;
  }
  const std::vector<std::string> files = FlightFiles(options_->paths);
  const timeline::ReplicaTimelineOptions bounds = BoundsOf(LoadOptionsFor(*options_, 1), files);
  // Holds the name until the record with the replica's id has been read, and then the id, because the texts
  // of the records contain the id.
  std::string replica_id = Lower(options_->replica);
  const ReadTotals totals = ReadFlight(files, [&](const Record& r) {
    const Time at = RecordTime(r);
    if (const auto* endpoint = std::get_if<EndpointRecord>(&r);
        endpoint != nullptr && Lower(endpoint->name) == replica_id)
      replica_id = fmt::format("{:08x}", endpoint->id);
    if (at != 0 && ((bounds.from != 0 && at < bounds.from) || (bounds.to != 0 && at > bounds.to))) return;
    const std::string text = ToText(r);
    if (!replica_id.empty() && text.find(replica_id) == std::string::npos) return;
    if (!options_->request.empty() && !MentionsRequest(text, options_->request)) return;
    Print(text + "\n");
  });
  Print(totals.Losses());
  return 0;
}

int TimelineCommand::Events() {
  const LoadedTimelines loaded = LoadTimelines(options_->paths, LoadOptionsFor(*options_, kTextBins));
  for (const Anomaly& anomaly : loaded.timelines.anomalies()) Print(AnomalyLine(loaded.timelines, anomaly));
  std::size_t begun = 0;
  for (const Anomaly& anomaly : loaded.timelines.anomalies()) begun += anomaly.begins ? 1 : 0;
  Print(fmt::format("{} anomalies in {:.0f} s\n", begun,
                    static_cast<double>(loaded.timelines.end() - loaded.timelines.begin()) / 1e6));
  Print(loaded.totals.Losses());
  return 0;
}

int TimelineCommand::ExplainRequest() {
  RequestTrace trace(options_->request);
  const ReadTotals totals = ReadWithReasons(
      FlightFiles(options_->paths), [&](const Record& r) { trace.AddRecord(r); }, MakeProgress());
  for (const std::string& line : trace.Lines()) Print(line + "\n");
  Print(totals.Losses());
  if (trace.found() > 0) return 0;
  std::fprintf(stderr,
               "ryeglade: no request '%s' in this record; the files of its time may have been deleted\n",
               options_->request.c_str());
  return 1;
}

int TimelineCommand::MergeNodes() {
  std::string losses;
  const std::vector<ReplicaTimelines> nodes =
      LoadNodes(options_->paths, LoadOptionsFor(*options_, kTextBins), &losses);
  const TimelineMerge merge(nodes);
  for (const MergedNode& node : merge.nodes()) {
    Print(node.common_generations > 0
              ? fmt::format("{}: clock {:+.3f} s, from {} generations that both received, within {:.3f} s\n",
                            node.name, static_cast<double>(node.offset) / 1e6, node.common_generations,
                            static_cast<double>(node.offset_spread) / 1e6)
          : &node == &merge.nodes().front()
              ? fmt::format("{}: reference clock\n", node.name)
              : fmt::format("{}: no generation in common; its clock is not corrected\n", node.name));
  }
  if (options_->replica.empty()) {
    PrintFleet(merge.timelines());
  } else {
    PrintReplica(merge.timelines(), FindReplica(merge.timelines(), options_->replica));
  }
  for (const Disagreement& disagreement : merge.disagreements())
    Print(fmt::format("nodes differ on {} from {} for {:.1f} s: {}\n", disagreement.replica,
                      ClockText(disagreement.from),
                      static_cast<double>(disagreement.to - disagreement.from) / 1e6, disagreement.what));
  Print(losses);
  if (!options_->out.empty())
    RunGnuplot(TimelinePlotScript(merge.timelines(), {options_->out, options_->title, options_->width}));
  return 0;
}

int TimelineCommand::Export() {
  if (options_->csv.empty() == options_->hdf5.empty())
    throw std::runtime_error("timeline export: give exactly one of --csv DIRECTORY and --hdf5 FILE");
  if (!options_->hdf5.empty()) {
    // A separate program in the same directory writes the file, so that the node need not load the HDF5
    // library.
    const fs::path exporter = fs::read_symlink("/proc/self/exe").parent_path() / "ryeglade-export";
    std::vector<std::string> arguments{exporter.string(), "--out", options_->hdf5};
    if (!options_->span.empty())
      arguments.push_back("--span=" + options_->span[0] +
                          (options_->span.size() > 1 ? "," + options_->span[1] : ""));
    arguments.insert(arguments.end(), options_->paths.begin(), options_->paths.end());
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    execv(arguments[0].c_str(), argv.data());
    throw std::runtime_error(arguments[0] + " can't be run; build with libhdf5-dev installed, or use --csv");
  }
  std::string losses;
  const std::vector<ReplicaTimelines> nodes =
      LoadNodes(options_->paths, LoadOptionsFor(*options_, kTableBins), &losses);
  const TimelineMerge merge(nodes);
  fs::create_directories(options_->csv);
  for (const TextTable& table : TimelineTables(nodes.size() == 1 ? nodes.front() : merge.timelines())) {
    const std::string path = (fs::path(options_->csv) / (table.name + ".csv")).string();
    WriteFile(path, Csv(table));
    Print(fmt::format("{}: {} rows\n", path, table.rows()));
  }
  Print(losses);
  return 0;
}

int TimelineCommand::Plot() {
  std::string losses;
  const std::vector<ReplicaTimelines> nodes =
      LoadNodes(options_->paths, LoadOptionsFor(*options_, kPlotBins), &losses);
  const TimelineMerge merge(nodes);
  RunGnuplot(TimelinePlotScript(nodes.size() == 1 ? nodes.front() : merge.timelines(),
                                {options_->out, options_->title, options_->width}));
  Print(losses);
  return 0;
}

}  // namespace ryeglade
