#include "core/response_parser.h"

#include <algorithm>
#include <utility>

namespace ryeglade {
namespace {

// The parser as Debian builds it does not check the line end of a chunk, so that the rest of a chunk that is
// longer than its stated size would be parsed as another chunk. `expected` is the part of the line end that
// is still missing; the start of `bytes` is removed from it. Returns false if they differ.
bool ConsumeLineEnd(std::string_view& expected, std::string_view bytes) {
  const std::size_t length = std::min(expected.size(), bytes.size());
  if (expected.substr(0, length) != bytes.substr(0, length)) return false;
  expected.remove_prefix(length);
  return true;
}

// Bytes of a header's name, and of its value, that are kept. No header that a dialect reads is longer.
constexpr std::size_t kMaxHeaderBytes = std::size_t{4} * 1024;

void AppendBounded(std::string& text, std::string_view part) {
  text.append(part.substr(0, kMaxHeaderBytes - std::min(kMaxHeaderBytes, text.size())));
}

}  // namespace

void ResponseParser::Start(const Dialect* dialect) {
  dialect_ = dialect;
  message_ = {};
  http_parser_init(&parser_, HTTP_RESPONSE);
}

bool ResponseParser::Parse(std::string_view bytes, std::vector<std::string_view>* body) {
  if (!ConsumeLineEnd(message_.expected_line_end, bytes)) return false;
  parser_.data = this;
  body_ = body;
  read_end_ = bytes.data() + bytes.size();
  const std::size_t parsed = http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  body_ = nullptr;
  if (parsed < bytes.size()) message_.keep_alive = false;
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  return error == HPE_OK || (error == HPE_PAUSED && message_.complete);
}

const http_parser_settings& ResponseParser::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = [](http_parser* p) { return Of(p).OnMessageBegin(); };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      return Of(p).OnHeaderField({at, n});
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      return Of(p).OnHeaderValue({at, n});
    };
    s.on_headers_complete = [](http_parser* p) { return Of(p).OnHeadersComplete(); };
    s.on_chunk_header = [](http_parser* p) { return Of(p).OnChunkHeader(); };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) { return Of(p).OnBody({at, n}); };
    s.on_message_complete = [](http_parser* p) { return Of(p).OnMessageComplete(); };
    return s;
  }();
  return settings;
}

// Starts with an empty state, so that headers of a preceding 1xx response do not count for this one.
int ResponseParser::OnMessageBegin() {
  message_ = {};
  body_->clear();
  message_.reader = dialect_->NewReader();
  return 0;
}

int ResponseParser::OnHeaderField(std::string_view part) {
  if (std::exchange(message_.value_begun, false)) {
    message_.field.clear();
    message_.value.clear();
  }
  AppendBounded(message_.field, part);
  return 0;
}

int ResponseParser::OnHeaderValue(std::string_view part) {
  message_.value_begun = true;
  AppendBounded(message_.value, part);
  message_.reader->OnHeader(message_.field, message_.value);
  return 0;
}

int ResponseParser::OnHeadersComplete() {
  message_.status = parser_.status_code;
  message_.framed = (parser_.flags & F_CHUNKED) != 0 || (parser_.flags & F_CONTENTLENGTH) != 0;
  message_.keep_alive = http_should_keep_alive(&parser_) != 0;
  return message_.status == 101 ? -1 : 0;  // requests never ask for a protocol switch
}

// Rejects a chunk with a huge stated size, whose bytes would be passed on as events without end.
int ResponseParser::OnChunkHeader() {
  message_.chunk_remaining = parser_.content_length;
  return message_.chunk_remaining > kMaxChunkBytes ? 1 : 0;
}

int ResponseParser::OnBody(std::string_view part) {
  body_->push_back(part);
  if ((parser_.flags & F_CHUNKED) == 0) return 0;
  message_.chunk_remaining -= std::min<std::uint64_t>(part.size(), message_.chunk_remaining);
  if (message_.chunk_remaining > 0) return 0;
  message_.expected_line_end = "\r\n";
  const char* part_end = part.data() + part.size();
  const std::string_view rest(part_end, static_cast<std::size_t>(read_end_ - part_end));
  return ConsumeLineEnd(message_.expected_line_end, rest) ? 0 : 1;
}

int ResponseParser::OnMessageComplete() {
  message_.complete = message_.status >= 200;
  if (message_.complete) http_parser_pause(&parser_, 1);  // bytes after it belong to no response
  return 0;
}

}  // namespace ryeglade
