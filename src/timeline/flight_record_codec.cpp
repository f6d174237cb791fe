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

#include "core/learned_state_codec.h"

namespace ryeglade::timeline {
namespace {

using namespace policy;

// The first field of each record on disk is its kind. These values must never be changed or reused.
constexpr std::uint32_t kStart = 0, kDecision = 1, kGap = 2, kEndpoint = 3, kEndpointList = 4, kCoalesced = 5,
                        kReason = 6, kAnomaly = 7, kCallId = 8, kClusterEvent = 9;
// Bounds what damaged or foreign bytes can make the reader allocate: elements of an array, entries of a map,
// bytes of a string, bytes of a binary, bytes of an extension, and depth of nesting.
const msgpack::unpack_limit kUnpackLimits(1 << 20, 64, 1 << 22, 1 << 22, 0, 16);

// Collects many small writes in a buffer before they are appended to the string.
class BufferedOutput {
 public:
  explicit BufferedOutput(std::string* out) : out_(out) {}
  ~BufferedOutput() { out_->append(buffer_.data(), used_); }
  BufferedOutput(const BufferedOutput&) = delete;
  BufferedOutput& operator=(const BufferedOutput&) = delete;
  void write(const char* bytes, std::size_t n) {
    if (n > buffer_.size() - used_) {
      out_->append(buffer_.data(), used_);
      used_ = 0;
      if (n > buffer_.size()) {
        out_->append(bytes, n);
        return;
      }
    }
    std::memcpy(buffer_.data() + used_, bytes, n);
    used_ += n;
  }

