#include "core/upstream.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "base/log.h"
#include "base/socket_error_model.h"
#include "core/enum_names.h"
#include "core/load_report_model.h"
#include "core/streams.h"

namespace ryeglade {
namespace {

// Microseconds.
constexpr Time kIdleTimeout = 4'000'000;  // a stream without progress for longer is broken; clients wait 5 s
constexpr Time kHealthCheckTimeout = 1'000'000;
constexpr Time kFirstEventTimeout = 1'000'000;  // from a response's first byte to its first complete event
constexpr Time kConnectRetryDelay = 20'000;     // after this machine could not open a connection

}  // namespace

// ---- Hosts ----

void Upstream::SetHost(ReplicaId id, const std::string& host_port) {
  if (const UpstreamHost* known = hosts_.Find(id); known != nullptr) {
    if (known->host_port == host_port) return;
    Log(Level::kInfo, "host-address-changed", {{"replica", Hex8(id)}, {"to", host_port}});
    connections_.CloseIdle(id);
  }
  hosts_.Set(id, host_port);
}

void Upstream::RemoveHost(ReplicaId id) {
  if (!hosts_.Contains(id)) return;
  connections_.CloseIdle(id);
  hosts_.Remove(id);
  DropUnsent(id);
}

// A connection may be established late. By then the host may have been draining for longer than requests that
// are on their way are allowed to take.
void Upstream::DropUnsent(ReplicaId id) {
  for (const Handle handle : requests_.All()) {
    const Request* r = requests_.Get(handle);
    if (r != nullptr && r->replica == id && !request_written(*r)) Finish(handle, Outcome::kNotSent);
  }
}

// ---- From the decision to the written request ----

void Upstream::Send(Handle stream, ReplicaId to, Time timeout, Time write_within) {
  Stream* s = core_->responses->Find(stream);
  if (s == nullptr) {
    // The attempt's number is not known any more, because the stream has ended. The module ignores the
    // numbers of attempts that are not in flight.
    for (int n = 0; n < core_->config->settings.max_attempts; ++n) {
      core_->events->Post(policy::AttemptEnded{stream, n, to, Outcome::kNotSent, 0, true, 0, {}});
    }
    return;
  }
  Request r;
  r.stream = stream;
  r.replica = to;
  r.attempt = s->attempts++;
  const Time now = Now();
  if (write_within > 0) r.write_deadline = now + write_within;
  const Time time_left = s->deadline - now;
  Time deadline = s->deadline - Streams::Margin(time_left, Streams::kAttemptMargin);
  if (timeout > 0) deadline = std::min(deadline, now + timeout);
  if (s->started || s->upstream_request != 0 || time_left <= 0) {
    core_->events->Post(policy::AttemptEnded{stream, r.attempt, to, Outcome::kNotSent, 0, s->started, 0, {}});
    return;
  }
  StartRequest(r, deadline);
}

void Upstream::CheckHealth(ReplicaId to) {
  Request r;
  r.replica = to;
  StartRequest(r, Now() + kHealthCheckTimeout);
}

void Upstream::StartRequest(Request request, Time response_deadline) {
  request.sent_at = Now();
  const Handle handle = requests_.Add(request);
  Request& r = *requests_.Get(handle);
  if (Stream* s = core_->responses->Find(r.stream)) s->upstream_request = handle;
  if (!hosts_.Contains(r.replica)) return Finish(handle, Outcome::kConnectFailed);
  r.response_deadline = response_deadline;
  SetDeadline(handle, response_deadline);
  if (const Handle idle = connections_.TakeIdle(r.replica); idle != 0) {
    r.connection = idle;
    connections_.Find(idle)->request = handle;
    return WriteRequest(idle);
  }
  Connect(handle);
}

// If this machine is unable to open a connection (out of descriptors, for example), that is no evidence
// against the host: opening is retried until the connect timeout, and then the attempt ends as not sent.
void Upstream::Connect(Handle handle) {
  Request* r = requests_.Get(handle);
  if (r == nullptr || r->connection != 0) return;
  if (!hosts_.Contains(r->replica)) return Finish(handle, Outcome::kConnectFailed);
  const ConnectionPool::OpenResult opened =
      connections_.Open(r->replica, handle, [this](Handle connection) { OnConnectTimeout(connection); });
  r->connection = opened.connection;
  if (opened.error == 0) return;
  if (!IsLocalConnectError(opened.error)) return Finish(handle, Outcome::kConnectFailed);
  ConnectLater(handle, opened.error);
}

void Upstream::ConnectLater(Handle handle, int error) {
  const Request& r = *requests_.Get(handle);
  Log(Level::kWarn, "connect-deferred", {{"replica", Hex8(r.replica)}, {"why", std::strerror(error)}});
  const Time retry_at = Now() + kConnectRetryDelay;
  if (retry_at >= r.sent_at + core_->config->settings.connect_timeout) {
    return Finish(handle, Outcome::kNotSent);
  }
  core_->deadlines->Set(retry_at, [this, handle] { Connect(handle); });
}

void Upstream::OnConnectTimeout(Handle connection) {
  Finish(connections_.Find(connection)->request, Outcome::kConnectFailed);
}

void Upstream::OnConnected(Handle handle, int status) {
  UpstreamConnection* c = connections_.Find(handle);
  if (c == nullptr) return;
  const Handle request = c->request;
  if (status != 0 && IsLocalConnectError(-status)) {
    connections_.Close(handle);
    requests_.Get(request)->connection = 0;
    return ConnectLater(request, -status);
  }
  if (status != 0) return Finish(request, Outcome::kConnectFailed);
  c->connected = true;
  c->tcp->StartReading();
  WriteRequest(handle);
}

// Checks again whether an attempt may be sent, right before it is written: establishing the connection may
// have taken a while, or the process may have been stopped. Returns false if the attempt may not be sent any
// more; the request has then been ended.
bool Upstream::CheckMayWrite(Handle handle) {
  const Request& r = *requests_.Get(handle);
  if (r.is_health_check()) return true;
  const Stream* s = core_->responses->Find(r.stream);
  const Time now = Now();
  const bool too_late = now >= r.response_deadline || (r.write_deadline != 0 && now > r.write_deadline);
  if (s == nullptr || too_late) {
    Finish(handle, Outcome::kNotSent);
    return false;
  }
  return core_->responses->CheckClientConnected(r.stream);
}

void Upstream::WriteRequest(Handle handle) {
  if (!CheckMayWrite(connections_.Find(handle)->request)) return;
  UpstreamConnection& c = *connections_.Find(handle);
  core_->deadlines->Cancel(c.deadline);
  c.response.Start(core_->dialect);
  const Request& r = *requests_.Get(c.request);
  const UpstreamHost* host = hosts_.Find(c.host);
  const std::string host_port = host != nullptr ? host->host_port : "replica";
  bool written = false;
  if (Stream* s = core_->responses->Find(r.stream)) {
    written = c.tcp->Write(core_->dialect->RequestHead(s->request, host_port, r.response_deadline - Now()));
    for (const std::string_view piece : s->request.body.Pieces()) written = written && c.tcp->Write(piece);
    if (written) ++s->attempts_written;
    if (written && core_->counters != nullptr) ++core_->counters->attempts_written;
  } else if (r.is_health_check()) {
    written = c.tcp->Write(core_->dialect->HealthCheckHead(host_port));
  }
  c.request_written = written;
  if (!written) OnConnectionLost(handle);
}

bool Upstream::request_written(const Request& request) const {
  const UpstreamConnection* c = connections_.Find(request.connection);
  return c != nullptr && c->request_written;
}

// ---- Deadlines ----

void Upstream::SetDeadline(Handle handle, Time at) {
  Request& r = *requests_.Get(handle);
  core_->deadlines->Cancel(r.deadline);
  r.deadline = core_->deadlines->Set(at, [this, handle] { Abort(handle); });
}

void Upstream::Abort(Handle handle) {
  const Request* r = requests_.Get(handle);
  if (r == nullptr) return;
  if (!request_written(*r)) return Finish(handle, Outcome::kConnectFailed);
  const bool response_begun = connections_.Find(r->connection)->first_byte_at != 0;
  Finish(handle, response_begun ? Outcome::kReset : Outcome::kTimeout);
}

void Upstream::ShortenDeadline(Handle handle, Time at) {
  Request* r = requests_.Get(handle);
  if (r == nullptr || r->started || r->response_deadline <= at) return;
  r->response_deadline = at;
  if (r->deadline.at > at) SetDeadline(handle, at);
}

// Detects a host that vanished: its connection stays open, but nothing more arrives.
void Upstream::CheckIdle(Handle handle) {
  Request* r = requests_.Get(handle);
  if (r == nullptr) return;
  const Time now = Now();
  if (r->paused) r->last_byte_at = now;  // nothing is read because of the client, not because of the host
  const Time idle = now - r->last_byte_at;
  if (idle >= kIdleTimeout) {
    Log(Level::kWarn, "silent", {{"replica", Hex8(r->replica)}, {"after_ms", idle / 1000}});
    return Finish(handle, Outcome::kReset);
  }
  r->deadline = core_->deadlines->Set(r->last_byte_at + kIdleTimeout, [this, handle] { CheckIdle(handle); });
}

// ---- The response ----

void Upstream::OnRead(Handle handle, std::string_view bytes) {
  UpstreamConnection* c = connections_.Find(handle);
  if (c == nullptr) return;
  if (c->request == 0) return connections_.Close(handle);  // a response without a request
  const Handle request = c->request;
  std::vector<std::string_view> body;
  // Nothing of a read that contains malformed bytes is passed on: the rest may belong to them.
  if (!c->response.Parse(bytes, &body)) return Finish(request, Outcome::kReset);
  // Code that may close this connection runs only here, after the parser has returned.
  const Request& r = *requests_.Get(request);
  bool progress = false;
  if (!ReadBody(r, c->response, body, &progress)) return Finish(request, Outcome::kReset);
  if (!r.started && !r.is_health_check()) {
    AwaitFirstEvent(request, *c, body);
  } else {
    ForwardBody(request, body, progress);
  }
  // The connection exists for at least as long as the request.
  if (requests_.Get(request) != nullptr && c->response.complete()) OnResponseComplete(request, c->response);
}

// Passes the body parts to the response's reader. Returns false if they are not part of a valid stream. Sets
// `progress` unless the stream was only kept alive.
bool Upstream::ReadBody(const Request& request, ResponseParser& response,
                        const std::vector<std::string_view>& body, bool* progress) const {
  const bool stream = response.status() == 200 && !request.is_health_check();
  *progress = !stream || body.empty();
  for (const std::string_view piece : body) {
    response.reader()->OnBody(piece);
    if (!stream) continue;
    const ResponseReader::StreamStatus read = response.reader()->OnStream(piece);
    if (read == ResponseReader::StreamStatus::kInvalid) return false;
    if (read == ResponseReader::StreamStatus::kProgress) *progress = true;
  }
  return true;
}

// Waits for the first complete event. Nothing is passed on before it, so that the request can still be
// retried at another host. Where hosts send the head together with the first event, that event must follow
// within kFirstEventTimeout.
void Upstream::AwaitFirstEvent(Handle handle, UpstreamConnection& c,
                               const std::vector<std::string_view>& body) {
  Request& r = *requests_.Get(handle);
  r.last_byte_at = Now();
  const int status = c.response.status();
  if (status >= 100 && status < 200) {  // not the final response
    c.first_byte_at = 0;
    SetDeadline(handle, r.response_deadline);
  } else if (c.first_byte_at == 0 && core_->dialect->SendsHeadWithFirstEvent()) {
    c.first_byte_at = Now();
    SetDeadline(handle, std::min(r.response_deadline, c.first_byte_at + kFirstEventTimeout));
  }
  if (status != 200) return;
  for (const std::string_view piece : body) c.buffered_body.append(piece);
  if (c.buffered_body.size() > ResponseParser::kMaxChunkBytes) return Finish(handle, Outcome::kReset);
  if (c.response.reader()->has_event() && c.response.at_chunk_boundary()) StartStream(handle, c);
}

void Upstream::StartStream(Handle handle, UpstreamConnection& c) {
  Request& r = *requests_.Get(handle);
  r.started = true;
  core_->deadlines->Cancel(r.deadline);
  r.deadline = core_->deadlines->Set(r.last_byte_at + kIdleTimeout, [this, handle] { CheckIdle(handle); });
  core_->events->Post(policy::ResponseStarted{r.stream, r.attempt, r.replica, r.last_byte_at - r.sent_at});
  const std::string buffered = std::exchange(c.buffered_body, {});
  core_->responses->OnData(r.stream, buffered);
}

void Upstream::ForwardBody(Handle handle, const std::vector<std::string_view>& body, bool progress) {
  for (const std::string_view piece : body) {
    Request* r = requests_.Get(handle);
    if (r == nullptr) return;  // passing on the previous piece may have ended the stream
    if (progress) r->last_byte_at = Now();
    if (!r->is_health_check()) core_->responses->OnData(r->stream, piece);
  }
}

void Upstream::OnResponseComplete(Handle handle, ResponseParser& response) {
  const Request& r = *requests_.Get(handle);
  const ResponseResult result = response.reader()->Result(response.status(), r.is_health_check());
  const bool never_started = !r.is_health_check() && !r.started;
  if (never_started && result.client_fault) return EndInvalidRequest(handle);
  if (never_started) {
    if (Stream* s = core_->responses->Find(r.stream)) {
      s->retry_after = std::max(s->retry_after, result.retry_after);
    }
  }
  const bool served_nothing = never_started && result.outcome == Outcome::kServed;
  Finish(handle, served_nothing ? Outcome::kError : result.outcome);
}

void Upstream::SetPaused(Handle handle, bool paused) {
  Request* r = requests_.Get(handle);
  if (r == nullptr || r->paused == paused) return;
  r->paused = paused;
  UpstreamConnection* c = connections_.Find(r->connection);
  if (c == nullptr) return;
  if (paused) {
    c->tcp->StopReading();
  } else {
    c->tcp->StartReading();
  }
}

// ---- How a request ends ----

void Upstream::OnDisconnected(Handle handle) {
  const UpstreamConnection* c = connections_.Find(handle);
  if (c == nullptr) return;
  if (c->request == 0) return connections_.Close(handle);
  OnConnectionLost(handle);
}

// The request may have run only if its last byte had been written.
void Upstream::OnConnectionLost(Handle handle) {
  const UpstreamConnection& c = *connections_.Find(handle);
  const bool may_have_run = c.request_written && c.tcp->unsent() == 0;
  Finish(c.request, may_have_run ? Outcome::kReset : Outcome::kConnectFailed);
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

// The host answered that the request itself is invalid. It is not retried, and for the decision module the
// request has ended. The outcome is kCancelled, because it is no evidence about the host.
void Upstream::EndInvalidRequest(Handle handle) {
  const Request& r = *requests_.Get(handle);
  const Handle stream = r.stream;
  ResponseParser& response = connections_.Find(r.connection)->response;
  const int status = response.status();
  const std::string body = response.reader()->error_body();
  Log(Level::kWarn, "attempt-rejected", {{"replica", Hex8(r.replica)}, {"status", status}});
  // End the attempt first: its connection must be closed before anything else can be sent for the stream.
  request_is_invalid_ = true;
  Finish(handle, Outcome::kCancelled);
  request_is_invalid_ = false;
  core_->responses->OnInvalidRequest(stream, status, body);
}

// Ends an upstream request with its only outcome. Unless the response was complete, the connection is closed
// before anything else can be sent for the stream, so that the host can stop working on the request.
void Upstream::Finish(Handle handle, Outcome outcome) {
  Request* found = requests_.Get(handle);
  if (found == nullptr) return;
  core_->deadlines->Cancel(found->deadline);
  const Request r = *found;
  requests_.Remove(handle);
  policy::AttemptEnded ended{r.stream, r.attempt, r.replica, outcome, Now() - r.sent_at, false, 0, {}};
  if (UpstreamConnection* c = connections_.Find(r.connection)) {
    if (const ResponseReader* reader = c->response.reader()) {
      const ResponseMetadata metadata = reader->Metadata(r.is_health_check());
      ended.cached_tokens = metadata.cached_tokens;
      ended.load_report = ParseLoadReport(metadata.load_report, core_->config->load_fields);
    }
    if (c->response.reusable() && c->tcp->unsent() == 0) {
      connections_.Return(r.connection);
    } else {
      connections_.Close(r.connection);
    }
  }
  if (r.is_health_check()) {
    core_->events->Post(policy::HealthCheckCompleted{r.replica, outcome, ended.elapsed, ended.load_report});
    return;
  }
  if (core_->counters != nullptr) ++core_->counters->attempts_ended[Name(outcome)];
  Stream* s = core_->responses->Find(r.stream);
  ended.request_concluded = s == nullptr || r.started || request_is_invalid_ || outcome == Outcome::kServed;
  if (outcome != Outcome::kServed && outcome != Outcome::kCancelled) {
    LogFailedAttempt(r, outcome, ended.elapsed);
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

void Upstream::LogFailedAttempt(const Request& r, Outcome outcome, Time elapsed) const {
  const Stream* s = core_->responses->Find(r.stream);
  Log(Level::kWarn, "attempt-ended",
      {{"id", s != nullptr ? s->request.call_id.c_str() : "-"},
       {"n", r.attempt},
       {"replica", Hex8(r.replica)},
       {"outcome", Name(outcome)},
       {"started", r.started ? 1 : 0},
       {"ms", elapsed / 1000}});
}

}  // namespace ryeglade
