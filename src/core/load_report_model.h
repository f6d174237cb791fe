// Parses the load report that a replica sends with a response or in reply to a health check. Pure: no I/O, no
// clock.
#pragma once

#include <string>
#include <vector>

namespace ryeglade {

// Returns the values of `fields`, in that order, from a report such as "inflight=7,queue=2,util=0.61".
// Returns an empty vector unless every field is present and is a finite number that is not negative.
std::vector<double> ParseLoadReport(const std::string& report, const std::vector<std::string>& fields);

}  // namespace ryeglade
