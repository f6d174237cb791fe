#include "rollout/supervisor.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <uv.h>

#include <csignal>
#include <cstring>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "base/file_io.h"
#include "base/log.h"
#include "base/runtime.h"
#include "hot_restart/lease_codec.h"
#include "http/blocking_client.h"
#include "http/downstream.h"
#include "rollout/background_work.h"
#include "rollout/file_digest.h"
#include "rollout/node_process.h"
#include "rollout/process_util.h"
#include "rollout/release_check.h"
#include "settings/toml_reader.h"

namespace ryeglade::rollout {
namespace {

// Intervals of type Time are in microseconds.
constexpr Time kTickInterval = 100'000;
constexpr Time kPollInterval = 500'000;  // for a ready process; others are polled at each tick
constexpr int kPollTimeoutMs = 1000;
constexpr std::size_t kMaxConnections = 64;  // to the control address
constexpr std::size_t kMaxBodyBytes = std::size_t{512} * 1024;
constexpr std::size_t kBufferPoolBytes = std::size_t{8} << 20;
constexpr Time kHistoryInterval = 10'000'000;    // between two samples of the metrics that are kept
constexpr std::size_t kMaxHistorySamples = 180;  // older samples are dropped

// Creates the supervisor's directory and keeps it locked during the lifetime of this object, because two
// supervisors of one node would start it twice.
class DirectoryLock {
 public:
  explicit DirectoryLock(const std::string& directory) {
    mkdir(directory.c_str(), 0700);
    mkdir((directory + "/tmp").c_str(), 0700);
    fd_ = open((directory + "/keeper.lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    struct flock whole_file {};
    whole_file.l_type = F_WRLCK;
    if (fd_ < 0 || fcntl(fd_, F_OFD_SETLK, &whole_file) != 0)
      throw std::runtime_error(
          "cannot lock " + directory +
          "/keeper.lock (does another keeper use this directory?): " + std::strerror(errno));
  }
  ~DirectoryLock() { close(fd_); }
  DirectoryLock(const DirectoryLock&) = delete;
  DirectoryLock& operator=(const DirectoryLock&) = delete;

 private:
  int fd_ = -1;
};

// Returns the state in the file, or at the first start one with `initial_release`. Throws std::runtime_error
// if the file can't be used.
SupervisorState LoadState(const std::string& path, const Release& initial_release) {
  if (access(path.c_str(), F_OK) == 0) {
    auto state = DecodeSupervisorState(ReadWholeFile(path));
    if (!state)
      throw std::runtime_error(path +
                               " is not a state file of this version of the keeper; move it away, and give "
                               "--program and --config, to start without it");
    return std::move(*state);
  }
  if (initial_release.program.empty())
    throw std::runtime_error("the first start of a keeper needs --program and --config, as there is no " +
                             path);
  SupervisorState state;
  state.active = initial_release;
  state.last_good = initial_release;
  return state;
}

// Result of one poll of a node process.
struct PollResult {
  bool ready = false;                  // set only if readiness was asked for
  std::optional<NodeMetrics> metrics;  // nullopt: not asked for, no answer, or an answer that can't be read
};

// Asks the management address whether the node is ready, or for its metrics. Blocks for up to kPollTimeoutMs.
PollResult PollNode(const std::string& management, bool for_readiness) {
  PollResult result;
  const auto get = [&](const char* path) {
    return BlockingHttpCall("the node at", management, "GET", path, "", kPollTimeoutMs);
  };
  try {
    if (for_readiness) {
      result.ready = get("/control/ready").status == 200;
    } else if (const HttpResponse response = get("/control/figures"); response.status == 200) {
      result.metrics = DecodeNodeMetrics(response.body);
    }
  } catch (const std::runtime_error&) {  // no answer: the result stays empty
  }
  return result;
}

// The event loop of a supervisor. All members are used only on the loop's thread.
class SupervisorProcess : public Front {
 public:
  explicit SupervisorProcess(const SupervisorOptions& options)
      : options_(options),
        buffers_(kBufferPoolBytes),
        deadlines_(Initialized(&loop_)),
        runtime_{&loop_, &deadlines_, &buffers_},
        control_(&runtime_, this, ControlOptions(options)),
        lock_(options.directory),
        supervisor_(options.node, options.zone, options.limits,
                    LoadState(StatePath(), options.initial_release)) {}

  // Returns once the supervisor has shut down.
  void Run() {
    Log(Level::kInfo, "listening-supervisor", {{"addr", control_.Listen()}, {"node", options_.node}});
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR2}) HandleSignal(number);
    RecoverProcesses();
    Tick();
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
    Log(Level::kInfo, "stopped");
  }

