// What peers may send a node: bytes with a right checksum, read as a message and handed to the membership
// part.
#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "gossip/shared_state_model.h"
#include "membership/membership_model.h"
#include "membership/message_codec.h"

using namespace ryeglade::membership;

namespace {

// A word from anywhere moves nothing out of bounds.
void Hear(const ryeglade::gossip::Telling& t) {
  const char* why = "";
  const auto again = ryeglade::gossip::Decode(ryeglade::gossip::Encode(t), &why);
  if (!again || again->word.claims.size() != t.word.claims.size()) std::abort();
  constexpr ryeglade::policy::Time kNow = 100'000'000;
  ryeglade::gossip::TierModel model("me", 1, 0, {});
  model.View(kNow, {{t.node, "z"}, {"other", "y"}}, "z", true, true);
  std::vector<ryeglade::policy::ReplicaView> fleet(8);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].entry.id = static_cast<std::uint32_t>(i);
  for (const ryeglade::gossip::Claim& c : t.word.claims) {
    fleet[0].entry.id = c.replica;
    fleet[0].entry.started_at = c.started_at;
  }
  model.See(kNow, fleet, false);
  model.Learn(kNow, t);
  for (const auto& event : model.Turn(kNow, 3)) {
    if (const auto* e = std::get_if<ryeglade::policy::PeerReportsReceived>(&event)) {
      for (const auto& told : e->replicas) {
        if (!std::isfinite(told.slow) || told.rests_until > kNow || told.slow_n < 0) std::abort();
      }
    }
  }
  if (!(model.part() > 0 && model.part() <= 1)) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view payload(reinterpret_cast<const char*>(data), size);
  const char* why = "";
  Decode(payload, &why);
  std::string bytes = "RGM\x01";
  const std::uint64_t sum = XXH3_64bits(payload.data(), payload.size());
  for (int i = 0; i < 8; ++i) bytes += static_cast<char>(sum >> (8 * i) & 0xff);
  bytes += payload;
  const std::optional<Message> m = Decode(bytes, &why);
  if (!m) return 0;
  // What was read is written and read again as the same.
  const std::optional<Message> again = Decode(Encode(*m), &why);
  if (!again || again->news.size() != m->news.size() || again->from.name != m->from.name) std::abort();
  // What rode along: read, and told to what the nodes do with it.
  for (const std::string& bytes_of_word : m->words) {
    const std::optional<ryeglade::gossip::Telling> t = ryeglade::gossip::Decode(bytes_of_word, &why);
    if (t) Hear(*t);
  }
  if (const auto t = ryeglade::gossip::Decode(payload, &why)) Hear(*t);
  Record self;
  self.name = "s";
  self.address = "127.0.0.1:1";
  self.incarnation = 5;
  Options o;
  o.most_members = 32;
  std::uint64_t draws = 0;
  Model model(o, self, 0, [&] { return draws += 0x9e3779b97f4a7c15; });
  Actions out;
  ryeglade::policy::Time now = 0;
  for (int i = 0; i < 40; ++i) {
    now += model.step();
    out.Clear();
    model.Tick(now, out);
    if (i % 8 != 0) continue;
    model.Receive(now, m->from.address, *m, out);
    model.OnState(now, *m, i > 20, out);
    for (const Send& send : out.sends) {
      if (Encode(send.message).size() > 1400) std::abort();
    }
  }
  if (model.known() > o.most_members) std::abort();
  return 0;
}
