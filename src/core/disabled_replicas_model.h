// DisabledReplicas: the replicas that operators have disabled or enabled again, and its text form, in which
// one process of a node hands it to the next on a hot restart. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ryeglade {

// Replicas that operators disabled or enabled again. The keys are instance names, the values times in
// microseconds (Unix time).
struct DisabledReplicas {
  std::map<std::string, std::int64_t> disabled;  // disabled since
  std::map<std::string, std::int64_t> enabled;   // enabled again at; this counts as the replica's start

  bool operator==(const DisabledReplicas&) const = default;
};

// Returns the stored form: "ryeglade-holds 1 NODE", one line "out NAME TIME" (disabled) or "back NAME TIME"
// (enabled again) for each replica, and "end". A name that is empty, longer than 256 bytes or contains white
// space or control characters is left out.
std::string EncodeDisabledReplicas(const DisabledReplicas& replicas, const std::string& node);
// Returns nullopt, with the reason in `error`, if the text is incomplete, belongs to another node, has
// another version or contains anything unexpected. Nothing of such a text is used.
std::optional<DisabledReplicas> DecodeDisabledReplicas(const std::string& text, const std::string& node,
                                                       std::string* error);

}  // namespace ryeglade
