// The smaller parts of the membership: the encoding of its messages, the dissemination queue, the announced
// node count, and its settings.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "membership/dissemination_queue_model.h"
#include "membership/message_codec.h"
#include "membership/node_count_policy.h"
#include "settings/edge_settings.h"
#include "settings/toml_reader.h"

namespace ryeglade::membership {
namespace {

std::string RandomText(std::size_t min, std::size_t max) {
  const auto length = *rc::gen::inRange(min, max + 1);
  return *rc::gen::container<std::string>(length, rc::gen::inRange('!', '~'));
}

MemberRecord RandomRecord() {
  MemberRecord record;
  record.name = RandomText(1, kMaxNameBytes);
  record.address = RandomText(3, kMaxAddressBytes);
  record.zone = RandomText(0, kMaxZoneBytes);
  record.incarnation = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 62);
  record.uid = *rc::gen::arbitrary<std::uint64_t>();
  record.state = static_cast<RecordState>(*rc::gen::inRange(0, 4));
  return record;
}

bool Equal(const MemberRecord& a, const MemberRecord& b) {
  return a.name == b.name && a.address == b.address && a.zone == b.zone && a.incarnation == b.incarnation &&
         a.uid == b.uid && a.state == b.state && a.reporters == b.reporters;
}

RC_GTEST_PROP(MessageCodec, DecodingInvertsEncodingAndTheSizeIsWithinItsBound, ()) {
  Message message;
  message.cluster = RandomText(1, 20);
  message.sender = RandomRecord();
  message.kind = static_cast<MessageKind>(*rc::gen::inRange(0, 7));
  message.seq = *rc::gen::arbitrary<std::uint64_t>();
  message.target = RandomText(0, 20);
  message.target_address = RandomText(0, 20);
  std::size_t bound = kMessageHeaderBytes + EncodedSize(message.sender) + message.cluster.size() +
                      message.target.size() + message.target_address.size();
  for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
    Update update;
    update.record = RandomRecord();
    if (*rc::gen::arbitrary<bool>()) {
      update.kind = Update::Kind::kReport;
      update.report.reporter = RandomText(1, 20);
      update.report.reachable = *rc::gen::arbitrary<bool>();
      update.report.seq = *rc::gen::arbitrary<std::uint64_t>();
      update.age = *rc::gen::inRange<Time>(0, kMaxReportAge);
    } else if (update.record.state == RecordState::kDead) {
      update.record.reporters = {"a", "b"};
    }
    bound += EncodedSize(update);
    message.updates.push_back(update);
  }
  const std::string bytes = Encode(message);
  RC_ASSERT(bytes.size() <= bound);
  const char* why = "";
  const auto decoded = Decode(bytes, &why);
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(Equal(decoded->sender, message.sender) && decoded->kind == message.kind &&
            decoded->seq == message.seq && decoded->target == message.target);
  RC_ASSERT(decoded->updates.size() == message.updates.size());
  for (std::size_t i = 0; i < message.updates.size(); ++i) {
    RC_ASSERT(decoded->updates[i].kind == message.updates[i].kind &&
              decoded->updates[i].record.name == message.updates[i].record.name);
    if (message.updates[i].kind == Update::Kind::kRecord)
      RC_ASSERT(Equal(decoded->updates[i].record, message.updates[i].record));
    else
      RC_ASSERT(decoded->updates[i].age == message.updates[i].age &&
                decoded->updates[i].report.reachable == message.updates[i].report.reachable);
  }
}

RC_GTEST_PROP(MessageCodec, AMessageWithAFlippedBitIsRejected, ()) {
  Message message;
  message.cluster = "c";
  message.sender = RandomRecord();
  std::string bytes = Encode(message);
  const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
  bytes[bit / 8] = static_cast<char>(static_cast<unsigned char>(bytes[bit / 8]) ^ (1U << (bit % 8)));
  const char* why = "";
  RC_ASSERT(!Decode(bytes, &why).has_value());
}

