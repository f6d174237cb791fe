#include "http/body_decoder_model.h"

#include <algorithm>

#include "http/token_model.h"

namespace ryeglade {
namespace {

constexpr int kHexBase = 16;

// Returns -1 if `c` is not a hexadecimal digit.
int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

void BodyDecoder::Start(BodyFraming framing, std::uint64_t length) {
  remaining_ = framing == BodyFraming::kLength ? length : 0;
  line_bytes_ = 0;
  trailer_may_fold_ = false;
  switch (framing) {
    case BodyFraming::kNone:
      state_ = State::kComplete;
      break;
    case BodyFraming::kLength:
      state_ = length > 0 ? State::kLengthData : State::kComplete;
      break;
    case BodyFraming::kChunked:
      state_ = State::kSizeStart;
      break;
    case BodyFraming::kUntilClose:
      state_ = State::kUntilCloseData;
      break;
  }
}

BodyDecoder::Step BodyDecoder::Next(std::string_view bytes) {
  Step step;
  while (step.consumed < bytes.size() && state_ != State::kComplete) {
    const bool content_due =
        state_ == State::kLengthData || state_ == State::kUntilCloseData || state_ == State::kChunkData;
    if (content_due) {
      const Step content = TakeContent(bytes.substr(step.consumed));
      step.content = content.content;
      step.consumed += content.consumed;
      return step;
    }
    step.error = TakeFramingByte(bytes[step.consumed]);
    if (step.error != BodyError::kNone) return step;
    ++step.consumed;
  }
  return step;
}

BodyDecoder::Step BodyDecoder::TakeContent(std::string_view bytes) {
  if (state_ == State::kUntilCloseData) return {bytes.size(), bytes, BodyError::kNone};
  const std::size_t size = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, bytes.size()));
  remaining_ -= size;
  if (remaining_ == 0) state_ = state_ == State::kChunkData ? State::kDataCr : State::kComplete;
  return {size, bytes.substr(0, size), BodyError::kNone};
}

BodyError BodyDecoder::TakeFramingByte(char c) {
  switch (state_) {
    case State::kDataCr:
      return Expect('\r', c, State::kDataLf, BodyError::kChunkEnd);
    case State::kDataLf:
      line_bytes_ = 0;
      return Expect('\n', c, State::kSizeStart, BodyError::kChunkEnd);
    case State::kTrailerStart:
    case State::kTrailerName:
    case State::kTrailerValue:
    case State::kTrailerLf:
    case State::kEndLf:
      return ++line_bytes_ > kMaxLineBytes ? BodyError::kLineTooLong : TakeTrailerByte(c);
    default:
      return ++line_bytes_ > kMaxLineBytes ? BodyError::kLineTooLong : TakeSizeByte(c);
  }
}

BodyError BodyDecoder::Expect(char expected, char c, State next, BodyError error) {
  if (c != expected) return error;
  state_ = next;
  return BodyError::kNone;
}

BodyError BodyDecoder::TakeSizeByte(char c) {
  if (state_ == State::kSizeLf) {
    const State next = remaining_ > 0 ? State::kChunkData : State::kTrailerStart;
    line_bytes_ = 0;
    return Expect('\n', c, next, BodyError::kChunkSize);
  }
  if (state_ == State::kSizeStart || state_ == State::kSize) {
    const int digit = HexDigit(c);
    if (digit >= 0) return AddDigit(digit);
    if (state_ == State::kSizeStart) return BodyError::kChunkSize;
    return EndSizeDigits(c);
  }
  if (state_ == State::kSizeBlank) return EndSizeDigits(c);
  if (c == '\r') return Expect('\r', c, State::kSizeLf, BodyError::kChunkSize);
  return IsFieldValueByte(c) ? BodyError::kNone : BodyError::kChunkSize;  // within an extension
}

BodyError BodyDecoder::AddDigit(int digit) {
  state_ = State::kSize;
  const std::uint64_t value = static_cast<std::uint64_t>(digit);
  if (value > max_chunk_ || remaining_ > (max_chunk_ - value) / kHexBase) return BodyError::kChunkTooLarge;
  remaining_ = remaining_ * kHexBase + value;
  return BodyError::kNone;
}

BodyError BodyDecoder::EndSizeDigits(char c) {
  if (IsBlank(c)) {
    state_ = State::kSizeBlank;
  } else if (c == ';') {
    state_ = State::kExtension;
  } else if (c == '\r') {
    state_ = State::kSizeLf;
  } else {
    return BodyError::kChunkSize;
  }
  return BodyError::kNone;
}

// A single LF ends a line here as it does in the head: where the body ends does not hang on it.
BodyError BodyDecoder::TakeTrailerByte(char c) {
  switch (state_) {
    case State::kTrailerStart:
      if (c == '\r') {
        state_ = State::kEndLf;
      } else if (c == '\n') {
        state_ = State::kComplete;
      } else if (IsBlank(c) && trailer_may_fold_) {
        state_ = State::kTrailerValue;
      } else if (IsTokenByte(c)) {
        state_ = State::kTrailerName;
      } else {
        return BodyError::kTrailer;
      }
      return BodyError::kNone;
    case State::kTrailerName:
      if (c == ':') {
        state_ = State::kTrailerValue;
        trailer_may_fold_ = true;
        return BodyError::kNone;
      }
      return IsTokenByte(c) ? BodyError::kNone : BodyError::kTrailer;
    case State::kTrailerValue:
      if (c == '\r') {
        state_ = State::kTrailerLf;
      } else if (c == '\n') {
        state_ = State::kTrailerStart;
      } else if (!IsFieldValueByte(c)) {
        return BodyError::kTrailer;
      }
      return BodyError::kNone;
    case State::kTrailerLf:
      return Expect('\n', c, State::kTrailerStart, BodyError::kTrailer);
    default:
      return Expect('\n', c, State::kComplete, BodyError::kTrailer);
  }
}

const char* Name(BodyError error) {
  switch (error) {
    case BodyError::kNone:
      return "";
    case BodyError::kChunkSize:
      return "chunk-size";
    case BodyError::kChunkTooLarge:
      return "chunk-too-large";
    case BodyError::kChunkEnd:
      return "chunk-end";
    case BodyError::kTrailer:
      return "trailer";
    case BodyError::kLineTooLong:
      return "chunk-line-too-long";
  }
  return "";
}

}  // namespace ryeglade
