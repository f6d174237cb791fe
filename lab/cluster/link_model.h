// A link between two nodes that does wrong what it is told to: one direction, datagrams or a connection's
// bytes. The relays between real processes and the emulated network both ask it. No I/O, no clock, one seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/emulator/random.h"
#include "ryeglade/router.h"

namespace ryeglade::cluster {

using policy::Time;

// All that a link does; several faults at once add up (see Add).
struct LinkState {
  bool cut = false;
  double drop = 0, duplicate = 0, reorder = 0, corrupt = 0;  // shares of the datagrams
  Time delay = 0, jitter = 0;                                // one way; the jitter is exponential, its mean
  Time reorder_by = 0;                                       // how much later a reordered one comes
  double bytes_per_second = 0;                               // 0: no bound
  void Add(const LinkState& other);
  bool calm() const {
    return !cut && drop == 0 && duplicate == 0 && reorder == 0 && corrupt == 0 && delay == 0 && jitter == 0 &&
           bytes_per_second == 0;
  }
};

struct Delivery {
  Time at = 0;
  bool corrupt = false;
};

class Link {
 public:
  Link(std::uint64_t seed, std::uint64_t number) : stream_(seed, emulator::RandomPurpose::kNetwork, number) {}
  // When a datagram of `bytes` sent at `now` arrives: never, once, or twice.
  std::vector<Delivery> Datagram(Time now, std::size_t bytes, const LinkState& state);
  // The same for a piece of a connection, in order and never lost; a cut holds it (max: it waits).
  Time StreamBytes(Time now, std::size_t bytes, const LinkState& state);
  // Flips one bit.
  void Corrupt(std::string& bytes);

 private:
  Time TransitTime(Time now, std::size_t bytes, const LinkState& state);
  emulator::RandomStream stream_;
  Time link_free_at_ = 0, last_stream_at_ = 0;
};

}  // namespace ryeglade::cluster
