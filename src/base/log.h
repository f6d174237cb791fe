// Writes structured events to standard error through spdlog, one per line: time, level, a stable event name,
// and fields. The names are listed in docs/on-call.md. Never blocks on the reader of the log, and limits the
// number of lines per second.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace ryeglade {

// Severity of an event, in increasing order.
enum class Level : std::uint8_t { kDebug, kInfo, kWarn, kError };

// A field of an event. Neither the name nor a text value is owned.
struct LogField {
  using Value = std::variant<std::int64_t, std::uint64_t, double, bool, std::string_view>;

  LogField(std::string_view n, bool v) : name(n), value(v) {}
  LogField(std::string_view n, std::signed_integral auto v) : name(n), value(static_cast<std::int64_t>(v)) {}
  LogField(std::string_view n, std::unsigned_integral auto v)
      : name(n), value(static_cast<std::uint64_t>(v)) {}
  LogField(std::string_view n, double v) : name(n), value(v) {}
  LogField(std::string_view n, const char* v) : name(n), value(std::string_view(v)) {}
  LogField(std::string_view n, const std::string& v) : name(n), value(std::string_view(v)) {}
  LogField(std::string_view n, std::string_view v) : name(n), value(v) {}

  std::string_view name;
  Value value;  // a view must be valid until Log returns
};

// Formats a number as eight hexadecimal digits, the form of replica ids in the log.
std::string Hex8(std::uint32_t value);

// Writes one event, unless its level is below the configured one or too many lines were written in the
// current second. To be called from one thread only.
void Log(Level level, std::string_view event, std::initializer_list<LogField> fields = {});

// Options of the process's log.
struct LogOptions {
  bool json = false;           // JSON lines instead of logfmt
  Level level = Level::kInfo;  // the lowest level that is written
  int lines_per_second = 300;  // further lines are dropped and counted
};
void SetUpLog(const LogOptions& options);  // for all events logged from now on

}  // namespace ryeglade
