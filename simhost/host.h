// Runs one Router for each node of the simulation, which share no state. Each batch of event records yields
// one reply with the actions of all nodes that the batch names.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "ryeglade/router.h"

namespace ryeglade::policy::wire {

class Host {
 public:
  // `frame` is a complete batch including its header. Returns the frame of the reply. Throws a WireError if
  // the batch is malformed.
  std::string HandleBatch(std::string_view frame);

 private:
  std::map<std::uint16_t, Router> routers_;  // by node id
};

}  // namespace ryeglade::policy::wire
