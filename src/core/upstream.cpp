#include "core/upstream.h"

#include <strings.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <iterator>
#include <utility>

#include "base/log.h"
#include "base/socket_error_model.h"
#include "core/enum_names.h"
#include "core/streams.h"

namespace ryeglade {
namespace {

constexpr Time kSilence = 4'000'000;  // a stream silent for longer is broken; clients wait 5 s
constexpr Time kProbeTimeout = 1'000'000;
constexpr Time kIdleMargin = 500'000;    // idle connections go this long before the host closes them
constexpr Time kOpenWithin = 1'000'000;  // from an answer's first byte to its first whole event
constexpr Time kRest = 10'000;  // a parked connection is not used again before it has been quiet this long
constexpr Time kConnectAgain = 20'000;  // after a connection that this machine could not open
constexpr std::uint64_t kMostChunk = std::uint64_t{256} * 1024;

// The parser as Debian builds it passes over whatever stands where a chunk's line end should be, so that a
// chunk that is longer than it says would go on as another. False: something else stands there.
bool TakeLineEnd(std::string_view& wanted, const char* at, const char* end) {
  const std::size_t n = std::min(wanted.size(), static_cast<std::size_t>(end - at));
  if (wanted.substr(0, n) != std::string_view(at, n)) return false;
  wanted.remove_prefix(n);
  return true;
}

}  // namespace

// ---- Hosts and connections ----

void Upstream::SetHost(ReplicaId id, const std::string& host_port) {
  Host& host = hosts_[id];
  if (host.host_port == host_port) return;
  if (!host.host_port.empty()) Log(Level::kInfo, "host-moved", {{"replica", Hex8(id)}, {"to", host_port}});
  const std::vector<Handle> idle = std::exchange(host.idle, {});
  for (const Handle c : idle) Drop(c);
  host.host_port = host_port;
  ParseAddress(host_port, &host.address);
}

std::string Upstream::AddressOf(ReplicaId id) const {
  const auto host = hosts_.find(id);
  return host == hosts_.end() ? std::string() : host->second.host_port;
}

void Upstream::RemoveHost(ReplicaId id) {
  const auto it = hosts_.find(id);
  if (it == hosts_.end()) return;
  const std::vector<Handle> idle = std::exchange(it->second.idle, {});
  for (const Handle c : idle) Drop(c);
  hosts_.erase(it);
  DropUnsent(id);
}

// Guards against a connection that comes up late: by then the host may have been asked to be left alone for
// longer than what is on its way may take.
void Upstream::DropUnsent(ReplicaId id) {
  for (const Handle handle : requests_.All()) {
    const Request* r = requests_.Get(handle);
    if (r != nullptr && r->replica == id && !Written(*r)) Finish(handle, Outcome::kNotSent);
  }
}

bool Upstream::Written(const Request& request) const {
  const Connection* c = connections_.Get(request.connection);
  return c != nullptr && c->written;
}

// Guards against running out of descriptors: the connection that has been idle longest goes first.
bool Upstream::MakeRoom() {
  if (connections_.size() < most_sockets_) return true;
  Handle oldest = 0;
  Time since = 0;
  for (const auto& [id, host] : hosts_) {
    if (host.idle.empty()) continue;
    const Connection* c = connections_.Get(host.idle.front());
    if (c != nullptr && (oldest == 0 || c->idle_since < since)) {
      oldest = host.idle.front();
      since = c->idle_since;
    }
  }
  if (oldest == 0) return false;
  Drop(oldest);
  return true;
}

Upstream::Connecting Upstream::Connect(ReplicaId to, Handle request) {
  if (!MakeRoom()) return {0, EMFILE};
  const Handle handle = connections_.Add({});
  Connection& c = *connections_.Get(handle);
  c.host = to;
  c.request = request;
  c.tcp = Tcp::New(core_->loop, core_->buffers, this, handle);
  c.deadline = core_->deadlines->Set(Now() + core_->config->settings.connect_timeout, [this, handle] {
    const Connection* late = connections_.Get(handle);
    if (late != nullptr && !late->connected) Finish(late->request, Outcome::kConnectFailed);
  });
  const int error = c.tcp->Connect(hosts_.at(to).address);
  if (error == 0) return {handle, 0};
  Drop(handle);
  return {0, -error};  // libuv's codes are errno's values, negated
}

void Upstream::Drop(Handle handle) {
  Connection* c = connections_.Get(handle);
  if (c == nullptr) return;
  const auto host = hosts_.find(c->host);
  if (host != hosts_.end()) std::erase(host->second.idle, handle);
  core_->deadlines->Cancel(c->deadline);
  c->tcp->Close();
  connections_.Remove(handle);
}

// Back to the pool, to be dropped some time before the host would: a request that crosses the host's own
// close ends as a reset.
void Upstream::Park(Handle handle) {
  Connection& c = *connections_.Get(handle);
  const auto host = hosts_.find(c.host);
  if (host == hosts_.end()) return Drop(handle);
  c.request = 0;
  c.written = false;
  c.response = {};
  c.first_byte = 0;
  c.tcp->Read();  // it may have been paused for its last client
  c.idle_since = Now();
  const Time most = core_->config->idle_timeout;
  core_->deadlines->Cancel(c.deadline);
  c.deadline = core_->deadlines->Set(c.idle_since + most - std::min(kIdleMargin, most / 4),
                                     [this, handle] { Drop(handle); });
  host->second.idle.push_back(handle);
}

void Upstream::Close() {
  for (const Handle c : connections_.All()) Drop(c);
}

// ---- Requests ----

void Upstream::Send(Handle stream, ReplicaId to, Time timeout, Time write_within) {
  Stream* s = core_->responses->Find(stream);
  Request r;
  r.stream = stream;
  r.replica = to;
  if (s == nullptr) {
    // Which attempt it would have been is gone with the stream; the module passes over those that are not
    // out.
    for (int n = 0; n < core_->config->settings.max_attempts; ++n) {
      core_->events->Post(policy::AttemptEnded{stream, n, to, Outcome::kNotSent, 0, true, 0, {}});
    }
    return;
  }
  r.attempt = s->attempts++;
  const Time now = Now();
  if (write_within > 0) r.write_by = now + write_within;
  const Time patience = s->deadline - now;
  Time deadline = s->deadline - Streams::Margin(patience, Streams::kTimeoutMargin);
  if (timeout > 0) deadline = std::min(deadline, now + timeout);
  if (s->started || s->upstream_request != 0 || patience <= 0) {
    core_->events->Post(policy::AttemptEnded{stream, r.attempt, to, Outcome::kNotSent, 0, s->started, 0, {}});
    return;
  }
  Begin(r, deadline);
}

void Upstream::CheckHealth(ReplicaId to) {
  Request r;
  r.replica = to;
  Begin(r, Now() + kProbeTimeout);
}

void Upstream::Begin(Request request, Time deadline) {
  request.sent_at = Now();
  const Handle handle = requests_.Add(request);
  Request& r = *requests_.Get(handle);
  if (Stream* s = core_->responses->Find(r.stream)) s->upstream_request = handle;
  const auto host = hosts_.find(r.replica);
  if (host == hosts_.end()) return Finish(handle, Outcome::kConnectFailed);
  r.until = deadline;
  Expect(handle, deadline);
  if (const Handle idle = TakeIdle(host->second); idle != 0) {
    r.connection = idle;
    connections_.Get(idle)->request = handle;
    return Write(idle);
  }
  OpenConnection(handle);
}

// A connection that this machine cannot open for now says nothing of the host: it is tried again until a
// connection would have had to be up, and then the attempt counts as not sent.
void Upstream::OpenConnection(Handle handle) {
  Request* r = requests_.Get(handle);
  if (r == nullptr || r->connection != 0) return;
  if (!hosts_.contains(r->replica)) return Finish(handle, Outcome::kConnectFailed);
  const Connecting connecting = Connect(r->replica, handle);
  r = requests_.Get(handle);
  if (r == nullptr) return;
  r->connection = connecting.connection;
  if (connecting.error == 0) return;
  if (!IsLocalConnectError(connecting.error)) return Finish(handle, Outcome::kConnectFailed);
  RetryConnection(handle, connecting.error);
}

void Upstream::RetryConnection(Handle handle, int error) {
  const Request& r = *requests_.Get(handle);
  Log(Level::kWarn, "no-socket", {{"replica", Hex8(r.replica)}, {"why", std::strerror(error)}});
  const Time again = Now() + kConnectAgain;
  if (again >= r.sent_at + core_->config->settings.connect_timeout) return Finish(handle, Outcome::kNotSent);
  core_->deadlines->Set(again, [this, handle] { OpenConnection(handle); });
}

void Upstream::Expect(Handle handle, Time by) {
  Request& r = *requests_.Get(handle);
  core_->deadlines->Cancel(r.deadline);
  r.deadline = core_->deadlines->Set(by, [this, handle] { Abort(handle); });
}

void Upstream::Abort(Handle handle) {
  const Request* r = requests_.Get(handle);
  if (r == nullptr) return;
  if (!Written(*r)) return Finish(handle, Outcome::kConnectFailed);
  const bool begun = connections_.Get(r->connection)->first_byte != 0;
  Finish(handle, begun ? Outcome::kReset : Outcome::kTimeout);
}

void Upstream::ShortenDeadline(Handle handle, Time at) {
  Request* r = requests_.Get(handle);
  if (r == nullptr || r->started || r->until <= at) return;
  r->until = at;
  if (r->deadline.at > at) Expect(handle, at);
}

// Guards against taking for this request's answer a second answer that came right behind the last one: the
// connection must have been quiet for a moment, and nothing, not even its end, may wait to be read.
Handle Upstream::TakeIdle(Host& host) {
  for (std::size_t n = host.idle.size(); n-- > 0;) {
    const Handle handle = host.idle[n];
    const Connection* c = connections_.Get(handle);
    if (c == nullptr || Now() - c->idle_since < kRest) continue;
    // A process that was held up may look here before the deadline that ends the connection has been swept; a
    // host that has forgotten the connection sends nothing that would show it.
    if (Now() < c->deadline.at && c->tcp->Quiet()) {
      host.idle.erase(host.idle.begin() + static_cast<std::ptrdiff_t>(n));
      return handle;
    }
    Drop(handle);  // it takes itself out of the list
  }
  return 0;
}

// Between the decision to send and the first byte a connection may have had to come up, and the process may
// have been held up: whatever forbids the attempt by now keeps it from being written.
bool Upstream::MayWrite(Handle handle) {
  const Request& r = *requests_.Get(handle);
  if (r.stream == 0) return true;
  const Stream* s = core_->responses->Find(r.stream);
  const Time now = Now();
  if (s == nullptr || now >= r.until || (r.write_by != 0 && now > r.write_by)) {
    Finish(handle, Outcome::kNotSent);
    return false;
  }
  return core_->responses->CheckClientConnected(r.stream);
}

void Upstream::Write(Handle handle) {
  if (!MayWrite(connections_.Get(handle)->request)) return;
  Connection& c = *connections_.Get(handle);
  core_->deadlines->Cancel(c.deadline);
  c.response = {};
  c.response.dialect = core_->dialect;
  http_parser_init(&c.parser, HTTP_RESPONSE);
  c.parser.data = &c.response;
  const Request& r = *requests_.Get(c.request);
  const std::string& host_port =
      hosts_.contains(c.host) ? hosts_.at(c.host).host_port : std::string("replica");
  bool ok = false;
  if (Stream* s = core_->responses->Find(r.stream)) {
    ok = c.tcp->Write(core_->dialect->RequestHead(s->request, host_port, r.until - Now()));
    for (const std::string_view piece : s->request.body.Pieces()) ok = ok && c.tcp->Write(piece);
    if (ok) ++s->written;
    if (ok && core_->counters != nullptr) ++core_->counters->backend_calls;
  } else if (r.stream == 0) {
    ok = c.tcp->Write(core_->dialect->ProbeHead(host_port));
  }
  c.written = ok;
  if (!ok) Broke(handle);
}

void Upstream::OnConnected(Handle handle, int status) {
  Connection* c = connections_.Get(handle);
  if (c == nullptr) return;
  if (status != 0 && IsLocalConnectError(-status)) {
    const Handle request = c->request;
    Drop(handle);
    requests_.Get(request)->connection = 0;
    return RetryConnection(request, -status);
  }
  if (status != 0) return Finish(c->request, Outcome::kConnectFailed);
  c->connected = true;
  c->tcp->Read();
  Write(handle);
}

void Upstream::OnEnded(Handle handle) {
  const Connection* c = connections_.Get(handle);
  if (c == nullptr) return;
  c->request == 0 ? Drop(handle) : Broke(handle);
}

// The outcome hangs on whether the request's last byte had been written: only then may it have run.
void Upstream::Broke(Handle handle) {
  const Connection& c = *connections_.Get(handle);
  Finish(c.request, c.written && c.tcp->unsent() == 0 ? Outcome::kReset : Outcome::kConnectFailed);
}

const http_parser_settings& Upstream::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    // Guards against what a 1xx answer ahead said: each answer has headers of its own.
    s.on_message_begin = [](http_parser* p) {
      Response& r = *static_cast<Response*>(p->data);
      const char* end = r.read_end;
      const Dialect* dialect = r.dialect;
      r = {};
      r.read_end = end;
      r.dialect = dialect;
      r.reader = dialect->NewReader();
      return 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      Response& r = *static_cast<Response*>(p->data);
      if (std::exchange(r.value_next, false)) {
        r.field.clear();
        r.value.clear();
      }
      r.field.append(at, n);
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      Response& r = *static_cast<Response*>(p->data);
      r.value_next = true;
      r.value.append(at, n);
      r.reader->OnHeader(r.field, r.value);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
      Response& r = *static_cast<Response*>(p->data);
      r.status = p->status_code;
      r.framed = (p->flags & F_CHUNKED) != 0 || (p->flags & F_CONTENTLENGTH) != 0;
      r.keep = http_should_keep_alive(p) != 0;
      return r.status == 101 ? -1 : 0;  // nobody asked for another protocol
    };
    // Guards against a chunk that is said to have gigabytes: it would pass as events for ever.
    s.on_chunk_header = [](http_parser* p) {
      Response& r = *static_cast<Response*>(p->data);
      r.chunk_left = p->content_length;
      return r.chunk_left > kMostChunk ? 1 : 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
      Response& r = *static_cast<Response*>(p->data);
      r.pieces.emplace_back(at, n);
      if ((p->flags & F_CHUNKED) == 0) return 0;
      r.chunk_left -= std::min<std::uint64_t>(n, r.chunk_left);
      if (r.chunk_left > 0) return 0;
      r.line_end = "\r\n";
      return TakeLineEnd(r.line_end, at + n, r.read_end) ? 0 : 1;
    };
    s.on_message_complete = [](http_parser* p) {
      Response& r = *static_cast<Response*>(p->data);
      r.complete = r.status >= 200;
      if (r.complete) http_parser_pause(p, 1);  // what comes after it belongs to nothing
      return 0;
    };
    return s;
  }();
  return settings;
}

