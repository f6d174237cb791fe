// The replicas that operators disabled, as all processes of a node share them: a call is put into the file
// that they share before it is answered, and each process applies what the file holds.
#pragma once

#include <functional>
#include <string>

#include "base/state_file.h"
#include "core/disabled_replicas_model.h"
#include "core/endpoint_table.h"

namespace ryeglade {

// The order of the file's updates is the order of the calls, at whichever process they came: of the calls for
// a replica, the one that was stored last decides. A call that is answered before another one comes is stored
// before it. Used on the event loop's thread only.
class SharedDisabledReplicas {
 public:
  using Done = std::function<void(DisableResult)>;

  // Applies what the file holds; blocks on the disk. `endpoints` must outlive this object.
  SharedDisabledReplicas(uv_loop_t* loop, std::string path, std::string node, EndpointTable* endpoints);
  // `done` is called on the loop. With DisableResult::kDone the call is in the file, where a process that
  // starts later finds it and the node's other process looks within kWatchIntervalMs, and in force here.
  void Call(const std::string& instance, bool disable, Done done);
  void Watch() { file_.Watch(kWatchIntervalMs); }
  void Close() { file_.Close(); }

 private:
  static constexpr unsigned kWatchIntervalMs = 100;

  std::optional<DisabledReplicas> Decode(const std::string& text) const;
  void ApplyOther(const std::string& text, bool at_start);

  std::string node_;
  EndpointTable* endpoints_;
  StateFile file_;
};

}  // namespace ryeglade
