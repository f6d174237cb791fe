// Two processes of one node during a hot restart: who takes clients, when what is learned passes over, and
// how the node's limits are split. Decides only: no I/O, no clock. Each process plays it for itself, on what
// it sees of the other: whether it lives (its lease is held) and what its lease says.
//
// The young one starts beside the old one, is given what the old one knows, and takes clients; from then on
// the old one takes nothing new and finishes what it has. A young one that dies, hangs or is told to end
// while the old one is still there leaves the old one taking clients again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace ryeglade::hot_restart {

using Time = std::int64_t;  // microseconds, Unix time

inline constexpr Time kWaitForState = 1'500'000;  // a young process waits so long for what the old one knows
inline constexpr Time kSilentAfter = 2'000'000;   // a lease without a beat for so long: the process hangs

enum class Word : std::uint8_t { kStarting, kServing, kYielding, kEnding };
const char* Name(Word word);

// What a process says of itself in its lease.
struct Lease {
  std::int64_t pid = 0;
  Time started = 0;
  Word word = Word::kStarting;
  std::uint64_t beat = 0;   // counts up while its loop turns
  std::size_t sockets = 0;  // the most descriptors it allows itself
  std::size_t memory = 0;   // the most bytes of buffers it allows itself
};

// One line, checksummed. Fields that are not known are passed over.
std::string EncodeLease(const Lease& lease);
// Null: torn, or not ours.
std::optional<Lease> DecodeLease(const std::string& text);

struct Other {
  bool alive = false;
  std::optional<Lease> said;
};

struct Step {
  bool serve = false;    // start to take clients
  bool give = false;     // write what is known for the process `to`
  bool yield = false;    // take nothing new from here on
  bool take_up = false;  // take clients again
  bool alone = false;    // the other is gone: nothing of it is out any more
  std::int64_t to = 0;
  const char* why = "";
};

class Succession {
 public:
  // `beside`: another process of this node lives already.
  Succession(Time now, bool beside);
  Step Look(Time now, const Other& other);
  Step StateCame();               // what the old process knows has been taken
  Step Term(const Other& other);  // this process was told to end
  Word word() const { return word_; }
  bool yielded() const { return yielded_; }
  Time started() const { return started_; }

 private:
  bool Fresh(Time now, const Other& other);
  Step Serve(const char* why);

  Time started_, looked_ = 0, beat_at_ = 0;
  std::int64_t pid_ = 0;  // the other's, as last seen
  std::uint64_t beat_ = 0;
  std::int64_t gave_to_ = 0;
  Word word_;
  bool yielded_ = false;
  bool beside_ = false;  // somebody was there when last looked
};

// What this process may use of `total`, so that both together stay within it as soon as each has read the
// other's lease. Without another: all. The older one of two that serves leaves half, or what it does not
// hold; one that has yielded never takes more than it holds; the younger one has what the other does not
// claim, and an eighth in any case (for that long the sum may be over by so much).
std::size_t Share(std::size_t total, std::size_t used, std::size_t before, bool older, bool yielded,
                  const Other& other, std::size_t others);

}  // namespace ryeglade::hot_restart
