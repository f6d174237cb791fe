#include "app/node.h"

#include <unistd.h>
#include <uv.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin_front.h"
#include "admin/counters.h"
#include "app/termination_policy.h"
#include "base/blocked_signals.h"
#include "base/buffer_pool.h"
#include "base/deadlines.h"
#include "base/log.h"
#include "base/state_file.h"
#include "core/core.h"
#include "core/decisions.h"
#include "core/discovery.h"
#include "core/streams.h"
#include "core/upstream.h"
#include "dialects/openai/openai_dialect.h"
#include "dialects/platform/platform_dialect.h"
#include "fronts/openai/openai_front.h"
#include "fronts/platform/platform_front.h"
#include "gossip/gossip.h"
#include "hot_restart/hot_restart.h"
#include "http/downstream.h"
#include "ledger/ledger_file.h"
#include "membership/membership.h"
#include "membership/status_front.h"
#include "rollout/metrics_model.h"
#include "settings/class_update_policy.h"
#include "settings/toml_reader.h"
#include "timeline/flight_recorder.h"

namespace ryeglade {
namespace {

// The loop's, the listeners, standard streams, the admin listener's callers, some to spare.
constexpr std::size_t kOwnSockets = 24 + AdminFront::kSockets;
constexpr Time kQuiet = 200'000;  // a last answer has this long to be read before the process ends
constexpr Time kFirstListWithin = 2'500'000;  // a new process waits so long for its first list from discovery
constexpr Time kDrainTick = 50'000;
constexpr unsigned kLookForHolds = 100;  // ms: what another process of this node is told counts here soon

// What is read from files before there is a loop, so that a file which can't be used leaves nothing open.
struct Parts {
  std::unique_ptr<Dialect> dialect;
  keys::Keyring keys;
};

class Node : public AdminPort, public ReplicaViewPort, public hot_restart::HandOverPort {
 public:
  Node(const Config& config, const EdgeSettings& settings, Parts parts)
      : settings_(settings),
        config_(config),
        buffers_(config.memory_mb * 1024 * 1024 / 2),
        deadlines_(Loop()),
        dialect_(std::move(parts.dialect)),
        core_{{&loop_, &deadlines_, &buffers_},
              &config_,
              dialect_.get(),
              &decisions_,
              &streams_,
              &streams_,
              &upstream_,
              &upstream_,
              &upstream_,
              &discovery_,
              nullptr,
              nullptr,
              &counters_,
              &decisions_},
        streams_(&core_),
        upstream_(&core_, Share(config) * 45 / 100),
        discovery_(&core_),
        decisions_(&core_),
        front_(&core_, &streams_),
        downstream_(&core_, &front_,
                    {.listen = config.listen,
                     .share_port = true,
                     .most_sockets = ClientSockets(Share(config), settings),
                     .admits = {}}),
        admin_(this),
        holds_file_(&loop_, HandOverPath("holds", config),
                    [this](const std::string& text) { TakeHolds(text, false); }),
        hand_over_(&core_, this, SharedPath("lease", config), SharedPath("state", config),
                   SharedPath("out", config), config.name, config.sockets,
                   config.memory_mb * 1024 * 1024 / 2) {
    front_.Use(&downstream_);
    if (const auto text = holds_file_.ReadNow()) TakeHolds(*text, true);
    if (!config.management.empty()) {
      Downstream::Options o;
      o.listen = config.management;
      o.most_sockets = AdminFront::kSockets;
      o.most_body = 4096;
      o.read_within = AdminFront::kReadWithin;
      admin_down_ = std::make_unique<Downstream>(&core_, &admin_, std::move(o));
      admin_.Use(admin_down_.get());
    }
    if (settings_.openai.on) SetUpOpenAi(config, std::move(parts.keys));
    if (const TimelineSettings& t = settings_.timeline; t.on()) {
      timeline::RecorderOptions o;
      o.directory = t.directory;
      o.node = config.name;
      o.block_bytes = t.block;
      o.block_within = t.block_within;
      o.segment_bytes = t.segment;
      o.total_bytes = t.total;
      o.ring_bytes = t.ring;
      o.dump_directory = t.dump_directory;
      o.bytes_per_second = t.bytes_per_second;
      o.reasons = t.reasons;
      o.watch = t.watch;
      flight_ = std::make_unique<timeline::FlightRecorder>(&core_, std::move(o));
      decisions_.Tap(flight_.get());
      if (flight_->wants_reasons()) decisions_.Observe(flight_.get());
      core_.endpoint_observer = flight_.get();
      core_.stream_observer = flight_.get();
    }
    if (settings_.membership.on()) SetUpMembership(config);
  }

