#include "rollout/driver_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ryeglade::rollout {
namespace {

constexpr Time kDumbFor = 20'000'000;
constexpr const char* kCourses[] = {"waiting", "stage", "soak",      "back",
                                    "paused",  "done",  "back-done", "over"};

}  // namespace

const char* Name(Course course) { return kCourses[static_cast<std::size_t>(course)]; }

Driver::Driver(Plan plan, std::uint64_t epoch, std::string driver, Time lease)
    : plan_(std::move(plan)),
      epoch_(epoch),
      driver_(std::move(driver)),
      lease_(lease),
      verdict_(plan_.guards) {
  for (std::size_t i = 0; i < plan_.nodes.size(); ++i) nodes_[plan_.nodes[i].name].plan = i;
  for (std::size_t s = 0; s < plan_.stages.size(); ++s) {
    for (const std::string& name : plan_.stages[s].nodes) nodes_[name].stage = s;
  }
}

Command Driver::Claim() const {
  Command c;
  c.what = Command::What::kClaim;
  c.epoch = epoch_;
  c.driver = driver_;
  c.plan = plan_.text;
  return c;
}

Order Driver::To(const Node& n, Command::What what) const {
  Order o;
  o.node = plan_.nodes[n.plan].name;
  o.command.what = what;
  o.command.epoch = epoch_;
  o.command.driver = driver_;
  o.command.claim = n.last ? n.last->claimed : 0;
  if (what == Command::What::kChange || what == Command::What::kConfirm) o.command.release = ReleaseFor(n);
  return o;
}

// What the plan leaves open stays as the node's last good release has it.
Release Driver::ReleaseFor(const Node& n) const {
  Release r = plan_.release;
  if (!n.last) return r;
  const Release& from = n.last->last_good;
  if (r.program.empty()) r.program = from.program;
  if (r.config.empty()) r.config = from.config;
  if (r.settings.empty()) r.settings = from.settings;
  return r;
}

bool Driver::Through(const Node& n) const {
  return n.last && n.last->in_force.id == plan_.release.id && n.last->trying.empty() &&
         n.last->phase == Phase::kRunning;
}
bool Driver::Behind(const Node& n) const {
  return n.last && n.last->in_force.id != plan_.release.id && n.last->trying.empty();
}
bool Driver::Changing(const Node& n) const {
  if (n.commanded) return true;
  return n.last && !Through(n) && !Behind(n);
}

// Hard stops, node by node; empty: none.
std::string Driver::Harmed(Time now, const Node& n) const {
  if (!n.last) return "";
  const KeeperStatus& s = *n.last;
  if (s.failed == plan_.release.id && s.failed_why != "keeper-restarted" && s.failed_why != "taken-back")
    return s.node + ": " + s.failed_why;
  if (s.in_force.id == plan_.release.id && s.crashes > n.old_crashes)
    return fmt::format("{}: crashed {} times", s.node, s.crashes);
  if (n.dumb_since >= 0 && now - n.dumb_since > kDumbFor)
    return s.node + ": gives no figures that can be read";
  return "";
}

std::vector<std::string> Driver::passed_over() const {
  std::vector<std::string> names;
  for (const auto& [name, n] : nodes_) {
    if (n.gone) names.push_back(name);
  }
  return names;
}

std::string Driver::Standing(Time now) const {
  const auto ago = [&](Time t) { return t < 0 ? Time{-1} : now - t; };
  std::string all =
      fmt::format("{} {} {} {} {} {} {} {} {} {} {} {} {};", ago(doubt_since_), epoch_,
                  static_cast<int>(course_), stage_, std::min(ago(majority_since_), lease_), past_taken_,
                  changed_, ago(soak_from_), ago(wait_from_), mark_.first, say_.first, mark_seen_, why_);
  for (const auto& [name, n] : nodes_) {
    all += fmt::format("{} {} {} {} {} {} {} {} {}", ago(n.absent_since), n.dead,
                       ago(n.asked_at) < plan_.unreached_after, ago(n.answered_at), n.gone, ago(n.dumb_since),
                       n.old_crashes, n.commanded, n.last.has_value());
    if (n.last)
      all +=
          fmt::format(" {} {} {} {} {} {} {}", n.last->in_force.id, n.last->last_good.id, n.last->trying,
                      n.last->failed, n.last->failed_why, n.last->crashes, static_cast<int>(n.last->phase));
    all += ";";
  }
  return all;
}

