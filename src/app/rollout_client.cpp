#include "app/rollout_client.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "http/blocking_client.h"

namespace ryeglade::rollout {
namespace {

constexpr double kMinTimeoutMs = 50, kMaxTimeoutMs = 2000;
constexpr int kCheckTimeoutMs = 25'000;  // a check runs programs at the node

// Returns the timeout of one call. A round must end well within the supervisors' lease, however many of them
// do not answer.
int TimeoutMs(double lease_seconds) {
  return static_cast<int>(std::clamp(lease_seconds * 1000 / 4, kMinTimeoutMs, kMaxTimeoutMs));
}

void StripTrailingNewlines(std::string& text) {
  while (!text.empty() && text.back() == '\n') text.pop_back();
}

}  // namespace

RolloutClient::RolloutClient(const Plan& plan, double lease, std::string source_address)
    : plan_(plan), timeout_ms_(TimeoutMs(lease)), source_address_(std::move(source_address)) {}

void RolloutClient::InParallel(std::size_t n, const std::function<void(std::size_t)>& call) {
  std::vector<std::thread> threads;
  threads.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    threads.emplace_back([&call, i] {
      try {
        call(i);
      } catch (const std::exception&) {  // the caller sees that the result is empty
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
}

RolloutClient::Statuses RolloutClient::PollStatuses() const {
  std::vector<std::optional<SupervisorStatus>> statuses(plan_.nodes.size());
  InParallel(statuses.size(), [&](std::size_t i) {
    const HttpResponse response = BlockingHttpCall("the keeper at", plan_.nodes[i].supervisor_address, "GET",
                                                   "/keeper", "", timeout_ms_, source_address_);
    statuses[i] = DecodeStatus(response.body);
  });
  Statuses by_node;
  for (std::size_t i = 0; i < statuses.size(); ++i) by_node[plan_.nodes[i].name] = std::move(statuses[i]);
  return by_node;
}

RolloutClient::Replies RolloutClient::Send(const std::vector<NodeCommand>& commands) const {
  std::map<std::string, std::string> addresses;
  for (const PlanNode& node : plan_.nodes) addresses[node.name] = node.supervisor_address;
  std::vector<std::optional<CommandReply>> replies(commands.size());
  InParallel(commands.size(), [&](std::size_t i) {
    const HttpResponse response =
        BlockingHttpCall("the keeper at", addresses.at(commands[i].node), "POST", "/keeper/command",
                         EncodeCommand(commands[i].command), timeout_ms_, source_address_);
    replies[i] = DecodeReply(response.body);
  });
  Replies by_node;
  for (std::size_t i = 0; i < commands.size(); ++i) by_node[commands[i].node] = std::move(replies[i]);
  return by_node;
}

ClusterView RolloutClient::PollClusterView() const {
  const std::vector<std::string>& addresses = plan_.status_addresses;
  std::vector<std::optional<NodeClusterView>> answers(addresses.size());
  InParallel(addresses.size(), [&](std::size_t i) {
    const HttpResponse response = BlockingHttpCall("the status address", addresses[i], "GET", "/nodes", "",
                                                   timeout_ms_, source_address_);
    answers[i] = DecodeNodeClusterView(response.body);
  });
  std::vector<NodeClusterView> views;
  for (auto& answer : answers) {
    if (answer) views.push_back(std::move(*answer));
  }
  return MergeClusterViews(addresses.size(), views);
}

std::string RolloutClient::CheckRelease(const PlanNode& node, const Release& release) const {
  std::string error;
  try {
    const HttpResponse response =
        BlockingHttpCall("the keeper at", node.supervisor_address, "POST", "/keeper/check",
                         EncodeRelease(release), kCheckTimeoutMs, source_address_);
    const auto answer = nlohmann::json::parse(response.body);
    if (!answer.value("good", false)) error = answer.value("why", "no reason given");
  } catch (const std::exception& e) {
    error = e.what();
  }
  StripTrailingNewlines(error);
  return error;
}

std::uint64_t HighestEpoch(const RolloutClient::Statuses& statuses) {
  std::uint64_t highest = 0;
  for (const auto& [name, status] : statuses) highest = std::max(highest, status ? status->epoch : 0);
  return highest;
}

}  // namespace ryeglade::rollout
