// The ledger and the front's present state as Prometheus text, on prometheus-cpp.
#pragma once

#include <cstddef>
#include <string>

#include "ledger/ledger_model.h"

namespace ryeglade {

// `open`: requests that are being answered; `assembling`: bytes held for whole answers.
std::string MetricsText(const ledger::Ledger& ledger, std::size_t open, std::size_t assembling);

}  // namespace ryeglade
