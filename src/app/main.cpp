// ryeglade's command line.
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

int Misused(const std::string& what) {
  std::fprintf(stderr, "ryeglade: %s; see ryeglade --help\n", what.c_str());
  return 2;
}

// CLI11 tells misuse in several lines; here it is one.
int Explain(const CLI::ParseError& e, const CLI::App& app, const std::vector<std::string>& words) {
  if (dynamic_cast<const CLI::ExtrasError*>(&e) != nullptr) {
    for (const std::string& word : words) {
      if (word.size() > 1 && word.front() == '-' && word != "--config" && word != "--settings" &&
          word != "--file") {
        return Misused("the option '" + word + "' is unknown here");
      }
    }
    if (app.get_subcommands().empty()) return Misused("unknown command '" + words.front() + "'");
    return Misused("too many words: '" + words.back() + "'");
  }
  if (words.empty()) return Misused("no command given");
  if (app.get_subcommands().empty() && words.front().front() != '-') {
    return Misused("unknown command '" + words.front() + "'");
  }
  std::string what = e.what();
  for (char& c : what) {
    if (c == '\n') c = ' ';
  }
  return Misused(what);
}

EdgeSettings Settings(const std::string& path, const Config& config) {
  if (path.empty()) return {};
  return ryeglade::LoadEdgeSettings(path, ryeglade::ClassNames(config.settings));
}

int CheckConfig(const std::string& config_path, const std::string& settings_path) {
  const Config config = ryeglade::LoadConfig(config_path);
  const EdgeSettings settings = Settings(settings_path, config);
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
  std::string file, name, id, class_name;
  double requests = 0, tokens = 0;
  int streams = 0;
};

ryeglade::keys::Keyring LoadOrEmpty(const std::string& path) {
  std::FILE* there = std::fopen(path.c_str(), "r");
  if (there == nullptr) return {};
  std::fclose(there);
  return ryeglade::keys::Keyring::Load(path);
}

int KeyNew(const KeyOptions& o) {
  ryeglade::keys::Keyring ring = LoadOrEmpty(o.file);
  ryeglade::keys::NewKey made = ryeglade::keys::MakeKey(o.name);
  made.key.class_name = o.class_name;
  made.key.limits = {o.requests, o.tokens, o.streams};
  ring.Add(made.key);
  ring.Save(o.file);
  std::printf("%s\n", made.presented.c_str());
  std::fprintf(
      stderr, "ryeglade: key %s added to %s; it is shown this once. Send SIGHUP to the node to take it up.\n",
      made.key.id.c_str(), o.file.c_str());
  return 0;
}

int KeyList(const KeyOptions& o) {
  const ryeglade::keys::Keyring ring = ryeglade::keys::Keyring::Load(o.file);
  std::printf("%-10s %-20s %-12s %-10s %14s %14s %8s\n", "id", "name", "created", "class", "requests/min",
              "tokens/min", "streams");
  const auto number = [](double v) {
    return v > 0 ? std::to_string(static_cast<long long>(v)) : std::string("-");
  };
  for (const std::string& id : ring.ids()) {
    const ryeglade::keys::Key& k = *ring.Find(id);
    std::printf("%-10s %-20.20s %-12s %-10s %14s %14s %8s\n", id.c_str(),
                k.name.empty() ? "-" : k.name.c_str(), k.created.empty() ? "-" : k.created.c_str(),
                k.class_name.empty() ? "-" : k.class_name.c_str(), number(k.limits.requests_per_min).c_str(),
                number(k.limits.tokens_per_min).c_str(), number(k.limits.streams).c_str());
  }
  return 0;
}

int KeyRevoke(const KeyOptions& o) {
  ryeglade::keys::Keyring ring = ryeglade::keys::Keyring::Load(o.file);
  if (!ring.Remove(o.id)) {
    std::fprintf(stderr, "ryeglade: %s holds no key with the id '%s'\n", o.file.c_str(), o.id.c_str());
    return 1;
  }
  ring.Save(o.file);
  std::printf("revoked %s; send SIGHUP to the node to end its streams\n", o.id.c_str());
  return 0;
}

