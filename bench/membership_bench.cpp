// What membership costs a node: a tick, a message in, a message as bytes; at 100 and 1,000 members.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

#include "membership/membership_model.h"
#include "membership/message_codec.h"

namespace {

using namespace ryeglade::membership;

MemberRecord Member(int n) {
  MemberRecord r;
  r.name = "node-" + std::to_string(n);
  r.address = "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1) + ":7946";
  r.zone = "zone-" + std::to_string(n % 3);
  r.incarnation = 1'796'167'577'302;
  r.uid = r.incarnation << 20 | static_cast<std::uint64_t>(n);
  return r;
}

// A node that has met all others; `Period` lets a probe period pass in which all that it pings answer.
struct Tier {
  explicit Tier(int n)
      : model(Opts(), Member(0), 0,
              [this] { return state = state * 6364136223846793005u + 1442695040888963407u; }) {
    for (int i = 1; i < n; ++i) {
      Message m = From(i, MessageKind::kPing, 0);
      Take(i, m);
      for (int k = 0; k < 30 && model.StateOf(Member(i).name) != MemberState::kAlive; ++k) Period(1);
    }
  }
  static MembershipOptions Opts() {
    MembershipOptions o;
    o.cluster = "bench";
    return o;
  }
  Message From(int i, MessageKind kind, std::uint64_t seq) const {
    Message m;
    m.cluster = "bench";
    m.sender = Member(i);
    m.kind = kind;
    m.seq = seq;
    return m;
  }
  void Take(int i, const Message& m) {
    out.Clear();
    model.OnMessage(now, Member(i).address, m, out);
  }
  void Period(int ticks = 10) {
    for (int t = 0; t < ticks; ++t) {
      out.Clear();
      now += model.tick_interval();
      model.Tick(now, out);
      const Actions done = out;
      for (const OutgoingMessage& send : done.sends) {
        bytes += Encode(send.message).size();
        if (send.message.kind != MessageKind::kPing) continue;
        const int who = std::stoi(send.message.target.substr(5));
        Take(who, From(who, MessageKind::kAck, send.message.seq));
      }
    }
  }
  std::uint64_t state = 1;
  ryeglade::policy::Time now = 0;
  std::size_t bytes = 0;
  Actions out;
  MembershipModel model;
};

void Period(benchmark::State& state) {
  const std::size_t before = mallinfo2().uordblks;
  auto tier = std::make_unique<Tier>(static_cast<int>(state.range(0)));
  for (int i = 0; i < 200; ++i) tier->Period();
  const std::size_t after = mallinfo2().uordblks;
  for (auto _ : state) tier->Period();
  state.counters["members"] = static_cast<double>(tier->model.live());
  state.counters["memory_KiB"] = static_cast<double>(after - before) / 1024;
  // Of one core, at a period of a second: own ticks, a probe and its answer.
  state.SetLabel("time is a probe period's work, without sockets");
}
BENCHMARK(Period)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

// Somebody is suspected and dies: the worst that one tick does.
void LongestTick(benchmark::State& state) {
  Tier tier(static_cast<int>(state.range(0)));
  for (int i = 0; i < 200; ++i) tier.Period();
  double longest = 0;
  for (auto _ : state) {
    tier.out.Clear();
    tier.now += tier.model.tick_interval();
    const auto begin = std::chrono::steady_clock::now();
    tier.model.Tick(tier.now, tier.out);  // and nobody answers any more
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    longest = std::max(longest, took.count());
  }
  state.counters["longest_us"] = longest;
}
BENCHMARK(LongestTick)->Arg(100)->Arg(1000)->Iterations(2000)->Unit(benchmark::kMicrosecond);

void MessageInAndOut(benchmark::State& state) {
  Tier tier(100);
  Message m = tier.From(1, MessageKind::kPing, 7);
  for (int i = 2; i < 12; ++i) m.updates.push_back({Update::Kind::kRecord, Member(i), {}, 0});
  const std::string bytes = Encode(m);
  for (auto _ : state) {
    const char* why = "";
    const auto read = Decode(bytes, &why);
    tier.Take(1, *read);
    for (const OutgoingMessage& send : tier.out.sends) benchmark::DoNotOptimize(Encode(send.message));
  }
}
BENCHMARK(MessageInAndOut)->Unit(benchmark::kMicrosecond);

}  // namespace
BENCHMARK_MAIN();
