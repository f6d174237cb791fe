// The requests that wait at this node for a replica with spare capacity, in the order of queue_order.h. Keeps
// their positions only; the requests belong to the Router.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "request.h"

namespace ryeglade::policy {

class RequestQueue {
 public:
  // The request is not in the queue.
  void Enqueue(Request& request, PriorityTier tier, double key) {
    request.queued = true;
    request.queue_position = {tier, key, ++order_, request.id()};
    positions_.insert(request.queue_position);
  }

  // Nothing is done for a request that is not in the queue.
  void Dequeue(Request& request) {
    if (!request.queued) return;
    positions_.erase(request.queue_position);
    request.queued = false;
  }

  bool empty() const { return positions_.empty(); }
  std::size_t size() const { return positions_.size(); }
  // First to be dispatched first. Taking out a request leaves iterators to others valid.
  auto begin() const { return positions_.begin(); }
  auto end() const { return positions_.end(); }

 private:
  std::set<QueuePosition> positions_;
  std::uint64_t order_ = 0;
};

}  // namespace ryeglade::policy
