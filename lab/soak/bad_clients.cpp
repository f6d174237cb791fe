#include "lab/soak/bad_clients.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

#include "lab/soak/framings.h"
#include "lab/soak/node_settings.h"

namespace ryeglade::soak {
namespace {

constexpr Time kMillisecond = 1'000;
constexpr Time kReconnectDelay = 20 * kMillisecond;
constexpr Time kFloodInterval = 2 * kMillisecond;             // between two writes of a flood
constexpr std::size_t kFloodBytes = std::size_t{128} * 1024;  // in one write
constexpr Time kLeaveAfter = 50 * kMillisecond;               // from connecting to leaving
constexpr int kRequestsBeforeLeaving = 200;
constexpr std::size_t kPromptBytes = 2'048;
constexpr std::size_t kLargeBody = std::size_t{200} * 1024;
constexpr std::size_t kHeadBytes = 15'000;

// How many clients a fault of this kind has at once.
std::size_t ClientsOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kFlood:
      return 1;
    case FaultKind::kSendAndLeave:
    case FaultKind::kUnreadableFraming:
      return 20;
    default:
      return 100;
  }
}

}  // namespace

BadClients::BadClients(const Runtime* run, const Plan& plan, const std::vector<std::string>& addresses)
    : run_(run),
      plan_(plan),
      addresses_(ParseAddresses(addresses)),
      random_(plan.seed, emulator::RandomPurpose::kArrivals, SIZE_MAX) {}

std::size_t BadClients::Start(const Fault& fault) {
  const std::size_t clients = ClientsOf(fault.kind);
  for (std::size_t n = 0; n < clients; ++n) Open(fault.kind, fault.node, Now() + fault.duration);
  return clients;
}

void BadClients::Open(FaultKind kind, std::size_t node, Time until) {
  if (closed_ || Now() >= until) return;
  const Handle handle = links_.Add({});
  Link& link = *links_.Get(handle);
  link.kind = kind;
  link.node = node;
  link.until = until;
  link.id_prefix = fmt::format("bad{:06x}", ++last_id_);
  link.tcp = Tcp::New(run_->loop, run_->buffers, this, handle);
  if (link.tcp->Connect(addresses_[node]) != 0) OnDisconnected(handle);
}

void BadClients::OpenAgain(const Link& link) {
  run_->deadlines->Set(Now() + kReconnectDelay, [this, kind = link.kind, node = link.node,
                                                 until = link.until] { Open(kind, node, until); });
}

std::string BadClients::Requests(const std::string& id_prefix, int count, std::size_t body_bytes) const {
  std::string all;
  const std::string body = "{\"stream\":true,\"p\":\"" + std::string(body_bytes, 'p') + "\"}";
  for (int n = 0; n < count; ++n) {
    all += fmt::format(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nX-Call-Id: {}{:04x}\r\nX-Call-Class: {}\r\n"
        "X-Route-Hash: {}{:04x}\r\nX-Budget: 1.000\r\nContent-Length: {}\r\n\r\n",
        id_prefix, n, plan_.classes.begin()->first, id_prefix, n, body.size());
    all += body;
  }
  return all;
}

// Small and unsound requests under ever new names.
std::string BadClients::FloodText() {
  std::string text;
  while (text.size() < kFloodBytes) {
    const std::string name = fmt::format("bad{:06x}", ++last_id_);
    if (random_.Chance(0.5)) text += "GET /" + name + " HTTP/1.1\r\nHost: soak\r\n\r\n";
    text += fmt::format(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: {}\r\nX-Call-Class: class-{}\r\nX-Budget: 1\r\n"
        "X-Route-Hash: {}\r\nContent-Length: 2\r\n\r\n{{}}",
        name.substr(3), name, name);
  }
  return text;
}

