#include "lab/cluster/baselines.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

namespace ryeglade::cluster {
namespace {

constexpr std::uint8_t kAlive = 0, kSuspect = 1, kDead = 2;
constexpr double kSuspicionPeriods = 5;  // times log10 of the members, as the membership part has it

// SWIM with suspicion and round-robin probing (sections 4.2 and 4.3 of the paper), news on its messages only.
class Swim : public Baseline {
 public:
  explicit Swim(BaselineSetup s)
      : s_(std::move(s)), random_(s_.seed, emulator::RandomPurpose::kPolicy, s_.me) {
    members_.resize(s_.nodes);
    for (std::size_t i = 0; i < s_.nodes; ++i) {
      if (i == s_.me || !s_.present[i]) continue;
      members_[i].known = true;
      s_.says("member-alive", i);
    }
    incarnation_ = s_.incarnation;
    next_ = s_.now + static_cast<Time>(random_.Unit() * static_cast<double>(s_.period));
    Spread(s_.me, kAlive, incarnation_);
  }

  void Tick(Time now) override {
    if (probing_ != kNobody && !asked_ && now >= probe_began_ + s_.period * 4 / 10) {
      asked_ = true;
      for (int i = 0; i < 3; ++i) {
        const std::size_t helper = Draw();
        if (helper == kNobody || helper == probing_) continue;
        Plain ask{Plain::Kind::kAsk, seq_, probing_, incarnation_, {}};
        Post(helper, std::move(ask));
      }
    }
    if (now >= next_) {
      next_ += s_.period;
      if (probing_ != kNobody) Suspect(now, probing_, members_[probing_].incarnation);
      Probe(now);
    }
    const double n = std::max(1.0, std::log10(static_cast<double>(live_ + 1)));
    for (std::size_t i = 0; i < members_.size(); ++i) {
      Member& m = members_[i];
      if (!m.known || m.state != kSuspect) continue;
      if (static_cast<double>(now - m.since) < kSuspicionPeriods * n * static_cast<double>(s_.period))
        continue;
      m.state = kDead;
      Spread(i, kDead, m.incarnation);
      s_.says("member-dead", i);
    }
  }

  void Receive(Time now, std::size_t from, const Plain& p) override {
    for (const Plain::Word& w : p.words) Learn(now, w);
    Learn(now, {from, p.incarnation, kAlive});
    if (p.kind == Plain::Kind::kPing) {
      Post(from, {Plain::Kind::kAck, p.seq, 0, incarnation_, {}});
    } else if (p.kind == Plain::Kind::kAsk) {
      const std::uint64_t seq = (static_cast<std::uint64_t>(s_.me) << 32) | ++relay_;
      relays_[seq] = {from, p.seq};
      if (relays_.size() > 64) relays_.erase(relays_.begin());
      Post(p.target, {Plain::Kind::kPing, seq, 0, incarnation_, {}});
    } else if (p.kind == Plain::Kind::kAck) {
      if (const auto it = relays_.find(p.seq); it != relays_.end()) {
        Post(it->second.first, {Plain::Kind::kAck, it->second.second, 0, incarnation_, {}});
        relays_.erase(it);
      } else if (p.seq == seq_) {
        probing_ = kNobody;
      }
    }
  }

 private:
  static constexpr std::size_t kNobody = SIZE_MAX;
  struct Member {
    bool known = false;
    std::uint8_t state = kAlive;
    std::uint64_t incarnation = 0;
    Time since = 0;
  };
  struct Item {
    Plain::Word word;
    int sent = 0;
  };

  std::size_t Draw() {
    for (int tries = 0; tries < 64; ++tries) {
      const std::size_t i = random_.Below(s_.nodes);
      if (i != s_.me && members_[i].known && members_[i].state != kDead) return i;
    }
    return kNobody;
  }
  void Probe(Time now) {
    probing_ = kNobody;
    asked_ = false;
    if (round_.empty()) {
      live_ = 0;
      for (std::size_t i = 0; i < s_.nodes; ++i) {
        if (i == s_.me || !members_[i].known || members_[i].state == kDead) continue;
        round_.push_back(i);
        ++live_;
      }
      for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[random_.Below(i)]);
    }
    while (!round_.empty()) {
      const std::size_t i = round_.back();
      round_.pop_back();
      if (members_[i].state == kDead) continue;
      probing_ = i;
      probe_began_ = now;
      seq_ = (static_cast<std::uint64_t>(s_.me) << 32) | ++relay_;
      Post(i, {Plain::Kind::kPing, seq_, 0, incarnation_, {}});
      return;
    }
  }
  void Suspect(Time now, std::size_t i, std::uint64_t incarnation) {
    Member& m = members_[i];
    if (m.state != kAlive || incarnation != m.incarnation) return;
    m.state = kSuspect;
    m.since = now;
    Spread(i, kSuspect, incarnation);
    s_.says("member-suspect", i);
  }
  void Learn(Time now, const Plain::Word& w) {
    if (w.member == s_.me) {
      if (w.state != kAlive && w.incarnation >= incarnation_) {
        incarnation_ = w.incarnation + 1;
        Spread(s_.me, kAlive, incarnation_);
      }
      return;
    }
    Member& m = members_[w.member];
    const bool newer =
        !m.known || w.incarnation > m.incarnation || (w.incarnation == m.incarnation && w.state > m.state);
    if (!newer) return;
    const std::uint8_t before = m.known ? m.state : kDead;
    const bool known = m.known;
    m.known = true;
    m.incarnation = w.incarnation;
    m.state = w.state;
    m.since = now;
    Spread(w.member, w.state, w.incarnation);
    if (before == w.state && known) return;
    if (w.state == kAlive)
      s_.says(!known ? "member-alive" : before == kDead ? "member-returned" : "member-refuted", w.member);
    if (w.state == kSuspect) s_.says("member-suspect", w.member);
    if (w.state == kDead) s_.says("member-dead", w.member);
  }
  void Spread(std::size_t i, std::uint8_t state, std::uint64_t incarnation) {
    news_[i] = {{i, incarnation, state}, 0};
  }
  void Post(std::size_t to, Plain p) {
    std::vector<std::pair<int, std::size_t>> order;
    for (const auto& [i, item] : news_) order.emplace_back(item.sent, i);
    const std::size_t most = std::min<std::size_t>(order.size(), 20);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(most), order.end());
    const int enough = 3 * (1 + static_cast<int>(std::ceil(std::log2(static_cast<double>(live_ + 2)))));
    if (to < members_.size() && members_[to].known && members_[to].state != kAlive)
      p.words.push_back({to, members_[to].incarnation, members_[to].state});  // so that it can refute
    for (std::size_t k = 0; k < most; ++k) {
      Item& item = news_[order[k].second];
      p.words.push_back(item.word);
      if (++item.sent >= enough) news_.erase(order[k].second);
    }
    const std::size_t bytes = 100 + 60 * p.words.size();  // as large as ours for the same fields
    s_.send(to, std::move(p), bytes);
  }

