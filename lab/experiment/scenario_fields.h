// The list of all settings of a scenario, which is used for reading them from TOML, writing them back and
// shrinking scenarios. A visitor has the methods Number, Whole, Span (microseconds), Seconds (a double), Rate
// (per second), Text and Flag; each takes the key, the field, and the bounds where there are any.
#pragma once

#include <string>

#include "lab/emulator/simulation.h"

namespace ryeglade::experiment {

using emulator::ClassSpec;
using emulator::ClientSpec;
using emulator::FaultSpec;
using emulator::FleetSpec;
using emulator::KindSpec;
using emulator::ScenarioSpec;
using policy::Time;

constexpr Time kMs = 1'000, kSecond = 1'000'000, kHour = 3'600'000'000;

template <class V>
void VisitScenario(V& v, ScenarioSpec& d) {
  v.Seconds("length", d.seconds, 1, 1e6);
  v.Seconds("warm", d.warm_up_s, 0, 1e6);
  v.Whole("seed", d.seed, 0, std::uint64_t{1} << 53);
  v.Whole("max_attempts", d.max_attempts, 1, 16);
  v.Span("drain_grace", d.drain_grace, 0, kHour);
  v.Number("cold_backlog_s", d.cold_backlog_s, 0.01, 1e4);
  v.Seconds("series", d.series_interval_s, 0, 1e4);
  v.Seconds("replica_series", d.replica_series_interval_s, 0, 1e4);
}

template <class V>
void VisitClients(V& v, ClientSpec& c) {
  v.Rate("rate", c.per_second, 0, 1e7);
  v.Number("session_turns", c.session_turns, 1, 1e3);
  v.Seconds("turn_gap", c.turn_gap, 0, 3600);
  v.Whole("prefixes", c.prefixes, 1, 1'000'000);
  v.Number("prefix_power", c.prefix_power, 0, 8);
  v.Number("prefix_tokens", c.prefix_tokens, 0, 1e6);
  v.Number("honours", c.honors_retry_after, 0, 1);
  v.Whole("most_tries", c.max_tries, 1, 100);
  v.Seconds("retry_gap", c.retry_backoff_s, 0, 3600);
  v.Number("wave", c.wave, 0, 1);
  v.Seconds("wave_every", c.wave_every, 1, 1e6);
  v.Number("burst", c.burst, 0, 1e3);
  v.Seconds("burst_every", c.burst_every, 0, 1e6);
  v.Seconds("burst_for", c.burst_for, 0, 1e6);
}

template <class V>
void VisitFleet(V& v, FleetSpec& f) {
  v.Whole("nodes", f.nodes, 1, 4096);
  v.Whole("replicas", f.replicas, 1, 100'000);
  v.Whole("zones", f.zones, 1, 64);
  v.Whole("racks", f.racks, 1, 4096);
  v.Number("speed_sigma", f.speed_sigma, 0, 2);
  v.Number("same_zone_us", f.same_zone_us, 0, 1e7);
  v.Number("cross_zone_us", f.cross_zone_us, 0, 1e7);
  v.Number("jitter", f.jitter, 0, 3);
  v.Number("client_us", f.client_us, 0, 1e7);
  v.Seconds("told_within", f.discovery_delay_s, 0, 3600);
  v.Seconds("connect_timeout", f.connect_timeout, 0.001, 60);
  v.Seconds("silence", f.silence_timeout_s, 0.1, 3600);
  v.Number("skew", f.skew, 0, 3);
  v.Text("talk", f.tier.gossip_mode);
  v.Number("talk_loss", f.tier.loss, 0, 1);
  v.Seconds("talk_detect", f.tier.detection_delay_s, 0, 3600);
  v.Seconds("talk_delay", f.tier.mean_delay_s, 0, 60);
  v.Whole("talk_liar", f.tier.byzantine_node, -1, 4096);
}

template <class V>
void VisitKind(V& v, KindSpec& k) {
  emulator::ReplicaSpec& r = k.replica;
  v.Number("share", k.share, 1e-6, 1e6);
  v.Number("base_us", r.base_us, 0, 1e9);
  v.Number("per_running_us", r.per_running_us, 0, 1e9);
  v.Number("per_context_us", r.per_context_us, 0, 1e6);
  v.Number("per_read_us", r.per_read_us, 0, 1e6);
  v.Whole("chunk", r.chunk, 1, 1'000'000);
  v.Whole("slots", r.slots, 1, 100'000);
  v.Whole("queue", r.queue, 0, 1'000'000);
  v.Number("memory_tokens", r.memory_tokens, 100, 1e12);
  v.Number("speed", r.speed, 1e-3, 1e3);
  v.Flag("shortest_first", r.shortest_first);
  v.Span("cold_span", r.slow_start_window, 0, kHour);
  v.Number("cold_from", r.slow_start_min_share, 0.001, 1);
}

template <class V>
void VisitClass(V& v, ClassSpec& c) {
  v.Text("name", c.name);
  v.Number("share", c.share, 1e-6, 1e6);
  v.Span("aim", c.latency_objective, kMs, kHour);
  v.Span("deadline", c.deadline, kMs, kHour);
  v.Number("worth", c.worth, 0, 1e6);
  v.Number("late_worth", c.late_worth, 0, 1);
  v.Number("prompt_tokens", c.prompt, 1, 1e6);
  v.Number("prompt_sigma", c.prompt_sigma, 0, 4);
  v.Number("answer_tokens", c.answer, 1, 1e6);
  v.Number("answer_sigma", c.answer_sigma, 0, 4);
  v.Number("most_answer", c.max_answer, 1, 1e6);
}

template <class V>
void VisitFault(V& v, FaultSpec& f) {
  v.Text("what", f.what);
  v.Seconds("at", f.at, 0, 1e6);
  v.Seconds("lasts", f.lasts, 0, 1e6);
  v.Whole("first", f.first, 0, 100'000);
  v.Whole("count", f.count, 1, 100'000);
  v.Whole("other", f.other, -1, 100'000);
  v.Flag("one_way", f.one_way);
  v.Number("factor", f.factor, 0, 1e4);
}

}  // namespace ryeglade::experiment
