#include "app/node.h"

#include <uv.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "admin/admin_front.h"
#include "app/cluster_service.h"
#include "app/config_reload.h"
#include "app/disabled_replicas.h"
#include "app/node_report.h"
#include "app/openai_service.h"
#include "app/shared_paths.h"
#include "app/shutdown_sequence.h"
#include "app/signal_watcher.h"
#include "app/socket_budget.h"
#include "base/blocked_signals.h"
#include "base/buffer_pool.h"
#include "base/deadlines.h"
#include "base/log.h"
#include "core/core.h"
#include "core/decisions.h"
#include "core/discovery.h"
#include "core/streams.h"
#include "core/upstream.h"
#include "dialects/openai/openai_dialect.h"
#include "dialects/platform/platform_dialect.h"
#include "fronts/platform/platform_front.h"
#include "hot_restart/hot_restart.h"
#include "http/downstream.h"
#include "settings/toml_reader.h"
#include "timeline/flight_recorder.h"

namespace ryeglade {
namespace {

// How long, in microseconds, a new process waits for its first endpoint list from discovery.
constexpr Time kFirstListTimeout = 2'500'000;
constexpr std::size_t kMaxAdminRequest = 4096;  // bytes

// What is read from files before the event loop is set up, so that a file that can't be used is reported
// before any socket is open.
struct LoadedFiles {
  std::unique_ptr<Dialect> dialect;  // with the upstream key, if the settings name a key file
  keys::Keyring keys;                // empty if the settings name no key file
};

// Returns the limit of the buffer pool. The other half of the memory limit is for everything else.
std::size_t BufferBytes(const Config& config) { return config.memory_mb * 1024 * 1024 / 2; }

std::size_t SocketsOf(const Config& config) { return UsableSockets(config.sockets, config.memory_mb); }

Downstream::Options ClientListenerOptions(const Config& config, const EdgeSettings& settings) {
  Downstream::Options options;
  options.listen = config.listen;
  options.share_port = true;
  options.max_connections = ListenerSockets(TrafficSockets(SocketsOf(config)), settings);
  return options;
}

Downstream::Options AdminListenerOptions(const Config& config) {
  Downstream::Options options;
  options.listen = config.management;
  options.max_connections = AdminFront::kSockets;
  options.max_body = kMaxAdminRequest;
  options.request_timeout = AdminFront::kRequestTimeout;
  return options;
}

hot_restart::HotRestartOptions RestartOptions(const Config& config) {
  hot_restart::HotRestartOptions options;
  options.node = config.name;
  options.paths.lease = AddressFilePath("lease", config);
  options.paths.state = AddressFilePath("state", config);
  options.paths.in_flight = AddressFilePath("out", config);
  options.paths.list = AddressFilePath("list", config);
  options.sockets = SocketsOf(config);
  options.memory = BufferBytes(config);
  return options;
}

timeline::RecorderOptions FlightRecorderOptions(const TimelineSettings& settings, const std::string& node) {
  timeline::RecorderOptions options;
  options.directory = settings.directory;
  options.node = node;
  options.block_bytes = settings.block_bytes;
  options.block_interval = settings.block_interval;
  options.segment_bytes = settings.segment_bytes;
  options.total_bytes = settings.total_bytes;
  options.ring_bytes = settings.ring_bytes;
  options.dump_directory = settings.dump_directory;
  options.bytes_per_second = settings.bytes_per_second;
  options.record_reasons = settings.record_reasons;
  options.detect_anomalies = settings.detect_anomalies;
  return options;
}

// Owns the event loop and all modules on it, in the order of their dependencies.
class Node : public AdminPort, public ReplicaViewPort, public hot_restart::HotRestartPort {
 public:
  Node(const Config& config, const EdgeSettings& settings, LoadedFiles files)
      : settings_(settings),
        config_(config),
        buffers_(BufferBytes(config)),
        deadlines_(InitLoop()),
        dialect_(std::move(files.dialect)),
        core_(MakeCore()),
        streams_(&core_),
        upstream_(&core_, UpstreamSockets(TrafficSockets(SocketsOf(config)))),
        discovery_(&core_),
        decisions_(&core_),
        front_(&core_, &streams_),
        listener_(&core_, &front_, ClientListenerOptions(config, settings)),
        admin_front_(this),
        disabled_replicas_(&loop_, NodeFilePath("holds", config), config.name, &discovery_.endpoints()),
        hot_restart_(&core_, this, RestartOptions(config)),
        shutdown_(&deadlines_, &streams_, &hot_restart_, [this] { CloseAll(); }) {
    front_.SetDownstream(&listener_);
    shutdown_.AddListener(&listener_);
    if (!config.management.empty()) {
      admin_listener_ = std::make_unique<Downstream>(&core_, &admin_front_, AdminListenerOptions(config));
      admin_front_.Use(admin_listener_.get());
    }
    if (settings_.openai.enabled) {
      openai_ =
          std::make_unique<OpenAiService>(&core_, &streams_, &settings_.openai, std::move(files.keys),
                                          ListenerSockets(TrafficSockets(SocketsOf(config)), settings_));
      shutdown_.AddListener(&openai_->listener());
    }
    if (settings_.timeline.enabled()) AddFlightRecorder();
    if (settings_.membership.enabled()) {
      cluster_ = std::make_unique<ClusterService>(&core_, settings_, &decisions_, flight_recorder_.get(),
                                                  this, NodeFilePath("tier", config));
    }
  }

