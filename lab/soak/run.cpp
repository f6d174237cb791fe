#include "lab/soak/run.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <iterator>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <tuple>

#include "http/blocking_client.h"
#include "lab/cluster/relay.h"
#include "lab/fake_discovery.h"
#include "lab/fake_replica.h"
#include "lab/node_process.h"
#include "lab/soak/bad_clients.h"
#include "lab/soak/clients.h"
#include "lab/soak/link_relay.h"
#include "lab/soak/node_settings.h"
#include "lab/soak/operator_calls.h"

namespace ryeglade::soak {
namespace {

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;
constexpr Time kPollInterval = 10 * kMillisecond;  // between two checks of the processes
constexpr Time kMinLabLag = 20 * kMillisecond;  // a poll that is later than this counts as a lag of the lab
constexpr Time kCpuWaitInterval = 50 * kMillisecond;  // between two readings of a process's wait for a core
// A process counts as paused if it waited longer than this for a core between two readings.
constexpr Time kMinCpuWait = 20 * kMillisecond;
constexpr Time kReadyTimeout = 20 * kSecond;
constexpr Time kRestartDelay = 300 * kMillisecond;     // from a process's exit to the next start
constexpr Time kUpgradeInterval = 100 * kMillisecond;  // between two checks for the next upgrade of a series
constexpr Time kBothServe = 1 * kSecond;  // in a series, from the new process's yes to SIGTERM to the old one
constexpr Time kSecondSigtermDelay = 100 * kMillisecond;
constexpr Time kCloseIdleInterval = 150 * kMillisecond;
// Time limit for the requests in flight after the schedule, and again for the exits of the processes.
constexpr Time kFinishTimeout = 12 * kSecond;
constexpr Time kLinkDelay = 60 * kMillisecond;
constexpr int kResetRequestCount = 3;  // requests that one `reset-under` fault resets
// How long after the end of bad clients a node may still hold their connections and those to replicas for
// them.
constexpr Time kBadClientsLinger = 1 * kSecond;
constexpr std::size_t kLongFrom = 200;  // requests for at least so many tokens get as many
constexpr int kSlowFactor = 8;          // by which `slow` lengthens the time to the first token
// PROTOCOL: SIGKILL comes after SIGTERM, no sooner than the longest deadline (which counts as 3 s if it is
// longer) plus 0.7 s.
constexpr Time kMaxCountedDeadline = 3 * kSecond;
constexpr Time kSigkillMargin = 700 * kMillisecond;
constexpr int kCallTimeoutMs = 200;  // for reading a process's counters

Time LongestDeadline(const ClassTable& table) {
  Time longest = 0;
  for (const auto& [name, c] : table) longest = std::max(longest, c.deadline);
  return std::min(longest, kMaxCountedDeadline);
}

class PlanRunner : public lab::AttemptObserver {
 public:
  PlanRunner(const Plan& plan, const PlayOptions& options)
      : plan_(plan),
        options_(options),
        buffers_(std::size_t{256} << 20),
        deadlines_(Init(&loop_)),
        run_{&loop_, &deadlines_, &buffers_},
        nodes_(plan.nodes) {
    std::string name = std::filesystem::temp_directory_path().string() + "/ryeglade-soak-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
      throw std::runtime_error("soak: cannot create a directory from the template " + name);
    root_ = name;
    SetUpReplicas();
    std::vector<std::string> addresses, openai_addresses;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      SetUpNode(n);
      addresses.push_back(nodes_[n].addresses.listen);
      openai_addresses.push_back(nodes_[n].addresses.openai_listen);
    }
    clients_ = std::make_unique<SoakClients>(&run_, plan_, addresses, openai_addresses);
    bad_clients_ = std::make_unique<BadClients>(&run_, plan_, addresses);
    std::vector<std::string> names;
    for (const Replica& replica : history_.replicas) names.push_back(replica.name);
    operator_calls_ = std::make_unique<OperatorCalls>(
        &run_, plan_, std::move(names), [this](std::size_t node) { return ManagementAddresses(node); });
  }

