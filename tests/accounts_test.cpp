// API keys, rate limits, token usage and the ledger. Invalid usage figures must not be counted, and every
// reservation must be returned.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "keys/keyring.h"
#include "ledger/ledger_model.h"
#include "ledger/usage_model.h"
#include "limits/limits_policy.h"
#include "limits/networks.h"
#include "limits/rate_limit_policy.h"
#include "settings/toml_reader.h"

namespace ryeglade {
namespace {

using ledger::CheckUsage;
using ledger::UsageFault;
using policy::Time;
constexpr Time kSecond = 1'000'000;

// ---- Usage ----

TEST(Usage, ValidUsageIsAccepted) {
  const auto r = CheckUsage(R"({"usage":{"prompt_tokens":100,"completion_tokens":20,"total_tokens":120,
      "prompt_tokens_details":{"cached_tokens":64},"completion_tokens_details":null}})",
                            1, {400, 80, 5, 20});
  ASSERT_TRUE(r.usage.has_value());
  EXPECT_EQ(r.usage->prompt, 100);
  EXPECT_EQ(r.usage->cached, 64);
  EXPECT_EQ(r.usage->output, 20);
}

TEST(Usage, EachFaultIsNamed) {
  const auto fault = [](const std::string& usage, int times = 1) {
    const auto r = CheckUsage("{\"usage\":" + usage + "}", times, {400, 80, 5, 20});
    EXPECT_FALSE(r.usage.has_value()) << usage;
    return r.fault;
  };
  const std::string good = R"({"prompt_tokens":100,"completion_tokens":20})";
  EXPECT_EQ(fault(good, 0), UsageFault::kAbsent);
  EXPECT_EQ(fault(good, 2), UsageFault::kTwice);
  EXPECT_EQ(fault(R"({"prompt_tokens":"100","completion_tokens":20})"), UsageFault::kNotANumber);
  EXPECT_EQ(fault(R"({"prompt_tokens":100,"completion_tokens":null})"), UsageFault::kNotANumber);
  EXPECT_EQ(fault("7"), UsageFault::kNotANumber);
  EXPECT_EQ(fault(R"({"prompt_tokens":-1,"completion_tokens":20})"), UsageFault::kNegative);
  EXPECT_EQ(fault(R"({"prompt_tokens":100,"completion_tokens":19.5})"), UsageFault::kFractional);
  EXPECT_EQ(fault(R"({"prompt_tokens":1e12,"completion_tokens":20})"), UsageFault::kHuge);
  EXPECT_EQ(fault(R"({"prompt_tokens":1e999,"completion_tokens":20})"), UsageFault::kHuge);
  EXPECT_EQ(fault(R"({"prompt_tokens":100,"completion_tokens":20,"prompt_tokens":5})"), UsageFault::kTwice);
  EXPECT_EQ(fault(R"({"prompt_tokens":100})"), UsageFault::kIncomplete);
  EXPECT_EQ(fault(R"({"prompt_tokens":100,"completion_tokens":20,"total_tokens":121})"), UsageFault::kTotal);
  EXPECT_EQ(
      fault(R"({"prompt_tokens":100,"completion_tokens":20,"prompt_tokens_details":{"cached_tokens":101}})"),
      UsageFault::kCached);
  EXPECT_EQ(fault(R"({"prompt_tokens":100,"completion_tokens":21})"), UsageFault::kOverLimit);
  EXPECT_EQ(fault(R"({"prompt_tokens":100,"completion_tokens":4})"), UsageFault::kContradicts);
}