 private:
  std::string* out_;
  std::array<char, 512> buffer_;
  std::size_t used_ = 0;
};
using Packer = msgpack::packer<BufferedOutput>;

// The fields of each type, in the order of the record. The same list is used for writing and for reading.
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
void Fields(F& f, EndpointRecord& m) {
  f(m.now, m.id, m.name, m.address, m.started_at, m.state, m.repeated);
}
template <class F>
void Fields(F& f, EndpointListRecord& r) {
  f(r.now, r.source, r.generation, r.unavailable_reason, r.repeated);
}
template <class F>
void Fields(F& f, CoalescedReplica& r) {
  f(r.id, r.sent, r.served, r.failed);
}
template <class F>
void Fields(F& f, CoalescedDecisions& b) {
  f(b.first, b.last, b.decisions, b.arrived, b.sent, b.rejected, b.failed, b.endpoint_lists, b.outcomes,
    b.replicas, b.other_attempts);
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
void Fields(F& f, CallIdRecord& n) {
  f(n.now, n.id, n.call_id);
}
template <class F>
void Fields(F& f, ClusterEventRecord& t) {
  f(t.now, t.what, t.member, t.by, t.value, t.live);
}
template <class F>
void Fields(F& f, Anomaly& a) {
  f(a.now, a.number, a.begins, a.kind, a.fleet, a.replica, a.since, a.baseline, a.during, a.peers);
}

template <class T>
constexpr bool kIsLearnedState = std::is_same_v<T, std::shared_ptr<const LearnedState>>;
template <class T>
constexpr bool kIsEntryList =
    std::is_same_v<T, std::vector<Endpoint>> || std::is_same_v<T, std::vector<CoalescedReplica>> ||
    std::is_same_v<T, std::vector<PeerReplicaReport>>;

struct FieldCounter {
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

struct FieldWriter {
  Packer& p;
  template <class... T>
  void operator()(T&... fields) {
    (Field(fields), ...);
  }
  template <class T>
  void Since7(T& v) {
    Field(v);
  }
  template <class T>
  void Field(T& v) {
    if constexpr (std::is_enum_v<T>) {
      p.pack(static_cast<std::uint32_t>(v));
    } else if constexpr (kIsEntryList<T>) {
      p.pack_array(static_cast<std::uint32_t>(v.size()));
      for (auto& entry : v) Struct(entry);
    } else if constexpr (kIsLearnedState<T>) {
      p.pack(v == nullptr ? std::string() : EncodeLearnedState(*v));
    } else {
      p.pack(v);
    }
  }
  template <class T>
  void Struct(T& v) {
    FieldCounter count;
    Fields(count, v);
    p.pack_array(count.n);
    Fields(*this, v);
  }
  // Writes the index of the alternative and then its fields, in one array.
  template <class V>
  void Variant(const V& v) {
    std::visit(
        [&](const auto& held) {
          // Fields takes a non-const reference, as it is also used for reading.
          auto& value = const_cast<std::remove_cvref_t<decltype(held)>&>(held);
          FieldCounter count;
          Fields(count, value);
          p.pack_array(count.n + 1);
          p.pack(static_cast<std::uint32_t>(v.index()));
          Fields(*this, value);
        },
        v);
  }
};

[[noreturn]] void ThrowMalformed(const std::string& what) { throw std::runtime_error(what); }

struct FieldReader {
  const msgpack::object_array& a;
  std::uint32_t at = 0;
  template <class... T>
  void operator()(T&... fields) {
    (Field(fields), ...);
  }
  // The last field of a struct, which is absent before format 7; it then keeps its default value.
  template <class T>
  void Since7(T& v) {
    if (at < a.size) Field(v);
  }
  const msgpack::object& Next() {
    if (at >= a.size) ThrowMalformed("record has too few fields");
    return a.ptr[at++];
  }
  template <class T>
  void Field(T& v) {
    const msgpack::object& o = Next();
    if constexpr (std::is_enum_v<T>) {
      v = static_cast<T>(o.as<std::uint32_t>());
    } else if constexpr (kIsEntryList<T>) {
      if (o.type != msgpack::type::ARRAY) ThrowMalformed("record has a field that should be an array");
      v.resize(o.via.array.size);
      for (std::uint32_t i = 0; i < o.via.array.size; ++i) {
        if (o.via.array.ptr[i].type != msgpack::type::ARRAY)
          ThrowMalformed("record has a list entry that should be an array");
        FieldReader inner{o.via.array.ptr[i].via.array};
        Fields(inner, v[i]);
      }
    } else if constexpr (kIsLearnedState<T>) {
      const std::string text = o.as<std::string>();
      std::string why;
      auto learned = text.empty() ? std::nullopt : DecodeLearnedState(text, &why);
      if (!text.empty() && !learned)
        ThrowMalformed("record has a restored state that cannot be decoded: " + why);
      if (learned) v = std::make_shared<const LearnedState>(std::move(*learned));
    } else {
      v = o.as<T>();
    }
  }
};

template <class V, std::size_t I = 0>
V ReadAlternative(std::uint32_t index, FieldReader& reader) {
  if constexpr (I < std::variant_size_v<V>) {
    if (index != I) return ReadAlternative<V, I + 1>(index, reader);
    std::variant_alternative_t<I, V> value;
    Fields(reader, value);
    return value;
  } else {
    ThrowMalformed("record has an event, action or reason of an unknown kind");
  }
}

template <class V>
V ReadVariant(const msgpack::object& o) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size == 0)
    ThrowMalformed("record has an event, action or reason that is not an array");
  FieldReader reader{o.via.array, 1};
  return ReadAlternative<V>(o.via.array.ptr[0].as<std::uint32_t>(), reader);
}

void PackActions(Packer& p, const std::vector<Action>& actions) {
  p.pack_array(static_cast<std::uint32_t>(actions.size()));
  FieldWriter w{p};
  for (const Action& a : actions) w.Variant(a);
}

template <class T>
T ReadStruct(FieldReader& r) {
  T value;
  Fields(r, value);
  return value;
}

template <class T>
void PackStruct(std::uint32_t kind, const T& held, std::string& out) {
  BufferedOutput sink(&out);
  Packer p(sink);
  auto& value = const_cast<T&>(held);  // Fields takes a non-const reference, as it is also used for reading
  FieldCounter count;
  Fields(count, value);
  p.pack_array(count.n + 1);
  p.pack(kind);
  FieldWriter w{p};
  Fields(w, value);
}

Record ReadRecord(const msgpack::object& o) {
  if (o.type != msgpack::type::ARRAY || o.via.array.size == 0) ThrowMalformed("record is not an array");
  const msgpack::object_array& a = o.via.array;
  FieldReader r{a, 1};
  switch (a.ptr[0].as<std::uint32_t>()) {
    case kStart: {
      Start s;
      r(s.format, s.node, s.settings, s.seed, s.now);
      if (s.format == 0 || s.format > kFormat)
        ThrowMalformed(
            fmt::format("record has format {}; this program reads formats 1 to {}", s.format, kFormat));
      return s;
    }
    case kDecision: {
      Decision d;
      r(d.now);
      d.event = ReadVariant<Event>(r.Next());
      const msgpack::object& list = r.Next();
      if (list.type != msgpack::type::ARRAY)
        ThrowMalformed("record has a list of actions that is not an array");
      for (std::uint32_t i = 0; i < list.via.array.size; ++i) {
        d.actions.push_back(ReadVariant<Action>(list.via.array.ptr[i]));
      }
      return d;
    }
    case kGap: {
      Gap g;
      r(g.records);
      return g;
    }
    case kEndpoint:
      return ReadStruct<EndpointRecord>(r);
    case kEndpointList:
      return ReadStruct<EndpointListRecord>(r);
    case kCoalesced:
      return ReadStruct<CoalescedDecisions>(r);
    case kReason: {
      ReasonRecord n;
      r(n.now);
      n.reason = ReadVariant<decltype(n.reason)>(r.Next());
      return n;
    }
    case kAnomaly:
      return ReadStruct<Anomaly>(r);
    case kCallId:
      return ReadStruct<CallIdRecord>(r);
    case kClusterEvent:
      return ReadStruct<ClusterEventRecord>(r);
    default:
      ThrowMalformed("record has an unknown kind");
  }
}

}  // namespace

void Encode(const Start& s, std::string& out) {
  BufferedOutput sink(&out);
  Packer p(sink);
  p.pack_array(6);
  p.pack(kStart).pack(s.format).pack(s.node).pack(s.settings).pack(s.seed).pack(s.now);
}

void Encode(Time now, const Event& event, const std::vector<Action>& actions, std::string& out) {
  BufferedOutput sink(&out);
  Packer p(sink);
  p.pack_array(4);
  p.pack(kDecision).pack(now);
  FieldWriter{p}.Variant(event);
  PackActions(p, actions);
}

void Encode(const Gap& gap, std::string& out) {
  BufferedOutput sink(&out);
  Packer p(sink);
  p.pack_array(2);
  p.pack(kGap).pack(gap.records);
}

void Encode(const EndpointRecord& endpoint, std::string& out) { PackStruct(kEndpoint, endpoint, out); }
void Encode(const EndpointListRecord& list, std::string& out) { PackStruct(kEndpointList, list, out); }
void Encode(const CoalescedDecisions& coalesced, std::string& out) { PackStruct(kCoalesced, coalesced, out); }
void Encode(const CallIdRecord& call, std::string& out) { PackStruct(kCallId, call, out); }
void Encode(const ClusterEventRecord& event, std::string& out) { PackStruct(kClusterEvent, event, out); }
void Encode(const Anomaly& anomaly, std::string& out) { PackStruct(kAnomaly, anomaly, out); }

void Encode(const ReasonRecord& reason, std::string& out) {
  BufferedOutput sink(&out);
  Packer p(sink);
  p.pack_array(3);
  p.pack(kReason).pack(reason.now);
  FieldWriter{p}.Variant(reason.reason);
}

void EncodeRecord(const Record& record, std::string& out) {
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

const char* Name(AnomalyKind kind) {
  static constexpr const char* kNames[] = {"errors", "first-token", "load",          "refusals",
                                           "share",  "roster-dark", "roster-behind", "roster-contradicted"};
  static_assert(std::size(kNames) == static_cast<std::size_t>(AnomalyKind::kCount));
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

Time RecordTime(const Record& record) {
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
          msgpack::unpack(block.data(), block.size(), at, nullptr, nullptr, kUnpackLimits);
      out.push_back(ReadRecord(handle.get()));
    }
  } catch (const msgpack::unpack_error&) {
    ThrowMalformed("block has bytes that are not a valid record");
  } catch (const msgpack::type_error&) {
    ThrowMalformed("record has a field of the wrong type");
  }
}

std::string ActionBytes(const std::vector<Action>& actions) {
  std::string out;
  {
    BufferedOutput sink(&out);  // flushes to `out` when it is destroyed
    Packer p(sink);
    PackActions(p, actions);
  }
  return out;
}

}  // namespace ryeglade::timeline
