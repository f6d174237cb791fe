// The OpenAI-style API of a node: its front, its listener, and the ledger of usage by key, which is written
// to disk at intervals.
#pragma once

#include <string>

#include "core/core.h"
#include "fronts/openai/openai_front.h"
#include "http/downstream.h"
#include "keys/keyring.h"
#include "ledger/ledger_file.h"
#include "limits/networks.h"
#include "settings/edge_settings.h"

namespace ryeglade {

// Owns the front, the listener and the ledger file.
class OpenAiService {
 public:
  // `core`, `streams` and `settings` must outlive this object. `sockets` is the maximum number of client
  // connections.
  OpenAiService(Core* core, Streams* streams, const OpenAiSettings* settings, keys::Keyring keyring,
                std::size_t sockets);
  // Begins to accept clients and to write the ledger. Throws std::runtime_error if the address can't be used.
  void Start();
  // From now on every change of the ledger is written soon, as the process may be killed at any time later
  // on.
  void BeginShutdown();
  OpenAiFront& front() { return front_; }
  void WriteLedgerNow();  // blocks until the file is written; for the end of the process
  Downstream& listener() { return listener_; }
  const Downstream& listener() const { return listener_; }

 private:
  void WriteLedgerAtIntervals();
  static Downstream::Options ListenerOptions(const OpenAiSettings& settings, std::size_t sockets,
                                             const limits::Networks* networks);

  Core* core_;
  const OpenAiSettings* settings_;
  limits::Networks networks_;  // networks that clients may connect from; empty: all
  OpenAiFront front_;
  Downstream listener_;
  ledger::LedgerFile ledger_file_;
  DeadlineId next_ledger_write_{};
  bool in_shutdown_ = false;
};

}  // namespace ryeglade
