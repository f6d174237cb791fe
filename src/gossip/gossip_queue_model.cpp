#include "gossip/gossip_queue_model.h"

#include <algorithm>
#include <utility>

namespace ryeglade::gossip {

void GossipModel::Put(Time now, Telling telling, bool own) {
  auto at = words_.find(telling.node);
  if (at == words_.end()) {
    if (words_.size() >= kMostNodes) return;
    at = words_.emplace(telling.node, Entry{}).first;
  }
  Entry& e = at->second;
  left_ -= static_cast<std::size_t>(e.left);
  e = {std::move(telling), now, own ? kOwnSends : kSends, 0, ++orders_};
  left_ += static_cast<std::size_t>(e.left);
}

std::vector<std::string> GossipModel::Fill(Time now, std::size_t room, std::size_t overhead) {
  std::vector<std::string> out;
  if (left_ == 0) return out;
  std::vector<Entry*> waiting;
  for (auto& [name, e] : words_) {
    if (e.left > 0) waiting.push_back(&e);
  }
  std::sort(waiting.begin(), waiting.end(), [](const Entry* a, const Entry* b) {
    return a->sent != b->sent ? a->sent < b->sent : a->order > b->order;
  });
  for (Entry* e : waiting) {
    Telling t = e->telling;
    t.age += now - e->at;
    if (t.age > kMostAge) {
      left_ -= static_cast<std::size_t>(std::exchange(e->left, 0));
      continue;
    }
    std::string bytes = Encode(t);
    // What does not fit this time goes with a message that has more room.
    if (bytes.size() + overhead > room) continue;
    room -= bytes.size() + overhead;
    out.push_back(std::move(bytes));
    --e->left;
    --left_;
    ++e->sent;
    if (room < 64) break;
  }
  return out;
}

}  // namespace ryeglade::gossip
