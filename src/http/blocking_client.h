// One call over HTTP/1.1 that waits for its answer: for commands, and for what runs beside a loop.
#pragma once

#include <string>

namespace ryeglade {

struct HttpResponse {
  unsigned status = 0;
  std::string body;
};

// `from`: the address to call from; empty: the machine's choice. Every step has the same time limit, and the
// whole of it twice that. Throws std::runtime_error, which says what `who` did not do.
HttpResponse BlockingHttpCall(const std::string& who, const std::string& at, const std::string& method,
                              const std::string& path, const std::string& body, int patience_ms,
                              const std::string& from = "");

}  // namespace ryeglade
