#include "lab/rollout/local_tier.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/file_io.h"
#include "http/blocking_client.h"
#include "lab/node_process.h"

namespace ryeglade::rollout_lab {
namespace {

constexpr int kReplyTimeoutMs = 1000;   // of a supervisor or a status address
constexpr Time kPollInterval = 20'000;  // at which Until checks its condition
constexpr Time kStartTimeout = 30'000'000;
constexpr Time kClientTimeout = 15'000'000;  // after which a client gives up a request
constexpr int kReplicas = 3;

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error("cannot write " + path);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, const std::string& log) : log_(log) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork a process for " + arguments.front());
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGTERM);  // a supervisor that receives it ends its node as well
    for (const char* variable :
         {"EDGE_CONFIG", "EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_MANAGEMENT"})
      unsetenv(variable);
    const int fd = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (fd >= 0) dup2(fd, STDERR_FILENO), dup2(fd, STDOUT_FILENO);
    execv(argv[0], argv.data());
    _exit(127);
  }
}

bool ChildProcess::IsRunning() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, &status_, WNOHANG) != pid_) return true;
  pid_ = -1;
  return false;
}

void ChildProcess::Signal(int number) const {
  if (pid_ > 0) kill(pid_, number);
}

int ChildProcess::Wait(Time timeout, const std::function<void()>& poll) {
  const Time end = Now() + timeout;
  while (IsRunning() && Now() < end) poll();
  if (pid_ > 0) return -1;
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : 128 + WTERMSIG(status_);
}

std::string ChildProcess::Log() const { return ReadFileIfPresent(log_); }

ChildProcess::~ChildProcess() {
  if (pid_ <= 0) return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGTERM);
  for (int i = 0; i < 1000 && IsRunning(); ++i) usleep(20'000);
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
  }
}

uv_loop_t* LocalTier::Init(uv_loop_t* loop) {
  uv_loop_init(loop);
  return loop;
}

LocalTier::LocalTier(const LocalTierOptions& options)
    : options_(options),
      buffers_(std::size_t{256} << 20),
      deadlines_(Init(&loop_)),
      runtime_{&loop_, &deadlines_, &buffers_},
      discovery_(&runtime_),
      nodes_(options.nodes),
      cut_links_(options.nodes, {false, false}) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string name = std::filesystem::temp_directory_path().string() + "/ryeglade-rollout-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create the directory " + name);
  root_ = name;
  for (int i = 0; i < kReplicas; ++i) {
    replicas_.push_back(std::make_unique<lab::FakeReplica>(
        &runtime_, &attempt_counts_, lab::FakeReplicaOptions{.dialect = lab::ReplicaDialect::kPlatform}));
    discovery_.Set(fmt::format("stand-in-{}", i), replicas_.back()->Listen());
  }
  const std::string discovery = discovery_.Listen();
  // The driver is number 0 of the network, the supervisor of node i is number i + 1.
  const auto pid = static_cast<unsigned>(getpid());
  driver_ip_ = fmt::format("127.{}.{}.250", 20 + pid % 60, pid / 60 % 250 + 1);
  std::vector<std::string> addresses{cluster::FreeAddress(driver_ip_)};
  std::vector<std::string> proxy_ips{fmt::format("127.{}.{}.250", 120 + pid % 60, pid / 60 % 250 + 1)};
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    node.ip = fmt::format("127.{}.{}.{}", 20 + pid % 60, pid / 60 % 250 + 1, i + 1);
    node.control = cluster::FreeAddress(node.ip);
    node.client = cluster::FreeAddress(node.ip);
    node.directory = fmt::format("{}/k{}", root_, i);
    node.config = fmt::format("{}/n{}.json", root_, i);
    nlohmann::json config =
        nlohmann::json::parse(lab::ConfigJson(node.client, discovery, discovery_.Text(true)));
    config["name"] = fmt::format("n{}", i);
    config["settings"]["balancers"] = nodes_.size();
    if (options_.memory_mb > 0) config["limits"]["memory_mb"] = options_.memory_mb;
    WriteFile(node.config, config.dump());
    addresses.push_back(node.control);
    proxy_ips.push_back(fmt::format("127.{}.{}.{}", 120 + pid % 60, pid / 60 % 250 + 1, i + 1));
  }
  if (options_.membership) WriteMembership();
  network_ = std::make_unique<cluster::Network>(&runtime_, options_.seed, addresses, proxy_ips,
                                                [this](std::size_t from, std::size_t to) {
                                                  cluster::LinkState state;
                                                  state.delay = delay_;
                                                  if (from == 0 && to > 0)
                                                    state.cut = cut_links_[to - 1].first;
                                                  if (to == 0 && from > 0)
                                                    state.cut = cut_links_[from - 1].second;
                                                  return state;
                                                });
  for (std::size_t i = 0; i < nodes_.size(); ++i) StartSupervisor(i);
}

