#include "membership/membership_model.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace ryeglade::membership {
namespace {

// In probe intervals.
constexpr double kProbeTimeout = 0.4;     // from the start of a probe until helpers are asked
constexpr double kProbeDuration = 0.95;   // from the start of a probe until it has failed
constexpr double kIsolatedAfter = 4;      // time without any round trip until a partition is suspected
constexpr double kGossipInterval = 0.2;   // between messages that only spread updates
constexpr double kRetryUnverified = 2;    // between probes of an unverified member
constexpr double kRetryReported = 4;      // between its further probes while others report it as unreachable
constexpr double kForgetInterval = 5;     // between searches for gone members to forget
constexpr double kRetryRefusedName = 30;  // until this node tries a name again that was refused

constexpr int kMaxVerificationProbes = 4;       // failed probes until an unverified member is dropped
constexpr std::size_t kFewUnverified = 16;      // a larger number of unverified names is taken for a flood
constexpr int kMaxNewProbesPerTick = 8;         // of unverified members
constexpr int kGossipTargets = 3;               // members that receive updates in each gossip interval
constexpr std::size_t kLastMessageTargets = 8;  // members that are told that this node has left
constexpr int kSendsFactor = 3;      // times (1 + log2 of the members): how often an update is sent
constexpr Time kMinPause = 300'000;  // microseconds; a tick that is late by less shows no pause

}  // namespace

MembershipModel::MembershipModel(MembershipOptions options, MemberRecord self, Time now, RandomBits random)
    : options_(std::move(options)),
      self_(std::move(self)),
      random_(std::move(random)),
      push_pull_(false, now),
      view_(now),
      health_(options_.local_health),
      last_tick_at_(now),
      last_reached_at_(now),
      next_view_update_at_(now) {
  // Random first times keep nodes that start together from probing and gossiping in step.
  next_probe_at_ = RandomTimeWithinInterval(now);
  next_gossip_at_ = RandomTimeWithinInterval(now);
  std::erase(options_.seeds, self_.address);
  if (options_.seeds.empty()) push_pull_.MarkJoined();
}

MembershipModel MembershipModel::Clone(RandomBits random) const {
  MembershipModel copy(*this);
  copy.random_ = std::move(random);
  return copy;
}

Time MembershipModel::RandomTimeWithinInterval(Time now) {
  return now + static_cast<Time>(random_() % static_cast<std::uint64_t>(options_.probe_interval));
}

void MembershipModel::Emit(Actions& out, const char* reason, const std::string& member,
                           const std::string& reporter, std::uint64_t value, Time span) {
  out.events.push_back({reason, member, reporter, value, span});
}

void MembershipModel::EmitMemberEvent(Member& member, Time now, const char* reason,
                                      const std::string& reporter, Actions& out) {
  if (member.history.size() == kMaxHistory) member.history.erase(member.history.begin());
  member.history.push_back({now, reason, reporter});
  Emit(out, reason, member.record.name, reporter, member.record.incarnation);
}

// ---- Outgoing messages ----

Message MembershipModel::MakeMessage(MessageKind kind, std::uint64_t seq) const {
  Message message;
  message.schema = options_.schema;
  message.cluster = options_.cluster;
  message.sender = self_;
  message.kind = kind;
  message.seq = seq;
  return message;
}

void MembershipModel::Send(Time now, const std::string& to, Message message, const std::string& about,
                           std::uint32_t schema, Actions& out) {
  std::size_t capacity = options_.max_datagram_bytes - kMessageHeaderBytes - EncodedSize(self_) -
                         message.cluster.size() - message.target.size() - message.target_address.size();
  const auto add = [&](const Update& update) {
    const std::size_t bytes = EncodedSize(update);
    if (bytes > capacity) return false;
    capacity -= bytes;
    message.updates.push_back(update);
    return true;
  };
  // What is known of the member `about` comes first, so that the member itself, if it is the receiver, can
  // refute a suspicion or a record of its death.
  if (const Member* member = table_.Find(about); member != nullptr) {
    if (member->gone()) {
      add({Update::Kind::kRecord, member->record, {}, 0});
    } else if (suspects_.Contains(about)) {
      const auto report =
          std::find_if(member->reports.begin(), member->reports.end(),
                       [](const ReachabilityReport& candidate) { return !candidate.reachable; });
      if (report != member->reports.end()) {
        Update update{Update::Kind::kReport, {}, *report, now - report->made_at};
        update.record.name = member->record.name;
        update.record.incarnation = member->record.incarnation;
        add(update);
      }
    }
  }
  // The rest of the space is for the updates that were sent least often.
  const bool reads_reachable_reports = schema >= 2 && options_.schema >= 2 && options_.reachable_reports;
  const double cluster_size = static_cast<double>(table_.live().size() + 2);
  const int max_sends = kSendsFactor * (1 + static_cast<int>(std::ceil(std::log2(cluster_size))));
  updates_.Send(now, max_sends, [&](const Update& update) {
    const bool readable =
        update.kind != Update::Kind::kReport || !update.report.reachable || reads_reachable_reports;
    return readable && add(update);
  });
  out.sends.push_back({to, std::move(message)});
}

