#include "lab/load/load_client.h"

#include <netinet/in.h>
#include <strings.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "lab/replay.h"

namespace ryeglade::load {
namespace {

constexpr Time kMaxIdleTime = 2'000'000;

bool IsLoopback(const sockaddr_storage& a) {
  if (a.ss_family == AF_INET)
    return (ntohl(reinterpret_cast<const sockaddr_in&>(a).sin_addr.s_addr) >> 24) == 127;
  return a.ss_family == AF_INET6 && IN6_IS_ADDR_LOOPBACK(&reinterpret_cast<const sockaddr_in6&>(a).sin6_addr);
}

}  // namespace

LoadClient::LoadClient(const Runtime* run, const LoadPlan& plan, const LoadTarget& target)
    : run_(run), plan_(plan), target_(target), schedule_(Arrivals(plan)), tally_(plan) {
  if (!ParseAddress(target.address, &to_))
    throw std::runtime_error("'" + target.address +
                             "' is not an address; expected ip:port, e.g. 127.0.0.1:8080");
  if (!IsLoopback(to_))
    throw std::runtime_error(target.address +
                             " is not on loopback; load is sent only to 127.0.0.0/8 or [::1]");
}

LoadClient::~LoadClient() {
  for (const Handle handle : connections_.All()) Drop(handle);
  run_->deadlines->Cancel(wake_);
}

void LoadClient::Start() {
  start_ = Now();
  SendDue();
}

// Sends all requests that are due and sets a timer for the next one.
void LoadClient::SendDue() {
  while (next_ < schedule_.size() && start_ + schedule_[next_].at <= Now()) Send(next_++);
  if (next_ < schedule_.size())
    wake_ = run_->deadlines->Set(start_ + schedule_[next_].at, [this] { SendDue(); });
}

void LoadClient::Send(std::size_t n) {
  if (!schedule_[n].new_connection) {
    while (!idle_.empty()) {
      const Handle handle = idle_.back();
      idle_.pop_back();
      const Connection* c = connections_.Get(handle);
      if (c == nullptr) continue;
      // The node may be closing a connection that has been idle for long.
      if (Now() - c->idle_since < kMaxIdleTime) return SendRequest(handle, n);
      Drop(handle);
    }
  }
  if (connections_.size() >= target_.max_connections) {
    Response response;
    response.outcome = Outcome::kNotSent;
    tally_.Record(schedule_[n], response);
    ++ended_;
    return;
  }
  const Handle handle = connections_.Add({});
  Connection& c = *connections_.Get(handle);
  c.client = this;
  c.tcp = Tcp::New(run_->loop, run_->buffers, this, handle);
  ++opened_connections_;
  const bool connecting = c.tcp->Connect(to_) == 0;
  SendRequest(handle, n);
  if (!connecting) Finish(handle);
}

void LoadClient::SendRequest(Handle handle, std::size_t n) {
  Connection& c = *connections_.Get(handle);
  const ScheduledRequest& request = schedule_[n];
  const LoadClass& load_class = plan_.classes[request.cls];
  lab::TraceLine line;
  line.cls = load_class.name;
  line.system = "You answer from rule book " + std::to_string(request.prefix) + ". " + std::string(400, 'r');
  line.prompt = "Question " + std::to_string(n) + " of " + std::to_string(plan_.seed) + ": " +
                std::string(request.prompt_bytes, 'q');
  line.max_tokens = request.tokens;
  line.deadline_ms = load_class.deadline / 1000;
  c.request_text = lab::RequestOf(line, n, target_.openai, target_.key);
  c.request_index = n;
  c.response = {};
  c.status = 0;
  c.stream_done = c.error = c.complete = c.retry_after = c.in_retry_after = false;
  c.events = EventStream(std::size_t{1} << 20);
  http_parser_init(&c.parser, HTTP_RESPONSE);
  c.response.sent = std::max<Time>(1, Now() - start_);
  c.give_up = run_->deadlines->Set(start_ + request.at + target_.give_up, [this, handle] { Finish(handle); });
  if (c.connected && !c.tcp->Write(c.request_text)) Finish(handle);
}

void LoadClient::OnConnected(Handle handle, int status) {
  Connection* c = connections_.Get(handle);
  if (c == nullptr) return;
  if (status != 0) return Finish(handle);
  c->connected = true;
  c->tcp->StartReading();
  if (!c->tcp->Write(c->request_text)) Finish(handle);
}

const http_parser_settings& LoadClient::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      Connection& c = *static_cast<Connection*>(p->data);
      c.in_retry_after = n == 11 && strncasecmp(at, "retry-after", n) == 0;
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char*, std::size_t n) {
      Connection& c = *static_cast<Connection*>(p->data);
      c.retry_after = c.retry_after || (c.in_retry_after && n > 0);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
      static_cast<Connection*>(p->data)->status = p->status_code;
      return 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
      Connection& c = *static_cast<Connection*>(p->data);
      if (c.status != 200) return 0;
      const bool good = c.events.Feed({at, n}, [&](const EventStream::Event& e) {
        if (!e.has_data) return true;
        if (c.response.first == 0) c.response.first = std::max<Time>(1, Now() - c.client->start_);
        if (e.data == "[DONE]") {
          c.stream_done = true;
        } else if (e.data.starts_with("{\"error\"")) {
          c.error = true;
        }
        return true;
      });
      return good ? 0 : 1;
    };
    s.on_message_complete = [](http_parser* p) {
      static_cast<Connection*>(p->data)->complete = true;
      http_parser_pause(p, 1);
      return 0;
    };
    return s;
  }();
  return settings;
}

void LoadClient::OnRead(Handle handle, std::string_view bytes) {
  Connection* c = connections_.Get(handle);
  if (c == nullptr) return;
  if (c->request_index == kIdle) return Drop(handle);  // data without a request
  c->parser.data = c;
  http_parser_execute(&c->parser, &Callbacks(), bytes.data(), bytes.size());
  if (c->complete || HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) Finish(handle);
}

void LoadClient::OnDisconnected(Handle handle) { Finish(handle); }

void LoadClient::Finish(Handle handle) {
  Connection* c = connections_.Get(handle);
  if (c == nullptr) return;
  if (c->request_index == kIdle) return Drop(handle);
  Response response = c->response;
  response.ended = std::max<Time>(1, Now() - start_);
  response.retry_after = c->retry_after;
  if (c->status == 0) {
    response.outcome = Outcome::kNothing;
  } else if (c->status == 429 || c->status == 503) {
    response.outcome = Outcome::kRefused;
  } else if (c->status >= 400 && c->status < 500) {
    response.outcome = Outcome::kRejected;
  } else if (c->status != 200) {
    response.outcome = Outcome::kFailed;
  } else {
    response.outcome = c->complete && c->stream_done && !c->error && response.first > 0 ? Outcome::kServed
                                                                                        : Outcome::kBroken;
  }
  run_->deadlines->Cancel(c->give_up);
  const std::size_t n = c->request_index;
  const bool keep =
      c->complete && c->connected && !schedule_[n].new_connection && http_should_keep_alive(&c->parser) != 0;
  tally_.Record(schedule_[n], response);
  ++ended_;
  if (!keep) return Drop(handle);
  c->request_index = kIdle;
  c->idle_since = Now();
  idle_.push_back(handle);
}

void LoadClient::Drop(Handle handle) {
  Connection* c = connections_.Get(handle);
  run_->deadlines->Cancel(c->give_up);
  c->tcp->Close();
  connections_.Remove(handle);
}

}  // namespace ryeglade::load
