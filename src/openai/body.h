// The body of an OpenAI-style chat or completions request: what a router needs to know of it, and the same
// body as it goes to a replica. Shared by the front and by the dialect; no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ryeglade::openai {

enum class Endpoint : std::uint8_t { kChat, kCompletions };

// What is wrong with a request, as the API tells it: `param` names the field, empty if none is to blame.
struct BodyError {
  std::string message, param, code;
};

struct Body {
  Endpoint endpoint = Endpoint::kChat;
  std::string model;
  bool stream = false;
  bool include_usage = false;        // the client wants the usage chunk of a stream
  std::optional<double> max_tokens;  // of the answer; the smaller of the two fields that say so
  std::string session_hint;          // prompt_cache_key, else user; empty: none
  std::size_t prompt_bytes = 0;      // of all text in messages or prompt, in bytes of UTF-8
  std::uint64_t prefix = 0;          // hash of the leading system and developer messages; 0: none
  std::size_t prefix_bytes = 0;      // in bytes
  std::uint64_t session = 0;         // hash of the conversation's opening, or of the hint; 0: none
};

struct BodyResult {
  std::optional<Body> body;  // absent: `error` says why
  BodyError error;
  // Where the fields that a replica gets otherwise stand in the text: from, to; {0, 0}: absent.
  std::pair<std::size_t, std::size_t> stream, stream_options, include_usage, model;
  std::size_t stream_options_begin = 0;  // behind the brace of stream_options, if it is an object
  bool stream_options_empty = true;
  std::size_t object_begin = 0;  // behind the first brace
  bool object_empty = true;
};

// `strict` refuses what a router can't keep (n above 1 and the like) and what contradicts itself; without it
// only the places matter, and `body` is present if the text is an object at all.
BodyResult ReadBody(std::string_view text, Endpoint endpoint, bool strict = true);

// The same text with `stream` true and usage asked for, and another model's name if one is given. All else
// stays byte for byte.
std::string RewriteForReplica(std::string_view text, const BodyResult& read, const std::string& model = "");

}  // namespace ryeglade::openai
