#include "codec.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <utility>

namespace ryeglade::policy::wire {
namespace {

constexpr std::size_t kEntryBytes = 22;

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

constexpr Time kMaxDelay = 71LL * 60 * 1'000'000;  // the longest timer

Outcome DecodeOutcome(Reader& in) {
  const std::uint16_t code = in.U16("result");
  if (code > 7) in.Defect("unknown result " + std::to_string(code));
  return static_cast<Outcome>(code);
}

std::vector<double> DecodeLoad(Reader& in) {
  const std::size_t n = in.U8("server-stats count");
  if (n * 4 > in.left()) in.Defect("server-stats count runs past the record");
  std::vector<double> load;
  load.reserve(n);
  for (std::size_t i = 0; i < n; ++i) load.push_back(in.F32("server-stats"));
  return load;
}

EndpointList DecodeList(Reader& in) {
  EndpointList list;
  const std::uint8_t scope = in.U8("scope");
  if (scope > 3) in.Defect("unknown scope " + std::to_string(scope));
  list.scope = static_cast<EndpointListScope>(scope);
  list.version = in.U32("stamp");
  const std::size_t n = in.U32("entries count");
  if (n > in.left() / kEntryBytes) in.Defect("entries count runs past the record");
  list.endpoints.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    Endpoint entry;
    entry.weight = in.F32("nominal");
    entry.kind = in.U16("shape");
    entry.zone = in.U8("site");
    entry.started_at = static_cast<Time>(in.U64("started-at"));
    const std::uint8_t phase = in.U8("phase");
    if (phase > 2) in.Defect("unknown phase " + std::to_string(phase));
    entry.state = static_cast<EndpointState>(phase);
    entry.id = in.U32("engine");
    entry.cell = in.U16("cohort");
    list.endpoints.push_back(entry);
  }
  return list;
}

RequestArrived DecodeArrival(Reader& in) {
  RequestArrived r;
  r.id = in.U64("corr");
  r.session = in.U64("affinity");
  r.prompt_tokens = in.F32("prompt-tokens");
  r.cost_hint = in.U32("predicted");
  r.prefix = in.U64("system-prompt");
  r.max_answer_tokens = in.F32("n-max");
  r.time_budget = in.U32("patience-left");
  r.prefix_tokens = in.F32("n-prefix");
  const std::uint8_t bits = in.U8("opts");
  if ((bits & 1) == 0) r.cost_hint = 0;
  r.client_retry = (bits & 2) != 0;
  r.write = (bits & 4) != 0;
  r.resumed = (bits & 16) != 0;
  r.tenant_index =
      static_cast<int>(std::min<std::uint32_t>(in.U32("realm"), std::numeric_limits<int>::max()));
  r.class_index = in.U8("service");
  return r;
}

AttemptEnded DecodeOutcomeEvent(Reader& in) {
  AttemptEnded e;
  e.id = in.U64("corr");
  e.attempt = in.U16("n");
  e.replica = in.U32("engine");
  e.outcome = DecodeOutcome(in);
  e.elapsed = in.U32("delay-seen");
  e.request_concluded = in.U8("final") != 0;
  e.cached_tokens = in.U32("note");
  e.load_report = DecodeLoad(in);
  return e;
}

// Writes one record: its code, the size of its fields, the fields.
template <class Fields>
void Record(Writer& out, std::uint8_t code, Fields fields) {
  out.U8(code);
  const std::size_t at = out.bytes().size();
  out.U32(0);
  fields();
  out.Patch32(at, out.bytes().size() - at - 4);
}

std::uint64_t Delay(Time t) { return static_cast<std::uint64_t>(std::clamp<Time>(t, 0, kMaxDelay)); }

}  // namespace

void Reader::Defect(const std::string& text) const {
  throw WireError(what_ + ": " + text + " at byte " + std::to_string(at_));
}

std::uint64_t Reader::Unsigned(std::size_t width, const char* field) {
  const std::string_view raw = Bytes(width, field);
  std::uint64_t v = 0;
  for (std::size_t i = 0; i < width; ++i) v |= std::uint64_t{static_cast<unsigned char>(raw[i])} << (8 * i);
  return v;
}

