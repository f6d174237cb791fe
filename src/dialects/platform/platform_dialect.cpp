#include "dialects/platform/platform_dialect.h"

#include <strings.h>

#include <algorithm>
#include <cstdio>

#include "core/streams.h"

namespace ryeglade {
namespace {

using policy::Outcome;

constexpr std::size_t kTailBytes = 512;  // enough for the usage line and the load report at a stream's end

// Reads the response of one of the platform's replicas.
class Reader : public ResponseReader {
 public:
  void OnHeader(const std::string& name, const std::string& value) override {
    if (strcasecmp(name.c_str(), "x-rejected") == 0) rejected_ = value == "1";
    if (strcasecmp(name.c_str(), "x-load-report") == 0) load_report_ = value;
  }

  void OnBody(std::string_view bytes) override {
    tail_.append(bytes);
    if (tail_.size() > 2 * kTailBytes) tail_.erase(0, tail_.size() - kTailBytes);
  }

  // Garbage is not taken for a stream: its first bytes must begin a line of an event.
  StreamStatus OnStream(std::string_view bytes) override {
    const std::size_t missing = kLongestLineStart - std::min(kLongestLineStart, stream_start_.size());
    stream_start_.append(bytes.substr(0, missing));
    return BeginsLikeAnEvent() ? StreamStatus::kProgress : StreamStatus::kInvalid;
  }

  ResponseResult Result(int status, bool health_check) const override {
    if (health_check && status == 200) return {Outcome::kServed};
    const bool rejected_before_running = (status == 503 || status == 504) && rejected_;
    const bool at_capacity = rejected_before_running || (health_check && status == 503);
    return {at_capacity ? Outcome::kAtCapacity : Outcome::kError};
  }

  ResponseMetadata Metadata(bool health_check) const override {
    ResponseMetadata metadata{FindLastNumber(tail_, "\"cached_tokens\"").value_or(0), load_report_};
    // A comment line of the stream. Generated text cannot match, because it contains no unescaped line break.
    static constexpr std::string_view kComment = "\n: X-Load-Report:";
    const std::size_t at = tail_.rfind(kComment);
    const std::size_t from = at + kComment.size();
    const std::size_t to = at == std::string::npos ? at : tail_.find_first_of("\r\n", from);
    if (to != std::string::npos) metadata.load_report = tail_.substr(from, to - from);
    if (health_check && metadata.load_report.empty()) metadata.load_report = tail_;
    return metadata;
  }

 private:
  bool BeginsLikeAnEvent() const {
    static constexpr std::string_view kLineStarts[] = {":", "data:", "event:", "id:", "retry:"};
    return std::any_of(std::begin(kLineStarts), std::end(kLineStarts), [&](std::string_view start) {
      const std::size_t n = std::min(start.size(), stream_start_.size());
      return std::string_view(stream_start_).substr(0, n) == start.substr(0, n);
    });
  }

  static constexpr std::size_t kLongestLineStart = std::string_view("event:").size();

  bool rejected_ = false;     // X-Rejected: 1
  std::string load_report_;   // from the response head
  std::string stream_start_;  // the first bytes of a stream
  std::string tail_;          // the last bytes of the body so far
};

}  // namespace

std::string PlatformDialect::RequestHead(const StreamRequest& request, const std::string& host,
                                         policy::Time time_left) const {
  char budget[32];
  const double seconds = static_cast<double>(std::max<policy::Time>(0, time_left)) / 1e6;
  std::snprintf(budget, sizeof budget, "%.3f", seconds);
  const std::string content_type =
      request.content_type.empty() ? "" : "\r\nContent-Type: " + request.content_type;
  return request.method + " " + request.target + " HTTP/1.1\r\nHost: " + host +
         "\r\nX-Call-Id: " + request.call_id + "\r\nX-Budget: " + budget + content_type +
         "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n" + request.forwarded_headers +
         "\r\n";
}

std::string PlatformDialect::HealthCheckHead(const std::string& host) const {
  const std::string path = load_reports_ ? "/_load" : "/ping";
  return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
}

std::unique_ptr<ResponseReader> PlatformDialect::NewReader() const { return std::make_unique<Reader>(); }

}  // namespace ryeglade