TEST(Usage, TokenSizesAreLearnedWithinBounds) {
  ledger::TokenSizeEstimator sizes;
  EXPECT_EQ(sizes.BytesPerToken("m"), 4);
  for (int i = 0; i < 200; ++i) sizes.Learn("m", 3000, 1000);
  EXPECT_NEAR(sizes.BytesPerToken("m"), 3, 0.01);
  for (int i = 0; i < 200; ++i) sizes.Learn("m", 1'000'000, 1);
  EXPECT_LE(sizes.BytesPerToken("m"), 16);
  for (int i = 0; i < 10'000; ++i) sizes.Learn("model-" + std::to_string(i), 400, 100);
  // Each event holds at least one token.
  EXPECT_EQ(sizes.Estimate("n", {400, 80, 30, std::nullopt}).output, 30);
}

// ---- Limits ----

TEST(Limits, RetryAfterIsExact) {
  limits::RateLimiter limits;
  const limits::KeyLimits rule{2, 600, 0};
  EXPECT_EQ(limits.Admit(0, "k", rule, 300).admission, limits::Admission::kAdmitted);
  EXPECT_EQ(limits.Admit(0, "k", rule, 300).admission, limits::Admission::kAdmitted);
  const auto third = limits.Admit(0, "k", rule, 100);
  EXPECT_EQ(third.admission, limits::Admission::kOverRequests);
  EXPECT_EQ(third.retry_after, 30 * kSecond);
  EXPECT_NE(limits.Admit(30 * kSecond - 2, "k", rule, 100).admission, limits::Admission::kAdmitted);
  EXPECT_EQ(limits.Admit(30 * kSecond, "k", rule, 100).admission, limits::Admission::kAdmitted);
  EXPECT_EQ(limits.Admit(30 * kSecond, "other", rule, 601).admission, limits::Admission::kRequestTooLarge);
}

TEST(Limits, UnusedTokensAreReturnedAndExcessIsCharged) {
  limits::RateLimiter limits;
  const limits::KeyLimits rule{0, 1000, 1};
  EXPECT_EQ(limits.Admit(0, "k", rule, 1000).admission, limits::Admission::kAdmitted);
  EXPECT_EQ(limits.Admit(0, "k", rule, 0).admission, limits::Admission::kOverStreams);
  EXPECT_FALSE(limits.ReserveMore(0, "k", rule, 1));
  limits.Settle(0, "k", rule, 1000, 200, true);
  EXPECT_EQ(limits.Admit(0, "k", rule, 800).admission, limits::Admission::kAdmitted);
  limits.Settle(0, "k", rule, 800, 5000, true);
  EXPECT_EQ(limits.Admit(59 * kSecond, "k", rule, 1).admission, limits::Admission::kOverTokens);
  EXPECT_EQ(limits.Admit(61 * kSecond, "k", rule, 1).admission, limits::Admission::kAdmitted);
}

RC_GTEST_PROP(LedgerProperty, EveryRequestHasOneOutcomeAndReservationsReturnToZero, ()) {
  limits::RateLimiter limits;
  ledger::Ledger ledger;
  struct OpenRequest {
    std::string key;
    double reserved;
  };
  std::vector<OpenRequest> open;
  std::uint64_t admitted = 0, ended = 0;
  double used = 0;
  Time now = 0;
  const limits::KeyLimits rule{600, 60'000, 5};
  const auto end = [&](std::size_t at, std::size_t outcome, double tokens, bool reported) {
    const OpenRequest request = open[at];
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
    limits.Settle(now, request.key, rule, request.reserved, tokens, outcome != 1);
    ledger.RecordOutcome(request.key, "m", static_cast<ledger::Outcome>(outcome), {tokens, 0, 0}, reported,
                         nullptr);
    used += tokens;
    ++ended;
  };
  for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000))) {
    now += step * 1000;
    const std::string key = "k" + std::to_string(step % 3);
    if (step % 4 == 3 && limits.ReserveMore(now, key, rule, step)) {
      // Add the tokens to an open request of the key, or return them if there is none.
      bool found = false;
      for (OpenRequest& request : open) {
        if (request.key != key || found) continue;
        request.reserved += step;
        found = true;
      }
      if (!found) limits.Settle(now, key, rule, step, 0, true);
    } else if (step % 2 == 0 || open.empty()) {
      if (limits.Admit(now, key, rule, step).admission != limits::Admission::kAdmitted) continue;
      ledger.RecordAdmission(key, "m");
      open.push_back({key, static_cast<double>(step)});
      ++admitted;
    } else {
      end(static_cast<std::size_t>(step) % open.size(), static_cast<std::size_t>(step) % ledger::kOutcomes,
          step, step % 3 == 0);
    }
  }
  const ledger::Row before = ledger.Total();
  RC_ASSERT(before.admitted == admitted && before.open() == open.size());
  while (!open.empty()) end(0, 0, 1, true);
  const ledger::Row total = ledger.Total();
  RC_ASSERT(total.open() == 0U && ended == admitted);
  RC_ASSERT(total.reported.prompt + total.estimated.prompt == used);
  for (const char* key : {"k0", "k1", "k2"}) {
    RC_ASSERT(limits.reserved(key) == 0 && limits.streams(key) == 0);
  }
  const auto decoded = ledger::RowsFromJson(ledger::ToJson(ledger.counts(), "n", 0));
  RC_ASSERT(decoded.size() == ledger.rows().size());
}

// ---- Keys ----

class KeyFile : public testing::Test {
 protected:
  void SetUp() override {
    std::string name = std::filesystem::temp_directory_path().string() + "/ryeglade-keys-XXXXXX";
    ASSERT_NE(mkdtemp(name.data()), nullptr);
    dir_ = name;
  }
  void TearDown() override { std::filesystem::remove_all(dir_); }
  std::string path() const { return dir_ + "/keys.toml"; }
  std::string dir_;
};

