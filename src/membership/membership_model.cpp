#include "membership/membership_model.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <utility>

namespace ryeglade::membership {
namespace {

constexpr int kMostHealth = 8;
constexpr int kPings = 3;              // direct ones of a probe
constexpr double kTimeout = 0.4;       // periods until helpers are asked
constexpr double kEnd = 0.95;          // periods until a probe has failed
constexpr double kNackAfter = 0.35;    // periods that a helper waits before it says so
constexpr double kBallotLasts = 3;     // times the suspicion time
constexpr double kLonely = 4;          // periods without reaching anybody until the view is in doubt
constexpr double kOthersWithin = 2;    // periods within which somebody else was reached, or nobody is accused
constexpr double kYoung = 10;          // periods in which the older of two claims to a name still wins
constexpr double kMassShare = 0.25;    // of the settled view suspect at once: a cut is as likely as deaths
constexpr std::size_t kCensus = 24;    // members that are looked at before a death, or all
constexpr double kCensusTakes = 1.5;   // periods
constexpr double kCensusLasts = 4;     // periods after it is done
constexpr double kCensusMargin = 1.1;  // where not all were looked at
constexpr int kMostTries = 4;          // probes of a newcomer until it is dropped
constexpr double kTryAgain = 4;        // periods between further ones, while others speak of it
constexpr std::size_t kFewUnproven = 16;
constexpr int kGossipTo = 3;           // members a turn
constexpr double kGossipEvery = 0.2;   // periods
constexpr int kSpread = 3;             // times log2 of the members: how often a piece of news is sent
constexpr Time kPauseLeast = 300'000;  // a tick later than this by so much is a pause

}  // namespace

const char* Name(Standing standing) {
  switch (standing) {
    case Standing::kJoining:
      return "joining";
    case Standing::kAlive:
      return "alive";
    case Standing::kSuspect:
      return "suspect";
    case Standing::kLeaving:
      return "leaving";
    case Standing::kDead:
      return "dead";
    case Standing::kLeft:
      break;
  }
  return "left";
}

Model::Model(Options options, Record self, Time now, Draw draw)
    : options_(std::move(options)), self_(std::move(self)), draw_(std::move(draw)) {
  began_ = last_tick_ = last_reached_ = changed_at_ = now;
  // Nodes that start together must not probe and exchange in step.
  const auto part = [&](Time span) {
    return now + static_cast<Time>(draw_() % static_cast<std::uint64_t>(span));
  };
  next_probe_ = part(options_.period);
  next_gossip_ = part(options_.period);
  next_view_ = now;
  next_exchange_ = now;
  std::erase(options_.seeds, self_.address);
  joined_ = options_.seeds.empty();
}

Model Model::Clone(Draw draw) const {
  Model copy(*this);
  copy.draw_ = std::move(draw);
  copy.by_name_.clear();
  for (auto& [name, m] : copy.members_) copy.by_name_.emplace(name, &m);
  for (Member*& m : copy.live_) m = copy.Get(m->record.name);
  return copy;
}

// ---- Small things ----

Model::Member* Model::Get(std::string_view name) {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : it->second;
}

Model::Member& Model::Add(const std::string& name) {
  const auto [it, fresh] = members_.try_emplace(name);
  if (fresh) {
    by_name_.emplace(it->first, &it->second);
    it->second.settled = settled_view_.contains(name);
  }
  return it->second;
}

void Model::Remove(const std::string& name) {
  const auto it = members_.find(name);
  if (it == members_.end()) return;
  by_name_.erase(it->first);
  members_.erase(it);
}

void Model::List(Member& m) {
  if (m.live() == (m.live_at != kNowhere)) return;
  if (m.live()) {
    m.live_at = live_.size();
    live_.push_back(&m);
    settled_live_ += m.settled ? 1 : 0;
    return;
  }
  settled_live_ -= m.settled ? 1 : 0;
  live_.back()->live_at = m.live_at;
  live_[m.live_at] = live_.back();
  live_.pop_back();
  m.live_at = kNowhere;
}

std::size_t Model::live() const { return Live().size() + 1; }

Time Model::SuspicionTime() const {
  const double n = static_cast<double>(Live().size() + 1);
  return Periods(options_.suspicion * std::max(1.0, std::log10(n)));
}

// Fewer where fewer are left that could accuse.
std::size_t Model::Needed(const Member& m) const {
  if (!options_.many_accusers) return 1;
  const std::size_t others = Live().size() + 1 - (m.live() ? 1 : 0);
  return std::max<std::size_t>(1, std::min(static_cast<std::size_t>(options_.accusers), others));
}

void Model::Well(int by) {
  if (options_.self_doubt) health_ = std::clamp(health_ + by, 0, kMostHealth);
}

void Model::Tell(Actions& out, Time, const char* what, const std::string& member, const std::string& by,
                 std::uint64_t incarnation, Time span) {
  out.notes.push_back({what, member, by, incarnation, span});
}

void Model::ToldOf(Member& m, Time now, const char* what, const std::string& by, Actions& out) {
  if (m.history.size() == kHistory) m.history.erase(m.history.begin());
  m.history.push_back({now, what, by});
  Tell(out, now, what, m.record.name, by, m.record.incarnation);
}

void Model::Changed(Time now) {
  changed_at_ = now;
  settled_ = false;
  ++view_version_;
}

// ---- Messages out ----

Message Model::Make(Kind kind, std::uint64_t seq) const {
  Message m;
  m.schema = options_.speak;
  m.cluster = options_.cluster;
  m.from = self_;
  m.kind = kind;
  m.seq = seq;
  return m;
}

// Fills the message up with news: first what its reader must know of itself (`about`), then what was sent
// least.
void Model::Post(Time now, const std::string& to, Message message, const std::string& about,
                 std::uint32_t schema, Actions& out) {
  std::size_t room = options_.datagram - kMessageHead - SizeOf(self_) - message.cluster.size() -
                     message.target.size() - message.target_address.size();
  const bool vouches = schema >= 2 && options_.speak >= 2 && options_.vouches;
  const auto put = [&](const News& news) {
    const std::size_t n = SizeOf(news);
    if (n > room) return false;
    room -= n;
    message.news.push_back(news);
    return true;
  };
  if (const Member* m = Get(about); m != nullptr) {
    if (m->gone()) {
      put({News::Kind::kRecord, m->record, {}, 0});
    } else if (suspects_.contains(about)) {
      for (const Ballot& b : m->ballots) {
        if (b.vouch) continue;
        News news{News::Kind::kBallot, {}, b, now - b.at};
        news.record.name = m->record.name;
        news.record.incarnation = m->record.incarnation;
        put(news);
        break;
      }
    }
  }
  const int enough =
      kSpread * (1 + static_cast<int>(std::ceil(std::log2(static_cast<double>(Live().size() + 2)))));
  news_.Tell(now, enough, [&](const News& news) {
    return (news.kind != News::Kind::kBallot || !news.ballot.vouch || vouches) && put(news);
  });
  out.sends.push_back({to, std::move(message)});
}

void Model::Spread(Time now, News news) {
  const Time at = news.kind == News::Kind::kBallot ? news.ballot.at : now;
  if (!news_.Put(std::move(news), at)) ++dropped_;
}

void Model::SpreadRecord(Time now, const Record& record) {
  Spread(now, {News::Kind::kRecord, record, {}, 0});
}

void Model::SpreadBallot(Time now, const Member& m, const Ballot& ballot) {
  News news{News::Kind::kBallot, {}, ballot, 0};
  news.record.name = m.record.name;
  news.record.incarnation = m.record.incarnation;
  Spread(now, std::move(news));
}

Message Model::StateMessage() const {
  Message m = Make(Kind::kState, 0);
  for (const auto& [name, member] : members_) {
    if (member.proven || member.gone()) m.news.push_back({News::Kind::kRecord, member.record, {}, 0});
  }
  return m;
}

// ---- What is learned ----

// Says that this node is here, above what was said of it.
void Model::Raise(Time now, std::uint64_t above, Actions& out) {
  if (!options_.refutes) return;
  self_.incarnation = std::max(self_.incarnation, above) + 1;
  SpreadRecord(now, self_);
  Tell(out, now, "self-refuted", self_.name, "", self_.incarnation);
}

void Model::LearnOfSelf(Time now, const Record& record, const std::string& by, Actions& out) {
  if (record.uid == self_.uid || record.address == self_.address) {
    // Said of this process or of an earlier one of this node: what is above must not stand.
    const bool mine = record.uid == self_.uid;
    const bool gone = Gone(record);
    if (record.incarnation > self_.incarnation ||
        (record.incarnation == self_.incarnation && ((gone && self_.state == State::kAlive) || !mine)))
      Raise(now, record.incarnation, out);
    return;
  }
  // Another node holds the name. One that has settled holds it rightly; of two that begin, the older.
  if (Gone(record)) return;
  if (now - conflict_told_ >= Periods(10) || conflict_told_ == 0) {
    conflict_told_ = now;
    Tell(out, now, "name-conflict", self_.name, record.address.empty() ? by : record.address,
         record.incarnation);
  }
  if (!ever_settled_ && record.uid < self_.uid && !refused_) {
    refused_ = true;
    refused_at_ = now;
    Tell(out, now, "name-taken", self_.name, record.address);
  }
}

void Model::SetGone(Time now, Member& m, const Record& record, const std::string& by, Actions& out) {
  const bool was_live = m.live();
  m.record = record;
  m.back.reset();
  m.proven = false;
  m.since = m.gone_at = now;
  m.suspect_since = 0;
  m.ballots.clear();
  suspects_.erase(record.name);
  unproven_.erase(record.name);
  SpreadRecord(now, m.record);
  List(m);
  if (!was_live) return;
  Changed(now);
  ToldOf(m, now, record.state == State::kDead ? "member-dead" : "member-left", by, out);
}

void Model::Learn(Time now, const Record& record, const std::string& by, Actions& out) {
  if (record.name == self_.name) return LearnOfSelf(now, record, by, out);
  const bool gone = Gone(record);
  Member* m = Get(record.name);
  if (m == nullptr) {
    if (members_.size() >= options_.most_members) Forget(now);
    if (members_.size() >= options_.most_members || (!gone && unproven_.size() >= kMostUnproven)) {
      ++dropped_;
      return;
    }
    m = &Add(record.name);
    m->record = record;
    m->first = m->since = now;
    if (gone) {
      m->gone_at = now;
      return;
    }
    unproven_.insert(record.name);
    // All members hear of a newcomer at about the same time: they look at it over a span, not at once.
    const auto span = static_cast<std::uint64_t>(
        std::max<Time>(options_.period, options_.period * static_cast<Time>(Live().size()) / 50));
    m->next_try = by == record.name ? now : now + static_cast<Time>(draw_() % span);
    return;
  }
  if (record.address != m->record.address && !m->gone()) {
    const bool young = now - m->first < Periods(kYoung) && record.uid < m->record.uid;
    if (m->proven && !(young && !gone)) {
      if (!gone && (now - conflict_told_ >= Periods(10) || conflict_told_ == 0)) {
        conflict_told_ = now;
        Tell(out, now, "name-conflict", record.name, record.address, record.incarnation);
      }
      return;
    }
    if (gone) return;
    const bool was_live = m->live();
    m->record = record;
    m->proven = false;
    m->ballots.clear();
    suspects_.erase(record.name);
    unproven_.insert(record.name);
    m->next_try = now;
    m->tries = 0;
    List(*m);
    if (was_live) Changed(now);
    return;
  }
  if (options_.ordered ? !Supersedes(record, m->record)
                       : record.uid == m->record.uid && record.state == m->record.state &&
                             record.incarnation == m->record.incarnation)
    return;
  if (gone) {
    if (m->live() && by != record.name) {
      if (record.state == State::kDead && record.accusers.size() < Needed(*m))
        return;  // nobody can kill alone
      if (m->round_trip > 0 && now - m->round_trip <= Periods(2) && options_.vouches) {
        // Here it is alive. It is told of its end by those who believe it and says otherwise; others hear so.
        Cast(now, *m, true);
        StartProbe(now, *m, out);
        return;
      }
    }
    return SetGone(now, *m, record, by, out);
  }
  if (m->gone()) {  // said to be back: that is looked at first
    if (m->back && !Supersedes(record, *m->back)) return;
    if (!m->back) {
      m->tries = 0;
      m->next_try = now;
    }
    m->back = record;
    unproven_.insert(record.name);
    return;
  }
  const bool restarted = record.uid != m->record.uid;
  const bool was_suspect = suspects_.erase(record.name) > 0;
  const bool leaves = record.state == State::kLeaving && m->record.state != State::kLeaving;
  m->record = record;
  m->ballots.clear();
  m->suspect_since = 0;
  if (!m->proven) return;
  if (was_suspect || leaves || restarted) m->since = now;
  if (restarted) {
    ToldOf(*m, now, "member-restarted", by, out);
  } else if (was_suspect) {
    ToldOf(*m, now, "member-refuted", by, out);
  }
  if (leaves) ToldOf(*m, now, "member-leaving", by, out);
  SpreadRecord(now, m->record);
}

void Model::LearnBallot(Time now, const News& news, Actions& out) {
  const std::string& name = news.record.name;
  if (name == self_.name) {
    if (!news.ballot.vouch && news.record.incarnation == self_.incarnation) {
      Well(1);  // others have cause to think so
      if (self_.state == State::kAlive) Raise(now, news.record.incarnation, out);
    }
    return;
  }
  if (news.ballot.by == self_.name) return;
  Member* m = Get(name);
  if (m == nullptr || (news.ballot.vouch && !options_.vouches)) return;
  // Most of what comes was heard before: that is seen without a look at who said it.
  const auto known = std::find_if(m->ballots.begin(), m->ballots.end(),
                                  [&](const Ballot& b) { return b.by == news.ballot.by; });
  const bool of_now = m->live() && news.record.incarnation == m->record.incarnation;
  if (of_now && known != m->ballots.end() && known->seq >= news.ballot.seq) return;
  const Member* speaker = Get(news.ballot.by);
  if (speaker == nullptr || !speaker->live()) return;
  // One of whom others say that they can't reach it, and who was never reached from here either: they may
  // lack this node's word for as long as they speak of it.
  if (!m->live() && !m->proven && !m->gone() && !news.ballot.vouch) m->spoken_at = now;
  if (!of_now) return;
  const Time age = std::clamp<Time>(news.age, 0, kMostAge);
  Ballot ballot = news.ballot;
  ballot.at = now - age;
  if (known != m->ballots.end()) {
    *known = ballot;
  } else {
    if (m->ballots.size() >= kMostBallots) return;
    m->ballots.push_back(ballot);
  }
  SpreadBallot(now, *m, ballot);
  if (ballot.vouch || suspects_.contains(name)) return;
  if (now - ballot.at > static_cast<Time>(kBallotLasts * static_cast<double>(SuspicionTime()))) return;
  suspects_.insert(name);
  m->suspect_since = m->since = now;
  ToldOf(*m, now, "member-suspect", ballot.by, out);
  if (Observes(*m)) StartProbe(now, *m, out);
}

// Rises with time over restarts too, as far as clocks allow.
std::uint64_t Model::NextBallot(Time now) {
  return last_ballot_ = std::max(last_ballot_ + 1, static_cast<std::uint64_t>(std::max<Time>(0, now)));
}

void Model::Cast(Time now, Member& m, bool vouch) {
  const Ballot ballot{self_.name, vouch, NextBallot(now), now};
  const auto it =
      std::find_if(m.ballots.begin(), m.ballots.end(), [&](const Ballot& b) { return b.by == self_.name; });
  if (it != m.ballots.end()) {
    *it = ballot;
  } else if (m.ballots.size() >= kMostBallots) {
    m.ballots.back() = ballot;
  } else {
    m.ballots.push_back(ballot);
  }
  if (!vouch || options_.vouches) SpreadBallot(now, m, ballot);
}

// Nobody is accused by one that reaches nobody else either: then the fault is likely here.
bool Model::MayAccuse(Time now, const Member& m) const {
  if (!options_.self_doubt) return true;
  return Live().size() > (m.live() ? 1U : 0U) && now - last_reached_ <= Doubled(Periods(kOthersWithin));
}

// This node could not reach it.
void Model::Accuse(Time now, Member& m, Actions& out) {
  if (!MayAccuse(now, m)) return;
  Cast(now, m, false);
  if (suspects_.insert(m.record.name).second) {
    m.suspect_since = m.since = now;
    ToldOf(m, now, "member-suspect", self_.name, out);
  }
}

void Model::Prove(Time now, Member& m, Actions& out) {
  const bool back = m.back.has_value();
  if (back) {
    m.record = *m.back;
    m.back.reset();
  }
  if (Gone(m.record)) return;
  m.proven = true;
  m.since = now;
  m.tries = 0;
  // What a majority is counted of grows with those that come while all is well, and with those that were
  // removed and are back. Others count once the view has settled with them: a cut-off side must not grow into
  // a majority.
  if (!settled_view_.empty() && (back || (!in_doubt_ && suspects_.empty()))) {
    settled_view_.insert(m.record.name);
    m.settled = true;  // it is not listed as live yet, and counted there
  }
  unproven_.erase(m.record.name);
  List(m);
  Changed(now);
  ToldOf(m, now, back ? "member-returned" : "member-alive", self_.name, out);
  SpreadRecord(now, m.record);
}

void Model::Reached(Time now, Member& m, Actions& out) {
  m.round_trip = last_reached_ = now;
  if (!m.proven && (!m.gone() || m.back)) Prove(now, m, out);
  if (suspects_.contains(m.record.name)) Cast(now, m, true);
}

bool Model::Observes(const Member& m) const {
  const std::uint64_t subject = Hash(m.record.name);
  const std::uint64_t mine = Hash(self_.name, subject);
  int before = 0;
  for (const Member* other : Live()) {
    if (other != &m && Hash(other->record.name, subject) < mine && ++before >= options_.observers)
      return false;
  }
  return true;
}

std::vector<std::string> Model::Accusers(const Member& m, Time now) const {
  std::vector<std::string> all;
  const Time lasts = static_cast<Time>(kBallotLasts * static_cast<double>(SuspicionTime()));
  for (const Ballot& b : m.ballots) {
    if (b.vouch || now - b.at > lasts) continue;
    const Member* by = Get(b.by);
    if (b.by == self_.name || (by != nullptr && by->live())) all.push_back(b.by);
  }
  return all;
}

bool Model::Vouched(const Member& m, Time now) const {
  return options_.vouches && std::any_of(m.ballots.begin(), m.ballots.end(), [&](const Ballot& b) {
           return b.vouch && now - b.at <= VouchLasts();
         });
}

std::vector<std::string> Model::Vouchers(const Member& m, Time now) const {
  std::vector<std::string> all;
  if (!options_.vouches) return all;
  for (const Ballot& b : m.ballots) {
    if (b.vouch && now - b.at <= VouchLasts()) all.push_back(b.by);
  }
  return all;
}

void Model::TakeNews(Time now, const Message& message, Actions& out) {
  for (const News& news : message.news) {
    if (news.kind == News::Kind::kBallot) {
      LearnBallot(now, news, out);
    } else {
      Learn(now, news.record, message.from.name, out);
    }
  }
}

// ---- Messages in ----

const char* Model::Misfit(const Message& message) const {
  if (message.cluster != options_.cluster) return "other-cluster";
  if (message.needs > options_.speak) return "too-new";
  return "";
}

void Model::Receive(Time now, const std::string& address, const Message& message, Actions& out) {
  const Record& from = message.from;
  if (address != from.address) return;
  Awake(now, out);
  if (from.name == self_.name) {
    if (from.address == self_.address || from.uid == self_.uid) return;  // its own, or of the process before
    LearnOfSelf(now, from, address, out);
    if (refused_) return;
    Message no = Make(Kind::kRefused, message.seq);
    no.news.push_back({News::Kind::kRecord, self_, {}, 0});
    out.sends.push_back({address, std::move(no)});
    return;
  }
  Learn(now, from, from.name, out);
  Member* m = Get(from.name);
  if (m != nullptr && m->proven && m->record.address != address) {  // the name is another's
    Message no = Make(Kind::kRefused, message.seq);
    no.news.push_back({News::Kind::kRecord, m->record, {}, 0});
    out.sends.push_back({address, std::move(no)});
    return;
  }
  if (m != nullptr) {
    m->schema = message.schema;
    // It speaks for itself: another look, where an earlier one was given up.
    if (!m->proven && !m->gone() && unproven_.size() < kMostUnproven) unproven_.insert(from.name);
  }
  TakeNews(now, message, out);
  m = Get(from.name);
  switch (message.kind) {
    case Kind::kPing:
      // Meant for another that was here before, or never was: an answer would vouch for it.
      if (!message.target.empty() && message.target != self_.name) break;
      Post(now, address, Make(Kind::kAck, message.seq), from.name, message.schema, out);
      break;
    case Kind::kAsk: {
      const Member* target = Get(message.target);
      if (target == nullptr || target->address() != message.target_address || relays_.size() >= kMostRelays)
        break;
      Relay relay{draw_(),          message.seq, message.target, address, now + Scaled(Periods(kNackAfter)),
                  now + Periods(3), false};
      Message ping = Make(Kind::kPing, relay.seq);
      ping.target = message.target;
      Post(now, message.target_address, std::move(ping), message.target, target->schema, out);
      relays_.push_back(std::move(relay));
      break;
    }
    case Kind::kAck: {
      const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const Relay& r) {
        return r.seq == message.seq && r.target == from.name;
      });
      if (relay != relays_.end()) {
        if (m != nullptr) Reached(now, *m, out);
        Post(now, relay->asker_address, Make(Kind::kAck, relay->asker_seq), "", kNeeds, out);
        relays_.erase(relay);
        break;
      }
      // From the target itself, or from a helper that reached it.
      const auto probe = std::find_if(probes_.begin(), probes_.end(), [&](const Probe& p) {
        return p.target == from.name ? p.seq == message.seq
                                     : p.indirect && p.ask_seq == message.seq && m != nullptr && m->live();
      });
      if (probe == probes_.end()) break;
      Member* target = Get(probe->target);
      probes_.erase(probe);
      if (target == nullptr) break;
      Reached(now, *target, out);
      Well(-1);
      break;
    }
    case Kind::kNack: {
      const auto probe = std::find_if(probes_.begin(), probes_.end(),
                                      [&](const Probe& p) { return p.ask_seq == message.seq; });
      if (probe == probes_.end() || probe->nacks >= probe->asked) break;
      ++probe->nacks;
      last_reached_ = now;  // there and back to the helper
      break;
    }
    case Kind::kRefused:
    case Kind::kNews:
    case Kind::kState:
    case Kind::kCount:
      break;
  }
}

