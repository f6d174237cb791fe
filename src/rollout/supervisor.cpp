#include "rollout/supervisor.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <uv.h>
#include <xxhash.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
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
#include "settings/toml_reader.h"

extern char** environ;

namespace ryeglade::rollout {
namespace {

constexpr Time kTick = 100'000, kLookEvery = 500'000;
constexpr int kLookWithin = 1000;  // ms, for an answer of the node
constexpr int kCheckWithin = 10;   // s, for a check of a release by its own program
constexpr std::size_t kSockets = 64;
constexpr Time kPastEvery = 10'000'000;  // so often a figure is kept,
constexpr std::size_t kMostPast = 180;   // for so many times that
constexpr std::size_t kMostOutput = std::size_t{16} * 1024;

// When a process started, in the kernel's ticks; 0: there is none, or it has ended and waits to be reaped.
std::uint64_t TicksOf(std::int64_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  const std::size_t at = text.rfind(')');
  if (at == std::string::npos || at + 2 >= text.size() || text[at + 2] == 'Z') return 0;
  std::size_t from = at + 2;
  for (int field = 3; field < 22; ++field) from = text.find(' ', from) + 1;
  return std::strtoull(text.c_str() + from, nullptr, 10);
}

std::string FreeManagement() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof a;
  const bool good = bind(fd, reinterpret_cast<sockaddr*>(&a), n) == 0 &&
                    getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n) == 0;
  close(fd);
  if (!good) throw std::runtime_error("no free port for the node's management address");
  return "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
}

// Runs a program to its end and gives what it printed; waits. `code` -1: it did not end in time.
std::string Output(const std::vector<std::string>& words, int* code) {
  int ends[2];
  *code = -1;
  if (pipe2(ends, O_CLOEXEC) != 0) return "no pipe";
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (const std::string& w : words) argv.push_back(const_cast<char*>(w.c_str()));
  argv.push_back(nullptr);
  const pid_t pid = fork();
  if (pid == 0) {
    dup2(ends[1], STDOUT_FILENO);
    dup2(ends[1], STDERR_FILENO);
    alarm(kCheckWithin);
    execv(argv[0], argv.data());
    _exit(127);
  }
  close(ends[1]);
  std::string text;
  char piece[4096];
  for (ssize_t got = 0; pid > 0 && (got = read(ends[0], piece, sizeof piece)) > 0;) {
    if (text.size() < kMostOutput) text.append(piece, static_cast<std::size_t>(got));
  }
  close(ends[0]);
  int status = 0;
  if (pid > 0 && waitpid(pid, &status, 0) == pid && WIFEXITED(status)) *code = WEXITSTATUS(status);
  return text;
}

class KeeperProcess;

struct Child {
  KeeperProcess* keeper = nullptr;
  int number = 0;
  uv_process_t process{};
  bool spawned = false;  // by this keeper; else it was taken over from an earlier one
  KeptProcess kept;
  bool ready = false, looking = false;
  Time looked_at = 0;
};

class KeeperProcess : public Front {
 public:
  explicit KeeperProcess(const KeeperOptions& o)
      : options_(o),
        buffers_(std::size_t{8} << 20),
        deadlines_(Init(&loop_)),
        run_{&loop_, &deadlines_, &buffers_},
        down_(&run_, this, Options(o)) {
    mkdir(o.directory.c_str(), 0700);
    mkdir((o.directory + "/tmp").c_str(), 0700);
    lock_ = open((o.directory + "/keeper.lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    struct flock whole {};
    whole.l_type = F_WRLCK;
    if (lock_ < 0 || fcntl(lock_, F_OFD_SETLK, &whole) != 0)
      throw std::runtime_error("another keeper has " + o.directory +
                               ", or it can't be written: " + std::strerror(errno));
    KeeperMemory memory;
    const std::string path = MemoryPath();
    if (access(path.c_str(), F_OK) == 0) {
      auto read = DecodeMemory(ReadWholeFile(path));
      if (!read)
        throw std::runtime_error(path +
                                 " is not a keeper's memory of this version; move it away to start afresh");
      memory = std::move(*read);
    } else {
      if (o.release.program.empty()) throw std::runtime_error("the first start needs --program and --config");
      memory.in_force = memory.last_good = o.release;
    }
    model_ = std::make_unique<Keeper>(o.node, o.zone, o.limits, std::move(memory));
  }

  void Run() {
    Log(Level::kInfo, "listening-keeper", {{"addr", down_.Listen()}, {"node", options_.node}});
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR2}) Watch(number);
    const KeeperMemory& m = model_->memory();
    EndStrangers(m);
    const bool current = Adopt(1, m.current), next = Adopt(2, m.next), old = Adopt(3, m.old);
    std::vector<KeeperAct> acts;
    model_->Begin(Now(), current, next, old, acts);
    Do(acts);
    Tick();
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
    close(lock_);
    Log(Level::kInfo, "stopped");
  }

