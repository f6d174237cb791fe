// What one process of a node hands over to the next: a header line ("ryeglade-state MAJOR PID CHECKSUM", the
// pid being the recipient's) and MessagePack with named fields. A reader of the same major version ignores
// fields that it does not know; another major version is rejected. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ryeglade/learned_state.h"

namespace ryeglade::hot_restart {

inline constexpr int kHandoverFormatMajor = 1;

struct HandoverState {
  std::string node;                  // name of the node that wrote it
  std::string program;               // its version
  std::string discovery;             // address of the discovery service that `roster` came from
  std::string roster;                // the endpoint list, in discovery's form
  std::vector<std::string> classes;  // names by class index, as used by `learned`
  policy::LearnedState learned;
};

// `recipient`: the pid of the process that may restore it.
std::string EncodeHandoverState(const HandoverState& state, std::int64_t recipient);
// Null unless it is for the process `recipient` of the node `node`; `why` then says what is wrong.
std::optional<HandoverState> DecodeHandoverState(const std::string& text, std::int64_t recipient,
                                                 const std::string& node, std::string* why);
// Whether DecodeHandoverState gave `why` because the state is for another process.
bool IsForAnotherProcess(const std::string& why);
// Removes what was learned by class index where the classes differ from `classes`: it would be applied to
// other classes.
void DropMismatchedClasses(const std::vector<std::string>& classes, HandoverState* state);

// Number of upstream requests that a process has in flight, by replica.
using InFlightCounts = std::vector<std::pair<std::uint32_t, int>>;
// `sender`: the pid of the process whose requests they are.
std::string EncodeInFlight(const InFlightCounts& counts, std::int64_t sender);
// Null: truncated, corrupted, of another process, or with counts that can't be.
std::optional<InFlightCounts> DecodeInFlight(const std::string& text, std::int64_t sender);

}  // namespace ryeglade::hot_restart