  void Run() {
    Watch(&term_, SIGTERM);
    Watch(&int_, SIGINT);
    Watch(&hup_, SIGHUP);
    if (settings_.timeline.ring > 0) Watch(&usr2_, SIGUSR2);
    UnblockSignals();
    try {
      if (admin_down_ != nullptr) Log(Level::kInfo, "listening-admin", {{"addr", admin_down_->Listen()}});
      if (tier_down_ != nullptr) Log(Level::kInfo, "listening-nodes", {{"addr", tier_down_->Listen()}});
    } catch (const std::runtime_error& e) {
      Fail(e.what());
    }
    if (failed_.empty()) {
      holds_file_.Watch(kLookForHolds);
      hand_over_.Start();
    }
    End();
    if (!failed_.empty()) throw std::runtime_error(failed_);
    if (openai_ != nullptr) ledger_file_->WriteNow(LedgerText());
    if (flight_ != nullptr) {
      flight_->Close();
      Log(Level::kInfo, "flight-closed",
          {{"records", flight_->records()},
           {"dropped", flight_->dropped()},
           {"coalesced", flight_->coalesced()},
           {"unusual", flight_->unusual()},
           {"failures", flight_->failures()}});
    }
    Log(Level::kInfo, "stopped", {{"after_ms", drain_began_ == 0 ? 0 : (Now() - drain_began_) / 1000}});
  }

  // The hand-over's side: see handover/succession_policy.h for when each comes.
  void Serve() override {
    if (taking_ || starting_ || !failed_.empty()) return;
    starting_ = true;
    if (inherited_) {
      if (!config_.settings.poll_endpoints) discovery_.KeepWatch();
      return TakeClients();
    }
    discovery_.Known(core_.config->known);
    try {
      downstream_.CheckListen();  // so that an address that can't be used shows at once
    } catch (const std::runtime_error& e) {
      return Fail(e.what());
    }
    // The list known at the start may be old, and where lists are pushed what has changed counts as told from
    // the first moment on: no client is taken before discovery has told it, cannot be reached, or has let
    // this long pass.
    discovery_.OnFirstAnswer([this] { deadlines_.Set(Now(), [this] { TakeClients(); }); });
    deadlines_.Set(Now() + kFirstListWithin, [this] { TakeClients(); });
    if (!config_.settings.poll_endpoints) discovery_.KeepWatch();
  }

  void TakeClients() {
    if (taking_ || !failed_.empty() || drain_began_ != 0) return;
    try {
      const std::string listen = downstream_.Listen();
      if (openai_ != nullptr) {
        const std::string at = openai_down_->Listen();
        Log(Level::kInfo, "listening-openai", {{"addr", at}, {"models", settings_.openai.models.size()}});
        KeepLedger();
      }
      if (membership_ != nullptr) membership_->Start();
      if (tier_ != nullptr) tier_->Start();
      taking_ = true;
      Log(Level::kInfo, "listening", {{"addr", listen}, {"name", core_.config->name}});
    } catch (const std::runtime_error& e) {
      return Fail(e.what());
    }
  }
  void Inherit(hot_restart::State state) override {
    const std::string& known = core_.config->known;
    // Generations mean something only among lists of one discovery. The other process may have been cut off
    // from it for some time: of the two lists the newer one counts.
    const bool same_discovery = state.discovery == discovery_.address();
    const bool inherits =
        same_discovery && !state.roster.empty() && GenerationOf(state.roster) >= GenerationOf(known);
    inherited_ = true;
    discovery_.Known(inherits ? state.roster : known);
    hot_restart::FitTo(ClassNames(config_.settings), &state);
    decisions_.Post(
        policy::StateRestored{std::make_shared<const policy::LearnedState>(std::move(state.learned))});
  }
  void Beside(hot_restart::Out out) override {
    if (out.empty() && !beside_) return;
    beside_ = !out.empty();
    decisions_.Post(policy::SiblingInFlightChanged{std::move(out)});
  }
  hot_restart::State Known() override {
    return {config_.name,
            RYEGLADE_VERSION,
            discovery_.address(),
            discovery_.Roster(),
            ClassNames(config_.settings),
            decisions_.router().ExportState()};
  }
  hot_restart::Out OutNow() override {
    hot_restart::Out out;
    for (const auto& [id, yes] : discovery_.hosts()) {
      if (const int n = decisions_.router().in_flight(id); n > 0) out.emplace_back(id, n);
    }
    return out;
  }
  void Yield() override {
    downstream_.Yield();
    if (openai_ != nullptr) openai_down_->Yield();
  }
  void TakeUp() override {
    try {
      downstream_.TakeUp();
      if (openai_ != nullptr) openai_down_->TakeUp();
    } catch (const std::runtime_error& e) {
      Log(Level::kError, "cannot-take-up", {{"why", e.what()}});
    }
  }
  std::size_t UsedSockets() const override {
    // One that has yielded may need an upstream connection for each client that still waits.
    const std::size_t up = hand_over_.yielded() ? std::max(upstream_.size(), clients()) : upstream_.size();
    return clients() + up + kOwnSockets + Discovery::kSockets;
  }
  std::size_t UsedMemory() const override { return buffers_.taken() * BufferPool::kSize; }
  void Limit(std::size_t sockets, std::size_t memory) override {
    const std::size_t own = kOwnSockets + Discovery::kSockets;
    const std::size_t share = std::max<std::size_t>(sockets, own + 16) - own;
    upstream_.Limit(hand_over_.yielded() ? share - std::min(share, clients()) : share * 45 / 100);
    downstream_.Limit(ClientSockets(share, settings_));
    if (openai_ != nullptr) openai_down_->Limit(ClientSockets(share, settings_));
    buffers_.Limit(memory);
  }

