// Reads any bytes as the body of a request: the result is either a body or an error, and what is sent to a
// replica is valid JSON.
#include <cstdint>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

#include "openai/body.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  for (const auto endpoint : {ryeglade::openai::Endpoint::kChat, ryeglade::openai::Endpoint::kCompletions}) {
    for (const bool strict : {true, false}) {
      const auto read = ryeglade::openai::ReadBody(text, endpoint, strict);
      if (read.body.has_value() == !read.error.message.empty()) std::abort();
      if (!read.body) continue;
      const auto out =
          nlohmann::json::parse(ryeglade::openai::RewriteForReplica(text, read, "m"), nullptr, false);
      if (!out.is_object() || out.at("stream") != true ||
          out.at("stream_options").at("include_usage") != true)
        std::abort();
    }
  }
  return 0;
}
