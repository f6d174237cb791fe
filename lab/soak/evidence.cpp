// Writes the page of evidence for one violation.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/soak/run.h"

namespace ryeglade::soak {
namespace {

// Microseconds. Records of the node (settings, discovery, counters) are shown if they lie between eight times
// this long before the violation and this long after it.
constexpr Time kContextTime = 1'500'000;
constexpr std::size_t kMaxLines = 120;  // recorded events on a page, without log lines and counters

const char* Name(ClientEnd end) {
  static constexpr std::array kWords = {"unfinished", "served",    "refused",   "failed",
                                        "truncated",  "no answer", "timed out", "closed by the client",
                                        "not sent"};
  static_assert(kWords.size() == static_cast<std::size_t>(ClientEnd::kCount));
  return kWords.at(static_cast<std::size_t>(end));
}

const char* Name(AttemptEnd end) {
  static constexpr std::array kWords = {"unfinished", "complete", "cut short",         "rejected",
                                        "error",      "reset",    "closed by the node"};
  static_assert(kWords.size() == static_cast<std::size_t>(AttemptEnd::kCount));
  return kWords.at(static_cast<std::size_t>(end));
}

const char* Name(Api api) {
  static constexpr std::array kWords = {"the platform's API", "OpenAI-style, streamed",
                                        "OpenAI-style, assembled"};
  static_assert(kWords.size() == static_cast<std::size_t>(Api::kCount));
  return kWords.at(static_cast<std::size_t>(api));
}

class Page {
 public:
  Page(const PlayResult& result, const Violation& violation)
      : history_(result.history), result_(result), violation_(violation) {}

