#include "core/learned_model.h"

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
void Fields(F& f, Average& v) {
  f("mean", v.mean), f("n", v.n);
}
template <class F>
void Fields(F& f, Faded& v) {
  f("value", v.value), f("at", v.at);
}
template <class F>
void Fields(F& f, Learned::Pace& v) {
  f("now", v.now), f("best", v.best);
}
template <class F>
void Fields(F& f, Learned::KeyUse& v) {
  f("slow", v.slow), f("fast", v.fast);
}
template <class F>
void Fields(F& f, Learned::Kept& v) {
  f("tokens", v.tokens), f("at", v.at);
}
template <class F>
void Fields(F& f, LearnedReplica& v) {
  f("slow", v.slow), f("slow_n", v.slow_n), f("slow_at", v.slow_at), f("full", v.full),
      f("full_at", v.full_at);
  f("no_room_until", v.no_room_until), f("failures", v.failures), f("blocked_until", v.blocked_until);
  f("cold_tokens", v.cold_tokens), f("cold_at", v.cold_at), f("load", v.load), f("load_at", v.load_at);
}
template <class F>
void Fields(F& f, Learned::Replica& v) {
  f("id", v.id), f("started_at", v.started_at), f("out", v.out), f("seen", v.seen);
}
template <class F>
void Fields(F& f, Learned& v) {
  f("nodes", v.nodes), f("level", v.level), f("fell_from", v.fell_from), f("fell_at", v.fell_at);
  f("late", v.late), f("pace", v.pace), f("wait", v.wait), f("retry_budget", v.retry_budget);
  f("round_trip", v.round_trip), f("pace_by_class", v.pace_by_class), f("runtime", v.runtime);
  f("first_token", v.first_token), f("per_hint", v.per_hint), f("bucket_error", v.bucket_error);
  f("hint_error", v.hint_error), f("kind_slow", v.kind_slow), f("keys", v.keys);
  f("arrivals_slow", v.arrivals_slow), f("arrivals_fast", v.arrivals_fast), f("kept", v.kept);
  f("tenant_use", v.tenant_use), f("sends", v.sends), f("replicas", v.replicas);
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
  if (table.size() <= kMostLearnedKeys) return;
  std::vector<std::int64_t> times;
  times.reserve(table.size());
  for (const auto& [key, value] : table) times.push_back(at(value));
  const auto nth = times.end() - static_cast<std::ptrdiff_t>(kMostLearnedKeys);
  std::nth_element(times.begin(), nth, times.end());
  const std::int64_t oldest = *nth;
  std::erase_if(table, [&](const auto& e) { return at(e.second) <= oldest; });
}

bool Sane(const Average& a) { return a.n >= 0; }
bool Sane(const std::vector<Average>& all) {
  return std::all_of(all.begin(), all.end(), [](const Average& a) { return Sane(a); });
}

const char* Wrong(const Learned& k) {
  if (k.nodes < 1 || k.nodes > 1'000'000) return "nodes";
  if (k.level < 0 || k.fell_from < 0) return "level";
  if (k.late < 0 || k.late > 1 || k.wait < 0 || k.wait > 1) return "late or wait";
  if (k.retry_budget < 0 || k.retry_budget > 1000) return "retry_budget";
  for (const auto* table : {&k.runtime, &k.first_token}) {
    for (const auto& [bucket, a] : *table) {
      if (!Sane(a) || a.mean < 0) return "runtime";
    }
  }
  if (!Sane(k.per_hint) || !Sane(k.bucket_error) || !Sane(k.hint_error) || !Sane(k.kind_slow) ||
      !Sane(k.round_trip))
    return "an average";
  for (const Learned::Replica& r : k.replicas) {
    if (r.out < 0 || r.out > 1'000'000 || r.seen.failures < 0 || r.seen.slow_n < 0) return "a replica";
    if (std::abs(r.seen.slow) > 20 || r.seen.full < 0 || r.seen.full > 1) return "a replica's slowness";
  }
  return nullptr;
}

}  // namespace

std::string EncodeLearned(const Learned& learned) {
  Learned all = learned;
  Newest(all.kept, [](const Learned::Kept& k) { return k.at; });
  Newest(all.keys, [](const Learned::KeyUse& k) { return k.slow.at; });
  const std::vector<std::uint8_t> bytes = json::to_msgpack(Writer::Of(all));
  return {bytes.begin(), bytes.end()};
}

std::optional<Learned> DecodeLearned(const std::string& bytes, std::string* why) {
  try {
    const json j = json::from_msgpack(bytes, true, false);
    if (!j.is_object()) throw std::runtime_error("not what a process of ours writes");
    Learned learned;
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