  BaselineSetup s_;
  emulator::RandomStream random_;
  std::vector<Member> members_;
  std::vector<std::size_t> round_;
  std::map<std::size_t, Item> news_;
  std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> relays_;
  std::uint64_t incarnation_ = 1, seq_ = 0, relay_ = 0;
  std::size_t probing_ = kNobody, live_ = 1;
  bool asked_ = false;
  Time probe_began_ = 0, next_ = 0;
};

// Each node to each other, once a period. Dead after a fixed silence of five periods, or, by phi, once the
// chance that a beat is still to come falls under 10^-8 (a normal law fitted to the last 100 gaps).
class Heartbeat : public Baseline {
 public:
  Heartbeat(BaselineSetup s, bool phi)
      : s_(std::move(s)), phi_(phi), random_(s_.seed, emulator::RandomPurpose::kPolicy, s_.me) {
    members_.resize(s_.nodes);
    next_ = s_.now + static_cast<Time>(random_.Unit() * static_cast<double>(s_.period));
    for (std::size_t i = 0; i < s_.nodes; ++i) {
      if (i == s_.me || !s_.present[i]) continue;
      members_[i].known = true;
      members_[i].last = s_.now;
      s_.says("member-alive", i);
    }
  }
  void Tick(Time now) override {
    if (now >= next_) {
      next_ += s_.period;
      for (std::size_t i = 0; i < s_.nodes; ++i) {
        if (i != s_.me) s_.send(i, {Plain::Kind::kBeat, 0, 0, s_.incarnation, {}}, 100);
      }
    }
    for (std::size_t i = 0; i < members_.size(); ++i) {
      Member& m = members_[i];
      if (!m.known || m.dead) continue;
      if (!Silent(m, now)) continue;
      m.dead = true;
      s_.says("member-dead", i);
    }
  }
  void Receive(Time now, std::size_t from, const Plain&) override {
    Member& m = members_[from];
    if (!m.known) s_.says("member-alive", from);
    if (m.dead) s_.says("member-returned", from);
    if (m.known && !m.dead) {
      m.gaps.push_back(static_cast<double>(now - m.last));
      if (m.gaps.size() > 100) m.gaps.pop_front();
    }
    m.known = true;
    m.dead = false;
    m.last = now;
  }

 private:
  struct Member {
    bool known = false, dead = false;
    Time last = 0;
    std::deque<double> gaps;
  };
  bool Silent(const Member& m, Time now) const {
    const double silent = static_cast<double>(now - m.last);
    if (!phi_ || m.gaps.size() < 5) return silent > 5.0 * static_cast<double>(s_.period);
    double mean = 0, square = 0;
    for (const double g : m.gaps) mean += g;
    mean /= static_cast<double>(m.gaps.size());
    for (const double g : m.gaps) square += (g - mean) * (g - mean);
    const double sigma = std::max(0.1 * static_cast<double>(s_.period),
                                  std::sqrt(square / static_cast<double>(m.gaps.size())));
    const double later = 0.5 * std::erfc((silent - mean) / (sigma * std::sqrt(2.0)));
    return later < 1e-8;
  }
  BaselineSetup s_;
  bool phi_;
  emulator::RandomStream random_;
  std::vector<Member> members_;
  Time next_ = 0;
};

}  // namespace

std::unique_ptr<Baseline> MakeSwim(BaselineSetup setup) { return std::make_unique<Swim>(std::move(setup)); }
std::unique_ptr<Baseline> MakeHeartbeat(BaselineSetup setup, bool phi) {
  return std::make_unique<Heartbeat>(std::move(setup), phi);
}

}  // namespace ryeglade::cluster
