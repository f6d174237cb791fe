#include "lab/soak/framings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace ryeglade::soak {
namespace {

constexpr double kExtensionShare = 0.3;
constexpr double kTrailerShare = 0.3;
constexpr std::size_t kMaxChunk = 80;  // bytes

constexpr std::array<const char*, 5> kExtensions = {";a", ";a=b", ";a=\"b;c\"", " ; a = b", "  "};
constexpr std::array<const char*, 3> kTrailers = {"X-Checksum: 5\r\n", "A: 1\r\nB:\r\n",
                                                  "Content-Length: 3\r\n"};

// The fields and the content; SIZE and BODY stand for the body's size and the body.
constexpr std::array<const char*, 12> kUnreadable = {
    "Transfer-Encoding: chunked\r\n\r\nSIZE\r\nBODY}}0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nSIZE\r\nBODY}\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nSIZE\r\nBODY\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nSIZE zz\r\nBODY\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nSIZE\rXBODY\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nSIZE;a\n\r\nBODY\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n-SIZE\r\nBODY\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nfffffff\r\nBODY\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nSIZE\r\nBODY\r\n0\r\n\rX",
    "Transfer-Encoding: gzip, chunked\r\n\r\nSIZE\r\nBODY\r\n0\r\n\r\n",
    "Transfer-Encoding : chunked\r\n\r\nSIZE\r\nBODY\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nSIZE\r\nBODY\r\n0\r\n\r\n"};

void Replace(std::string& text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  if (at != std::string::npos) text.replace(at, from.size(), to);
}

}  // namespace

std::string SoundChunks(const std::string& body, emulator::RandomStream& random) {
  std::string chunks;
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t size = std::min(body.size() - at, 1 + random.Below(kMaxChunk));
    const char* extension =
        random.Chance(kExtensionShare) ? kExtensions[random.Below(kExtensions.size())] : "";
    chunks += fmt::format("{:x}{}\r\n{}\r\n", size, extension, body.substr(at, size));
    at += size;
  }
  const char* trailers = random.Chance(kTrailerShare) ? kTrailers[random.Below(kTrailers.size())] : "";
  return chunks + "0\r\n" + trailers + "\r\n";
}

std::string UnreadableFraming(const std::string& body, emulator::RandomStream& random) {
  std::string text = kUnreadable[random.Below(kUnreadable.size())];
  Replace(text, "SIZE", fmt::format("{:x}", body.size()));
  Replace(text, "BODY", body);
  return text;
}

}  // namespace ryeglade::soak
