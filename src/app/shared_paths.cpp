#include "app/shared_paths.h"

#include <cctype>
#include <cstdlib>
#include <string_view>

namespace ryeglade {
namespace {

// Replaces each character of `text` that is not a letter, a digit or in `allowed` by an underscore.
std::string FileNamePart(std::string text, std::string_view allowed) {
  for (char& c : text) {
    const bool keep =
        std::isalnum(static_cast<unsigned char>(c)) != 0 || allowed.find(c) != std::string_view::npos;
    if (!keep) c = '_';
  }
  return text;
}

}  // namespace

std::string NodeFilePath(const std::string& kind, const Config& config) {
  const char* directory = std::getenv("TMPDIR");
  const bool has_directory = directory != nullptr && *directory != '\0';
  const std::string name = config.name.empty() ? "node" : config.name;
  return std::string(has_directory ? directory : "/tmp") + "/ryeglade-" + kind + "-" +
         FileNamePart(name, "-_");
}

std::string AddressFilePath(const std::string& kind, const Config& config) {
  const std::string port = config.listen.substr(config.listen.rfind(':') + 1);
  if (port == "0") return "";
  return NodeFilePath(kind, config) + "-" + FileNamePart(config.listen, "");
}

}  // namespace ryeglade
