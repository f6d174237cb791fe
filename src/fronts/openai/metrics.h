// The ledger and the front's current state in the Prometheus text format.
#pragma once

#include <cstddef>
#include <string>

#include "ledger/ledger_model.h"

namespace ryeglade {

// `open_requests` is the number of requests in progress, `assembling_bytes` the size of the responses that
// are being assembled.
std::string MetricsText(const ledger::Ledger& ledger, std::size_t open_requests,
                        std::size_t assembling_bytes);

}  // namespace ryeglade