  // Returns after a graceful shutdown; throws std::runtime_error if the node can't start.
  void Run() {
    WatchSignals();
    try {
      if (admin_listener_ != nullptr) {
        Log(Level::kInfo, "listening-admin", {{"addr", admin_listener_->Listen()}});
      }
      if (cluster_ != nullptr) cluster_->StartStatus();
    } catch (const std::runtime_error& e) {
      FailStart(e.what());
    }
    if (start_error_.empty()) {
      disabled_replicas_.Watch();
      hot_restart_.Start();
    }
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
    if (!start_error_.empty()) throw std::runtime_error(start_error_);
    if (openai_ != nullptr) openai_->WriteLedgerNow();
    if (flight_recorder_ != nullptr) CloseFlightRecorder();
    Log(Level::kInfo, "stopped", {{"after_ms", shutdown_.elapsed() / 1000}});
  }

  // ---- HotRestartPort: hot_restart/hot_restart_policy.h decides when each is called ----

  void StartServing() override {
    if (accepts_clients_ || start_began_ || !start_error_.empty()) return;
    start_began_ = true;
    if (state_restored_) {
      WatchEndpoints();
      return AcceptClients();
    }
    discovery_.LoadCachedList(config_.known_endpoints);
    try {
      listener_.CheckListen();  // so that an address that can't be used is reported immediately
    } catch (const std::runtime_error& e) {
      return FailStart(e.what());
    }
    // The configured list may be outdated, but the node is expected to know a pushed list as soon as it
    // serves. So it accepts clients only after discovery has sent its list, was found unreachable, or has not
    // answered within the timeout.
    discovery_.OnFirstResult([this] { deadlines_.Set(Now(), [this] { AcceptClients(); }); });
    deadlines_.Set(Now() + kFirstListTimeout, [this] { AcceptClients(); });
    WatchEndpoints();
  }

  void RestoreState(hot_restart::HandoverState state) override {
    // Generations can be compared only among lists of one discovery service. The other process may have been
    // disconnected from it for some time, so the newer of the two lists is used.
    const std::string& configured = config_.known_endpoints;
    const bool same_discovery = state.discovery == discovery_.address();
    const bool use_restored =
        same_discovery && !state.roster.empty() && GenerationOf(state.roster) >= GenerationOf(configured);
    state_restored_ = true;
    front_.AddUsedCallIds(state.call_ids);
    discovery_.LoadCachedList(use_restored ? state.roster : configured);
    hot_restart::DropMismatchedClasses(ClassNames(config_.settings), &state);
    decisions_.Post(
        policy::StateRestored{std::make_shared<const policy::LearnedState>(std::move(state.learned))});
  }

  void SetSiblingInFlight(hot_restart::InFlightCounts counts) override {
    if (counts.empty() && !sibling_has_in_flight_) return;
    sibling_has_in_flight_ = !counts.empty();
    decisions_.Post(policy::SiblingInFlightChanged{std::move(counts)});
  }

