#include "hot_restart/handover_state_codec.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

#include "core/learned_state_codec.h"

namespace ryeglade::hot_restart {
namespace {

using nlohmann::json;

// First word of the header line of each stored form.
constexpr std::string_view kStateMagic = "ryeglade-state";
constexpr std::string_view kInFlightMagic = "ryeglade-out";
constexpr std::string_view kListMagic = "ryeglade-list";

constexpr std::size_t kMaxHeaderBytes = 100;
constexpr std::size_t kMaxReplicas = 100'000;
constexpr int kMaxInFlightPerReplica = 1'000'000;

// The PID in the header is the recipient's in a state and the sender's in in-flight counts.
// IsForAnotherProcess compares this whole text, so it holds no PID.
constexpr const char* kForAnotherProcess =
    "the PID in the header line is not that of the recipient (state) or sender (in-flight counts)";

std::string Checksum(const std::string& body) {
  return fmt::format("{:016x}", XXH3_64bits(body.data(), body.size()));
}

// Returns "MAGIC MAJOR PID CHECKSUM\n" followed by the body.
std::string AddHeader(std::string_view magic, std::int64_t pid, const std::string& body) {
  return fmt::format("{} {} {} {}\n", magic, kHandoverFormatMajor, pid, Checksum(body)) + body;
}

std::vector<std::string_view> SplitAtSpaces(std::string_view text) {
  std::vector<std::string_view> fields;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(' '), text.size());
    fields.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return fields;
}

// Returns the body. Throws std::runtime_error if the header line does not have this magic word and PID, the
// major version that this program reads, and the checksum of the body.
std::string CheckAndRemoveHeader(std::string_view magic, const std::string& text, std::int64_t pid) {
  const std::size_t end = text.find('\n');
  if (end > kMaxHeaderBytes)
    throw std::runtime_error(
        fmt::format("truncated: no header line within the first {} bytes", kMaxHeaderBytes));
  const std::vector<std::string_view> fields = SplitAtSpaces(std::string_view(text.data(), end));
  if (fields.size() < 4 || fields[0] != magic)
    throw std::runtime_error(fmt::format("the header line is not \"{} MAJOR PID CHECKSUM\"", magic));
  if (fields[1] != std::to_string(kHandoverFormatMajor))
    throw std::runtime_error(
        fmt::format("the file has major version {} of the format; this program reads version {}", fields[1],
                    kHandoverFormatMajor));
  if (fields[2] != std::to_string(pid)) throw std::runtime_error(kForAnotherProcess);
  std::string body = text.substr(end + 1);
  if (fields[3] != Checksum(body)) throw std::runtime_error("truncated or corrupted: checksum mismatch");
  return body;
}

}  // namespace

std::string EncodeHandoverState(const HandoverState& state, std::int64_t recipient) {
  const std::string learned = EncodeLearnedState(state.learned);
  const json j = {{"node", state.node},
                  {"program", state.program},
                  {"discovery", state.discovery},
                  {"roster", state.roster},
                  {"classes", state.classes},
                  {"call_ids", state.call_ids},
                  {"learned", json::binary({learned.begin(), learned.end()})}};
  const std::vector<std::uint8_t> bytes = json::to_msgpack(j);
  return AddHeader(kStateMagic, recipient, {bytes.begin(), bytes.end()});
}

std::optional<HandoverState> DecodeHandoverState(const std::string& text, std::int64_t recipient,
                                                 const std::string& node, std::string* why) {
  try {
    const json j = json::from_msgpack(CheckAndRemoveHeader(kStateMagic, text, recipient));
    HandoverState state;
    state.node = j.at("node").get<std::string>();
    if (state.node != node)
      throw std::runtime_error(
          fmt::format("the state belongs to node \"{}\"; this process runs node \"{}\"", state.node, node));
    state.program = j.value("program", "");
    state.discovery = j.value("discovery", "");
    state.roster = j.value("roster", "");
    state.classes = j.at("classes").get<std::vector<std::string>>();
    state.call_ids = j.value("call_ids", std::vector<std::string>());
    const auto& binary = j.at("learned").get_binary();
    auto learned = DecodeLearnedState({binary.begin(), binary.end()}, why);
    if (!learned) return std::nullopt;
    state.learned = std::move(*learned);
    return state;
  } catch (const std::exception& e) {
    *why = e.what();
    return std::nullopt;
  }
}

bool IsForAnotherProcess(const std::string& why) { return why == kForAnotherProcess; }

void DropMismatchedClasses(const std::vector<std::string>& classes, HandoverState* state) {
  if (state->classes == classes) return;
  policy::LearnedState& learned = state->learned;
  learned.pace_by_class.clear();
  learned.runtime_per_hint.clear();
  learned.bucket_error.clear();
  learned.hint_error.clear();
  learned.runtime_by_bucket.clear();
  learned.first_token_by_bucket.clear();
}

std::string EncodeSiblingList(const std::string& list, std::int64_t sender) {
  return AddHeader(kListMagic, sender, list);
}

std::optional<std::string> DecodeSiblingList(const std::string& text, std::int64_t sender) {
  try {
    return CheckAndRemoveHeader(kListMagic, text, sender);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeInFlight(const InFlightCounts& counts, std::int64_t sender) {
  const std::vector<std::uint8_t> bytes = json::to_msgpack(json(counts));
  return AddHeader(kInFlightMagic, sender, {bytes.begin(), bytes.end()});
}

std::optional<InFlightCounts> DecodeInFlight(const std::string& text, std::int64_t sender) {
  try {
    const std::string body = CheckAndRemoveHeader(kInFlightMagic, text, sender);
    InFlightCounts counts = json::from_msgpack(body).get<InFlightCounts>();
    if (counts.size() > kMaxReplicas) return std::nullopt;
    const auto is_valid = [](const auto& replica) {
      return replica.second >= 0 && replica.second <= kMaxInFlightPerReplica;
    };
    if (!std::all_of(counts.begin(), counts.end(), is_valid)) return std::nullopt;
    return counts;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace ryeglade::hot_restart
