// The keeper's process: starts, watches and ends the node's processes as the keeper's deciding part says,
// keeps what it must remember in a file, and takes commands on an address of its own. One loop; what may wait
// (looking at the node, sums of files, the disk) is done beside it.
#pragma once

#include <string>

#include "rollout/supervisor_model.h"

namespace ryeglade::rollout {

struct KeeperOptions {
  std::string node, zone;
  std::string directory;  // of the keeper: its memory, the nodes' logs, their $TMPDIR
  std::string control;    // ip:port
  Release release;        // at the first start only: later its memory tells
  KeeperLimits limits;
};

// Serves until SIGTERM. Throws std::runtime_error where it can't start: another keeper has this directory,
// the address is taken, the release can't be read.
void Keep(const KeeperOptions& options);

// The sum of a file's bytes as Release has it; throws std::runtime_error naming the file.
std::string SumOf(const std::string& path);

}  // namespace ryeglade::rollout
