// The table of all other members that a node knows, the subset of them that is live, and the last stable
// view, of which a majority is counted. No I/O, no clock.
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

// A past event of one member, shown to operators.
struct HistoryEntry {
  Time at = 0;             // microseconds
  const char* event = "";  // name of the event, as in the log
  std::string reporter;    // the node that it was learned from; may be empty
};
inline constexpr std::size_t kMaxHistory = 8;  // entries for each member

// What a node knows of one other member. Times in microseconds.
struct Member {
  MemberRecord record;
  bool verified = false;        // this node has had a round trip with it since it appeared or returned
  bool in_stable_view = false;  // its name is in the table's stable view
  // For a member that is gone: a newer record which says that it is back, not verified yet.
  std::optional<MemberRecord> returning;
  Time first_seen_at = 0;
  Time state_since = 0;
  Time reached_at = 0;              // the last round trip; 0 if there was none
  Time suspect_since = 0;           // meaningful only while it is suspect
  Time gone_at = 0;                 // when it was recorded as dead or left
  Time next_probe_at = 0;           // when it is next probed for verification; unused once it is verified
  Time reported_unverified_at = 0;  // the last report of others that it is unreachable while it was not
                                    // verified here; 0 if there was none
  int failed_probes = 0;            // consecutive failed probes while it is not verified
  std::uint32_t schema = kMinReaderSchema;  // schema version of the messages that it writes
  std::vector<ReachabilityReport> reports;  // at most one of each reporter
  std::vector<HistoryEntry> history;        // the newest events, oldest first, at most kMaxHistory

  // Whether it counts as a member. A suspect is live too.
  bool live() const {
    return verified && (record.state == RecordState::kAlive || record.state == RecordState::kLeaving);
  }
  bool gone() const { return IsGone(record); }
  // The ip:port to probe: that of the newer record if there is one that says it is back.
  const std::string& address() const { return returning ? returning->address : record.address; }
  // Returns null if there is no report of that reporter.
  ReachabilityReport* FindReport(std::string_view reporter);

 private:
  friend class MemberTable;
  static constexpr std::size_t kNotListed = static_cast<std::size_t>(-1);
  std::size_t live_index_ = kNotListed;  // its index in MemberTable::live_
};

// Owns the members. A copy has its own members and its own indices over them.
class MemberTable {
 public:
  MemberTable() = default;
  MemberTable(const MemberTable& other);
  MemberTable& operator=(const MemberTable&) = delete;
  MemberTable(MemberTable&&) = default;
  MemberTable& operator=(MemberTable&&) = default;
  ~MemberTable() = default;

  // Returns null if the name is not known. Pointers to members stay valid until the member is removed.
  Member* Find(std::string_view name);
  const Member* Find(std::string_view name) const { return const_cast<MemberTable*>(this)->Find(name); }
  // Returns the member of that name, and adds it first if it is not known.
  Member& Add(const std::string& name);
  // Removes a member, which must not be in live(). Does nothing if the name is not known.
  void Remove(const std::string& name);
  // Removes all members, also those in live(). The stable view keeps its names.
  void RemoveAll();
  // Removes members that have been gone for at least `forget_after`. If the table is still full after that,
  // also removes the member that has been gone longest.
  void Forget(Time now, Time forget_after, std::size_t max_members);

  const std::map<std::string, Member>& all() const { return members_; }
  std::size_t size() const { return members_.size(); }

  // Adds the member to live() or removes it from there, according to Member::live(). Must be called after
  // each change that may affect Member::live().
  void UpdateLive(Member& member);
  // The live members, in no particular order.
  const std::vector<Member*>& live() const { return live_; }

  // The names in the last stable view, including this node. Empty if no view has been stable yet.
  const std::set<std::string>& stable_view() const { return stable_view_; }
  // The number of live members of the stable view, without this node.
  std::size_t stable_live() const { return stable_live_; }
  // Replaces the stable view by the members that are live now and this node (`self`).
  void MarkStable(const std::string& self);
  // Adds a member to the stable view. Must be called before UpdateLive makes the member live.
  void AddToStableView(Member& member);

 private:
  std::map<std::string, Member> members_;
  std::unordered_map<std::string_view, Member*> by_name_;  // index of members_; refers to its keys
  std::vector<Member*> live_;
  std::set<std::string> stable_view_;
  std::size_t stable_live_ = 0;
};

}  // namespace ryeglade::membership
