// A stand-in for discovery: the list of stand-in replicas, whole or as a watch.
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

// What discovery tells of a replica beside its name and address.
struct DiscoveryEntry {
  std::string lifecycle = "active";  // "active", "leaving" or "left"
  std::string zone = "z";
  int cell = 0;
  std::int64_t started_at_ms = 0;
};

class FakeDiscovery : public Front {
 public:
  explicit FakeDiscovery(const Runtime* run);
  std::string Listen() { return server_.Listen(); }
  void Close() { server_.Close(); }
  // Name and ip:port; lifecycle as discovery tells it: "active", "leaving" or "left".
  void Set(const std::string& name, const std::string& host_port, const std::string& lifecycle = "active");
  void Set(const std::string& name, const std::string& host_port, const DiscoveryEntry& listing);
  // Dark: watches are cut off without a word, and every call is closed unanswered.
  void SetUnavailable(bool dark);
  // Silent: calls are taken and never answered, watches say nothing more.
  void SetSilent(bool silent) { silent_ = silent; }
  // Answers to calls come so much later, microseconds.
  void SetReplyDelay(Time by) { slow_by_ = by; }
  // Called with a name and its lifecycle each time that a caller is told of it.
  void SetListedCallback(std::function<void(const std::string& name, const std::string& lifecycle)> told) {
    listed_callback_ = std::move(told);
  }
  std::string Text(bool whole) const;  // the list as discovery sends it

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle connection) override { watches_.erase(connection); }
  void OnBackpressure(Handle, bool) override {}

 private:
  struct Entry {
    std::string name, host_port;
    DiscoveryEntry listing;
  };
  void Answer(Handle connection, bool follow);
  void AnnounceAll();
  void Beat();

  const Runtime* run_;
  Downstream server_;
  std::vector<Entry> entries_;
  std::set<Handle> watches_;
  int generation_ = 1;
  bool beating_ = false, dark_ = false, silent_ = false;
  Time slow_by_ = 0;
  std::function<void(const std::string&, const std::string&)> listed_callback_;
};

}  // namespace ryeglade::lab
