// One process of a supervised node, from its supervisor's point of view: started by this supervisor, or
// adopted from an earlier one. The process itself may outlive this object and the supervisor.
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
  // Called on the loop when a process that was started here has ended. `signal` is 0 if it exited by itself.
  using OnExit = std::function<void(int number, std::int64_t status, int signal)>;

  // Takes over a process that an earlier supervisor started. Returns null if the process has ended or its pid
  // now belongs to another process.
  static Ptr Adopt(int number, const ProcessRecord& record);
  // Starts `ryeglade serve` of the release. Its output is appended to `directory`/node.log, and its $TMPDIR
  // is `directory`/tmp. Throws std::runtime_error if the log can't be opened or the program can't be started.
  static Ptr Start(uv_loop_t* loop, int number, const Release& release, const std::string& directory,
                   OnExit on_exit);
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  int number() const { return number_; }
  const ProcessRecord& record() const { return record_; }
  // Whether this is an adopted process that has ended. An adopted process is not a child of the supervisor,
  // so its end has to be polled for.
  bool AdoptedHasEnded() const;

  // State of the supervisor's polling of the management address.
  bool ready = false;         // the process has reported that it is ready
  bool poll_running = false;  // a poll has begun and not returned
  Time last_polled_at = 0;    // 0: never

 private:
  NodeProcess(int number, OnExit on_exit) : number_(number), on_exit_(std::move(on_exit)) {}
  ~NodeProcess() = default;
  void Spawn(uv_loop_t* loop, const Release& release, const std::string& directory);

  int number_;  // given by the Supervisor state machine
  OnExit on_exit_;
  ProcessRecord record_;
  uv_process_t handle_{};
  bool has_handle_ = false;  // `handle_` is open: the process was started here and not adopted
};

}  // namespace ryeglade::rollout
