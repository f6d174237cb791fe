// Decides when to request the endpoint list: at start, and again after a failure with exponential backoff and
// jitter. The node is expected to act on a change at the latest 6 s after service discovery has it and can be
// reached, so failed calls are repeated well within that time. Times are microseconds.
#pragma once

#include <optional>

#include "random_source.h"
#include "ryeglade/events.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

class EndpointPolling {
 public:
  // The settings must outlive this object.
  explicit EndpointPolling(const Settings& settings) : settings_(settings) {}

  // Returns the delay after the start before the first request, or nullopt if the list is pushed to the node.
  std::optional<Time> FirstDelay(RandomSource& random) const;
  // The watch has failed. Returns the delay before the next request, or nullopt as above.
  std::optional<Time> OnFailure(RandomSource& random);
  // A list has arrived. Unless it is a cached one, the backoff starts anew.
  void OnList(EndpointListScope scope);
  // Returns true if no watch is open, and marks it as open until the next failure.
  bool OpenWatch();

 private:
  const Settings& settings_;
  bool watching_ = false;
  int consecutive_failures_ = 0;
};

}  // namespace ryeglade::policy
