// A test harness for the decision module of one node: passes events to a Router, records its actions and
// fires its timers in virtual time.
#pragma once

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::policy::test {

inline constexpr Time kMs = 1000;
inline constexpr Time kSecond = 1'000'000;

// Settings with one class. Attempts may be cancelled, but requests are not hedged.
inline Settings BasicSettings() {
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective = 1 * kSecond;
  settings.classes[0].time_budget = 8 * kSecond;
  settings.classes[0].late_weight_share = 0.5;
  settings.classes[0].dedup_window = 5 * kSecond;
  settings.classes[0].streaming = true;
  settings.max_attempts = 4;
  settings.can_cancel = true;
  settings.can_hedge = false;
  settings.slow_start_window = 20 * kSecond;
  settings.slow_start_min_share = 0.1;
  settings.drain_grace = 250 * kMs;
  settings.response_grace = 16 * kMs;
  return settings;
}

// An endpoint in the state kReady.
inline Endpoint Ready(ReplicaId id, int zone = 0, int cell = 0) {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.zone = zone;
  endpoint.cell = cell;
  return endpoint;
}

// `count` ready replicas with ids from 0.
inline std::vector<Endpoint> ReadyReplicas(ReplicaId count) {
  std::vector<Endpoint> list;
  for (ReplicaId i = 0; i < count; ++i) list.push_back(Ready(i));
  return list;
}

// A Router with a virtual clock. The members are public, so that tests can inspect them.
class Node {
 public:
  explicit Node(const Settings& settings, std::uint64_t seed = 7) : router(settings, seed, now) {}

  // Passes `event` to the router at the time `now`, records the actions and starts the timers that they set.
  template <class E>
  void Handle(const E& event) {
    const std::size_t before = actions.size();
    router.Handle(now, event, actions);
    for (std::size_t i = before; i < actions.size(); ++i) {
      if (const auto* timer = std::get_if<SetTimer>(&actions[i]))
        timers.emplace_back(now + timer->delay, timer->token);
    }
  }

  // Advances the time to `to` and fires the timers that become due until then.
  void AdvanceTo(Time to) {
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
      Handle(TimerFired{token});
    }
    now = to;
  }
  void Advance(Time span) { AdvanceTo(now + span); }

  // Passes a new version of the endpoint list to the router.
  void SetEndpoints(std::vector<Endpoint> entries, EndpointListScope scope = EndpointListScope::kFull) {
    Handle(EndpointList{scope, ++version, std::move(entries)});
  }

  // Reports the arrival of a request of class 0 and returns its id. `session` and `prefix` are ids; 0: none.
  RequestId Arrive(Time time_budget = 4 * kSecond, double prompt = 1000, std::uint64_t session = 0,
                   std::uint64_t prefix = 0) {
    RequestArrived arrival;
    arrival.id = ++last_request;
    arrival.time_budget = time_budget;
    arrival.prompt_tokens = prompt;
    arrival.max_answer_tokens = 500;
    arrival.session = session;
    arrival.prefix = prefix;
    arrival.prefix_tokens = prefix != 0 ? prompt / 2 : 0;
    Handle(arrival);
    return arrival.id;
  }

  // Reports the end of an attempt to the router as if it came `elapsed` after the attempt was sent; does not
  // advance the time. With `concluded` nothing is left to send to the client.
  void EndAttempt(RequestId id, int attempt, Outcome outcome, bool concluded, Time elapsed = 500 * kMs) {
    AttemptEnded ended;
    ended.id = id;
    ended.attempt = attempt;
    ended.replica = AttemptsOf(id).at(static_cast<std::size_t>(attempt)).replica;
    ended.outcome = outcome;
    ended.request_concluded = concluded;
    ended.elapsed = elapsed;
    Handle(ended);
  }

  // Reports that an attempt was served: its first token after a quarter of `elapsed`, its end after all of
  // it.
  void Serve(RequestId id, int attempt = 0, Time elapsed = 500 * kMs) {
    Handle(ResponseStarted{id, attempt, AttemptsOf(id).at(static_cast<std::size_t>(attempt)).replica,
                           elapsed / 4});
    EndAttempt(id, attempt, Outcome::kServed, true, elapsed);
  }

  // Returns all actions of type A so far. ActionsFor returns those for one request.
  template <class A>
  std::vector<A> Actions() const {
    std::vector<A> found;
    for (const Action& action : actions) {
      if (const A* match = std::get_if<A>(&action)) found.push_back(*match);
    }
    return found;
  }
  template <class A>
  std::vector<A> ActionsFor(RequestId id) const {
    std::vector<A> found;
    for (const A& action : Actions<A>()) {
      if (action.id == id) found.push_back(action);
    }
    return found;
  }
  std::vector<SendAttempt> AttemptsOf(RequestId id) const { return ActionsFor<SendAttempt>(id); }
  // The number of rejections and failures of the request.
  std::size_t FinalResponses(RequestId id) const {
    return ActionsFor<RejectRequest>(id).size() + ActionsFor<FailRequest>(id).size();
  }

  Time now = 100 * kSecond;
  std::vector<Action> actions;                         // all since the start
  std::vector<std::pair<Time, std::uint64_t>> timers;  // due time and token of the timers that have not fired
  std::uint32_t version = 0;                           // version of the last endpoint list
  RequestId last_request = 0;                          // id of the last request that arrived
  Router router;
};

}  // namespace ryeglade::policy::test
