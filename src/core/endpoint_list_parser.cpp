#include "core/endpoint_list_parser.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

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

// Entries that cannot be used are kept up to this number, for the log.
constexpr std::size_t kMaxInvalidEntries = 64;

// Depths in a list's JSON text.
constexpr int kListKeyDepth = 1;   // of "instances", and of the array
constexpr int kEntryDepth = 2;     // of an object within the array
constexpr int kEntryKeyDepth = 3;  // of "instanceId", and of its value
constexpr int kMaxDepth = 64;      // of anything in the text

// Thrown out of the parser, which has no other way to be ended.
class NestedTooDeeply : public std::exception {};

// Collects the entries while the text is parsed and keeps the parser from storing anything that is not
// needed: a document of short values takes many times its size in memory.
class EntryCollector {
 public:
  explicit EntryCollector(const Config* config) : config_(config) {}

  // The callback of the JSON parser. Returns whether it is to keep the value.
  bool OnEvent(int depth, json::parse_event_t event, const json& value) {
    if (depth > kMaxDepth) throw NestedTooDeeply();
    if (depth == 0) return true;
    if (depth == kListKeyDepth) return OnListValue(event, value);
    if (!in_instances_) return false;
    if (depth == kEntryDepth) return OnEntry(event, value);
    return depth == kEntryKeyDepth && OnEntryValue(event, value);
  }

  std::vector<ListedEndpoint> entries;

 private:
  bool OnListValue(json::parse_event_t event, const json& value) {
    if (event == json::parse_event_t::key) {
      in_instances_ = value == "instances";
      return in_instances_ || value == "generation" || value == "reset";
    }
    if (event == json::parse_event_t::array_start) entries.clear();  // of a key that stands twice
    return true;
  }

  bool OnEntry(json::parse_event_t event, const json& value) {
    if (event == json::parse_event_t::object_start) return true;
    if (event == json::parse_event_t::object_end || event == json::parse_event_t::value) Add(value);
    return false;
  }

  static bool OnEntryValue(json::parse_event_t event, const json& value) {
    if (event == json::parse_event_t::value) return true;
    if (event != json::parse_event_t::key) return false;
    static constexpr std::array<const char*, 8> kKeys = {
        "instanceId", "hostPort", "zone", "machineType", "cell", "weight", "startedAtMs", "lifecycle"};
    return std::any_of(kKeys.begin(), kKeys.end(), [&](const char* key) { return value == key; });
  }

  void Add(const json& entry) {
    ListedEndpoint listed = ParseEntry(entry, *config_);
    if (listed.invalid != InvalidEntry::kNone && ++invalid_ > kMaxInvalidEntries) return;
    entries.push_back(std::move(listed));
  }

  const Config* config_;
  bool in_instances_ = false;  // the value of the key "instances" is being parsed
  std::size_t invalid_ = 0;    // number of entries that cannot be used
};

}  // namespace

std::optional<ParsedEndpointList> ParseEndpointList(std::string_view text, const Config& config) {
  EntryCollector collector(&config);
  json list;
  try {
    list = json::parse(
        text,
        [&](int depth, json::parse_event_t event, json& value) {
          return collector.OnEvent(depth, event, value);
        },
        false);
  } catch (const NestedTooDeeply&) {
    return std::nullopt;
  }
  if (!list.is_object()) return std::nullopt;
  const auto generation = list.find("generation");
  const auto instances = list.find("instances");
  if (generation == list.end() || !generation->is_number_unsigned()) return std::nullopt;
  if (instances == list.end() || !instances->is_array()) return std::nullopt;

  ParsedEndpointList parsed;
  parsed.generation = generation->get<std::uint64_t>();
  const auto reset = list.find("reset");
  parsed.reset = reset != list.end() && reset->is_boolean() && reset->get<bool>();
  parsed.entries = std::move(collector.entries);
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
