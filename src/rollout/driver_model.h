// What a rollout does next, decided from what the keepers say and nothing else: a driver may be killed
// between any two steps, and another goes on from there. No I/O, no clock.
//
// A round: look at all keepers; claim them for this driver's epoch (a majority of the plan's nodes must say
// yes, or nothing is done); then act on what this round showed. Keepers refuse an epoch that is not the
// highest they heard, and any command whose claim is older than their lease. A new driver waits a lease
// before its first act, so that nothing an earlier one sent can still be taken.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rollout/canary_analysis_model.h"
#include "rollout/cluster_view_model.h"
#include "rollout/plan.h"
#include "rollout/release_model.h"

namespace ryeglade::rollout {

enum class Course : std::uint8_t {
  kWaiting,   // for a majority, or for an earlier driver's lease to be over
  kStage,     // nodes of a stage change
  kSoak,      // a stage has changed; its verdict is awaited
  kBack,      // all go back
  kPaused,    // with a reason; goes on when told to
  kDone,      // all have changed, and the last verdict was good
  kBackDone,  // all that can be reached run what ran before
  kOver,      // another driver has taken over
  kCount
};
const char* Name(Course course);

struct Order {
  std::string node;
  Command command;
};

struct NodeView {
  std::optional<KeeperStatus> status;  // of this round; null: no answer
  bool claimed = false;
};

class Driver {
 public:
  // `epoch`: higher than any the keepers told; `driver`: a word no other driver has.
  Driver(Plan plan, std::uint64_t epoch, std::string driver, Time lease);

  // The claim that goes to every keeper in each round.
  Command Claim() const;
  // What the round showed, by node; the orders are to be sent now, each once. A `no` for "stale" is told by
  // Refused.
  // `tier`: what the nodes say of each other, where the plan asks for it; null: it is not asked for.
  std::vector<Order> Round(Time now, const std::map<std::string, NodeView>& round,
                           const TierWord* tier = nullptr);
  void Refused(const std::string& why);

  Course course() const { return course_; }
  bool ended() const {
    return course_ == Course::kDone || course_ == Course::kBackDone || course_ == Course::kOver;
  }
  std::size_t stage() const { return stage_; }
  const std::string& why() const { return why_; }
  const Outcome& outcome() const { return outcome_; }
  std::size_t in_change() const { return in_change_; }
  std::vector<std::string> passed_over() const;  // gone, or dead in the view for too long
  std::vector<std::string> left_alone() const;   // not to be changed now: suspect or dead in the view
  const Plan& plan() const { return plan_; }
  // All that decides what it does next, with times as spans before `now`: for explorers.
  std::string Standing(Time now) const;
  // As an operator's word; goes into the next round's marks.
  void Say(std::string mark, std::string why) { say_ = {std::move(mark), std::move(why)}; }

 private:
  struct Node {
    std::size_t plan = 0;  // its place in the plan's nodes
    std::size_t stage = 0;
    std::optional<KeeperStatus> last;
    std::vector<std::pair<Time, Past>> past;  // by this driver's clock; until it is taken
    Time asked_at = -1, answered_at = -1;     // first asked; last answered; -1: never
    bool gone = false;                        // it has not answered for too long: passed over
    Time dumb_since = -1;                     // it runs the new release, and has given no figures since
    int old_crashes = 0;                      // seen while it ran what it ran before: it flaps by itself
    Time absent_since = -1;                   // suspect or dead in the view since; -1: it is not
    bool dead = false;                        // in the view
    bool commanded = false;  // it was asked to change, and has not said since that it is through
  };
  bool Through(const Node& n) const;   // runs the new release, and no change is under way
  bool Behind(const Node& n) const;    // does not, and none is under way
  bool Changing(const Node& n) const;  // is, or may be, between the two
  std::string Harmed(Time now, const Node& n) const;
  void Mark(const std::string& mark, const std::string& why, std::vector<Order>& orders);
  void TakePast();
  void TakeTier(Time now, const TierWord* tier);
  void Pause(const std::string& why, std::vector<Order>& orders);
  void GoOn(Time now, std::vector<Order>& orders);
  void GoBack(Time now, std::vector<Order>& orders);
  Order To(const Node& n, Command::What what) const;
  Release ReleaseFor(const Node& n) const;

  Plan plan_;
  std::uint64_t epoch_;
  std::string driver_;
  Time lease_;
  std::map<std::string, Node> nodes_;
  Course course_ = Course::kWaiting;
  std::string why_;
  std::size_t stage_ = 0, in_change_ = 0;
  Time majority_since_ = -1;  // unbroken or not: when a majority was first claimed
  bool past_taken_ = false;
  Time doubt_since_ = -1;  // the view among the nodes can't be trusted since; -1: it can, or is not asked for
  bool changed_ = false;   // this driver has asked a node to change
  Time soak_from_ = -1, wait_from_ = -1;
  std::pair<std::string, std::string> mark_, say_;
  std::uint64_t mark_seen_ = 0;
  Verdict verdict_;
  Outcome outcome_;
};

}  // namespace ryeglade::rollout
