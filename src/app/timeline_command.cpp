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

// On a terminal only; a line that is written over.
std::function<void(std::size_t, std::size_t)> Progress() {
  if (isatty(STDERR_FILENO) == 0) return nullptr;
  return [](std::size_t file, std::size_t of) {
    std::fprintf(stderr, "\r%zu of %zu files%s", file, of, file == of ? "\n" : "");
    std::fflush(stderr);
  };
}

LoadOptions LoadOptionsFor(const TimelineOptions& options, std::uint32_t max_bins) {
  return {options.span, max_bins, options.again, Progress()};
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

const ReplicaTimeline& FindReplica(const ReplicaTimelines& timelines, const std::string& name) {
  const std::string wanted = Lower(name);
  std::string near;
  for (const auto& [id, replica] : timelines.replicas()) {
    if (Lower(replica.name) == wanted || fmt::format("{:08x}", id) == wanted) return replica;
    if (Lower(replica.Title()).find(wanted) != std::string::npos && near.size() < 200)
      near += " " + replica.Title();
  }
  throw std::runtime_error("--replica: no '" + name + "' in this record" +
                           (near.empty() ? "" : "; there is" + near));
}

// Names of requests stand between a space and a space, a point or a comma.
bool Mentions(const std::string& words, const std::string& name) {
  for (std::size_t at = words.find(" " + name); at != std::string::npos;
       at = words.find(" " + name, at + 1)) {
    const std::size_t end = at + 1 + name.size();
    if (end == words.size() || words[end] == ' ' || words[end] == '.' || words[end] == ',') return true;
  }
  return false;
}

void WriteFile(const std::string& path, const std::string& text) {
  const FileError fault = ReplaceFile(path, text, 0644);
  if (fault.error != 0)
    throw std::runtime_error(fmt::format("{}: {}: {}", path, fault.what, std::strerror(fault.error)));
}

}  // namespace

TimelineCommand::TimelineCommand(CLI::App& app, TimelineOptions* options) : options_(options) {
  group_ =
      app.add_subcommand("timeline", "read flight records: what the decision module was told and decided");
  group_->require_subcommand(1);
  const auto add = [&](const char* name, const char* what) {
    CLI::App* c = group_->add_subcommand(name, what);
    c->add_option("path", options_->paths, "flight files, or directories of them")->required();
    return c;
  };
  const auto span = [&](CLI::App* c) {
    c->add_option("--span", options_->span,
                  "only from, and to: Unix milliseconds, or +SECONDS since the begin")
        ->expected(1, 2)
        ->delimiter(',');
  };
  verify_ = add("verify", "run the record again and compare each decision");
  show_ = add("show", "the fleet, or with --replica one replica, in words");
  show_->add_option("--replica", options_->replica, "its name, or its eight digits");
  show_->add_option("--request", options_->request, "only records that name this request");
  show_->add_flag("--records", options_->records, "each record by itself");
  span(show_);
  events_ = add("events", "what departed from the usual");
  events_->add_flag("--again", options_->again, "look anew instead of reading what the node noticed");
  span(events_);
  why_ = group_->add_subcommand("why", "one request's whole story, with reasons");
  why_->add_option("request", options_->request,
                   "what its client calls it, x-request-id, or the module's number")
      ->required();
  why_->add_option("path", options_->paths, "flight files, or directories of them")->required();
  merge_ = add("merge", "several nodes' records as one line per replica; each path is one node");
  merge_->add_option("--replica", options_->replica, "one replica in words");
  merge_->add_option("--plot", options_->out, "draw it too: a name ending in .svg or .png");
  span(merge_);
  export_ = add("export", "write tables: CSV files, or one columnar file; more paths are more nodes");
  export_->add_option("--csv", options_->csv, "a directory for one file each table");
  export_->add_option("--hdf5", options_->hdf5, "an HDF5 file");
  span(export_);
  plot_ = add("plot", "draw a lane for each replica; more paths are more nodes");
  plot_->add_option("-o,--out", options_->out, "a name ending in .svg or .png")->required();
  plot_->add_option("--title", options_->title);
  plot_->add_option("--width", options_->width, "pixels")->check(CLI::Range(600, 8000));
  span(plot_);
}

bool TimelineCommand::chosen() const { return group_->parsed(); }

int TimelineCommand::Run() {
  if (*verify_) return Verify();
  if (*show_) return Show();
  if (*events_) return Events();
  if (*why_) return Why();
  if (*merge_) return MergeNodes();
  if (*export_) return Export();
  return Plot();
}

int TimelineCommand::Verify() {
  Verifier verifier;
  const ReadTotals totals = ReadFlight(
      FlightFiles(options_->paths), [&](const Record& r) { verifier.AddRecord(r); }, Progress());
  Print(fmt::format("{} blocks, {} starts; {} of {} decisions reproduced, {} could not be compared\n",
                    totals.report.blocks, verifier.starts(), verifier.matched(), verifier.decisions(),
                    verifier.skipped()));
  Print(totals.Losses());
  if (!verifier.first_difference().empty()) Print("first difference: " + verifier.first_difference() + "\n");
  return verifier.good() ? 0 : 1;
}

