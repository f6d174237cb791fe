// The graceful shutdown of a node after SIGTERM: applies the termination plan to the client listeners and the
// streams until every accepted request has its response.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "app/termination_policy.h"
#include "base/deadlines.h"
#include "core/streams.h"
#include "hot_restart/hot_restart.h"
#include "http/downstream.h"

namespace ryeglade {

class ShutdownSequence {
 public:
  // All pointers must outlive this object. `finished` is called once, when the process can exit.
  ShutdownSequence(Deadlines* deadlines, Streams* streams, const hot_restart::HotRestart* hot_restart,
                   std::function<void()> finished);
  void AddListener(Downstream* listener) { listeners_.push_back(listener); }

  // Starts the shutdown. `began_at` is the time of the signal. `classes` are those in force.
  void Begin(Time began_at, const std::vector<policy::ClassSettings>& classes);
  // To be called when the settings change. During the shutdown they may shorten it; before Begin there is no
  // effect.
  void UpdateClasses(const std::vector<policy::ClassSettings>& classes);
  bool began() const { return began_at_ != 0; }
  Time elapsed() const;  // microseconds since the shutdown began; 0 if it has not

 private:
  void Advance();
  void SetStreamDeadlines();
  void LogPastKill(Time since_begin);
  // Whether no client waits for a response and every last response was sent at least `quiet` microseconds
  // ago.
  bool ListenersSettled(Time quiet) const;
  std::size_t connections() const;

  Deadlines* deadlines_;
  Streams* streams_;
  const hot_restart::HotRestart* hot_restart_;
  std::function<void()> finished_;
  std::vector<Downstream*> listeners_;  // for clients, without the admin listener
  Time began_at_ = 0;                   // 0: the shutdown has not begun
  TerminationPlan plan_;
  bool past_kill_logged_ = false;
};

}  // namespace ryeglade