 private:
  // What can't be used at the start ends the process with one line; the loop's handles must be closed before
  // it can go.
  void Fail(const std::string& why) {
    failed_ = why;
    Stop();
  }

  void End() {
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
  }

  // With two fronts each has half of what clients get.
  static std::size_t ClientSockets(std::size_t share, const EdgeSettings& settings) {
    const std::size_t tier =
        settings.membership.on() ? membership::Membership::kSockets + membership::StatusFront::kSockets : 0;
    const std::size_t clients = share * 55 / 100;
    return (clients > 2 * tier ? clients - tier : clients) / (settings.openai.on ? 2 : 1);
  }

  void SetUpMembership(const Config& config) {
    membership_ = std::make_unique<membership::Membership>(
        &core_, settings_.membership, config.name.empty() ? "node" : config.name,
        static_cast<std::size_t>(std::max(1, config.settings.node_count)), &decisions_, flight_.get(),
        HandOverPath("tier", config));
    if (settings_.tier.on) {
      tier_ = std::make_unique<gossip::Tier>(&core_, settings_.tier, membership_->name(), membership_->uid(),
                                             membership_.get(), this, &decisions_);
      membership_->Carry(tier_.get());
      decisions_.Tap(tier_.get());
    }
    if (settings_.membership.status.empty()) return;
    Downstream::Options o;
    o.listen = settings_.membership.status;
    o.share_port = true;
    o.most_sockets = membership::StatusFront::kSockets;
    o.most_body = 1024;
    o.read_within = membership::StatusFront::kReadWithin;
    tier_front_ = std::make_unique<membership::StatusFront>(
        membership_.get(), core_.config->name,
        tier_ == nullptr ? nullptr : std::function([this] { return tier_->StatusJson(); }));
    tier_down_ = std::make_unique<Downstream>(&core_, tier_front_.get(), std::move(o));
    tier_front_->Use(tier_down_.get());
  }

  void SetUpOpenAi(const Config& config, keys::Keyring keyring) {
    const OpenAiSettings& o = settings_.openai;
    openai_ = std::make_unique<OpenAiFront>(&core_, &streams_, &o, std::move(keyring));
    for (const std::string& network : o.networks) openai_networks_.Add(network);
    Downstream::Options options;
    options.listen = o.listen;
    options.most_sockets = ClientSockets(Share(config), settings_);
    options.share_port = true;
    options.most_body = o.most_body;
    options.read_within = o.read_within;
    if (!o.networks.empty()) {
      options.admits = [this](const sockaddr_storage& peer) { return openai_networks_.Contains(peer); };
    }
    openai_down_ = std::make_unique<Downstream>(&core_, openai_.get(), std::move(options));
    openai_->Use(openai_down_.get());
    ledger_file_ = std::make_unique<ledger::LedgerFile>(&loop_, o.ledger_dir, config.name);
  }

  std::string LedgerText() const {
    return ledger::ToJson(openai_->ledger(), core_.config->name, Now() / 1000);
  }

  void KeepLedger() {
    if (!ledger_file_->on()) return;
    deadlines_.Set(Now() + settings_.openai.ledger_every, [this] {
      ledger_file_->Write(LedgerText());
      KeepLedger();
    });
  }

