// Reads any bytes as a flight record: they are accepted, or rejected by a std::runtime_error.
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "timeline/block.h"
#include "timeline/flight_record_codec.h"
#include "timeline/flight_record_text_model.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::vector<ryeglade::timeline::Record> records;
  try {
    ryeglade::timeline::Decode(bytes, records);
  } catch (const std::runtime_error&) {
  }
  for (const auto& r : records) ryeglade::timeline::ToText(r);
  try {
    ryeglade::timeline::ReadBlocks(ryeglade::timeline::FileHeader() + std::string(bytes),
                                   [](auto, auto) { return true; });
  } catch (const std::runtime_error&) {
  }
  return 0;
}
