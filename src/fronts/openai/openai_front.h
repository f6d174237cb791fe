// The OpenAI-style API as clients speak it: chat completions, completions and models, streamed or complete.
// It reads from a request what the decision module needs, opens streams like any other front, and enforces
// keys and rate limits. Every request that it admits ends in one response, one settlement of the rate limiter
// and one outcome in the ledger.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "core/core.h"
#include "core/streams.h"
#include "fronts/openai/api_error.h"
#include "fronts/openai/response_translation.h"
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
  // `keyring`: the key file's. `settings` must outlive the front.
  OpenAiFront(Core* core, Streams* streams, const OpenAiSettings* settings, keys::Keyring keyring);
  void SetDownstream(Downstream* downstream) { downstream_ = downstream; }

  // Ends the streams of keys that were revoked. Throws SettingsError and changes nothing if the file is
  // wrong.
  void ReloadKeys();
  const ledger::Ledger& ledger() const { return ledger_; }
  const limits::RateLimiter& limits() const { return limiter_; }

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
  void OnInvalidRequest(Handle connection, int status, const std::string& body) override;

 private:
  // An admitted request until its end.
  struct OpenRequest {
    OpenRequest(openai::Endpoint endpoint, bool usage_wanted, std::size_t max_answer)
        : observer(usage_wanted), assembler(endpoint, max_answer) {}
    Handle stream = 0;
    std::string request_id, key, model;
    limits::KeyLimits limits;
    double reserved_tokens = 0;         // prompt and output
    double reserved_output_tokens = 0;  // of them for the output
    bool has_max_tokens = false;        // then the output can't outgrow its reservation
    bool streamed = false;              // else the response is sent when it is complete
    bool response_begun = false;
    std::string response_headers;
    ResponseObserver observer;
    ResponseAssembler assembler;
  };
  // How many tokens a request may use, by which it is admitted.
  struct TokenEstimate {
    double prompt = 0;
    double prefix = 0;  // of the prompt, its leading system messages
    double output = 0;
    double total() const { return prompt + output; }
  };

  void ServeHealth(Handle connection);
  void ServeModels(Handle connection, const HttpRequest& request, std::string_view path);
  void ServeMetrics(Handle connection);
  void ServeCompletion(Handle connection, HttpRequest& request, openai::Endpoint endpoint);
  // The key that the request shows; null: it was answered with an error.
  const keys::Key* Authorize(Handle connection, const HttpRequest& request);
  const ModelSettings* FindModel(const std::string& id) const;  // null: there is none
  TokenEstimate EstimateTokens(const openai::Body& body, const ModelSettings& model) const;
  // Sets the class; the result is the time budget that the settings give.
  Time ApplyRoute(const std::string& path, const keys::Key& key, const ModelSettings& model,
                  policy::RequestArrived& arrival) const;
  Time TimeBudgetFor(const HttpRequest& request, Time configured) const;
  limits::KeyLimits LimitsOf(const keys::Key& key) const;

  // A response by this node, counted as a rejection before admission.
  void Reject(Handle connection, const ApiError& error, const std::string& headers = "");
  void ReplyError(Handle connection, const ApiError& error, const std::string& headers = "");
  // Ends an open request by decision of this node.
  void Abort(Handle connection, const ApiError& error, ledger::Outcome outcome);
  // Removes an open request, settles its reservation and enters it in the ledger.
  OpenRequest Settle(Handle connection, ledger::Outcome outcome);
  // Whether what complete responses take up leaves space for `bytes` more of this one.
  bool ReserveAssembly(OpenRequest& open, std::size_t bytes);
  // Reserves tokens for an output that has outgrown its reservation; false: the key has none left.
  bool ReserveForGrowth(OpenRequest& open);
  void ForwardChunk(Handle connection, OpenRequest& open);
  void BeginStream(Handle connection, const OpenRequest& open);
  std::string NewRequestId();

  Core* core_;
  Streams* streams_;
  const OpenAiSettings* settings_;
  Downstream* downstream_ = nullptr;
  keys::Keyring keyring_;
  keys::Key anonymous_key_;  // where no key is asked for
  limits::RateLimiter limiter_;
  limits::InvalidKeyThrottle invalid_key_throttle_;
  limits::Networks metrics_networks_;
  ledger::Ledger ledger_;
  ledger::TokenSizeEstimator token_sizes_;
  std::unordered_map<Handle, OpenRequest> open_requests_;  // by connection
  std::size_t assembled_bytes_ = 0;   // of responses that are not complete yet and not streamed
  std::size_t unfinished_bytes_ = 0;  // of events that have not ended, of all streams
  std::uint64_t id_seed_;
  std::uint64_t ids_ = 0;
  std::string chunk_;  // reused for each piece that is forwarded
};

}  // namespace ryeglade
