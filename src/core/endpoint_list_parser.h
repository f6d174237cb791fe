// Reads a list of endpoints in service discovery's JSON form, as a watch, a poll or the node's own copy of
// the last list has it. Nothing is applied here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"
#include "settings/config.h"

namespace ryeglade {

// Why an entry of a list can't be used.
enum class InvalidEntry : std::uint8_t { kNone, kNoName, kAddress };

// One entry of a list.
struct ListedEndpoint {
  InvalidEntry invalid = InvalidEntry::kNone;  // otherwise only `name` is set, and not with kNoName
  std::string name;
  std::string host_port;
  std::string lifecycle;      // as the list says it; empty: it doesn't
  double started_at_ms = 0;   // as the list says it, Unix time; 0: it doesn't
  policy::Endpoint endpoint;  // all but its id; `started_at` as the list says it, microseconds
};

// A list, its entries in their order.
struct ParsedEndpointList {
  std::uint64_t generation = 0;
  bool reset = false;  // it replaces all that is known; otherwise it tells changes
  std::vector<ListedEndpoint> entries;
};

// Null: the text is no list. Zones and kinds of machines that `config` does not name get no number.
std::optional<ParsedEndpointList> ParseEndpointList(std::string_view text, const Config& config);

// The generation that a list says; 0: it is none.
std::uint64_t GenerationOf(const std::string& list);

}  // namespace ryeglade