void Model::OnState(Time now, const Message& message, bool dialled, Actions& out) {
  const Record& from = message.from;
  if (from.name == self_.name) {
    if (from.address != self_.address) LearnOfSelf(now, from, from.address, out);
    return;
  }
  Learn(now, from, from.name, out);
  TakeNews(now, message, out);
  if (dialled && !joined_ && !refused_) {
    joined_ = true;
    SpreadRecord(now, self_);
    Tell(out, now, "tier-joined", self_.name, from.name, self_.incarnation);
  }
}

// ---- What time brings ----

void Model::Pause(Time now, Time span, Actions& out) {
  Tell(out, now, "self-paused", self_.name, "", self_.incarnation, span);
  probes_.clear();  // what was not heard meanwhile says nothing of others
  relays_.clear();
  for (const std::string& name : suspects_) {
    Member& m = *Get(name);
    m.suspect_since += span;
    for (Ballot& b : m.ballots) b.at += span;
  }
  news_.Shift(span);
  last_reached_ += span;
  changed_at_ += span;
  hold_until_ = now + options_.period;
  next_probe_ = std::max(next_probe_, now + options_.period / 4);
  Well(2);
  // Before anything else is said. Of one that leaves the others are only a little early to think it gone: if
  // it came back, it would go twice.
  if (span >= options_.period && self_.state == State::kAlive) Raise(now, self_.incarnation, out);
}

