#include "app/nodes_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "base/tcp.h"
#include "http/blocking_client.h"

namespace ryeglade {
namespace {

using Json = nlohmann::json;

constexpr int kPatienceMs = 5000;

HttpResponse Get(const std::string& at, const std::string& path) {
  sockaddr_storage to{};
  if (!ParseAddress(at, &to)) throw std::runtime_error("nodes: --at takes ip:port, not '" + at + "'");
  return BlockingHttpCall("nodes: the status address", at, "GET", path, "", kPatienceMs);
}

Json Nodes(const std::string& at) {
  const HttpResponse a = Get(at, "/nodes");
  Json j = Json::parse(a.body, nullptr, false);
  if (a.status != 200 || !j.is_object())
    throw std::runtime_error("nodes: " + at + " is no status address of a node");
  return j;
}

std::string Ago(const Json& ms) {
  if (!ms.is_number()) return "never";
  const double s = ms.get<double>() / 1000;
  if (s < 120) return fmt::format("{:.1f} s", s);
  return s < 7200 ? fmt::format("{:.0f} min", s / 60) : fmt::format("{:.1f} h", s / 3600);
}

std::string List(const Json& names) {
  std::string all;
  for (const Json& n : names) all += (all.empty() ? "" : ",") + n.get<std::string>();
  return all.empty() ? "-" : all;
}

std::string Table(const Json& j) {
  std::string out;
  const std::string phase = j.value("phase", "");
  out += fmt::format("{} {} {}, wire {}, the decision module goes by {} nodes\n", j.value("name", ""),
                     j.value("address", ""), phase, j.value("wire", 0), j.value("nodes_told", 0));
  if (!j.contains("members")) return out + "waits for the process before it to yield the address\n";
  std::string state = j.value("refused", false)    ? "REFUSED: another node has this name"
                      : !j.value("joined", false)  ? "joining"
                      : j.value("in_doubt", false) ? "IN DOUBT: absent members may live"
                      : j.value("settled", false)  ? "settled"
                                                   : "changing";
  out += fmt::format("cluster {}, view {} with {} nodes: {}; health {} (0 is well)\n", j.value("cluster", ""),
                     j.value("view", 0), j.value("live", 0), state, j.value("health", 0));
  out += fmt::format("{:<20} {:<22} {:<10} {:<9} {:>9} {:>10}  {}\n", "name", "address", "zone", "standing",
                     "for", "reached", "accused by / vouched for by");
  for (const Json& m : j["members"]) {
    out += fmt::format("{:<20} {:<22} {:<10} {:<9} {:>9} {:>10}  {} / {}\n", m.value("name", ""),
                       m.value("address", ""), m.value("zone", "").empty() ? "-" : m.value("zone", ""),
                       m.value("standing", ""), Ago(m["since_ms_ago"]), Ago(m["reached_ms_ago"]),
                       List(m["accusers"]), List(m["vouchers"]));
  }
  return out;
}

// A reason word in words.
const char* Meaning(const std::string& what) {
  static const std::map<std::string, const char*> all = {
      {"member-alive", "was reached there and back for the first time"},
      {"member-suspect", "could not be reached, said"},
      {"member-refuted", "said otherwise with a higher incarnation, heard from"},
      {"member-cleared", "nobody accuses it any more"},
      {"member-dead", "is taken for dead, decided or told by"},
      {"member-left", "left in order, heard from"},
      {"member-leaving", "says that it will leave, heard from"},
      {"member-returned", "came back and was reached"},
      {"member-restarted", "is a new process under the same name, heard from"}};
  const auto it = all.find(what);
  return it == all.end() ? "" : it->second;
}

// What a node does with what the others tell it.
std::string TierTable(const Json& j) {
  static const std::map<std::string, const char*> states = {
      {"shares", "worked out from what the nodes tell"},
      {"held", "held: the view is in doubt"},
      {"stepping-back", "going back to the equal part: the view has been in doubt for long"},
      {"equal", "the equal part: nothing is known"}};
  static const std::map<std::string, const char*> whys = {
      {"left-alone", "left alone on their word"},
      {"too-few-accusers", "used: too few accuse it"},
      {"answers-here", "used: it answers here"},
      {"answered-since", "used: it has answered since"},
      {"tries", "this node goes on trying it for all"},
      {"too-many-out", "used: as many as may are left alone already"}};
  const auto words = [](const auto& all, const std::string& key) {
    const auto at = all.find(key);
    return at == all.end() ? key : std::string(at->second);
  };
  std::string out = fmt::format("{}: part {:.4f} of the tier's traffic, {}{}\n", j.value("name", ""),
                                j.value("part", 0.0), words(states, j.value("state", "")),
                                j.value("doubts_itself", false) ? "; it doubts its own sight" : "");
  out += fmt::format("{:<20} {:>10} {:>8}\n", "node", "requests/s", "part");
  for (const Json& n : j["nodes"]) {
    out += fmt::format("{:<20} {:>10.2f} {:>8.4f}{}\n", n.value("name", ""), n.value("rate", 0.0),
                       n.value("part", 0.0),
                       !n.value("told", false)   ? "  has told nothing: the mean"
                       : n.value("stale", false) ? "  old"
                                                 : "");
  }
  for (const Json& r : j["replicas"]) {
    out += fmt::format("{}: {}; accused by {}{}\n", r.value("host", ""), words(whys, r.value("why", "")),
                       List(r["accusers"]),
                       r.value("answered", "").empty() ? "" : "; answered " + r.value("answered", ""));
  }
  return out;
}

}  // namespace

NodesCommand::NodesCommand(CLI::App& app, NodesOptions* options) : o_(options) {
  group_ = app.add_subcommand("nodes", "what a node thinks of the other nodes");
  group_->require_subcommand(1);
  const auto add = [&](const char* name, const char* what) {
    CLI::App* command = group_->add_subcommand(name, what);
    command->add_option("--at", o_->at, "the node's status address, ip:port");
    return command;
  };
  show_ = add("show", "all members, as they stand in its view");
  show_->add_flag("--json", o_->json, "as the status address gives it");
  watch_ = add("watch", "the same again and again, and a line for each change");
  watch_->add_option("--every", o_->every, "seconds")->check(CLI::Range(0.1, 3600.0));
  watch_->add_option("--times", o_->times, "looks; 0: until Ctrl-C")->check(CLI::Range(0, 1'000'000));
  explain_ = add("explain", "what happened to one member: who accused it, who vouched, what refuted it");
  explain_->add_option("name", o_->name, "the member")->required();
  tier_ = add("tier",
              "this node's part of the tier's traffic, what each node tells, which replicas are left alone");
  tier_->add_flag("--json", o_->json, "as the status address gives it");
  check_ =
      add("check",
          "exit with 0 where the view is settled, 1 where it is in doubt, refused or not joined, 2 where "
          "it changes");
}

bool NodesCommand::chosen() const { return group_->parsed(); }

int NodesCommand::Run() {
  if (*show_) return Show();
  if (*watch_) return Watch();
  if (*explain_) return Explain();
  if (*tier_) return Tier();
  return Check();
}

int NodesCommand::Show() {
  if (o_->json) return std::fputs(Get(o_->at, "/nodes").body.c_str(), stdout) < 0 ? 1 : 0;
  return std::fputs(Table(Nodes(o_->at)).c_str(), stdout) < 0 ? 1 : 0;
}

int NodesCommand::Watch() {
  std::map<std::string, std::string> last;
  std::string last_state;
  for (int i = 0; o_->times == 0 || i < o_->times; ++i) {
    if (i > 0) std::this_thread::sleep_for(std::chrono::duration<double>(o_->every));
    const Json j = Nodes(o_->at);
    if (i == 0) std::fputs(Table(j).c_str(), stdout);
    std::map<std::string, std::string> now;
    for (const Json& m : j.value("members", Json::array()))
      now[m.value("name", "")] = m.value("standing", "");
    const std::string state = j.value("in_doubt", false)  ? "in doubt"
                              : j.value("settled", false) ? "settled"
                                                          : "changing";
    if (i > 0) {
      for (const auto& [name, standing] : now) {
        const std::string before = last.contains(name) ? last[name] : "unknown";
        if (before != standing) std::printf("%s: %s -> %s\n", name.c_str(), before.c_str(), standing.c_str());
      }
      for (const auto& [name, standing] : last) {
        if (!now.contains(name)) std::printf("%s: %s -> forgotten\n", name.c_str(), standing.c_str());
      }
      if (state != last_state)
        std::printf("the view: %s -> %s, %d nodes\n", last_state.c_str(), state.c_str(), j.value("live", 0));
    }
    std::fflush(stdout);
    last = std::move(now);
    last_state = state;
  }
  return 0;
}

int NodesCommand::Explain() {
  const HttpResponse a = Get(o_->at, "/nodes/" + o_->name);
  if (a.status == 404) {
    std::fprintf(stderr, "ryeglade: %s knows no node '%s'\n", o_->at.c_str(), o_->name.c_str());
    return 1;
  }
  const Json m = Json::parse(a.body, nullptr, false);
  if (!m.is_object()) throw std::runtime_error("nodes: " + o_->at + " is no status address of a node");
  std::printf("%s at %s is %s for %s (incarnation %llu); last reached from here %s%s\n", o_->name.c_str(),
              m.value("address", "").c_str(), m.value("standing", "").c_str(), Ago(m["since_ms_ago"]).c_str(),
              static_cast<unsigned long long>(m.value("incarnation", std::uint64_t{0})),
              Ago(m["reached_ms_ago"]).c_str(), m["reached_ms_ago"].is_number() ? " ago" : "");
  std::printf("accused by %s; vouched for by %s\n", List(m["accusers"]).c_str(), List(m["vouchers"]).c_str());
  for (const Json& line : m["history"]) {
    const std::string what = line.value("what", "");
    const std::string by = line.value("by", "");
    std::printf("  %10s ago  %-17s %s%s%s\n", Ago(line["ms_ago"]).c_str(), what.c_str(), Meaning(what),
                by.empty() ? "" : " ", by.c_str());
  }
  return 0;
}

int NodesCommand::Tier() {
  const HttpResponse a = Get(o_->at, "/tier");
  const Json j = Json::parse(a.body, nullptr, false);
  if (a.status == 404 || !j.is_object()) {
    std::fprintf(stderr, "ryeglade: the node at %s has no [tier] in its settings\n", o_->at.c_str());
    return 1;
  }
  if (o_->json) return std::fputs(a.body.c_str(), stdout) < 0 ? 1 : 0;
  std::fputs(TierTable(j).c_str(), stdout);
  return 0;
}

int NodesCommand::Check() {
  const Json j = Nodes(o_->at);
  const bool joined = j.value("joined", false);
  const bool doubt = j.value("in_doubt", true);
  const bool refused = j.value("refused", false);
  const bool settled = j.value("settled", false);
  std::printf("%s: %s, %d nodes\n", j.value("name", "").c_str(),
              refused   ? "refused: another node has this name"
              : !joined ? "not joined"
              : doubt   ? "in doubt"
              : settled ? "settled"
                        : "changing",
              j.value("live", 0));
  if (refused || !joined || doubt) return 1;
  return settled ? 0 : 2;
}

}  // namespace ryeglade
