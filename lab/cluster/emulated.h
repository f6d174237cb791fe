// A scenario in virtual time: the same membership part that the node runs, or a baseline to compare with, at
// any number of nodes, over links of the same fault kinds. One seed gives one run on every machine.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/cluster/invariant_checker.h"
#include "lab/cluster/scenario.h"
#include "membership/membership_model.h"

namespace ryeglade::cluster {

// "ryeglade" and, for comparison only, "swim" (Das, Gupta, Motivala, 2002, with suspicion), "heartbeat" (each
// to all, dead after a fixed time) and "phi" (the same, dead by the accrual of Hayashibara et al., 2004).
// Variants of ours with a part left out: "no-accusers", "no-vouches", "no-majority", "no-self-doubt".
const std::vector<std::string>& Detectors();

struct EmulatedResult {
  Verdict verdict;
  double messages = 0, bytes = 0;  // a node and period, mean
  double max_node_bytes = 0;       // of the busiest node
  double periods_to_all = -1;      // periods until all had heard of the last newcomer; -1: there was none
  std::uint64_t events = 0;
};

struct EmulatedOptions {
  std::string detector = "ryeglade";
  std::uint64_t seed = 1;
  std::string chart;  // an .svg or .png; empty: none
  std::vector<NodeEvent>* events = nullptr;
};

EmulatedResult PlayEmulated(const Scenario& scenario, const EmulatedOptions& options);

// The options of the membership part for a detector's name; others than ours and its variants: plain.
membership::MembershipOptions OptionsFor(const std::string& detector, Time period);

}  // namespace ryeglade::cluster
