#include "app/rollout_command.h"

#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <future>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include "base/deadlines.h"
#include "base/gnuplot.h"
#include "hot_restart/handover_state_codec.h"
#include "http/blocking_client.h"
#include "membership/member_record_model.h"
#include "rollout/cluster_view_model.h"
#include "rollout/driver_model.h"
#include "rollout/plan.h"
#include "rollout/report_model.h"
#include "rollout/supervisor.h"
#include "settings/toml_reader.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade {
namespace {

using rollout::Command;
using rollout::Course;
using rollout::Driver;
using rollout::KeeperStatus;
using rollout::NodeView;
using rollout::Order;
using rollout::Plan;
using rollout::Reply;

// A round must be over well within the keepers' lease, however many of them do not answer.
int PatienceMs(const RolloutOptions& o) {
  return static_cast<int>(std::clamp(o.lease * 1000 / 4, 50.0, 2000.0));
}

volatile std::sig_atomic_t interrupted = 0;

// `call(0)` to `call(n - 1)` beside each other; one that throws has no answer.
template <class F>
void AllAtOnce(std::size_t n, F call) {
  std::vector<std::thread> threads;
  threads.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    threads.emplace_back([&call, i] {
      try {
        call(i);
      } catch (const std::exception&) {
      }
    });
  }
  for (std::thread& t : threads) t.join();
}

// One call to each of the named keepers, all at once; null: no answer, or none that can be read.
std::map<std::string, std::optional<Reply>> Send(const Plan& plan, const std::vector<Order>& orders,
                                                 const RolloutOptions& o) {
  std::map<std::string, std::string> at;
  for (const auto& n : plan.nodes) at[n.name] = n.keeper;
  std::vector<std::optional<Reply>> replies(orders.size());
  AllAtOnce(orders.size(), [&](std::size_t i) {
    const HttpResponse a = BlockingHttpCall("the keeper at", at.at(orders[i].node), "POST", "/keeper/command",
                                            EncodeCommand(orders[i].command), PatienceMs(o), o.from);
    replies[i] = rollout::DecodeReply(a.body);
  });
  std::map<std::string, std::optional<Reply>> all;
  for (std::size_t i = 0; i < orders.size(); ++i) all[orders[i].node] = std::move(replies[i]);
  return all;
}

std::map<std::string, std::optional<KeeperStatus>> Look(const Plan& plan, const RolloutOptions& o) {
  std::vector<std::optional<KeeperStatus>> seen(plan.nodes.size());
  AllAtOnce(plan.nodes.size(), [&](std::size_t i) {
    seen[i] = rollout::DecodeStatus(
        BlockingHttpCall("the keeper at", plan.nodes[i].keeper, "GET", "/keeper", "", PatienceMs(o), o.from)
            .body);
  });
  std::map<std::string, std::optional<KeeperStatus>> all;
  for (std::size_t i = 0; i < plan.nodes.size(); ++i) all[plan.nodes[i].name] = std::move(seen[i]);
  return all;
}

// What the nodes at the plan's status addresses say of each other; one that does not answer says nothing.
rollout::TierWord AskTier(const Plan& plan, const RolloutOptions& o) {
  std::vector<std::optional<rollout::TierSaid>> answers(plan.status.size());
  AllAtOnce(plan.status.size(), [&](std::size_t i) {
    answers[i] = rollout::ReadTierSaid(
        BlockingHttpCall("the status address", plan.status[i], "GET", "/nodes", "", PatienceMs(o), o.from)
            .body);
  });
  std::vector<rollout::TierSaid> said;
  for (auto& a : answers) {
    if (a) said.push_back(std::move(*a));
  }
  return rollout::PutTogether(plan.status.size(), said);
}

// Members that the plan does not name: they keep what they run, and are no part of any cohort.
std::vector<std::string> Strangers(const Plan& plan, const rollout::TierWord& word) {
  std::set<std::string> named;
  for (const auto& n : plan.nodes) named.insert(n.name);
  std::vector<std::string> all;
  std::set_difference(word.known.begin(), word.known.end(), named.begin(), named.end(),
                      std::back_inserter(all));
  return all;
}

