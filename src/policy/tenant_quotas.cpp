#include "tenant_quotas.h"

#include <cmath>
#include <cstddef>

namespace ryeglade::policy {
namespace {

constexpr Time kRateDecayTime = 20'000'000;  // decay time of the arrivals counted for their rate
constexpr double kTolerance = 1.25;          // a tenant is beyond its quota above this multiple of it

}  // namespace

bool TenantQuotas::CountArrival(int tenant, Time now) {
  const auto index = static_cast<std::size_t>(tenant);
  if (tenant < 0 || index >= arrivals_by_tenant_.size() || settings_.over_quota_weight >= 1) return false;
  arrivals_by_tenant_[index].Add(now, kRateDecayTime, 1);
  const double quota = settings_.tenants[index].quota_per_second;
  if (quota <= 0) return false;
  const double arrivals = arrivals_by_tenant_[index].ValueAt(now, kRateDecayTime);
  const double allowed =
      quota * static_cast<double>(kRateDecayTime) / 1e6 / traffic_share_.equivalent_nodes();
  // Random variation of the count is tolerated up to two standard deviations.
  return arrivals > kTolerance * allowed + 2 * std::sqrt(allowed) + 1;
}

void TenantQuotas::RestoreFrom(const LearnedState& state) {
  arrivals_by_tenant_ = state.arrivals_by_tenant;
  ResizeTables();
}

}  // namespace ryeglade::policy
