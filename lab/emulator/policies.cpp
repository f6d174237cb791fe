#include "lab/emulator/policies.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <unordered_map>

#include "lab/emulator/random.h"

namespace ryeglade::emulator {
namespace {

using namespace policy;

class RouterPolicy : public NodePolicy {
 public:
  RouterPolicy(const Settings& settings, std::uint64_t seed, Time now) : router_(settings, seed, now) {}
  void Handle(Time now, const Event& event, std::vector<Action>& actions) override {
    router_.Handle(now, event, actions);
  }
  std::size_t held() const override { return router_.queued_requests(); }
  double total_concurrency_limit() const override { return router_.total_concurrency_limit(); }
  ReplicaView seen(ReplicaId id) const override { return router_.replica(id); }

 private:
  Router router_;
};

// Sends at once; only the choice differs.
class Plain : public NodePolicy {
 public:
  struct Known {
    ReplicaId id = 0;
    int in_flight = 0;
    bool ready = false;
  };
  Plain(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed, RandomPurpose::kPolicy) {}

  void Handle(Time, const Event& event, std::vector<Action>& actions) override {
    if (const auto* list = std::get_if<EndpointList>(&event)) return Take(*list);
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      open_[arrived->id] = {*arrived, {}};
      return Send(arrived->id, actions);
    }
    if (const auto* ended = std::get_if<AttemptEnded>(&event)) return Ended(*ended, actions);
    if (const auto* gone = std::get_if<ClientDisconnected>(&event)) {
      const auto it = open_.find(gone->id);
      if (it == open_.end()) return;
      if (it->second.out)
        actions.emplace_back(CancelAttempt{gone->id, static_cast<int>(it->second.tried.size()) - 1});
      it->second.gone = true;
      if (!it->second.out) open_.erase(it);
    }
  }

 protected:
  // One of `options`, which are ready and not tried yet; never empty.
  virtual const Known& Choose(const RequestArrived& request, const std::vector<const Known*>& options) = 0;
  RandomStream& random() { return random_; }

 private:
  struct Open {
    RequestArrived request;
    std::vector<ReplicaId> tried;
    bool out = false, gone = false, started = false;
  };

  void Take(const EndpointList& list) {
    if (list.scope == EndpointListScope::kFailed) return;
    if (list.scope != EndpointListScope::kDelta) {
      for (Known& k : fleet_) k.ready = false;
    }
    for (const Endpoint& e : list.endpoints) {
      if (fleet_.size() <= e.id) fleet_.resize(e.id + 1);
      fleet_[e.id].id = e.id;
      fleet_[e.id].ready = e.state == EndpointState::kReady;
    }
    ready_.clear();
    for (const Known& k : fleet_) {
      if (k.ready) ready_.push_back(&k);
    }
  }

  void Send(RequestId id, std::vector<Action>& actions) {
    Open& o = open_.at(id);
    const std::vector<const Known*>* options = &ready_;
    if (!o.tried.empty()) {
      options_.clear();
      for (const Known* k : ready_) {
        if (std::find(o.tried.begin(), o.tried.end(), k->id) == o.tried.end()) options_.push_back(k);
      }
      options = &options_;
    }
    if (options->empty() || o.tried.size() >= static_cast<std::size_t>(settings_.max_attempts)) {
      actions.emplace_back(RejectRequest{id, settings_.max_retry_after});
      open_.erase(id);
      return;
    }
    const ReplicaId to = Choose(o.request, *options).id;
    o.tried.push_back(to);
    o.out = true;
    ++fleet_[to].in_flight;
    actions.emplace_back(SendAttempt{id, to, 0});
  }

  void Ended(const AttemptEnded& e, std::vector<Action>& actions) {
    if (e.replica < fleet_.size()) --fleet_[e.replica].in_flight;
    const auto it = open_.find(e.id);
    if (it == open_.end()) return;
    it->second.out = false;
    if (it->second.gone || e.outcome == Outcome::kServed || e.request_concluded) {
      open_.erase(it);
      return;
    }
    if (e.outcome == Outcome::kTimeout) {  // no time is left for another
      actions.emplace_back(RejectRequest{e.id, settings_.max_retry_after});
      open_.erase(it);
      return;
    }
    Send(e.id, actions);
  }