void Driver::Refused(const std::string& why) {
  if (why != "stale") return;
  course_ = Course::kOver;
  why_ = "another driver has taken over";
}

// What is decided is told to the keepers before it is acted on: whoever drives next goes on with it.
void Driver::Mark(const std::string& mark, const std::string& why, std::vector<Order>& orders) {
  mark_ = {mark, why};
  for (const auto& [name, n] : nodes_) {
    if (n.answered_at < 0 || n.gone) continue;
    Order o = To(n, Command::What::kMark);
    o.command.mark = mark;
    o.command.why = why;
    orders.push_back(std::move(o));
  }
}

std::vector<std::string> Driver::left_alone() const {
  std::vector<std::string> names;
  for (const auto& [name, n] : nodes_) {
    if (n.absent_since >= 0 && !n.gone) names.push_back(name);
  }
  return names;
}

void Driver::TakeTier(Time now, const TierWord* tier) {
  if (tier == nullptr) return;
  const bool trusted = tier->trusted();
  doubt_since_ = trusted ? -1 : doubt_since_ >= 0 ? doubt_since_ : now;
  for (auto& [name, n] : nodes_) {
    // What a view in doubt says of the absent is not taken; what was known before stands.
    if (!trusted) continue;
    n.dead = tier->dead.contains(name);
    const bool absent = n.dead || tier->suspect.contains(name);
    n.absent_since = !absent ? -1 : n.absent_since >= 0 ? n.absent_since : now;
  }
}

std::vector<Order> Driver::Round(Time now, const std::map<std::string, NodeView>& round,
                                 const TierWord* tier) {
  std::vector<Order> orders;
  if (ended()) return orders;
  TakeTier(now, tier);
  std::size_t claimed = 0, answering = 0, gone = 0;
  for (auto& [name, n] : nodes_) {
    const auto seen = round.find(name);
    const bool answered = seen != round.end() && seen->second.status.has_value();
    if (answered) {
      const KeeperStatus& s = *seen->second.status;
      if (s.epoch > epoch_) {
        Refused("stale");
        return {};
      }
      n.last = s;
      n.answered_at = now;
      n.commanded = false;  // what it says now is newer than what it was asked
      ++answering;
      if (seen->second.claimed) ++claimed;
      // The newest word said of this rollout, wherever it was left.
      if (s.plan == plan_.text && s.mark_number > 0 && !s.mark.empty()) {
        const bool stronger = s.mark == "back" || s.mark == "abort";
        if (s.mark_number > mark_seen_ ||
            (stronger && mark_.first != s.mark && s.mark_number == mark_seen_)) {
          mark_seen_ = s.mark_number;
          mark_ = {s.mark, s.why};
        }
      }
      if (s.in_force.id != plan_.release.id) n.old_crashes = std::max(n.old_crashes, s.crashes);
      n.dumb_since = !Through(n) || s.figures ? -1 : n.dumb_since >= 0 ? n.dumb_since : now;
      for (const Past& p : s.history) n.past.emplace_back(now - s.now + p.figures.at, p);
      n.last->history.clear();
      if (s.figures && past_taken_)
        verdict_.Add(now, name, plan_.nodes[n.plan].zone, s.in_force.id == plan_.release.id, *s.figures);
    }
    if (n.asked_at < 0) n.asked_at = now;
    // One that is silent here and dead to the others needs no waiting for; one whose keeper answers though
    // the others call it dead is waited for as long as a silent one.
    const Time silent = answered ? 0 : now - std::max(n.asked_at, n.answered_at);
    const Time absent = n.absent_since < 0 ? 0 : now - n.absent_since;
    n.gone = silent > plan_.unreached_after || (silent > 0 && n.dead) || absent > plan_.unreached_after;
    if (n.gone) n.commanded = false, ++gone;
  }
  in_change_ = 0;
  for (const auto& [name, n] : nodes_) in_change_ += !n.gone && Changing(n) ? 1 : 0;

  const std::size_t majority = plan_.nodes.size() / 2 + 1;
  if (claimed < majority) {
    // Nobody may act without: another driver may have the others.
    if (course_ != Course::kWaiting)
      why_ = fmt::format("{} of {} keepers answer", claimed, plan_.nodes.size());
    course_ = Course::kWaiting;
    return orders;
  }
  if (majority_since_ < 0) majority_since_ = now;
  if (now - majority_since_ < lease_) {
    course_ = Course::kWaiting;
    why_ = "an earlier driver's lease";
    return orders;
  }
  if (!past_taken_) TakePast();
  if (!say_.first.empty()) {
    const auto said = std::exchange(say_, {});
    Mark(said.first, said.second, orders);
  }
  if (mark_.first == "back" || mark_.first == "abort") {
    GoBack(now, orders);
    return orders;
  }
  if (mark_.first == "pause") {
    course_ = Course::kPaused;
    why_ = mark_.second;
    soak_from_ = wait_from_ = -1;
    return orders;
  }
  if (gone > plan_.most_passed_over) {
    Pause(fmt::format("{} nodes do not answer; most_passed_over is {}", gone, plan_.most_passed_over),
          orders);
    return orders;
  }
  for (const auto& [name, n] : nodes_) {
    const std::string harm = Harmed(now, n);
    if (harm.empty()) continue;
    Mark("back", harm, orders);
    GoBack(now, orders);
    return orders;
  }
  if (doubt_since_ >= 0 && tier != nullptr) {
    if (now - doubt_since_ > plan_.ask_after) {
      Pause("the view among the nodes is in doubt for too long", orders);
    } else {
      // Nothing is begun and nothing judged by half of a tier; going back would go on.
      course_ = Course::kWaiting;
      why_ = fmt::format("{} of {} status addresses are sure of their views", tier->sure, tier->asked);
      soak_from_ = wait_from_ = -1;
    }
    return orders;
  }
  GoOn(now, orders);
  return orders;
}

