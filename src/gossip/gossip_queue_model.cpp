#include "gossip/gossip_queue_model.h"

#include <algorithm>
#include <utility>

namespace ryeglade::gossip {
namespace {

constexpr std::size_t kMinUsefulBytes = 64;  // no further message is tried with less capacity left

}  // namespace

void GossipQueue::Enqueue(Time now, GossipMessage message, bool own) {
  auto it = entries_.find(message.node);
  if (it == entries_.end()) {
    if (entries_.size() >= kMaxNodes) return;
    it = entries_.emplace(message.node, Entry{}).first;
  }
  Entry& entry = it->second;
  pending_sends_ -= static_cast<std::size_t>(entry.sends_left);
  entry = {std::move(message), now, own ? kOwnSends : kForwards, 0, ++last_order_};
  pending_sends_ += static_cast<std::size_t>(entry.sends_left);
}

std::vector<std::string> GossipQueue::TakeMessages(Time now, std::size_t capacity, std::size_t overhead) {
  std::vector<std::string> taken;
  if (pending_sends_ == 0) return taken;
  std::vector<Entry*> pending;
  for (auto& [name, entry] : entries_) {
    if (entry.sends_left > 0) pending.push_back(&entry);
  }
  std::sort(pending.begin(), pending.end(), [](const Entry* a, const Entry* b) {
    return a->sent != b->sent ? a->sent < b->sent : a->order > b->order;
  });
  for (Entry* entry : pending) {
    GossipMessage message = entry->message;
    message.age += now - entry->enqueued_at;
    if (message.age > kMaxAge) {
      pending_sends_ -= static_cast<std::size_t>(std::exchange(entry->sends_left, 0));
      continue;
    }
    std::string bytes = Encode(message);
    // A message that does not fit is sent in a later datagram with more capacity.
    if (bytes.size() + overhead > capacity) continue;
    capacity -= bytes.size() + overhead;
    taken.push_back(std::move(bytes));
    --entry->sends_left;
    --pending_sends_;
    ++entry->sent;
    if (capacity < kMinUsefulBytes) break;
  }
  return taken;
}

}  // namespace ryeglade::gossip