  hot_restart::HandoverState ExportState() override {
    hot_restart::HandoverState state;
    state.node = config_.name;
    state.program = RYEGLADE_VERSION;
    state.discovery = discovery_.address();
    state.roster = discovery_.endpoints().Encode();
    state.classes = ClassNames(config_.settings);
    state.call_ids = front_.CallIds();
    state.learned = decisions_.router().ExportState();
    return state;
  }

  hot_restart::InFlightCounts CountInFlight() override {
    hot_restart::InFlightCounts counts;
    for (const policy::ReplicaId id : discovery_.endpoints().listed()) {
      const int in_flight = decisions_.router().in_flight(id);
      if (in_flight > 0) counts.emplace_back(id, in_flight);
    }
    return counts;
  }

  std::uint64_t ListGeneration() const override { return discovery_.endpoints().generation(); }

  std::string ExportList() const override { return discovery_.endpoints().Encode(); }

  void AdoptSiblingList(const std::string& list) override { discovery_.AdoptList(list); }

  void HandOverClients() override {
    listener_.HandOver();
    if (openai_ != nullptr) openai_->listener().HandOver();
  }

  void ResumeClients() override {
    try {
      listener_.Resume();
      if (openai_ != nullptr) openai_->listener().Resume();
    } catch (const std::runtime_error& e) {
      Log(Level::kError, "resume-failed", {{"why", e.what()}});
    }
  }

  std::size_t UsedSockets() const override {
    // After a hand-over, each waiting client may still need an upstream connection.
    const std::size_t upstream =
        hot_restart_.handed_over() ? std::max(upstream_.size(), connections()) : upstream_.size();
    return connections() + upstream + ReservedSockets();
  }

  std::size_t UsedMemory() const override { return buffers_.used_bytes(); }

  void SetLimits(std::size_t sockets, std::size_t memory) override {
    const std::size_t traffic = TrafficSockets(sockets);
    const std::size_t upstream =
        hot_restart_.handed_over() ? traffic - std::min(traffic, connections()) : UpstreamSockets(traffic);
    upstream_.SetMaxConnections(upstream);
    listener_.SetMaxConnections(ListenerSockets(traffic, settings_));
    if (openai_ != nullptr) openai_->listener().SetMaxConnections(ListenerSockets(traffic, settings_));
    buffers_.SetMaxBytes(memory);
  }

  // ---- ReplicaViewPort ----

  void ListReplicas(std::vector<policy::ReplicaView>* all) const override {
    for (const policy::ReplicaId id : discovery_.endpoints().listed()) {
      policy::ReplicaView replica = decisions_.router().replica(id);
      if (replica.endpoint.id == id) all->push_back(replica);
    }
  }

  std::string NameOf(policy::ReplicaId id) const override { return discovery_.endpoints().NameOf(id); }

  // ---- AdminPort ----

  bool is_ready() const override { return accepts_clients_ && !listener_.draining(); }

  std::string CountersText() const override { return CountersReport(report_sources()); }

  std::string MetricsText() const override { return RolloutMetricsReport(report_sources(), UsedSockets()); }

  void DisableReplica(std::string_view instance, bool disable,
                      std::function<void(DisableResult)> done) override {
    disabled_replicas_.Call(std::string(instance), disable, std::move(done));
  }

 private:
  uv_loop_t* InitLoop() {
    uv_loop_init(&loop_);
    return &loop_;
  }

  // Only takes addresses: most of these members are constructed after `core_`.
  Core MakeCore() {
    Core core;
    core.loop = &loop_;
    core.deadlines = &deadlines_;
    core.buffers = &buffers_;
    core.config = &config_;
    core.dialect = dialect_.get();
    core.events = &decisions_;
    core.conclusions = &streams_;
    core.responses = &streams_;
    core.attempts = &upstream_;
    core.upstream_requests = &upstream_;
    core.hosts = &upstream_;
    core.discovery = &discovery_;
    core.counters = &counters_;
    core.retry_safety = &decisions_;
    return core;
  }

