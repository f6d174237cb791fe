// What one key may use: requests a minute, tokens a minute, streams at once. Tokens are reserved when a
// request is admitted and settled when its answer ends. Decisions only: no I/O, no clock; time comes with
// each call.
//
// Each rate is a token bucket (generic cell rate): it holds one minute's worth and fills steadily, so that
// over any span of T minutes at most (T + 1) times the limit is admitted.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "ryeglade/router.h"

namespace ryeglade::limits {

using policy::Time;  // microseconds

struct Rule {
  double requests_per_min = 0;  // 0: no limit, as for the others
  double tokens_per_min = 0;
  int streams = 0;
};

enum class Verdict : std::uint8_t {
  kAdmitted,
  kRequests,  // over requests a minute
  kTokens,    // over tokens a minute
  kStreams,   // over streams at once
  kTooLarge,  // asks for more tokens than a whole minute gives: coming back does not help
};

// What is left to a key, for the x-ratelimit headers.
struct Left {
  double limit_requests = 0, requests = 0;  // 0 limit: none
  double limit_tokens = 0, tokens = 0;
  Time requests_full_in = 0, tokens_full_in = 0;
};

struct Answer {
  Verdict verdict = Verdict::kAdmitted;
  Time retry_after = 0;  // how long until the same request would be admitted if nothing else came; 0: unknown
  Left left;
};

class Limits {
 public:
  // Takes one request, one stream and `tokens` from `key`, or nothing at all.
  Answer Admit(Time now, const std::string& key, const Rule& rule, double tokens);
  // An answer that outgrows its reservation asks for more; false: the key has no more, and nothing was taken.
  bool Grow(Time now, const std::string& key, const Rule& rule, double tokens);
  // The one end of an admitted request: gives back what was reserved and takes what was used. `ran` false
  // also gives back the request itself: it was never let through.
  void Settle(Time now, const std::string& key, const Rule& rule, double reserved, double used, bool ran);
  // A key that is gone; its running requests still settle, and leave nothing behind.
  void Forget(const std::string& key);

  int streams(const std::string& key) const;
  double reserved(const std::string& key) const;
  std::size_t size() const { return keys_.size(); }

 private:
  struct Bucket {
    double level = 0;
    Time at = -1;  // -1: never used, so full
  };
  struct Key {
    Bucket requests, tokens;
    int streams = 0;
    double reserved = 0;
    bool forgotten = false;
  };
  static void Fill(Bucket& bucket, double per_min, Time now);
  static Time Wait(const Bucket& bucket, double per_min, double want);
  static Left Rest(const Key& key, const Rule& rule);

  std::unordered_map<std::string, Key> keys_;
};

}  // namespace ryeglade::limits
