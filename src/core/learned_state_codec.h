// What a Router has learned, as bytes: in the state that one process of a node hands over to the next, and in
// the flight record. Fields go by name, so that a reader passes over those it does not know, and takes the
// defaults of those it does not find. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "ryeglade/learned_state.h"

namespace ryeglade {

// Of cached prefixes, and of keys' traffic, so many of the newest are encoded.
inline constexpr std::size_t kMaxLearnedKeys = 8192;

std::string EncodeLearnedState(const policy::LearnedState& learned);
// Null where it is not ours or a number is out of all bounds (not finite, negative where that means nothing):
// then nothing of it is used. `error` says what was wrong.
std::optional<policy::LearnedState> DecodeLearnedState(const std::string& bytes, std::string* error);

}  // namespace ryeglade
