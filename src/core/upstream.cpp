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
// A stream without progress for longer is broken. Clients wait 5 s, and the process may be held up for 0.15
// s.
constexpr Time kIdleTimeout = 4'700'000;
constexpr Time kHealthCheckTimeout = 1'000'000;
constexpr Time kFirstEventTimeout =
    1'000'000;                               // without further bytes of a response whose first event is due
constexpr Time kConnectRetryDelay = 20'000;  // after this machine could not open a connection

// A buffer that grows is copied: for a moment, and in the heap's gaps, it takes up to twice its size.
constexpr std::size_t kGrowthFactor = 2;

}  // namespace

// ---- Hosts ----

void Upstream::SetHost(ReplicaId id, const std::string& host_port) {
  if (const UpstreamHost* known = hosts_.Find(id); known != nullptr) {
    if (known->host_port == host_port) return;
    Log(Level::kInfo, "host-address-changed", {{"replica", Hex8(id)}, {"to", host_port}});
    connections_.CloseIdle(id);
    hosts_.Set(id, host_port);
    return Reconnect(id);
  }
  hosts_.Set(id, host_port);
}

// Attempts that wait for a connection to the host's former address, where another process may listen by now,
// get one to the new address.
void Upstream::Reconnect(ReplicaId id) {
  for (const Handle handle : requests_.All()) {
    Request* request = requests_.Get(handle);
    if (request == nullptr || request->replica != id || request->connection == 0) continue;
    if (request_written(*request)) continue;
    connections_.Close(std::exchange(request->connection, 0));
    Connect(handle);
  }
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
    const Request* request = requests_.Get(handle);
    if (request != nullptr && request->replica == id && !request_written(*request))
      Finish(handle, Outcome::kNotSent);
  }
}

// ---- From the decision to the written request ----

void Upstream::Send(Handle stream_handle, ReplicaId to, Time timeout, Time write_within) {
  Stream* stream = core_->responses->Find(stream_handle);
  if (stream == nullptr) {
    // The attempt's number is not known any more, because the stream has ended. The module ignores the
    // numbers of attempts that are not in flight.
    for (int n = 0; n < core_->config->settings.max_attempts; ++n) {
      core_->events->Post(policy::AttemptEnded{stream_handle, n, to, Outcome::kNotSent, 0, true, 0, {}});
    }
    return;
  }
  Request request;
  request.stream = stream_handle;
  request.replica = to;
  request.attempt = stream->attempts++;
  const Time now = Now();
  if (write_within > 0) request.write_deadline = now + write_within;
  const Time time_left = stream->deadline - now;
  Time deadline = stream->deadline - Streams::Margin(time_left, Streams::kAttemptMargin);
  if (timeout > 0) deadline = std::min(deadline, now + timeout);
  if (stream->started || stream->upstream_request != 0 || time_left <= 0) {
    core_->events->Post(policy::AttemptEnded{
        stream_handle, request.attempt, to, Outcome::kNotSent, 0, stream->started, 0, {}});
    return;
  }
  StartRequest(request, deadline);
}

void Upstream::CheckHealth(ReplicaId to) {
  Request request;
  request.replica = to;
  StartRequest(request, Now() + kHealthCheckTimeout);
}

void Upstream::StartRequest(Request new_request, Time response_deadline) {
  new_request.sent_at = Now();
  const Handle handle = requests_.Add(new_request);
  Request& request = *requests_.Get(handle);
  if (Stream* stream = core_->responses->Find(request.stream)) stream->upstream_request = handle;
  if (!hosts_.Contains(request.replica)) return Finish(handle, Outcome::kConnectFailed);
  request.response_deadline = response_deadline;
  SetDeadline(handle, response_deadline);
  if (const Handle idle = connections_.TakeIdle(request.replica); idle != 0) {
    request.connection = idle;
    connections_.Find(idle)->request = handle;
    return WriteRequest(idle);
  }
  Connect(handle);
}

