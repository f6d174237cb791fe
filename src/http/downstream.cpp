#include "http/downstream.h"

#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <cstring>

#include "base/log.h"
#include "base/socket_error_model.h"

namespace ryeglade {
namespace {

constexpr std::size_t kMostAhead = std::size_t{16} * 1024;
constexpr std::size_t kCongested =
    std::size_t{128} * 1024;               // unsent bytes at which the source is asked to stop
constexpr Time kKeepFor = 60'000'000;      // a connection that was used and says nothing more
constexpr Time kSilentFrom = 500'000;      // without a whole request for this long, it may have to make room
constexpr Time kDrainWithin = 10'000'000;  // a congested client that takes nothing for this long is gone
constexpr Time kLinger = 1'000'000;        // for a last answer to arrive before the socket goes
constexpr Time kHandshakeWithin = 60'000;  // from the call for a connection until it is up
constexpr Time kSweepEvery = 50'000;
constexpr Time kIdleFrom = 200'000;  // what a request may take to follow its connection
constexpr Time kAcceptAgain = 20'000;
constexpr std::uint32_t kMostHead = 16 * 1024;
constexpr int kAcceptsAtOnce = 64;         // in one turn of the loop, so that the others get theirs
constexpr Time kLookForEndEvery = 50'000;  // at a client whose bytes are not read for now
constexpr int kLooksForRoom = 4;           // at connections that might go, for each that comes
constexpr Time kReadNext = 10'000;         // for the loop to read what waits at a connection that has expired

const char* Reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Error";
  }
}

}  // namespace

const std::string* HttpRequest::Header(std::string_view name) const {
  for (const auto& [field, value] : headers) {
    if (field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0)
      return &value;
  }
  return nullptr;
}

Downstream::Downstream(const Runtime* run, Front* front, Options options)
    : core_(run),
      front_(front),
      options_(std::move(options)),
      most_(options_.most_sockets * 9 / 10),
      surplus_(options_.most_sockets - most_),
      listener_(run->loop, [this] { Accept(); }) {}

std::string Downstream::Listen() {
  http_parser_set_max_header_size(kMostHead);
  return options_.listen = listener_.Listen(options_.listen, options_.share_port);
}

// ---- Connections ----

// Guards against closing a connection on which a request is on its way: one that is new, or has just had its
// answer, is not idle yet, nor is one whose next request has reached this machine and waits to be read.
bool Downstream::Idle(const Client& c) {
  return c.state == State::kIdle && Now() - c.idle_since >= kIdleFrom && c.tcp->unsent() == 0;
}

// Ends an idle connection in order: the client gets the end behind every byte of its last answer, and closes.
// A request that crosses the end stays unread, so that its client may send it again on another connection;
// read and left without an answer it would be lost.
void Downstream::CloseInOrder(Handle handle, CloseReason why) {
  Client& c = *clients_.Get(handle);
  c.state = State::kLingering;
  c.ends_as = why;
  c.idle_since = Now();
  c.keep_alive = false;
  c.tcp->StopReading();
  c.tcp->EndWriting();
  Linger(handle);
  WatchUnread(handle);
}

// Guards against running out of descriptors. First goes who has had a last answer and lingers, then who has
// been idle longest after an answer, which it may at any time between requests; then who has sent no whole
// request for long: usual clients send theirs as soon as they are connected.
bool Downstream::MakeRoom() {
  if (clients_.size() < most_) return true;
  for (int look = 0; look < kLooksForRoom; ++look) {
    const Handle handle = LeastNeeded();
    Client* c = clients_.Get(handle);
    if (c == nullptr) return false;
    if (c->state == State::kLingering || c->tcp->Quiet()) {
      Drop(handle, CloseReason::kMadeRoom);
      return true;
    }
    c->idle_since = Now();  // more of its request waits to be read
  }
  return false;
}

// 0: every connection is needed.
Handle Downstream::LeastNeeded() const {
  const auto place = [](const Client& c) -> std::pair<int, Time> {
    if (c.state == State::kLingering && c.tcp->unsent() == 0) return {0, c.idle_since};
    if (c.used && Idle(c)) return {1, c.idle_since};
    const bool silent = c.state == State::kReading || (!c.used && c.state == State::kIdle);
    if (silent && Now() - c.idle_since >= kSilentFrom) return {2, c.idle_since};
    return {3, 0};
  };
  Handle first = 0;
  std::pair<int, Time> best{3, 0};
  for (const Handle handle : clients_.All()) {
    const auto at = place(*clients_.Get(handle));
    if (at < best) {
      first = handle;
      best = at;
    }
  }
  return first;
}

