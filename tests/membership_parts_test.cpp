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

Record SomeRecord() {
  Record r;
  r.name = SomeWord(1, kMostName);
  r.address = SomeWord(3, kMostAddress);
  r.zone = SomeWord(0, kMostZone);
  r.incarnation = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 62);
  r.uid = *rc::gen::arbitrary<std::uint64_t>();
  r.state = static_cast<State>(*rc::gen::inRange(0, 4));
  return r;
}

bool Same(const Record& a, const Record& b) {
  return a.name == b.name && a.address == b.address && a.zone == b.zone && a.incarnation == b.incarnation &&
         a.uid == b.uid && a.state == b.state && a.accusers == b.accusers;
}

RC_GTEST_PROP(Wire, WhatIsWrittenIsReadAndFitsItsBound, ()) {
  Message m;
  m.cluster = SomeWord(1, 20);
  m.from = SomeRecord();
  m.kind = static_cast<Kind>(*rc::gen::inRange(0, 7));
  m.seq = *rc::gen::arbitrary<std::uint64_t>();
  m.target = SomeWord(0, 20);
  m.target_address = SomeWord(0, 20);
  std::size_t bound =
      kMessageHead + SizeOf(m.from) + m.cluster.size() + m.target.size() + m.target_address.size();
  for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
    News n;
    n.record = SomeRecord();
    if (*rc::gen::arbitrary<bool>()) {
      n.kind = News::Kind::kBallot;
      n.ballot.by = SomeWord(1, 20);
      n.ballot.vouch = *rc::gen::arbitrary<bool>();
      n.ballot.seq = *rc::gen::arbitrary<std::uint64_t>();
      n.age = *rc::gen::inRange<Time>(0, kMostAge);
    } else if (n.record.state == State::kDead) {
      n.record.accusers = {"a", "b"};
    }
    bound += SizeOf(n);
    m.news.push_back(n);
  }
  const std::string bytes = Encode(m);
  RC_ASSERT(bytes.size() <= bound);
  const char* why = "";
  const auto read = Decode(bytes, &why);
  RC_ASSERT(read.has_value());
  RC_ASSERT(Same(read->from, m.from) && read->kind == m.kind && read->seq == m.seq &&
            read->target == m.target);
  RC_ASSERT(read->news.size() == m.news.size());
  for (std::size_t i = 0; i < m.news.size(); ++i) {
    RC_ASSERT(read->news[i].kind == m.news[i].kind && read->news[i].record.name == m.news[i].record.name);
    if (m.news[i].kind == News::Kind::kRecord)
      RC_ASSERT(Same(read->news[i].record, m.news[i].record));
    else
      RC_ASSERT(read->news[i].age == m.news[i].age && read->news[i].ballot.vouch == m.news[i].ballot.vouch);
  }
}

RC_GTEST_PROP(Wire, ATurnedBitIsNeverTakenForAMessage, ()) {
  Message m;
  m.cluster = "c";
  m.from = SomeRecord();
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
  m.from.name = "n";
  m.from.address = "1.2.3.4:5";
  ASSERT_TRUE(Decode(Encode(m), &why).has_value());
  const auto bad = [&](auto change) {
    Message wrong = m;
    change(wrong);
    EXPECT_FALSE(Decode(Encode(wrong), &why).has_value());
    return std::string(why);
  };
  EXPECT_EQ(bad([](Message& w) { w.from.name = ""; }), "range");
  EXPECT_EQ(bad([](Message& w) { w.from.name = std::string(65, 'x'); }), "range");
  EXPECT_EQ(bad([](Message& w) { w.from.name = "a\nevent=member-dead"; }), "range");
  EXPECT_EQ(bad([](Message& w) { w.from.incarnation = ~std::uint64_t{0}; }), "range");
  EXPECT_EQ(bad([](Message& w) { w.from.accusers.assign(9, "a"); }), "range");
  EXPECT_EQ(bad([](Message& w) { w.cluster = ""; }), "range");
  EXPECT_EQ(bad([](Message& w) {
              w.news.resize(kMostNewsIn + 1, News{News::Kind::kRecord, w.from, {}, 0});
            }),
            "malformed");
  EXPECT_FALSE(Decode("", &why).has_value());
  EXPECT_STREQ(why, "not-ours");
  // One accuser told eight times counts once.
  m.from.accusers.assign(8, "a");
  EXPECT_EQ(Decode(Encode(m), &why)->from.accusers.size(), 1U);
}

News AboutOf(const std::string& name, std::uint64_t incarnation, const std::string& accuser = "") {
  News news;
  news.kind = accuser.empty() ? News::Kind::kRecord : News::Kind::kBallot;
  news.record.name = name;
  news.record.incarnation = incarnation;
  news.ballot.by = accuser;
  return news;
}

// What it tells, one word a piece, where `most` fit.
std::vector<std::string> Told(NewsQueue& queue, std::size_t most, Time now = 0, int enough = 100) {
  std::vector<std::string> told;
  queue.Tell(now, enough, [&](const News& n) {
    if (told.size() == most) return false;
    told.push_back(n.record.name + std::to_string(n.record.incarnation) + n.ballot.by);
    return true;
  });
  return told;
}

