// Chunked bodies for the clients of a soak: sound ones in the forms that HTTP/1.1 allows, and ones that can't
// be read.
#pragma once

#include <string>

#include "lab/emulator/random.h"

namespace ryeglade::soak {

// Returns `body` in chunks of random sizes, some with extensions, some with trailers behind the last one.
std::string SoundChunks(const std::string& body, emulator::RandomStream& random);
// Returns framing fields, an empty line and `body`, in a form that no recipient can read as it was meant.
std::string UnreadableFraming(const std::string& body, emulator::RandomStream& random);

}  // namespace ryeglade::soak
