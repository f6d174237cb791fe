#include "timeline/flight_record_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <stdexcept>
#include <type_traits>
#include <utility>

#include "core/enum_names.h"
#include "core/learned_state_codec.h"

namespace ryeglade::timeline {
namespace {

using namespace policy;

constexpr std::uint32_t kStart = 0, kDecision = 1, kGap = 2, kMember = 3, kRoster = 4, kBurst = 5, kNote = 6,
                        kUnusual = 7, kNamed = 8, kTier = 9;
// What a text that was not written here may make the reader allocate.
const msgpack::unpack_limit kLimits(1 << 20, 64, 1 << 22, 1 << 22, 0, 16);

// Fields are small and many: they gather here before they go to the text.
class Sink {
 public:
  explicit Sink(std::string* out) : out_(out) {}
  ~Sink() { out_->append(part_.data(), used_); }
  Sink(const Sink&) = delete;
  Sink& operator=(const Sink&) = delete;
  void write(const char* bytes, std::size_t n) {
    if (n > part_.size() - used_) {
      out_->append(part_.data(), used_);
      used_ = 0;
      if (n > part_.size()) {
        out_->append(bytes, n);
        return;
      }
    }
    std::memcpy(part_.data() + used_, bytes, n);
    used_ += n;
  }

 private:
  std::string* out_;
  std::array<char, 512> part_;
  std::size_t used_ = 0;
};
using Packer = msgpack::packer<Sink>;

// The fields of each type, in the order of the record. One list serves writing and reading.
template <class F>
void Fields(F& f, Endpoint& e) {
  f(e.id, e.weight, e.kind, e.zone, e.cell, e.started_at, e.state);
}
template <class F>
void Fields(F& f, EndpointList& e) {
  f(e.scope, e.version, e.endpoints);
}
template <class F>
void Fields(F& f, RequestArrived& e) {
  f(e.id, e.class_index, e.tenant_index, e.session, e.prefix, e.prompt_tokens, e.prefix_tokens,
    e.max_answer_tokens, e.time_budget, e.cost_hint, e.client_retry, e.write, e.resumed);
}
template <class F>
void Fields(F& f, ResponseStarted& e) {
  f(e.id, e.attempt, e.replica, e.elapsed);
}
template <class F>
void Fields(F& f, AttemptEnded& e) {
  f(e.id, e.attempt, e.replica, e.outcome, e.elapsed, e.request_concluded, e.cached_tokens, e.load_report);
}
template <class F>
void Fields(F& f, ClientDisconnected& e) {
  f(e.id);
}
template <class F>
void Fields(F& f, TimerFired& e) {
  f(e.token);
}
template <class F>
void Fields(F& f, HealthCheckCompleted& e) {
  f(e.replica, e.outcome, e.elapsed, e.load_report);
}
template <class F>
void Fields(F& f, NodeCountChanged& e) {
  f(e.node_count);
}
template <class F>
void Fields(F& f, TrafficShareChanged& e) {
  f(e.share);
}
template <class F>
void Fields(F& f, PeerReplicaReport& t) {
  f(t.id, t.started_at, t.slowness, t.slowness_samples, t.ejected_until, t.orphaned_in_flight);
}
template <class F>
void Fields(F& f, PeerReportsReceived& e) {
  f(e.replicas);
}
template <class F>
void Fields(F& f, PrefixTrafficReceived& e) {
  f(e.shares);
}
template <class F>
void Fields(F& f, StateRestored& e) {
  f(e.state);
}
template <class F>
void Fields(F& f, SiblingInFlightChanged& e) {
  f(e.in_flight);
}
template <class F>
void Fields(F& f, DeadlineShortened& e) {
  f(e.id, e.time_budget);
}
template <class F>
void Fields(F& f, SendAttempt& e) {
  f(e.id, e.replica, e.timeout);
  f.Since7(e.write_within);
}
template <class F>
void Fields(F& f, CancelAttempt& e) {
  f(e.id, e.attempt);
}
template <class F>
void Fields(F& f, RejectRequest& e) {
  f(e.id, e.retry_after);
}
template <class F>
void Fields(F& f, FailRequest& e) {
  f(e.id);
}
template <class F>
void Fields(F& f, MigrateStream& e) {
  f(e.id);
}
template <class F>
void Fields(F& f, SetTimer& e) {
  f(e.token, e.delay);
}
template <class F>
void Fields(F& f, CheckHealth& e) {
  f(e.replica);
}
template <class F>
void Fields(F& f, WatchEndpoints& e) {
  f(e.enabled);
}
template <class F>
void Fields(F&, PollEndpoints&) {}
template <class F>
void Fields(F& f, Member& m) {
  f(m.now, m.id, m.name, m.address, m.started_at, m.phase, m.again);
}
template <class F>
void Fields(F& f, Roster& r) {
  f(r.now, r.source, r.generation, r.why, r.again);
}
template <class F>
void Fields(F& f, BurstReplica& r) {
  f(r.id, r.sent, r.served, r.failed);
}
template <class F>
void Fields(F& f, Burst& b) {
  f(b.first, b.last, b.decisions, b.arrived, b.sent, b.refused, b.failed, b.lists, b.outcomes, b.replicas,
    b.elsewhere);
}
template <class F>
void Fields(F& f, DispatchRecord& n) {
  f(n.id, n.attempt, n.replica, n.estimated_runtime, n.queued_for, n.candidates, n.candidates_with_capacity,
    n.score, n.runner_up, n.runner_up_score, n.concurrency_limit, n.in_flight, n.tokens_to_prefill);
}
template <class F>
void Fields(F& f, ConclusionRecord& n) {
  f(n.id, n.reason, n.attempts, n.open_for, n.queue_length, n.total_concurrency_limit, n.in_flight);
}
template <class F>
void Fields(F& f, EjectionRecord& n) {
  f(n.replica, n.outcome, n.consecutive_failures, n.ejected_until);
}
template <class F>
void Fields(F& f, Named& n) {
  f(n.now, n.id, n.call_id);
}
template <class F>
void Fields(F& f, Tier& t) {
  f(t.now, t.what, t.member, t.by, t.value, t.live);
}
template <class F>
void Fields(F& f, Unusual& u) {
  f(u.now, u.number, u.begins, u.kind, u.fleet, u.replica, u.since, u.before, u.during, u.peers);
}

template <class T>
constexpr bool kLearned = std::is_same_v<T, std::shared_ptr<const LearnedState>>;
template <class T>
constexpr bool kEntries =
    std::is_same_v<T, std::vector<Endpoint>> || std::is_same_v<T, std::vector<BurstReplica>> ||
    std::is_same_v<T, std::vector<PeerReplicaReport>>;

struct Count {
  std::uint32_t n = 0;
  template <class... T>
  void operator()(T&...) {
    n += sizeof...(T);
  }
  template <class T>
  void Since7(T&) {
    ++n;
  }
};

struct Writer {
  Packer& p;
  template <class... T>
  void operator()(T&... fields) {
    (One(fields), ...);
  }
  template <class T>
  void Since7(T& v) {
    One(v);
  }
  template <class T>
  void One(T& v) {
    if constexpr (std::is_enum_v<T>) {
      p.pack(static_cast<std::uint32_t>(v));
    } else if constexpr (kEntries<T>) {
      p.pack_array(static_cast<std::uint32_t>(v.size()));
      for (auto& e : v) Whole(e);
    } else if constexpr (kLearned<T>) {
      p.pack(v == nullptr ? std::string() : EncodeLearnedState(*v));
    } else {
      p.pack(v);
    }
  }
  template <class T>
  void Whole(T& v) {
    Count count;
    Fields(count, v);
    p.pack_array(count.n);
    Fields(*this, v);
  }
  // The kind within the variant, then its fields, in one array.
  template <class V>
  void Choice(const V& v) {
    std::visit(
        [&](const auto& held) {
          auto& value = const_cast<std::remove_cvref_t<decltype(held)>&>(held);  // the field lists also read
          Count count;
          Fields(count, value);
          p.pack_array(count.n + 1);
          p.pack(static_cast<std::uint32_t>(v.index()));
          Fields(*this, value);
        },
        v);
  }
};

[[noreturn]] void Bad(const char* what) { throw std::runtime_error(what); }

struct Reader {
  const msgpack::object_array& a;
  std::uint32_t at = 0;
  template <class... T>
  void operator()(T&... fields) {
    (One(fields), ...);
  }
  // A last field that records before format 7 lack: it keeps its default there.
  template <class T>
  void Since7(T& v) {
    if (at < a.size) One(v);
  }
  const msgpack::object& Next() {
    if (at >= a.size) Bad("a record lacks fields");
    return a.ptr[at++];
  }
  template <class T>
  void One(T& v) {
    const msgpack::object& o = Next();
    if constexpr (std::is_enum_v<T>) {
      v = static_cast<T>(o.as<std::uint32_t>());
    } else if constexpr (kEntries<T>) {
      if (o.type != msgpack::type::ARRAY) Bad("a list is none");
      v.resize(o.via.array.size);
      for (std::uint32_t i = 0; i < o.via.array.size; ++i) {
        if (o.via.array.ptr[i].type != msgpack::type::ARRAY) Bad("an entry is none");
        Reader inner{o.via.array.ptr[i].via.array};
        Fields(inner, v[i]);
      }
    } else if constexpr (kLearned<T>) {
      const std::string text = o.as<std::string>();
      std::string why;
      auto learned = text.empty() ? std::nullopt : DecodeLearnedState(text, &why);
      if (!text.empty() && !learned) Bad("what was inherited can't be read");
      if (learned) v = std::make_shared<const LearnedState>(std::move(*learned));
    } else {
      v = o.as<T>();
    }
  }
};

template <class V, std::size_t I = 0>
V Choose(std::uint32_t index, Reader& reader) {
  if constexpr (I < std::variant_size_v<V>) {
    if (index != I) return Choose<V, I + 1>(index, reader);
    std::variant_alternative_t<I, V> value;
    Fields(reader, value);
    return value;
  } else {
    Bad("a record of an unknown kind");
  }
}

template <class V>
V ReadChoice(const msgpack::object& o) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size == 0) Bad("a choice is none");
  Reader reader{o.via.array, 1};
  return Choose<V>(o.via.array.ptr[0].as<std::uint32_t>(), reader);
}

