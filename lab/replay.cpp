#include "lab/replay.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "http/event_stream.h"
#include "lab/local_fleet.h"
#include "lab/text.h"
#include "openai/strict_json.h"

namespace ryeglade::lab {
namespace {

using nlohmann::json;

constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kTokens = 32;  // length of the longest response
// With this many replicas and few faults no replica stays ejected for long, so that the outcome of one
// request does not change that of another.
constexpr std::size_t kReplicas = 8;
constexpr Time kRequestTimeout = 45'000'000;
constexpr std::array<const char*, 7> kEnds = {"served", "refused", "failed", "rejected",
                                              "broken", "spoilt",  "nothing"};

// A random generator that gives the same numbers on every machine, unlike the standard library's
// distributions.
class Random {
 public:
  explicit Random(std::uint64_t seed) : seed_(seed) {}
  std::uint64_t Next() {
    const std::uint64_t n = ++n_;
    return XXH3_64bits_withSeed(&n, sizeof n, seed_);
  }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Next() % n); }

 private:
  std::uint64_t seed_, n_ = 0;
};

double Worth(const std::string& cls) { return cls == "agent" ? 9 : 3; }

std::string BodyOf(const TraceLine& line) {
  std::string user = line.prompt;
  if (line.fault != Fault::kNone) user += fmt::format(" {}{} ", kFaultMark, Name(line.fault));
  return fmt::format(
      "{{\"model\":\"{}-model\",\"stream\":true,\"max_tokens\":{},\"messages\":[{{\"role\":\"system\","
      "\"content\":{}}},"
      "{{\"role\":\"user\",\"content\":{}}}]}}",
      line.cls, line.max_tokens, openai::QuoteJson(line.system), openai::QuoteJson(user));
}

End OutcomeOf(const TraceLine& line, const Reply& reply) {
  if (reply.status == 0) return End::kNothing;
  if (reply.status == 429 || reply.status == 503) return End::kRefused;
  if (reply.status >= 400 && reply.status < 500) return End::kRejected;
  if (reply.status != 200) return End::kFailed;
  std::string text;
  bool done = false, error = false, valid = true;
  EventStream events(std::size_t{1024} * 1024);
  events.Feed(reply.body, [&](const EventStream::Event& e) {
    if (!e.has_data) return true;
    if (e.data == "[DONE]") {
      done = true;
      return true;
    }
    const json chunk = json::parse(e.data, nullptr, false);
    if (!chunk.is_object()) {
      valid = false;
      return true;
    }
    error = error || chunk.contains("error");
    if (chunk.contains("choices") && !chunk.at("choices").empty()) {
      text += chunk.at("choices").at(0).at("delta").value("content", "");
    }
    return true;
  });
  const std::string expected = Text(PromptKey(BodyOf(line)), kSeed, std::min(kTokens, line.max_tokens));
  if (!valid || !expected.starts_with(text)) return End::kSpoilt;
  if (!reply.complete || error) return done ? End::kSpoilt : End::kBroken;
  return done && text == expected ? End::kServed : End::kSpoilt;
}

}  // namespace

std::string RequestOf(const TraceLine& line, std::size_t n, bool openai_front, const std::string& key) {
  const std::string body = BodyOf(line);
  if (openai_front) {
    return Post("/v1/chat/completions",
                fmt::format("Authorization: Bearer {}\r\nx-deadline-ms: {}\r\n", key, line.deadline_ms),
                body);
  }
  return Post(
      "/v1/chat/completions",
      fmt::format("X-Call-Id: {:x}\r\nX-Call-Class: {}\r\nX-Budget: {:.3f}\r\nX-Route-Hash: {:x}\r\n"
                  "X-Call-Info: prefix={:x},prompt_len={},prefix_len={},max_out={}\r\n",
                  n + 1, line.cls, static_cast<double>(line.deadline_ms) / 1000,
                  XXH3_64bits(line.prompt.data(), line.prompt.size()),
                  XXH3_64bits(line.system.data(), line.system.size()),
                  (line.system.size() + line.prompt.size()) / 4, line.system.size() / 4, line.max_tokens),
      body);
}

const char* Name(End end) { return kEnds.at(static_cast<std::size_t>(end)); }

std::vector<TraceLine> MakeTrace(std::size_t requests, std::uint64_t seed, double per_second) {
  static constexpr std::array<Fault, 10> kFaults = {
      Fault::kResetBefore, Fault::kResetOnce, Fault::kBreak,     Fault::kStall,  Fault::kBusy,
      Fault::kBusyOnce,    Fault::kError,     Fault::kErrorOnce, Fault::kSilent, Fault::kNoUsage};
  Random random(seed);
  std::vector<TraceLine> trace;
  for (std::size_t n = 0; n < requests; ++n) {
    TraceLine line;
    line.at_ms = static_cast<std::int64_t>(static_cast<double>(n) * 1000 / per_second);
    line.cls = random.Below(2) == 0 ? "docs" : "agent";
    line.system =
        fmt::format("You answer questions on rule book {}. {}", random.Below(8), std::string(400, 'r'));
    line.prompt = fmt::format("Question {} of {}: {}", n, seed, std::string(random.Below(300), 'q'));
    line.max_tokens = 8 + random.Below(24);
    line.deadline_ms = 30'000;
    if (random.Below(16) == 0) line.fault = kFaults.at(random.Below(kFaults.size()));
    if (line.fault == Fault::kSilent) line.deadline_ms = 1500;
    trace.push_back(std::move(line));
  }
  return trace;
}

