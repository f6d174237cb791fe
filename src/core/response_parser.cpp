#include "core/response_parser.h"

#include <algorithm>
#include <utility>

namespace ryeglade {
namespace {

// Bytes of a header's name, and of its value, that are kept. No header that a dialect reads is longer.
constexpr std::size_t kMaxHeaderBytes = std::size_t{4} * 1024;

void AppendBounded(std::string& text, std::string_view part) {
  text.append(part.substr(0, kMaxHeaderBytes - std::min(kMaxHeaderBytes, text.size())));
}

}  // namespace

void ResponseParser::Start(const Dialect* dialect) {
  dialect_ = dialect;
  message_ = {};
  parser_.Start();
}

bool ResponseParser::Parse(std::string_view bytes, std::vector<std::string_view>* body) {
  body_ = body;
  std::size_t consumed = 0;
  const MessageParser::Result result = parser_.Parse(bytes, this, &consumed);
  body_ = nullptr;
  if (result == MessageParser::Result::kInvalid) return false;
  message_.complete = result == MessageParser::Result::kComplete;
  if (consumed < bytes.size()) message_.keep_alive = false;  // the rest belongs to no response
  return true;
}

// Starts with an empty state, so that headers of a preceding 1xx response do not count for this one.
void ResponseParser::OnMessageBegin() {
  message_ = {};
  body_->clear();
  message_.reader = dialect_->NewReader();
}

bool ResponseParser::OnFieldName(std::string_view part) {
  if (std::exchange(message_.value_begun, false)) {
    message_.field.clear();
    message_.value.clear();
  }
  AppendBounded(message_.field, part);
  return true;
}

bool ResponseParser::OnFieldValue(std::string_view part) {
  message_.value_begun = true;
  AppendBounded(message_.value, part);
  message_.reader->OnHeader(message_.field, message_.value);
  return true;
}

bool ResponseParser::OnHead(const http_parser& head, BodyFraming framing) {
  message_.status = static_cast<int>(head.status_code);
  message_.framed = framing == BodyFraming::kChunked || (head.flags & F_CONTENTLENGTH) != 0;
  message_.keep_alive = http_should_keep_alive(&head) != 0;
  return message_.status != 101;  // requests never ask for a protocol switch
}

bool ResponseParser::OnBody(std::string_view part) {
  body_->push_back(part);
  return true;
}

}  // namespace ryeglade
