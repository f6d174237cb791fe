// Which nodes are members of the tier, decided from messages and times alone: no I/O, no clock, and the
// random numbers are handed in. The node hosts it on its loop, the lab hosts thousands in virtual time.
//
// In SWIM's words (Das, Gupta, Motivala, DSN 2002): each period one member is *probed*, directly and then
// through helpers; one that can't be reached is *suspect*, and what is learned spreads with the messages
// (*dissemination*). Suspicion waits and can be refuted by a higher *incarnation*; a node in trouble doubts
// itself first (Lifeguard: Dadgar, Phillips, Currey, 2018). Beyond that, a death takes several members that
// could not reach it there and back, none that could, and a majority on the decider's side
// (docs/membership.md).
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "membership/dissemination_queue_model.h"
#include "membership/member_record_model.h"

namespace ryeglade::membership {

// All spans in microseconds.
struct Options {
  std::string cluster = "ryeglade";
  Time period = 1'000'000;    // between probes; at least 20 ms
  int helpers = 3;            // asked when a probe is not answered directly
  int observers = 6;          // that look at a suspect themselves as soon as they hear
  int accusers = 3;           // that a death takes; fewer where fewer are left
  double suspicion = 5;       // periods that a suspect has, times log10 of the members where that is over 1
  double settle = 5;          // periods without a change until a view is settled
  double exchange = 15;       // periods between full exchanges with a random member, more beyond 100 members
  Time forget = 600'000'000;  // after this long a dead or left member is forgotten
  std::size_t most_members = 1024;
  std::size_t datagram = 1400;  // bytes
  std::uint32_t speak = kSchema;
  std::vector<std::string> seeds;  // ip:port; any one suffices

  // What a lesser rule would do, for the lab to show what each part is worth. The node leaves them alone.
  bool many_accusers = true, vouches = true, majority = true, self_doubt = true;
  bool refutes = true, ordered = true;  // without these it is broken, which the explorer must see
};

// How a node stands in another's view.
enum class Standing : std::uint8_t { kJoining, kAlive, kSuspect, kLeaving, kDead, kLeft };
const char* Name(Standing standing);

struct HistoryLine {
  Time at = 0;
  const char* what = "";  // a reason word
  std::string by;
};

struct ViewMember {
  Record record;
  Standing standing = Standing::kJoining;
  Time since = 0;                     // of this standing
  Time round_trip = 0;                // when this node last reached it there and back; 0: never
  std::vector<std::string> accusers;  // that count now
  std::vector<std::string> vouchers;  // the same
  std::vector<HistoryLine> history;   // the newest, at most kHistory
};
inline constexpr std::size_t kHistory = 8;

// One thing that happened, for logs and for people. `what` is a reason word (docs/operators-membership.md).
struct Note {
  const char* what = "";
  std::string member, by;
  std::uint64_t incarnation = 0;
  Time span = 0;  // of a pause
};

struct Send {
  std::string to;  // ip:port
  Message message;
};
// What the host is to do, in order.
struct Actions {
  std::vector<Send> sends;             // as datagrams
  std::vector<std::string> exchanges;  // addresses with which to exchange all records, over a connection
  std::vector<Note> notes;
  void Clear() {
    sends.clear();
    exchanges.clear();
    notes.clear();
  }
};

class Model {
 public:
  using Draw = std::function<std::uint64_t()>;  // 64 random bits

  // `self` with its first incarnation and its uid; `now` on the host's own steady clock.
  Model(Options options, Record self, Time now, Draw draw);

  // The same again, drawing from elsewhere: for explorers. A plain copy would point into the original.
  Model Clone(Draw draw) const;
  Model(Model&&) = default;
  Model& operator=(Model&&) = default;
  ~Model() = default;

  // The host calls this every step().
  Time step() const { return std::max<Time>(1000, options_.period / 10); }
  void Tick(Time now, Actions& out);
  // A datagram from `address`. Whether the cluster and the reader's version fit was checked by Fits.
  void Receive(Time now, const std::string& address, const Message& message, Actions& out);
  // An exchange: what this node tells, and what the other side told. `dialled`: this node asked for it.
  Message StateMessage() const;
  void OnState(Time now, const Message& message, bool dialled, Actions& out);
  // A message with nothing but news, to some member: for what rides along.
  void Chat(Time now, Actions& out);

