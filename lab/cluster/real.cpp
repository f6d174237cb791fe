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
#include "lab/directory.h"
#include "lab/fake_replica.h"
#include "lab/load/load_client.h"
#include "lab/node_process.h"
#include "membership/membership.h"

namespace ryeglade::cluster {
namespace {

constexpr Time kLookEvery = 20'000;
constexpr std::size_t kNoise = 40;  // datagrams at a time

// "event=x a=b": the value of one field.
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

// User and system time of a process so far, seconds.
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
      : s_(scenario),
        o_(options),
        buffers_(std::size_t{256} << 20),
        deadlines_(Init(&loop_)),
        run_{&loop_, &deadlines_, &buffers_},
        directory_(&run_),
        other_directory_(&run_),
        witness_(scenario),
        nodes_(scenario.nodes) {
    if (s_.nodes > 250)
      throw std::runtime_error("at most 250 nodes are played with real processes; use --emulate");
    if (!s_.old_build.empty() && o_.old_program.empty())
      throw std::runtime_error("the scenario has nodes of an old build; name it with --old-program");
    std::string name = std::filesystem::temp_directory_path().string() + "/ryeglade-cluster-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot make a directory " + name);
    root_ = name;
    std::vector<std::string> real, faces;
    const auto pid = static_cast<unsigned>(getpid());
    for (std::size_t i = 0; i < s_.nodes; ++i) {
      const std::string tail = fmt::format("{}.{}", pid / 60 % 250 + 1, i + 1);
      nodes_[i].ip = fmt::format("127.{}.{}", 20 + pid % 60, tail);
      real.push_back(FreeAddress(nodes_[i].ip));
      faces.push_back(fmt::format("127.{}.{}", 120 + pid % 60, tail));
      nodes_[i].listen = real.back();
      nodes_[i].client = FreeAddress(nodes_[i].ip);
      nodes_[i].tmpdir = fmt::format("{}/n{}", root_, i);
      std::filesystem::create_directory(nodes_[i].tmpdir);
    }
    if (o_.liar) {
      const std::string tail = fmt::format("{}.{}", pid / 60 % 250 + 1, s_.nodes + 1);
      real.push_back(liar_at_ = FreeAddress(fmt::format("127.{}.{}", 20 + pid % 60, tail)));
      faces.push_back(fmt::format("127.{}.{}", 120 + pid % 60, tail));
    }
    network_ = std::make_unique<Network>(&run_, s_.seed, real, faces, [this](std::size_t a, std::size_t b) {
      return s_.LinkAt(a, b, Periods(Now()));
    });
    for (std::size_t i = 0; i < s_.replicas; ++i) {
      replicas_.push_back(std::make_unique<lab::FakeReplica>(
          &run_, &rules_, lab::FakeReplicaOptions{.speech = lab::Speech::kPlatform}));
      const std::string at = replicas_.back()->Listen();
      replica_addresses_.push_back(at);
      directory_.Set(fmt::format("stand-in-{}", i), at);
      other_directory_.Set(fmt::format("stand-in-{}", i), at);
    }
    discovery_ = directory_.Listen();
    other_discovery_ = other_directory_.Listen();
    nowhere_ = FreeAddress("127.0.0.1");
    left_alone_.resize(s_.nodes);
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
    if (liar_ != nullptr) liar_->Close();
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
    std::vector<bool> absent(s_.nodes, false);
    for (const Fault& f : s_.faults) {
      if (f.what != Fault::What::kAbsent) continue;
      for (const std::size_t n : f.nodes) absent[n] = true;
    }
    for (std::size_t i = 0; i < s_.nodes; ++i) {
      if (!absent[i]) Start(i);
    }
    for (const Step& step : StepsOf(s_)) deadlines_.Set(At(step.at), [this, step] { Act(step); });
    for (const ReplicaFault& f : s_.replica_faults) {
      deadlines_.Set(At(f.at), [this, &f] { Spoil(f, true); });
      if (f.lasts > 0) deadlines_.Set(At(f.at + f.lasts), [this, &f] { Spoil(f, false); });
    }
    if (s_.rate > 0) deadlines_.Set(At(0), [this] { StartClients(); });
    for (const double at : o_.look_at) deadlines_.Set(At(at), [this] { Ask(); });
    if (o_.liar) StartLiar();
    Look();
    const Time end = At(s_.length);
    DeadlineId wake = deadlines_.Set(end, [] {});
    while (Now() < end) {
      uv_run(&loop_, UV_RUN_ONCE);
      if (o_.progress) o_.progress(static_cast<double>(Now() - begin_) / static_cast<double>(end - begin_));
    }
    deadlines_.Cancel(wake);
    RealResult r;
    // What was asked near the end gets its answer.
    const Time patience = Now() + 12'000'000;
    while (Now() < patience &&
           !std::all_of(clients_.begin(), clients_.end(), [](const auto& c) { return c.second->done(); }))
      uv_run(&loop_, UV_RUN_ONCE);
    Gather();
    for (Node& n : nodes_) {
      for (const auto& p : n.processes) {
        if (p->pid() > 0) n.cpu += CpuOf(p->pid());
      }
      r.cpu_share = std::max(r.cpu_share, n.cpu / (static_cast<double>(Now() - begin_) / 1e6));
    }
    // The witness knows nothing of a member that the lab plays itself.
    if (!o_.liar) r.verdict = witness_.Judge(s_.length);
    Clients(r);
    EndAll(r);
    double messages = 0, bytes = 0;
    for (const Network::Counts& c : network_->sent()) {
      messages += static_cast<double>(c.passed + c.lost);
      bytes += static_cast<double>(c.bytes);
    }
    const double n = static_cast<double>(s_.nodes) * (s_.length + s_.warm_up);  // joining among it
    r.messages = messages / n;
    r.bytes = bytes / n;
    if (!o_.chart.empty()) RunGnuplot(witness_.Chart(o_.chart, s_.length));
    if (o_.said != nullptr) *o_.said = witness_.all();
    return r;
  }

