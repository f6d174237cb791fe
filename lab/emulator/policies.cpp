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
  std::size_t queued_requests() const override { return router_.queued_requests(); }
  double total_concurrency_limit() const override { return router_.total_concurrency_limit(); }
  ReplicaView replica(ReplicaId id) const override { return router_.replica(id); }

 private:
  Router router_;
};

// Base of the policies that send every request at once; they differ only in the choice of the replica.
class Baseline : public NodePolicy {
 public:
  struct ReplicaState {
    ReplicaId id = 0;
    int in_flight = 0;
    bool ready = false;
  };
  Baseline(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed, RandomPurpose::kPolicy) {}

  void Handle(Time, const Event& event, std::vector<Action>& actions) override {
    if (const auto* list = std::get_if<EndpointList>(&event)) return OnEndpointList(*list);
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      open_[arrived->id] = {*arrived, {}};
      return Send(arrived->id, actions);
    }
    if (const auto* ended = std::get_if<AttemptEnded>(&event)) return OnAttemptEnded(*ended, actions);
    if (const auto* client_gone = std::get_if<ClientDisconnected>(&event)) {
      const auto it = open_.find(client_gone->id);
      if (it == open_.end()) return;
      if (it->second.in_flight)
        actions.emplace_back(CancelAttempt{client_gone->id, static_cast<int>(it->second.tried.size()) - 1});
      it->second.client_gone = true;
      if (!it->second.in_flight) open_.erase(it);
    }
  }

 protected:
  // Returns one of `options`, the ready replicas that the request has not tried yet; never empty.
  virtual const ReplicaState& Choose(const RequestArrived& request,
                                     const std::vector<const ReplicaState*>& options) = 0;
  RandomStream& random() { return random_; }

 private:
  struct OpenRequest {
    RequestArrived request;
    std::vector<ReplicaId> tried;
    bool in_flight = false, client_gone = false, started = false;
  };

  void OnEndpointList(const EndpointList& list) {
    if (list.scope == EndpointListScope::kFailed) return;
    if (list.scope != EndpointListScope::kDelta) {
      for (ReplicaState& replica : fleet_) replica.ready = false;
    }
    for (const Endpoint& e : list.endpoints) {
      if (fleet_.size() <= e.id) fleet_.resize(e.id + 1);
      fleet_[e.id].id = e.id;
      fleet_[e.id].ready = e.state == EndpointState::kReady;
    }
    ready_.clear();
    for (const ReplicaState& replica : fleet_) {
      if (replica.ready) ready_.push_back(&replica);
    }
  }

  void Send(RequestId id, std::vector<Action>& actions) {
    OpenRequest& open = open_.at(id);
    const std::vector<const ReplicaState*>* options = &ready_;
    if (!open.tried.empty()) {
      options_.clear();
      for (const ReplicaState* replica : ready_) {
        if (std::find(open.tried.begin(), open.tried.end(), replica->id) == open.tried.end())
          options_.push_back(replica);
      }
      options = &options_;
    }
    if (options->empty() || open.tried.size() >= static_cast<std::size_t>(settings_.max_attempts)) {
      actions.emplace_back(RejectRequest{id, settings_.max_retry_after});
      open_.erase(id);
      return;
    }
    const ReplicaId to = Choose(open.request, *options).id;
    open.tried.push_back(to);
    open.in_flight = true;
    ++fleet_[to].in_flight;
    actions.emplace_back(SendAttempt{id, to, 0});
  }

  void OnAttemptEnded(const AttemptEnded& e, std::vector<Action>& actions) {
    if (e.replica < fleet_.size()) --fleet_[e.replica].in_flight;
    const auto it = open_.find(e.id);
    if (it == open_.end()) return;
    it->second.in_flight = false;
    if (it->second.client_gone || e.outcome == Outcome::kServed || e.request_concluded) {
      open_.erase(it);
      return;
    }
    if (e.outcome == Outcome::kTimeout) {  // no time is left for another attempt
      actions.emplace_back(RejectRequest{e.id, settings_.max_retry_after});
      open_.erase(it);
      return;
    }
    Send(e.id, actions);
  }

  Settings settings_;
  RandomStream random_;
  std::vector<ReplicaState> fleet_;  // by replica id
  std::unordered_map<RequestId, OpenRequest> open_;
  std::vector<const ReplicaState*> ready_, options_;  // ascending by id
};