  ~PlanRunner() override {
    for (Node& node : nodes_) {
      for (const auto& run : node.process_runs) {
        if (run->process.pid() <= 0) continue;
        run->process.Signal(SIGKILL);
        run->process.Signal(SIGCONT);
      }
    }
    clients_->Close();
    bad_clients_->Close();
    operator_calls_->Close();
    for (Node& node : nodes_) {
      node.links->Close();
      node.directory->Close();
    }
    for (const auto& replica : replicas_) replica->Close();
    deadlines_.Close();
    for (int i = 0; i < 200 && uv_loop_alive(&loop_) != 0; ++i) uv_run(&loop_, UV_RUN_NOWAIT);
    uv_loop_close(&loop_);
    nodes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(root_, ignored);
  }
  PlanRunner(const PlanRunner&) = delete;
  PlanRunner& operator=(const PlanRunner&) = delete;

  PlayResult Run() {
    history_.begin = Now();
    history_.resume = plan_.resume;
    history_.crowd = plan_.crowd > 0;
    for (std::size_t n = 0; n < nodes_.size(); ++n) Start(n);
    PollProcesses();
    const bool up = RunLoopUntil(Now() + kReadyTimeout, [&] {
      return std::all_of(nodes_.begin(), nodes_.end(),
                         [](const Node& n) { return n.process_runs.back()->record().ready != 0; });
    });
    if (!up)
      throw std::runtime_error("a node was not ready within 20 s; the log of node n0: " +
                               nodes_[0].process_runs.back()->process.Log());
    begin_ = Now();
    history_.begin = begin_;
    clients_->Start();
    for (const Fault& f : plan_.faults) {
      if (options_.excluded_faults.contains(f.kind)) continue;
      deadlines_.Set(begin_ + f.at, [this, f] { ApplyFault(f); });
    }
    RunLoopUntil(begin_ + plan_.length, [] { return false; });
    clients_->StopSending();
    finished_ = true;
    RunLoopUntil(Now() + kFinishTimeout, [&] { return clients_->idle(); });
    for (std::size_t n = 0; n < nodes_.size(); ++n) Terminate(n, *nodes_[n].process_runs.back());
    RunLoopUntil(Now() + kFinishTimeout, [&] { return AllEnded(); });
    return CollectResult();
  }

  // ---- AttemptObserver ----

  void OnRequestReceived(std::size_t replica, Handle connection, const HttpRequest& request,
                         const sockaddr_storage& from) override {
    const int port = ntohs(reinterpret_cast<const sockaddr_in&>(from).sin_port);
    Attempt a;
    if (const std::string* id = request.Header("x-call-id")) a.id = *id;
    if (const std::string* budget = request.Header("x-budget")) a.budget = SecondsOf(*budget);
    const std::string body = request.body.Text();
    if (const std::string id = IdInPrompt(body); !id.empty()) a.id = id;
    a.replica = replica;
    a.body_hash = std::hash<std::string>()(body);
    a.began = request.first_byte;
    a.received = Now();
    const LinkRecord* last = nullptr;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      const LinkRecord* record = nodes_[n].links->RecordOf(replica, port);
      if (record == nullptr || (last != nullptr && record->up < last->up)) continue;
      last = record;
      a.node = n;
    }
    if (last != nullptr && last->began != 0) a.began = std::min(a.began, last->began);
    if (last != nullptr && last->closed != 0) {
      a.end = AttemptEnd::kNodeClosed;
      a.ended = last->closed;
    }
    by_port_[{a.node, replica, port}] = history_.attempts.size();
    by_connection_[{replica, connection}] = history_.attempts.size();
    history_.attempts.push_back(std::move(a));
  }

  void OnResponseBytes(std::size_t replica, Handle connection, std::string_view bytes) override {
    const auto it = by_connection_.find({replica, connection});
    if (it != by_connection_.end())
      history_.attempts[it->second].events.push_back({Now(), std::string(bytes)});
  }

