// Reads any bytes as the settings file or the key file: they are accepted, or rejected by an error that
// starts with the file name.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "keys/keyring.h"
#include "settings/edge_settings.h"
#include "settings/toml_reader.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  try {
    ryeglade::ReadEdgeSettings("f", text, {"docs", "agent"});
  } catch (const ryeglade::SettingsError& e) {
    if (std::string(e.what()).substr(0, 2) != "f:") std::abort();
  }
  try {
    ryeglade::keys::Keyring::Parse("f", text);
  } catch (const ryeglade::SettingsError& e) {
    if (std::string(e.what()).substr(0, 2) != "f:") std::abort();
  }
  return 0;
}