// If this machine is unable to open a connection (out of descriptors, for example), that is no evidence
// against the host: opening is retried until the connect timeout, and then the attempt ends as not sent.
void Upstream::Connect(Handle handle) {
  Request* request = requests_.Get(handle);
  if (request == nullptr || request->connection != 0) return;
  if (!hosts_.Contains(request->replica)) return Finish(handle, Outcome::kConnectFailed);
  const ConnectionPool::OpenResult opened = connections_.Open(
      request->replica, handle, [this](Handle connection) { OnConnectTimeout(connection); });
  request->connection = opened.connection;
  if (opened.error == 0) return;
  if (!IsLocalConnectError(opened.error)) return Finish(handle, Outcome::kConnectFailed);
  ConnectLater(handle, opened.error);
}

void Upstream::ConnectLater(Handle handle, int error) {
  const Request& request = *requests_.Get(handle);
  Log(Level::kWarn, "connect-deferred", {{"replica", Hex8(request.replica)}, {"why", std::strerror(error)}});
  const Time retry_at = Now() + kConnectRetryDelay;
  if (retry_at >= request.sent_at + core_->config->settings.connect_timeout) {
    return Finish(handle, Outcome::kNotSent);
  }
  core_->deadlines->Set(retry_at, [this, handle] { Connect(handle); });
}

void Upstream::OnConnectTimeout(Handle connection) {
  Finish(connections_.Find(connection)->request, Outcome::kConnectFailed);
}

void Upstream::OnConnected(Handle handle, int status) {
  UpstreamConnection* connection = connections_.Find(handle);
  if (connection == nullptr) return;
  const Handle request = connection->request;
  if (status != 0 && IsLocalConnectError(-status)) {
    connections_.Close(handle);
    requests_.Get(request)->connection = 0;
    return ConnectLater(request, -status);
  }
  if (status != 0) return Finish(request, Outcome::kConnectFailed);
  connection->connected = true;
  connection->tcp->StartReading();
  WriteRequest(handle);
}

// Checks again whether an attempt may be sent, right before it is written: establishing the connection may
// have taken a while, or the process may have been stopped. Returns false if the attempt may not be sent any
// more; the request has then been ended.
bool Upstream::CheckMayWrite(Handle handle) {
  const Request& request = *requests_.Get(handle);
  if (request.is_health_check()) return true;
  const Stream* stream = core_->responses->Find(request.stream);
  const Time now = Now();
  const bool too_late =
      now >= request.response_deadline || (request.write_deadline != 0 && now > request.write_deadline);
  if (stream == nullptr || too_late) {
    Finish(handle, Outcome::kNotSent);
    return false;
  }
  if (core_->responses->ClientMayHaveClosedUnseen(request.stream)) {
    // The module concludes the request at once, by what earlier attempts may have done.
    core_->events->Post(policy::DeadlineShortened{request.stream, 0});
    Finish(handle, Outcome::kNotSent);
    return false;
  }
  return core_->responses->CheckClientConnected(request.stream);
}

void Upstream::WriteRequest(Handle handle) {
  if (!CheckMayWrite(connections_.Find(handle)->request)) return;
  UpstreamConnection& connection = *connections_.Find(handle);
  core_->deadlines->Cancel(connection.deadline);
  connection.response.Start(core_->dialect);
  const Request& request = *requests_.Get(connection.request);
  const UpstreamHost* host = hosts_.Find(connection.host);
  const std::string host_port = host != nullptr ? host->host_port : "replica";
  bool written = false;
  if (Stream* stream = core_->responses->Find(request.stream)) {
    written = connection.tcp->Write(
        core_->dialect->RequestHead(stream->request, host_port, request.response_deadline - Now()));
    for (const std::string_view piece : stream->request.body.Pieces())
      written = written && connection.tcp->Write(piece);
    if (written) ++stream->attempts_written;
    if (written && core_->counters != nullptr) ++core_->counters->attempts_written;
  } else if (request.is_health_check()) {
    written = connection.tcp->Write(core_->dialect->HealthCheckHead(host_port));
  }
  connection.request_written = written;
  if (!written) OnConnectionLost(handle);
}

bool Upstream::request_written(const Request& request) const {
  const UpstreamConnection* connection = connections_.Find(request.connection);
  return connection != nullptr && connection->request_written;
}

// ---- Deadlines ----

