#include "lab/client.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace ryeglade::lab {

std::string Reply::Header(const std::string& name) const {
  const std::string mark = "\n" + name + ": ";
  const std::size_t at = headers.find(mark);
  if (at == std::string::npos) return "";
  const std::size_t from = at + mark.size();
  return headers.substr(from, headers.find('\n', from) - from);
}

std::string Post(const std::string& path, const std::string& headers, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: lab\r\n" + headers +
         "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

void Client::Send(const std::string& to, std::string request, Time timeout, Done done) {
  const Handle handle = calls_.Add({});
  Call& c = *calls_.Get(handle);
  c.tcp = Tcp::New(runtime_->loop, runtime_->buffers, this, handle);
  c.request = std::move(request);
  c.done = std::move(done);
  c.reply.headers = "\n";
  c.reply.started = Now();
  http_parser_init(&c.parser, HTTP_RESPONSE);
  c.deadline = runtime_->deadlines->Set(Now() + timeout, [this, handle] { End(handle); });
  sockaddr_storage address{};
  if (!ParseAddress(to, &address) || c.tcp->Connect(address) != 0) {
    runtime_->deadlines->Set(Now(), [this, handle] { End(handle); });
  }
}

void Client::OnConnected(Handle handle, int status) {
  Call* c = calls_.Get(handle);
  if (c == nullptr) return;
  if (status != 0) return End(handle);
  c->tcp->StartReading();
  if (!c->tcp->Write(c->request)) End(handle);
}

const http_parser_settings& Client::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      Call& c = *static_cast<Call*>(p->data);
      if (std::exchange(c.has_header_value, false)) c.reply.headers += "\n";
      for (std::size_t i = 0; i < n; ++i) {
        c.reply.headers += static_cast<char>(std::tolower(static_cast<unsigned char>(at[i])));
      }
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      Call& c = *static_cast<Call*>(p->data);
      if (!std::exchange(c.has_header_value, true)) c.reply.headers += ": ";
      c.reply.headers.append(at, n);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
      Call& c = *static_cast<Call*>(p->data);
      c.reply.headers += "\n";
      c.reply.status = p->status_code;
      return 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
      Call& c = *static_cast<Call*>(p->data);
      if (c.reply.first_byte == 0) c.reply.first_byte = Now();
      c.reply.body.append(at, n);
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      static_cast<Call*>(p->data)->reply.complete = true;
      http_parser_pause(p, 1);
      return 0;
    };
    return s;
  }();
  return settings;
}

void Client::OnRead(Handle handle, std::string_view bytes) {
  Call* c = calls_.Get(handle);
  if (c == nullptr) return;
  c->parser.data = c;
  http_parser_execute(&c->parser, &Callbacks(), bytes.data(), bytes.size());
  if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) End(handle);
}

void Client::OnDisconnected(Handle handle) { End(handle); }

void Client::End(Handle handle) {
  Call* c = calls_.Get(handle);
  if (c == nullptr) return;
  runtime_->deadlines->Cancel(c->deadline);
  c->tcp->Close();
  Reply reply = std::move(c->reply);
  reply.ended = Now();
  const Done done = std::move(c->done);
  calls_.Remove(handle);
  done(reply);
}

}  // namespace ryeglade::lab
