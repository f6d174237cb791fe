#include "openai/body.h"

#define XXH_STATIC_LINKING_ONLY  // for a state on the stack
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "openai/strict_json.h"

namespace ryeglade::openai {
namespace {

constexpr double kMostTokens = 1e9;

class Hash {
 public:
  void Add(std::string_view text) {
    const std::uint64_t n = text.size();
    XXH3_64bits_update(&state_, &n, sizeof n);
    XXH3_64bits_update(&state_, text.data(), text.size());
  }
  std::uint64_t Value() const {
    const std::uint64_t value = XXH3_64bits_digest(&state_);
    return value == 0 ? 1 : value;  // 0 means none
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
      if (v.kind != JsonKind::kObject) return Fault("", "the body must be a JSON object", "invalid_type");
      result_.object_begin = v.end;
      return true;
    }
    if (v.depth == 1) {
      result_.object_empty = false;
      field_ = v.key;
      return TopLevel(v);
    }
    if (field_ == "stream_options") return StreamOption(v);
    if (field_ == "messages") return Message(v);
    if (field_ == "prompt") return Prompt(v);
    if (field_ == "modalities" && v.text == "audio") audio_ = true;
    return true;
  }

  bool OnEnd(JsonKind, int depth, std::size_t to) override {
    // A list or object may stand where a replica gets something else, if nobody refused it: all of it goes.
    if (depth == 1 && field_ == "stream_options") result_.stream_options.second = to;
    if (depth == 1 && field_ == "stream") result_.stream.second = to;
    if (depth == 1 && field_ == "model") result_.model.second = to;
    if (depth == 2 && field_ == "stream_options" && usage_option_) result_.include_usage.second = to;
    if (depth == 2 && field_ == "messages") return MessageEnd();
    return true;
  }

