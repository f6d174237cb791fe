// The text of a fake replica's response. It is a fixed function of the request body and a seed, so that a
// client can check that it got exactly what the replica sent.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ryeglade::lab {

// Identifies a prompt: a hash of the body from "messages" or "prompt" on, which no router changes.
inline std::uint64_t PromptKey(std::string_view body) {
  std::size_t at = body.find("\"messages\"");
  if (at == std::string_view::npos) at = body.find("\"prompt\"");
  if (at == std::string_view::npos) at = 0;
  return XXH3_64bits(body.data() + at, body.size() - at);
}

// Returns the nth token: three syllables, some of them with multi-byte characters, after a space unless n is
// 0.
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
