#include "host.h"

#include <optional>
#include <utility>
#include <vector>

#include "codec.h"
#include "settings.h"

namespace ryeglade::policy::wire {

std::string Host::HandleBatch(std::string_view frame) {
  Reader in(frame, "batch");
  const std::uint32_t size = in.U32("length");
  if (size != frame.size())
    in.Fail("length " + std::to_string(size) + ", but the frame has " + std::to_string(frame.size()));
  const Time now = static_cast<Time>(in.U64("clock"));

  Writer out;
  out.U32(0);  // size of the frame and number of records, overwritten at the end
  out.U32(0);
  std::uint32_t records = 0;
  std::optional<std::uint16_t> node;  // the node to which the following records belong
  bool node_encoded = false;          // whether the reply already names that node
  std::vector<Action> actions;

  while (in.remaining() > 0) {
    const std::uint8_t code = in.U8("record code");
    const std::uint32_t length = in.U32("record length");
    const std::string_view body = in.Bytes(length, "record");
    if (code == event_code::kSelectNode) {
      Reader fields(body, "at");
      node = fields.U16("node-id");
      fields.ExpectEnd();
      node_encoded = false;
      continue;
    }
    if (!node) in.Fail("record with code " + std::to_string(code) + " before any 'at' record");
    if (code == event_code::kStartNode) {
      Reader fields(body, "provision");
      const std::uint64_t seed = fields.U64("seed");
      const std::uint32_t count = fields.U32("settings count");
      const Settings settings = ReadSettings(fields.Bytes(count, "settings"));
      fields.ExpectEnd();
      routers_.insert_or_assign(*node, Router(settings, seed, now));
      continue;
    }
    if (code == event_code::kStopNode) {
      Reader(body, "retire").ExpectEnd();
      routers_.erase(*node);
      continue;
    }
    if (code == event_code::kPeerMessage)
      continue;  // ignored: the Router exchanges no messages with its peers
    const auto router = routers_.find(*node);
    if (router == routers_.end())
      in.Fail("event for node " + std::to_string(*node) + ", which has not been started");
    router->second.Handle(now, DecodeEvent(code, body), actions);
    if (actions.empty()) continue;
    if (!node_encoded) {
      EncodeNode(*node, out);
      ++records;
      node_encoded = true;
    }
    for (const Action& action : actions) EncodeAction(action, out);
    records += static_cast<std::uint32_t>(actions.size());
    actions.clear();
  }
  out.OverwriteU32(0, out.bytes().size());
  out.OverwriteU32(4, records);
  return std::move(out.bytes());
}

}  // namespace ryeglade::policy::wire
