// What nodes tell each other of each other: records, ballots, and the messages that carry them. Plain values
// with the one rule by which two records of a member are put in order. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::membership {

using policy::Time;

// As told by records. *Suspect* and *joining* are each node's own reading (see Standing).
enum class State : std::uint8_t { kAlive, kLeaving, kDead, kLeft, kCount };
const char* Name(State state);

// One member as some node knows it. `uid` is drawn by each process at its start, its upper bits the time of
// the start, so that of two processes the older has the lower one. `incarnation` is raised by its owner only.
struct Record {
  std::string name;     // 1 to kMostName letters
  std::string address;  // ip:port where its datagrams and exchanges arrive
  std::string zone;     // may be empty
  std::uint64_t incarnation = 0;
  std::uint64_t uid = 0;
  State state = State::kAlive;
  std::vector<std::string> accusers;  // of a dead one: who could not reach it
};

inline constexpr std::size_t kMostName = 64, kMostZone = 32, kMostAddress = 64, kMostAccusers = 8;

// Whether `a` says more than `b` of the same process: a higher incarnation, or at the same one a later state.
// Any order and any repetition of merges by this rule ends the same.
bool Supersedes(const Record& a, const Record& b);

// What one node says of another that it tried to reach there and back: it could not (an accusation) or it
// could (a vouch). The newest `seq` of each speaker counts.
struct Ballot {
  std::string by;
  bool vouch = false;
  std::uint64_t seq = 0;  // the speaker's, rising
  Time at = 0;            // when it was cast, on the holder's clock
};

// One piece of news.
struct News {
  enum class Kind : std::uint8_t { kRecord, kBallot, kCount } kind = Kind::kRecord;
  Record record;  // of a ballot: name and incarnation of whom it is about
  Ballot ballot;  // `at` is not sent; `age` is
  Time age = 0;   // microseconds since the ballot was cast, as far as is known; 0 to kMostAge
};
inline constexpr Time kMostAge = 600'000'000;

enum class Kind : std::uint8_t {
  kPing,     // answer me
  kAsk,      // ping `target` for me
  kAck,      // to a ping, or to an ask whose target answered
  kNack,     // to an ask whose target has not answered yet
  kNews,     // nothing but news
  kRefused,  // you can't have that name: the record that holds it is in the news
  kState,    // an exchange: all records that the sender holds
  kCount
};

// The version of what is written, and the lowest version of a reader that takes it rightly. Fields and kinds
// are only ever added, and a reader passes over what it does not know; when that does not do, `needs` rises.
//   1  records, accusations
//   2  vouches
inline constexpr std::uint32_t kSchema = 2, kNeeds = 1;

struct Message {
  std::uint32_t schema = kSchema, needs = kNeeds;
  std::string cluster;
  Record from;  // the sender, its own word
  Kind kind = Kind::kPing;
  std::uint64_t seq = 0;
  std::string target, target_address;  // of an ask
  std::vector<News> news;
  std::vector<std::string> words;  // of the tier, behind the news; not read here
};
inline constexpr std::size_t kMostWords = 32;            // in one message
inline constexpr std::size_t kWordOverhead = 1 + 1 + 3;  // bytes beside each

// An upper bound of what it takes in a message.
std::size_t SizeOf(const Record& record);
inline bool Gone(const Record& record) {
  return record.state == State::kDead || record.state == State::kLeft;
}
std::uint64_t Hash(std::string_view text, std::uint64_t seed = 0);  // the same at every node
std::size_t SizeOf(const News& news);
inline constexpr std::size_t kMessageHead = 96;  // beside the sender's record and the texts

}  // namespace ryeglade::membership
