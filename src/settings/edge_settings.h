// The settings file in TOML: everything that is not in the platform's JSON. What an absent file or table
// would turn on is off. The file's keys are older than the fields' names here; ReadEdgeSettings maps them.
// All times and durations are in microseconds; the ranges are those that the reader accepts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "limits/limits_policy.h"
#include "ryeglade/router.h"

namespace ryeglade {

using policy::Time;

// [[openai.model]]
struct ModelSettings {
  std::string id;        // as clients name it
  std::string upstream;  // as replicas name it; empty: the same
  std::string owned_by;
  std::int64_t created = 0;            // Unix time in seconds
  std::string class_name;              // of its requests, unless a route says otherwise
  double default_output_tokens = 512;  // reserved where a request sets no max_tokens; 1 to 1e6
};

// [[openai.route]]: the first that matches a request applies; an empty condition matches all.
struct RouteSettings {
  std::string model, key, path;
  std::string class_name;
  Time time_budget = 0;  // 10 ms to 1 h; 0: the class's own
};

// [openai]: the OpenAI-style API.
struct OpenAiSettings {
  bool enabled = false;
  std::string listen;                              // ip:port
  std::vector<std::string> networks;               // that may connect; empty: all
  std::vector<std::string> metrics_networks;       // that may read /metrics; empty: none
  std::string keys_file;                           // empty: no key is asked for
  std::size_t max_body = std::size_t{256} * 1024;  // bytes of a request's body; 1 KiB to 16 MiB
  std::size_t max_answer =
      std::size_t{1024} * 1024;       // bytes of a response that is not streamed; 16 KiB to 64 MiB
  Time read_timeout = 10'000'000;     // for a whole request; 0.1 s to 10 min
  std::string ledger_directory;       // empty: the ledger is not written to disk
  Time ledger_interval = 60'000'000;  // 1 s to 1 h
  limits::KeyLimits default_limits;   // of a key that has none of its own
  std::vector<ModelSettings> models;
  std::vector<RouteSettings> routes;
};

// [timeline]: the flight recorder.
struct TimelineSettings {
  bool enabled() const { return !directory.empty() || ring_bytes > 0; }
  std::string directory;       // of the flight record; empty: none is kept on disk
  std::size_t ring_bytes = 0;  // of the newest records, in memory; 64 KiB to 1 GiB; 0: none
  std::string dump_directory;  // where SIGUSR2 writes the ring
  std::size_t bytes_per_second = std::size_t{2} * 1024 * 1024;  // 16 KiB to 1 GiB
  bool record_reasons = false;
  bool detect_anomalies = true;
  std::size_t block_bytes = std::size_t{64} * 1024;           // 4 KiB to 1 MiB
  Time block_interval = 1'000'000;                            // after which a part-filled block is written
  std::size_t segment_bytes = std::size_t{16} * 1024 * 1024;  // of one file; 64 KiB to 1 GiB
  std::size_t total_bytes = std::size_t{256} * 1024 * 1024;   // of all files; at least two segments
};

// [membership] among the nodes; off without `listen`.
struct MembershipSettings {
  bool enabled() const { return !listen.empty(); }
  std::string listen;                 // ip:port, datagrams and connections
  std::string advertise;              // ip:port where other nodes reach it; empty: as bound
  std::string cluster = "ryeglade";   // nodes of another cluster are ignored; 1 to 64 letters
  std::string zone;                   // up to 32 letters
  std::string status_address;         // ip:port; empty: none
  std::vector<std::string> seeds;     // ip:port, up to 64
  std::vector<std::string> networks;  // that the other nodes are in
  Time probe_interval = 1'000'000;    // 20 ms to 1 min
  double suspicion_multiplier =
      5;  // probe intervals, times log10 of the nodes where that is over 1; 2 to 100
  Time push_pull_interval = 15'000'000;  // between full exchanges; at least a probe interval
  Time forget_dead_after = 600'000'000;  // at least ten probe intervals
  Time shrink_after = 30'000'000;        // a settled view with fewer nodes is believed after so long
  std::size_t max_members = 1024;        // 2 to 4096
  std::uint32_t protocol_version = 2;    // that is sent; 1 or 2
  bool update_node_count = true;         // the decision module learns the number of nodes
};

// [tier]: what the nodes do with what they gossip about replicas and traffic; off without the table.
struct GossipSettings {
  bool enabled = false;
  bool traffic_shares = true;         // each node goes by its own share of the traffic, not by an equal one
  bool outlier_reports = true;        // what other nodes found failing or slow counts
  bool prefix_shares = true;          // traffic shares of prompt prefixes are counted over all nodes
  bool dead_in_flight = true;         // what dead nodes had in flight counts until it must have ended
  std::size_t min_reporters = 2;      // nodes that must report an outlier; 2 to 16
  double max_ejected_fraction = 0.2;  // of the replicas, on other nodes' reports; 0 to 0.5
};

struct EdgeSettings {
  std::string source_file;
  std::string log_format = "logfmt";          // or "json"
  std::string log_level = "info";             // debug, info, warn, error
  int log_lines_per_second = 300;             // at most; 1 to 100,000
  std::string upstream_dialect = "platform";  // or "openai"
  std::string upstream_key_file;              // its first line is sent to upstream hosts as a bearer token
  OpenAiSettings openai;
  TimelineSettings timeline;
  MembershipSettings membership;
  GossipSettings gossip;
};

class TomlSection;
// The three limits of a table; an absent one is 0, which means no limit.
limits::KeyLimits ReadKeyLimits(TomlSection& section);
std::vector<std::string> ClassNames(const policy::Settings& settings);

// `classes` are the class names in the platform's JSON. Both throw SettingsError, which names file, line, key
// and remedy.
EdgeSettings ReadEdgeSettings(const std::string& file, const std::string& text,
                              const std::vector<std::string>& classes);
EdgeSettings LoadEdgeSettings(const std::string& path, const std::vector<std::string>& classes);

}  // namespace ryeglade
