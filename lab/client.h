// A client for loopback: one request on one connection, answered to its end. It reports what came, byte for
// byte.
#pragma once

#include <http_parser.h>

#include <functional>
#include <string>

#include "base/runtime.h"
#include "base/tcp.h"

namespace ryeglade::lab {

struct Reply {
  int status = 0;       // 0: nothing that could be read
  std::string headers;  // name: value lines, names in lower case
  std::string body;
  bool complete = false;  // the last chunk, or all of its length, has come
  Time started = 0, first_byte = 0, ended = 0;
  std::string Header(const std::string& name) const;
};

class Client : public TcpOwner {
 public:
  using Done = std::function<void(const Reply&)>;
  explicit Client(const Runtime* run) : run_(run) {}

  // Sends `request` (its bytes as they are) to ip:port. `most` bounds the wait; what has come by then is
  // reported.
  void Send(const std::string& to, std::string request, Time most, Done done);
  std::size_t open() const { return calls_.size(); }

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
    bool value_next = false;
    Done done;
    DeadlineId deadline{};
  };
  void End(Handle call);
  static const http_parser_settings& Callbacks();

  const Runtime* run_;
  SlotTable<Call> calls_;
};

// The bytes of a POST with a JSON body.
std::string Post(const std::string& path, const std::string& headers, const std::string& body);

}  // namespace ryeglade::lab
