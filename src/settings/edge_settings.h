// The settings file in TOML: everything that is not in the platform's JSON. Without the file or a table, the
// features that it configures are off. The file's keys differ from the field names here; ReadEdgeSettings
// maps them. All times and durations are in microseconds; the ranges are those that the reader accepts.
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
  std::string id;            // name of the model in clients' requests
  std::string upstream;      // name of the model in requests to replicas; empty: the same as `id`
  std::string owned_by;      // shown in the list of models
  std::int64_t created = 0;  // Unix time in seconds
  std::string class_name;    // class of its requests, unless the key or a route sets one; empty: the first
  double default_output_tokens = 512;  // tokens reserved for a request that sets no max_tokens; 1 to 1e6
};

// [[openai.route]]: the first route that matches a request applies. An empty condition matches every request.
struct RouteSettings {
  std::string model, key, path;  // conditions: model id, key id or name, URL path
  std::string class_name;        // class of the requests; empty: that of the key or the model
  Time time_budget = 0;          // of the requests, 10 ms to 1 h; 0: that of the class
};

// [openai]: the OpenAI-style API.
struct OpenAiSettings {
  bool enabled = false;
  std::string listen;                              // ip:port
  std::vector<std::string> networks;               // networks that may connect; empty: all
  std::vector<std::string> metrics_networks;       // networks that may read /metrics; empty: none
  std::string keys_file;                           // path; empty: clients need no key
  std::size_t max_body = std::size_t{256} * 1024;  // maximum bytes of a request body; 1 KiB to 16 MiB
  std::size_t max_answer =
      std::size_t{1024} * 1024;       // maximum bytes of a response that is not streamed; 16 KiB to 64 MiB
  Time read_timeout = 10'000'000;     // within which a request must arrive completely; 0.1 s to 10 min
  std::string ledger_directory;       // path; empty: the ledger is not written to disk
  Time ledger_interval = 60'000'000;  // between two writes of the ledger; 1 s to 1 h
  limits::KeyLimits default_limits;   // of keys that set no limits of their own
  std::vector<ModelSettings> models;
  std::vector<RouteSettings> routes;
};

// [timeline]: the flight recorder.
struct TimelineSettings {
  bool enabled() const { return !directory.empty() || ring_bytes > 0; }
  std::string directory;       // path of the flight record; empty: none is written to disk
  std::size_t ring_bytes = 0;  // size of the ring of the newest records in memory; 64 KiB to 1 GiB; 0: off
  std::string dump_directory;  // path where SIGUSR2 writes the ring
  std::size_t bytes_per_second = std::size_t{2} * 1024 * 1024;  // limit of disk writes; 16 KiB to 1 GiB
  bool record_reasons = false;   // record the reasons of decisions; without them, a replay computes them
  bool detect_anomalies = true;  // look for anomalies of replicas and of the fleet, and record them
  std::size_t block_bytes = std::size_t{64} * 1024;  // a block of this size is written; 4 KiB to 1 MiB
  Time block_interval = 1'000'000;  // after which a partly filled block is written; 50 ms to 1 min
  std::size_t segment_bytes = std::size_t{16} * 1024 * 1024;  // size of one file; 64 KiB to 1 GiB
  std::size_t total_bytes = std::size_t{256} * 1024 * 1024;   // size of all files; at least two segments
};

// [membership]: how the nodes find and watch each other. Off without the table.
struct MembershipSettings {
  bool enabled() const { return !listen.empty(); }
  std::string listen;     // ip:port at which the node receives datagrams and accepts connections
  std::string advertise;  // ip:port at which other nodes reach this one; empty: the one that is bound
  std::string cluster = "ryeglade";   // messages of other clusters are ignored; 1 to 64 characters
  std::string zone;                   // up to 32 characters; may be empty
  std::string status_address;         // ip:port where the status is served; empty: nowhere
  std::vector<std::string> seeds;     // ip:port of nodes to join through; up to 64
  std::vector<std::string> networks;  // networks of the other nodes; at least one
  Time probe_interval = 1'000'000;    // between two probes of other nodes; 20 ms to 1 min
  double suspicion_multiplier =
      5;  // suspicion timeout in probe intervals, times log10 of the node count if over 1; 2 to 100
  Time push_pull_interval = 15'000'000;  // between push-pull exchanges; a probe interval to 1 h
  Time forget_dead_after = 600'000'000;  // until a dead member is removed; ten probe intervals to 24 h
  Time shrink_after = 30'000'000;        // until a settled view with fewer nodes is applied; 0 to 24 h
  std::size_t max_members = 1024;        // maximum number of members that are tracked; 2 to 4096
  std::uint32_t protocol_version = 2;    // version in which messages are sent; 1 or 2
  bool update_node_count = true;         // pass the number of nodes in the view to the decision module
};

// [tier]: how nodes use what other nodes gossip about replicas and traffic. Off without the table.
struct GossipSettings {
  bool enabled = false;
  bool traffic_shares = true;     // a node uses its measured share of the traffic, not an equal one
  bool outlier_reports = true;    // reports of other nodes about failing or slow replicas count
  bool prefix_shares = true;      // traffic shares of shared prefixes are computed over all nodes
  bool dead_in_flight = true;     // requests in flight at nodes that died count until they must have ended
  std::size_t min_reporters = 2;  // nodes that must report a replica before it is ejected; 2 to 16
  double max_ejected_fraction = 0.2;  // at most this share of all replicas is ejected by reports; 0 to 0.5
};

// The whole settings file.
struct EdgeSettings {
  std::string source_file;                    // path; empty: there is no settings file
  std::string log_format = "logfmt";          // or "json"
  std::string log_level = "info";             // debug, info, warn, error
  int log_lines_per_second = 300;             // maximum number of log lines per second; 1 to 100,000
  std::string upstream_dialect = "platform";  // or "openai"
  std::string upstream_key_file;              // path; its first line is the bearer token for upstream hosts
  OpenAiSettings openai;
  TimelineSettings timeline;
  MembershipSettings membership;
  GossipSettings gossip;
};

class TomlSection;
// Reads the three limits of a table. An absent limit is 0, which means that none is set.
limits::KeyLimits ReadKeyLimits(TomlSection& section);
// The names of all classes, by index.
std::vector<std::string> ClassNames(const policy::Settings& settings);

// Parse the settings from `text`, or read them from the file at `path`. `classes` are the class names in the
// platform's JSON. `file` is the name to use in errors. Both functions throw SettingsError, which names file,
// line, key and remedy.
EdgeSettings ReadEdgeSettings(const std::string& file, const std::string& text,
                              const std::vector<std::string>& classes);
EdgeSettings LoadEdgeSettings(const std::string& path, const std::vector<std::string>& classes);

}  // namespace ryeglade
