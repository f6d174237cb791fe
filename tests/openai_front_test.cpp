// Tests the OpenAI-style front of a node that runs as a process between fake replicas and clients.
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

// Returns the body of a chat request with the fields `extra`, which start with a comma.
std::string Body(const std::string& prompt, const std::string& extra = "",
                 const std::string& model = "docs-model") {
  return R"({"model":")" + model + "\"" + extra + R"(,"messages":[{"role":"user","content":")" + prompt +
         "\"}]}";
}

// A node with fake replicas and one API key, "k".
struct TestNode {
  explicit TestNode(const FakeReplicaOptions& replica = {}, const std::string& limits = "",
                    std::size_t replicas = 1, const std::string& effect = "free") {
    LocalFleetOptions options;
    options.effect = effect;
    options.program = Program();
    options.replicas.assign(replicas, replica);
    options.key = "k";
    options.limits = limits;
    fleet = std::make_unique<LocalFleet>(options);
  }
  Reply Chat(const std::string& body, const std::string& headers = "Authorization: Bearer k\r\n") {
    return fleet->SendAndWait(fleet->openai(), Post("/v1/chat/completions", headers, body));
  }
  // Stops the node and returns the sum of all rows of its ledger.
  ledger::Row Ledger() {
    ledger::Row total;
    for (const auto& [id, row] : ledger::RowsFromJson(fleet->StopAndReadLedger())) total.Add(row);
    return total;
  }
  std::unique_ptr<LocalFleet> fleet;
};

// Returns the number of requests that ended with `outcome`.
std::uint64_t CountOf(const ledger::Row& row, ledger::Outcome outcome) {
  return row.ended.at(static_cast<std::size_t>(outcome));
}

// What a streamed response contained.
struct Events {
  std::string text;
  bool done = false;   // a [DONE] event
  bool usage = false;  // a chunk with a usage object
  bool error = false;  // an error object
};