// Guards against a connection that holds a socket and says nothing, or not all: it gets an error if it has
// begun to speak, and is closed. Used connections have longer, as their clients may come back.
void Downstream::Expire(Handle handle, Time at) {
  Client& c = *clients_.Get(handle);
  core_->deadlines->Cancel(c.deadline);
  c.deadline = core_->deadlines->Set(at, [this, handle] {
    Client* slow = clients_.Get(handle);
    if (slow == nullptr) return;
    if (slow->state == State::kIdle && !slow->tcp->Quiet()) return Expire(handle, Now() + kReadNext);
    if (slow->state == State::kIdle) return CloseInOrder(handle, CloseReason::kSilent);
    if (slow->state == State::kReading) Unfinished(handle, 408, "slow-sender");
  });
}

// The last answer of a connection whose request is not whole.
void Downstream::Unfinished(Handle handle, int status, const char* why) {
  Client& c = *clients_.Get(handle);
  core_->deadlines->Cancel(c.deadline);
  c.state = State::kAnswering;
  c.keep_alive = false;
  Log(Level::kWarn, "local-reply", {{"status", status}, {"why", why}});
  Error(handle, status);
}

void Downstream::Accept() {
  for (int n = 0; n < kAcceptsAtOnce && listener_.listening(); ++n) {
    if (!MakeRoom() && clients_.size() >= most_ + surplus_) return AcceptLater("no-room");
    if (!AcceptOne()) return;
  }
}

// Guards against a connection that is never taken up, and against a loop that spins on what can't be
// accepted: clients that become idle close nothing themselves, and a machine that is short of something tells
// no one when it has it again.
void Downstream::AcceptLater(const char* why) {
  listener_.Pause();
  if (!waiting_) Log(Level::kWarn, "accept-waits", {{"clients", clients_.size()}, {"why", why}});
  waiting_ = true;
  core_->deadlines->Set(Now() + kAcceptAgain, [this] {
    if (!listener_.listening()) return;
    listener_.Resume();
    Accept();
  });
}

// False: nothing more can be accepted now.
bool Downstream::AcceptOne() {
  int error = 0;
  const int fd = listener_.Accept(&error);
  if (fd >= 0) {
    waiting_ = false;
    Add(fd);
    return true;
  }
  const AcceptStep next = AfterAcceptError(error);
  if (next == AcceptStep::kTryLater) AcceptLater(std::strerror(error));
  return next == AcceptStep::kTryNext;
}

// `fd`: a connection already accepted.
void Downstream::Add(int fd) {
  const bool surplus = clients_.size() >= most_;
  const Handle handle = clients_.Add(Client(core_->buffers, options_.most_body));
  Client& c = *clients_.Get(handle);
  c.tcp = Tcp::New(core_->loop, core_->buffers, this, handle);
  c.surplus = surplus;
  http_parser_init(&c.parser, HTTP_REQUEST);
  c.idle_since = Now();
  if (!c.tcp->Open(fd)) return Drop(handle, CloseReason::kWriteFailed);
  if (options_.admits && !options_.admits(c.tcp->Peer())) {
    Log(Level::kWarn, "client-not-admitted");
    return Drop(handle, CloseReason::kNotAdmitted);
  }
  Expire(handle, Now() + options_.read_within);
  c.tcp->Read();
}

void Downstream::Drop(Handle handle, CloseReason why) {
  Client* c = clients_.Get(handle);
  if (c == nullptr) return;
  ++closed_[static_cast<std::size_t>(why)];
  Log(Level::kDebug, "client-closed", {{"why", Name(why)}, {"used", c->used}, {"unsent", c->tcp->unsent()}});
  core_->deadlines->Cancel(c->deadline);
  c->tcp->Close();
  clients_.Remove(handle);
}

// The client left or its connection broke. Told to the front if an answer is owed.
void Downstream::Lost(Handle handle, CloseReason why) {
  const Client* c = clients_.Get(handle);
  if (c == nullptr) return;
  const bool owed = c->state == State::kAnswering;
  Drop(handle, why);
  if (owed) front_->OnGone(handle);
}

void Downstream::OnEnded(Handle handle) { Lost(handle, CloseReason::kClientEnded); }

void Downstream::Drain() { draining_ = true; }

