// The settings file in TOML: everything that is not the platform's JSON. Absent file, absent tables: nothing
// new is on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "limits/limits_policy.h"
#include "ryeglade/router.h"

namespace ryeglade {

using policy::Time;

struct ModelSettings {
  std::string id;        // as clients name it
  std::string upstream;  // as replicas name it; empty: the same
  std::string owned_by;
  std::int64_t created = 0;    // Unix time in seconds
  std::string cls;             // of its requests, unless a route says otherwise
  double answer_tokens = 512;  // reserved for an answer whose request sets no max_tokens
};

struct RouteSettings {  // the first that matches counts; an empty condition matches all
  std::string model, key, path;
  std::string cls;
  Time deadline = 0;  // 0: the class's own
};

struct OpenAiSettings {
  bool on = false;
  std::string listen;
  std::vector<std::string> networks;          // that may connect; empty: all
  std::vector<std::string> metrics_networks;  // that may read /metrics; empty: none
  std::string keys_file;                      // empty: no key is asked for
  std::size_t most_body = std::size_t{256} * 1024;
  std::size_t most_answer = std::size_t{1024} * 1024;  // of one that is put together
  Time read_within = 10'000'000;
  std::string ledger_dir;  // empty: not written out
  Time ledger_every = 60'000'000;
  limits::Rule limits;  // of a key that has none of its own
  std::vector<ModelSettings> models;
  std::vector<RouteSettings> routes;
};

struct TimelineSettings {
  bool on() const { return !directory.empty() || ring > 0; }
  std::string directory;       // of the flight record; empty: none is kept on disk
  std::size_t ring = 0;        // of the newest, in memory; 0: none
  std::string dump_directory;  // where SIGUSR2 puts the ring
  std::size_t bytes_per_second = std::size_t{2} * 1024 * 1024;
  bool reasons = false;
  bool watch = true;
  std::size_t block = std::size_t{64} * 1024;
  Time block_within = 1'000'000;
  std::size_t segment = std::size_t{16} * 1024 * 1024;
  std::size_t total = std::size_t{256} * 1024 * 1024;
};

// Membership among the nodes; off without `listen`.
struct MembershipSettings {
  bool on() const { return !listen.empty(); }
  std::string listen;                // ip:port, datagrams and connections
  std::string advertise;             // where peers reach it; empty: as bound
  std::string cluster = "ryeglade";  // nodes of another are not talked to
  std::string zone;
  std::string status;                 // ip:port of the status address; empty: none
  std::vector<std::string> seeds;     // ip:port
  std::vector<std::string> networks;  // that peers are in
  Time period = 1'000'000;            // between probes
  double suspicion = 5;               // periods, times log10 of the nodes where that is over 1
  Time exchange = 15'000'000;         // between full exchanges
  Time forget = 600'000'000;          // the dead
  Time shrink_after = 30'000'000;     // a settled view with fewer nodes is believed
  std::size_t most_members = 1024;
  std::uint32_t wire = 2;  // the version that is spoken
  bool follow = true;      // the decision module is told the number of nodes
};

// What the nodes do with what they tell each other; off without its table.
struct GossipSettings {
  bool on = false;
  bool parts = true;       // each goes by its own part of the tier's traffic
  bool evidence = true;    // what others found failing or slow counts
  bool beginnings = true;  // shared beginnings' shares are counted over all nodes
  bool departed = true;    // what nodes that died had out counts until it must have ended
  std::size_t accusers = 2;
  double most_out = 0.2;  // of the replicas are left alone on others' word
};

struct EdgeSettings {
  std::string source;
  std::string log_format = "logfmt";  // or "json"
  std::string log_level = "info";     // debug, info, warn, error
  int log_lines = 300;                // a second, the most
  std::string dialect = "platform";   // of the upstream hosts; or "openai"
  std::string upstream_key_file;      // whose first line is sent to them as a bearer token
  OpenAiSettings openai;
  TimelineSettings timeline;
  MembershipSettings membership;
  GossipSettings tier;
};

class TomlSection;
// The three limits of a table, each absent for none.
limits::Rule ReadRule(TomlSection& section);
std::vector<std::string> ClassNames(const policy::Settings& settings);

// `classes` are the names that the platform's JSON gives. Both throw SettingsError.
EdgeSettings ReadEdgeSettings(const std::string& file, const std::string& text,
                              const std::vector<std::string>& classes);
EdgeSettings LoadEdgeSettings(const std::string& path, const std::vector<std::string>& classes);

}  // namespace ryeglade
