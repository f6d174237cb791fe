// A fake discovery service. It serves the list of endpoints, as a whole or as a watch that reports changes.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/runtime.h"
#include "http/downstream.h"

namespace ryeglade::lab {

// What discovery reports of an endpoint in addition to its name and address.
struct DiscoveryEntry {
  std::string lifecycle = "active";  // "active", "leaving" or "left"
  std::string zone = "z";
  int cell = 0;
  std::int64_t started_at_ms = 0;
};

class FakeDiscovery : public Front {
 public:
  explicit FakeDiscovery(const Runtime* runtime);
  std::string Listen() { return server_.Listen(); }  // on a free port; returns ip:port
  void Close() { server_.Close(); }
  // Adds an endpoint or changes it, and reports it to the watches. `host_port` is ip:port.
  void Set(const std::string& name, const std::string& host_port, const std::string& lifecycle = "active");
  void Set(const std::string& name, const std::string& host_port, const DiscoveryEntry& entry);
  // While unavailable, connections of watches are aborted and every request is closed without a response.
  void SetUnavailable(bool unavailable);
  // While silent, requests are accepted and never answered, and watches report nothing.
  void SetSilent(bool silent) { silent_ = silent; }
  void SetReplyDelay(Time delay) { reply_delay_ = delay; }  // of every response
  // The callback gets the name and the lifecycle of an endpoint each time it is reported to a caller.
  void SetListedCallback(
      std::function<void(const std::string& name, const std::string& lifecycle)> callback) {
    listed_callback_ = std::move(callback);
  }
  // Returns the list as JSON, as it is sent. A full list (`reset`) leaves out endpoints that have left.
  std::string Text(bool full) const;

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle connection) override { watches_.erase(connection); }
  void OnBackpressure(Handle, bool) override {}

 private:
  struct Entry {
    std::string name, host_port;
    DiscoveryEntry entry;
  };
  void SendList(Handle connection, bool follow);
  void ReportAllEntries();  // to the listed callback
  void SendKeepAlive();

  const Runtime* runtime_;
  Downstream server_;
  std::vector<Entry> entries_;
  std::set<Handle> watches_;
  int generation_ = 1;
  bool keep_alive_scheduled_ = false, unavailable_ = false, silent_ = false;
  Time reply_delay_ = 0;
  std::function<void(const std::string&, const std::string&)> listed_callback_;
};

}  // namespace ryeglade::lab
