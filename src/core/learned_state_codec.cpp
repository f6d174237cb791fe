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

constexpr double kMaxNumber = 1e16;           // larger than any time in microseconds, count or average
constexpr std::size_t kMaxEntries = 100'000;  // of one list or table

// The fields of each type by name. `field` is the Encoder or the Decoder. The names are part of the stored
// format and must not change.
template <class F>
void Fields(F& field, RunningAverage& v) {
  field("mean", v.mean);
  field("n", v.samples);
}
template <class F>
void Fields(F& field, DecayingCounter& v) {
  field("value", v.value);
  field("at", v.updated_at);
}
template <class F>
void Fields(F& field, LearnedState::ClassPace& v) {
  field("now", v.current);
  field("best", v.best);
}
template <class F>
void Fields(F& field, LearnedState::KeyTraffic& v) {
  field("slow", v.long_term);
  field("fast", v.short_term);
}
template <class F>
void Fields(F& field, LearnedState::CachedPrefix& v) {
  field("tokens", v.tokens);
  field("at", v.cached_at);
}
template <class F>
void Fields(F& field, LearnedReplica& v) {
  field("slow", v.slowness);
  field("slow_n", v.slowness_samples);
  field("slow_at", v.slowness_updated_at);
  field("full", v.capacity_factor);
  field("full_at", v.capacity_updated_at);
  field("no_room_until", v.at_capacity_until);
  field("failures", v.consecutive_failures);
  field("blocked_until", v.ejected_until);
  field("cold_tokens", v.slow_start_tokens);
  field("cold_at", v.slow_start_updated_at);
  field("load", v.reported_load);
  field("load_at", v.reported_at);
}
template <class F>
void Fields(F& field, LearnedState::Replica& v) {
  field("id", v.id);
  field("started_at", v.started_at);
  field("out", v.in_flight);
  field("seen", v.learned);
}
template <class F>
void Fields(F& field, LearnedState& v) {
  field("nodes", v.node_count);
  field("level", v.base_limit);
  field("fell_from", v.limit_before_decrease);
  field("fell_at", v.limit_decreased_at);
  field("late", v.late_share);
  field("pace", v.pace_slowdown);
  field("wait", v.objective_used);
  field("retry_budget", v.retry_budget);
  field("round_trip", v.mean_runtime);
  field("pace_by_class", v.pace_by_class);
  field("runtime", v.runtime_by_bucket);
  field("first_token", v.first_token_by_bucket);
  field("per_hint", v.runtime_per_hint);
  field("bucket_error", v.bucket_error);
  field("hint_error", v.hint_error);
  field("kind_slow", v.slowness_by_kind);
  field("keys", v.key_traffic);
  field("arrivals_slow", v.arrivals_long_term);
  field("arrivals_fast", v.arrivals_short_term);
  field("kept", v.cached_prefixes);
  field("tenant_use", v.arrivals_by_tenant);
  field("sends", v.dispatches);
  field("replicas", v.replicas);
}

template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};
template <class T>
struct IsMap : std::false_type {};
template <class K, class V>
struct IsMap<std::unordered_map<K, V>> : std::true_type {};

// Converts a value to JSON.
struct Encoder {
  json out = json::object();
  template <class T>
  void operator()(const char* name, T& v) {
    out[name] = Encode(v);
  }
  template <class T>
  static json Encode(T& v) {
    if constexpr (std::is_arithmetic_v<T>) {
      return v;
    } else if constexpr (IsVector<T>::value) {
      json list = json::array();
      for (auto& e : v) list.push_back(Encode(e));
      return list;
    } else if constexpr (IsMap<T>::value) {
      json list = json::array();
      for (auto& [key, e] : v) list.push_back({key, Encode(e)});
      return list;
    } else {
      Encoder inner;
      Fields(inner, v);
      return std::move(inner.out);
    }
  }
};

