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
// part of the tier; 3 nothing inherited; 2 no ClusterEventRecord; 1 no more than Start, Decision and Gap.
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

// Identity and address of a replica. Written when it is first listed, when something of it changes, and
// repeated now and then for readers of a record whose beginning is gone.
struct EndpointRecord {
  Time now = 0;
  policy::ReplicaId id = 0;
  std::string name, address;
  Time started_at = 0;
  policy::EndpointState state = policy::EndpointState::kReady;
  bool repeated = false;  // nothing has changed
};

// Where the endpoint list comes from, and whether it could be had.
struct EndpointListRecord {
  Time now = 0;
  std::string source;  // "known", "watch" or "fetch"
  std::uint64_t generation = 0;
  std::string unavailable_reason;  // empty: a list came
  bool repeated = false;
};

// Decisions that came faster than the record's budget allows, counted instead of kept.
struct CoalescedReplica {
  policy::ReplicaId id = 0;
  std::uint64_t sent = 0, served = 0, failed = 0;
};
struct CoalescedDecisions {
  Time first = 0, last = 0;
  std::uint64_t decisions = 0;
  std::uint64_t arrived = 0, sent = 0, rejected = 0, failed = 0, endpoint_lists = 0;
  std::vector<std::uint64_t> outcomes;     // of attempts, by policy::Outcome
  std::vector<CoalescedReplica> replicas;  // the first that were met
  std::uint64_t other_attempts = 0;        // at replicas beyond those
};

// The reason of a decision, where the record keeps them; else a replay finds them.
struct ReasonRecord {
  Time now = 0;
  std::variant<policy::DispatchRecord, policy::ConclusionRecord, policy::EjectionRecord> reason;
};

// A metric has departed from its baseline, or is back.
enum class AnomalyKind : std::uint8_t {
  kErrors,
  kFirstToken,
  kLoad,
  kRejections,
  kTrafficShare,
  kEndpointListUnavailable,
  kEndpointListStale,
  kEndpointListContradicted,
  kCount
};
struct Anomaly {
  Time now = 0;
  std::uint64_t number = 0;  // the same at its end
  bool begins = true;
  AnomalyKind kind = AnomalyKind::kErrors;
  bool fleet = false;  // of all replicas together
  policy::ReplicaId replica = 0;
  Time since = 0;       // when the departure began, as far as can be told
  double baseline = 0;  // the metric before,
  double during = 0;    // while it lasts (at the end: over all of it),
  double peers = 0;     // and at the other replicas at the time
};

// What clients call a request. The module uses its number again once the request has concluded.
struct CallIdRecord {
  Time now = 0;
  policy::RequestId id = 0;
  std::string call_id;
};

// Something changed among the nodes of the cluster, as this node's membership has it.
struct ClusterEventRecord {
  Time now = 0;
  std::string what;        // a reason word of docs/operators/membership.md
  std::string member, by;  // about whom, and who reported it; may be empty
  std::uint64_t value = 0;
  std::uint64_t live = 0;  // nodes in the view, this one included
};

using Record = std::variant<Start, Decision, Gap, EndpointRecord, EndpointListRecord, CoalescedDecisions,
                            ReasonRecord, Anomaly, CallIdRecord, ClusterEventRecord>;

// The replicas that a list names, in order.
std::vector<policy::ReplicaId> ListedIds(const policy::EndpointList& list);
// When it was; 0: it does not say (a gap).
Time RecordTime(const Record& record);
const char* Name(AnomalyKind kind);

// Appends the record's bytes.
void EncodeRecord(const Record& record, std::string& out);
void Encode(const Start& start, std::string& out);
void Encode(Time now, const policy::Event& event, const std::vector<policy::Action>& actions,
            std::string& out);
void Encode(const Gap& gap, std::string& out);
void Encode(const EndpointRecord& endpoint, std::string& out);
void Encode(const EndpointListRecord& list, std::string& out);
void Encode(const CoalescedDecisions& coalesced, std::string& out);
void Encode(const ReasonRecord& reason, std::string& out);
void Encode(const Anomaly& anomaly, std::string& out);
void Encode(const CallIdRecord& call, std::string& out);
void Encode(const ClusterEventRecord& event, std::string& out);

// Reads all records of a block; throws std::runtime_error for bytes that are none. What was read before is in
// `out`.
void Decode(std::string_view block, std::vector<Record>& out);

// The same bytes mean the same action.
std::string ActionBytes(const std::vector<policy::Action>& actions);

}  // namespace ryeglade::timeline
