// DisabledReplicas: the upstream hosts that operators have left out by hand, and those they let back, as one
// text that passes from one process to the next over a hot restart. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ryeglade {

struct DisabledReplicas {
  std::map<std::string, std::int64_t> out;   // instance name, and since when (microseconds, Unix time)
  std::map<std::string, std::int64_t> back;  // let back then: it counts as started then

  bool operator==(const DisabledReplicas&) const = default;
};

// "ryeglade-holds 1 NODE", a line "out NAME TIME" or "back NAME TIME" each, and "end". Names hold no white
// space.
std::string EncodeDisabledReplicas(const DisabledReplicas& holds, const std::string& node);
// Null where the text is not whole, is of another node or version, or says anything else: it is then not
// used at all. `why` says what was wrong.
std::optional<DisabledReplicas> DecodeDisabledReplicas(const std::string& text, const std::string& node,
                                                       std::string* why);

}  // namespace ryeglade
