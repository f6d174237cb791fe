// Encodes messages as bytes, in the same format for datagrams and push-pull exchanges, and decodes them.
// Input from a peer is untrusted: every length, range and count is checked here, and a message that violates
// one is rejected as a whole, with a reason. No I/O.
//
// "RGM", u8 format version (1), u64 XXH3 of the rest (little-endian), then a MessagePack array:
//   schema, minimum reader schema, cluster, record, kind, seq, target, target address, [updates...]
//   record: name, address, zone, incarnation, uid, state, [reporters...]
//   update: 0, record   or   1, name, incarnation, reporter, reachable, seq, age in us
//           or   2, bytes: a gossip payload (gossip/gossip_message_codec.h)
// A reader skips fields after those that it knows, and kinds of updates that it does not know.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "membership/member_record_model.h"

namespace ryeglade::membership {

inline constexpr std::size_t kMaxDatagramBytes = 1400;
inline constexpr std::size_t kMaxPushPullBytes = std::size_t{1024} * 1024;  // of one message
inline constexpr std::size_t kMaxReceivedUpdates = std::size_t{16} * 1024;  // in one message

// Returns the message as bytes. Does not check them against the limits above.
std::string Encode(const Message& message);
// Returns nullopt if the message is rejected, and sets `why` to the reason: not-ours, checksum, malformed or
// range.
std::optional<Message> Decode(std::string_view bytes, const char** why);

}  // namespace ryeglade::membership
