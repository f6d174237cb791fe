// Parses one HTTP/1.1 response of an upstream host: head, framing and chunks, stricter than the parser
// library where a malformed response could pass for a good one. What the response means is the dialect's to
// say; its ResponseReader is fed the headers here, and the body by the caller.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/dialect.h"

namespace ryeglade {

// One a connection, started anew for each response.
class ResponseParser {
 public:
  // No chunk, and nothing that comes before a first complete event, may be longer: bytes.
  static constexpr std::uint64_t kMaxChunkBytes = std::uint64_t{256} * 1024;

  // Before the response to a request. `dialect` makes the reader once the response begins; not owned.
  void Start(const Dialect* dialect);

  // Parses what one read gave. False: malformed, and nothing of this read may be used. `body` gets the parts
  // of it that belong to the response's body, as views into `bytes`.
  bool Parse(std::string_view bytes, std::vector<std::string_view>* body);

  int status() const { return message_.status; }              // 0: no complete head yet
  bool complete() const { return message_.complete; }         // its end has come
  ResponseReader* reader() { return message_.reader.get(); }  // null: no byte of a response yet
  // The connection can take another request: the end of the response was told by its framing, nothing came
  // behind it, and the host keeps the connection open.
  bool reusable() const { return message_.complete && message_.framed && message_.keep_alive; }
  // All chunks that have begun are complete, with their line ends.
  bool at_chunk_boundary() const {
    return message_.chunk_remaining == 0 && message_.expected_line_end.empty();
  }

 private:
  // One response; a 1xx response ahead of the final one is another.
  struct Message {
    int status = 0;
    bool framed = false;    // its end can be told from a broken connection
    bool complete = false;  // the end of a final response, not of a 1xx
    bool keep_alive = false;
    bool value_begun = false;  // the next piece of a header's name begins another header
    std::string field, value;
    std::uint64_t chunk_remaining = 0;   // bytes of the current chunk still to come
    std::string_view expected_line_end;  // what must come before the next chunk
    std::unique_ptr<ResponseReader> reader;
  };

  static const http_parser_settings& Callbacks();
  static ResponseParser& Of(http_parser* parser) { return *static_cast<ResponseParser*>(parser->data); }
  int OnMessageBegin();
  int OnHeaderField(std::string_view part);
  int OnHeaderValue(std::string_view part);
  int OnHeadersComplete();
  int OnChunkHeader();
  int OnBody(std::string_view part);
  int OnMessageComplete();

  http_parser parser_{};
  const Dialect* dialect_ = nullptr;
  Message message_;
  std::vector<std::string_view>* body_ = nullptr;  // of the read being parsed
  const char* read_end_ = nullptr;                 // of the read being parsed
};

}  // namespace ryeglade
