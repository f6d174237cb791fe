// Encoding of the flight record: the events given to the decision module and the actions it decided on, as
// MessagePack records. Each record is one array: its kind, then its fields in a fixed order. Performs no I/O
// and reads no clock.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::timeline {

using policy::Time;

// Format version of the record. Format 6 lacks DeadlineShortened and SendAttempt::write_within; 5 also lacks
// PeerReportsReceived and PrefixTrafficReceived; 4 lacks TrafficShareChanged; 3 lacks StateRestored; 2 lacks
// ClusterEventRecord; 1 has only Start, Decision and Gap.
inline constexpr std::uint32_t kFormat = 7;

// The first record of a process: the arguments that its Router was built from.
struct Start {
  std::uint32_t format = kFormat;
  std::string node;
  std::string settings;    // flattened `key=value` lines, as the settings reader expects them
  std::uint64_t seed = 0;  // of the Router
  Time now = 0;            // Unix time in microseconds
};

// One call of Router::Handle.
struct Decision {
  Time now = 0;
  policy::Event event;
  std::vector<policy::Action> actions;
};

// Records are missing between the record before and the record after.
struct Gap {
  std::uint64_t records = 0;  // number of missing records; 0 if not known
};

// Identity and address of a replica. Written when the replica is first listed and when one of the fields
// changes, and repeated periodically for readers of a record whose beginning has been deleted.
struct EndpointRecord {
  Time now = 0;
  policy::ReplicaId id = 0;
  std::string name, address;
  Time started_at = 0;
  policy::EndpointState state = policy::EndpointState::kReady;
  bool repeated = false;  // a periodic repetition; nothing has changed
};

// The source of the endpoint list, and whether the list was available.
struct EndpointListRecord {
  Time now = 0;
  std::string source;              // "known" (cached), "watch" or "fetch"
  std::uint64_t generation = 0;    // of the list, or the last known generation if it was not available
  std::string unavailable_reason;  // why no list was received; empty if one was
  bool repeated = false;           // a periodic repetition; nothing has changed
};

// Decisions that exceeded the record's byte budget: they are counted instead of recorded.
struct CoalescedReplica {
  policy::ReplicaId id = 0;
  std::uint64_t sent = 0, served = 0, failed = 0;  // attempts
};
struct CoalescedDecisions {
  Time first = 0, last = 0;                // times of the first and of the last counted decision
  std::uint64_t decisions = 0;             // all counted decisions
  std::uint64_t arrived = 0;               // requests
  std::uint64_t sent = 0;                  // attempts
  std::uint64_t rejected = 0;              // requests
  std::uint64_t failed = 0;                // requests
  std::uint64_t endpoint_lists = 0;        // endpoint lists received
  std::vector<std::uint64_t> outcomes;     // attempts that ended, by policy::Outcome
  std::vector<CoalescedReplica> replicas;  // the first Coalescer::kMaxReplicas that occurred, by id
  std::uint64_t other_attempts = 0;        // attempts sent or ended at other replicas
};

// The reason of a decision. Present only if the node records reasons; otherwise a replay determines them.
struct ReasonRecord {
  Time now = 0;
  std::variant<policy::DispatchRecord, policy::ConclusionRecord, policy::EjectionRecord> reason;
};

// What deviates in an anomaly.
enum class AnomalyKind : std::uint8_t {
  kErrors,                    // the share of attempts that failed
  kFirstToken,                // the time to first token, as a multiple of the expected time
  kLoad,                      // the load that replicas report
  kRejections,                // the share of attempts rejected by a replica at capacity
  kTrafficShare,              // the attempts sent to a replica, over the mean of the ready replicas
  kEndpointListUnavailable,   // no endpoint list is received
  kEndpointListStale,         // only the cached endpoint list is known
  kEndpointListContradicted,  // a replica that is listed as ready refuses connects
  kCount
};
// An anomaly begins or ends: a metric deviates from its baseline, or has returned to it.
struct Anomaly {
  Time now = 0;
  std::uint64_t number = 0;  // identifies the anomaly; the same in its begin and end records
  bool begins = true;        // false in the end record
  AnomalyKind kind = AnomalyKind::kErrors;
  bool fleet = false;             // concerns all replicas together
  policy::ReplicaId replica = 0;  // not used if `fleet` is set
  Time since = 0;                 // estimated begin of the deviation
  double baseline = 0;            // median of the metric before the deviation
  // At the begin the current value, at the end the mean over the anomaly. For an endpoint list: the duration
  // in seconds when it is available again, or the number of refused connects when it is contradicted.
  double during = 0;
  double peers = 0;  // median over all replicas when the anomaly began
};

// The client's id of a request. The decision module reuses `id` after the request has concluded.
struct CallIdRecord {
  Time now = 0;
  policy::RequestId id = 0;
  std::string call_id;
};

// A change in the cluster membership, as this node sees it.
struct ClusterEventRecord {
  Time now = 0;
  std::string what;         // a reason code of docs/operators/membership.md
  std::string member, by;   // the node concerned, and the node that reported the change; may be empty
  std::uint64_t value = 0;  // its meaning depends on the reason code
  std::uint64_t live = 0;   // live nodes in the view, including this one
};

using Record = std::variant<Start, Decision, Gap, EndpointRecord, EndpointListRecord, CoalescedDecisions,
                            ReasonRecord, Anomaly, CallIdRecord, ClusterEventRecord>;

// Returns the ids of the replicas in the list, sorted.
std::vector<policy::ReplicaId> ListedIds(const policy::EndpointList& list);
// Returns the time of the record, or 0 for a Gap, which has none.
Time RecordTime(const Record& record);
const char* Name(AnomalyKind kind);  // the name in output and logs; "?" for an unknown value

// Each appends the encoded record to `out`.
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

// Appends all records of a block to `out`. Throws std::runtime_error at bytes that are not a valid record;
// the records before them have been appended.
void Decode(std::string_view block, std::vector<Record>& out);

// Returns the encoded actions, for comparison: equal actions have equal bytes.
std::string ActionBytes(const std::vector<policy::Action>& actions);

}  // namespace ryeglade::timeline