void PackActions(Packer& p, const std::vector<Action>& actions) {
  p.pack_array(static_cast<std::uint32_t>(actions.size()));
  Writer w{p};
  for (const Action& a : actions) w.Choice(a);
}

template <class T>
T ReadWhole(Reader& r) {
  T value;
  Fields(r, value);
  return value;
}

template <class T>
void PackWhole(std::uint32_t kind, const T& held, std::string& out) {
  Sink sink(&out);
  Packer p(sink);
  auto& value = const_cast<T&>(held);  // the field lists also read
  Count count;
  Fields(count, value);
  p.pack_array(count.n + 1);
  p.pack(kind);
  Writer w{p};
  Fields(w, value);
}

Record ReadRecord(const msgpack::object& o) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size == 0) Bad("a record is no array");
  const msgpack::object_array& a = o.via.array;
  Reader r{a, 1};
  switch (a.ptr[0].as<std::uint32_t>()) {
    case kStart: {
      Start s;
      r(s.format, s.node, s.settings, s.seed, s.now);
      if (s.format == 0 || s.format > kFormat) Bad("the record is of another version's form");
      return s;
    }
    case kDecision: {
      Decision d;
      r(d.now);
      d.event = ReadChoice<Event>(r.Next());
      const msgpack::object& list = r.Next();
      if (list.type != msgpack::type::ARRAY) Bad("a list of actions is none");
      for (std::uint32_t i = 0; i < list.via.array.size; ++i) {
        d.actions.push_back(ReadChoice<Action>(list.via.array.ptr[i]));
      }
      return d;
    }
    case kGap: {
      Gap g;
      r(g.records);
      return g;
    }
    case kMember:
      return ReadWhole<Member>(r);
    case kRoster:
      return ReadWhole<Roster>(r);
    case kBurst:
      return ReadWhole<Burst>(r);
    case kNote: {
      Note n;
      r(n.now);
      n.what = ReadChoice<decltype(n.what)>(r.Next());
      return n;
    }
    case kUnusual:
      return ReadWhole<Unusual>(r);
    case kNamed:
      return ReadWhole<Named>(r);
    case kTier:
      return ReadWhole<Tier>(r);
    default:
      Bad("a record of an unknown kind");
  }
}

