// The reason phrases of the HTTP statuses that the node sends (RFC 9110, section 15).
#pragma once

namespace ryeglade {

const char* ReasonPhrase(int status);  // "Error" for any other status

}  // namespace ryeglade
