#include "gossip/gossip_message_codec.h"

#include <algorithm>
#include <cmath>
#include <msgpack.hpp>

#include "base/untrusted_fields.h"

namespace ryeglade::gossip {
namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint64_t kAnyNumber = ~std::uint64_t{0};
constexpr double kHundredthsPerUnit = 100;
constexpr std::uint64_t kMaxStartMs = 1'000'000'000'000'000;  // latest start time of a replica
constexpr std::uint64_t kMaxRateHundredths = static_cast<std::uint64_t>(kMaxRate * kHundredthsPerUnit);
// Limits on what a peer's message can make the reader allocate: elements of arrays and maps, bytes of
// strings, binaries and extensions, and nesting depth.
const msgpack::unpack_limit kLimits(64, 0, kMaxNameBytes, 0, 0, 4);

using Packer = msgpack::packer<msgpack::sbuffer>;

std::uint64_t Milliseconds(Time span, Time max) {
  return static_cast<std::uint64_t>(std::clamp<Time>(span, 0, max) / 1000);
}

std::int64_t Hundredths(double value, double min, double max) {
  return std::isfinite(value) ? std::llround(std::clamp(value, min, max) * kHundredthsPerUnit) : 0;
}

void Pack(Packer& packer, const OutlierReport& report) {
  packer.pack_array(9);
  packer.pack(report.replica);
  packer.pack(Milliseconds(report.started_at, static_cast<Time>(kMaxStartMs) * 1000));
  packer.pack(std::clamp(report.consecutive_failures, 0, 255));
  packer.pack(Milliseconds(report.ejected_for, kMaxSpan));
  const Time age = report.last_outcome_age;  // packed as 1 + milliseconds, or as 0 if there is none
  packer.pack(age < 0 || age > kMaxSpan ? 0 : 1 + Milliseconds(age, kMaxSpan));
  packer.pack(Hundredths(report.slowness, -4, 4));
  packer.pack(static_cast<std::uint32_t>(Hundredths(report.slowness_samples, 0, 255)));
  packer.pack(std::clamp(report.in_flight, 0, 255));
  packer.pack(Milliseconds(report.stalled_for, kMaxSpan));
}

void Pack(Packer& packer, const PrefixRate& rate) {
  packer.pack_array(2);
  packer.pack(rate.prefix);
  packer.pack(static_cast<std::uint64_t>(Hundredths(rate.rate, 0, kMaxRate)));
}

// Packs the first `max` items of a list.
template <typename Item>
void PackList(Packer& packer, const std::vector<Item>& items, std::size_t max) {
  const std::size_t count = std::min(items.size(), max);
  packer.pack_array(static_cast<std::uint32_t>(count));
  for (std::size_t i = 0; i < count; ++i) Pack(packer, items[i]);
}

double ReadRate(UntrustedFields& fields) {
  return static_cast<double>(fields.Number(kMaxRateHundredths)) / kHundredthsPerUnit;
}

OutlierReport ReadOutlierReport(const msgpack::object& object) {
  UntrustedFields fields(object);
  OutlierReport report;
  report.replica = static_cast<policy::ReplicaId>(fields.Number(0xffffffff));
  report.started_at = static_cast<Time>(fields.Number(kMaxStartMs)) * 1000;
  report.consecutive_failures = static_cast<int>(fields.Number(255));
  report.ejected_for = static_cast<Time>(fields.Number(kMaxSpan / 1000)) * 1000;
  const std::uint64_t age = fields.Number(1 + kMaxSpan / 1000);  // 1 + milliseconds, or 0 if there is none
  report.last_outcome_age = age == 0 ? -1 : static_cast<Time>(age - 1) * 1000;
  report.slowness = static_cast<double>(fields.Signed(400)) / kHundredthsPerUnit;
  report.slowness_samples = static_cast<double>(fields.Number(25'500)) / kHundredthsPerUnit;
  report.in_flight = static_cast<int>(fields.Number(255));
  report.stalled_for = static_cast<Time>(fields.Number(kMaxSpan / 1000)) * 1000;
  return report;
}

PrefixRate ReadPrefixRate(const msgpack::object& object) {
  UntrustedFields fields(object);
  PrefixRate rate;
  rate.prefix = fields.Number(kAnyNumber);
  rate.rate = ReadRate(fields);
  return rate;
}

// Returns the length of a list. Throws BadField, so that the message is rejected, if it exceeds `max`.
std::size_t CountUpTo(const UntrustedFields& list, std::size_t max) {
  if (list.remaining() > max) throw BadField("range");
  return list.remaining();
}

GossipMessage ReadMessage(const msgpack::object& object) {
  UntrustedFields fields(object);
  if (fields.Number(kAnyNumber) != kFormatVersion) throw BadField("form");
  GossipMessage message;
  NodeReport& report = message.report;
  message.node = fields.Text(1, kMaxNameBytes);
  message.age = static_cast<Time>(fields.Number(kMaxAge / 1000)) * 1000;
  report.incarnation = fields.Number(kAnyNumber);
  report.sequence = fields.Number(kAnyNumber);
  report.rate = ReadRate(fields);
  report.suspects_itself = (fields.Number(kAnyNumber) & 1U) != 0;
  report.failing_replicas = static_cast<int>(fields.Number(0xffff));
  UntrustedFields outliers(fields.Next());
  for (std::size_t n = CountUpTo(outliers, kMaxOutlierReports); n > 0; --n)
    report.outlier_reports.push_back(ReadOutlierReport(outliers.Next()));
  UntrustedFields prefixes(fields.Next());
  for (std::size_t n = CountUpTo(prefixes, kMaxPrefixRates); n > 0; --n)
    report.prefix_rates.push_back(ReadPrefixRate(prefixes.Next()));
  return message;
}

const char* ReasonOf(const BadField& error) {
  const std::string_view what = error.what();
  if (what == "range") return "range";
  if (what == "form") return "form";
  return "malformed";
}

}  // namespace

double MaxCountedRate(std::vector<double> rates) {
  if (rates.size() < 3) return kMaxRate;
  const auto median = rates.begin() + static_cast<std::ptrdiff_t>((rates.size() - 1) / 2);
  std::nth_element(rates.begin(), median, rates.end());
  // At least 1: if most nodes get almost no requests, the others may well get many times the median.
  return std::max(1.0, kMaxTimesMedian * *median);
}

std::string Encode(const GossipMessage& message) {
  const NodeReport& report = message.report;
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(10);
  packer.pack(kFormatVersion);
  packer.pack(message.node);
  packer.pack(Milliseconds(message.age, kMaxAge));
  packer.pack(report.incarnation);
  packer.pack(report.sequence);
  packer.pack(static_cast<std::uint64_t>(Hundredths(report.rate, 0, kMaxRate)));
  packer.pack(report.suspects_itself ? 1U : 0U);
  packer.pack(static_cast<std::uint32_t>(std::clamp(report.failing_replicas, 0, 0xffff)));
  PackList(packer, report.outlier_reports, kMaxOutlierReports);
  PackList(packer, report.prefix_rates, kMaxPrefixRates);
  return {buffer.data(), buffer.size()};
}

std::optional<GossipMessage> Decode(std::string_view bytes, const char** why) {
  *why = "malformed";
  if (bytes.size() > kMaxMessageBytes) return std::nullopt;
  try {
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), [](auto, auto, void*) { return true; }, nullptr, kLimits);
    return ReadMessage(handle.get());
  } catch (const BadField& error) {
    *why = ReasonOf(error);
  } catch (const std::exception&) {  // thrown by msgpack itself
    *why = "malformed";
  }
  return std::nullopt;
}

}  // namespace ryeglade::gossip