void Downstream::CloseIdle() {
  for (const Handle handle : clients_.All()) {
    const Client& c = *clients_.Get(handle);
    if (Idle(c) && c.tcp->Quiet()) CloseInOrder(handle, CloseReason::kIdle);
  }
}

void Downstream::StopListening() { listener_.Close(); }

// Guards against resets: a connection that the kernel has set up and nobody has taken goes with the listener.
// The loop would take them only on its next turn, and more come until then.
void Downstream::TakeWaiting() {
  while (listener_.listening() && clients_.size() < most_ + surplus_ && AcceptOne()) {
  }
}

// In two steps: connections that were called for before the first one are up before the second one.
void Downstream::StopAccepting() {
  if (!listener_.listening() || stopping_ != 0) return;
  listener_.StopNew();
  stopping_ = Now();
  core_->deadlines->Set(stopping_ + kHandshakeWithin, [this] { CloseListener(); });
}

void Downstream::CloseListener() {
  stopping_ = 0;
  if (!listener_.listening()) return;
  TakeWaiting();
  waiting_ = false;
  StopListening();
  Log(Level::kInfo, "listener-closed", {{"clients", clients_.size()}});
}

void Downstream::EndUnfinished() {
  for (const Handle handle : clients_.All()) {
    Client* c = clients_.Get(handle);
    if (c != nullptr && c->state == State::kReading) Unfinished(handle, 503, "ending");
  }
}

bool Downstream::Settled(Time quiet) const {
  if (listener_.listening()) return false;
  const Time now = Now();
  for (const Handle handle : clients_.All()) {
    const Client& c = *clients_.Get(handle);
    const bool answered = c.state == State::kLingering && c.tcp->unsent() == 0;
    if (!answered || now - c.idle_since < quiet) return false;
  }
  return true;
}

void Downstream::Yield() {
  yielded_ = draining_ = true;
  // At once: the other process at this address takes what comes, and a call that is dropped here would come
  // again only after a second.
  listener_.StopNew();
  CloseListener();
  CloseIdle();
  SweepIdle();
}

// What becomes idle later goes too: nothing new is taken on it.
void Downstream::SweepIdle() {
  if (!yielded_) return;
  CloseIdle();
  if (clients_.size() > 0) core_->deadlines->Set(Now() + kSweepEvery, [this] { SweepIdle(); });
}

void Downstream::TakeUp() {
  if (!yielded_) return;
  yielded_ = draining_ = false;
  Listen();
}

void Downstream::Limit(std::size_t most_sockets) {
  most_ = most_sockets * 9 / 10;
  surplus_ = most_sockets - most_;
}

void Downstream::Close() {
  yielded_ = false;
  StopListening();
  for (const Handle handle : clients_.All()) Drop(handle, CloseReason::kProcessEnds);
}

// ---- Requests ----

const http_parser_settings& Downstream::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = [](http_parser* p, const char* at, std::size_t n) {
      static_cast<Client*>(p->data)->request.target.append(at, n);
      return 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      Client& c = *static_cast<Client*>(p->data);
      if (c.request.headers.empty() || c.value_next) c.request.headers.emplace_back();
      c.value_next = false;
      c.request.headers.back().first.append(at, n);
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      Client& c = *static_cast<Client*>(p->data);
      c.value_next = true;
      c.request.headers.back().second.append(at, n);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
      Client& c = *static_cast<Client*>(p->data);
      c.request.method = http_method_str(static_cast<http_method>(p->method));
      c.request.http11 = p->http_major == 1 && p->http_minor >= 1;
      c.keep_alive = http_should_keep_alive(p) != 0;
      if (p->method == HTTP_CONNECT) c.reject = 405;
      if ((p->flags & F_CONTENTLENGTH) != 0 && p->content_length > c.most_body) c.reject = 413;
      if (c.reject != 0) return -1;
      p->upgrade = 0;  // offers to change the protocol are passed over
      const std::string* expect = c.request.Header("expect");
      if (expect != nullptr && strcasecmp(expect->c_str(), "100-continue") == 0) {
        c.tcp->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
      Client& c = *static_cast<Client*>(p->data);
      if (c.request.body.size() + n > c.most_body) {
        c.reject = 413;
      } else if (!c.request.body.Append({at, n})) {
        c.reject = 503;
      }
      return c.reject != 0 ? 1 : 0;
    };
    s.on_message_complete = [](http_parser* p) {
      static_cast<Client*>(p->data)->complete = true;
      http_parser_pause(p, 1);  // one request at a time
      return 0;
    };
    return s;
  }();
  return settings;
}