  void Finish() {
    if (!result_.error.message.empty()) return;
    if (strict_ && !Whole()) return;
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

  bool Fault(const std::string& param, const std::string& message, const std::string& code) {
    if (!strict_ && !param.empty()) return true;
    if (result_.error.message.empty()) result_.error = {message, param, code};
    return false;
  }
  bool Needs(bool ok, const std::string& param, const std::string& what) {
    return ok || Fault(param, "'" + param + "' must be " + what + ".", "invalid_type");
  }
  bool CantKeep(bool ok, const std::string& param, const std::string& what) {
    return ok || Fault(param, what, "unsupported_value");
  }

  bool TopLevel(const JsonValue& v) {
    const bool null = v.kind == JsonKind::kNull;
    const bool text = v.kind == JsonKind::kString;
    const bool whole = v.kind == JsonKind::kInteger;
    if (v.key == "model") {
      result_.model = {v.begin, v.end};
      body_.model = v.text;
      return Needs(text && !v.text.empty(), "model", "a string that names a model");
    }
    if (v.key == "stream") {
      result_.stream = {v.begin, v.end};
      body_.stream = v.kind == JsonKind::kBool && v.number != 0;
      return Needs(v.kind == JsonKind::kBool || null, "stream", "true, false or null");
    }
    if (v.key == "stream_options") {
      result_.stream_options = {v.begin, v.end};
      options_ = v.kind == JsonKind::kObject;
      if (options_) result_.stream_options_begin = v.end;
      return Needs(options_ || null, "stream_options", "an object or null");
    }
    if (v.key == "n" || v.key == "best_of") {
      const std::string name(v.key);
      return Needs(null || whole, name, "a whole number") &&
             CantKeep(null || v.number == 1, name,
                      "Only one answer is given to a request: '" + name + "' must be 1.");
    }
    if (v.key == "max_tokens" || v.key == "max_completion_tokens") {
      const std::string name(v.key);
      if (!Needs(null || (whole && v.number >= 1 && v.number <= kMostTokens), name,
                 "a whole number, 1 or more"))
        return false;
      if (whole) body_.max_tokens = std::min(v.number, body_.max_tokens.value_or(v.number));
      return true;
    }
    if (v.key == "prompt_cache_key" || v.key == "user") {
      const std::string name(v.key);
      if (!Needs(null || text, name, "a string")) return false;
      if (text && (v.key == "prompt_cache_key" || body_.session_hint.empty())) body_.session_hint = v.text;
      return true;
    }
    if (v.key == "messages" && chat()) {
      return Needs(v.kind == JsonKind::kArray, "messages", "an array of messages");
    }
    if (v.key == "prompt" && !chat()) {
      prompt_ = true;
      if (!Needs(text || v.kind == JsonKind::kArray, "prompt", "a string or an array")) return false;
      if (text) CountPrompt(v.text);
      return true;
    }
    return true;
  }

  bool StreamOption(const JsonValue& v) {
    if (v.depth != 2) return true;
    result_.stream_options_empty = false;
    usage_option_ = v.key == "include_usage";
    if (v.key != "include_usage") return true;
    result_.include_usage = {v.begin, v.end};
    body_.include_usage = v.kind == JsonKind::kBool && v.number != 0;
    return Needs(v.kind == JsonKind::kBool || v.kind == JsonKind::kNull, "stream_options.include_usage",
                 "true or false");
  }

  // One message is hashed value by value, so that spaces between them do not matter.
  bool Message(const JsonValue& v) {
    if (v.depth == 2) {
      message_ = Hash();
      message_bytes_ = 0;
      role_.clear();
      ++count_;
      return Needs(v.kind == JsonKind::kObject, "messages", "an array of objects");
    }
    if (v.depth == 3 && v.key == "role") {
      if (!Needs(v.kind == JsonKind::kString && !v.text.empty(), "messages.role", "a string")) return false;
      role_ = v.text;
    }
    if (v.depth == 3 && v.key == "content") {
      const bool good =
          v.kind == JsonKind::kString || v.kind == JsonKind::kArray || v.kind == JsonKind::kNull;
      if (!Needs(good, "messages.content", "a string, an array of parts or null")) return false;
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

  bool MessageEnd() {
    if (!Needs(!role_.empty(), "messages.role", "given in every message")) return false;
    body_.prompt_bytes += message_bytes_;
    const std::string digest = std::to_string(message_.Value());
    const bool leads = role_ == "system" || role_ == "developer";
    if (leading_now_ && leads) {
      leading_.Add(digest);
      leading_bytes_ += message_bytes_;
    }
    leading_now_ = leading_now_ && leads;
    // A conversation is known by its opening: all up to and with the first message that does not lead.
    if (!opening_ended_) {
      opening_.Add(digest);
      opening_ended_ = !leads;
    }
    return true;
  }

  bool Prompt(const JsonValue& v) {
    if (v.depth != 2) return true;
    ++prompts_;
    if (v.kind == JsonKind::kString) {
      strings_ = true;
      CountPrompt(v.text);
    } else {
      body_.prompt_bytes += 4;  // a token by its number
    }
    const bool one = v.kind == JsonKind::kInteger || (v.kind == JsonKind::kString && prompts_ == 1);
    return CantKeep(one && !(strings_ && prompts_ > 1), "prompt",
                    "Only one prompt is answered in a request.");
  }

  void CountPrompt(std::string_view text) {
    constexpr std::size_t kOpening = 1024;  // bytes by which a conversation without a hint is known
    body_.prompt_bytes += text.size();
    if (text.size() < kOpening) return;
    opening_.Add(text.substr(0, kOpening));
    opening_ended_ = true;
  }

  bool Whole() {
    if (body_.model.empty())
      return Fault("model", "You must provide a 'model'.", "missing_required_parameter");
    if (chat() && count_ == 0) {
      return Fault("messages", "You must provide 'messages', at least one.", "missing_required_parameter");
    }
    if (!chat() && !prompt_)
      return Fault("prompt", "You must provide a 'prompt'.", "missing_required_parameter");
    if (options_ && !body_.stream) {
      return Fault("stream_options", "'stream_options' is allowed only when 'stream' is true.",
                   "invalid_value");
    }
    return CantKeep(!audio_ || body_.stream, "modalities", "Audio is passed on only in a stream.");
  }

  bool strict_;
  BodyResult& result_;
  Body body_;
  std::string field_;          // of the top level
  bool usage_option_ = false;  // the value at hand, in stream_options
  bool options_ = false, prompt_ = false, audio_ = false, strings_ = false;
  std::size_t count_ = 0, prompts_ = 0;
  Hash message_, leading_, opening_;
  std::size_t message_bytes_ = 0, leading_bytes_ = 0;
  std::string role_;
  bool leading_now_ = true, opening_ended_ = false;
};

}  // namespace

BodyResult ReadBody(std::string_view text, Endpoint endpoint, bool strict) {
  BodyResult result;
  BodyReader reader(endpoint, strict, result);
  const std::string wrong = ReadJson(text, reader);
  if (!wrong.empty() && result.error.message.empty()) {
    result.error = {"We could not read the body of your request as JSON: " + wrong + ".", "", "invalid_json"};
  }
  reader.Finish();
  return result;
}

std::string RewriteForReplica(std::string_view text, const BodyResult& read, const std::string& model) {
  struct Edit {
    std::size_t from, to;
    std::string by;
  };
  std::vector<Edit> edits;
  const auto absent = [](const std::pair<std::size_t, std::size_t>& r) { return r.second == 0; };
  std::string added;  // at the object's start
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
  std::sort(edits.begin(), edits.end(), [](const Edit& a, const Edit& b) { return a.from < b.from; });
  std::string out;
  out.reserve(text.size() + 64);
  std::size_t at = 0;
  for (const Edit& e : edits) {
    out += text.substr(at, e.from - at);
    out += e.by;
    at = e.to;
  }
  out += text.substr(at);
  return out;
}

}  // namespace ryeglade::openai
