#include "fronts/platform/used_call_ids.h"

namespace ryeglade {

void UsedCallIds::Add(const std::string& id) {
  if (!ids_.insert(id).second) return;
  order_.push_back(id);
  if (order_.size() <= kMaxIds) return;
  ids_.erase(order_.front());
  order_.pop_front();
}

}  // namespace ryeglade
