// The body of an OpenAI-style chat or completions request: reads what a router needs from it, and rewrites it
// for a replica. Used by the front and by the dialect. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ryeglade::openai {

enum class Endpoint : std::uint8_t { kChat, kCompletions };

// Why a request is invalid, as in the API's error responses. `param` names the invalid field and is empty if
// the error concerns no single field.
struct BodyError {
  std::string message, param, code;
};

struct Body {
  Endpoint endpoint = Endpoint::kChat;
  std::string model;
  bool stream = false;
  bool include_usage = false;        // the client asks for the usage chunk of a stream
  std::optional<double> max_tokens;  // the smaller of max_tokens and max_completion_tokens
  std::string session_hint;          // prompt_cache_key, otherwise user; empty if both are absent
  std::size_t prompt_bytes = 0;      // UTF-8 size of all strings in messages or prompt; 4 per token id
  std::uint64_t prefix = 0;          // hash of the leading system and developer messages; 0 if there are none
  std::size_t prefix_bytes = 0;      // UTF-8 size of all strings in these messages, roles included
  std::uint64_t session = 0;  // hash of session_hint, otherwise of the conversation's opening; 0 if none
};

struct BodyResult {
  std::optional<Body> body;  // absent if the request is invalid; `error` then tells why
  BodyError error;
  // Where the text has the values of the fields that RewriteForReplica may change: the offsets of the begin
  // and the end; {0, 0} if the field is absent.
  std::pair<std::size_t, std::size_t> stream, stream_options, include_usage, model;
  std::size_t stream_options_begin = 0;  // offset after the opening brace; 0 if it is not an object
  bool stream_options_empty = true;
  std::size_t object_begin = 0;  // offset after the body's opening brace
  bool object_empty = true;
};

// With `strict`, requests that the router can't fulfil (such as `n` above 1) or that contradict themselves
// are invalid. Without it only the offsets matter, and `body` is present if the text is a JSON object.
BodyResult ReadBody(std::string_view text, Endpoint endpoint, bool strict = true);

// Returns the text with `stream` set to true, with usage requested, and with `model` as the model's name
// unless it is empty. Everything else is the same, byte for byte.
std::string RewriteForReplica(std::string_view text, const BodyResult& read, const std::string& model = "");

}  // namespace ryeglade::openai