TEST_F(KeyFile, HoldsNoSecretAndVerifiesOnlyTheRightKey) {
  keys::Keyring ring;
  const keys::NewKey made = keys::MakeKey("desk \"7\"");
  ring.Add(made.key);
  ring.Add(keys::KeyFromText("demo", "open sesame"));
  ring.Save(path());
  std::ifstream in(path());
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  EXPECT_EQ(text.find(made.presented.substr(12)), std::string::npos);
  const keys::Keyring loaded = keys::Keyring::Load(path());
  ASSERT_NE(loaded.Verify(made.presented), nullptr);
  EXPECT_EQ(loaded.Verify(made.presented)->name, "desk \"7\"");
  ASSERT_NE(loaded.Verify("open sesame"), nullptr);
  for (std::size_t at = 0; at < made.presented.size(); ++at) {
    std::string wrong = made.presented;
    wrong[at] = wrong[at] == '0' ? '1' : '0';
    EXPECT_EQ(loaded.Verify(wrong), nullptr);
  }
  EXPECT_EQ(loaded.Verify(""), nullptr);
  EXPECT_EQ(loaded.Verify(std::string(100'000, 'x')), nullptr);
}

TEST_F(KeyFile, AnAccessibleOrInvalidFileIsRejectedWithARemedy) {
  keys::Keyring ring;
  ring.Add(keys::MakeKey("a").key);
  ring.Save(path());
  ASSERT_EQ(chmod(path().c_str(), 0640), 0);
  const auto error_of = [&](const auto& function) -> std::string {
    try {
      function();
    } catch (const SettingsError& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_NE(error_of([&] { keys::Keyring::Load(path()); }).find("chmod 600"), std::string::npos);
  const std::string misspelled =
      error_of([] { keys::Keyring::Parse("f.toml", "[[key]]\nid = \"0011aabb\"\nsalz = \"x\"\n"); });
  EXPECT_NE(misspelled.find("f.toml:1: key.salt: is missing"), std::string::npos) << misspelled;
  const std::string text = ring.Text() + ring.Text();
  EXPECT_NE(error_of([&] { keys::Keyring::Parse("f.toml", text); }).find("twice"), std::string::npos);
}

// ---- Networks ----

TEST(Networks, ASetHoldsBothAddressFamilies) {
  limits::Networks set;
  EXPECT_TRUE(set.Add("10.1.0.0/16") && set.Add("10.2.0.0/16") && set.Add("2001:db8::/32") && set.Add("::1"));
  EXPECT_FALSE(set.Add("10.1.0.1/16") || set.Add("10.1.0.0/33") || set.Add("nowhere") ||
               set.Add("2001:db8::1/32"));
  for (const char* in : {"10.1.0.0", "10.2.255.255", "::ffff:10.1.2.3", "2001:db8:ffff::1", "::1"}) {
    EXPECT_TRUE(set.Contains(std::string(in))) << in;
  }
  for (const char* out : {"10.0.255.255", "10.3.0.0", "::2", "2001:db9::", "127.0.0.1"}) {
    EXPECT_FALSE(set.Contains(std::string(out))) << out;
  }
}

RC_GTEST_PROP(NetworksProperty, AgreesWithBitMasks, ()) {
  const auto address = *rc::gen::arbitrary<std::uint32_t>();
  const auto length = *rc::gen::inRange(0, 33);
  const auto other = *rc::gen::arbitrary<std::uint32_t>();
  const auto text = [](std::uint32_t a) {
    return std::to_string(a >> 24) + "." + std::to_string(a >> 16 & 255) + "." +
           std::to_string(a >> 8 & 255) + "." + std::to_string(a & 255);
  };
  const std::uint32_t mask = length == 0 ? 0 : ~std::uint32_t{0} << (32 - length);
  limits::Networks set;
  RC_ASSERT(set.Add(text(address & mask) + "/" + std::to_string(length)));
  for (const std::uint32_t probe :
       {address, other, address ^ 1U, address ^ (1U << 31), (address & mask) - 1}) {
    RC_ASSERT(set.Contains(text(probe)) == ((probe & mask) == (address & mask)));
  }
}

TEST(InvalidKeyThrottle, ABurstIsAnsweredAtOnceAndAFloodIsPaced) {
  limits::InvalidKeyThrottle throttle(100, 10, 2'000'000);
  Time now = 1'000'000'000;
  int at_once = 0;
  Time last = 0;
  for (int i = 0; i < 500; ++i) {
    const Time delay = throttle.DelayOfNext(now);
    at_once += delay == 0 ? 1 : 0;
    ASSERT_GE(delay, last);
    ASSERT_LE(delay, 2'000'000);
    last = delay;
  }
  EXPECT_EQ(at_once, 11);
  EXPECT_EQ(last, 2'000'000);
  EXPECT_EQ(throttle.DelayOfNext(now + 5'000'000), 0);  // the flood leaves no backlog
}

}  // namespace
}  // namespace ryeglade
