// Reads the load that a replica reports beside a response or to a health check. Pure: no I/O, no clock.
#pragma once

#include <string>
#include <vector>

namespace ryeglade {

// `report`: "inflight=7,queue=2,util=0.61". The values of `fields` in their order; empty unless all are there
// and are finite numbers that are not negative.
std::vector<double> ParseLoadReport(const std::string& report, const std::vector<std::string>& fields);

}  // namespace ryeglade
