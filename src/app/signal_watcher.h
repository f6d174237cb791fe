// Calls a function on the event loop when the process receives a signal.
#pragma once

#include <uv.h>

#include <functional>

namespace ryeglade {

// After Close, the object must live until the loop has ended.
class SignalWatcher {
 public:
  SignalWatcher() = default;
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

  // `number` is that of the signal. `on_signal` is called on the loop's thread.
  void Start(uv_loop_t* loop, int number, std::function<void()> on_signal);
  void Close();  // no effect before Start

 private:
  uv_signal_t handle_{};
  std::function<void()> on_signal_;
};

}  // namespace ryeglade
