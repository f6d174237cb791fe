#include "core/stream_end_model.h"

namespace ryeglade {

StreamEnd ClassifyStreamEnd(bool body_ended, const StreamEndScanner& events) {
  if (events.data_after_done()) return StreamEnd::kDataAfterDone;
  if (!body_ended) return StreamEnd::kOpen;
  if (!events.has_event()) return StreamEnd::kNoEvent;
  return events.done() ? StreamEnd::kComplete : StreamEnd::kWithoutDone;
}

}  // namespace ryeglade