// Sees by its own clock that it was not running, before it makes anything of what waits to be read.
void Model::Awake(Time now, Actions& out) {
  const Time late = now - last_tick_ - step();
  if (!options_.self_doubt || late <= std::max(options_.period / 2, kPauseLeast)) return;
  last_tick_ = now;
  Pause(now, late, out);
}

void Model::Tick(Time now, Actions& out) {
  Awake(now, out);
  last_tick_ = now;
  if (refused_) {
    if (now - refused_at_ < Periods(30)) return;
    refused_ = joined_ = false;  // once more: the other may be gone
    live_.clear();
    settled_live_ = 0;
    by_name_.clear();
    members_.clear();
    suspects_.clear();
    unproven_.clear();
    probes_.clear();
    news_.Clear();
    Changed(now);
    next_exchange_ = now;
  }
  RunRelays(now, out);
  RunProbes(now, out);
  RunNewcomers(now, out);
  if (now >= next_probe_) {
    next_probe_ = std::max(next_probe_ + Doubled(options_.period), now + options_.period / 4);
    while (true) {
      if (round_.empty()) {
        for (const Member* m : Live()) round_.push_back(m->record.name);
        for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[draw_() % i]);
        if (round_.empty()) break;
      }
      Member* m = Get(round_.back());
      round_.pop_back();
      if (m == nullptr || !m->live()) continue;
      StartProbe(now, *m, out);
      break;
    }
  }
  RunSuspects(now, out);
  RunGossip(now, out);
  RunJoin(now, out);
  if (now >= next_view_) {
    next_view_ = now + options_.period / 2;
    RunView(now, out);
  }
}