Events ReadEvents(const std::string& body) {
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

// Returns the text with which a fake replica answers the request.
std::string ExpectedText(const std::string& body, std::size_t tokens = 64) {
  return Text(PromptKey(body), 1, tokens);
}

TEST(OpenAiFront, StreamedAndCompleteResponsesHaveTheSameText) {
  for (const ReplicaDialect dialect : {ReplicaDialect::kOpenAi, ReplicaDialect::kPlatform}) {
    FakeReplicaOptions replica;
    replica.dialect = dialect;
    TestNode node(replica);
    const std::string streamed = Body("hello", R"(,"stream":true)"), complete = Body("hello");
    const Reply one = node.Chat(streamed);
    EXPECT_EQ(one.status, 200);
    EXPECT_TRUE(one.complete);
    EXPECT_EQ(one.Header("x-request-id").substr(0, 4), "req_");
    const Events events = ReadEvents(one.body);
    EXPECT_TRUE(events.done && !events.usage && !events.error);
    EXPECT_EQ(events.text, ExpectedText(streamed));
    EXPECT_TRUE(
        ReadEvents(node.Chat(Body("hello", R"(,"stream":true,"stream_options":{"include_usage":true})")).body)
            .usage);
    const Reply two = node.Chat(complete);
    EXPECT_EQ(two.status, 200);
    const json answer = json::parse(two.body);
    EXPECT_EQ(answer["choices"][0]["message"]["content"], ExpectedText(complete));
    EXPECT_EQ(answer["choices"][0]["finish_reason"], "stop");
    EXPECT_EQ(answer["object"], "chat.completion");
    EXPECT_EQ(answer["usage"]["completion_tokens"], 64);
    const ledger::Row row = node.Ledger();
    EXPECT_EQ(CountOf(row, ledger::Outcome::kServed), 3U);
    EXPECT_EQ(row.reported.output, 192);
    EXPECT_EQ(row.estimated.output, 0);
  }
}

TEST(OpenAiFront, ServesModelsAndRejectsInvalidPathsMethodsKeysAndBodies) {
  TestNode node;
  const auto get = [&](const std::string& path, const std::string& key = "k") {
    return node.fleet->SendAndWait(
        node.fleet->openai(),
        "GET " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n\r\n");
  };
  EXPECT_EQ(json::parse(get("/v1/models").body)["data"].size(), 2U);
  EXPECT_EQ(json::parse(get("/v1/models/docs-model").body)["id"], "docs-model");
  const auto expect_error = [](const Reply& reply, int status, const std::string& code) {
    EXPECT_EQ(reply.status, status);
    EXPECT_EQ(json::parse(reply.body)["error"]["code"], code) << reply.body;
    EXPECT_FALSE(reply.Header("x-request-id").empty());
  };
  expect_error(get("/v1/models/none"), 404, "model_not_found");
  expect_error(get("/v1/models", "wrong"), 401, "invalid_api_key");
  expect_error(get("/v1/elsewhere"), 404, "unknown_url");
  expect_error(get("/v1/chat/completions"), 405, "method_not_allowed");
  expect_error(node.Chat(Body("x"), ""), 401, "invalid_api_key");
  expect_error(node.Chat(Body("x", "", "none")), 404, "model_not_found");
  expect_error(node.Chat(Body("x", ",\"n\":2")), 400, "unsupported_value");
  expect_error(node.Chat("{"), 400, "invalid_json");
  expect_error(node.Chat(std::string(300 * 1024, ' ')), 413, "request_too_large");
  expect_error(node.fleet->SendAndWait(node.fleet->openai(), "no HTTP at all\r\n\r\n"), 400,
               "unreadable_request");
  EXPECT_EQ(get("/health").status, 200);
  EXPECT_NE(get("/metrics").body.find("ryeglade_api_turned_away_total{reason=\"invalid_json\"} 1"),
            std::string::npos);
  EXPECT_EQ(node.fleet->attempt_counts().attempts, 0U);
}

// The client gets one `error` event, and the connection closes without [DONE] and without the last chunk. The
// request is not retried.
TEST(OpenAiFront, AStreamThatBreaksOffEndsWithOneError) {
  for (const char* fault : {"break", "error-event", "no-done"}) {
    TestNode node({}, "", 2);
    const Reply reply = node.Chat(Body(std::string("#fault=") + fault, R"(,"stream":true)"));
    EXPECT_EQ(reply.status, 200);
    EXPECT_FALSE(reply.complete) << fault;
    const Events events = ReadEvents(reply.body);
    EXPECT_TRUE(events.error && !events.done) << fault;
    EXPECT_FALSE(events.text.empty());
    const Reply complete = node.Chat(Body(std::string("#fault=") + fault));
    EXPECT_EQ(complete.status, 502) << fault;
    EXPECT_EQ(json::parse(complete.body)["error"]["code"], "upstream_broken");
    EXPECT_EQ(node.fleet->attempt_counts().attempts, 2U) << fault;
    const ledger::Row row = node.Ledger();
    EXPECT_EQ(CountOf(row, ledger::Outcome::kTruncated), 2U) << fault;
    EXPECT_EQ(row.open(), 0U);
    EXPECT_GT(row.estimated.output + row.reported.output, 0);
  }
}

TEST(OpenAiFront, AFailureBeforeTheFirstEventIsRetried) {
  for (const char* fault : {"reset-once", "busy-once", "error-once"}) {
    TestNode node({}, "", 2);
    const std::string body = Body(std::string("#fault=") + fault);
    const Reply reply = node.Chat(body);
    EXPECT_EQ(reply.status, 200) << fault;
    EXPECT_EQ(json::parse(reply.body)["choices"][0]["message"]["content"], ExpectedText(body));
    EXPECT_EQ(node.fleet->attempt_counts().attempts, 2U);
    EXPECT_EQ(node.fleet->attempt_counts().overlapping_attempts, 0U);
  }
}

TEST(OpenAiFront, EachKindOfFailureHasItsStatus) {
  TestNode node({}, "", 2);
  const auto message = [&](const std::string& fault, int status) {
    const Reply reply = node.Chat(Body("#fault=" + fault));
    EXPECT_EQ(reply.status, status) << fault << reply.body;
    return json::parse(reply.body)["error"]["message"].get<std::string>();
  };
  EXPECT_EQ(message("bad-request", 400), "stand-in says 400");
  EXPECT_EQ(node.fleet->attempt_counts().attempts, 1U);  // no retry
  message("error-first", 503);  // the decision module rejects the request once no replica is left to try
  const Reply rejected = node.Chat(Body("#fault=busy"));
  EXPECT_EQ(rejected.status, 503);
  EXPECT_GE(std::stoi(rejected.Header("retry-after")), 1);  // as the replica said
  EXPECT_GE(std::stoi(rejected.Header("retry-after-ms")), 1000);
  const Reply late = node.Chat(Body("#fault=silent"), "Authorization: Bearer k\r\nx-deadline-ms: 700\r\n");
  EXPECT_GE(late.status, 503);
  EXPECT_LT(late.ended - late.started, 5'000'000);
}

// Official clients retry 429 and every 5xx by themselves. If a request may have run and must not run twice,
// no status and no header of the response may invite a retry, whatever the failure.
TEST(OpenAiFront, NoResponseInvitesARetryOfARequestThatMayHaveRun) {
  for (const char* fault : {"error", "reset-before", "break", "error-event", "silent"}) {
    TestNode node({}, "", 2, "single_shot");
    const Reply reply =
        node.Chat(Body(std::string("#fault=") + fault), "Authorization: Bearer k\r\nx-deadline-ms: 700\r\n");
    EXPECT_TRUE(reply.status == 502 || reply.status == 504) << fault << reply.status;
    EXPECT_EQ(reply.Header("x-should-retry"), "false") << fault;
    EXPECT_EQ(reply.Header("retry-after"), "") << fault;
    EXPECT_EQ(node.fleet->attempt_counts().attempts, 1U) << fault;
  }
  // Rejected at admission: the request asks for more tokens than the key has in a minute.
  TestNode limited({}, "tokens_per_min = 100", 2, "single_shot");
  const Reply over_limit =
      limited.Chat(Body("long enough to outgrow what was reserved for its answer", ",\"max_tokens\":1000"));
  EXPECT_NE(over_limit.status, 200);
  TestNode free({}, "", 2, "free");
  EXPECT_EQ(free.Chat(Body("#fault=break")).Header("x-should-retry"), "");
  TestNode rejecting({}, "", 2, "single_shot");  // the replicas reject it, so it has not run
  EXPECT_EQ(rejecting.Chat(Body("#fault=busy")).status, 503);
}

TEST(OpenAiFront, InvalidUsageIsCountedOnlyAsAFault) {
  TestNode node;
  const std::vector<std::pair<std::string, ledger::UsageFault>> invalid = {
      {"no-usage", ledger::UsageFault::kAbsent},
      {"usage-negative", ledger::UsageFault::kNegative},
      {"usage-fractional", ledger::UsageFault::kFractional},
      {"usage-huge", ledger::UsageFault::kHuge},
      {"usage-string", ledger::UsageFault::kNotANumber},
      {"usage-twice", ledger::UsageFault::kTwice},
      {"usage-total", ledger::UsageFault::kTotal},
      {"usage-over-limit", ledger::UsageFault::kOverLimit},
      {"usage-contradicts", ledger::UsageFault::kContradicts}};
  for (const auto& [name, fault] : invalid) {
    EXPECT_EQ(node.Chat(Body("#fault=" + name, R"(,"stream":true,"max_tokens":40)")).status, 200);
  }
  const ledger::Row row = node.Ledger();
  EXPECT_EQ(CountOf(row, ledger::Outcome::kServed), invalid.size());
  EXPECT_EQ(row.reported.prompt + row.reported.output + row.reported.cached, 0);
  EXPECT_LE(row.estimated.output, 40.0 * static_cast<double>(invalid.size()));
  for (const auto& [name, fault] : invalid)
    EXPECT_EQ(row.usage_faults.at(static_cast<std::size_t>(fault)), 1U) << name;
}

TEST(OpenAiFront, AClientThatDisconnectsFreesTheReplicaAndIsSettledOnce) {
  FakeReplicaOptions slow;
  slow.per_token = 3'000'000;  // between two tokens no write could fail and reveal the disconnection
  TestNode node(slow);
  bool done = false;
  node.fleet->client().Send(
      node.fleet->openai(),
      Post("/v1/chat/completions", "Authorization: Bearer k\r\n", Body("x", R"(,"stream":true)")), 600'000,
      [&](const Reply&) { done = true; });
  EXPECT_TRUE(node.fleet->Until([&] { return done; }, 20'000'000));
  const auto running = [&] {
    int n = 0;
    for (const auto& [prompt, count] : node.fleet->attempt_counts().running) n += count;
    return n;
  };
  EXPECT_TRUE(node.fleet->Until([&] { return running() == 0; }, 2'000'000));  // before the next token
  const ledger::Row row = node.Ledger();
  EXPECT_EQ(CountOf(row, ledger::Outcome::kClientDisconnected), 1U);
  EXPECT_EQ(row.open(), 0U);
  EXPECT_GT(row.estimated.output, 0);
}

TEST(OpenAiFront, RateLimitsAreEnforcedAndTellWhenToRetry) {
  TestNode node({}, "requests_per_min = 3\ntokens_per_min = 100000");
  for (int i = 0; i < 3; ++i) {
    const Reply reply = node.Chat(Body("x", R"(,"max_tokens":10)"));
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.Header("x-ratelimit-limit-requests"), "3");
    EXPECT_EQ(reply.Header("x-ratelimit-remaining-requests"), std::to_string(2 - i));
  }
  const Reply reply = node.Chat(Body("x", R"(,"max_tokens":10)"));
  EXPECT_EQ(reply.status, 429);
  EXPECT_EQ(json::parse(reply.body)["error"]["code"], "rate_limit_exceeded");
  EXPECT_GE(std::stoi(reply.Header("retry-after")), 1);
  EXPECT_EQ(node.Chat(Body("x", R"(,"max_tokens":200000)")).status, 429);
  const ledger::Row row = node.Ledger();
  EXPECT_EQ(row.admitted, 3U);
  EXPECT_EQ(row.reported.output, 30);
}

TEST(OpenAiFront, AResponseEndsOnceWhenTheKeysTokensRunOut) {
  FakeReplicaOptions verbose;
  verbose.tokens = 4000;
  verbose.per_token = 100;
  TestNode node(verbose, "tokens_per_min = 700");  // 512 are reserved for an answer without max_tokens
  const Reply reply = node.Chat(Body("x", R"(,"stream":true)"));
  EXPECT_EQ(reply.status, 200);
  EXPECT_FALSE(reply.complete);
  const Events events = ReadEvents(reply.body);
  EXPECT_TRUE(events.error && !events.done);
  EXPECT_NE(reply.body.find("tokens_spent"), std::string::npos);
  EXPECT_EQ(CountOf(node.Ledger(), ledger::Outcome::kTerminated), 1U);
}

TEST(OpenAiFront, RevokingAKeyEndsItsOpenRequests) {
  FakeReplicaOptions slow;
  slow.per_token = 100'000;
  TestNode node(slow);
  Reply streamed, complete;
  int done = 0;
  const auto ask = [&](Reply& to, const std::string& extra) {
    node.fleet->client().Send(node.fleet->openai(),
                              Post("/v1/chat/completions", "Authorization: Bearer k\r\n",
                                   Body("x" + std::to_string(extra.size()), extra)),
                              30'000'000, [&](const Reply& reply) {
                                to = reply;
                                ++done;
                              });
  };
  ask(streamed, R"(,"stream":true)");
  ask(complete, "");
  node.fleet->Until([] { return false; }, 1'000'000);
  keys::Keyring other;
  other.Add(keys::KeyFromText("other", "o"));
  other.Save(node.fleet->node().directory() + "/keys.toml");
  node.fleet->node().Signal(SIGHUP);
  EXPECT_TRUE(node.fleet->Until([&] { return done == 2; }, 20'000'000));
  EXPECT_NE(streamed.body.find("key_revoked"), std::string::npos);
  EXPECT_FALSE(streamed.complete);
  EXPECT_EQ(complete.status, 401);
  EXPECT_EQ(node.Chat(Body("x")).status, 401);
  EXPECT_EQ(node.Chat(Body("y", R"(,"max_tokens":1)"), "Authorization: Bearer o\r\n").status, 200);
  // An invalid key file changes nothing.
  std::ofstream(node.fleet->node().directory() + "/keys.toml") << "[[key]]\nid = 7\n";
  node.fleet->node().Signal(SIGHUP);
  node.fleet->Until([&] { return node.fleet->node().Log().find("reload-failed") != std::string::npos; },
                    10'000'000);
  EXPECT_EQ(node.Chat(Body("z", R"(,"max_tokens":1)"), "Authorization: Bearer o\r\n").status, 200);
  EXPECT_EQ(CountOf(node.Ledger(), ledger::Outcome::kTerminated), 2U);
}

// A reload finds a valid configuration and an invalid key file. Guards against applying the one before the
// other has been read.
TEST(OpenAiFront, AnInvalidKeyFileKeepsAReloadFromChangingAnything) {
  TestNode node;
  lab::NodeProcess& process = node.fleet->node();
  std::ifstream in(process.directory() + "/config.json");
  json config = json::parse(in);
  config["settings"]["classes"][0]["effect"] = "single_shot";
  process.WriteConfig(config.dump());
  std::ofstream(process.directory() + "/keys.toml") << "[[key]]\nid = 7\n";
  process.Signal(SIGHUP);
  EXPECT_TRUE(node.fleet->Until([&] { return process.Log().find("reload-failed") != std::string::npos; },
                                10'000'000));
  EXPECT_EQ(process.Log().find("event=reloaded"), std::string::npos);
  EXPECT_EQ(process.Log().find("classes-updated"), std::string::npos);
}

// Identical requests of two keys at the same time are two requests, each answered and recorded once.
TEST(OpenAiFront, IdenticalRequestsOfTwoKeysAreAnsweredSeparately) {
  LocalFleetOptions options;
  options.program = Program();
  options.replicas.resize(2);
  options.key = "k";
  LocalFleet fleet(options);
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
    fleet.client().Send(
        fleet.openai(),
        Post("/v1/chat/completions", std::string("Authorization: Bearer ") + key + "\r\n", body), 30'000'000,
        [&](const Reply& reply) { answers.push_back(json::parse(reply.body)["choices"].dump()); });
  }
  ASSERT_TRUE(fleet.Until([&] { return answers.size() == 2; }, 30'000'000));
  EXPECT_EQ(answers[0], answers[1]);
  const auto rows = ledger::RowsFromJson(fleet.StopAndReadLedger());
  ASSERT_EQ(rows.size(), 2U);
  for (const auto& [id, row] : rows) EXPECT_EQ(CountOf(row, ledger::Outcome::kServed), 1U) << id.first;
}

TEST(OpenAiFront, AConnectionFromAnAddressThatIsNotAllowedIsClosed) {
  LocalFleetOptions options;
  options.program = Program();
  options.replicas.resize(1);
  options.openai_listen = "127.0.0.1:0\"\nnetworks = [\"10.0.0.0/8\"]\nread_within = \"5s";
  LocalFleet fleet(options);
  EXPECT_EQ(fleet.SendAndWait(fleet.openai(), "GET /health HTTP/1.1\r\nHost: x\r\n\r\n").status, 0);
}

}  // namespace
}  // namespace ryeglade::lab
