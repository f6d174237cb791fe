#include "candidate_finder.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "hashing.h"

namespace ryeglade::policy {
namespace {

// Bounds of the sample that is taken of a large fleet.
constexpr std::size_t kMaxPreferred = 32;  // preferred replicas of a key
constexpr std::size_t kMaxRingPoints =
    8 * kMaxPreferred * HashRing::kPointsPerReplica;  // visited in one search
constexpr int kRandomDraws = 24;  // the best of so many replicas is hardly worse than the best of all

// Orders candidates by zone if `by_zone`, then by descending rank.
auto ByRank(double Candidate::*rank, bool by_zone) {
  return [rank, by_zone](const Candidate& a, const Candidate& b) {
    const auto key = [&](const Candidate& c) {
      return std::tuple(by_zone ? c.replica->endpoint.zone : 0, -(c.*rank), c.replica->endpoint.id);
    };
    return key(a) < key(b);
  };
}

}  // namespace

void CandidateFinder::Find(const RequestArrived& request, double prefix_share, double session_share, Time now,
                           std::vector<Candidate>& candidates) {
  candidates.clear();
  if (!inputs_.fleet.UsesSampling()) {
    AddAll(request, now, candidates);
    MarkPreferred(request, prefix_share, session_share, candidates);
    return;
  }
  // Departure (see router.cpp): in a large fleet only a key's preferred replicas and some drawn at random are
  // candidates (power of d choices).
  ring_.RebuildIfInvalid(inputs_.fleet);
  ++search_;
  if (request.prefix != 0) {
    AddFromRing(request, {request.prefix, prefix_share, false}, candidates);
    MarkSessionAmongPrefix(request, session_share, candidates);
  } else if (request.session != 0) {
    AddFromRing(request, {request.session, session_share, true}, candidates);
  }
  AddRandom(candidates);
}

// ---- All replicas ----

void CandidateFinder::AddAll(const RequestArrived& request, Time now, std::vector<Candidate>& candidates) {
  inputs_.load_reports.ResetMean();
  for (const auto& replica : inputs_.fleet.replicas()) {
    if (replica->concurrency_limit <= 0) continue;
    const double weight = ReplicaSpeed::LoadFactor(inputs_.speed.KindSlowness(replica->endpoint.kind));
    Candidate& candidate = candidates.emplace_back();
    candidate.replica = replica.get();
    if (request.prefix != 0) {
      candidate.prefix_rank = RendezvousScore(request.prefix, replica->endpoint.id, weight);
    }
    if (request.session != 0) {
      candidate.session_rank = RendezvousScore(request.session, replica->endpoint.id, weight);
    }
    inputs_.load_reports.CountTowardsMean(*replica, now);
  }
}

// Marks the prefix's preferred replicas and, among them, the session's. Where cross-zone requests are
// penalized, a prefix has preferred replicas in each zone, and a session only in this node's zone.
void CandidateFinder::MarkPreferred(const RequestArrived& request, double prefix_share, double session_share,
                                    std::vector<Candidate>& candidates) const {
  const bool by_zone = AvoidsOtherZones(inputs_.settings);
  if (request.prefix != 0) {
    std::sort(candidates.begin(), candidates.end(), ByRank(&Candidate::prefix_rank, by_zone));
  } else if (request.session != 0) {
    std::sort(candidates.begin(), candidates.end(), ByRank(&Candidate::session_rank, by_zone));
  }
  for (auto zone_begin = candidates.begin(); zone_begin != candidates.end();) {
    const int zone = zone_begin->replica->endpoint.zone;
    const auto zone_end = std::find_if(zone_begin, candidates.end(), [&](const Candidate& candidate) {
      return by_zone && candidate.replica->endpoint.zone != zone;
    });
    const auto count = static_cast<std::size_t>(zone_end - zone_begin);
    std::size_t eligible_for_session = count;
    if (request.prefix != 0) {
      eligible_for_session = PrefixAffinity::PreferredCount(prefix_share, count, count);
      const auto preferred_end = zone_begin + static_cast<std::ptrdiff_t>(eligible_for_session);
      std::for_each(zone_begin, preferred_end, [](Candidate& c) { c.prefix_preferred = true; });
      std::sort(zone_begin, preferred_end, ByRank(&Candidate::session_rank, by_zone));
    }
    if (request.session != 0 && (!by_zone || zone == inputs_.settings.zone)) {
      const std::size_t preferred =
          PrefixAffinity::PreferredCount(session_share, count, eligible_for_session);
      std::for_each(zone_begin, zone_begin + static_cast<std::ptrdiff_t>(preferred),
                    [](Candidate& c) { c.session_preferred = true; });
    }
    zone_begin = zone_end;
  }
}

// ---- A sample ----

bool CandidateFinder::ClaimForSearch(Replica& replica) const {
  if (replica.concurrency_limit <= 0 || replica.last_search == search_) return false;
  replica.last_search = search_;
  return true;
}

void CandidateFinder::AddFromRing(const RequestArrived& request, const RingSearch& search,
                                  std::vector<Candidate>& candidates) {
  const std::size_t preferred =
      PrefixAffinity::PreferredCount(search.traffic_share, inputs_.limits.available().size(), ring_.size());
  std::size_t left = std::min(kMaxPreferred, preferred);
  std::size_t index = ring_.Locate(search.key);
  // If a key has more than kMaxPreferred preferred replicas, a section of them is used. Requests of one
  // session always use the same section, so that they find its cached prompt; others use a random one.
  if (preferred > kMaxPreferred) {
    const double start = request.session != 0 ? UnitInterval(Mix64(request.session)) : inputs_.random.Next();
    index += static_cast<std::size_t>(start * static_cast<double>(preferred - kMaxPreferred));
  }
  const bool own_zone_only = AvoidsOtherZones(inputs_.settings);
  const std::size_t points = std::min(ring_.size(), kMaxRingPoints);
  for (std::size_t n = 0; n < points && left > 0; ++n, ++index) {
    Replica& replica = ring_.ReplicaAt(index);
    if (own_zone_only && replica.endpoint.zone != inputs_.settings.zone) continue;
    if (!ClaimForSearch(replica)) continue;
    Candidate& candidate = candidates.emplace_back();
    candidate.replica = &replica;
    candidate.prefix_preferred = !search.is_session;
    candidate.session_preferred = search.is_session;
    --left;
  }
}

// Marks the session's preferred replicas among the candidates, which are the prefix's preferred ones.
void CandidateFinder::MarkSessionAmongPrefix(const RequestArrived& request, double session_share,
                                             std::vector<Candidate>& candidates) const {
  if (request.session == 0 || candidates.empty()) return;
  for (Candidate& candidate : candidates) {
    candidate.session_hash = Mix64(request.session ^ Mix64(candidate.replica->endpoint.id));
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::pair(~a.session_hash, a.replica->endpoint.id) <
           std::pair(~b.session_hash, b.replica->endpoint.id);
  });
  const std::size_t preferred =
      PrefixAffinity::PreferredCount(session_share, inputs_.limits.available().size(), candidates.size());
  for (std::size_t i = 0; i < preferred; ++i) candidates[i].session_preferred = true;
}

void CandidateFinder::AddRandom(std::vector<Candidate>& candidates) {
  const std::vector<Replica*>& available = inputs_.limits.available();
  if (available.empty()) return;
  for (int draw = 0; draw < kRandomDraws; ++draw) {
    const auto index =
        static_cast<std::size_t>(inputs_.random.Next() * static_cast<double>(available.size()));
    Replica& replica = *available[std::min(available.size() - 1, index)];
    if (ClaimForSearch(replica)) candidates.emplace_back().replica = &replica;
  }
}

}  // namespace ryeglade::policy
