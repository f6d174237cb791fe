// What the keeper of a node decides: which release its node runs, when a new one takes over, when it goes
// back, and whose commands it takes. No I/O, no clock. The same part runs in `ryeglade keep`, in tests and in
// the explorer.
//
// A change starts the new release beside the old one; the two processes hand over by themselves. Once the new
// one says ready the old one is told to end. A new one that ends or is not ready in time is tried again a
// stated number of times, and then given up: the old one never stopped serving. One that was put in force and
// then crashes again and again before it was confirmed is replaced by the last good one, without anybody
// asking.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rollout/release_model.h"

namespace ryeglade::rollout {

using Time = std::int64_t;  // microseconds, steady

struct KeeperLimits {
  Time ready_within = 10'000'000;                     // from the start of a process to its yes
  Time end_within = 15'000'000;                       // from SIGTERM to SIGKILL
  Time lease = 10'000'000;                            // a claim allows commands for so long
  Time settle = 60'000'000;                           // crashes are forgotten when none came for so long
  Time first_wait = 200'000, most_wait = 10'000'000;  // before a start after a crash, doubling
  int tries = 3;  // starts of a new release, and crashes of one in force, before it is given up
};

// A process that may outlive its keeper. `ticks`: when it started, by the kernel; a pid may be another's by
// now.
struct KeptProcess {
  std::int64_t pid = 0;  // 0: none
  std::uint64_t ticks = 0;
  std::string management;  // where it answers
};

// What is kept on disk, whole.
struct KeeperMemory {
  std::uint64_t epoch = 0;
  std::string driver, plan, mark, why;
  std::uint64_t mark_number = 0;
  Release in_force, last_good;
  std::optional<Release> trying;
  std::string failed, failed_why;
  // The process of the release in force, the one that is to follow it, and one that was told to end.
  KeptProcess current, next, old;
};
std::string EncodeMemory(const KeeperMemory& m);
std::optional<KeeperMemory> DecodeMemory(const std::string& text);

struct KeeperAct {
  enum class What : std::uint8_t { kStart, kTerm, kKill, kSave } what = What::kSave;
  int process = 0;  // a number of the model's own
  Release release;  // kStart
};

class Keeper {
 public:
  Keeper(std::string node, std::string zone, KeeperLimits limits, KeeperMemory memory);

  // Which of the memory's processes still live, from an earlier keeper. They are numbered 1 to 3: current,
  // next, old.
  void Begin(Time now, bool current, bool next, bool old, std::vector<KeeperAct>& acts);
  Reply Take(Time now, const Command& command, std::vector<KeeperAct>& acts);
  void Started(int process, const KeptProcess& kept, std::vector<KeeperAct>& acts);
  void Ready(Time now, int process, std::vector<KeeperAct>& acts);
  // `why`: in words, with the exit code or signal.
  void Ended(Time now, int process, const std::string& why, std::vector<KeeperAct>& acts);
  void Tick(Time now, std::vector<KeeperAct>& acts);
  void End(Time now, std::vector<KeeperAct>& acts);  // this keeper was told to end its node and itself
  bool ended() const { return ending_ && current_ == 0 && next_ == 0 && old_ == 0; }

  KeeperStatus Status() const;
  const KeeperMemory& memory() const { return memory_; }
  int current() const { return current_; }
  int next() const { return next_; }
  bool current_ready() const { return current_ready_; }
  Phase phase() const;

 private:
  int Start(const Release& release, std::vector<KeeperAct>& acts);
  void Change(Time now, const Release& release, std::vector<KeeperAct>& acts);
  void GiveUp(const std::string& why, std::vector<KeeperAct>& acts);
  void Save(std::vector<KeeperAct>& acts) { acts.push_back({KeeperAct::What::kSave, 0, {}}); }
  Time Wait(int times) const;

  std::string node_, zone_;
  KeeperLimits limits_;
  KeeperMemory memory_;
  int numbers_ = 3;
  int current_ = 0, next_ = 0, old_ = 0;  // processes; 0: none. old: was told to end
  bool current_ready_ = false;
  Time current_since_ = 0, next_since_ = 0, old_since_ = 0;
  Time start_at_ = -1, try_at_ = -1;  // of a start that waits
  int tries_ = 0, crashes_ = 0, crashes_total_ = 0;
  Time crashed_at_ = 0;
  Time claimed_at_ = -1;  // by this keeper's own clock; what an earlier keeper was told is no lease
  bool ending_ = false;
};

}  // namespace ryeglade::rollout
