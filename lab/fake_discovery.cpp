#include "lab/fake_discovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace ryeglade::lab {
namespace {

constexpr Time kKeepAliveInterval = 2'000'000;  // of the empty lines that a watch gets

nlohmann::json Instance(const std::string& name, const std::string& host_port, const DiscoveryEntry& e) {
  return {{"instanceId", name},
          {"hostPort", host_port},
          {"zone", e.zone},
          {"machineType", "m"},
          {"cell", e.cell},
          {"weight", 1.0},
          {"startedAtMs", e.started_at_ms},
          {"lifecycle", e.lifecycle}};
}

}  // namespace

FakeDiscovery::FakeDiscovery(const Runtime* runtime)
    : runtime_(runtime),
      server_(runtime, this, {.listen = "127.0.0.1:0", .max_connections = 256, .admits = {}}) {}

std::string FakeDiscovery::Text(bool full) const {
  nlohmann::json instances = nlohmann::json::array();
  for (const Entry& e : entries_) {
    if (full && e.entry.lifecycle == "left") continue;
    instances.push_back(Instance(e.name, e.host_port, e.entry));
  }
  return nlohmann::json({{"generation", generation_}, {"reset", full}, {"instances", instances}}).dump();
}

void FakeDiscovery::Set(const std::string& name, const std::string& host_port, const std::string& lifecycle) {
  DiscoveryEntry entry;
  entry.lifecycle = lifecycle;
  Set(name, host_port, entry);
}

void FakeDiscovery::Set(const std::string& name, const std::string& host_port, const DiscoveryEntry& entry) {
  const auto it =
      std::find_if(entries_.begin(), entries_.end(), [&](const Entry& e) { return e.name == name; });
  if (it == entries_.end()) {
    entries_.push_back({name, host_port, entry});
  } else {
    *it = {name, host_port, entry};
  }
  ++generation_;
  const nlohmann::json change = {
      {"generation", generation_}, {"reset", false}, {"instances", {Instance(name, host_port, entry)}}};
  if (silent_ || watches_.empty()) return;
  for (const Handle watch : watches_) server_.Chunk(watch, change.dump() + "\n");
  if (listed_callback_) listed_callback_(name, entry.lifecycle);
}

void FakeDiscovery::SetUnavailable(bool unavailable) {
  unavailable_ = unavailable;
  const std::set<Handle> watches = watches_;
  watches_.clear();
  for (const Handle watch : watches) server_.Abort(watch);
}

void FakeDiscovery::OnRequest(Handle connection, HttpRequest request) {
  if (unavailable_) return server_.Abort(connection);
  if (!request.target.starts_with("/catalog/members")) return server_.Reply(connection, 404, "", "");
  if (silent_) return;
  const bool follow = request.target.find("follow=1") != std::string::npos;
  if (reply_delay_ == 0) return SendList(connection, follow);
  runtime_->deadlines->Set(Now() + reply_delay_,
                           [this, connection, follow] { SendList(connection, follow); });
}

void FakeDiscovery::SendList(Handle connection, bool follow) {
  if (unavailable_ || silent_ || !server_.Connected(connection)) return;
  if (!follow) {
    server_.Reply(connection, 200, "Content-Type: application/json\r\n", Text(true));
    return ReportAllEntries();
  }
  watches_.insert(connection);
  server_.BeginChunks(connection, "Content-Type: application/json\r\n");
  server_.Chunk(connection, Text(true) + "\n");
  ReportAllEntries();
  if (!keep_alive_scheduled_) SendKeepAlive();
}

void FakeDiscovery::ReportAllEntries() {
  if (!listed_callback_) return;
  for (const Entry& e : entries_) listed_callback_(e.name, e.entry.lifecycle);
}

void FakeDiscovery::SendKeepAlive() {
  keep_alive_scheduled_ = !watches_.empty();
  if (!keep_alive_scheduled_) return;
  runtime_->deadlines->Set(Now() + kKeepAliveInterval, [this] {
    for (const Handle watch : watches_) {
      if (!silent_) server_.Chunk(watch, "\n");
    }
    SendKeepAlive();
  });
}

}  // namespace ryeglade::lab