void MembershipModel::SendUpdatesTo(Time now, const Member& member, Actions& out) {
  Send(now, member.record.address, MakeMessage(MessageKind::kUpdates, 0), member.record.name, member.schema,
       out);
}

void MembershipModel::EnqueueUpdate(Time now, Update update) {
  const Time made_at = update.kind == Update::Kind::kReport ? update.report.made_at : now;
  if (!updates_.Enqueue(std::move(update), made_at)) ++dropped_;
}

void MembershipModel::EnqueueRecord(Time now, const MemberRecord& record) {
  EnqueueUpdate(now, {Update::Kind::kRecord, record, {}, 0});
}

void MembershipModel::EnqueueReport(Time now, const Member& member, const ReachabilityReport& report) {
  Update update{Update::Kind::kReport, {}, report, 0};
  update.record.name = member.record.name;
  update.record.incarnation = member.record.incarnation;
  EnqueueUpdate(now, std::move(update));
}

Message MembershipModel::PushPullMessage() const {
  Message message = MakeMessage(MessageKind::kPushPull, 0);
  for (const auto& [name, member] : table_.all()) {
    if (member.verified || member.gone())
      message.updates.push_back({Update::Kind::kRecord, member.record, {}, 0});
  }
  return message;
}

// ---- Timers ----

void MembershipModel::OnPause(Time now, Time span, Actions& out) {
  Emit(out, "self-paused", self_.name, "", self_.incarnation, span);
  probing_.Clear();  // answers that were missed during the pause say nothing about other members
  for (const std::string& name : suspects_.names()) {
    Member& member = *table_.Find(name);
    member.suspect_since += span;
    for (ReachabilityReport& report : member.reports) report.made_at += span;
  }
  updates_.ShiftTimes(span);
  last_reached_at_ += span;
  view_.OnPause(span, now + options_.probe_interval);
  next_probe_at_ = std::max(next_probe_at_, now + options_.probe_interval / 4);
  health_.Worsen(2);
  // Refutes suspicions of this node before anything else is sent. A leaving node does not refute: others that
  // take it for gone are only a little early, and after a refutation it would have to leave a second time.
  if (span >= options_.probe_interval && self_.state == RecordState::kAlive)
    Refute(now, self_.incarnation, out);
}

// Detects by a late tick that this process was not running. Called before messages that arrived during the
// pause are handled.
void MembershipModel::DetectPause(Time now, Actions& out) {
  const Time late = now - last_tick_at_ - tick_interval();
  if (!options_.local_health || late <= std::max(options_.probe_interval / 2, kMinPause)) return;
  last_tick_at_ = now;
  OnPause(now, late, out);
}

// Discards all that is known and joins again: the other node that had the name may be gone by now.
void MembershipModel::TryNameAgain(Time now) {
  name_refused_ = false;
  table_.RemoveAll();
  suspects_.Clear();
  unverified_.clear();
  probing_.ClearProbes();
  updates_.Clear();
  view_.OnChange(now);
  push_pull_.JoinAgain(now);
}

void MembershipModel::Tick(Time now, Actions& out) {
  DetectPause(now, out);
  last_tick_at_ = now;
  if (name_refused_) {
    if (now - name_refused_at_ < options_.Intervals(kRetryRefusedName)) return;
    TryNameAgain(now);
  }
  SendDueNacks(now, out);
  SendDueProbes(now, out);
  ProbeUnverified(now, out);
  ProbeNextMember(now, out);
  CheckSuspects(now, out);
  SendGossip(now, out);
  StartPushPulls(now, out);
  UpdateViewStatus(now, out);
}

void MembershipModel::SendDueNacks(Time now, Actions& out) {
  for (const RelayedProbe& relay : probing_.TakeDueNacks(now)) {
    Send(now, relay.requester_address, MakeMessage(MessageKind::kNack, relay.requester_seq), "",
         kMinReaderSchema, out);
  }
  probing_.RemoveEndedRelays(now);
}

