// Rate limits for each API key: requests per minute, tokens per minute and concurrent streams. Tokens are
// reserved when a request is admitted and settled when its response ends. Performs no I/O and reads no clock;
// the caller passes the time with each call.
//
// Each rate is a token bucket that holds one minute's quota and refills continuously, so that over any span
// of T minutes at most (T + 1) times the limit is admitted.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "ryeglade/router.h"

namespace ryeglade::limits {

using policy::Time;  // microseconds

// The limits of one key. 0 means that there is no limit.
struct KeyLimits {
  double requests_per_min = 0;
  double tokens_per_min = 0;
  int streams = 0;  // concurrent streams
};

// Whether a request is admitted, and otherwise which limit it exceeds.
enum class Admission : std::uint8_t {
  kAdmitted,
  kOverRequests,     // over the limit of requests per minute
  kOverTokens,       // over the limit of tokens per minute
  kOverStreams,      // over the limit of concurrent streams
  kRequestTooLarge,  // requests more tokens than the quota of a whole minute: a retry does not help
};

// The values of the x-ratelimit headers. A limit of 0 means that there is no limit.
struct RemainingQuota {
  double request_limit = 0;       // requests per minute
  double requests = 0;            // requests available now
  double token_limit = 0;         // tokens per minute
  double tokens = 0;              // tokens available now
  Time requests_reset_after = 0;  // time until the whole request quota is available again
  Time tokens_reset_after = 0;    // time until the whole token quota is available again
};

struct AdmissionResult {
  Admission admission = Admission::kAdmitted;
  // Time until the same request would be admitted if no other request arrived in between. 0 if the request
  // was admitted, or if the time is not known: for kRequestTooLarge, and while only the streams are over the
  // limit.
  Time retry_after = 0;
  RemainingQuota remaining;
};

class RateLimiter {
 public:
  // Takes one request, one stream and `tokens` from the quota of `key`, or nothing if one of them is
  // exceeded.
  AdmissionResult Admit(Time now, const std::string& key, const KeyLimits& limits, double tokens);
  // Reserves more tokens for a response that exceeds its reservation. Returns false, and reserves nothing, if
  // the key does not have that many tokens left.
  bool ReserveMore(Time now, const std::string& key, const KeyLimits& limits, double tokens);
  // Called exactly once when an admitted request ends: returns the reserved tokens and charges the used ones.
  // If `forwarded` is false, the request was never sent upstream and its place in the request quota is
  // returned as well.
  void Settle(Time now, const std::string& key, const KeyLimits& limits, double reserved, double used,
              bool forwarded);
  // Drops the state of a revoked key. Its open requests can still be settled; the state is erased when the
  // last of them is.
  void Forget(const std::string& key);

  int streams(const std::string& key) const;         // open streams
  double reserved(const std::string& key) const;     // tokens reserved for open requests
  std::size_t size() const { return keys_.size(); }  // number of keys that have a state

 private:
  struct Bucket {
    double level = 0;     // requests or tokens available; negative after more tokens were used than reserved
    Time filled_at = -1;  // time of the last refill; -1 if never used, which means full
  };
  struct KeyState {
    Bucket requests, tokens;
    int streams = 0;
    double reserved = 0;     // tokens reserved for open requests
    bool forgotten = false;  // revoked; erased when its last stream ends
  };
  static void Refill(Bucket& bucket, double per_min, Time now);
  // Returns the time until the bucket has `wanted_level`; 0 if it has that much, or if there is no limit.
  static Time TimeUntil(const Bucket& bucket, double per_min, double wanted_level);
  static RemainingQuota Remaining(const KeyState& key, const KeyLimits& limits);

  std::unordered_map<std::string, KeyState> keys_;
};

}  // namespace ryeglade::limits
