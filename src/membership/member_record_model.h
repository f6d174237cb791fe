// What nodes tell each other about members: records, reachability reports, and the messages that carry them.
// Plain values, with the one rule by which two records of a member are ordered. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::membership {

using policy::Time;

// A member's state as records spread it. *Suspect* and *joining* are each node's own view (MemberState).
// The numbers are those on the wire.
enum class RecordState : std::uint8_t { kAlive, kLeaving, kDead, kLeft, kCount };
const char* Name(RecordState state);

// One member as some node knows it. `uid` is drawn by each process at its start, its upper bits the time of
// the start, so that of two processes the older has the lower one. `incarnation` is raised by its owner only.
struct MemberRecord {
  std::string name;     // 1 to kMaxNameBytes
  std::string address;  // ip:port where its datagrams and push-pull exchanges arrive
  std::string zone;     // may be empty
  std::uint64_t incarnation = 0;
  std::uint64_t uid = 0;
  RecordState state = RecordState::kAlive;
  std::vector<std::string> reporters;  // of a dead one: who reported it as unreachable
};

inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxZoneBytes = 32;
inline constexpr std::size_t kMaxAddressBytes = 64;
inline constexpr std::size_t kMaxRecordReporters = 8;

// Whether `a` overrides `b` of the same process: a higher incarnation, or at the same one a later state.
// Merging by this rule ends the same in any order and with any repetition.
bool Supersedes(const MemberRecord& a, const MemberRecord& b);
inline bool IsGone(const MemberRecord& record) {
  return record.state == RecordState::kDead || record.state == RecordState::kLeft;
}

// What one node reports of a member that it tried to reach there and back: it could not (a suspicion), or it
// could, which speaks against the suspicions of others. The newest `seq` of each reporter counts.
struct ReachabilityReport {
  std::string reporter;
  bool reachable = false;
  std::uint64_t seq = 0;  // the reporter's, rising
  Time made_at = 0;       // on the clock of the node that has it
};

// One piece of information that spreads by gossip.
struct Update {
  // message_codec.cpp maps these to numbers on the wire.
  enum class Kind : std::uint8_t { kRecord, kReport, kCount };
  Kind kind = Kind::kRecord;
  MemberRecord record;        // of a report: name and incarnation of the member that it is about
  ReachabilityReport report;  // `made_at` is not sent; `age` is
  Time age = 0;  // microseconds since the report was made, as far as is known; 0 to kMaxReportAge
};
inline constexpr Time kMaxReportAge = 600'000'000;

// The numbers are those on the wire.
enum class MessageKind : std::uint8_t {
  kPing,         // direct probe: to be answered
  kPingRequest,  // indirect probe: ping `target` for the sender
  kAck,          // to a ping, or to a ping request whose target answered
  kNack,         // to a ping request whose target has not answered yet
  kUpdates,      // nothing but updates
  kNameRefused,  // the sender of a message can't have its name: the record that has it is among the updates
  kPushPull,     // all records that the sender has
  kCount
};

// The schema of what is written, and the lowest schema of a reader that understands it. Fields and kinds are
// only ever added, and a reader passes over what it does not know; when that does not do, the minimum rises.
//   1  records, reports of unreachable members
//   2  reports of reachable members
inline constexpr std::uint32_t kSchema = 2;
inline constexpr std::uint32_t kMinReaderSchema = 1;

// What a datagram or one side of a push-pull exchange carries.
struct Message {
  std::uint32_t schema = kSchema;
  std::uint32_t min_reader_schema = kMinReaderSchema;
  std::string cluster;
  MemberRecord sender;
  MessageKind kind = MessageKind::kPing;
  std::uint64_t seq = 0;
  std::string target;  // of a ping or a ping request
  std::string target_address;
  std::vector<Update> updates;
  std::vector<std::string> gossip;  // payloads of src/gossip behind the updates; not read here
};
inline constexpr std::size_t kMaxGossipPayloads = 32;             // in one message
inline constexpr std::size_t kGossipPayloadOverhead = 1 + 1 + 3;  // bytes beside each payload
inline constexpr std::size_t kMessageHeaderBytes = 96;            // beside the sender's record and the texts

// Upper bounds of the bytes that each takes in a message.
std::size_t EncodedSize(const MemberRecord& record);
std::size_t EncodedSize(const Update& update);

// The same at every node.
std::uint64_t Hash(std::string_view text, std::uint64_t seed = 0);

}  // namespace ryeglade::membership
