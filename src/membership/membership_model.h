// Which nodes are members of the cluster, decided from messages and times alone: no I/O, no clock, and random
// numbers are passed in. The node hosts it on its loop, the lab hosts thousands in virtual time.
//
// SWIM (Das, Gupta, Motivala, DSN 2002): each interval one member is *probed* (probing_model.h), directly and
// then through helpers; one that can't be reached is *suspect* (suspicion_model.h), and updates spread with
// the messages (dissemination_queue_model.h). A suspicion waits and can be refuted by a higher *incarnation*;
// a node in trouble suspects itself first (local_health_model.h; Lifeguard: Dadgar, Phillips, Currey, 2018).
// As in memberlist, nodes also exchange all records now and then (push_pull_model.h). Beyond these, a death
// takes several members that could not reach the suspect there and back, none that could, and a majority on
// the decider's side (majority_census_model.h; docs/notes/membership.md). This class brings the parts
// together.
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

// A member as the node's view has it.
struct MemberView {
  MemberRecord record;
  MemberState state = MemberState::kJoining;
  Time state_since = 0;
  Time reached_at = 0;                           // last by this node, there and back; 0: never
  std::vector<std::string> reporters;            // that report it as unreachable and count now
  std::vector<std::string> reachable_reporters;  // that report it as reachable and count now
  std::vector<HistoryEntry> history;             // the newest, at most kMaxHistory
};

// One thing that happened, for logs and for people.
struct MembershipEvent {
  const char* reason = "";  // a reason word (docs/operators/membership.md)
  std::string member;
  std::string reporter;
  std::uint64_t value = 0;  // an incarnation, or a number of members
  Time span = 0;            // of a pause
};

struct OutgoingMessage {
  std::string to;  // ip:port
  Message message;
};

// What the host is to do, in order.
struct Actions {
  std::vector<OutgoingMessage> sends;   // as datagrams
  std::vector<std::string> push_pulls;  // addresses with which to exchange all records, over a connection
  std::vector<MembershipEvent> events;
  void Clear() {
    sends.clear();
    push_pulls.clear();
    events.clear();
  }
};

// One node. Not thread-safe; each call appends what the host is to do.
class MembershipModel {
 public:
  // `self` with its first incarnation and its uid; `now` on the host's own steady clock.
  MembershipModel(MembershipOptions options, MemberRecord self, Time now, RandomBits random);

  // A copy that draws from elsewhere: for explorers.
  MembershipModel Clone(RandomBits random) const;
  MembershipModel(MembershipModel&&) = default;
  MembershipModel& operator=(MembershipModel&&) = default;
  ~MembershipModel() = default;

  // The host calls Tick so often.
  Time tick_interval() const { return std::max<Time>(1000, options_.probe_interval / 10); }
  void Tick(Time now, Actions& out);
  // A datagram from `address`; only where RejectReason is empty.
  void OnMessage(Time now, const std::string& address, const Message& message, Actions& out);
  // A push-pull exchange: what this node sends, and what the other side sent. `initiated`: by this node.
  Message PushPullMessage() const;
  void OnPushPull(Time now, const Message& message, bool initiated, Actions& out);
  // A message with nothing but updates to a random member: it carries what has to be sent along.
  void SendToRandomMember(Time now, Actions& out);

  // Empty: the message is for this node; else a reason word.
  const char* RejectReason(const Message& message) const;

  // In order: first Leave (still serving), then AnnounceLeft with the last messages.
  void Leave(Time now, Actions& out);
  void AnnounceLeft(Time now, Actions& out);

  const MemberRecord& self() const { return self_; }
  const MembershipOptions& options() const { return options_; }
  bool joined() const { return push_pull_.joined(); }
  bool name_refused() const { return name_refused_; }  // another node has this name
  bool partition_suspected() const { return view_.partition_suspected(); }
  bool stable() const { return view_.stable(); }
  Time stable_since() const { return view_.stable_since(); }
  std::uint64_t view_version() const { return view_.version(); }
  // Members that are alive, suspect or leaving, this node among them.
  std::size_t live() const { return table_.live().size() + 1; }
  std::size_t stable_view_size() const { return table_.stable_view().size(); }
  int health() const { return health_.score(); }  // 0: healthy, to 8: in trouble
  std::vector<MemberView> View(Time now) const;   // without this node, by name
  std::optional<MemberView> Find(Time now, const std::string& name) const;
  MemberState StateOf(const std::string& name) const;  // kLeft: unknown
  std::size_t known() const { return table_.size(); }
  std::size_t queued_updates() const { return updates_.size(); }
  std::uint64_t dropped() const { return dropped_; }  // records and updates for which there was no space

 private:
  MembershipModel(const MembershipModel&) = default;

  // ---- membership_model.cpp: what time brings ----
  SuspicionRules Rules() const { return {options_, table_, self_.name}; }
  MemberState StateOf(const Member& member) const;
  MemberView ViewOf(Time now, const Member& member) const;
  Time TimeIntoInterval(Time now);

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
  // Sends a message, filled up with updates. `about`: the member that it goes to or asks for, empty where
  // none; `schema`: of the reader.
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

  // ---- membership_suspects_model.cpp: what this node finds of others ----
  void CheckSuspects(Time now, Actions& out);
  bool CheckSuspect(Time now, Member& member, std::vector<std::string> reporters, Time suspicion_time,
                    bool many_at_once, Actions& out);
  void ProbeSuspectAgain(Time now, Member& member, Time suspicion_time, Actions& out);
  bool HasMajority(Time now, Time since, Actions& out);
  void RecordOwnReport(Time now, Member& member, bool reachable);
  std::uint64_t NextReportSeq(Time now);
  // False: this node reaches nobody else either, so the fault is likely here.
  bool MaySuspect(Time now, const Member& member) const;
  void ReportUnreachable(Time now, Member& member, Actions& out);
  void OnReached(Time now, Member& member, Actions& out);
  void MarkVerified(Time now, Member& member, Actions& out);
  void MarkGone(Time now, Member& member, const MemberRecord& record, const std::string& reporter,
                Actions& out);

  // ---- membership_updates_model.cpp: what messages bring ----
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
  std::set<std::string> unverified_;  // members that are to be reached before they count
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
  Time last_reached_at_;  // anybody, there and back
  Time next_probe_at_ = 0;
  Time next_gossip_at_ = 0;
  Time next_view_update_at_;
  Time next_forget_at_ = 0;
  bool name_refused_ = false;
  Time name_refused_at_ = 0;
  Time name_conflict_reported_at_ = 0;
};

}  // namespace ryeglade::membership