  void OnRequest(Handle connection, HttpRequest request) override {
    down_.CloseAfter(connection);
    const std::string_view path = request.Path();
    if (path == "/keeper" && request.method == "GET") return Answer(connection, 200, EncodeStatus(Status()));
    if (path == "/keeper/command" && request.method == "POST") {
      const auto command = DecodeCommand(request.body.Text());
      if (!command) return Answer(connection, 400, "{\"why\":\"not a command\"}");
      Command c = *command;
      std::string wrong;
      if (c.what == Command::What::kChange) wrong = Fill(c.release);
      std::vector<KeeperAct> acts;
      Reply reply;
      const std::uint64_t epoch = model_->memory().epoch;
      if (wrong.empty()) {
        reply = model_->Take(Now(), c, acts);
      } else {
        reply.why = wrong;
      }
      // What was taken is on disk before anybody hears yes.
      Do(acts);
      if (c.what != Command::What::kClaim || !reply.yes)
        Log(reply.yes ? Level::kInfo : Level::kWarn, "keeper-command",
            {{"what", static_cast<int>(c.what)},
             {"epoch", c.epoch},
             {"release", c.release.id},
             {"mark", c.mark},
             {"yes", reply.yes},
             {"why", reply.why}});
      reply.status = Status();
      if (reply.yes && model_->memory().epoch > epoch)
        reply.status.history.assign(past_.begin(), past_.end());
      return Answer(connection, reply.yes ? 200 : 409, EncodeReply(reply));
    }
    if (path == "/keeper/check" && request.method == "POST") return Check(connection, request.body.Text());
    Answer(connection, 404, "{\"why\":\"path\"}");
  }
  void OnClientDisconnected(Handle) override {}
  void OnBackpressure(Handle, bool) override {}

 private:
  static Downstream::Options Options(const KeeperOptions& o) {
    Downstream::Options d;
    d.listen = o.control;
    d.max_connections = kSockets;
    d.max_body = std::size_t{512} * 1024;
    return d;
  }
  static uv_loop_t* Init(uv_loop_t* loop) {
    uv_loop_init(loop);
    return loop;
  }
  std::string MemoryPath() const { return options_.directory + "/keeper.json"; }

  void Answer(Handle connection, int status, const std::string& body) {
    down_.Reply(connection, status, "Content-Type: application/json\r\n", body);
  }

  KeeperStatus Status() const {
    KeeperStatus s = model_->Status();
    s.figures = figures_;
    s.now = Now();
    return s;
  }

  // A file is read again only where it is another one, or was written to, since.
  std::string SumNow(const std::string& path) {
    struct stat st {};
    if (stat(path.c_str(), &st) != 0) throw std::runtime_error("cannot read " + path);
    const std::array<std::int64_t, 5> mark{static_cast<std::int64_t>(st.st_dev),
                                           static_cast<std::int64_t>(st.st_ino), st.st_size,
                                           st.st_mtim.tv_sec, st.st_mtim.tv_nsec};
    auto& known = sums_[path];
    if (known.second.empty() || known.first != mark) known = {mark, SumOf(path)};
    return known.second;
  }

  // What the command left open is as it is here; sums it does not give are taken now, so that every start of
  // the release is of these very files. Empty: good.
  std::string Fill(Release& r) {
    const Release& good = model_->memory().last_good;
    if (r.program.empty()) r.program = good.program;
    if (r.config.empty()) r.config = good.config;
    try {
      const auto sum = [this](const std::string& path, std::string& into) {
        if (path.empty()) return;
        const std::string now = SumNow(path);
        if (into.empty()) into = now;
        if (into != now) throw std::runtime_error(path + " is another file than the plan's");
      };
      sum(r.program, r.program_sum), sum(r.config, r.config_sum), sum(r.settings, r.settings_sum);
    } catch (const std::runtime_error& e) {
      return std::string("unreadable: ") + e.what();
    }
    return "";
  }

