// Reads any bytes as an event stream, unsplit and split at a position that the first byte selects: the events
// are the same and no byte is lost.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "fronts/openai/response_translation.h"
#include "http/event_stream.h"

namespace {

// Returns the events of `text`, which is fed in two pieces, or "stopped" if the stream rejects it. Aborts if
// the bytes of the events and the rest don't add up to the text.
std::string Read(std::string_view text, std::size_t split) {
  ryeglade::EventStream stream(4096);
  std::string events, raw;
  const auto sink = [&](const ryeglade::EventStream::Event& e) {
    raw += e.raw;
    if (e.has_data)
      events.append(e.type).append("\x01").append(e.data).append("\x02").append(e.id).append("\x03");
    return true;
  };
  if (!stream.Feed(text.substr(0, split), sink) || !stream.Feed(text.substr(split), sink)) return "stopped";
  raw += stream.unfinished();
  if (raw != text) std::abort();
  return events;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
  const std::string unsplit = Read(text, 0);
  // The place of the split decides when an event block over the size limit of 4096 bytes is noticed, so the
  // results for a longer text may differ.
  if (text.size() <= 4096 && Read(text, data[0] % (text.size() + 1)) != unsplit) std::abort();
  ryeglade::ResponseObserver watch(true);
  std::string out;
  watch.Feed(text, out);
  ryeglade::ResponseAssembler assembler(ryeglade::openai::Endpoint::kChat, 4096);
  ryeglade::ResponseObserver reader(true);
  if (assembler.ReserveBytes(text.size()) && reader.Feed(text, assembler))
    assembler.CompleteResponse("1", "m", 0);
  return 0;
}
