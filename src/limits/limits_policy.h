// Rate limits of one key: requests a minute, tokens a minute, streams at once. Tokens are reserved when a
// request is admitted and settled when its response ends. Decides only: no I/O, no clock; time comes with
// each call.
//
// Each rate is a token bucket: it holds one minute's worth and fills steadily, so that over any span of T
// minutes at most (T + 1) times the limit is admitted.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "ryeglade/router.h"

namespace ryeglade::limits {

using policy::Time;  // microseconds

// Of one key; 0: no limit.
struct KeyLimits {
  double requests_per_min = 0;
  double tokens_per_min = 0;
  int streams = 0;  // at once
};

enum class Admission : std::uint8_t {
  kAdmitted,
  kOverRequests,     // over requests a minute
  kOverTokens,       // over tokens a minute
  kOverStreams,      // over streams at once
  kRequestTooLarge,  // asks for more tokens than a whole minute gives: a retry does not help
};

// For the x-ratelimit headers. A limit of 0: none.
struct RemainingQuota {
  double request_limit = 0;  // a minute
  double requests = 0;       // left now
  double token_limit = 0;
  double tokens = 0;
  Time requests_reset_after = 0;  // until all requests are available again
  Time tokens_reset_after = 0;
};

struct AdmissionResult {
  Admission admission = Admission::kAdmitted;
  // Until the same request would be admitted if no other came; 0: not known.
  Time retry_after = 0;
  RemainingQuota remaining;
};

class RateLimiter {
 public:
  // Takes one request, one stream and `tokens` from `key`, or nothing at all.
  AdmissionResult Admit(Time now, const std::string& key, const KeyLimits& limits, double tokens);
  // For a response that outgrows its reservation. False: the key has no more tokens, and none were taken.
  bool ReserveMore(Time now, const std::string& key, const KeyLimits& limits, double tokens);
  // The one end of an admitted request: gives back what was reserved and takes what was used. `forwarded`
  // false also gives back the request itself: it was never let through.
  void Settle(Time now, const std::string& key, const KeyLimits& limits, double reserved, double used,
              bool forwarded);
  // Of a key that was revoked; its open requests still settle, and leave nothing behind.
  void Forget(const std::string& key);

  int streams(const std::string& key) const;      // open now
  double reserved(const std::string& key) const;  // tokens
  std::size_t size() const { return keys_.size(); }

 private:
  struct Bucket {
    double level = 0;
    Time filled_at = -1;  // -1: never used, so full
  };
  struct KeyState {
    Bucket requests, tokens;
    int streams = 0;
    double reserved = 0;
    bool forgotten = false;
  };
  static void Refill(Bucket& bucket, double per_min, Time now);
  static Time TimeUntil(const Bucket& bucket, double per_min, double wanted_level);
  static RemainingQuota Remaining(const KeyState& key, const KeyLimits& limits);

  std::unordered_map<std::string, KeyState> keys_;
};

}  // namespace ryeglade::limits
