// The text that a stand-in replica answers with: a fixed function of the request's body and a seed, so that a
// client can tell whether what it got is what a replica made.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ryeglade::lab {

// What a prompt is known by: the bytes from its "messages" or "prompt" on, as no router changes these.
inline std::uint64_t PromptKey(std::string_view body) {
  std::size_t at = body.find("\"messages\"");
  if (at == std::string_view::npos) at = body.find("\"prompt\"");
  if (at == std::string_view::npos) at = 0;
  return XXH3_64bits(body.data() + at, body.size() - at);
}

// The nth token: a short word with a space ahead, some with letters that take several bytes.
inline std::string Token(std::uint64_t prompt, std::uint64_t seed, std::uint64_t n) {
  static constexpr std::string_view kSyllables[] = {"ga",     "ri", "to", "men",     "sal", "\u00e9",
                                                    "ko",     "ve", "lu", "n\u00f8", "pa",  "shi",
                                                    "\ubc14", "d",  "er", "in"};
  const std::uint64_t words[] = {prompt, seed, n};
  std::uint64_t h = XXH3_64bits(words, sizeof words);
  std::string token = n == 0 ? "" : " ";
  for (int i = 0; i < 3; ++i) {
    token += kSyllables[h & 15];
    h >>= 4;
  }
  return token;
}

inline std::string Text(std::uint64_t prompt, std::uint64_t seed, std::size_t tokens) {
  std::string text;
  for (std::size_t n = 0; n < tokens; ++n) text += Token(prompt, seed, n);
  return text;
}

}  // namespace ryeglade::lab
