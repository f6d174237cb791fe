// DisabledReplicas: the replicas that operators have disabled or enabled again, how a call changes them, and
// the text form in which the processes of a node share them. Pure: no I/O, no clock.
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

// An operator's call to disable a replica or to enable it again.
struct DisableCall {
  std::string instance;
  bool disable = true;     // otherwise the replica is enabled again
  std::int64_t at = 0;     // microseconds (Unix time)
  bool is_listed = false;  // whether the replica is in the endpoint list of the process that got the call
};

enum class DisableResult : std::uint8_t {
  kDone,
  kUnknownReplica,  // neither listed nor disabled
  kNotStored,       // the call has no effect at any process of the node
};

// Of several calls for a replica the last one decides; disabling twice is undone by enabling once. A call
// that does not return kDone changes nothing.
DisableResult Apply(const DisableCall& call, DisabledReplicas* replicas);

// Returns the stored form: "ryeglade-holds 1 NODE", one line "out NAME TIME" (disabled) or "back NAME TIME"
// (enabled again) for each replica, and "end". A name that is empty, longer than 256 bytes or contains white
// space or control characters is left out.
std::string EncodeDisabledReplicas(const DisabledReplicas& replicas, const std::string& node);
// Returns nullopt, with the reason in `error`, if the text is incomplete, belongs to another node, has
// another version or contains anything unexpected. Nothing of such a text is used.
std::optional<DisabledReplicas> DecodeDisabledReplicas(const std::string& text, const std::string& node,
                                                       std::string* error);

}  // namespace ryeglade
