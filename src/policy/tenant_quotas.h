// Decides whether a tenant sends more than its quota. Quotas are for the whole tier; this node allows its
// share of them, which is its share of the tier's traffic.
#pragma once

#include <vector>

#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"
#include "ryeglade/time.h"
#include "traffic_share.h"

namespace ryeglade::policy {

class TenantQuotas {
 public:
  // Both arguments must outlive this object.
  TenantQuotas(const Settings& settings, const TrafficShare& traffic_share)
      : settings_(settings), traffic_share_(traffic_share) {}

  // Counts an arrival and returns whether its tenant is clearly beyond its quota; false if it is unknown.
  bool CountArrival(int tenant, Time now);

  // Must be called after the settings' tenants have changed.
  void ResizeTables() { arrivals_by_tenant_.resize(settings_.tenants.size()); }
  void ExportTo(LearnedState& state) const { state.arrivals_by_tenant = arrivals_by_tenant_; }
  void RestoreFrom(const LearnedState& state);

 private:
  const Settings& settings_;
  const TrafficShare& traffic_share_;
  std::vector<DecayingCounter> arrivals_by_tenant_;
};

}  // namespace ryeglade::policy
