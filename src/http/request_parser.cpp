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
  http_parser_init(&parser_, HTTP_REQUEST);
  request_ = HttpRequest(pool_);
  value_begun_ = false;
  complete_ = false;
  expects_continue_ = false;
  limit_status_ = 0;
}

RequestParser::Result RequestParser::Parse(std::string_view bytes, std::size_t* consumed) {
  parser_.data = this;
  *consumed = http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  if (complete_) {
    http_parser_pause(&parser_, 0);
    return Result::kComplete;
  }
  return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ? Result::kIncomplete : Result::kInvalid;
}

int RequestParser::error_status() const {
  if (limit_status_ != 0) return limit_status_;
  return HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW ? 431 : 400;
}

const char* RequestParser::error_reason() const {
  return limit_status_ != 0 ? "limit" : http_errno_name(HTTP_PARSER_ERRNO(&parser_));
}

const http_parser_settings& RequestParser::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = [](http_parser* p, const char* at, std::size_t n) { return Of(p).OnTarget({at, n}); };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      return Of(p).OnHeaderField({at, n});
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      return Of(p).OnHeaderValue({at, n});
    };
    s.on_headers_complete = [](http_parser* p) { return Of(p).OnHeadersComplete(); };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) { return Of(p).OnBody({at, n}); };
    s.on_message_complete = [](http_parser* p) { return Of(p).OnMessageComplete(); };
    return s;
  }();
  return settings;
}

// Returns 0, or 1 if the head takes more memory than there is.
int RequestParser::ReserveForHead(std::size_t bytes) {
  if (request_.head_memory.Resize(request_.head_memory.bytes() + bytes)) return 0;
  limit_status_ = 503;
  return 1;
}

int RequestParser::OnTarget(std::string_view part) {
  if (ReserveForHead(part.size()) != 0) return 1;
  request_.target.append(part);
  return 0;
}

int RequestParser::OnHeaderField(std::string_view part) {
  if (request_.headers.empty() || value_begun_) {
    if (request_.headers.size() == kMaxFields) {
      limit_status_ = 431;
      return 1;
    }
    if (ReserveForHead(kFieldOverhead) != 0) return 1;
    request_.headers.emplace_back();
  }
  value_begun_ = false;
  if (ReserveForHead(part.size()) != 0) return 1;
  request_.headers.back().first.append(part);
  return 0;
}

int RequestParser::OnHeaderValue(std::string_view part) {
  value_begun_ = true;
  if (ReserveForHead(part.size()) != 0) return 1;
  request_.headers.back().second.append(part);
  return 0;
}

int RequestParser::OnHeadersComplete() {
  request_.method = http_method_str(static_cast<http_method>(parser_.method));
  request_.http11 = parser_.http_major == 1 && parser_.http_minor >= 1;
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  if (parser_.method == HTTP_CONNECT) limit_status_ = 405;
  const bool has_length = (parser_.flags & F_CONTENTLENGTH) != 0;
  if (has_length && parser_.content_length > max_body_) limit_status_ = 413;
  if (limit_status_ != 0) return -1;
  parser_.upgrade = 0;  // requests to upgrade the protocol are ignored
  const std::string* expect = request_.Header("expect");
  expects_continue_ = expect != nullptr && strcasecmp(expect->c_str(), "100-continue") == 0;
  return 0;
}

int RequestParser::OnBody(std::string_view part) {
  if (request_.body.size() + part.size() > max_body_) {
    limit_status_ = 413;
  } else if (!request_.body.Append(part)) {
    limit_status_ = 503;
  }
  return limit_status_ != 0 ? 1 : 0;
}

int RequestParser::OnMessageComplete() {
  complete_ = true;
  http_parser_pause(&parser_, 1);  // stops before a pipelined request
  return 0;
}

}  // namespace ryeglade
