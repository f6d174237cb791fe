// ryeglade_simhost: runs the Router for the simulator, with batches on standard input and replies on standard
// output. Exits with 0 at the end of the input, and with 1 and one line on standard error if the input is
// malformed or the reply can't be written.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>

#include "codec.h"
#include "host.h"

namespace {

using ryeglade::policy::wire::WireError;

// Appends `count` bytes of input to `to`. Reads in pieces, so that a wrong length allocates little more
// memory than the input that arrives. If `may_end`, returns false if the input ends before the first byte;
// any other early end throws a WireError.
bool ReadBytes(std::size_t count, bool may_end, std::string& to) {
  constexpr std::size_t kPieceBytes = std::size_t{1} << 20;
  const std::size_t start = to.size();
  while (to.size() - start < count) {
    const std::size_t offset = to.size();
    const std::size_t want = std::min(kPieceBytes, count - (offset - start));
    to.resize(offset + want);
    const std::size_t got = std::fread(to.data() + offset, 1, want, stdin);
    to.resize(offset + got);
    if (got == want) continue;
    if (may_end && to.size() == start) return false;
    throw WireError("batch: input ends after " + std::to_string(to.size()) + " bytes of a frame, expected " +
                    std::to_string(start + count));
  }
  return true;
}

int Serve() {
  ryeglade::policy::wire::Host host;
  std::string frame;
  while (true) {
    frame.clear();
    if (!ReadBytes(4, true, frame)) return 0;
    const std::uint32_t size = ryeglade::policy::wire::Reader(frame, "batch").U32("length");
    if (size < ryeglade::policy::wire::kBatchHeaderBytes || size > ryeglade::policy::wire::kMaxFrameBytes) {
      throw WireError("batch: length " + std::to_string(size) + " out of range at byte 0, expected " +
                      std::to_string(ryeglade::policy::wire::kBatchHeaderBytes) + " to " +
                      std::to_string(ryeglade::policy::wire::kMaxFrameBytes));
    }
    ReadBytes(size - 4, false, frame);
    const std::string reply = host.HandleBatch(frame);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
      throw WireError("reply: cannot write " + std::to_string(reply.size()) + " bytes to standard output");
    }
  }
}

}  // namespace

int main() {
  try {
    return Serve();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "ryeglade_simhost: %s\n", e.what());
    return 1;
  }
}
