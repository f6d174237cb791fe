// Which requests RequestParser takes: tables of sound and unreadable framing, each given at once, byte by
// byte, cut in two at every place, and with another request behind it.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/buffer_pool.h"
#include "http/request_parser.h"
#include "request_framing_cases.h"

namespace ryeglade {
namespace {

constexpr std::size_t kMaxBody = std::size_t{256} * 1024;
constexpr std::size_t kPoolBytes = std::size_t{16} * 1024 * 1024;
const std::string kFields = "Host: a\r\nX-Call-Id: 1\r\n";
const std::string kBody = R"({"content":"gate 17 and 12"})";
const std::string kNext = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";

struct Outcome {
  RequestParser::Result result = RequestParser::Result::kIncomplete;
  std::string body;
  std::size_t consumed = 0;  // bytes up to the end of the request
  std::size_t fields = 0;
  int status = 0;  // of the response to an invalid request
};

// Gives the parser `pieces` until it has a result.
Outcome Parse(const std::vector<std::string_view>& pieces) {
  RequestParser::SetMaxHead(16 * 1024);
  BufferPool pool(kPoolBytes);
  RequestParser parser(&pool, kMaxBody);
  Outcome outcome;
  for (const std::string_view piece : pieces) {
    std::size_t consumed = 0;
    outcome.result = parser.Parse(piece, &consumed);
    outcome.consumed += consumed;
    if (outcome.result != RequestParser::Result::kIncomplete) break;
  }
  outcome.body = parser.request().body.Text();
  outcome.fields = parser.request().headers.size();
  if (outcome.result == RequestParser::Result::kInvalid) outcome.status = parser.error_status();
  return outcome;
}

std::vector<std::string_view> SingleBytes(std::string_view text) {
  std::vector<std::string_view> pieces;
  for (std::size_t at = 0; at < text.size(); ++at) pieces.push_back(text.substr(at, 1));
  return pieces;
}

// Calls `check` with the outcome of each way to cut `text`, alone and with another request behind it.
template <typename Check>
void ParseInEveryWay(const std::string& text, const Check& check) {
  for (const std::string& all : {text, text + kNext}) {
    check(Parse({all}), "at once");
    check(Parse(SingleBytes(all)), "byte by byte");
    for (std::size_t cut = 1; cut < all.size(); ++cut) {
      const std::string_view view = all;
      check(Parse({view.substr(0, cut), view.substr(cut)}), "cut after " + std::to_string(cut) + " bytes");
      if (testing::Test::HasFailure()) return;
    }
  }
}

// Guards against a stricter parser that turns sound clients away.
TEST(RequestFraming, EverySoundFormIsTakenWithItsBodyAndNothingElse) {
  for (const framing::Case& c : framing::SoundCases(kBody)) {
    const std::string text = framing::Text(c, kFields);
    const std::size_t fields = Parse({text}).fields;
    ParseInEveryWay(text, [&](const Outcome& outcome, const std::string& how) {
      EXPECT_EQ(outcome.result, RequestParser::Result::kComplete) << c.name << ", " << how;
      EXPECT_EQ(outcome.body, kBody) << c.name << ", " << how;
      EXPECT_EQ(outcome.consumed, text.size()) << c.name << ", " << how;
      EXPECT_EQ(outcome.fields, fields) << c.name << ", " << how;
    });
  }
}

// Guards against serving a request whose body differs from what the client framed (review/10: a chunk with a
// wrong length).
TEST(RequestFraming, NoUnreadableFormIsTaken) {
  for (const framing::Case& c : framing::UnreadableCases(kBody)) {
    const std::string text = framing::Text(c, kFields);
    const Outcome outcome = Parse({text});
    EXPECT_EQ(outcome.result, RequestParser::Result::kInvalid) << c.name;
    if (outcome.result != RequestParser::Result::kInvalid) continue;
    EXPECT_GE(outcome.status, 400) << c.name;
    EXPECT_LT(outcome.status, 600) << c.name;
    if (text.size() > 10'000) continue;  // cut everywhere, these would take seconds
    ParseInEveryWay(text, [&](const Outcome& piecewise, const std::string& how) {
      EXPECT_EQ(piecewise.result, RequestParser::Result::kInvalid) << c.name << ", " << how;
      EXPECT_EQ(piecewise.status, outcome.status) << c.name << ", " << how;
    });
  }
}

// Guards against fields of the protocol that a client's trailers bring in behind the body.
TEST(RequestFraming, TrailersAreNotTakenForHeaderFields) {
  const std::string text =
      "POST / HTTP/1.1\r\nHost: a\r\n" + framing::kChunked + "\r\n0\r\nX-Call-Id: 7\r\n\r\n";
  BufferPool pool(kPoolBytes);
  RequestParser parser(&pool, kMaxBody);
  std::size_t consumed = 0;
  ASSERT_EQ(parser.Parse(text, &consumed), RequestParser::Result::kComplete);
  EXPECT_EQ(parser.request().Header("x-call-id"), nullptr);
}

}  // namespace
}  // namespace ryeglade
