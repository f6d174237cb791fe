// The admin listener: the operators' calls on the `management` address, one call a connection. It answers
// from what the node tells it through AdminPort and decides nothing itself.
#pragma once

#include <string>
#include <string_view>

#include "http/downstream.h"

namespace ryeglade {

class AdminPort {
 public:
  virtual ~AdminPort() = default;
  virtual bool taking_clients() const = 0;
  virtual std::string CountersText() const = 0;  // in the Prometheus text format
  virtual std::string FiguresText() const = 0;   // what cohorts are compared by, as JSON
  // Leave the upstream host named `instance` out (true) or let it serve again (false); false: no such host.
  virtual bool Hold(std::string_view instance, bool out) = 0;
};

class AdminFront : public Front {
 public:
  static constexpr std::size_t kSockets = 16;
  static constexpr Time kReadWithin = 5'000'000;  // callers may hold a connection for 4 s without a call

  explicit AdminFront(AdminPort* node) : node_(node) {}
  void Use(Downstream* downstream) { downstream_ = downstream; }

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle) override {}
  void OnBackpressure(Handle, bool) override {}

 private:
  void Answer(Handle connection, int status, std::string_view body, const char* type = "text/plain");

  AdminPort* node_;
  Downstream* downstream_ = nullptr;
};

}  // namespace ryeglade
