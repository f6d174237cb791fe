#include "http/message_parser.h"

#include <strings.h>

#include <algorithm>

#include "http/token_model.h"

namespace ryeglade {
namespace {

constexpr std::string_view kProtocol = "HTTP/1.";
constexpr std::string_view kTransferEncoding = "transfer-encoding";
constexpr std::string_view kChunked = "chunked";
// Bytes that are kept of a name and of the codings; longer ones are not known here.
constexpr std::size_t kMaxNameBytes = 32;
constexpr std::size_t kMaxCodingBytes = 64;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// What a list of transfer codings consists of.
struct Codings {
  std::size_t count = 0;
  std::size_t chunked = 0;  // how many of them are chunked
  bool ends_chunked = false;
};

// Empty elements of the list do not count.
Codings ParseCodings(std::string_view list) {
  Codings codings;
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    const std::string_view coding = Trim(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
    if (coding.empty()) continue;
    ++codings.count;
    codings.ends_chunked = EqualIgnoringCase(coding, kChunked);
    if (codings.ends_chunked) ++codings.chunked;
  }
  return codings;
}

// A target is visible ASCII; the parser library takes a tab and a form feed, too. Bytes above ASCII are
// passed on as they come.
bool IsTargetByte(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > 0x20 && byte != 0x7f;
}

bool HasNoBody(unsigned status) { return status < 200 || status == kNoContent || status == kNotModified; }

MessageError ErrorOf(BodyError error) {
  if (error == BodyError::kChunkTooLarge) return MessageError::kChunkTooLarge;
  return error == BodyError::kLineTooLong ? MessageError::kHeadTooLarge : MessageError::kBody;
}

}  // namespace

void MessageParser::Start() {
  http_parser_init(&parser_, type_);
  head_ = {};
  fields_ = {};
  body_.Start(BodyFraming::kNone, 0);
  head_complete_ = false;
  error_ = MessageError::kNone;
  body_error_ = BodyError::kNone;
}

MessageParser::Result MessageParser::Parse(std::string_view bytes, MessageReceiver* receiver,
                                           std::size_t* consumed) {
  receiver_ = receiver;
  *consumed = 0;
  while (*consumed < bytes.size() && !complete()) {
    const std::string_view rest = bytes.substr(*consumed);
    const bool valid = head_complete_ ? ParseBody(rest, consumed) : ParseHead(rest, consumed);
    if (!valid) return Result::kInvalid;
    if (complete() && is_informational()) Start();  // the final response follows
  }
  return complete() ? Result::kComplete : Result::kIncomplete;
}

bool MessageParser::ParseHead(std::string_view bytes, std::size_t* consumed) {
  const HeadScanner::Part part = head_.Next(bytes);
  if (part.malformed) return Fail(MessageError::kHead) == 0;
  parser_.data = this;
  const std::size_t parsed = http_parser_execute(&parser_, &Callbacks(), bytes.data(), part.size);
  const http_errno library_error = HTTP_PARSER_ERRNO(&parser_);
  if (error_ != MessageError::kNone) return false;
  if (library_error == HPE_HEADER_OVERFLOW) return Fail(MessageError::kHeadTooLarge) == 0;
  const bool agree = parsed == part.size && part.ends_head == head_complete_;
  if (library_error != HPE_OK || !agree) return Fail(MessageError::kHead) == 0;
  *consumed += part.size;
  return true;
}

bool MessageParser::ParseBody(std::string_view bytes, std::size_t* consumed) {
  const BodyDecoder::Step step = body_.Next(bytes);
  *consumed += step.consumed;
  body_error_ = step.error;
  if (step.error != BodyError::kNone) return Fail(ErrorOf(step.error)) == 0;
  if (step.content.empty() || receiver_->OnBody(step.content)) return true;
  return Fail(MessageError::kRejectedByReceiver) == 0;
}

const char* MessageParser::error_name() const {
  switch (error_) {
    case MessageError::kNone:
      return "";
    case MessageError::kVersion:
      return "version";
    case MessageError::kTransferCoding:
    case MessageError::kUnsupportedCoding:
      return "transfer-coding";
    case MessageError::kRejectedByReceiver:
      return "limit";
    case MessageError::kHead:
    case MessageError::kHeadTooLarge:
    case MessageError::kBody:
    case MessageError::kChunkTooLarge:
      break;
  }
  if (body_error_ != BodyError::kNone) return Name(body_error_);
  const http_errno library_error = HTTP_PARSER_ERRNO(&parser_);
  return library_error == HPE_OK ? "head" : http_errno_name(library_error);
}

const http_parser_settings& MessageParser::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = [](http_parser* p) {
      Of(p).receiver_->OnMessageBegin();
      return 0;
    };
    s.on_url = [](http_parser* p, const char* at, std::size_t n) { return Of(p).OnTarget({at, n}); };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      return Of(p).OnFieldName({at, n});
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      return Of(p).OnFieldValue({at, n});
    };
    s.on_headers_complete = [](http_parser* p) { return Of(p).OnHeadComplete(); };
    return s;
  }();
  return settings;
}