void Model::StartProbe(Time now, Member& m, Actions& out) {
  if (probes_.size() >= kMostProbes) return;
  for (const Probe& p : probes_) {
    if (p.target == m.record.name) return;
  }
  Probe p;
  p.seq = draw_();
  p.ask_seq = draw_();
  p.target = m.record.name;
  p.began = now;
  p.timeout = Scaled(Periods(kTimeout));
  p.ends = now + Scaled(Periods(kEnd));
  probes_.push_back(std::move(p));
  PingOnce(now, probes_.back(), out);
}

void Model::PingOnce(Time now, Probe& p, Actions& out) {
  const Member* m = Get(p.target);
  if (m == nullptr) return;
  ++p.pings;
  Message ping = Make(Kind::kPing, p.seq);
  ping.target = p.target;
  Post(now, m->address(), std::move(ping), p.target, m->schema, out);
}

// Helpers from as many zones as there are: a cut between two zones must not fool all of them.
void Model::AskHelpers(Time now, Probe& p, Actions& out) {
  p.indirect = true;
  const Member* target = Get(p.target);
  if (target == nullptr) return;
  std::vector<const Member*> some, chosen;
  const auto& all = Live();
  for (std::size_t tries = 0; tries < 24 && some.size() < 12 && !all.empty(); ++tries) {
    const Member* m = all[draw_() % all.size()];
    if (m != target && std::find(some.begin(), some.end(), m) == some.end()) some.push_back(m);
  }
  std::set<std::string> zones;
  for (const Member* m : some) {
    if (chosen.size() < static_cast<std::size_t>(options_.helpers) && zones.insert(m->record.zone).second)
      chosen.push_back(m);
  }
  for (const Member* m : some) {
    if (chosen.size() < static_cast<std::size_t>(options_.helpers) &&
        std::find(chosen.begin(), chosen.end(), m) == chosen.end())
      chosen.push_back(m);
  }
  for (const Member* m : chosen) {
    Message ask = Make(Kind::kAsk, p.ask_seq);
    ask.target = p.target;
    ask.target_address = target->address();
    Post(now, m->record.address, std::move(ask), m->record.name, m->schema, out);
    ++p.asked;
  }
}

