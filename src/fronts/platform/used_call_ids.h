// The ids of earlier requests that may have run and may not run again. A client gives each request a new id,
// so one that comes again is answered with an error.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

namespace ryeglade {

// Keeps the latest kMaxIds ids.
class UsedCallIds {
 public:
  static constexpr std::size_t kMaxIds = 4096;

  void Add(const std::string& id);
  bool Contains(const std::string& id) const { return ids_.contains(id); }
  std::vector<std::string> InOrder() const { return {order_.begin(), order_.end()}; }

 private:
  std::unordered_set<std::string> ids_;
  std::deque<std::string> order_;  // the same ids, the oldest first
};

}  // namespace ryeglade
