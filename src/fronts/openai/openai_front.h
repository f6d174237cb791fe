// The OpenAI-style API as clients speak it: chat completions, completions and models, streamed or whole. It
// finds in a request what the decision module needs, opens streams like any other front, and keeps keys,
// limits and the ledger. Every request that it admits ends in one answer, one settlement and one column of
// the ledger.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "core/core.h"
#include "core/streams.h"
#include "fronts/openai/answer.h"
#include "fronts/openai/api_error.h"
#include "http/downstream.h"
#include "keys/keyring.h"
#include "ledger/ledger_model.h"
#include "limits/limits_policy.h"
#include "limits/networks.h"
#include "limits/rate_limit_policy.h"
#include "settings/edge_settings.h"

namespace ryeglade {

class OpenAiFront : public Front, public StreamSink {
 public:
  // `keyring`: what the key file holds. `settings` must outlive the front.
  OpenAiFront(Core* core, Streams* streams, const OpenAiSettings* settings, keys::Keyring keyring);
  void Use(Downstream* downstream) { downstream_ = downstream; }

  // Whole or not at all: throws SettingsError and changes nothing. Streams of keys that are gone end.
  void ReloadKeys();
  const ledger::Ledger& ledger() const { return ledger_; }
  const limits::Limits& limits() const { return limits_; }

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle connection) override;
  void OnBackpressure(Handle connection, bool congested) override;
  void FormatError(int status, std::string& headers, std::string& body) override;

  bool Connected(Handle connection) const override { return downstream_->Connected(connection); }
  void OnData(Handle connection, std::string_view events) override;
  void OnComplete(Handle connection) override;
  void OnTruncated(Handle connection) override;
  void OnRejected(Handle connection, Time retry_after) override;
  void OnFailed(Handle connection, policy::Outcome last) override;
  void OnRequestRefused(Handle connection, int status, const std::string& body) override;

 private:
  struct Open {
    Open(openai::Endpoint e, bool usage_wanted, std::size_t most) : watch(usage_wanted), assembler(e, most) {}
    Handle stream = 0;
    std::string request_id, key, model;
    limits::Rule rule;
    double reserved = 0;         // tokens
    double reserved_answer = 0;  // of them for the answer
    bool bounded = false;        // the request sets max_tokens, so the answer can't outgrow its reservation
    bool streamed = false;
    bool begun = false;
    std::string headers;  // for the answer's head
    AnswerWatch watch;
    Assembler assembler;
  };

  void Models(Handle connection, const HttpRequest& request, std::string_view path);
  void Metrics(Handle connection, const HttpRequest& request);
  void Completion(Handle connection, HttpRequest& request, openai::Endpoint endpoint);
  // The key that the request shows; null: it was answered with an error.
  const keys::Key* Authorize(Handle connection, const HttpRequest& request);
  // Fills class, deadline and model; false: it was answered with an error.
  const ModelSettings* Model(const std::string& id) const;
  void Route(const std::string& path, const keys::Key& key, const ModelSettings& model,
             policy::RequestArrived& a, Time* deadline) const;
  Time Patience(const HttpRequest& request, Time deadline) const;
  limits::Rule RuleOf(const keys::Key& key) const;

  void Error(Handle connection, const ApiError& error, const std::string& headers = "");
  void Drop(Handle connection, const ApiError& error,
            ledger::Column column);                       // ends an open request from this side
  Open Settle(Handle connection, ledger::Column column);  // out of the table, settled and entered
  void BeginStream(Handle connection, const Open& open);
  std::string NewId();

  Core* core_;
  Streams* streams_;
  const OpenAiSettings* settings_;
  Downstream* downstream_ = nullptr;
  keys::Keyring keyring_;
  keys::Key anyone_;  // where no key is asked for
  limits::Limits limits_;
  limits::WrongKeys wrong_keys_;
  limits::Networks metrics_networks_;
  ledger::Ledger ledger_;
  ledger::TokenSizes sizes_;
  std::unordered_map<Handle, Open> open_;  // by connection
  std::size_t assembling_ = 0;             // bytes held for whole answers
  std::size_t unfinished_ = 0;             // bytes of events that have not ended, of all streams
  std::uint64_t id_seed_, ids_ = 0;
  std::string out_;  // used again for each piece passed on
};

}  // namespace ryeglade