void Upstream::SetDeadline(Handle handle, Time at) {
  Request& request = *requests_.Get(handle);
  core_->deadlines->Cancel(request.deadline);
  request.deadline = core_->deadlines->Set(at, [this, handle] { Abort(handle); });
}

void Upstream::Abort(Handle handle) {
  const Request* request = requests_.Get(handle);
  if (request == nullptr) return;
  if (!request_written(*request)) return Finish(handle, Outcome::kConnectFailed);
  const bool response_begun = connections_.Find(request->connection)->first_byte_at != 0;
  Finish(handle, response_begun ? Outcome::kReset : Outcome::kTimeout);
}

void Upstream::ShortenDeadline(Handle handle, Time at) {
  Request* request = requests_.Get(handle);
  if (request == nullptr || request->started || request->response_deadline <= at) return;
  request->response_deadline = at;
  if (request->deadline.at > at) SetDeadline(handle, at);
}

// Detects a host that vanished: its connection stays open, but nothing more arrives.
void Upstream::CheckIdle(Handle handle) {
  Request* request = requests_.Get(handle);
  if (request == nullptr) return;
  const Time now = Now();
  if (request->paused)
    request->last_byte_at = now;  // nothing is read because of the client, not because of the host
  const Time idle = now - request->last_byte_at;
  if (idle >= kIdleTimeout) {
    Log(Level::kWarn, "silent", {{"replica", Hex8(request->replica)}, {"after_ms", idle / 1000}});
    return Finish(handle, Outcome::kReset);
  }
  request->deadline =
      core_->deadlines->Set(request->last_byte_at + kIdleTimeout, [this, handle] { CheckIdle(handle); });
}

// ---- The response ----

void Upstream::OnRead(Handle handle, std::string_view bytes) {
  UpstreamConnection* connection = connections_.Find(handle);
  if (connection == nullptr) return;
  if (connection->request == 0) return connections_.Close(handle);  // a response without a request
  const Handle request_handle = connection->request;
  std::vector<std::string_view> body;
  // Nothing of a read that contains malformed bytes is passed on: the rest may belong to them.
  if (!connection->response.Parse(bytes, &body)) return Finish(request_handle, Outcome::kReset);
  // Code that may close this connection runs only here, after the parser has returned.
  const Request& request = *requests_.Get(request_handle);
  bool progress = false;
  if (!ReadBody(request, connection->response, body, &progress))
    return Finish(request_handle, Outcome::kReset);
  if (!request.started && EndsIncomplete(request, connection->response)) {
    // Nothing of it is passed on, so that the request may still be retried.
    OnResponseComplete(request_handle, connection->response);
    return;
  }
  if (!request.started && !request.is_health_check()) {
    AwaitFirstEvent(request_handle, *connection, body);
  } else if (!ReserveResponse(*connection)) {
    return Finish(request_handle, Outcome::kReset);
  } else {
    ForwardBody(request_handle, body, progress);
  }
  // The connection exists for at least as long as the request.
  if (requests_.Get(request_handle) != nullptr && connection->response.complete())
    OnResponseComplete(request_handle, connection->response);
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
    response.stream_end_scanner().Feed(piece);
    if (response.stream_end() == StreamEnd::kDataAfterDone) return false;
    const ResponseReader::StreamStatus read = response.reader()->OnStream(piece);
    if (read == ResponseReader::StreamStatus::kInvalid) return false;
    if (read == ResponseReader::StreamStatus::kProgress) *progress = true;
  }
  return true;
}

// Waits for the first complete event. Nothing is passed on before it, so that the request can still be
// retried at another host. Where hosts send the head together with the first event, no more than
// kFirstEventTimeout may pass without further bytes of them; the host may write them slowly.
void Upstream::AwaitFirstEvent(Handle handle, UpstreamConnection& connection,
                               const std::vector<std::string_view>& body) {
  Request& request = *requests_.Get(handle);
  request.last_byte_at = Now();
  const int status = connection.response.status();
  if (status >= 100 && status < 200) {  // not the final response
    connection.first_byte_at = 0;
    SetDeadline(handle, request.response_deadline);
  } else if (core_->dialect->SendsHeadWithFirstEvent()) {
    if (connection.first_byte_at == 0) connection.first_byte_at = request.last_byte_at;
    SetDeadline(handle, std::min(request.response_deadline, request.last_byte_at + kFirstEventTimeout));
  }
  if (status != 200) return;
  for (const std::string_view piece : body) connection.buffered_body.append(piece);
  if (connection.buffered_body.size() > ResponseParser::kMaxChunkBytes || !ReserveResponse(connection))
    return Finish(handle, Outcome::kReset);
  if (connection.response.stream_end_scanner().has_event() && connection.response.at_chunk_boundary())
    StartStream(handle, connection);
}