  void OnAttemptEnded(std::size_t replica, Handle connection, lab::FakeAttemptEnd how) override {
    const auto it = by_connection_.find({replica, connection});
    if (it == by_connection_.end()) return;
    Attempt& a = history_.attempts[it->second];
    by_connection_.erase(it);
    if (a.ended != 0) return;
    a.ended = Now();
    switch (how) {
      case lab::FakeAttemptEnd::kCompleted:
        a.end = AttemptEnd::kComplete;
        break;
      case lab::FakeAttemptEnd::kCutShort:
        a.end = AttemptEnd::kCutShort;
        break;
      case lab::FakeAttemptEnd::kRejected:
        a.end = AttemptEnd::kRejected;
        break;
      case lab::FakeAttemptEnd::kError:
        a.end = AttemptEnd::kError;
        break;
      case lab::FakeAttemptEnd::kReset:
      case lab::FakeAttemptEnd::kClosedByNode:
        // The link broke: OnNodeClosed has already recorded every connection that the node closed.
        a.end = AttemptEnd::kReset;
        break;
    }
  }

 private:
  // One process of a node, with the index of its record in the history.
  struct ProcessRun {
    ProcessRun(History* records, std::size_t number) : history(records), index(number) {}
    Process& record() { return history->processes[index]; }
    const Process& record() const { return history->processes[index]; }
    History* history;
    std::size_t index;
    lab::NodeProcess process;
    std::string management, log;  // the address of its management interface; its log, once it has exited
    std::size_t read = 0;         // of its log
    bool ended = false;
    Time cpu_wait_read_at = 0, cpu_wait = 0;  // when the total wait for a core was last read, and its value
  };
  struct Node {
    std::string ip, tmpdir;
    NodeAddresses addresses;
    std::unique_ptr<lab::FakeDiscovery> directory;
    std::unique_ptr<LinkRelay> links;
    std::vector<std::string> links_to;  // ip:port of its links, by replica
    std::vector<std::unique_ptr<ProcessRun>> process_runs;
    bool other_classes = false;  // its settings have the plan's `other_classes`
  };

  static uv_loop_t* Init(uv_loop_t* loop) {
    uv_loop_init(loop);
    return loop;
  }
  // Parses a number of seconds into microseconds; returns 0 if `text` is not a number.
  static Time SecondsOf(const std::string& text) {
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return static_cast<Time>(value * 1e6);
  }
  // The id that a soak client's prompt holds; empty if it holds none. At the OpenAI-style address the node
  // gives a request its own id.
  static std::string IdInPrompt(const std::string& body) {
    constexpr std::string_view kBeforeId = "\"question ";
    const std::size_t at = body.find(kBeforeId);
    if (at == std::string::npos) return "";
    const std::size_t begin = at + kBeforeId.size();
    return body.substr(begin, body.find(' ', begin) - begin);
  }
  // Each node of each play has its own IP address, so that nothing else on the machine takes its port while
  // its process is down.
  static std::string NodeIp(std::size_t n) {
    const auto pid = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", 30 + pid % 200, 1 + pid / 200 % 250, n + 1);
  }
  std::string ReplicaName(std::size_t n) const { return fmt::format("s-{:02}", n); }
  const ClassTable& CurrentClasses(const Node& node) const {
    return node.other_classes ? plan_.other_classes : plan_.classes;
  }

  // Runs the event loop until `done` or `end`. Returns what `done` returned last.
  template <class Condition>
  bool RunLoopUntil(Time end, Condition done) {
    while (!done() && Now() < end) {
      if (options_.interrupted && options_.interrupted())
        throw std::runtime_error("soak: interrupted before the plan was finished");
      DeadlineId wake = deadlines_.Set(std::min(end, Now() + kPollInterval), [] {});
      uv_run(&loop_, UV_RUN_ONCE);
      deadlines_.Cancel(wake);
    }
    return done();
  }

  // ---- The installation ----

