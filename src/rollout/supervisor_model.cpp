#include "rollout/supervisor_model.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

namespace ryeglade::rollout {

using What = KeeperAct::What;

namespace {

nlohmann::json Of(const KeptProcess& p) {
  return {{"pid", p.pid}, {"ticks", p.ticks}, {"management", p.management}};
}

KeptProcess ProcessOf(const nlohmann::json& j, const char* key) {
  const auto at = j.find(key);
  if (at == j.end()) return {};
  return {at->value("pid", std::int64_t{0}), at->value("ticks", std::uint64_t{0}),
          at->value("management", "")};
}

}  // namespace

std::string EncodeMemory(const KeeperMemory& m) {
  nlohmann::json j = {{"format", 1},
                      {"epoch", m.epoch},
                      {"driver", m.driver},
                      {"plan", m.plan},
                      {"mark", m.mark},
                      {"why", m.why},
                      {"mark_number", m.mark_number},
                      {"in_force", EncodeRelease(m.in_force)},
                      {"last_good", EncodeRelease(m.last_good)},
                      {"trying", m.trying ? EncodeRelease(*m.trying) : ""},
                      {"failed", m.failed},
                      {"failed_why", m.failed_why},
                      {"current", Of(m.current)},
                      {"next", Of(m.next)},
                      {"old", Of(m.old)}};
  return j.dump(1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

std::optional<KeeperMemory> DecodeMemory(const std::string& text) {
  try {
    const nlohmann::json j = nlohmann::json::parse(text);
    if (j.at("format").get<int>() != 1) return std::nullopt;
    KeeperMemory m;
    m.epoch = j.at("epoch").get<std::uint64_t>();
    m.driver = j.value("driver", ""), m.plan = j.value("plan", ""), m.mark = j.value("mark", "");
    m.why = j.value("why", "");
    m.mark_number = j.value("mark_number", std::uint64_t{0});
    const auto in_force = DecodeRelease(j.at("in_force").get<std::string>());
    const auto last_good = DecodeRelease(j.at("last_good").get<std::string>());
    if (!in_force || !last_good || in_force->program.empty() || last_good->program.empty())
      return std::nullopt;
    m.in_force = *in_force, m.last_good = *last_good;
    if (const std::string trying = j.value("trying", ""); !trying.empty()) m.trying = DecodeRelease(trying);
    m.failed = j.value("failed", ""), m.failed_why = j.value("failed_why", "");
    m.current = ProcessOf(j, "current"), m.next = ProcessOf(j, "next"), m.old = ProcessOf(j, "old");
    return m;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Keeper::Keeper(std::string node, std::string zone, KeeperLimits limits, KeeperMemory memory)
    : node_(std::move(node)), zone_(std::move(zone)), limits_(limits), memory_(std::move(memory)) {}

Time Keeper::Wait(int times) const {
  return std::min(limits_.most_wait, limits_.first_wait << std::clamp(times - 1, 0, 10));
}

int Keeper::Start(const Release& release, std::vector<KeeperAct>& acts) {
  acts.push_back({What::kStart, ++numbers_, release});
  return numbers_;
}

// What an earlier keeper had begun: the one that was to follow goes, as nobody knows how far it came, and a
// driver that still wants the change asks again; the one before takes clients again by itself. But where only
// the one that was to follow lives, it is the node.
void Keeper::Begin(Time now, bool current, bool next, bool old, std::vector<KeeperAct>& acts) {
  current_since_ = old_since_ = now;
  if (old) old_ = 3;
  if (!old) memory_.old = {};
  if (memory_.trying) {
    if (!current && next) {
      memory_.in_force = *memory_.trying;
      memory_.current = std::exchange(memory_.next, {});
      current_ = 2;
    } else {
      if (next) acts.push_back({What::kKill, 2, {}});
      memory_.next = {};
      memory_.failed = memory_.trying->id;
      memory_.failed_why = "keeper-restarted";
    }
    memory_.trying.reset();
  }
  if (current) current_ = 1;
  if (current_ == 0) {
    memory_.current = {};
    current_ = Start(memory_.in_force, acts);
  }
  Save(acts);
}

Reply Keeper::Take(Time now, const Command& c, std::vector<KeeperAct>& acts) {
  const auto no = [&](const char* why) { return Reply{false, why, Status()}; };
  const auto yes = [&] { return Reply{true, "", Status()}; };
  if (ending_) return no("ending");
  if (c.epoch < memory_.epoch || (c.epoch == memory_.epoch && c.driver != memory_.driver)) return no("stale");
  if (c.what == Command::What::kClaim) {
    claimed_at_ = now;
    if (c.epoch > memory_.epoch || c.plan != memory_.plan) {
      if (c.plan != memory_.plan) {  // another rollout: what was said of the one before is over
        memory_.mark.clear(), memory_.why.clear();
        memory_.mark_number = 0;
        memory_.failed.clear(), memory_.failed_why.clear();
      }
      memory_.epoch = c.epoch;
      memory_.driver = c.driver;
      memory_.plan = c.plan;
      Save(acts);
    }
    return yes();
  }
  if (c.epoch > memory_.epoch) return no("claim-first");
  // Guards against a driver that was paused, or whose words were on their way for long: another may act by
  // now.
  if (claimed_at_ < 0 || now - claimed_at_ > limits_.lease) return no("lease");
  if (c.claim > 0 && (c.claim > now || now - c.claim > limits_.lease)) return no("lease");
  switch (c.what) {
    case Command::What::kMark:
      memory_.mark = c.mark;
      memory_.why = c.why;
      ++memory_.mark_number;
      Save(acts);
      return yes();
    case Command::What::kConfirm:
      if (memory_.trying || memory_.in_force.id != c.release.id) return no("busy");
      if (memory_.last_good != memory_.in_force) {
        memory_.last_good = memory_.in_force;
        Save(acts);
      }
      return yes();
    case Command::What::kBack:
      if (memory_.in_force == memory_.last_good && !memory_.trying) return yes();
      if (memory_.trying && *memory_.trying == memory_.last_good) return yes();  // under way
      Change(now, memory_.last_good, acts);
      return yes();
    case Command::What::kChange:
      if (c.release.id.empty() || c.release.program.empty()) return no("no release");
      if (memory_.trying) return *memory_.trying == c.release ? yes() : no("busy");
      if (memory_.in_force == c.release) return yes();  // done: asked twice, or the answer was lost
      if (memory_.failed == c.release.id && memory_.failed_why != "keeper-restarted")
        return no("failed-before");
      Change(now, c.release, acts);
      return yes();
    default:
      return no("unknown");
  }
}

// Whatever was being tried is given up for it.
void Keeper::Change(Time now, const Release& release, std::vector<KeeperAct>& acts) {
  if (next_ != 0) {
    acts.push_back({What::kKill, next_, {}});
    next_ = 0;
  }
  try_at_ = -1;
  tries_ = 0;
  if (release == memory_.in_force) {  // back, while a newer one was only being tried
    if (memory_.trying) {
      memory_.failed = memory_.trying->id;
      memory_.failed_why = "taken-back";
    }
    memory_.trying.reset();
    Save(acts);
    return;
  }
  memory_.trying = release;
  Save(acts);
  next_since_ = now;
  next_ = Start(release, acts);
}

void Keeper::Started(int process, const KeptProcess& kept, std::vector<KeeperAct>& acts) {
  if (process == 0 || (process != next_ && process != current_)) return;
  (process == next_ ? memory_.next : memory_.current) = kept;
  Save(acts);
}

void Keeper::Ready(Time now, int process, std::vector<KeeperAct>& acts) {
  if (process == current_) {
    current_ready_ = true;
    return;
  }
  if (process != next_ || process == 0 || !memory_.trying) return;
  const bool back = *memory_.trying == memory_.last_good;
  if (back && memory_.in_force.id != memory_.last_good.id && memory_.failed != memory_.in_force.id) {
    memory_.failed = memory_.in_force.id;
    memory_.failed_why = "taken-back";
  }
  if (old_ != 0) acts.push_back({What::kKill, old_, {}});  // two are the most
  old_ = current_;
  old_since_ = now;
  if (old_ != 0) acts.push_back({What::kTerm, old_, {}});
  current_ = std::exchange(next_, 0);
  current_ready_ = true;
  current_since_ = now;
  start_at_ = -1;
  memory_.in_force = *memory_.trying;
  memory_.trying.reset();
  memory_.old = std::exchange(memory_.current, std::exchange(memory_.next, {}));
  crashes_ = crashes_total_ = tries_ = 0;
  Save(acts);
}

void Keeper::GiveUp(const std::string& why, std::vector<KeeperAct>& acts) {
  memory_.failed = memory_.trying->id;
  memory_.failed_why = why;
  memory_.trying.reset();
  try_at_ = -1;
  tries_ = 0;
  Save(acts);
}

void Keeper::Ended(Time now, int process, const std::string& why, std::vector<KeeperAct>& acts) {
  if (process == 0) return;
  if (process == old_) {
    old_ = 0;
    memory_.old = {};
    return Save(acts);
  }
  if (process == next_) {
    next_ = 0;
    memory_.next = {};
    if (!memory_.trying || ending_) return;
    if (++tries_ >= limits_.tries) return GiveUp(why, acts);
    try_at_ = now + Wait(tries_);
    return;
  }
  if (process != current_) return;
  current_ = 0;
  current_ready_ = false;
  memory_.current = {};
  if (ending_) return Save(acts);
  if (now - crashed_at_ > limits_.settle) crashes_ = 0;
  crashed_at_ = now;
  ++crashes_, ++crashes_total_;
  if (crashes_ >= limits_.tries && memory_.in_force != memory_.last_good && next_ == 0) {
    memory_.failed = memory_.in_force.id;
    memory_.failed_why = "crashes: " + why;
    memory_.in_force = memory_.last_good;
    crashes_ = crashes_total_ = 0;
    Save(acts);
    start_at_ = now;
  } else {
    start_at_ = now + (crashes_ == 1 ? 0 : Wait(crashes_ - 1));
  }
  Tick(now, acts);
}

void Keeper::Tick(Time now, std::vector<KeeperAct>& acts) {
  if (old_ != 0 && now - old_since_ > limits_.end_within) {
    acts.push_back({What::kKill, old_, {}});
    old_since_ = now;
  }
  if (ending_) return;
  if (current_ == 0 && start_at_ >= 0 && now >= start_at_) {
    start_at_ = -1;
    current_since_ = now;
    current_ = Start(memory_.in_force, acts);
  }
  // One that never says ready is as good as one that ended.
  if (current_ != 0 && !current_ready_ && now - current_since_ > limits_.ready_within) {
    const int hung = current_;
    acts.push_back({What::kKill, hung, {}});
    Ended(now, hung, "never-ready", acts);
  }
  if (next_ != 0 && now - next_since_ > limits_.ready_within) {
    const int hung = next_;
    acts.push_back({What::kKill, hung, {}});
    Ended(now, hung, "never-ready", acts);
  }
  if (next_ == 0 && try_at_ >= 0 && now >= try_at_ && memory_.trying) {
    try_at_ = -1;
    next_since_ = now;
    next_ = Start(*memory_.trying, acts);
  }
}

void Keeper::End(Time now, std::vector<KeeperAct>& acts) {
  if (ending_) return;
  ending_ = true;
  if (next_ != 0) acts.push_back({What::kKill, next_, {}});
  next_ = 0;
  if (current_ != 0) acts.push_back({What::kTerm, current_, {}});
  old_since_ = now;
  if (old_ != 0) acts.push_back({What::kKill, old_, {}});
  old_ = std::exchange(current_, 0);
}

Phase Keeper::phase() const {
  if (memory_.trying) return Phase::kChanging;
  if (current_ == 0) return Phase::kDown;
  if (!current_ready_) return Phase::kStarting;
  return old_ != 0 ? Phase::kSettling : Phase::kRunning;
}

KeeperStatus Keeper::Status() const {
  KeeperStatus s;
  s.node = node_, s.zone = zone_;
  s.epoch = memory_.epoch, s.driver = memory_.driver, s.plan = memory_.plan;
  s.mark = memory_.mark, s.mark_number = memory_.mark_number, s.why = memory_.why;
  s.phase = phase();
  s.in_force = memory_.in_force, s.last_good = memory_.last_good;
  s.trying = memory_.trying ? memory_.trying->id : "";
  s.failed = memory_.failed, s.failed_why = memory_.failed_why;
  s.crashes = crashes_total_;
  s.pid = memory_.current.pid;
  s.claimed = std::max<Time>(0, claimed_at_);
  return s;
}

}  // namespace ryeglade::rollout
