#include "http/downstream.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/log.h"
#include "http/status_reason.h"

namespace ryeglade {
namespace {

// Sizes in bytes.
constexpr std::uint32_t kMaxHead = 16 * 1024;  // of a request
// A pipelined request behind which more than this waits unread is refused.
constexpr std::size_t kMaxUnread = std::size_t{16} * 1024;
// Maximum unsent output; after that the front is told to stop sending, and no further request is parsed.
constexpr std::size_t kMaxUnsent = std::size_t{128} * 1024;
constexpr std::size_t kMaxUnsentWhenShort = std::size_t{16} * 1024;  // while the memory budget is half used
// Times in microseconds.
constexpr Time kIdleTimeout = 60'000'000;  // a connection without a further request for this long is closed
constexpr Time kStalledEvictableAfter = 200'000;  // part of a request, and no further byte for this long
constexpr Time kSilentEvictableAfter = 10'000;    // no byte at all for this long
constexpr Time kSilentEvictableForRequest = 0;    // the same in favor of a complete request
constexpr Time kWriteTimeout = 10'000'000;  // a congested client that reads nothing for this long is dropped
constexpr Time kLingerTimeout = 1'000'000;  // from a connection's last response to its closing
constexpr Time kIdleSweepInterval = 50'000;
constexpr Time kIdleAfter = 200'000;        // a client may send its request this long after connecting
constexpr Time kEndCheckInterval = 50'000;  // between checks whether the peer of an unread socket has closed
// A client whose next request comes this long after its last response no longer counts as overrunning.
constexpr Time kOverrunPause = 50'000;
constexpr Time kReadGrace = 10'000;      // a deadline that passes while input waits is postponed by this
constexpr int kMaxEvictionAttempts = 4;  // per new connection
constexpr int kMaxRequestsPerTurn = 16;  // of one connection, so that other sockets get their turn

}  // namespace

Downstream::Downstream(const Runtime* runtime, Front* front, Options options)
    : runtime_(runtime),
      front_(front),
      options_(std::move(options)),
      max_served_(options_.max_connections * 9 / 10),
      max_excess_(options_.max_connections - max_served_),
      acceptor_(runtime,
                {.has_capacity = [this] { return HasCapacity(); },
                 .make_capacity = [this] { return EvictConnection(kSilentEvictableAfter) || HasCapacity(); },
                 .on_connection = [this](int fd) { AddClient(fd); },
                 .connections = [this] { return clients_.size(); }}) {
  runtime_->buffers->AddReclaimer([this] { return ReclaimMemory(); });
}

std::string Downstream::Listen() {
  RequestParser::SetMaxHead(kMaxHead);
  options_.listen = acceptor_.Listen(options_.listen, options_.share_port);
  return options_.listen;
}

// ---- Connections and their limit ----

// `fd` is the descriptor of an accepted connection.
void Downstream::AddClient(int fd) {
  const bool excess = clients_.size() >= max_served_;
  const Handle handle = clients_.Add(Client(runtime_->buffers, options_.max_body));
  Client& client = *clients_.Get(handle);
  client.tcp = Tcp::New(runtime_->loop, runtime_->buffers, this, handle);
  client.excess = excess;
  client.idle_since = Now();
  if (!client.tcp->Open(fd)) return CloseConnection(handle, CloseReason::kWriteFailed);
  if (options_.admits && !options_.admits(client.tcp->PeerAddress())) {
    Log(Level::kWarn, "client-not-admitted");
    return CloseConnection(handle, CloseReason::kNotAdmitted);
  }
  SetRequestDeadline(handle, Now() + options_.request_timeout);
  client.tcp->StartReading();
}

void Downstream::SetMaxConnections(std::size_t max_connections) {
  max_served_ = max_connections * 9 / 10;
  max_excess_ = max_connections - max_served_;
}

// A request may be on its way on a connection that is new or has just had its response, so such a connection
// is not idle yet. The callers also check that no input is waiting to be read before they close one.
bool Downstream::IsIdle(const Client& client) {
  return client.state == State::kIdle && client.input.empty() && Now() - client.idle_since >= kIdleAfter &&
         client.tcp->unsent() == 0;
}

// Keeps the process from running out of descriptors. Closes, in this order of preference: a lingering
// connection whose last response is sent; one that has not sent a byte, since clients send their request as
// soon as they are connected, and it may be anywhere behind such connections; the connection that has been
// idle longest after a response, since HTTP allows closing between requests; one whose client has stopped in
// the middle of a request. Returns false if there is no capacity for another served connection.
bool Downstream::EvictConnection(Time silent_for) {
  if (clients_.size() < max_served_) return true;
  for (int attempt = 0; attempt < kMaxEvictionAttempts; ++attempt) {
    const Handle handle = EvictionCandidate(silent_for);
    Client* client = clients_.Get(handle);
    if (client == nullptr) return false;
    if (client->state == State::kLingering || client->tcp->NothingToRead()) {
      CloseConnection(handle, CloseReason::kEvicted);
      return true;
    }
    client->idle_since = Now();  // input is waiting to be read, so the connection is not idle
  }
  return false;
}

// Returns 0 if no connection may be closed.
Handle Downstream::EvictionCandidate(Time silent_for) const {
  Handle first = 0;
  EvictionRank lowest;
  for (const Handle handle : clients_.All()) {
    const EvictionRank rank = RankForEviction(*clients_.Get(handle), silent_for);
    if (rank < lowest) {
      first = handle;
      lowest = rank;
    }
  }
  return first;
}

Downstream::EvictionRank Downstream::RankForEviction(const Client& client, Time silent_for) {
  if (client.state == State::kLingering && client.tcp->unsent() == 0) return {0, client.idle_since};
  const bool silent = !client.used && client.state == State::kIdle;
  if (silent && Now() - client.idle_since >= silent_for) return {1, client.idle_since};
  if (client.used && IsIdle(client)) return {2, client.idle_since};
  const bool unfinished = client.state == State::kReading;
  if (unfinished && Now() - client.last_read_at >= kStalledEvictableAfter) return {3, client.last_read_at};
  return {};
}

// ---- How connections end ----

void Downstream::CloseConnection(Handle handle, CloseReason reason) {
  Client* client = clients_.Get(handle);
  if (client == nullptr) return;
  ++closed_[static_cast<std::size_t>(reason)];
  Log(Level::kDebug, "client-closed",
      {{"why", Name(reason)}, {"used", client->used}, {"unsent", client->tcp->unsent()}});
  runtime_->deadlines->Cancel(client->deadline);
  runtime_->deadlines->Cancel(client->end_check);
  client->tcp->Close();
  clients_.Remove(handle);
}

// The client has disconnected or its connection broke. Notifies the front if a response was due.
void Downstream::CloseAndNotifyFront(Handle handle, CloseReason reason) {
  const Client* client = clients_.Get(handle);
  if (client == nullptr) return;
  const bool response_due = client->state == State::kResponding;
  CloseConnection(handle, reason);
  if (response_due) front_->OnClientDisconnected(handle);
}

void Downstream::OnDisconnected(Handle handle) { CloseAndNotifyFront(handle, CloseReason::kClientEnded); }

// Closes an idle connection gracefully: shuts down writing, so that the client gets the FIN after its last
// response, and waits for the client to close. A request that arrives meanwhile is not read, so that its
// client may safely send it again on another connection; if it were read and not answered, it would be lost.
void Downstream::CloseGracefully(Handle handle, CloseReason reason) {
  Client& client = *clients_.Get(handle);
  client.state = State::kLingering;
  client.close_reason = reason;
  client.idle_since = Now();
  client.keep_alive = false;
  client.tcp->StopReading();
  client.tcp->ShutdownWrite();
  SetLingerDeadline(handle);
  WatchForEndWhileClosing(handle);
}

void Downstream::SetLingerDeadline(Handle handle) {
  Client& client = *clients_.Get(handle);
  runtime_->deadlines->Cancel(client.deadline);
  const Time timeout = client.tcp->unsent() > 0 ? kWriteTimeout : kLingerTimeout;
  client.deadline = runtime_->deadlines->Set(
      Now() + timeout, [this, handle] { CloseConnection(handle, clients_.Get(handle)->close_reason); });
}

void Downstream::PauseReading(Handle handle) {
  Client& client = *clients_.Get(handle);
  if (client.paused) return;
  client.paused = true;
  client.paused_at = Now();
  client.tcp->StopReading();
  WatchForEndWhilePaused(handle);
}

void Downstream::ResumeReading(Client& client) {
  client.paused = false;
  runtime_->deadlines->Cancel(client.end_check);
  client.tcp->StartReading();
}

// While reading is paused, the end of the connection is not noticed. Checks for it at intervals, so that no
// work is done for a client that has disconnected.
void Downstream::WatchForEndWhilePaused(Handle handle) {
  clients_.Get(handle)->end_check = runtime_->deadlines->Set(Now() + kEndCheckInterval, [this, handle] {
    if (clients_.Get(handle)->tcp->PeerClosed())
      return CloseAndNotifyFront(handle, CloseReason::kClientEnded);
    WatchForEndWhilePaused(handle);
  });
}

// Closes a connection that was shut down while idle as soon as its client has closed it too.
void Downstream::WatchForEndWhileClosing(Handle handle) {
  runtime_->deadlines->Set(Now() + kEndCheckInterval, [this, handle] {
    const Client* client = clients_.Get(handle);
    if (client == nullptr) return;
    if (client->tcp->PeerClosed()) return CloseConnection(handle, client->close_reason);
    WatchForEndWhileClosing(handle);
  });
}

// ---- Hot restart and graceful shutdown ----

void Downstream::HandOver() {
  handed_over_ = true;
  draining_ = true;
  // Without the delay of Stop: the other process already accepts connections at this address, and a SYN that
  // is dropped here would be sent again only after a second.
  acceptor_.StopNow();
  CloseIdle();
  SweepIdle();
}

// Closes the connections that have become idle, and repeats this until none is left.
void Downstream::SweepIdle() {
  if (!handed_over_) return;
  CloseIdle();
  if (clients_.size() > 0) {
    runtime_->deadlines->Set(Now() + kIdleSweepInterval, [this] { SweepIdle(); });
  }
}

void Downstream::Resume() {
  if (!handed_over_) return;
  handed_over_ = false;
  draining_ = false;
  Listen();
}

void Downstream::Drain() { draining_ = true; }

void Downstream::StopAccepting() { acceptor_.Stop(); }

void Downstream::CloseIdle() {
  for (const Handle handle : clients_.All()) {
    const Client& client = *clients_.Get(handle);
    if (IsIdle(client) && client.tcp->NothingToRead()) CloseGracefully(handle, CloseReason::kIdle);
  }
}

void Downstream::EndIncomplete() {
  for (const Handle handle : clients_.All()) {
    const Client* client = clients_.Get(handle);
    if (client != nullptr && client->state == State::kReading) RejectIncomplete(handle, 503, "ending");
  }
}

bool Downstream::Settled(Time quiet) const {
  if (acceptor_.listening()) return false;
  const Time now = Now();
  for (const Handle handle : clients_.All()) {
    const Client& client = *clients_.Get(handle);
    const bool response_sent = client.state == State::kLingering && client.tcp->unsent() == 0;
    if (!response_sent || now - client.idle_since < quiet) return false;
  }
  return true;
}

void Downstream::Close() {
  handed_over_ = false;
  acceptor_.Close();
  for (const Handle handle : clients_.All()) CloseConnection(handle, CloseReason::kProcessEnds);
}

// ---- Requests ----

// Sets when a connection is closed that has not sent a complete request by then, so that it does not occupy a
// socket; one that has sent part of a request gets an error first. The callers give used connections more
// time, as their clients may send another request.
void Downstream::SetRequestDeadline(Handle handle, Time at) {
  Client& client = *clients_.Get(handle);
  runtime_->deadlines->Cancel(client.deadline);
  client.deadline = runtime_->deadlines->Set(at, [this, handle] { OnRequestTimeout(handle); });
}

void Downstream::OnRequestTimeout(Handle handle) {
  const Client* client = clients_.Get(handle);
  if (client == nullptr) return;
  if (client->state == State::kReading) return RejectIncomplete(handle, 408, "slow-sender");
  if (client->state != State::kIdle) return;
  if (!client->tcp->NothingToRead()) return SetRequestDeadline(handle, Now() + kReadGrace);
  CloseGracefully(handle, CloseReason::kRequestTimeout);
}

// Answers a request that is not complete or not valid; this response is the connection's last.
void Downstream::RejectIncomplete(Handle handle, int status, const char* reason) {
  Client& client = *clients_.Get(handle);
  runtime_->deadlines->Cancel(client.deadline);
  client.state = State::kResponding;
  client.keep_alive = false;
  client.parser.Reset();  // frees what has been received
  Log(Level::kWarn, "local-reply", {{"status", status}, {"why", reason}});
  ReplyError(handle, status);
}

// Called when memory is short. Refuses the incomplete request that holds the most, so that clients that send
// much and do not finish don't keep others out. Returns false if there is none, or if the request that is
// being parsed, and probably needs the memory, holds the most itself.
bool Downstream::ReclaimMemory() {
  Handle largest = 0;
  std::size_t most = 0;
  for (const Handle handle : clients_.All()) {
    const Client& client = *clients_.Get(handle);
    const std::size_t held = client.state == State::kReading ? client.parser.request().HeldBytes() : 0;
    if (held <= most) continue;
    most = held;
    largest = client.parsing ? 0 : handle;
  }
  if (largest == 0) return false;
  RejectIncomplete(largest, 503, "memory");
  return true;
}

std::size_t Downstream::ReadSize(Handle handle) const {
  const Client* client = clients_.Get(handle);
  return client == nullptr ? kMaxReadSize : client->input.ReadSize();
}

void Downstream::OnRead(Handle handle, std::string_view bytes) {
  Client* client = clients_.Get(handle);
  if (client == nullptr || client->state == State::kLingering) return;
  client->last_read_at = Now();
  client->input.Append(bytes, client->last_read_at);
  if (client->state != State::kResponding) return ParseInput(handle);
  if (client->input.full()) PauseOverrun(handle);
}

// Parses the bytes that were read up to the end of a request, and goes on with the next request if the first
// one has been answered meanwhile.
void Downstream::ParseInput(Handle handle) {
  Client* client = clients_.Get(handle);
  if (client == nullptr || client->parsing) return;
  client->parsing = true;
  int requests = 0;
  while (client != nullptr && !client->input.empty() &&
         (client->state == State::kIdle || client->state == State::kReading)) {
    if (client->state == State::kIdle && OutputFull(*client)) {
      AwaitDrain(handle);
      break;
    }
    if (++requests > kMaxRequestsPerTurn) {
      ParseLater(handle);
      break;
    }
    ParseRequest(handle, *client);
    client = clients_.Get(handle);
  }
  if (client == nullptr) return;
  client->parsing = false;
  if (client->state == State::kResponding && client->input.full()) PauseOverrun(handle);
}

void Downstream::PauseOverrun(Handle handle) {
  clients_.Get(handle)->overrun = true;
  PauseReading(handle);
}

bool Downstream::OutputFull(const Client& client) const {
  return client.tcp->unsent() >= (runtime_->buffers->HalfUsed() ? kMaxUnsentWhenShort : kMaxUnsent);
}

// The client pipelines requests and does not read the responses. OnDrained goes on with its input.
void Downstream::AwaitDrain(Handle handle) {
  PauseReading(handle);
  Client& client = *clients_.Get(handle);
  runtime_->deadlines->Cancel(client.deadline);
  client.deadline = runtime_->deadlines->Set(Now() + kWriteTimeout, [this, handle] {
    Log(Level::kWarn, "client-write-timeout");
    CloseConnection(handle, CloseReason::kWriteTimeout);
  });
}

// Goes on with the input in the next loop iteration.
void Downstream::ParseLater(Handle handle) {
  PauseReading(handle);
  runtime_->deadlines->Set(Now(), [this, handle] {
    Client* client = clients_.Get(handle);
    if (client == nullptr || client->state != State::kIdle) return;
    ResumeReading(*client);
    ParseInput(handle);
  });
}

void Downstream::ParseRequest(Handle handle, Client& client) {
  if (client.state == State::kIdle) {
    client.state = State::kReading;
    client.parser.request().first_byte = client.input.FirstByteAt(Now());
    if (client.parser.request().first_byte - client.idle_since >= kOverrunPause) client.overrun = false;
    // The deadline of the first request was set when the connection was accepted.
    if (client.used) SetRequestDeadline(handle, Now() + options_.request_timeout);
  }
  std::size_t consumed = 0;
  const RequestParser::Result result = client.parser.Parse(client.input.bytes(), &consumed);
  if (client.parser.TakeExpectsContinue()) client.tcp->Write("HTTP/1.1 100 Continue\r\n\r\n");
  if (result == RequestParser::Result::kComplete) {
    client.input.Consume(consumed);
    return OnRequestComplete(handle, client);
  }
  client.input.Clear();
  if (result == RequestParser::Result::kIncomplete) return;
  RejectIncomplete(handle, client.parser.error_status(), client.parser.error_reason());
}

// A client that pipelines more requests than are read ahead gets all but its first ones refused. While bytes
// wait unread, here or at the client's machine, it can't be seen whether the client has closed the
// connection, and no attempt may begin for a client that has.
void Downstream::OnRequestComplete(Handle handle, Client& client) {
  runtime_->deadlines->Cancel(client.deadline);
  client.state = State::kResponding;
  const bool pipelined = std::exchange(client.used, true);
  client.keep_alive = client.parser.keep_alive();
  if (client.excess && clients_.size() > max_served_ && !EvictConnection(kSilentEvictableForRequest)) {
    client.keep_alive = false;
    return RejectComplete(handle, "sockets");
  }
  client.overrun = client.overrun || (!client.input.empty() && client.tcp->HasUnread(kMaxUnread));
  if (pipelined && client.overrun) return RejectComplete(handle, "pipelined");
  HttpRequest request = std::move(client.parser.request());
  front_->OnRequest(handle, std::move(request));
}

void Downstream::RejectComplete(Handle handle, const char* reason) {
  Log(Level::kWarn, "local-reply", {{"status", 503}, {"why", reason}, {"clients", clients_.size()}});
  ReplyError(handle, 503);
}

// ---- Responses ----

void Downstream::Reply(Handle handle, int status, const std::string& headers, std::string_view body) {
  Client* client = clients_.Get(handle);
  if (client == nullptr || client->state != State::kResponding) return;
  // Requests that were already read after this one are answered before the connection closes.
  if (draining_ && client->input.empty()) client->keep_alive = false;
  const std::string head = "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\n" +
                           headers + (client->keep_alive ? "" : "Connection: close\r\n") +
                           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (!client->tcp->Write({head, body})) return CloseConnection(handle, CloseReason::kWriteFailed);
  OnResponseComplete(handle);
}

void Downstream::ReplyError(Handle handle, int status) {
  std::string headers = status == 503 ? "Retry-After: 1\r\n" : "";
  std::string body;
  front_->FormatError(status, headers, body);
  Reply(handle, status, headers, body);
}

void Downstream::BeginChunks(Handle handle, const std::string& headers) {
  Client* client = clients_.Get(handle);
  if (client == nullptr || client->state != State::kResponding) return;
  // Requests that were already read after this one are answered before the connection closes.
  if (draining_ && client->input.empty()) client->keep_alive = false;
  const std::string head = "HTTP/1.1 200 OK\r\n" + headers +
                           (client->keep_alive ? "" : "Connection: close\r\n") +
                           "Transfer-Encoding: chunked\r\n\r\n";
  OnWritten(handle, client->tcp->Write(head));
}

void Downstream::Chunk(Handle handle, std::string_view bytes) {
  Client* client = clients_.Get(handle);
  if (client == nullptr || client->state != State::kResponding || bytes.empty()) return;
  char size[24];
  const int length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  OnWritten(handle, client->tcp->Write({{size, static_cast<std::size_t>(length)}, bytes, "\r\n"}));
}

// A failed write is handled in the next loop iteration, as the caller may be in the middle of forwarding
// events.
void Downstream::OnWritten(Handle handle, bool written) {
  Client& client = *clients_.Get(handle);
  if (!written) {
    runtime_->deadlines->Set(Now(),
                             [this, handle] { CloseAndNotifyFront(handle, CloseReason::kWriteFailed); });
    return;
  }
  if (client.congested || !OutputFull(client)) return;
  client.congested = true;
  client.deadline = runtime_->deadlines->Set(Now() + kWriteTimeout, [this, handle] {
    Log(Level::kWarn, "client-write-timeout");
    CloseAndNotifyFront(handle, CloseReason::kWriteTimeout);
  });
  front_->OnBackpressure(handle, true);
}

void Downstream::OnDrained(Handle handle) {
  Client* client = clients_.Get(handle);
  if (client == nullptr) return;
  if (client->state == State::kLingering) SetLingerDeadline(handle);
  if (client->state == State::kIdle && client->paused) {
    ResumeReading(*client);
    return ParseInput(handle);
  }
  if (!client->congested) return;
  client->congested = false;
  runtime_->deadlines->Cancel(client->deadline);
  if (client->state == State::kResponding) front_->OnBackpressure(handle, false);
}

void Downstream::EndChunks(Handle handle) {
  Client* client = clients_.Get(handle);
  if (client == nullptr || client->state != State::kResponding) return;
  if (!client->tcp->Write("0\r\n\r\n")) return CloseConnection(handle, CloseReason::kWriteFailed);
  OnResponseComplete(handle);
}

void Downstream::Abort(Handle handle) { CloseConnection(handle, CloseReason::kAborted); }

void Downstream::EndTruncated(Handle handle) {
  Client* client = clients_.Get(handle);
  if (client == nullptr || client->state != State::kResponding) return;
  client->keep_alive = false;
  OnResponseComplete(handle);
}

void Downstream::CloseAfterResponse(Handle handle) {
  if (Client* client = clients_.Get(handle)) client->keep_alive = false;
}

sockaddr_storage Downstream::PeerOf(Handle handle) const {
  const Client* client = clients_.Get(handle);
  return client == nullptr ? sockaddr_storage{} : client->tcp->PeerAddress();
}

bool Downstream::Connected(Handle handle) const {
  const Client* client = clients_.Get(handle);
  return client != nullptr && !client->tcp->PeerClosed();
}

bool Downstream::MayHaveClosedUnseen(Handle handle) const {
  const Client* client = clients_.Get(handle);
  return client != nullptr && client->paused && Now() - client->paused_at >= kEndCheckInterval;
}

// The response is complete. The connection stays open or is shut down gracefully: closing a socket with
// unread input would reset the connection, and the client might lose the response.
void Downstream::OnResponseComplete(Handle handle) {
  Client& client = *clients_.Get(handle);
  client.idle_since = Now();
  if (!client.keep_alive) {
    client.state = State::kLingering;
    client.congested = false;
    client.input.Clear();
    ResumeReading(client);
    client.tcp->ShutdownWrite();
    return SetLingerDeadline(handle);
  }
  client.state = State::kIdle;
  client.parser.Reset();
  SetRequestDeadline(handle, client.idle_since + kIdleTimeout);
  ResumeReading(client);
  if (!client.input.empty()) ParseInput(handle);
}

}  // namespace ryeglade
