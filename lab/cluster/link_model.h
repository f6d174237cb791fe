// Models one direction of a faulty link between two nodes, for datagrams and for the bytes of connections.
// The relay between real processes and the emulated network use it. It does no I/O, reads no clock, and draws
// all random numbers from one seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/emulator/random.h"
#include "ryeglade/router.h"

namespace ryeglade::cluster {

using policy::Time;

// The faults of a link at one time; Add combines several.
struct LinkState {
  bool cut = false;
  double drop = 0, duplicate = 0, reorder = 0, corrupt = 0;  // shares of the datagrams, 0 to 1
  Time delay = 0, jitter = 0;   // microseconds one way; the jitter is exponential with this mean
  Time reorder_by = 0;          // microseconds by which a reordered datagram is delayed
  double bytes_per_second = 0;  // 0 if unlimited
  void Add(const LinkState& other);
  bool calm() const {  // true if the link has no fault
    return !cut && drop == 0 && duplicate == 0 && reorder == 0 && corrupt == 0 && delay == 0 && jitter == 0 &&
           bytes_per_second == 0;
  }
};

// The arrival of one copy of a datagram.
struct Delivery {
  Time at = 0;
  bool corrupt = false;  // the receiver gets it with a flipped bit
};

class Link {
 public:
  Link(std::uint64_t seed, std::uint64_t number) : stream_(seed, emulator::RandomPurpose::kNetwork, number) {}
  // Returns the arrivals of a datagram of `bytes` sent at `now`: none, one, or two.
  std::vector<Delivery> Datagram(Time now, std::size_t bytes, const LinkState& state);
  // Returns the arrival time of bytes of a connection, which stay in order and are never lost. Returns the
  // maximum of Time while the link is cut; the caller has to try again later.
  Time StreamBytes(Time now, std::size_t bytes, const LinkState& state);
  // Flips one random bit; does nothing if `bytes` is empty.
  void Corrupt(std::string& bytes);

 private:
  Time TransitTime(Time now, std::size_t bytes, const LinkState& state);
  emulator::RandomStream stream_;
  Time link_free_at_ = 0, last_stream_at_ = 0;
};

}  // namespace ryeglade::cluster
