// What one process of a node hands to the next: "ryeglade-state MAJOR", for whom, a checksum, and MessagePack
// with named fields. A reader of the same major passes over fields it does not know; another major is set
// aside whole. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ryeglade/learned_state.h"

namespace ryeglade::hot_restart {

inline constexpr int kStateMajor = 1;

struct State {
  std::string node, program;         // who wrote it: its name, its version
  std::string discovery;             // whose list it is
  std::string roster;                // in discovery's form
  std::vector<std::string> classes;  // by index: what is learned class by class goes by these
  policy::LearnedState learned;
};

std::string EncodeState(const State& state, std::int64_t to);
// `to`: the pid it must be for; `node`: whose it must be. Null: of no use, `why` says why.
std::optional<State> DecodeState(const std::string& text, std::int64_t to, const std::string& node,
                                 std::string* why);
// Takes out what means nothing where the classes are others: averages go by a class's place.
void FitTo(const std::vector<std::string>& classes, State* state);

// What is still out at each replica.
using Out = std::vector<std::pair<std::uint32_t, int>>;
std::string EncodeOut(const Out& out, std::int64_t from);
std::optional<Out> DecodeOut(const std::string& text, std::int64_t from);

}  // namespace ryeglade::hot_restart