void Upstream::OnRead(Handle handle, std::string_view bytes) {
  Connection* c = connections_.Get(handle);
  if (c == nullptr) return;
  if (c->request == 0) return Drop(handle);  // an answer to nothing
  const Handle request = c->request;
  c->response.pieces.clear();
  c->response.read_end = bytes.data() + bytes.size();
  if (!TakeLineEnd(c->response.line_end, bytes.data(), c->response.read_end)) {
    return Finish(request, Outcome::kReset);
  }
  const std::size_t parsed = http_parser_execute(&c->parser, &Callbacks(), bytes.data(), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&c->parser);
  const bool good = error == HPE_OK || (error == HPE_PAUSED && c->response.complete);
  if (parsed < bytes.size()) c->response.keep = false;
  // Only now, outside the parser, may anything happen that could drop this connection.
  const std::vector<std::string_view> pieces = std::move(c->response.pieces);
  // What came with something that can't be read is not passed on: it may belong to it.
  if (!good) return Finish(request, Outcome::kReset);
  // A response that has not begun has no reader yet.
  ResponseReader* reader = c->response.reader.get();
  const bool stream = c->response.status == 200 && requests_.Get(request)->stream != 0;
  bool alive = !stream || pieces.empty();
  for (const std::string_view piece : pieces) {
    reader->OnBytes(piece);
    if (!stream) continue;
    const ResponseReader::Body body = reader->OnEvents(piece);
    if (body == ResponseReader::Body::kSpoilt) return Finish(request, Outcome::kReset);
    alive = alive || body == ResponseReader::Body::kEvents;
  }
  if (Request* r = requests_.Get(request); !r->started && r->stream != 0) {
    r->last_byte = Now();
    // Guards against an answer that begins and does not go on: a head comes with its first event. A 1xx
    // answer is none yet.
    const int status = c->response.status;
    if (status >= 100 && status < 200) {
      c->first_byte = 0;
      Expect(request, r->until);
    } else if (c->first_byte == 0 && core_->dialect->HeadComesWithEvent()) {
      c->first_byte = Now();
      Expect(request, std::min(r->until, c->first_byte + kOpenWithin));
    }
    for (const std::string_view piece : pieces) {
      if (stream) c->response.opening.append(piece);
    }
    if (stream && c->response.opening.size() > kMostChunk) return Finish(request, Outcome::kReset);
    // It has begun once a whole event is there, in chunks that fit.
    if (stream && reader->opened() && c->response.chunk_left == 0 && c->response.line_end.empty()) {
      r->started = true;
      core_->deadlines->Cancel(r->deadline);
      r->deadline = core_->deadlines->Set(r->last_byte + kSilence, [this, request] { Silence(request); });
      core_->events->Post(
          policy::ResponseStarted{r->stream, r->attempt, r->replica, r->last_byte - r->sent_at});
      const std::string opening = std::exchange(c->response.opening, {});
      core_->responses->OnData(r->stream, opening);
    }
  } else {
    for (const std::string_view piece : pieces) {
      r = requests_.Get(request);
      if (r == nullptr) return;
      if (alive) r->last_byte = Now();
      if (r->stream != 0) core_->responses->OnData(r->stream, piece);
    }
  }
  const Request* r = requests_.Get(request);
  if (r == nullptr || !c->response.complete) return;
  const ResponseResult end = reader->AtEnd(c->response.status, r->stream == 0);
  if (r->stream != 0 && !r->started) {
    if (end.client_fault) return Reject(request);
    if (Stream* s = core_->responses->Find(r->stream)) s->stay_away = std::max(s->stay_away, end.retry_after);
  }
  Finish(request,
         end.outcome == Outcome::kServed && r->stream != 0 && !r->started ? Outcome::kError : end.outcome);
}