 private:
  struct Node {
    std::string ip, listen, client, tmpdir, status;
    std::vector<std::unique_ptr<lab::NodeProcess>> processes;  // the newest last; ended ones go
    std::vector<std::size_t> read;                             // of each one's log
    bool term = false;                                         // it was told to end
    std::size_t lives = 0;
    double cpu = 0;  // of processes that have ended, seconds
  };

  static uv_loop_t* Init(uv_loop_t* loop) {
    uv_loop_init(loop);
    return loop;
  }
  Time At(double periods) const {
    return begin_ + static_cast<Time>((periods + s_.warm_up) * static_cast<double>(s_.period));
  }
  double Periods(Time t) const {
    return static_cast<double>(t - begin_) / static_cast<double>(s_.period) - s_.warm_up;
  }
  static bool In(const Nodes& nodes, std::size_t n) {
    return std::binary_search(nodes.begin(), nodes.end(), n);
  }

  void Start(std::size_t i) {
    Node& n = nodes_[i];
    nlohmann::json config = nlohmann::json::parse(lab::ConfigJson(
        n.client, Blind(i) ? other_discovery_ : discovery_, directory_.Text(true), 10'000, 15'000));
    config["name"] = s_.NodeName(i);
    config["settings"]["balancers"] = s_.nodes;
    lab::NodeFiles files;
    files.config = config.dump();
    std::string seeds;
    for (std::size_t k = 0; k < std::min(s_.seeds, s_.nodes); ++k)
      seeds += fmt::format("{}\"{}\"", k == 0 ? "" : ", ", network_->face(k));
    files.settings = fmt::format(
        "[membership]\nlisten = \"{}\"\nadvertise = \"{}\"\ncluster = \"{}\"\nzone = \"{}\"\nseeds = [{}]\n"
        "networks = [\"127.0.0.0/8\"]\nstatus = \"127.0.0.1:0\"\nperiod = \"{}ms\"\nexchange = \"{}ms\"\n"
        "shrink_after = \"{}ms\"\nwire = {}\n\n[log]\nlines_per_second = 2000\n{}",
        n.listen, network_->face(i), In(s_.other_cluster, i) ? "other" : "lab", s_.ZoneOf(i), seeds,
        s_.period / 1000, s_.period * 15 / 1000, s_.period * 10 / 1000, In(s_.old_wire, i) ? 1 : 2,
        (s_.tier ? "\n[tier]\n" : "") + o_.more_settings);
    files.tmpdir = n.tmpdir;
    n.processes.push_back(std::make_unique<lab::NodeProcess>());
    n.read.push_back(0);
    n.term = false;
    ++n.lives;
    const double at = Periods(Now());
    witness_.Up(at, i);
    witness_.Said({at, i, "started", "", "", 0});
    n.processes.back()->Start(In(s_.old_build, i) ? o_.old_program : o_.program, files);
  }