// Counts what is held of a response against the memory budget. Returns false if there is no memory for it.
bool Upstream::ReserveResponse(UpstreamConnection& connection) {
  const ResponseReader* reader = connection.response.reader();
  const std::size_t held_by_reader = reader != nullptr ? reader->held_bytes() : 0;
  return connection.response_memory->Resize(connection.buffered_body.capacity() * kGrowthFactor +
                                            held_by_reader);
}

void Upstream::StartStream(Handle handle, UpstreamConnection& connection) {
  Request& request = *requests_.Get(handle);
  request.started = true;
  core_->deadlines->Cancel(request.deadline);
  request.deadline =
      core_->deadlines->Set(request.last_byte_at + kIdleTimeout, [this, handle] { CheckIdle(handle); });
  core_->events->Post(policy::ResponseStarted{request.stream, request.attempt, request.replica,
                                              request.last_byte_at - request.sent_at});
  const std::string buffered = std::exchange(connection.buffered_body, {});
  ReserveResponse(connection);
  core_->responses->OnData(request.stream, buffered);
}

void Upstream::ForwardBody(Handle handle, const std::vector<std::string_view>& body, bool progress) {
  for (const std::string_view piece : body) {
    Request* request = requests_.Get(handle);
    if (request == nullptr) return;  // passing on the previous piece may have ended the stream
    if (progress) request->last_byte_at = Now();
    if (!request->is_health_check()) core_->responses->OnData(request->stream, piece);
  }
}

// Returns whether the response is a stream whose body has ended before the stream was complete.
bool Upstream::EndsIncomplete(const Request& request, const ResponseParser& response) {
  return !request.is_health_check() && response.status() == 200 && response.complete() &&
         response.stream_end() != StreamEnd::kComplete;
}

void Upstream::OnResponseComplete(Handle handle, ResponseParser& response) {
  const Request& request = *requests_.Get(handle);
  if (EndsIncomplete(request, response)) {
    const bool has_event = response.stream_end_scanner().has_event();
    return Finish(handle, has_event ? Outcome::kReset : Outcome::kError);
  }
  const ResponseResult result = response.reader()->Result(response.status(), request.is_health_check());
  const bool never_started = !request.is_health_check() && !request.started;
  if (never_started && result.client_fault) return EndInvalidRequest(handle);
  if (never_started) {
    if (Stream* stream = core_->responses->Find(request.stream)) {
      stream->retry_after = std::max(stream->retry_after, result.retry_after);
    }
  }
  Finish(handle, response.status() == 200 ? Outcome::kServed : result.outcome);
}

void Upstream::SetPaused(Handle handle, bool paused) {
  Request* request = requests_.Get(handle);
  if (request == nullptr || request->paused == paused) return;
  request->paused = paused;
  UpstreamConnection* connection = connections_.Find(request->connection);
  if (connection == nullptr) return;
  if (paused) {
    connection->tcp->StopReading();
  } else {
    connection->tcp->StartReading();
  }
}

// ---- How a request ends ----

void Upstream::OnDisconnected(Handle handle) {
  const UpstreamConnection* connection = connections_.Find(handle);
  if (connection == nullptr) return;
  if (connection->request == 0) return connections_.Close(handle);
  OnConnectionLost(handle);
}

// The request may have run only if its last byte had been written.
void Upstream::OnConnectionLost(Handle handle) {
  const UpstreamConnection& connection = *connections_.Find(handle);
  const bool may_have_run = connection.request_written && connection.tcp->unsent() == 0;
  Finish(connection.request, may_have_run ? Outcome::kReset : Outcome::kConnectFailed);
}