// Guards against a host that vanished: its connection stays open and says nothing.
void Upstream::Silence(Handle handle) {
  Request* r = requests_.Get(handle);
  if (r == nullptr) return;
  const Time now = Now();
  if (r->paused) r->last_byte = now;  // it is the client that keeps it silent
  if (now - r->last_byte >= kSilence) {
    Log(Level::kWarn, "silent", {{"replica", Hex8(r->replica)}, {"after_ms", (now - r->last_byte) / 1000}});
    return Finish(handle, Outcome::kReset);
  }
  r->deadline = core_->deadlines->Set(r->last_byte + kSilence, [this, handle] { Silence(handle); });
}

void Upstream::SetPaused(Handle handle, bool pause) {
  Request* r = requests_.Get(handle);
  if (r == nullptr || r->paused == pause) return;
  r->paused = pause;
  if (Connection* c = connections_.Get(r->connection)) pause ? c->tcp->StopReading() : c->tcp->Read();
}

void Upstream::Cancel(Handle request) {
  if (requests_.Get(request) != nullptr) Finish(request, Outcome::kCancelled);
}

void Upstream::CancelAttempt(Handle stream, int attempt) {
  const Stream* s = core_->responses->Find(stream);
  if (s == nullptr || s->started) return;
  const Request* r = requests_.Get(s->upstream_request);
  if (r != nullptr && r->attempt == attempt) Cancel(s->upstream_request);
}

