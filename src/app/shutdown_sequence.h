// The graceful shutdown of a node after SIGTERM: carries out the termination plan on the client listeners and
// the streams, step by step, until nothing is owed to any client.
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
  // All must outlive this object. `finished` is called once, when the process can end.
  ShutdownSequence(Deadlines* deadlines, Streams* streams, const hot_restart::HotRestart* hot_restart,
                   std::function<void()> finished);
  void AddListener(Downstream* listener) { listeners_.push_back(listener); }

  // `began_at`: when the process was told to end. `classes` are those in force.
  void Begin(Time began_at, const std::vector<policy::ClassSettings>& classes);
  // Settings that come during the shutdown may bring its end forward. No effect before Begin.
  void UpdateClasses(const std::vector<policy::ClassSettings>& classes);
  bool began() const { return began_at_ != 0; }
  Time elapsed() const;  // microseconds since the shutdown began; 0: it has not

 private:
  void Advance();
  void SetStreamDeadlines();
  bool ListenersSettled(Time quiet) const;
  std::size_t connections() const;

  Deadlines* deadlines_;
  Streams* streams_;
  const hot_restart::HotRestart* hot_restart_;
  std::function<void()> finished_;
  std::vector<Downstream*> listeners_;  // clients'
  Time began_at_ = 0;
  TerminationPlan plan_;
};

}  // namespace ryeglade
