#include "rollout/release_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ryeglade::rollout {
namespace {

using nlohmann::json;

// Names on the wire, in the order of the enumerators of NodePhase and CommandKind.
constexpr const char* kPhaseNames[] = {"down", "starting", "running", "changing", "settling"};
constexpr const char* kCommandKindNames[] = {"claim", "change", "back", "confirm", "mark"};
constexpr std::size_t kMaxTextBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxHistorySamples = 1000;
constexpr int kMaxCrashes = 1'000'000;

// Returns an empty text if the key is absent. Throws if the value is not a text or is too long.
std::string TextAt(const json& object, const char* key) {
  std::string text = object.value(key, "");
  if (text.size() > kMaxTextBytes) throw std::runtime_error(key);
  return text;
}

template <class Enum, std::size_t N>
Enum EnumAt(const json& object, const char* key, const char* const (&names)[N]) {
  const std::string name = TextAt(object, key);
  const auto* const at = std::find(std::begin(names), std::end(names), name);
  if (at == std::end(names)) throw std::runtime_error(key);
  return static_cast<Enum>(at - std::begin(names));
}

std::string Dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

template <class T, class Convert>
std::optional<T> Parse(const std::string& text, Convert convert) {
  try {
    return convert(json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

json ToJson(const Release& release) {
  return {{"id", release.id},
          {"program", release.program},
          {"config", release.config},
          {"settings", release.settings},
          {"program_sum", release.program_digest},
          {"config_sum", release.config_digest},
          {"settings_sum", release.settings_digest}};
}

Release ReleaseFrom(const json& j) {
  return {TextAt(j, "id"),          TextAt(j, "program"),    TextAt(j, "config"),      TextAt(j, "settings"),
          TextAt(j, "program_sum"), TextAt(j, "config_sum"), TextAt(j, "settings_sum")};
}

json ToJson(const MetricsSample& sample) {
  return {{"release", sample.release_id}, {"figures", json::parse(EncodeNodeMetrics(sample.metrics))}};
}

json ToJson(const SupervisorStatus& status) {
  json j = {{"protocol", kProtocolVersion},
            {"node", status.node},
            {"epoch", status.epoch},
            {"driver", status.driver},
            {"plan", status.plan},
            {"mark", status.directive},
            {"mark_number", status.directive_number},
            {"why", status.directive_reason},
            {"phase", Name(status.phase)},
            {"in_force", ToJson(status.active)},
            {"last_good", ToJson(status.last_good)},
            {"trying", status.pending},
            {"failed", status.failed_release},
            {"failed_why", status.failure_reason},
            {"crashes", status.crashes},
            {"pid", status.pid},
            {"zone", status.zone},
            {"now", status.now},
            {"claimed", status.claimed_at}};
  if (status.metrics) j["figures"] = json::parse(EncodeNodeMetrics(*status.metrics));
  for (const MetricsSample& sample : status.history) j["history"].push_back(ToJson(sample));
  return j;
}

// Samples whose metrics can't be read are left out.
std::vector<MetricsSample> HistoryFrom(const json& status) {
  std::vector<MetricsSample> history;
  const auto samples = status.find("history");
  if (samples == status.end() || !samples->is_array() || samples->size() > kMaxHistorySamples) return history;
  for (const json& sample : *samples) {
    const auto metrics = DecodeNodeMetrics(sample.at("figures").dump());
    if (metrics) history.push_back({TextAt(sample, "release"), *metrics});
  }
  return history;
}

SupervisorStatus StatusFrom(const json& j) {
  SupervisorStatus status;
  status.node = TextAt(j, "node");
  status.epoch = j.value("epoch", std::uint64_t{0});
  status.driver = TextAt(j, "driver");
  status.plan = TextAt(j, "plan");
  status.directive = TextAt(j, "mark");
  status.directive_number = j.value("mark_number", std::uint64_t{0});
  status.directive_reason = TextAt(j, "why");
  status.phase = EnumAt<NodePhase>(j, "phase", kPhaseNames);
  status.active = ReleaseFrom(j.at("in_force"));
  status.last_good = ReleaseFrom(j.at("last_good"));
  status.pending = TextAt(j, "trying");
  status.failed_release = TextAt(j, "failed");
  status.failure_reason = TextAt(j, "failed_why");
  status.crashes = std::clamp(j.value("crashes", 0), 0, kMaxCrashes);
  status.pid = j.value("pid", std::int64_t{0});
  status.zone = TextAt(j, "zone");
  if (const auto at = j.find("figures"); at != j.end()) status.metrics = DecodeNodeMetrics(at->dump());
  status.now = j.value("now", std::int64_t{0});
  status.claimed_at = std::max(j.value("claimed", std::int64_t{0}), std::int64_t{0});
  status.history = HistoryFrom(j);
  return status;
}

SupervisorCommand CommandFrom(const json& j) {
  SupervisorCommand command;
  command.kind = EnumAt<CommandKind>(j, "what", kCommandKindNames);
  command.epoch = j.at("epoch").get<std::uint64_t>();
  command.driver = TextAt(j, "driver");
  command.plan = TextAt(j, "plan");
  command.directive = TextAt(j, "mark");
  command.directive_reason = TextAt(j, "why");
  if (const auto at = j.find("release"); at != j.end()) command.release = ReleaseFrom(*at);
  command.claimed_at = std::max(j.value("claim", std::int64_t{0}), std::int64_t{0});
  return command;
}

struct VersionRange {
  int lowest = 0, highest = 0;
};

std::optional<VersionRange> VersionRangeFrom(const json& j) {
  const bool pair = j.is_array() && j.size() == 2 && j[0].is_number_integer() && j[1].is_number_integer();
  if (!pair) return std::nullopt;
  return VersionRange{j[0].get<int>(), j[1].get<int>()};
}

// Returns an empty string if the programs are compatible in this one protocol.
std::string ProtocolError(const char* protocol, const json& old_compat, const json& new_compat) {
  const auto old_entry = old_compat.find(protocol);
  const auto new_entry = new_compat.find(protocol);
  if (old_entry == old_compat.end() || new_entry == new_compat.end())
    return "";  // one of them does not support the protocol at all
  const auto old_range = VersionRangeFrom(*old_entry);
  const auto new_range = VersionRangeFrom(*new_entry);
  if (!old_range || !new_range)
    return std::string(protocol) +
           ": `version --compat` of a program gives no range [lowest, highest] of versions";
  if (old_range->highest >= new_range->lowest && new_range->highest >= old_range->lowest) return "";
  return fmt::format("{}: no version in common: the active program supports {} to {}, the new one {} to {}",
                     protocol, old_range->lowest, old_range->highest, new_range->lowest, new_range->highest);
}

}  // namespace

const char* Name(NodePhase phase) { return kPhaseNames[static_cast<std::size_t>(phase)]; }

std::string EncodeRelease(const Release& release) { return Dump(ToJson(release)); }
std::optional<Release> DecodeRelease(const std::string& text) { return Parse<Release>(text, ReleaseFrom); }

std::string EncodeStatus(const SupervisorStatus& status) { return Dump(ToJson(status)); }
std::optional<SupervisorStatus> DecodeStatus(const std::string& text) {
  return Parse<SupervisorStatus>(text, StatusFrom);
}

std::string EncodeCommand(const SupervisorCommand& command) {
  return Dump({{"protocol", kProtocolVersion},
               {"what", kCommandKindNames[static_cast<std::size_t>(command.kind)]},
               {"epoch", command.epoch},
               {"driver", command.driver},
               {"plan", command.plan},
               {"release", ToJson(command.release)},
               {"mark", command.directive},
               {"why", command.directive_reason},
               {"claim", command.claimed_at}});
}
std::optional<SupervisorCommand> DecodeCommand(const std::string& text) {
  return Parse<SupervisorCommand>(text, CommandFrom);
}

std::string EncodeReply(const CommandReply& reply) {
  return Dump({{"yes", reply.accepted}, {"why", reply.reason}, {"status", ToJson(reply.status)}});
}
std::optional<CommandReply> DecodeReply(const std::string& text) {
  return Parse<CommandReply>(text, [](const json& j) {
    return CommandReply{j.at("yes").get<bool>(), TextAt(j, "why"), StatusFrom(j.at("status"))};
  });
}

std::string CompatibilityError(const std::string& old_compat, const std::string& new_compat) {
  const json old_ranges = json::parse(old_compat, nullptr, false);
  const json new_ranges = json::parse(new_compat, nullptr, false);
  if (!old_ranges.is_object())
    return "the active program does not print a JSON object for `version --compat`";
  if (!new_ranges.is_object()) return "the new program does not print a JSON object for `version --compat`";
  for (const char* protocol : {"membership-wire", "hand-over-state", "keeper-protocol"}) {
    std::string error = ProtocolError(protocol, old_ranges, new_ranges);
    if (!error.empty()) return error;
  }
  return "";
}

}  // namespace ryeglade::rollout
