// Parses one HTTP/1.1 response of an upstream host. MessageParser decides whether it can be read. The dialect
// interprets the response: its ResponseReader gets the headers from this class and the body from the caller.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/dialect.h"
#include "core/stream_end_model.h"
#include "http/message_parser.h"

namespace ryeglade {

// One per connection; Start is called for each response.
class ResponseParser : private MessageReceiver {
 public:
  // Maximum size in bytes of a chunk, and of what may arrive before the first complete event.
  static constexpr std::uint64_t kMaxChunkBytes = std::uint64_t{256} * 1024;

  // Prepares for the response to a request. `dialect` creates the reader when the response begins; it is not
  // owned.
  void Start(const Dialect* dialect);

  // Parses the bytes of one read. Returns false if they are malformed; nothing of this read may be used then.
  // The parts of the response's body are appended to `body` as views into `bytes`.
  bool Parse(std::string_view bytes, std::vector<std::string_view>* body);

  int status() const { return message_.status; }              // 0 until the head is complete
  bool complete() const { return message_.complete; }         // the response has ended
  ResponseReader* reader() { return message_.reader.get(); }  // nullptr until the response begins
  // Follows the events of a stream; the caller feeds it the body.
  StreamEndScanner& stream_end_scanner() { return message_.stream_end_scanner; }
  StreamEnd stream_end() const { return ClassifyStreamEnd(message_.complete, message_.stream_end_scanner); }
  // Whether the connection can be used for another request: the framing marked the end of the response,
  // nothing followed it, and the host keeps the connection open.
  bool reusable() const { return message_.complete && message_.framed && message_.keep_alive; }
  // Whether every chunk that has begun is complete, including its line end.
  bool at_chunk_boundary() const { return parser_.at_chunk_boundary(); }

 private:
  // State of one response. A 1xx response before the final one has a state of its own.
  struct Message {
    int status = 0;
    bool framed = false;    // has a length or chunks, so that its end differs from a broken connection
    bool complete = false;  // the final response, not only a 1xx response, has ended
    bool keep_alive = false;
    bool value_begun = false;  // the current header has part of its value; a name now starts another header
    std::string field, value;  // the current header, as far as it has been received
    std::unique_ptr<ResponseReader> reader;
    StreamEndScanner stream_end_scanner;
  };

  void OnMessageBegin() override;
  bool OnFieldName(std::string_view part) override;
  bool OnFieldValue(std::string_view part) override;
  bool OnHead(const http_parser& head, BodyFraming framing) override;
  bool OnBody(std::string_view part) override;

  MessageParser parser_{HTTP_RESPONSE, kMaxChunkBytes};
  const Dialect* dialect_ = nullptr;
  Message message_;
  std::vector<std::string_view>* body_ = nullptr;  // where Parse collects body parts; nullptr outside Parse
};

}  // namespace ryeglade