int MessageParser::Accept(bool accepted) { return accepted ? 0 : Fail(MessageError::kRejectedByReceiver); }

// Returns what makes the parser library stop.
int MessageParser::Fail(MessageError error) {
  error_ = error;
  return -1;
}

int MessageParser::OnTarget(std::string_view part) {
  if (!std::all_of(part.begin(), part.end(), IsTargetByte)) return Fail(MessageError::kHead);
  return Accept(receiver_->OnTarget(part));
}

// The parser library takes blanks within names, and ignores those in front of the colon of framing fields:
// the next recipient may not see a field there.
int MessageParser::OnFieldName(std::string_view part) {
  const bool valid = std::all_of(part.begin(), part.end(), IsTokenByte);
  if (type_ == HTTP_REQUEST && !valid) return Fail(MessageError::kHead);
  if (fields_.in_value) fields_.name.clear();
  fields_.in_value = false;
  fields_.name.append(part.substr(0, kMaxNameBytes - std::min(kMaxNameBytes, fields_.name.size())));
  return Accept(receiver_->OnFieldName(part));
}

int MessageParser::OnFieldValue(std::string_view part) {
  const bool begins = !fields_.in_value;
  fields_.in_value = true;
  if (begins && EqualIgnoringCase(fields_.name, kTransferEncoding)) {
    if (fields_.has_coding) AddCoding(",");
    fields_.has_coding = true;
  }
  AddCoding(part);
  return Accept(receiver_->OnFieldValue(part));
}

// Adds to the codings if the current field is Transfer-Encoding. Of several blanks one is kept.
void MessageParser::AddCoding(std::string_view part) {
  if (!EqualIgnoringCase(fields_.name, kTransferEncoding)) return;
  std::string& coding = fields_.coding;
  for (const char c : part) {
    const bool repeats_blank = IsBlank(c) && !coding.empty() && IsBlank(coding.back());
    if (!repeats_blank && coding.size() < kMaxCodingBytes) coding.push_back(c);
  }
}

// Makes the library end the message here: the body is decoded without it.
int MessageParser::OnHeadComplete() {
  if (parser_.http_major != 1 || !NamesProtocol()) return Fail(MessageError::kVersion);
  const BodyFraming framing = ClassifyBody();
  if (error_ != MessageError::kNone) return -1;
  if (!receiver_->OnHead(parser_, framing)) return Fail(MessageError::kRejectedByReceiver);
  parser_.upgrade = 0;  // requests to upgrade the protocol are ignored
  body_.Start(framing, framing == BodyFraming::kLength ? parser_.content_length : 0);
  head_complete_ = true;
  constexpr int kSkipBody = 1;
  return kSkipBody;
}

// The parser library does not check each letter of the protocol's name.
bool MessageParser::NamesProtocol() const {
  const std::string_view version = type_ == HTTP_REQUEST ? head_.first_line_end() : head_.first_line_begin();
  return version.starts_with(kProtocol);
}

BodyFraming MessageParser::ClassifyBody() {
  const bool has_length = (parser_.flags & F_CONTENTLENGTH) != 0;
  if (fields_.has_coding && has_length) error_ = MessageError::kTransferCoding;
  if (type_ == HTTP_RESPONSE && HasNoBody(parser_.status_code)) return BodyFraming::kNone;
  if (fields_.has_coding) return ClassifyCoding();
  if (has_length) return BodyFraming::kLength;
  return type_ == HTTP_REQUEST ? BodyFraming::kNone : BodyFraming::kUntilClose;
}

BodyFraming MessageParser::ClassifyCoding() {
  const Codings codings = ParseCodings(fields_.coding);
  const bool is_old_version = parser_.http_minor == 0;  // HTTP/1.0 has no transfer codings
  const bool is_cut_off = fields_.coding.size() == kMaxCodingBytes;
  if (codings.count == 1 && codings.ends_chunked && !is_old_version && !is_cut_off) {
    return BodyFraming::kChunked;
  }
  // The end of the body is known only if chunked comes last, and only once.
  const bool has_known_end = codings.ends_chunked && codings.chunked == 1 && codings.count > 1;
  error_ = has_known_end ? MessageError::kUnsupportedCoding : MessageError::kTransferCoding;
  return BodyFraming::kNone;
}

}  // namespace ryeglade
