#include "lab/soak/plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "lab/emulator/random.h"

namespace ryeglade::soak {
namespace {

using emulator::RandomStream;
using nlohmann::json;
using policy::DedupScope;
using policy::Idempotency;

constexpr Time kSecond = 1'000'000;
constexpr Time kMillisecond = 1'000;
constexpr std::size_t kSocketsInCrowd = 270;  // leaves room for some 60 clients at each address of a node

constexpr std::array<const char*, static_cast<std::size_t>(FaultKind::kCount)> kFaultNames = {
    "term",
    "term-twice",
    "hup",
    "hup-settings",
    "kill",
    "stop",
    "hot-restart",
    "upgrades",
    "operator-calls",
    "hang",
    "stall",
    "break",
    "reset",
    "error",
    "reject",
    "slow",
    "close-idle",
    "drain",
    "restart",
    "late",
    "delay",
    "reset-links",
    "reset-under",
    "twice",
    "cut-short",
    "slow-write",
    "flood",
    "send-and-leave",
    "half-bodies",
    "many-fields",
    "unread-answers",
    "unreadable-framing",
    "dark",
    "silent",
    "slow-list",
    "leave"};

constexpr std::array<const char*, 3> kEffectNames = {"free", "guarded", "single_shot"};
constexpr std::array<const char*, 3> kScopeNames = {"all", "zone", "cell"};

template <std::size_t N>
std::size_t IndexOf(const std::array<const char*, N>& words, const std::string& word, const char* what) {
  for (std::size_t i = 0; i < N; ++i) {
    if (word == words[i]) return i;
  }
  throw std::runtime_error(
      fmt::format("plan: '{}' is not a known {}; expected one of {}", word, what, fmt::join(words, ", ")));
}

Time UniformTime(RandomStream& random, Time low, Time high) {
  return low + static_cast<Time>(random.Unit() * static_cast<double>(high - low));
}

// Makes one class for each combination of effect and scope that decides whether a repeat is harmless. Some
// seeds have short deadlines only.
ClassTable MakeClasses(RandomStream& random) {
  struct Row {
    const char* name;
    Idempotency effect;
    DedupScope scope;
  };
  static constexpr std::array<Row, 5> kRows = {{{"free", Idempotency::kIdempotent, DedupScope::kAll},
                                                {"single", Idempotency::kNotIdempotent, DedupScope::kAll},
                                                {"all", Idempotency::kIdempotencyKey, DedupScope::kAll},
                                                {"zone", Idempotency::kIdempotencyKey, DedupScope::kZone},
                                                {"cell", Idempotency::kIdempotencyKey, DedupScope::kCell}}};
  const Time max_deadline = random.Chance(0.2) ? 1'500 * kMillisecond : 8 * kSecond;
  ClassTable table;
  for (const Row& row : kRows) {
    ClassRules c;
    c.effect = row.effect;
    c.scope = row.scope;
    c.deadline = UniformTime(random, 500 * kMillisecond, max_deadline);
    c.window = UniformTime(random, 300 * kMillisecond, 5 * kSecond);
    table[row.name] = c;
  }
  return table;
}

// Returns the same classes with other deadlines, and with a newly drawn effect for one class.
ClassTable VaryClasses(const ClassTable& classes, RandomStream& random) {
  ClassTable other = classes;
  for (auto& [name, c] : other) c.deadline = UniformTime(random, 500 * kMillisecond, 6 * kSecond);
  ClassRules& changed =
      std::next(other.begin(), static_cast<std::ptrdiff_t>(random.Below(other.size())))->second;
  changed.effect = static_cast<Idempotency>(random.Below(3));
  return other;
}

class FaultScheduler {
 public:
  FaultScheduler(Plan* plan, RandomStream* random) : plan_(*plan), random_(*random) {}

  // Adds a restart of each node in turn, as in a release, mostly while replicas hang, and other faults at
  // random times.
  void AddAll() {
    const Time length = plan_.length;
    Time at = UniformTime(random_, 2 * kSecond, 4 * kSecond);
    for (std::size_t n = 0; at < length - 6 * kSecond; ++n) {
      AddProcessRestart(at, n % plan_.nodes);
      at += UniformTime(random_, 2 * kSecond, 6 * kSecond);
    }
    const std::size_t others = 8 + random_.Below(14);
    for (std::size_t n = 0; n < others; ++n)
      AddOtherFault(UniformTime(random_, kSecond, length - 4 * kSecond));
    Sort();
  }

