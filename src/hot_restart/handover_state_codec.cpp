#include "hot_restart/handover_state_codec.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

#include "core/learned_state_codec.h"

namespace ryeglade::hot_restart {
namespace {

using nlohmann::json;

constexpr std::string_view kState = "ryeglade-state", kOut = "ryeglade-out";
constexpr std::size_t kMostOut = 100'000;

// "WORD MAJOR PID SUM\n" and the body.
std::string Seal(std::string_view word, std::int64_t pid, const std::string& body) {
  return fmt::format("{} {} {} {:016x}\n", word, kStateMajor, pid, XXH3_64bits(body.data(), body.size())) +
         body;
}

std::string Open(std::string_view word, const std::string& text, std::int64_t pid) {
  const std::size_t end = text.find('\n');
  if (end == std::string::npos || end > 100) throw std::runtime_error("torn: no head");
  std::vector<std::string_view> parts;
  for (std::string_view rest(text.data(), end); !rest.empty();) {
    const std::size_t at = std::min(rest.find(' '), rest.size());
    parts.push_back(rest.substr(0, at));
    rest.remove_prefix(std::min(at + 1, rest.size()));
  }
  if (parts.size() < 4 || parts[0] != word) throw std::runtime_error("not ours");
  if (parts[1] != std::to_string(kStateMajor)) throw std::runtime_error("of another major version");
  if (parts[2] != std::to_string(pid)) throw std::runtime_error("of or for another process");
  std::string body = text.substr(end + 1);
  if (parts[3] != fmt::format("{:016x}", XXH3_64bits(body.data(), body.size())))
    throw std::runtime_error("torn: the checksum is another");
  return body;
}

}  // namespace

std::string EncodeState(const State& s, std::int64_t to) {
  const std::string learned = EncodeLearnedState(s.learned);
  const json j = {{"node", s.node},           {"program", s.program},
                  {"discovery", s.discovery}, {"roster", s.roster},
                  {"classes", s.classes},     {"learned", json::binary({learned.begin(), learned.end()})}};
  const std::vector<std::uint8_t> bytes = json::to_msgpack(j);
  return Seal(kState, to, {bytes.begin(), bytes.end()});
}

std::optional<State> DecodeState(const std::string& text, std::int64_t to, const std::string& node,
                                 std::string* why) {
  try {
    const json j = json::from_msgpack(Open(kState, text, to));
    State s;
    s.node = j.at("node").get<std::string>();
    if (s.node != node) throw std::runtime_error("of another node");
    s.program = j.value("program", "");
    s.discovery = j.value("discovery", "");
    s.roster = j.value("roster", "");
    s.classes = j.at("classes").get<std::vector<std::string>>();
    const auto& binary = j.at("learned").get_binary();
    auto learned = DecodeLearnedState({binary.begin(), binary.end()}, why);
    if (!learned) return std::nullopt;
    s.learned = std::move(*learned);
    return s;
  } catch (const std::exception& e) {
    *why = e.what();
    return std::nullopt;
  }
}

void FitTo(const std::vector<std::string>& classes, State* state) {
  if (state->classes == classes) return;
  policy::LearnedState& k = state->learned;
  k.pace_by_class.clear(), k.runtime_per_hint.clear(), k.bucket_error.clear(), k.hint_error.clear();
  k.runtime_by_bucket.clear(), k.first_token_by_bucket.clear();
}

std::string EncodeOut(const Out& out, std::int64_t from) {
  const std::vector<std::uint8_t> bytes = json::to_msgpack(json(out));
  return Seal(kOut, from, {bytes.begin(), bytes.end()});
}

std::optional<Out> DecodeOut(const std::string& text, std::int64_t from) {
  try {
    Out out = json::from_msgpack(Open(kOut, text, from)).get<Out>();
    if (out.size() > kMostOut) return std::nullopt;
    for (const auto& [id, n] : out) {
      if (n < 0 || n > 1'000'000) return std::nullopt;
    }
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace ryeglade::hot_restart