void Downstream::OnRead(Handle handle, std::string_view bytes) {
  Client* c = clients_.Get(handle);
  if (c == nullptr || c->state == State::kLingering) return;
  c->ahead.append(bytes);
  c->arrivals.Add(bytes.size(), Now());
  if (c->state == State::kAnswering) {
    if (c->ahead.size() > kMostAhead) {
      c->tcp->StopReading();
      WatchPaused(handle);
    }
    return;
  }
  Feed(handle);
}

// Guards against work for a client that has gone: while its bytes are not read, its end does not show in
// them.
void Downstream::WatchPaused(Handle handle) {
  core_->deadlines->Set(Now() + kLookForEndEvery, [this, handle] {
    const Client* c = clients_.Get(handle);
    if (c == nullptr || c->state != State::kAnswering || c->ahead.size() <= kMostAhead) return;
    c->tcp->PeerClosed() ? Lost(handle, CloseReason::kClientEnded) : WatchPaused(handle);
  });
}

// The same for a connection that was ended while idle: it goes as soon as its client has closed it too.
void Downstream::WatchUnread(Handle handle) {
  core_->deadlines->Set(Now() + kLookForEndEvery, [this, handle] {
    const Client* c = clients_.Get(handle);
    if (c == nullptr) return;
    c->tcp->PeerClosed() ? Drop(handle, c->ends_as) : WatchUnread(handle);
  });
}

// Parses what was read, up to the end of one request; and the next if the first is answered meanwhile.
void Downstream::Feed(Handle handle) {
  Client* c = clients_.Get(handle);
  if (c == nullptr || c->feeding) return;
  c->feeding = true;
  while (c != nullptr && !c->ahead.empty() && (c->state == State::kIdle || c->state == State::kReading)) {
    if (c->state == State::kIdle) {
      c->state = State::kReading;
      c->request.first_byte = c->arrivals.First(Now());
      // The first request has its time from the connection's start on.
      if (c->used) Expire(handle, Now() + options_.read_within);
    }
    c->parser.data = c;
    const std::string bytes = std::move(c->ahead);
    c->ahead.clear();
    const std::size_t parsed = http_parser_execute(&c->parser, &Callbacks(), bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&c->parser);
    c->arrivals.Take(c->complete ? parsed : bytes.size());
    if (c->complete) {
      http_parser_pause(&c->parser, 0);
      c->ahead = bytes.substr(std::min(parsed, bytes.size()));
      core_->deadlines->Cancel(c->deadline);
      c->state = State::kAnswering;
      c->used = true;
      if (c->surplus && clients_.size() > most_ && !MakeRoom()) {
        Log(Level::kWarn, "local-reply", {{"status", 503}, {"why", "sockets"}, {"clients", clients_.size()}});
        c->keep_alive = false;
        Error(handle, 503);
      } else {
        HttpRequest request = std::move(c->request);
        front_->OnRequest(handle, std::move(request));
      }
    } else if (error != HPE_OK) {
      const int status = c->reject != 0 ? c->reject : error == HPE_HEADER_OVERFLOW ? 431 : 400;
      Log(Level::kWarn, "local-reply",
          {{"status", status}, {"why", c->reject != 0 ? "limit" : http_errno_name(error)}});
      core_->deadlines->Cancel(c->deadline);
      c->state = State::kAnswering;
      c->keep_alive = false;
      Error(handle, status);
    }
    c = clients_.Get(handle);
  }
  if (c != nullptr) c->feeding = false;
}

// ---- Answers ----

void Downstream::Reply(Handle handle, int status, const std::string& headers, std::string_view body) {
  Client* c = clients_.Get(handle);
  if (c == nullptr || c->state != State::kAnswering) return;
  // What was read behind this request is answered too before the connection goes.
  if (draining_ && c->ahead.empty()) c->keep_alive = false;
  const std::string head = "HTTP/1.1 " + std::to_string(status) + " " + Reason(status) + "\r\n" + headers +
                           (c->keep_alive ? "" : "Connection: close\r\n") +
                           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (!c->tcp->Write({head, body})) return Drop(handle, CloseReason::kWriteFailed);
  Done(handle);
}