// ---- Words ----

double Ms(Time t) { return static_cast<double>(t) / 1000; }

std::string Loads(const std::vector<double>& load) {
  std::string out;
  for (const double v : load) out += fmt::format("{}{:g}", out.empty() ? "" : ",", v);
  return out.empty() ? "none" : out;
}

struct EventWords {
  std::string operator()(const EndpointList& e) const {
    static constexpr const char* kScopes[] = {"failed", "delta", "cached", "full"};
    const auto scope = static_cast<std::size_t>(e.scope);
    std::string out = fmt::format("list {} version {}", scope < 4 ? kScopes[scope] : "?", e.version);
    for (const Endpoint& r : e.endpoints) {
      static constexpr const char* kPhases[] = {"gone", "ready", "draining"};
      const auto phase = static_cast<std::size_t>(r.state);
      out += fmt::format(" {:08x}={}", r.id, phase < 3 ? kPhases[phase] : "?");
    }
    return out;
  }
  std::string operator()(const RequestArrived& e) const {
    return fmt::format(
        "request {:x} class {} prompt {:g} (shared {:g}) answer up to {:g} patience {:.0f} ms{}", e.id,
        e.class_index, e.prompt_tokens, e.prefix_tokens, e.max_answer_tokens, Ms(e.time_budget),
        e.client_retry ? " again" : "");
  }
  std::string operator()(const ResponseStarted& e) const {
    return fmt::format("started {:x}.{} at {:08x} after {:.1f} ms", e.id, e.attempt, e.replica,
                       Ms(e.elapsed));
  }
  std::string operator()(const AttemptEnded& e) const {
    return fmt::format("ended {:x}.{} at {:08x} {} after {:.1f} ms kept {:g} load {}{}", e.id, e.attempt,
                       e.replica, ryeglade::Name(e.outcome), Ms(e.elapsed), e.cached_tokens,
                       Loads(e.load_report), e.request_concluded ? " concluded" : "");
  }
  std::string operator()(const ClientDisconnected& e) const { return fmt::format("client gone {:x}", e.id); }
  std::string operator()(const TimerFired& e) const { return fmt::format("timer {}", e.token); }
  std::string operator()(const HealthCheckCompleted& e) const {
    return fmt::format("probe of {:08x} {} after {:.1f} ms load {}", e.replica, ryeglade::Name(e.outcome),
                       Ms(e.elapsed), Loads(e.load_report));
  }
  std::string operator()(const NodeCountChanged& e) const {
    return fmt::format("tier of {} nodes", e.node_count);
  }
  std::string operator()(const TrafficShareChanged& e) const {
    return fmt::format("this node's part of the tier is {:.4f}", e.share);
  }
  std::string operator()(const PeerReportsReceived& e) const {
    std::string out = "the tier tells of " + std::to_string(e.replicas.size()) + " replicas:";
    for (const PeerReplicaReport& t : e.replicas)
      out += fmt::format(" {:08x} slow {:.2f} of {:.1f} answers{}{}", t.id, t.slowness, t.slowness_samples,
                         t.ejected_until > 0 ? " rests" : "",
                         t.orphaned_in_flight > 0 ? fmt::format(" out {:.1f}", t.orphaned_in_flight) : "");
    return out;
  }
  std::string operator()(const PrefixTrafficReceived& e) const {
    return fmt::format("the tier tells the shares of {} beginnings", e.shares.size());
  }
  std::string operator()(const StateRestored& e) const {
    if (e.state == nullptr) return "inherited nothing";
    return fmt::format("inherited level {:.2f} of {} nodes, {} averages, {} replicas", e.state->base_limit,
                       e.state->node_count, e.state->runtime_by_bucket.size(), e.state->replicas.size());
  }
  std::string operator()(const DeadlineShortened& e) const {
    return fmt::format("patience of {:x} cut to {:.0f} ms", e.id, Ms(e.time_budget));
  }
  std::string operator()(const SiblingInFlightChanged& e) const {
    int all = 0;
    for (const auto& [id, out] : e.in_flight) all += out;
    return fmt::format("beside this process {} attempts are out at {} replicas", all, e.in_flight.size());
  }
};

