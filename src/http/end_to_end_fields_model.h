// Selects the header fields of a request that are forwarded to the replica: all except those that concern one
// connection only (RFC 9110, section 7.6.1), those that the proxy writes itself, and those that can't be
// written safely. Performs no I/O.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ryeglade {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

// Returns the fields of `request` that are forwarded, unchanged and in their order. `own` holds the names, in
// lower case, of the fields that the proxy reads or writes itself.
HeaderFields EndToEndFields(const HeaderFields& request, const std::vector<std::string_view>& own);

// Returns the fields as header lines, each ended by CRLF.
std::string FieldLines(const HeaderFields& fields);

}  // namespace ryeglade
