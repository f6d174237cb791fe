// One HTTP/1.1 request that waits for its response: for commands, and for what runs beside a loop.
#pragma once

#include <string>

namespace ryeglade {

// A complete response.
struct HttpResponse {
  unsigned status = 0;
  std::string body;
};

// Asks the server at `address` ("ip:port"), which `server` names in errors. Every step may take `timeout_ms`,
// and all of them twice that. `from`: the address to connect from; empty: the machine's choice. Throws
// std::runtime_error, which says what the server did not do.
HttpResponse BlockingHttpCall(const std::string& server, const std::string& address,
                              const std::string& method, const std::string& path, const std::string& body,
                              int timeout_ms, const std::string& from = "");

}  // namespace ryeglade