  std::string Text() {
    for (const ClientRequest& r : history_.requests) {
      if (r.id == violation_.id && !violation_.id.empty()) AddRequest(r);
    }
    for (const Attempt& a : history_.attempts) {
      if (a.id == violation_.id && !violation_.id.empty()) AddAttempt(a);
    }
    for (std::size_t n = 0; n < history_.processes.size(); ++n) AddProcess(n);
    for (const SettingsChange& s : history_.settings) {
      if (s.node == violation_.node && Near(s.at))
        Add(s.at, fmt::format("n{} gets SIGHUP with other settings", s.node));
    }
    for (const DiscoveryChange& c : history_.discovery_changes) {
      const bool as_started =
          c.accepts_requests && c.at == c.written;  // the list that a new process starts with
      if (c.node != violation_.node || !Near(c.at) || as_started) continue;
      const char* what = c.accepts_requests ? "active" : "leaving";
      Add(c.at, fmt::format("list: {} {}", history_.replicas[c.replica].name, what));
      if (c.written != 0)
        Add(c.written,
            fmt::format("list: n{} is told {} {}", c.node, history_.replicas[c.replica].name, what));
    }
    std::stable_sort(lines_.begin(), lines_.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::string out =
        fmt::format("rule {}, node n{}, at {}: {}\nrequest {}\n\n", Name(violation_.rule), violation_.node,
                    When(violation_.at), violation_.what, violation_.id.empty() ? "-" : violation_.id);
    for (std::size_t n = 0; n < std::min(lines_.size(), kMaxLines); ++n) {
      out += fmt::format("{:>9} {}\n", When(lines_[n].first), lines_[n].second);
    }
    return out + LogLines() + Counters();
  }

 private:
  bool Near(Time t) const {
    return t != 0 && t > violation_.at - 8 * kContextTime && t < violation_.at + kContextTime;
  }
  void Add(Time at, std::string what) { lines_.emplace_back(at, std::move(what)); }
  std::string When(Time t) const {
    return fmt::format("{:.3f}", static_cast<double>(t - history_.begin) / 1e6);
  }

  void AddRequest(const ClientRequest& r) {
    Add(r.sent,
        fmt::format("client sends to n{}, {}, class {}, budget {} ms, connection established at {}{}{}{}",
                    r.node, Name(r.api), r.cls, r.budget / 1000, When(r.connected),
                    r.reused ? ", used before" : "", r.pipelined ? ", pipelined behind another request" : "",
                    r.slow_reader ? ", reads slowly" : ""));
    if (r.client_closed != 0)
      Add(r.client_closed, r.half_closed ? "client closes its sending side" : "client closes the connection");
    if (!r.events.empty()) Add(r.events.front().at, "client gets the first event");
    if (r.ended != 0)
      Add(r.ended, fmt::format("client: {} (status {}, {} pieces)", Name(r.end), r.status, r.events.size()));
  }

  void AddAttempt(const Attempt& a) {
    const std::string& name = history_.replicas[a.replica].name;
    Add(a.began, fmt::format("{} gets the first byte from n{}, with a budget of {} ms", name, a.node,
                             a.budget / 1000));
    Add(a.received, fmt::format("{} has received all of the request", name));
    if (!a.events.empty()) {
      Add(a.events.front().at, fmt::format("{} writes its first event", name));
      Add(a.events.back().at, fmt::format("{} writes its last event, of {}", name, a.events.size()));
    }
    if (a.ended != 0) Add(a.ended, fmt::format("{}: {}", name, Name(a.end)));
  }

  void AddProcess(std::size_t n) {
    const Process& p = history_.processes[n];
    if (p.node != violation_.node) return;
    const auto add_if_set = [&](Time at, const std::string& what) {
      if (at != 0) Add(at, fmt::format("n{} (process {}) {}", p.node, n, what));
    };
    add_if_set(p.started, "is started");
    add_if_set(p.ready, "listens for clients");
    add_if_set(p.sigterm_at, fmt::format("gets SIGTERM; SIGKILL is due at {}", When(p.sigkill_due)));
    add_if_set(p.killed, "gets SIGKILL");
    add_if_set(p.ended, fmt::format("has exited with status {}{}", p.status,
                                    p.killed_by_plan ? ", killed by the plan" : ""));
    for (const Interval& s : p.pauses) {
      add_if_set(s.from, "is paused");
      add_if_set(s.to, "runs again");
    }
  }

  // The node's log lines about this request, and about its reloads and shutdown.
  std::string LogLines() const {
    std::string out;
    for (std::size_t n = 0; n < history_.processes.size(); ++n) {
      if (history_.processes[n].node != violation_.node) continue;
      std::string_view log = result_.logs[n];
      std::string own;
      while (!log.empty()) {
        const std::string_view line = log.substr(0, log.find('\n'));
        log.remove_prefix(std::min(line.size() + 1, log.size()));
        const bool about =
            !violation_.id.empty() && line.find("id=" + violation_.id) != std::string_view::npos;
        const bool event = line.find("event=draining") != std::string_view::npos ||
                           line.find("event=classes-updated") != std::string_view::npos ||
                           line.find("event=reload") != std::string_view::npos ||
                           line.find("event=listener-closed") != std::string_view::npos ||
                           line.find("event=stopped") != std::string_view::npos;
        if (about || event) own += fmt::format("  {}\n", line);
      }
      if (!own.empty()) out += fmt::format("\nlog of n{}, process {}\n{}", violation_.node, n, own);
    }
    return out;
  }

  std::string Counters() const {
    std::string out;
    for (std::size_t n = 0; n < history_.processes.size(); ++n) {
      const Process& p = history_.processes[n];
      if (p.node != violation_.node || p.counters.empty() || !Near(p.sigterm_at)) continue;
      out += fmt::format("\ncounters of n{}, process {}, before SIGTERM\n", violation_.node, n);
      std::string_view text = p.counters;
      while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(line.size() + 1, text.size()));
        if (!line.starts_with('#')) out += fmt::format("  {}\n", line);
      }
    }
    return out;
  }

  const History& history_;
  const PlayResult& result_;
  const Violation& violation_;
  std::vector<std::pair<Time, std::string>> lines_;
};

}  // namespace

std::string Evidence(const PlayResult& result, const Violation& violation) {
  return Page(result, violation).Text();
}

}  // namespace ryeglade::soak
