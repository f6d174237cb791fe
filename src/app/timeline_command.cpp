#include "app/timeline_command.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <map>
#include <memory>
#include <stdexcept>
#include <utility>

#include "base/file_io.h"
#include "base/gnuplot.h"
#include "core/enum_names.h"
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

void Say(const std::string& text) { std::fputs(text.c_str(), stdout); }

std::string Clock(Time t) {
  const auto seconds = static_cast<std::time_t>(t / 1'000'000);
  return fmt::format("{:%H:%M:%S}.{:03}", fmt::gmtime(seconds), t / 1000 % 1000);
}

LoadOptions How(const TimelineOptions& o, std::uint32_t most_bins) {
  return {o.span, most_bins, o.again, Progress()};
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

const ReplicaTimeline& FindLane(const ReplicaTimelines& lanes, const std::string& replica) {
  const std::string wanted = Lower(replica);
  std::string near;
  for (const auto& [id, lane] : lanes.replicas()) {
    if (Lower(lane.name) == wanted || fmt::format("{:08x}", id) == wanted) return lane;
    if (Lower(lane.Title()).find(wanted) != std::string::npos && near.size() < 200)
      near += " " + lane.Title();
  }
  throw std::runtime_error("--replica: no '" + replica + "' in this record" +
                           (near.empty() ? "" : "; there is" + near));
}

std::string EventLine(const ReplicaTimelines& lanes, const Anomaly& u) {
  return fmt::format(
      "{}  #{:<4} {:<6} {:<20} {:<24} before {:<9.4g} during {:<9.4g} peers {:<9.4g} since {}\n",
      Clock(u.now), u.number, u.begins ? "begins" : "ends", Name(u.kind),
      u.fleet ? "the fleet" : lanes.ReplicaTitle(u.replica), u.baseline, u.during, u.peers, Clock(u.since));
}

// A lane over its span, in words.
void Tell(const ReplicaTimelines& lanes, const ReplicaTimeline& lane) {
  Say(fmt::format("replica {} ({:08x}) at {}, {} to {} UTC\n", lane.Title(), lane.id,
                  lane.address.empty() ? "an address that the record does not hold" : lane.address,
                  Clock(lanes.begin()), Clock(lanes.end())));
  std::vector<std::pair<Time, std::string>> lines;
  for (const StateSpan& s : lane.spans) {
    const double seconds = static_cast<double>(s.to - s.from) / 1e6;
    lines.emplace_back(
        s.from, s.state == ReplicaState::kUnknown
                    ? fmt::format("unknown for {:.1f} s, last known {}: {}", seconds, Name(s.known), s.why)
                    : fmt::format("{} for {:.1f} s, says {}", Name(s.state), seconds, s.why));
  }
  for (const EjectionSpan& r : lane.ejections) {
    lines.emplace_back(r.from, fmt::format("gets nothing new for {:.0f} ms: {}, {} failures in a row",
                                           static_cast<double>(r.until - r.from) / 1000, Name(r.outcome),
                                           r.consecutive_failures));
  }
  for (const Annotation& m : lane.annotations) lines.emplace_back(m.at, m.text);
  for (const Annotation& m : lanes.annotations()) lines.emplace_back(m.at, "(node) " + m.text);
  for (const Anomaly& u : lanes.anomalies()) {
    if (!u.fleet && u.replica != lane.id) continue;
    lines.emplace_back(
        u.now, fmt::format("unusual #{} {}: {}{}; {:.4g} before, {:.4g} while it lasts, {:.4g} elsewhere",
                           u.number, u.begins ? "begins" : "ends", Name(u.kind),
                           u.fleet ? " of the fleet" : "", u.baseline, u.during, u.peers));
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [at, text] : lines) Say(fmt::format("  {}  {}\n", Clock(at), text));
  // Work in at most 30 lines.
  Say(fmt::format("\n  {:<12} {:>6} {:>6} {:>6} {:>6} {:>9} {:>9} {:>9} {:>10}\n", "from", "sent", "served",
                  "failed", "full", "in flight", "first ms", "most ms", "load"));
  const std::uint32_t step = std::max(1U, (lanes.bins() + 29) / 30);
  for (std::uint32_t n = 0; n < lanes.bins(); n += step) {
    ReplicaBin all;
    for (auto it = lane.bins.lower_bound(n); it != lane.bins.end() && it->first < n + step; ++it)
      all.Add(it->second);
    Say(fmt::format(
        "  {:<12} {:>6} {:>6} {:>6} {:>6} {:>9} {:>9} {:>9} {:>10}\n", Clock(lanes.BinStart(n)), all.sent,
        all.served, all.failed, all.at_capacity, all.in_flight,
        all.first_tokens > 0 ? fmt::format("{:.0f}", all.first_token_sum / all.first_tokens) : "-",
        all.first_tokens > 0 ? fmt::format("{:.0f}", all.first_token_max) : "-",
        all.load < 0        ? "not told"
        : all.load_age >= 0 ? fmt::format("{:g} ({:.0f}s)", all.load, all.load_age)
                            : fmt::format("{:g}", all.load)));
  }
  if (lane.dropped_items > 0)
    Say(fmt::format("  {} states, rests and marks beyond the bounds are left out\n", lane.dropped_items));
}

// One line for each replica.
void TellAll(const ReplicaTimelines& lanes) {
  Say(fmt::format("{}: {} to {} UTC, {} replicas\n", lanes.node(), Clock(lanes.begin()), Clock(lanes.end()),
                  lanes.replicas().size()));
  Say(fmt::format("{:<24} {:<22} {:>8} {:>8} {:>7} {:>7} {:>9} {:>6} {:>7}  {}\n", "replica", "at its end",
                  "sent", "served", "failed", "full", "first ms", "rests", "unusual", "states"));
  for (const auto& [id, lane] : lanes.replicas()) {
    ReplicaBin all;
    for (const auto& [n, b] : lane.bins) all.Add(b);
    std::size_t events = 0;
    for (const Anomaly& u : lanes.anomalies()) events += u.begins && !u.fleet && u.replica == id ? 1 : 0;
    std::map<std::string, double> states;
    for (const StateSpan& s : lane.spans) states[Name(s.state)] += static_cast<double>(s.to - s.from) / 1e6;
    std::string told;
    for (const auto& [name, seconds] : states) told += fmt::format(" {} {:.0f}s", name, seconds);
    const StateSpan* last = lane.spans.empty() ? nullptr : &lane.spans.back();
    const std::string now = last == nullptr ? "never listed"
                            : last->state == ReplicaState::kUnknown
                                ? fmt::format("unknown, was {}", Name(last->known))
                                : Name(last->state);
    Say(fmt::format(
        "{:<24} {:<22} {:>8} {:>8} {:>7} {:>7} {:>9} {:>6} {:>7} {}\n", lane.Title(), now, all.sent,
        all.served, all.failed, all.at_capacity,
        all.first_tokens > 0 ? fmt::format("{:.0f}", all.first_token_sum / all.first_tokens) : "-",
        lane.ejections.size(), events, told));
  }
  FleetBin all;
  for (const auto& [n, f] : lanes.fleet()) all.Add(f);
  Say(
      fmt::format("requests: {} arrived, {} served, {} refused, {} failed, {} left by their clients; {} "
                  "decisions counted, not kept\n",
                  all.arrived, all.served, all.rejected, all.failed, all.disconnected, all.coalesced));
  std::string whys;
  for (std::size_t w = 0; w < lanes.conclusions().size(); ++w) {
    if (lanes.conclusions()[w] > 0)
      whys += fmt::format(" {}={}", Name(static_cast<policy::ConclusionReason>(w)), lanes.conclusions()[w]);
  }
  if (!whys.empty()) Say("refusals and failures by reason:" + whys + "\n");
  if (lanes.dropped_replicas() > 0) Say("more replicas than lanes: some are left out\n");
  // What happened to the node itself, and among the nodes: the newest.
  constexpr std::size_t kMarks = 60;
  const auto& marks = lanes.annotations();
  const std::size_t from = marks.size() > kMarks ? marks.size() - kMarks : 0;
  if (from > 0) Say(fmt::format("  ({} earlier ones)\n", from));
  for (std::size_t i = from; i < marks.size(); ++i)
    Say(fmt::format("  {}  {}\n", Clock(marks[i].at), marks[i].text));
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

TimelineCommand::TimelineCommand(CLI::App& app, TimelineOptions* options) : o_(options) {
  group_ =
      app.add_subcommand("timeline", "read flight records: what the decision module was told and decided");
  group_->require_subcommand(1);
  const auto add = [&](const char* name, const char* what) {
    CLI::App* c = group_->add_subcommand(name, what);
    c->add_option("path", o_->paths, "flight files, or directories of them")->required();
    return c;
  };
  const auto span = [&](CLI::App* c) {
    c->add_option("--span", o_->span, "only from, and to: Unix milliseconds, or +SECONDS since the begin")
        ->expected(1, 2)
        ->delimiter(',');
  };
  verify_ = add("verify", "run the record again and compare each decision");
  show_ = add("show", "the fleet, or with --replica one replica, in words");
  show_->add_option("--replica", o_->replica, "its name, or its eight digits");
  show_->add_option("--request", o_->request, "only records that name this request");
  show_->add_flag("--records", o_->records, "each record by itself");
  span(show_);
  events_ = add("events", "what departed from the usual");
  events_->add_flag("--again", o_->again, "look anew instead of reading what the node noticed");
  span(events_);
  why_ = group_->add_subcommand("why", "one request's whole story, with reasons");
  why_->add_option("request", o_->request, "what its client calls it, x-request-id, or the module's number")
      ->required();
  why_->add_option("path", o_->paths, "flight files, or directories of them")->required();
  merge_ = add("merge", "several nodes' records as one line per replica; each path is one node");
  merge_->add_option("--replica", o_->replica, "one replica in words");
  merge_->add_option("--plot", o_->out, "draw it too: a name ending in .svg or .png");
  span(merge_);
  export_ = add("export", "write tables: CSV files, or one columnar file; more paths are more nodes");
  export_->add_option("--csv", o_->csv, "a directory for one file each table");
  export_->add_option("--hdf5", o_->hdf5, "an HDF5 file");
  span(export_);
  plot_ = add("plot", "draw a lane for each replica; more paths are more nodes");
  plot_->add_option("-o,--out", o_->out, "a name ending in .svg or .png")->required();
  plot_->add_option("--title", o_->title);
  plot_->add_option("--width", o_->width, "pixels")->check(CLI::Range(600, 8000));
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
      FlightFiles(o_->paths), [&](const Record& r) { verifier.Take(r); }, Progress());
  Say(fmt::format("{} blocks, {} starts; {} of {} decisions reproduced, {} could not be compared\n",
                  totals.report.blocks, verifier.starts(), verifier.matched(), verifier.decisions(),
                  verifier.skipped()));
  Say(totals.Losses());
  if (!verifier.first_difference().empty()) Say("first difference: " + verifier.first_difference() + "\n");
  return verifier.good() ? 0 : 1;
}

int TimelineCommand::Show() {
  if (!o_->records && o_->request.empty()) {
    const LoadedTimelines l = LoadTimelines(o_->paths, How(*o_, 1800));
    if (o_->replica.empty()) {
      TellAll(l.lanes);
    } else {
      Tell(l.lanes, FindLane(l.lanes, o_->replica));
    }
    Say(l.totals.Losses());
    return 0;
  }
  const std::vector<std::string> files = FlightFiles(o_->paths);
  const timeline::ReplicaTimelineOptions bounds = BoundsOf(How(*o_, 1), files);
  std::string digits = Lower(o_->replica);
  const ReadTotals totals = ReadFlight(files, [&](const Record& r) {
    const Time at = RecordTime(r);
    if (const auto* m = std::get_if<EndpointRecord>(&r); m != nullptr && Lower(m->name) == digits)
      digits = fmt::format("{:08x}", m->id);
    if (at != 0 && ((bounds.from != 0 && at < bounds.from) || (bounds.to != 0 && at > bounds.to))) return;
    const std::string words = ToText(r);
    if (!digits.empty() && words.find(digits) == std::string::npos) return;
    if (!o_->request.empty() && !Mentions(words, o_->request)) return;
    Say(words + "\n");
  });
  Say(totals.Losses());
  return 0;
}

int TimelineCommand::Events() {
  const LoadedTimelines l = LoadTimelines(o_->paths, How(*o_, 1800));
  for (const Anomaly& u : l.lanes.anomalies()) Say(EventLine(l.lanes, u));
  std::size_t begun = 0;
  for (const Anomaly& u : l.lanes.anomalies()) begun += u.begins ? 1 : 0;
  Say(fmt::format("{} unusual events in {:.0f} s\n", begun,
                  static_cast<double>(l.lanes.end() - l.lanes.begin()) / 1e6));
  Say(l.totals.Losses());
  return 0;
}

int TimelineCommand::Why() {
  RequestTrace story(o_->request);
  const ReadTotals totals = ReadWithReasons(
      FlightFiles(o_->paths), [&](const Record& r) { story.AddRecord(r); }, Progress());
  for (const std::string& line : story.Lines()) Say(line + "\n");
  Say(totals.Losses());
  if (story.found() > 0) return 0;
  std::fprintf(stderr, "ryeglade: no request '%s' in this record; its times may be rotated away\n",
               o_->request.c_str());
  return 1;
}

int TimelineCommand::MergeNodes() {
  std::string losses;
  const std::vector<ReplicaTimelines> nodes = LoadNodes(o_->paths, How(*o_, 1800), &losses);
  const TimelineMerge merge(nodes);
  for (const MergedNode& n : merge.nodes()) {
    Say(n.common > 0
            ? fmt::format("{}: clock {:+.3f} s, from {} generations told to both, within {:.3f} s\n", n.name,
                          static_cast<double>(n.offset) / 1e6, n.common, static_cast<double>(n.spread) / 1e6)
        : &n == &merge.nodes().front()
            ? fmt::format("{}: its clock counts\n", n.name)
            : fmt::format("{}: no generation in common; its clock is taken as it is\n", n.name));
  }
  if (o_->replica.empty()) {
    TellAll(merge.timelines());
  } else {
    Tell(merge.timelines(), FindLane(merge.timelines(), o_->replica));
  }
  for (const Disagreement& d : merge.disagreements())
    Say(fmt::format("nodes differ on {} from {} for {:.1f} s: {}\n", d.replica, Clock(d.from),
                    static_cast<double>(d.to - d.from) / 1e6, d.what));
  Say(losses);
  if (!o_->out.empty()) RunGnuplot(TimelinePlotScript(merge.timelines(), {o_->out, o_->title, o_->width}));
  return 0;
}

int TimelineCommand::Export() {
  if (o_->csv.empty() == o_->hdf5.empty())
    throw std::runtime_error("give one of --csv DIRECTORY and --hdf5 FILE");
  if (!o_->hdf5.empty()) {
    // The library for it is not loaded into the node: a program of its own beside this one writes the file.
    const fs::path beside = fs::read_symlink("/proc/self/exe").parent_path() / "ryeglade-export";
    std::vector<std::string> words{beside.string(), "--out", o_->hdf5};
    if (!o_->span.empty())
      words.push_back("--span=" + o_->span[0] + (o_->span.size() > 1 ? "," + o_->span[1] : ""));
    words.insert(words.end(), o_->paths.begin(), o_->paths.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& w : words) argv.push_back(w.data());
    argv.push_back(nullptr);
    execv(words[0].c_str(), argv.data());
    throw std::runtime_error(words[0] + " is not there; build with libhdf5-dev installed, or use --csv");
  }
  std::string losses;
  const std::vector<ReplicaTimelines> nodes = LoadNodes(o_->paths, How(*o_, 100'000), &losses);
  const TimelineMerge merge(nodes);
  fs::create_directories(o_->csv);
  for (const TextTable& sheet : TimelineTables(nodes.size() == 1 ? nodes.front() : merge.timelines())) {
    const std::string path = (fs::path(o_->csv) / (sheet.name + ".csv")).string();
    WriteFile(path, Csv(sheet));
    Say(fmt::format("{}: {} rows\n", path, sheet.rows()));
  }
  Say(losses);
  return 0;
}

int TimelineCommand::Plot() {
  std::string losses;
  const std::vector<ReplicaTimelines> nodes = LoadNodes(o_->paths, How(*o_, 500), &losses);
  const TimelineMerge merge(nodes);
  RunGnuplot(TimelinePlotScript(nodes.size() == 1 ? nodes.front() : merge.timelines(),
                                {o_->out, o_->title, o_->width}));
  Say(losses);
  return 0;
}

}  // namespace ryeglade