struct NoteWords {
  std::string operator()(const DispatchRecord& n) const {
    std::string out =
        fmt::format("{:x}.{} to {:08x}: room {:.3g}", n.id, n.attempt, n.replica, n.score * 1000);
    out += n.runner_up_score > 0
               ? fmt::format(" against {:.3g} at {:08x}", n.runner_up_score * 1000, n.runner_up)
               : " and none elsewhere";
    out += fmt::format(
        "; {} of {} replicas had room, its {} of {:.1f} in use, {:.0f} tokens to read; estimate {:.0f} ms, "
        "held "
        "{:.0f} ms",
        n.candidates_with_capacity, n.candidates, n.in_flight, n.concurrency_limit, n.tokens_to_prefill,
        n.estimated_runtime / 1000, Ms(n.queued_for));
    return out;
  }
  std::string operator()(const ConclusionRecord& n) const {
    return fmt::format("{:x} ended: {}; {} attempts, {:.0f} ms after it came, {} held, {} of {:.1f} in use",
                       n.id, ryeglade::Name(n.reason), n.attempts, Ms(n.open_for), n.queue_length,
                       n.in_flight, n.total_concurrency_limit);
  }
  std::string operator()(const EjectionRecord& n) const {
    return fmt::format("{:08x} rests until {}: {}, {} failures in a row", n.replica, n.ejected_until / 1000,
                       ryeglade::Name(n.outcome), n.consecutive_failures);
  }
};

