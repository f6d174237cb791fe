// What a Router has learned, as bytes: in the hand-over between two processes of a node, and in the flight
// record. Fields go by name, so that a reader passes over those it does not know, and takes the defaults of
// those it does not find. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "ryeglade/learned_state.h"

namespace ryeglade {

// Of sessions and beginnings that are kept somewhere, and of keys, so many of the newest pass over.
inline constexpr std::size_t kMaxLearnedKeys = 8192;

std::string EncodeLearnedState(const policy::LearnedState& learned);
// Null where it is not ours or a number is out of all bounds (not finite, negative where that means nothing):
// then nothing of it is used. `why` says what was wrong.
std::optional<policy::LearnedState> DecodeLearnedState(const std::string& bytes, std::string* why);

}  // namespace ryeglade
