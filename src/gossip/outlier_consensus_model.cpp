#include "gossip/outlier_consensus_model.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace ryeglade::gossip {
namespace {

using policy::PeerReplicaReport;
using policy::ReplicaId;

constexpr Time kSlowMemory = 10'000'000;  // as in the decision module
constexpr double kFailureSlow = 1.1;      // the same
constexpr double kSlow = 1.0;             // ln: a slowness that the module can do something with
constexpr double kMoved = 0.1;            // a slowness that has changed by this is told anew
constexpr Time kTellAgain = 4'000'000;    // and all of them so often, as the module lets them fade
constexpr Time kRestAgain = 1'000'000;    // a rest is told anew before it is over
constexpr int kDoubtLeast = 2;            // failing replicas that are no reason to doubt oneself yet
constexpr std::size_t kMostLines = 256;

struct Said {
  double slow, n;
};

// Half of the weight lies on either side, each speaker's weight bounded; of two, the one nearer to nothing.
Said Median(std::vector<Said>& all) {
  std::sort(all.begin(), all.end(), [](const Said& a, const Said& b) { return a.slow < b.slow; });
  double whole = 0;
  for (const Said& s : all) whole += s.n;
  if (all.size() == 2)
    return {std::abs(all[0].slow) < std::abs(all[1].slow) ? all[0].slow : all[1].slow, whole};
  double below = 0;
  for (const Said& s : all) {
    below += s.n;
    if (2 * below >= whole) return {s.slow, whole};
  }
  return {0, 0};
}

}  // namespace

void EvidenceModel::See(Time now, const std::vector<policy::ReplicaView>& fleet, bool doubt) {
  for (auto& [id, r] : fleet_) r.listed = false;
  int used = 0;
  accused_ = 0;
  for (const policy::ReplicaView& v : fleet) {
    Replica& r = fleet_[v.endpoint.id];
    if (r.seen.endpoint.started_at != v.endpoint.started_at) r = Replica{};
    r.seen = v;
    r.listed = true;
    if (v.ejected_until > now) ++accused_;
    if (v.ejected_until > now || (v.slowness_updated_at > 0 && now - v.slowness_updated_at < limits_.fresh))
      ++used;
  }
  std::erase_if(fleet_, [](const auto& e) { return !e.second.listed; });
  doubt_ = doubt || (accused_ > kDoubtLeast && accused_ > limits_.doubts * used);
}

Claim EvidenceModel::Own(Time now, const policy::ReplicaView& v) const {
  const double n =
      v.slowness_samples * policy::DecayingCounter::DecayFactor(now - v.slowness_updated_at, kSlowMemory);
  Claim c{v.endpoint.id,
          v.endpoint.started_at,
          v.consecutive_failures,
          std::max<Time>(0, v.ejected_until - now),
          -1,
          v.slowness,
          n,
          v.in_flight};
  if (v.slowness_updated_at > 0 && now - v.slowness_updated_at <= kMostRest)
    c.last = now - v.slowness_updated_at;
  if (v.prefill_backlog_tokens >= 1 && v.in_flight > 0) c.waits = std::min(kMostRest, now - v.waiting_since);
  return c;
}

// Whether `node` is among the accusers that go on trying: the first by rendezvous, so that all agree.
bool EvidenceModel::Tries(const std::string& node, ReplicaId replica,
                          const std::vector<std::string>& accusers) const {
  const auto rank = [replica](const std::string& name) {
    return XXH3_64bits_withSeed(name.data(), name.size(), replica);
  };
  const std::uint64_t own = rank(node);
  std::size_t before = 0;
  for (const std::string& name : accusers) before += name != node && rank(name) > own ? 1 : 0;
  return before < std::max(limits_.tries, (peers_.size() + 1) / limits_.tries_of);
}

void EvidenceModel::Tell(Time now, Word* word) const {
  word->doubt = doubt_;
  word->accused = accused_;
  word->claims.clear();
  // Gravest first: what fails here, then what others accuse and this node has an answer of, then what is
  // slow.
  std::vector<std::pair<double, Claim>> all;
  std::set<ReplicaId> accused;
  for (const Line& line : lines_) accused.insert(line.replica);
  for (const auto& [id, r] : fleet_) {
    const Claim c = Own(now, r.seen);
    double grave = 0;
    if (Accuses(c, 0)) {
      grave = 1000 + c.failures;
    } else if (accused.contains(id) && c.failures == 0 && c.last >= 0 && c.last < limits_.fresh) {
      grave = 500;
    } else if (CallsSlow(c) || (called_slow_.contains(id) && c.slow_n >= 1)) {
      grave = 1 + std::min(c.slow_n, 100.0);
    }
    if (grave > 0) all.emplace_back(grave, c);
  }
  const std::size_t most = std::min(all.size(), kMostClaims);
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(most), all.end(),
                    [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first : a.second.replica < b.second.replica;
                    });
  for (std::size_t i = 0; i < most; ++i) word->claims.push_back(all[i].second);
}

