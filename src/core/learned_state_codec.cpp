#include "core/learned_state_codec.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <type_traits>
#include <utility>
#include <vector>

namespace ryeglade {
namespace {

using nlohmann::json;
using namespace policy;

constexpr double kMost = 1e16;  // beyond any time in microseconds, any count and any average
constexpr std::size_t kMostEntries = 100'000;

// The fields of each type by name; one list serves both directions.
template <class F>
void Fields(F& f, RunningAverage& v) {
  f("mean", v.mean), f("n", v.samples);
}
template <class F>
void Fields(F& f, DecayingCounter& v) {
  f("value", v.value), f("at", v.updated_at);
}
template <class F>
void Fields(F& f, LearnedState::ClassPace& v) {
  f("now", v.current), f("best", v.best);
}
template <class F>
void Fields(F& f, LearnedState::KeyTraffic& v) {
  f("slow", v.long_term), f("fast", v.short_term);
}
template <class F>
void Fields(F& f, LearnedState::CachedPrefix& v) {
  f("tokens", v.tokens), f("at", v.cached_at);
}
template <class F>
void Fields(F& f, LearnedReplica& v) {
  f("slow", v.slowness), f("slow_n", v.slowness_samples), f("slow_at", v.slowness_updated_at),
      f("full", v.capacity_factor), f("full_at", v.capacity_updated_at);
  f("no_room_until", v.at_capacity_until), f("failures", v.consecutive_failures),
      f("blocked_until", v.ejected_until);
  f("cold_tokens", v.slow_start_tokens), f("cold_at", v.slow_start_updated_at), f("load", v.reported_load),
      f("load_at", v.reported_at);
}
template <class F>
void Fields(F& f, LearnedState::Replica& v) {
  f("id", v.id), f("started_at", v.started_at), f("out", v.in_flight), f("seen", v.learned);
}
template <class F>
void Fields(F& f, LearnedState& v) {
  f("nodes", v.node_count), f("level", v.base_limit), f("fell_from", v.limit_before_decrease),
      f("fell_at", v.limit_decreased_at);
  f("late", v.late_share), f("pace", v.pace_slowdown), f("wait", v.objective_used),
      f("retry_budget", v.retry_budget);
  f("round_trip", v.round_trip), f("pace_by_class", v.pace_by_class), f("runtime", v.runtime_by_bucket);
  f("first_token", v.first_token_by_bucket), f("per_hint", v.runtime_per_hint),
      f("bucket_error", v.bucket_error);
  f("hint_error", v.hint_error), f("kind_slow", v.slowness_by_kind), f("keys", v.key_traffic);
  f("arrivals_slow", v.arrivals_long_term), f("arrivals_fast", v.arrivals_short_term),
      f("kept", v.cached_prefixes);
  f("tenant_use", v.arrivals_by_tenant), f("sends", v.dispatches), f("replicas", v.replicas);
}

template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};
template <class T>
struct IsMap : std::false_type {};
template <class K, class V>
struct IsMap<std::unordered_map<K, V>> : std::true_type {};

struct Writer {
  json out = json::object();
  template <class T>
  void operator()(const char* name, T& v) {
    out[name] = Of(v);
  }
  template <class T>
  static json Of(T& v) {
    if constexpr (std::is_arithmetic_v<T>) {
      return v;
    } else if constexpr (IsVector<T>::value) {
      json list = json::array();
      for (auto& e : v) list.push_back(Of(e));
      return list;
    } else if constexpr (IsMap<T>::value) {
      json list = json::array();
      for (auto& [key, e] : v) list.push_back({key, Of(e)});
      return list;
    } else {
      Writer inner;
      Fields(inner, v);
      return std::move(inner.out);
    }
  }
};

struct Reader {
  const json& in;
  template <class T>
  void operator()(const char* name, T& v) {
    const auto at = in.find(name);
    if (at != in.end()) Take(*at, v, name);
  }
  template <class T>
  static void Take(const json& j, T& v, const char* name) {
    if constexpr (std::is_arithmetic_v<T>) {
      if (!j.is_number()) throw std::runtime_error(std::string(name) + " is no number");
      const double d = j.get<double>();
      if constexpr (std::is_same_v<T, std::uint64_t> || std::is_same_v<T, std::uint32_t>) {
        if (!j.is_number_unsigned()) throw std::runtime_error(std::string(name) + " is no whole number");
      } else if (!std::isfinite(d) || std::abs(d) > kMost) {
        throw std::runtime_error(std::string(name) + " is out of range");
      }
      v = j.get<T>();
    } else if constexpr (IsVector<T>::value) {
      Bound(j, name);
      v.clear();
      for (const json& e : j) {
        typename T::value_type one{};
        Take(e, one, name);
        v.push_back(std::move(one));
      }
    } else if constexpr (IsMap<T>::value) {
      Bound(j, name);
      v.clear();
      for (const json& e : j) {
        if (!e.is_array() || e.size() != 2) throw std::runtime_error(std::string(name) + " holds no pair");
        typename T::key_type key{};
        typename T::mapped_type one{};
        Take(e[0], key, name);
        Take(e[1], one, name);
        v.emplace(key, std::move(one));
      }
    } else {
      if (!j.is_object()) throw std::runtime_error(std::string(name) + " is no object");
      Reader inner{j};
      Fields(inner, v);
    }
  }
  static void Bound(const json& j, const char* name) {
    if (!j.is_array()) throw std::runtime_error(std::string(name) + " is no list");
    if (j.size() > kMostEntries) throw std::runtime_error(std::string(name) + " is too long");
  }
};

// The newest of a table; the rest goes.
template <class M, class At>
void Newest(M& table, At at) {
  if (table.size() <= kMaxLearnedKeys) return;
  std::vector<std::int64_t> times;
  times.reserve(table.size());
  for (const auto& [key, value] : table) times.push_back(at(value));
  const auto nth = times.end() - static_cast<std::ptrdiff_t>(kMaxLearnedKeys);
  std::nth_element(times.begin(), nth, times.end());
  const std::int64_t oldest = *nth;
  std::erase_if(table, [&](const auto& e) { return at(e.second) <= oldest; });
}

bool Sane(const RunningAverage& a) { return a.samples >= 0; }
bool Sane(const std::vector<RunningAverage>& all) {
  return std::all_of(all.begin(), all.end(), [](const RunningAverage& a) { return Sane(a); });
}

const char* Wrong(const LearnedState& k) {
  if (k.node_count < 1 || k.node_count > 1'000'000) return "nodes";
  if (k.base_limit < 0 || k.limit_before_decrease < 0) return "level";
  if (k.late_share < 0 || k.late_share > 1 || k.objective_used < 0 || k.objective_used > 1)
    return "late or wait";
  if (k.retry_budget < 0 || k.retry_budget > 1000) return "retry_budget";
  for (const auto* table : {&k.runtime_by_bucket, &k.first_token_by_bucket}) {
    for (const auto& [bucket, a] : *table) {
      if (!Sane(a) || a.mean < 0) return "runtime";
    }
  }
  if (!Sane(k.runtime_per_hint) || !Sane(k.bucket_error) || !Sane(k.hint_error) ||
      !Sane(k.slowness_by_kind) || !Sane(k.round_trip))
    return "an average";
  for (const LearnedState::Replica& r : k.replicas) {
    if (r.in_flight < 0 || r.in_flight > 1'000'000 || r.learned.consecutive_failures < 0 ||
        r.learned.slowness_samples < 0)
      return "a replica";
    if (std::abs(r.learned.slowness) > 20 || r.learned.capacity_factor < 0 || r.learned.capacity_factor > 1)
      return "a replica's slowness";
  }
  return nullptr;
}

}  // namespace

std::string EncodeLearnedState(const LearnedState& learned) {
  LearnedState all = learned;
  Newest(all.cached_prefixes, [](const LearnedState::CachedPrefix& k) { return k.cached_at; });
  Newest(all.key_traffic, [](const LearnedState::KeyTraffic& k) { return k.long_term.updated_at; });
  const std::vector<std::uint8_t> bytes = json::to_msgpack(Writer::Of(all));
  return {bytes.begin(), bytes.end()};
}

std::optional<LearnedState> DecodeLearnedState(const std::string& bytes, std::string* why) {
  try {
    const json j = json::from_msgpack(bytes, true, false);
    if (!j.is_object()) throw std::runtime_error("not what a process of ours writes");
    LearnedState learned;
    Reader reader{j};
    Fields(reader, learned);
    if (const char* wrong = Wrong(learned)) throw std::runtime_error(std::string(wrong) + " is out of range");
    return learned;
  } catch (const std::exception& e) {
    *why = e.what();
    return std::nullopt;
  }
}

}  // namespace ryeglade
