// One process of a supervised node, as its supervisor sees it: started by this supervisor, or adopted from an
// earlier one. The process itself outlives this object and the supervisor.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "rollout/supervisor_model.h"

namespace ryeglade::rollout {

class NodeProcess {
 public:
  // A libuv handle must be closed on its loop before it is freed.
  struct Closer {
    void operator()(NodeProcess* process) const;
  };
  using Ptr = std::unique_ptr<NodeProcess, Closer>;
  // Called on the loop when a process that was started here has ended; `signal` 0: it exited by itself.
  using OnExit = std::function<void(int number, std::int64_t status, int signal)>;

  // Null: the process has ended, or its pid belongs to another one by now.
  static Ptr Adopt(int number, const ProcessRecord& record);
  // Starts `ryeglade serve` of the release, with its output appended to node.log of `directory`, and its
  // $TMPDIR there. Throws std::runtime_error.
  static Ptr Start(uv_loop_t* loop, int number, const Release& release, const std::string& directory,
                   OnExit on_exit);
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  int number() const { return number_; }
  const ProcessRecord& record() const { return record_; }
  // An adopted process is no child of this one: its end has to be polled for.
  bool AdoptedHasEnded() const;

  // Polling of its management address by the supervisor.
  bool ready = false;  // it has said so
  bool poll_running = false;
  Time last_polled_at = 0;

 private:
  NodeProcess(int number, OnExit on_exit) : number_(number), on_exit_(std::move(on_exit)) {}
  ~NodeProcess() = default;
  void Spawn(uv_loop_t* loop, const Release& release, const std::string& directory);

  int number_;
  OnExit on_exit_;
  ProcessRecord record_;
  uv_process_t handle_{};
  bool has_handle_ = false;
};

}  // namespace ryeglade::rollout