// The driver's rounds as a file, a line each: written when something has turned, and every 5 s; bounded.
class Record {
 public:
  explicit Record(const std::string& path) {
    if (path.empty()) return;
    file_ = std::fopen(path.c_str(), "ae");
    if (file_ == nullptr) throw std::runtime_error("rollout: cannot write " + path);
    std::fseek(file_, 0, SEEK_END);
    size_ = std::ftell(file_);
  }
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Add(const rollout::RecordedRound& round) {
    if (file_ == nullptr) return;
    std::string turn = round.course + std::to_string(round.stage) + std::to_string(round.in_change);
    for (const auto& n : round.nodes) turn += n.state;
    if (turn == turn_ && round.at - at_ < kEvery) return;
    turn_ = turn;
    at_ = round.at;
    const std::string line = EncodeRound(round);
    if (size_ + static_cast<long>(line.size()) > kMost) {
      std::fprintf(stderr, "ryeglade: rollout: the record is full; the rollout goes on\n");
      std::fclose(std::exchange(file_, nullptr));
      return;
    }
    size_ += static_cast<long>(line.size());
    // A disk that is full costs the record, never the rollout.
    if (std::fwrite(line.data(), 1, line.size(), file_) != line.size() || std::fflush(file_) != 0) {
      std::fprintf(stderr, "ryeglade: rollout: the record can't be written; the rollout goes on\n");
      std::fclose(std::exchange(file_, nullptr));
    }
  }

 private:
  static constexpr long kMost = 64L << 20;
  static constexpr double kEvery = 5;
  std::FILE* file_ = nullptr;
  long size_ = 0;
  std::string turn_;
  double at_ = 0;
};

double UnixSeconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string Table(const Plan& plan, const std::map<std::string, std::optional<KeeperStatus>>& seen) {
  std::string out = fmt::format("{:<16} {:<8} {:<10} {:<16} {:<16} {:<8} {:<8} {}\n", "node", "zone", "phase",
                                "runs", "last good", "epoch", "mark", "note");
  for (const auto& n : plan.nodes) {
    const auto& s = seen.at(n.name);
    if (!s) {
      out += fmt::format("{:<16} {:<8} {:<10}\n", n.name, n.zone, "no answer");
      continue;
    }
    std::string note = s->trying.empty() ? "" : "tries " + s->trying;
    if (!s->failed.empty()) note += (note.empty() ? "" : "; ") + s->failed + ": " + s->failed_why;
    if (s->crashes > 0) note += fmt::format("{}crashed {} times", note.empty() ? "" : "; ", s->crashes);
    if (note.empty()) note = s->why;
    out += fmt::format("{:<16} {:<8} {:<10} {:<16} {:<16} {:<8} {:<8} {}\n", n.name, n.zone, Name(s->phase),
                       s->in_force.id, s->last_good.id, s->epoch, s->mark.empty() ? "-" : s->mark, note);
  }
  return out;
}

std::string Comparisons(const rollout::Outcome& o) {
  std::string out = fmt::format("{:<12} {:<12} {:>10} {:>10} {:>11} {:>11} {:>22}  {}\n", "class", "what",
                                "new n", "old n", "new", "old", "difference", "verdict");
  for (const auto& c : o.comparisons) {
    const std::string half = c.half > 1e6 ? "+- ?" : fmt::format("+- {:.4f}", c.half);
    out += fmt::format("{:<12} {:<12} {:>10.0f} {:>10.0f} {:>11.4f} {:>11.4f} {:>+10.4f} {:>11}  {}\n", c.cls,
                       c.what, c.n_new, c.n_old, c.mean_new, c.mean_old, c.difference, half,
                       c.worse ? "WORSE" : "-");
  }
  return out;
}

void Say(const std::string& line) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::printf("%lld.%03d %s\n", static_cast<long long>(now.count() / 1000),
              static_cast<int>(now.count() % 1000), line.c_str());
  std::fflush(stdout);
}

// The sums of what changes, so that every keeper starts the very same files; a path that is not on this
// machine is summed by each keeper for itself.
void Sum(rollout::Release& r) {
  const auto sum = [](const std::string& path, std::string& into) {
    if (!path.empty() && access(path.c_str(), R_OK) == 0) into = rollout::SumOf(path);
  };
  sum(r.program, r.program_sum), sum(r.config, r.config_sum), sum(r.settings, r.settings_sum);
}

