// Reads any bytes as a message of a peer, with a valid checksum, and passes what is decoded to the membership
// model and to the gossip model.
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

// Aborts if a gossip message loses outlier reports when it is encoded and decoded again, or moves a value out
// of its bounds.
void CheckGossip(const ryeglade::gossip::GossipMessage& message) {
  const char* why = "";
  const auto again = ryeglade::gossip::Decode(ryeglade::gossip::Encode(message), &why);
  if (!again || again->report.outlier_reports.size() != message.report.outlier_reports.size()) std::abort();
  constexpr ryeglade::policy::Time kNow = 100'000'000;
  ryeglade::gossip::SharedStateModel model("me", 1, 0, {});
  model.SetMembers(kNow, {{message.node, "z"}, {"other", "y"}}, "z", true, true);
  std::vector<ryeglade::policy::ReplicaView> fleet(8);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].endpoint.id = static_cast<std::uint32_t>(i);
  for (const ryeglade::gossip::OutlierReport& report : message.report.outlier_reports) {
    fleet[0].endpoint.id = report.replica;
    fleet[0].endpoint.started_at = report.started_at;
  }
  model.ObserveReplicas(kNow, fleet, false);
  model.OnMessage(kNow, message);
  for (const auto& event : model.Evaluate(kNow, 3)) {
    if (const auto* reports = std::get_if<ryeglade::policy::PeerReportsReceived>(&event)) {
      for (const ryeglade::policy::PeerReplicaReport& report : reports->replicas) {
        if (!std::isfinite(report.slowness) || report.ejected_until > kNow || report.slowness_samples < 0)
          std::abort();
      }
    }
  }
  if (!(model.share() > 0 && model.share() <= 1)) std::abort();
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
  // A decoded message that is encoded and decoded again has the same sender and as many updates.
  const std::optional<Message> again = Decode(Encode(*m), &why);
  if (!again || again->updates.size() != m->updates.size() || again->sender.name != m->sender.name)
    std::abort();
  // The gossip messages that it carries are checked, and so is the payload itself as a gossip message.
  for (const std::string& gossip_bytes : m->gossip) {
    const std::optional<ryeglade::gossip::GossipMessage> message =
        ryeglade::gossip::Decode(gossip_bytes, &why);
    if (message) CheckGossip(*message);
  }
  if (const auto message = ryeglade::gossip::Decode(payload, &why)) CheckGossip(*message);
  MemberRecord self;
  self.name = "s";
  self.address = "127.0.0.1:1";
  self.incarnation = 5;
  MembershipOptions o;
  o.max_members = 32;
  std::uint64_t draws = 0;
  MembershipModel model(o, self, 0, [&] { return draws += 0x9e3779b97f4a7c15; });
  Actions out;
  ryeglade::policy::Time now = 0;
  for (int i = 0; i < 40; ++i) {
    now += model.tick_interval();
    out.Clear();
    model.Tick(now, out);
    if (i % 8 != 0) continue;
    model.OnMessage(now, m->sender.address, *m, out);
    model.OnPushPull(now, *m, i > 20, out);
    for (const OutgoingMessage& send : out.sends) {
      if (Encode(send.message).size() > 1400) std::abort();
    }
  }
  if (model.known() > o.max_members) std::abort();
  return 0;
}
