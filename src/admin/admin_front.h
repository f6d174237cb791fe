// The HTTP front of the operators' management address: readiness, counters, rollout metrics, and disabling of
// replicas; one request a connection. It answers from AdminPort and decides nothing itself.
#pragma once

#include <string>
#include <string_view>

#include "http/downstream.h"

namespace ryeglade {

// Implemented by the node.
class AdminPort {
 public:
  virtual ~AdminPort() = default;
  virtual bool is_ready() const = 0;             // accepts clients
  virtual std::string CountersText() const = 0;  // in the Prometheus text format
  virtual std::string MetricsText() const = 0;   // by which a rollout compares nodes; JSON
  // Takes the upstream host named `instance` out of use, or puts it back. False: there is no such host.
  virtual bool DisableReplica(std::string_view instance, bool disabled) = 0;
};

class AdminFront : public Front {
 public:
  static constexpr std::size_t kSockets = 16;
  // For a whole request. Callers may keep a connection for 4 s before they send one.
  static constexpr Time kRequestTimeout = 5'000'000;

  explicit AdminFront(AdminPort* node) : node_(node) {}
  void Use(Downstream* downstream) { downstream_ = downstream; }

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle) override {}
  void OnBackpressure(Handle, bool) override {}

 private:
  void Reply(Handle connection, int status, std::string_view body, const char* type = "text/plain");
  // Whether the request has this method; replies with 405 where it has another.
  bool CheckMethod(Handle connection, const HttpRequest& request, std::string_view method);
  void OnReplicaRequest(Handle connection, const HttpRequest& request);

  AdminPort* node_;
  Downstream* downstream_ = nullptr;
};

}  // namespace ryeglade