Plan Load(const std::string& path) { return rollout::ParsePlan(path, ReadWholeFile(path)); }

std::uint64_t HighestEpoch(const std::map<std::string, std::optional<KeeperStatus>>& seen) {
  std::uint64_t highest = 0;
  for (const auto& [name, s] : seen) highest = std::max(highest, s ? s->epoch : 0);
  return highest;
}

// What would change, and whether each node could run it. 0: it can be started.
int ShowPlan(const Plan& plan, const RolloutOptions& o) {
  const auto seen = Look(plan, o);
  int bad = 0;
  std::printf("%s: release %s", plan.name.c_str(), plan.release.id.c_str());
  for (const auto& [word, path] :
       {std::pair<const char*, const std::string&>{"program", plan.release.program},
        {"config", plan.release.config},
        {"settings", plan.release.settings}}) {
    if (!path.empty()) std::printf(", %s %s", word, path.c_str());
  }
  std::printf("\n");
  rollout::Release release = plan.release;
  Sum(release);
  for (std::size_t s = 0; s < plan.stages.size(); ++s) {
    const auto& stage = plan.stages[s];
    std::printf("stage %zu: %zu nodes, %zu at once, soak %.0f s, verdict from %llu requests\n", s + 1,
                stage.nodes.size(), stage.at_once, static_cast<double>(stage.soak) / 1e6,
                static_cast<unsigned long long>(stage.requests));
    for (const std::string& name : stage.nodes) {
      const auto at =
          std::find_if(plan.nodes.begin(), plan.nodes.end(), [&](const auto& n) { return n.name == name; });
      if (!seen.at(name)) {
        std::printf("  %-16s NO ANSWER from its keeper at %s\n", name.c_str(), at->keeper.c_str());
        ++bad;
        continue;
      }
      std::string said;
      try {
        const auto j =
            nlohmann::json::parse(BlockingHttpCall("the keeper at", at->keeper, "POST", "/keeper/check",
                                                   EncodeRelease(release), 25'000, o.from)
                                      .body);
        said = j.value("good", false) ? "" : j.value("why", "no reason given");
      } catch (const std::exception& e) {
        said = e.what();
      }
      while (!said.empty() && said.back() == '\n') said.pop_back();
      if (!said.empty()) ++bad;
      std::printf("  %-16s %s -> %s%s\n", name.c_str(), seen.at(name)->in_force.id.c_str(),
                  plan.release.id.c_str(), said.empty() ? "" : (": REFUSED: " + said).c_str());
    }
  }
  if (!plan.status.empty()) {
    const rollout::TierWord tier = AskTier(plan, o);
    std::printf("membership: %zu of %zu status addresses answer, %zu are sure of their views\n", tier.answers,
                tier.asked, tier.sure);
    for (const std::string& n : tier.suspect)
      std::printf("  %-16s is suspect: it would be left alone\n", n.c_str());
    for (const std::string& n : tier.dead)
      std::printf("  %-16s is dead: it would be passed over\n", n.c_str());
    for (const std::string& n : Strangers(plan, tier))
      std::printf("  %-16s is a member and not in the plan: it keeps what it runs\n", n.c_str());
  }
  if (bad > 0) std::printf("%d nodes can't take it: mend that, or take them out of the plan\n", bad);
  return bad > 0 ? 1 : 0;
}

rollout::RecordedRound RoundOf(const Plan& plan, const Driver& driver,
                               const std::map<std::string, NodeView>& round, std::uint64_t epoch,
                               const std::string& name) {
  rollout::RecordedRound r;
  r.at = UnixSeconds();
  r.course = Name(driver.course());
  r.why = driver.why();
  r.driver = name;
  r.epoch = epoch;
  r.stage = driver.stage() + 1;
  r.in_change = driver.in_change();
  const auto gone = driver.passed_over(), alone = driver.left_alone();
  const auto in = [](const std::vector<std::string>& names, const std::string& n) {
    return std::find(names.begin(), names.end(), n) != names.end();
  };
  for (const auto& n : plan.nodes) {
    const auto at = round.find(n.name);
    const bool answers = at != round.end() && at->second.status.has_value();
    std::string state = "gone";
    if (answers && !in(gone, n.name)) {
      const KeeperStatus& s = *at->second.status;
      state = in(alone, n.name)                                          ? "left-alone"
              : !s.trying.empty() || s.phase != rollout::Phase::kRunning ? "changing"
              : s.in_force.id == plan.release.id                         ? "new"
                                                                         : "old";
    }
    r.nodes.push_back({n.name, n.zone, state});
  }
  r.comparisons = driver.outcome().comparisons;
  return r;
}

// A record as a table, and as a picture or a file of columns where they are asked for.
int Report(const RolloutOptions& o) {
  std::size_t skipped = 0;
  const auto rounds = rollout::DecodeRecord(ReadWholeFile(o.record), &skipped);
  std::fputs(rollout::ReportTable(rounds).c_str(), stdout);
  if (skipped > 0) std::printf("%zu lines could not be read\n", skipped);
  if (!o.csv.empty()) {
    std::FILE* f = std::fopen(o.csv.c_str(), "we");
    const std::string text = Csv(rollout::ReportSheet(rounds));
    const bool good = f != nullptr && std::fwrite(text.data(), 1, text.size(), f) == text.size();
    if (f == nullptr || std::fclose(f) != 0 || !good)
      throw std::runtime_error("rollout: cannot write " + o.csv);
  }
  if (!o.chart.empty()) RunGnuplot(rollout::ReportChart(rounds, o.chart));
  return rounds.empty() ? 1 : 0;
}

// The driver, until it has ended, is superseded or is interrupted (which leaves all as it is; `start` goes
// on).
int Drive(Plan plan, const RolloutOptions& o) {
  Sum(plan.release);
  auto seen = Look(plan, o);
  const std::uint64_t epoch = HighestEpoch(seen) + 1;
  const std::string name = o.driver.empty() ? fmt::format("{}-{}", getpid(), Now()) : o.driver;
  Driver driver(plan, epoch, name, static_cast<Time>(o.lease * 1.2 * 1e6));
  Say(fmt::format("event=rollout plan={} release={} epoch={} driver={}", plan.name, plan.release.id, epoch,
                  name));
  Record record(o.record);
  std::string told, tier_told;
  while (!driver.ended() && interrupted == 0) {
    const auto began = std::chrono::steady_clock::now();
    std::vector<Order> claims;
    for (const auto& n : plan.nodes) claims.push_back({n.name, driver.Claim()});
    std::map<std::string, NodeView> round;
    // Beside the claims: a round has to be over well within the lease.
    std::future<rollout::TierWord> asked;
    if (!plan.status.empty()) asked = std::async(std::launch::async, [&] { return AskTier(plan, o); });
    for (auto& [node, reply] : Send(plan, claims, o)) {
      if (!reply) continue;
      round[node] = {reply->status, reply->yes};
      if (!reply->yes) driver.Refused(reply->why);
    }
    std::optional<rollout::TierWord> tier;
    if (asked.valid()) tier = asked.get();
    if (driver.ended()) break;
    const std::vector<Order> orders = driver.Round(Now(), round, tier ? &*tier : nullptr);
    if (tier) {
      std::string line =
          fmt::format("event=tier answers={} sure={} asked={}", tier->answers, tier->sure, tier->asked);
      for (const std::string& n : tier->suspect) line += " suspect=" + n;
      for (const std::string& n : tier->dead) line += " dead=" + n;
      for (const std::string& n : Strangers(plan, *tier)) line += " not_in_plan=" + n;
      if (line != tier_told) Say(line);
      tier_told = line;
    }
    for (const Order& order : orders) {
      if (order.command.what != Command::What::kMark)
        Say(fmt::format("event=order node={} what={}", order.node, static_cast<int>(order.command.what)));
    }
    // Marks first: what was decided is known before it is acted on.
    std::vector<Order> marks, acts;
    for (const Order& order : orders)
      (order.command.what == Command::What::kMark ? marks : acts).push_back(order);
    for (const auto* part : {&marks, &acts}) {
      for (const auto& [node, reply] : Send(plan, *part, o)) {
        if (!reply || reply->yes) continue;
        Say(fmt::format("event=refused node={} why=\"{}\"", node, reply->why));
        driver.Refused(reply->why);
      }
    }
    std::string now =
        fmt::format("event=course course={} stage={} in_change={} why=\"{}\"", Name(driver.course()),
                    driver.stage() + 1, driver.in_change(), driver.why());
    for (const std::string& gone : driver.passed_over()) now += " passed_over=" + gone;
    for (const std::string& alone : driver.left_alone()) now += " left_alone=" + alone;
    record.Add(RoundOf(plan, driver, round, epoch, name));
    if (now != told) Say(now);
    told = now;
    std::this_thread::sleep_until(began + std::chrono::microseconds(static_cast<Time>(o.round * 1e6)));
  }
  if (!driver.outcome().comparisons.empty()) std::fputs(Comparisons(driver.outcome()).c_str(), stdout);
  std::fputs(Table(plan, Look(plan, o)).c_str(), stdout);
  switch (driver.course()) {
    case Course::kDone:
      return 0;
    case Course::kBackDone:
      return 3;
    case Course::kOver:
      return 4;
    default:
      return 5;
  }
}

// An operator's word, left at the keepers under an epoch of its own: whoever drives reads it there. The
// driver that ran is superseded by it; `start` goes on from there.
int Word(const Plan& plan, const std::string& mark, const std::string& why, const RolloutOptions& o) {
  const auto seen = Look(plan, o);
  const std::uint64_t epoch = HighestEpoch(seen) + 1;
  Command claim;
  claim.epoch = epoch;
  claim.driver = o.driver.empty() ? fmt::format("{}-{}", getpid(), Now()) : o.driver;
  claim.plan = plan.text;
  std::vector<Order> claims, marks;
  for (const auto& n : plan.nodes) claims.push_back({n.name, claim});
  std::size_t yes = 0;
  for (const auto& [node, reply] : Send(plan, claims, o)) yes += reply && reply->yes ? 1 : 0;
  if (yes <= plan.nodes.size() / 2) {
    std::printf("%zu of %zu keepers answer: nothing is said\n", yes, plan.nodes.size());
    return 1;
  }
  Command m = claim;
  m.what = Command::What::kMark;
  m.mark = mark;
  m.why = why.empty() ? "said by an operator" : why;
  for (const auto& n : plan.nodes) marks.push_back({n.name, m});
  yes = 0;
  for (const auto& [node, reply] : Send(plan, marks, o)) yes += reply && reply->yes ? 1 : 0;
  std::printf("%s: %zu of %zu keepers know\n", mark.c_str(), yes, plan.nodes.size());
  return yes > plan.nodes.size() / 2 ? 0 : 1;
}

}  // namespace

