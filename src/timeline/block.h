// Blocks of a flight record on disk: compressed (zstd), checksummed (XXH3), each readable by itself. After a
// kill or a torn write every whole block is readable, whatever lies between; the reader says what was lost.
//
// A file: the mark "RGFLIGHT" and the format, then blocks. A block, all numbers little-endian:
//   u32 mark, u32 bytes raw, u32 bytes compressed, u64 number, u64 XXH3 of the header so far, u64 XXH3 of the
//   payload, payload
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace ryeglade::timeline {

inline constexpr std::size_t kMaxRawBlockBytes = std::size_t{4} * 1024 * 1024;  // of one block

std::string FileHeader();
// The block's bytes for a file. `number` counts up through a process's life, over all its files.
std::string MakeBlock(std::string_view raw, std::uint64_t number);

struct ReadReport {
  std::uint64_t blocks = 0;
  std::uint64_t lost_bytes = 0;      // that belong to no whole block
  std::uint64_t lost_ranges = 0;     // runs of such bytes
  std::uint64_t missing_blocks = 0;  // blocks whose numbers were skipped
};

// Calls `sink` with each whole block's raw bytes, in order; a sink that returns false stops it. Throws
// std::runtime_error if the file is not a flight record at all. `passed` is told now and then how many of the
// file's first bytes will not be looked at again.
ReadReport ReadBlocks(std::string_view file,
                      const std::function<bool(std::uint64_t number, std::string_view raw)>& sink,
                      const std::function<void(std::size_t bytes)>& passed = nullptr);

}  // namespace ryeglade::timeline
