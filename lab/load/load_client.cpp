#include "lab/load/load_client.h"

#include <netinet/in.h>
#include <strings.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "lab/replay.h"

namespace ryeglade::load {
namespace {

constexpr Time kMostIdle = 2'000'000;

bool Loopback(const sockaddr_storage& a) {
  if (a.ss_family == AF_INET)
    return (ntohl(reinterpret_cast<const sockaddr_in&>(a).sin_addr.s_addr) >> 24) == 127;
  return a.ss_family == AF_INET6 && IN6_IS_ADDR_LOOPBACK(&reinterpret_cast<const sockaddr_in6&>(a).sin6_addr);
}

}  // namespace

LoadClient::LoadClient(const Runtime* run, const LoadPlan& plan, const LoadTarget& target)
    : run_(run), plan_(plan), target_(target), due_(Arrivals(plan)), tally_(plan) {
  if (!ParseAddress(target.address, &to_))
    throw std::runtime_error("'" + target.address + "' is no address; give ip:port, as 127.0.0.1:8080");
  if (!Loopback(to_))
    throw std::runtime_error(target.address + " is not on loopback; load goes to 127.0.0.0/8 or [::1] only");
}

LoadClient::~LoadClient() {
  for (const Handle handle : links_.All()) Drop(handle);
  run_->deadlines->Cancel(wake_);
}

void LoadClient::Start() {
  start_ = Now();
  Next();
}

// All that is due goes out; then the next one's moment is waited for.
void LoadClient::Next() {
  while (next_ < due_.size() && start_ + due_[next_].at <= Now()) Send(next_++);
  if (next_ < due_.size()) wake_ = run_->deadlines->Set(start_ + due_[next_].at, [this] { Next(); });
}

void LoadClient::Send(std::size_t n) {
  if (!due_[n].fresh) {
    while (!idle_.empty()) {
      const Handle handle = idle_.back();
      idle_.pop_back();
      const Link* l = links_.Get(handle);
      if (l == nullptr) continue;
      // One that has been idle for long may be closed by the node at this very moment.
      if (Now() - l->idle_since < kMostIdle) return Ask(handle, n);
      Drop(handle);
    }
  }
  if (links_.size() >= target_.most_connections) {
    Answer a;
    a.outcome = Outcome::kNotSent;
    tally_.Take(due_[n], a);
    ++ended_;
    return;
  }
  const Handle handle = links_.Add({});
  Link& l = *links_.Get(handle);
  l.client = this;
  l.tcp = Tcp::New(run_->loop, run_->buffers, this, handle);
  ++connected_;
  const bool trying = l.tcp->Connect(to_) == 0;
  Ask(handle, n);
  if (!trying) Finish(handle);
}

void LoadClient::Ask(Handle handle, std::size_t n) {
  Link& l = *links_.Get(handle);
  const Due& d = due_[n];
  const LoadClass& k = plan_.classes[d.cls];
  lab::TraceLine line;
  line.cls = k.name;
  line.system = "You answer from rule book " + std::to_string(d.beginning) + ". " + std::string(400, 'r');
  line.prompt = "Question " + std::to_string(n) + " of " + std::to_string(plan_.seed) + ": " +
                std::string(d.prompt_bytes, 'q');
  line.max_tokens = d.tokens;
  line.deadline_ms = k.deadline / 1000;
  l.request = lab::RequestOf(line, n, target_.openai, target_.key);
  l.due = n;
  l.answer = {};
  l.status = 0;
  l.sse_done = l.error = l.whole = l.retry_after = l.in_retry_after = false;
  l.events = EventStream(std::size_t{1} << 20);
  http_parser_init(&l.parser, HTTP_RESPONSE);
  l.answer.sent = std::max<Time>(1, Now() - start_);
  l.give_up = run_->deadlines->Set(start_ + d.at + target_.give_up, [this, handle] { Finish(handle); });
  if (l.connected && !l.tcp->Write(l.request)) Finish(handle);
}

void LoadClient::OnConnected(Handle handle, int status) {
  Link* l = links_.Get(handle);
  if (l == nullptr) return;
  if (status != 0) return Finish(handle);
  l->connected = true;
  l->tcp->StartReading();
  if (!l->tcp->Write(l->request)) Finish(handle);
}

const http_parser_settings& LoadClient::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      Link& l = *static_cast<Link*>(p->data);
      l.in_retry_after = n == 11 && strncasecmp(at, "retry-after", n) == 0;
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char*, std::size_t n) {
      Link& l = *static_cast<Link*>(p->data);
      l.retry_after = l.retry_after || (l.in_retry_after && n > 0);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
      static_cast<Link*>(p->data)->status = p->status_code;
      return 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
      Link& l = *static_cast<Link*>(p->data);
      if (l.status != 200) return 0;
      const bool good = l.events.Feed({at, n}, [&](const EventStream::Event& e) {
        if (!e.has_data) return true;
        if (l.answer.first == 0) l.answer.first = std::max<Time>(1, Now() - l.client->start_);
        if (e.data == "[DONE]") {
          l.sse_done = true;
        } else if (e.data.starts_with("{\"error\"")) {
          l.error = true;
        }
        return true;
      });
      return good ? 0 : 1;
    };
    s.on_message_complete = [](http_parser* p) {
      static_cast<Link*>(p->data)->whole = true;
      http_parser_pause(p, 1);
      return 0;
    };
    return s;
  }();
  return settings;
}

void LoadClient::OnRead(Handle handle, std::string_view bytes) {
  Link* l = links_.Get(handle);
  if (l == nullptr) return;
  if (l->due == kNobody) return Drop(handle);  // nobody asked
  l->parser.data = l;
  http_parser_execute(&l->parser, &Callbacks(), bytes.data(), bytes.size());
  if (l->whole || HTTP_PARSER_ERRNO(&l->parser) != HPE_OK) Finish(handle);
}

void LoadClient::OnDisconnected(Handle handle) { Finish(handle); }

void LoadClient::Finish(Handle handle) {
  Link* l = links_.Get(handle);
  if (l == nullptr) return;
  if (l->due == kNobody) return Drop(handle);
  Answer a = l->answer;
  a.ended = std::max<Time>(1, Now() - start_);
  a.retry_after = l->retry_after;
  if (l->status == 0) {
    a.outcome = Outcome::kNothing;
  } else if (l->status == 429 || l->status == 503) {
    a.outcome = Outcome::kRefused;
  } else if (l->status >= 400 && l->status < 500) {
    a.outcome = Outcome::kRejected;
  } else if (l->status != 200) {
    a.outcome = Outcome::kFailed;
  } else {
    a.outcome = l->whole && l->sse_done && !l->error && a.first > 0 ? Outcome::kServed : Outcome::kBroken;
  }
  run_->deadlines->Cancel(l->give_up);
  const std::size_t n = l->due;
  const bool keep = l->whole && l->connected && !due_[n].fresh && http_should_keep_alive(&l->parser) != 0;
  tally_.Take(due_[n], a);
  ++ended_;
  if (!keep) return Drop(handle);
  l->due = kNobody;
  l->idle_since = Now();
  idle_.push_back(handle);
}

void LoadClient::Drop(Handle handle) {
  Link* l = links_.Get(handle);
  run_->deadlines->Cancel(l->give_up);
  l->tcp->Close();
  links_.Remove(handle);
}

}  // namespace ryeglade::load
