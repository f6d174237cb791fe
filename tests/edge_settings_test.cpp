// The settings file: every error names file, line, key, what is wrong and what is allowed.
#include "settings/edge_settings.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "settings/toml_reader.h"

namespace ryeglade {
namespace {

const std::vector<std::string> kClasses = {"docs", "agent"};
const std::string kValid = R"([log]
format = "json"
[upstream]
dialect = "openai"
[openai]
listen = "127.0.0.1:0"
networks = ["10.0.0.0/8", "::1"]
most_body = "128KiB"
read_within = "7.5s"
[openai.limits]
tokens_per_min = 1e6
[[openai.model]]
id = "m"
class = "agent"
[[openai.route]]
model = "m"
deadline = "2m"
)";

// Returns the error for the settings in `text`; empty if there is none.
std::string ErrorOf(const std::string& text) {
  try {
    ReadEdgeSettings("edge.toml", text, kClasses);
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

// Returns kValid with the first `from` replaced by `to`.
std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kValid;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(EdgeSettings, AcceptsValidSettings) {
  const EdgeSettings settings = ReadEdgeSettings("edge.toml", kValid, kClasses);
  EXPECT_TRUE(settings.openai.enabled);
  EXPECT_EQ(settings.openai.max_body, 128U * 1024);
  EXPECT_EQ(settings.openai.read_timeout, 7'500'000);
  EXPECT_EQ(settings.openai.routes.at(0).time_budget, 120'000'000);
  EXPECT_EQ(settings.openai.default_limits.tokens_per_min, 1e6);
  EXPECT_FALSE(ReadEdgeSettings("edge.toml", "", kClasses).openai.enabled);
}

TEST(EdgeSettings, EveryErrorNamesPlaceAndRemedy) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {Replaced("format", "fromat"), "edge.toml:2: log.fromat: is not known here; did you mean 'format'?"},
      {Replaced("\"json\"", "\"xml\""),
       "edge.toml:2: log.format: is \"xml\"; allowed are \"logfmt\", \"json\""},
      {Replaced("\"json\"", "json"), "edge.toml:2: not TOML"},
      {Replaced("[upstream]", "[upsteam]"),
       "edge.toml:3: upsteam: is not known here; did you mean 'upstream'?"},
      {Replaced("127.0.0.1:0", "localhost"), "edge.toml:6: openai.listen: is not an ip:port"},
      {Replaced("10.0.0.0/8", "10.0.0.1/8"), "edge.toml:7: openai.networks: \"10.0.0.1/8\" is no network"},
      {Replaced("\"128KiB\"", "131072"),
       "edge.toml:8: openai.most_body: must be a size in quotes with its unit"},
      {Replaced("\"7.5s\"", "7.5"), "edge.toml:9: openai.read_within: has no unit"},
      {Replaced("\"7.5s\"", "\"7.5 parsecs\""), "edge.toml:9: openai.read_within: is \"7.5 parsecs\""},
      {Replaced("\"7.5s\"", "\"7.5h\""), "from 100ms to 10m"},
      {Replaced("1e6", "-1"), "edge.toml:11: openai.limits.tokens_per_min: must be a number from 0"},
      {Replaced("id = \"m\"", "name = \"m\""), "edge.toml:12: openai.model.id: is missing"},
      {Replaced("\"agent\"", "\"agnt\""),
       "edge.toml:14: openai.model.class: is \"agnt\"; the configuration has \"docs\", \"agent\""},
      {Replaced("model = \"m\"", "model = \"n\""),
       "edge.toml:16: openai.route.model: \"n\" is in no [[openai.model]]"},
      {Replaced("[[openai.route]]", "[openai.route]"), "openai.route: must be written as [[openai.route]]"},
      {Replaced("\"openai\"", "\"platform\"\nkey_file = \"x\""), "edge.toml:5: upstream.key_file"},
  };
  for (const auto& [text, expected] : cases) {
    EXPECT_NE(ErrorOf(text).find(expected), std::string::npos)
        << "expected: " << expected << "\nactual:   " << ErrorOf(text);
  }
}

}  // namespace
}  // namespace ryeglade