std::string CompatText() {
  return nlohmann::json{
      {"version", RYEGLADE_VERSION},
      {"membership-wire", {membership::kMinReaderSchema, membership::kSchema}},
      {"hand-over-state", {hot_restart::kHandoverFormatMajor, hot_restart::kHandoverFormatMajor}},
      {"keeper-protocol", {rollout::kProtocol, rollout::kProtocol}},
      {"flight-record", {1, timeline::kFormat}}}
      .dump();
}

RolloutCommand::RolloutCommand(CLI::App& app, RolloutOptions* options) : o_(options) {
  keep_ = app.add_subcommand(
      "keep", "keep a node running: start it, replace it by another release, go back by itself");
  keep_->add_option("--node", o_->node, "the node's name")->required();
  keep_->add_option("--zone", o_->zone, "its zone");
  keep_->add_option("--directory", o_->directory, "the keeper's own: memory, logs, the node's $TMPDIR")
      ->required();
  keep_->add_option("--control", o_->control, "ip:port where rollouts reach this keeper")->required();
  keep_->add_option("--program", o_->program, "at the first start: the node's program");
  keep_->add_option("-c,--config", o_->config, "at the first start: the platform's configuration, JSON");
  keep_->add_option("-s,--settings", o_->settings, "at the first start: our own settings, TOML");
  keep_->add_option("--release", o_->release_id, "at the first start: a word for this release");
  keep_->add_option("--ready-within", o_->ready_within, "seconds from a start to its yes")
      ->check(CLI::Range(0.5, 600.0));
  keep_->add_option("--end-within", o_->end_within, "seconds from SIGTERM to SIGKILL")
      ->check(CLI::Range(0.5, 3600.0));
  keep_->add_option("--lease", o_->lease, "seconds that a driver's claim allows commands")
      ->check(CLI::Range(0.5, 600.0));
  rollout_ = app.add_subcommand("rollout", "change the program or settings of a tier in stages");
  rollout_->require_subcommand(1);
  const auto one = [&](const char* name, const char* what) {
    CLI::App* command = rollout_->add_subcommand(name, what);
    command->add_option("-p,--plan", o_->plan, "the plan, TOML")->required();
    command->add_option("--from", o_->from, "call keepers from this address of the machine");
    command->add_option("--driver", o_->driver, "a word for this driver; by default made up");
    return command;
  };
  plan_ = one("plan", "show what would change, in which order, and whether each node could run it");
  start_ = one("start", "drive the rollout, from the beginning or from where it stands");
  status_ = one("status", "what the keepers say");
  pause_ = one("pause", "let it stand where it is");
  resume_ = one("resume", "drive on what stands paused");
  abort_ = one("abort", "stop it and go back");
  back_ = one("back", "the same: all nodes go back to their last good release");
  for (CLI::App* c : {start_, resume_, back_, abort_}) {
    c->add_option("--round", o_->round, "seconds between two rounds")->check(CLI::Range(0.05, 60.0));
    c->add_option("--lease", o_->lease, "the keepers' lease, seconds")->check(CLI::Range(0.5, 600.0));
    c->add_option("--record", o_->record, "a file that gets each round's figures, for `rollout report`");
  }
  report_ = rollout_->add_subcommand("report", "what a record tells: turns, comparisons, a chart");
  report_->add_option("record", o_->record, "as `start --record` wrote it")->required();
  report_->add_option("--chart", o_->chart, "a name that ends in .svg or .png; takes gnuplot");
  report_->add_option("--csv", o_->csv, "every comparison of every round");
  for (CLI::App* c : {pause_, resume_, abort_, back_})
    c->add_option("--why", o_->why, "kept beside the word");
  status_->add_flag("--follow", o_->follow, "again each second, until it is done or back");
}

