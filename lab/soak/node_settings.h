// The configuration and the settings file of a node in a soak, as its plan says.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/tcp.h"
#include "lab/soak/history_model.h"
#include "lab/soak/plan.h"

namespace ryeglade::soak {

inline constexpr std::size_t kNodeMemoryMb = 64;  // limit of each node

// Where a node listens, and where it finds discovery: each ip:port.
struct NodeAddresses {
  std::string listen, openai_listen, discovery;
};

std::string ZoneName(int zone);

// Throws std::runtime_error if one of the texts is not ip:port.
std::vector<sockaddr_storage> ParseAddresses(const std::vector<std::string>& texts);

// Returns the configuration of the node with this number as JSON. `management` is its management address,
// `known` the list of replicas that it starts with, and `classes` its class table.
std::string NodeConfigJson(const Plan& plan, std::size_t number, const NodeAddresses& addresses,
                           const std::string& management, const std::string& known,
                           const ClassTable& classes);

// Returns the settings file as TOML: each class is a model of its own at the OpenAI-style address.
std::string NodeSettingsToml(const Plan& plan, const NodeAddresses& addresses);

}  // namespace ryeglade::soak