  // Empty: the message is for this node; else a reason word.
  const char* Misfit(const Message& message) const;

  // In order: first Leave (still serving), then Left with the last words.
  void Leave(Time now, Actions& out);
  void Left(Time now, Actions& out);

  // The view.
  const Record& self() const { return self_; }
  bool joined() const { return joined_; }
  bool refused() const { return refused_; }  // another node has this name
  bool in_doubt() const { return in_doubt_; }
  bool settled() const { return settled_; }
  Time settled_since() const { return settled_since_; }
  std::size_t live() const;  // members that are alive, suspect or leaving, this node among them
  std::size_t settled_size() const { return settled_view_.size(); }
  std::uint64_t view_version() const { return view_version_; }  // counts up with every change of who is in it
  int health() const { return health_; }                        // 0: well, to 8: in trouble
  std::vector<ViewMember> View(Time now) const;                 // without this node, by name
  std::optional<ViewMember> Find(Time now, const std::string& name) const;
  Standing StandingOf(const std::string& name) const;  // kLeft: unknown
  std::size_t known() const { return members_.size(); }
  std::size_t news() const { return news_.size(); }
  std::uint64_t dropped() const { return dropped_; }  // records and news for which there was no room
  const Options& options() const { return options_; }

 private:
  Model(const Model&) = default;
  static constexpr std::size_t kNowhere = static_cast<std::size_t>(-1);
  struct Member {
    Record record;
    bool proven = false;         // this node has reached it there and back since it came
    bool settled = false;        // its name is in settled_view_
    std::optional<Record> back;  // of one that is gone: it is said to have come back, which is to be proven
    Time first = 0, since = 0, round_trip = 0, suspect_since = 0, gone_at = 0, next_try = 0;
    Time spoken_at = 0;  // others said that they could not reach it, while it was not proven here
    int tries = 0;
    std::uint32_t schema = kNeeds;
    std::vector<Ballot> ballots;
    std::vector<HistoryLine> history;
    std::size_t live_at = kNowhere;  // its place in live_
    bool live() const { return proven && (record.state == State::kAlive || record.state == State::kLeaving); }
    bool gone() const { return Gone(record); }
    const std::string& address() const { return back ? back->address : record.address; }
  };
  struct Probe {
    std::uint64_t seq = 0;
    std::uint64_t ask_seq = 0;  // of what helpers are asked: their answers are not the target's own
    std::string target;
    Time began = 0, timeout = 0, ends = 0;
    int pings = 0;
    std::size_t asked = 0, nacks = 0;
    bool indirect = false;
  };
  struct Relay {  // an ask that this node carries out
    std::uint64_t seq = 0, asker_seq = 0;
    std::string target, asker_address;
    Time nack_at = 0, ends = 0;
    bool nacked = false;
  };

  static constexpr std::size_t kMostProbes = 64, kMostRelays = 64, kMostBallots = 16, kMostUnproven = 256;

  Member* Get(std::string_view name);
  const Member* Get(std::string_view name) const { return const_cast<Model*>(this)->Get(name); }
  Member& Add(const std::string& name);
  void Remove(const std::string& name);
  Time Scaled(Time span) const { return span * (1 + health_); }
  // What is waited for before this node doubts itself grows with its trouble too, but not without end.
  Time Doubled(Time span) const { return health_ > 0 ? 2 * span : span; }
  Time Periods(double n) const { return static_cast<Time>(n * static_cast<double>(options_.period)); }
  Time SuspicionTime() const;
  Time VouchLasts() const { return Periods(3); }
  std::size_t Needed(const Member& m) const;
  void Well(int by);
  void Tell(Actions& out, Time now, const char* what, const std::string& member, const std::string& by,
            std::uint64_t incarnation = 0, Time span = 0);
  void ToldOf(Member& m, Time now, const char* what, const std::string& by, Actions& out);

