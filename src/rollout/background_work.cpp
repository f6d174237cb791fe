#include "rollout/background_work.h"

#include <memory>
#include <utility>

namespace ryeglade::rollout {
namespace {

struct BackgroundWork {
  uv_work_t request{};
  std::function<void()> work, done;
};

}  // namespace

void RunInBackground(uv_loop_t* loop, std::function<void()> work, std::function<void()> done) {
  // libuv holds the only pointer until the completion callback, which takes ownership.
  auto* background = new BackgroundWork{{}, std::move(work), std::move(done)};
  background->request.data = background;
  uv_queue_work(
      loop, &background->request,
      [](uv_work_t* request) { static_cast<BackgroundWork*>(request->data)->work(); },
      [](uv_work_t* request, int) {
        const std::unique_ptr<BackgroundWork> finished(static_cast<BackgroundWork*>(request->data));
        finished->done();
      });
}

}  // namespace ryeglade::rollout
