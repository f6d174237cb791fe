// The simulator's wire format: records are read and written byte for byte; malformed input throws WireError.
#include "codec.h"

#include <gtest/gtest.h>

#include <random>

#include "host.h"
#include "settings.h"

namespace ryeglade::policy::wire {
namespace {

// Decodes hexadecimal digits; blanks are ignored.
std::string Bytes(std::string_view hex) {
  std::string bytes;
  std::string digits;
  for (const char c : hex) {
    if (c != ' ' && c != '\n') digits.push_back(c);
  }
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

// Appends a record.
void Append(std::string& frame, std::uint8_t code, const std::string& fields) {
  Writer w;
  w.U8(code);
  w.U32(fields.size());
  frame += w.bytes() + fields;
}

// A batch with its header.
std::string Frame(std::uint64_t clock, const std::string& records) {
  Writer w;
  w.U32(kBatchHeaderBytes + records.size());
  w.U64(clock);
  return w.bytes() + records;
}

constexpr char kSettings[] =
    "balancers=1\nclasses.count=1\nclasses.0.deadline=7500000\nclasses.0.promise=1500000\n"
    "classes.0.effect=guarded\nclasses.0.dedup-scope=cell\nclasses.0.stream=true\nclasses.0.window=5000000\n"
    "family-info.aim-us-per-1000-prompt-tokens=30000.0\nlimits.max-attempts=3\nstats.how=answers\n"
    "stats.fields=util,inflight,x0,brand-new\nmembership-mode=ask\nobligations.cold-from=0.12\n"
    "tenants.count=1\ntenants.0.name=t\ntenants.0.quota-per-s=6.0\na-key-of-tomorrow=whatever\n";

std::string StartNodeFields(std::uint64_t seed, const std::string& settings) {
  Writer w;
  w.U64(seed);
  w.U32(settings.size());
  return w.bytes() + settings;
}

// Records that start node 3.
std::string StartedNode() {
  std::string records;
  Append(records, event_code::kSelectNode, Bytes("0300"));
  Append(records, event_code::kStartNode, StartNodeFields(9, kSettings));
  return records;
}

// These codes are fixed by the documentation of the simulator.
TEST(Decode, EventCodesMatchTheWireFormat) {
  EXPECT_EQ(event_code::kPeerMessage, 1);
  EXPECT_EQ(event_code::kClientDisconnected, 2);
  EXPECT_EQ(event_code::kTimerFired, 3);
  EXPECT_EQ(event_code::kResponseStarted, 4);
  EXPECT_EQ(event_code::kStartNode, 5);
  EXPECT_EQ(event_code::kHealthCheckCompleted, 6);
  EXPECT_EQ(event_code::kEndpointList, 7);
  EXPECT_EQ(event_code::kRequestArrived, 8);
  EXPECT_EQ(event_code::kAttemptEnded, 9);
  EXPECT_EQ(event_code::kStopNode, 10);
  EXPECT_EQ(event_code::kSelectNode, 11);
}

TEST(Decode, ARequestFieldByField) {
  const auto event = DecodeEvent(event_code::kRequestArrived,
                                 Bytes("c4913a5d922a0800 640ad2557c3bf091 0000e144 e02e0000 107cf3d901648e2b "
                                       "00008043 80a90300 00009644 01 00000000 00"));
  const auto& r = std::get<RequestArrived>(event);
  EXPECT_EQ(r.id, 0x00082a925d3a91c4u);
  EXPECT_EQ(r.session, 0x91f03b7c55d20a64u);
  EXPECT_EQ(r.prefix, 0x2b8e6401d9f37c10u);
  EXPECT_DOUBLE_EQ(r.prompt_tokens, 1800);
  EXPECT_DOUBLE_EQ(r.max_answer_tokens, 256);
  EXPECT_DOUBLE_EQ(r.prefix_tokens, 1200);
  EXPECT_EQ(r.cost_hint, 12000);
  EXPECT_EQ(r.time_budget, 240000);
  EXPECT_FALSE(r.client_retry);
}

TEST(Decode, AnEndpointListWithItsEntries) {
  const auto event =
      DecodeEvent(event_code::kEndpointList, Bytes("02 29000000 02000000 "
                                                   "0000803f 0000 00 0000000000000000 01 074a1203 0000 "
                                                   "0000c03f 0100 02 20145d0000000000 02 f211902c 0500"));
  const auto& list = std::get<EndpointList>(event);
  EXPECT_EQ(list.scope, EndpointListScope::kCached);
  ASSERT_EQ(list.endpoints.size(), 2u);
  EXPECT_EQ(list.endpoints[0].id, 0x03124a07u);
  EXPECT_EQ(list.endpoints[1].state, EndpointState::kDraining);
  EXPECT_EQ(list.endpoints[1].kind, 1);
  EXPECT_EQ(list.endpoints[1].zone, 2);
  EXPECT_EQ(list.endpoints[1].cell, 5);
  EXPECT_EQ(list.endpoints[1].started_at, 0x5d1420);
  EXPECT_DOUBLE_EQ(list.endpoints[1].weight, 1.5);
}

TEST(Decode, AnOutcomeWithALoadReport) {
  const auto event =
      DecodeEvent(event_code::kAttemptEnded,
                  Bytes("c4913a5d922a0800 0100 074a1203 0200 44480000 00 07000000 02 0000003f 00004040"));
  const auto& e = std::get<AttemptEnded>(event);
  EXPECT_EQ(e.attempt, 1);
  EXPECT_EQ(e.outcome, Outcome::kAtCapacity);
  EXPECT_FALSE(e.request_concluded);
  EXPECT_DOUBLE_EQ(e.cached_tokens, 7);
  EXPECT_EQ(e.load_report, (std::vector<double>{0.5, 3.0}));
}

TEST(Encode, ActionsByteForByte) {
  Writer out;
  EncodeNode(3, out);
  EncodeAction(SendAttempt{0x00082a925d3a91c4, 0x03124a07, 80000}, out);
  EncodeAction(SetTimer{0x4d, 500000}, out);
  EncodeAction(CancelAttempt{0x00082a925d3a91c4, 0}, out);
  EncodeAction(RejectRequest{0x0007af8e0e6f2b19, 250000}, out);
  EncodeAction(FailRequest{0x0007af8e0e6f2b19}, out);
  EncodeAction(WatchEndpoints{true}, out);
  EncodeAction(PollEndpoints{}, out);
  EncodeAction(CheckHealth{0x2c9011f2}, out);
  EncodeAction(MigrateStream{0x0007af8e0e6f2b19}, out);
  EXPECT_EQ(out.bytes(), Bytes("08 02000000 0300"
                               "01 10000000 c4913a5d922a0800 80380100 074a1203"
                               "0b 0c000000 4d00000000000000 20a10700"
                               "0c 0a000000 c4913a5d922a0800 0000"
                               "05 0c000000 192b6f0e8eaf0700 90d00300"
                               "06 08000000 192b6f0e8eaf0700"
                               "02 01000000 01"
                               "07 00000000"
                               "04 04000000 f211902c"
                               "0a 08000000 192b6f0e8eaf0700"));
}

TEST(ReadSettings, ReadsKnownKeysAndDefaultsTheRest) {
  const Settings s = ReadSettings(kSettings);
  ASSERT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::kIdempotencyKey);
  EXPECT_EQ(s.classes[0].dedup_scope, DedupScope::kCell);
  EXPECT_EQ(s.classes[0].latency_objective, 1500000);
  EXPECT_EQ(s.classes[0].objective_per_1000_tokens, 30000);
  EXPECT_EQ(s.max_attempts, 3);
  EXPECT_TRUE(s.poll_endpoints);
  EXPECT_TRUE(s.load_reports_in_responses);
  ASSERT_EQ(s.load_fields.size(), 4u);
  EXPECT_EQ(s.load_fields[0], LoadField::kUtilization);
  EXPECT_EQ(s.load_fields[3], LoadField::kOther);
  EXPECT_DOUBLE_EQ(s.tenants.at(0).quota_per_second, 6);
  EXPECT_DOUBLE_EQ(s.cross_zone_penalty, 0);  // absent
  EXPECT_FALSE(s.can_check_health);           // absent
}

// Returns the text of the WireError that the settings cause, or an empty string.
std::string ErrorFromSettings(const std::string& settings) {
  try {
    ReadSettings(settings);
  } catch (const WireError& e) {
    return e.what();
  }
  return "";
}

TEST(ReadSettings, ErrorsNameTheMalformedKey) {
  EXPECT_NE(ErrorFromSettings("classes.count=1\nclasses.0.promise=soon").find("classes.0.promise"),
            std::string::npos);
  EXPECT_NE(ErrorFromSettings("classes.count=9999999").find("classes.count"), std::string::npos);
  EXPECT_NE(ErrorFromSettings("classes.count=1\nlimits.cancel=maybe").find("limits.cancel"),
            std::string::npos);
  EXPECT_NE(ErrorFromSettings("balancers=3").find("classes.count"), std::string::npos);
  EXPECT_NE(ErrorFromSettings("classes.count=1\nclasses.0.effect=perhaps").find("classes.0.effect"),
            std::string::npos);
}

TEST(Host, StopsAndRestartsANodeInOneBatch) {
  Host host;
  host.HandleBatch(Frame(1000, StartedNode()));
  std::string records;
  Append(records, event_code::kSelectNode, Bytes("0300"));
  Append(records, event_code::kStopNode, "");
  Append(records, event_code::kStartNode, StartNodeFields(10, kSettings));
  Append(records, event_code::kEndpointList, Bytes("02 29000000 00000000"));
  EXPECT_GE(host.HandleBatch(Frame(2000, records)).size(), 8u);
}

// Returns the text of the WireError that the frame causes, or an empty string.
std::string ErrorFromFrame(const std::string& frame) {
  Host host;
  try {
    host.HandleBatch(frame);
  } catch (const WireError& e) {
    return e.what();
  }
  return "";
}

TEST(Host, ErrorsNameTheDefectAndItsRecord) {
  std::string unknown_code = StartedNode();
  Append(unknown_code, 99, "");
  EXPECT_NE(ErrorFromFrame(Frame(1, unknown_code)).find("unknown event code 99"), std::string::npos);

  std::string truncated = StartedNode();
  Append(truncated, event_code::kClientDisconnected, Bytes("192b"));
  EXPECT_NE(
      ErrorFromFrame(Frame(1, truncated)).find("abandoned: truncated in corr: expected 8 bytes, found 2"),
      std::string::npos);

  std::string large_count = StartedNode();
  Append(large_count, event_code::kEndpointList, Bytes("03 29000000 ffffffff"));
  EXPECT_NE(ErrorFromFrame(Frame(1, large_count))
                .find("entries count 4294967295 runs past the end of the record, which has 0 bytes left"),
            std::string::npos);

  std::string extra_byte = StartedNode();
  Append(extra_byte, event_code::kClientDisconnected, Bytes("192b6f0e8eaf0700 00"));
  EXPECT_NE(ErrorFromFrame(Frame(1, extra_byte))
                .find("abandoned: expected the end of the record, found 1 more bytes"),
            std::string::npos);

  std::string unknown_node;
  Append(unknown_node, event_code::kSelectNode, Bytes("0500"));
  Append(unknown_node, event_code::kClientDisconnected, Bytes("192b6f0e8eaf0700"));
  EXPECT_NE(ErrorFromFrame(Frame(1, unknown_node)).find("node 5"), std::string::npos);

  std::string no_settings;
  Append(no_settings, event_code::kSelectNode, Bytes("0500"));
  Append(no_settings, event_code::kStartNode, Bytes("0100000000000000"));
  EXPECT_NE(ErrorFromFrame(Frame(1, no_settings)).find("provision"), std::string::npos);
}

// A damaged frame yields either a reply or a WireError. The damage is random with a fixed seed.
TEST(Host, SurvivesDamagedFrames) {
  std::mt19937_64 random(20240607);
  std::string good = StartedNode();
  Append(good, event_code::kEndpointList,
         Bytes("02 29000000 01000000 0000803f 0000 00 0000000000000000 01 074a1203 0000"));
  Append(good, event_code::kRequestArrived,
         Bytes("c4913a5d922a0800 640ad2557c3bf091 0000e144 e02e0000 107cf3d901648e2b 00008043 80a90300 "
               "00009644 01 00000000 00"));
  Append(good, event_code::kAttemptEnded,
         Bytes("c4913a5d922a0800 0000 074a1203 0000 44480000 01 00000000 00"));
  int replies = 0, errors = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string frame = Frame(1000, good);
    const int edits = 1 + static_cast<int>(random() % 4);
    for (int e = 0; e < edits; ++e) {
      const std::size_t at = 4 + random() % (frame.size() - 4);
      if (random() % 4 == 0) {
        frame.resize(at);
        break;
      }
      frame[at] = static_cast<char>(random());
    }
    Writer size;
    size.U32(frame.size());
    frame.replace(0, std::min<std::size_t>(4, frame.size()), size.bytes());
    Host host;
    try {
      EXPECT_GE(host.HandleBatch(frame).size(), 8u);
      ++replies;
    } catch (const WireError&) {
      ++errors;
    }
  }
  EXPECT_GT(replies, 100);
  EXPECT_GT(errors, 100);
}

}  // namespace
}  // namespace ryeglade::policy::wire
