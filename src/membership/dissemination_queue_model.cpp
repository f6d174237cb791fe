#include "membership/dissemination_queue_model.h"

#include <algorithm>
#include <utility>

namespace ryeglade::membership {
namespace {

std::uint64_t SubjectOf(const Update& update, std::uint64_t member) {
  return update.kind == Update::Kind::kReport ? Hash(update.report.reporter, member) : member;
}

bool SameSubject(const Update& a, const Update& b) {
  return a.kind == b.kind && a.record.name == b.record.name &&
         (a.kind != Update::Kind::kReport || a.report.reporter == b.report.reporter);
}

}  // namespace

bool DisseminationQueue::Enqueue(Update update, Time made_at) {
  const std::uint64_t member = Hash(update.record.name, 0);
  const std::uint64_t subject = SubjectOf(update, member);
  if (update.kind == Update::Kind::kRecord) RemoveObsoleteReports(update.record, member);
  for (std::size_t i = 0; i < keys_.size(); ++i) {
    if (keys_[i].subject != subject || !SameSubject(entries_[i].update, update)) continue;
    keys_[i] = {subject, member, ++last_order_, 0};
    entries_[i] = {std::move(update), made_at};
    return true;
  }
  const bool full = keys_.size() >= kMaxUpdates;
  if (full) {
    const auto most_sent = std::max_element(keys_.begin(), keys_.end(), [](const Key& a, const Key& b) {
      return a.sends != b.sends ? a.sends < b.sends : a.order > b.order;
    });
    Remove(static_cast<std::size_t>(most_sent - keys_.begin()));
  }
  keys_.push_back({subject, member, ++last_order_, 0});
  entries_.push_back({std::move(update), made_at});
  return !full;
}

// A node that has received the record ignores reports on an earlier incarnation and reports on a member that
// is gone. Sending such reports would only take space from other updates.
void DisseminationQueue::RemoveObsoleteReports(const MemberRecord& record, std::uint64_t member) {
  const std::uint64_t first_valid = record.incarnation + (IsGone(record) ? 1 : 0);
  for (std::size_t i = keys_.size(); i-- > 0;) {
    if (keys_[i].member != member) continue;
    const Update& update = entries_[i].update;
    if (update.kind == Update::Kind::kReport && update.record.name == record.name &&
        update.record.incarnation < first_valid)
      Remove(i);
  }
}

std::size_t DisseminationQueue::SortCandidates() {
  candidates_.clear();
  for (std::size_t i = 0; i < keys_.size(); ++i) {
    const bool is_record = keys_[i].subject == keys_[i].member;
    candidates_.push_back({keys_[i].sends * (is_record ? 1 : kRecordPriority), keys_[i].order, i});
  }
  const std::size_t sorted = std::min(candidates_.size(), kMaxConsidered);
  std::partial_sort(candidates_.begin(), candidates_.begin() + static_cast<std::ptrdiff_t>(sorted),
                    candidates_.end(), [](const Candidate& a, const Candidate& b) {
                      return a.weighted_sends != b.weighted_sends ? a.weighted_sends < b.weighted_sends
                                                                  : a.order > b.order;
                    });
  return sorted;
}

void DisseminationQueue::Remove(std::size_t index) {
  if (index + 1 != keys_.size()) {
    keys_[index] = keys_.back();
    entries_[index] = std::move(entries_.back());
  }
  keys_.pop_back();
  entries_.pop_back();
}

void DisseminationQueue::ShiftTimes(Time span) {
  for (Entry& entry : entries_) entry.made_at += span;
}

void DisseminationQueue::Clear() {
  keys_.clear();
  entries_.clear();
}

}  // namespace ryeglade::membership