void BadClients::OnConnected(Handle handle, int status) {
  Link* link = links_.Get(handle);
  if (link == nullptr) return;
  if (status != 0) return OnDisconnected(handle);
  run_->deadlines->Set(link->until, [this, handle] { Drop(handle); });
  switch (link->kind) {
    case FaultKind::kFlood:
      link->tcp->StartReading();
      return Flood(handle);
    case FaultKind::kSendAndLeave:
      link->tcp->StartReading();
      link->tcp->Write(Requests(link->id_prefix, kRequestsBeforeLeaving, kPromptBytes));
      run_->deadlines->Set(Now() + kLeaveAfter, [this, handle] { Leave(handle); });
      return;
    case FaultKind::kHalfBodies: {
      link->tcp->StartReading();
      const std::string request = Requests(link->id_prefix, 1, kLargeBody);
      link->tcp->Write(request.substr(0, request.size() / 2));
      return;
    }
    case FaultKind::kManyFields: {
      link->tcp->StartReading();
      std::string head = "GET / HTTP/1.1\r\n";
      while (head.size() < kHeadBytes) head += "a:\r\n";
      link->tcp->Write(head);
      return;
    }
    case FaultKind::kUnreadableFraming:
      link->tcp->StartReading();
      return SendUnreadable(handle);
    default:  // FaultKind::kUnreadAnswers: never reads
      link->tcp->Write(Requests(link->id_prefix, 1, kPromptBytes));
      return;
  }
}

void BadClients::Flood(Handle handle) {
  Link* link = links_.Get(handle);
  if (link == nullptr || Now() >= link->until) return;
  if (link->tcp->unsent() == 0 && !link->tcp->Write(FloodText())) return OnDisconnected(handle);
  run_->deadlines->Set(Now() + kFloodInterval, [this, handle] { Flood(handle); });
}

void BadClients::Leave(Handle handle) {
  const Link* link = links_.Get(handle);
  if (link == nullptr) return;
  clients_that_left_.push_back({link->node, Now(), link->id_prefix});
  OnDisconnected(handle);
}

void BadClients::SendUnreadable(Handle handle) {
  Link& link = *links_.Get(handle);
  UnreadableRequest request;
  request.node = link.node;
  request.id = link.id_prefix + "0000";
  request.began = Now();
  const std::string text = fmt::format(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Budget: "
      "1.000\r\n{}",
      request.id, plan_.classes.begin()->first,
      UnreadableFraming("{\"stream\":true,\"max_tokens\":10}", random_));
  link.unreadable = unreadable_requests_.size();
  unreadable_requests_.push_back(std::move(request));
  if (!link.tcp->Write(text)) OnDisconnected(handle);
}

void BadClients::EndUnreadable(const Link& link, std::string_view answer) {
  if (link.unreadable == kNone) return;
  UnreadableRequest& request = unreadable_requests_[link.unreadable];
  if (request.ended != 0) return;
  request.ended = Now();
  const std::size_t blank = answer.find(' ');
  if (blank == std::string_view::npos) return;
  std::from_chars(answer.data() + blank + 1, answer.data() + answer.size(), request.status);
}

void BadClients::OnRead(Handle handle, std::string_view bytes) {
  const Link* link = links_.Get(handle);
  if (link == nullptr || link->unreadable == kNone) return;
  EndUnreadable(*link, bytes);
  OnDisconnected(handle);
}

void BadClients::OnDisconnected(Handle handle) {
  const Link* link = links_.Get(handle);
  if (link == nullptr) return;
  OpenAgain(*link);
  Drop(handle);
}

void BadClients::Drop(Handle handle) {
  Link* link = links_.Get(handle);
  if (link == nullptr) return;
  EndUnreadable(*link, "");
  link->tcp->ResetOnClose();
  link->tcp->Close();
  links_.Remove(handle);
}

void BadClients::Close() {
  if (std::exchange(closed_, true)) return;
  for (const Handle handle : links_.All()) Drop(handle);
}

}  // namespace ryeglade::soak
