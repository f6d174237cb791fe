// The part of the model that handles incoming messages: pings and ping requests, their answers, and updates
// about members.
#include <algorithm>
#include <utility>

#include "membership/membership_model.h"

namespace ryeglade::membership {
namespace {

constexpr std::size_t kMaxUnverified = 256;  // members; records of further new ones are dropped
// In probe intervals.
// For this long after a member's first record an older process can take over its name.
constexpr double kNewMemberFor = 10;
constexpr double kNameConflictInterval = 10;  // between reports of name conflicts
constexpr double kNackAfter = 0.35;   // time that a helper waits for the target before it sends a nack
constexpr double kRelayDuration = 3;  // time until a helper discards a ping request
// A member that was reached within this time is not removed because of a record from another node.
constexpr double kRecentlyReached = 2;

}  // namespace

const char* MembershipModel::RejectReason(const Message& message) const {
  if (message.cluster != options_.cluster) return "other-cluster";
  if (message.min_reader_schema > options_.schema) return "too-new";
  return "";
}

// ---- Messages ----

void MembershipModel::RefuseName(const std::string& address, const Message& message,
                                 const MemberRecord& owner, Actions& out) {
  Message refusal = MakeMessage(MessageKind::kNameRefused, message.seq);
  refusal.updates.push_back({Update::Kind::kRecord, owner, {}, 0});
  out.sends.push_back({address, std::move(refusal)});
}

void MembershipModel::OnMessage(Time now, const std::string& address, const Message& message, Actions& out) {
  const MemberRecord& sender = message.sender;
  if (address != sender.address) return;
  DetectPause(now, out);
  if (sender.name == self_.name) {
    if (sender.address == self_.address || sender.uid == self_.uid)
      return;  // a message of this process or of an earlier one of this node
    ApplyOwnRecord(now, sender, address, out);
    if (!name_refused_) RefuseName(address, message, self_, out);
    return;
  }
  ApplyRecord(now, sender, sender.name, out);
  Member* member = table_.Find(sender.name);
  if (member != nullptr && member->verified && member->record.address != address)
    return RefuseName(address, message, member->record, out);
  if (member != nullptr) {
    member->schema = message.schema;
    // The message comes from the member itself, so it is probed again even if its probes had ended in
    // failure.
    if (!member->verified && !member->gone() && unverified_.size() < kMaxUnverified)
      unverified_.insert(sender.name);
  }
  ApplyUpdates(now, message, out);
  switch (message.kind) {
    case MessageKind::kPing:
      OnPing(now, address, message, out);
      break;
    case MessageKind::kPingRequest:
      OnPingRequest(now, address, message, out);
      break;
    case MessageKind::kAck:
      OnAck(now, message, out);
      break;
    case MessageKind::kNack:
      OnNack(now, message);
      break;
    case MessageKind::kNameRefused:
    case MessageKind::kUpdates:
    case MessageKind::kPushPull:
    case MessageKind::kCount:
      break;
  }
}

void MembershipModel::OnPing(Time now, const std::string& address, const Message& message, Actions& out) {
  // A ping for another name, perhaps of an earlier node at this address, is not answered: the answer would
  // verify that other member.
  if (!message.target.empty() && message.target != self_.name) return;
  Send(now, address, MakeMessage(MessageKind::kAck, message.seq), message.sender.name, message.schema, out);
}

void MembershipModel::OnPingRequest(Time now, const std::string& address, const Message& message,
                                    Actions& out) {
  const Member* target = table_.Find(message.target);
  if (target == nullptr || target->address() != message.target_address || !probing_.CanRelay()) return;
  RelayedProbe relay;
  relay.seq = random_();
  relay.requester_seq = message.seq;
  relay.target = message.target;
  relay.requester_address = address;
  relay.nack_at = now + health_.Scaled(options_.Intervals(kNackAfter));
  relay.ends_at = now + options_.Intervals(kRelayDuration);
  Message ping = MakeMessage(MessageKind::kPing, relay.seq);
  ping.target = message.target;
  Send(now, message.target_address, std::move(ping), message.target, target->schema, out);
  probing_.AddRelay(std::move(relay));
}

void MembershipModel::OnAck(Time now, const Message& message, Actions& out) {
  Member* sender = table_.Find(message.sender.name);
  if (const auto relay = probing_.TakeRelay(message.seq, message.sender.name)) {
    if (sender != nullptr) OnReached(now, *sender, out);
    Send(now, relay->requester_address, MakeMessage(MessageKind::kAck, relay->requester_seq), "",
         kMinReaderSchema, out);
    return;
  }
  const bool sender_live = sender != nullptr && sender->live();
  const auto name = probing_.OnAck(message.seq, message.sender.name, sender_live);
  if (!name) return;
  Member* target = table_.Find(*name);
  if (target == nullptr) return;
  OnReached(now, *target, out);
  health_.Improve();
}

void MembershipModel::OnNack(Time now, const Message& message) {
  if (probing_.OnNack(message.seq)) last_reached_at_ = now;  // a round trip with the helper
}

void MembershipModel::OnPushPull(Time now, const Message& message, bool initiated, Actions& out) {
  const MemberRecord& sender = message.sender;
  if (sender.name == self_.name) {
    if (sender.address != self_.address) ApplyOwnRecord(now, sender, sender.address, out);
    return;
  }
  ApplyRecord(now, sender, sender.name, out);
  ApplyUpdates(now, message, out);
  if (!initiated || joined() || name_refused_) return;
  push_pull_.MarkJoined();
  EnqueueRecord(now, self_);
  Emit(out, "tier-joined", self_.name, sender.name, self_.incarnation);
}

// ---- Updates ----

void MembershipModel::ApplyUpdates(Time now, const Message& message, Actions& out) {
  for (const Update& update : message.updates) {
    if (update.kind == Update::Kind::kReport) {
      ApplyReport(now, update, out);
    } else {
      ApplyRecord(now, update.record, message.sender.name, out);
    }
  }
}

void MembershipModel::Refute(Time now, std::uint64_t incarnation, Actions& out) {
  if (!options_.refutation) return;
  self_.incarnation = std::max(self_.incarnation, incarnation) + 1;
  EnqueueRecord(now, self_);
  Emit(out, "self-refuted", self_.name, "", self_.incarnation);
}

void MembershipModel::ReportNameConflict(Time now, const std::string& name, const std::string& reporter,
                                         std::uint64_t incarnation, Actions& out) {
  if (name_conflict_reported_at_ != 0 &&
      now - name_conflict_reported_at_ < options_.Intervals(kNameConflictInterval))
    return;
  name_conflict_reported_at_ = now;
  Emit(out, "name-conflict", name, reporter, incarnation);
}

void MembershipModel::ApplyOwnRecord(Time now, const MemberRecord& record, const std::string& reporter,
                                     Actions& out) {
  const bool this_process = record.uid == self_.uid;
  if (this_process || record.address == self_.address) {
    // A record of this process or of an earlier one of this node. If it overrides this node's own record, it
    // is refuted.
    const bool claims_gone = IsGone(record) && self_.state == RecordState::kAlive;
    if (record.incarnation > self_.incarnation ||
        (record.incarnation == self_.incarnation && (claims_gone || !this_process)))
      Refute(now, record.incarnation, out);
    return;
  }
  // Another node has this name too. A node whose view has been stable keeps the name; of two nodes that are
  // starting, the older process keeps it.
  if (IsGone(record)) return;
  ReportNameConflict(now, self_.name, record.address.empty() ? reporter : record.address, record.incarnation,
                     out);
  if (view_.ever_stable() || record.uid >= self_.uid || name_refused_) return;
  name_refused_ = true;
  name_refused_at_ = now;
  Emit(out, "name-taken", self_.name, record.address);
}

void MembershipModel::ApplyRecord(Time now, const MemberRecord& record, const std::string& reporter,
                                  Actions& out) {
  if (record.name == self_.name) return ApplyOwnRecord(now, record, reporter, out);
  Member* member = table_.Find(record.name);
  if (member == nullptr) return AddMember(now, record, reporter);
  if (record.address != member->record.address && !member->gone())
    return ApplyRecordFromOtherAddress(now, *member, record, out);
  const bool known = options_.incarnation_order
                         ? !Supersedes(record, member->record)
                         : record.uid == member->record.uid && record.state == member->record.state &&
                               record.incarnation == member->record.incarnation;
  if (known) return;
  if (IsGone(record)) return ApplyGoneRecord(now, *member, record, reporter, out);
  if (member->gone()) return ApplyReturn(now, *member, record);
  ApplyLiveRecord(now, *member, record, reporter, out);
}

void MembershipModel::AddMember(Time now, const MemberRecord& record, const std::string& reporter) {
  const bool gone = IsGone(record);
  if (table_.size() >= options_.max_members) table_.Forget(now, options_.forget_after, options_.max_members);
  if (table_.size() >= options_.max_members || (!gone && unverified_.size() >= kMaxUnverified)) {
    ++dropped_;
    return;
  }
  Member& member = table_.Add(record.name);
  member.record = record;
  member.first_seen_at = now;
  member.state_since = now;
  if (gone) {
    member.gone_at = now;
    return;
  }
  unverified_.insert(record.name);
  if (reporter == record.name) {
    member.next_probe_at = now;
    return;
  }
  // All members receive the first record of a new one at about the same time, so each probes it after a
  // random part of a span that grows with the cluster.
  const auto span = static_cast<std::uint64_t>(std::max<Time>(
      options_.probe_interval, options_.probe_interval * static_cast<Time>(table_.live().size()) / 50));
  member.next_probe_at = now + static_cast<Time>(random_() % span);
}

// Handles a record whose address differs from the known one: two nodes claim the name, or the node has moved.
void MembershipModel::ApplyRecordFromOtherAddress(Time now, Member& member, const MemberRecord& record,
                                                  Actions& out) {
  const bool gone = IsGone(record);
  const bool older_claim =
      now - member.first_seen_at < options_.Intervals(kNewMemberFor) && record.uid < member.record.uid;
  if (member.verified && !(older_claim && !gone)) {
    if (!gone) ReportNameConflict(now, record.name, record.address, record.incarnation, out);
    return;
  }
  if (gone) return;
  const bool was_live = member.live();
  member.record = record;
  member.verified = false;
  member.reports.clear();
  suspects_.Remove(record.name);
  unverified_.insert(record.name);
  member.next_probe_at = now;
  member.failed_probes = 0;
  table_.UpdateLive(member);
  if (was_live) view_.OnChange(now);
}

void MembershipModel::ApplyGoneRecord(Time now, Member& member, const MemberRecord& record,
                                      const std::string& reporter, Actions& out) {
  if (member.live() && reporter != record.name) {
    // A single node can't declare a member dead.
    if (record.state == RecordState::kDead && record.reporters.size() < Rules().RequiredReporters(member))
      return;
    const bool reached_lately =
        member.reached_at > 0 && now - member.reached_at <= options_.Intervals(kRecentlyReached);
    if (reached_lately && options_.reachable_reports) {
      // The member is alive as far as this node can tell. Nodes that accept the record send it to the member,
      // which then refutes it; the others learn of this node's report that the member is reachable.
      RecordOwnReport(now, member, true);
      StartProbe(now, member, out);
      return;
    }
  }
  MarkGone(now, member, record, reporter, out);
}

// Handles a record which says that a member that is gone is back. The member counts again once it is
// verified.
void MembershipModel::ApplyReturn(Time now, Member& member, const MemberRecord& record) {
  if (member.returning && !Supersedes(record, *member.returning)) return;
  if (!member.returning) {
    member.failed_probes = 0;
    member.next_probe_at = now;
  }
  member.returning = record;
  unverified_.insert(record.name);
}

void MembershipModel::ApplyLiveRecord(Time now, Member& member, const MemberRecord& record,
                                      const std::string& reporter, Actions& out) {
  const bool restarted = record.uid != member.record.uid;
  const bool was_suspect = suspects_.Remove(record.name);
  const bool starts_leaving =
      record.state == RecordState::kLeaving && member.record.state != RecordState::kLeaving;
  member.record = record;
  member.reports.clear();
  member.suspect_since = 0;
  if (!member.verified) return;
  if (was_suspect || starts_leaving || restarted) member.state_since = now;
  if (restarted) {
    EmitMemberEvent(member, now, "member-restarted", reporter, out);
  } else if (was_suspect) {
    EmitMemberEvent(member, now, "member-refuted", reporter, out);
  }
  if (starts_leaving) EmitMemberEvent(member, now, "member-leaving", reporter, out);
  EnqueueRecord(now, member.record);
}

void MembershipModel::ApplyOwnReport(Time now, const Update& update, Actions& out) {
  if (update.report.reachable || update.record.incarnation != self_.incarnation) return;
  health_.Worsen(1);  // others can't reach this node, so its own health may be poor
  if (self_.state == RecordState::kAlive) Refute(now, update.record.incarnation, out);
}

void MembershipModel::ApplyReport(Time now, const Update& update, Actions& out) {
  const std::string& name = update.record.name;
  if (name == self_.name) return ApplyOwnReport(now, update, out);
  if (update.report.reporter == self_.name) return;
  Member* member = table_.Find(name);
  if (member == nullptr || (update.report.reachable && !options_.reachable_reports)) return;
  // Most reports are known already. They are rejected first, without a look-up of the reporter.
  ReachabilityReport* earlier = member->FindReport(update.report.reporter);
  const bool current = member->live() && update.record.incarnation == member->record.incarnation;
  if (current && earlier != nullptr && earlier->seq >= update.report.seq) return;
  const Member* reporter = table_.Find(update.report.reporter);
  if (reporter == nullptr || !reporter->live()) return;
  // Others can't reach the member, and this node has not reached it since it appeared. While they report on
  // it they may need this node's report to declare it dead, so it is probed for longer.
  if (!member->live() && !member->verified && !member->gone() && !update.report.reachable)
    member->reported_unverified_at = now;
  if (!current) return;
  ReachabilityReport report = update.report;
  report.made_at = now - std::clamp<Time>(update.age, 0, kMaxReportAge);
  if (earlier != nullptr) {
    *earlier = report;
  } else {
    if (member->reports.size() >= SuspicionRules::kMaxReports) return;
    member->reports.push_back(report);
  }
  EnqueueReport(now, *member, report);
  if (report.reachable || suspects_.Contains(name)) return;
  if (now - report.made_at > Rules().UnreachableReportLifetime()) return;
  suspects_.Add(*member, now);
  EmitMemberEvent(*member, now, "member-suspect", report.reporter, out);
  if (Rules().IsObserver(*member)) StartProbe(now, *member, out);
}

}  // namespace ryeglade::membership
