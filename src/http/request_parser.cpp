#include "http/request_parser.h"

#include <strings.h>

#include <string>

namespace ryeglade {
namespace {

// Bytes that a header field takes besides its text: two strings, in a vector that may have twice their room.
constexpr std::size_t kFieldOverhead = 4 * sizeof(std::string);

}  // namespace

const std::string* HttpRequest::Header(std::string_view name) const {
  for (const auto& [field, value] : headers) {
    if (field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0) {
      return &value;
    }
  }
  return nullptr;
}

void RequestParser::Reset() {
  parser_.Start();
  request_ = HttpRequest(pool_);
  value_begun_ = false;
  expects_continue_ = false;
  limit_status_ = 0;
}

RequestParser::Result RequestParser::Parse(std::string_view bytes, std::size_t* consumed) {
  return parser_.Parse(bytes, this, consumed);
}

int RequestParser::error_status() const {
  switch (parser_.error()) {
    case MessageError::kRejectedByReceiver:
      return limit_status_;
    case MessageError::kHeadTooLarge:
      return 431;
    case MessageError::kVersion:
      return 505;
    case MessageError::kUnsupportedCoding:
      return 501;
    case MessageError::kChunkTooLarge:
      return 413;
    default:
      return 400;
  }
}

const char* RequestParser::error_reason() const { return parser_.error_name(); }

// Returns false if the head takes more memory than there is.
bool RequestParser::ReserveForHead(std::size_t bytes) {
  if (request_.head_memory.Resize(request_.head_memory.bytes() + bytes)) return true;
  limit_status_ = 503;
  return false;
}

bool RequestParser::OnTarget(std::string_view part) {
  if (!ReserveForHead(part.size())) return false;
  request_.target.append(part);
  return true;
}

bool RequestParser::OnFieldName(std::string_view part) {
  if (request_.headers.empty() || value_begun_) {
    if (request_.headers.size() == kMaxFields) {
      limit_status_ = 431;
      return false;
    }
    if (!ReserveForHead(kFieldOverhead)) return false;
    request_.headers.emplace_back();
  }
  value_begun_ = false;
  if (!ReserveForHead(part.size())) return false;
  request_.headers.back().first.append(part);
  return true;
}

bool RequestParser::OnFieldValue(std::string_view part) {
  value_begun_ = true;
  if (!ReserveForHead(part.size())) return false;
  request_.headers.back().second.append(part);
  return true;
}

bool RequestParser::OnHead(const http_parser& head, BodyFraming framing) {
  request_.method = http_method_str(static_cast<http_method>(head.method));
  request_.http11 = head.http_minor >= 1;
  keep_alive_ = http_should_keep_alive(&head) != 0;
  if (head.method == HTTP_CONNECT) limit_status_ = 405;
  if (framing == BodyFraming::kLength && head.content_length > max_body_) limit_status_ = 413;
  if (limit_status_ != 0) return false;
  const std::string* expect = request_.Header("expect");
  expects_continue_ = expect != nullptr && strcasecmp(expect->c_str(), "100-continue") == 0;
  return true;
}

bool RequestParser::OnBody(std::string_view part) {
  if (request_.body.size() + part.size() > max_body_) {
    limit_status_ = 413;
  } else if (!request_.body.Append(part)) {
    limit_status_ = 503;
  }
  return limit_status_ == 0;
}

}  // namespace ryeglade