int TimelineCommand::Show() {
  if (!options_->records && options_->request.empty()) {
    const LoadedTimelines loaded = LoadTimelines(options_->paths, LoadOptionsFor(*options_, 1800));
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
  std::string digits = Lower(options_->replica);
  const ReadTotals totals = ReadFlight(files, [&](const Record& r) {
    const Time at = RecordTime(r);
    if (const auto* m = std::get_if<EndpointRecord>(&r); m != nullptr && Lower(m->name) == digits)
      digits = fmt::format("{:08x}", m->id);
    if (at != 0 && ((bounds.from != 0 && at < bounds.from) || (bounds.to != 0 && at > bounds.to))) return;
    const std::string words = ToText(r);
    if (!digits.empty() && words.find(digits) == std::string::npos) return;
    if (!options_->request.empty() && !Mentions(words, options_->request)) return;
    Print(words + "\n");
  });
  Print(totals.Losses());
  return 0;
}

int TimelineCommand::Events() {
  const LoadedTimelines loaded = LoadTimelines(options_->paths, LoadOptionsFor(*options_, 1800));
  for (const Anomaly& u : loaded.timelines.anomalies()) Print(AnomalyLine(loaded.timelines, u));
  std::size_t begun = 0;
  for (const Anomaly& u : loaded.timelines.anomalies()) begun += u.begins ? 1 : 0;
  Print(fmt::format("{} unusual events in {:.0f} s\n", begun,
                    static_cast<double>(loaded.timelines.end() - loaded.timelines.begin()) / 1e6));
  Print(loaded.totals.Losses());
  return 0;
}

int TimelineCommand::Why() {
  RequestTrace story(options_->request);
  const ReadTotals totals = ReadWithReasons(
      FlightFiles(options_->paths), [&](const Record& r) { story.AddRecord(r); }, Progress());
  for (const std::string& line : story.Lines()) Print(line + "\n");
  Print(totals.Losses());
  if (story.found() > 0) return 0;
  std::fprintf(stderr, "ryeglade: no request '%s' in this record; its times may be rotated away\n",
               options_->request.c_str());
  return 1;
}

int TimelineCommand::MergeNodes() {
  std::string losses;
  const std::vector<ReplicaTimelines> nodes =
      LoadNodes(options_->paths, LoadOptionsFor(*options_, 1800), &losses);
  const TimelineMerge merge(nodes);
  for (const MergedNode& n : merge.nodes()) {
    Print(n.common_generations > 0
              ? fmt::format("{}: clock {:+.3f} s, from {} generations told to both, within {:.3f} s\n",
                            n.name, static_cast<double>(n.offset) / 1e6, n.common_generations,
                            static_cast<double>(n.offset_spread) / 1e6)
          : &n == &merge.nodes().front()
              ? fmt::format("{}: its clock counts\n", n.name)
              : fmt::format("{}: no generation in common; its clock is taken as it is\n", n.name));
  }
  if (options_->replica.empty()) {
    PrintFleet(merge.timelines());
  } else {
    PrintReplica(merge.timelines(), FindReplica(merge.timelines(), options_->replica));
  }
  for (const Disagreement& d : merge.disagreements())
    Print(fmt::format("nodes differ on {} from {} for {:.1f} s: {}\n", d.replica, ClockText(d.from),
                      static_cast<double>(d.to - d.from) / 1e6, d.what));
  Print(losses);
  if (!options_->out.empty())
    RunGnuplot(TimelinePlotScript(merge.timelines(), {options_->out, options_->title, options_->width}));
  return 0;
}

int TimelineCommand::Export() {
  if (options_->csv.empty() == options_->hdf5.empty())
    throw std::runtime_error("give one of --csv DIRECTORY and --hdf5 FILE");
  if (!options_->hdf5.empty()) {
    // The library for it is not loaded into the node: a program of its own beside this one writes the file.
    const fs::path beside = fs::read_symlink("/proc/self/exe").parent_path() / "ryeglade-export";
    std::vector<std::string> words{beside.string(), "--out", options_->hdf5};
    if (!options_->span.empty())
      words.push_back("--span=" + options_->span[0] +
                      (options_->span.size() > 1 ? "," + options_->span[1] : ""));
    words.insert(words.end(), options_->paths.begin(), options_->paths.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& w : words) argv.push_back(w.data());
    argv.push_back(nullptr);
    execv(words[0].c_str(), argv.data());
    throw std::runtime_error(words[0] + " is not there; build with libhdf5-dev installed, or use --csv");
  }
  std::string losses;
  const std::vector<ReplicaTimelines> nodes =
      LoadNodes(options_->paths, LoadOptionsFor(*options_, 100'000), &losses);
  const TimelineMerge merge(nodes);
  fs::create_directories(options_->csv);
  for (const TextTable& sheet : TimelineTables(nodes.size() == 1 ? nodes.front() : merge.timelines())) {
    const std::string path = (fs::path(options_->csv) / (sheet.name + ".csv")).string();
    WriteFile(path, Csv(sheet));
    Print(fmt::format("{}: {} rows\n", path, sheet.rows()));
  }
  Print(losses);
  return 0;
}

int TimelineCommand::Plot() {
  std::string losses;
  const std::vector<ReplicaTimelines> nodes =
      LoadNodes(options_->paths, LoadOptionsFor(*options_, 500), &losses);
  const TimelineMerge merge(nodes);
  RunGnuplot(TimelinePlotScript(nodes.size() == 1 ? nodes.front() : merge.timelines(),
                                {options_->out, options_->title, options_->width}));
  Print(losses);
  return 0;
}

}  // namespace ryeglade
