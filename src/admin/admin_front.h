// The HTTP front of the management address: readiness, counters, rollout metrics, and disabling of replicas.
// It serves one request per connection, from the data of AdminPort, and holds no state itself.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/disabled_replicas_model.h"
#include "http/downstream.h"

namespace ryeglade {

// What the management address shows and changes of a node. Implemented by the node.
class AdminPort {
 public:
  virtual ~AdminPort() = default;
  virtual bool is_ready() const = 0;             // whether the node accepts clients
  virtual std::string CountersText() const = 0;  // the counters in the Prometheus text format
  virtual std::string MetricsText() const = 0;   // the metrics by which a rollout compares nodes, as JSON
  // Takes the replica named `instance` out of use if `disable` is set, and puts it back into use otherwise.
  // `done` is called once, when this holds for all processes of the node or has failed.
  virtual void DisableReplica(std::string_view instance, bool disable,
                              std::function<void(DisableResult)> done) = 0;
};

class AdminFront : public Front {
 public:
  static constexpr std::size_t kSockets = 16;
  // Time limit for receiving a whole request. Clients may hold a connection for 4 s before they send one.
  static constexpr Time kRequestTimeout = 5'000'000;

  explicit AdminFront(AdminPort* node) : node_(node) {}
  void Use(Downstream* downstream) { downstream_ = downstream; }

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle) override {}
  void OnBackpressure(Handle, bool) override {}

 private:
  void Reply(Handle connection, int status, std::string_view body, const char* type = "text/plain");
  // Returns whether the request has this method; otherwise replies with 405.
  bool CheckMethod(Handle connection, const HttpRequest& request, std::string_view method);
  void OnReplicaRequest(Handle connection, const HttpRequest& request);
  void ReplyToDisable(Handle connection, const std::string& instance, bool disable, DisableResult result);

  AdminPort* node_;
  Downstream* downstream_ = nullptr;
};

}  // namespace ryeglade
