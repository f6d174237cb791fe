// Membership's smaller parts: its messages as bytes, how many nodes the decision module is told, its
// settings.
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

std::string SomeWord(std::size_t least, std::size_t most) {
  const auto n = *rc::gen::inRange(least, most + 1);
  return *rc::gen::container<std::string>(n, rc::gen::inRange('!', '~'));
}

MemberRecord SomeRecord() {
  MemberRecord r;
  r.name = SomeWord(1, kMaxNameBytes);
  r.address = SomeWord(3, kMaxAddressBytes);
  r.zone = SomeWord(0, kMaxZoneBytes);
  r.incarnation = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 62);
  r.uid = *rc::gen::arbitrary<std::uint64_t>();
  r.state = static_cast<RecordState>(*rc::gen::inRange(0, 4));
  return r;
}

bool Same(const MemberRecord& a, const MemberRecord& b) {
  return a.name == b.name && a.address == b.address && a.zone == b.zone && a.incarnation == b.incarnation &&
         a.uid == b.uid && a.state == b.state && a.reporters == b.reporters;
}

RC_GTEST_PROP(Wire, WhatIsWrittenIsReadAndFitsItsBound, ()) {
  Message m;
  m.cluster = SomeWord(1, 20);
  m.sender = SomeRecord();
  m.kind = static_cast<MessageKind>(*rc::gen::inRange(0, 7));
  m.seq = *rc::gen::arbitrary<std::uint64_t>();
  m.target = SomeWord(0, 20);
  m.target_address = SomeWord(0, 20);
  std::size_t bound = kMessageHeaderBytes + EncodedSize(m.sender) + m.cluster.size() + m.target.size() +
                      m.target_address.size();
  for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
    Update n;
    n.record = SomeRecord();
    if (*rc::gen::arbitrary<bool>()) {
      n.kind = Update::Kind::kReport;
      n.report.reporter = SomeWord(1, 20);
      n.report.reachable = *rc::gen::arbitrary<bool>();
      n.report.seq = *rc::gen::arbitrary<std::uint64_t>();
      n.age = *rc::gen::inRange<Time>(0, kMaxReportAge);
    } else if (n.record.state == RecordState::kDead) {
      n.record.reporters = {"a", "b"};
    }
    bound += EncodedSize(n);
    m.updates.push_back(n);
  }
  const std::string bytes = Encode(m);
  RC_ASSERT(bytes.size() <= bound);
  const char* why = "";
  const auto read = Decode(bytes, &why);
  RC_ASSERT(read.has_value());
  RC_ASSERT(Same(read->sender, m.sender) && read->kind == m.kind && read->seq == m.seq &&
            read->target == m.target);
  RC_ASSERT(read->updates.size() == m.updates.size());
  for (std::size_t i = 0; i < m.updates.size(); ++i) {
    RC_ASSERT(read->updates[i].kind == m.updates[i].kind &&
              read->updates[i].record.name == m.updates[i].record.name);
    if (m.updates[i].kind == Update::Kind::kRecord)
      RC_ASSERT(Same(read->updates[i].record, m.updates[i].record));
    else
      RC_ASSERT(read->updates[i].age == m.updates[i].age &&
                read->updates[i].report.reachable == m.updates[i].report.reachable);
  }
}

RC_GTEST_PROP(Wire, ATurnedBitIsNeverTakenForAMessage, ()) {
  Message m;
  m.cluster = "c";
  m.sender = SomeRecord();
  std::string bytes = Encode(m);
  const auto bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
  bytes[bit / 8] = static_cast<char>(static_cast<unsigned char>(bytes[bit / 8]) ^ (1U << (bit % 8)));
  const char* why = "";
  RC_ASSERT(!Decode(bytes, &why).has_value());
}

