// Plays a scenario with real node processes on loopback. Fake discovery, fake replicas, open-loop clients and
// the links between the nodes run in this process.
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
  std::string program;      // path of the node's program
  std::string old_program;  // program of the nodes in old_build; may be empty if there are none
  std::string keep_logs;    // directory for every process's log; empty to discard the logs
  std::string chart;        // path ending in .svg or .png; empty for no chart
  std::vector<NodeEvent>* events = nullptr;   // if not null, gets all events
  std::function<void(double done)> progress;  // called with the share that is done, 0 to 1
  std::string more_settings;                  // TOML appended to each node's settings
  std::vector<double> query_shares_at;  // times, in periods, at which each node's traffic share is queried
  // If set, the lab joins the tier as one more member under the name that this gets, and gossips the messages
  // that this returns. The verdict of the checker is then left out.
  std::function<std::vector<std::string>(const std::string& name)> false_reporter;
};

struct RealResult {
  Verdict verdict;
  // Requests of clients at nodes without a process fault, by outcome.
  std::uint64_t asked = 0, served = 0, unanswered = 0, broken = 0;
  std::uint64_t asked_all = 0, served_all = 0;                                // at all nodes
  std::uint64_t overlapping_attempts = 0, attempts = 0, faulty_attempts = 0;  // counted by the fake replicas
  // By node: how often it ejected each replica because of reports of its peers.
  std::vector<std::map<std::string, int>> peer_ejections;
  struct TrafficShare {
    std::size_t node = 0;
    double share = 0, rate = 0;  // `part` and its own `rate` in its answer to GET /tier
    std::string state;           // `state` in that answer
  };
  // One entry for each time in query_shares_at, without the nodes that did not run then.
  std::vector<std::vector<TrafficShare>> shares;
  double messages = 0, bytes = 0;  // mean for a node and period
  double cpu_share = 0;            // share of a core that the busiest node used over the whole run
  std::vector<std::string> exits;  // one message for each process that did not exit as it should
};

// Throws std::runtime_error if something can't be started.
RealResult PlayReal(const Scenario& scenario, const RealOptions& options);

}  // namespace ryeglade::cluster