// Reads a value from JSON; throws std::runtime_error if a field has the wrong type or is out of range.
struct Decoder {
  const json& in;
  template <class T>
  void operator()(const char* name, T& v) {
    const auto at = in.find(name);
    if (at != in.end()) Decode(*at, v, name);
  }
  template <class T>
  static void Decode(const json& encoded, T& v, const char* name) {
    if constexpr (std::is_arithmetic_v<T>) {
      if (!encoded.is_number()) throw std::runtime_error(std::string(name) + " is not a number");
      const double d = encoded.get<double>();
      if constexpr (std::is_same_v<T, std::uint64_t> || std::is_same_v<T, std::uint32_t>) {
        if (!encoded.is_number_unsigned())
          throw std::runtime_error(std::string(name) + " is not an unsigned integer");
      } else if (!std::isfinite(d) || std::abs(d) > kMaxNumber) {
        throw std::runtime_error(std::string(name) + " is out of range");
      }
      v = encoded.get<T>();
    } else if constexpr (IsVector<T>::value) {
      CheckList(encoded, name);
      v.clear();
      for (const json& e : encoded) {
        typename T::value_type element{};
        Decode(e, element, name);
        v.push_back(std::move(element));
      }
    } else if constexpr (IsMap<T>::value) {
      CheckList(encoded, name);
      v.clear();
      for (const json& e : encoded) {
        if (!e.is_array() || e.size() != 2)
          throw std::runtime_error(std::string(name) + " has an entry that is not a [key, value] pair");
        typename T::key_type key{};
        typename T::mapped_type element{};
        Decode(e[0], key, name);
        Decode(e[1], element, name);
        v.emplace(key, std::move(element));
      }
    } else {
      if (!encoded.is_object()) throw std::runtime_error(std::string(name) + " is not an object");
      Decoder inner{encoded};
      Fields(inner, v);
    }
  }
  static void CheckList(const json& encoded, const char* name) {
    if (!encoded.is_array()) throw std::runtime_error(std::string(name) + " is not an array");
    if (encoded.size() > kMaxEntries)
      throw std::runtime_error(std::string(name) + " has more than " + std::to_string(kMaxEntries) +
                               " entries");
  }
};

// Removes all but the newest kMaxLearnedKeys entries of a table.
template <class Table, class At>
void KeepNewest(Table& table, At time_of) {
  if (table.size() <= kMaxLearnedKeys) return;
  std::vector<std::int64_t> times;
  times.reserve(table.size());
  for (const auto& [key, value] : table) times.push_back(time_of(value));
  const auto nth = times.end() - static_cast<std::ptrdiff_t>(kMaxLearnedKeys);
  std::nth_element(times.begin(), nth, times.end());
  const std::int64_t oldest = *nth;
  std::erase_if(table, [&](const auto& e) { return time_of(e.second) <= oldest; });
}

bool IsValid(const RunningAverage& a) { return a.samples >= 0; }
bool IsValid(const std::vector<RunningAverage>& all) {
  return std::all_of(all.begin(), all.end(), [](const RunningAverage& a) { return IsValid(a); });
}

// Returns the stored names of the fields of which one is out of range, or nullptr if all are valid.
const char* FindInvalid(const LearnedState& learned) {
  if (learned.node_count < 1 || learned.node_count > 1'000'000) return "nodes";
  if (learned.base_limit < 0 || learned.limit_before_decrease < 0) return "level or fell_from";
  if (learned.late_share < 0 || learned.late_share > 1 || learned.objective_used < 0 ||
      learned.objective_used > 1)
    return "late or wait";
  if (learned.retry_budget < 0 || learned.retry_budget > 1000) return "retry_budget";
  for (const auto* table : {&learned.runtime_by_bucket, &learned.first_token_by_bucket}) {
    for (const auto& [bucket, a] : *table) {
      if (!IsValid(a) || a.mean < 0) return "runtime or first_token";
    }
  }
  if (!IsValid(learned.runtime_per_hint) || !IsValid(learned.bucket_error) || !IsValid(learned.hint_error) ||
      !IsValid(learned.slowness_by_kind) || !IsValid(learned.mean_runtime))
    return "per_hint, bucket_error, hint_error, kind_slow or round_trip";
  for (const LearnedState::Replica& r : learned.replicas) {
    if (r.in_flight < 0 || r.in_flight > 1'000'000 || r.learned.consecutive_failures < 0 ||
        r.learned.slowness_samples < 0)
      return "replicas: out, failures or slow_n";
    if (std::abs(r.learned.slowness) > 20 || r.learned.capacity_factor < 0 || r.learned.capacity_factor > 1)
      return "replicas: slow or full";
  }
  return nullptr;
}

}  // namespace

std::string EncodeLearnedState(const LearnedState& learned) {
  LearnedState all = learned;
  KeepNewest(all.cached_prefixes, [](const LearnedState::CachedPrefix& p) { return p.cached_at; });
  KeepNewest(all.key_traffic, [](const LearnedState::KeyTraffic& t) { return t.long_term.updated_at; });
  const std::vector<std::uint8_t> bytes = json::to_msgpack(Encoder::Encode(all));
  return {bytes.begin(), bytes.end()};
}

std::optional<LearnedState> DecodeLearnedState(const std::string& bytes, std::string* error) {
  try {
    const json encoded = json::from_msgpack(bytes, true, false);
    if (!encoded.is_object())
      throw std::runtime_error("not an encoded learned state: expected a MessagePack map");
    LearnedState learned;
    Decoder decoder{encoded};
    Fields(decoder, learned);
    if (const char* invalid = FindInvalid(learned))
      throw std::runtime_error(std::string(invalid) + " is out of range");
    return learned;
  } catch (const std::exception& e) {
    *error = e.what();
    return std::nullopt;
  }
}

}  // namespace ryeglade