void EvidenceModel::Learn(Time made, const std::string& node, const Word& word) {
  const auto at = peers_.find(node);
  if (node == self_ || at == peers_.end()) return;
  at->second.word = word;
  at->second.made = made;
}

void EvidenceModel::View(Time now, const std::vector<Peer>& members, const std::string& zone, bool sure) {
  zone_ = zone;
  zones_ = false;
  for (auto& [name, h] : peers_) h.member = false;
  for (const Peer& p : members) {
    zones_ = zones_ || p.zone != zone;
    if (p.name == self_ || (!peers_.contains(p.name) && peers_.size() >= kMostPeers)) continue;
    Heard& h = peers_[p.name];
    h.member = true;
    h.zone = p.zone;
  }
  if (!sure) return;
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (it->second.member) {
      ++it;
      continue;
    }
    // Gone: what it last said it had out counts until it must have ended.
    const Heard& h = it->second;
    for (const Claim& c : h.word.claims) {
      const auto r = fleet_.find(c.replica);
      if (c.out == 0 || now - h.made > limits_.ends || r == fleet_.end() ||
          r->second.seen.endpoint.started_at != c.started_at)
        continue;
      r->second.ghosts[it->first] = {c.out, h.made + limits_.ends};
    }
    it = peers_.erase(it);
  }
}

bool EvidenceModel::Trusted(const Heard& h, Time now) const {
  if (!h.member || h.word.doubt || now - h.made > limits_.fresh) return false;
  // One for which a fifth of the fleet fails while others go on sees its own network.
  const double most = std::max<double>(kDoubtLeast, limits_.most_out * static_cast<double>(fleet_.size()));
  const auto accuses =
      std::count_if(h.word.claims.begin(), h.word.claims.end(), [](const Claim& c) { return c.rests > 0; });
  return std::max(static_cast<double>(h.word.accused), static_cast<double>(accuses)) <= most;
}

