// Measures the cost of membership for a node at 100 and 1,000 members: ticks, a received message, and the
// encoding of a message.
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

// A node that knows all other members. `Period` advances the time by a probe period in which every pinged
// member answers.
struct Cluster {
  explicit Cluster(int n)
      : model(Options(), Member(0), 0,
              [this] { return state = state * 6364136223846793005u + 1442695040888963407u; }) {
    for (int i = 1; i < n; ++i) {
      Message m = From(i, MessageKind::kPing, 0);
      Receive(i, m);
      for (int k = 0; k < 30 && model.StateOf(Member(i).name) != MemberState::kAlive; ++k) Period(1);
    }
  }
  static MembershipOptions Options() {
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
  void Receive(int i, const Message& m) {
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
        const int target = std::stoi(send.message.target.substr(5));
        Receive(target, From(target, MessageKind::kAck, send.message.seq));
      }
    }
  }
  std::uint64_t state = 1;
  ryeglade::policy::Time now = 0;
  std::size_t bytes = 0;
  Actions out;
  MembershipModel model;
};

// The work of one probe period and the memory that a node holds.
void Period(benchmark::State& state) {
  const std::size_t before = mallinfo2().uordblks;
  auto cluster = std::make_unique<Cluster>(static_cast<int>(state.range(0)));
  for (int i = 0; i < 200; ++i) cluster->Period();
  const std::size_t after = mallinfo2().uordblks;
  for (auto _ : state) cluster->Period();
  state.counters["members"] = static_cast<double>(cluster->model.live());
  state.counters["memory_KiB"] = static_cast<double>(after - before) / 1024;
  // With a period of 1 s this is the use of one core: the node's ticks, a probe and its answer.
  state.SetLabel("time is a probe period's work, without sockets");
}
BENCHMARK(Period)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

// No member answers any more, so members become suspected and dead: the longest tick.
void LongestTick(benchmark::State& state) {
  Cluster cluster(static_cast<int>(state.range(0)));
  for (int i = 0; i < 200; ++i) cluster.Period();
  double longest = 0;
  for (auto _ : state) {
    cluster.out.Clear();
    cluster.now += cluster.model.tick_interval();
    const auto start = std::chrono::steady_clock::now();
    cluster.model.Tick(cluster.now, cluster.out);  // no member answers
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    longest = std::max(longest, elapsed.count());
  }
  state.counters["longest_us"] = longest;
}
BENCHMARK(LongestTick)->Arg(100)->Arg(1000)->Iterations(2000)->Unit(benchmark::kMicrosecond);

// A received ping with ten updates: it is decoded and handled, and the messages in reply are encoded.
void MessageInAndOut(benchmark::State& state) {
  Cluster cluster(100);
  Message m = cluster.From(1, MessageKind::kPing, 7);
  for (int i = 2; i < 12; ++i) m.updates.push_back({Update::Kind::kRecord, Member(i), {}, 0});
  const std::string bytes = Encode(m);
  for (auto _ : state) {
    const char* why = "";
    const auto read = Decode(bytes, &why);
    cluster.Receive(1, *read);
    for (const OutgoingMessage& send : cluster.out.sends) benchmark::DoNotOptimize(Encode(send.message));
  }
}
BENCHMARK(MessageInAndOut)->Unit(benchmark::kMicrosecond);

}  // namespace
BENCHMARK_MAIN();