  void AddFlightRecorder() {
    flight_recorder_ = std::make_unique<timeline::FlightRecorder>(
        &core_, FlightRecorderOptions(settings_.timeline, config_.name));
    decisions_.AddRecorder(flight_recorder_.get());
    if (flight_recorder_->wants_reasons()) decisions_.SetObserver(flight_recorder_.get());
    core_.endpoint_observer = flight_recorder_.get();
    core_.stream_observer = flight_recorder_.get();
  }

  void CloseFlightRecorder() {
    flight_recorder_->Close();
    Log(Level::kInfo, "flight-closed",
        {{"records", flight_recorder_->records()},
         {"dropped", flight_recorder_->dropped()},
         {"coalesced", flight_recorder_->coalesced()},
         {"unusual", flight_recorder_->anomalies()},
         {"failures", flight_recorder_->failures()}});
  }

  void WatchSignals() {
    sigterm_.Start(&loop_, SIGTERM, [this] { BeginShutdown(); });
    sigint_.Start(&loop_, SIGINT, [this] { BeginShutdown(); });
    sighup_.Start(&loop_, SIGHUP, [this] { ReloadConfiguration(); });
    if (settings_.timeline.ring_bytes > 0)
      sigusr2_.Start(&loop_, SIGUSR2, [this] { flight_recorder_->Dump(); });
    UnblockSignals();
  }

  void WatchEndpoints() {
    if (!config_.settings.poll_endpoints) discovery_.KeepWatching();
  }

  void AcceptClients() {
    if (accepts_clients_ || !start_error_.empty() || shutdown_.began()) return;
    try {
      const std::string address = listener_.Listen();
      if (openai_ != nullptr) openai_->Start();
      if (cluster_ != nullptr) cluster_->Start();
      accepts_clients_ = true;
      Log(Level::kInfo, "listening", {{"addr", address}, {"name", config_.name}});
    } catch (const std::runtime_error& e) {
      FailStart(e.what());
    }
  }

  // Makes Run throw `why`. The handles must be closed first, so that the loop can end.
  void FailStart(const std::string& why) {
    start_error_ = why;
    CloseAll();
  }

  void ReloadConfiguration() {
    try {
      const ConfigUpdate update = LoadConfigUpdate(config_, settings_.source_file);
      std::optional<keys::Keyring> keys;
      if (openai_ != nullptr) keys = openai_->front().LoadKeys();
      // Nothing is applied before all files have been read, and nothing fails from here on.
      Log(Level::kInfo, "reloaded",
          {{"file", config_.source_file},
           {"discovery", update.loaded.discovery},
           {"settings", update.settings_changed}});
      if (!update.needs_restart.empty()) {
        Log(Level::kWarn, "reload-needs-restart", {{"what", update.needs_restart}});
      }
      config_.shape = update.loaded.shape;
      config_.discovery = update.loaded.discovery;
      discovery_.SwitchAddress(update.loaded.discovery);
      if (update.settings_changed) UpdateSettings(update);
      if (keys) openai_->front().UseKeys(std::move(*keys));
      ++counters_.reloads_applied;
    } catch (const std::exception& e) {
      ++counters_.reloads_failed;
      Log(Level::kError, "reload-failed",
          {{"file", config_.source_file},
           {"why", e.what()},
           {"remedy", "correct the file and send SIGHUP again; no change was applied"}});
    }
  }

  void UpdateSettings(const ConfigUpdate& update) {
    ApplySettings(update, &config_);
    decisions_.UpdateClasses(config_.settings.classes, config_.settings.max_attempts);
    shutdown_.UpdateClasses(ClassesInForce(config_));
    Log(Level::kInfo, "classes-updated",
        {{"classes", config_.active_classes.size()},
         {"versions", config_.settings.classes.size()},
         {"attempts", config_.settings.max_attempts}});
  }

  void BeginShutdown() {
    if (shutdown_.began()) {
      Log(Level::kInfo, "draining-already", {{"for_ms", shutdown_.elapsed() / 1000}});
      return;
    }
    const Time began_at = Now();
    if (cluster_ != nullptr) cluster_->Leave();  // so that the other nodes know before the listener closes
    hot_restart_.Terminate();
    if (openai_ != nullptr) openai_->BeginShutdown();
    shutdown_.Begin(began_at, ClassesInForce(config_));
  }

