#include "hot_restart/lease_codec.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <string_view>

namespace ryeglade::hot_restart {
namespace {

constexpr std::string_view kHeader = "ryeglade-lease 1 ";

// Names of the phases in the stored form, in the order of `Phase`. Processes of older program versions write
// and read the same file, so these names and those of the fields below differ from the names in the code:
// "word" is `phase`, "beat" is `heartbeat`, "started" is `started_at`.
constexpr const char* kStoredPhases[] = {"starting", "serving", "yielding", "ending"};

const char* StoredName(Phase phase) { return kStoredPhases[static_cast<std::size_t>(phase)]; }

template <class T>
bool ParseNumber(std::string_view text, T* value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size();
}

bool ParsePhase(std::string_view text, Phase* phase) {
  const auto* const known = std::find(std::begin(kStoredPhases), std::end(kStoredPhases), text);
  if (known == std::end(kStoredPhases)) return false;
  *phase = static_cast<Phase>(known - std::begin(kStoredPhases));
  return true;
}

std::string Checksum(std::string_view text) {
  return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

// Returns false if the field is known and its value is invalid. Fields that are not known are ignored.
bool ParseField(std::string_view name, std::string_view value, Lease* lease) {
  if (name == "pid") return ParseNumber(value, &lease->pid) && lease->pid > 0;
  if (name == "started") return ParseNumber(value, &lease->started_at);
  if (name == "word") return ParsePhase(value, &lease->phase);
  if (name == "beat") return ParseNumber(value, &lease->heartbeat);
  if (name == "sockets") return ParseNumber(value, &lease->socket_limit);
  if (name == "memory") return ParseNumber(value, &lease->memory_limit);
  return true;
}

}  // namespace

std::string EncodeLease(const Lease& lease) {
  const std::string text = fmt::format("{}pid={} started={} word={} beat={} sockets={} memory={}", kHeader,
                                       lease.pid, lease.started_at, StoredName(lease.phase), lease.heartbeat,
                                       lease.socket_limit, lease.memory_limit);
  return fmt::format("{} sum={}\n", text, Checksum(text));
}

std::optional<Lease> DecodeLease(const std::string& text) {
  const std::string_view line = std::string_view(text).substr(0, text.find('\n'));
  const std::size_t checksum_at = line.rfind(" sum=");
  if (!line.starts_with(kHeader) || checksum_at == std::string_view::npos) return std::nullopt;
  const std::string_view body = line.substr(0, checksum_at);
  if (line.substr(checksum_at + 5) != Checksum(body)) return std::nullopt;
  Lease lease;
  bool has_pid = false;
  bool has_phase = false;
  for (std::size_t from = kHeader.size(); from < body.size();) {
    const std::size_t end = std::min(body.find(' ', from), body.size());
    const std::string_view field = body.substr(from, end - from);
    from = end + 1;
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const std::string_view name = field.substr(0, equals);
    if (!ParseField(name, field.substr(equals + 1), &lease)) return std::nullopt;
    has_pid = has_pid || name == "pid";
    has_phase = has_phase || name == "word";
  }
  if (!has_pid || !has_phase) return std::nullopt;
  return lease;
}

}  // namespace ryeglade::hot_restart