bool RolloutCommand::chosen() const { return *keep_ || *rollout_; }

int RolloutCommand::Run() {
  if (*keep_) {
    rollout::KeeperOptions k;
    k.node = o_->node, k.zone = o_->zone, k.directory = o_->directory, k.control = o_->control;
    k.limits.ready_within = static_cast<Time>(o_->ready_within * 1e6);
    k.limits.end_within = static_cast<Time>(o_->end_within * 1e6);
    k.limits.lease = static_cast<Time>(o_->lease * 1e6);
    k.release = {o_->release_id, o_->program, o_->config, o_->settings, "", "", ""};
    if (!o_->program.empty()) Sum(k.release);
    rollout::Keep(k);
    return 0;
  }
  std::signal(SIGINT, [](int) { interrupted = 1; });
  std::signal(SIGTERM, [](int) { interrupted = 1; });
  if (*report_) return Report(*o_);
  const Plan plan = Load(o_->plan);
  if (*plan_) return ShowPlan(plan, *o_);
  if (*start_) return Drive(plan, *o_);
  if (*pause_) return Word(plan, "pause", o_->why, *o_);
  if (*resume_ || *abort_ || *back_) {
    const int said = Word(plan, *resume_ ? "resume" : "back", o_->why, *o_);
    return said != 0 ? said : Drive(plan, *o_);
  }
  for (;;) {
    const auto seen = Look(plan, *o_);
    if (o_->follow && isatty(STDOUT_FILENO) != 0) std::fputs("\x1b[H\x1b[2J", stdout);
    std::fputs(Table(plan, seen).c_str(), stdout);
    std::fflush(stdout);
    if (!o_->follow || interrupted != 0) return 0;
    const bool over = std::all_of(seen.begin(), seen.end(),
                                  [](const auto& s) { return s.second && s.second->mark == "done"; });
    if (over) return 0;
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

}  // namespace ryeglade