  std::size_t clients() const { return downstream_.size() + (openai_ != nullptr ? openai_down_->size() : 0); }

  static std::size_t Share(const Config& config) {
    return config.sockets - kOwnSockets - Discovery::kSockets;
  }

  uv_loop_t* Loop() {
    uv_loop_init(&loop_);
    return &loop_;
  }

  void Watch(uv_signal_t* signal, int number) {
    uv_signal_init(&loop_, signal);
    signal->data = this;
    uv_signal_start(
        signal,
        [](uv_signal_t* s, int which) {
          Node* node = static_cast<Node*>(s->data);
          if (which == SIGUSR2) {
            node->flight_->Dump();
          } else {
            which == SIGHUP ? node->Reload() : node->Drain();
          }
        },
        number);
  }

  // A file that can't be read or is wrong must not take a node out of service: it goes on as it was. What it
  // says is checked whole before any of it is taken.
  void Reload() {
    const std::string& file = config_.source;
    try {
      const Config now = ReloadConfig(config_);
      const bool retune = now.settings_text != config_.settings_text;
      ClassTable table{config_.settings.classes, config_.in_force};
      if (retune) {
        const std::string wrong = CheckRetune(config_.settings_text, now.settings_text);
        if (!wrong.empty()) throw ConfigError("settings." + wrong);
        if (!Retune(table, now.settings.classes)) {
          throw ConfigError("settings.classes: changed too often to keep them all; restart the node");
        }
      }
      if (!settings_.source.empty()) {
        // Checked, so that a slip shows now and not at the next start.
        LoadEdgeSettings(settings_.source, ClassNames(now.settings));
      }
      const std::string later = NeedsRestart(config_, now);
      Log(Level::kInfo, "reloaded", {{"file", file}, {"discovery", now.discovery}, {"settings", retune}});
      if (!later.empty()) Log(Level::kWarn, "reload-needs-restart", {{"what", later}});
      config_.discovery = now.discovery;
      discovery_.MoveTo(now.discovery);
      if (retune) {
        config_.settings.classes = std::move(table.classes);
        config_.in_force = std::move(table.in_force);
        config_.settings.max_attempts = now.settings.max_attempts;
        config_.settings_text = now.settings_text;
        decisions_.Retune(config_.settings.classes, config_.settings.max_attempts);
        DrainSooner();
        Log(Level::kInfo, "retuned",
            {{"classes", config_.in_force.size()},
             {"versions", config_.settings.classes.size()},
             {"attempts", config_.settings.max_attempts}});
      }
      if (openai_ != nullptr) openai_->ReloadKeys();
      ++counters_.reconfig_ok;
    } catch (const std::exception& e) {
      ++counters_.reconfig_failed;
      Log(Level::kError, "reload-failed",
          {{"file", file},
           {"why", e.what()},
           {"remedy", "mend the file and send SIGHUP again; nothing was taken"}});
    }
  }

  void Drain() {
    if (drain_began_ != 0) {
      Log(Level::kInfo, "draining-already", {{"for_ms", (Now() - drain_began_) / 1000}});
      return;
    }
    drain_began_ = Now();
    if (membership_ != nullptr) membership_->Leave();  // told to all before the listener closes
    hand_over_.Term();
    downstream_.Drain();
    if (openai_ != nullptr) openai_down_->Drain();
    termination_ = PlanTermination(ClassesInForce());
    Log(Level::kInfo, "draining",
        {{"streams", streams_.size()},
         {"clients", clients()},
         {"take_ms", termination_.take_until / 1000},
         {"answer_ms", termination_.answer_by / 1000},
         {"kill_ms", termination_.killed_from / 1000}});
    streams_.EndBy(drain_began_ + termination_.answer_by, drain_began_ + termination_.take_until);
    Tick();
  }

  // Settings that come once the end has begun may bring it forward.
  void DrainSooner() {
    if (drain_began_ == 0) return;
    termination_ = Earlier(termination_, PlanTermination(ClassesInForce()));
    streams_.EndBy(drain_began_ + termination_.answer_by, drain_began_ + termination_.take_until);
  }

  std::vector<policy::ClassSettings> ClassesInForce() const {
    std::vector<policy::ClassSettings> classes;
    for (const std::size_t i : config_.in_force) classes.push_back(config_.settings.classes[i]);
    return classes;
  }

