#include "lab/cluster/link_model.h"

#include <algorithm>
#include <limits>

namespace ryeglade::cluster {

void LinkState::Add(const LinkState& o) {
  const auto either = [](double a, double b) { return 1 - (1 - a) * (1 - b); };
  cut = cut || o.cut;
  drop = either(drop, o.drop);
  duplicate = either(duplicate, o.duplicate);
  reorder = either(reorder, o.reorder);
  corrupt = either(corrupt, o.corrupt);
  delay += o.delay;
  jitter += o.jitter;
  reorder_by = std::max(reorder_by, o.reorder_by);
  if (o.bytes_per_second > 0)
    bytes_per_second =
        bytes_per_second > 0 ? std::min(bytes_per_second, o.bytes_per_second) : o.bytes_per_second;
}

// Returns the arrival time: after the queue of a link of limited rate, the delay and the jitter.
Time Link::TransitTime(Time now, std::size_t bytes, const LinkState& s) {
  Time at = now;
  if (s.bytes_per_second > 0) {
    link_free_at_ = std::max(link_free_at_, now) +
                    static_cast<Time>(static_cast<double>(bytes) / s.bytes_per_second * 1e6);
    at = link_free_at_;
  }
  at += s.delay;
  if (s.jitter > 0) at += static_cast<Time>(stream_.Exponential(static_cast<double>(s.jitter)));
  return at;
}

std::vector<Delivery> Link::Datagram(Time now, std::size_t bytes, const LinkState& s) {
  if (s.cut || stream_.Chance(s.drop)) return {};
  const Time at = TransitTime(now, bytes, s);
  if (s.bytes_per_second > 0 && at - now > 2'000'000 + s.delay)
    return {};  // the queue of a link of limited rate holds 2 s of bytes
  std::vector<Delivery> all{{at + (stream_.Chance(s.reorder) ? s.reorder_by : 0), stream_.Chance(s.corrupt)}};
  if (stream_.Chance(s.duplicate)) all.push_back({TransitTime(now, bytes, s), stream_.Chance(s.corrupt)});
  return all;
}

Time Link::StreamBytes(Time now, std::size_t bytes, const LinkState& s) {
  if (s.cut) return std::numeric_limits<Time>::max();
  Time at = TransitTime(now, bytes, s);
  // Lost bytes are retransmitted, so a loss only delays them.
  while (stream_.Chance(std::min(s.drop, 0.9))) at += std::max<Time>(200'000, 2 * s.delay);
  last_stream_at_ = std::max(last_stream_at_, at);
  return last_stream_at_;
}

void Link::Corrupt(std::string& bytes) {
  if (bytes.empty()) return;
  const std::uint64_t bit = stream_.Below(bytes.size() * 8);
  bytes[bit / 8] = static_cast<char>(static_cast<unsigned char>(bytes[bit / 8]) ^ (1U << (bit % 8)));
}

}  // namespace ryeglade::cluster