TEST(MessageCodec, AMessageWithAFieldOutOfRangeIsRejected) {
  const char* why = "";
  Message message;
  message.cluster = "c";
  message.sender.name = "n";
  message.sender.address = "1.2.3.4:5";
  ASSERT_TRUE(Decode(Encode(message), &why).has_value());
  const auto rejection = [&](auto change) {
    Message changed = message;
    change(changed);
    EXPECT_FALSE(Decode(Encode(changed), &why).has_value());
    return std::string(why);
  };
  EXPECT_EQ(rejection([](Message& changed) { changed.sender.name = ""; }), "range");
  EXPECT_EQ(rejection([](Message& changed) { changed.sender.name = std::string(65, 'x'); }), "range");
  EXPECT_EQ(rejection([](Message& changed) { changed.sender.name = "a\nevent=member-dead"; }), "range");
  EXPECT_EQ(rejection([](Message& changed) { changed.sender.incarnation = ~std::uint64_t{0}; }), "range");
  EXPECT_EQ(rejection([](Message& changed) { changed.sender.reporters.assign(9, "a"); }), "range");
  EXPECT_EQ(rejection([](Message& changed) { changed.cluster = ""; }), "range");
  EXPECT_EQ(
      rejection([](Message& changed) {
        changed.updates.resize(kMaxReceivedUpdates + 1, Update{Update::Kind::kRecord, changed.sender, {}, 0});
      }),
      "malformed");
  EXPECT_FALSE(Decode("", &why).has_value());
  EXPECT_STREQ(why, "not-ours");
  // A reporter that is repeated eight times counts once.
  message.sender.reporters.assign(8, "a");
  EXPECT_EQ(Decode(Encode(message), &why)->sender.reporters.size(), 1U);
}

Update UpdateOn(const std::string& name, std::uint64_t incarnation, const std::string& reporter = "") {
  Update update;
  update.kind = reporter.empty() ? Update::Kind::kRecord : Update::Kind::kReport;
  update.record.name = name;
  update.record.incarnation = incarnation;
  update.report.reporter = reporter;
  return update;
}

// Sends one message that has space for `max` updates, and returns a text for each update that was sent.
std::vector<std::string> SendOnce(DisseminationQueue& queue, std::size_t max, Time now = 0,
                                  int max_sends = 100) {
  std::vector<std::string> sent;
  queue.Send(now, max_sends, [&](const Update& update) {
    if (sent.size() == max) return false;
    sent.push_back(update.record.name + std::to_string(update.record.incarnation) + update.report.reporter);
    return true;
  });
  return sent;
}

using Texts = std::vector<std::string>;

TEST(DisseminationQueue, SendsTheLeastSentAndNewestFirstAndRemovesUpdatesThatWereSentOftenEnough) {
  DisseminationQueue queue;
  queue.Enqueue(UpdateOn("a", 1), 0);
  queue.Enqueue(UpdateOn("b", 1), 0);
  queue.Enqueue(UpdateOn("c", 1), 0);
  EXPECT_EQ(SendOnce(queue, 2), (Texts{"c1", "b1"}));
  EXPECT_EQ(SendOnce(queue, 2), (Texts{"a1", "c1"}));
  queue.Enqueue(UpdateOn("a", 2), 0);  // replaces the older one, and has not been sent yet
  EXPECT_EQ(queue.size(), 3U);
  EXPECT_EQ(SendOnce(queue, 9), (Texts{"a2", "b1", "c1"}));
  EXPECT_EQ(SendOnce(queue, 1, 0, 2), (Texts{"a2"}));  // sent for the second time, so it is removed
  EXPECT_EQ(SendOnce(queue, 9, 0, 3), (Texts{"b1", "c1"}));
  EXPECT_TRUE(queue.empty());
}

TEST(DisseminationQueue, RecordsAreSentMoreOftenThanReports) {
  DisseminationQueue queue;
  queue.Enqueue(UpdateOn("a", 1), 0);
  queue.Enqueue(UpdateOn("b", 1, "x"), 0);
  queue.Enqueue(UpdateOn("b", 1, "y"), 0);
  Texts sent;
  for (int i = 0; i < 8; ++i) sent.push_back(SendOnce(queue, 1).front());
  EXPECT_EQ(std::count(sent.begin(), sent.end(), "a1"), 4);
  EXPECT_EQ(std::count(sent.begin(), sent.end(), "b1x"), 2);
  EXPECT_EQ(std::count(sent.begin(), sent.end(), "b1y"), 2);
}

TEST(DisseminationQueue, ARecordRemovesOnlyTheReportsThatItMakesObsolete) {
  DisseminationQueue queue;
  for (const char* reporter : {"x", "y"}) {
    queue.Enqueue(UpdateOn("a", 1, reporter), 0);
    queue.Enqueue(UpdateOn("a", 2, reporter), 0);  // replaces the report on incarnation 1
    queue.Enqueue(UpdateOn("b", 2, reporter), 0);
  }
  queue.Enqueue(UpdateOn("a", 2), 0);  // reports on the same incarnation may still be true
  EXPECT_EQ(queue.size(), 5U);
  queue.Enqueue(UpdateOn("a", 3), 0);
  EXPECT_EQ(queue.size(), 3U);
  Update gone = UpdateOn("b", 2);
  gone.record.state = RecordState::kLeft;
  queue.Enqueue(gone, 0);
  EXPECT_EQ(SendOnce(queue, 9), (Texts{"b2", "a3"}));
}

