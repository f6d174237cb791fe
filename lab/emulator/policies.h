// What a node decides by: the Router, or one of the policies it is compared with. Those are for the lab only;
// each is the plain form of its name, with the same rules as the Router: one attempt at a time, at most
// `max_attempts`, nothing to what is not ready, a refusal once no attempt is left.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::emulator {

using policy::Time;

class NodePolicy {
 public:
  virtual ~NodePolicy() = default;
  virtual void Handle(Time now, const policy::Event& event, std::vector<policy::Action>& actions) = 0;
  virtual std::size_t held() const { return 0; }
  virtual double total_concurrency_limit() const { return 0; }
  virtual policy::ReplicaView seen(policy::ReplicaId) const { return {}; }  // what the node itself has seen
};

// A replica's true state, which no real node sees: what there is to read and how many are there, over its
// speed.
using Truth = std::function<double(policy::ReplicaId)>;

// router, random, round-robin, least-in-flight, two-choices, oracle (the shortest true queue), affinity (a
// beginning's home by rendezvous hashing, with loads bounded at 1.25 times the mean: Mirrokni et al., SODA
// 2018).
std::vector<std::string> PolicyNames();
// Throws std::runtime_error listing the names.
std::unique_ptr<NodePolicy> MakePolicy(const std::string& name, const policy::Settings& settings,
                                       std::uint64_t seed, Time now, Truth truth);

}  // namespace ryeglade::emulator
