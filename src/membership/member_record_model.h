// What nodes send each other about members: records, reachability reports, and the messages that carry them.
// Plain values, and the rule that orders two records of the same member. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::membership {

using policy::Time;

// A member's state as its record carries it to all nodes. The states *suspect* and *joining* are not sent:
// they exist only in each node's own view (MemberState). The numeric values are used on the wire.
enum class RecordState : std::uint8_t { kAlive, kLeaving, kDead, kLeft, kCount };
const char* Name(RecordState state);

// One member as a node knows it. Each process generates its `uid` when it starts: the time of the start in
// the upper bits and random lower bits, so that of two processes the older one has the lower uid. Only the
// member itself raises its `incarnation`.
struct MemberRecord {
  std::string name;     // 1 to kMaxNameBytes bytes
  std::string address;  // ip:port at which it receives datagrams and push-pull exchanges
  std::string zone;     // may be empty
  std::uint64_t incarnation = 0;
  std::uint64_t uid = 0;
  RecordState state = RecordState::kAlive;
  std::vector<std::string> reporters;  // of a dead member: the nodes that reported it as unreachable
};

inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxZoneBytes = 32;
inline constexpr std::size_t kMaxAddressBytes = 64;
inline constexpr std::size_t kMaxRecordReporters = 8;  // in one record

// Returns whether record `a` of a member overrides record `b`: it has a higher incarnation, or the same
// incarnation and a later state. Merging records by this rule gives the same result in any order and with any
// number of repetitions.
bool Supersedes(const MemberRecord& a, const MemberRecord& b);
inline bool IsGone(const MemberRecord& record) {
  return record.state == RecordState::kDead || record.state == RecordState::kLeft;
}

// The result of one node's attempt to reach a member by a round trip: unreachable (a suspicion), or
// reachable, which contradicts the suspicions of others. Of the reports of one reporter the one with the
// highest `seq` counts.
struct ReachabilityReport {
  std::string reporter;
  bool reachable = false;
  std::uint64_t seq = 0;  // the reporter's sequence number; rises with each of its reports
  Time made_at = 0;       // on the clock of the node that holds the report, microseconds
};

// One record or report, the unit that spreads through the cluster by gossip.
struct Update {
  // message_codec.cpp maps these to numbers on the wire.
  enum class Kind : std::uint8_t { kRecord, kReport, kCount };
  Kind kind = Kind::kRecord;
  MemberRecord record;        // in a report only the name and incarnation of the member that it is about
  ReachabilityReport report;  // sent with `age` in place of its `made_at`
  Time age = 0;               // time since the report was made, 0 to kMaxReportAge microseconds; without the
                              // time it spent in transit, which is not known
};
inline constexpr Time kMaxReportAge = 600'000'000;  // microseconds

// The numeric values are used on the wire.
enum class MessageKind : std::uint8_t {
  kPing,         // direct probe; the receiver answers with an ack
  kPingRequest,  // indirect probe; the receiver pings `target` on behalf of the sender
  kAck,          // answer to a ping, or to a ping request whose target answered
  kNack,         // answer to a ping request whose target has not answered yet
  kUpdates,      // carries updates only; not answered
  kNameRefused,  // the receiver's name belongs to another node, whose record is among the updates
  kPushPull,     // carries the sender's records of all members that are verified, dead or left
  kCount
};

// The schema version of what this program writes, and the lowest schema version of a reader that understands
// it. Fields and kinds are only ever added, and a reader skips those that it does not know. A change that
// such a reader would misunderstand raises the minimum.
//   1  records, reports of unreachable members
//   2  adds reports of reachable members
inline constexpr std::uint32_t kSchema = 2;
inline constexpr std::uint32_t kMinReaderSchema = 1;

// The content of a datagram, or of one direction of a push-pull exchange.
struct Message {
  std::uint32_t schema = kSchema;
  std::uint32_t min_reader_schema = kMinReaderSchema;
  std::string cluster;
  MemberRecord sender;
  MessageKind kind = MessageKind::kPing;
  std::uint64_t seq = 0;       // chosen by the sender of a ping or ping request; its answer repeats it
  std::string target;          // name of the member that a ping or ping request is for
  std::string target_address;  // ip:port of the target of a ping request
  std::vector<Update> updates;
  std::vector<std::string> gossip;  // payloads of src/gossip, encoded after the updates; not decoded here
};
inline constexpr std::size_t kMaxGossipPayloads = 32;  // in one message
// Bytes that each payload takes in addition: array header, kind of update, header of the binary data.
inline constexpr std::size_t kGossipPayloadOverhead = 1 + 1 + 3;
// Upper bound of the bytes of a message without the sender's record, the text fields and the updates.
inline constexpr std::size_t kMessageHeaderBytes = 96;

// Upper bounds of the number of bytes that a record or an update takes in a message.
std::size_t EncodedSize(const MemberRecord& record);
std::size_t EncodedSize(const Update& update);

// A hash that is the same at every node.
std::uint64_t Hash(std::string_view text, std::uint64_t seed = 0);

}  // namespace ryeglade::membership
