// How soon a wrong key is told so. A few at a time are answered at once; when many show wrong keys together,
// each further answer takes its turn, so that whoever tries again as soon as it is answered can't take the
// node's time from those whose keys are right. No I/O, no clock.
#pragma once

#include "ryeglade/router.h"

namespace ryeglade::limits {

using policy::Time;

class WrongKeys {
 public:
  // The wait before the answer, 0 to `most`. `per_second`: answers given once the first `at_once` are spent.
  explicit WrongKeys(double per_second = 200, double at_once = 200, Time most = 2'000'000)
      : step_(static_cast<Time>(1e6 / per_second)),
        slack_(static_cast<Time>(at_once * 1e6 / per_second)),
        most_(most) {}

  Time Wait(Time now);

 private:
  Time step_, slack_, most_;
  Time next_ = 0;  // the next turn, were there no slack
};

}  // namespace ryeglade::limits
