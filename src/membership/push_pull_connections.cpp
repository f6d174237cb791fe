#include "membership/push_pull_connections.h"

#include "membership/message_codec.h"

namespace ryeglade::membership {
namespace {

constexpr std::size_t kLengthBytes = 4;

std::string WithLength(const std::string& message) {
  std::string out;
  for (std::size_t i = 0; i < kLengthBytes; ++i) out += static_cast<char>(message.size() >> (8 * i) & 0xff);
  return out + message;
}

std::size_t ReadLength(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  return length;
}

}  // namespace

void PushPullConnections::SetDeadline(Handle handle, Exchange* exchange) {
  exchange->deadline = runtime_->deadlines->Set(Now() + timeout_, [this, handle] { End(handle, false); });
}

bool PushPullConnections::WriteMessage(Exchange* exchange) {
  return exchange->tcp->Write(WithLength(owner_->PushPullBytes()));
}

void PushPullConnections::Reject(Handle handle, const char* why) {
  owner_->CountDropped(why);
  End(handle, false);
}

void PushPullConnections::Start(const sockaddr_storage& from, const sockaddr_storage& to) {
  if (outgoing_ >= kMaxOutgoing) return;
  const Handle handle = exchanges_.Add({});
  Exchange* exchange = exchanges_.Get(handle);
  exchange->initiated = true;
  exchange->tcp = Tcp::New(runtime_->loop, runtime_->buffers, this, handle);
  ++outgoing_;
  SetDeadline(handle, exchange);
  if (exchange->tcp->Bind(from) != 0 || exchange->tcp->Connect(to) != 0) End(handle, false);
}

void PushPullConnections::OnConnected(Handle handle, int status) {
  Exchange* exchange = exchanges_.Get(handle);
  if (exchange == nullptr) return;
  if (status != 0) return End(handle, false);
  exchange->tcp->StartReading();
  if (!WriteMessage(exchange)) End(handle, false);
}

void PushPullConnections::Accept(uv_stream_t* listener) {
  const Handle handle = exchanges_.Add({});
  Exchange* exchange = exchanges_.Get(handle);
  exchange->tcp = Tcp::New(runtime_->loop, runtime_->buffers, this, handle);
  ++incoming_;
  if (!exchange->tcp->Accept(listener) || incoming_ > kMaxIncoming) return End(handle, false);
  if (!networks_->Contains(exchange->tcp->PeerAddress())) return Reject(handle, "networks");
  SetDeadline(handle, exchange);
  exchange->tcp->StartReading();
}

void PushPullConnections::OnRead(Handle handle, std::string_view bytes) {
  Exchange* exchange = exchanges_.Get(handle);
  if (exchange == nullptr || exchange->answered) return;
  if (exchange->received.size() + bytes.size() > kMaxPushPullBytes + kLengthBytes)
    return Reject(handle, "too-long");
  exchange->received.append(bytes);
  if (exchange->received.size() < kLengthBytes) return;
  const std::size_t length = ReadLength(exchange->received);
  if (length > kMaxPushPullBytes) return Reject(handle, "too-long");
  if (exchange->received.size() < kLengthBytes + length) return;
  const bool initiated = exchange->initiated;
  // Copied, because the owner may begin further exchanges, which moves this exchange's buffer.
  const std::string message = exchange->received.substr(kLengthBytes, length);
  if (!owner_->OnPushPullBytes(message, initiated)) return End(handle, false);
  exchange = exchanges_.Get(handle);
  if (exchange == nullptr) return;
  ++completed_;
  if (initiated) return End(handle, true);
  exchange->answered = true;
  if (!WriteMessage(exchange)) return End(handle, false);
  if (exchange->tcp->unsent() == 0) OnDrained(handle);
}

void PushPullConnections::OnDrained(Handle handle) {
  Exchange* exchange = exchanges_.Get(handle);
  // The other side closes the connection after it has read everything; if it does not, the deadline ends the
  // exchange.
  if (exchange != nullptr && exchange->answered) exchange->tcp->ShutdownWrite();
}

void PushPullConnections::OnDisconnected(Handle handle) {
  const Exchange* exchange = exchanges_.Get(handle);
  if (exchange != nullptr) End(handle, exchange->answered);
}

void PushPullConnections::End(Handle handle, bool completed) {
  Exchange* exchange = exchanges_.Get(handle);
  if (exchange == nullptr) return;
  if (!completed) ++failed_;
  --(exchange->initiated ? outgoing_ : incoming_);
  runtime_->deadlines->Cancel(exchange->deadline);
  exchange->tcp->Close();
  exchanges_.Remove(handle);
}

void PushPullConnections::CloseAll() {
  for (const Handle handle : exchanges_.All()) End(handle, false);
}

}  // namespace ryeglade::membership
