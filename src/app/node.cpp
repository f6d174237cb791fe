#include "app/node.h"

#include <uv.h>

#include <csignal>

#include "base/buffers.h"
#include "base/deadlines.h"
#include "base/log.h"
#include "core/core.h"
#include "core/decisions.h"
#include "core/discovery.h"
#include "core/streams.h"
#include "core/upstream.h"
#include "dialects/platform/platform_dialect.h"
#include "fronts/platform/platform_front.h"
#include "http/downstream.h"

namespace ryeglade {
namespace {

constexpr std::size_t kOwnSockets = 24;  // the loop's, the listener, standard streams, some to spare
constexpr Time kServeOn = 1'000'000;     // after SIGTERM, new requests keep coming for a while
constexpr Time kAnswerBy = 3'300'000;    // SIGKILL comes no sooner than 3.7 s after SIGTERM
constexpr Time kQuiet = 200'000;         // and the listener closes only once none has come for this long
constexpr Time kDrainTick = 50'000;

class Node {
 public:
  explicit Node(const Config& config)
      : buffers_(config.memory_mb * 1024 * 1024 / 2),
        deadlines_(Loop()),
        core_{{&loop_, &deadlines_, &buffers_},
              &config,
              &dialect_,
              &decisions_,
              &streams_,
              &streams_,
              &upstream_,
              &upstream_,
              &upstream_,
              &discovery_},
        dialect_(!config.settings.load_fields.empty()),
        streams_(&core_),
        upstream_(&core_, Share(config) * 45 / 100),
        discovery_(&core_),
        decisions_(&core_),
        front_(&core_, &streams_),
        downstream_(&core_, &front_,
                    {.listen = config.listen, .most_sockets = Share(config) * 55 / 100, .admits = {}}) {
    front_.Use(&downstream_);
  }

  void Run() {
    Watch(&term_, SIGTERM);
    Watch(&int_, SIGINT);
    Watch(&hup_, SIGHUP);
    std::string listen;
    try {
      listen = downstream_.Listen();
    } catch (const std::runtime_error&) {
      Stop();  // the loop's handles must be closed before it can go
      End();
      throw;
    }
    Log("listening addr=%s name=%s", listen.c_str(), core_.config->name.c_str());
    discovery_.Known(core_.config->known);
    End();
    Log("stopped");
  }

 private:
  void End() {
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
  }

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
          which == SIGHUP ? node->Reload() : node->Drain();
        },
        number);
  }

  // A file that can't be read or is wrong must not take a node out of service: it goes on as it was.
  void Reload() {
    try {
      const Config now = ReloadConfig(*core_.config);
      const std::string later = NeedsRestart(*core_.config, now);
      Log("reloaded discovery=%s", now.discovery.c_str());
      if (!later.empty()) Log("reload-needs-restart what=%s", later.c_str());
      discovery_.MoveTo(now.discovery);
    } catch (const ConfigError& e) {
      Log("reload-failed why=%s", e.what());
    }
  }

  void Drain() {
    if (downstream_.draining()) return;
    Log("draining streams=%zu clients=%zu", streams_.size(), downstream_.size());
    drain_began_ = Now();
    downstream_.Drain();
    streams_.EndBy(drain_began_ + kAnswerBy);
    Tick();
  }

  // Guards against losing what was taken: requests come on old and new connections for a while after SIGTERM,
  // and one in the kernel's queue counts as taken when the listener closes.
  void Tick() {
    const Time now = Now();
    if (now - drain_began_ >= kServeOn) {
      downstream_.CloseIdle();
      if (downstream_.size() == 0 && streams_.size() == 0 && now - downstream_.last_arrival() >= kQuiet) {
        return Stop();
      }
    }
    deadlines_.Set(now + kDrainTick, [this] { Tick(); });
  }

  void Stop() {
    downstream_.Close();
    upstream_.Close();
    discovery_.Close();
    deadlines_.Close();
    uv_close(reinterpret_cast<uv_handle_t*>(&term_), nullptr);
    uv_close(reinterpret_cast<uv_handle_t*>(&int_), nullptr);
    uv_close(reinterpret_cast<uv_handle_t*>(&hup_), nullptr);
  }

  uv_loop_t loop_{};
  Buffers buffers_;
  Deadlines deadlines_;
  Core core_;
  PlatformDialect dialect_;
  Streams streams_;
  Upstream upstream_;
  Discovery discovery_;
  Decisions decisions_;
  PlatformFront front_;
  Downstream downstream_;
  uv_signal_t term_{}, int_{}, hup_{};
  Time drain_began_ = 0;
};

}  // namespace

void Serve(const Config& config) {
  std::signal(SIGPIPE, SIG_IGN);
  Node(config).Run();
}

}  // namespace ryeglade
