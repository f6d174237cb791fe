// What a rollout does next, decided from what the supervisors report and nothing else: a driver may be killed
// between any two steps, and another one continues. No I/O, no clock.
//
// A round: poll all supervisors; claim them for this driver's epoch (a majority of the plan's nodes must
// accept, or nothing is done); then act on what this round showed. Supervisors reject an epoch that is not
// the highest they know, and any command whose claim is older than their lease. A new driver waits for a
// lease before its first action, so that nothing an earlier one sent can still be accepted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rollout/canary_analysis_model.h"
#include "rollout/cluster_view_model.h"
#include "rollout/plan.h"
#include "rollout/release_model.h"

namespace ryeglade::rollout {

enum class RolloutState : std::uint8_t {
  kWaiting,      // for a majority, for an earlier driver's lease to expire, or for a trusted cluster view
  kChanging,     // nodes of a stage change
  kSoaking,      // a stage has changed; its canary analysis goes on
  kRollingBack,  // all nodes return to their last good release
  kPaused,       // with a reason; continues when resumed
  kCompleted,    // all nodes have changed, and the last stage passed
  kRolledBack,   // all nodes that can be reached run what ran before
  kSuperseded,   // another driver has taken over
  kCount
};
const char* Name(RolloutState state);

struct NodeCommand {
  std::string node;  // by name
  SupervisorCommand command;
};

// What a supervisor answered to a round's claim.
struct SupervisorResponse {
  std::optional<SupervisorStatus> status;  // null: no answer
  bool claimed = false;                    // the claim was accepted
};

class Driver {
 public:
  // `epoch`: higher than any that the supervisors know; `driver`: a name no other driver has.
  Driver(Plan plan, std::uint64_t epoch, std::string driver, Time lease);

  // The claim that goes to every supervisor in each round.
  SupervisorCommand MakeClaim() const;
  // Takes the answers to the round's claims, by node, and gives the commands that are to be sent now, each
  // once. `cluster_view`: where the plan asks for it; else null.
  std::vector<NodeCommand> RunRound(Time now, const std::map<std::string, SupervisorResponse>& responses,
                                    const ClusterView* cluster_view = nullptr);
  // A claim or command was rejected; `reason` as in CommandReply.
  void OnRejected(const std::string& reason);

  RolloutState state() const { return state_; }
  bool ended() const {
    return state_ == RolloutState::kCompleted || state_ == RolloutState::kRolledBack ||
           state_ == RolloutState::kSuperseded;
  }
  std::size_t stage() const { return stage_; }                          // counted from 0
  const std::string& reason() const { return reason_; }                 // of the state, in words
  const CanaryResult& canary_result() const { return canary_result_; }  // the last one
  std::size_t changing_nodes() const { return changing_nodes_; }
  std::vector<std::string> skipped_nodes() const;   // unreachable, or dead in the cluster view for too long
  std::vector<std::string> deferred_nodes() const;  // not to be changed now: suspect or dead in the view
  const Plan& plan() const { return plan_; }
  // All that decides what it does next, with times as spans before `now`: equal for drivers that will act
  // alike. For explorers.
  std::string StateFingerprint(Time now) const;
  // An operator's directive; sent with the next round's commands.
  void SetDirective(std::string directive, std::string reason);

 private:
  struct Directive {
    std::string name;  // kDirective...; empty: none
    std::string reason;
  };
  struct Node {
    std::size_t plan_index = 0;  // in the plan's nodes
    std::size_t stage = 0;
    std::optional<SupervisorStatus> status;               // the last one
    std::vector<std::pair<Time, MetricsSample>> history;  // by this driver's clock; until it is analysed
    Time first_polled_at = -1, answered_at = -1;          // answered: last; -1: never
    bool skipped = false;                                 // unreachable for too long
    Time no_metrics_since = -1;   // it runs the new release and reports no metrics since; -1: it does
    int old_release_crashes = 0;  // seen while it ran another release: it crashes by itself
    Time absent_since = -1;       // suspect or dead in the cluster view since; -1: it is not
    bool dead = false;            // in the cluster view
    bool command_sent = false;    // it was told to change, and has not answered since
  };
  struct RoundCounts {
    std::size_t claimed = 0, skipped = 0;
  };
  using Commands = std::vector<NodeCommand>;

  // Of a node's state, as last reported.
  bool IsUpdated(const Node& node) const;   // runs the new release, and no change is under way
  bool IsOutdated(const Node& node) const;  // does not, and none is under way
  bool IsChanging(const Node& node) const;  // is, or may be, between the two
  bool RunsNewRelease(const SupervisorStatus& status) const;
  std::optional<std::string> HardFailure(Time now, const Node& node) const;

  void UpdateFromClusterView(Time now, const ClusterView& view);
  // Null: superseded.
  std::optional<RoundCounts> TakeResponses(Time now,
                                           const std::map<std::string, SupervisorResponse>& responses);
  void TakeStatus(Time now, const std::string& name, Node& node, const SupervisorStatus& status);
  void TakeDirective(const SupervisorStatus& status);
  void UpdateReachability(Time now, Node& node, bool answered);
  bool MayAct(Time now, std::size_t claimed);
  void AnalyseHistory();
  Time NewReleaseFirstSeen() const;

  void Advance(Time now, Commands& commands);
  std::size_t FirstUnfinishedStage() const;
  // Each: whether the rollout may go on; else it has set the state.
  bool StagePasses(Time now, std::size_t stage, Commands& commands);
  bool NoHarmSeen(Time now, Commands& commands);
  bool ActOnVerdict(Time now, Commands& commands);
  void WaitForRequests(Time now, std::size_t stage, Commands& commands);
  void Complete(Time now, Time soak, Commands& commands);
  void ChangeNodes(Time now, std::size_t stage, Commands& commands);
  void WaitForTrustedView(Time now, const ClusterView& view, Commands& commands);
  void Pause(const std::string& reason, Commands& commands);
  void RollBack(Time now, Commands& commands);
  void RollBackNodes(Time now, Commands& commands);
  void FinishRollBack();
  void StopSoaking() { soaking_since_ = waiting_since_ = -1; }
  void SendDirective(const std::string& name, const std::string& reason, Commands& commands);
  NodeCommand CommandFor(const Node& node, CommandKind kind) const;
  Release ReleaseFor(const Node& node) const;

  Plan plan_;
  std::uint64_t epoch_;
  std::string driver_;
  Time lease_;
  std::map<std::string, Node> nodes_;
  RolloutState state_ = RolloutState::kWaiting;
  std::string reason_;
  std::size_t stage_ = 0, changing_nodes_ = 0;
  Time first_majority_at_ = -1;  // when a majority was first claimed; -1: never
  bool history_analysed_ = false;
  Time view_in_doubt_since_ = -1;                 // -1: the cluster view is trusted, or not asked for
  bool change_begun_ = false;                     // this driver, or an earlier one, has told a node to change
  Time soaking_since_ = -1, waiting_since_ = -1;  // of the stage that is analysed; waiting: for a verdict
  Directive directive_, operator_directive_;      // in force; still to be sent
  std::uint64_t directive_number_ = 0;            // the highest seen at a supervisor
  CanaryAnalysis analysis_;
  CanaryResult canary_result_;
};

}  // namespace ryeglade::rollout
