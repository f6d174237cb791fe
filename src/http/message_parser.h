// Parses HTTP/1.1 messages: the one place that decides whether a request, a response or an endpoint list can
// be read. The parser library reads the lines of the head; what it leaves unchecked as Debian builds it, and
// the body, are HeadScanner's, ClassifyBody's and BodyDecoder's.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/body_decoder_model.h"
#include "http/head_scanner_model.h"

namespace ryeglade {

// Why a message can't be read, or is not accepted.
enum class MessageError : std::uint8_t {
  kNone,
  kHead,                // not the head of an HTTP/1.x message
  kHeadTooLarge,        // the head, a chunk's size line or the trailers
  kVersion,             // not HTTP/1.x
  kTransferCoding,      // fields that do not say where the body ends, or say it twice
  kUnsupportedCoding,   // a coding other than chunked
  kBody,                // the body does not have the form that its head states
  kChunkTooLarge,       // a chunk that is larger than any body may be
  kRejectedByReceiver,  // the receiver of the parts gave up
};

// Receives the parts of a message in the order in which they arrive. Functions that return bool end the
// parsing by false.
class MessageReceiver {
 public:
  virtual ~MessageReceiver() = default;
  virtual void OnMessageBegin() {}
  virtual bool OnTarget(std::string_view) { return true; }
  // A field's name and its value come in one or more parts each; the value's parts may be empty.
  virtual bool OnFieldName(std::string_view) { return true; }
  virtual bool OnFieldValue(std::string_view) { return true; }
  virtual bool OnHead(const http_parser& head, BodyFraming framing) = 0;
  virtual bool OnBody(std::string_view part) = 0;
};

// One per connection; Start is called for each message.
class MessageParser {
 public:
  // A chunk of more than `max_chunk` bytes is an error.
  MessageParser(http_parser_type type, std::uint64_t max_chunk) : type_(type), body_(max_chunk) { Start(); }

  // Prepares for the next message.
  void Start();

  enum class Result : std::uint8_t { kIncomplete, kComplete, kInvalid };
  // Parses at most to the end of the message; 1xx responses belong to the final one, which follows them. Sets
  // `*consumed` to the number of bytes that belong to it.
  Result Parse(std::string_view bytes, MessageReceiver* receiver, std::size_t* consumed);

  // For an invalid message.
  MessageError error() const { return error_; }
  const char* error_name() const;  // for log lines
  bool at_chunk_boundary() const { return body_.at_chunk_boundary(); }

 private:
  // The fields that say where the body ends, as far as they have been received.
  struct FramingFields {
    std::string name;       // the beginning of the current field's name
    bool in_value = false;  // part of the current field's value has been received
    bool has_coding = false;
    std::string coding;  // the values of Transfer-Encoding, joined by commas
  };

  static const http_parser_settings& Callbacks();
  static MessageParser& Of(http_parser* parser) { return *static_cast<MessageParser*>(parser->data); }
  int Accept(bool accepted);
  int Fail(MessageError error);
  int OnTarget(std::string_view part);
  int OnFieldName(std::string_view part);
  int OnFieldValue(std::string_view part);
  int OnHeadComplete();
  void AddCoding(std::string_view part);
  bool NamesProtocol() const;
  // Sets the error if the fields do not say where the body ends.
  BodyFraming ClassifyBody();
  BodyFraming ClassifyCoding();
  bool complete() const { return head_complete_ && body_.complete(); }
  bool is_informational() const { return type_ == HTTP_RESPONSE && parser_.status_code < 200; }
  bool ParseHead(std::string_view bytes, std::size_t* consumed);
  bool ParseBody(std::string_view bytes, std::size_t* consumed);

  http_parser_type type_;
  http_parser parser_{};
  HeadScanner head_;
  FramingFields fields_;
  BodyDecoder body_;
  bool head_complete_ = false;
  MessageReceiver* receiver_ = nullptr;  // set within Parse
  MessageError error_ = MessageError::kNone;
  BodyError body_error_ = BodyError::kNone;
};

}  // namespace ryeglade