// Members reach each other directly, not over the links that can be cut, because the membership tests stop
// the nodes themselves.
void LocalTier::WriteMembership() {
  std::vector<std::string> listen;
  for (Node& node : nodes_) {
    listen.push_back(cluster::FreeAddress(node.ip));
    node.status = cluster::FreeAddress(node.ip);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].settings = fmt::format("{}/n{}.toml", root_, i);
    WriteFile(
        nodes_[i].settings,
        fmt::format("[membership]\nlisten = \"{}\"\ncluster = \"tier\"\nzone = \"{}\"\nseeds = [\"{}\", "
                    "\"{}\"]\nnetworks = [\"127.0.0.0/8\"]\nstatus = \"{}\"\nperiod = \"200ms\"\nexchange = "
                    "\"3s\"\nshrink_after = \"2s\"\n",
                    listen[i], i % 2 == 0 ? "a" : "b", listen.front(), listen.back(), nodes_[i].status));
  }
}

LocalTier::~LocalTier() {
  clients_.clear();
  for (Node& node : nodes_) node.supervisor.reset();
  // Nodes whose supervisors were killed still run. Their command lines name files in this tier's directory.
  try {
    for (const pid_t pid : ProcessesWith("serve")) kill(pid, SIGKILL);
  } catch (const std::exception&) {
    // A process ended while /proc was read. A node that is left over does not disturb the next tier, which
    // has a directory of its own.
  }
  network_->Close();
  for (const auto& r : replicas_) r->Close();
  discovery_.Close();
  deadlines_.Close();
  for (int i = 0; i < 200 && uv_loop_alive(&loop_) != 0; ++i) uv_run(&loop_, UV_RUN_NOWAIT);
  uv_loop_close(&loop_);
  std::error_code ignored;
  std::filesystem::remove_all(root_, ignored);
}

void LocalTier::StartSupervisor(std::size_t i) {
  Node& node = nodes_[i];
  node.supervisor.reset();
  std::vector<std::string> arguments{options_.program, "keep",
                                     "--node",         fmt::format("n{}", i),
                                     "--zone",         i % 2 == 0 ? "a" : "b",
                                     "--directory",    node.directory,
                                     "--control",      node.control,
                                     "--program",      options_.program,
                                     "--config",       node.config,
                                     "--release",      "old",
                                     "--lease",        options_.lease,
                                     "--ready-within", options_.ready_within,
                                     "--end-within",   options_.end_within};
  if (!node.settings.empty()) arguments.insert(arguments.end(), {"--settings", node.settings});
  node.supervisor = std::make_unique<ChildProcess>(arguments, fmt::format("{}/keeper-{}.log", root_, i));
}

void LocalTier::KillSupervisor(std::size_t i) {
  nodes_[i].supervisor->Signal(SIGKILL);
  nodes_[i].supervisor->Wait(5'000'000, [] { usleep(5000); });
}

bool LocalTier::Until(const std::function<bool()>& done, Time timeout) {
  const Time end = Now() + timeout;
  while (!done()) {
    if (Now() >= end) return false;
    DeadlineId wake = deadlines_.Set(Now() + kPollInterval, [] {});
    uv_run(&loop_, UV_RUN_ONCE);
    deadlines_.Cancel(wake);
  }
  return true;
}

std::optional<rollout::SupervisorStatus> LocalTier::Status(std::size_t i) const {
  try {
    return rollout::DecodeStatus(
        BlockingHttpCall("the supervisor at", nodes_[i].control, "GET", "/keeper", "", kReplyTimeoutMs).body);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string LocalTier::SupervisorLog(std::size_t i) const { return nodes_[i].supervisor->Log(); }

std::string LocalTier::ActiveRelease(std::size_t i) const {
  const auto s = Status(i);
  return s ? s->active.id : "";
}

std::size_t LocalTier::CountRunning(const std::string& release) const {
  std::size_t n = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) n += ActiveRelease(i) == release ? 1 : 0;
  return n;
}

pid_t LocalTier::NodePid(std::size_t i) const {
  const auto s = Status(i);
  return s ? static_cast<pid_t>(s->pid) : -1;
}

void LocalTier::SignalNode(std::size_t i, int number) const {
  const pid_t pid = NodePid(i);
  if (pid > 0) kill(pid, number);
}

std::optional<rollout::NodeClusterView> LocalTier::ClusterView(std::size_t i) const {
  try {
    return rollout::DecodeNodeClusterView(
        BlockingHttpCall("the status address", nodes_[i].status, "GET", "/nodes", "", kReplyTimeoutMs).body);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::size_t LocalTier::AliveMembers(std::size_t i) const {
  const auto view = ClusterView(i);
  if (!view || !view->joined || view->in_doubt || !view->settled) return 0;
  std::size_t n = 1;
  for (const auto& [name, state] : view->member_states) n += state == "alive" ? 1 : 0;
  return n;
}

bool LocalTier::InDoubt(std::size_t i) const {
  const auto view = ClusterView(i);
  return view && view->joined && view->in_doubt;
}

std::vector<pid_t> LocalTier::ProcessesWith(const std::string& argument, const std::string& file) const {
  std::vector<pid_t> all;
  for (const auto& entry : std::filesystem::directory_iterator("/proc")) {
    const std::string name = entry.path().filename().string();
    if (name.find_first_not_of("0123456789") != std::string::npos) continue;
    const std::string command = ReadFileIfPresent(entry.path().string() + "/cmdline");
    const bool has_argument =
        command.find(std::string("\0", 1) + argument + std::string("\0", 1)) != std::string::npos;
    if (has_argument && command.find(file.empty() ? root_ : file) != std::string::npos)
      all.push_back(std::stoi(name));
  }
  return all;
}

std::size_t LocalTier::CountNodeProcesses(std::size_t i) const {
  return ProcessesWith("serve", nodes_[i].config).size();
}

bool LocalTier::WaitUntilRunning() {
  return Until(
      [this] {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
          const auto s = Status(i);
          if (!s || s->phase != rollout::NodePhase::kRunning) return false;
        }
        return true;
      },
      kStartTimeout);
}

void LocalTier::StartClients() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    load::LoadPlan plan;
    plan.profile = {{options_.rate, options_.rate, options_.seconds}};
    plan.seed = options_.seed * 1000 + i;
    load::LoadTarget target;
    target.address = nodes_[i].client;
    target.openai = false;
    target.give_up = kClientTimeout;
    clients_.push_back(std::make_unique<load::LoadClient>(&runtime_, plan, target));
    clients_.back()->Start();
  }
}

