#include "openai/body.h"

#define XXH_STATIC_LINKING_ONLY  // allows a hash state that is not on the heap
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "openai/strict_json.h"

namespace ryeglade::openai {
namespace {

constexpr double kMaxTokens = 1e9;
constexpr std::size_t kBytesPerTokenId = 4;  // size that a token id in a prompt counts as, in bytes of text

// A hash of a sequence of texts. Each text is preceded by its size, so that the boundaries matter.
class Hash {
 public:
  void Add(std::string_view text) {
    const std::uint64_t n = text.size();
    XXH3_64bits_update(&state_, &n, sizeof n);
    XXH3_64bits_update(&state_, text.data(), text.size());
  }
  std::uint64_t Value() const {
    const std::uint64_t value = XXH3_64bits_digest(&state_);
    return value == 0 ? 1 : value;  // 0 stands for an absent value
  }
  Hash() { XXH3_64bits_reset(&state_); }

 private:
  XXH3_state_t state_;
};

class BodyReader : public JsonHandler {
 public:
  BodyReader(Endpoint endpoint, bool strict, BodyResult& result) : strict_(strict), result_(result) {
    body_.endpoint = endpoint;
  }

  bool OnValue(const JsonValue& v) override {
    if (v.depth == 0) {
      if (v.kind != JsonKind::kObject) return Fail("", "the body must be a JSON object", "invalid_type");
      result_.object_begin = v.end;
      return true;
    }
    if (v.depth == 1) {
      result_.object_empty = false;
      field_ = v.key;
      return ReadField(v);
    }
    if (field_ == "stream_options") return ReadStreamOption(v);
    if (field_ == "messages") return ReadMessage(v);
    if (field_ == "prompt") return ReadPrompt(v);
    if (field_ == "modalities" && v.text == "audio") wants_audio_ = true;
    return true;
  }

  bool OnEnd(JsonKind, int depth, std::size_t to) override {
    // Without `strict` these values may be arrays or objects; the whole value is then replaced.
    if (depth == 1 && field_ == "stream_options") result_.stream_options.second = to;
    if (depth == 1 && field_ == "stream") result_.stream.second = to;
    if (depth == 1 && field_ == "model") result_.model.second = to;
    if (depth == 2 && field_ == "stream_options" && usage_option_) result_.include_usage.second = to;
    if (depth == 2 && field_ == "messages") return EndMessage();
    return true;
  }

  void Finish() {
    if (!result_.error.message.empty()) return;
    if (strict_ && !IsValid()) return;
    if (body_.session_hint.empty()) {
      body_.session = opening_ended_ ? opening_.Value() : 0;
    } else {
      Hash hint;
      hint.Add(body_.session_hint);
      body_.session = hint.Value();
    }
    if (leading_bytes_ > 0) {
      body_.prefix = leading_.Value();
      body_.prefix_bytes = leading_bytes_;
    }
    result_.body = std::move(body_);
  }

 private:
  bool chat() const { return body_.endpoint == Endpoint::kChat; }

  // Records an error, unless there is one already, and returns false. Without `strict`, errors of a single
  // field are ignored and the result is true.
  bool Fail(const std::string& param, const std::string& message, const std::string& code) {
    if (!strict_ && !param.empty()) return true;
    if (result_.error.message.empty()) result_.error = {message, param, code};
    return false;
  }
  bool Require(bool ok, const std::string& param, const std::string& what) {
    return ok || Fail(param, "'" + param + "' must be " + what + ".", "invalid_type");
  }
  bool RequireSupported(bool ok, const std::string& param, const std::string& what) {
    return ok || Fail(param, what, "unsupported_value");
  }

