// A blocking HTTP/1.1 request, for commands and for threads that have no event loop.
#pragma once

#include <string>

namespace ryeglade {

struct HttpResponse {
  unsigned status = 0;
  std::string body;
};

// Sends a request to the server at `address` ("ip:port") and returns its response. `server` is a description
// of the server for error messages. Each socket call may take `timeout_ms`, and the whole call about twice
// that. `source_ip` is the local address to connect from; if it is empty, the system chooses. Throws
// std::runtime_error if there is no complete response.
HttpResponse BlockingHttpCall(const std::string& server, const std::string& address,
                              const std::string& method, const std::string& path, const std::string& body,
                              int timeout_ms, const std::string& source_ip = "");

}  // namespace ryeglade
