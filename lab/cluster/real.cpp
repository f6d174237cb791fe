#include "lab/cluster/real.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/file_io.h"
#include "base/gnuplot.h"
#include "base/log.h"
#include "http/blocking_client.h"
#include "lab/fake_discovery.h"
#include "lab/fake_replica.h"
#include "lab/load/load_client.h"
#include "lab/node_process.h"
#include "membership/membership.h"

namespace ryeglade::cluster {
namespace {

constexpr Time kPollInterval = 20'000;       // microseconds between two checks of logs and processes
constexpr std::size_t kNoiseDatagrams = 40;  // random datagrams in each step of a flood

// Returns the value of a field in a log line such as "event=x a=b"; empty if it is not there.
std::string_view Field(std::string_view line, std::string_view name) {
  for (std::size_t at = 0; at < line.size();) {
    const std::size_t end = std::min(line.find(' ', at), line.size());
    const std::string_view word = line.substr(at, end - at);
    if (word.size() > name.size() && word.starts_with(name) && word[name.size()] == '=') {
      std::string_view value = word.substr(name.size() + 1);
      return value == "\"\"" ? std::string_view() : value;
    }
    at = end + 1;
  }
  return {};
}

template <class T>
T Number(std::string_view text) {
  T value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// The user and system time that a process has used, in seconds; 0 if it is gone.
double CpuOf(pid_t pid) {
  const std::string text = ReadFileIfPresent(fmt::format("/proc/{}/stat", pid));
  const std::size_t at = text.rfind(')');
  if (at == std::string::npos) return 0;
  std::string_view rest = std::string_view(text).substr(at + 2);
  double ticks = 0;
  for (int field = 0; field < 13; ++field) {
    const std::size_t end = std::min(rest.find(' '), rest.size());
    if (field >= 11) ticks += Number<double>(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

class Cluster {
 public:
  Cluster(const Scenario& scenario, const RealOptions& options)
      : scenario_(scenario),
        options_(options),
        buffers_(std::size_t{256} << 20),
        deadlines_(Init(&loop_)),
        run_{&loop_, &deadlines_, &buffers_},
        directory_(&run_),
        other_directory_(&run_),
        checker_(scenario),
        nodes_(scenario.nodes) {
    if (scenario_.nodes > 250)
      throw std::runtime_error(fmt::format(
          "cluster: the scenario has {} nodes, but at most 250 can run as real processes; use --emulate",
          scenario_.nodes));
    if (!scenario_.old_build.empty() && options_.old_program.empty())
      throw std::runtime_error(
          "cluster: the scenario has nodes in old_build; give their program with --old-program");
    signal(SIGPIPE, SIG_IGN);
    std::string name = std::filesystem::temp_directory_path().string() + "/ryeglade-cluster-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
      throw std::runtime_error("cluster: cannot create a directory from the template " + name);
    root_ = name;
    std::vector<std::string> node_addresses, proxy_ips;
    const auto pid = static_cast<unsigned>(getpid());
    for (std::size_t i = 0; i < scenario_.nodes; ++i) {
      const std::string tail = fmt::format("{}.{}", pid / 60 % 250 + 1, i + 1);
      nodes_[i].ip = fmt::format("127.{}.{}", 20 + pid % 60, tail);
      node_addresses.push_back(FreeAddress(nodes_[i].ip));
      proxy_ips.push_back(fmt::format("127.{}.{}", 120 + pid % 60, tail));
      nodes_[i].listen = node_addresses.back();
      nodes_[i].client = FreeAddress(nodes_[i].ip);
      nodes_[i].tmpdir = fmt::format("{}/n{}", root_, i);
      std::filesystem::create_directory(nodes_[i].tmpdir);
    }
    if (options_.false_reporter) {
      const std::string tail = fmt::format("{}.{}", pid / 60 % 250 + 1, scenario_.nodes + 1);
      node_addresses.push_back(false_reporter_address_ =
                                   FreeAddress(fmt::format("127.{}.{}", 20 + pid % 60, tail)));
      proxy_ips.push_back(fmt::format("127.{}.{}", 120 + pid % 60, tail));
    }
    network_ = std::make_unique<Network>(
        &run_, scenario_.seed, node_addresses, proxy_ips,
        [this](std::size_t a, std::size_t b) { return scenario_.LinkAt(a, b, Periods(Now())); });
    for (std::size_t i = 0; i < scenario_.replicas; ++i) {
      replicas_.push_back(std::make_unique<lab::FakeReplica>(
          &run_, &attempt_counts_, lab::FakeReplicaOptions{.dialect = lab::ReplicaDialect::kPlatform}));
      const std::string at = replicas_.back()->Listen();
      replica_addresses_.push_back(at);
      directory_.Set(fmt::format("stand-in-{}", i), at);
      other_directory_.Set(fmt::format("stand-in-{}", i), at);
    }
    discovery_ = directory_.Listen();
    other_discovery_ = other_directory_.Listen();
    unreachable_address_ = FreeAddress("127.0.0.1");
    peer_ejections_.resize(scenario_.nodes);
  }

  ~Cluster() {
    clients_.clear();
    for (Node& n : nodes_) {
      for (auto& p : n.processes) {
        p->Signal(SIGCONT);
        p->Signal(SIGKILL);
      }
      n.processes.clear();
    }
    network_->Close();
    for (const auto& r : replicas_) r->Close();
    directory_.Close();
    other_directory_.Close();
    if (false_reporter_ != nullptr) false_reporter_->Close();
    deadlines_.Close();
    for (int i = 0; i < 200 && uv_loop_alive(&loop_) != 0; ++i) uv_run(&loop_, UV_RUN_NOWAIT);
    uv_loop_close(&loop_);
    std::error_code ignored;
    std::filesystem::remove_all(root_, ignored);
  }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  RealResult Run() {
    begin_ = Now();
    std::vector<bool> absent(scenario_.nodes, false);
    for (const Fault& f : scenario_.faults) {
      if (f.what != Fault::What::kAbsent) continue;
      for (const std::size_t n : f.nodes) absent[n] = true;
    }
    for (std::size_t i = 0; i < scenario_.nodes; ++i) {
      if (!absent[i]) Start(i);
    }
    for (const Step& step : ProcessSteps(scenario_))
      deadlines_.Set(At(step.at), [this, step] { ApplyStep(step); });
    for (const ReplicaFault& f : scenario_.replica_faults) {
      deadlines_.Set(At(f.at), [this, &f] { ApplyReplicaFault(f, true); });
      if (f.lasts > 0) deadlines_.Set(At(f.at + f.lasts), [this, &f] { ApplyReplicaFault(f, false); });
    }
    if (scenario_.rate > 0) deadlines_.Set(At(0), [this] { StartClients(); });
    for (const double at : options_.query_shares_at) deadlines_.Set(At(at), [this] { QueryShares(); });
    if (options_.false_reporter) StartFalseReporter();
    PollProcesses();
    const Time end = At(scenario_.length);
    DeadlineId wake = deadlines_.Set(end, [] {});
    while (Now() < end) {
      uv_run(&loop_, UV_RUN_ONCE);
      if (options_.progress)
        options_.progress(static_cast<double>(Now() - begin_) / static_cast<double>(end - begin_));
    }
    deadlines_.Cancel(wake);
    RealResult r;
    // Waits for the answers to requests that were sent near the end.
    const Time answers_due = Now() + 12'000'000;
    while (Now() < answers_due &&
           !std::all_of(clients_.begin(), clients_.end(), [](const auto& c) { return c.second->done(); }))
      uv_run(&loop_, UV_RUN_ONCE);
    CollectLogsAndExits();
    for (Node& n : nodes_) {
      for (const auto& p : n.processes) {
        if (p->pid() > 0) n.cpu += CpuOf(p->pid());
      }
      r.cpu_share = std::max(r.cpu_share, n.cpu / (static_cast<double>(Now() - begin_) / 1e6));
    }
    // The checker does not know the member that the lab plays itself.
    if (!options_.false_reporter) r.verdict = checker_.Check(scenario_.length);
    AddClientResults(r);
    StopAll(r);
    double messages = 0, bytes = 0;
    for (const Network::Counts& c : network_->sent()) {
      messages += static_cast<double>(c.passed + c.lost);
      bytes += static_cast<double>(c.bytes);
    }
    const double n =
        static_cast<double>(scenario_.nodes) * (scenario_.length + scenario_.warm_up);  // with the warm-up
    r.messages = messages / n;
    r.bytes = bytes / n;
    if (!options_.chart.empty()) RunGnuplot(checker_.Chart(options_.chart, scenario_.length));
    if (options_.events != nullptr) *options_.events = checker_.events();
    return r;
  }

 private:
  struct Node {
    std::string ip, listen, client, tmpdir, status;
    std::vector<std::unique_ptr<lab::NodeProcess>> processes;  // newest last; exited ones are removed
    std::vector<std::size_t> read;                             // bytes read of each process's log
    bool stop_requested = false;                               // the scenario has ended or killed its process
    std::size_t starts = 0;
    double cpu = 0;  // seconds used by processes that have exited
  };

  static uv_loop_t* Init(uv_loop_t* loop) {
    uv_loop_init(loop);
    return loop;
  }
  Time At(double periods) const {
    return begin_ + static_cast<Time>((periods + scenario_.warm_up) * static_cast<double>(scenario_.period));
  }
  double Periods(Time t) const {
    return static_cast<double>(t - begin_) / static_cast<double>(scenario_.period) - scenario_.warm_up;
  }
  static bool In(const Nodes& nodes, std::size_t n) {
    return std::binary_search(nodes.begin(), nodes.end(), n);
  }

  void Start(std::size_t i) {
    Node& n = nodes_[i];
    nlohmann::json config =
        nlohmann::json::parse(lab::ConfigJson(n.client, HasOwnReplicaFault(i) ? other_discovery_ : discovery_,
                                              directory_.Text(true), 10'000, 15'000));
    config["name"] = scenario_.NodeName(i);
    config["settings"]["balancers"] = scenario_.nodes;
    lab::NodeFiles files;
    files.config = config.dump();
    std::string seeds;
    for (std::size_t k = 0; k < std::min(scenario_.seeds, scenario_.nodes); ++k)
      seeds += fmt::format("{}\"{}\"", k == 0 ? "" : ", ", network_->proxy_address(k));
    files.settings = fmt::format(
        "[membership]\nlisten = \"{}\"\nadvertise = \"{}\"\ncluster = \"{}\"\nzone = \"{}\"\nseeds = [{}]\n"
        "networks = [\"127.0.0.0/8\"]\nstatus = \"127.0.0.1:0\"\nperiod = \"{}ms\"\nexchange = \"{}ms\"\n"
        "shrink_after = \"{}ms\"\nwire = {}\n\n[log]\nlines_per_second = 2000\n{}",
        n.listen, network_->proxy_address(i), In(scenario_.other_cluster, i) ? "other" : "lab",
        scenario_.ZoneOf(i), seeds, scenario_.period / 1000, scenario_.period * 15 / 1000,
        scenario_.period * 10 / 1000, In(scenario_.old_wire, i) ? 1 : 2,
        (scenario_.tier ? "\n[tier]\n" : "") + options_.more_settings);
    files.tmpdir = n.tmpdir;
    n.processes.push_back(std::make_unique<lab::NodeProcess>());
    n.read.push_back(0);
    n.stop_requested = false;
    ++n.starts;
    const double at = Periods(Now());
    checker_.ProcessStarted(at, i);
    checker_.AddEvent({at, i, "started", "", "", 0});
    n.processes.back()->Start(In(scenario_.old_build, i) ? options_.old_program : options_.program, files);
  }

  // True if at some time a replica fault concerns this node but not all nodes.
  bool HasOwnReplicaFault(std::size_t node) const {
    return std::any_of(
        scenario_.replica_faults.begin(), scenario_.replica_faults.end(),
        [&](const ReplicaFault& f) { return f.nodes.size() < scenario_.nodes && In(f.nodes, node); });
  }

  void ApplyReplicaFault(const ReplicaFault& f, bool begins) {
    for (std::size_t k = f.first; k < f.first + f.count; ++k) {
      if (f.how == "unreachable") {
        const std::string at = begins ? unreachable_address_ : replica_addresses_[k];
        other_directory_.Set(fmt::format("stand-in-{}", k), at);
        if (f.nodes.size() == scenario_.nodes) directory_.Set(fmt::format("stand-in-{}", k), at);
      } else {
        const auto fault = f.how == "error" ? lab::Fault::kError : lab::Fault::kSilent;
        replicas_[k]->options().fault = begins ? fault : lab::Fault::kNone;
      }
    }
  }

  // Queries the traffic share of each node. A paused node does not answer.
  void QueryShares() {
    std::vector<RealResult::TrafficShare> shares;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const Node& n = nodes_[i];
      if (n.processes.empty() || n.stop_requested || n.status.empty()) continue;
      try {
        const HttpResponse a = BlockingHttpCall("a node", n.status, "GET", "/tier", "", 1000);
        const nlohmann::json j = nlohmann::json::parse(a.body, nullptr, false);
        if (!j.is_object()) continue;
        shares.push_back({i, j.value("part", 0.0), j["nodes"][0].value("rate", 0.0), j.value("state", "")});
      } catch (const std::runtime_error&) {
        continue;
      }
    }
    shares_.push_back(std::move(shares));
  }

  // Gossips the messages that `make_messages` returns, as many as fit into `room` bytes, and ignores all
  // others.
  struct FalseReports : GossipPort {
    std::function<std::vector<std::string>()> make_messages;
    std::vector<std::string> TakeMessages(std::size_t room, std::size_t overhead) override {
      std::vector<std::string> all = make_messages();
      while (!all.empty()) {
        std::size_t size = 0;
        for (const std::string& w : all) size += w.size() + overhead;
        if (size <= room) break;
        all.pop_back();
      }
      return all;
    }
    bool has_pending() const override { return true; }
    void OnMessages(const std::vector<std::string>&) override {}
  };

  void StartFalseReporter() {
    MembershipSettings m;
    m.listen = false_reporter_address_;
    m.advertise = network_->proxy_address(scenario_.nodes);
    m.cluster = "lab";
    m.zone = scenario_.ZoneOf(0);
    m.networks = {"127.0.0.0/8"};
    m.probe_interval = scenario_.period;
    for (std::size_t k = 0; k < std::min(scenario_.seeds, scenario_.nodes); ++k)
      m.seeds.push_back(network_->proxy_address(k));
    LogOptions log;
    log.level = Level::kError;  // its log of the other members is not needed
    SetUpLog(log);
    false_reports_.make_messages = [this] { return options_.false_reporter("liar"); };
    false_reporter_ = std::make_unique<membership::Membership>(&run_, m, "liar", scenario_.nodes, nullptr,
                                                               nullptr, root_ + "/liar");
    false_reporter_->CarryGossip(&false_reports_);
    false_reporter_->Start();
  }

  void ApplyStep(const Step& step) {
    Node& n = nodes_[step.node];
    lab::NodeProcess* p = n.processes.empty() ? nullptr : n.processes.back().get();
    switch (step.act) {
      case Step::Do::kStart:
        Start(step.node);
        break;
      case Step::Do::kKill:
        if (p == nullptr) break;
        n.stop_requested = true;
        p->Signal(SIGKILL);
        checker_.ProcessEnded(Periods(Now()), step.node);
        break;
      case Step::Do::kTerm:
        if (p == nullptr) break;
        n.stop_requested = true;
        p->Signal(SIGTERM);
        checker_.ProcessEnded(Periods(Now()), step.node);
        break;
      case Step::Do::kStop:
        if (p != nullptr) p->Signal(SIGSTOP);
        break;
      case Step::Do::kContinue:
        if (p != nullptr) p->Signal(SIGCONT);
        break;
      case Step::Do::kHotRestart:
        if (p == nullptr) break;
        checker_.ProcessEnded(Periods(Now()), step.node);
        Start(step.node);
        // The old process gets SIGTERM once the new one accepts clients.
        TerminateOnceReplaced(step.node, p, n.processes.back().get());
        break;
      case Step::Do::kFlood:
        network_->SendNoise(step.node, kNoiseDatagrams);
        break;
    }
  }

  void TerminateOnceReplaced(std::size_t node, lab::NodeProcess* before, const lab::NodeProcess* next) {
    if (next->Log().find("event=listening ") != std::string::npos &&
        next->Log().find("event=listening-membership ") != std::string::npos) {
      nodes_[node].stop_requested = true;
      before->Signal(SIGTERM);
      return;
    }
    deadlines_.Set(Now() + kPollInterval,
                   [this, node, before, next] { TerminateOnceReplaced(node, before, next); });
  }

  void PollProcesses() {
    if (stopping_) return;  // StopAll waits for the processes one by one
    CollectLogsAndExits();
    deadlines_.Set(Now() + kPollInterval, [this] { PollProcesses(); });
  }

  // Reads new log lines and removes processes that have exited.
  void CollectLogsAndExits() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& n = nodes_[i];
      for (std::size_t k = 0; k < n.processes.size(); ++k) {
        lab::NodeProcess& p = *n.processes[k];
        const double cpu = p.pid() > 0 ? CpuOf(p.pid()) : 0;
        const bool running = p.IsRunning();
        ReadLog(i, k);
        if (running) continue;
        n.cpu += cpu;
        const int code = p.Stop();
        if (!n.stop_requested && code != 0)
          exits_.push_back(fmt::format("{} exited with status {}", scenario_.NodeName(i), code));
        if (n.processes.size() == 1 && !n.stop_requested) checker_.ProcessEnded(Periods(Now()), i);
        KeepLog(i, p);
        n.processes.erase(n.processes.begin() + static_cast<std::ptrdiff_t>(k));
        n.read.erase(n.read.begin() + static_cast<std::ptrdiff_t>(k));
        --k;
      }
    }
  }

  void ReadLog(std::size_t i, std::size_t k) {
    Node& n = nodes_[i];
    const std::string text = n.processes[k]->LogFrom(n.read[k]);
    const std::size_t whole = text.rfind('\n');
    if (whole == std::string::npos) return;
    n.read[k] += whole + 1;
    std::string_view rest = std::string_view(text).substr(0, whole + 1);
    while (!rest.empty()) {
      const std::size_t end = rest.find('\n');
      const std::string_view line = rest.substr(0, end);
      rest.remove_prefix(end + 1);
      const std::string_view what = Field(line, "event");
      if (what == "replica-ejected-by-peers") ++peer_ejections_[i][std::string(Field(line, "host"))];
      if (what == "listening-nodes") n.status = Field(line, "addr");
      if (!what.starts_with("member-") && !what.starts_with("view-") && !what.starts_with("self-") &&
          !what.starts_with("name-") && what != "tier-joined" && what != "node-count")
        continue;
      checker_.AddEvent({Periods(Number<Time>(Field(line, "ts")) * 1000), i, std::string(what),
                         std::string(Field(line, "member")), std::string(Field(line, "by")),
                         Number<std::uint64_t>(Field(line, what == "node-count" ? "nodes" : "n"))});
    }
  }

  void KeepLog(std::size_t i, const lab::NodeProcess& p) {
    if (options_.keep_logs.empty()) return;
    std::filesystem::create_directories(options_.keep_logs);
    std::ofstream(fmt::format("{}/n{}-{}.log", options_.keep_logs, i, kept_logs_++)) << p.Log();
  }

  void StartClients() {
    for (std::size_t i = 0; i < scenario_.nodes; ++i) {
      load::LoadPlan plan;
      const double each = scenario_.rate / static_cast<double>(scenario_.nodes);
      const double seconds = scenario_.length * static_cast<double>(scenario_.period) / 1e6;
      plan.profile = {{each, each, seconds}};
      plan.seed = scenario_.seed * 1000 + i;
      load::LoadTarget target;
      target.address = nodes_[i].client;
      target.openai = false;
      target.give_up = 10'000'000;
      clients_[i] = std::make_unique<load::LoadClient>(&run_, plan, target);
      clients_[i]->Start();
    }
  }

  void AddClientResults(RealResult& r) {
    std::vector<bool> has_process_fault(scenario_.nodes, false);
    for (const Fault& f : scenario_.faults) {
      for (const std::size_t n : f.nodes)
        has_process_fault[n] = has_process_fault[n] || f.what != Fault::What::kFlood;
    }
    for (const auto& [i, client] : clients_) {
      const auto& tally = client->tally();
      for (const auto& c : tally.classes()) {
        const auto of = [&](load::Outcome o) { return c.outcomes[static_cast<std::size_t>(o)]; };
        r.asked_all += c.asked;
        r.served_all += of(load::Outcome::kServed);
        if (has_process_fault[i]) continue;
        r.asked += c.asked;
        r.served += of(load::Outcome::kServed);
        r.unanswered += of(load::Outcome::kNothing);
        r.broken += of(load::Outcome::kBroken);
      }
    }
    r.overlapping_attempts = attempt_counts_.overlapping_attempts;
    r.attempts = attempt_counts_.attempts;
    r.faulty_attempts = attempt_counts_.faulty_attempts;
    r.peer_ejections = peer_ejections_;
    r.shares = shares_;
    if (scenario_.rate <= 0) return;
    if (r.overlapping_attempts > 0)
      r.verdict.violations.push_back(
          fmt::format("two attempts of a request were in flight at once, {} times", r.overlapping_attempts));
    if (r.unanswered > 0)
      r.verdict.violations.push_back(
          fmt::format("{} requests got no answer at nodes without a process fault", r.unanswered));
    if (static_cast<double>(r.served) < scenario_.expect.served * static_cast<double>(r.asked))
      r.verdict.violations.push_back(fmt::format(
          "{} of {} requests served at nodes without a process fault, under the expected share of {}",
          r.served, r.asked, scenario_.expect.served));
  }

  void StopAll(RealResult& r) {
    stopping_ = true;
    for (Node& n : nodes_) {
      for (const auto& p : n.processes) {
        p->Signal(SIGCONT);
        p->Signal(SIGTERM);
      }
    }
    const Time until = Now() + 15'000'000;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      for (const auto& p : nodes_[i].processes) {
        while (p->IsRunning() && Now() < until) {
          deadlines_.Set(Now() + kPollInterval, [] {});
          uv_run(&loop_, UV_RUN_ONCE);
        }
        if (p->IsRunning()) {
          p->Signal(SIGKILL);
          exits_.push_back(fmt::format("{} did not exit after SIGTERM", scenario_.NodeName(i)));
        }
        const int code = p->Stop();
        if (code != 0) exits_.push_back(fmt::format("{} exited with status {}", scenario_.NodeName(i), code));
        KeepLog(i, *p);
      }
      nodes_[i].processes.clear();
      nodes_[i].read.clear();
    }
    r.exits = exits_;
    for (const std::string& e : exits_) r.verdict.violations.push_back(e);
  }

  const Scenario& scenario_;
  const RealOptions& options_;
  uv_loop_t loop_{};
  BufferPool buffers_;
  Deadlines deadlines_;
  Runtime run_;
  lab::AttemptCounts attempt_counts_;
  // Nodes with a replica fault that not all nodes see use other_directory_.
  lab::FakeDiscovery directory_, other_directory_;
  std::vector<std::unique_ptr<lab::FakeReplica>> replicas_;
  std::unique_ptr<Network> network_;
  InvariantChecker checker_;
  std::vector<Node> nodes_;
  std::map<std::size_t, std::unique_ptr<load::LoadClient>> clients_;
  std::vector<std::string> exits_;
  std::string root_, discovery_, other_discovery_, unreachable_address_;
  std::vector<std::map<std::string, int>> peer_ejections_;
  std::vector<std::vector<RealResult::TrafficShare>> shares_;
  std::vector<std::string> replica_addresses_;
  std::string false_reporter_address_;
  FalseReports false_reports_;
  std::unique_ptr<membership::Membership> false_reporter_;
  Time begin_ = 0;
  int kept_logs_ = 0;
  bool stopping_ = false;
};

}  // namespace

RealResult PlayReal(const Scenario& scenario, const RealOptions& options) {
  return Cluster(scenario, options).Run();
}

}  // namespace ryeglade::cluster