  void SetUpReplicas() {
    for (std::size_t n = 0; n < plan_.replicas.size(); ++n) {
      const PlannedReplica& p = plan_.replicas[n];
      lab::FakeReplicaOptions o;
      o.dialect = lab::ReplicaDialect::kPlatform;
      o.seed = plan_.seed * 64 + n;
      o.first_token = p.first_token;
      o.per_token = p.per_token;
      o.tokens = p.tokens;
      o.long_from = kLongFrom;
      o.number = n;
      o.observer = this;
      replicas_.push_back(std::make_unique<lab::FakeReplica>(&run_, &attempt_counts_, o));
      replica_addresses_.push_back(replicas_.back()->Listen());
      discovery_entries_.push_back({"active", ZoneName(p.zone), p.cell, 0});
      history_.replicas.push_back({ReplicaName(n), p.zone, p.cell});
    }
  }

  void SetUpNode(std::size_t n) {
    Node& node = nodes_[n];
    node.ip = NodeIp(n);
    node.addresses.listen = cluster::FreeAddress(node.ip);
    node.addresses.openai_listen = cluster::FreeAddress(node.ip);
    node.tmpdir = fmt::format("{}/n{}", root_, n);
    std::filesystem::create_directory(node.tmpdir);
    node.links = std::make_unique<LinkRelay>(&run_);
    node.links->OnClosed([this, n](std::size_t replica, int port) { OnNodeClosed(n, replica, port); });
    node.directory = std::make_unique<lab::FakeDiscovery>(&run_);
    node.directory->SetListedCallback([this, n](const std::string& name, const std::string& lifecycle) {
      OnDirectoryTold(n, name, lifecycle);
    });
    for (std::size_t r = 0; r < replicas_.size(); ++r) {
      node.links_to.push_back(node.links->Add(replica_addresses_[r]));
      node.directory->Set(ReplicaName(r), node.links_to[r], discovery_entries_[r]);
    }
    node.addresses.discovery = node.directory->Listen();
    history_.settings.push_back({n, 0, plan_.classes});
  }

  std::string ConfigOf(const Node& node, std::size_t n, const std::string& management) const {
    return NodeConfigJson(plan_, n, node.addresses, management, node.directory->Text(true),
                          CurrentClasses(node));
  }

  void Start(std::size_t n) {
    Node& node = nodes_[n];
    node.process_runs.push_back(std::make_unique<ProcessRun>(&history_, history_.processes.size()));
    ProcessRun& run = *node.process_runs.back();
    Process p;
    p.node = n;
    p.started = Now();
    p.memory_limit = kNodeMemoryMb << 20;
    history_.processes.push_back(p);
    run.management = cluster::FreeAddress(node.ip);
    lab::NodeFiles files;
    files.config = ConfigOf(node, n, run.management);
    files.settings = NodeSettingsToml(plan_, node.addresses);
    files.tmpdir = node.tmpdir;
    files.preload = options_.preload;
    run.process.Start(options_.program, files);
    // Its configuration contains the current list of replicas.
    for (std::size_t r = 0; r < replicas_.size(); ++r) {
      history_.discovery_changes.push_back({n, r, Now(), Now(), discovery_entries_[r].lifecycle == "active"});
    }
  }

  // ---- Watching the processes ----

  // Records when the lab's own event loop was delayed, so that the checker does not count events that were
  // recorded late as violations by the nodes.
  void RecordLabLag() {
    const Time now = Now();
    if (last_poll_ != 0 && now - last_poll_ > kPollInterval + kMinLabLag)
      history_.lab_lags.push_back({last_poll_, now});
    last_poll_ = now;
  }

