// The soak's checker, by histories that keep or break one rule each, and its plans.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/soak/checker_model.h"
#include "lab/soak/plan.h"

namespace ryeglade::soak {
namespace {

using policy::DedupScope;
using policy::Idempotency;

constexpr Time kMs = 1'000, kSec = 1'000'000;

ClassTable Table() {
  const auto rules = [](Idempotency effect, DedupScope scope) {
    return ClassRules{effect, scope, 2 * kSec, 5 * kSec};
  };
  return {{"free", rules(Idempotency::kIdempotent, DedupScope::kAll)},
          {"single", rules(Idempotency::kNotIdempotent, DedupScope::kAll)},
          {"all", rules(Idempotency::kIdempotencyKey, DedupScope::kAll)},
          {"zone", rules(Idempotency::kIdempotencyKey, DedupScope::kZone)},
          {"cell", rules(Idempotency::kIdempotencyKey, DedupScope::kCell)}};
}

// One node, three replicas (the first two share a zone, the first and the last a cell), one request at a
// time.
struct Story {
  Story() {
    h.begin = kSec;
    h.end = 100 * kSec;
    h.replicas = {{"s-a", 0, 0}, {"s-b", 0, 1}, {"s-c", 1, 0}};
    h.settings = {{0, 0, Table()}};
    Process p;
    p.started = p.ready = kSec;
    p.told_end = 90 * kSec, p.may_kill = p.told_end + 3'700 * kMs, p.ended = p.told_end + kSec, p.status = 0;
    h.processes = {p};
  }
  ClientRequest& Ask(const std::string& cls, Time at = 10 * kSec) {
    ClientRequest r;
    r.id = std::to_string(h.requests.size() + 1);
    r.cls = cls;
    r.connected = at - kMs;
    r.sent = at;
    r.budget = 5 * kSec;
    r.end = ClientEnd::kRefused;
    r.status = 503;
    r.ended = at + 100 * kMs;
    return h.requests.emplace_back(r);
  }
  Attempt& Send(std::size_t replica, Time at, AttemptEnd end = AttemptEnd::kReset, Time lasts = 20 * kMs) {
    Attempt a;
    a.id = h.requests.back().id;
    a.replica = replica;
    a.began = a.taken = at;
    a.ended = at + lasts;
    a.budget = h.requests.back().sent + h.requests.back().budget - at;
    a.end = end;
    return h.attempts.emplace_back(a);
  }
  // Answered by the attempt that was sent last, in `pieces` 10 ms apart.
  void Serve(int pieces = 3) {
    Attempt& a = h.attempts.back();
    ClientRequest& r = h.requests.back();
    for (int n = 0; n < pieces; ++n) {
      a.events.push_back({a.taken + (n + 1) * 10 * kMs, "data: " + r.id + std::to_string(n) + "\n\n"});
    }
    r.events = a.events;
    a.end = AttemptEnd::kWhole;
    a.ended = r.ended = a.events.back().at;
    r.end = ClientEnd::kServed;
    r.status = 200;
  }
  std::vector<Rule> Broken() const {
    std::vector<Rule> rules;
    for (const Breach& b : Judge(h).breaches) rules.push_back(b.rule);
    return rules;
  }
  History h;
};

using Rules = std::vector<Rule>;
using Tell = std::function<void(Story&)>;

void Check(const char* name, const Rules& wanted, const Tell& tell) {
  Story s;
  tell(s);
  EXPECT_EQ(s.Broken(), wanted) << name;
}

TEST(SoakChecker, ServedRefusedUnsentAndRepeatedWhereAllowedKeepEveryRule) {
  Check("served", {}, [](Story& s) { s.Ask("single"), s.Send(0, 10 * kSec), s.Serve(); });
  Check("refused, never sent", {}, [](Story& s) { s.Ask("single"); });
  Check("refused, turned away", {},
        [](Story& s) { s.Ask("single"), s.Send(0, 10 * kSec, AttemptEnd::kRejected); });
  Check("refused, never whole", {}, [](Story& s) { s.Ask("single"), s.Send(0, 10 * kSec).taken = 0; });
  for (const char* cls : {"free", "all"}) {
    Check(cls, {}, [&](Story& s) { s.Ask(cls), s.Send(0, 10 * kSec); });
    Check(cls, {}, [&](Story& s) { s.Ask(cls), s.Send(0, 10 * kSec), s.Send(2, 11 * kSec), s.Serve(); });
  }
  Check("zone", {}, [](Story& s) { s.Ask("zone"), s.Send(0, 10 * kSec), s.Send(1, 11 * kSec), s.Serve(); });
  Check("cell", {}, [](Story& s) { s.Ask("cell"), s.Send(0, 10 * kSec), s.Send(2, 11 * kSec), s.Serve(); });
  Check("failed", {}, [](Story& s) { s.Ask("single").end = ClientEnd::kFailed, s.Send(0, 10 * kSec); });
}

TEST(SoakChecker, ARefusalOfWhatMayHaveRunIsSaidForEachEffect) {
  for (const char* cls : {"single", "zone", "cell"}) {
    for (const AttemptEnd end :
         {AttemptEnd::kReset, AttemptEnd::kNodeClosed, AttemptEnd::kError, AttemptEnd::kOpen}) {
      Check(cls, {Rule::kRefusal}, [&](Story& s) { s.Ask(cls), s.Send(0, 10 * kSec, end); });
    }
  }
  Check("handed back", {Rule::kAnswer, Rule::kRefusal}, [](Story& s) {
    ClientRequest& r = s.Ask("single");
    r.end = ClientEnd::kNoAnswer, r.reused = true;
    s.Send(0, 10 * kSec);
  });
  // Settings that change about then: it may have been taken by either.
  Check("free before", {}, [](Story& s) {
    ClassTable other = Table();
    other["single"].effect = Idempotency::kIdempotent;
    s.h.settings.push_back({0, 10 * kSec - 900 * kMs, other});
    s.Ask("single"), s.Send(0, 10 * kSec);
  });
  Check("long after", {Rule::kRefusal}, [](Story& s) {
    ClassTable other = Table();
    other["single"].effect = Idempotency::kIdempotent;
    s.h.settings.push_back({0, 12 * kSec, other});
    s.Ask("single"), s.Send(0, 10 * kSec);
  });
}

TEST(SoakChecker, ARepeatOutsideEffectScopeOrWindowIsSaid) {
  const auto twice = [](const char* cls, std::size_t next, Time after) {
    return [=](Story& s) { s.Ask(cls), s.Send(0, 10 * kSec), s.Send(next, 10 * kSec + after), s.Serve(); };
  };
  Check("single", {Rule::kRepeat}, twice("single", 0, kSec));
  Check("other zone", {Rule::kRepeat}, twice("zone", 2, kSec));
  Check("other cell", {Rule::kRepeat}, twice("cell", 1, kSec));
  Check("at the window's end", {}, twice("all", 1, 2 * kSec + 190 * kMs));
  Check("behind it", {Rule::kRepeat}, twice("all", 1, 2 * kSec + 210 * kMs));
}

TEST(SoakChecker, TwoAtOnceIsSaidAndOneRightAfterTheOtherIsNot) {
  const auto over = [](Time overlap) {
    return [=](Story& s) {
      s.Ask("free"), s.Send(0, 10 * kSec, AttemptEnd::kNodeClosed, kSec);
      s.Send(1, 11 * kSec - overlap), s.Serve();
    };
  };
  Check("in turn", {}, over(0));
  Check("within the order of reading", {}, over(90 * kMs));
  Check("at once", {Rule::kTwoAtOnce}, over(110 * kMs));
}

TEST(SoakChecker, AnAnswerHasToComeInTimeAndAtAll) {
  const auto late = [](Time by) { return [=](Story& s) { s.Ask("free").ended = 15 * kSec + by; }; };
  Check("half a second late", {}, late(540 * kMs));
  Check("later", {Rule::kAnswer}, late(560 * kMs));
  Check("never", {Rule::kAnswer}, [](Story& s) {
    ClientRequest& r = s.Ask("free");
    r.end = ClientEnd::kTimedOut, r.ended = 17 * kSec;
  });
  Check("closed on a new connection", {Rule::kAnswer},
        [](Story& s) { s.Ask("free").end = ClientEnd::kNoAnswer; });
  Check("crossed a kept one's end", {}, [](Story& s) {
    ClientRequest& r = s.Ask("free");
    r.end = ClientEnd::kNoAnswer, r.reused = true;
  });
  Check("stopped meanwhile", {}, [](Story& s) {
    s.Ask("free").ended = 17 * kSec;
    s.h.processes[0].stops = {{11 * kSec, 13 * kSec}};
  });
  Check("held up for a moment only", {Rule::kAnswer}, [](Story& s) {
    s.Ask("free").ended = 15 * kSec + 600 * kMs;
    s.h.processes[0].stops = {{11 * kSec, 11 * kSec + 150 * kMs}};
  });
}

TEST(SoakChecker, WhatSigkillFindsIsJudgedByWhenItCame) {
  const auto killed = [](Time sent) {
    return [=](Story& s) {
      Process& p = s.h.processes[0];
      p.killed = p.ended = p.may_kill, p.status = 137;
      ClientRequest& r = s.Ask("free", p.told_end + sent);
      r.end = ClientEnd::kNoAnswer, r.ended = p.killed;
    };
  };
  Check("taken in time", {Rule::kProcess}, killed(600 * kMs));
  Check("taken late", {Rule::kAnswer, Rule::kProcess}, killed(3'600 * kMs));
}

TEST(SoakChecker, AttemptsForAClientThatHasGoneAndTimeThatItHasNotAreSaid) {
  const auto gone = [](Time after) {
    return [=](Story& s) {
      ClientRequest& r = s.Ask("free");
      r.end = ClientEnd::kLeft, r.left = r.ended = 11 * kSec;
      s.Send(0, 11 * kSec + after);
    };
  };
  Check("within 0.1 s", {}, gone(140 * kMs));
  Check("later", {Rule::kClientGone}, gone(160 * kMs));
  const auto told = [](Time more) {
    return [=](Story& s) { s.Ask("free"), s.Send(0, 12 * kSec).budget = 3 * kSec + more; };
  };
  Check("0.15 s too much", {}, told(190 * kMs));
  Check("more", {Rule::kBudget}, told(210 * kMs));
}

TEST(SoakChecker, WhatIsSentToADrainingReplicaIsSaidOnceItsNodeWasToldLongEnough) {
  const auto drained = [](Time after, Time stop) {
    return [=](Story& s) {
      s.h.list = {{0, 0, 9 * kSec, 10 * kSec - after, false}};
      if (stop > 0) s.h.processes[0].stops = {{10 * kSec - after - kMs, 10 * kSec - after - kMs + stop}};
      s.Ask("free"), s.Send(0, 10 * kSec), s.Serve();
    };
  };
  Check("in the grace", {}, drained(790 * kMs, 0));
  Check("after it", {Rule::kDrain}, drained(810 * kMs, 0));
  Check("the grace covers 0.15 s", {Rule::kDrain}, drained(810 * kMs, 150 * kMs));
  Check("stopped as it was told", {}, drained(900 * kMs, 300 * kMs));
  Check("there again", {}, [](Story& s) {
    s.h.list = {{0, 0, 2 * kSec, 2 * kSec, false}, {0, 0, 8 * kSec, 8 * kSec, true}};
    s.Ask("free"), s.Send(0, 10 * kSec), s.Serve();
  });
}

TEST(SoakChecker, WhatIsServedIsWhatOneReplicaMade) {
  const auto served = [](const Tell& change) {
    return [=](Story& s) { s.Ask("free"), s.Send(0, 10 * kSec), s.Serve(), change(s); };
  };
  Check("changed", {Rule::kContent}, served([](Story& s) { s.h.requests[0].events[1].bytes[6] ^= 1; }));
  Check("out of order", {Rule::kContent}, served([](Story& s) {
          std::swap(s.h.requests[0].events[0].bytes, s.h.requests[0].events[1].bytes);
        }));
  Check("ended early with the last chunk", {Rule::kContent},
        served([](Story& s) { s.h.requests[0].events.pop_back(); }));
  Check("of a stream that broke", {Rule::kContent},
        served([](Story& s) { s.h.attempts[0].end = AttemptEnd::kReset; }));
  Check("made by nobody", {Rule::kContent}, served([](Story& s) { s.h.attempts.clear(); }));
  Check("cut where the replica broke", {}, served([](Story& s) {
          s.h.attempts[0].end = AttemptEnd::kReset;
          s.h.requests[0].end = ClientEnd::kCut;
        }));
  Check("cut although it was whole", {Rule::kForward},
        served([](Story& s) { s.h.requests[0].end = ClientEnd::kCut; }));
  Check("cut 5 s late", {Rule::kForward}, served([](Story& s) {
          s.h.attempts[0].end = AttemptEnd::kReset;
          s.h.requests[0].end = ClientEnd::kCut, s.h.requests[0].ended += 5'100 * kMs;
        }));
  Check("cut by the node", {Rule::kAnswer}, served([](Story& s) {
          s.h.attempts[0].end = AttemptEnd::kNodeClosed;
          s.h.requests[0].end = ClientEnd::kCut;
        }));
  Check("moved where clients ask for the rest", {}, served([](Story& s) {
          s.h.resume = true;
          s.h.attempts[0].end = AttemptEnd::kNodeClosed;
          s.h.requests[0].end = ClientEnd::kCut;
        }));
}

TEST(SoakChecker, EventsHeldBackAreSaidBeyondOneStreamInTen) {
  const auto held = [](int late) {
    return [=](Story& s) {
      for (int n = 0; n < 40; ++n) {
        s.Ask("free", (10 + n) * kSec), s.Send(0, (10 + n) * kSec), s.Serve();
        if (n < late)
          s.h.requests.back().events.back().at += 360 * kMs, s.h.requests.back().ended += 360 * kMs;
      }
    };
  };
  Check("one in ten", {}, held(4));
  Check("more", {Rule::kInTime}, held(5));
}

TEST(SoakChecker, AProcessEndsByItselfInTimeAndDoesNotCrashOrGrow) {
  const auto process = [](const std::function<void(Process&)>& change) {
    return [=](Story& s) { change(s.h.processes[0]); };
  };
  Check("crashed", {Rule::kProcess}, process([](Process& p) { p.told_end = 0, p.status = 139; }));
  Check("failed at its end", {Rule::kProcess}, process([](Process& p) { p.status = 1; }));
  Check("killed at its end", {Rule::kProcess}, process([](Process& p) { p.killed = p.ended = p.may_kill; }));
  Check("shot by the plan", {}, process([](Process& p) { p.told_end = 0, p.shot = true, p.status = 137; }));
  Check("grown", {Rule::kProcess},
        process([](Process& p) { p.first_descriptors = 20, p.last_descriptors = 200; }));
  Check("fat", {Rule::kProcess},
        process([](Process& p) { p.first_memory = 1 << 20, p.last_memory = 80 << 20; }));
  Check("a stream under way", {}, [](Story& s) {
    Process& p = s.h.processes[0];
    p.killed = p.ended = p.may_kill, p.status = 137;
    s.Ask("free", p.told_end), s.Send(0, p.told_end), s.Serve();
    s.h.requests[0].end = ClientEnd::kCut, s.h.requests[0].ended = p.killed;
  });
  Check("a bad client waits", {Rule::kBadClient}, [](Story& s) {
    s.h.bad_clients = {{0, 10 * kSec, 13'100 * kMs, true}};
  });
  Check("and not for too long", {}, [](Story& s) { s.h.bad_clients = {{0, 10 * kSec, 13 * kSec, false}}; });
}

TEST(SoakChecker, WhatTheLabItselfSawLateIsNotHeldAgainstANode) {
  Check("lag", {}, [](Story& s) {
    s.h.lab_lags = {{11 * kSec, 11'300 * kMs}};
    ClientRequest& r = s.Ask("free");
    r.end = ClientEnd::kLeft, r.left = r.ended = 11 * kSec;
    s.Send(0, 11'350 * kMs);
  });
}

// Whatever it is given: it ends, and every request is counted once.
RC_GTEST_PROP(SoakChecker, AnyHistoryIsJudged, ()) {
  Story s;
  const auto time = [] { return *rc::gen::inRange<Time>(0, 100 * kSec); };
  const auto size = [](std::size_t n) { return *rc::gen::inRange<std::size_t>(0, n); };
  const std::size_t requests = size(8);
  for (std::size_t n = 0; n < requests; ++n) {
    ClientRequest& r = s.Ask(n % 2 == 0 ? "zone" : "no such class", time());
    r.end = static_cast<ClientEnd>(size(9)), r.ended = time(), r.left = time();
    r.reused = size(2) == 0, r.behind = size(2) == 0;
    if (size(3) == 0) r.id = "1";
    const std::size_t attempts = size(4);
    for (std::size_t k = 0; k < attempts; ++k) {
      Attempt& a = s.Send(size(3), time(), static_cast<AttemptEnd>(size(6)), time());
      if (size(3) == 0) a.ended = 0;
      if (size(2) == 0) a.events.push_back({time(), "x"});
      if (size(2) == 0) r.events.push_back({time(), "x"});
    }
  }
  s.h.processes[0].stops = {{time(), time()}};
  s.h.processes[0].killed = size(2) == 0 ? time() : 0;
  const Verdict v = Judge(s.h);
  RC_ASSERT(v.requests == requests);
  RC_ASSERT(v.served + v.refused + v.failed <= requests);
}

TEST(SoakPlan, ASeedGivesOnePlanAndItsTextReadsBack) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const std::string text = PlanText(MakePlan(seed, 40 * kSec));
    EXPECT_EQ(text, PlanText(MakePlan(seed, 40 * kSec)));
    EXPECT_EQ(text, PlanText(ReadPlan(text)));
    EXPECT_NE(text, PlanText(MakePlan(seed + 1, 40 * kSec)));
  }
}

TEST(SoakPlan, EveryFaultAndEffectIsDrawnBySomeSeed) {
  std::vector<int> seen(static_cast<std::size_t>(FaultKind::kCount));
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const Plan plan = MakePlan(seed, 40 * kSec);
    EXPECT_EQ(plan.classes.size(), 5U);
    for (const Fault& f : plan.faults) {
      ++seen[static_cast<std::size_t>(f.kind)];
      EXPECT_EQ(FaultKindOf(Name(f.kind)), f.kind);
    }
  }
  for (std::size_t n = 0; n < seen.size(); ++n) EXPECT_GT(seen[n], 0) << Name(static_cast<FaultKind>(n));
}

TEST(SoakPlan, WhatIsWrongWithAPlanIsNamed) {
  const std::string good = PlanText(MakePlan(3, 20 * kSec));
  const auto refused = [&](const std::string& from, const std::string& to, const std::string& named) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    try {
      ReadPlan(text);
      ADD_FAILURE() << "taken: " << to;
    } catch (const std::runtime_error& e) {
      EXPECT_NE(std::string(e.what()).find(named), std::string::npos) << e.what();
    }
  };
  refused("\"push\"", "\"pull\"", "push");
  refused("\"effect\": \"single_shot\"", "\"effect\": \"none\"", "none");
  refused("\"length_us\": 20000000", "\"length_us\": 20", "length_us");
  refused("\"kind\": \"", "\"kind\": \"un", "fault");
  EXPECT_THROW(ReadPlan("{"), std::runtime_error);
}

}  // namespace
}  // namespace ryeglade::soak
