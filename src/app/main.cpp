// ryeglade's command line.
#include <getopt.h>

#include <cstdio>
#include <exception>
#include <string>

#include "app/node.h"
#include "settings/config.h"

namespace {

constexpr const char* kUsage =
    "usage: ryeglade COMMAND [--config FILE]\n"
    "  serve         serve clients until SIGTERM\n"
    "  check-config  read the configuration and say whether it can be served\n"
    "  version       print the version\n"
    "The configuration is the file that --config or EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and\n"
    "EDGE_DISCOVERY, where set, come before what it says.\n";

int Misused(const std::string& what) {
  std::fprintf(stderr, "ryeglade: %s; see ryeglade --help\n", what.c_str());
  return 2;
}

int Run(int argc, char** argv) {
  static const option options[] = {{"config", required_argument, nullptr, 'c'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
  std::string config_path;
  opterr = 0;
  for (int o = 0; (o = getopt_long(argc, argv, "c:h", options, nullptr)) != -1;) {
    if (o == 'h') return std::fputs(kUsage, stdout) < 0 ? 1 : 0;
    if (o != 'c') return Misused("an option is unknown or lacks its value");
    config_path = optarg;
  }
  if (optind >= argc) return Misused("no command given");
  if (optind + 1 < argc) return Misused(std::string("too many words: '") + argv[optind + 1] + "'");
  const std::string command = argv[optind];
  if (command == "version") return std::puts("ryeglade " RYEGLADE_VERSION) < 0 ? 1 : 0;
  if (command != "serve" && command != "check-config") return Misused("unknown command '" + command + "'");
  const ryeglade::Config config = ryeglade::LoadConfig(config_path);
  if (command == "serve") {
    ryeglade::Serve(config);
  } else {
    std::printf("ok: %zu classes, listen %s, discovery %s\n", config.settings.classes.size(),
                config.listen.c_str(), config.discovery.c_str());
  }
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
