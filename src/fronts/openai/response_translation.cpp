#include "fronts/openai/response_translation.h"

#include <algorithm>
#include <array>

namespace ryeglade {
namespace {

using nlohmann::json;

constexpr int kMaxDepth = 64;               // of nested JSON values in an event
constexpr std::size_t kMaxToolCalls = 256;  // further tool calls of a message are dropped

// Returns the offset of the value that follows a key: past blanks and the colon.
std::size_t SkipToValue(std::string_view text, std::size_t at) {
  while (at < text.size() && (text[at] == ' ' || text[at] == ':')) ++at;
  return at;
}

// Returns whether `choices` is empty or absent, as in the last chunk, which contains only usage.
bool HasNoChoices(std::string_view data) {
  static constexpr std::string_view kName = "\"choices\"";
  const std::size_t at = data.find(kName);
  if (at == std::string_view::npos) return true;
  std::size_t next = SkipToValue(data, at + kName.size());
  if (next >= data.size() || data[next] != '[') return false;
  for (++next; next < data.size() && data[next] == ' ';) ++next;
  return next < data.size() && data[next] == ']';
}

}  // namespace

std::size_t TextBytes(std::string_view data) {
  static constexpr std::array<std::string_view, 6> kFields = {"content",   "text",    "arguments",
                                                              "reasoning", "refusal", "reasoning_content"};
  std::size_t bytes = 0;
  for (std::size_t at = data.find('"'); at != std::string_view::npos;) {
    // A string starts here: a key, or an entry of an array. Strings that are values of keys are skipped
    // below.
    std::size_t end = at + 1;
    std::size_t escapes = 0;
    while (end < data.size() && data[end] != '"') {
      if (data[end] == '\\') {
        ++escapes;
        ++end;
      }
      ++end;
    }
    if (end >= data.size()) return bytes;
    const std::string_view key = data.substr(at + 1, end - at - 1);
    at = end + 1;
    while (at < data.size() && data[at] == ' ') ++at;
    if (at < data.size() && data[at] == ':') {
      const std::size_t value = SkipToValue(data, at);
      if (value < data.size() && data[value] == '"' &&
          std::find(kFields.begin(), kFields.end(), key) != kFields.end()) {
        escapes = 0;
        for (end = value + 1; end < data.size() && data[end] != '"'; ++end) {
          if (data[end] != '\\') continue;
          ++escapes;
          ++end;
        }
        bytes += std::min(end, data.size()) - value - 1 - escapes;
        at = end + 1;
      } else {
        at = value;
        if (value < data.size() && data[value] == '"') {  // skips the value of another key
          for (end = value + 1; end < data.size() && data[end] != '"'; ++end) {
            if (data[end] == '\\') ++end;
          }
          at = end + 1;
        }
      }
    }
    if (at >= data.size()) return bytes;
    at = data.find('"', at);
  }
  return bytes;
}

bool ResponseObserver::Observe(const EventStream::Event& event) {
  if (!event.has_data) return true;
  if (event.data == "[DONE]") {
    done_event_.assign(event.raw);
    return false;
  }
  if (const std::size_t bytes = TextBytes(event.data); bytes > 0) {
    seen_.output_bytes += bytes;
    ++seen_.text_events;
  }
  static constexpr std::string_view kUsage = "\"usage\"";
  const std::size_t usage = event.data.rfind(kUsage);
  if (usage == std::string_view::npos) return true;
  const std::size_t value = SkipToValue(event.data, usage + kUsage.size());
  if (event.data.substr(value, 4) == "null") return true;
  if (!HasNoChoices(event.data)) {
    running_usage_.assign(event.data);  // a running total; used if no final usage is received
    return true;
  }
  usage_.assign(event.data);
  ++usage_times_;
  return usage_wanted_;
}

bool ResponseObserver::Feed(std::string_view bytes, std::string& out) {
  return events_.Feed(bytes, [&](const EventStream::Event& event) {
    if (Observe(event)) out.append(event.raw);
    return true;
  });
}

bool ResponseObserver::Feed(std::string_view bytes, ResponseAssembler& assembler) {
  return events_.Feed(bytes, [&](const EventStream::Event& event) {
    Observe(event);
    return !event.has_data || assembler.AddEvent(event.data);
  });
}

// ---- Complete responses ----

bool ResponseAssembler::ReserveBytes(std::size_t bytes) {
  bytes_ += bytes;
  return bytes_ <= max_bytes_;
}

bool ResponseAssembler::AddEvent(std::string_view data) {
  if (data == "[DONE]") return true;
  bool deep = false;
  const json chunk = json::parse(
      data,
      [&](int depth, json::parse_event_t, json&) {
        deep = deep || depth > kMaxDepth;
        return !deep;
      },
      false);
  try {
    return !deep && chunk.is_object() && AddChunk(chunk);
  } catch (const json::exception&) {  // a field has another type than in the API
    return false;
  }
}

// Concatenates strings and arrays, merges objects, and merges tool calls by their index. For all other values
// the last one is kept.
void ResponseAssembler::Merge(json& into, const json& piece) {
  for (const auto& [key, value] : piece.items()) {
    json& have = into[key];
    if (value.is_null()) continue;
    // Identifiers are not sent in pieces; if one is sent again, the last one is kept.
    const bool name = key == "id" || key == "type" || key == "role" || key == "object" || key == "model";
    if (key == "tool_calls" && value.is_array()) {
      if (!have.is_array()) have = json::array();
      for (const json& call : value) {
        if (!call.is_object()) continue;
        const std::size_t index = call.value("index", have.size());
        if (index >= kMaxToolCalls) continue;
        while (have.size() <= index) have.push_back(json::object());
        json rest = call;
        rest.erase("index");
        Merge(have[index], rest);
      }
    } else if (value.is_string() && have.is_string() && !name) {
      have.get_ref<std::string&>() += value.get_ref<const std::string&>();
    } else if (value.is_array() && have.is_array()) {
      have.insert(have.end(), value.begin(), value.end());
    } else if (value.is_object() && have.is_object()) {
      Merge(have, value);
    } else {
      have = value;
    }
  }
}

bool ResponseAssembler::AddChunk(const json& chunk) {
  for (const auto& [key, value] : chunk.items()) {
    if (key == "usage") {
      if (value.is_object()) usage_ = value;
    } else if (key != "choices" && !value.is_null()) {
      top_[key] = value;
    }
  }
  if (!chunk.contains("choices")) return true;
  if (!chunk.at("choices").is_array()) return false;
  for (const json& choice : chunk.at("choices")) {
    if (!choice.is_object()) return false;
    json rest = choice;
    rest.erase("index");
    if (rest.contains("delta")) {
      if (!rest.at("delta").is_object()) return false;
      Merge(message_, rest.at("delta"));
      rest.erase("delta");
    }
    if (rest.contains("finish_reason")) {
      if (!rest.at("finish_reason").is_null()) choice_["finish_reason"] = rest.at("finish_reason");
      rest.erase("finish_reason");
    }
    Merge(choice_, rest);
  }
  return true;
}

std::string ResponseAssembler::CompleteResponse(const std::string& id, const std::string& model,
                                                std::int64_t created) const {
  const bool chat = endpoint_ == openai::Endpoint::kChat;
  json response = top_;
  if (!response.contains("id")) response["id"] = (chat ? "chatcmpl-" : "cmpl-") + id;
  if (!response.contains("created")) response["created"] = created;
  if (!response.contains("model")) response["model"] = model;
  response["object"] = chat ? "chat.completion" : "text_completion";
  json choice = choice_;
  choice["index"] = 0;
  if (!choice.contains("finish_reason")) choice["finish_reason"] = nullptr;
  if (!choice.contains("logprobs")) choice["logprobs"] = nullptr;
  if (chat) {
    json message = message_;
    message["role"] = "assistant";
    if (!message.contains("content")) message["content"] = nullptr;
    choice["message"] = std::move(message);
  } else if (!choice.contains("text")) {
    choice["text"] = message_.contains("content") ? message_.at("content") : json("");
  }
  response["choices"] = json::array({std::move(choice)});
  if (usage_.is_object()) response["usage"] = usage_;
  return response.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace ryeglade
