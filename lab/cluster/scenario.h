// A scenario: several nodes and the faults of their processes and links, read from a TOML file. Real
// processes and the emulator play the same file. Times are in probe periods, so that a scenario can be played
// at any speed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/cluster/link_model.h"

namespace ryeglade::cluster {

using Nodes = std::vector<std::size_t>;  // node numbers, ascending

struct Fault {
  enum class What : std::uint8_t {
    kLink,      // between `from` and `to`
    kKill,      // SIGKILL; if `lasts` is set, started again under the same name after it
    kPause,     // SIGSTOP, and SIGCONT after `lasts`
    kStarve,    // stopped for the share `share` of each interval of `every` periods
    kTerm,      // SIGTERM; if `lasts` is set, started again after it
    kHandOver,  // hot restart: a second process starts, then SIGTERM to the first
    kAbsent,    // not started until `lasts` has passed
    kFlood,     // random datagrams to the node's port
    kCount
  } what = What::kLink;
  Nodes nodes;        // of a process fault
  Nodes from, to;     // of a link fault
  bool both = false;  // a link fault in both directions
  LinkState link;
  double at = 0, lasts = 0;       // periods; `lasts` 0 means until the end
  double share = 0.9, every = 1;  // of kStarve: share of the time, 0 to 1; interval in periods
  int times = 1;                  // how often the fault occurs
  double again_after = 0;         // periods from one beginning to the next
};

// A fault of replicas. Only some nodes may see it, as if their own network were faulty.
struct ReplicaFault {
  std::string how;  // error, silent, or unreachable; only unreachable may be limited to some of the nodes
  std::size_t first = 0, count = 1;  // the number of the first replica, and how many replicas are concerned
  Nodes nodes;                       // the nodes that see the fault
  double at = 0, lasts = 0;          // periods; `lasts` 0 means until the end
};

// What the nodes have to report, and what they may report at most.
struct Expect {
  Nodes removed;                 // every other running node must report that these are dead
  Nodes may_remove;              // reporting one of these as dead is not a false death
  Nodes in_doubt;                // each of these must report that its view is in doubt
  Nodes refused;                 // each of these must report that its name is taken
  bool no_doubt = false;         // no node may report that its view is in doubt
  std::size_t most_false = 0;    // allowed false deaths
  std::size_t most_returns = 1;  // allowed returns of one member to one view; more is flapping
  double removed_within = 40;    // periods from a death to the last report of it
  double one_view_within = 40;   // periods from the end of the last fault until all views agree
  double served = 0.95;          // share of the clients' requests that must be served, if there are clients
};

struct Scenario {
  std::string name, title, text;                // `text` is the whole scenario file
  std::size_t nodes = 5, seeds = 2, zones = 1;  // the first `seeds` nodes are the seeds that others join
  double length = 60;                           // periods
  double loss = 0;                              // if above 0, replaces the share of every `loss` fault
  double warm_up = 25;                          // periods before the time 0 from which `at` counts
  Time period = 200'000;                        // probe period in microseconds
  std::uint64_t seed = 1;
  double rate = 0;  // requests of clients per second, over all nodes; 0 means no clients
  std::size_t replicas = 3;
  std::vector<std::size_t> old_wire;       // nodes that use wire version 1
  std::vector<std::size_t> other_cluster;  // nodes that are configured for another cluster
  std::vector<std::size_t> old_build;      // nodes that run an older program, given by --old-program
  std::vector<std::pair<std::size_t, std::size_t>> same_name;  // the second node gets the name of the first
  std::vector<Fault> faults;
  std::vector<ReplicaFault> replica_faults;
  bool tier = false;  // the nodes gossip their traffic and what they observe of replicas
  Expect expect;

  std::string NodeName(std::size_t node) const;  // takes same_name into account
  std::string ZoneOf(std::size_t node) const;    // zones take turns, by node number
  // The combined faults of the link at `at` (periods after the warm-up).
  LinkState LinkAt(std::size_t from, std::size_t to, double at) const;
  // The end of the last fault, in periods after the warm-up. Faults without an end count with their
  // beginning.
  double FaultsEndAt() const;
};

// Throws SettingsError, which names file, line, key and remedy.
Scenario ParseScenario(const std::string& file, const std::string& text);
Scenario ReadScenario(const std::string& path);

// One step of a process fault, at a time in periods after the warm-up.
struct Step {
  double at = 0;
  enum class Do : std::uint8_t {
    kKill,
    kStart,
    kStop,
    kContinue,
    kTerm,
    kHotRestart,
    kFlood
  } act = Do::kKill;
  std::size_t node = 0;
};
// Returns the steps of all process faults, in the order of time.
std::vector<Step> ProcessSteps(const Scenario& scenario);

}  // namespace ryeglade::cluster
