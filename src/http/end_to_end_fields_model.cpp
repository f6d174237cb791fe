#include "http/end_to_end_fields_model.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "http/token_model.h"

namespace ryeglade {
namespace {

// Fields that concern one connection only, or that the proxy writes anew for each hop: framing, the host's
// name, and `Expect`.
constexpr std::array<std::string_view, 12> kHopByHop = {"connection",
                                                        "keep-alive",
                                                        "proxy-authenticate",
                                                        "proxy-authorization",
                                                        "proxy-connection",
                                                        "te",
                                                        "trailer",
                                                        "transfer-encoding",
                                                        "upgrade",
                                                        "host",
                                                        "content-length",
                                                        "expect"};

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

bool IsFieldValue(std::string_view value) {
  return std::all_of(value.begin(), value.end(), IsFieldValueByte);
}

// Returns the field names, in lower case, that the Connection fields declare as hop-by-hop.
std::vector<std::string> ConnectionOptions(const HeaderFields& request) {
  std::vector<std::string> names;
  for (const auto& [name, value] : request) {
    if (Lower(name) != "connection") continue;
    std::string option;
    for (const char c : value + ",") {
      if (c == ',') {
        if (!option.empty()) names.push_back(Lower(option));
        option.clear();
      } else if (c != ' ' && c != '\t') {
        option += c;
      }
    }
  }
  return names;
}

}  // namespace

HeaderFields EndToEndFields(const HeaderFields& request, const std::vector<std::string_view>& own) {
  const std::vector<std::string> connection_options = ConnectionOptions(request);
  HeaderFields forwarded;
  for (const auto& [name, value] : request) {
    const std::string lower = Lower(name);
    const auto is_name = [&](std::string_view other) { return lower == other; };
    if (!IsToken(name) || !IsFieldValue(value)) continue;
    if (std::any_of(kHopByHop.begin(), kHopByHop.end(), is_name)) continue;
    if (std::any_of(own.begin(), own.end(), is_name)) continue;
    if (std::any_of(connection_options.begin(), connection_options.end(), is_name)) continue;
    forwarded.emplace_back(name, value);
  }
  return forwarded;
}

std::string FieldLines(const HeaderFields& fields) {
  std::string lines;
  for (const auto& [name, value] : fields) {
    lines.append(name).append(": ").append(value).append("\r\n");
  }
  return lines;
}

}  // namespace ryeglade