  // A keeper that died between starting a process and noting it leaves one that nobody knows; it is found by
  // the lease that it keeps in the node's $TMPDIR, and it is ours: nobody else writes there.
  void EndStrangers(const KeeperMemory& m) {
    for (const auto& entry : std::filesystem::directory_iterator(options_.directory + "/tmp")) {
      if (entry.path().filename().string().find("-lease-") == std::string::npos) continue;
      const auto lease = hot_restart::DecodeLease(ReadFileIfPresent(entry.path().string()));
      if (!lease) continue;
      const bool known = lease->pid == m.current.pid || lease->pid == m.next.pid || lease->pid == m.old.pid;
      const std::string command = ReadFileIfPresent("/proc/" + std::to_string(lease->pid) + "/cmdline");
      if (known || command.find(std::string("\0serve\0", 7)) == std::string::npos ||
          command.find(m.in_force.config) == std::string::npos)
        continue;
      Log(Level::kWarn, "keeper-ends-stranger", {{"pid", lease->pid}});
      kill(static_cast<pid_t>(lease->pid), SIGKILL);
    }
  }

  bool Adopt(int number, const KeptProcess& kept) {
    if (kept.pid <= 0 || TicksOf(kept.pid) != kept.ticks || kept.ticks == 0) return false;
    auto child = std::make_unique<Child>();
    child->keeper = this;
    child->number = number;
    child->kept = kept;
    Log(Level::kInfo, "keeper-adopts", {{"pid", kept.pid}, {"place", number}});
    children_[number] = std::move(child);
    return true;
  }

  void Do(const std::vector<KeeperAct>& acts) {
    for (const KeeperAct& act : acts) {
      switch (act.what) {
        case KeeperAct::What::kSave: {
          const FileError fault = ReplaceFile(MemoryPath(), EncodeMemory(model_->memory()), 0600);
          if (fault.error != 0)
            Log(Level::kError, "keeper-memory-not-written",
                {{"step", fault.what}, {"why", std::strerror(fault.error)}});
          break;
        }
        case KeeperAct::What::kStart:
          Spawn(act.process, act.release);
          break;
        case KeeperAct::What::kTerm:
          Signal(act.process, SIGTERM);
          break;
        case KeeperAct::What::kKill:
          Signal(act.process, SIGKILL);
          break;
      }
    }
  }

  void Signal(int number, int signal) {
    const auto at = children_.find(number);
    if (at == children_.end()) return;
    Log(Level::kInfo, "keeper-signals", {{"pid", at->second->kept.pid}, {"signal", signal}});
    kill(static_cast<pid_t>(at->second->kept.pid), signal);
  }

  // An end that is told to the model a turn later: it may be in the middle of its own step.
  void Later(int number, const std::string& why) {
    deadlines_.Set(Now(), [this, number, why] {
      std::vector<KeeperAct> acts;
      model_->Ended(Now(), number, why, acts);
      Do(acts);
    });
  }

  void Spawn(int number, const Release& release) {
    auto child = std::make_unique<Child>();
    child->keeper = this;
    child->number = number;
    child->spawned = true;
    try {
      Release now = release;
      const std::string wrong = Fill(now);
      if (!wrong.empty()) throw std::runtime_error(wrong);
      child->kept.management = FreeManagement();
      std::vector<std::string> words = {now.program, "serve", "--config", now.config};
      if (!now.settings.empty()) words.insert(words.end(), {"--settings", now.settings});
      std::vector<std::string> environment = {"EDGE_MANAGEMENT=" + child->kept.management,
                                              "TMPDIR=" + options_.directory + "/tmp"};
      for (char** e = environ; *e != nullptr; ++e) {
        const std::string_view v = *e;
        if (!v.starts_with("EDGE_MANAGEMENT=") && !v.starts_with("TMPDIR=")) environment.emplace_back(v);
      }
      std::vector<char*> argv, env;
      for (std::string& w : words) argv.push_back(w.data());
      for (std::string& e : environment) env.push_back(e.data());
      argv.push_back(nullptr), env.push_back(nullptr);
      const std::string log = options_.directory + "/node.log";
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      if (fd < 0) throw std::runtime_error("cannot write " + log);
      uv_stdio_container_t stdio[3];
      stdio[0].flags = UV_IGNORE;
      stdio[1].flags = stdio[2].flags = UV_INHERIT_FD;
      stdio[1].data.fd = stdio[2].data.fd = fd;
      uv_process_options_t o{};
      o.file = argv[0];
      o.args = argv.data();
      o.env = env.data();
      o.flags = UV_PROCESS_DETACHED;  // the node outlives its keeper
      o.stdio = stdio;
      o.stdio_count = 3;
      o.exit_cb = [](uv_process_t* p, std::int64_t status, int signal) {
        Child* c = static_cast<Child*>(p->data);
        c->keeper->Exited(c, status, signal);
      };
      child->process.data = child.get();
      const int error = uv_spawn(&loop_, &child->process, &o);
      close(fd);
      if (error != 0) {
        Child* failed = child.release();  // the handle closes later
        uv_close(reinterpret_cast<uv_handle_t*>(&failed->process),
                 [](uv_handle_t* h) { delete static_cast<Child*>(h->data); });
        throw std::runtime_error(now.program + ": " + uv_strerror(error));
      }
    } catch (const std::runtime_error& e) {
      Log(Level::kError, "keeper-cannot-start", {{"release", release.id}, {"why", e.what()}});
      return Later(number, e.what());
    }
    child->kept.pid = child->process.pid;
    child->kept.ticks = TicksOf(child->kept.pid);
    Log(Level::kInfo, "keeper-started",
        {{"release", release.id}, {"pid", child->kept.pid}, {"management", child->kept.management}});
    const KeptProcess kept = child->kept;
    children_[number] = std::move(child);
    // On disk at once: a keeper that follows this one must know of it.
    std::vector<KeeperAct> acts;
    model_->Started(number, kept, acts);
    Do(acts);
  }