// What the keepers saw before this driver came; what lies before the first sight of the new release is the
// world's past.
void Driver::TakePast() {
  past_taken_ = true;
  Time first = -1;
  for (const auto& [name, n] : nodes_) {
    for (const auto& [at, p] : n.past) {
      if (p.release == plan_.release.id && (first < 0 || at < first)) first = at;
    }
  }
  for (const bool before : {true, false}) {
    for (auto& [name, n] : nodes_) {
      for (const auto& [at, p] : n.past) {
        if ((first >= 0 && at < first) == before)
          verdict_.Add(at, name, plan_.nodes[n.plan].zone, p.release == plan_.release.id, p.figures);
      }
    }
    if (before && first >= 0) {
      verdict_.Restart();
      changed_ = true;
    }
  }
  for (auto& [name, n] : nodes_) n.past.clear();
}

void Driver::Pause(const std::string& why, std::vector<Order>& orders) {
  Mark("pause", why, orders);
  course_ = Course::kPaused;
  why_ = why;
  soak_from_ = wait_from_ = -1;
}

void Driver::GoOn(Time now, std::vector<Order>& orders) {
  // The first stage of which a node that answers is not through yet.
  std::size_t stage = plan_.stages.size();
  for (const auto& [name, n] : nodes_) {
    if (!n.gone && !Through(n)) stage = std::min(stage, n.stage);
  }
  const bool all = stage == plan_.stages.size();
  const std::size_t at = all ? stage - 1 : stage;
  // A stage that has wholly changed is judged before the next begins; one begun already by an earlier driver
  // was.
  bool begun = false;
  for (const auto& [name, n] : nodes_) begun = begun || (n.stage == at && (Through(n) || Changing(n)));
  const bool to_judge = at > 0 || all;
  const std::size_t judged = all ? at : at == 0 ? 0 : at - 1;
  if ((all || (!begun && to_judge)) && !(all && course_ == Course::kDone)) {
    const Stage& s = plan_.stages[judged];
    course_ = Course::kSoak;
    stage_ = judged;
    if (soak_from_ < 0) soak_from_ = wait_from_ = now;
    outcome_ = verdict_.Judge(s.requests);
    switch (outcome_.judgement) {
      case Judgement::kWorse:
        Mark("back", outcome_.why, orders);
        return GoBack(now, orders);
      case Judgement::kWorld:
        return Pause("the world changed: " + outcome_.why, orders);
      case Judgement::kWait:
        if (now - wait_from_ > std::max(s.soak, plan_.ask_after)) {
          Pause(fmt::format("{} requests met the new release in stage {}; {} are wanted: resume, or go back",
                            outcome_.least_new, judged + 1, s.requests),
                orders);
        } else {
          why_ = fmt::format("{} of {} requests", outcome_.least_new, s.requests);
        }
        return;
      case Judgement::kGood:
        break;
    }
    if (now - soak_from_ < s.soak) {
      why_ = "soaking";
      return;
    }
    soak_from_ = wait_from_ = -1;
    if (all) {
      bool confirmed = true;
      for (const auto& [name, n] : nodes_) {
        if (n.gone || (n.last && n.last->last_good.id == plan_.release.id)) continue;
        confirmed = false;
        orders.push_back(To(n, Command::What::kConfirm));
      }
      if (!confirmed) {
        soak_from_ = wait_from_ = now - s.soak;  // asked again in the next round until all have said so
        return;
      }
      Mark("done", "", orders);
      course_ = Course::kDone;
      why_.clear();
      return;
    }
  } else {
    // While a stage changes the new cohort is looked at too: a bad one is not given more nodes.
    outcome_ = verdict_.Judge(0);
    if (outcome_.judgement == Judgement::kWorse) {
      Mark("back", outcome_.why, orders);
      return GoBack(now, orders);
    }
    if (outcome_.judgement == Judgement::kWorld) return Pause("the world changed: " + outcome_.why, orders);
    soak_from_ = wait_from_ = -1;
  }
  course_ = Course::kStage;
  stage_ = at;
  why_.clear();
  for (const std::string& name : plan_.stages[at].nodes) {
    Node& n = nodes_.at(name);
    if (in_change_ >= plan_.stages[at].at_once) break;
    if (n.answered_at != now || !Behind(n) || n.absent_since >= 0) continue;
    if (!std::exchange(changed_, true)) verdict_.Restart();  // what came before is the world's past
    n.commanded = true;
    ++in_change_;
    orders.push_back(To(n, Command::What::kChange));
  }
}