void MembershipModel::StartProbe(Time now, Member& member, Actions& out) {
  const Time timeout = health_.Scaled(options_.Intervals(kProbeTimeout));
  const Time duration = health_.Scaled(options_.Intervals(kProbeDuration));
  Probe* probe = probing_.Start(now, member.record.name, timeout, duration, random_);
  if (probe != nullptr) SendPing(now, *probe, out);
}

void MembershipModel::SendPing(Time now, Probe& probe, Actions& out) {
  const Member* member = table_.Find(probe.target);
  if (member == nullptr) return;
  ++probe.pings;
  Message ping = MakeMessage(MessageKind::kPing, probe.seq);
  ping.target = probe.target;
  Send(now, member->address(), std::move(ping), probe.target, member->schema, out);
}

void MembershipModel::AskHelpers(Time now, Probe& probe, Actions& out) {
  probe.indirect = true;
  const Member* target = table_.Find(probe.target);
  if (target == nullptr) return;
  const auto count = static_cast<std::size_t>(options_.indirect_probes);
  for (const Member* helper : ChooseHelpers(table_.live(), target, count, random_)) {
    Message request = MakeMessage(MessageKind::kPingRequest, probe.indirect_seq);
    request.target = probe.target;
    request.target_address = target->address();
    Send(now, helper->record.address, std::move(request), helper->record.name, helper->schema, out);
    ++probe.requests;
  }
}

void MembershipModel::SendDueProbes(Time now, Actions& out) {
  const std::vector<Probe> failed = probing_.TakeFailed(now);
  for (const Probing::Due& due : probing_.DueProbes(now)) {
    if (due.ask_helpers) AskHelpers(now, *due.probe, out);
    SendPing(now, *due.probe, out);
  }
  for (const Probe& probe : failed) HandleFailedProbe(now, probe, out);
}

void MembershipModel::HandleFailedProbe(Time now, const Probe& probe, Actions& out) {
  Member* member = table_.Find(probe.target);
  if (member == nullptr) return;
  if (!member->live()) return HandleFailedVerification(now, probe, *member);
  if (probe.nacks == 0) health_.Worsen(1);  // no helper answered either
  ReportUnreachable(now, *member, out);
}

void MembershipModel::HandleFailedVerification(Time now, const Probe& probe, Member& member) {
  const bool few_unverified = unverified_.size() <= kFewUnverified;
  // Others may have it as a live member and may need this node's report to declare it dead.
  if (member.failed_probes > 0 && few_unverified && MaySuspect(now, member)) {
    Update update{Update::Kind::kReport, {}, {self_.name, false, NextReportSeq(now), now}, 0};
    update.record.name = probe.target;
    update.record.incarnation = member.returning ? member.returning->incarnation : member.record.incarnation;
    EnqueueUpdate(now, std::move(update));
  }
  const bool reported = member.reported_unverified_at > 0 && few_unverified &&
                        now - member.reported_unverified_at <= Rules().UnreachableReportLifetime();
  if (member.verified || ++member.failed_probes < kMaxVerificationProbes) {
    member.next_probe_at = now + options_.Intervals(kRetryUnverified);
    return;
  }
  if (reported) {
    member.next_probe_at = now + options_.Intervals(kRetryReported);
    return;
  }
  unverified_.erase(probe.target);
  if (member.returning) {
    member.returning.reset();
  } else if (!member.gone()) {
    table_.Remove(probe.target);
  }
}

void MembershipModel::ProbeUnverified(Time now, Actions& out) {
  int started = 0;
  for (const std::string& name : unverified_) {
    if (started >= kMaxNewProbesPerTick || probing_.size() >= Probing::kMaxProbes / 2) return;
    Member& member = *table_.Find(name);
    if (now < member.next_probe_at) continue;
    member.next_probe_at =
        now + options_.Intervals(kRetryUnverified) + health_.Scaled(options_.probe_interval);
    StartProbe(now, member, out);
    ++started;
  }
}

void MembershipModel::ProbeNextMember(Time now, Actions& out) {
  if (now < next_probe_at_) return;
  next_probe_at_ = std::max(next_probe_at_ + health_.ScaledAtMostTwice(options_.probe_interval),
                            now + options_.probe_interval / 4);
  Member* member = probing_.NextTarget(table_, random_);
  if (member != nullptr) StartProbe(now, *member, out);
}

void MembershipModel::SendGossip(Time now, Actions& out) {
  if (now < next_gossip_at_) return;
  next_gossip_at_ = now + options_.Intervals(kGossipInterval);
  const std::vector<Member*>& live = table_.live();
  for (int i = 0; i < kGossipTargets && !updates_.empty() && !live.empty(); ++i)
    SendUpdatesTo(now, *live[random_() % live.size()], out);
}

