#include "timeline/block.h"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <stdexcept>

#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {
namespace {

constexpr std::string_view kFileMagic = "RGFLIGHT";
constexpr std::uint32_t kBlockMagic = 0x4b424752;  // "RGBK"
constexpr std::size_t kBlockHeaderBytes = 4 + 4 + 4 + 8 + 8 + 8;
constexpr int kCompressionLevel = 1;  // zstd's fastest standard level; compared in docs/notes/timeline.md

template <class T>
void AppendLittleEndian(std::string& out, T value) {
  for (std::size_t i = 0; i < sizeof value; ++i) out += static_cast<char>(value >> (8 * i) & 0xff);
}

template <class T>
T ReadLittleEndian(std::string_view bytes, std::size_t at) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i) {
    value |= static_cast<T>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
  }
  return value;
}

struct Block {
  std::uint64_t number = 0;
  std::string raw;       // decompressed payload
  std::size_t size = 0;  // bytes in the file, including the header
};

// Reads the block at the start of `file`. Returns nullopt if there is no complete and undamaged block.
std::optional<Block> ReadBlock(std::string_view file) {
  if (file.size() < kBlockHeaderBytes || ReadLittleEndian<std::uint32_t>(file, 0) != kBlockMagic)
    return std::nullopt;
  const std::size_t raw = ReadLittleEndian<std::uint32_t>(file, 4);
  const std::size_t packed = ReadLittleEndian<std::uint32_t>(file, 8);
  if (XXH3_64bits(file.data(), 20) != ReadLittleEndian<std::uint64_t>(file, 20)) return std::nullopt;
  if (raw > kMaxRawBlockBytes || packed > file.size() - kBlockHeaderBytes) return std::nullopt;
  const std::string_view payload = file.substr(kBlockHeaderBytes, packed);
  if (XXH3_64bits(payload.data(), payload.size()) != ReadLittleEndian<std::uint64_t>(file, 28))
    return std::nullopt;
  Block block{ReadLittleEndian<std::uint64_t>(file, 12), std::string(raw, '\0'), kBlockHeaderBytes + packed};
  const std::size_t n = ZSTD_decompress(block.raw.data(), raw, payload.data(), payload.size());
  if (ZSTD_isError(n) != 0 || n != raw) return std::nullopt;
  return block;
}

}  // namespace

std::string FileHeader() {
  std::string out(kFileMagic);
  AppendLittleEndian(out, kFormat);
  return out;
}

std::string MakeBlock(std::string_view raw, std::uint64_t number) {
  std::string packed(ZSTD_compressBound(raw.size()), '\0');
  const std::size_t n =
      ZSTD_compress(packed.data(), packed.size(), raw.data(), raw.size(), kCompressionLevel);
  if (ZSTD_isError(n) != 0)
    throw std::runtime_error(std::string("zstd cannot compress a block: ") + ZSTD_getErrorName(n));
  packed.resize(n);
  std::string out;
  AppendLittleEndian(out, kBlockMagic);
  AppendLittleEndian(out, static_cast<std::uint32_t>(raw.size()));
  AppendLittleEndian(out, static_cast<std::uint32_t>(packed.size()));
  AppendLittleEndian(out, number);
  AppendLittleEndian(out, static_cast<std::uint64_t>(XXH3_64bits(out.data(), out.size())));
  AppendLittleEndian(out, static_cast<std::uint64_t>(XXH3_64bits(packed.data(), packed.size())));
  return out + packed;
}

ReadReport ReadBlocks(std::string_view file, const std::function<bool(std::uint64_t, std::string_view)>& sink,
                      const std::function<void(std::size_t)>& consumed) {
  const std::string header = FileHeader();
  if (file.substr(0, kFileMagic.size()) != kFileMagic)
    throw std::runtime_error("is not a flight record: it does not begin with RGFLIGHT");
  if (file.size() < header.size() || ReadLittleEndian<std::uint32_t>(file, kFileMagic.size()) == 0 ||
      ReadLittleEndian<std::uint32_t>(file, kFileMagic.size()) > kFormat)
    throw std::runtime_error(
        "is a flight record of a format that this program does not read, or its header is truncated");
  ReadReport report;
  std::optional<std::uint64_t> last;
  std::size_t at = header.size();
  bool in_lost_range = false;
  static const std::string magic = [] {
    std::string bytes;
    AppendLittleEndian(bytes, kBlockMagic);
    return bytes;
  }();
  while (at < file.size()) {
    const std::optional<Block> block = ReadBlock(file.substr(at));
    if (!block) {
      // Skip to the next position at which a block could begin.
      const std::size_t next = std::min(file.find(magic, at + 1), file.size());
      report.lost_bytes += next - at;
      report.lost_ranges += in_lost_range ? 0 : 1;
      in_lost_range = true;
      at = next;
      continue;
    }
    in_lost_range = false;
    if (last && block->number > *last + 1) report.missing_blocks += block->number - *last - 1;
    last = block->number;
    ++report.blocks;
    at += block->size;
    if (!sink(block->number, block->raw)) return report;
    if (consumed) consumed(at);
  }
  return report;
}

}  // namespace ryeglade::timeline
