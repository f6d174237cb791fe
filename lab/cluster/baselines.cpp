#include "lab/cluster/baselines.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

namespace ryeglade::cluster {
namespace {

constexpr std::uint8_t kAlive = 0, kSuspect = 1, kDead = 2;
// Multiplied by log10 of the number of members, as in the membership model.
constexpr double kSuspicionPeriods = 5;

// SWIM with suspicion and round-robin probing (sections 4.2 and 4.3 of the paper). Updates are only
// piggybacked on its own messages.
class Swim : public Baseline {
 public:
  explicit Swim(BaselineSetup s)
      : setup_(std::move(s)), random_(setup_.seed, emulator::RandomPurpose::kPolicy, setup_.self) {
    members_.resize(setup_.nodes);
    for (std::size_t i = 0; i < setup_.nodes; ++i) {
      if (i == setup_.self || !setup_.present[i]) continue;
      members_[i].known = true;
      setup_.report("member-alive", i);
    }
    incarnation_ = setup_.incarnation;
    next_probe_ = setup_.now + static_cast<Time>(random_.Unit() * static_cast<double>(setup_.period));
    QueueUpdate(setup_.self, kAlive, incarnation_);
  }

  void Tick(Time now) override {
    if (probed_ != kNobody && !ping_requested_ && now >= probe_began_ + setup_.period * 4 / 10) {
      ping_requested_ = true;
      for (int i = 0; i < 3; ++i) {
        const std::size_t helper = RandomMember();
        if (helper == kNobody || helper == probed_) continue;
        BaselineMessage request{BaselineMessage::Kind::kPingRequest, seq_, probed_, incarnation_, {}};
        SendWithUpdates(helper, std::move(request));
      }
    }
    if (now >= next_probe_) {
      next_probe_ += setup_.period;
      if (probed_ != kNobody) Suspect(now, probed_, members_[probed_].incarnation);
      Probe(now);
    }
    const double size_factor = std::max(1.0, std::log10(static_cast<double>(live_members_ + 1)));
    for (std::size_t i = 0; i < members_.size(); ++i) {
      Member& m = members_[i];
      if (!m.known || m.state != kSuspect) continue;
      if (static_cast<double>(now - m.since) <
          kSuspicionPeriods * size_factor * static_cast<double>(setup_.period))
        continue;
      m.state = kDead;
      QueueUpdate(i, kDead, m.incarnation);
      setup_.report("member-dead", i);
    }
  }

  void Receive(Time now, std::size_t from, const BaselineMessage& p) override {
    for (const BaselineMessage::Update& w : p.updates) ApplyUpdate(now, w);
    ApplyUpdate(now, {from, p.incarnation, kAlive});
    if (p.kind == BaselineMessage::Kind::kPing) {
      SendWithUpdates(from, {BaselineMessage::Kind::kAck, p.seq, 0, incarnation_, {}});
    } else if (p.kind == BaselineMessage::Kind::kPingRequest) {
      const std::uint64_t seq = (static_cast<std::uint64_t>(setup_.self) << 32) | ++last_seq_;
      relayed_pings_[seq] = {from, p.seq};
      if (relayed_pings_.size() > 64) relayed_pings_.erase(relayed_pings_.begin());
      SendWithUpdates(p.target, {BaselineMessage::Kind::kPing, seq, 0, incarnation_, {}});
    } else if (p.kind == BaselineMessage::Kind::kAck) {
      if (const auto it = relayed_pings_.find(p.seq); it != relayed_pings_.end()) {
        SendWithUpdates(it->second.first,
                        {BaselineMessage::Kind::kAck, it->second.second, 0, incarnation_, {}});
        relayed_pings_.erase(it);
      } else if (p.seq == seq_) {
        probed_ = kNobody;
      }
    }
  }

 private:
  static constexpr std::size_t kNobody = SIZE_MAX;
  struct Member {
    bool known = false;
    std::uint8_t state = kAlive;
    std::uint64_t incarnation = 0;
    Time since = 0;  // the time of the last change of its state
  };
  struct QueuedUpdate {
    BaselineMessage::Update update;
    int sent = 0;  // number of messages that carried it
  };