TEST(Wire, WhatIsOutOfRangeIsTurnedDownWhole) {
  const char* why = "";
  Message m;
  m.cluster = "c";
  m.sender.name = "n";
  m.sender.address = "1.2.3.4:5";
  ASSERT_TRUE(Decode(Encode(m), &why).has_value());
  const auto bad = [&](auto change) {
    Message wrong = m;
    change(wrong);
    EXPECT_FALSE(Decode(Encode(wrong), &why).has_value());
    return std::string(why);
  };
  EXPECT_EQ(bad([](Message& w) { w.sender.name = ""; }), "range");
  EXPECT_EQ(bad([](Message& w) { w.sender.name = std::string(65, 'x'); }), "range");
  EXPECT_EQ(bad([](Message& w) { w.sender.name = "a\nevent=member-dead"; }), "range");
  EXPECT_EQ(bad([](Message& w) { w.sender.incarnation = ~std::uint64_t{0}; }), "range");
  EXPECT_EQ(bad([](Message& w) { w.sender.reporters.assign(9, "a"); }), "range");
  EXPECT_EQ(bad([](Message& w) { w.cluster = ""; }), "range");
  EXPECT_EQ(bad([](Message& w) {
              w.updates.resize(kMaxReceivedUpdates + 1, Update{Update::Kind::kRecord, w.sender, {}, 0});
            }),
            "malformed");
  EXPECT_FALSE(Decode("", &why).has_value());
  EXPECT_STREQ(why, "not-ours");
  // One reporter that is sent eight times counts once.
  m.sender.reporters.assign(8, "a");
  EXPECT_EQ(Decode(Encode(m), &why)->sender.reporters.size(), 1U);
}

Update UpdateOn(const std::string& name, std::uint64_t incarnation, const std::string& reporter = "") {
  Update update;
  update.kind = reporter.empty() ? Update::Kind::kRecord : Update::Kind::kReport;
  update.record.name = name;
  update.record.incarnation = incarnation;
  update.report.reporter = reporter;
  return update;
}

// What it sends, one word an update, where `max` fit.
std::vector<std::string> Sent(DisseminationQueue& queue, std::size_t max, Time now = 0, int max_sends = 100) {
  std::vector<std::string> sent;
  queue.Send(now, max_sends, [&](const Update& n) {
    if (sent.size() == max) return false;
    sent.push_back(n.record.name + std::to_string(n.record.incarnation) + n.report.reporter);
    return true;
  });
  return sent;
}

using Words = std::vector<std::string>;

TEST(DisseminationQueue, SendsWhatWasSentLeastAndOfThatTheNewestAndForgetsWhatWasSentEnough) {
  DisseminationQueue queue;
  queue.Enqueue(UpdateOn("a", 1), 0);
  queue.Enqueue(UpdateOn("b", 1), 0);
  queue.Enqueue(UpdateOn("c", 1), 0);
  EXPECT_EQ(Sent(queue, 2), (Words{"c1", "b1"}));
  EXPECT_EQ(Sent(queue, 2), (Words{"a1", "c1"}));
  queue.Enqueue(UpdateOn("a", 2), 0);  // in the place of the older one, sent to nobody yet
  EXPECT_EQ(queue.size(), 3U);
  EXPECT_EQ(Sent(queue, 9), (Words{"a2", "b1", "c1"}));
  EXPECT_EQ(Sent(queue, 1, 0, 2), (Words{"a2"}));  // twice: it goes
  EXPECT_EQ(Sent(queue, 9, 0, 3), (Words{"b1", "c1"}));
  EXPECT_TRUE(queue.empty());
}

TEST(DisseminationQueue, ARecordGoesOutOftenerThanReports) {
  DisseminationQueue queue;
  queue.Enqueue(UpdateOn("a", 1), 0);
  queue.Enqueue(UpdateOn("b", 1, "x"), 0);
  queue.Enqueue(UpdateOn("b", 1, "y"), 0);
  Words sent;
  for (int i = 0; i < 8; ++i) sent.push_back(Sent(queue, 1).front());
  EXPECT_EQ(std::count(sent.begin(), sent.end(), "a1"), 4);
  EXPECT_EQ(std::count(sent.begin(), sent.end(), "b1x"), 2);
  EXPECT_EQ(std::count(sent.begin(), sent.end(), "b1y"), 2);
}

TEST(DisseminationQueue, ARecordRemovesTheReportsThatItMakesVoidAndNoOthers) {
  DisseminationQueue queue;
  for (const char* by : {"x", "y"}) {
    queue.Enqueue(UpdateOn("a", 1, by), 0);
    queue.Enqueue(UpdateOn("a", 2, by), 0);  // in the place of the one before
    queue.Enqueue(UpdateOn("b", 2, by), 0);
  }
  queue.Enqueue(UpdateOn("a", 2), 0);  // of the same incarnation: an accusation of it may be true
  EXPECT_EQ(queue.size(), 5U);
  queue.Enqueue(UpdateOn("a", 3), 0);
  EXPECT_EQ(queue.size(), 3U);
  Update gone = UpdateOn("b", 2);
  gone.record.state = RecordState::kLeft;
  queue.Enqueue(gone, 0);
  EXPECT_EQ(Sent(queue, 9), (Words{"b2", "a3"}));
}

