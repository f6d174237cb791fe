// The queue of updates that a node still has to send, with the number of times each was sent (the
// dissemination component of SWIM). The queue is bounded and has one entry for each subject: a newer update
// replaces an older one on the same subject. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "membership/member_record_model.h"

namespace ryeglade::membership {

// Holds at most kMaxUpdates updates. Look-ups scan the whole queue.
class DisseminationQueue {
 public:
  static constexpr std::size_t kMaxUpdates = 512;
  static constexpr std::size_t kMaxConsidered = 48;  // candidates for one message
  // One record can make any number of reports obsolete. While not all updates fit into the messages, a record
  // is therefore sent this many times as often as a report.
  static constexpr int kRecordPriority = 2;

  // Adds an update. `made_at` is the time at which a report was made, in microseconds; it is not used for a
  // record. A record removes the reports that it makes obsolete. Returns false if the queue was full, in
  // which case the update that was sent most often has been dropped.
  bool Enqueue(Update update, Time made_at);

  // Offers up to kMaxConsidered updates to `take` (const Update& -> bool), those sent least often first and
  // the newest first among equals; each send of a report counts as kRecordPriority sends. An update that
  // `take` accepts counts as sent; after `max_sends` sends it is removed.
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
    // Removes the highest indices first, so that the remaining indices stay valid.
    std::sort(finished.begin(), finished.end(), std::greater<>());
    for (const std::size_t index : finished) Remove(index);
  }

  // Moves the times of all updates forward by `span` after this node was not running for that long, so that
  // reports do not age during the pause.
  void ShiftTimes(Time span);
  void Clear();
  std::size_t size() const { return keys_.size(); }
  bool empty() const { return keys_.empty(); }

 private:
  // The fields that are scanned for each message, stored apart from the updates themselves.
  struct Key {
    // Hash of the member or, for a report, of reporter and member. Updates with the same subject replace each
    // other.
    std::uint64_t subject = 0;
    std::uint64_t member = 0;  // hash of the name of the member that the update is about
    std::uint64_t order = 0;   // rises with each Enqueue
    int sends = 0;             // how often the update was sent
  };
  struct Entry {
    Update update;
    Time made_at = 0;  // microseconds
  };
  struct Candidate {
    int weighted_sends = 0;  // for a report kRecordPriority times the number of sends
    std::uint64_t order = 0;
    std::size_t index = 0;  // in keys_ and entries_
  };
  // Fills candidates_ and sorts its first elements, the next ones to send. Returns the number of sorted
  // elements.
  std::size_t SortCandidates();
  void Remove(std::size_t index);
  void RemoveObsoleteReports(const MemberRecord& record, std::uint64_t member);

  std::vector<Key> keys_;
  std::vector<Entry> entries_;  // parallel to keys_
  std::vector<Candidate> candidates_;
  std::uint64_t last_order_ = 0;
};

}  // namespace ryeglade::membership
