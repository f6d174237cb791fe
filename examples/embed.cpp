// Embedding a Router in a node: feed it events, carry out its actions. Here the "network" answers at once.
#include <cstdio>
#include <variant>
#include <vector>

#include "ryeglade/router.h"

namespace cs = ryeglade::policy;

int main() {
  cs::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].stream = true;
  settings.max_attempts = 3;

  cs::Time now = 1'000'000;
  cs::Router router(settings, /*seed=*/42, now);
  std::vector<cs::Action> actions;

  cs::EndpointList list;
  list.entries.resize(2);
  list.entries[0].id = 10;
  list.entries[1].id = 11;
  router.Handle(now, list, actions);

  cs::RequestArrived request;
  request.id = 1;
  request.prompt_tokens = 800;
  request.patience = 5'000'000;
  router.Handle(now, request, actions);

  int served = 0;
  for (const cs::Action& action : std::vector<cs::Action>(actions)) {
    const auto* send = std::get_if<cs::SendAttempt>(&action);
    if (send == nullptr) continue;  // a node carries out the others too: timers, refusals, cancels
    router.Handle(now += 120'000, cs::ResponseStarted{send->id, 0, send->replica, 120'000}, actions);
    cs::AttemptEnded end;
    end.id = send->id;
    end.replica = send->replica;
    end.elapsed = 900'000;
    end.request_concluded = true;
    router.Handle(now += 780'000, end, actions);
    std::printf("request %llu served on replica %u\n", static_cast<unsigned long long>(send->id),
                send->replica);
    ++served;
  }
  return served == 1 && router.open() == 0 ? 0 : 1;
}