void Driver::GoBack(Time now, std::vector<Order>& orders) {
  course_ = Course::kBack;
  why_ = mark_.second;
  std::size_t moving = 0, left = 0;
  for (const auto& [name, n] : nodes_) {
    if (n.gone || !n.last) continue;
    const bool back = n.last->in_force.id != plan_.release.id && n.last->trying.empty();
    if (!back) ++left;
    if (!back && (n.commanded || (!n.last->trying.empty() && n.last->trying != plan_.release.id))) ++moving;
  }
  for (auto& [name, n] : nodes_) {
    if (n.answered_at != now || !n.last) continue;
    const bool runs = n.last->in_force.id == plan_.release.id && n.last->trying.empty();
    const bool tries = n.last->trying == plan_.release.id;
    // One that is only being tried is given up at once: nothing serves with it yet.
    if (!tries && (!runs || moving >= plan_.back_at_once)) continue;
    if (runs && n.last->last_good.id == plan_.release.id) {  // it was confirmed there: nothing to go back to
      continue;
    }
    if (!tries) ++moving;
    n.commanded = !tries;
    orders.push_back(To(n, Command::What::kBack));
  }
  if (left == 0) {
    course_ = Course::kBackDone;
  } else {
    // Those that were confirmed already and run it count as the operator's to decide.
    bool stuck = true;
    for (const auto& [name, n] : nodes_) {
      if (n.gone || !n.last) continue;
      const bool back = n.last->in_force.id != plan_.release.id && n.last->trying.empty();
      if (!back && n.last->last_good.id != plan_.release.id) stuck = false;
    }
    if (stuck) course_ = Course::kBackDone, why_ += "; some nodes had confirmed the release and keep it";
  }
}

}  // namespace ryeglade::rollout
