// Decides which nodes are members of the cluster, from messages and times alone: no I/O, no clock, and random
// numbers are passed in. The node hosts one model on its loop; the lab hosts thousands in virtual time.
//
// The protocol is SWIM (Das, Gupta, Motivala, DSN 2002). In each interval one member is *probed*
// (probing_model.h), first directly and then through helpers. A member that can't be reached is *suspect*
// (suspicion_model.h). Updates spread with the messages (dissemination_queue_model.h). A suspect has some
// time in which it can refute the suspicion by a higher *incarnation*, and a node with poor local health
// suspects itself before others (local_health_model.h; Lifeguard: Dadgar, Phillips, Currey, 2018). As in
// memberlist, nodes also exchange all their records periodically (push_pull_model.h). In addition to these
// protocols, a member is declared dead only if several members had no round trip with it, none had one
// lately, and the deciding node reaches a majority (majority_census_model.h; docs/notes/membership.md). This
// class combines the parts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/dissemination_queue_model.h"
#include "membership/local_health_model.h"
#include "membership/majority_census_model.h"
#include "membership/member_record_model.h"
#include "membership/member_table_model.h"
#include "membership/membership_options.h"
#include "membership/probing_model.h"
#include "membership/push_pull_model.h"
#include "membership/suspicion_model.h"
#include "membership/view_status_model.h"

namespace ryeglade::membership {

// A member as this node sees it. Times in microseconds.
struct MemberView {
  MemberRecord record;
  MemberState state = MemberState::kJoining;
  Time state_since = 0;
  Time reached_at = 0;                           // this node's last round trip with it; 0 if there was none
  std::vector<std::string> reporters;            // nodes whose reports that it is unreachable count now;
                                                 // if it is gone, those in its record
  std::vector<std::string> reachable_reporters;  // nodes whose reports that it is reachable count now
  std::vector<HistoryEntry> history;             // the newest events, at most kMaxHistory
};

// An event for the log and for the observer.
struct MembershipEvent {
  const char* reason = "";  // the event's name (docs/operators/membership.md)
  std::string member;       // the member that it is about; may be this node
  std::string reporter;     // the node or address that it was learned from; may be empty
  std::uint64_t value = 0;  // an incarnation, or a number of members
  Time span = 0;            // length of this node's pause, microseconds; 0 for all other events
};

struct OutgoingMessage {
  std::string to;  // ip:port
  Message message;
};

// What the host has to do. Each list is to be carried out in its order.
struct Actions {
  std::vector<OutgoingMessage> sends;   // messages to send as datagrams
  std::vector<std::string> push_pulls;  // ip:port of nodes with which to exchange all records
  std::vector<MembershipEvent> events;
  void Clear() {
    sends.clear();
    push_pulls.clear();
    events.clear();
  }
};

// The membership of one node. Not thread-safe. Calls append to `out` what the host has to do.
class MembershipModel {
 public:
  // `self` has the first incarnation and the uid of this process. `now` is a time of the host's steady clock,
  // in microseconds.
  MembershipModel(MembershipOptions options, MemberRecord self, Time now, RandomBits random);

  // Returns a copy that draws its random numbers from `random`. The lab's state-space explorer uses it.
  MembershipModel Clone(RandomBits random) const;
  MembershipModel(MembershipModel&&) = default;
  MembershipModel& operator=(MembershipModel&&) = default;
  ~MembershipModel() = default;

  // The interval at which the host must call Tick.
  Time tick_interval() const { return std::max<Time>(1000, options_.probe_interval / 10); }
  void Tick(Time now, Actions& out);
  // Handles a datagram from `address`. Must be called only if RejectReason is empty.
  void OnMessage(Time now, const std::string& address, const Message& message, Actions& out);
  // In a push-pull exchange: PushPullMessage returns the message that this node sends, and OnPushPull handles
  // the message that it received. `initiated` says whether this node began the exchange.
  Message PushPullMessage() const;
  void OnPushPull(Time now, const Message& message, bool initiated, Actions& out);
  // Sends a random live member a message that has only updates, so that the host can attach pending gossip.
  void SendToRandomMember(Time now, Actions& out);

  // Returns an empty string if this node can handle the message, else the reason for rejecting it.
  const char* RejectReason(const Message& message) const;

  // To leave the cluster, the host first calls Leave, after which the node is still serving, and at the end
  // AnnounceLeft, which sends the last messages.
  void Leave(Time now, Actions& out);
  void AnnounceLeft(Time now, Actions& out);

  const MemberRecord& self() const { return self_; }
  const MembershipOptions& options() const { return options_; }
  bool joined() const { return push_pull_.joined(); }
  bool name_refused() const { return name_refused_; }  // another node has this node's name
  bool partition_suspected() const { return view_.partition_suspected(); }
  bool stable() const { return view_.stable(); }
  Time stable_since() const { return view_.stable_since(); }
  std::uint64_t view_version() const { return view_.version(); }
  // The number of members that are alive, suspect or leaving, including this node.
  std::size_t live() const { return table_.live().size() + 1; }
  std::size_t stable_view_size() const { return table_.stable_view().size(); }
  int health() const { return health_.score(); }  // from 0 (healthy) to LocalHealth::kMaxScore
  std::vector<MemberView> View(Time now) const;   // all other members that are known, sorted by name
  std::optional<MemberView> Find(Time now, const std::string& name) const;
  MemberState StateOf(const std::string& name) const;  // kLeft if the name is not known
  // The number of other members in the table, in whatever state.
  std::size_t known() const { return table_.size(); }
  std::size_t queued_updates() const { return updates_.size(); }
  std::uint64_t dropped() const { return dropped_; }  // records and updates dropped for lack of space

