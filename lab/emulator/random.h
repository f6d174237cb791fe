// Random numbers of the emulator. Every purpose and every object has a random stream of its own, so that a
// changed setting does not change the numbers that other parts draw. pcg64 (O'Neill 2014) selects its stream
// by a second number; the distributions are Boost's, which give the same values on every machine.
#pragma once

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>

namespace ryeglade::emulator {

// What a random stream is used for.
enum class RandomPurpose : std::uint64_t {
  kArrivals = 1,
  kSessions,
  kSizes,
  kNetwork,
  kBalancing,
  kRetries,
  kSpeeds,
  kFailures,
  kDiscovery,
  kPolicy
};

class RandomStream {
 public:
  RandomStream(std::uint64_t seed, RandomPurpose purpose, std::uint64_t index = 0)
      : rng_(seed, (static_cast<std::uint64_t>(purpose) << 40) | index) {}

  double Unit() { return boost::random::uniform_01<double>()(rng_); }  // in [0, 1)
  double Exponential(double mean) { return mean * boost::random::exponential_distribution<double>(1)(rng_); }
  // `sigma` is the standard deviation of the logarithm.
  double Lognormal(double median, double sigma) {
    return median * boost::random::lognormal_distribution<double>(0, sigma)(rng_);
  }
  // Returns a number from 0 to n - 1. Draws nothing if n < 2.
  std::uint64_t Below(std::uint64_t n) {
    return n < 2 ? 0 : static_cast<std::uint64_t>(Unit() * static_cast<double>(n));
  }
  // Returns true with probability p. Draws nothing if p <= 0.
  bool Chance(double p) { return p > 0 && Unit() < p; }
  // Returns a rank from 0 to n - 1, rank r with a probability proportional to 1/(r+1)^s. Inverts the
  // continuous form of the distribution, which takes O(1) and is exact enough for n >= 2.
  std::uint64_t Zipf(std::uint64_t n, double s) {
    if (n < 2) return 0;
    const double u = Unit(), top = static_cast<double>(n) + 1;
    const double x =
        std::abs(s - 1) < 1e-9 ? std::pow(top, u) : std::pow(u * (std::pow(top, 1 - s) - 1) + 1, 1 / (1 - s));
    const auto rank = static_cast<std::uint64_t>(x) - 1;
    return rank < n ? rank : n - 1;
  }

 private:
  pcg64 rng_;
};

}  // namespace ryeglade::emulator