  bool ReadField(const JsonValue& v) {
    const bool is_null = v.kind == JsonKind::kNull;
    const bool is_string = v.kind == JsonKind::kString;
    const bool is_integer = v.kind == JsonKind::kInteger;
    if (v.key == "model") {
      result_.model = {v.begin, v.end};
      body_.model = v.text;
      return Require(is_string && !v.text.empty(), "model", "a string that names a model");
    }
    if (v.key == "stream") {
      result_.stream = {v.begin, v.end};
      body_.stream = v.kind == JsonKind::kBool && v.number != 0;
      return Require(v.kind == JsonKind::kBool || is_null, "stream", "true, false or null");
    }
    if (v.key == "stream_options") {
      result_.stream_options = {v.begin, v.end};
      has_options_ = v.kind == JsonKind::kObject;
      if (has_options_) result_.stream_options_begin = v.end;
      return Require(has_options_ || is_null, "stream_options", "an object or null");
    }
    if (v.key == "n" || v.key == "best_of") {
      const std::string name(v.key);
      return Require(is_null || is_integer, name, "a whole number") &&
             RequireSupported(is_null || v.number == 1, name,
                              "Only one answer is given to a request: '" + name + "' must be 1.");
    }
    if (v.key == "max_tokens" || v.key == "max_completion_tokens") {
      const std::string name(v.key);
      if (!Require(is_null || (is_integer && v.number >= 1 && v.number <= kMaxTokens), name,
                   "a whole number, 1 or more"))
        return false;
      if (is_integer) body_.max_tokens = std::min(v.number, body_.max_tokens.value_or(v.number));
      return true;
    }
    if (v.key == "prompt_cache_key" || v.key == "user") {
      const std::string name(v.key);
      if (!Require(is_null || is_string, name, "a string")) return false;
      if (is_string && (v.key == "prompt_cache_key" || body_.session_hint.empty()))
        body_.session_hint = v.text;
      return true;
    }
    if (v.key == "messages" && chat()) {
      return Require(v.kind == JsonKind::kArray, "messages", "an array of messages");
    }
    if (v.key == "prompt" && !chat()) {
      has_prompt_ = true;
      if (!Require(is_string || v.kind == JsonKind::kArray, "prompt", "a string or an array")) return false;
      if (is_string) CountPrompt(v.text);
      return true;
    }
    return true;
  }

  bool ReadStreamOption(const JsonValue& v) {
    if (v.depth != 2) return true;
    result_.stream_options_empty = false;
    usage_option_ = v.key == "include_usage";
    if (v.key != "include_usage") return true;
    result_.include_usage = {v.begin, v.end};
    body_.include_usage = v.kind == JsonKind::kBool && v.number != 0;
    return Require(v.kind == JsonKind::kBool || v.kind == JsonKind::kNull, "stream_options.include_usage",
                   "true or false");
  }

  // A message is hashed value by value, so that whitespace between the values does not matter.
  bool ReadMessage(const JsonValue& v) {
    if (v.depth == 2) {
      message_ = Hash();
      message_bytes_ = 0;
      role_.clear();
      ++messages_;
      return Require(v.kind == JsonKind::kObject, "messages", "an array of objects");
    }
    if (v.depth == 3 && v.key == "role") {
      if (!Require(v.kind == JsonKind::kString && !v.text.empty(), "messages.role", "a string")) return false;
      role_ = v.text;
    }
    if (v.depth == 3 && v.key == "content") {
      const bool valid_kind =
          v.kind == JsonKind::kString || v.kind == JsonKind::kArray || v.kind == JsonKind::kNull;
      if (!Require(valid_kind, "messages.content", "a string, an array of parts or null")) return false;
    }
    message_.Add(v.key);
    if (v.kind == JsonKind::kString) {
      message_.Add(v.text);
      message_bytes_ += v.text.size();
    } else {
      message_.Add(std::to_string(static_cast<int>(v.kind)) + std::to_string(v.number));
    }
    return true;
  }

  bool EndMessage() {
    if (!Require(!role_.empty(), "messages.role", "given in every message")) return false;
    body_.prompt_bytes += message_bytes_;
    const std::string digest = std::to_string(message_.Value());
    const bool is_leading = role_ == "system" || role_ == "developer";
    if (all_leading_ && is_leading) {
      leading_.Add(digest);
      leading_bytes_ += message_bytes_;
    }
    all_leading_ = all_leading_ && is_leading;
    // A conversation is identified by its opening: the leading system and developer messages, and the first
    // message after them.
    if (!opening_ended_) {
      opening_.Add(digest);
      opening_ended_ = !is_leading;
    }
    return true;
  }

  bool ReadPrompt(const JsonValue& v) {
    if (v.depth != 2) return true;
    ++prompt_entries_;
    if (v.kind == JsonKind::kString) {
      has_strings_ = true;
      CountPrompt(v.text);
    } else {
      body_.prompt_bytes += kBytesPerTokenId;
    }
    const bool is_single =
        v.kind == JsonKind::kInteger || (v.kind == JsonKind::kString && prompt_entries_ == 1);
    return RequireSupported(is_single && !(has_strings_ && prompt_entries_ > 1), "prompt",
                            "Only one prompt is answered in a request.");
  }

