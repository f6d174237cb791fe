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

constexpr int kTimeoutMs = 5000;

HttpResponse Get(const std::string& address, const std::string& path) {
  sockaddr_storage parsed{};
  if (!ParseAddress(address, &parsed))
    throw std::runtime_error("nodes: --at is '" + address + "'; give the ip:port of a status address");
  return BlockingHttpCall("nodes: the status address", address, "GET", path, "", kTimeoutMs);
}

// Throws the error for a response that does not have the form of a status.
[[noreturn]] void FailNoStatus(const std::string& address) {
  throw std::runtime_error(
      "nodes: " + address +
      " is not the status address of a node; give `status` of its [membership] with --at");
}

// Returns the status of the node at this status address.
Json GetNodes(const std::string& address) {
  const HttpResponse response = Get(address, "/nodes");
  Json nodes = Json::parse(response.body, nullptr, false);
  if (response.status != 200 || !nodes.is_object()) FailNoStatus(address);
  return nodes;
}

// Formats a duration in milliseconds. null becomes "never".
std::string DurationText(const Json& ms) {
  if (!ms.is_number()) return "never";
  const double seconds = ms.get<double>() / 1000;
  if (seconds < 120) return fmt::format("{:.1f} s", seconds);
  return seconds < 7200 ? fmt::format("{:.0f} min", seconds / 60) : fmt::format("{:.1f} h", seconds / 3600);
}

// Returns the names separated by commas, or "-" if there are none.
std::string JoinNames(const Json& names) {
  std::string joined;
  for (const Json& name : names) joined += (joined.empty() ? "" : ",") + name.get<std::string>();
  return joined.empty() ? "-" : joined;
}

std::string MembersTable(const Json& status) {
  std::string out;
  const std::string phase = status.value("phase", "");
  out += fmt::format("{} {} {}, wire {}, the decision module uses a count of {} nodes\n",
                     status.value("name", ""), status.value("address", ""), phase, status.value("wire", 0),
                     status.value("nodes_told", 0));
  if (!status.contains("members")) return out + "waits for the previous process to release the address\n";
  std::string state = status.value("refused", false)    ? "REFUSED: another node has this name"
                      : !status.value("joined", false)  ? "joining"
                      : status.value("in_doubt", false) ? "IN DOUBT: members that it can't reach may be alive"
                      : status.value("settled", false)  ? "settled"
                                                        : "changing";
  out += fmt::format("cluster {}, view {} with {} nodes: {}; health {} (0 is best)\n",
                     status.value("cluster", ""), status.value("view", 0), status.value("live", 0), state,
                     status.value("health", 0));
  out += fmt::format("{:<20} {:<22} {:<10} {:<9} {:>9} {:>10}  {}\n", "name", "address", "zone", "state",
                     "for", "reached", "suspected by / reached by");
  for (const Json& member : status["members"]) {
    out += fmt::format(
        "{:<20} {:<22} {:<10} {:<9} {:>9} {:>10}  {} / {}\n", member.value("name", ""),
        member.value("address", ""), member.value("zone", "").empty() ? "-" : member.value("zone", ""),
        member.value("standing", ""), DurationText(member["since_ms_ago"]),
        DurationText(member["reached_ms_ago"]), JoinNames(member["accusers"]), JoinNames(member["vouchers"]));
  }
  return out;
}

// Describes an entry of a member's history, before the name of the node that it came from. Returns an empty
// text if the event is unknown.
const char* EventDescription(const std::string& event) {
  static const std::map<std::string, const char*> descriptions = {
      {"member-alive", "was reached in both directions for the first time"},
      {"member-suspect", "could not be reached, reported by"},
      {"member-refuted", "refuted the suspicion with a higher incarnation, received from"},
      {"member-cleared", "is no longer suspected by any node"},
      {"member-dead", "is considered dead, decided or reported by"},
      {"member-left", "left the cluster, received from"},
      {"member-leaving", "announced that it will leave, received from"},
      {"member-returned", "returned and was reached"},
      {"member-restarted", "is a new process with the same name, received from"}};
  const auto it = descriptions.find(event);
  return it == descriptions.end() ? "" : it->second;
}

