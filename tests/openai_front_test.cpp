// Stories of the OpenAI-style front: a node as a process between stand-in replicas and clients, one test for
// each thing that goes wrong.
#include <gtest/gtest.h>
#include <signal.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/event_stream.h"
#include "keys/keyring.h"
#include "lab/local_fleet.h"
#include "lab/text.h"
#include "ledger/ledger_model.h"

namespace ryeglade::lab {
namespace {

using nlohmann::json;

const char* Program() { return std::getenv("RYEGLADE_PROGRAM"); }

std::string Body(const std::string& prompt, const std::string& more = "",
                 const std::string& model = "docs-model") {
  return R"({"model":")" + model + "\"" + more + R"(,"messages":[{"role":"user","content":")" + prompt +
         "\"}]}";
}

struct Story {
  explicit Story(const FakeReplicaOptions& replica = {}, const std::string& limits = "",
                 std::size_t replicas = 1, const std::string& effect = "free") {
    LocalFleetOptions o;
    o.effect = effect;
    o.program = Program();
    o.replicas.assign(replicas, replica);
    o.key = "k";
    o.limits = limits;
    fleet = std::make_unique<LocalFleet>(o);
  }
  Reply Chat(const std::string& body, const std::string& headers = "Authorization: Bearer k\r\n") {
    return fleet->Ask(fleet->openai(), Post("/v1/chat/completions", headers, body));
  }
  ledger::Row Ledger() {
    ledger::Row all;
    for (const auto& [id, row] : ledger::RowsFromJson(fleet->Ledger())) all.Add(row);
    return all;
  }
  std::unique_ptr<LocalFleet> fleet;
};

std::uint64_t In(const ledger::Row& row, ledger::Outcome outcome) {
  return row.ended.at(static_cast<std::size_t>(outcome));
}

struct Events {
  std::string text;
  bool done = false, usage = false, error = false;
};

Events Read(const std::string& body) {
  Events seen;
  EventStream stream(1 << 20);
  stream.Feed(body, [&](const EventStream::Event& e) {
    if (!e.has_data) return true;
    if (e.data == "[DONE]") {
      seen.done = true;
      return true;
    }
    const json chunk = json::parse(e.data);
    seen.error = seen.error || chunk.contains("error");
    seen.usage = seen.usage || (chunk.contains("usage") && chunk["usage"].is_object());
    if (chunk.contains("choices") && !chunk["choices"].empty())
      seen.text += chunk["choices"][0]["delta"].value("content", "");
    return true;
  });
  return seen;
}

std::string Wanted(const std::string& body, std::size_t tokens = 64) {
  return Text(PromptKey(body), 1, tokens);
}

TEST(OpenAiFront, StreamedAndWholeAnswersHoldTheSameText) {
  for (const Speech speech : {Speech::kOpenAi, Speech::kPlatform}) {
    FakeReplicaOptions replica;
    replica.speech = speech;
    Story s(replica);
    const std::string streamed = Body("hello", R"(,"stream":true)"), whole = Body("hello");
    const Reply one = s.Chat(streamed);
    EXPECT_EQ(one.status, 200);
    EXPECT_TRUE(one.whole);
    EXPECT_EQ(one.Header("x-request-id").substr(0, 4), "req_");
    const Events events = Read(one.body);
    EXPECT_TRUE(events.done && !events.usage && !events.error);
    EXPECT_EQ(events.text, Wanted(streamed));
    EXPECT_TRUE(
        Read(s.Chat(Body("hello", R"(,"stream":true,"stream_options":{"include_usage":true})")).body).usage);
    const Reply two = s.Chat(whole);
    EXPECT_EQ(two.status, 200);
    const json answer = json::parse(two.body);
    EXPECT_EQ(answer["choices"][0]["message"]["content"], Wanted(whole));
    EXPECT_EQ(answer["choices"][0]["finish_reason"], "stop");
    EXPECT_EQ(answer["object"], "chat.completion");
    EXPECT_EQ(answer["usage"]["completion_tokens"], 64);
    const ledger::Row row = s.Ledger();
    EXPECT_EQ(In(row, ledger::Outcome::kServed), 3U);
    EXPECT_EQ(row.reported.output, 192);
    EXPECT_EQ(row.estimated.output, 0);
  }
}

