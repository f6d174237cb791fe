// The only caller of the decision module. Events are handed over one at a time in the order posted, and the
// module's actions are carried out in the order given; what they cause is posted behind them.
#pragma once

#include <deque>
#include <vector>

#include "canvasspread/router.h"
#include "core.h"

namespace ryeglade {

class Decisions {
 public:
  explicit Decisions(Core* core);
  void Post(canvasspread::Event event);
  const canvasspread::Router& router() const { return router_; }

 private:
  void CarryOut(const canvasspread::Action& action);

  Core* core_;
  canvasspread::Router router_;
  std::deque<canvasspread::Event> events_;
  std::vector<canvasspread::Action> actions_;
  bool busy_ = false;
};

}  // namespace ryeglade
