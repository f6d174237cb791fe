#include "settings/settings_check_model.h"

#include <cmath>
#include <cstddef>
#include <set>

namespace ryeglade {
namespace {

using policy::Time;

std::string TimeError(const std::string& key, Time value) {
  return value >= 0 ? "" : key + " is negative; give microseconds";
}

std::string AmountError(const std::string& key, double value) {
  return std::isfinite(value) && value >= 0 ? ""
                                            : key + " is negative or not finite; give a number of 0 or more";
}

std::string FindClassError(const std::string& key, const policy::ClassSettings& c) {
  if (c.name.empty()) return key + ".name is empty; give the class's name";
  if (c.time_budget <= 0)
    return key + ".deadline is not positive; give the time budget of its requests in microseconds";
  for (const std::string& error :
       {TimeError(key + ".promise", c.latency_objective), TimeError(key + ".window", c.dedup_window),
        AmountError(key + ".worth", c.priority_weight),
        AmountError(key + ".late-worth", c.late_weight_share)}) {
    if (!error.empty()) return error;
  }
  return "";
}

}  // namespace

std::string FindInvalidSetting(const policy::Settings& settings) {
  std::set<std::string> names;
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const std::string key = "classes." + std::to_string(i);
    const policy::ClassSettings& class_settings = settings.classes[i];
    if (std::string error = FindClassError(key, class_settings); !error.empty()) return error;
    if (!names.insert(class_settings.name).second)
      return key + ".name is that of another class; give each class a name of its own";
  }
  if (settings.connect_timeout <= 0) {
    return "limits.connect-timeout is not positive: no connection could be established in it; give "
           "microseconds";
  }
  for (const std::string& error : {TimeError("limits.max-retry-after", settings.max_retry_after),
                                   TimeError("obligations.drain-grace", settings.drain_grace),
                                   TimeError("obligations.ask-within", settings.max_poll_interval),
                                   TimeError("obligations.cold", settings.slow_start_window),
                                   AmountError("obligations.overload-factor", settings.overload_factor)}) {
    if (!error.empty()) return error;
  }
  return "";
}

}  // namespace ryeglade
