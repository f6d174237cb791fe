#include "lab/load/agreement.h"

#include <algorithm>

#include "lab/emulator/simulation.h"
#include "lab/load/load_client.h"
#include "lab/local_fleet.h"

namespace ryeglade::load {
namespace {

constexpr std::size_t kMaxTokens = 32;
constexpr Time kLatencyObjective = 400'000, kDeadline = 5'000'000;

// A request occupies its slot for the time to the first token and one step per further token, which gives the
// capacity of the replicas.
LoadPlan PlanOf(const AgreementOptions& o, double load, double seconds, double step_ms) {
  LoadPlan plan;
  const double busy_s = step_ms / 1000 * (1 + (1 + static_cast<double>(kMaxTokens)) / 2);
  const double capacity = o.replicas * o.batch / busy_s;
  plan.profile = {{load * capacity, load * capacity, seconds}};
  plan.seed = o.seed;
  plan.max_tokens = kMaxTokens;
  LoadClass c;
  c.latency_objective = kLatencyObjective;
  c.deadline = kDeadline;
  c.late_worth = 0;  // as in the node's configuration
  plan.classes = {c};
  return plan;
}

struct RealResult {
  Side side;
  double late_ms = 0;  // see Agreement::late_ms
  double step_ms = 0;  // measured time per token
};

RealResult RunRealNode(const AgreementOptions& o, const LoadPlan& plan) {
  lab::LocalFleetOptions fleet_options;
  fleet_options.program = o.program;
  fleet_options.key = "lab";
  lab::FakeReplicaOptions r;
  r.dialect = lab::ReplicaDialect::kPlatform;
  r.first_token = static_cast<Time>(o.token_ms * 1000);
  r.per_token = static_cast<Time>(o.token_ms * 1000);
  r.tokens_per_event = 1;
  r.batch = o.batch;
  r.queue = o.queue;
  r.tokens = kMaxTokens;
  fleet_options.replicas.assign(static_cast<std::size_t>(o.replicas), r);
  fleet_options.latency_objective_ms = kLatencyObjective / 1000;
  fleet_options.deadline_ms = kDeadline / 1000;
  lab::LocalFleet fleet(fleet_options);
  LoadTarget target;
  target.address = fleet.platform();
  target.openai = false;
  LoadClient client(fleet.runtime(), plan, target);
  client.Start();
  Time reported_at = Now();
  fleet.Until(
      [&] {
        if (o.progress && Now() - reported_at > 500'000) {
          reported_at = Now();
          o.progress(static_cast<double>(client.ended()) / static_cast<double>(client.scheduled()));
        }
        return client.done();
      },
      static_cast<Time>(plan.profile.front().seconds * 1e6) + 90'000'000);
  const Tally::ByClass& c = client.tally().classes().front();
  RealResult result;
  result.late_ms = lab::QuantileOf(client.tally().late(), 0.99);
  result.step_ms = c.answering_ms / std::max(1.0, c.tokens);
  Side& s = result.side;
  s.p50_ms = lab::QuantileOf(c.first, 0.5);
  s.p90_ms = lab::QuantileOf(c.first, 0.9);
  s.p99_ms = lab::QuantileOf(c.first, 0.99);
  s.share = c.worth / std::max(1.0, c.worth_asked);
  s.unserved = 1 - static_cast<double>(c.outcomes[0]) / std::max(1.0, static_cast<double>(c.asked));
  return result;
}

Side RunEmulator(const AgreementOptions& o, const LoadPlan& plan, double step_ms) {
  emulator::ScenarioSpec scenario;
  scenario.seconds = o.seconds;
  scenario.warm_up_s = 0;
  scenario.seed = o.seed;
  scenario.max_attempts = 4;
  emulator::ClassSpec c;
  c.latency_objective = kLatencyObjective;
  c.deadline = kDeadline;
  c.worth = plan.classes.front().worth;
  c.late_worth = plan.classes.front().late_worth;
  c.max_answer = kMaxTokens + 1;
  scenario.classes = {c};
  scenario.clients.max_tries = 1;
  scenario.fleet.nodes = 1;
  scenario.fleet.replicas = o.replicas;
  scenario.fleet.speed_sigma = 0;
  scenario.fleet.same_zone_us = 50;
  scenario.fleet.client_us = 50;
  scenario.fleet.discovery_delay_s = 0.01;
  scenario.fleet.connect_timeout = 2;
  emulator::ReplicaSpec& r = scenario.fleet.kinds.front().replica;
  r.base_us = step_ms * 1000;
  r.per_running_us = r.per_context_us = r.per_read_us = 0;
  r.chunk = 1 << 20;
  r.slots = o.batch;
  r.queue = o.queue;
  r.memory_tokens = 1e9;
  std::vector<emulator::TracedRequest> trace;
  for (const ScheduledRequest& request : Arrivals(plan)) {
    emulator::TracedRequest traced;
    traced.at = request.at;
    traced.session = 0x9e3779b97f4a7c15ULL * (trace.size() + 1);
    traced.prefix = 0xc2b2ae3d27d4eb4fULL * (request.prefix + 1);
    traced.prefix_tokens = 110;
    traced.prompt = 110 + static_cast<double>(request.prompt_bytes) / 4;
    traced.answer = static_cast<double>(request.tokens) + 1;
    trace.push_back(traced);
  }
  emulator::ScenarioOptions options;
  options.trace = &trace;
  const emulator::ScenarioResult result = emulator::RunScenario(scenario, options);
  Side s;
  s.p50_ms = result.Quantile(0.5);
  s.p90_ms = result.Quantile(0.9);
  s.p99_ms = result.Quantile(0.99);
  s.share = result.Share();
  s.unserved = 1 - static_cast<double>(result.in_time + result.late) /
                       std::max(1.0, static_cast<double>(result.requests));
  return s;
}

}  // namespace

Agreement MeasureAgreement(const AgreementOptions& o) {
  Agreement a;
  // A first run at low load measures the real time per token, timers and scheduling included.
  a.step_ms = RunRealNode(o, PlanOf(o, 0.1, std::min(3.0, o.seconds), o.token_ms)).step_ms;
  const LoadPlan plan = PlanOf(o, o.load, o.seconds, a.step_ms);
  a.requests = Arrivals(plan).size();
  const RealResult real = RunRealNode(o, plan);
  a.real = real.side;
  a.late_ms = real.late_ms;
  a.emulated = RunEmulator(o, plan, a.step_ms);
  return a;
}

}  // namespace ryeglade::load
