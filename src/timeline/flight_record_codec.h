// The flight record's own form: what the decision module was told and what it decided, as MessagePack
// records. One record is one array: its kind, then its fields in a fixed order. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::timeline {

using policy::Time;

// 6 had no DeadlineShortened and no bound on writing an attempt; 5 had nothing of what other nodes tell; 4 no
// part of the tier; 3 nothing inherited; 2 no Tier; 1 no more than Start, Decision and Gap.
inline constexpr std::uint32_t kFormat = 7;

// The first record of a process: what a Router is built from.
struct Start {
  std::uint32_t format = kFormat;
  std::string node;
  std::string settings;  // flattened, as the settings reader takes it
  std::uint64_t seed = 0;
  Time now = 0;  // Unix time in microseconds
};

// One call of Router::Handle.
struct Decision {
  Time now = 0;
  policy::Event event;
  std::vector<policy::Action> actions;
};

// Records that could not be kept, between the one before and the one after.
struct Gap {
  std::uint64_t records = 0;
};

// Who a replica is, and where. Said when it is first listed, when something of it changes, and again now and
// then for readers of a record whose beginning is gone.
struct Member {
  Time now = 0;
  policy::ReplicaId id = 0;
  std::string name, address;
  Time started_at = 0;
  policy::EndpointState phase = policy::EndpointState::kReady;
  bool again = false;  // nothing has changed
};

// Where the list of replicas comes from, and whether it could be had.
struct Roster {
  Time now = 0;
  std::string source;  // "known", "watch" or "fetch"
  std::uint64_t generation = 0;
  std::string why;  // empty: a list came; else the roster is dark, for that reason
  bool again = false;
};

// Decisions that came faster than the record's budget allows, counted instead of kept.
struct BurstReplica {
  policy::ReplicaId id = 0;
  std::uint64_t sent = 0, served = 0, failed = 0;
};
struct Burst {
  Time first = 0, last = 0;
  std::uint64_t decisions = 0;
  std::uint64_t arrived = 0, sent = 0, refused = 0, failed = 0, lists = 0;
  std::vector<std::uint64_t> outcomes;  // of attempts, by policy::Outcome
  std::vector<BurstReplica> replicas;   // the first that were met
  std::uint64_t elsewhere = 0;          // attempts at others
};

// A reason, where the record keeps them; else a replay tells them.
struct Note {
  Time now = 0;
  std::variant<policy::DispatchRecord, policy::ConclusionRecord, policy::EjectionRecord> what;
};

// Something departed from the usual, or is back.
enum class UnusualKind : std::uint8_t {
  kErrors,
  kFirstToken,
  kLoad,
  kRefusals,
  kShare,
  kRosterDark,
  kRosterBehind,
  kRosterContradicted,
  kCount
};
struct Unusual {
  Time now = 0;
  std::uint64_t number = 0;  // the same at its end
  bool begins = true;
  UnusualKind kind = UnusualKind::kErrors;
  bool fleet = false;  // of all replicas together
  policy::ReplicaId replica = 0;
  Time since = 0;     // when it began to depart, as far as can be told
  double before = 0;  // the figure before, and while it lasts (at the end: over all of it)
  double during = 0;
  double peers = 0;  // that of the others at the time
};

// What clients call a request. The number by which the module knows it comes again once the request is over.
struct Named {
  Time now = 0;
  policy::RequestId id = 0;
  std::string call_id;
};

// Something changed among the nodes of the tier, as this node's membership has it.
struct Tier {
  Time now = 0;
  std::string what;        // a reason word of docs/operators-membership.md
  std::string member, by;  // about whom, and who said so; may be empty
  std::uint64_t value = 0;
  std::uint64_t live = 0;  // nodes in the view, this one included
};

using Record = std::variant<Start, Decision, Gap, Member, Roster, Burst, Note, Unusual, Named, Tier>;

// The replicas that a list names, in order.
std::vector<policy::ReplicaId> ListedIds(const policy::EndpointList& list);
// When it was; 0: it does not say (a gap).
Time TimeOf(const Record& record);
const char* Name(UnusualKind kind);

// Appends the record's bytes.
void EncodeAny(const Record& record, std::string& out);
void Encode(const Start& start, std::string& out);
void Encode(Time now, const policy::Event& event, const std::vector<policy::Action>& actions,
            std::string& out);
void Encode(const Gap& gap, std::string& out);
void Encode(const Member& member, std::string& out);
void Encode(const Roster& roster, std::string& out);
void Encode(const Burst& burst, std::string& out);
void Encode(const Note& note, std::string& out);
void Encode(const Unusual& unusual, std::string& out);
void Encode(const Named& named, std::string& out);
void Encode(const Tier& tier, std::string& out);

// Reads all records of a block; throws std::runtime_error for bytes that are none. What was read before is in
// `out`.
void Decode(std::string_view block, std::vector<Record>& out);

// In words, for people: one line without a line end.
std::string Words(const Record& record);
// The same bytes mean the same action.
std::string ActionBytes(const std::vector<policy::Action>& actions);

}  // namespace ryeglade::timeline
