#include "core/disabled_replicas_model.h"

#include <charconv>
#include <string_view>

namespace ryeglade {
namespace {

constexpr std::string_view kHeader = "ryeglade-holds 1 ";
constexpr std::size_t kMaxNames = 100'000;

// Names of the form that fits into a line of the file.
bool IsPlainName(const std::string& name) {
  if (name.empty() || name.size() > 256) return false;
  for (const char c : name) {
    if (c <= ' ' || c == 0x7f) return false;
  }
  return true;
}

}  // namespace

DisableResult Apply(const DisableCall& call, DisabledReplicas* replicas) {
  if (!call.is_listed && !replicas->disabled.contains(call.instance)) return DisableResult::kUnknownReplica;
  if (!IsPlainName(call.instance)) return DisableResult::kNotStored;
  if (call.disable) {
    replicas->disabled.try_emplace(call.instance, call.at);
  } else if (replicas->disabled.erase(call.instance) > 0) {
    replicas->enabled[call.instance] = call.at;
  }
  return DisableResult::kDone;
}

std::string EncodeDisabledReplicas(const DisabledReplicas& replicas, const std::string& node) {
  std::string text = std::string(kHeader) + node + "\n";
  const auto add = [&](const char* keyword, const std::map<std::string, std::int64_t>& names) {
    for (const auto& [name, at] : names) {
      if (IsPlainName(name)) text += std::string(keyword) + " " + name + " " + std::to_string(at) + "\n";
    }
  };
  add("out", replicas.disabled);
  add("back", replicas.enabled);
  return text + "end\n";
}

std::optional<DisabledReplicas> DecodeDisabledReplicas(const std::string& text, const std::string& node,
                                                       std::string* error) {
  const auto fail = [&](const std::string& reason) -> std::optional<DisabledReplicas> {
    *error = reason;
    return std::nullopt;
  };
  std::string_view rest = text;
  const auto next_line = [&]() -> std::optional<std::string_view> {
    const std::size_t end = rest.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + 1);
    return line;
  };
  const auto header = next_line();
  if (!header || header->substr(0, kHeader.size()) != kHeader)
    return fail("not a ryeglade-holds file of version 1");
  if (const std::string owner(header->substr(kHeader.size())); owner != node)
    return fail("belongs to node '" + owner + "', not to '" + node + "'");
  DisabledReplicas replicas;
  for (std::size_t n = 0;; ++n) {
    const auto line = next_line();
    if (!line) return fail("truncated: no 'end' line");
    if (*line == "end") break;
    if (n == kMaxNames) return fail("more than " + std::to_string(kMaxNames) + " names");
    const std::size_t first_space = line->find(' ');
    const std::size_t last_space = line->rfind(' ');
    if (first_space == std::string_view::npos || first_space == last_space)
      return fail("a line is not 'out|back NAME TIME'");
    const std::string_view keyword = line->substr(0, first_space);
    const std::string_view number = line->substr(last_space + 1);
    const std::string name(line->substr(first_space + 1, last_space - first_space - 1));
    std::int64_t at = 0;
    const auto [end, parse_error] = std::from_chars(number.data(), number.data() + number.size(), at);
    if (parse_error != std::errc() || end != number.data() + number.size() || at < 0 || !IsPlainName(name)) {
      return fail("a line has an invalid name (longer than 256 bytes or with white space) or time");
    }
    if (keyword == "out") {
      replicas.disabled[name] = at;
    } else if (keyword == "back") {
      replicas.enabled[name] = at;
    } else {
      return fail("a line is not 'out|back NAME TIME'");
    }
  }
  if (!rest.empty()) return fail("data after the 'end' line");
  return replicas;
}

}  // namespace ryeglade
