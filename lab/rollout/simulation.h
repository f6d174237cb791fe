// A rollout in virtual time: the program's own keepers, driver and verdict, over nodes that are no more than
// what a release does to requests; links that lose and cut; drivers that die between any two messages;
// a fleet that fails by itself. One seed, one course. Checks what must hold all the while.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rollout/driver_model.h"
#include "rollout/supervisor_model.h"

namespace ryeglade::rollout_lab {

using rollout::Time;

// What a release does to those who ask it.
struct Harm {
  double failed = 0;       // share of requests beside the fleet's own
  double refused = 0;      // the same
  std::string only_class;  // of this class only; empty: of all
  double slower = 0;       // first tokens: this part slower, under load
  double leak = 0;         // bytes a second
  int crash_at = 0;        // request at which a process dies; 0: never
  bool never_ready = false, does_not_start = false, no_figures = false, deaf = false;  // deaf: to SIGTERM
  std::string unreadable_at;  // a node whose files can't be read
};

enum class Rule : std::uint8_t {
  kVerdict,
  kThreshold,
  kAllAtOnce
};  // what stops it; the last: nothing, no stages

struct WorldSpec {
  std::uint64_t seed = 1;
  int nodes = 16, zones = 2;
  double rate = 20;     // requests a second at a node, median; nodes differ by `spread`
  double spread = 0.5;  // sigma of the logarithm
  double own_failed = 0.01, own_refused = 0.01;  // the fleet's own, median over nodes
  double overdispersion = 0.3;                   // sigma of the logarithm of those, node by node
  Harm harm;
  Rule rule = Rule::kVerdict;
  double soak = 60;  // seconds
  std::uint64_t requests = 500;
  std::vector<int> stages{1, 3};  // nodes of the first stages; the rest is the last
  std::size_t at_once = 2;
  double lost = 0;          // share of messages, each way
  double kill_driver = 0;   // chance at each message
  double pause_driver = 0;  // chance at each round; for pause_for seconds, then it goes on as if nothing were
  double pause_for = 30;
  double kill_keeper = 0;          // chance a keeper and second
  double kill_node = 0;            // the same for a node's process
  bool two_drivers = false;        // another starts now and then, whoever drives
  int cut_from = -1, cut_to = -1;  // nodes that no driver reaches,
  double cut_at = 0, cut_for = 0;  // then, for so long (seconds)
  int vanish = -1;                 // a node whose machine goes for good,
  double vanish_at = 0;
  double world_at = -1, world_for = 30, world_failed = 0;  // the fleet fails by itself
  double load_at = -1, load_for = 30, load_times = 1;
  double length = 1800;  // seconds at most
  // Broken on purpose, to see that the checks catch it.
  bool forge_epoch = false;  // keepers take any epoch
  bool no_lease = false;     // and any claim's age; a new driver doesn't wait
  bool greedy = false;       // a driver that passes over its plan's at_once
  bool forgetful = false;    // a keeper that forgets its last good release
};

struct WorldResult {
  std::vector<std::string> broken;  // what must hold and did not; empty: good
  std::string end;                  // "done", "back", "paused: ...", "unfinished"
  double stopped_at = -1;           // seconds after the start, when it was decided to go back; -1: never
  std::size_t stopped_stage = 0;
  std::size_t exposed_nodes = 0;
  double exposed_requests = 0, worth_lost = 0, worth = 0;  // lost: to the release's harm
  double seconds = 0;
  int drivers = 0, keepers_killed = 0;
  std::string why;
};

WorldResult Play(const WorldSpec& spec);

// Counts of a whole set of runs, with what each ended as.
struct Set {
  int runs = 0, stopped = 0, done = 0, other = 0, first_stage = 0;
  double nodes = 0, requests = 0, lost = 0, worth = 0, seconds = 0;
  std::vector<std::string> broken, ends;  // ends: of those that were not done, with their seed
};
Set PlayAll(WorldSpec spec, int runs, int workers);

}  // namespace ryeglade::rollout_lab
