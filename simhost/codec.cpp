#include "codec.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <utility>

namespace ryeglade::policy::wire {
namespace {

// Codes of the records that are sent, with their names in the wire format as comments.
namespace action_code {
constexpr std::uint8_t kSendAttempt = 1;     // attempt
constexpr std::uint8_t kWatchEndpoints = 2;  // watch
constexpr std::uint8_t kCheckHealth = 4;     // poll
constexpr std::uint8_t kRejectRequest = 5;   // turn_away
constexpr std::uint8_t kFailRequest = 6;     // fail
constexpr std::uint8_t kPollEndpoints = 7;   // snapshot
constexpr std::uint8_t kNode = 8;            // source
constexpr std::uint8_t kMigrateStream = 10;  // move
constexpr std::uint8_t kSetTimer = 11;       // sleep
constexpr std::uint8_t kCancelAttempt = 12;  // undo_send
}  // namespace action_code

// Bits of the field `opts` of a request record.
constexpr std::uint8_t kHasCostHint = 1;
constexpr std::uint8_t kClientRetry = 2;
constexpr std::uint8_t kWrite = 4;
constexpr std::uint8_t kResumed = 16;

constexpr std::size_t kEndpointBytes = 22;  // size of one entry of an endpoint list
// The highest codes of the enumerations, whose values are the same on the wire as in ryeglade::policy.
constexpr std::uint16_t kLastOutcome = 7;
constexpr std::uint8_t kLastScope = 3;
constexpr std::uint8_t kLastState = 2;

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

// The longest delay that is sent: 71 minutes, which fits the 32-bit microseconds of the wire format.
constexpr Time kMaxDelay = 71LL * 60 * 1'000'000;

Outcome DecodeOutcome(Reader& in) {
  const std::uint16_t code = in.U16("result");
  if (code > kLastOutcome) {
    in.Fail("unknown result " + std::to_string(code) + ", expected at most " + std::to_string(kLastOutcome));
  }
  return static_cast<Outcome>(code);
}

std::vector<double> DecodeLoadReport(Reader& in) {
  const std::size_t count = in.U8("server-stats count");
  if (count * sizeof(float) > in.remaining()) {
    in.Fail("server-stats count " + std::to_string(count) + " runs past the end of the record, which has " +
            std::to_string(in.remaining()) + " bytes left");
  }
  std::vector<double> load;
  load.reserve(count);
  for (std::size_t i = 0; i < count; ++i) load.push_back(in.F32("server-stats"));
  return load;
}

EndpointList DecodeEndpointList(Reader& in) {
  EndpointList list;
  const std::uint8_t scope = in.U8("scope");
  if (scope > kLastScope) {
    in.Fail("unknown scope " + std::to_string(scope) + ", expected at most " + std::to_string(kLastScope));
  }
  list.scope = static_cast<EndpointListScope>(scope);
  list.version = in.U32("stamp");
  const std::size_t count = in.U32("entries count");
  if (count > in.remaining() / kEndpointBytes) {
    in.Fail("entries count " + std::to_string(count) + " runs past the end of the record, which has " +
            std::to_string(in.remaining()) + " bytes left");
  }
  list.endpoints.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    Endpoint endpoint;
    endpoint.weight = in.F32("nominal");
    endpoint.kind = in.U16("shape");
    endpoint.zone = in.U8("site");
    endpoint.started_at = static_cast<Time>(in.U64("started-at"));
    const std::uint8_t state = in.U8("phase");
    if (state > kLastState) {
      in.Fail("unknown phase " + std::to_string(state) + ", expected at most " + std::to_string(kLastState));
    }
    endpoint.state = static_cast<EndpointState>(state);
    endpoint.id = in.U32("engine");
    endpoint.cell = in.U16("cohort");
    list.endpoints.push_back(endpoint);
  }
  return list;
}

RequestArrived DecodeRequestArrived(Reader& in) {
  RequestArrived request;
  request.id = in.U64("corr");
  request.session = in.U64("affinity");
  request.prompt_tokens = in.F32("prompt-tokens");
  request.cost_hint = in.U32("predicted");
  request.prefix = in.U64("system-prompt");
  request.max_answer_tokens = in.F32("n-max");
  request.time_budget = in.U32("patience-left");
  request.prefix_tokens = in.F32("n-prefix");
  const std::uint8_t bits = in.U8("opts");
  if ((bits & kHasCostHint) == 0) request.cost_hint = 0;
  request.client_retry = (bits & kClientRetry) != 0;
  request.write = (bits & kWrite) != 0;
  request.resumed = (bits & kResumed) != 0;
  request.tenant_index =
      static_cast<int>(std::min<std::uint32_t>(in.U32("realm"), std::numeric_limits<int>::max()));
  request.class_index = in.U8("service");
  return request;
}

AttemptEnded DecodeAttemptEnded(Reader& in) {
  AttemptEnded ended;
  ended.id = in.U64("corr");
  ended.attempt = in.U16("n");
  ended.replica = in.U32("engine");
  ended.outcome = DecodeOutcome(in);
  ended.elapsed = in.U32("delay-seen");
  ended.request_concluded = in.U8("final") != 0;
  ended.cached_tokens = in.U32("note");
  ended.load_report = DecodeLoadReport(in);
  return ended;
}

// Writes one record: its code, the size of its fields in bytes, and the fields, which `fields` writes.
template <class Fields>
void EncodeRecord(Writer& out, std::uint8_t code, Fields fields) {
  out.U8(code);
  const std::size_t length_offset = out.bytes().size();
  out.U32(0);
  fields();
  out.OverwriteU32(length_offset, out.bytes().size() - length_offset - 4);
}

std::uint64_t EncodableDelay(Time t) { return static_cast<std::uint64_t>(std::clamp<Time>(t, 0, kMaxDelay)); }

}  // namespace