  void Exited(Child* child, std::int64_t status, int signal) {
    const int number = child->number;
    const std::string why =
        signal != 0 ? "signal " + std::to_string(signal) : "exit " + std::to_string(status);
    Log(Level::kInfo, "keeper-process-ended", {{"pid", child->kept.pid}, {"why", why}});
    const auto at = children_.find(number);
    if (at != children_.end()) {
      Child* gone = at->second.release();
      children_.erase(at);
      Bury(gone);
    }
    std::vector<KeeperAct> acts;
    model_->Ended(Now(), number, why, acts);
    Do(acts);
    MaybeEnd();
  }

  // Its job may still look at it.
  void Bury(Child* child) {
    child->keeper = nullptr;
    if (!child->looking) Close(child);
  }
  static void Close(Child* child) {
    if (!child->spawned) {
      delete child;
      return;
    }
    uv_close(reinterpret_cast<uv_handle_t*>(&child->process),
             [](uv_handle_t* h) { delete static_cast<Child*>(h->data); });
  }

  void Tick() {
    std::vector<KeeperAct> acts;
    const Time now = Now();
    std::vector<Child*> gone;
    for (auto& [number, child] : children_) {
      if (!child->spawned && TicksOf(child->kept.pid) != child->kept.ticks) gone.push_back(child.get());
      if (!child->looking && (!child->ready || now - child->looked_at >= kLookEvery)) Look(child.get());
    }
    for (Child* c : gone) Exited(c, 0, 0);
    model_->Tick(now, acts);
    Do(acts);
    if (!closed_) tick_ = deadlines_.Set(now + kTick, [this] { Tick(); });
  }

  struct Job {
    uv_work_t work{};
    Child* child = nullptr;
    std::string management;
    bool want_ready = false, ready = false;
    std::optional<Figures> figures;
  };

  void Look(Child* child) {
    auto* job = new Job;
    job->work.data = job;
    job->child = child;
    job->management = child->kept.management;
    job->want_ready = !child->ready;
    child->looking = true;
    child->looked_at = Now();
    uv_queue_work(
        &loop_, &job->work,
        [](uv_work_t* w) {
          Job* j = static_cast<Job*>(w->data);
          try {
            if (j->want_ready) {
              j->ready =
                  BlockingHttpCall("the node at", j->management, "GET", "/control/ready", "", kLookWithin)
                      .status == 200;
            } else {
              const HttpResponse a =
                  BlockingHttpCall("the node at", j->management, "GET", "/control/figures", "", kLookWithin);
              if (a.status == 200) j->figures = DecodeFigures(a.body);
            }
          } catch (const std::runtime_error&) {
          }
        },
        [](uv_work_t* w, int) {
          const std::unique_ptr<Job> j(static_cast<Job*>(w->data));
          Child* seen = j->child;
          seen->looking = false;
          KeeperProcess* keeper = seen->keeper;
          if (keeper == nullptr) {
            Close(seen);
            return;
          }
          keeper->Looked(seen, *j);
        });
  }

  void Looked(Child* child, const Job& job) {
    if (job.ready && !child->ready) {
      child->ready = true;
      Log(Level::kInfo, "keeper-ready", {{"pid", child->kept.pid}});
      std::vector<KeeperAct> acts;
      model_->Ready(Now(), child->number, acts);
      Do(acts);
    }
    if (child->number != model_->current()) return;
    // Figures that don't come, or that are another process's, are not those of before.
    if (job.figures && job.figures->pid == child->kept.pid) {
      figures_ = job.figures;
      if (past_.empty() || figures_->at - past_.back().figures.at >= kPastEvery)
        past_.push_back({model_->memory().in_force.id, *figures_});
      if (past_.size() > kMostPast) past_.pop_front();
    } else if (!job.want_ready) {
      figures_.reset();
    }
  }

