// Whether a tenant sends more than its quota. Quotas are for the whole tier, and this node keeps its share of
// the traffic to its share of them.
#pragma once

#include <vector>

#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"
#include "ryeglade/time.h"
#include "traffic_share.h"

namespace ryeglade::policy {

class TenantQuotas {
 public:
  // Both must outlive it.
  TenantQuotas(const Settings& settings, const TrafficShare& traffic_share)
      : settings_(settings), traffic_share_(traffic_share) {}

  // Counts an arrival; true: the tenant is clearly beyond its quota. Unknown tenants have none.
  bool CountArrival(int tenant, Time now);

  // After a change of the settings' tenants.
  void ResizeTables() { arrivals_by_tenant_.resize(settings_.tenants.size()); }
  void ExportTo(LearnedState& state) const { state.arrivals_by_tenant = arrivals_by_tenant_; }
  void RestoreFrom(const LearnedState& state);

 private:
  const Settings& settings_;
  const TrafficShare& traffic_share_;
  std::vector<DecayingCounter> arrivals_by_tenant_;
};

}  // namespace ryeglade::policy