void Model::RunProbes(Time now, Actions& out) {
  std::vector<Probe> failed;
  for (std::size_t i = 0; i < probes_.size();) {
    Probe& p = probes_[i];
    if (now >= p.ends) {
      failed.push_back(std::move(p));
      probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
      continue;
    }
    if (!p.indirect && now >= p.began + p.timeout) {
      AskHelpers(now, p, out);
      PingOnce(now, p, out);
    } else if (!p.indirect && p.pings < kPings && now >= p.began + p.pings * p.timeout / kPings) {
      PingOnce(now, p, out);
    }
    ++i;
  }
  for (const Probe& p : failed) {
    Member* m = Get(p.target);
    if (m == nullptr) continue;
    if (!m->live()) {
      // Others may count it as one of theirs, and wait for what this node says of it. Not in a flood of
      // names.
      if (m->tries > 0 && unproven_.size() <= kFewUnproven && MayAccuse(now, *m)) {
        News news{News::Kind::kBallot, {}, {self_.name, false, NextBallot(now), now}, 0};
        news.record.name = p.target;
        news.record.incarnation = m->back ? m->back->incarnation : m->record.incarnation;
        Spread(now, std::move(news));
      }
      const bool spoken =
          m->spoken_at > 0 && unproven_.size() <= kFewUnproven &&
          now - m->spoken_at <= static_cast<Time>(kBallotLasts * static_cast<double>(SuspicionTime()));
      if (!m->proven && ++m->tries >= kMostTries && spoken) {
        m->next_try = now + Periods(kTryAgain);
      } else if (!m->proven && m->tries >= kMostTries) {
        unproven_.erase(p.target);
        if (m->back) {
          m->back.reset();
        } else if (!m->gone()) {
          Remove(p.target);
        }
      } else {
        m->next_try = now + Periods(2);
      }
      continue;
    }
    if (p.nacks == 0) Well(1);  // no helper is heard either
    Accuse(now, *m, out);
  }
}

