// Latency histograms based on Boost.Histogram, with 600 bins from 0.1 ms to 1,000 s, each 2.7% wide.
#pragma once

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace ryeglade::lab {

using Latencies = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1, 1, 2)));

inline Latencies NewLatencies() {
  return boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(600, 0.1, 1e6));
}

// Returns the quantile in milliseconds, interpolated within a bin on a logarithmic scale, or 0 if the
// histogram is empty.
inline double QuantileOf(const Latencies& h, double q) {
  double all = 0, below = 0;
  for (const auto& bin : boost::histogram::indexed(h, boost::histogram::coverage::all)) all += *bin;
  if (all == 0) return 0;
  for (const auto& bin : boost::histogram::indexed(h, boost::histogram::coverage::all)) {
    if (below + *bin >= q * all && *bin > 0) {
      const double share = (q * all - below) / *bin;
      const double lower = std::max(0.1, bin.bin().lower()), upper = std::min(1e6, bin.bin().upper());
      return lower * std::pow(upper / lower, share);
    }
    below += *bin;
  }
  return 1e6;
}

}  // namespace ryeglade::lab
