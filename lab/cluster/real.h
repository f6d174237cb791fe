// A scenario with real processes of the program on loopback: nodes, discovery, stand-in replicas, open-loop
// clients, and the links between the nodes in this process.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/cluster/invariant_checker.h"
#include "lab/cluster/relay.h"
#include "lab/cluster/scenario.h"

namespace ryeglade::cluster {

struct RealOptions {
  std::string program;      // the node's
  std::string old_program;  // of the nodes that the scenario calls old; empty: there must be none
  std::string keep_logs;    // a directory that gets every process's log; empty: they go
  std::string chart;
  std::vector<NodeEvent>* events = nullptr;
  std::function<void(double done)> progress;
  std::string more_settings;            // TOML behind what each node is given
  std::vector<double> query_shares_at;  // periods: the nodes' parts of the tier are asked for then
  // A member of the tier that the lab plays itself, whose words say what the lab likes.
  std::function<std::vector<std::string>(const std::string& name)> false_reporter;
};

struct RealResult {
  Verdict verdict;
  std::uint64_t asked = 0, served = 0, unanswered = 0,
                broken = 0;                     // clients' requests, at nodes that ran all the while
  std::uint64_t asked_all = 0, served_all = 0;  // at all nodes
  std::uint64_t two_at_once = 0, attempts = 0, spoilt = 0;  // as the stand-ins saw them
  // By node: replicas that it left alone on others' word, and how often.
  std::vector<std::map<std::string, int>> peer_ejections;
  struct TrafficShare {
    std::size_t node = 0;
    double share = 0, rate = 0;
    std::string state;
  };
  std::vector<std::vector<TrafficShare>> shares;  // as asked for; nodes that do not run are missing
  double messages = 0, bytes = 0;                 // a node and period, mean
  double cpu_share = 0;                           // of a core, the busiest node, over the whole run
  std::vector<std::string> exits;                 // processes that did not end in order
};

// Throws std::runtime_error where something can't be started.
RealResult PlayReal(const Scenario& scenario, const RealOptions& options);

}  // namespace ryeglade::cluster