// How a node uses what the other nodes gossip about traffic and replicas.
std::string TierTable(const Json& status) {
  static const std::map<std::string, const char*> states = {
      {"shares", "computed from the reports of the nodes"},
      {"held", "kept unchanged: the view is in doubt"},
      {"stepping-back", "returning to the equal share: the view has been in doubt for long"},
      {"equal", "the equal share: nothing is known"}};
  static const std::map<std::string, const char*> reasons = {
      {"left-alone", "ejected because of their reports"},
      {"too-few-accusers", "used: too few nodes report it"},
      {"answers-here", "used: it answers this node"},
      {"answered-since", "used: it has answered since the reports"},
      {"tries", "used: this node keeps trying it for all nodes"},
      {"too-many-out", "used: the limit of ejected replicas is reached"}};
  const auto describe = [](const auto& descriptions, const std::string& key) {
    const auto it = descriptions.find(key);
    return it == descriptions.end() ? key : std::string(it->second);
  };
  std::string out =
      fmt::format("{}: share {:.4f} of the cluster's traffic, {}{}\n", status.value("name", ""),
                  status.value("part", 0.0), describe(states, status.value("state", "")),
                  status.value("doubts_itself", false) ? "; its own view of the replicas is in doubt" : "");
  out += fmt::format("{:<20} {:>10} {:>8}\n", "node", "requests/s", "share");
  for (const Json& node : status["nodes"]) {
    out += fmt::format("{:<20} {:>10.2f} {:>8.4f}{}\n", node.value("name", ""), node.value("rate", 0.0),
                       node.value("part", 0.0),
                       !node.value("told", false)   ? "  no report yet: the mean of the others"
                       : node.value("stale", false) ? "  outdated report"
                                                    : "");
  }
  for (const Json& replica : status["replicas"]) {
    out += fmt::format(
        "{}: {}; reported by {}{}\n", replica.value("host", ""), describe(reasons, replica.value("why", "")),
        JoinNames(replica["accusers"]),
        replica.value("answered", "").empty() ? "" : "; answers " + replica.value("answered", ""));
  }
  return out;
}

}  // namespace

NodesCommand::NodesCommand(CLI::App& app, NodesOptions* options) : options_(options) {
  group_ = app.add_subcommand("nodes", "a node's view of the other nodes");
  group_->require_subcommand(1);
  const auto add = [&](const char* name, const char* description) {
    CLI::App* command = group_->add_subcommand(name, description);
    command->add_option("--at", options_->status_address, "the node's status address, ip:port");
    return command;
  };
  show_ = add("show", "all members and their states in its view");
  show_->add_flag("--json", options_->json, "print the JSON of the status address unchanged");
  watch_ = add("watch", "print all members, then a line for each change");
  watch_->add_option("--every", options_->interval, "seconds between two polls")
      ->check(CLI::Range(0.1, 3600.0));
  watch_->add_option("--times", options_->polls, "number of polls; 0: until Ctrl-C")
      ->check(CLI::Range(0, 1'000'000));
  explain_ =
      add("explain",
          "the history of one member: which nodes suspected it, which reached it, what refuted a suspicion");
  explain_->add_option("name", options_->member, "the member's name")->required();
  tier_ = add("tier",
              "this node's share of the traffic, the rate of each node, and the replicas that nodes report "
              "as failing");
  tier_->add_flag("--json", options_->json, "print the JSON of the status address unchanged");
  check_ = add(
      "check",
      "exit with 0 if the view is settled, 1 if it is in doubt or the node is refused or has not joined, 2 "
      "if the view is changing");
}

bool NodesCommand::chosen() const { return group_->parsed(); }

int NodesCommand::Run() {
  if (*show_) return Show();
  if (*watch_) return Watch();
  if (*explain_) return Explain();
  if (*tier_) return ShowTier();
  return Check();
}

int NodesCommand::Show() {
  if (options_->json)
    return std::fputs(Get(options_->status_address, "/nodes").body.c_str(), stdout) < 0 ? 1 : 0;
  return std::fputs(MembersTable(GetNodes(options_->status_address)).c_str(), stdout) < 0 ? 1 : 0;
}

