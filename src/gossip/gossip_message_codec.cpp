#include "gossip/gossip_message_codec.h"

#include <algorithm>
#include <cmath>
#include <msgpack.hpp>

#include "base/untrusted_fields.h"

namespace ryeglade::gossip {
namespace {

constexpr std::uint64_t kForm = 1;
constexpr std::size_t kMostName = 64;
constexpr std::uint64_t kAny = ~std::uint64_t{0};
constexpr double kHundred = 100;
constexpr std::uint64_t kMostStart = 1'000'000'000'000'000;  // ms
// What a peer may make the reader allocate: arrays, maps, texts, binaries, extensions, depth.
const msgpack::unpack_limit kLimits(64, 0, kMostName, 0, 0, 4);

using Bad = BadField;
using Fields = UntrustedFields;
using Packer = msgpack::packer<msgpack::sbuffer>;

std::uint64_t Ms(Time span, Time most) {
  return static_cast<std::uint64_t>(std::clamp<Time>(span, 0, most) / 1000);
}

std::int64_t Hundredths(double x, double least, double most) {
  return std::isfinite(x) ? std::llround(std::clamp(x, least, most) * kHundred) : 0;
}

std::size_t Upto(const Fields& list, std::size_t most) {
  if (list.remaining() > most) throw Bad("range");
  return list.remaining();
}

}  // namespace

double MostRate(std::vector<double> rates) {
  if (rates.size() < 3) return kMostRate;
  const auto middle = rates.begin() + static_cast<std::ptrdiff_t>((rates.size() - 1) / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  // Where most nodes get next to nothing the others may get many times that.
  return std::max(1.0, kMostOfMiddle * *middle);
}

std::string Encode(const Telling& t) {
  const Word& w = t.word;
  msgpack::sbuffer buffer;
  Packer p(buffer);
  p.pack_array(10);
  p.pack(kForm);
  p.pack(t.node);
  p.pack(Ms(t.age, kMostAge));
  p.pack(w.life);
  p.pack(w.number);
  p.pack(static_cast<std::uint64_t>(Hundredths(w.rate, 0, kMostRate)));
  p.pack(w.doubt ? 1U : 0U);
  p.pack(static_cast<std::uint32_t>(std::clamp(w.accused, 0, 0xffff)));
  const std::size_t claims = std::min(w.claims.size(), kMostClaims);
  p.pack_array(static_cast<std::uint32_t>(claims));
  for (std::size_t i = 0; i < claims; ++i) {
    const Claim& c = w.claims[i];
    p.pack_array(9);
    p.pack(c.replica);
    p.pack(Ms(c.started_at, static_cast<Time>(kMostStart) * 1000));
    p.pack(std::clamp(c.failures, 0, 255));
    p.pack(Ms(c.rests, kMostRest));
    p.pack(c.last < 0 || c.last > kMostRest ? 0 : 1 + Ms(c.last, kMostRest));
    p.pack(Hundredths(c.slow, -4, 4));
    p.pack(static_cast<std::uint32_t>(Hundredths(c.slow_n, 0, 255)));
    p.pack(std::clamp(c.out, 0, 255));
    p.pack(Ms(c.waits, kMostRest));
  }
  const std::size_t beginnings = std::min(w.beginnings.size(), kMostBeginnings);
  p.pack_array(static_cast<std::uint32_t>(beginnings));
  for (std::size_t i = 0; i < beginnings; ++i) {
    p.pack_array(2);
    p.pack(w.beginnings[i].beginning);
    p.pack(static_cast<std::uint64_t>(Hundredths(w.beginnings[i].rate, 0, kMostRate)));
  }
  return {buffer.data(), buffer.size()};
}

std::optional<Telling> Decode(std::string_view bytes, const char** why) {
  *why = "malformed";
  if (bytes.size() > kMostWord) return std::nullopt;
  try {
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), [](auto, auto, void*) { return true; }, nullptr, kLimits);
    Fields f(handle.get());
    if (f.Number(kAny) != kForm) throw Bad("form");
    Telling t;
    Word& w = t.word;
    t.node = f.Text(1, kMostName);
    t.age = static_cast<Time>(f.Number(kMostAge / 1000)) * 1000;
    w.life = f.Number(kAny);
    w.number = f.Number(kAny);
    w.rate = static_cast<double>(f.Number(static_cast<std::uint64_t>(kMostRate * kHundred))) / kHundred;
    w.doubt = (f.Number(kAny) & 1U) != 0;
    w.accused = static_cast<int>(f.Number(0xffff));
    Fields claims(f.Next());
    for (std::size_t n = Upto(claims, kMostClaims); n > 0; --n) {
      Fields g(claims.Next());
      Claim c;
      c.replica = static_cast<policy::ReplicaId>(g.Number(0xffffffff));
      c.started_at = static_cast<Time>(g.Number(kMostStart)) * 1000;
      c.failures = static_cast<int>(g.Number(255));
      c.rests = static_cast<Time>(g.Number(kMostRest / 1000)) * 1000;
      const std::uint64_t last = g.Number(1 + kMostRest / 1000);
      c.last = last == 0 ? -1 : static_cast<Time>(last - 1) * 1000;
      c.slow = static_cast<double>(g.Signed(400)) / kHundred;
      c.slow_n = static_cast<double>(g.Number(25'500)) / kHundred;
      c.out = static_cast<int>(g.Number(255));
      c.waits = static_cast<Time>(g.Number(kMostRest / 1000)) * 1000;
      w.claims.push_back(c);
    }
    Fields beginnings(f.Next());
    for (std::size_t n = Upto(beginnings, kMostBeginnings); n > 0; --n) {
      Fields g(beginnings.Next());
      BeginningRate b;
      b.beginning = g.Number(kAny);
      b.rate = static_cast<double>(g.Number(static_cast<std::uint64_t>(kMostRate * kHundred))) / kHundred;
      w.beginnings.push_back(b);
    }
    return t;
  } catch (const Bad& e) {
    const std::string_view what = e.what();
    *why = what == "range" ? "range" : what == "form" ? "form" : "malformed";
  } catch (const std::exception&) {  // the library's own
    *why = "malformed";
  }
  return std::nullopt;
}

}  // namespace ryeglade::gossip