struct ActionWords {
  std::string operator()(const SendAttempt& a) const {
    return fmt::format("send {:x} to {:08x}{}{}", a.id, a.replica,
                       a.timeout > 0 ? fmt::format(" for {:.0f} ms", Ms(a.timeout)) : "",
                       a.write_within > 0 ? fmt::format(" within {:.0f} ms", Ms(a.write_within)) : "");
  }
  std::string operator()(const CancelAttempt& a) const {
    return fmt::format("cancel {:x}.{}", a.id, a.attempt);
  }
  std::string operator()(const RejectRequest& a) const {
    return fmt::format("refuse {:x}, back in {:.0f} ms", a.id, Ms(a.retry_after));
  }
  std::string operator()(const FailRequest& a) const { return fmt::format("fail {:x}", a.id); }
  std::string operator()(const MigrateStream& a) const { return fmt::format("move {:x}", a.id); }
  std::string operator()(const SetTimer& a) const {
    return fmt::format("timer {} in {:.1f} ms", a.token, Ms(a.delay));
  }
  std::string operator()(const CheckHealth& a) const { return fmt::format("probe {:08x}", a.replica); }
  std::string operator()(const WatchEndpoints& a) const {
    return a.enabled ? "watch the list" : "stop watching the list";
  }
  std::string operator()(const PollEndpoints&) const { return "fetch the list"; }
};

}  // namespace

void Encode(const Start& s, std::string& out) {
  Sink sink(&out);
  Packer p(sink);
  p.pack_array(6);
  p.pack(kStart).pack(s.format).pack(s.node).pack(s.settings).pack(s.seed).pack(s.now);
}

void Encode(Time now, const Event& event, const std::vector<Action>& actions, std::string& out) {
  Sink sink(&out);
  Packer p(sink);
  p.pack_array(4);
  p.pack(kDecision).pack(now);
  Writer{p}.Choice(event);
  PackActions(p, actions);
}

void Encode(const Gap& gap, std::string& out) {
  Sink sink(&out);
  Packer p(sink);
  p.pack_array(2);
  p.pack(kGap).pack(gap.records);
}

void Encode(const Member& member, std::string& out) { PackWhole(kMember, member, out); }
void Encode(const Roster& roster, std::string& out) { PackWhole(kRoster, roster, out); }
void Encode(const Burst& burst, std::string& out) { PackWhole(kBurst, burst, out); }
void Encode(const Named& named, std::string& out) { PackWhole(kNamed, named, out); }
void Encode(const Tier& tier, std::string& out) { PackWhole(kTier, tier, out); }
void Encode(const Unusual& unusual, std::string& out) { PackWhole(kUnusual, unusual, out); }

void Encode(const Note& note, std::string& out) {
  Sink sink(&out);
  Packer p(sink);
  p.pack_array(3);
  p.pack(kNote).pack(note.now);
  Writer{p}.Choice(note.what);
}

void EncodeAny(const Record& record, std::string& out) {
  std::visit(
      [&](const auto& r) {
        if constexpr (std::is_same_v<std::remove_cvref_t<decltype(r)>, Decision>) {
          Encode(r.now, r.event, r.actions, out);
        } else {
          Encode(r, out);
        }
      },
      record);
}

const char* Name(UnusualKind kind) {
  static constexpr const char* kNames[] = {"errors", "first-token", "load",          "refusals",
                                           "share",  "roster-dark", "roster-behind", "roster-contradicted"};
  static_assert(std::size(kNames) == static_cast<std::size_t>(UnusualKind::kCount));
  const auto n = static_cast<std::size_t>(kind);
  return n < std::size(kNames) ? kNames[n] : "?";
}

