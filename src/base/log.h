// One structured event a line on standard error, on spdlog: time, level, a stable event name, and fields. The
// names are listed in docs/on-call.md. Never waits for its reader, and writes a bounded number of lines a
// second.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace ryeglade {

// How severe an event is; the least first.
enum class Level : std::uint8_t { kDebug, kInfo, kWarn, kError };

// A name and a value; neither is owned.
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
  Value value;  // a view holds until the call returns
};

// A number as eight hexadecimal digits, as replicas are named.
std::string Hex8(std::uint32_t value);

void Log(Level level, std::string_view event, std::initializer_list<LogField> fields = {});

// How the log is written; the same for the whole process.
struct LogOptions {
  bool json = false;           // JSON lines instead of logfmt
  Level level = Level::kInfo;  // less than this is not written
  int lines_per_second = 300;  // what comes above is dropped and counted
};
void SetUpLog(const LogOptions& options);

}  // namespace ryeglade
