// Any bytes as a stream, cut at a place that the first byte chooses: the same events, nothing lost.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "fronts/openai/response_translation.h"
#include "http/event_stream.h"

namespace {

std::string Read(std::string_view text, std::size_t cut) {
  ryeglade::EventStream stream(4096);
  std::string all, raw;
  const auto sink = [&](const ryeglade::EventStream::Event& e) {
    raw += e.raw;
    if (e.has_data)
      all.append(e.type).append("\x01").append(e.data).append("\x02").append(e.id).append("\x03");
    return true;
  };
  if (!stream.Feed(text.substr(0, cut), sink) || !stream.Feed(text.substr(cut), sink)) return "stopped";
  raw += stream.unfinished();
  if (raw != text) std::abort();
  return all;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
  const std::string whole = Read(text, 0);
  // A block over the bound may be noticed earlier or later, depending on the cut.
  if (text.size() <= 4096 && Read(text, data[0] % (text.size() + 1)) != whole) std::abort();
  ryeglade::ResponseObserver watch(true);
  std::string out;
  watch.Feed(text, out);
  ryeglade::ResponseAssembler assembler(ryeglade::openai::Endpoint::kChat, 4096);
  ryeglade::ResponseObserver reader(true);
  if (assembler.ReserveBytes(text.size()) && reader.Feed(text, assembler))
    assembler.CompleteResponse("1", "m", 0);
  return 0;
}
