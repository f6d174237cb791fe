// The body of an OpenAI-style chat or completions request: reads the fields that a router needs, and rewrites
// the body for a replica. Used by the front and by the dialect. Performs no I/O.
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

// The fields of a request's body that the router uses.
struct Body {
  Endpoint endpoint = Endpoint::kChat;
  std::string model;
  bool stream = false;
  bool include_usage = false;  // the client asks for the usage chunk of a stream
  // The smaller of max_tokens and max_completion_tokens; absent if the request gives neither.
  std::optional<double> max_tokens;
  std::string session_hint;      // prompt_cache_key, otherwise user; empty if both are absent
  std::size_t prompt_bytes = 0;  // UTF-8 size of all strings in messages or prompt; 4 per token id
  std::uint64_t prefix = 0;      // hash of the leading system and developer messages; 0 if there are none
  std::size_t prefix_bytes = 0;  // UTF-8 size of all strings in these messages, roles included
  std::uint64_t session = 0;     // hash of session_hint, otherwise of the conversation's opening; 0 if none
};

struct BodyResult {
  std::optional<Body> body;  // absent if the request is invalid; `error` then tells why
  BodyError error;
  // Offsets in the text of the begin and the end of each value that RewriteForReplica may change; {0, 0} if
  // the field is absent.
  std::pair<std::size_t, std::size_t> stream, stream_options, include_usage, model;
  // Offset after the opening brace of stream_options; 0 if it is absent or not an object.
  std::size_t stream_options_begin = 0;
  bool stream_options_empty = true;
  std::size_t object_begin = 0;  // offset after the body's opening brace
  bool object_empty = true;      // the body has no members
};

// With `strict`, requests that the router cannot fulfil (such as `n` above 1) or that contradict themselves
// are invalid. Without it, only the offsets are of use, and `body` is present if the text is a JSON object.
BodyResult ReadBody(std::string_view text, Endpoint endpoint, bool strict = true);

// Returns the text with `stream` set to true, with the usage chunk requested, and with `model` as the name of
// the model unless `model` is empty. All other bytes are unchanged. `read` is the result of ReadBody for
// `text`.
std::string RewriteForReplica(std::string_view text, const BodyResult& read, const std::string& model = "");

}  // namespace ryeglade::openai
