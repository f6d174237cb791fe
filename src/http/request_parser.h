// Parses one HTTP/1.1 request of a client, with bounds on its head and body. Knows nothing of what it means.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/buffer_pool.h"
#include "base/deadlines.h"

namespace ryeglade {

// A request; what a front gets is complete.
struct HttpRequest {
  explicit HttpRequest(BufferPool* pool) : body(pool) {}
  std::string method, target;
  std::vector<std::pair<std::string, std::string>> headers;  // in the order that they came in
  BufferChain body;
  Time first_byte = 0;  // when it came
  bool http11 = true;   // or a later 1.x

  std::string_view Path() const { return std::string_view(target).substr(0, target.find('?')); }
  const std::string* Header(std::string_view name) const;  // whatever its case; null: absent
};

// One a connection, reset for each request.
class RequestParser {
 public:
  // `pool` is not owned; `max_body` in bytes.
  RequestParser(BufferPool* pool, std::size_t max_body) : pool_(pool), max_body_(max_body), request_(pool) {
    Reset();
  }
  // Bounds the head of every request of the process.
  static void SetMaxHead(std::uint32_t bytes) { http_parser_set_max_header_size(bytes); }

  // Before the next request on the same connection.
  void Reset();

  // How far the request has come.
  enum class Result { kIncomplete, kComplete, kInvalid };
  // Parses up to the end of the request. `consumed`: how many of the bytes belong to it.
  Result Parse(std::string_view bytes, std::size_t* consumed);

  HttpRequest& request() { return request_; }  // as far as it has come
  bool keep_alive() const {
    return keep_alive_;
  }  // of a complete request: the client leaves the connection open
  // Once: the client waits for "100 Continue" before it sends the body.
  bool TakeExpectsContinue() { return std::exchange(expects_continue_, false); }
  // Of an invalid request: the status to answer, and why.
  int error_status() const;
  const char* error_reason() const;

 private:
  static const http_parser_settings& Callbacks();
  static RequestParser& Of(http_parser* parser) { return *static_cast<RequestParser*>(parser->data); }
  int OnHeaderField(std::string_view part);
  int OnHeaderValue(std::string_view part);
  int OnHeadersComplete();
  int OnBody(std::string_view part);
  int OnMessageComplete();

  BufferPool* pool_;
  std::size_t max_body_;
  http_parser parser_{};
  HttpRequest request_;
  bool value_begun_ = false;  // the next piece of a field's name begins another field
  bool complete_ = false;
  bool keep_alive_ = true;
  bool expects_continue_ = false;
  int limit_status_ = 0;  // the status for a bound that the request is over; 0: it is over none
};

}  // namespace ryeglade