void Reader::Fail(const std::string& text) const {
  throw WireError(what_ + ": " + text + " at byte " + std::to_string(offset_));
}

std::uint64_t Reader::Unsigned(std::size_t width, const char* field) {
  const std::string_view raw = Bytes(width, field);
  std::uint64_t v = 0;
  for (std::size_t i = 0; i < width; ++i) v |= std::uint64_t{static_cast<unsigned char>(raw[i])} << (8 * i);
  return v;
}

double Reader::F32(const char* field) {
  const double v = std::bit_cast<float>(U32(field));
  if (!std::isfinite(v)) Fail(std::string(field) + " is not a finite number");
  return v;
}

std::string_view Reader::Bytes(std::size_t count, const char* field) {
  if (count > remaining()) {
    Fail(std::string("truncated in ") + field + ": expected " + std::to_string(count) + " bytes, found " +
         std::to_string(remaining()));
  }
  const std::string_view raw = bytes_.substr(offset_, count);
  offset_ += count;
  return raw;
}

void Reader::ExpectEnd() const {
  if (remaining() != 0)
    Fail("expected the end of the record, found " + std::to_string(remaining()) + " more bytes");
}

void Writer::Unsigned(std::uint64_t v, std::size_t width) {
  for (std::size_t i = 0; i < width; ++i) bytes_.push_back(static_cast<char>((v >> (8 * i)) & 0xff));
}

void Writer::OverwriteU32(std::size_t offset, std::uint64_t v) {
  for (std::size_t i = 0; i < 4; ++i) bytes_[offset + i] = static_cast<char>((v >> (8 * i)) & 0xff);
}

Event DecodeEvent(std::uint8_t code, std::string_view fields) {
  const auto decode_all = [fields](const char* name, auto decode) -> Event {
    Reader in(fields, name);
    Event event = decode(in);
    in.ExpectEnd();
    return event;
  };
  switch (code) {
    case event_code::kClientDisconnected:
      return decode_all("abandoned", [](Reader& in) { return ClientDisconnected{in.U64("corr")}; });
    case event_code::kTimerFired:
      return decode_all("elapsed", [](Reader& in) { return TimerFired{in.U64("ref")}; });
    case event_code::kResponseStarted:
      return decode_all("headers", [](Reader& in) {
        ResponseStarted e;
        e.id = in.U64("corr");
        e.attempt = in.U16("n");
        e.replica = in.U32("engine");
        e.elapsed = in.U32("delay-seen");
        return e;
      });
    case event_code::kHealthCheckCompleted:
      return decode_all("probed", [](Reader& in) {
        HealthCheckCompleted e;
        e.replica = in.U32("engine");
        e.outcome = DecodeOutcome(in);
        e.elapsed = in.U32("delay-seen");
        e.load_report = DecodeLoadReport(in);
        return e;
      });
    case event_code::kEndpointList:
      return decode_all("directory_update", DecodeEndpointList);
    case event_code::kRequestArrived:
      return decode_all("job_in", DecodeRequestArrived);
    case event_code::kAttemptEnded:
      return decode_all("answer", DecodeAttemptEnded);
    default:
      throw WireError("unknown event code " + std::to_string(code));
  }
}

void EncodeNode(std::uint16_t node, Writer& out) {
  EncodeRecord(out, action_code::kNode, [&] { out.U16(node); });
}

void EncodeAction(const Action& action, Writer& out) {
  std::visit(
      Overloaded{
          [&](const SendAttempt& a) {
            EncodeRecord(out, action_code::kSendAttempt, [&] {
              out.U64(a.id);
              out.U32(EncodableDelay(a.timeout));
              out.U32(a.replica);
            });
          },
          [&](const CancelAttempt& a) {
            EncodeRecord(out, action_code::kCancelAttempt, [&] {
              out.U64(a.id);
              out.U16(static_cast<std::uint16_t>(a.attempt));
            });
          },
          [&](const RejectRequest& a) {
            EncodeRecord(out, action_code::kRejectRequest, [&] {
              out.U64(a.id);
              out.U32(EncodableDelay(a.retry_after));
            });
          },
          [&](const FailRequest& a) { EncodeRecord(out, action_code::kFailRequest, [&] { out.U64(a.id); }); },
          [&](const MigrateStream& a) {
            EncodeRecord(out, action_code::kMigrateStream, [&] { out.U64(a.id); });
          },
          [&](const SetTimer& a) {
            EncodeRecord(out, action_code::kSetTimer, [&] {
              out.U64(a.token);
              out.U32(EncodableDelay(a.delay));
            });
          },
          [&](const CheckHealth& a) {
            EncodeRecord(out, action_code::kCheckHealth, [&] { out.U32(a.replica); });
          },
          [&](const WatchEndpoints& a) {
            EncodeRecord(out, action_code::kWatchEndpoints, [&] { out.U8(a.enabled ? 1 : 0); });
          },
          [&](const PollEndpoints&) { EncodeRecord(out, action_code::kPollEndpoints, [] {}); },
      },
      action);
}

}  // namespace ryeglade::policy::wire