  Message Make(Kind kind, std::uint64_t seq) const;
  void Post(Time now, const std::string& to, Message message, const std::string& about, std::uint32_t schema,
            Actions& out);
  void Spread(Time now, News news);
  void SpreadRecord(Time now, const Record& record);
  void SpreadBallot(Time now, const Member& m, const Ballot& ballot);

  void Raise(Time now, std::uint64_t above, Actions& out);  // refutes
  void Learn(Time now, const Record& record, const std::string& by, Actions& out);
  void LearnOfSelf(Time now, const Record& record, const std::string& by, Actions& out);
  void LearnBallot(Time now, const News& news, Actions& out);
  void TakeNews(Time now, const Message& message, Actions& out);
  void SetGone(Time now, Member& m, const Record& record, const std::string& by, Actions& out);
  void Prove(Time now, Member& m, Actions& out);
  void Reached(Time now, Member& m, Actions& out);
  bool MayAccuse(Time now, const Member& m) const;
  void Accuse(Time now, Member& m, Actions& out);
  std::uint64_t NextBallot(Time now);
  void Cast(Time now, Member& m, bool vouch);
  bool Observes(const Member& m) const;
  std::vector<std::string> Accusers(const Member& m, Time now) const;
  bool Vouched(const Member& m, Time now) const;
  std::vector<std::string> Vouchers(const Member& m, Time now) const;
  Standing StandingOf(const Member& m) const;

  void StartProbe(Time now, Member& m, Actions& out);
  void PingOnce(Time now, Probe& p, Actions& out);
  void AskHelpers(Time now, Probe& p, Actions& out);
  void RunProbes(Time now, Actions& out);
  void RunRelays(Time now, Actions& out);
  void RunNewcomers(Time now, Actions& out);
  void RunSuspects(Time now, Actions& out);
  bool Census(Time now, Time since, Actions& out);
  template <typename Which>
  std::size_t SuspectsOfView(const Which& which) const {  // live and in the settled view
    return static_cast<std::size_t>(
        std::count_if(suspects_.begin(), suspects_.end(), [&](const std::string& name) {
          const Member* m = Get(name);
          return m != nullptr && m->settled && m->live() && which(*m);
        }));
  }
  void RunGossip(Time now, Actions& out);
  void RunJoin(Time now, Actions& out);
  void RunView(Time now, Actions& out);
  void Forget(Time now);
  void Pause(Time now, Time span, Actions& out);
  void Awake(Time now, Actions& out);
  const std::vector<Member*>& Live() const { return live_; }
  void List(Member& m);  // in live_ or not, as it is
  void Changed(Time now);

  Options options_;
  Record self_;
  Draw draw_;
  std::map<std::string, Member> members_;                  // their places stay
  std::unordered_map<std::string_view, Member*> by_name_;  // members_, for quick looks; its keys are theirs
  std::vector<Member*> live_;                              // of members_, in no order
  std::vector<std::string> round_;                         // whom to probe in this round, from the back
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  NewsQueue news_;
  std::set<std::string> suspects_, unproven_;
  std::set<std::string> settled_view_;  // names, this node among them; empty: never settled
  std::vector<std::string> census_;     // whom this node looked at before a death
  Time census_at_ = 0, next_forget_ = 0;
  std::size_t settled_live_ = 0;  // of the settled view, without this node: those that are live
  bool census_whole_ = false;
  std::uint64_t view_version_ = 1, last_ballot_ = 0, dropped_ = 0;
  Time last_tick_ = 0, next_probe_ = 0, next_gossip_ = 0, next_exchange_ = 0, next_view_ = 0, hold_until_ = 0;
  Time last_reached_ = 0, changed_at_ = 0, settled_since_ = 0, refused_at_ = 0, conflict_told_ = 0,
       began_ = 0;
  int health_ = 0;
  std::size_t seed_ = 0;
  bool joined_ = false, refused_ = false, in_doubt_ = false, settled_ = false, ever_settled_ = false;
};

}  // namespace ryeglade::membership