void Model::RunRelays(Time now, Actions& out) {
  for (Relay& r : relays_) {
    if (r.nacked || now < r.nack_at) continue;
    r.nacked = true;
    Post(now, r.asker_address, Make(Kind::kNack, r.asker_seq), "", kNeeds, out);
  }
  std::erase_if(relays_, [&](const Relay& r) { return now >= r.ends; });
}

void Model::RunNewcomers(Time now, Actions& out) {
  int started = 0;
  for (const std::string& name : unproven_) {
    if (started >= 8 || probes_.size() >= kMostProbes / 2) return;
    Member& m = *Get(name);
    if (now < m.next_try) continue;
    m.next_try = now + Periods(2) + Scaled(options_.period);
    StartProbe(now, m, out);
    ++started;
  }
}

void Model::RunSuspects(Time now, Actions& out) {
  if (suspects_.empty()) return;
  const Time waits = SuspicionTime();
  struct Suspect {
    Member* member;
    std::vector<std::string> accusers;
  };
  std::vector<Suspect> all;
  all.reserve(suspects_.size());
  std::size_t ripe = 0;
  for (const std::string& name : suspects_) {
    Member& m = *Get(name);
    all.push_back({&m, Accusers(m, now)});
    if (all.back().accusers.size() >= Needed(m)) ++ripe;
  }
  const bool mass = options_.majority && ripe >= 3 &&
                    static_cast<double>(ripe) >= kMassShare * static_cast<double>(settled_view_.size());
  bool fewer = false;  // somebody went just now, who may have accused others
  for (Suspect& suspect : all) {
    Member& m = *suspect.member;
    std::vector<std::string> accusers = fewer ? Accusers(m, now) : std::move(suspect.accusers);
    if (accusers.empty()) {  // all took it back, or it was long ago
      suspects_.erase(m.record.name);
      m.suspect_since = 0;
      m.since = now;
      m.ballots.clear();
      ToldOf(m, now, "member-cleared", "", out);
      continue;
    }
    for (const Ballot& b : m.ballots) {
      if (b.vouch) m.suspect_since = std::max(m.suspect_since, b.at);
    }
    const bool leaves = m.record.state == State::kLeaving;
    const bool over = now - m.suspect_since >= (mass || leaves ? 2 * waits : waits);
    const bool agreed = accusers.size() >= Needed(m) && !Vouched(m, now);
    // It said so itself, so that no majority is asked; but it may only be slow, and nothing hangs on haste.
    if (leaves && over && agreed) {
      Record left = m.record;
      left.state = State::kLeft;
      SetGone(now, m, left, self_.name, out);
      fewer = true;
      continue;
    }
    // Who is reached is known late where each is probed once in many periods: it is looked at before a death.
    const bool soon =
        !leaves && now - m.suspect_since >= waits - Periods(kCensusTakes + 1) && accusers.size() >= Needed(m);
    const bool counted = !options_.majority || (soon && Census(now, m.suspect_since, out));
    const bool may = !(options_.majority && in_doubt_) && counted && now >= hold_until_;
    if (!leaves && over && may && agreed) {
      Record dead = m.record;
      dead.state = State::kDead;
      if (accusers.size() > kMostAccusers) accusers.resize(kMostAccusers);
      dead.accusers = std::move(accusers);
      SetGone(now, m, dead, self_.name, out);
      fewer = true;
      continue;
    }
    const auto own =
        std::find_if(m.ballots.begin(), m.ballots.end(), [&](const Ballot& b) { return b.by == self_.name; });
    const Time again = std::max(Periods(2), waits / 3);
    if (own != m.ballots.end() ? now - own->at >= again : Observes(m) && now - m.suspect_since >= again)
      StartProbe(now, m, out);
  }
}