void MembershipModel::SendToRandomMember(Time now, Actions& out) {
  const std::vector<Member*>& live = table_.live();
  if (!live.empty()) SendUpdatesTo(now, *live[random_() % live.size()], out);
}

void MembershipModel::StartPushPulls(Time now, Actions& out) {
  PushPullSchedule::Due due = push_pull_.TakeDue(now, options_, table_, view_.stable(), random_);
  std::move(due.addresses.begin(), due.addresses.end(), std::back_inserter(out.push_pulls));
  if (due.dead_member == nullptr) return;
  const Member& dead = *due.dead_member;
  Send(now, dead.record.address, MakeMessage(MessageKind::kPing, random_()), dead.record.name, dead.schema,
       out);
}

void MembershipModel::UpdateViewStatus(Time now, Actions& out) {
  if (now < next_view_update_at_) return;
  next_view_update_at_ = now + options_.probe_interval / 2;
  if (now >= next_forget_at_) {
    next_forget_at_ = now + options_.Intervals(kForgetInterval);
    table_.Forget(now, options_.forget_after, options_.max_members);
  }
  // Counts the members of the last stable view that are on this node's side of a possible partition.
  const std::size_t unreachable = suspects_.CountInStableView(
      table_, [&](const Member& member) { return !Rules().IsReportedReachable(member, now); });
  const std::size_t reachable = 1 + table_.stable_live() - unreachable;
  const std::size_t view_size = table_.stable_view().size();
  const bool isolated = view_size >= 2 && now - last_reached_at_ >
                                              health_.ScaledAtMostTwice(options_.Intervals(kIsolatedAfter));
  const bool alone = joined() && table_.live().empty() && !options_.seeds.empty();
  const bool no_majority = view_size >= 2 && 2 * reachable <= view_size;
  const bool suspected = alone || isolated || no_majority;
  if (view_.SetPartitionSuspected(suspected, now, Rules().SuspicionTime()))
    Emit(out, suspected ? "view-in-doubt" : "view-sure", self_.name, "", reachable);
  if (!view_.BecomesStable(now, joined(), options_.Intervals(options_.stable_after_intervals))) return;
  table_.MarkStable(self_.name);
  Emit(out, "view-settled", self_.name, "", table_.stable_view().size());
}

void MembershipModel::Leave(Time now, Actions& out) {
  if (self_.state != RecordState::kAlive) return;
  self_.state = RecordState::kLeaving;
  ++self_.incarnation;
  EnqueueRecord(now, self_);
  next_gossip_at_ = now;
  SendGossip(now, out);
}

void MembershipModel::AnnounceLeft(Time now, Actions& out) {
  self_.state = RecordState::kLeft;
  EnqueueRecord(now, self_);
  std::vector<Member*> targets = table_.live();
  for (std::size_t i = targets.size(); i > 1; --i) std::swap(targets[i - 1], targets[random_() % i]);
  if (targets.size() > kLastMessageTargets) targets.resize(kLastMessageTargets);
  for (const Member* member : targets) SendUpdatesTo(now, *member, out);
}

// ---- The view ----

MemberState MembershipModel::StateOf(const Member& member) const {
  if (member.gone()) {
    if (member.returning) return MemberState::kJoining;
    return member.record.state == RecordState::kDead ? MemberState::kDead : MemberState::kLeft;
  }
  if (!member.verified) return MemberState::kJoining;
  if (suspects_.Contains(member.record.name)) return MemberState::kSuspect;
  return member.record.state == RecordState::kLeaving ? MemberState::kLeaving : MemberState::kAlive;
}

MemberState MembershipModel::StateOf(const std::string& name) const {
  const Member* member = table_.Find(name);
  return member == nullptr ? MemberState::kLeft : StateOf(*member);
}

MemberView MembershipModel::ViewOf(Time now, const Member& member) const {
  MemberView view;
  view.record = member.record;
  view.state = StateOf(member);
  view.state_since = member.state_since;
  view.reached_at = member.reached_at;
  view.reporters = member.gone() ? member.record.reporters : Rules().UnreachableReporters(member, now);
  view.reachable_reporters = Rules().ReachableReporters(member, now);
  view.history = member.history;
  return view;
}

std::optional<MemberView> MembershipModel::Find(Time now, const std::string& name) const {
  const Member* member = table_.Find(name);
  if (member == nullptr) return std::nullopt;
  return ViewOf(now, *member);
}

std::vector<MemberView> MembershipModel::View(Time now) const {
  std::vector<MemberView> all;
  all.reserve(table_.size());
  for (const auto& [name, member] : table_.all()) all.push_back(ViewOf(now, member));
  return all;
}

}  // namespace ryeglade::membership