int LedgerTable(const std::vector<std::string>& files) {
  std::map<ryeglade::ledger::Ledger::Id, ryeglade::ledger::Row> all;
  for (const std::string& file : files) {
    try {
      for (const auto& [id, row] : ryeglade::ledger::RowsFromJson(ryeglade::ReadWholeFile(file)))
        all[id].Add(row);
    } catch (const ryeglade::SettingsError&) {
      throw;
    } catch (const std::exception& e) {
      throw std::runtime_error(file + ": " + e.what());
    }
  }
  std::fputs(ryeglade::ledger::FormatTable(all).c_str(), stdout);
  return 0;
}

int Run(int argc, char** argv) {
  CLI::App app("A router node for fleets of language-model replicas.");
  app.require_subcommand(1);
  app.footer(
      "The configuration is the platform's JSON, in the file that --config or EDGE_CONFIG names; EDGE_NAME,\n"
      "EDGE_LISTEN and EDGE_DISCOVERY, where set, come before what it says. --settings names our own TOML "
      "file.");
  std::string config;
  std::string settings;
  const auto files = [&](CLI::App* command) {
    command->add_option("-c,--config", config, "the platform's configuration, JSON");
    command->add_option("-s,--settings", settings, "our own settings, TOML; without it nothing new is on");
  };
  CLI::App* serve = app.add_subcommand("serve", "serve clients until SIGTERM");
  CLI::App* check = app.add_subcommand("check-config", "read both files and say whether they can be served");
  files(serve);
  files(check);
  CLI::App* version = app.add_subcommand("version", "print the version");
  bool compat = false;
  version->add_flag("--compat", compat, "what this program speaks with others, as JSON");

  KeyOptions key;
  CLI::App* keys = app.add_subcommand("key", "make, list and revoke the keys of clients");
  keys->require_subcommand(1);
  const auto key_command = [&](const char* name, const char* what) {
    CLI::App* command = keys->add_subcommand(name, what);
    command->add_option("-f,--file", key.file, "the key file")->required();
    return command;
  };
  CLI::App* key_new = key_command("new", "make a key and print it; the file gets only its salted hash");
  key_new->add_option("--name", key.name, "whose it is");
  key_new->add_option("--class", key.class_name, "the class of its requests");
  key_new->add_option("--requests-per-min", key.requests, "0: as the settings say")
      ->check(CLI::Range(0.0, 1e9));
  key_new->add_option("--tokens-per-min", key.tokens, "0: as the settings say")->check(CLI::Range(0.0, 1e12));
  key_new->add_option("--streams", key.streams, "at once; 0: as the settings say")
      ->check(CLI::Range(0, 1'000'000));
  CLI::App* key_list = key_command("list", "list the keys of a file");
  CLI::App* key_revoke = key_command("revoke", "take a key out of a file");
  key_revoke->add_option("id", key.id, "the key's eight digits")->required();

  std::vector<std::string> ledgers;
  CLI::App* ledger = app.add_subcommand("ledger", "print ledgers that nodes wrote, added up");
  ledger->add_option("file", ledgers, "ledger files")->required();

  ryeglade::TimelineOptions timeline_options;
  ryeglade::TimelineCommand timeline(app, &timeline_options);

  ryeglade::NodesOptions nodes_options;
  ryeglade::NodesCommand nodes(app, &nodes_options);

  ryeglade::RolloutOptions rollout_options;
  ryeglade::RolloutCommand rollout(app, &rollout_options);

  const std::vector<std::string> words(argv + 1, argv + argc);
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp&) {
    std::string help = app.help();
    for (const CLI::App* sub : app.get_subcommands()) help = sub->help();
    return std::printf("usage: ryeglade COMMAND [OPTIONS]\n%s", help.c_str()) < 0 ? 1 : 0;
  } catch (const CLI::ParseError& e) {
    return Explain(e, app, words);
  }
  if (*version && compat) return std::puts(ryeglade::CompatText().c_str()) < 0 ? 1 : 0;
  if (*version) return std::puts("ryeglade " RYEGLADE_VERSION) < 0 ? 1 : 0;
  if (*check) return CheckConfig(config, settings);
  if (*key_new) return KeyNew(key);
  if (*key_list) return KeyList(key);
  if (*key_revoke) return KeyRevoke(key);
  if (timeline.chosen()) return timeline.Run();
  if (nodes.chosen()) return nodes.Run();
  if (rollout.chosen()) return rollout.Run();
  if (*ledger) return LedgerTable(ledgers);
  ryeglade::BlockSignals();  // Serve releases them
  const Config loaded = ryeglade::LoadConfig(config);
  ryeglade::Serve(loaded, Settings(settings, loaded));
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
