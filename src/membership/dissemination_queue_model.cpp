#include "membership/dissemination_queue_model.h"

#include <algorithm>
#include <utility>

namespace ryeglade::membership {
namespace {

std::uint64_t KeyOf(const News& news, std::uint64_t about) {
  return news.kind == News::Kind::kBallot ? Hash(news.ballot.by, about) : about;
}

bool SameMatter(const News& a, const News& b) {
  return a.kind == b.kind && a.record.name == b.record.name &&
         (a.kind != News::Kind::kBallot || a.ballot.by == b.ballot.by);
}

}  // namespace

bool NewsQueue::Put(News news, Time at) {
  const std::uint64_t about = Hash(news.record.name, 0), key = KeyOf(news, about);
  if (news.kind == News::Kind::kRecord) Void(news.record, about);
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    if (slots_[i].key != key || !SameMatter(items_[i].news, news)) continue;
    slots_[i] = {key, about, ++puts_, 0};
    items_[i] = {std::move(news), at};
    return true;
  }
  const bool full = slots_.size() >= kMost;
  if (full) {
    const auto most = std::max_element(slots_.begin(), slots_.end(), [](const Slot& a, const Slot& b) {
      return a.sent != b.sent ? a.sent < b.sent : a.order > b.order;
    });
    Remove(static_cast<std::size_t>(most - slots_.begin()));
  }
  slots_.push_back({key, about, ++puts_, 0});
  items_.push_back({std::move(news), at});
  return !full;
}

// Whoever knows the record passes over what was said of an earlier incarnation, or of one that is gone: told
// on, it would only take the room of other words.
void NewsQueue::Void(const Record& record, std::uint64_t about) {
  const bool gone = Gone(record);
  for (std::size_t i = slots_.size(); i-- > 0;) {
    if (slots_[i].about != about) continue;
    const News& news = items_[i].news;
    if (news.kind == News::Kind::kBallot && news.record.name == record.name &&
        news.record.incarnation < record.incarnation + (gone ? 1 : 0))
      Remove(i);
  }
}

std::size_t NewsQueue::Order() {
  order_.clear();
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    const bool record = slots_[i].key == slots_[i].about;
    order_.push_back({slots_[i].sent * (record ? 1 : kRecordsOftener), slots_[i].order, i});
  }
  const std::size_t n = std::min(order_.size(), kAtATime);
  std::partial_sort(
      order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(n), order_.end(),
      [](const Place& a, const Place& b) { return a.told != b.told ? a.told < b.told : a.order > b.order; });
  return n;
}

void NewsQueue::Remove(std::size_t i) {
  if (i + 1 != slots_.size()) {
    slots_[i] = slots_.back();
    items_[i] = std::move(items_.back());
  }
  slots_.pop_back();
  items_.pop_back();
}

void NewsQueue::Shift(Time span) {
  for (Item& item : items_) item.at += span;
}

void NewsQueue::Clear() {
  slots_.clear();
  items_.clear();
}

}  // namespace ryeglade::membership
