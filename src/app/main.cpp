// The command line of ryeglade.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <vector>

#include "app/node.h"
#include "app/nodes_command.h"
#include "app/rollout_command.h"
#include "app/timeline_command.h"
#include "base/blocked_signals.h"
#include "keys/keyring.h"
#include "ledger/ledger_model.h"
#include "settings/config.h"
#include "settings/edge_settings.h"
#include "settings/toml_reader.h"

namespace {

using ryeglade::Config;
using ryeglade::EdgeSettings;

// Prints an error in the use of the command line and returns the exit code for it.
int Misused(const std::string& error) {
  std::fprintf(stderr, "ryeglade: %s; see ryeglade --help\n", error.c_str());
  return 2;
}

// Prints the error in one line, as CLI11's own messages have several, and returns the exit code.
int ReportMisuse(const CLI::ParseError& e, const CLI::App& app, const std::vector<std::string>& arguments) {
  if (dynamic_cast<const CLI::ExtrasError*>(&e) != nullptr) {
    for (const std::string& argument : arguments) {
      if (argument.size() > 1 && argument.front() == '-' && argument != "--config" &&
          argument != "--settings" && argument != "--file") {
        return Misused("the option '" + argument + "' is unknown here");
      }
    }
    if (app.get_subcommands().empty()) return Misused("unknown command '" + arguments.front() + "'");
    return Misused("too many arguments: '" + arguments.back() + "'");
  }
  if (arguments.empty()) return Misused("no command given");
  if (app.get_subcommands().empty() && arguments.front().front() != '-') {
    return Misused("unknown command '" + arguments.front() + "'");
  }
  std::string message = e.what();
  for (char& c : message) {
    if (c == '\n') c = ' ';
  }
  return Misused(message);
}

// Returns the default settings, with every optional feature off, if `path` is empty.
EdgeSettings ReadSettings(const std::string& path, const Config& config) {
  if (path.empty()) return {};
  return ryeglade::LoadEdgeSettings(path, ryeglade::ClassNames(config.settings));
}

int CheckConfig(const std::string& config_path, const std::string& settings_path) {
  const Config config = ryeglade::LoadConfig(config_path);
  const EdgeSettings settings = ReadSettings(settings_path, config);
  std::printf("ok: %zu classes, listen %s, discovery %s", config.settings.classes.size(),
              config.listen.c_str(), config.discovery.c_str());
  if (settings.openai.enabled) {
    std::size_t keys = 0;
    if (!settings.openai.keys_file.empty())
      keys = ryeglade::keys::Keyring::Load(settings.openai.keys_file).size();
    std::printf(", openai on %s with %zu models, %zu keys", settings.openai.listen.c_str(),
                settings.openai.models.size(), keys);
  }
  std::printf("\n");
  return 0;
}

struct KeyOptions {
  std::string file;                 // path of the key file
  std::string name, class_name;     // of a new key: its owner and the class of its requests
  std::string id;                   // of the key to revoke
  double requests = 0, tokens = 0;  // per minute; 0: the limit of the settings
  int streams = 0;                  // concurrent; 0: the limit of the settings
};

// Returns an empty key ring if the file can't be opened.
ryeglade::keys::Keyring LoadOrEmpty(const std::string& path) {
  std::FILE* file = std::fopen(path.c_str(), "r");
  if (file == nullptr) return {};
  std::fclose(file);
  return ryeglade::keys::Keyring::Load(path);
}

int CreateKey(const KeyOptions& options) {
  ryeglade::keys::Keyring ring = LoadOrEmpty(options.file);
  ryeglade::keys::NewKey created = ryeglade::keys::MakeKey(options.name);
  created.key.class_name = options.class_name;
  created.key.limits = {options.requests, options.tokens, options.streams};
  ring.Add(created.key);
  ring.Save(options.file);
  std::printf("%s\n", created.presented.c_str());
  std::fprintf(stderr,
               "ryeglade: key %s added to %s; it is shown only once. Send SIGHUP to the node to load it.\n",
               created.key.id.c_str(), options.file.c_str());
  return 0;
}

int ListKeys(const KeyOptions& options) {
  const ryeglade::keys::Keyring ring = ryeglade::keys::Keyring::Load(options.file);
  std::printf("%-10s %-20s %-12s %-10s %14s %14s %8s\n", "id", "name", "created", "class", "requests/min",
              "tokens/min", "streams");
  const auto limit = [](double value) {
    return value > 0 ? std::to_string(static_cast<long long>(value)) : std::string("-");
  };
  for (const std::string& id : ring.ids()) {
    const ryeglade::keys::Key& key = *ring.Find(id);
    std::printf("%-10s %-20.20s %-12s %-10s %14s %14s %8s\n", id.c_str(),
                key.name.empty() ? "-" : key.name.c_str(), key.created.empty() ? "-" : key.created.c_str(),
                key.class_name.empty() ? "-" : key.class_name.c_str(),
                limit(key.limits.requests_per_min).c_str(), limit(key.limits.tokens_per_min).c_str(),
                limit(key.limits.streams).c_str());
  }
  return 0;
}

int RevokeKey(const KeyOptions& options) {
  ryeglade::keys::Keyring ring = ryeglade::keys::Keyring::Load(options.file);
  if (!ring.Remove(options.id)) {
    std::fprintf(stderr, "ryeglade: %s holds no key with the id '%s'; `ryeglade key list` shows the ids\n",
                 options.file.c_str(), options.id.c_str());
    return 1;
  }
  ring.Save(options.file);
  std::printf("revoked %s; send SIGHUP to the node to end its streams\n", options.id.c_str());
  return 0;
}

int PrintLedgers(const std::vector<std::string>& files) {
  std::map<ryeglade::ledger::Ledger::Id, ryeglade::ledger::Row> sums;
  for (const std::string& file : files) {
    try {
      for (const auto& [id, row] : ryeglade::ledger::RowsFromJson(ryeglade::ReadWholeFile(file)))
        sums[id].Add(row);
    } catch (const ryeglade::SettingsError&) {
      throw;
    } catch (const std::exception& e) {
      throw std::runtime_error(file + ": " + e.what());
    }
  }
  std::fputs(ryeglade::ledger::FormatTable(sums).c_str(), stdout);
  return 0;
}

int Run(int argc, char** argv) {
  CLI::App app("A router node for fleets of language-model replicas.");
  app.require_subcommand(1);
  app.footer(
      "The configuration is the platform's JSON, in the file that --config or EDGE_CONFIG names; EDGE_NAME,\n"
      "EDGE_LISTEN, EDGE_DISCOVERY and EDGE_MANAGEMENT, where set, override it. --settings names the TOML "
      "file\nof all other settings.");
  std::string config;
  std::string settings;
  const auto add_file_options = [&](CLI::App* command) {
    command->add_option("-c,--config", config, "the platform's configuration, JSON");
    command->add_option("-s,--settings", settings,
                        "all other settings, TOML; without it the features that it configures are off");
  };
  CLI::App* serve = app.add_subcommand("serve", "serve clients until SIGTERM");
  CLI::App* check = app.add_subcommand("check-config", "validate both files without serving");
  add_file_options(serve);
  add_file_options(check);
  CLI::App* version = app.add_subcommand("version", "print the version");
  bool compat = false;
  version->add_flag("--compat", compat, "the versions of all protocols and stored formats, as JSON");

  KeyOptions key;
  CLI::App* keys = app.add_subcommand("key", "create, list and revoke client keys");
  keys->require_subcommand(1);
  const auto add_key_command = [&](const char* name, const char* description) {
    CLI::App* command = keys->add_subcommand(name, description);
    command->add_option("-f,--file", key.file, "the key file")->required();
    return command;
  };
  CLI::App* key_new = add_key_command("new", "create a key and print it; the file gets only its salted hash");
  key_new->add_option("--name", key.name, "the name of its owner");
  key_new->add_option("--class", key.class_name, "the class of its requests");
  key_new->add_option("--requests-per-min", key.requests, "0: the limit of the settings")
      ->check(CLI::Range(0.0, 1e9));
  key_new->add_option("--tokens-per-min", key.tokens, "0: the limit of the settings")
      ->check(CLI::Range(0.0, 1e12));
  key_new->add_option("--streams", key.streams, "concurrent streams; 0: the limit of the settings")
      ->check(CLI::Range(0, 1'000'000));
  CLI::App* key_list = add_key_command("list", "list the keys of a file");
  CLI::App* key_revoke = add_key_command("revoke", "remove a key from a file");
  key_revoke->add_option("id", key.id, "the key id, eight hexadecimal digits")->required();

  std::vector<std::string> ledgers;
  CLI::App* ledger = app.add_subcommand("ledger", "print the sum of the ledgers that nodes wrote");
  ledger->add_option("file", ledgers, "ledger files")->required();

  ryeglade::TimelineOptions timeline_options;
  ryeglade::TimelineCommand timeline(app, &timeline_options);

  ryeglade::NodesOptions nodes_options;
  ryeglade::NodesCommand nodes(app, &nodes_options);

  ryeglade::RolloutOptions rollout_options;
  ryeglade::RolloutCommand rollout(app, &rollout_options);

  const std::vector<std::string> arguments(argv + 1, argv + argc);
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp&) {
    std::string help = app.help();
    for (const CLI::App* sub : app.get_subcommands()) help = sub->help();
    return std::printf("usage: ryeglade COMMAND [OPTIONS]\n%s", help.c_str()) < 0 ? 1 : 0;
  } catch (const CLI::ParseError& e) {
    return ReportMisuse(e, app, arguments);
  }
  if (*version && compat) return std::puts(ryeglade::CompatText().c_str()) < 0 ? 1 : 0;
  if (*version) return std::puts("ryeglade " RYEGLADE_VERSION) < 0 ? 1 : 0;
  if (*check) return CheckConfig(config, settings);
  if (*key_new) return CreateKey(key);
  if (*key_list) return ListKeys(key);
  if (*key_revoke) return RevokeKey(key);
  if (timeline.chosen()) return timeline.Run();
  if (nodes.chosen()) return nodes.Run();
  if (rollout.chosen()) return rollout.Run();
  if (*ledger) return PrintLedgers(ledgers);
  ryeglade::BlockSignals();  // Serve unblocks them
  const Config loaded = ryeglade::LoadConfig(config);
  ryeglade::Serve(loaded, ReadSettings(settings, loaded));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "ryeglade: %s\n", e.what());
    return 1;
  }
}