int NodesCommand::Watch() {
  std::map<std::string, std::string> last_states;  // by member
  std::string last_view_state;
  for (int i = 0; options_->polls == 0 || i < options_->polls; ++i) {
    if (i > 0) std::this_thread::sleep_for(std::chrono::duration<double>(options_->interval));
    const Json status = GetNodes(options_->status_address);
    if (i == 0) std::fputs(MembersTable(status).c_str(), stdout);
    std::map<std::string, std::string> states;
    for (const Json& member : status.value("members", Json::array()))
      states[member.value("name", "")] = member.value("standing", "");
    const std::string view_state = status.value("in_doubt", false)  ? "in doubt"
                                   : status.value("settled", false) ? "settled"
                                                                    : "changing";
    if (i > 0) {
      for (const auto& [name, state] : states) {
        const std::string before = last_states.contains(name) ? last_states[name] : "unknown";
        if (before != state) std::printf("%s: %s -> %s\n", name.c_str(), before.c_str(), state.c_str());
      }
      for (const auto& [name, state] : last_states) {
        if (!states.contains(name)) std::printf("%s: %s -> forgotten\n", name.c_str(), state.c_str());
      }
      if (view_state != last_view_state)
        std::printf("the view: %s -> %s, %d nodes\n", last_view_state.c_str(), view_state.c_str(),
                    status.value("live", 0));
    }
    std::fflush(stdout);
    last_states = std::move(states);
    last_view_state = view_state;
  }
  return 0;
}

int NodesCommand::Explain() {
  const HttpResponse response = Get(options_->status_address, "/nodes/" + options_->member);
  if (response.status == 404) {
    std::fprintf(
        stderr, "ryeglade: the node at %s has no member '%s' in its view; `ryeglade nodes show` lists them\n",
        options_->status_address.c_str(), options_->member.c_str());
    return 1;
  }
  const Json member = Json::parse(response.body, nullptr, false);
  if (!member.is_object()) FailNoStatus(options_->status_address);
  std::printf("%s at %s is %s for %s (incarnation %llu); last reached from here %s%s\n",
              options_->member.c_str(), member.value("address", "").c_str(),
              member.value("standing", "").c_str(), DurationText(member["since_ms_ago"]).c_str(),
              static_cast<unsigned long long>(member.value("incarnation", std::uint64_t{0})),
              DurationText(member["reached_ms_ago"]).c_str(),
              member["reached_ms_ago"].is_number() ? " ago" : "");
  std::printf("suspected by %s; reached by %s\n", JoinNames(member["accusers"]).c_str(),
              JoinNames(member["vouchers"]).c_str());
  for (const Json& line : member["history"]) {
    const std::string event = line.value("what", "");
    const std::string by = line.value("by", "");
    std::printf("  %10s ago  %-17s %s%s%s\n", DurationText(line["ms_ago"]).c_str(), event.c_str(),
                EventDescription(event), by.empty() ? "" : " ", by.c_str());
  }
  return 0;
}

int NodesCommand::ShowTier() {
  const HttpResponse response = Get(options_->status_address, "/tier");
  const Json status = Json::parse(response.body, nullptr, false);
  if (response.status == 404 || !status.is_object()) {
    std::fprintf(stderr,
                 "ryeglade: the node at %s has no [tier] in its settings; add that table and restart it\n",
                 options_->status_address.c_str());
    return 1;
  }
  if (options_->json) return std::fputs(response.body.c_str(), stdout) < 0 ? 1 : 0;
  std::fputs(TierTable(status).c_str(), stdout);
  return 0;
}

int NodesCommand::Check() {
  const Json status = GetNodes(options_->status_address);
  const bool joined = status.value("joined", false);
  const bool doubt = status.value("in_doubt", true);
  const bool refused = status.value("refused", false);
  const bool settled = status.value("settled", false);
  std::printf("%s: %s, %d nodes\n", status.value("name", "").c_str(),
              refused   ? "refused: another node has this name"
              : !joined ? "not joined"
              : doubt   ? "in doubt"
              : settled ? "settled"
                        : "changing",
              status.value("live", 0));
  if (refused || !joined || doubt) return 1;
  return settled ? 0 : 2;
}

}  // namespace ryeglade
