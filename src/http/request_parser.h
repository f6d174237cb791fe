// Parses the HTTP/1.1 requests of one client connection, with bounds on head and body.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/buffer_pool.h"
#include "base/deadlines.h"
#include "http/message_parser.h"

namespace ryeglade {

// A request. Fronts get only complete ones.
struct HttpRequest {
  explicit HttpRequest(BufferPool* pool) : head_memory(pool), body(pool) {}
  std::string method, target;
  std::vector<std::pair<std::string, std::string>> headers;  // in the order in which they were sent
  MemoryReservation head_memory;                             // for `target` and `headers`
  BufferChain body;
  Time first_byte = 0;  // when the first byte was read
  bool http11 = true;   // HTTP/1.1 or a later 1.x

  std::size_t HeldBytes() const { return head_memory.bytes() + body.size(); }
  std::string_view Path() const { return std::string_view(target).substr(0, target.find('?')); }
  // Returns the value of the first field with this name, ignoring case; nullptr if there is none.
  const std::string* Header(std::string_view name) const;
};

// One per connection; Reset is called before each request after the first.
class RequestParser : private MessageReceiver {
 public:
  // Maximum number of header fields. A short field takes many times its size in memory.
  static constexpr std::size_t kMaxFields = 128;

  // `pool` is not owned; `max_body` is in bytes.
  RequestParser(BufferPool* pool, std::size_t max_body)
      : pool_(pool), max_body_(max_body), parser_(HTTP_REQUEST, max_body), request_(pool) {
    Reset();
  }
  // Sets the greatest size of a request's head, for all parsers of the process.
  static void SetMaxHead(std::uint32_t bytes) { http_parser_set_max_header_size(bytes); }

  // Prepares for the next request on the same connection.
  void Reset();

  using Result = MessageParser::Result;
  // Parses at most to the end of the request. Sets `*consumed` to the number of bytes that belong to it.
  Result Parse(std::string_view bytes, std::size_t* consumed);

  HttpRequest& request() { return request_; }  // the part that has been parsed so far
  const HttpRequest& request() const { return request_; }
  // Whether the client wants the connection to stay open; valid once the request is complete.
  bool keep_alive() const { return keep_alive_; }
  // Returns true, once per request, if the client waits for "100 Continue" before it sends the body.
  bool TakeExpectsContinue() { return std::exchange(expects_continue_, false); }
  // For an invalid request: the status of the response, and the reason for the log.
  int error_status() const;
  const char* error_reason() const;

 private:
  bool OnTarget(std::string_view part) override;
  bool OnFieldName(std::string_view part) override;
  bool OnFieldValue(std::string_view part) override;
  bool OnHead(const http_parser& head, BodyFraming framing) override;
  bool OnBody(std::string_view part) override;
  bool ReserveForHead(std::size_t bytes);

  BufferPool* pool_;
  std::size_t max_body_;
  MessageParser parser_;
  HttpRequest request_;
  bool value_begun_ = false;  // part of a field's value was parsed, so that a name now starts another field
  bool keep_alive_ = true;
  bool expects_continue_ = false;
  // The status of the response if the request is not accepted although it is valid HTTP (a bound is exceeded,
  // memory is short, or the method is CONNECT); 0 otherwise.
  int limit_status_ = 0;
};

}  // namespace ryeglade
