#include "settings/settings_check_model.h"

#include <cmath>
#include <cstddef>
#include <set>

namespace ryeglade {
namespace {

using policy::Time;

std::string NegativeTime(const std::string& key, Time value) {
  return value >= 0 ? "" : key + " is negative; give microseconds";
}

std::string NoShare(const std::string& key, double value) {
  return std::isfinite(value) && value >= 0 ? "" : key + " is no amount; give a number of 0 or more";
}

std::string WrongClass(const std::string& key, const policy::ClassSettings& c) {
  if (c.name.empty()) return key + ".name is empty; give the class's name";
  if (c.time_budget <= 0)
    return key + ".deadline is not positive; give the client's patience in microseconds";
  for (const std::string& wrong :
       {NegativeTime(key + ".promise", c.latency_objective), NegativeTime(key + ".window", c.dedup_window),
        NoShare(key + ".worth", c.priority_weight), NoShare(key + ".late-worth", c.late_weight_share)}) {
    if (!wrong.empty()) return wrong;
  }
  return "";
}

}  // namespace

std::string WrongSetting(const policy::Settings& settings) {
  std::set<std::string> names;
  for (std::size_t n = 0; n < settings.classes.size(); ++n) {
    const std::string key = "classes." + std::to_string(n);
    const policy::ClassSettings& c = settings.classes[n];
    if (std::string wrong = WrongClass(key, c); !wrong.empty()) return wrong;
    if (!names.insert(c.name).second) return key + ".name is that of another class; give each its own";
  }
  if (settings.connect_timeout <= 0) {
    return "limits.connect-timeout is not positive: no connection could come up in it; give microseconds";
  }
  for (const std::string& wrong : {NegativeTime("limits.max-retry-after", settings.max_retry_after),
                                   NegativeTime("obligations.drain-grace", settings.drain_grace),
                                   NegativeTime("obligations.ask-within", settings.max_poll_interval),
                                   NegativeTime("obligations.cold", settings.slow_start_window),
                                   NoShare("obligations.overload-factor", settings.overload_factor)}) {
    if (!wrong.empty()) return wrong;
  }
  return "";
}

}  // namespace ryeglade
