// The routing policies of simulated nodes: the Router, and the baselines that it is compared with, which
// exist in the lab only. Each baseline implements just the algorithm it is named after and follows the
// Router's rules: one attempt at a time, at most `max_attempts`, only to ready replicas, and a rejection when
// no attempt is left.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::emulator {

using policy::Time;

// The routing policy of one simulated node.
class NodePolicy {
 public:
  virtual ~NodePolicy() = default;
  // Appends the policy's actions to `actions`.
  virtual void Handle(Time now, const policy::Event& event, std::vector<policy::Action>& actions) = 0;
  // The next two return 0 for policies that have no queue or no limits.
  virtual std::size_t queued_requests() const { return 0; }
  virtual double total_concurrency_limit() const { return 0; }
  // Returns what this node itself has observed of a replica; an empty view if it keeps none.
  virtual policy::ReplicaView replica(policy::ReplicaId) const { return {}; }
};

// Returns the true work queued at a replica, as time; no real node can know it.
using TrueQueue = std::function<double(policy::ReplicaId)>;

// Returns the names of all policies: router, random, round-robin, least-in-flight, two-choices, oracle (the
// shortest true queue), and affinity (rendezvous hashing of the prefix, with loads bounded at 1.25 times the
// mean: Mirrokni et al., SODA 2018).
std::vector<std::string> PolicyNames();
// `true_queue` is used by the oracle only. Throws std::runtime_error with the known names if `name` is not
// one of them.
std::unique_ptr<NodePolicy> MakePolicy(const std::string& name, const policy::Settings& settings,
                                       std::uint64_t seed, Time now, TrueQueue true_queue);

}  // namespace ryeglade::emulator