class RandomChoice : public Baseline {
  using Baseline::Baseline;
  const ReplicaState& Choose(const RequestArrived&,
                             const std::vector<const ReplicaState*>& options) override {
    return *options[random().Below(options.size())];
  }
};

class RoundRobin : public Baseline {
  using Baseline::Baseline;
  const ReplicaState& Choose(const RequestArrived&,
                             const std::vector<const ReplicaState*>& options) override {
    return *options[turn_++ % options.size()];
  }
  std::size_t turn_ = 0;
};

class LeastInFlight : public Baseline {
  using Baseline::Baseline;
  const ReplicaState& Choose(const RequestArrived&,
                             const std::vector<const ReplicaState*>& options) override {
    std::size_t best = random().Below(options.size());  // a random start breaks ties
    for (std::size_t i = 0; i < options.size(); ++i) {
      if (options[i]->in_flight < options[best]->in_flight) best = i;
    }
    return *options[best];
  }
};

class TwoChoices : public Baseline {
  using Baseline::Baseline;
  const ReplicaState& Choose(const RequestArrived&,
                             const std::vector<const ReplicaState*>& options) override {
    const ReplicaState &a = *options[random().Below(options.size())],
                       &b = *options[random().Below(options.size())];
    return b.in_flight < a.in_flight ? b : a;
  }
};

class Oracle : public Baseline {
 public:
  Oracle(const Settings& s, std::uint64_t seed, TrueQueue true_queue)
      : Baseline(s, seed), true_queue_(std::move(true_queue)) {}

 private:
  const ReplicaState& Choose(const RequestArrived&,
                             const std::vector<const ReplicaState*>& options) override {
    const ReplicaState* best = options.front();
    double least = true_queue_(best->id);
    for (const ReplicaState* replica : options) {
      const double queue = true_queue_(replica->id);
      if (queue < least) {
        best = replica;
        least = queue;
      }
    }
    return *best;
  }
  TrueQueue true_queue_;
};

class Affinity : public Baseline {
  using Baseline::Baseline;
  const ReplicaState& Choose(const RequestArrived& request,
                             const std::vector<const ReplicaState*>& options) override {
    constexpr double kBound = 1.25;
    double total = 0;
    for (const ReplicaState* replica : options) total += replica->in_flight;
    const double max_in_flight =
        std::max(1.0, std::ceil(kBound * (total + 1) / static_cast<double>(options.size())));
    const std::uint64_t key = request.prefix != 0    ? request.prefix
                              : request.session != 0 ? request.session
                                                     : request.id;
    const ReplicaState* best = nullptr;
    std::uint64_t rank = 0;
    for (const ReplicaState* replica : options) {
      if (replica->in_flight + 1 > max_in_flight) continue;
      const std::uint64_t hash_input[] = {key, replica->id};
      const std::uint64_t hash = XXH3_64bits(hash_input, sizeof hash_input);
      if (best == nullptr || hash > rank) {
        best = replica;
        rank = hash;
      }
    }
    return best == nullptr ? *options[random().Below(options.size())] : *best;
  }
};

}  // namespace

std::vector<std::string> PolicyNames() {
  return {"router", "random", "round-robin", "least-in-flight", "two-choices", "oracle", "affinity"};
}

std::unique_ptr<NodePolicy> MakePolicy(const std::string& name, const Settings& settings, std::uint64_t seed,
                                       Time now, TrueQueue true_queue) {
  if (name == "router") return std::make_unique<RouterPolicy>(settings, seed, now);
  if (name == "random") return std::make_unique<RandomChoice>(settings, seed);
  if (name == "round-robin") return std::make_unique<RoundRobin>(settings, seed);
  if (name == "least-in-flight") return std::make_unique<LeastInFlight>(settings, seed);
  if (name == "two-choices") return std::make_unique<TwoChoices>(settings, seed);
  if (name == "oracle") return std::make_unique<Oracle>(settings, seed, std::move(true_queue));
  if (name == "affinity") return std::make_unique<Affinity>(settings, seed);
  std::string all;
  for (const std::string& n : PolicyNames()) all += (all.empty() ? "" : ", ") + n;
  throw std::runtime_error("unknown policy '" + name + "'; the policies are " + all);
}

}  // namespace ryeglade::emulator
