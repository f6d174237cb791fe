#include "app/openai_service.h"

#include <utility>

#include "base/log.h"

namespace ryeglade {
namespace {

constexpr Time kLedgerIntervalInShutdown = 100'000;  // microseconds; less than any interval in the settings

}  // namespace

OpenAiService::OpenAiService(Core* core, Streams* streams, const OpenAiSettings* settings,
                             keys::Keyring keyring, std::size_t sockets)
    : core_(core),
      settings_(settings),
      front_(core, streams, settings, std::move(keyring)),
      listener_(core, &front_, ListenerOptions(*settings, sockets, &networks_)),
      ledger_file_(core->loop, settings->ledger_directory, core->config->name) {
  for (const std::string& network : settings->networks) networks_.Add(network);
  front_.SetDownstream(&listener_);
}

Downstream::Options OpenAiService::ListenerOptions(const OpenAiSettings& settings, std::size_t sockets,
                                                   const limits::Networks* networks) {
  Downstream::Options options;
  options.listen = settings.listen;
  options.max_connections = sockets;
  options.share_port = true;
  options.max_body = settings.max_body;
  options.request_timeout = settings.read_timeout;
  if (!settings.networks.empty()) {
    options.admits = [networks](const sockaddr_storage& peer) { return networks->Contains(peer); };
  }
  return options;
}

void OpenAiService::Start() {
  const std::string address = listener_.Listen();
  Log(Level::kInfo, "listening-openai", {{"addr", address}, {"models", settings_->models.size()}});
  WriteLedgerAtIntervals();
}

void OpenAiService::BeginShutdown() {
  in_shutdown_ = true;
  core_->deadlines->Cancel(next_ledger_write_);
  WriteLedgerAtIntervals();
}

void OpenAiService::WriteLedgerAtIntervals() {
  if (!ledger_file_.enabled()) return;
  const Time interval = in_shutdown_ ? kLedgerIntervalInShutdown : settings_->ledger_interval;
  next_ledger_write_ = core_->deadlines->Set(Now() + interval, [this] {
    const ledger::Counts& counts = front_.ledger().counts();
    if (!in_shutdown_ || !ledger_file_.Holds(counts)) ledger_file_.Write(counts, Now() / 1000);
    WriteLedgerAtIntervals();
  });
}

void OpenAiService::WriteLedgerNow() { ledger_file_.WriteNow(front_.ledger().counts(), Now() / 1000); }

}  // namespace ryeglade