  void PollProcesses() {
    RecordLabLag();
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      for (std::size_t k = 0; k < nodes_[n].process_runs.size(); ++k)
        PollProcess(n, *nodes_[n].process_runs[k]);
    }
    deadlines_.Set(Now() + kPollInterval, [this] { PollProcesses(); });
  }

  void PollProcess(std::size_t n, ProcessRun& run) {
    if (run.ended) return;
    Process& p = run.record();
    RecordCpuWait(run);
    if (p.ready == 0 && run.process.Log().find("event=listening addr=") != std::string::npos) {
      p.ready = Now();
      p.first_descriptors = run.process.OpenDescriptors();
      p.first_memory = run.process.ResidentBytes();
    }
    p.peak_memory = std::max(p.peak_memory, run.process.PrivateBytes());
    if (run.process.IsRunning()) return;
    run.ended = true;
    p.ended = Now();
    p.status = run.process.status();
    run.log = run.process.Log();
    if (!finished_ && &run == nodes_[n].process_runs.back().get() && !p.replaced) {
      deadlines_.Set(Now() + kRestartDelay, [this, n] {
        if (!finished_) Start(n);
      });
    }
  }

  // Records a pause if the process, although runnable, waited too long for a core.
  void RecordCpuWait(ProcessRun& run) {
    const Time now = Now();
    if (now - run.cpu_wait_read_at < kCpuWaitInterval) return;
    const Time cpu_wait = run.process.CpuWaitTime();
    std::vector<Interval>& pauses = run.record().pauses;
    if (run.cpu_wait_read_at != 0 && cpu_wait - run.cpu_wait > kMinCpuWait) {
      const bool goes_on = !pauses.empty() && pauses.back().to >= run.cpu_wait_read_at;
      goes_on ? void(pauses.back().to = now) : pauses.push_back({run.cpu_wait_read_at, now});
    }
    run.cpu_wait_read_at = now;
    run.cpu_wait = cpu_wait;
  }

  bool AllEnded() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const Node& n) {
      return std::all_of(n.process_runs.begin(), n.process_runs.end(),
                         [](const auto& run) { return run->ended; });
    });
  }

  void ReadProcessFigures(ProcessRun& run) {
    if (run.ended || run.process.pid() <= 0) return;
    Process& p = run.record();
    p.last_descriptors = run.process.OpenDescriptors();
    p.last_memory = run.process.ResidentBytes();
    try {
      p.counters =
          BlockingHttpCall("the node", run.management, "GET", "/control/counters", "", kCallTimeoutMs).body;
    } catch (const std::runtime_error&) {
      p.counters = "(the process did not answer)";
    }
  }

  // Sends SIGTERM, and schedules SIGKILL: the plan's delay after the earliest time that PROTOCOL allows.
  void Terminate(std::size_t n, ProcessRun& run) {
    if (run.ended || run.record().sigterm_at != 0) return;
    ReadProcessFigures(run);
    Process& p = run.record();
    p.sigterm_at = Now();
    run.process.Signal(SIGTERM);
    const std::size_t at =
        static_cast<std::size_t>(std::find_if(nodes_[n].process_runs.begin(), nodes_[n].process_runs.end(),
                                              [&](const auto& l) { return l.get() == &run; }) -
                                 nodes_[n].process_runs.begin());
    ScheduleSigkill(n, at);
  }

  void ScheduleSigkill(std::size_t n, std::size_t at) {
    Process& p = nodes_[n].process_runs[at]->record();
    p.sigkill_due = p.sigterm_at + LongestDeadline(CurrentClasses(nodes_[n])) + kSigkillMargin;
    deadlines_.Set(p.sigkill_due + plan_.sigkill_delay, [this, n, at] {
      ProcessRun& run = *nodes_[n].process_runs[at];
      PollProcess(n, run);
      if (run.ended || run.record().killed != 0) return;
      run.record().killed = Now();
      run.process.Signal(SIGCONT);
      run.process.Signal(SIGKILL);
    });
  }

  // ---- Faults ----

  ProcessRun& NewestRun(std::size_t n) { return *nodes_[n].process_runs.back(); }

  void ApplyFault(const Fault& f) {
    ProcessRun& run = NewestRun(f.node);
    switch (f.kind) {
      case FaultKind::kTerm:
        return Terminate(f.node, run);
      case FaultKind::kTermTwice:
        Terminate(f.node, run);
        deadlines_.Set(Now() + kSecondSigtermDelay, [&run] { run.process.Signal(SIGTERM); });
        return;
      case FaultKind::kHup:
        return run.process.Signal(SIGHUP);
      case FaultKind::kHupSettings:
        return ChangeSettings(f.node);
      case FaultKind::kKill:
        return KillByPlan(run);
      case FaultKind::kStop:
        return Stop(run, f.duration);
      case FaultKind::kHotRestart:
        return HotRestart(f.node, 0);
      case FaultKind::kUpgrades:
        return UpgradeInSeries(f.node, Now() + f.duration);
      case FaultKind::kOperatorCalls:
        return operator_calls_->Start(f);
      case FaultKind::kDrain:
        return Drain(f.replica, f.duration);
      case FaultKind::kRestart:
        return RestartReplica(f.replica, f.duration);
      case FaultKind::kCloseIdle:
        return CloseIdle(f.replica, Now() + f.duration);
      case FaultKind::kLeave:
        return clients_->CloseEverySecondClient();
      case FaultKind::kFlood:
      case FaultKind::kSendAndLeave:
      case FaultKind::kHalfBodies:
      case FaultKind::kManyFields:
      case FaultKind::kUnreadAnswers:
      case FaultKind::kUnreadableFraming:
        history_.bad_crowds.push_back(
            {f.node, Now(), Now() + f.duration + kBadClientsLinger, bad_clients_->Start(f)});
        return;
      case FaultKind::kLate:
      case FaultKind::kDelay:
      case FaultKind::kResetLinks:
      case FaultKind::kResetUnder:
      case FaultKind::kTwice:
        return ApplyLinkFault(f);
      case FaultKind::kDark:
      case FaultKind::kSilent:
      case FaultKind::kSlowList:
        return ApplyDiscoveryFault(f);
      default:
        return ApplyReplicaFault(f);
    }
  }

  // Switches the class table. If the settings change during shutdown, SIGKILL may be due by the old or the
  // new deadlines; the earlier time is used.
  void ChangeSettings(std::size_t n) {
    Node& node = nodes_[n];
    ProcessRun& run = NewestRun(n);
    if (run.ended) return;
    node.other_classes = !node.other_classes;
    run.process.WriteConfig(ConfigOf(node, n, run.management));
    run.process.Signal(SIGHUP);
    history_.settings.push_back({n, Now(), CurrentClasses(node)});
    const Process& p = run.record();
    if (p.sigterm_at != 0 &&
        p.sigkill_due > p.sigterm_at + LongestDeadline(CurrentClasses(node)) + kSigkillMargin) {
      ScheduleSigkill(n, node.process_runs.size() - 1);
    }
  }

  void KillByPlan(ProcessRun& run) {
    if (run.ended || run.record().sigterm_at != 0) return;
    run.record().killed_by_plan = true;
    run.process.Signal(SIGKILL);
  }

  void Stop(ProcessRun& run, Time duration) {
    if (run.ended) return;
    run.process.Signal(SIGSTOP);
    run.record().pauses.push_back({Now(), Now() + duration});
    const std::size_t stop = run.record().pauses.size() - 1;
    deadlines_.Set(Now() + duration, [&run, stop] {
      run.process.Signal(SIGCONT);
      run.record().pauses[stop].to = Now();
    });
  }

  // SIGTERM comes `both_serve` after the new process serves.
  void HotRestart(std::size_t n, Time both_serve) {
    ProcessRun& old = NewestRun(n);
    if (old.ended || old.record().ready == 0 || old.record().sigterm_at != 0) return;
    old.record().replaced = true;
    Start(n);
    WaitToReplace(n, nodes_[n].process_runs.size() - 2, Now() + 5 * kSecond, both_serve);
  }

  // Starts the next upgrade once the process that the one before has replaced is gone.
  void UpgradeInSeries(std::size_t n, Time until) {
    if (finished_ || Now() >= until) return;
    const auto& runs = nodes_[n].process_runs;
    const auto running = std::count_if(runs.begin(), runs.end(), [](const auto& run) { return !run->ended; });
    if (running == 1) HotRestart(n, kBothServe);
    deadlines_.Set(Now() + kUpgradeInterval, [this, n, until] { UpgradeInSeries(n, until); });
  }

  // Of the node's processes that serve.
  std::vector<std::string> ManagementAddresses(std::size_t n) const {
    std::vector<std::string> addresses;
    for (const auto& run : nodes_[n].process_runs) {
      if (!run->ended && run->record().ready != 0) addresses.push_back(run->management);
    }
    return addresses;
  }

  void WaitToReplace(std::size_t n, std::size_t old, Time until, Time both_serve) {
    ProcessRun& successor = *nodes_[n].process_runs[old + 1];
    const Time ready = successor.record().ready;
    const bool served_together = ready != 0 && Now() >= ready + both_serve;
    if (served_together || successor.ended || Now() >= until)
      return Terminate(n, *nodes_[n].process_runs[old]);
    deadlines_.Set(Now() + kPollInterval,
                   [this, n, old, until, both_serve] { WaitToReplace(n, old, until, both_serve); });
  }

  void SetListing(std::size_t replica) {
    for (Node& node : nodes_)
      node.directory->Set(ReplicaName(replica), node.links_to[replica], discovery_entries_[replica]);
  }

  void ChangeList(std::size_t replica, const std::string& lifecycle) {
    discovery_entries_[replica].lifecycle = lifecycle;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      history_.discovery_changes.push_back({n, replica, Now(), 0, lifecycle == "active"});
    }
    SetListing(replica);
  }

  void OnDirectoryTold(std::size_t node, const std::string& name, const std::string& lifecycle) {
    // Sets the time of each change to this state that had not been written yet. A process that starts later
    // gets its own entries in Start.
    for (DiscoveryChange& c : history_.discovery_changes) {
      if (c.node == node && ReplicaName(c.replica) == name && c.written == 0 &&
          c.accepts_requests == (lifecycle == "active")) {
        c.written = Now();
      }
    }
  }

  void Drain(std::size_t replica, Time duration) {
    if (discovery_entries_[replica].lifecycle != "active") return;
    ChangeList(replica, "leaving");
    deadlines_.Set(Now() + duration, [this, replica] { ChangeList(replica, "active"); });
  }

  void RestartReplica(std::size_t replica, Time duration) {
    history_.link_faults.push_back({replica, Now(), Now() + duration});
    for (Node& node : nodes_) node.links->SetSilent(replica, true);
    deadlines_.Set(Now() + duration, [this, replica] {
      for (Node& node : nodes_) node.links->SetSilent(replica, false);
      discovery_entries_[replica].started_at_ms = Now() / 1000;
      SetListing(replica);
    });
  }

  void CloseIdle(std::size_t replica, Time until) {
    replicas_[replica]->CloseIdle();
    if (Now() >= until || finished_) return;
    deadlines_.Set(Now() + kCloseIdleInterval, [this, replica, until] { CloseIdle(replica, until); });
  }

  void ApplyLinkFault(const Fault& f) {
    if (f.kind == FaultKind::kResetLinks) history_.link_faults.push_back({f.replica, Now(), Now()});
    for (Node& node : nodes_) {
      LinkRelay& links = *node.links;
      if (f.kind == FaultKind::kResetLinks) links.ResetAll(f.replica);
      if (f.kind == FaultKind::kResetUnder) links.ResetNextRequests(f.replica, kResetRequestCount);
      if (f.kind == FaultKind::kLate) links.SetLate(f.replica, true);
      if (f.kind == FaultKind::kTwice) links.SetRepeatAnswers(f.replica, true);
      if (f.kind == FaultKind::kDelay) links.SetDelay(f.replica, kLinkDelay);
    }
    if (f.duration == 0) return;
    deadlines_.Set(Now() + f.duration, [this, f] {
      for (Node& node : nodes_) {
        if (f.kind == FaultKind::kLate) node.links->SetLate(f.replica, false);
        if (f.kind == FaultKind::kTwice) node.links->SetRepeatAnswers(f.replica, false);
        if (f.kind == FaultKind::kDelay) node.links->SetDelay(f.replica, 0);
      }
    });
  }

  void ApplyDiscoveryFault(const Fault& f) {
    const auto set = [this, kind = f.kind](bool on) {
      for (Node& node : nodes_) {
        if (kind == FaultKind::kDark) node.directory->SetUnavailable(on);
        if (kind == FaultKind::kSilent) node.directory->SetSilent(on);
        if (kind == FaultKind::kSlowList) node.directory->SetReplyDelay(on ? kSecond : 0);
      }
    };
    set(true);
    deadlines_.Set(Now() + f.duration, [set] { set(false); });
  }

  void ApplyReplicaFault(const Fault& f) {
    static const std::map<FaultKind, lab::Fault> kFaults = {
        {FaultKind::kHang, lab::Fault::kSilent},       {FaultKind::kStall, lab::Fault::kStall},
        {FaultKind::kBreak, lab::Fault::kBreak},       {FaultKind::kReset, lab::Fault::kResetBefore},
        {FaultKind::kError, lab::Fault::kError},       {FaultKind::kReject, lab::Fault::kBusy},
        {FaultKind::kCutShort, lab::Fault::kCutShort}, {FaultKind::kSlowWrite, lab::Fault::kSlowWrite}};
    lab::FakeReplicaOptions& o = replicas_[f.replica]->options();
    if (f.kind == FaultKind::kSlow) {
      o.first_token *= kSlowFactor;
    } else {
      o.fault = kFaults.at(f.kind);
      o.fault_share = f.share;
    }
    deadlines_.Set(Now() + f.duration, [this, f] {
      lab::FakeReplicaOptions& after = replicas_[f.replica]->options();
      after.first_token = plan_.replicas[f.replica].first_token;
      after.fault = lab::Fault::kNone;
    });
  }

  void OnNodeClosed(std::size_t node, std::size_t replica, int port) {
    const auto it = by_port_.find({node, replica, port});
    if (it == by_port_.end()) return;
    Attempt& a = history_.attempts[it->second];
    if (a.ended != 0) return;
    a.ended = Now();
    a.end = AttemptEnd::kNodeClosed;
  }

  PlayResult CollectResult() {
    history_.end = Now();
    history_.requests = clients_->requests();
    history_.bad_clients = clients_->bad_clients();
    history_.clients_that_left = bad_clients_->clients_that_left();
    history_.unreadable_requests = bad_clients_->unreadable_requests();
    history_.operator_calls = operator_calls_->calls();
    PlayResult played;
    for (const Process& p : history_.processes) {
      for (const auto& run : nodes_[p.node].process_runs) {
        if (&run->record() == &p) played.logs.push_back(run->ended ? run->log : run->process.Log());
      }
    }
    played.history = history_;
    return played;
  }

  const Plan& plan_;
  const PlayOptions& options_;
  std::string root_;
  uv_loop_t loop_{};
  BufferPool buffers_;
  Deadlines deadlines_;
  Runtime run_;
  lab::AttemptCounts attempt_counts_;
  std::vector<std::unique_ptr<lab::FakeReplica>> replicas_;
  std::vector<std::string> replica_addresses_;
  std::vector<lab::DiscoveryEntry> discovery_entries_;
  std::vector<Node> nodes_;
  std::unique_ptr<SoakClients> clients_;
  std::unique_ptr<BadClients> bad_clients_;
  std::unique_ptr<OperatorCalls> operator_calls_;
  History history_;
  // The index of the latest attempt by node, replica and port.
  std::map<std::tuple<std::size_t, std::size_t, int>, std::size_t> by_port_;
  // The index of the attempt in flight by replica and connection.
  std::map<std::pair<std::size_t, Handle>, std::size_t> by_connection_;
  Time begin_ = 0, last_poll_ = 0;
  bool finished_ = false;
};

}  // namespace

PlayResult Play(const Plan& plan, const PlayOptions& options) { return PlanRunner(plan, options).Run(); }

}  // namespace ryeglade::soak
