#include "core/disabled_replicas_model.h"

#include <charconv>
#include <string_view>

namespace ryeglade {
namespace {

constexpr std::string_view kHead = "ryeglade-holds 1 ";
constexpr std::size_t kMostNames = 100'000;

bool Plain(const std::string& name) {
  if (name.empty() || name.size() > 256) return false;
  for (const char c : name) {
    if (c <= ' ' || c == 0x7f) return false;
  }
  return true;
}

}  // namespace

std::string EncodeDisabledReplicas(const DisabledReplicas& holds, const std::string& node) {
  std::string text = std::string(kHead) + node + "\n";
  const auto put = [&](const char* word, const std::map<std::string, std::int64_t>& names) {
    for (const auto& [name, at] : names) {
      if (Plain(name)) text += std::string(word) + " " + name + " " + std::to_string(at) + "\n";
    }
  };
  put("out", holds.out);
  put("back", holds.back);
  return text + "end\n";
}

std::optional<DisabledReplicas> DecodeDisabledReplicas(const std::string& text, const std::string& node,
                                                       std::string* why) {
  const auto fail = [&](const char* what) -> std::optional<DisabledReplicas> {
    *why = what;
    return std::nullopt;
  };
  std::string_view rest = text;
  const auto line = [&]() -> std::optional<std::string_view> {
    const std::size_t end = rest.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    const std::string_view one = rest.substr(0, end);
    rest.remove_prefix(end + 1);
    return one;
  };
  const auto head = line();
  if (!head || head->substr(0, kHead.size()) != kHead) return fail("not a holds file of this version");
  if (head->substr(kHead.size()) != node) return fail("of another node");
  DisabledReplicas holds;
  for (std::size_t n = 0;; ++n) {
    const auto one = line();
    if (!one) return fail("torn: no end");
    if (*one == "end") break;
    if (n == kMostNames) return fail("too many names");
    const std::size_t a = one->find(' '), b = one->rfind(' ');
    if (a == std::string_view::npos || a == b) return fail("a line is not 'out|back NAME TIME'");
    const std::string_view word = one->substr(0, a), number = one->substr(b + 1);
    const std::string name(one->substr(a + 1, b - a - 1));
    std::int64_t at = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), at);
    if (error != std::errc() || end != number.data() + number.size() || at < 0 || !Plain(name)) {
      return fail("a name or time is not plain");
    }
    if (word == "out") {
      holds.out[name] = at;
    } else if (word == "back") {
      holds.back[name] = at;
    } else {
      return fail("a line is not 'out|back NAME TIME'");
    }
  }
  if (!rest.empty()) return fail("more behind the end");
  return holds;
}

}  // namespace ryeglade
