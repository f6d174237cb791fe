// A scenario of several nodes and what fails between them, as a TOML file tells it. The same file is played
// by real processes and by the emulator. Times are in probe periods, so that one scenario can be played at
// any pace.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/cluster/link_model.h"

namespace ryeglade::cluster {

using Nodes = std::vector<std::size_t>;  // by number, rising

struct Fault {
  enum class What : std::uint8_t {
    kLink,      // between `from` and `to`
    kKill,      // SIGKILL; with `lasts`: started again under the same name after that long
    kPause,     // SIGSTOP, and SIGCONT after `lasts`
    kStarve,    // stopped for `share` of each `every` periods
    kTerm,      // SIGTERM; with `lasts`: started again that long after
    kHandOver,  // a second process beside it, then SIGTERM to the first
    kAbsent,    // not started before `lasts` has passed
    kFlood,     // datagrams of noise to the node's port
    kCount
  } what = What::kLink;
  Nodes nodes;     // of a process fault
  Nodes from, to;  // of a link fault
  bool both = false;
  LinkState link;
  double at = 0, lasts = 0;  // periods; lasts 0: to the end
  double share = 0.9, every = 1;
  int times = 1;           // repeated so often,
  double again_after = 0;  // periods from begin to begin
};

// What goes wrong at replicas, as all nodes see it or as some do whose own network is at fault.
struct ReplicaFault {
  std::string how;  // error, silent, or unreachable; the last alone may be for some nodes only
  std::size_t first = 0, count = 1;
  Nodes nodes;               // that it is so for
  double at = 0, lasts = 0;  // periods; lasts 0: to the end
};

struct Expect {
  Nodes removed;     // every other running node must have said that they are dead
  Nodes may_remove;  // a death of these is no false one
  Nodes in_doubt;    // each must have said so of its view
  Nodes refused;     // each must have said that its name is another's
  bool no_doubt = false;
  std::size_t most_false = 0;    // deaths of others
  std::size_t most_returns = 1;  // of any one member, as any one node saw it: more is flapping
  double removed_within = 40;    // periods
  double one_view_within = 40;   // periods after the last fault has ended
  double served = 0.95;          // share of the clients' requests, where there are clients
};

struct Scenario {
  std::string name, title, text;
  std::size_t nodes = 5, seeds = 2, zones = 1;
  double length = 60;     // periods
  double loss = 0;        // above 0: the share of every loss, instead of its own
  double warm_up = 25;    // periods before the first fault counts from: `at` is after them
  Time period = 200'000;  // microseconds, with real processes
  std::uint64_t seed = 1;
  double rate = 0;  // clients' requests a second, over all nodes
  std::size_t replicas = 3;
  std::vector<std::size_t> old_wire;  // nodes that speak wire version 1
  std::vector<std::size_t> other_cluster;
  std::vector<std::size_t> old_build;  // nodes that run another program, given by path
  std::vector<std::pair<std::size_t, std::size_t>> same_name;  // the second is given the first's name
  std::vector<Fault> faults;
  std::vector<ReplicaFault> replica_faults;
  bool tier = false;  // the nodes tell each other what comes to them and what they see
  Expect expect;

  std::string NodeName(std::size_t node) const;
  std::string ZoneOf(std::size_t node) const;
  // What the link does at `at` (periods after the warm-up).
  LinkState LinkAt(std::size_t from, std::size_t to, double at) const;
  // When the last fault is over, periods after the warm-up.
  double FaultsEndAt() const;
};

// Throws SettingsError naming file, line, key and remedy.
Scenario ParseScenario(const std::string& file, const std::string& text);
Scenario ReadScenario(const std::string& path);

// Process faults as single steps in the order of their time (periods after the warm-up).
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
std::vector<Step> ProcessSteps(const Scenario& scenario);

}  // namespace ryeglade::cluster