void Downstream::Error(Handle handle, int status) {
  std::string headers = status == 503 ? "Retry-After: 1\r\n" : "", body;
  front_->Dress(status, headers, body);
  Reply(handle, status, headers, body);
}

void Downstream::BeginChunks(Handle handle, const std::string& headers) {
  Client* c = clients_.Get(handle);
  if (c == nullptr || c->state != State::kAnswering) return;
  // What was read behind this request is answered too before the connection goes.
  if (draining_ && c->ahead.empty()) c->keep_alive = false;
  Sent(handle,
       c->tcp->Write("HTTP/1.1 200 OK\r\n" + headers + (c->keep_alive ? "" : "Connection: close\r\n") +
                     "Transfer-Encoding: chunked\r\n\r\n"));
}

void Downstream::Chunk(Handle handle, std::string_view bytes) {
  Client* c = clients_.Get(handle);
  if (c == nullptr || c->state != State::kAnswering || bytes.empty()) return;
  char size[24];
  const int n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  Sent(handle, c->tcp->Write({{size, static_cast<std::size_t>(n)}, bytes, "\r\n"}));
}

// A write that fails is acted on a turn later: the caller may be in the middle of handing events on.
void Downstream::Sent(Handle handle, bool written) {
  Client& c = *clients_.Get(handle);
  if (!written) {
    core_->deadlines->Set(Now(), [this, handle] { Lost(handle, CloseReason::kWriteFailed); });
    return;
  }
  if (c.congested || c.tcp->unsent() < kCongested) return;
  c.congested = true;
  c.deadline = core_->deadlines->Set(Now() + kDrainWithin, [this, handle] {
    Log(Level::kWarn, "client-stuck");
    Lost(handle, CloseReason::kClientStuck);
  });
  front_->OnFlow(handle, true);
}

void Downstream::OnDrained(Handle handle) {
  Client* c = clients_.Get(handle);
  if (c == nullptr) return;
  if (c->state == State::kLingering) Linger(handle);
  if (!c->congested) return;
  c->congested = false;
  core_->deadlines->Cancel(c->deadline);
  if (c->state == State::kAnswering) front_->OnFlow(handle, false);
}

void Downstream::EndChunks(Handle handle) {
  Client* c = clients_.Get(handle);
  if (c == nullptr || c->state != State::kAnswering) return;
  if (!c->tcp->Write("0\r\n\r\n")) return Drop(handle, CloseReason::kWriteFailed);
  Done(handle);
}

void Downstream::Abort(Handle handle) { Drop(handle, CloseReason::kAborted); }

void Downstream::EndBroken(Handle handle) {
  Client* c = clients_.Get(handle);
  if (c == nullptr || c->state != State::kAnswering) return;
  c->keep_alive = false;
  Done(handle);
}

sockaddr_storage Downstream::PeerOf(Handle handle) {
  const Client* c = clients_.Get(handle);
  return c == nullptr ? sockaddr_storage{} : c->tcp->Peer();
}

bool Downstream::Connected(Handle handle) const {
  const Client* c = clients_.Get(handle);
  return c != nullptr && !c->tcp->PeerClosed();
}

void Downstream::CloseAfter(Handle handle) {
  if (Client* c = clients_.Get(handle)) c->keep_alive = false;
}

void Downstream::Linger(Handle handle) {
  Client& c = *clients_.Get(handle);
  core_->deadlines->Cancel(c.deadline);
  c.deadline = core_->deadlines->Set(Now() + (c.tcp->unsent() > 0 ? kDrainWithin : kLinger),
                                     [this, handle] { Drop(handle, clients_.Get(handle)->ends_as); });
}

// The answer is given. The connection goes on, or ends in an orderly way: closing a socket with bytes unread
// would reset it and could take the answer with it.
void Downstream::Done(Handle handle) {
  Client& c = *clients_.Get(handle);
  c.idle_since = Now();
  if (!c.keep_alive) {
    c.state = State::kLingering;
    c.congested = false;
    c.ahead.clear();
    c.arrivals = {};
    c.tcp->Read();
    c.tcp->EndWriting();
    return Linger(handle);
  }
  c.state = State::kIdle;
  c.request = HttpRequest(core_->buffers);
  c.value_next = c.complete = false;
  c.reject = 0;
  http_parser_init(&c.parser, HTTP_REQUEST);
  Expire(handle, c.idle_since + kKeepFor);
  c.tcp->Read();
  if (!c.ahead.empty()) Feed(handle);
}

}  // namespace ryeglade