  struct CheckJob {
    int work_code = 0;
    uv_work_t work{};
    KeeperProcess* keeper = nullptr;
    Handle connection = 0;
    Release release, in_force;
    std::string answer;
  };

  // The release's own program reads its settings, and both programs say what they speak. Nothing of the node
  // changes.
  void Check(Handle connection, const std::string& body) {
    auto release = DecodeRelease(body);
    if (!release) return Answer(connection, 400, "{\"why\":\"not a release\"}");
    auto* job = new CheckJob;
    job->work.data = job;
    job->keeper = this;
    job->connection = connection;
    job->release = std::move(*release);
    job->in_force = model_->memory().in_force;
    const std::string wrong = Fill(job->release);
    if (!wrong.empty()) {
      delete job;
      return Answer(connection, 200, nlohmann::json{{"good", false}, {"why", wrong}}.dump());
    }
    uv_queue_work(
        &loop_, &job->work,
        [](uv_work_t* w) {
          CheckJob* j = static_cast<CheckJob*>(w->data);
          int code = 0;
          std::vector<std::string> words = {j->release.program, "check-config", "--config",
                                            j->release.config};
          if (!j->release.settings.empty()) words.insert(words.end(), {"--settings", j->release.settings});
          const std::string said = Output(words, &code);
          const std::string before = Output({j->in_force.program, "version", "--compat"}, &j->work_code);
          const std::string after = Output({j->release.program, "version", "--compat"}, &j->work_code);
          const std::string apart = CannotStandBeside(before, after);
          j->answer = nlohmann::json{{"good", code == 0 && apart.empty()},
                                     {"why", code != 0 ? "check-config: " + said : apart},
                                     {"said", said},
                                     {"in_force", j->in_force.id}}
                          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        },
        [](uv_work_t* w, int) {
          const std::unique_ptr<CheckJob> j(static_cast<CheckJob*>(w->data));
          j->keeper->Answer(j->connection, 200, j->answer);
        });
  }

  void Watch(int number) {
    auto signal = std::make_unique<uv_signal_t>();
    uv_signal_init(&loop_, signal.get());
    signal->data = this;
    uv_signal_start(
        signal.get(),
        [](uv_signal_t* s, int which) {
          auto* keeper = static_cast<KeeperProcess*>(s->data);
          if (which == SIGHUP || which == SIGUSR2) {
            keeper->Signal(keeper->model_->current(), which);  // they are the node's
            return;
          }
          std::vector<KeeperAct> acts;
          keeper->model_->End(Now(), acts);
          keeper->Do(acts);
          keeper->MaybeEnd();
        },
        number);
    signals_.push_back(std::move(signal));
  }

  void MaybeEnd() {
    if (!model_->ended() || closed_) return;
    closed_ = true;
    deadlines_.Cancel(tick_);
    down_.Close();
    deadlines_.Close();
    for (const auto& s : signals_) uv_close(reinterpret_cast<uv_handle_t*>(s.get()), nullptr);
  }

  KeeperOptions options_;
  uv_loop_t loop_{};
  BufferPool buffers_;
  Deadlines deadlines_;
  Runtime run_;
  Downstream down_;
  int lock_ = -1;
  std::unique_ptr<Keeper> model_;
  std::map<int, std::unique_ptr<Child>> children_;
  std::map<std::string, std::pair<std::array<std::int64_t, 5>, std::string>> sums_;  // of files, as they were
  std::optional<Figures> figures_;
  std::deque<Past> past_;
  std::vector<std::unique_ptr<uv_signal_t>> signals_;
  DeadlineId tick_;
  bool closed_ = false;
};

}  // namespace

std::string SumOf(const std::string& path) {
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) throw std::runtime_error("cannot read " + path);
  XXH3_state_t* state = XXH3_createState();
  XXH3_64bits_reset(state);
  std::vector<char> piece(std::size_t{1} << 20);
  ssize_t n = 0;
  while ((n = read(fd, piece.data(), piece.size())) > 0)
    XXH3_64bits_update(state, piece.data(), static_cast<std::size_t>(n));
  close(fd);
  const auto sum = static_cast<unsigned long long>(XXH3_64bits_digest(state));
  XXH3_freeState(state);
  if (n < 0) throw std::runtime_error("cannot read " + path);
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", sum);
  return out;
}

void Keep(const KeeperOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  SetUpLog({});
  KeeperProcess(options).Run();
}

}  // namespace ryeglade::rollout
