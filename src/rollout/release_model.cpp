#include "rollout/release_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ryeglade::rollout {
namespace {

using nlohmann::json;

constexpr const char* kPhases[] = {"down", "starting", "running", "changing", "settling"};
constexpr const char* kWhats[] = {"claim", "change", "back", "confirm", "mark"};
constexpr std::size_t kMostText = std::size_t{256} * 1024;
constexpr std::size_t kMostPast = 1000;

std::string Text(const json& j, const char* key) {
  std::string text = j.value(key, "");
  if (text.size() > kMostText) throw std::runtime_error(key);
  return text;
}

template <class E, std::size_t N>
E Choice(const json& j, const char* key, const char* const (&words)[N]) {
  const std::string word = Text(j, key);
  const auto* const at = std::find(std::begin(words), std::end(words), word);
  if (at == std::end(words)) throw std::runtime_error(key);
  return static_cast<E>(at - std::begin(words));
}

json Of(const Release& r) {
  return {{"id", r.id},
          {"program", r.program},
          {"config", r.config},
          {"settings", r.settings},
          {"program_sum", r.program_sum},
          {"config_sum", r.config_sum},
          {"settings_sum", r.settings_sum}};
}
Release ReleaseOf(const json& j) {
  return {Text(j, "id"),          Text(j, "program"),    Text(j, "config"),      Text(j, "settings"),
          Text(j, "program_sum"), Text(j, "config_sum"), Text(j, "settings_sum")};
}

json Of(const KeeperStatus& s) {
  json j = {{"protocol", kProtocol},
            {"node", s.node},
            {"epoch", s.epoch},
            {"driver", s.driver},
            {"plan", s.plan},
            {"mark", s.mark},
            {"mark_number", s.mark_number},
            {"why", s.why},
            {"phase", Name(s.phase)},
            {"in_force", Of(s.in_force)},
            {"last_good", Of(s.last_good)},
            {"trying", s.trying},
            {"failed", s.failed},
            {"failed_why", s.failed_why},
            {"crashes", s.crashes},
            {"pid", s.pid},
            {"zone", s.zone}};
  if (s.figures) j["figures"] = json::parse(EncodeFigures(*s.figures));
  j["now"] = s.now;
  j["claimed"] = s.claimed;
  for (const Past& p : s.history)
    j["history"].push_back({{"release", p.release}, {"figures", json::parse(EncodeFigures(p.figures))}});
  return j;
}
KeeperStatus StatusOf(const json& j) {
  KeeperStatus s;
  s.node = Text(j, "node");
  s.epoch = j.value("epoch", std::uint64_t{0});
  s.driver = Text(j, "driver"), s.plan = Text(j, "plan"), s.mark = Text(j, "mark"), s.why = Text(j, "why");
  s.mark_number = j.value("mark_number", std::uint64_t{0});
  s.phase = Choice<Phase>(j, "phase", kPhases);
  s.in_force = ReleaseOf(j.at("in_force"));
  s.last_good = ReleaseOf(j.at("last_good"));
  s.trying = Text(j, "trying"), s.failed = Text(j, "failed"), s.failed_why = Text(j, "failed_why");
  s.crashes = std::clamp(j.value("crashes", 0), 0, 1'000'000);
  s.pid = j.value("pid", std::int64_t{0});
  s.zone = Text(j, "zone");
  if (const auto at = j.find("figures"); at != j.end()) s.figures = DecodeFigures(at->dump());
  s.now = j.value("now", std::int64_t{0});
  s.claimed = std::max(j.value("claimed", std::int64_t{0}), std::int64_t{0});
  if (const auto at = j.find("history"); at != j.end() && at->is_array() && at->size() <= kMostPast) {
    for (const json& p : *at) {
      const auto figures = DecodeFigures(p.at("figures").dump());
      if (figures) s.history.push_back({Text(p, "release"), *figures});
    }
  }
  return s;
}

std::string Dump(const json& j) { return j.dump(-1, ' ', false, json::error_handler_t::replace); }

template <class T, class F>
std::optional<T> Read(const std::string& text, F of) {
  try {
    return of(json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

const char* Name(Phase phase) { return kPhases[static_cast<std::size_t>(phase)]; }

std::string EncodeRelease(const Release& r) { return Dump(Of(r)); }
std::optional<Release> DecodeRelease(const std::string& text) { return Read<Release>(text, ReleaseOf); }
std::string EncodeStatus(const KeeperStatus& s) { return Dump(Of(s)); }
std::optional<KeeperStatus> DecodeStatus(const std::string& text) {
  return Read<KeeperStatus>(text, StatusOf);
}

std::string EncodeCommand(const Command& c) {
  return Dump({{"protocol", kProtocol},
               {"what", kWhats[static_cast<std::size_t>(c.what)]},
               {"epoch", c.epoch},
               {"driver", c.driver},
               {"plan", c.plan},
               {"release", Of(c.release)},
               {"mark", c.mark},
               {"why", c.why},
               {"claim", c.claim}});
}
std::optional<Command> DecodeCommand(const std::string& text) {
  return Read<Command>(text, [](const json& j) {
    Command c;
    c.what = Choice<Command::What>(j, "what", kWhats);
    c.epoch = j.at("epoch").get<std::uint64_t>();
    c.driver = Text(j, "driver"), c.plan = Text(j, "plan"), c.mark = Text(j, "mark"), c.why = Text(j, "why");
    if (const auto at = j.find("release"); at != j.end()) c.release = ReleaseOf(*at);
    c.claim = std::max(j.value("claim", std::int64_t{0}), std::int64_t{0});
    return c;
  });
}
std::string EncodeReply(const Reply& r) {
  return Dump({{"yes", r.yes}, {"why", r.why}, {"status", Of(r.status)}});
}
std::optional<Reply> DecodeReply(const std::string& text) {
  return Read<Reply>(text, [](const json& j) {
    return Reply{j.at("yes").get<bool>(), Text(j, "why"), StatusOf(j.at("status"))};
  });
}

std::string CannotStandBeside(const std::string& old_compat, const std::string& new_compat) {
  const json a = json::parse(old_compat, nullptr, false), b = json::parse(new_compat, nullptr, false);
  if (!a.is_object()) return "the program in force does not answer `version --compat`";
  if (!b.is_object()) return "the new program does not answer `version --compat`";
  for (const char* what : {"membership-wire", "hand-over-state", "keeper-protocol"}) {
    const auto x = a.find(what), y = b.find(what);
    if (x == a.end() || y == b.end()) continue;  // one that lacks it does not speak it
    const auto range = [](const json& j, int* low, int* high) {
      if (!j.is_array() || j.size() != 2 || !j[0].is_number_integer() || !j[1].is_number_integer())
        return false;
      *low = j[0].get<int>(), *high = j[1].get<int>();
      return true;
    };
    int a0 = 0, a1 = 0, b0 = 0, b1 = 0;
    if (!range(*x, &a0, &a1) || !range(*y, &b0, &b1)) return std::string(what) + " is no range of versions";
    if (a1 < b0 || b1 < a0)
      return fmt::format("{}: the program in force speaks {} to {}, the new one {} to {}", what, a0, a1, b0,
                         b1);
  }
  return "";
}

}  // namespace ryeglade::rollout
