#include "hot_restart/hot_restart.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace ryeglade::hot_restart {
namespace {

constexpr Time kAlone = 100'000, kBeside = 20'000;  // between two looks
constexpr Time kBeatEvery = 200'000;
constexpr Time kTellOutEvery = 100'000;
constexpr unsigned kLookForOut = 50;  // ms

}  // namespace

HandOver::HandOver(const Runtime* run, HandOverPort* port, const std::string& lease, const std::string& state,
                   const std::string& out, std::string node, std::size_t sockets, std::size_t memory)
    : run_(run),
      port_(port),
      lease_(lease),
      other_(lease_.Look()),
      succession_(Now(), other_.alive),
      state_(run->loop, state, [](const std::string&) {}),
      out_(run->loop, out, [this](const std::string& text) { Told(text); }),
      node_(std::move(node)),
      sockets_(sockets),
      memory_(memory) {
  mine_.pid = getpid();
  mine_.started = succession_.started();
  mine_.sockets = sockets_;
  mine_.memory = memory_;
}

void HandOver::Start() {
  if (!lease_.held() && state_.on())
    Log(Level::kWarn, "hand-over-off", {{"why", "two processes of this node run, or no TMPDIR"}});
  Say();
  if (!other_.alive) {
    port_->Serve();
  } else {
    Log(Level::kInfo, "hand-over-waits", {{"pid", other_.said ? other_.said->pid : 0}});
  }
  if (lease_.held()) Look();
}

void HandOver::Look() {
  if (closed_) return;
  other_ = lease_.Look();
  if (succession_.word() == Word::kStarting && other_.alive) TryState();
  Do(succession_.Look(Now(), other_));
  if (closed_) return;
  if (succession_.yielded() && Now() - told_at_ >= kTellOutEvery) {
    told_at_ = Now();
    Out now = port_->OutNow();
    if (now != told_) {
      told_ = std::move(now);
      out_.Write(EncodeOut(told_, mine_.pid));
    }
  }
  if (other_.alive && !watching_ && succession_.word() != Word::kStarting && !succession_.yielded()) {
    watching_ = true;
    out_.Watch(kLookForOut);
  }
  Say();
  tick_ = run_->deadlines->Set(Now() + (other_.alive ? kBeside : kAlone), [this] { Look(); });
}

void HandOver::TryState() {
  const auto text = state_.ReadNow();
  if (!text) return;
  std::string why;
  auto state = DecodeState(*text, mine_.pid, node_, &why);
  if (!state) {
    if (why != "of or for another process") Log(Level::kWarn, "hand-over-state-aside", {{"why", why}});
    return;
  }
  Out out;
  for (const auto& r : state->learned.replicas) {
    if (r.in_flight > 0) out.emplace_back(r.id, r.in_flight);
  }
  Log(Level::kInfo, "hand-over-taken",
      {{"program", state->program},
       {"bytes", text->size()},
       {"replicas", state->learned.replicas.size()},
       {"out", out.size()}});
  port_->Inherit(std::move(*state));
  Do(succession_.StateCame());
  if (!closed_) port_->Beside(std::move(out));
}

void HandOver::Do(const Step& step) {
  if (step.give) {
    Log(Level::kInfo, "hand-over-gives", {{"to", step.to}});
    state_.Write(EncodeState(port_->Known(), step.to));
  }
  if (step.serve) {
    if (*step.why != 's') Log(Level::kInfo, "hand-over-serves", {{"why", step.why}});
    port_->Serve();
    Say();
  }
  if (closed_) return;
  if (step.yield) {
    Log(Level::kInfo, "hand-over-yields", {{"to", other_.said ? other_.said->pid : 0}, {"why", step.why}});
    port_->Yield();
  }
  if (step.take_up) {
    Log(Level::kWarn, "hand-over-taken-up-again", {{"why", step.why}});
    port_->TakeUp();
  }
  if (step.alone) port_->Beside({});
}

// A beat, and the limits as they fall to this process now.
void HandOver::Say() {
  const bool older = !other_.said || other_.said->started > mine_.started;
  const std::size_t sockets =
      Share(sockets_, port_->UsedSockets(), mine_.sockets, older, succession_.yielded(), other_,
            other_.said ? other_.said->sockets : sockets_ / 2);
  const std::size_t memory = Share(memory_, port_->UsedMemory(), mine_.memory, older, succession_.yielded(),
                                   other_, other_.said ? other_.said->memory : memory_ / 2);
  const bool moved = sockets != mine_.sockets || memory != mine_.memory;
  if (moved) port_->Limit(sockets, memory);
  if (!moved && succession_.word() == mine_.word && Now() - said_at_ < kBeatEvery) return;
  mine_.sockets = sockets;
  mine_.memory = memory;
  mine_.word = succession_.word();
  ++mine_.beat;
  said_at_ = Now();
  lease_.Say(mine_);
}

void HandOver::Told(const std::string& text) {
  if (!other_.said || succession_.yielded()) return;
  if (auto out = DecodeOut(text, other_.said->pid)) port_->Beside(std::move(*out));
}

void HandOver::Term() {
  if (lease_.held()) other_ = lease_.Look();
  Do(succession_.Term(other_));
  Say();
}

void HandOver::Close() {
  closed_ = true;
  run_->deadlines->Cancel(tick_);
  state_.Close();
  out_.Close();
}

}  // namespace ryeglade::hot_restart
