// Plays a scenario in virtual time, with the same membership model that the node runs or with a baseline for
// comparison, at any number of nodes and over links with the same kinds of faults. The same seed gives the
// same run on every machine.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/cluster/invariant_checker.h"
#include "lab/cluster/scenario.h"
#include "membership/membership_model.h"

namespace ryeglade::cluster {

// The names of all detectors: "ryeglade" and, for comparison only, "swim" (Das, Gupta, Motivala, 2002, with
// suspicion), "heartbeat" (each node to all, dead after a fixed time) and "phi" (the same, with the accrual
// detector of Hayashibara et al., 2004). The variants of ryeglade leave out one mechanism each:
// "no-accusers", "no-vouches", "no-majority", "no-self-doubt".
const std::vector<std::string>& Detectors();

struct EmulatedResult {
  Verdict verdict;
  double messages = 0, bytes = 0;  // sent, mean per node and period after the warm-up
  double max_node_bytes = 0;       // bytes per period of the node that sent most
  double periods_to_all = -1;  // periods until all nodes knew the node that started last; -1 if none started
  std::uint64_t events = 0;    // number of simulated ticks and arrivals
};

struct EmulatedOptions {
  std::string detector = "ryeglade";
  std::uint64_t seed = 1;
  std::string chart;                         // path ending in .svg or .png; empty for no chart
  std::vector<NodeEvent>* events = nullptr;  // if not null, gets all events
};

// Throws std::runtime_error if the detector is unknown.
EmulatedResult PlayEmulated(const Scenario& scenario, const EmulatedOptions& options);

// The options of the membership model for a detector: "ryeglade" or one of its variants. Every other name
// gives the options of "ryeglade".
membership::MembershipOptions OptionsFor(const std::string& detector, Time period);

}  // namespace ryeglade::cluster
