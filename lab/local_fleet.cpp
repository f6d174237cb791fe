#include "lab/local_fleet.h"

#include <fmt/format.h>
#include <signal.h>

#include <fstream>
#include <iterator>
#include <stdexcept>

#include "keys/keyring.h"

namespace ryeglade::lab {
namespace {

constexpr Time kStartStopTimeout = 20'000'000;

uv_loop_t* Init(uv_loop_t* loop) {
  uv_loop_init(loop);
  return loop;
}

}  // namespace

LocalFleet::LocalFleet(const LocalFleetOptions& options)
    : buffers_(std::size_t{256} * 1024 * 1024),
      deadlines_(Init(&loop_)),
      runtime_{&loop_, &deadlines_, &buffers_},
      client_(&runtime_),
      discovery_(&runtime_) {
  signal(SIGPIPE, SIG_IGN);
  for (std::size_t i = 0; i < options.replicas.size(); ++i) {
    replicas_.push_back(std::make_unique<FakeReplica>(&runtime_, &attempt_counts_, options.replicas[i]));
    addresses_.push_back(replicas_.back()->Listen());
    discovery_.Set("stand-in-" + std::to_string(i), addresses_.back());
  }
  NodeFiles files;
  files.config = ConfigJson("127.0.0.1:0", discovery_.Listen(), discovery_.Text(true),
                            options.latency_objective_ms, options.deadline_ms, options.effect);
  const bool openai =
      !options.replicas.empty() && options.replicas.front().dialect == ReplicaDialect::kOpenAi;
  files.settings = fmt::format(
      "[upstream]\ndialect = \"{}\"\n\n[openai]\nlisten = \"{}\"\nmetrics_networks = [\"127.0.0.0/8\"]\n{}"
      "\n[openai.ledger]\ndirectory = \"@DIR@\"\n\n[openai.limits]\n{}\n"
      "\n[[openai.model]]\nid = \"docs-model\"\nclass = \"docs\"\n\n[[openai.model]]\nid = "
      "\"agent-model\"\nclass = \"agent\"\n"
      "{}",
      openai ? "openai" : "platform", options.openai_listen, options.key.empty() ? "" : "keys = \"@KEYS@\"\n",
      options.limits, options.extra_settings);
  if (!options.key.empty()) {
    keys::Keyring ring;
    ring.Add(keys::KeyFromText("lab", options.key));
    files.keys = ring.Text();
  }
  node_.Start(options.program, files);
  const bool ended_or_ready = Until(
      [&] {
        platform_ = LoggedAddress("listening");
        openai_ = LoggedAddress("listening-openai");
        const bool listed = node_.Log().find("event=list ") != std::string::npos;
        deadlines_.Set(Now() + 20'000, [] {});
        return !node_.IsRunning() || (!platform_.empty() && !openai_.empty() && listed);
      },
      kStartStopTimeout);
  if (!ended_or_ready || !node_.IsRunning())
    throw std::runtime_error("the node did not start or is not ready after 20 s; its log: " + node_.Log());
}

LocalFleet::~LocalFleet() {
  node_.Stop();
  for (const auto& replica : replicas_) replica->Close();
  discovery_.Close();
  deadlines_.Close();
  for (int i = 0; i < 100 && uv_loop_alive(&loop_) != 0; ++i) uv_run(&loop_, UV_RUN_NOWAIT);
  uv_loop_close(&loop_);
}

std::string LocalFleet::LoggedAddress(const std::string& event) const {
  const std::string log = node_.Log(), mark = "event=" + event + " addr=";
  const std::size_t at = log.find(mark);
  if (at == std::string::npos) return "";
  const std::size_t from = at + mark.size(), to = log.find_first_of(" \n", from);
  return to == std::string::npos ? "" : log.substr(from, to - from);
}

Reply LocalFleet::SendAndWait(const std::string& to, const std::string& request, Time timeout) {
  Reply reply;
  bool done = false;
  client_.Send(to, request, timeout, [&](const Reply& r) {
    reply = r;
    done = true;
  });
  Until([&] { return done; }, timeout + 1'000'000);
  return reply;
}

std::string LocalFleet::StopAndReadLedger() {
  node_.Signal(SIGTERM);
  Until(
      [&] {
        deadlines_.Set(Now() + 20'000, [] {});
        return !node_.IsRunning();
      },
      kStartStopTimeout);
  std::ifstream in(node_.directory() + "/ledger-lab.json", std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

}  // namespace ryeglade::lab
