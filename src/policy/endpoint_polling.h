// When the endpoint list is asked for: at start, and again after a failure with exponential backoff and
// jitter. A change counts as notified at the latest 6 s after discovery has it and can be reached, so calls
// that fail are repeated well within that. Microseconds.
#pragma once

#include <optional>

#include "random_source.h"
#include "ryeglade/events.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

class EndpointPolling {
 public:
  // The settings must outlive it.
  explicit EndpointPolling(const Settings& settings) : settings_(settings) {}

  // How long after the start to ask first; none: the list comes unasked.
  std::optional<Time> FirstDelay(RandomSource& random) const;
  // How long after a failure to ask again.
  std::optional<Time> OnFailure(RandomSource& random);
  void OnList(EndpointListScope scope);
  // Whether a watch has to be opened now; it then counts as open until it fails.
  bool OpenWatch();

 private:
  const Settings& settings_;
  bool watching_ = false;
  int consecutive_failures_ = 0;
};

}  // namespace ryeglade::policy
