// An HTTP client for loopback. It opens a connection for each request and reports the response unchanged.
#pragma once

#include <http_parser.h>

#include <functional>
#include <string>

#include "base/runtime.h"
#include "base/tcp.h"

namespace ryeglade::lab {

struct Reply {
  int status = 0;       // 0: no response, or none that could be parsed
  std::string headers;  // lines "name: value", names in lower case; starts with an empty line
  std::string body;
  bool complete = false;  // the last chunk, or the full Content-Length, was received
  Time started = 0, ended = 0;
  Time first_byte = 0;                                // of the body; 0: none came
  std::string Header(const std::string& name) const;  // `name` in lower case; returns "" if it is missing
};

class Client : public TcpOwner {
 public:
  using Done = std::function<void(const Reply&)>;
  explicit Client(const Runtime* runtime) : runtime_(runtime) {}

  // Sends the bytes of `request` to `to` (ip:port) and calls `done` with the response, or after `timeout`
  // with what has been received by then.
  void Send(const std::string& to, std::string request, Time timeout, Done done);
  std::size_t open() const { return calls_.size(); }  // number of requests without an outcome

  void OnConnected(Handle call, int status) override;
  void OnRead(Handle call, std::string_view bytes) override;
  void OnDisconnected(Handle call) override;

 private:
  struct Call {
    Tcp* tcp = nullptr;
    std::string request;
    Reply reply;
    http_parser parser{};
    std::string field;
    bool has_header_value = false;  // set once a part of the current header's value was received
    Done done;
    DeadlineId deadline{};
  };
  void End(Handle call);
  static const http_parser_settings& Callbacks();

  const Runtime* runtime_;
  SlotTable<Call> calls_;
};

// Returns the bytes of a POST request with a JSON body. `headers` consists of whole lines with their CRLF.
std::string Post(const std::string& path, const std::string& headers, const std::string& body);

}  // namespace ryeglade::lab