void Upstream::Cancel(Handle request) {
  if (requests_.Get(request) != nullptr) Finish(request, Outcome::kCancelled);
}

void Upstream::CancelAttempt(Handle stream_handle, int attempt) {
  const Stream* stream = core_->responses->Find(stream_handle);
  if (stream == nullptr || stream->started) return;
  const Request* request = requests_.Get(stream->upstream_request);
  if (request != nullptr && request->attempt == attempt) Cancel(stream->upstream_request);
}

// The host answered that the request itself is invalid. It is not retried, and for the decision module the
// request has ended. The outcome is kCancelled, because it is no evidence about the host.
void Upstream::EndInvalidRequest(Handle handle) {
  const Request& request = *requests_.Get(handle);
  const Handle stream = request.stream;
  ResponseParser& response = connections_.Find(request.connection)->response;
  const int status = response.status();
  const std::string body = response.reader()->error_body();
  Log(Level::kWarn, "attempt-rejected", {{"replica", Hex8(request.replica)}, {"status", status}});
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
  const Request request = *found;
  requests_.Remove(handle);
  policy::AttemptEnded ended{
      request.stream, request.attempt, request.replica, outcome, Now() - request.sent_at, false, 0, {}};
  const StreamEnd stream_end = CountStreamEnd(request);
  if (UpstreamConnection* connection = connections_.Find(request.connection)) {
    if (const ResponseReader* reader = connection->response.reader()) {
      const ResponseMetadata metadata = reader->Metadata(request.is_health_check());
      if (outcome == Outcome::kServed) ended.cached_tokens = metadata.cached_tokens;
      ended.load_report = ParseLoadReport(metadata.load_report, core_->config->load_fields);
    }
    const bool incomplete_stream =
        connection->response.status() == 200 && outcome != Outcome::kServed;  // its rest may still come
    if (connection->response.reusable() && !incomplete_stream && connection->tcp->unsent() == 0) {
      connections_.Return(request.connection);
    } else {
      connections_.Close(request.connection);
    }
  }
  if (request.is_health_check()) {
    core_->events->Post(
        policy::HealthCheckCompleted{request.replica, outcome, ended.elapsed, ended.load_report});
    return;
  }
  if (core_->counters != nullptr) ++core_->counters->attempts_ended[Name(outcome)];
  Stream* stream = core_->responses->Find(request.stream);
  ended.request_concluded =
      stream == nullptr || request.started || request_is_invalid_ || outcome == Outcome::kServed;
  if (outcome != Outcome::kServed && outcome != Outcome::kCancelled) {
    LogFailedAttempt(request, outcome, stream_end, ended.elapsed);
  }
  if (stream != nullptr) {
    stream->upstream_request = 0;
    stream->last_outcome = outcome;
    stream->last_replica = request.replica;
  }
  if (outcome == Outcome::kServed) {
    core_->responses->OnComplete(request.stream);
  } else if (request.started) {
    core_->responses->OnTruncated(request.stream);
  }
  core_->events->Post(std::move(ended));
}

// Returns how the stream of the request stands, and counts it if there is one.
StreamEnd Upstream::CountStreamEnd(const Request& request) const {
  const UpstreamConnection* connection = connections_.Find(request.connection);
  if (connection == nullptr || request.is_health_check() || connection->response.status() != 200)
    return StreamEnd::kOpen;
  const StreamEnd end = connection->response.stream_end();
  if (core_->counters != nullptr) ++core_->counters->stream_ends[Name(end)];
  return end;
}

void Upstream::LogFailedAttempt(const Request& request, Outcome outcome, StreamEnd end, Time elapsed) const {
  const Stream* stream = core_->responses->Find(request.stream);
  Log(Level::kWarn, "attempt-ended",
      {{"id", stream != nullptr ? stream->request.call_id.c_str() : "-"},
       {"n", request.attempt},
       {"replica", Hex8(request.replica)},
       {"outcome", Name(outcome)},
       {"started", request.started ? 1 : 0},
       {"end", Name(end)},
       {"ms", elapsed / 1000}});
}

}  // namespace ryeglade
