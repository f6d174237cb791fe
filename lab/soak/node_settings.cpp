#include "lab/soak/node_settings.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

#include "lab/node_process.h"

namespace ryeglade::soak {
namespace {

constexpr Time kDrainGrace = 750'000;            // microseconds, as BRIEF has it
constexpr const char* kRequestTimeout = "2.7s";  // at the OpenAI-style address, as at the platform's

nlohmann::json ClassesJson(const ClassTable& table) {
  static constexpr const char* kEffectNames[] = {"free", "guarded", "single_shot"};
  static constexpr const char* kScopeNames[] = {"all", "zone", "cell"};
  nlohmann::json out = nlohmann::json::array();
  for (const auto& [name, c] : table) {
    out.push_back({{"name", name},
                   {"promise", c.deadline / 2},
                   {"deadline", c.deadline},
                   {"late-worth", 0.5},
                   {"worth", 1.0},
                   {"stream", true},
                   {"effect", kEffectNames[static_cast<std::size_t>(c.effect)]},
                   {"dedup-scope", kScopeNames[static_cast<std::size_t>(c.scope)]},
                   {"window", c.window}});
  }
  return out;
}

}  // namespace

std::string ZoneName(int zone) { return fmt::format("z{}", zone); }

std::vector<sockaddr_storage> ParseAddresses(const std::vector<std::string>& texts) {
  std::vector<sockaddr_storage> addresses;
  for (const std::string& text : texts) {
    if (!ParseAddress(text, &addresses.emplace_back()))
      throw std::runtime_error("soak: a node's address must be ip:port, not '" + text + "'");
  }
  return addresses;
}

std::string NodeConfigJson(const Plan& plan, std::size_t number, const NodeAddresses& addresses,
                           const std::string& management, const std::string& known,
                           const ClassTable& classes) {
  std::vector<std::string> zones;
  zones.reserve(static_cast<std::size_t>(plan.zones));
  for (int zone = 0; zone < plan.zones; ++zone) zones.push_back(ZoneName(zone));
  nlohmann::json config =
      nlohmann::json::parse(lab::ConfigJson(addresses.listen, addresses.discovery, known));
  config["name"] = fmt::format("n{}", number);
  config["management"] = management;
  config["limits"]["sockets"] = plan.sockets;
  config["limits"]["memory_mb"] = kNodeMemoryMb;
  nlohmann::json& settings = config["settings"];
  settings["classes"] = ClassesJson(classes);
  settings["localities"] = zones;
  settings["membership-mode"] = plan.push ? "push" : "ask";
  settings["balancers"] = plan.nodes;
  settings["family-info"] = {{"resume", plan.resume}};
  settings["limits"]["max-attempts"] = plan.max_attempts;
  settings["limits"]["connect-timeout"] = plan.connect_timeout;
  settings["limits"]["idle-close"] = plan.idle_close;
  settings["limits"]["cancel"] = true;
  settings["obligations"]["drain-grace"] = kDrainGrace;
  return config.dump();
}

std::string NodeSettingsToml(const Plan& plan, const NodeAddresses& addresses) {
  std::string settings = fmt::format(
      "[log]\nlevel = \"info\"\nlines_per_second = 5000\n\n[openai]\nlisten = \"{}\"\nread_within = \"{}\"\n",
      addresses.openai_listen, kRequestTimeout);
  for (const auto& [name, rules] : plan.classes)
    settings += fmt::format("\n[[openai.model]]\nid = \"{0}\"\nclass = \"{0}\"\n", name);
  return settings;
}

}  // namespace ryeglade::soak
