// What a node tells all others: what comes to it, what it has seen of replicas, which beginnings it gets. As
// values, and as bytes on the membership's messages. What comes from a peer is untrusted: every length, range
// and count is checked here, and a word that does not hold is turned down whole with a reason. No I/O.
//
// A MessagePack array: form (1), node, age in ms, life, number, rate in hundredths, flags, accused,
// [claims...], [beginnings...]. A reader passes over fields behind those that it knows, and turns down other
// forms.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::gossip {

using policy::Time;  // microseconds, steady

inline constexpr double kMostRate = 1e6;            // requests a second that a word may claim
inline constexpr std::size_t kMostClaims = 20;      // replicas that a word tells of
inline constexpr std::size_t kMostBeginnings = 12;  // and beginnings
inline constexpr Time kMostRest = 60'000'000;       // spans beyond this are told as this
inline constexpr Time kMostAge = 60'000'000;        // an older word is not passed on
inline constexpr std::size_t kMostWord = 1'150;     // bytes, so that one always fits a datagram

// What a node has seen of one replica itself. `started_at` is the replica's incarnation: a claim about one
// that has started anew since says nothing of it.
struct Claim {
  policy::ReplicaId replica = 0;
  Time started_at = 0;
  int failures = 0;  // in a row, 0 to 255
  Time rests = 0;    // for so long from the word on the node sends nothing there; 0: it does
  Time last = -1;    // so long before the word its last outcome came, which was an answer if `failures` is 0;
                     // -1: not within kMostRest
  double slow = 0;   // mean ln(observed / expected) of its answers there, -4 to 4
  double slow_n = 0;  // how many answers that rests on, 0 to 255
  int out = 0;        // attempts out there, 0 to 255
  Time waits = 0;     // for so long no answer has begun there though some are waited for; 0: not so
};

struct BeginningRate {
  std::uint64_t beginning = 0;
  double rate = 0;  // requests a second, at most kMostRate
};

// `number` rises with each word of one process, `life` with each process.
struct Word {
  std::uint64_t life = 0, number = 0;
  double rate = 0;     // requests a second that come to it
  bool doubt = false;  // the node doubts its own sight: what it says of replicas counts for nothing
  int accused = 0;     // replicas that fail for it, also those that are not among the claims
  std::vector<Claim> claims;
  std::vector<BeginningRate> beginnings;
};

struct Telling {
  std::string node;
  Time age = 0;  // since the word was made, as far as is known
  Word word;
};

// The most that counts of what any one node says comes to it, given what all say: so many times the middle
// one's. One node that lies then takes a bounded part from the others. Fewer than three: no bound.
inline constexpr double kMostOfMiddle = 8;
double MostRate(std::vector<double> rates);

std::string Encode(const Telling& telling);
// Null, and `why` a reason word: malformed, range, form.
std::optional<Telling> Decode(std::string_view bytes, const char** why);

}  // namespace ryeglade::gossip
