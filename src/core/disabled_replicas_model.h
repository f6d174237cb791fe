// DisabledReplicas: the replicas that operators have disabled by hand, and those they enabled again, as one
// text that passes from one process of a node to the next over a hot restart. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ryeglade {

// What operators have said, by the names of instances.
struct DisabledReplicas {
  // By instance name: since when, microseconds, Unix time.
  std::map<std::string, std::int64_t> disabled;
  // Enabled again, and when: they count as started then.
  std::map<std::string, std::int64_t> enabled;

  bool operator==(const DisabledReplicas&) const = default;
};

// The stored form: "ryeglade-holds 1 NODE", a line "out NAME TIME" (disabled) or "back NAME TIME" (enabled
// again) each, and "end". Names contain no white space; one that does is left out.
std::string EncodeDisabledReplicas(const DisabledReplicas& replicas, const std::string& node);
// Null where the text is not complete, is of another node or version, or says anything else: it is then not
// used at all. `error` says what was wrong.
std::optional<DisabledReplicas> DecodeDisabledReplicas(const std::string& text, const std::string& node,
                                                       std::string* error);

}  // namespace ryeglade
