// The requests that wait at this node for a replica with spare capacity, in the order of queue_order.h. The
// queue stores their positions only; the Router owns the requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "request.h"

namespace ryeglade::policy {

class RequestQueue {
 public:
  // The request must not be in the queue.
  void Enqueue(Request& request, PriorityTier tier, double key) {
    request.queued = true;
    request.queue_position = {tier, key, ++order_, request.id()};
    positions_.insert(request.queue_position);
  }

  // Does nothing if the request is not in the queue.
  void Dequeue(Request& request) {
    if (!request.queued) return;
    positions_.erase(request.queue_position);
    request.queued = false;
  }

  bool empty() const { return positions_.empty(); }
  std::size_t size() const { return positions_.size(); }
  // Iterates in the order of dispatch. Removing a request leaves iterators to others valid.
  auto begin() const { return positions_.begin(); }
  auto end() const { return positions_.end(); }

 private:
  std::set<QueuePosition> positions_;
  std::uint64_t order_ = 0;  // QueuePosition::order of the last request enqueued
};

}  // namespace ryeglade::policy
