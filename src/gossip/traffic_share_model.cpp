#include "gossip/traffic_share_model.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::gossip {

ShareModel::ShareModel(std::string self, std::uint64_t life, Time now, ShareLimits limits)
    : self_(std::move(self)), limits_(limits), began_(now), last_(now), window_since_(now) {
  own_.life = life;
}

void ShareModel::Arrived(Time now) { arrivals_.Add(now, limits_.memory, 1); }

std::optional<Word> ShareModel::Tell(Time now, bool urgent) {
  if (told_at_ >= 0 && now - told_at_ < (urgent ? limits_.tell_every : tell_every())) return std::nullopt;
  told_at_ = now;
  ++own_.number;
  // A young process has not looked back on its whole memory yet.
  const double memory = static_cast<double>(limits_.memory) / 1e6;
  const double age = static_cast<double>(now - began_) / 1e6;
  const double seen = memory * (1 - std::exp(-age / memory));
  own_.rate = seen > 0.2 * memory ? std::min(kMostRate, arrivals_.ValueAt(now, limits_.memory) / seen) : 0;
  return own_;
}

Time ShareModel::tell_every() const {
  const Time each = limits_.tell_each * static_cast<Time>(1 + peers_.size());
  return std::max(limits_.tell_every, std::min(each, limits_.tell_most));
}

bool ShareModel::Learn(Time now, const std::string& node, const Word& word) {
  if (node == self_ || !std::isfinite(word.rate) || word.rate < 0 || word.rate > kMostRate) return false;
  const auto at = peers_.find(node);
  if (at == peers_.end()) return false;  // no member: the view brings it first
  Peer& p = at->second;
  const bool newer = word.life != p.word.life ? word.life > p.word.life : word.number > p.word.number;
  if (p.heard >= 0 && !newer) return false;
  p.word = word;
  p.heard = now;
  return true;
}

void ShareModel::View(Time now, const std::vector<std::string>& members, bool sure, bool settled) {
  sure_ = sure;
  settled_ = sure && settled;
  doubt_since_ = sure ? -1 : doubt_since_ >= 0 ? doubt_since_ : now;
  // In doubt nobody who is absent counts as gone.
  if (sure) {
    for (auto& [name, p] : peers_) p.member = false;
  }
  for (const std::string& name : members) {
    if (name == self_ || (!peers_.contains(name) && peers_.size() >= kMostPeers)) continue;
    peers_[name].member = true;
  }
  if (settled_) std::erase_if(peers_, [](const auto& e) { return !e.second.member; });
}

// Each node's rate with a part of the mean on top, over the sum: what comes may move at any moment, and a
// node without traffic must be able to serve the first request it gets.
std::vector<ShareModel::Line> ShareModel::Lines(Time now, bool with_absent) const {
  std::vector<Line> all{{self_, own_.rate, told_at_ >= 0, false, false, 0}};
  for (const auto& [name, p] : peers_) {
    if (!p.member && !with_absent) continue;
    all.push_back(
        {name, p.word.rate, p.heard >= 0, p.heard >= 0 && now - p.heard > limits_.stale, !p.member, 0});
  }
  std::vector<double> rates;
  for (const Line& l : all) {
    if (l.told) rates.push_back(l.rate);
  }
  const double most = MostRate(rates);
  double sum = 0, told = 0;
  for (Line& l : all) {
    l.rate = std::min(l.rate, most);
    if (l.told) sum += l.rate, ++told;
  }
  const double mean = told > 0 ? sum / told : 0;
  double whole = 0;
  for (Line& l : all) {
    if (!l.told) l.rate = mean;
    whole += l.rate + limits_.floor * mean;
  }
  for (Line& l : all)
    l.share = whole > 0 ? (l.rate + limits_.floor * mean) / whole : 1 / static_cast<double>(all.size());
  return all;
}

double ShareModel::Target(Time now, bool with_absent) const { return Lines(now, with_absent).front().share; }

double ShareModel::Share(Time now, std::size_t nodes) {
  const double equal = 1 / static_cast<double>(std::max<std::size_t>(1, nodes));
  const double passed = static_cast<double>(std::max<Time>(0, now - last_)) / 1e6;
  last_ = now;
  if (share_ <= 0) share_ = equal;
  if (!sure_) {
    targets_.clear();
    window_since_ = now;
    if (doubt_since_ < 0 || now - doubt_since_ <= limits_.stand) {
      state_ = "held";
      return share_;
    }
    // Today's behaviour without talk, reached by steps.
    const double most = 1 + limits_.step * passed;
    share_ = share_ > equal ? std::max(equal, share_ / most) : std::min(equal, share_ * most);
    state_ = share_ == equal ? "equal" : "stepping-back";
    return share_;
  }
  state_ = "shares";
  double target = Target(now, false);
  if (settled_) {
    last_sure_ = target;
  } else {
    // Those that are absent may live, and go by their own part still.
    const double held = std::max(Target(now, true), last_sure_);
    target = std::min(target, held * (1 + limits_.rise));
  }
  while (!targets_.empty() && targets_.back().second >= target) targets_.pop_back();
  targets_.emplace_back(now, target);
  while (targets_.size() > 1 && now - targets_.front().first > limits_.settle) targets_.pop_front();
  const double least = targets_.front().second;
  if (target < share_) {
    share_ = target;
  } else if (least > share_ && now - window_since_ >= limits_.settle) {
    share_ = least;
  }
  return share_;
}

std::vector<ShareModel::Line> ShareModel::Explain(Time now) const { return Lines(now, false); }

}  // namespace ryeglade::gossip