TEST(DisseminationQueue, AReportDoesNotAgeWhileTheNodeIsPaused) {
  DisseminationQueue queue;
  queue.Enqueue(UpdateOn("a", 1, "x"), 1'000);
  Time age = -1;
  const auto age_at = [&](Time now) {
    queue.Send(now, 100, [&](const Update& update) {
      age = update.age;
      return true;
    });
    return age;
  };
  EXPECT_EQ(age_at(5'000), 4'000);
  queue.ShiftTimes(3'000);
  EXPECT_EQ(age_at(9'000), 5'000);
  EXPECT_EQ(age_at(0), 0);  // a report that was made later than now has age 0
  EXPECT_EQ(age_at(10 * kMaxReportAge), kMaxReportAge);
}

TEST(DisseminationQueue, AFullQueueDropsTheUpdateThatWasSentMost) {
  DisseminationQueue queue;
  for (std::size_t i = 0; i < DisseminationQueue::kMaxUpdates; ++i)
    ASSERT_TRUE(queue.Enqueue(UpdateOn("n" + std::to_string(i), 1), 0));
  ASSERT_EQ(SendOnce(queue, 1).front(), "n511" + std::to_string(1));
  EXPECT_FALSE(queue.Enqueue(UpdateOn("late", 1), 0));
  EXPECT_EQ(queue.size(), DisseminationQueue::kMaxUpdates);
  for (int i = 0; i < 40; ++i) {
    for (const std::string& sent : SendOnce(queue, DisseminationQueue::kMaxConsidered))
      EXPECT_NE(sent, "n5111");  // the update that was dropped
  }
}

TEST(NodeCountPolicy, AnnouncesMoreNodesAtOnceAndFewerOnlyFromAStableView) {
  NodeCountPolicy policy(4, 30'000'000);
  NodeCountFacts facts;
  facts.live = 1;  // this node has just started and knows no other
  EXPECT_FALSE(policy.Update(1'000'000, facts).has_value());
  facts.live = 6;
  EXPECT_EQ(policy.Update(2'000'000, facts), 6U);
  facts = {3, true, true, false, 0};
  EXPECT_FALSE(policy.Update(900'000'000, facts).has_value());  // a partition is suspected
  facts = {3, true, false, true, 1'000'000'000};
  EXPECT_FALSE(policy.Update(1'029'000'000, facts).has_value());  // not stable for long enough
  EXPECT_EQ(policy.Update(1'030'000'000, facts), 3U);
  EXPECT_FALSE(policy.Update(1'031'000'000, facts).has_value());
  EXPECT_EQ(policy.announced(), 3U);
}

TEST(MembershipSettings, MembershipIsOffWithoutThemAndErrorsNamePlaceAndRemedy) {
  EXPECT_FALSE(ReadEdgeSettings("e.toml", "", {}).membership.enabled());
  const std::string good =
      "[membership]\nlisten = \"127.0.0.1:7946\"\nnetworks = [\"127.0.0.0/8\"]\nseeds = "
      "[\"127.0.0.2:7946\"]\n"
      "period = \"500ms\"\nwire = 1\n";
  const MembershipSettings settings = ReadEdgeSettings("e.toml", good, {}).membership;
  EXPECT_TRUE(settings.enabled());
  EXPECT_EQ(settings.probe_interval, 500'000);
  EXPECT_EQ(settings.protocol_version, 1U);
  const auto error_with = [&](const std::string& from, const std::string& to) -> std::string {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    try {
      ReadEdgeSettings("e.toml", text, {});
    } catch (const SettingsError& e) {
      return e.what();
    }
    return "taken";
  };
  EXPECT_NE(
      error_with("listen = \"127.0.0.1:7946\"\n", "").find("membership.listen: is missing; give the ip:port"),
      std::string::npos);
  EXPECT_NE(error_with("127.0.0.1:7946", "0.0.0.0:7946").find("e.toml:1: membership.advertise: is missing"),
            std::string::npos)
      << error_with("127.0.0.1:7946", "0.0.0.0:7946");
  EXPECT_NE(error_with("[\"127.0.0.0/8\"]", "[]")
                .find("e.toml:3: membership.networks: is missing; name the networks"),
            std::string::npos);
  EXPECT_NE(error_with("127.0.0.2:7946", "seed-one").find("e.toml:4: membership.seeds: is not an ip:port"),
            std::string::npos);
  EXPECT_NE(error_with("\"500ms\"", "0.5").find("e.toml:5: membership.period: has no unit"),
            std::string::npos);
  EXPECT_NE(error_with("wire = 1", "wire = 9")
                .find("e.toml:6: membership.wire: must be a whole number from 1 to 2"),
            std::string::npos);
}

}  // namespace
}  // namespace ryeglade::membership
