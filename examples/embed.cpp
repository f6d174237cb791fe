// Embeds a Router in a program, which passes events to it and carries out its actions. No network is used
// here: the program itself generates the events of a replica that serves the request.
#include <cstdio>
#include <variant>
#include <vector>

#include "ryeglade/router.h"

namespace policy = ryeglade::policy;

int main() {
  policy::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].streaming = true;
  settings.max_attempts = 3;

  policy::Time now = 1'000'000;
  policy::Router router(settings, /*seed=*/42, now);
  std::vector<policy::Action> actions;

  policy::EndpointList list;
  list.endpoints.resize(2);
  list.endpoints[0].id = 10;
  list.endpoints[1].id = 11;
  router.Handle(now, list, actions);

  policy::RequestArrived request;
  request.id = 1;
  request.prompt_tokens = 800;
  request.time_budget = 5'000'000;
  router.Handle(now, request, actions);

  int served = 0;
  for (const policy::Action& action : std::vector<policy::Action>(actions)) {
    const auto* send = std::get_if<policy::SendAttempt>(&action);
    if (send == nullptr) continue;  // a node also carries out the others: timers, rejections, cancellations
    now += 120'000;
    router.Handle(now, policy::ResponseStarted{send->id, 0, send->replica, 120'000}, actions);
    policy::AttemptEnded ended;
    ended.id = send->id;
    ended.replica = send->replica;
    ended.elapsed = 900'000;
    ended.request_concluded = true;
    now += 780'000;
    router.Handle(now, ended, actions);
    std::printf("request %llu served on replica %u\n", static_cast<unsigned long long>(send->id),
                send->replica);
    ++served;
  }
  return served == 1 && router.open_requests() == 0 ? 0 : 1;
}
