// Messages as bytes: the same form in a datagram and in an exchange. What comes from a peer is untrusted:
// every length, range and count is checked here, and what does not hold is turned down whole with a reason.
// No I/O.
//
// "RGM", u8 form (1), u64 XXH3 of the rest (little-endian), then a MessagePack array:
//   schema, needs, cluster, record, kind, seq, target, target address, [news...]
//   record: name, address, zone, incarnation, uid, state, [accusers...]
//   news:   0, record   or   1, name, incarnation, by, vouch, seq, age in us
//           or   2, bytes: a word of the tier (tier/word_model.h)
// A reader passes over fields behind those that it knows, and over kinds of news that it does not know.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "membership/member_record_model.h"

namespace ryeglade::membership {

inline constexpr std::size_t kMostDatagram = 1400;                   // bytes
inline constexpr std::size_t kMostState = std::size_t{1024} * 1024;  // bytes of an exchange's message
inline constexpr std::size_t kMostNewsIn = std::size_t{16} * 1024;   // pieces in one message

std::string Encode(const Message& message);
// Null, and `why` a reason word: not-ours, checksum, malformed, range.
std::optional<Message> Decode(std::string_view bytes, const char** why);

}  // namespace ryeglade::membership