TEST(DisseminationQueue, AReportsAgeGoesByItsOwnTimeAndNotByThePauseOfTheNode) {
  DisseminationQueue queue;
  queue.Enqueue(UpdateOn("a", 1, "x"), 1'000);
  Time age = -1;
  const auto look = [&](Time now) {
    queue.Send(now, 100, [&](const Update& n) {
      age = n.age;
      return true;
    });
    return age;
  };
  EXPECT_EQ(look(5'000), 4'000);
  queue.ShiftTimes(3'000);
  EXPECT_EQ(look(9'000), 5'000);
  EXPECT_EQ(look(0), 0);  // from the future
  EXPECT_EQ(look(10 * kMaxReportAge), kMaxReportAge);
}

TEST(DisseminationQueue, DropsWhatWasSentMostWhereItIsFull) {
  DisseminationQueue queue;
  for (std::size_t i = 0; i < DisseminationQueue::kMaxUpdates; ++i)
    ASSERT_TRUE(queue.Enqueue(UpdateOn("n" + std::to_string(i), 1), 0));
  ASSERT_EQ(Sent(queue, 1).front(), "n511" + std::to_string(1));
  EXPECT_FALSE(queue.Enqueue(UpdateOn("late", 1), 0));
  EXPECT_EQ(queue.size(), DisseminationQueue::kMaxUpdates);
  for (int i = 0; i < 40; ++i) {
    for (const std::string& sent : Sent(queue, DisseminationQueue::kMaxConsidered)) EXPECT_NE(sent, "n5111");
  }
}

TEST(NodeCountPolicy, MoreAtOnceFewerOnlyFromAStableView) {
  NodeCountPolicy p(4, 30'000'000);
  NodeCountFacts f;
  f.live = 1;  // it has just started and knows nobody
  EXPECT_FALSE(p.Update(1'000'000, f).has_value());
  f.live = 6;
  EXPECT_EQ(p.Update(2'000'000, f), 6U);
  f = {3, true, true, false, 0};
  EXPECT_FALSE(p.Update(900'000'000, f).has_value());  // in doubt
  f = {3, true, false, true, 1'000'000'000};
  EXPECT_FALSE(p.Update(1'029'000'000, f).has_value());  // not for long enough
  EXPECT_EQ(p.Update(1'030'000'000, f), 3U);
  EXPECT_FALSE(p.Update(1'031'000'000, f).has_value());
  EXPECT_EQ(p.announced(), 3U);
}

TEST(MembershipSettings, AreOffWhereTheyAreAbsentAndSlipsNamePlaceAndRemedy) {
  EXPECT_FALSE(ReadEdgeSettings("e.toml", "", {}).membership.enabled());
  const std::string good =
      "[membership]\nlisten = \"127.0.0.1:7946\"\nnetworks = [\"127.0.0.0/8\"]\nseeds = "
      "[\"127.0.0.2:7946\"]\n"
      "period = \"500ms\"\nwire = 1\n";
  const MembershipSettings m = ReadEdgeSettings("e.toml", good, {}).membership;
  EXPECT_TRUE(m.enabled());
  EXPECT_EQ(m.probe_interval, 500'000);
  EXPECT_EQ(m.protocol_version, 1U);
  const auto says = [&](const std::string& from, const std::string& to) -> std::string {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    try {
      ReadEdgeSettings("e.toml", text, {});
    } catch (const SettingsError& e) {
      return e.what();
    }
    return "taken";
  };
  EXPECT_NE(says("listen = \"127.0.0.1:7946\"\n", "").find("membership.listen: is missing; give the ip:port"),
            std::string::npos);
  EXPECT_NE(says("127.0.0.1:7946", "0.0.0.0:7946").find("e.toml:1: membership.advertise: is missing"),
            std::string::npos)
      << says("127.0.0.1:7946", "0.0.0.0:7946");
  EXPECT_NE(
      says("[\"127.0.0.0/8\"]", "[]").find("e.toml:3: membership.networks: is missing; name the networks"),
      std::string::npos);
  EXPECT_NE(says("127.0.0.2:7946", "seed-one").find("e.toml:4: membership.seeds: is not an ip:port"),
            std::string::npos);
  EXPECT_NE(says("\"500ms\"", "0.5").find("e.toml:5: membership.period: has no unit"), std::string::npos);
  EXPECT_NE(
      says("wire = 1", "wire = 9").find("e.toml:6: membership.wire: must be a whole number from 1 to 2"),
      std::string::npos);
}

}  // namespace
}  // namespace ryeglade::membership