  std::size_t RandomMember() {
    for (int tries = 0; tries < 64; ++tries) {
      const std::size_t i = random_.Below(setup_.nodes);
      if (i != setup_.self && members_[i].known && members_[i].state != kDead) return i;
    }
    return kNobody;
  }
  void Probe(Time now) {
    probed_ = kNobody;
    ping_requested_ = false;
    if (probe_round_.empty()) {
      live_members_ = 0;
      for (std::size_t i = 0; i < setup_.nodes; ++i) {
        if (i == setup_.self || !members_[i].known || members_[i].state == kDead) continue;
        probe_round_.push_back(i);
        ++live_members_;
      }
      for (std::size_t i = probe_round_.size(); i > 1; --i)
        std::swap(probe_round_[i - 1], probe_round_[random_.Below(i)]);
    }
    while (!probe_round_.empty()) {
      const std::size_t i = probe_round_.back();
      probe_round_.pop_back();
      if (members_[i].state == kDead) continue;
      probed_ = i;
      probe_began_ = now;
      seq_ = (static_cast<std::uint64_t>(setup_.self) << 32) | ++last_seq_;
      SendWithUpdates(i, {BaselineMessage::Kind::kPing, seq_, 0, incarnation_, {}});
      return;
    }
  }
  void Suspect(Time now, std::size_t i, std::uint64_t incarnation) {
    Member& m = members_[i];
    if (m.state != kAlive || incarnation != m.incarnation) return;
    m.state = kSuspect;
    m.since = now;
    QueueUpdate(i, kSuspect, incarnation);
    setup_.report("member-suspect", i);
  }
  void ApplyUpdate(Time now, const BaselineMessage::Update& w) {
    if (w.member == setup_.self) {
      if (w.state != kAlive && w.incarnation >= incarnation_) {
        incarnation_ = w.incarnation + 1;
        QueueUpdate(setup_.self, kAlive, incarnation_);
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
    QueueUpdate(w.member, w.state, w.incarnation);
    if (before == w.state && known) return;
    if (w.state == kAlive)
      setup_.report(!known            ? "member-alive"
                    : before == kDead ? "member-returned"
                                      : "member-refuted",
                    w.member);
    if (w.state == kSuspect) setup_.report("member-suspect", w.member);
    if (w.state == kDead) setup_.report("member-dead", w.member);
  }
  void QueueUpdate(std::size_t i, std::uint8_t state, std::uint64_t incarnation) {
    updates_[i] = {{i, incarnation, state}, 0};
  }
  void SendWithUpdates(std::size_t to, BaselineMessage p) {
    std::vector<std::pair<int, std::size_t>> order;
    for (const auto& [i, item] : updates_) order.emplace_back(item.sent, i);
    const std::size_t max_updates = std::min<std::size_t>(order.size(), 20);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(max_updates), order.end());
    const int max_transmissions =
        3 * (1 + static_cast<int>(std::ceil(std::log2(static_cast<double>(live_members_ + 2)))));
    if (to < members_.size() && members_[to].known && members_[to].state != kAlive)
      p.updates.push_back(
          {to, members_[to].incarnation, members_[to].state});  // so that the receiver can refute it
    for (std::size_t k = 0; k < max_updates; ++k) {
      QueuedUpdate& item = updates_[order[k].second];
      p.updates.push_back(item.update);
      if (++item.sent >= max_transmissions) updates_.erase(order[k].second);
    }
    const std::size_t bytes =
        100 + 60 * p.updates.size();  // the size of a membership message with the same fields
    setup_.send(to, std::move(p), bytes);
  }

  BaselineSetup setup_;
  emulator::RandomStream random_;
  std::vector<Member> members_;
  std::vector<std::size_t> probe_round_;
  std::map<std::size_t, QueuedUpdate> updates_;
  std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> relayed_pings_;
  std::uint64_t incarnation_ = 1, seq_ = 0, last_seq_ = 0;
  std::size_t probed_ = kNobody, live_members_ = 1;
  bool ping_requested_ = false;
  Time probe_began_ = 0, next_probe_ = 0;
};

// Each node sends a heartbeat to each other node once a period. A member is dead after five periods without
// a heartbeat; with phi, as soon as the probability that one still comes is under 10^-8 (normal distribution
// fitted to the last 100 gaps between heartbeats).
class Heartbeat : public Baseline {
 public:
  Heartbeat(BaselineSetup s, bool phi)
      : setup_(std::move(s)), phi_(phi), random_(setup_.seed, emulator::RandomPurpose::kPolicy, setup_.self) {
    members_.resize(setup_.nodes);
    next_probe_ = setup_.now + static_cast<Time>(random_.Unit() * static_cast<double>(setup_.period));
    for (std::size_t i = 0; i < setup_.nodes; ++i) {
      if (i == setup_.self || !setup_.present[i]) continue;
      members_[i].known = true;
      members_[i].last = setup_.now;
      setup_.report("member-alive", i);
    }
  }
  void Tick(Time now) override {
    if (now >= next_probe_) {
      next_probe_ += setup_.period;
      for (std::size_t i = 0; i < setup_.nodes; ++i) {
        if (i != setup_.self)
          setup_.send(i, {BaselineMessage::Kind::kHeartbeat, 0, 0, setup_.incarnation, {}}, 100);
      }
    }
    for (std::size_t i = 0; i < members_.size(); ++i) {
      Member& m = members_[i];
      if (!m.known || m.dead) continue;
      if (!IsSilent(m, now)) continue;
      m.dead = true;
      setup_.report("member-dead", i);
    }
  }
  void Receive(Time now, std::size_t from, const BaselineMessage&) override {
    Member& m = members_[from];
    if (!m.known) setup_.report("member-alive", from);
    if (m.dead) setup_.report("member-returned", from);
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
  bool IsSilent(const Member& m, Time now) const {
    const double silent = static_cast<double>(now - m.last);
    if (!phi_ || m.gaps.size() < 5) return silent > 5.0 * static_cast<double>(setup_.period);
    double mean = 0, square = 0;
    for (const double g : m.gaps) mean += g;
    mean /= static_cast<double>(m.gaps.size());
    for (const double g : m.gaps) square += (g - mean) * (g - mean);
    const double sigma = std::max(0.1 * static_cast<double>(setup_.period),
                                  std::sqrt(square / static_cast<double>(m.gaps.size())));
    const double probability_of_later = 0.5 * std::erfc((silent - mean) / (sigma * std::sqrt(2.0)));
    return probability_of_later < 1e-8;
  }
  BaselineSetup setup_;
  bool phi_;
  emulator::RandomStream random_;
  std::vector<Member> members_;
  Time next_probe_ = 0;
};

}  // namespace

std::unique_ptr<Baseline> MakeSwim(BaselineSetup setup) { return std::make_unique<Swim>(std::move(setup)); }
std::unique_ptr<Baseline> MakeHeartbeat(BaselineSetup setup, bool phi) {
  return std::make_unique<Heartbeat>(std::move(setup), phi);
}

}  // namespace ryeglade::cluster
