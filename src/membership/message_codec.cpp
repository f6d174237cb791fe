#include "membership/message_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <msgpack.hpp>

#include "base/untrusted_fields.h"

namespace ryeglade::membership {
namespace {

constexpr std::string_view kMark = "RGM\x01";
constexpr std::size_t kHead = 4 + 8;
constexpr std::uint32_t kWord = 2;  // of the kinds of news
constexpr std::uint64_t kMostIncarnation = std::uint64_t{1} << 62;
// What a peer may make the reader allocate: arrays, maps, texts, binaries, extensions, depth.
const msgpack::unpack_limit kLimits(kMostNewsIn, 0, 1024, kMostDatagram, 0, 6);

using Bad = BadField;
using Fields = UntrustedFields;
using Packer = msgpack::packer<msgpack::sbuffer>;

void Pack(Packer& p, const Record& r) {
  p.pack_array(7);
  p.pack(r.name);
  p.pack(r.address);
  p.pack(r.zone);
  p.pack(r.incarnation);
  p.pack(r.uid);
  p.pack(static_cast<std::uint32_t>(r.state));
  p.pack(r.accusers);
}

void Pack(Packer& p, const News& n) {
  if (n.kind == News::Kind::kRecord) {
    p.pack_array(2);
    p.pack(0U);
    Pack(p, n.record);
    return;
  }
  p.pack_array(7);
  p.pack(1U);
  p.pack(n.record.name);
  p.pack(n.record.incarnation);
  p.pack(n.ballot.by);
  p.pack(n.ballot.vouch);
  p.pack(n.ballot.seq);
  p.pack(static_cast<std::uint64_t>(std::clamp<Time>(n.age, 0, kMostAge)));
}

Record ReadRecord(const msgpack::object& o) {
  Fields f(o);
  Record r;
  r.name = f.Text(1, kMostName);
  r.address = f.Text(3, kMostAddress);
  r.zone = f.Text(0, kMostZone);
  r.incarnation = f.Number(kMostIncarnation);
  r.uid = f.Number(~std::uint64_t{0});
  r.state = static_cast<State>(f.Number(static_cast<std::uint64_t>(State::kCount) - 1));
  const msgpack::object& accusers = f.Next();
  if (accusers.type != msgpack::type::ARRAY) throw Bad("malformed");
  if (accusers.via.array.size > kMostAccusers) throw Bad("range");
  Fields names(accusers);
  for (std::uint32_t i = 0; i < accusers.via.array.size; ++i) r.accusers.push_back(names.Text(1, kMostName));
  // Each counts once.
  std::sort(r.accusers.begin(), r.accusers.end());
  r.accusers.erase(std::unique(r.accusers.begin(), r.accusers.end()), r.accusers.end());
  return r;
}

std::optional<News> ReadNews(const msgpack::object& o, std::vector<std::string>* words) {
  Fields f(o);
  const std::uint64_t kind = f.Number(~std::uint64_t{0});
  if (kind == kWord) {
    if (words->size() >= kMostWords) throw Bad("range");
    words->push_back(f.Bytes());
    return std::nullopt;
  }
  News n;
  if (kind == 0) {
    n.record = ReadRecord(f.Next());
    return n;
  }
  if (kind != 1) return std::nullopt;
  n.kind = News::Kind::kBallot;
  n.record.name = f.Text(1, kMostName);
  n.record.incarnation = f.Number(kMostIncarnation);
  n.ballot.by = f.Text(1, kMostName);
  n.ballot.vouch = f.Flag();
  n.ballot.seq = f.Number(~std::uint64_t{0});
  n.age = static_cast<Time>(f.Number(kMostAge));
  return n;
}

}  // namespace

std::string Encode(const Message& m) {
  msgpack::sbuffer buffer;
  Packer p(buffer);
  p.pack_array(9);
  p.pack(m.schema);
  p.pack(m.needs);
  p.pack(m.cluster);
  Pack(p, m.from);
  p.pack(static_cast<std::uint32_t>(m.kind));
  p.pack(m.seq);
  p.pack(m.target);
  p.pack(m.target_address);
  p.pack_array(static_cast<std::uint32_t>(m.news.size() + m.words.size()));
  for (const News& n : m.news) Pack(p, n);
  for (const std::string& word : m.words) {
    p.pack_array(2);
    p.pack(kWord);
    p.pack_bin(static_cast<std::uint32_t>(word.size()));
    p.pack_bin_body(word.data(), static_cast<std::uint32_t>(word.size()));
  }
  std::string out(kMark);
  const std::uint64_t sum = XXH3_64bits(buffer.data(), buffer.size());
  for (int i = 0; i < 8; ++i) out += static_cast<char>(sum >> (8 * i) & 0xff);
  out.append(buffer.data(), buffer.size());
  return out;
}

std::optional<Message> Decode(std::string_view bytes, const char** why) {
  *why = "not-ours";
  if (bytes.size() < kHead || bytes.substr(0, kMark.size()) != kMark) return std::nullopt;
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < 8; ++i)
    sum |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[kMark.size() + i])) << (8 * i);
  bytes.remove_prefix(kHead);
  *why = "checksum";
  if (XXH3_64bits(bytes.data(), bytes.size()) != sum) return std::nullopt;
  *why = "malformed";
  try {
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), [](auto, auto, void*) { return true; }, nullptr, kLimits);
    Fields f(handle.get());
    Message m;
    m.schema = static_cast<std::uint32_t>(f.Number(1'000'000));
    m.needs = static_cast<std::uint32_t>(f.Number(1'000'000));
    m.cluster = f.Text(1, kMostName);
    m.from = ReadRecord(f.Next());
    const std::uint64_t kind = f.Number(1000);
    m.kind =
        static_cast<Kind>(std::min(kind, static_cast<std::uint64_t>(Kind::kCount)));  // unknown: only news
    m.seq = f.Number(~std::uint64_t{0});
    m.target = f.Text(0, kMostName);
    m.target_address = f.Text(0, kMostAddress);
    const msgpack::object& news = f.Next();
    Fields list(news);
    for (std::uint32_t i = 0; i < news.via.array.size; ++i) {
      if (std::optional<News> n = ReadNews(list.Next(), &m.words)) m.news.push_back(std::move(*n));
    }
    return m;
  } catch (const Bad& e) {
    *why = std::string_view(e.what()) == "range" ? "range" : "malformed";
  } catch (const std::exception&) {  // the library's own
    *why = "malformed";
  }
  return std::nullopt;
}

}  // namespace ryeglade::membership
