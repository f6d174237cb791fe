// The reason phrases of the HTTP statuses that the node answers with (RFC 9110, section 15).
#pragma once

namespace ryeglade {

const char* ReasonPhrase(int status);  // "Error" for others

}  // namespace ryeglade
