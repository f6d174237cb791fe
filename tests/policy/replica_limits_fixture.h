// A fleet, its limits and the modules on which they depend, for tests of the modules that choose among
// replicas.
#pragma once

#include <gtest/gtest.h>

#include "policy/replica_limits.h"

namespace ryeglade::policy {

class ReplicaLimitsFixture : public testing::Test {
 protected:
  // Lists `count` replicas with ids from `first` on; replica `id` is in zone `id % zones`.
  void ListReplicas(ReplicaId first, ReplicaId count, int zones, Time now) {
    settings_.zone_count = zones;
    EndpointList list;
    for (ReplicaId id = first; id < first + count; ++id) {
      list.endpoints.emplace_back();
      list.endpoints.back().id = id;
      list.endpoints.back().zone = static_cast<int>(id) % zones;
    }
    fleet_.Apply(list, now, random_);
    limits_.Invalidate();
  }

  Settings settings_;
  RandomSource random_{1};
  Fleet fleet_;
  TrafficShare traffic_share_{1};
  AdaptiveConcurrency concurrency_{settings_, traffic_share_};
  ReplicaSpeed speed_{settings_};
  SlowStart slow_start_{settings_};
  OutlierEjection ejection_;
  LoadReports load_reports_{settings_, speed_};
  ReplicaLimits limits_{
      {fleet_, traffic_share_, concurrency_, speed_, slow_start_, ejection_, load_reports_}};
};

}  // namespace ryeglade::policy
