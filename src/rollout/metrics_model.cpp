#include "rollout/metrics_model.h"

#include <cmath>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ryeglade::rollout {
namespace {

using nlohmann::json;

constexpr std::size_t kMostClasses = 1000;

double Real(const json& j, const char* key) {
  const double v = j.value(key, 0.0);
  if (!std::isfinite(v) || std::abs(v) > 1e18) throw std::runtime_error(key);
  return v;
}
std::uint64_t Whole(const json& j, const char* key) {
  const auto at = j.find(key);
  if (at == j.end()) return 0;
  if (!at->is_number_unsigned() || at->get<std::uint64_t>() > 100'000'000'000'000'000ULL)
    throw std::runtime_error(key);
  return at->get<std::uint64_t>();
}

}  // namespace

std::string EncodeFigures(const Figures& f) {
  json classes = json::object();
  for (const auto& [name, c] : f.classes) {
    classes[name] = {{"worth", c.worth},
                     {"served", c.served},
                     {"in_time", c.in_time},
                     {"refused", c.refused},
                     {"failed", c.failed},
                     {"attempts", c.attempts},
                     {"attempts_squared", c.attempts_squared},
                     {"started", c.started},
                     {"first_ln", c.first_ln},
                     {"first_ln_squared", c.first_ln_squared}};
  }
  return json{{"pid", f.pid},
              {"at", f.at},
              {"memory", f.memory},
              {"most_memory", f.most_memory},
              {"descriptors", f.descriptors},
              {"most_descriptors", f.most_descriptors},
              {"classes", classes}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Figures> DecodeFigures(const std::string& text) {
  try {
    const json j = json::parse(text);
    Figures f;
    f.pid = static_cast<std::int64_t>(Whole(j, "pid"));
    f.at = static_cast<std::int64_t>(Whole(j, "at"));
    f.memory = Whole(j, "memory"), f.most_memory = Whole(j, "most_memory");
    f.descriptors = Whole(j, "descriptors"), f.most_descriptors = Whole(j, "most_descriptors");
    const json& classes = j.at("classes");
    if (!classes.is_object() || classes.size() > kMostClasses) return std::nullopt;
    for (const auto& [name, c] : classes.items()) {
      ClassFigures& x = f.classes[name];
      x.worth = Real(c, "worth");
      x.served = Whole(c, "served"), x.in_time = Whole(c, "in_time");
      x.refused = Whole(c, "refused"), x.failed = Whole(c, "failed");
      x.attempts = Real(c, "attempts"), x.attempts_squared = Real(c, "attempts_squared");
      x.started = Whole(c, "started");
      x.first_ln = Real(c, "first_ln"), x.first_ln_squared = Real(c, "first_ln_squared");
      if (x.worth < 0 || x.attempts < 0 || x.in_time > x.served) return std::nullopt;
    }
    return f;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace ryeglade::rollout