void LocalTier::StopClients() {
  for (const auto& c : clients_) c->Halt();
  Until(
      [this] {
        return std::all_of(clients_.begin(), clients_.end(), [](const auto& c) { return c->done(); });
      },
      static_cast<Time>(options_.seconds * 1e6) + 20'000'000);
}

std::string LocalTier::WritePlan(const std::string& name, const std::string& release,
                                 const std::string& stages, const std::string& rest) {
  // most_passed_over is a top-level key, so it must come before the tables.
  std::string text = fmt::format("name = \"{}\"\nunreached_after = \"6s\"\n", name);
  if (rest.find("most_passed_over") != std::string::npos) text += rest.substr(0, rest.find('\n') + 1);
  text += "[release]\n" + release + "\n";
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    text += fmt::format("[[node]]\nname = \"n{}\"\nkeeper = \"{}\"\nzone = \"{}\"\n", i,
                        network_->proxy_address(i + 1), i % 2 == 0 ? "a" : "b");
  text += stages;
  if (rest.find("most_passed_over") == std::string::npos) text += rest;
  if (options_.membership) {
    text += "[membership]\nstatus = [";
    for (const Node& node : nodes_) text += fmt::format("\"{}\", ", node.status);
    text += "]\n";
  }
  std::string path = fmt::format("{}/{}.toml", root_, name);
  WriteFile(path, text);
  return path;
}

std::unique_ptr<ChildProcess> LocalTier::StartRolloutCommand(const std::string& verb, const std::string& plan,
                                                             const std::string& driver,
                                                             const std::vector<std::string>& more) {
  std::vector<std::string> arguments{options_.program, "rollout", verb,     "--plan",  plan,
                                     "--driver",       driver,    "--from", driver_ip_};
  if (verb != "plan" && verb != "pause")
    arguments.insert(arguments.end(), {"--round", "0.2", "--lease", options_.lease});
  arguments.insert(arguments.end(), more.begin(), more.end());
  return std::make_unique<ChildProcess>(arguments, fmt::format("{}/driver-{}.log", root_, driver_logs_++));
}

void LocalTier::CutLink(std::size_t i, bool to_supervisor, bool from_supervisor) {
  cut_links_[i] = {to_supervisor, from_supervisor};
}
void LocalTier::SetLinkDelay(Time one_way) { delay_ = one_way; }

LocalTier::RequestCounts LocalTier::request_counts() const {
  RequestCounts counts;
  counts.overlapping_attempts = attempt_counts_.overlapping_attempts;
  for (const auto& client : clients_) {
    for (const auto& class_tally : client->tally().classes()) {
      const auto count_of = [&](load::Outcome outcome) {
        return class_tally.outcomes[static_cast<std::size_t>(outcome)];
      };
      counts.asked += class_tally.asked;
      counts.worth += class_tally.worth, counts.worth_asked += class_tally.worth_asked;
      counts.served += count_of(load::Outcome::kServed);
      counts.refused += count_of(load::Outcome::kRefused);
      counts.unanswered += count_of(load::Outcome::kNothing) + count_of(load::Outcome::kNotSent);
      counts.other += count_of(load::Outcome::kRejected) + count_of(load::Outcome::kFailed) +
                      count_of(load::Outcome::kBroken);
    }
  }
  return counts;
}

}  // namespace ryeglade::rollout_lab
