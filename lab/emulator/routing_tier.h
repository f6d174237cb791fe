// The nodes of an emulated day that tell each other what comes to them: each has the program's own part that
// works out its share of the tier's traffic. Who is in a view, and how late a death is known, is modelled as
// the membership has it: by a delay, and by its rule that a side without a majority removes nobody.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gossip/shared_state_model.h"
#include "lab/emulator/random.h"
#include "ryeglade/router.h"

namespace ryeglade::emulator {

using policy::Time;

// What RoutingTierSpec::talk may be, for help and errors.
inline constexpr std::string_view kGossipValues =
    "talk or oracle, or either with one of -parts, -evidence, -beginnings behind it";

struct RoutingTierSpec {
  // "": none. "talk": as the program does; "oracle": each node knows the truth at once. Either with "-parts",
  // "-evidence" or "-beginnings" behind it has that use alone.
  std::string gossip_mode;
  bool oracle() const { return gossip_mode.starts_with("oracle"); }
  bool shares_traffic() const { return Uses("-parts"); }
  bool shares_outlier_reports() const { return Uses("-evidence"); }
  bool shares_prefix_traffic() const { return Uses("-beginnings"); }
  bool IsValid() const;
  double loss = 0;          // of words
  double detect = 10;       // seconds until a death, or the other side of a cut, is out of a view
  double settles = 5;       // and until a view is settled
  double delay = 1;         // mean until a word has reached a node; it goes from one to the next
  int byzantine_node = -1;  // a node that says a thousand times what comes to it, and that all replicas fail

 private:
  bool Uses(std::string_view what) const {
    return !gossip_mode.empty() &&
           (gossip_mode.find('-') == std::string::npos || gossip_mode.ends_with(what));
  }
};

class RoutingTier {
 public:
  // `weights`: of the traffic that each node gets, adding up to 1.
  RoutingTier(const RoutingTierSpec& spec, std::vector<double> weights, int zones, std::uint64_t seed);

  static constexpr Time kEvery = 500'000;
  void Starts(std::size_t node, Time now);
  void Ends(std::size_t node) { nodes_[node].up = false; }
  void Arrives(std::size_t node, Time now, std::uint64_t prefix);
  // From now on the first `count` nodes and the others do not hear each other; 0: they do.
  void Cut(std::size_t count) { cut_ = count; }
  using Told = std::vector<std::pair<std::size_t, policy::Event>>;
  // What a node has seen of all replicas that it knows.
  using Sight = std::function<void(std::size_t node, std::vector<policy::ReplicaView>* fleet)>;
  // Every kEvery: what which nodes are told now, in order.
  Told Turn(Time now, const Sight& sight);

 private:
  struct Node {
    std::unique_ptr<gossip::SharedStateModel> tier;
    bool up = false;
    std::uint64_t life = 0;
    std::vector<Time> lost;  // by member: not heard since; -1: heard
    std::vector<bool> view;  // by member
    std::size_t size = 0;    // of the last settled view
    Time changed = 0;
    double told = 0;
  };
  struct OnItsWay {
    Time due;
    std::uint64_t order;
    std::size_t to, from;
    Time made;
    std::shared_ptr<const gossip::NodeReport> word;
    bool operator<(const OnItsWay& o) const { return due != o.due ? due > o.due : order > o.order; }
  };
  bool Hears(std::size_t from, std::size_t to) const {
    return nodes_[from].up && nodes_[to].up && (cut_ == 0 || (from < cut_) == (to < cut_));
  }
  void Look(std::size_t observer, Time now);
  void Spread(std::size_t from, Time now, gossip::NodeReport word);

  RoutingTierSpec spec_;
  int zones_;
  gossip::SharedStateLimits limits_;
  std::vector<double> weights_;
  std::vector<Node> nodes_;
  std::vector<std::string> names_;
  RandomStream random_;
  std::size_t cut_ = 0;
  std::priority_queue<OnItsWay> way_;
  std::uint64_t order_ = 0;
  std::vector<policy::ReplicaView> fleet_;  // scratch
};

}  // namespace ryeglade::emulator
