// Decides what a rollout does next, from nothing but what the supervisors report: a driver may be killed
// between any two steps, and another one continues. No I/O, no clock.
//
// In each round a driver polls all supervisors, claims them for its epoch (unless a majority of the plan's
// nodes accepts, it does nothing), and then acts on the answers. Supervisors reject an epoch that is not the
// highest they know, and any command whose claim is older than their lease. A new driver waits for the length
// of a lease before its first action, so that nothing an earlier driver sent can still be accepted.
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
  kChanging,     // nodes of a stage are being changed
  kSoaking,      // all nodes of a stage have changed; the canary analysis goes on
  kRollingBack,  // all nodes return to their last good release
  kPaused,       // stopped with a reason until it is resumed
  kCompleted,    // all nodes have changed, and the last stage passed
  kRolledBack,   // all nodes that can be reached run their last good release again
  kSuperseded,   // another driver has taken over
  kCount
};
// Returns the name used in records and on the operator's terminal.
const char* Name(RolloutState state);

struct NodeCommand {
  std::string node;  // its name
  SupervisorCommand command;
};

// A supervisor's answer to the claim of a round.
struct SupervisorResponse {
  std::optional<SupervisorStatus> status;  // nullopt: no answer
  bool claimed = false;                    // the claim was accepted
};

// One driver of a rollout. It ends when the rollout has completed or was rolled back, or when another driver
// takes over.
class Driver {
 public:
  // `epoch` must be higher than any that the supervisors know, and `driver` a name that no other driver has.
  // `lease` is the time for which the supervisors accept commands after a claim.
  Driver(Plan plan, std::uint64_t epoch, std::string driver, Time lease);

  // Returns the claim that is to be sent to every supervisor in each round.
  SupervisorCommand MakeClaim() const;
  // Takes the answers to the round's claims, by node name, and returns the commands to send now, each once.
  // `cluster_view` is null unless the plan names status addresses.
  std::vector<NodeCommand> RunRound(Time now, const std::map<std::string, SupervisorResponse>& responses,
                                    const ClusterView* cluster_view = nullptr);
  // To be called when a claim or command was rejected, with the `reason` of the CommandReply.
  void OnRejected(const std::string& reason);

  RolloutState state() const { return state_; }
  bool ended() const {
    return state_ == RolloutState::kCompleted || state_ == RolloutState::kRolledBack ||
           state_ == RolloutState::kSuperseded;
  }
  std::size_t stage() const { return stage_; }           // counted from 0
  const std::string& reason() const { return reason_; }  // why it is in this state, as text for an operator
  const CanaryResult& canary_result() const { return canary_result_; }  // the latest
  std::size_t changing_nodes() const { return changing_nodes_; }
  std::vector<std::string> skipped_nodes() const;   // unreachable, or dead in the cluster view for too long
  std::vector<std::string> deferred_nodes() const;  // not changed now: suspect or dead in the cluster view
  const Plan& plan() const { return plan_; }
  // Returns a text of everything that decides what the driver does next, with times given as their age at
  // `now`, so that it is equal for drivers that will act alike. Used by the lab's explorer.
  std::string StateFingerprint(Time now) const;
  // Sets an operator's directive. It is sent with the commands of the next round.
  void SetDirective(std::string directive, std::string reason);

 private:
  struct Directive {
    std::string name;  // one of kDirective...; empty: none
    std::string reason;
  };
  struct Node {
    std::size_t plan_index = 0;              // index in the plan's nodes
    std::size_t stage = 0;                   // index of the stage that changes it
    std::optional<SupervisorStatus> status;  // the last one that the supervisor reported; nullopt: none yet
    // Samples that the supervisor took before this driver started, with times by this driver's clock; empty
    // once analysed.
    std::vector<std::pair<Time, MetricsSample>> history;
    Time first_polled_at = -1;  // -1: never
    Time answered_at = -1;      // when it last answered; -1: never
    bool skipped = false;       // unreachable, or dead in the cluster view for too long
    // Since when it runs the new release without reporting metrics. -1: it reports them, or does not run it.
    Time no_metrics_since = -1;
    // Crashes reported while it ran another release; the new release is not blamed for that many.
    int old_release_crashes = 0;
    Time absent_since = -1;     // when it became suspect or dead in the cluster view; -1: it is neither
    bool dead = false;          // dead in the cluster view
    bool command_sent = false;  // told to change or to roll back, and has not answered since
  };
  struct RoundCounts {
    std::size_t claimed = 0, skipped = 0;  // nodes
  };
  using Commands = std::vector<NodeCommand>;

  // These judge a node by its last reported status.
  bool IsUpdated(const Node& node) const;   // runs the new release, and no change is under way
  bool IsOutdated(const Node& node) const;  // runs another release, and no change is under way
  bool IsChanging(const Node& node) const;  // a change is, or may be, under way
  bool RunsNewRelease(const SupervisorStatus& status) const;
  std::optional<std::string> HardFailure(Time now, const Node& node) const;

  void UpdateFromClusterView(Time now, const ClusterView& view);
  // Returns nullopt if another driver has superseded this one.
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
  // Each of these three returns whether the rollout may go on. If not, it has set the state.
  bool StagePasses(Time now, std::size_t stage, Commands& commands);
  bool PassesInterimAnalysis(Time now, Commands& commands);
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
  std::string driver_;  // name of this driver
  Time lease_;          // microseconds
  std::map<std::string, Node> nodes_;
  RolloutState state_ = RolloutState::kWaiting;
  std::string reason_;
  std::size_t stage_ = 0, changing_nodes_ = 0;
  Time first_majority_at_ = -1;  // when a majority first accepted a claim; -1: never
  bool history_analysed_ = false;
  Time view_in_doubt_since_ = -1;       // -1: the cluster view is trusted, or the plan does not ask for it
  bool change_begun_ = false;           // this driver, or an earlier one, has told a node to change
  Time soaking_since_ = -1;             // when the stage under analysis began to soak; -1: none does
  Time waiting_since_ = -1;             // when the wait for its verdict began; -1: no stage is analysed
  Directive directive_;                 // the one in force
  Directive operator_directive_;        // to be sent in the next round; its name is empty if there is none
  std::uint64_t directive_number_ = 0;  // the highest that a supervisor reported; 0: none
  CanaryAnalysis analysis_;
  CanaryResult canary_result_;  // the latest
};

}  // namespace ryeglade::rollout