  template <class Action>
  void OnClientListeners(Action action) {
    action(downstream_);
    if (openai_down_ != nullptr) action(*openai_down_);
  }

  // Guards against losing what was taken: requests come on old and new connections for a while after SIGTERM,
  // and one in the kernel's queue counts as taken when the listener closes. Then against living until
  // SIGKILL: as long as connections are taken or kept, one more request may be under way when it comes.
  void Tick() {
    const Time since = Now() - drain_began_;
    const bool listened = since >= termination_.listen_until || hand_over_.yielded();
    if (since >= termination_.close_idle || hand_over_.yielded()) {
      OnClientListeners([](Downstream& d) { d.CloseIdle(); });
    }
    if (listened) OnClientListeners([](Downstream& d) { d.StopAccepting(); });
    if (since >= termination_.answer_by) OnClientListeners([](Downstream& d) { d.EndUnfinished(); });
    if (listened && streams_.size() == 0) {
      const Time quiet = since >= termination_.stop_by ? 0 : kQuiet;
      bool settled = true;
      OnClientListeners([&](Downstream& d) { settled = settled && d.Settled(quiet); });
      if (settled) return Stop();
    }
    deadlines_.Set(Now() + kDrainTick, [this] { Tick(); });
  }

  void Stop() {
    if (tier_ != nullptr) tier_->Close();
    if (membership_ != nullptr) membership_->Close();
    if (tier_down_ != nullptr) tier_down_->Close();
    holds_file_.Close();
    hand_over_.Close();
    downstream_.Close();
    if (admin_down_ != nullptr) admin_down_->Close();
    if (openai_ != nullptr) openai_down_->Close();
    upstream_.Close();
    discovery_.Close();
    deadlines_.Close();
    uv_close(reinterpret_cast<uv_handle_t*>(&term_), nullptr);
    uv_close(reinterpret_cast<uv_handle_t*>(&int_), nullptr);
    uv_close(reinterpret_cast<uv_handle_t*>(&hup_), nullptr);
    if (settings_.timeline.ring > 0) uv_close(reinterpret_cast<uv_handle_t*>(&usr2_), nullptr);
  }

  // The tier's side.
  void ListReplicas(std::vector<policy::ReplicaView>* all) const override {
    for (const auto& [id, yes] : discovery_.hosts()) {
      policy::ReplicaView seen = decisions_.router().replica(id);
      if (seen.endpoint.id == id) all->push_back(seen);
    }
  }
  std::string NameOf(policy::ReplicaId id) const override { return discovery_.NameOf(id); }

  // The admin listener's side.
  bool taking_clients() const override { return taking_ && !downstream_.draining(); }
  std::string CountersText() const override {
    CounterView view;
    view.counters = &counters_;
    for (const std::size_t i : config_.in_force) view.classes.push_back(config_.settings.classes[i].name);
    view.inflight = streams_.size();
    view.hosts_listed = discovery_.listed();
    view.closed = downstream_.closed();
    for (const auto& [id, yes] : discovery_.hosts()) {
      if (discovery_.avoided(id) || decisions_.router().ejected_until(id) > Now()) ++view.hosts_down;
    }
    return ryeglade::CountersText(view);
  }
  std::string FiguresText() const override {
    rollout::NodeMetrics f;
    f.pid = getpid();
    f.measured_at = Now();
    std::size_t resident = 0;
    uv_resident_set_memory(&resident);
    f.memory_bytes = resident;
    f.memory_limit_bytes = config_.memory_mb * 1024 * 1024;
    f.descriptors = UsedSockets();
    f.descriptor_limit = config_.sockets;
    for (const std::size_t i : config_.in_force) {
      const policy::ClassSettings& c = config_.settings.classes[i];
      f.classes[c.name].priority_weight = c.priority_weight;
    }
    for (const auto& [name, e] : counters_.by_class) {
      rollout::ClassMetrics& c = f.classes[name];
      c.served = e.success, c.in_time = e.in_time, c.rejected = e.busy, c.failed = e.failure;
      c.attempts_sum = static_cast<double>(e.attempts),
      c.attempts_sum_of_squares = static_cast<double>(e.attempts_squared);
      c.started = e.started, c.first_token_ln_sum = e.first_ln,
      c.first_token_ln_sum_of_squares = e.first_ln_squared;
    }
    return EncodeNodeMetrics(f);
  }
  bool Hold(std::string_view instance, bool out) override {
    if (!discovery_.Hold(std::string(instance), out)) return false;
    holds_file_.Write(EncodeDisabledReplicas(discovery_.holds(), core_.config->name));
    return true;
  }