  // Whether something is wrong with this node's own way to the replicas, at some time.
  bool Blind(std::size_t node) const {
    return std::any_of(s_.replica_faults.begin(), s_.replica_faults.end(),
                       [&](const ReplicaFault& f) { return f.nodes.size() < s_.nodes && In(f.nodes, node); });
  }

  void Spoil(const ReplicaFault& f, bool begins) {
    for (std::size_t k = f.first; k < f.first + f.count; ++k) {
      if (f.how == "unreachable") {
        const std::string at = begins ? nowhere_ : replica_addresses_[k];
        other_directory_.Set(fmt::format("stand-in-{}", k), at);
        if (f.nodes.size() == s_.nodes) directory_.Set(fmt::format("stand-in-{}", k), at);
      } else {
        const auto fault = f.how == "error" ? lab::Fault::kError : lab::Fault::kSilent;
        replicas_[k]->options().fault = begins ? fault : lab::Fault::kNone;
      }
    }
  }

  // The nodes are asked for their parts; one that is stopped does not answer.
  void Ask() {
    std::vector<RealResult::Part> look;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const Node& n = nodes_[i];
      if (n.processes.empty() || n.term || n.status.empty()) continue;
      try {
        const HttpResponse a = BlockingHttpCall("a node", n.status, "GET", "/tier", "", 1000);
        const nlohmann::json j = nlohmann::json::parse(a.body, nullptr, false);
        if (!j.is_object()) continue;
        look.push_back({i, j.value("part", 0.0), j["nodes"][0].value("rate", 0.0), j.value("state", "")});
      } catch (const std::runtime_error&) {
        continue;
      }
    }
    looks_.push_back(std::move(look));
  }

  struct Lies : GossipPort {
    std::function<std::vector<std::string>()> say;
    std::vector<std::string> TakeMessages(std::size_t room, std::size_t overhead) override {
      std::vector<std::string> all = say();
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

  void StartLiar() {
    MembershipSettings m;
    m.listen = liar_at_;
    m.advertise = network_->face(s_.nodes);
    m.cluster = "lab";
    m.zone = s_.ZoneOf(0);
    m.networks = {"127.0.0.0/8"};
    m.probe_interval = s_.period;
    for (std::size_t k = 0; k < std::min(s_.seeds, s_.nodes); ++k) m.seeds.push_back(network_->face(k));
    LogOptions log;
    log.level = Level::kError;  // what this member says of the others is of no interest
    SetUpLog(log);
    lies_.say = [this] { return o_.liar("liar"); };
    liar_ = std::make_unique<membership::Membership>(&run_, m, "liar", s_.nodes, nullptr, nullptr,
                                                     root_ + "/liar");
    liar_->CarryGossip(&lies_);
    liar_->Start();
  }

  void Act(const Step& step) {
    Node& n = nodes_[step.node];
    lab::NodeProcess* p = n.processes.empty() ? nullptr : n.processes.back().get();
    switch (step.act) {
      case Step::Do::kStart:
        Start(step.node);
        break;
      case Step::Do::kKill:
        if (p == nullptr) break;
        n.term = true;
        p->Signal(SIGKILL);
        witness_.Down(Periods(Now()), step.node);
        break;
      case Step::Do::kTerm:
        if (p == nullptr) break;
        n.term = true;
        p->Signal(SIGTERM);
        witness_.Down(Periods(Now()), step.node);
        break;
      case Step::Do::kStop:
        if (p != nullptr) p->Signal(SIGSTOP);
        break;
      case Step::Do::kContinue:
        if (p != nullptr) p->Signal(SIGCONT);
        break;
      case Step::Do::kBeside:
        if (p == nullptr) break;
        witness_.Down(Periods(Now()), step.node);
        Start(step.node);
        // The one before goes once the new one takes clients.
        Follow(step.node, p, n.processes.back().get());
        break;
      case Step::Do::kFlood:
        network_->Flood(step.node, kNoise);
        break;
    }
  }

  void Follow(std::size_t node, lab::NodeProcess* before, const lab::NodeProcess* next) {
    if (next->Log().find("event=listening ") != std::string::npos &&
        next->Log().find("event=listening-membership ") != std::string::npos) {
      nodes_[node].term = true;
      before->Signal(SIGTERM);
      return;
    }
    deadlines_.Set(Now() + kLookEvery, [this, node, before, next] { Follow(node, before, next); });
  }

  void Look() {
    if (ending_) return;  // who ends then is waited for one by one
    Gather();
    deadlines_.Set(Now() + kLookEvery, [this] { Look(); });
  }

  // Log lines that have come, and processes that have ended.
  void Gather() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& n = nodes_[i];
      for (std::size_t k = 0; k < n.processes.size(); ++k) {
        lab::NodeProcess& p = *n.processes[k];
        const double cpu = p.pid() > 0 ? CpuOf(p.pid()) : 0;
        const bool running = p.Running();
        Read(i, k);
        if (running) continue;
        n.cpu += cpu;
        const int code = p.Stop();
        if (!n.term && code != 0) exits_.push_back(fmt::format("{} ended with {}", s_.NodeName(i), code));
        if (n.processes.size() == 1 && !n.term) witness_.Down(Periods(Now()), i);
        KeepLog(i, p);
        n.processes.erase(n.processes.begin() + static_cast<std::ptrdiff_t>(k));
        n.read.erase(n.read.begin() + static_cast<std::ptrdiff_t>(k));
        --k;
      }
    }
  }

  void Read(std::size_t i, std::size_t k) {
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
      if (what == "replica-ejected-by-peers") ++left_alone_[i][std::string(Field(line, "host"))];
      if (what == "listening-nodes") n.status = Field(line, "addr");
      if (!what.starts_with("member-") && !what.starts_with("view-") && !what.starts_with("self-") &&
          !what.starts_with("name-") && what != "tier-joined" && what != "node-count")
        continue;
      witness_.Said({Periods(Number<Time>(Field(line, "ts")) * 1000), i, std::string(what),
                     std::string(Field(line, "member")), std::string(Field(line, "by")),
                     Number<std::uint64_t>(Field(line, what == "node-count" ? "nodes" : "n"))});
    }
  }

  void KeepLog(std::size_t i, const lab::NodeProcess& p) {
    if (o_.keep_logs.empty()) return;
    std::filesystem::create_directories(o_.keep_logs);
    std::ofstream(fmt::format("{}/n{}-{}.log", o_.keep_logs, i, kept_++)) << p.Log();
  }

  void StartClients() {
    for (std::size_t i = 0; i < s_.nodes; ++i) {
      load::LoadPlan plan;
      const double each = s_.rate / static_cast<double>(s_.nodes);
      const double seconds = s_.length * static_cast<double>(s_.period) / 1e6;
      plan.profile = {{each, each, seconds}};
      plan.seed = s_.seed * 1000 + i;
      load::LoadTarget target;
      target.address = nodes_[i].client;
      target.openai = false;
      target.give_up = 10'000'000;
      clients_[i] = std::make_unique<load::LoadClient>(&run_, plan, target);
      clients_[i]->Start();
    }
  }

  void Clients(RealResult& r) {
    std::vector<bool> shaken(s_.nodes, false);
    for (const Fault& f : s_.faults) {
      for (const std::size_t n : f.nodes) shaken[n] = shaken[n] || f.what != Fault::What::kFlood;
    }
    for (const auto& [i, client] : clients_) {
      const auto& tally = client->tally();
      for (const auto& c : tally.classes()) {
        const auto of = [&](load::Outcome o) { return c.outcomes[static_cast<std::size_t>(o)]; };
        r.asked_all += c.asked;
        r.served_all += of(load::Outcome::kServed);
        if (shaken[i]) continue;
        r.asked += c.asked;
        r.served += of(load::Outcome::kServed);
        r.nothing += of(load::Outcome::kNothing);
        r.broken += of(load::Outcome::kBroken);
      }
    }
    r.two_at_once = rules_.two_at_once;
    r.attempts = rules_.attempts;
    r.spoilt = rules_.spoilt;
    r.left_alone = left_alone_;
    r.looks = looks_;
    if (s_.rate <= 0) return;
    if (r.two_at_once > 0)
      r.verdict.broken.push_back(fmt::format("{} times two attempts at once", r.two_at_once));
    if (r.nothing > 0)
      r.verdict.broken.push_back(fmt::format("{} requests at nodes that ran on got no answer", r.nothing));
    if (static_cast<double>(r.served) < s_.expect.served * static_cast<double>(r.asked))
      r.verdict.broken.push_back(fmt::format("{} of {} requests served at nodes that ran on, under {}",
                                             r.served, r.asked, s_.expect.served));
  }

  void EndAll(RealResult& r) {
    ending_ = true;
    for (Node& n : nodes_) {
      for (const auto& p : n.processes) {
        p->Signal(SIGCONT);
        p->Signal(SIGTERM);
      }
    }
    const Time until = Now() + 15'000'000;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      for (const auto& p : nodes_[i].processes) {
        while (p->Running() && Now() < until) {
          deadlines_.Set(Now() + kLookEvery, [] {});
          uv_run(&loop_, UV_RUN_ONCE);
        }
        if (p->Running()) {
          p->Signal(SIGKILL);
          exits_.push_back(fmt::format("{} did not end on SIGTERM", s_.NodeName(i)));
        }
        const int code = p->Stop();
        if (code != 0) exits_.push_back(fmt::format("{} ended with {}", s_.NodeName(i), code));
        KeepLog(i, *p);
      }
      nodes_[i].processes.clear();
      nodes_[i].read.clear();
    }
    r.exits = exits_;
    for (const std::string& e : exits_) r.verdict.broken.push_back(e);
  }

  const Scenario& s_;
  const RealOptions& o_;
  uv_loop_t loop_{};
  BufferPool buffers_;
  Deadlines deadlines_;
  Runtime run_;
  lab::Witness rules_;
  lab::Directory directory_, other_directory_;  // the other's word is for nodes whose own way is at fault
  std::vector<std::unique_ptr<lab::FakeReplica>> replicas_;
  std::unique_ptr<Network> network_;
  Witness witness_;
  std::vector<Node> nodes_;
  std::map<std::size_t, std::unique_ptr<load::LoadClient>> clients_;
  std::vector<std::string> exits_;
  std::string root_, discovery_, other_discovery_, nowhere_;
  std::vector<std::map<std::string, int>> left_alone_;
  std::vector<std::vector<RealResult::Part>> looks_;
  std::vector<std::string> replica_addresses_;
  std::string liar_at_;
  Lies lies_;
  std::unique_ptr<membership::Membership> liar_;
  Time begin_ = 0;
  int kept_ = 0;
  bool ending_ = false;
};

}  // namespace

RealResult PlayReal(const Scenario& scenario, const RealOptions& options) {
  return Cluster(scenario, options).Run();
}

}  // namespace ryeglade::cluster
