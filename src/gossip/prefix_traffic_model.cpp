#include "gossip/prefix_traffic_model.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::gossip {
namespace {

constexpr std::size_t kMostCounts = 4096;
constexpr double kMoved = 0.2;          // a share that has changed by this part of itself is told anew
constexpr Time kTellAgain = 1'000'000;  // no sooner

}  // namespace

void BeginningsModel::Arrived(Time now, std::uint64_t beginning) {
  all_.Add(now, limits_.memory, 1);
  if (beginning == 0) return;
  counts_[beginning].Add(now, limits_.memory, 1);
  if (counts_.size() <= kMostCounts) return;
  std::erase_if(counts_, [&](const auto& c) { return c.second.ValueAt(now, limits_.memory) < 1; });
  if (counts_.size() > kMostCounts) counts_.clear();
}

std::vector<BeginningRate> BeginningsModel::Own(Time now, double* rate) const {
  const double memory = static_cast<double>(limits_.memory) / 1e6;
  const double seen =
      memory * (1 - std::exp(-static_cast<double>(now - began_) / static_cast<double>(limits_.memory)));
  std::vector<BeginningRate> own;
  *rate = 0;
  if (seen < 0.05 * memory) return own;
  *rate = all_.ValueAt(now, limits_.memory) / seen;
  for (const auto& [beginning, count] : counts_) {
    const double n = count.ValueAt(now, limits_.memory);
    if (n >= 0.5) own.push_back({beginning, n / seen});
  }
  const std::size_t most = std::min(own.size(), kMostBeginnings);
  std::partial_sort(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(most), own.end(),
                    [](const auto& a, const auto& b) {
                      return a.rate != b.rate ? a.rate > b.rate : a.beginning < b.beginning;
                    });
  own.resize(most);
  return own;
}

void BeginningsModel::Tell(Time now, Word* word) const {
  double rate = 0;
  word->beginnings = Own(now, &rate);
}

void BeginningsModel::Learn(Time made, const std::string& node, const Word& word) {
  if (node == self_) return;
  Heard& h = peers_[node];
  h.made = made;
  h.rate = word.rate;
  h.beginnings = word.beginnings;
}

bool BeginningsModel::Shares(Time now, policy::PrefixTrafficReceived* shares) {
  if (now - told_at_ < kTellAgain) return false;
  struct Sum {
    double rate = 0;
    std::size_t nodes = 0;
  };
  std::unordered_map<std::uint64_t, Sum> sums;
  std::vector<double> rates;
  for (const auto& [name, h] : peers_) {
    if (now - h.made <= limits_.fresh && h.rate > 0) rates.push_back(h.rate);
  }
  const double most = MostRate(std::move(rates));
  double all = 0;
  std::size_t nodes = 0;
  const auto add = [&](double rate, const std::vector<BeginningRate>& beginnings) {
    if (rate <= 0) return;
    rate = std::min(rate, most);
    all += rate;
    ++nodes;
    // What a node says of its beginnings is bounded by what it says comes to it.
    double told = 0;
    for (const BeginningRate& b : beginnings) told += b.rate;
    const double scale = told > rate ? rate / told : 1;
    for (const BeginningRate& b : beginnings) {
      Sum& s = sums[b.beginning];
      s.rate += scale * b.rate;
      ++s.nodes;
    }
  };
  double rate = 0;
  const std::vector<BeginningRate> own = Own(now, &rate);
  add(rate, own);
  for (const auto& [name, h] : peers_) {
    if (now - h.made <= limits_.fresh) add(h.rate, h.beginnings);
  }
  std::vector<std::pair<std::uint64_t, double>> found;
  for (const auto& [beginning, s] : sums) {
    if (nodes >= 2 && static_cast<double>(s.nodes) >= limits_.least_nodes * static_cast<double>(nodes))
      found.emplace_back(beginning, std::min(1.0, s.rate / all));
  }
  std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return a.second != b.second ? a.second > b.second : a.first < b.first;
  });
  if (found.size() > limits_.most) found.resize(limits_.most);
  const bool moved =
      found.size() != told_.size() || std::any_of(found.begin(), found.end(), [&](const auto& f) {
        const auto was = told_.find(f.first);
        return was == told_.end() || std::abs(f.second - was->second) > kMoved * was->second;
      });
  if (!moved) return false;
  told_at_ = now;
  told_ = {found.begin(), found.end()};
  shares->shares = std::move(found);
  return true;
}

bool BeginningsModel::Withdraw(policy::PrefixTrafficReceived* shares) {
  if (told_.empty()) return false;
  told_.clear();
  shares->shares.clear();
  return true;
}

}  // namespace ryeglade::gossip
