// The updates that a node has to send, and how often each was sent (the dissemination component of SWIM): one
// entry for each subject, newer updates in place of older ones on the same subject, bounded. No I/O, no
// clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "membership/member_record_model.h"

namespace ryeglade::membership {

// Bounded by kMaxUpdates; a look-up is a scan.
class DisseminationQueue {
 public:
  static constexpr std::size_t kMaxUpdates = 512;
  static constexpr std::size_t kMaxConsidered = 48;  // for one message
  // A record ends any number of reports: where not all can be sent, it goes out so many times as often.
  static constexpr int kRecordPriority = 2;

  // `made_at` (microseconds): when a report was made. A record removes the reports that it makes void. False:
  // the queue was full, and the update that was sent most has been dropped.
  bool Enqueue(Update update, Time made_at);

  // Offers the updates that were sent least, of these the newest first, and counts those that `take` (const
  // Update& -> bool) accepts as sent. An update that was sent `max_sends` times is removed.
  template <typename Take>
  void Send(Time now, int max_sends, const Take& take) {
    const std::size_t sorted = SortCandidates();
    std::vector<std::size_t> finished;
    for (std::size_t i = 0; i < sorted; ++i) {
      const std::size_t index = candidates_[i].index;
      Update& update = entries_[index].update;
      if (update.kind == Update::Kind::kReport)
        update.age = std::clamp<Time>(now - entries_[index].made_at, 0, kMaxReportAge);
      if (take(std::as_const(update)) && ++keys_[index].sends >= max_sends) finished.push_back(index);
    }
    // The last first, so that the others keep their indices.
    std::sort(finished.begin(), finished.end(), std::greater<>());
    for (const std::size_t index : finished) Remove(index);
  }

  // This node was not running for `span`: reports have not aged meanwhile.
  void ShiftTimes(Time span);
  void Clear();
  std::size_t size() const { return keys_.size(); }
  bool empty() const { return keys_.empty(); }

 private:
  // What is scanned for each message lies apart from the updates themselves.
  struct Key {
    std::uint64_t subject = 0;  // updates with the same one replace each other
    std::uint64_t member = 0;   // the same for all updates on one member
    std::uint64_t order = 0;    // rises with each Enqueue
    int sends = 0;
  };
  struct Entry {
    Update update;
    Time made_at = 0;
  };
  struct Candidate {
    int weighted_sends = 0;
    std::uint64_t order = 0;
    std::size_t index = 0;
  };
  // Fills candidates_; returns how many from its beginning are sorted.
  std::size_t SortCandidates();
  void Remove(std::size_t index);
  void RemoveVoidReports(const MemberRecord& record, std::uint64_t member);

  std::vector<Key> keys_;
  std::vector<Entry> entries_;  // parallel to keys_
  std::vector<Candidate> candidates_;
  std::uint64_t last_order_ = 0;
};

}  // namespace ryeglade::membership