std::vector<PeerReplicaReport> EvidenceModel::Judge(Time now, double part) {
  struct Accuser {
    std::string name, zone;
    Time since;  // when it failed there last, or began to wait
    bool fails;
  };
  struct Case {
    std::vector<Accuser> accusers;
    std::string answered;
    Time answered_at = -1;
    std::vector<Said> said;
    bool called_slow = false;
  };
  std::map<ReplicaId, Case> cases;
  const auto hear = [&](const std::string& name, const std::string& zone, const Claim& c, Time age) {
    Case& k = cases[c.replica];
    // Silence is contradicted by any answer that somebody got since it began.
    if (Accuses(c, age))
      k.accusers.push_back({name, zone, now - age - (Fails(c, age) ? c.last : c.waits), Fails(c, age)});
    if (c.failures == 0 && c.last >= 0 && now - age - c.last > k.answered_at) {
      k.answered_at = now - age - c.last;
      k.answered = name;
    }
    k.called_slow = k.called_slow || CallsSlow(c);
    const double n =
        std::min(limits_.most_n, c.slow_n * policy::DecayingCounter::DecayFactor(age, kSlowMemory));
    if (name != self_ && n >= 0.5) k.said.push_back({std::clamp(c.slow, -2.0, 2.0), n});
  };
  for (const auto& [name, h] : peers_) {
    if (!Trusted(h, now)) continue;
    for (const Claim& c : h.word.claims) {
      const auto r = fleet_.find(c.replica);
      if (r != fleet_.end() && r->second.seen.endpoint.started_at == c.started_at)
        hear(name, h.zone, c, std::max<Time>(0, now - h.made));
    }
  }
  // Who rests by hearsay. This node's own failures count as an accuser's, its own answers before all others'.
  lines_.clear();
  called_slow_.clear();
  vouched_ = 0;
  for (auto& [id, k] : cases) {
    if (k.called_slow) called_slow_.insert(id);
    if (k.accusers.empty() || lines_.size() >= kMostLines) continue;
    const Claim own = Own(now, fleet_[id].seen);
    if (!doubt_ && Accuses(own, 0))
      k.accusers.push_back({self_, zone_, now - (Fails(own, 0) ? own.last : own.waits), Fails(own, 0)});
    if (own.failures == 0 && own.last >= 0 && now - own.last > k.answered_at) {
      k.answered_at = now - own.last;
      k.answered = self_;
    }
    Line line;
    line.replica = id;
    line.answered = k.answered;
    std::set<std::string> zones;
    std::size_t failed = 0;
    for (const Accuser& a : k.accusers) {
      if (a.since <= k.answered_at) continue;
      line.accusers.push_back(a.name);
      zones.insert(a.zone);
      failed += a.fails ? 1 : 0;
    }
    if (own.failures == 0 && own.last >= 0 && own.last < limits_.fresh) ++vouched_;
    if (line.accusers.empty()) {
      line.why = "answered-since";
    } else if ((failed < limits_.accusers &&
                line.accusers.size() < std::max(limits_.accusers, limits_.silent)) ||
               (zones_ && zones.size() < 2 && !zones.contains(zone_))) {
      line.why = "too-few-accusers";
    } else if (own.failures == 0 && own.last >= 0 && own.last < limits_.own) {
      line.why = "answers-here";
    } else if (!doubt_ && Fails(own, 0) && Tries(self_, id, line.accusers)) {
      line.why = "tries";
    } else {
      line.rests_until = now + limits_.rests;
      line.why = "left-alone";
    }
    lines_.push_back(std::move(line));
  }
  std::vector<Line*> out;
  for (Line& line : lines_) {
    if (line.rests_until > 0) out.push_back(&line);
  }
  const std::size_t most =
      std::max<std::size_t>(fleet_.size() >= 4 ? 1 : 0,
                            static_cast<std::size_t>(limits_.most_out * static_cast<double>(fleet_.size())));
  if (out.size() > most) {
    std::sort(out.begin(), out.end(), [](const Line* a, const Line* b) {
      return a->accusers.size() != b->accusers.size() ? a->accusers.size() > b->accusers.size()
                                                      : a->replica < b->replica;
    });
    for (std::size_t i = most; i < out.size(); ++i) {
      out[i]->rests_until = 0;
      out[i]->why = "too-many-out";
    }
  }

  std::vector<PeerReplicaReport> tell;
  std::map<ReplicaId, Time> rests;
  for (const Line& line : lines_) rests[line.replica] = line.rests_until;
  for (auto& [id, r] : fleet_) {
    PeerReplicaReport t{id, r.seen.endpoint.started_at, 0, 0, 0, 0};
    if (const auto at = rests.find(id); at != rests.end()) t.ejected_until = at->second;
    const auto k = cases.find(id);
    if (k != cases.end() && k->second.called_slow && k->second.said.size() >= 2) {
      const Said s = Median(k->second.said);
      if (s.slow >= kSlow) {
        t.slowness = s.slow;
        t.slowness_samples = std::min(limits_.most_n, limits_.weight * s.n);
      }
    }
    // As after failures of one's own: what is left alone looks slow, and its caps go to the others with it.
    if (t.ejected_until > now && t.slowness < kFailureSlow)
      t.slowness = kFailureSlow, t.slowness_samples = limits_.most_n;
    std::erase_if(r.ghosts, [&](const auto& g) { return g.second.until <= now; });
    for (const auto& [name, g] : r.ghosts) t.orphaned_in_flight += part * g.out;
    const PeerReplicaReport& was = r.told;
    const bool rest_moved =
        t.ejected_until > now ? was.ejected_until < now + kRestAgain : was.ejected_until > now;
    const bool fades = t.slowness_samples > 0 && now - r.told_at > kTellAgain;
    if (rest_moved || std::abs(t.slowness - was.slowness) > kMoved ||
        std::abs(t.slowness_samples - was.slowness_samples) > 0.5 * std::max(1.0, was.slowness_samples) ||
        std::abs(t.orphaned_in_flight - was.orphaned_in_flight) > 0.1 || fades) {
      r.told = t;
      r.told_at = now;
      tell.push_back(t);
    }
  }
  return tell;
}

std::vector<PeerReplicaReport> EvidenceModel::Withdraw(Time now) {
  std::vector<PeerReplicaReport> tell;
  lines_.clear();
  for (auto& [id, r] : fleet_) {
    r.ghosts.clear();
    if (r.told.slowness_samples <= 0 && r.told.ejected_until <= now && r.told.orphaned_in_flight <= 0)
      continue;
    r.told = {id, r.seen.endpoint.started_at, 0, 0, 0, 0};
    r.told_at = now;
    tell.push_back(r.told);
  }
  return tell;
}

}  // namespace ryeglade::gossip
