#include "base/log.h"

#include <fmt/format.h>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/formatter.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "base/deadlines.h"

namespace ryeglade {
namespace {

constexpr std::size_t kMaxLineBytes = 1024;  // a writable pipe accepts a whole line of this size
constexpr std::string_view kLevelNames[] = {"debug", "info", "warn", "error"};

// Drops lines while standard error is not writable, so that the node does not wait for a stalled reader.
class NonBlockingStderr : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  std::uint64_t dropped = 0;

 protected:
  void sink_it_(const spdlog::details::log_msg& msg) override {
    pollfd writable{STDERR_FILENO, POLLOUT, 0};
    if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
      ++dropped;
      return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(msg, line);
    if (write(STDERR_FILENO, line.data(), line.size()) < 0) ++dropped;
  }
  void flush_() override {}
};

// Log builds the complete line; this only truncates it and adds the line end.
class VerbatimFormatter : public spdlog::formatter {
 public:
  void format(const spdlog::details::log_msg& msg, spdlog::memory_buf_t& to) override {
    const std::size_t n = std::min(msg.payload.size(), kMaxLineBytes - 1);
    to.append(msg.payload.data(), msg.payload.data() + n);
    to.push_back('\n');
  }
  std::unique_ptr<spdlog::formatter> clone() const override { return std::make_unique<VerbatimFormatter>(); }
};

// The log of the process.
struct State {
  LogOptions options;
  std::shared_ptr<NonBlockingStderr> sink = std::make_shared<NonBlockingStderr>();
  spdlog::logger logger{"ryeglade", sink};
  Time second = 0;  // the current second of Now()
  int lines = 0;    // events logged in that second
  State() {
    sink->set_formatter(std::make_unique<VerbatimFormatter>());
    logger.set_level(spdlog::level::trace);
  }
};

State& LogState() {
  static State state;
  return state;
}

void AppendQuoted(fmt::memory_buffer& out, std::string_view text) {
  out.push_back('"');
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
      fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned char>(c));
    } else {
      out.push_back(c);
    }
  }
  out.push_back('"');
}

void AppendValue(fmt::memory_buffer& out, const LogField::Value& value, bool json) {
  std::visit(
      [&](const auto& v) {
        if constexpr (std::is_same_v<std::decay_t<decltype(v)>, std::string_view>) {
          // Text is quoted if it contains blanks, quotes, `=`, backslashes or control characters: it may come
          // from a client, which must not be able to forge lines or fields.
          const bool plain = !json && !v.empty() && std::all_of(v.begin(), v.end(), [](unsigned char c) {
            return c > 0x20 && c != '"' && c != '=' && c != '\\' && c != 0x7f;
          });
          const std::string_view shown = v.substr(0, kMaxLineBytes / 2);
          if (plain) {
            out.append(shown.data(), shown.data() + shown.size());
          } else {
            AppendQuoted(out, shown);
          }
        } else {
          fmt::format_to(std::back_inserter(out), "{}", v);
        }
      },
      value);
}

}  // namespace

std::string Hex8(std::uint32_t value) { return fmt::format("{:08x}", value); }

void SetUpLog(const LogOptions& options) { LogState().options = options; }

void Log(Level level, std::string_view event, std::initializer_list<LogField> fields) {
  State& state = LogState();
  if (level < state.options.level) return;
  // Limits the lines per second, so that clients cannot make the node spend its time on logging.
  const Time now = Now();
  if (now / 1'000'000 != state.second) {
    state.second = now / 1'000'000;
    state.lines = 0;
  }
  if (++state.lines > state.options.lines_per_second) {
    ++state.sink->dropped;
    return;
  }
  const bool json = state.options.json;
  fmt::memory_buffer line;
  const auto append = [&](std::string_view name, const LogField::Value& value) {
    if (line.size() > 0) line.push_back(json ? ',' : ' ');
    if (json) {
      AppendQuoted(line, name);
      line.push_back(':');
    } else {
      line.append(name.data(), name.data() + name.size());
      line.push_back('=');
    }
    AppendValue(line, value, json);
  };
  append("ts", now / 1000);
  append("level", kLevelNames[static_cast<std::size_t>(level)]);
  if (state.sink->dropped > 0) append("dropped", std::exchange(state.sink->dropped, 0));
  append("event", event);
  for (const LogField& f : fields) append(f.name, f.value);
  const std::string_view text(line.data(), line.size());
  // A line that is too long is truncated; a JSON line is replaced, so that it remains a valid object.
  if (json) {
    const bool fits = text.size() + 3 <= kMaxLineBytes;
    state.logger.info("{{{}}}", fits ? text : "\"event\":\"log-line-too-long\"");
  } else {
    state.logger.info("{}", text);
  }
}

}  // namespace ryeglade