  void CountPrompt(std::string_view text) {
    // The first bytes of a prompt, by which a conversation without a hint is identified. A shorter prompt
    // identifies none.
    constexpr std::size_t kOpeningBytes = 1024;
    body_.prompt_bytes += text.size();
    if (text.size() < kOpeningBytes) return;
    opening_.Add(text.substr(0, kOpeningBytes));
    opening_ended_ = true;
  }

  bool IsValid() {
    if (body_.model.empty())
      return Fail("model", "You must provide a 'model'.", "missing_required_parameter");
    if (chat() && messages_ == 0) {
      return Fail("messages", "You must provide 'messages', at least one.", "missing_required_parameter");
    }
    if (!chat() && !has_prompt_)
      return Fail("prompt", "You must provide a 'prompt'.", "missing_required_parameter");
    if (has_options_ && !body_.stream) {
      return Fail("stream_options", "'stream_options' is allowed only when 'stream' is true.",
                  "invalid_value");
    }
    return RequireSupported(!wants_audio_ || body_.stream, "modalities",
                            "Audio is passed on only in a stream.");
  }

  bool strict_;
  BodyResult& result_;
  Body body_;
  std::string field_;          // the current top-level field
  bool usage_option_ = false;  // the current field of stream_options is include_usage
  bool has_options_ = false;   // stream_options is an object
  bool has_prompt_ = false;
  bool wants_audio_ = false;        // modalities contains "audio"
  bool has_strings_ = false;        // the prompt is an array that contains a string
  std::size_t messages_ = 0;        // number of messages so far
  std::size_t prompt_entries_ = 0;  // number of entries of a prompt that is an array
  Hash message_;                    // of the current message
  Hash leading_;                    // of the leading system and developer messages
  Hash opening_;                    // of the conversation's opening
  std::size_t message_bytes_ = 0;   // size of all strings in the current message
  std::size_t leading_bytes_ = 0;   // size of all strings in the leading messages
  std::string role_;                // of the current message; empty if it has none
  bool all_leading_ = true;         // all messages so far are system or developer messages
  bool opening_ended_ = false;      // opening_ is complete
};

}  // namespace

BodyResult ReadBody(std::string_view text, Endpoint endpoint, bool strict) {
  BodyResult result;
  BodyReader reader(endpoint, strict, result);
  const std::string json_error = ReadJson(text, reader);
  if (!json_error.empty() && result.error.message.empty()) {
    result.error = {"We could not read the body of your request as JSON: " + json_error + ".", "",
                    "invalid_json"};
  }
  reader.Finish();
  return result;
}

std::string RewriteForReplica(std::string_view text, const BodyResult& read, const std::string& model) {
  struct Edit {
    std::size_t begin, end;  // offsets of the part that is replaced
    std::string replacement;
  };
  std::vector<Edit> edits;
  const auto absent = [](const std::pair<std::size_t, std::size_t>& r) { return r.second == 0; };
  std::string added;  // members to insert at the object's start
  const auto add = [&](const char* member) {
    added += added.empty() ? "" : ",";
    added += member;
  };
  if (absent(read.stream)) {
    add("\"stream\":true");
  } else {
    edits.push_back({read.stream.first, read.stream.second, "true"});
  }
  if (absent(read.stream_options)) {
    add("\"stream_options\":{\"include_usage\":true}");
  } else if (read.stream_options_begin == 0) {
    edits.push_back({read.stream_options.first, read.stream_options.second, "{\"include_usage\":true}"});
  } else if (absent(read.include_usage)) {
    edits.push_back({read.stream_options_begin, read.stream_options_begin,
                     std::string("\"include_usage\":true") + (read.stream_options_empty ? "" : ",")});
  } else {
    edits.push_back({read.include_usage.first, read.include_usage.second, "true"});
  }
  if (!model.empty() && !absent(read.model)) {
    edits.push_back({read.model.first, read.model.second, QuoteJson(model)});
  }
  if (!added.empty()) {
    edits.push_back({read.object_begin, read.object_begin, added + (read.object_empty ? "" : ",")});
  }
  std::sort(edits.begin(), edits.end(), [](const Edit& a, const Edit& b) { return a.begin < b.begin; });
  std::string out;
  out.reserve(text.size() + 64);
  std::size_t at = 0;
  for (const Edit& e : edits) {
    out += text.substr(at, e.begin - at);
    out += e.replacement;
    at = e.end;
  }
  out += text.substr(at);
  return out;
}

}  // namespace ryeglade::openai
