// Encoding of the state that the old process of a node hands over to the new one: a header line
// ("ryeglade-state MAJOR PID CHECKSUM", where PID is the recipient's) and MessagePack with named fields. A
// reader of the same major version ignores fields that it does not know; a state of another major version is
// rejected. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ryeglade/learned_state.h"

namespace ryeglade::hot_restart {

// Version of both encodings below. A text of another version is rejected.
inline constexpr int kHandoverFormatMajor = 1;

// What the old process of a node hands over to the new one.
struct HandoverState {
  std::string node;                   // name of the node that wrote the state
  std::string program;                // version of the program that wrote the state
  std::string discovery;              // address of the discovery service that `roster` was read from
  std::string roster;                 // the endpoint list, as the discovery service sent it
  std::vector<std::string> classes;   // class names; their indexes are those used in `learned`
  std::vector<std::string> call_ids;  // ids of requests that must not run again
  policy::LearnedState learned;       // what the decision module has learned and what it has in flight
};

// `recipient` is the pid of the only process that may restore the state.
std::string EncodeHandoverState(const HandoverState& state, std::int64_t recipient);
// Returns nullopt, with the reason in `why`, if the text is truncated, corrupted or of another major version,
// or is not meant for the process `recipient` of the node `node`.
std::optional<HandoverState> DecodeHandoverState(const std::string& text, std::int64_t recipient,
                                                 const std::string& node, std::string* why);
// Whether `why`, as set by DecodeHandoverState, says that the state is for another process.
bool IsForAnotherProcess(const std::string& why);
// Removes everything in `learned` that is keyed by class index if the state's classes differ from `classes`,
// because the indexes would then refer to other classes.
void DropMismatchedClasses(const std::vector<std::string>& classes, HandoverState* state);

// An endpoint list that the process `sender` was told after it had handed over.
std::string EncodeSiblingList(const std::string& list, std::int64_t sender);
// Returns nullopt if the text is truncated, corrupted, of another major version or from another process.
std::optional<std::string> DecodeSiblingList(const std::string& text, std::int64_t sender);

// Number of upstream requests that a process has in flight, by replica id.
using InFlightCounts = std::vector<std::pair<std::uint32_t, int>>;
// `sender` is the pid of the process that has these requests in flight.
std::string EncodeInFlight(const InFlightCounts& counts, std::int64_t sender);
// Returns nullopt if the text is truncated, corrupted, of another major version or from a process other than
// `sender`, or if a count is out of range.
std::optional<InFlightCounts> DecodeInFlight(const std::string& text, std::int64_t sender);

}  // namespace ryeglade::hot_restart
