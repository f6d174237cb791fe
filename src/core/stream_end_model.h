// The one place that decides whether a replica's stream has arrived completely. Only a complete stream may be
// ended with the last chunk, counted as served and learned from, and only behind one is its connection used
// again.
#pragma once

#include <cstdint>

#include "http/stream_end_scanner.h"

namespace ryeglade {

// How a stream with status 200 stands.
enum class StreamEnd : std::uint8_t {
  kComplete,       // the framing marked the body's end, and its last event is [DONE]
  kOpen,           // the framing has not marked the body's end: no last chunk yet, or the connection broke
  kNoEvent,        // the body ended without an event
  kWithoutDone,    // the body ended, but its last event is not [DONE]
  kDataAfterDone,  // data followed [DONE], so that it was not the last event
  kCount
};

// `body_ended` says whether the framing (the last chunk, or the stated length) has marked the body's end.
StreamEnd ClassifyStreamEnd(bool body_ended, const StreamEndScanner& events);

}  // namespace ryeglade
