// A node under test: feeds events to a Router and sorts out its actions.
#pragma once

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::policy::test {

inline constexpr Time kMs = 1000;
inline constexpr Time kSecond = 1'000'000;

inline Settings BasicSettings() {
  Settings s;
  s.classes.resize(1);
  s.classes[0].latency_objective = 1 * kSecond;
  s.classes[0].time_budget = 8 * kSecond;
  s.classes[0].late_weight_share = 0.5;
  s.classes[0].dedup_window = 5 * kSecond;
  s.classes[0].streaming = true;
  s.max_attempts = 4;
  s.can_cancel = true;
  s.can_hedge = false;
  s.slow_start_window = 20 * kSecond;
  s.slow_start_min_share = 0.1;
  s.drain_grace = 250 * kMs;
  s.response_grace = 16 * kMs;
  return s;
}

inline Endpoint Ready(ReplicaId id, int zone = 0, int cell = 0) {
  Endpoint e;
  e.id = id;
  e.zone = zone;
  e.cell = cell;
  return e;
}

// `count` ready replicas with ids from 0.
inline std::vector<Endpoint> Fleet(ReplicaId count) {
  std::vector<Endpoint> list;
  for (ReplicaId i = 0; i < count; ++i) list.push_back(Ready(i));
  return list;
}

class Node {
 public:
  explicit Node(const Settings& s, std::uint64_t seed = 7) : router(s, seed, now) {}

  template <class E>
  void Give(const E& event) {
    const std::size_t before = log.size();
    router.Handle(now, event, log);
    for (std::size_t i = before; i < log.size(); ++i) {
      if (const auto* timer = std::get_if<SetTimer>(&log[i]))
        timers.emplace_back(now + timer->delay, timer->token);
    }
  }

  // Lets time pass up to `to`, with the timers that fall due on the way.
  void Until(Time to) {
    while (true) {
      std::size_t first = timers.size();
      for (std::size_t i = 0; i < timers.size(); ++i) {
        if (timers[i].first <= to && (first == timers.size() || timers[i].first < timers[first].first))
          first = i;
      }
      if (first == timers.size()) break;
      const auto [at, token] = timers[first];
      timers.erase(timers.begin() + static_cast<std::ptrdiff_t>(first));
      now = std::max(now, at);
      Give(TimerFired{token});
    }
    now = to;
  }
  void Pass(Time span) { Until(now + span); }

  void List(std::vector<Endpoint> entries, EndpointListScope scope = EndpointListScope::kFull) {
    Give(EndpointList{scope, ++version, std::move(entries)});
  }

  RequestId Ask(Time patience = 4 * kSecond, double prompt = 1000, std::uint64_t session = 0,
                std::uint64_t prefix = 0) {
    RequestArrived r;
    r.id = ++last_id;
    r.time_budget = patience;
    r.prompt_tokens = prompt;
    r.max_answer_tokens = 500;
    r.session = session;
    r.prefix = prefix;
    r.prefix_tokens = prefix != 0 ? prompt / 2 : 0;
    Give(r);
    return r.id;
  }

  void End(RequestId id, int attempt, Outcome outcome, bool concluded, Time elapsed = 500 * kMs) {
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt;
    e.replica = Sends(id).at(static_cast<std::size_t>(attempt)).replica;
    e.outcome = outcome;
    e.request_concluded = concluded;
    e.elapsed = elapsed;
    Give(e);
  }

  void Serve(RequestId id, int attempt = 0, Time elapsed = 500 * kMs) {
    Give(ResponseStarted{id, attempt, Sends(id).at(static_cast<std::size_t>(attempt)).replica, elapsed / 4});
    End(id, attempt, Outcome::kServed, true, elapsed);
  }

  template <class A>
  std::vector<A> All() const {
    std::vector<A> found;
    for (const Action& a : log) {
      if (const A* x = std::get_if<A>(&a)) found.push_back(*x);
    }
    return found;
  }
  template <class A>
  std::vector<A> Of(RequestId id) const {
    std::vector<A> found;
    for (const A& a : All<A>()) {
      if (a.id == id) found.push_back(a);
    }
    return found;
  }
  std::vector<SendAttempt> Sends(RequestId id) const { return Of<SendAttempt>(id); }
  std::size_t Finals(RequestId id) const { return Of<RejectRequest>(id).size() + Of<FailRequest>(id).size(); }

  Time now = 100 * kSecond;
  std::vector<Action> log;
  std::vector<std::pair<Time, std::uint64_t>> timers;
  std::uint32_t version = 0;
  RequestId last_id = 0;
  Router router;
};

}  // namespace ryeglade::policy::test
