// Hash functions that give the same results at every node of the tier, so that all nodes rank the replicas
// for a key in the same order without exchanging messages.
#pragma once

#include <cmath>
#include <cstdint>

namespace ryeglade::policy {

// splitmix64's finalizer.
inline std::uint64_t Mix64(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// Maps random bits to (0, 1]. The result is 1 only for the 2^11 largest values, where the sum rounds up.
inline double UnitInterval(std::uint64_t bits) { return (static_cast<double>(bits >> 11) + 0.5) * 0x1.0p-53; }

// Weighted rendezvous (highest random weight) hashing: the share of keys for which a replica has the highest
// score is proportional to its weight.
inline double RendezvousScore(std::uint64_t key, std::uint32_t replica_id, double weight) {
  return -weight / std::log(UnitInterval(Mix64(key ^ Mix64(replica_id))));
}

}  // namespace ryeglade::policy