  // Closes all handles of the loop, so that it ends.
  void CloseAll() {
    if (cluster_ != nullptr) cluster_->Close();
    disabled_replicas_.Close();
    hot_restart_.Close();
    listener_.Close();
    if (admin_listener_ != nullptr) admin_listener_->Close();
    if (openai_ != nullptr) openai_->listener().Close();
    upstream_.Close();
    discovery_.Close();
    deadlines_.Close();
    for (SignalWatcher* watcher : {&sigterm_, &sigint_, &sighup_, &sigusr2_}) watcher->Close();
  }

  // The number of client connections at all listeners.
  std::size_t connections() const {
    return listener_.size() + (openai_ != nullptr ? openai_->listener().size() : 0);
  }

  ReportSources report_sources() const {
    return {.config = config_,
            .counters = counters_,
            .streams = streams_,
            .discovery = discovery_,
            .decisions = decisions_,
            .memory = buffers_,
            .listener = listener_};
  }

  EdgeSettings settings_;
  Config config_;  // in force; changed by SIGHUP
  NodeCounters counters_;
  bool start_began_ = false;      // StartServing has been called
  bool accepts_clients_ = false;  // the listeners have been opened; stays true during a shutdown
  uv_loop_t loop_{};
  BufferPool buffers_;
  Deadlines deadlines_;
  std::unique_ptr<Dialect> dialect_;
  Core core_;
  Streams streams_;
  Upstream upstream_;
  Discovery discovery_;
  Decisions decisions_;
  PlatformFront front_;
  Downstream listener_;
  AdminFront admin_front_;
  std::unique_ptr<Downstream> admin_listener_;  // null if the configuration names no management address
  SharedDisabledReplicas disabled_replicas_;
  hot_restart::HotRestart hot_restart_;
  ShutdownSequence shutdown_;
  std::string start_error_;             // why the node can't start; empty if no error has occurred
  bool state_restored_ = false;         // from a sibling process
  bool sibling_has_in_flight_ = false;  // as last reported
  // Each is null if the settings do not enable it.
  std::unique_ptr<OpenAiService> openai_;
  std::unique_ptr<timeline::FlightRecorder> flight_recorder_;
  std::unique_ptr<ClusterService> cluster_;
  SignalWatcher sigterm_, sigint_, sighup_, sigusr2_;
};

std::unique_ptr<Dialect> MakeDialect(const Config& config, const EdgeSettings& settings) {
  if (settings.upstream_dialect != "openai") {
    return std::make_unique<PlatformDialect>(!config.settings.load_fields.empty());
  }
  std::string key;
  if (!settings.upstream_key_file.empty()) {
    key = ReadWholeFile(settings.upstream_key_file);
    key = key.substr(0, key.find_first_of("\r\n"));  // the first line
  }
  return std::make_unique<OpenAiDialect>(std::move(key));
}

LogOptions MakeLogOptions(const EdgeSettings& settings) {
  LogOptions options;
  options.json = settings.log_format == "json";
  options.lines_per_second = settings.log_lines_per_second;
  constexpr std::array<std::pair<const char*, Level>, 4> kLevels = {
      {{"debug", Level::kDebug}, {"info", Level::kInfo}, {"warn", Level::kWarn}, {"error", Level::kError}}};
  for (const auto& [name, level] : kLevels) {
    if (settings.log_level == name) options.level = level;
  }
  return options;
}

// Membership messages contain the node's name: at most 64 characters, none of them a space or control
// character.
void CheckNameForMembership(const std::string& name) {
  const bool valid = name.size() <= 64 &&
                     std::all_of(name.begin(), name.end(), [](char c) { return c > 0x20 && c != 0x7f; });
  if (valid) return;
  throw ConfigError(
      "name: \"" + name +
      "\" can't be used with [membership]; give a word of at most 64 characters without spaces");
}

}  // namespace

void Serve(const Config& config, const EdgeSettings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  SetUpLog(MakeLogOptions(settings));
  if (settings.membership.enabled()) CheckNameForMembership(config.name);
  LoadedFiles files;
  files.dialect = MakeDialect(config, settings);
  if (!settings.openai.keys_file.empty()) files.keys = keys::Keyring::Load(settings.openai.keys_file);
  Node(config, settings, std::move(files)).Run();
}

}  // namespace ryeglade
