#include "membership/message_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <msgpack.hpp>

#include "base/untrusted_fields.h"

namespace ryeglade::membership {
namespace {

constexpr std::string_view kMagic = "RGM\x01";
constexpr std::size_t kChecksumBytes = 8;
constexpr std::uint64_t kAnyNumber = ~std::uint64_t{0};
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;
constexpr std::uint64_t kMaxSchema = 1'000'000;
constexpr std::uint64_t kMaxKind = 1000;  // a message with a higher kind is rejected, not only unknown
// The kinds of updates as they are encoded.
constexpr std::uint32_t kRecordUpdate = 0;
constexpr std::uint32_t kReportUpdate = 1;
constexpr std::uint32_t kGossipPayload = 2;
// Limits on what a peer's message can make the reader allocate: elements of arrays and maps, bytes of
// strings, binaries and extensions, and nesting depth.
const msgpack::unpack_limit kLimits(kMaxReceivedUpdates, 0, 1024, kMaxDatagramBytes, 0, 6);

using Packer = msgpack::packer<msgpack::sbuffer>;

void Pack(Packer& packer, const MemberRecord& record) {
  packer.pack_array(7);
  packer.pack(record.name);
  packer.pack(record.address);
  packer.pack(record.zone);
  packer.pack(record.incarnation);
  packer.pack(record.uid);
  packer.pack(static_cast<std::uint32_t>(record.state));
  packer.pack(record.reporters);
}

void Pack(Packer& packer, const Update& update) {
  if (update.kind == Update::Kind::kRecord) {
    packer.pack_array(2);
    packer.pack(kRecordUpdate);
    Pack(packer, update.record);
    return;
  }
  packer.pack_array(7);
  packer.pack(kReportUpdate);
  packer.pack(update.record.name);
  packer.pack(update.record.incarnation);
  packer.pack(update.report.reporter);
  packer.pack(update.report.reachable);
  packer.pack(update.report.seq);
  packer.pack(static_cast<std::uint64_t>(std::clamp<Time>(update.age, 0, kMaxReportAge)));
}

void PackGossip(Packer& packer, const std::string& payload) {
  packer.pack_array(2);
  packer.pack(kGossipPayload);
  packer.pack_bin(static_cast<std::uint32_t>(payload.size()));
  packer.pack_bin_body(payload.data(), static_cast<std::uint32_t>(payload.size()));
}

std::vector<std::string> ReadReporters(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY) throw BadField("malformed");
  if (object.via.array.size > kMaxRecordReporters) throw BadField("range");
  UntrustedFields names(object);
  std::vector<std::string> reporters;
  for (std::uint32_t i = 0; i < object.via.array.size; ++i) reporters.push_back(names.Text(1, kMaxNameBytes));
  // A name that is repeated counts once.
  std::sort(reporters.begin(), reporters.end());
  reporters.erase(std::unique(reporters.begin(), reporters.end()), reporters.end());
  return reporters;
}

MemberRecord ReadRecord(const msgpack::object& object) {
  UntrustedFields fields(object);
  MemberRecord record;
  record.name = fields.Text(1, kMaxNameBytes);
  record.address = fields.Text(3, kMaxAddressBytes);
  record.zone = fields.Text(0, kMaxZoneBytes);
  record.incarnation = fields.Number(kMaxIncarnation);
  record.uid = fields.Number(kAnyNumber);
  record.state = static_cast<RecordState>(fields.Number(static_cast<std::uint64_t>(RecordState::kCount) - 1));
  record.reporters = ReadReporters(fields.Next());
  return record;
}

Update ReadReport(UntrustedFields& fields) {
  Update update;
  update.kind = Update::Kind::kReport;
  update.record.name = fields.Text(1, kMaxNameBytes);
  update.record.incarnation = fields.Number(kMaxIncarnation);
  update.report.reporter = fields.Text(1, kMaxNameBytes);
  update.report.reachable = fields.Flag();
  update.report.seq = fields.Number(kAnyNumber);
  update.age = static_cast<Time>(fields.Number(kMaxReportAge));
  return update;
}

// Appends an update or a gossip payload to the message. Skips an entry of an unknown kind.
void ReadUpdate(const msgpack::object& object, Message* message) {
  UntrustedFields fields(object);
  switch (fields.Number(kAnyNumber)) {
    case kRecordUpdate: {
      Update update;
      update.record = ReadRecord(fields.Next());
      message->updates.push_back(std::move(update));
      break;
    }
    case kReportUpdate:
      message->updates.push_back(ReadReport(fields));
      break;
    case kGossipPayload:
      if (message->gossip.size() >= kMaxGossipPayloads) throw BadField("range");
      message->gossip.push_back(fields.Bytes());
      break;
    default:
      break;
  }
}

Message ReadMessage(const msgpack::object& object) {
  UntrustedFields fields(object);
  Message message;
  message.schema = static_cast<std::uint32_t>(fields.Number(kMaxSchema));
  message.min_reader_schema = static_cast<std::uint32_t>(fields.Number(kMaxSchema));
  message.cluster = fields.Text(1, kMaxNameBytes);
  message.sender = ReadRecord(fields.Next());
  // An unknown kind becomes kCount: the model then uses the updates of the message only.
  const std::uint64_t kind = fields.Number(kMaxKind);
  message.kind = static_cast<MessageKind>(std::min(kind, static_cast<std::uint64_t>(MessageKind::kCount)));
  message.seq = fields.Number(kAnyNumber);
  message.target = fields.Text(0, kMaxNameBytes);
  message.target_address = fields.Text(0, kMaxAddressBytes);
  const msgpack::object& updates = fields.Next();
  UntrustedFields list(updates);
  for (std::uint32_t i = 0; i < updates.via.array.size; ++i) ReadUpdate(list.Next(), &message);
  return message;
}

std::uint64_t ReadLittleEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < kChecksumBytes; ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  return value;
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(9);
  packer.pack(message.schema);
  packer.pack(message.min_reader_schema);
  packer.pack(message.cluster);
  Pack(packer, message.sender);
  packer.pack(static_cast<std::uint32_t>(message.kind));
  packer.pack(message.seq);
  packer.pack(message.target);
  packer.pack(message.target_address);
  packer.pack_array(static_cast<std::uint32_t>(message.updates.size() + message.gossip.size()));
  for (const Update& update : message.updates) Pack(packer, update);
  for (const std::string& payload : message.gossip) PackGossip(packer, payload);
  std::string out(kMagic);
  const std::uint64_t checksum = XXH3_64bits(buffer.data(), buffer.size());
  for (std::size_t i = 0; i < kChecksumBytes; ++i) out += static_cast<char>(checksum >> (8 * i) & 0xff);
  out.append(buffer.data(), buffer.size());
  return out;
}

std::optional<Message> Decode(std::string_view bytes, const char** why) {
  *why = "not-ours";
  if (bytes.size() < kMagic.size() + kChecksumBytes || !bytes.starts_with(kMagic)) return std::nullopt;
  bytes.remove_prefix(kMagic.size());
  const std::uint64_t checksum = ReadLittleEndian(bytes);
  bytes.remove_prefix(kChecksumBytes);
  *why = "checksum";
  if (XXH3_64bits(bytes.data(), bytes.size()) != checksum) return std::nullopt;
  *why = "malformed";
  try {
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), [](auto, auto, void*) { return true; }, nullptr, kLimits);
    return ReadMessage(handle.get());
  } catch (const BadField& error) {
    *why = std::string_view(error.what()) == "range" ? "range" : "malformed";
  } catch (const std::exception&) {  // thrown by msgpack itself
    *why = "malformed";
  }
  return std::nullopt;
}

}  // namespace ryeglade::membership