// The host says that the request itself is wrong: no other host is asked, and to the module the request is
// over. The outcome says nothing of the host, as for an attempt that was called off.
void Upstream::Reject(Handle handle) {
  const Request& r = *requests_.Get(handle);
  const Handle stream = r.stream;
  const Connection& c = *connections_.Get(r.connection);
  const int status = c.response.status;
  const std::string body = c.response.reader->error_body();
  Log(Level::kWarn, "attempt-rejected", {{"replica", Hex8(r.replica)}, {"status", status}});
  // The attempt first: closing it comes before anything else can be sent for its stream.
  rejecting_ = true;
  Finish(handle, Outcome::kCancelled);
  rejecting_ = false;
  core_->responses->OnRequestRefused(stream, status, body);
}

// The one outcome of an upstream request. Unless it ended well its connection is closed, and so given up on,
// before anything else can be sent for the stream.
void Upstream::Finish(Handle handle, Outcome outcome) {
  Request* found = requests_.Get(handle);
  if (found == nullptr) return;
  core_->deadlines->Cancel(found->deadline);
  const Request r = *found;
  requests_.Remove(handle);
  policy::AttemptEnded ended{r.stream, r.attempt, r.replica, outcome, Now() - r.sent_at, false, 0, {}};
  if (Connection* c = connections_.Get(r.connection)) {
    const Response& response = c->response;
    if (response.reader != nullptr) {
      const ResponseMetadata notes = response.reader->Notes(r.stream == 0);
      ended.cached_tokens = notes.kept_tokens;
      ended.load_report = Load(notes.load_report);
    }
    const bool whole = response.complete && response.framed && response.keep && c->tcp->unsent() == 0;
    whole ? Park(r.connection) : Drop(r.connection);
  }
  if (r.stream == 0) {
    core_->events->Post(policy::HealthCheckCompleted{r.replica, outcome, ended.elapsed, ended.load_report});
    return;
  }
  if (core_->counters != nullptr) ++core_->counters->attempts_ended[Name(outcome)];
  Stream* s = core_->responses->Find(r.stream);
  ended.request_concluded = s == nullptr || r.started || rejecting_ || outcome == Outcome::kServed;
  if (outcome != Outcome::kServed && outcome != Outcome::kCancelled) {
    Log(Level::kWarn, "attempt-ended",
        {{"id", s != nullptr ? s->request.call_id.c_str() : "-"},
         {"n", r.attempt},
         {"replica", Hex8(r.replica)},
         {"outcome", Name(outcome)},
         {"started", r.started ? 1 : 0},
         {"ms", ended.elapsed / 1000}});
  }
  if (s != nullptr) {
    s->upstream_request = 0;
    s->last_outcome = outcome;
    s->last_replica = r.replica;
  }
  if (outcome == Outcome::kServed) {
    core_->responses->OnComplete(r.stream);
  } else if (r.started) {
    core_->responses->OnTruncated(r.stream);
  }
  core_->events->Post(std::move(ended));
}

// "inflight=7,queue=2,util=0.61" in the order that the settings name; empty unless all are there.
std::vector<double> Upstream::Load(const std::string& report) const {
  std::vector<double> load;
  for (const std::string& field : core_->config->load_fields) {
    const std::string name = field + "=";
    std::size_t at = report.find(name);
    while (at != std::string::npos && at > 0 && report[at - 1] != ',' && report[at - 1] != ' ') {
      at = report.find(name, at + 1);
    }
    if (at == std::string::npos) return {};
    double value = 0;
    const char* from = report.data() + at + name.size();
    const auto [end, error] = std::from_chars(from, report.data() + report.size(), value);
    if (error != std::errc() || !std::isfinite(value) || value < 0) return {};
    // "5x" is no number either.
    if (end != report.data() + report.size() && *end != ',' &&
        std::isspace(static_cast<unsigned char>(*end)) == 0)
      return {};
    load.push_back(value);
  }
  return load;
}

}  // namespace ryeglade
