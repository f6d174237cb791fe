// Tests the reader of the API's request bodies: which fields it reads, which requests it rejects, and that
// the rewritten body differs only in the fields that must change.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "openai/body.h"
#include "openai/strict_json.h"

namespace ryeglade::openai {
namespace {

const std::string kMessages =
    R"([{"role":"system","content":"You know the rules."},{"role":"user","content":"hello"}])";

// Returns the body of a chat request with the fields `extra`, which start with a comma.
std::string Chat(const std::string& extra = "") {
  return R"({"model":"m")" + extra + R"(,"messages":)" + kMessages + "}";
}

// Expects that the request is invalid and returns the error.
BodyError ErrorOf(const std::string& text, Endpoint endpoint = Endpoint::kChat) {
  const BodyResult r = ReadBody(text, endpoint);
  EXPECT_FALSE(r.body.has_value()) << text.substr(0, 200);
  EXPECT_FALSE(r.error.message.empty());
  return r.error;
}

TEST(Body, ReadsTheFieldsThatRoutingNeeds) {
  const BodyResult r = ReadBody(Chat(R"(,"max_tokens":80,"max_completion_tokens":60,"user":"u","stream":true,
      "stream_options":{"include_usage":true})"),
                                Endpoint::kChat);
  ASSERT_TRUE(r.body.has_value()) << r.error.message;
  EXPECT_EQ(r.body->max_tokens, 60);
  EXPECT_TRUE(r.body->stream && r.body->include_usage);
  EXPECT_EQ(r.body->session_hint, "u");
  EXPECT_EQ(r.body->prefix_bytes, std::string("systemYou know the rules.").size());
  EXPECT_NE(r.body->prefix, 0U);
}

TEST(Body, ASessionKeepsItsHashAsItGrowsAndWhitespaceDoesNotMatter) {
  const auto session = [](const std::string& messages) {
    return ReadBody(R"({"model":"m","messages":[)" + messages + "]}", Endpoint::kChat).body->session;
  };
  const std::string opening = R"({"role":"system","content":"s"},{"role":"user","content":"q1"})";
  const std::string later = opening + R"(,{"role":"assistant","content":"a"},{"role":"user","content":"q2"})";
  EXPECT_EQ(session(opening), session(later));
  EXPECT_EQ(session(opening),
            session(R"({ "role" : "system", "content":"s"}, {"role":"user","content" : "q1"})"));
  EXPECT_NE(session(opening),
            session(R"({"role":"system","content":"s"},{"role":"user","content":"other"})"));
}

TEST(Body, AnInvalidFieldIsNamedInTheError) {
  EXPECT_EQ(ErrorOf(Chat(R"(,"n":2)")).param, "n");
  EXPECT_EQ(ErrorOf(Chat(R"(,"n":2)")).code, "unsupported_value");
  EXPECT_EQ(ErrorOf(Chat(R"(,"best_of":3)")).param, "best_of");
  EXPECT_EQ(ErrorOf(Chat(R"(,"stream":"true")")).param, "stream");
  EXPECT_EQ(ErrorOf(Chat(R"(,"max_tokens":0)")).param, "max_tokens");
  EXPECT_EQ(ErrorOf(Chat(R"(,"max_tokens":1.5)")).param, "max_tokens");
  EXPECT_EQ(ErrorOf(Chat(R"(,"stream_options":{"include_usage":true})")).param, "stream_options");
  EXPECT_EQ(ErrorOf(R"({"messages":)" + kMessages + "}").param, "model");
  EXPECT_EQ(ErrorOf(R"({"model":"m"})").param, "messages");
  EXPECT_EQ(ErrorOf(R"({"model":"m","messages":[]})").param, "messages");
  EXPECT_EQ(ErrorOf(R"({"model":"m","messages":["hi"]})").param, "messages");
  EXPECT_EQ(ErrorOf(R"({"model":"m","messages":[{"content":"hi"}]})").param, "messages.role");
  EXPECT_EQ(ErrorOf(R"({"model":"m","prompt":["a","b"]})", Endpoint::kCompletions).param, "prompt");
  EXPECT_EQ(ErrorOf("[]").code, "invalid_type");
}

TEST(Body, MalformedAndHostileTextsAreRejected) {
  EXPECT_NE(
      ErrorOf(Chat(",\"x\":" + std::string(100'000, '[') + std::string(100'000, ']'))).message.find("deeper"),
      std::string::npos);
  EXPECT_EQ(ErrorOf(Chat(R"(,"x":{"a":1,"a":2})")).code, "invalid_json");
  EXPECT_EQ(ErrorOf(Chat(R"(,"model":"other")")).code, "invalid_json");
  EXPECT_EQ(ErrorOf(Chat(R"(,"x":1e999)")).code, "invalid_json");
  EXPECT_EQ(ErrorOf(Chat(",\"x\":\"\xC3\x28\"")).code, "invalid_json");
  EXPECT_EQ(ErrorOf(Chat(",\"x\":\"\\ud800\"")).code, "invalid_json");
  EXPECT_EQ(ErrorOf(Chat() + std::string("\0{}", 3)).code, "invalid_json");
  EXPECT_EQ(ErrorOf(Chat() + "{}").code, "invalid_json");
  EXPECT_EQ(ErrorOf("\xEF" + Chat()).code, "invalid_json");
  EXPECT_EQ(ErrorOf(Chat().substr(0, 20)).code, "invalid_json");
  EXPECT_EQ(ErrorOf("").code, "invalid_json");
  std::string escapes;
  for (int i = 0; i < 40'000; ++i) escapes += "\\u00e9";
  EXPECT_TRUE(ReadBody(Chat(",\"x\":\"" + escapes + "\""), Endpoint::kChat).body.has_value());
}

TEST(Body, TheRewrittenBodyDiffersOnlyInStreamUsageAndModel) {
  const std::string text =
      Chat(R"(, "temperature" : 1.0e0, "stream_options":{"include_obfuscation":false}, "stream" :true)");
  const std::string out = RewriteForReplica(text, ReadBody(text, Endpoint::kChat), "real\"name");
  EXPECT_EQ(
      out,
      R"({"model":"real\"name", "temperature" : 1.0e0, "stream_options":{"include_usage":true,"include_obfuscation":false}, "stream" :true,"messages":)" +
          kMessages + "}");
  const std::string plain = Chat();
  EXPECT_EQ(
      RewriteForReplica(plain, ReadBody(plain, Endpoint::kChat)),
      R"({"stream":true,"stream_options":{"include_usage":true},"model":"m","messages":)" + kMessages + "}");
}

RC_GTEST_PROP(BodyProperty, TheRewrittenBodyDiffersOnlyInStreamAndStreamOptions, ()) {
  nlohmann::json body = {{"model", "m"}, {"messages", nlohmann::json::parse(kMessages)}};
  const auto extra = *rc::gen::container<std::map<std::string, std::string>>(
      rc::gen::container<std::string>(rc::gen::inRange('a', 'e')), rc::gen::string<std::string>());
  for (const auto& [key, value] : extra)
    body["x" + key] = nlohmann::json(value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (*rc::gen::arbitrary<bool>()) {
    body["stream"] = *rc::gen::arbitrary<bool>();
    if (body["stream"] == true && *rc::gen::arbitrary<bool>()) {
      body["stream_options"] =
          *rc::gen::elementOf(std::vector<nlohmann::json>{nullptr,
                                                          nlohmann::json::object(),
                                                          {{"include_usage", false}},
                                                          {{"a", 1}},
                                                          {{"a", 1}, {"include_usage", true}}});
    }
  }
  const std::string text = body.dump(*rc::gen::inRange(-1, 3));
  const BodyResult read = ReadBody(text, Endpoint::kChat);
  RC_ASSERT(read.body.has_value());
  nlohmann::json out = nlohmann::json::parse(RewriteForReplica(text, read));
  RC_ASSERT(out.at("stream") == true);
  RC_ASSERT(out.at("stream_options").at("include_usage") == true);
  out.at("stream_options").erase("include_usage");
  if (out.at("stream_options").empty()) out.erase("stream_options");
  out.erase("stream");
  if (body.contains("stream_options")) {
    if (body["stream_options"].is_object()) body["stream_options"].erase("include_usage");
    if (body["stream_options"].empty()) body.erase("stream_options");
  }
  body.erase("stream");
  RC_ASSERT(out == body);
}

}  // namespace
}  // namespace ryeglade::openai
