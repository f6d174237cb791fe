#include "membership/member_record_model.h"

#include <xxhash.h>

namespace ryeglade::membership {

const char* Name(RecordState state) {
  switch (state) {
    case RecordState::kAlive:
      return "alive";
    case RecordState::kLeaving:
      return "leaving";
    case RecordState::kDead:
      return "dead";
    case RecordState::kLeft:
    case RecordState::kCount:
      break;
  }
  return "left";
}

bool Supersedes(const MemberRecord& a, const MemberRecord& b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// The constants bound the fields of fixed size and the headers of strings and arrays.
std::size_t EncodedSize(const MemberRecord& record) {
  std::size_t bytes = 32 + record.name.size() + record.address.size() + record.zone.size();
  for (const std::string& reporter : record.reporters) bytes += reporter.size() + 2;
  return bytes;
}

std::size_t EncodedSize(const Update& update) {
  if (update.kind == Update::Kind::kRecord) return EncodedSize(update.record) + 4;
  return 40 + update.record.name.size() + update.report.reporter.size();
}

}  // namespace ryeglade::membership