std::string WriteTrace(const std::vector<TraceLine>& trace) {
  std::string out;
  for (const TraceLine& line : trace) {
    out += json({{"at_ms", line.at_ms},
                 {"class", line.cls},
                 {"system", line.system},
                 {"prompt", line.prompt},
                 {"max_tokens", line.max_tokens},
                 {"deadline_ms", line.deadline_ms},
                 {"fault", Name(line.fault)}})
               .dump() +
           "\n";
  }
  return out;
}

std::vector<TraceLine> ReadTrace(const std::string& text) {
  std::vector<TraceLine> trace;
  std::size_t number = 0;
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t to = std::min(text.find('\n', from), text.size());
    const std::string line = text.substr(from, to - from);
    from = to + 1;
    ++number;
    if (line.empty()) continue;
    try {
      const json j = json::parse(line);
      TraceLine entry;
      entry.at_ms = j.at("at_ms").get<std::int64_t>();
      entry.cls = j.at("class").get<std::string>();
      entry.system = j.at("system").get<std::string>();
      entry.prompt = j.at("prompt").get<std::string>();
      entry.max_tokens = j.at("max_tokens").get<std::size_t>();
      entry.deadline_ms = j.at("deadline_ms").get<std::int64_t>();
      const auto fault = ParseFault(j.at("fault").get<std::string>());
      if (!fault) throw std::runtime_error("unknown fault '" + j.at("fault").get<std::string>() + "'");
      if (entry.cls != "docs" && entry.cls != "agent")
        throw std::runtime_error("class '" + entry.cls + "' is neither docs nor agent");
      entry.fault = *fault;
      trace.push_back(std::move(entry));
    } catch (const std::exception& e) {
      throw std::runtime_error(fmt::format("line {} of the trace: {}", number, e.what()));
    }
  }
  return trace;
}

ReplayResult Replay(const std::vector<TraceLine>& trace, const ReplayOptions& options) {
  LocalFleetOptions fleet_options;
  fleet_options.program = options.program;
  fleet_options.key = "lab";
  FakeReplicaOptions replica;
  replica.dialect = options.dialect;
  replica.seed = kSeed;
  replica.first_token = 3'000;
  replica.per_token = 300;
  replica.batch = 256;
  replica.queue = 4096;
  replica.tokens = kTokens;
  fleet_options.replicas.assign(kReplicas, replica);
  LocalFleet fleet(fleet_options);

  ReplayResult result;
  result.ends.assign(trace.size(), End::kNothing);
  const std::string& to = options.openai_front ? fleet.openai() : fleet.platform();
  std::size_t done = 0;
  const Time start = Now();
  for (std::size_t n = 0; n < trace.size(); ++n) {
    fleet.runtime()->deadlines->Set(start + trace[n].at_ms * 1000, [&, n] {
      fleet.client().Send(to, RequestOf(trace[n], n, options.openai_front, "lab"), kRequestTimeout,
                          [&, n](const Reply& reply) {
                            result.ends[n] = OutcomeOf(trace[n], reply);
                            ++done;
                          });
    });
  }
  Time last_progress = start;
  fleet.Until(
      [&] {
        if (options.progress && Now() - last_progress > 1'000'000) {
          last_progress = Now();
          options.progress(done, trace.size());
        }
        return done == trace.size();
      },
      static_cast<Time>(trace.empty() ? 0 : trace.back().at_ms) * 1000 + 2 * kRequestTimeout);
  result.seconds = static_cast<double>(Now() - start) / 1e6;
  for (std::size_t n = 0; n < trace.size(); ++n) {
    result.worth_asked += Worth(trace[n].cls);
    if (result.ends[n] == End::kServed) result.worth += Worth(trace[n].cls);
  }
  const std::string ledger = fleet.StopAndReadLedger();
  result.log = fleet.node().Log();
  if (!ledger.empty()) result.ledger = ledger::RowsFromJson(ledger);
  result.attempts = fleet.attempt_counts().attempts;
  result.overlapping_attempts = fleet.attempt_counts().overlapping_attempts;
  return result;
}

std::string Table(const std::vector<TraceLine>& trace, const ReplayResult& result) {
  std::string out = fmt::format("{:<8} {:>8}", "class", "asked");
  for (const char* end : kEnds) out += fmt::format(" {:>9}", end);
  out += fmt::format(" {:>9} {:>9}\n", "worth", "of");
  for (const std::string cls : {"docs", "agent", "all"}) {
    std::array<std::size_t, kEnds.size()> counts{};
    std::size_t asked = 0;
    for (std::size_t n = 0; n < trace.size(); ++n) {
      if (cls != "all" && trace[n].cls != cls) continue;
      ++asked;
      ++counts.at(static_cast<std::size_t>(result.ends[n]));
    }
    out += fmt::format("{:<8} {:>8}", cls, asked);
    for (const std::size_t n : counts) out += fmt::format(" {:>9}", n);
    if (cls == "all") {
      out += fmt::format(" {:>9.0f} {:>9.0f}\n", result.worth, result.worth_asked);
    } else {
      out += fmt::format(" {:>9.0f} {:>9.0f}\n",
                         Worth(cls) * static_cast<double>(counts.at(static_cast<std::size_t>(End::kServed))),
                         Worth(cls) * static_cast<double>(asked));
    }
  }
  out += fmt::format("attempts {}, overlapping {}, {:.1f} s\n", result.attempts, result.overlapping_attempts,
                     result.seconds);
  if (!result.ledger.empty()) out += ledger::FormatTable(result.ledger);
  return out;
}

}  // namespace ryeglade::lab