std::vector<ReplicaId> ListedIds(const EndpointList& list) {
  std::vector<ReplicaId> ids;
  ids.reserve(list.endpoints.size());
  for (const Endpoint& e : list.endpoints) ids.push_back(e.id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

Time TimeOf(const Record& record) {
  return std::visit(
      [](const auto& r) -> Time {
        if constexpr (requires { r.now; }) return r.now;
        if constexpr (requires { r.first; }) return r.first;
        return 0;
      },
      record);
}

void Decode(std::string_view block, std::vector<Record>& out) {
  try {
    for (std::size_t at = 0; at < block.size();) {
      const msgpack::object_handle handle =
          msgpack::unpack(block.data(), block.size(), at, nullptr, nullptr, kLimits);
      out.push_back(ReadRecord(handle.get()));
    }
  } catch (const msgpack::unpack_error&) {
    Bad("bytes that are no record");
  } catch (const msgpack::type_error&) {
    Bad("a field of another kind");
  }
}

std::string ActionBytes(const std::vector<Action>& actions) {
  std::string out;
  {
    Sink sink(&out);  // its rest goes to the text as it ends
    Packer p(sink);
    PackActions(p, actions);
  }
  return out;
}

std::string Words(const Record& record) {
  if (const auto* s = std::get_if<Start>(&record)) {
    return fmt::format("{} node {} starts, seed {:x}", s->now / 1000, s->node, s->seed);
  }
  if (const auto* g = std::get_if<Gap>(&record)) {
    return g->records == 0 ? "-- records are missing here --"
                           : fmt::format("-- {} records were not kept --", g->records);
  }
  if (const auto* m = std::get_if<Member>(&record)) {
    return fmt::format("{} replica {:08x} is {} at {}{}", m->now / 1000, m->id, m->name, m->address,
                       m->again ? " (as before)" : "");
  }
  if (const auto* r = std::get_if<Roster>(&record)) {
    if (r->why.empty())
      return fmt::format("{} roster generation {} from {}{}", r->now / 1000, r->generation, r->source,
                         r->again ? " (as before)" : "");
    return fmt::format("{} roster dark: {} failed, {}; last known generation {}", r->now / 1000, r->source,
                       r->why, r->generation);
  }
  if (const auto* b = std::get_if<Burst>(&record)) {
    std::string out = fmt::format(
        "{} burst until {}: {} decisions counted, not kept: {} arrived, {} sent, {} refused, {} failed; "
        "attempts",
        b->first / 1000, b->last / 1000, b->decisions, b->arrived, b->sent, b->refused, b->failed);
    for (std::size_t n = 0; n < b->outcomes.size(); ++n) {
      if (b->outcomes[n] > 0)
        out += fmt::format(" {}={}", ryeglade::Name(static_cast<Outcome>(n)), b->outcomes[n]);
    }
    for (const BurstReplica& r : b->replicas) out += fmt::format(" {:08x}:{}/{}", r.id, r.failed, r.sent);
    return out;
  }
  if (const auto* n = std::get_if<Note>(&record))
    return fmt::format("{} because {}", n->now / 1000, std::visit(NoteWords(), n->what));
  if (const auto* t = std::get_if<Tier>(&record))
    return fmt::format("{} tier: {} {} by {} ({}), {} nodes", t->now / 1000, t->what, t->member,
                       t->by.empty() ? "-" : t->by, t->value, t->live);
  if (const auto* n = std::get_if<Named>(&record))
    return fmt::format("{} request {:x} is {}", n->now / 1000, n->id, n->call_id);
  if (const auto* u = std::get_if<Unusual>(&record)) {
    const std::string who = u->fleet ? "the fleet" : fmt::format("{:08x}", u->replica);
    return fmt::format("{} unusual #{} {} {} of {}: {:.4g} before, {:.4g} now, {:.4g} elsewhere, since {}",
                       u->now / 1000, u->number, u->begins ? "begins:" : "ends:", Name(u->kind), who,
                       u->before, u->during, u->peers, u->since / 1000);
  }
  const Decision& d = std::get<Decision>(record);
  std::string out = fmt::format("{} {}", d.now / 1000, std::visit(EventWords(), d.event));
  for (const Action& a : d.actions) out += " -> " + std::visit(ActionWords(), a);
  return out;
}

}  // namespace ryeglade::timeline
