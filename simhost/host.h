// Hosts many Routers that share nothing, and turns one batch of the wire into one reply.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "ryeglade/router.h"

namespace ryeglade::policy::wire {

class Host {
 public:
  // `frame` is a complete batch, header included; returns the reply's frame. Throws WireError on any defect.
  std::string HandleBatch(std::string_view frame);

 private:
  std::map<std::uint16_t, Router> routers_;
};

}  // namespace ryeglade::policy::wire