  // Front: requests to the control address.
  void OnRequest(Handle connection, HttpRequest request) override {
    control_.CloseAfterResponse(connection);
    const std::string_view path = request.Path();
    if (path == "/keeper" && request.method == "GET") {
      Respond(connection, 200, EncodeStatus(Status()));
    } else if (path == "/keeper/command" && request.method == "POST") {
      HandleCommand(connection, request.body.Text());
    } else if (path == "/keeper/check" && request.method == "POST") {
      HandleCheck(connection, request.body.Text());
    } else {
      Respond(connection, 404, "{\"why\":\"path\"}");
    }
  }
  void OnClientDisconnected(Handle) override {}
  void OnBackpressure(Handle, bool) override {}

 private:
  static Downstream::Options ControlOptions(const SupervisorOptions& options) {
    Downstream::Options control;
    control.listen = options.control;
    control.max_connections = kMaxConnections;
    control.max_body = kMaxBodyBytes;
    return control;
  }
  static uv_loop_t* Initialized(uv_loop_t* loop) {
    uv_loop_init(loop);
    return loop;
  }
  std::string StatePath() const { return options_.directory + "/keeper.json"; }

  void Respond(Handle connection, int status, const std::string& body) {
    control_.Reply(connection, status, "Content-Type: application/json\r\n", body);
  }

  SupervisorStatus Status() const {
    SupervisorStatus status = supervisor_.Status();
    status.metrics = metrics_;
    status.now = Now();
    return status;
  }

  void HandleCommand(Handle connection, const std::string& body) {
    auto command = DecodeCommand(body);
    if (!command) return Respond(connection, 400, "{\"why\":\"not a command\"}");
    std::string error;
    if (command->kind == CommandKind::kChange) error = CompleteRelease(command->release);
    const std::uint64_t epoch_before = supervisor_.state().epoch;
    CommandReply reply;
    if (error.empty()) {
      SupervisorEffects effects;
      reply = supervisor_.HandleCommand(Now(), *command, effects);
      // The state is on disk before the driver learns that its command was accepted.
      Execute(effects);
    } else {
      reply.reason = error;
    }
    LogCommand(*command, reply);
    reply.status = Status();
    const bool new_epoch = reply.accepted && supervisor_.state().epoch > epoch_before;
    if (new_epoch) reply.status.history.assign(history_.begin(), history_.end());
    Respond(connection, reply.accepted ? 200 : 409, EncodeReply(reply));
  }

  static void LogCommand(const SupervisorCommand& command, const CommandReply& reply) {
    if (command.kind == CommandKind::kClaim && reply.accepted) return;  // every round of a driver has one
    Log(reply.accepted ? Level::kInfo : Level::kWarn, "supervisor-command",
        {{"what", static_cast<int>(command.kind)},
         {"epoch", command.epoch},
         {"release", command.release.id},
         {"mark", command.directive},
         {"yes", reply.accepted},
         {"why", reply.reason}});
  }

  // Fills the program and config that the command left empty from the last good release, and computes the
  // digests that it does not give, so that every start of the release uses exactly these files. Returns an
  // error, or an empty string.
  std::string CompleteRelease(Release& release) {
    const Release& last_good = supervisor_.state().last_good;
    if (release.program.empty()) release.program = last_good.program;
    if (release.config.empty()) release.config = last_good.config;
    try {
      CheckDigest(release.program, release.program_digest);
      CheckDigest(release.config, release.config_digest);
      CheckDigest(release.settings, release.settings_digest);
    } catch (const std::runtime_error& e) {
      return std::string("unreadable: ") + e.what();
    }
    return "";
  }

  // Sets `expected` to the digest of the file if it is empty. Throws std::runtime_error if the file can't be
  // read or has another digest than expected. Does nothing if the path is empty.
  void CheckDigest(const std::string& path, std::string& expected) {
    if (path.empty()) return;
    const std::string digest = digests_.Digest(path);
    if (expected.empty()) expected = digest;
    if (expected != digest)
      throw std::runtime_error(path + " has the digest " + digest + ", but the release needs " + expected);
  }

