#include "gossip/prefix_traffic_model.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::gossip {
namespace {

constexpr std::size_t kMaxCounts = 4096;     // prefixes that are counted
constexpr double kMinRelativeChange = 0.2;   // a share is announced again after a change by this fraction
constexpr Time kMinAnnounceGap = 1'000'000;  // microseconds

// Adds up the rates of several nodes.
class RateSum {
 public:
  explicit RateSum(double max_counted_rate) : max_counted_rate_(max_counted_rate) {}

  // Adds one node's rate of all requests and its rates of prefixes.
  void Add(double rate, const std::vector<PrefixRate>& prefix_rates) {
    if (rate <= 0) return;
    rate = std::min(rate, max_counted_rate_);
    total_rate_ += rate;
    ++nodes_;
    // The sum of a node's prefix rates is bounded by the rate of all its requests.
    double reported = 0;
    for (const PrefixRate& prefix : prefix_rates) reported += prefix.rate;
    const double scale = reported > rate ? rate / reported : 1;
    for (const PrefixRate& prefix : prefix_rates) {
      PrefixSum& sum = prefixes_[prefix.prefix];
      sum.rate += scale * prefix.rate;
      ++sum.nodes;
    }
  }

  // Returns the shares of all prefixes that at least `min_node_share` of the nodes report. Empty if fewer
  // than two nodes have been added.
  std::vector<std::pair<std::uint64_t, double>> Shares(double min_node_share) const {
    std::vector<std::pair<std::uint64_t, double>> shares;
    if (nodes_ < 2) return shares;
    for (const auto& [prefix, sum] : prefixes_) {
      if (static_cast<double>(sum.nodes) >= min_node_share * static_cast<double>(nodes_))
        shares.emplace_back(prefix, std::min(1.0, sum.rate / total_rate_));
    }
    return shares;
  }

 private:
  struct PrefixSum {
    double rate = 0;        // requests per second
    std::size_t nodes = 0;  // number of nodes that report the prefix
  };
  double max_counted_rate_;
  double total_rate_ = 0;
  std::size_t nodes_ = 0;  // number of nodes with a rate above 0
  std::unordered_map<std::uint64_t, PrefixSum> prefixes_;
};

}  // namespace

void PrefixTrafficModel::OnArrival(Time now, std::uint64_t prefix) {
  all_requests_.Add(now, limits_.window, 1);
  if (prefix == 0) return;
  counts_[prefix].Add(now, limits_.window, 1);
  if (counts_.size() <= kMaxCounts) return;
  std::erase_if(counts_, [&](const auto& entry) { return entry.second.ValueAt(now, limits_.window) < 1; });
  if (counts_.size() > kMaxCounts) counts_.clear();
}

std::vector<PrefixRate> PrefixTrafficModel::OwnRates(Time now, double* rate) const {
  const double window = static_cast<double>(limits_.window) / 1e6;
  // A decaying count covers less than the window until the node has run for several windows.
  const double covered =
      window * (1 - std::exp(-static_cast<double>(now - started_at_) / static_cast<double>(limits_.window)));
  std::vector<PrefixRate> own;
  *rate = 0;
  if (covered < 0.05 * window) return own;
  *rate = all_requests_.ValueAt(now, limits_.window) / covered;
  for (const auto& [prefix, counter] : counts_) {
    const double count = counter.ValueAt(now, limits_.window);
    if (count >= 0.5) own.push_back({prefix, count / covered});
  }
  const std::size_t kept = std::min(own.size(), kMaxPrefixRates);
  std::partial_sort(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(kept), own.end(),
                    [](const PrefixRate& a, const PrefixRate& b) {
                      return a.rate != b.rate ? a.rate > b.rate : a.prefix < b.prefix;
                    });
  own.resize(kept);
  return own;
}

void PrefixTrafficModel::FillReport(Time now, NodeReport* report) const {
  double rate = 0;
  report->prefix_rates = OwnRates(now, &rate);
}

void PrefixTrafficModel::OnReport(Time made_at, const std::string& node, const NodeReport& report) {
  if (node == self_) return;
  PeerState& peer = peers_[node];
  peer.made_at = made_at;
  peer.rate = report.rate;
  peer.prefix_rates = report.prefix_rates;
}

PrefixTrafficModel::PrefixShares PrefixTrafficModel::CollectShares(Time now) const {
  std::vector<double> rates;
  for (const auto& [name, peer] : peers_) {
    if (now - peer.made_at <= limits_.max_report_age && peer.rate > 0) rates.push_back(peer.rate);
  }
  RateSum sum(MaxCountedRate(std::move(rates)));
  double own_rate = 0;
  const std::vector<PrefixRate> own = OwnRates(now, &own_rate);
  sum.Add(own_rate, own);
  for (const auto& [name, peer] : peers_) {
    if (now - peer.made_at <= limits_.max_report_age) sum.Add(peer.rate, peer.prefix_rates);
  }
  PrefixShares shares = sum.Shares(limits_.min_node_share);
  std::sort(shares.begin(), shares.end(), [](const auto& a, const auto& b) {
    return a.second != b.second ? a.second > b.second : a.first < b.first;
  });
  if (shares.size() > limits_.max_prefixes) shares.resize(limits_.max_prefixes);
  return shares;
}

bool PrefixTrafficModel::HasChanged(const PrefixShares& shares) const {
  if (shares.size() != announced_.size()) return true;
  return std::any_of(shares.begin(), shares.end(), [&](const auto& share) {
    const auto before = announced_.find(share.first);
    return before == announced_.end() ||
           std::abs(share.second - before->second) > kMinRelativeChange * before->second;
  });
}

bool PrefixTrafficModel::UpdateShares(Time now, policy::PrefixTrafficReceived* shares) {
  if (now - announced_at_ < kMinAnnounceGap) return false;
  PrefixShares found = CollectShares(now);
  if (!HasChanged(found)) return false;
  announced_at_ = now;
  announced_ = {found.begin(), found.end()};
  shares->shares = std::move(found);
  return true;
}

bool PrefixTrafficModel::WithdrawAll(policy::PrefixTrafficReceived* shares) {
  if (announced_.empty()) return false;
  announced_.clear();
  shares->shares.clear();
  return true;
}

}  // namespace ryeglade::gossip
