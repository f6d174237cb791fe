#include "core/load_report_model.h"

#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>

namespace ryeglade {
namespace {

// Returns nullopt if the field is absent or its value is not a finite number that is at least 0.
std::optional<double> FieldValue(const std::string& report, const std::string& field) {
  const std::string name = field + "=";
  std::size_t at = report.find(name);
  // The name must be a whole field name: "xqueue=" does not match "queue=".
  while (at != std::string::npos && at > 0 && report[at - 1] != ',' && report[at - 1] != ' ') {
    at = report.find(name, at + 1);
  }
  if (at == std::string::npos) return std::nullopt;
  double value = 0;
  const char* report_end = report.data() + report.size();
  const auto [end, error] = std::from_chars(report.data() + at + name.size(), report_end, value);
  if (error != std::errc() || !std::isfinite(value) || value < 0) return std::nullopt;
  // The whole value must be a number: "5x" is not valid.
  const bool ended = end == report_end || *end == ',' || std::isspace(static_cast<unsigned char>(*end)) != 0;
  if (!ended) return std::nullopt;
  return value;
}

}  // namespace

std::vector<double> ParseLoadReport(const std::string& report, const std::vector<std::string>& fields) {
  std::vector<double> load;
  for (const std::string& field : fields) {
    const std::optional<double> value = FieldValue(report, field);
    if (!value) return {};
    load.push_back(*value);
  }
  return load;
}

}  // namespace ryeglade
