// Blocks of a flight record on disk: compressed (zstd), checksummed (XXH3), and each readable without the
// others. After a kill or a torn write every complete block remains readable, whatever bytes lie between
// them; the reader reports what was lost.
//
// A file is the magic "RGFLIGHT" and the format version (u32), followed by blocks. All numbers are
// little-endian. The layout of a block:
//   u32 magic, u32 raw bytes, u32 compressed bytes, u64 number, u64 XXH3 of the header up to here, u64 XXH3
//   of the payload, payload
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace ryeglade::timeline {

// Blocks with more raw bytes are treated as damaged.
inline constexpr std::size_t kMaxRawBlockBytes = std::size_t{4} * 1024 * 1024;

std::string FileHeader();  // the bytes before the first block
// Returns the encoded block. Throws std::runtime_error if zstd fails. `number` increases by one per block
// over the life of a process, across its files.
std::string MakeBlock(std::string_view raw, std::uint64_t number);

// What was read and what was lost.
struct ReadReport {
  std::uint64_t blocks = 0;
  std::uint64_t lost_bytes = 0;      // bytes that belong to no complete block
  std::uint64_t lost_ranges = 0;     // contiguous ranges of such bytes
  std::uint64_t missing_blocks = 0;  // numbers left out between two consecutive blocks
};

// Calls `sink` with the raw bytes of each complete block, in order, until it returns false. `consumed`, if
// not null, is called after each block with the size of the file's prefix that will not be read again. Throws
// std::runtime_error if the file is not a flight record or has a format that this program does not read.
ReadReport ReadBlocks(std::string_view file,
                      const std::function<bool(std::uint64_t number, std::string_view raw)>& sink,
                      const std::function<void(std::size_t bytes)>& consumed = nullptr);

}  // namespace ryeglade::timeline