// Whether a majority of the last settled view was reached from here since `since`. Small views are looked at
// whole; of large ones a sample stands for those that nobody suspects.
bool Model::Census(Time now, Time since, Actions& out) {
  const std::size_t n = settled_view_.size();
  if (n < 2) return true;
  if (census_at_ < since || now - census_at_ > Scaled(Periods(kCensusTakes)) + Periods(kCensusLasts)) {
    census_at_ = now;
    census_.clear();
    std::vector<std::string> names;
    for (const Member* m : Live()) {
      if (m->settled && !suspects_.contains(m->record.name)) names.push_back(m->record.name);
    }
    while (census_.size() < kCensus && !names.empty()) {
      const std::size_t i = draw_() % names.size();
      Member& m = *Get(names[i]);
      if (now - m.round_trip > options_.period) StartProbe(now, m, out);
      census_.push_back(names[i]);
      names.erase(names.begin() + static_cast<std::ptrdiff_t>(i));
    }
    census_whole_ = names.empty();
  }
  if (now - census_at_ < Scaled(Periods(kCensusTakes))) return false;
  double reached = 0, of = 0;
  for (const std::string& name : census_) {
    const Member* m = Get(name);
    ++of;
    if (m != nullptr && m->live() && m->round_trip >= census_at_ - options_.period) ++reached;
  }
  if (census_whole_) return 2 * (1 + reached) > static_cast<double>(n);
  const double sound =
      static_cast<double>(settled_live_ - SuspectsOfView([](const Member&) { return true; }));
  return 2 * (1 + sound * reached / of) > kCensusMargin * static_cast<double>(n);
}

void Model::RunGossip(Time now, Actions& out) {
  if (now < next_gossip_) return;
  next_gossip_ = now + Periods(kGossipEvery);
  const auto& all = Live();
  for (int i = 0; i < kGossipTo && !news_.empty() && !all.empty(); ++i) {
    const Member* m = all[draw_() % all.size()];
    Post(now, m->record.address, Make(Kind::kNews, 0), m->record.name, m->schema, out);
  }
}

void Model::Chat(Time now, Actions& out) {
  const auto& all = Live();
  if (all.empty()) return;
  const Member* m = all[draw_() % all.size()];
  Post(now, m->record.address, Make(Kind::kNews, 0), m->record.name, m->schema, out);
}