  // Adds calls of an operator, mostly during upgrades in series, and requests whose framing can't be read.
  void AddCallsAndFraming() {
    const Time length = plan_.length;
    if (random_.Chance(0.7)) {
      const Time at = UniformTime(random_, kSecond, std::max(2 * kSecond, length - 9 * kSecond));
      const Time duration = UniformTime(random_, 4 * kSecond, 7 * kSecond);
      const std::size_t node = Add(at, FaultKind::kOperatorCalls, duration).node;
      if (random_.Chance(0.8)) Add(at, FaultKind::kUpgrades, duration).node = node;
    }
    if (random_.Chance(0.7)) {
      Add(UniformTime(random_, kSecond, length - 4 * kSecond), FaultKind::kUnreadableFraming,
          UniformTime(random_, kSecond, 4 * kSecond));
    }
    Sort();
  }

 private:
  void Sort() {
    std::stable_sort(plan_.faults.begin(), plan_.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
  }
  Fault& Add(Time at, FaultKind kind, Time duration = 0, double share = 1) {
    Fault f;
    f.at = at;
    f.kind = kind;
    f.node = random_.Below(plan_.nodes);
    f.replica = random_.Below(plan_.replicas.size());
    f.duration = duration;
    f.share = share;
    return plan_.faults.emplace_back(f);
  }

  void AddProcessRestart(Time at, std::size_t node) {
    const double draw = random_.Unit();
    const FaultKind kind = draw < 0.7    ? FaultKind::kTerm
                           : draw < 0.85 ? FaultKind::kTermTwice
                                         : FaultKind::kHotRestart;
    Add(at, kind).node = node;
    if (random_.Chance(0.7)) {
      const std::size_t hanging = 1 + random_.Below(std::max<std::size_t>(1, plan_.replicas.size() / 2));
      for (std::size_t k = 0; k < hanging; ++k) {
        const Time before = UniformTime(random_, 0, 600 * kMillisecond);
        Add(std::max<Time>(0, at - before), FaultKind::kHang, UniformTime(random_, kSecond, 5 * kSecond),
            random_.Chance(0.5) ? 1 : 0.3);
      }
    }
    // Reloads of the settings shortly before, during and after the restart.
    if (!random_.Chance(0.4)) return;
    const std::size_t series = 1 + random_.Below(3);
    for (std::size_t k = 0; k < series; ++k) {
      Add(at + UniformTime(random_, -900 * kMillisecond, 900 * kMillisecond),
          random_.Chance(0.6) ? FaultKind::kHupSettings : FaultKind::kHup)
          .node = node;
    }
  }

  void AddOtherFault(Time at) {
    switch (random_.Below(25)) {
      case 0:
        Add(at, FaultKind::kHupSettings);
        return;
      case 1:
        Add(at, FaultKind::kKill);
        return;
      case 2:
        Add(at, FaultKind::kStop, UniformTime(random_, 20 * kMillisecond, 150 * kMillisecond));
        return;
      case 3:
        Add(at, FaultKind::kStop, UniformTime(random_, 500 * kMillisecond, 2'500 * kMillisecond));
        return;
      case 4:
        Add(at, FaultKind::kStall, UniformTime(random_, kSecond, 4 * kSecond), 0.5);
        return;
      case 5:
        Add(at, FaultKind::kBreak, UniformTime(random_, kSecond, 6 * kSecond), 0.3);
        return;
      case 6:
        Add(at, FaultKind::kReset, UniformTime(random_, kSecond, 6 * kSecond), 0.4);
        return;
      case 7:
        Add(at, FaultKind::kError, UniformTime(random_, kSecond, 6 * kSecond), 0.5);
        return;
      case 8:
        Add(at, FaultKind::kReject, UniformTime(random_, kSecond, 4 * kSecond), 0.7);
        return;
      case 9:
        Add(at, FaultKind::kSlow, UniformTime(random_, kSecond, 6 * kSecond));
        return;
      case 10:
        Add(at, FaultKind::kCloseIdle, UniformTime(random_, 2 * kSecond, 8 * kSecond));
        return;
      case 11:
        Add(at, FaultKind::kDrain, UniformTime(random_, 2 * kSecond, 5 * kSecond));
        return;
      case 12:
        Add(at, FaultKind::kRestart, UniformTime(random_, kSecond, 4 * kSecond));
        return;
      case 13:
        Add(at, FaultKind::kLate, UniformTime(random_, kSecond, 5 * kSecond));
        return;
      case 14:
        Add(at, FaultKind::kDelay, UniformTime(random_, kSecond, 5 * kSecond));
        return;
      case 15:
        Add(at, FaultKind::kResetLinks);
        return;
      case 16:
        Add(at, FaultKind::kResetUnder, 0, 1);
        return;
      case 18:
        Add(at, FaultKind::kTwice, UniformTime(random_, kSecond, 5 * kSecond));
        return;
      case 17:
        AddDiscoveryFault(at);
        return;
      case 19:
      case 20:
        Add(at, FaultKind::kCutShort, UniformTime(random_, kSecond, 6 * kSecond), 0.3);
        return;
      case 21:
        Add(at, FaultKind::kSlowWrite, UniformTime(random_, kSecond, 4 * kSecond), 0.5);
        return;
      case 22:
      case 23:
        AddBadClients(at);
        return;
      default:
        Add(at, FaultKind::kLeave);
        return;
    }
  }

  void AddBadClients(Time at) {
    static constexpr std::array<FaultKind, 5> kKinds = {FaultKind::kFlood, FaultKind::kSendAndLeave,
                                                        FaultKind::kHalfBodies, FaultKind::kManyFields,
                                                        FaultKind::kUnreadAnswers};
    Add(at, kKinds[random_.Below(kKinds.size())], UniformTime(random_, kSecond, 4 * kSecond));
  }

  // Adds a fault of discovery, and often a replica that drains during it or within 1 s after it.
  void AddDiscoveryFault(Time at) {
    static constexpr std::array<FaultKind, 3> kKinds = {FaultKind::kDark, FaultKind::kSilent,
                                                        FaultKind::kSlowList};
    const Time duration = UniformTime(random_, kSecond, 7 * kSecond);
    Add(at, kKinds[random_.Below(kKinds.size())], duration);
    if (random_.Chance(0.6)) {
      Add(at + UniformTime(random_, 0, duration + kSecond), FaultKind::kDrain,
          UniformTime(random_, 3 * kSecond, 6 * kSecond));
    }
  }

  Plan& plan_;
  RandomStream& random_;
};

// ---- The plan as JSON ----

json ClassTableToJson(const ClassTable& table) {
  json out = json::object();
  for (const auto& [name, c] : table) {
    out[name] = {{"effect", kEffectNames[static_cast<std::size_t>(c.effect)]},
                 {"scope", kScopeNames[static_cast<std::size_t>(c.scope)]},
                 {"window_us", c.window},
                 {"deadline_us", c.deadline}};
  }
  return out;
}

ClassTable ParseClassTable(const json& in) {
  ClassTable table;
  for (const auto& [name, c] : in.items()) {
    ClassRules rules;
    rules.effect =
        static_cast<Idempotency>(IndexOf(kEffectNames, c.at("effect").get<std::string>(), "effect"));
    rules.scope = static_cast<DedupScope>(IndexOf(kScopeNames, c.at("scope").get<std::string>(), "scope"));
    rules.window = c.at("window_us").get<Time>();
    rules.deadline = c.at("deadline_us").get<Time>();
    if (rules.deadline <= 0)
      throw std::runtime_error("plan: deadline_us of class " + name + " must be above 0, in microseconds");
    table[name] = rules;
  }
  if (table.empty()) throw std::runtime_error("plan: classes must have at least one entry");
  return table;
}

void Require(bool good, const char* key, const char* allowed) {
  if (!good) throw std::runtime_error(fmt::format("plan: {} must be {}", key, allowed));
}

}  // namespace

const char* Name(FaultKind kind) { return kFaultNames[static_cast<std::size_t>(kind)]; }

FaultKind ParseFaultKind(const std::string& word) {
  return static_cast<FaultKind>(IndexOf(kFaultNames, word, "fault"));
}

Plan MakePlan(std::uint64_t seed, Time length) {
  Plan plan;
  plan.seed = seed;
  plan.length = length;
  RandomStream random(seed, emulator::RandomPurpose::kFailures);
  plan.nodes = 1 + random.Below(6);
  plan.zones = 1 + static_cast<int>(random.Below(3));
  plan.push = random.Chance(0.5);
  plan.resume = random.Chance(0.3);
  plan.max_attempts = 2 + static_cast<int>(random.Below(4));
  plan.connect_timeout = UniformTime(random, 250 * kMillisecond, 2 * kSecond);
  plan.idle_close = UniformTime(random, kSecond, 6 * kSecond);
  plan.clients = 4 + random.Below(16);
  if (random.Chance(0.2)) {
    plan.crowd = random.Chance(0.5) ? 40 : 300;
    plan.sockets = kSocketsInCrowd;
  }
  const std::size_t replicas = 2 + random.Below(8);
  for (std::size_t n = 0; n < replicas; ++n) {
    PlannedReplica r;
    r.zone = static_cast<int>(random.Below(static_cast<std::uint64_t>(plan.zones)));
    r.cell = static_cast<int>(random.Below(3));
    r.first_token = UniformTime(random, 5 * kMillisecond, 80 * kMillisecond);
    r.per_token = UniformTime(random, kMillisecond, 12 * kMillisecond);
    r.tokens = 8 + random.Below(80);
    plan.replicas.push_back(r);
  }
  plan.classes = MakeClasses(random);
  plan.other_classes = VaryClasses(plan.classes, random);
  FaultScheduler(&plan, &random).AddAll();
  // From a stream of their own, so that the faults above are what the seed gave before there were these.
  RandomStream further(seed, emulator::RandomPurpose::kFailures, 1);
  FaultScheduler(&plan, &further).AddCallsAndFraming();
  RandomStream openai(seed, emulator::RandomPurpose::kFailures, 2);
  plan.openai_clients = 1 + openai.Below(4);
  plan.long_answer = 200 + openai.Below(1'000);
  if (openai.Chance(0.6)) plan.sigkill_delay = UniformTime(openai, 300 * kMillisecond, 6 * kSecond);
  return plan;
}

std::string PlanToJson(const Plan& p) {
  json replicas = json::array(), faults = json::array();
  for (const PlannedReplica& r : p.replicas) {
    replicas.push_back({{"zone", r.zone},
                        {"cell", r.cell},
                        {"first_token_us", r.first_token},
                        {"per_token_us", r.per_token},
                        {"tokens", r.tokens}});
  }
  for (const Fault& f : p.faults) {
    faults.push_back({{"at_us", f.at},
                      {"kind", Name(f.kind)},
                      {"node", f.node},
                      {"replica", f.replica},
                      {"lasts_us", f.duration},
                      {"share", f.share}});
  }
  const Habits& h = p.habits;
  const json habits = {{"fresh", h.fresh},           {"leave", h.leave},
                       {"half_close", h.half_close}, {"partial", h.partial},
                       {"pipeline", h.pipeline},     {"slow_reader", h.slow_reader},
                       {"id_again", h.id_again},     {"little_time", h.little_time},
                       {"chunked", h.chunked},       {"long_answer", h.long_answer},
                       {"think_us", h.think}};
  const json out = {{"seed", p.seed},
                    {"length_us", p.length},
                    {"nodes", p.nodes},
                    {"zones", p.zones},
                    {"push", p.push},
                    {"resume", p.resume},
                    {"max_attempts", p.max_attempts},
                    {"connect_timeout_us", p.connect_timeout},
                    {"idle_close_us", p.idle_close},
                    {"sigkill_delay_us", p.sigkill_delay},
                    {"clients", p.clients},
                    {"openai_clients", p.openai_clients},
                    {"long_answer", p.long_answer},
                    {"crowd", p.crowd},
                    {"sockets", p.sockets},
                    {"replicas", replicas},
                    {"classes", ClassTableToJson(p.classes)},
                    {"other_classes", ClassTableToJson(p.other_classes)},
                    {"habits", habits},
                    {"faults", faults}};
  return out.dump(1) + "\n";
}

Plan ParsePlan(const std::string& text) {
  Plan p;
  try {
    const json in = json::parse(text);
    p.seed = in.at("seed").get<std::uint64_t>();
    p.length = in.at("length_us").get<Time>();
    p.nodes = in.at("nodes").get<std::size_t>();
    p.zones = in.at("zones").get<int>();
    p.push = in.at("push").get<bool>();
    p.resume = in.at("resume").get<bool>();
    p.max_attempts = in.at("max_attempts").get<int>();
    p.connect_timeout = in.at("connect_timeout_us").get<Time>();
    p.idle_close = in.at("idle_close_us").get<Time>();
    p.sigkill_delay = in.at("sigkill_delay_us").get<Time>();
    p.clients = in.at("clients").get<std::size_t>();
    p.openai_clients = in.at("openai_clients").get<std::size_t>();
    p.long_answer = in.at("long_answer").get<std::size_t>();
    p.crowd = in.at("crowd").get<std::size_t>();
    p.sockets = in.at("sockets").get<std::size_t>();
    for (const json& r : in.at("replicas")) {
      PlannedReplica replica;
      replica.zone = r.at("zone").get<int>();
      replica.cell = r.at("cell").get<int>();
      replica.first_token = r.at("first_token_us").get<Time>();
      replica.per_token = r.at("per_token_us").get<Time>();
      replica.tokens = r.at("tokens").get<std::size_t>();
      p.replicas.push_back(replica);
    }
    p.classes = ParseClassTable(in.at("classes"));
    p.other_classes = ParseClassTable(in.at("other_classes"));
    const json& h = in.at("habits");
    p.habits = {h.at("fresh").get<double>(),      h.at("leave").get<double>(),
                h.at("half_close").get<double>(), h.at("partial").get<double>(),
                h.at("pipeline").get<double>(),   h.at("slow_reader").get<double>(),
                h.at("id_again").get<double>(),   h.at("little_time").get<double>(),
                h.at("chunked").get<double>(),    h.at("long_answer").get<double>(),
                h.at("think_us").get<Time>()};
    for (const json& f : in.at("faults")) {
      Fault fault;
      fault.at = f.at("at_us").get<Time>();
      fault.kind = ParseFaultKind(f.at("kind").get<std::string>());
      fault.node = f.at("node").get<std::size_t>();
      fault.replica = f.at("replica").get<std::size_t>();
      fault.duration = f.at("lasts_us").get<Time>();
      fault.share = f.at("share").get<double>();
      p.faults.push_back(fault);
    }
  } catch (const json::exception& e) {
    throw std::runtime_error(std::string("plan: ") + e.what());
  }
  Require(p.length >= kSecond && p.length <= 3600 * kSecond, "length_us", "1 s to an hour");
  Require(p.nodes >= 1 && p.nodes <= 12, "nodes", "1 to 12");
  Require(!p.replicas.empty() && p.replicas.size() <= 64, "replicas", "1 to 64 entries");
  Require(p.clients >= 1 && p.clients <= 200, "clients", "1 to 200");
  Require(p.openai_clients <= 200, "openai_clients", "at most 200");
  Require(p.long_answer >= 1 && p.long_answer <= 10'000, "long_answer", "1 to 10000");
  Require(p.sigkill_delay >= 0 && p.sigkill_delay <= 60 * kSecond, "sigkill_delay_us", "0 to a minute");
  Require(p.crowd <= 2'000, "crowd", "at most 2000");
  for (const Fault& f : p.faults) {
    Require(f.node < p.nodes, "a fault's node", "one of the nodes");
    Require(f.replica < p.replicas.size(), "a fault's replica", "one of the replicas");
    Require(f.at >= 0 && f.duration >= 0, "a fault's times", "0 or more");
  }
  return p;
}

}  // namespace ryeglade::soak
