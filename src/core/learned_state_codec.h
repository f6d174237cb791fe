// Encodes and decodes what a Router has learned, for the state that one process of a node hands over to the
// next and for the flight record. Fields are stored by name: the decoder ignores fields that it does not know
// and keeps the defaults of fields that are missing. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "ryeglade/learned_state.h"

namespace ryeglade {

// Maximum number of cached prefixes, and of per-key traffic counters, that are encoded; the newest are kept.
inline constexpr std::size_t kMaxLearnedKeys = 8192;

std::string EncodeLearnedState(const policy::LearnedState& learned);
// Returns nullopt, with the reason in `error`, if the bytes are not an encoded learned state or a number is
// out of range (not finite, or negative where that is not possible). Nothing of such a state is used.
std::optional<policy::LearnedState> DecodeLearnedState(const std::string& bytes, std::string* error);

}  // namespace ryeglade