void Model::RunJoin(Time now, Actions& out) {
  if (now < next_exchange_) return;
  const Time jitter = static_cast<Time>(draw_() % static_cast<std::uint64_t>(options_.period));
  if (!joined_) {
    out.exchanges.push_back(options_.seeds[seed_++ % options_.seeds.size()]);
    next_exchange_ = now + (seed_ < 10 ? options_.period : Periods(3)) + jitter;
    return;
  }
  // What an exchange takes grows with the members, so that they come more seldom beyond a hundred, once all
  // is told.
  const double seldom = settled_ ? std::max(1.0, static_cast<double>(Live().size()) / 100) : 1;
  next_exchange_ = now + Periods(options_.exchange * seldom) + jitter;
  const auto& all = Live();
  if (!all.empty()) out.exchanges.push_back(all[draw_() % all.size()]->record.address);
  // Seeds that are not in the view: there may be members behind them that never met these here.
  std::vector<std::string> missing;
  for (const std::string& seed : options_.seeds) {
    if (std::none_of(all.begin(), all.end(), [&](const Member* m) { return m->record.address == seed; }))
      missing.push_back(seed);
  }
  if (!missing.empty()) out.exchanges.push_back(missing[draw_() % missing.size()]);
  // The dead are told so now and then, in case they are not.
  std::vector<const Member*> dead;
  for (const auto& [name, m] : members_) {
    if (m.record.state == State::kDead && !m.back) dead.push_back(&m);
  }
  if (!dead.empty()) {
    const Member* m = dead[draw_() % dead.size()];
    Post(now, m->record.address, Make(Kind::kPing, draw_()), m->record.name, m->schema, out);
  }
}

void Model::RunView(Time now, Actions& out) {
  if (now >= next_forget_) {
    next_forget_ = now + Periods(5);
    Forget(now);
  }
  // How many of the last settled view can be reached from this side.
  const std::size_t reach =
      1 + settled_live_ - SuspectsOfView([&](const Member& m) { return !Vouched(m, now); });
  const std::size_t n = settled_view_.size();
  const bool lonely = n >= 2 && now - last_reached_ > Doubled(Periods(kLonely));
  const bool alone = joined_ && Live().empty() && !options_.seeds.empty();
  const bool doubt = alone || lonely || (n >= 2 && 2 * reach <= n);
  if (doubt != in_doubt_) {
    in_doubt_ = doubt;
    settled_ = false;
    if (!doubt) {
      hold_until_ = std::max(hold_until_, now + SuspicionTime());  // what was cut off gets time to speak
      changed_at_ = now;
    }
    Tell(out, now, doubt ? "view-in-doubt" : "view-sure", self_.name, "", reach);
  }
  if (!settled_ && joined_ && !in_doubt_ && now - changed_at_ >= Periods(options_.settle)) {
    settled_ = ever_settled_ = true;
    settled_since_ = now;
    settled_view_.clear();
    settled_view_.insert(self_.name);
    for (auto& [name, m] : members_) {
      m.settled = m.live();
      if (m.settled) settled_view_.insert(name);
    }
    settled_live_ = Live().size();
    Tell(out, now, "view-settled", self_.name, "", settled_view_.size());
  }
}

void Model::Forget(Time now) {
  std::erase_if(members_, [&](const auto& e) {
    const bool old = e.second.gone() && !e.second.back && now - e.second.gone_at >= options_.forget;
    if (old) by_name_.erase(e.first);
    return old;
  });
  if (members_.size() < options_.most_members) return;
  // No room: the one that has been gone longest makes some.
  auto oldest = members_.end();
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    if (it->second.gone() && !it->second.back &&
        (oldest == members_.end() || it->second.gone_at < oldest->second.gone_at))
      oldest = it;
  }
  if (oldest != members_.end()) Remove(std::string(oldest->first));
}

void Model::Leave(Time now, Actions& out) {
  if (self_.state != State::kAlive) return;
  self_.state = State::kLeaving;
  ++self_.incarnation;
  SpreadRecord(now, self_);
  next_gossip_ = now;
  RunGossip(now, out);
}

void Model::Left(Time now, Actions& out) {
  self_.state = State::kLeft;
  SpreadRecord(now, self_);
  const auto& all = Live();
  std::vector<std::size_t> order(all.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  for (std::size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[draw_() % i]);
  for (std::size_t i = 0; i < std::min<std::size_t>(order.size(), 8); ++i) {
    const Member* m = all[order[i]];
    Post(now, m->record.address, Make(Kind::kNews, 0), m->record.name, m->schema, out);
  }
}

// ---- The view ----

Standing Model::StandingOf(const Member& m) const {
  if (m.gone())
    return m.back ? Standing::kJoining : m.record.state == State::kDead ? Standing::kDead : Standing::kLeft;
  if (!m.proven) return Standing::kJoining;
  if (suspects_.contains(m.record.name)) return Standing::kSuspect;
  return m.record.state == State::kLeaving ? Standing::kLeaving : Standing::kAlive;
}

Standing Model::StandingOf(const std::string& name) const {
  const Member* m = Get(name);
  return m == nullptr ? Standing::kLeft : StandingOf(*m);
}

std::optional<ViewMember> Model::Find(Time now, const std::string& name) const {
  const Member* at = Get(name);
  if (at == nullptr) return std::nullopt;
  const Member& m = *at;
  return ViewMember{
      m.record,         StandingOf(m), m.since, m.round_trip, m.gone() ? m.record.accusers : Accusers(m, now),
      Vouchers(m, now), m.history};
}

std::vector<ViewMember> Model::View(Time now) const {
  std::vector<ViewMember> all;
  for (const auto& [name, m] : members_) all.push_back(*Find(now, name));
  return all;
}

}  // namespace ryeglade::membership
