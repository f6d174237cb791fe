// All other members that a node knows, those of them that are live, and the last stable view, which is what a
// majority is counted of. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "membership/member_record_model.h"

namespace ryeglade::membership {

// A member's state in another node's view.
enum class MemberState : std::uint8_t { kJoining, kAlive, kSuspect, kLeaving, kDead, kLeft };
const char* Name(MemberState state);
inline bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect || state == MemberState::kLeaving;
}

// An event of one member, for people.
struct HistoryEntry {
  Time at = 0;
  const char* event = "";  // a reason word
  std::string reporter;
};
inline constexpr std::size_t kMaxHistory = 8;  // entries a member

// What a node knows of one other member.
struct Member {
  MemberRecord record;
  bool verified = false;        // this node has reached it there and back since it came
  bool in_stable_view = false;  // its name is in the table's stable view
  // Of one that is gone: the record by which it is said to have come back, which is to be verified.
  std::optional<MemberRecord> returning;
  Time first_seen_at = 0;
  Time state_since = 0;
  Time reached_at = 0;  // last, there and back; 0: never
  Time suspect_since = 0;
  Time gone_at = 0;
  Time next_probe_at = 0;           // while it is not verified
  Time reported_unverified_at = 0;  // others reported it as unreachable while it was not verified here
  int failed_probes = 0;            // while it is not verified
  std::uint32_t schema = kMinReaderSchema;
  std::vector<ReachabilityReport> reports;  // one of each reporter
  std::vector<HistoryEntry> history;        // the newest

  bool live() const {
    return verified && (record.state == RecordState::kAlive || record.state == RecordState::kLeaving);
  }
  bool gone() const { return IsGone(record); }
  const std::string& address() const { return returning ? returning->address : record.address; }
  ReachabilityReport* FindReport(std::string_view reporter);

 private:
  friend class MemberTable;
  static constexpr std::size_t kNotListed = static_cast<std::size_t>(-1);
  std::size_t live_index_ = kNotListed;  // in MemberTable::live_
};

// Owns the members; copies have indices of their own.
class MemberTable {
 public:
  MemberTable() = default;
  MemberTable(const MemberTable& other);
  MemberTable& operator=(const MemberTable&) = delete;
  MemberTable(MemberTable&&) = default;
  MemberTable& operator=(MemberTable&&) = default;
  ~MemberTable() = default;

  // Null: not known. Members keep their places until they are removed.
  Member* Find(std::string_view name);
  const Member* Find(std::string_view name) const { return const_cast<MemberTable*>(this)->Find(name); }
  // The member of that name, added if it is not known.
  Member& Add(const std::string& name);
  void Remove(const std::string& name);
  void RemoveAll();
  // Removes members that have been gone for `forget_after`, and where the table is full the one that has been
  // gone longest.
  void Forget(Time now, Time forget_after, std::size_t max_members);

  const std::map<std::string, Member>& all() const { return members_; }
  std::size_t size() const { return members_.size(); }

  // Members with live(), in no order. To be called after each change by which a member may have become live
  // or not.
  void UpdateLive(Member& member);
  const std::vector<Member*>& live() const { return live_; }

  // The names in the last stable view, this node among them; empty: no view was ever stable.
  const std::set<std::string>& stable_view() const { return stable_view_; }
  // Members of the stable view that are live, without this node.
  std::size_t stable_live() const { return stable_live_; }
  // The members that are live now become the stable view.
  void MarkStable(const std::string& self);
  // Adds a member that is not listed as live yet.
  void AddToStableView(Member& member);

 private:
  std::map<std::string, Member> members_;
  std::unordered_map<std::string_view, Member*> by_name_;  // members_ for quick look-ups; its keys are theirs
  std::vector<Member*> live_;
  std::set<std::string> stable_view_;
  std::size_t stable_live_ = 0;
};

}  // namespace ryeglade::membership
