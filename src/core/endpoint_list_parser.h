// Parses an endpoint list in service discovery's JSON form, from a watch, a poll or the node's cached copy of
// the last list. Nothing is applied here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"
#include "settings/config.h"

namespace ryeglade {

// Why an entry of a list cannot be used.
enum class InvalidEntry : std::uint8_t {
  kNone,     // it can be used
  kNoName,   // it has no instance id
  kAddress,  // its address is not an ip:port
};

// One entry of a list.
struct ListedEndpoint {
  // Unless kNone, only `name` may be used, and with kNoName not even that.
  InvalidEntry invalid = InvalidEntry::kNone;
  std::string name;
  std::string host_port;
  std::string lifecycle;      // as in the list; empty if absent
  double started_at_ms = 0;   // as in the list, Unix time; 0 if absent
  policy::Endpoint endpoint;  // everything except the id; `started_at` is the list's value in microseconds
};

// A parsed list; the entries are in the order of the list.
struct ParsedEndpointList {
  std::uint64_t generation = 0;
  bool reset = false;  // a complete list that replaces the previous one; otherwise a list of changes
  std::vector<ListedEndpoint> entries;
};

// Returns nullopt if the text is not a list. Zones and machine types that `config` does not name get the
// index -1.
std::optional<ParsedEndpointList> ParseEndpointList(std::string_view text, const Config& config);

// Returns the generation of a list, or 0 if the text is not a list.
std::uint64_t GenerationOf(const std::string& list);

}  // namespace ryeglade