  // Where a process of this node leaves what the next must know (`what`): $TMPDIR is shared by both during a
  // hot restart and is not emptied.
  static std::string HandOverPath(const std::string& what, const Config& config) {
    const char* dir = std::getenv("TMPDIR");
    std::string name = config.name.empty() ? "node" : config.name;
    for (char& c : name) {
      if (std::isalnum(static_cast<unsigned char>(c)) == 0 && c != '-' && c != '_') c = '_';
    }
    return std::string(dir != nullptr && *dir != '\0' ? dir : "/tmp") + "/ryeglade-" + what + "-" + name;
  }

  // The same for what only a process at the same address may take up: nodes of one name need not be one node.
  // On a port of the kernel's choice nobody follows: empty.
  static std::string SharedPath(const std::string& what, const Config& config) {
    const std::string port = config.listen.substr(config.listen.rfind(':') + 1);
    if (port == "0") return "";
    std::string at = config.listen;
    for (char& c : at) {
      if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
    }
    return HandOverPath(what, config) + "-" + at;
  }

  // A file that is torn, of another node or not ours at all changes nothing; at the start it is said so.
  void TakeHolds(const std::string& text, bool at_start) {
    std::string why;
    const std::optional<DisabledReplicas> holds = DecodeDisabledReplicas(text, core_.config->name, &why);
    if (!holds) {
      Log(Level::kWarn, "holds-passed-over", {{"path", holds_file_.path()}, {"why", why}});
      return;
    }
    Log(Level::kInfo, "holds-taken", {{"out", holds->out.size()}, {"start", at_start}});
    discovery_.Adopt(*holds);
  }

  EdgeSettings settings_;
  Config config_;  // as in force: a SIGHUP changes it
  NodeCounters counters_;
  bool starting_ = false;  // the list known at the start has been taken
  bool taking_ = false;    // clients are
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
  Downstream downstream_;
  AdminFront admin_;
  std::unique_ptr<Downstream> admin_down_;  // where the configuration names a management address
  StateFile holds_file_;
  hot_restart::HandOver hand_over_;
  std::string failed_;  // why it can't serve
  bool inherited_ = false, beside_ = false;
  // Only where the settings ask for it.
  limits::Networks openai_networks_;
  std::unique_ptr<OpenAiFront> openai_;
  std::unique_ptr<Downstream> openai_down_;
  std::unique_ptr<ledger::LedgerFile> ledger_file_;
  std::unique_ptr<timeline::FlightRecorder> flight_;
  std::unique_ptr<membership::Membership> membership_;
  std::unique_ptr<gossip::Tier> tier_;
  std::unique_ptr<membership::StatusFront> tier_front_;
  std::unique_ptr<Downstream> tier_down_;
  uv_signal_t term_{}, int_{}, hup_{}, usr2_{};
  Time drain_began_ = 0;
  TerminationPlan termination_;
};

std::unique_ptr<Dialect> MakeDialect(const Config& config, const EdgeSettings& settings) {
  if (settings.dialect != "openai") {
    return std::make_unique<PlatformDialect>(!config.settings.load_fields.empty());
  }
  std::string key;
  if (!settings.upstream_key_file.empty()) {
    key = ReadWholeFile(settings.upstream_key_file);
    key = key.substr(0, key.find_first_of("\r\n"));
  }
  return std::make_unique<OpenAiDialect>(std::move(key));
}

}  // namespace

void Serve(const Config& config, const EdgeSettings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  LogOptions log;
  log.json = settings.log_format == "json";
  log.lines_per_second = settings.log_lines;
  for (const auto& [word, level] : {std::pair{"debug", Level::kDebug},
                                    {"info", Level::kInfo},
                                    {"warn", Level::kWarn},
                                    {"error", Level::kError}}) {
    if (settings.log_level == word) log.level = level;
  }
  SetUpLog(log);
  if (settings.membership.on()) {
    const std::string& name = config.name;
    const bool fits = name.size() <= 64 &&
                      std::all_of(name.begin(), name.end(), [](char c) { return c > 0x20 && c != 0x7f; });
    if (!fits)
      throw ConfigError("name: other nodes can't be told \"" + name +
                        "\"; give a word of at most 64 letters");
  }
  Parts parts{MakeDialect(config, settings), {}};
  if (!settings.openai.keys_file.empty()) parts.keys = keys::Keyring::Load(settings.openai.keys_file);
  Node(config, settings, std::move(parts)).Run();
}

}  // namespace ryeglade