  Settings settings_;
  RandomStream random_;
  std::vector<Known> fleet_;  // by id
  std::unordered_map<RequestId, Open> open_;
  std::vector<const Known*> ready_, options_;  // in the order of ids
};

class RandomChoice : public Plain {
  using Plain::Plain;
  const Known& Choose(const RequestArrived&, const std::vector<const Known*>& o) override {
    return *o[random().Below(o.size())];
  }
};

class RoundRobin : public Plain {
  using Plain::Plain;
  const Known& Choose(const RequestArrived&, const std::vector<const Known*>& o) override {
    return *o[turn_++ % o.size()];
  }
  std::size_t turn_ = 0;
};

class LeastInFlight : public Plain {
  using Plain::Plain;
  const Known& Choose(const RequestArrived&, const std::vector<const Known*>& o) override {
    std::size_t best = random().Below(o.size());  // ties by chance
    for (std::size_t i = 0; i < o.size(); ++i) {
      if (o[i]->in_flight < o[best]->in_flight) best = i;
    }
    return *o[best];
  }
};

class TwoChoices : public Plain {
  using Plain::Plain;
  const Known& Choose(const RequestArrived&, const std::vector<const Known*>& o) override {
    const Known &a = *o[random().Below(o.size())], &b = *o[random().Below(o.size())];
    return b.in_flight < a.in_flight ? b : a;
  }
};

class Oracle : public Plain {
 public:
  Oracle(const Settings& s, std::uint64_t seed, Truth truth) : Plain(s, seed), truth_(std::move(truth)) {}

 private:
  const Known& Choose(const RequestArrived&, const std::vector<const Known*>& o) override {
    const Known* best = o.front();
    double least = truth_(best->id);
    for (const Known* k : o) {
      const double queue = truth_(k->id);
      if (queue < least) {
        best = k;
        least = queue;
      }
    }
    return *best;
  }
  Truth truth_;
};

class Affinity : public Plain {
  using Plain::Plain;
  const Known& Choose(const RequestArrived& r, const std::vector<const Known*>& o) override {
    constexpr double kBound = 1.25;
    double total = 0;
    for (const Known* k : o) total += k->in_flight;
    const double most = std::max(1.0, std::ceil(kBound * (total + 1) / static_cast<double>(o.size())));
    const std::uint64_t key = r.prefix != 0 ? r.prefix : r.session != 0 ? r.session : r.id;
    const Known* best = nullptr;
    std::uint64_t rank = 0;
    for (const Known* k : o) {
      if (k->in_flight + 1 > most) continue;
      const std::uint64_t words[] = {key, k->id};
      const std::uint64_t h = XXH3_64bits(words, sizeof words);
      if (best == nullptr || h > rank) {
        best = k;
        rank = h;
      }
    }
    return best == nullptr ? *o[random().Below(o.size())] : *best;
  }
};

}  // namespace

std::vector<std::string> PolicyNames() {
  return {"router", "random", "round-robin", "least-in-flight", "two-choices", "oracle", "affinity"};
}

std::unique_ptr<NodePolicy> MakePolicy(const std::string& name, const Settings& settings, std::uint64_t seed,
                                       Time now, Truth truth) {
  if (name == "router") return std::make_unique<RouterPolicy>(settings, seed, now);
  if (name == "random") return std::make_unique<RandomChoice>(settings, seed);
  if (name == "round-robin") return std::make_unique<RoundRobin>(settings, seed);
  if (name == "least-in-flight") return std::make_unique<LeastInFlight>(settings, seed);
  if (name == "two-choices") return std::make_unique<TwoChoices>(settings, seed);
  if (name == "oracle") return std::make_unique<Oracle>(settings, seed, std::move(truth));
  if (name == "affinity") return std::make_unique<Affinity>(settings, seed);
  std::string all;
  for (const std::string& n : PolicyNames()) all += (all.empty() ? "" : ", ") + n;
  throw std::runtime_error("'" + name + "' is no policy; there are " + all);
}

}  // namespace ryeglade::emulator