 private:
  MembershipModel(const MembershipModel&) = default;

  // ---- membership_model.cpp: timers and outgoing messages ----
  SuspicionRules Rules() const { return {options_, table_, self_.name}; }
  MemberState StateOf(const Member& member) const;
  MemberView ViewOf(Time now, const Member& member) const;
  Time RandomTimeWithinInterval(Time now);

  void DetectPause(Time now, Actions& out);
  void OnPause(Time now, Time span, Actions& out);
  void TryNameAgain(Time now);
  void SendDueNacks(Time now, Actions& out);
  void SendDueProbes(Time now, Actions& out);
  void HandleFailedProbe(Time now, const Probe& probe, Actions& out);
  void HandleFailedVerification(Time now, const Probe& probe, Member& member);
  void ProbeUnverified(Time now, Actions& out);
  void ProbeNextMember(Time now, Actions& out);
  void SendGossip(Time now, Actions& out);
  void StartPushPulls(Time now, Actions& out);
  void UpdateViewStatus(Time now, Actions& out);

  void StartProbe(Time now, Member& member, Actions& out);
  void SendPing(Time now, Probe& probe, Actions& out);
  void AskHelpers(Time now, Probe& probe, Actions& out);

  Message MakeMessage(MessageKind kind, std::uint64_t seq) const;
  // Sends a message and fills it up with updates. `about` is the name of the member that the message goes to
  // or asks for, or empty; what is known of that member comes first. `schema` is the reader's schema version.
  void Send(Time now, const std::string& to, Message message, const std::string& about, std::uint32_t schema,
            Actions& out);
  void SendUpdatesTo(Time now, const Member& member, Actions& out);
  void EnqueueUpdate(Time now, Update update);
  void EnqueueRecord(Time now, const MemberRecord& record);
  void EnqueueReport(Time now, const Member& member, const ReachabilityReport& report);

  static void Emit(Actions& out, const char* reason, const std::string& member, const std::string& reporter,
                   std::uint64_t value = 0, Time span = 0);
  static void EmitMemberEvent(Member& member, Time now, const char* reason, const std::string& reporter,
                              Actions& out);

  // ---- membership_suspects_model.cpp: reachability of others, suspects and deaths ----
  void CheckSuspects(Time now, Actions& out);
  bool CheckSuspect(Time now, Member& member, std::vector<std::string> reporters, Time suspicion_time,
                    bool many_at_once, Actions& out);
  void ProbeSuspectAgain(Time now, Member& member, Time suspicion_time, Actions& out);
  bool HasMajority(Time now, Time since, Actions& out);
  void RecordOwnReport(Time now, Member& member, bool reachable);
  std::uint64_t NextReportSeq(Time now);
  // Returns false if this node has not reached any other member lately either: then the fault is probably its
  // own.
  bool MaySuspect(Time now, const Member& member) const;
  void ReportUnreachable(Time now, Member& member, Actions& out);
  void OnReached(Time now, Member& member, Actions& out);
  void MarkVerified(Time now, Member& member, Actions& out);
  void MarkGone(Time now, Member& member, const MemberRecord& record, const std::string& reporter,
                Actions& out);

  // ---- membership_updates_model.cpp: incoming messages and updates ----
  void OnPing(Time now, const std::string& address, const Message& message, Actions& out);
  void OnPingRequest(Time now, const std::string& address, const Message& message, Actions& out);
  void OnAck(Time now, const Message& message, Actions& out);
  void OnNack(Time now, const Message& message);
  void RefuseName(const std::string& address, const Message& message, const MemberRecord& owner,
                  Actions& out);

  void ApplyUpdates(Time now, const Message& message, Actions& out);
  void ApplyRecord(Time now, const MemberRecord& record, const std::string& reporter, Actions& out);
  void ApplyOwnRecord(Time now, const MemberRecord& record, const std::string& reporter, Actions& out);
  void AddMember(Time now, const MemberRecord& record, const std::string& reporter);
  void ApplyRecordFromOtherAddress(Time now, Member& member, const MemberRecord& record, Actions& out);
  void ApplyGoneRecord(Time now, Member& member, const MemberRecord& record, const std::string& reporter,
                       Actions& out);
  void ApplyReturn(Time now, Member& member, const MemberRecord& record);
  void ApplyLiveRecord(Time now, Member& member, const MemberRecord& record, const std::string& reporter,
                       Actions& out);
  void ApplyReport(Time now, const Update& update, Actions& out);
  void ApplyOwnReport(Time now, const Update& update, Actions& out);
  // Raises this node's incarnation above `incarnation`.
  void Refute(Time now, std::uint64_t incarnation, Actions& out);
  void ReportNameConflict(Time now, const std::string& name, const std::string& reporter,
                          std::uint64_t incarnation, Actions& out);

  MembershipOptions options_;
  MemberRecord self_;
  RandomBits random_;
  MemberTable table_;
  std::set<std::string> unverified_;  // names of members that are probed until a round trip verifies them
  Suspects suspects_;
  Probing probing_;
  DisseminationQueue updates_;
  MajorityCensus census_;
  PushPullSchedule push_pull_;
  ViewStatus view_;
  LocalHealth health_;
  std::uint64_t last_report_seq_ = 0;
  std::uint64_t dropped_ = 0;
  Time last_tick_at_;
  Time last_reached_at_;  // the last round trip with any member
  Time next_probe_at_ = 0;
  Time next_gossip_at_ = 0;
  Time next_view_update_at_;
  Time next_forget_at_ = 0;
  bool name_refused_ = false;
  Time name_refused_at_ = 0;
  Time name_conflict_reported_at_ = 0;
};

}  // namespace ryeglade::membership