TEST(OpenAiFront, ModelsPathsMethodsAndKeys) {
  Story s;
  const auto get = [&](const std::string& path, const std::string& key = "k") {
    return s.fleet->Ask(s.fleet->openai(),
                        "GET " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n\r\n");
  };
  EXPECT_EQ(json::parse(get("/v1/models").body)["data"].size(), 2U);
  EXPECT_EQ(json::parse(get("/v1/models/docs-model").body)["id"], "docs-model");
  const auto wrong = [](const Reply& r, int status, const std::string& code) {
    EXPECT_EQ(r.status, status);
    EXPECT_EQ(json::parse(r.body)["error"]["code"], code) << r.body;
    EXPECT_FALSE(r.Header("x-request-id").empty());
  };
  wrong(get("/v1/models/none"), 404, "model_not_found");
  wrong(get("/v1/models", "wrong"), 401, "invalid_api_key");
  wrong(get("/v1/elsewhere"), 404, "unknown_url");
  wrong(get("/v1/chat/completions"), 405, "method_not_allowed");
  wrong(s.Chat(Body("x"), ""), 401, "invalid_api_key");
  wrong(s.Chat(Body("x", "", "none")), 404, "model_not_found");
  wrong(s.Chat(Body("x", ",\"n\":2")), 400, "unsupported_value");
  wrong(s.Chat("{"), 400, "invalid_json");
  wrong(s.Chat(std::string(300 * 1024, ' ')), 413, "request_too_large");
  wrong(s.fleet->Ask(s.fleet->openai(), "no HTTP at all\r\n\r\n"), 400, "unreadable_request");
  EXPECT_EQ(get("/health").status, 200);
  EXPECT_NE(get("/metrics").body.find("ryeglade_api_turned_away_total{reason=\"invalid_json\"} 1"),
            std::string::npos);
  EXPECT_EQ(s.fleet->witness().attempts, 0U);
}

// One `error` event, then the connection ends without [DONE] and without the last chunk; nothing is sent
// again.
TEST(OpenAiFront, AStreamThatBreaksHasOneEnd) {
  for (const char* fault : {"break", "error-event", "no-done"}) {
    Story s({}, "", 2);
    const Reply r = s.Chat(Body(std::string("#fault=") + fault, R"(,"stream":true)"));
    EXPECT_EQ(r.status, 200);
    EXPECT_FALSE(r.whole) << fault;
    const Events events = Read(r.body);
    EXPECT_TRUE(events.error && !events.done) << fault;
    EXPECT_FALSE(events.text.empty());
    const Reply whole = s.Chat(Body(std::string("#fault=") + fault));
    EXPECT_EQ(whole.status, 502) << fault;
    EXPECT_EQ(json::parse(whole.body)["error"]["code"], "upstream_broken");
    EXPECT_EQ(s.fleet->witness().attempts, 2U) << fault;
    const ledger::Row row = s.Ledger();
    EXPECT_EQ(In(row, ledger::Outcome::kTruncated), 2U) << fault;
    EXPECT_EQ(row.open(), 0U);
    EXPECT_GT(row.estimated.output + row.reported.output, 0);
  }
}

TEST(OpenAiFront, WhatFailsBeforeTheFirstEventIsAskedElsewhere) {
  for (const char* fault : {"reset-once", "busy-once", "error-once"}) {
    Story s({}, "", 2);
    const std::string body = Body(std::string("#fault=") + fault);
    const Reply r = s.Chat(body);
    EXPECT_EQ(r.status, 200) << fault;
    EXPECT_EQ(json::parse(r.body)["choices"][0]["message"]["content"], Wanted(body));
    EXPECT_EQ(s.fleet->witness().attempts, 2U);
    EXPECT_EQ(s.fleet->witness().two_at_once, 0U);
  }
}

TEST(OpenAiFront, EachFailureHasItsStatus) {
  Story s({}, "", 2);
  const auto code = [&](const std::string& fault, int status) {
    const Reply r = s.Chat(Body("#fault=" + fault));
    EXPECT_EQ(r.status, status) << fault << r.body;
    return json::parse(r.body)["error"]["message"].get<std::string>();
  };
  EXPECT_EQ(code("bad-request", 400), "stand-in says 400");
  EXPECT_EQ(s.fleet->witness().attempts, 1U);  // nobody else is asked
  code("error-first", 503);                    // the module refuses once nobody is left to ask
  const Reply refused = s.Chat(Body("#fault=busy"));
  EXPECT_EQ(refused.status, 503);
  EXPECT_GE(std::stoi(refused.Header("retry-after")), 1);  // the replica's own word
  EXPECT_GE(std::stoi(refused.Header("retry-after-ms")), 1000);
  const Reply late = s.Chat(Body("#fault=silent"), "Authorization: Bearer k\r\nx-deadline-ms: 700\r\n");
  EXPECT_GE(late.status, 503);
  EXPECT_LT(late.ended - late.started, 5'000'000);
}

// Whatever breaks once a request may have run: with an effect that may not be repeated no status and no
// header asks the client to come again. Official clients repeat 429 and every 5xx by themselves.
TEST(OpenAiFront, NothingInvitesARepeatOfWhatMayHaveRun) {
  for (const char* fault : {"error", "reset-before", "break", "error-event", "silent"}) {
    Story s({}, "", 2, "single_shot");
    const Reply r =
        s.Chat(Body(std::string("#fault=") + fault), "Authorization: Bearer k\r\nx-deadline-ms: 700\r\n");
    EXPECT_TRUE(r.status == 502 || r.status == 504) << fault << r.status;
    EXPECT_EQ(r.Header("x-should-retry"), "false") << fault;
    EXPECT_EQ(r.Header("retry-after"), "") << fault;
    EXPECT_EQ(s.fleet->witness().attempts, 1U) << fault;
  }
  Story cut({}, "tokens_per_min = 100", 2, "single_shot");  // the key's tokens are spent in the middle
  const Reply spent =
      cut.Chat(Body("long enough to outgrow what was reserved for its answer", ",\"max_tokens\":1000"));
  EXPECT_NE(spent.status, 200);
  Story free({}, "", 2, "free");
  EXPECT_EQ(free.Chat(Body("#fault=break")).Header("x-should-retry"), "");
  Story never({}, "", 2, "single_shot");  // turned away unseen: that is a refusal
  EXPECT_EQ(never.Chat(Body("#fault=busy")).status, 503);
}

TEST(OpenAiFront, UsageThatLiesCountsNowhereButInItsOwnColumn) {
  Story s;
  const std::vector<std::pair<std::string, ledger::UsageFault>> lies = {
      {"no-usage", ledger::UsageFault::kAbsent},
      {"usage-negative", ledger::UsageFault::kNegative},
      {"usage-fractional", ledger::UsageFault::kFractional},
      {"usage-huge", ledger::UsageFault::kHuge},
      {"usage-string", ledger::UsageFault::kNotANumber},
      {"usage-twice", ledger::UsageFault::kTwice},
      {"usage-total", ledger::UsageFault::kTotal},
      {"usage-over-limit", ledger::UsageFault::kOverLimit},
      {"usage-contradicts", ledger::UsageFault::kContradicts}};
  for (const auto& [word, fault] : lies) {
    EXPECT_EQ(s.Chat(Body("#fault=" + word, R"(,"stream":true,"max_tokens":40)")).status, 200);
  }
  const ledger::Row row = s.Ledger();
  EXPECT_EQ(In(row, ledger::Outcome::kServed), lies.size());
  EXPECT_EQ(row.reported.prompt + row.reported.output + row.reported.cached, 0);
  EXPECT_LE(row.estimated.output, 40.0 * static_cast<double>(lies.size()));
  for (const auto& [word, fault] : lies)
    EXPECT_EQ(row.usage_faults.at(static_cast<std::size_t>(fault)), 1U) << word;
}

TEST(OpenAiFront, AClientThatLeavesFreesTheReplicaAndIsSettledOnce) {
  FakeReplicaOptions slow;
  slow.per_token = 3'000'000;  // between two tokens nothing is passed on that could show that nobody reads
  Story s(slow);
  bool done = false;
  s.fleet->client().Ask(
      s.fleet->openai(),
      Post("/v1/chat/completions", "Authorization: Bearer k\r\n", Body("x", R"(,"stream":true)")), 600'000,
      [&](const Reply&) { done = true; });
  EXPECT_TRUE(s.fleet->Until([&] { return done; }, 20'000'000));
  const auto running = [&] {
    int n = 0;
    for (const auto& [prompt, count] : s.fleet->witness().running) n += count;
    return n;
  };
  EXPECT_TRUE(s.fleet->Until([&] { return running() == 0; }, 2'000'000));  // before the next token
  const ledger::Row row = s.Ledger();
  EXPECT_EQ(In(row, ledger::Outcome::kClientDisconnected), 1U);
  EXPECT_EQ(row.open(), 0U);
  EXPECT_GT(row.estimated.output, 0);
}

TEST(OpenAiFront, LimitsBindAndSayWhenToComeBack) {
  Story s({}, "requests_per_min = 3\ntokens_per_min = 100000");
  for (int i = 0; i < 3; ++i) {
    const Reply r = s.Chat(Body("x", R"(,"max_tokens":10)"));
    EXPECT_EQ(r.status, 200);
    EXPECT_EQ(r.Header("x-ratelimit-limit-requests"), "3");
    EXPECT_EQ(r.Header("x-ratelimit-remaining-requests"), std::to_string(2 - i));
  }
  const Reply r = s.Chat(Body("x", R"(,"max_tokens":10)"));
  EXPECT_EQ(r.status, 429);
  EXPECT_EQ(json::parse(r.body)["error"]["code"], "rate_limit_exceeded");
  EXPECT_GE(std::stoi(r.Header("retry-after")), 1);
  EXPECT_EQ(s.Chat(Body("x", R"(,"max_tokens":200000)")).status, 429);
  const ledger::Row row = s.Ledger();
  EXPECT_EQ(row.admitted, 3U);
  EXPECT_EQ(row.reported.output, 30);
}

TEST(OpenAiFront, TokensSpentInTheMiddleOfAnAnswerEndItOnce) {
  FakeReplicaOptions long_winded;
  long_winded.tokens = 4000;
  long_winded.per_token = 100;
  Story s(long_winded, "tokens_per_min = 700");  // 512 are reserved for an answer without max_tokens
  const Reply r = s.Chat(Body("x", R"(,"stream":true)"));
  EXPECT_EQ(r.status, 200);
  EXPECT_FALSE(r.whole);
  const Events events = Read(r.body);
  EXPECT_TRUE(events.error && !events.done);
  EXPECT_NE(r.body.find("tokens_spent"), std::string::npos);
  EXPECT_EQ(In(s.Ledger(), ledger::Outcome::kTerminated), 1U);
}

TEST(OpenAiFront, AKeyRevokedWhileItsStreamRunsEndsIt) {
  FakeReplicaOptions slow;
  slow.per_token = 100'000;
  Story s(slow);
  Reply begun, held;
  int done = 0;
  const auto ask = [&](Reply& to, const std::string& more) {
    s.fleet->client().Ask(s.fleet->openai(),
                          Post("/v1/chat/completions", "Authorization: Bearer k\r\n",
                               Body("x" + std::to_string(more.size()), more)),
                          30'000'000, [&](const Reply& r) {
                            to = r;
                            ++done;
                          });
  };
  ask(begun, R"(,"stream":true)");
  ask(held, "");
  s.fleet->Until([] { return false; }, 1'000'000);
  keys::Keyring other;
  other.Add(keys::KeyFromText("other", "o"));
  other.Save(s.fleet->node().directory() + "/keys.toml");
  s.fleet->node().Signal(SIGHUP);
  EXPECT_TRUE(s.fleet->Until([&] { return done == 2; }, 20'000'000));
  EXPECT_NE(begun.body.find("key_revoked"), std::string::npos);
  EXPECT_FALSE(begun.whole);
  EXPECT_EQ(held.status, 401);
  EXPECT_EQ(s.Chat(Body("x")).status, 401);
  EXPECT_EQ(s.Chat(Body("y", R"(,"max_tokens":1)"), "Authorization: Bearer o\r\n").status, 200);
  // A file that is wrong changes nothing.
  std::ofstream(s.fleet->node().directory() + "/keys.toml") << "[[key]]\nid = 7\n";
  s.fleet->node().Signal(SIGHUP);
  s.fleet->Until([&] { return s.fleet->node().Log().find("reload-failed") != std::string::npos; },
                 10'000'000);
  EXPECT_EQ(s.Chat(Body("z", R"(,"max_tokens":1)"), "Authorization: Bearer o\r\n").status, 200);
  EXPECT_EQ(In(s.Ledger(), ledger::Outcome::kTerminated), 2U);
}

// The same request at the same moment under two keys is two requests, each answered and entered once.
TEST(OpenAiFront, TheSameRequestUnderTwoKeys) {
  LocalFleetOptions o;
  o.program = Program();
  o.replicas.resize(2);
  o.key = "k";
  LocalFleet fleet(o);
  keys::Keyring two;
  two.Add(keys::KeyFromText("one", "k"));
  two.Add(keys::KeyFromText("two", "other"));
  two.Save(fleet.node().directory() + "/keys.toml");
  fleet.node().Signal(SIGHUP);
  ASSERT_TRUE(fleet.Until(
      [&] { return fleet.node().Log().find("keys-reloaded keys=2") != std::string::npos; }, 10'000'000));
  const std::string body = Body("the same", R"(,"max_tokens":10)");
  std::vector<std::string> answers;
  for (const char* key : {"k", "other"}) {
    fleet.client().Ask(
        fleet.openai(),
        Post("/v1/chat/completions", std::string("Authorization: Bearer ") + key + "\r\n", body), 30'000'000,
        [&](const Reply& r) { answers.push_back(json::parse(r.body)["choices"].dump()); });
  }
  ASSERT_TRUE(fleet.Until([&] { return answers.size() == 2; }, 30'000'000));
  EXPECT_EQ(answers[0], answers[1]);
  const auto rows = ledger::RowsFromJson(fleet.Ledger());
  ASSERT_EQ(rows.size(), 2U);
  for (const auto& [id, row] : rows) EXPECT_EQ(In(row, ledger::Outcome::kServed), 1U) << id.first;
}

TEST(OpenAiFront, AConnectionFromOutsideTheNetworksIsClosed) {
  LocalFleetOptions o;
  o.program = Program();
  o.replicas.resize(1);
  o.openai_listen = "127.0.0.1:0\"\nnetworks = [\"10.0.0.0/8\"]\nread_within = \"5s";
  LocalFleet fleet(o);
  EXPECT_EQ(fleet.Ask(fleet.openai(), "GET /health HTTP/1.1\r\nHost: x\r\n\r\n").status, 0);
}

}  // namespace
}  // namespace ryeglade::lab