  // Answers whether the node could run a release. Changes nothing on the node.
  void HandleCheck(Handle connection, const std::string& body) {
    auto release = DecodeRelease(body);
    if (!release) return Respond(connection, 400, "{\"why\":\"not a release\"}");
    const std::string error = CompleteRelease(*release);
    if (!error.empty())
      return Respond(connection, 200, nlohmann::json{{"good", false}, {"why", error}}.dump());
    const Release active = supervisor_.state().active;
    const auto check = std::make_shared<ReleaseCheck>();
    RunInBackground(
        &loop_, [check, release = *release, active] { *check = CheckRelease(release, active); },
        [this, check, connection, active_id = active.id] {
          const nlohmann::json answer = {{"good", check->good},
                                         {"why", check->reason},
                                         {"said", check->output},
                                         {"in_force", active_id}};
          Respond(connection, 200, answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        });
  }

  void RecoverProcesses() {
    const SupervisorState& state = supervisor_.state();
    KillUnrecordedProcesses(state);
    const bool current_lives = Adopt(Supervisor::kRecoveredCurrent, state.current);
    const bool next_lives = Adopt(Supervisor::kRecoveredNext, state.next);
    const bool stopping_lives = Adopt(Supervisor::kRecoveredStopping, state.stopping);
    SupervisorEffects effects;
    supervisor_.Recover(Now(), current_lives, next_lives, stopping_lives, effects);
    Execute(effects);
  }

  // If an earlier supervisor died between starting a process and recording it, the process is in no state
  // file. It is found by its hot-restart lease in the node's $TMPDIR, where only this node's processes write.
  void KillUnrecordedProcesses(const SupervisorState& state) {
    for (const auto& entry : std::filesystem::directory_iterator(options_.directory + "/tmp")) {
      if (entry.path().filename().string().find("-lease-") == std::string::npos) continue;
      const auto lease = hot_restart::DecodeLease(ReadFileIfPresent(entry.path().string()));
      if (!lease) continue;
      const bool recorded =
          lease->pid == state.current.pid || lease->pid == state.next.pid || lease->pid == state.stopping.pid;
      if (recorded || !IsNodeProcess(lease->pid, state.active.config)) continue;
      Log(Level::kWarn, "supervisor-kills-unrecorded", {{"pid", lease->pid}});
      kill(static_cast<pid_t>(lease->pid), SIGKILL);
    }
  }

  // Guards against a pid that now belongs to another program.
  static bool IsNodeProcess(std::int64_t pid, const std::string& config) {
    const std::string command_line = ReadFileIfPresent("/proc/" + std::to_string(pid) + "/cmdline");
    return command_line.find(std::string("\0serve\0", 7)) != std::string::npos &&
           command_line.find(config) != std::string::npos;
  }

  bool Adopt(int number, const ProcessRecord& record) {
    NodeProcess::Ptr process = NodeProcess::Adopt(number, record);
    if (!process) return false;
    Log(Level::kInfo, "supervisor-adopts", {{"pid", record.pid}, {"place", number}});
    processes_[number] = std::move(process);
    return true;
  }

  void Execute(const SupervisorEffects& effects) {
    for (const SupervisorEffect& effect : effects) {
      switch (effect.kind) {
        case SupervisorEffect::Kind::kSaveState:
          SaveState();
          break;
        case SupervisorEffect::Kind::kStartProcess:
          StartProcess(effect.process, effect.release);
          break;
        case SupervisorEffect::Kind::kTerminateProcess:
          SendSignal(effect.process, SIGTERM);
          break;
        case SupervisorEffect::Kind::kKillProcess:
          SendSignal(effect.process, SIGKILL);
          break;
      }
    }
  }

  void SaveState() {
    const FileError error = ReplaceFile(StatePath(), EncodeSupervisorState(supervisor_.state()), 0600);
    if (error.error != 0)
      Log(Level::kError, "supervisor-state-not-written",
          {{"step", error.what}, {"why", std::strerror(error.error)}});
  }

  void SendSignal(int number, int signal) {
    const auto at = processes_.find(number);
    if (at == processes_.end()) return;
    const std::int64_t pid = at->second->record().pid;
    Log(Level::kInfo, "supervisor-signals", {{"pid", pid}, {"signal", signal}});
    kill(static_cast<pid_t>(pid), signal);
  }

  void StartProcess(int number, const Release& release) {
    NodeProcess::Ptr process;
    try {
      Release complete = release;
      const std::string error = CompleteRelease(complete);
      if (!error.empty()) throw std::runtime_error(error);
      process = NodeProcess::Start(
          &loop_, number, complete, options_.directory,
          [this](int ended, std::int64_t status, int signal) { OnProcessExit(ended, status, signal); });
    } catch (const std::runtime_error& e) {
      Log(Level::kError, "supervisor-cannot-start", {{"release", release.id}, {"why", e.what()}});
      return ReportEndedLater(number, e.what());
    }
    const ProcessRecord record = process->record();
    Log(Level::kInfo, "supervisor-started",
        {{"release", release.id}, {"pid", record.pid}, {"management", record.management}});
    processes_[number] = std::move(process);
    // Saved at once, so that the next supervisor of this node knows of the process.
    SupervisorEffects effects;
    supervisor_.OnProcessStarted(number, record, effects);
    Execute(effects);
  }

  // Reports on the next iteration of the loop, because the state machine may be in the middle of a step.
  void ReportEndedLater(int number, const std::string& reason) {
    deadlines_.Set(Now(), [this, number, reason] {
      SupervisorEffects effects;
      supervisor_.OnProcessEnded(Now(), number, reason, effects);
      Execute(effects);
    });
  }

  void OnProcessExit(int number, std::int64_t status, int signal) {
    const std::string reason =
        signal != 0 ? "signal " + std::to_string(signal) : "exit " + std::to_string(status);
    if (const auto at = processes_.find(number); at != processes_.end()) {
      Log(Level::kInfo, "supervisor-process-ended", {{"pid", at->second->record().pid}, {"why", reason}});
      processes_.erase(at);
    }
    SupervisorEffects effects;
    supervisor_.OnProcessEnded(Now(), number, reason, effects);
    Execute(effects);
    CloseIfShutDown();
  }

  void Tick() {
    const Time now = Now();
    std::vector<int> ended;
    for (const auto& [number, process] : processes_) {
      if (process->AdoptedHasEnded()) ended.push_back(number);
      const bool poll_due = !process->ready || now - process->last_polled_at >= kPollInterval;
      if (!process->poll_running && poll_due) StartPoll(*process);
    }
    for (const int number : ended) OnProcessExit(number, 0, 0);
    SupervisorEffects effects;
    supervisor_.OnTick(now, effects);
    Execute(effects);
    if (!closed_) tick_ = deadlines_.Set(now + kTickInterval, [this] { Tick(); });
  }

  void StartPoll(NodeProcess& process) {
    process.poll_running = true;
    process.last_polled_at = Now();
    const bool for_readiness = !process.ready;
    const std::string management = process.record().management;
    const auto result = std::make_shared<PollResult>();
    RunInBackground(
        &loop_, [result, management, for_readiness] { *result = PollNode(management, for_readiness); },
        [this, result, for_readiness, number = process.number()] {
          // The process may have ended meanwhile. Numbers of processes are never reused.
          const auto at = processes_.find(number);
          if (at != processes_.end()) OnPolled(*at->second, *result, for_readiness);
        });
  }

  void OnPolled(NodeProcess& process, const PollResult& result, bool for_readiness) {
    process.poll_running = false;
    const int number = process.number();
    const std::int64_t pid = process.record().pid;
    if (result.ready && !process.ready) {
      process.ready = true;
      Log(Level::kInfo, "supervisor-ready", {{"pid", pid}});
      SupervisorEffects effects;
      supervisor_.OnProcessReady(Now(), number, effects);
      Execute(effects);
    }
    if (number != supervisor_.current()) return;
    if (result.metrics && result.metrics->pid == pid) {
      StoreMetrics(*result.metrics);
    } else if (!for_readiness) {
      metrics_.reset();  // the previous ones would be taken for current
    }
  }

  void StoreMetrics(const NodeMetrics& metrics) {
    metrics_ = metrics;
    const bool sample_due =
        history_.empty() || metrics.measured_at - history_.back().metrics.measured_at >= kHistoryInterval;
    if (sample_due) history_.push_back({supervisor_.state().active.id, metrics});
    if (history_.size() > kMaxHistorySamples) history_.pop_front();
  }

  void HandleSignal(int number) {
    auto handle = std::make_unique<uv_signal_t>();
    uv_signal_init(&loop_, handle.get());
    handle->data = this;
    uv_signal_start(
        handle.get(),
        [](uv_signal_t* signal, int received) {
          static_cast<SupervisorProcess*>(signal->data)->OnSignal(received);
        },
        number);
    signals_.push_back(std::move(handle));
  }

  void OnSignal(int number) {
    if (number == SIGHUP || number == SIGUSR2)
      return SendSignal(supervisor_.current(), number);  // these signals are for the node
    SupervisorEffects effects;
    supervisor_.ShutDown(Now(), effects);
    Execute(effects);
    CloseIfShutDown();
  }

  void CloseIfShutDown() {
    if (!supervisor_.has_shut_down() || closed_) return;
    closed_ = true;
    deadlines_.Cancel(tick_);
    control_.Close();
    deadlines_.Close();
    for (const auto& signal : signals_) uv_close(reinterpret_cast<uv_handle_t*>(signal.get()), nullptr);
  }

  SupervisorOptions options_;
  uv_loop_t loop_{};
  BufferPool buffers_;
  Deadlines deadlines_;
  Runtime runtime_;
  Downstream control_;
  DirectoryLock lock_;
  Supervisor supervisor_;
  std::map<int, NodeProcess::Ptr> processes_;  // by the number that the state machine gave them
  FileDigestCache digests_;
  std::optional<NodeMetrics> metrics_;  // of the current process; nullopt: its last poll gave none
  std::deque<MetricsSample> history_;   // oldest first
  std::vector<std::unique_ptr<uv_signal_t>> signals_;
  DeadlineId tick_;
  bool closed_ = false;
};

}  // namespace

void RunSupervisor(const SupervisorOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  SetUpLog({});
  SupervisorProcess(options).Run();
}

}  // namespace ryeglade::rollout