using Words = std::vector<std::string>;

TEST(NewsQueue, TellsWhatWasToldLeastAndOfThatTheNewestAndForgetsWhatWasToldEnough) {
  NewsQueue queue;
  queue.Put(AboutOf("a", 1), 0);
  queue.Put(AboutOf("b", 1), 0);
  queue.Put(AboutOf("c", 1), 0);
  EXPECT_EQ(Told(queue, 2), (Words{"c1", "b1"}));
  EXPECT_EQ(Told(queue, 2), (Words{"a1", "c1"}));
  queue.Put(AboutOf("a", 2), 0);  // in the place of the older one, told to nobody yet
  EXPECT_EQ(queue.size(), 3U);
  EXPECT_EQ(Told(queue, 9), (Words{"a2", "b1", "c1"}));
  EXPECT_EQ(Told(queue, 1, 0, 2), (Words{"a2"}));  // twice: it goes
  EXPECT_EQ(Told(queue, 9, 0, 3), (Words{"b1", "c1"}));
  EXPECT_TRUE(queue.empty());
}

TEST(NewsQueue, ARecordGoesOutOftenerThanBallots) {
  NewsQueue queue;
  queue.Put(AboutOf("a", 1), 0);
  queue.Put(AboutOf("b", 1, "x"), 0);
  queue.Put(AboutOf("b", 1, "y"), 0);
  Words told;
  for (int i = 0; i < 8; ++i) told.push_back(Told(queue, 1).front());
  EXPECT_EQ(std::count(told.begin(), told.end(), "a1"), 4);
  EXPECT_EQ(std::count(told.begin(), told.end(), "b1x"), 2);
  EXPECT_EQ(std::count(told.begin(), told.end(), "b1y"), 2);
}

TEST(NewsQueue, ARecordTakesAwayTheBallotsThatItMakesVoidAndNoOthers) {
  NewsQueue queue;
  for (const char* by : {"x", "y"}) {
    queue.Put(AboutOf("a", 1, by), 0);
    queue.Put(AboutOf("a", 2, by), 0);  // in the place of the one before
    queue.Put(AboutOf("b", 2, by), 0);
  }
  queue.Put(AboutOf("a", 2), 0);  // of the same incarnation: an accusation of it may be true
  EXPECT_EQ(queue.size(), 5U);
  queue.Put(AboutOf("a", 3), 0);
  EXPECT_EQ(queue.size(), 3U);
  News gone = AboutOf("b", 2);
  gone.record.state = State::kLeft;
  queue.Put(gone, 0);
  EXPECT_EQ(Told(queue, 9), (Words{"b2", "a3"}));
}

TEST(NewsQueue, ABallotsAgeGoesByItsOwnTimeAndNotByThePauseOfTheNode) {
  NewsQueue queue;
  queue.Put(AboutOf("a", 1, "x"), 1'000);
  Time age = -1;
  const auto look = [&](Time now) {
    queue.Tell(now, 100, [&](const News& n) {
      age = n.age;
      return true;
    });
    return age;
  };
  EXPECT_EQ(look(5'000), 4'000);
  queue.Shift(3'000);
  EXPECT_EQ(look(9'000), 5'000);
  EXPECT_EQ(look(0), 0);  // from the future
  EXPECT_EQ(look(10 * kMostAge), kMostAge);
}

TEST(NewsQueue, MakesRoomByWhatWasToldMost) {
  NewsQueue queue;
  for (std::size_t i = 0; i < NewsQueue::kMost; ++i)
    ASSERT_TRUE(queue.Put(AboutOf("n" + std::to_string(i), 1), 0));
  ASSERT_EQ(Told(queue, 1).front(), "n511" + std::to_string(1));
  EXPECT_FALSE(queue.Put(AboutOf("late", 1), 0));
  EXPECT_EQ(queue.size(), NewsQueue::kMost);
  for (int i = 0; i < 40; ++i) {
    for (const std::string& told : Told(queue, NewsQueue::kAtATime)) EXPECT_NE(told, "n5111");
  }
}

TEST(TierPolicy, MoreAtOnceFewerOnlyFromASettledView) {
  TierPolicy p(4, 30'000'000);
  TierFacts f;
  f.live = 1;  // it has just started and knows nobody
  EXPECT_FALSE(p.Look(1'000'000, f).has_value());
  f.live = 6;
  EXPECT_EQ(p.Look(2'000'000, f), 6U);
  f = {3, true, true, false, 0};
  EXPECT_FALSE(p.Look(900'000'000, f).has_value());  // in doubt
  f = {3, true, false, true, 1'000'000'000};
  EXPECT_FALSE(p.Look(1'029'000'000, f).has_value());  // not for long enough
  EXPECT_EQ(p.Look(1'030'000'000, f), 3U);
  EXPECT_FALSE(p.Look(1'031'000'000, f).has_value());
  EXPECT_EQ(p.told(), 3U);
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
