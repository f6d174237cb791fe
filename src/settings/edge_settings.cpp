#include "settings/edge_settings.h"

#include <algorithm>

#include "base/tcp.h"
#include "limits/networks.h"
#include "settings/toml_reader.h"

namespace ryeglade {
namespace {

constexpr Time kSecond = 1'000'000;  // in microseconds
constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;

// Reads the key `class`, whose value must be the name of a class in the configuration. Returns an empty text
// if the key is absent.
std::string ReadClassName(TomlSection& section, const std::vector<std::string>& classes) {
  std::string name = section.Text("class", "");
  if (name.empty() || std::find(classes.begin(), classes.end(), name) != classes.end()) return name;
  std::string known;
  for (const std::string& known_name : classes) {
    known += (known.empty() ? "\"" : ", \"") + known_name + "\"";
  }
  section.Fail("class", "is \"" + name + "\"; the configuration has " + known);
}

// Reads a list of networks in CIDR form.
std::vector<std::string> ReadNetworks(TomlSection& section, const std::string& key) {
  std::vector<std::string> networks = section.Texts(key);
  limits::Networks set;
  for (const std::string& network : networks) {
    if (!set.Add(network)) {
      section.Fail(
          key, "\"" + network +
                   "\" is no network; give an address or address/length, with no bits set beyond the length");
    }
  }
  return networks;
}

ModelSettings ReadModel(TomlSection& section, const std::vector<ModelSettings>& earlier,
                        const std::vector<std::string>& classes) {
  ModelSettings model;
  model.id = section.RequiredText("id", "the name by which clients ask for the model");
  for (const ModelSettings& other : earlier) {
    if (other.id == model.id)
      section.Fail("id", "\"" + model.id + "\" is in two [[openai.model]] tables; name each model once");
  }
  model.upstream = section.Text("upstream", "");
  model.owned_by = section.Text("owned_by", "ryeglade");
  model.created = static_cast<std::int64_t>(section.Integer("created", 0, 4'000'000'000, 0));
  model.class_name = ReadClassName(section, classes);
  model.default_output_tokens = section.Number("answer_tokens", 1, 1e6, model.default_output_tokens);
  section.RejectUnknownKeys();
  return model;
}

RouteSettings ReadRoute(TomlSection& section, const std::vector<ModelSettings>& models,
                        const std::vector<std::string>& classes) {
  RouteSettings route;
  route.model = section.Text("model", "");
  const bool known =
      std::any_of(models.begin(), models.end(), [&](const auto& model) { return model.id == route.model; });
  if (!route.model.empty() && !known)
    section.Fail("model",
                 "\"" + route.model + "\" is in no [[openai.model]]; add it there or correct the name");
  route.key = section.Text("key", "");
  route.path = section.Text("path", "");
  if (!route.path.empty() && route.path != "/v1/chat/completions" && route.path != "/v1/completions") {
    section.Fail("path", "must be \"/v1/chat/completions\" or \"/v1/completions\"");
  }
  route.class_name = ReadClassName(section, classes);
  route.time_budget = section.Duration("deadline", 10'000, 3600 * kSecond, 0);
  section.RejectUnknownKeys();
  return route;
}

OpenAiSettings ReadOpenAi(TomlSection section, const std::vector<std::string>& classes) {
  OpenAiSettings settings;
  if (!section.present()) return settings;
  settings.enabled = true;
  settings.listen = section.RequiredText("listen", "the ip:port that clients of this API connect to");
  sockaddr_storage address{};
  if (!ParseAddress(settings.listen, &address))
    section.Fail("listen", "is not an ip:port: \"" + settings.listen + "\"");
  settings.networks = ReadNetworks(section, "networks");
  settings.metrics_networks = ReadNetworks(section, "metrics_networks");
  settings.keys_file = section.Text("keys", "");
  settings.max_body = section.Bytes("most_body", kKiB, 16 * kMiB, settings.max_body);
  settings.max_answer = section.Bytes("most_answer", 16 * kKiB, 64 * kMiB, settings.max_answer);
  settings.read_timeout = section.Duration("read_within", 100'000, 600 * kSecond, settings.read_timeout);
  TomlSection ledger = section.Table("ledger");
  settings.ledger_directory = ledger.Text("directory", "");
  settings.ledger_interval = ledger.Duration("every", kSecond, 3600 * kSecond, settings.ledger_interval);
  ledger.RejectUnknownKeys();
  TomlSection limits = section.Table("limits");
  settings.default_limits = ReadKeyLimits(limits);
  limits.RejectUnknownKeys();
  for (TomlSection& model : section.Tables("model")) {
    settings.models.push_back(ReadModel(model, settings.models, classes));
  }
  if (settings.models.empty())
    section.Fail("model", "is missing; add an [[openai.model]] table for each model that is served");
  for (TomlSection& route : section.Tables("route")) {
    settings.routes.push_back(ReadRoute(route, settings.models, classes));
  }
  section.RejectUnknownKeys();
  return settings;
}

// Returns `text`. Throws SettingsError if it is neither empty nor an ip:port.
std::string CheckAddress(TomlSection& section, const std::string& key, const std::string& text) {
  sockaddr_storage address{};
  if (!text.empty() && !ParseAddress(text, &address))
    section.Fail(key, "is not an ip:port: \"" + text + "\"");
  return text;
}

// Throws SettingsError unless `text` has an allowed length and visible characters only, as it is used in
// messages and tables.
void CheckWord(const TomlSection& section, const char* key, const std::string& text, std::size_t min_length,
               std::size_t max_length) {
  const bool visible = std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c != 0x7f; });
  if (text.size() >= min_length && text.size() <= max_length && visible) return;
  section.Fail(key, "must be a word of " + std::to_string(min_length) + " to " + std::to_string(max_length) +
                        " characters without spaces");
}

MembershipSettings ReadMembership(TomlSection section) {
  MembershipSettings settings;
  if (!section.present()) return settings;
  settings.listen =
      CheckAddress(section, "listen",
                   section.RequiredText("listen", "the ip:port at which the other nodes reach this one"));
  settings.advertise = CheckAddress(section, "advertise", section.Text("advertise", ""));
  const std::string host = settings.listen.substr(0, settings.listen.rfind(':'));
  if (settings.advertise.empty() && (host == "0.0.0.0" || host == "[::]"))
    section.Fail(
        "advertise",
        "is missing; `listen` means all addresses of this machine, so give the ip:port at which other nodes "
        "reach this one");
  settings.cluster = section.Text("cluster", settings.cluster);
  settings.zone = section.Text("zone", "");
  CheckWord(section, "cluster", settings.cluster, 1, 64);
  CheckWord(section, "zone", settings.zone, 0, 32);
  settings.status_address = CheckAddress(section, "status", section.Text("status", ""));
  settings.seeds = section.Texts("seeds");
  for (const std::string& seed : settings.seeds) CheckAddress(section, "seeds", seed);
  if (settings.seeds.size() > 64) section.Fail("seeds", "names more than 64 nodes; a few are enough");
  settings.networks = ReadNetworks(section, "networks");
  if (settings.networks.empty())
    section.Fail("networks",
                 "is missing; name the networks that the other nodes are in, such as [\"10.1.0.0/16\"]");
  settings.probe_interval = section.Duration("period", 20'000, 60 * kSecond, settings.probe_interval);
  settings.suspicion_multiplier = section.Number("suspicion", 2, 100, settings.suspicion_multiplier);
  settings.push_pull_interval =
      section.Duration("exchange", settings.probe_interval, 3600 * kSecond,
                       std::max(settings.probe_interval, settings.push_pull_interval));
  settings.forget_dead_after = section.Duration("forget", 10 * settings.probe_interval,
                                                Time{24} * 3600 * kSecond, settings.forget_dead_after);
  settings.shrink_after =
      section.Duration("shrink_after", 0, Time{24} * 3600 * kSecond, settings.shrink_after);
  settings.max_members = section.Integer("most_members", 2, 4096, settings.max_members);
  settings.protocol_version =
      static_cast<std::uint32_t>(section.Integer("wire", 1, 2, settings.protocol_version));
  settings.update_node_count = section.Flag("follow", settings.update_node_count);
  section.RejectUnknownKeys();
  return settings;
}

// Reads [tier], whose features need a [membership] table as well.
GossipSettings ReadGossip(TomlSection section, bool has_membership) {
  GossipSettings settings;
  if (!section.present()) return settings;
  if (!has_membership)
    section.Fail("",
                 "needs [membership], whose messages carry the gossip; add that table or remove this one");
  settings.enabled = true;
  settings.traffic_shares = section.Flag("parts", settings.traffic_shares);
  settings.outlier_reports = section.Flag("evidence", settings.outlier_reports);
  settings.prefix_shares = section.Flag("beginnings", settings.prefix_shares);
  settings.dead_in_flight = section.Flag("departed", settings.dead_in_flight);
  settings.min_reporters = section.Integer("accusers", 2, 16, settings.min_reporters);
  settings.max_ejected_fraction = section.Number("most_out", 0, 0.5, settings.max_ejected_fraction);
  section.RejectUnknownKeys();
  return settings;
}

TimelineSettings ReadTimeline(TomlSection section) {
  TimelineSettings settings;
  settings.directory = section.Text("directory", "");
  settings.block_bytes = section.Bytes("block", 4 * kKiB, kMiB, settings.block_bytes);
  settings.block_interval = section.Duration("block_within", 50'000, 60 * kSecond, settings.block_interval);
  settings.segment_bytes = section.Bytes("segment", 64 * kKiB, 1024 * kMiB, settings.segment_bytes);
  settings.total_bytes =
      section.Bytes("total", 128 * kKiB, std::size_t{1024} * 1024 * kMiB, settings.total_bytes);
  settings.ring_bytes = section.Bytes("ring", 64 * kKiB, 1024 * kMiB, settings.ring_bytes);
  settings.dump_directory = section.Text("dump_directory", settings.directory);
  if (settings.ring_bytes > 0 && settings.dump_directory.empty())
    section.Fail("ring", "needs `dump_directory`, where SIGUSR2 writes it; set that or `directory`");
  settings.bytes_per_second =
      section.Bytes("bytes_per_second", 16 * kKiB, 1024 * kMiB, settings.bytes_per_second);
  settings.record_reasons = section.Flag("reasons", settings.record_reasons);
  settings.detect_anomalies = section.Flag("watch", settings.detect_anomalies);
  if (settings.total_bytes < 2 * settings.segment_bytes)
    section.Fail("total", "must be at least twice `segment`, or no completed segment could be kept");
  section.RejectUnknownKeys();
  return settings;
}

void ReadLog(TomlSection section, EdgeSettings* settings) {
  settings->log_format = section.Choice("format", {"logfmt", "json"}, settings->log_format);
  settings->log_level = section.Choice("level", {"debug", "info", "warn", "error"}, settings->log_level);
  settings->log_lines_per_second = static_cast<int>(section.Integer(
      "lines_per_second", 1, 100'000, static_cast<std::size_t>(settings->log_lines_per_second)));
  section.RejectUnknownKeys();
}

void ReadUpstream(TomlSection section, EdgeSettings* settings) {
  settings->upstream_dialect = section.Choice("dialect", {"platform", "openai"}, settings->upstream_dialect);
  settings->upstream_key_file = section.Text("key_file", "");
  if (!settings->upstream_key_file.empty() && settings->upstream_dialect != "openai") {
    section.Fail("key_file", "has no effect unless dialect = \"openai\"; remove it or change the dialect");
  }
  section.RejectUnknownKeys();
}

}  // namespace

limits::KeyLimits ReadKeyLimits(TomlSection& section) {
  limits::KeyLimits limits;
  limits.requests_per_min = section.Number("requests_per_min", 0, 1e9, 0);
  limits.tokens_per_min = section.Number("tokens_per_min", 0, 1e12, 0);
  limits.streams = static_cast<int>(section.Integer("streams", 0, 1'000'000, 0));
  return limits;
}

std::vector<std::string> ClassNames(const policy::Settings& settings) {
  std::vector<std::string> names;
  for (const auto& c : settings.classes) names.push_back(c.name);
  return names;
}

EdgeSettings ReadEdgeSettings(const std::string& file, const std::string& text,
                              const std::vector<std::string>& classes) {
  const toml::table table = ParseToml(file, text);
  TomlSection top(file, "", &table);
  EdgeSettings settings;
  settings.source_file = file;
  ReadLog(top.Table("log"), &settings);
  ReadUpstream(top.Table("upstream"), &settings);
  settings.openai = ReadOpenAi(top.Table("openai"), classes);
  settings.timeline = ReadTimeline(top.Table("timeline"));
  settings.membership = ReadMembership(top.Table("membership"));
  settings.gossip = ReadGossip(top.Table("tier"), settings.membership.enabled());
  top.RejectUnknownKeys();
  return settings;
}

EdgeSettings LoadEdgeSettings(const std::string& path, const std::vector<std::string>& classes) {
  return ReadEdgeSettings(path, ReadWholeFile(path), classes);
}

}  // namespace ryeglade
