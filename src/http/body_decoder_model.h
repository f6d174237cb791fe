// Decodes the body of an HTTP/1.1 message by its framing: a length, chunks, or the end of the connection.
// Chunks must have exactly the form of RFC 9112, section 7.1, but for blanks behind a chunk's size. Pure: no
// I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ryeglade {

// How the end of a message's body is marked.
enum class BodyFraming : std::uint8_t {
  kNone,        // there is no body
  kLength,      // Content-Length
  kChunked,     // Transfer-Encoding: chunked
  kUntilClose,  // the end of the connection; only responses
};

// Why a body can't be decoded.
enum class BodyError : std::uint8_t {
  kNone,
  kChunkSize,      // a size line that is not a hexadecimal number with extensions
  kChunkTooLarge,  // a size above the limit
  kChunkEnd,       // a chunk's data is not followed by CRLF: its size is wrong
  kTrailer,        // a line behind the last chunk is not a field
  kLineTooLong,    // a size line or the trailers exceed their limit
};

// One per message.
class BodyDecoder {
 public:
  // Maximum size in bytes of a chunk's size line, and of all trailers.
  static constexpr std::size_t kMaxLineBytes = std::size_t{16} * 1024;

  // A size line that states more than `max_chunk` bytes is an error.
  explicit BodyDecoder(std::uint64_t max_chunk) : max_chunk_(max_chunk) {}
  // Begins a body. `length` is only used with BodyFraming::kLength.
  void Start(BodyFraming framing, std::uint64_t length);

  // What the first bytes of the input are.
  struct Step {
    std::size_t consumed = 0;  // bytes of the input that were decoded
    std::string_view content;  // the part of them that is the body's content
    BodyError error = BodyError::kNone;
  };
  // Decodes at most to the end of the next piece of content, or of the body. `bytes` must not be empty, and
  // the body not complete.
  Step Next(std::string_view bytes);

  bool complete() const { return state_ == State::kComplete; }
  // Whether every chunk that has begun is complete, including its line end.
  bool at_chunk_boundary() const {
    return state_ != State::kChunkData && state_ != State::kDataCr && state_ != State::kDataLf;
  }

 private:
  enum class State : std::uint8_t {
    kComplete,
    kLengthData,
    kUntilCloseData,
    kSizeStart,  // the first digit of a chunk's size is due
    kSize,
    kSizeBlank,  // behind the size: blanks, then an extension or the line end
    kExtension,
    kSizeLf,  // CR has ended the size line
    kChunkData,
    kDataCr,  // the CR behind a chunk's data is due
    kDataLf,
    kTrailerStart,  // a line behind the last chunk begins
    kTrailerName,
    kTrailerValue,
    kTrailerLf,
    kEndLf,  // CR has begun the last line end
  };

  Step TakeContent(std::string_view bytes);
  BodyError TakeFramingByte(char c);
  BodyError TakeSizeByte(char c);
  BodyError TakeTrailerByte(char c);
  BodyError AddDigit(int digit);
  BodyError EndSizeDigits(char c);
  // Moves on to `next` if `c` is `expected`.
  BodyError Expect(char expected, char c, State next, BodyError error);

  std::uint64_t max_chunk_;
  State state_ = State::kComplete;
  std::uint64_t remaining_ = 0;    // bytes of the body or chunk that have not arrived yet
  std::size_t line_bytes_ = 0;     // of the current size line, or of the trailers
  bool trailer_may_fold_ = false;  // a trailer precedes, which a folded line would continue
};

// The name of an error in log lines.
const char* Name(BodyError error);

}  // namespace ryeglade