double Reader::F32(const char* field) {
  const double v = std::bit_cast<float>(U32(field));
  if (!std::isfinite(v)) Defect(std::string(field) + " is not a finite number");
  return v;
}

std::string_view Reader::Bytes(std::size_t n, const char* field) {
  if (n > left()) Defect(std::string("truncated in ") + field);
  const std::string_view raw = bytes_.substr(at_, n);
  at_ += n;
  return raw;
}

void Reader::ExpectEnd() const {
  if (left() != 0) Defect(std::to_string(left()) + " bytes too many");
}

void Writer::Unsigned(std::uint64_t v, std::size_t width) {
  for (std::size_t i = 0; i < width; ++i) bytes_.push_back(static_cast<char>((v >> (8 * i)) & 0xff));
}

void Writer::Patch32(std::size_t at, std::uint64_t v) {
  for (std::size_t i = 0; i < 4; ++i) bytes_[at + i] = static_cast<char>((v >> (8 * i)) & 0xff);
}

Event DecodeEvent(std::uint8_t code, std::string_view fields) {
  const auto whole = [fields](const char* name, auto decode) -> Event {
    Reader in(fields, name);
    Event event = decode(in);
    in.ExpectEnd();
    return event;
  };
  switch (code) {
    case 2:
      return whole("abandoned", [](Reader& in) { return ClientDisconnected{in.U64("corr")}; });
    case 3:
      return whole("elapsed", [](Reader& in) { return TimerFired{in.U64("ref")}; });
    case 4:
      return whole("headers", [](Reader& in) {
        ResponseStarted e;
        e.id = in.U64("corr");
        e.attempt = in.U16("n");
        e.replica = in.U32("engine");
        e.elapsed = in.U32("delay-seen");
        return e;
      });
    case 6:
      return whole("probed", [](Reader& in) {
        HealthCheckCompleted e;
        e.replica = in.U32("engine");
        e.outcome = DecodeOutcome(in);
        e.elapsed = in.U32("delay-seen");
        e.load_report = DecodeLoad(in);
        return e;
      });
    case 7:
      return whole("directory_update", DecodeList);
    case 8:
      return whole("job_in", DecodeArrival);
    case 9:
      return whole("answer", DecodeOutcomeEvent);
    default:
      throw WireError("unknown event code " + std::to_string(code));
  }
}

void EncodeSource(std::uint16_t node, Writer& out) {
  Record(out, 8, [&] { out.U16(node); });
}

void EncodeAction(const Action& action, Writer& out) {
  std::visit(Overloaded{
                 [&](const SendAttempt& a) {
                   Record(out, 1, [&] {
                     out.U64(a.id);
                     out.U32(Delay(a.timeout));
                     out.U32(a.replica);
                   });
                 },
                 [&](const CancelAttempt& a) {
                   Record(out, 12, [&] {
                     out.U64(a.id);
                     out.U16(static_cast<std::uint16_t>(a.attempt));
                   });
                 },
                 [&](const RejectRequest& a) {
                   Record(out, 5, [&] {
                     out.U64(a.id);
                     out.U32(Delay(a.retry_after));
                   });
                 },
                 [&](const FailRequest& a) { Record(out, 6, [&] { out.U64(a.id); }); },
                 [&](const MigrateStream& a) { Record(out, 10, [&] { out.U64(a.id); }); },
                 [&](const SetTimer& a) {
                   Record(out, 11, [&] {
                     out.U64(a.token);
                     out.U32(Delay(a.delay));
                   });
                 },
                 [&](const CheckHealth& a) { Record(out, 4, [&] { out.U32(a.replica); }); },
                 [&](const WatchEndpoints& a) { Record(out, 2, [&] { out.U8(a.enabled ? 1 : 0); }); },
                 [&](const PollEndpoints&) { Record(out, 7, [] {}); },
             },
             action);
}

}  // namespace ryeglade::policy::wire
