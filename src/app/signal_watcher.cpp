#include "app/signal_watcher.h"

#include <utility>

namespace ryeglade {

void SignalWatcher::Start(uv_loop_t* loop, int number, std::function<void()> on_signal) {
  on_signal_ = std::move(on_signal);
  uv_signal_init(loop, &handle_);
  handle_.data = this;
  const auto call = [](uv_signal_t* handle, int) { static_cast<SignalWatcher*>(handle->data)->on_signal_(); };
  uv_signal_start(&handle_, call, number);
}

void SignalWatcher::Close() {
  if (handle_.data != nullptr) uv_close(reinterpret_cast<uv_handle_t*>(&handle_), nullptr);
}

}  // namespace ryeglade
