#include "membership/member_record_model.h"

#include <xxhash.h>

namespace ryeglade::membership {

const char* Name(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kLeaving:
      return "leaving";
    case State::kDead:
      return "dead";
    case State::kLeft:
    case State::kCount:
      break;
  }
  return "left";
}

bool Supersedes(const Record& a, const Record& b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::size_t SizeOf(const Record& record) {
  std::size_t n = 32 + record.name.size() + record.address.size() + record.zone.size();
  for (const std::string& accuser : record.accusers) n += accuser.size() + 2;
  return n;
}

std::size_t SizeOf(const News& news) {
  if (news.kind == News::Kind::kRecord) return SizeOf(news.record) + 4;
  return 40 + news.record.name.size() + news.ballot.by.size();
}

}  // namespace ryeglade::membership
