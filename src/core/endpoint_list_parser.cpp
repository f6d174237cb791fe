#include "core/endpoint_list_parser.h"

#include <sys/socket.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/tcp.h"

namespace ryeglade {
namespace {

using nlohmann::json;
using policy::Endpoint;
using policy::EndpointState;
using policy::Time;

constexpr double kNoCell = -1;  // the list does not say in which cell the replica is
constexpr double kMaxCell = 1e9;
constexpr double kMaxStartedAtMs = 1e15;

std::string TextField(const json& entry, const char* key) {
  const auto field = entry.find(key);
  return field != entry.end() && field->is_string() ? field->get<std::string>() : std::string();
}

double NumberField(const json& entry, const char* key, double fallback) {
  const auto field = entry.find(key);
  return field != entry.end() && field->is_number() ? field->get<double>() : fallback;
}

// Returns the index of the field's value in `names`, or -1 if the field is absent or its value is not in
// `names`.
int IndexOf(const std::vector<std::string>& names, const json& entry, const char* key) {
  const auto field = entry.find(key);
  if (field == entry.end() || !field->is_string()) return -1;
  const auto at = std::find(names.begin(), names.end(), field->get_ref<const std::string&>());
  return at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

// An unknown state counts as draining: the replica gets no new requests.
EndpointState StateOf(std::string_view lifecycle) {
  if (lifecycle == "active") return EndpointState::kReady;
  if (lifecycle == "left") return EndpointState::kRemoved;
  return EndpointState::kDraining;
}

ListedEndpoint ParseEntry(const json& entry, const Config& config) {
  ListedEndpoint listed;
  const auto name = entry.is_object() ? entry.find("instanceId") : entry.end();
  if (name == entry.end() || !name->is_string()) {
    listed.invalid = InvalidEntry::kNoName;
    return listed;
  }
  listed.name = name->get<std::string>();
  listed.lifecycle = TextField(entry, "lifecycle");
  listed.host_port = TextField(entry, "hostPort");
  listed.started_at_ms = NumberField(entry, "startedAtMs", 0);
  Endpoint& endpoint = listed.endpoint;
  endpoint.state = StateOf(listed.lifecycle);
  endpoint.weight = NumberField(entry, "weight", 1.0);
  endpoint.zone = IndexOf(config.zones, entry, "zone");
  endpoint.kind = IndexOf(config.replica_kinds, entry, "machineType");
  endpoint.cell = static_cast<int>(std::clamp(NumberField(entry, "cell", kNoCell), kNoCell, kMaxCell));
  endpoint.started_at = static_cast<Time>(std::clamp(listed.started_at_ms, 0.0, kMaxStartedAtMs)) * 1000;
  sockaddr_storage address{};
  if (endpoint.state != EndpointState::kRemoved && !ParseAddress(listed.host_port, &address)) {
    listed.invalid = InvalidEntry::kAddress;
  }
  return listed;
}

}  // namespace

std::optional<ParsedEndpointList> ParseEndpointList(std::string_view text, const Config& config) {
  const json list = json::parse(text, nullptr, false);
  if (!list.is_object()) return std::nullopt;
  const auto generation = list.find("generation");
  const auto instances = list.find("instances");
  if (generation == list.end() || !generation->is_number_unsigned()) return std::nullopt;
  if (instances == list.end() || !instances->is_array()) return std::nullopt;

  ParsedEndpointList parsed;
  parsed.generation = generation->get<std::uint64_t>();
  const auto reset = list.find("reset");
  parsed.reset = reset != list.end() && reset->is_boolean() && reset->get<bool>();
  for (const json& entry : *instances) parsed.entries.push_back(ParseEntry(entry, config));
  return parsed;
}

std::uint64_t GenerationOf(const std::string& list) {
  const json parsed = json::parse(list, nullptr, false);
  if (!parsed.is_object()) return 0;
  const auto generation = parsed.find("generation");
  const bool known = generation != parsed.end() && generation->is_number_unsigned();
  return known ? generation->get<std::uint64_t>() : 0;
}

}  // namespace ryeglade
