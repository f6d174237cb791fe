// The front for the OpenAI-style API: chat completions, completions and models, streamed or complete. It
// reads from a request what the decision module needs, opens streams like any other front, and enforces keys
// and rate limits. Every admitted request ends with exactly one response (unless the client has
// disconnected), one settlement in the rate limiter and one outcome in the ledger.
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

// At most one request per connection at a time, each with its own stream.
class OpenAiFront : public Front, public StreamSink {
 public:
  // `keyring` holds the keys of the key file. `settings` must outlive the front.
  OpenAiFront(Core* core, Streams* streams, const OpenAiSettings* settings, keys::Keyring keyring);
  void SetDownstream(Downstream* downstream) { downstream_ = downstream; }

  // Returns the keys of the key file as it is now, or those in force if there is no key file. Throws
  // SettingsError if the file is invalid.
  keys::Keyring LoadKeys() const;
  void UseKeys(keys::Keyring loaded);  // also ends the open requests of revoked keys
  const ledger::Ledger& ledger() const { return ledger_; }
  const limits::RateLimiter& limits() const { return limiter_; }

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle connection) override;
  void OnBackpressure(Handle connection, bool congested) override;
  void FormatError(int status, std::string& headers, std::string& body) override;

  bool Connected(Handle connection) const override { return downstream_->Connected(connection); }
  bool MayHaveClosedUnseen(Handle connection) const override {
    return downstream_->MayHaveClosedUnseen(connection);
  }
  void OnData(Handle connection, std::string_view events) override;
  void OnComplete(Handle connection) override;
  void OnTruncated(Handle connection) override;
  void OnRejected(Handle connection, Time retry_after) override;
  void OnFailed(Handle connection, policy::Outcome last) override;
  void OnInvalidRequest(Handle connection, int status, const std::string& body) override;

 private:
  // An admitted request that has not ended.
  struct OpenRequest {
    OpenRequest(openai::Endpoint endpoint, bool usage_wanted, std::size_t max_response_bytes)
        : observer(usage_wanted), assembler(endpoint, max_response_bytes) {}
    Handle stream = 0;  // 0 if it is not open yet or has already been concluded
    std::string request_id;
    std::string key;    // the id of the API key
    std::string model;  // the id of the model, as clients know it
    limits::KeyLimits limits;
    double reserved_tokens = 0;         // reserved for prompt and output together
    double reserved_output_tokens = 0;  // the part reserved for the output
    bool has_max_tokens = false;        // if true, the output can't exceed its reservation
    bool streamed = false;              // if false, the response is sent once it is complete
    bool response_begun = false;        // the head of a streamed response has been sent
    std::string response_headers;       // header lines of every response to this request
    ResponseObserver observer;
    ResponseAssembler assembler;  // used only if the response is not streamed
  };
  // The number of tokens that a request may use. The rate limiter admits the request for their total.
  struct TokenEstimate {
    double prompt = 0;
    double prefix = 0;  // the part of the prompt that is its leading system messages
    double output = 0;
    double total() const { return prompt + output; }
  };

  void ServeHealth(Handle connection);
  void ServeModels(Handle connection, const HttpRequest& request, std::string_view path);
  void ServeMetrics(Handle connection);
  void ServeCompletion(Handle connection, HttpRequest& request, openai::Endpoint endpoint);
  // Returns the request's key, or nullptr after having sent an error (or scheduled one, to slow down
  // guessing).
  const keys::Key* Authorize(Handle connection, const HttpRequest& request);
  const ModelSettings* FindModel(const std::string& id) const;  // nullptr if unknown
  TokenEstimate EstimateTokens(const openai::Body& body, const ModelSettings& model) const;
  // Sets the request's class in `arrival` and returns the time budget from the settings.
  Time ApplyRoute(const std::string& path, const keys::Key& key, const ModelSettings& model,
                  policy::RequestArrived& arrival) const;
  // Returns the request's time budget: `configured`, or less if the client asks for less.
  Time TimeBudgetFor(const HttpRequest& request, Time configured) const;
  // Returns the limits of the key; where it has none of its own, the default ones.
  limits::KeyLimits LimitsOf(const keys::Key& key) const;

  // Sends an error and counts it as a rejection before admission.
  void Reject(Handle connection, const ApiError& error, const std::string& headers = "");
  void ReplyError(Handle connection, const ApiError& error, const std::string& headers = "");
  // Ends an open request with an error from this node.
  void Abort(Handle connection, const ApiError& error, ledger::Outcome outcome);
  // Removes an open request, settles its token reservation and records its outcome in the ledger.
  OpenRequest Settle(Handle connection, ledger::Outcome outcome);
  // Counts `bytes` more of a response that is being assembled. If all of them together exceed their limit,
  // ends the largest ones. Returns false if that was this one, or if it exceeds the limit of one response; it
  // has then been ended.
  bool ReserveAssembly(Handle connection, OpenRequest& open, std::size_t bytes);
  // The same for what is held of events whose end has not been received, which has been counted already.
  bool LimitUnfinished(Handle connection);
  // Returns the request that holds most, by `held_by`; 0 if there is none.
  Handle LargestRequest(std::size_t (*held_by)(const OpenRequest&)) const;
  void AbortTooLong(Handle connection);
  void AbortUnreadable(Handle connection);
  // Reserves more tokens if the output exceeds its reservation. Returns false if the key has none left.
  bool ReserveForGrowth(OpenRequest& open);
  void ForwardChunk(Handle connection, OpenRequest& open);
  void BeginStream(Handle connection, const OpenRequest& open);
  std::string NewRequestId();

  Core* core_;
  Streams* streams_;
  const OpenAiSettings* settings_;
  Downstream* downstream_ = nullptr;
  keys::Keyring keyring_;
  keys::Key anonymous_key_;  // used for all requests if no key file is set
  limits::RateLimiter limiter_;
  limits::InvalidKeyThrottle invalid_key_throttle_;
  limits::Networks metrics_networks_;
  ledger::Ledger ledger_;
  ledger::TokenSizeEstimator token_sizes_;
  std::unordered_map<Handle, OpenRequest> open_requests_;  // by connection
  std::size_t assembled_bytes_ = 0;                        // of all responses that are being assembled
  std::size_t unfinished_bytes_ = 0;  // buffered bytes of incomplete events, of all open requests
  std::uint64_t id_seed_;             // request ids are hashes of a counter with this seed
  std::uint64_t ids_ = 0;             // number of request ids created
  std::string chunk_;                 // buffer for the events to forward, reused to save allocations
};

}  // namespace ryeglade
