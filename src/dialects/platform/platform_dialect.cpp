#include "dialects/platform/platform_dialect.h"

#include <strings.h>

#include <algorithm>
#include <cstdio>

#include "core/streams.h"

namespace ryeglade {
namespace {

using policy::Outcome;

constexpr std::size_t kMostOpening = std::size_t{256} * 1024;  // before there is a whole event
constexpr std::size_t kTail = 512;  // holds the usage line and the report at a stream's end

class Reader : public ResponseReader {
 public:
  void OnHeader(const std::string& name, const std::string& value) override {
    if (strcasecmp(name.c_str(), "x-rejected") == 0) rejected_ = value == "1";
    if (strcasecmp(name.c_str(), "x-load-report") == 0) report_ = value;
  }

  void OnBody(std::string_view bytes) override {
    tail_.append(bytes);
    if (tail_.size() > 2 * kTail) tail_.erase(0, tail_.size() - kTail);
  }

  // Guards against taking noise for a stream: it has begun once a whole event is there. Until then nothing is
  // passed on, so that another host can still be asked.
  StreamStatus OnStream(std::string_view bytes) override {
    if (has_event_) return StreamStatus::kProgress;
    opening_.append(bytes);
    if (opening_.size() > kMostOpening) return StreamStatus::kInvalid;
    static constexpr std::string_view kLines[] = {":", "data:", "event:", "id:", "retry:"};
    const bool known = std::any_of(std::begin(kLines), std::end(kLines), [&](std::string_view line) {
      const std::size_t n = std::min(line.size(), opening_.size());
      return std::string_view(opening_).substr(0, n) == line.substr(0, n);
    });
    if (!known) return StreamStatus::kInvalid;
    has_event_ = opening_.find("\n\n") != std::string::npos || opening_.find("\r\n\r\n") != std::string::npos;
    if (has_event_) opening_ = {};
    return StreamStatus::kProgress;
  }

  bool has_event() const override { return has_event_; }

  ResponseResult Result(int status, bool health_check) const override {
    if (status == 200) return {health_check || has_event_ ? Outcome::kServed : Outcome::kError};
    const bool away = (status == 503 || status == 504) && rejected_;
    return {away || (health_check && status == 503) ? Outcome::kAtCapacity : Outcome::kError};
  }

  ResponseMetadata Metadata(bool health_check) const override {
    ResponseMetadata notes{FindLastNumber(tail_, "\"cached_tokens\"").value_or(0), report_};
    // A comment line of the stream's own: the text of an answer holds no bare line break.
    static constexpr std::string_view kComment = "\n: X-Load-Report:";
    const std::size_t at = tail_.rfind(kComment);
    if (at != std::string::npos) {
      const std::size_t from = at + kComment.size();
      notes.load_report = tail_.substr(from, tail_.find('\n', from) - from);
    }
    if (health_check && notes.load_report.empty()) notes.load_report = tail_;
    return notes;
  }

 private:
  bool rejected_ = false;  // X-Rejected: 1
  bool has_event_ = false;
  std::string report_, opening_, tail_;
};

}  // namespace

std::string PlatformDialect::RequestHead(const StreamRequest& q, const std::string& host,
                                         policy::Time left) const {
  char budget[32];
  std::snprintf(budget, sizeof budget, "%.3f", static_cast<double>(std::max<policy::Time>(0, left)) / 1e6);
  return q.method + " " + q.target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Call-Id: " + q.call_id +
         "\r\nX-Budget: " + budget + (q.content_type.empty() ? "" : "\r\nContent-Type: " + q.content_type) +
         "\r\nContent-Length: " + std::to_string(q.body.size()) + "\r\n" + q.forwarded_headers + "\r\n";
}

std::string PlatformDialect::HealthCheckHead(const std::string& host) const {
  return std::string("GET ") + (load_reports_ ? "/_load" : "/ping") + " HTTP/1.1\r\nHost: " + host +
         "\r\n\r\n";
}

std::unique_ptr<ResponseReader> PlatformDialect::NewReader() const { return std::make_unique<Reader>(); }

}  // namespace ryeglade
