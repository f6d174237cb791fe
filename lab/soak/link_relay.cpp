#include "lab/soak/link_relay.h"

#include <netinet/in.h>

#include <stdexcept>
#include <utility>

namespace ryeglade::soak {
namespace {

constexpr Time kSilentRetryInterval =
    20'000;  // microseconds until the queue of a silent link is checked again
// Microseconds. A repeated answer follows its original after 1 ms plus less than this.
constexpr Time kRepeatDelayRange = 7'000;
constexpr std::size_t kMaxRepeatedBytes = std::size_t{64} * 1024;  // longer answers are not repeated

int PortOf(const sockaddr_storage& address) {
  return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

}  // namespace

std::string LinkRelay::Add(const std::string& replica) {
  const std::size_t n = links_.size();
  links_.push_back(std::make_unique<Link>());
  Link& link = *links_.back();
  if (!ParseAddress(replica, &link.replica))
    throw std::runtime_error("soak: a replica's address must be ip:port, not '" + replica + "'");
  link.listener = std::make_unique<Listener>(run_->loop, [this, n] { Accept(n); });
  return link.listener->Listen("127.0.0.1:0", false);
}

void LinkRelay::Close() {
  if (std::exchange(closed_, true)) return;
  for (const Handle side : sides_.All()) Drop(side);
  for (const auto& link : links_) link->listener->Close();
}

void LinkRelay::SetLate(std::size_t link, bool late) {
  Link& l = *links_[link];
  l.late = late;
  late || l.silent ? l.listener->DropNewConnections() : l.listener->AllowNewConnections();
}

void LinkRelay::SetSilent(std::size_t link, bool silent) {
  Link& l = *links_[link];
  l.silent = silent;
  silent || l.late ? l.listener->DropNewConnections() : l.listener->AllowNewConnections();
  if (!silent) ResetAll(link);
}

void LinkRelay::ResetAll(std::size_t link) {
  for (const Handle handle : sides_.All()) {
    Side* s = sides_.Get(handle);
    if (s == nullptr || s->link != link || !s->from_node) continue;
    s->tcp->ResetOnClose();
    Drop(handle);
  }
}

const LinkRecord* LinkRelay::RecordOf(std::size_t link, int port) const {
  const auto it = records_.find({link, port});
  return it == records_.end() ? nullptr : &it->second;
}

void LinkRelay::Accept(std::size_t link) {
  Link& l = *links_[link];
  for (int error = 0;;) {
    const int fd = l.listener->Accept(&error);
    if (fd < 0) return;
    const Handle in = sides_.Add({});
    Side* a = sides_.Get(in);
    a->tcp = Tcp::New(run_->loop, run_->buffers, this, in);
    a->link = link;
    a->from_node = a->connected = true;
    if (!a->tcp->Open(fd)) {
      Drop(in);
      continue;
    }
    const Handle out = sides_.Add({});
    a = sides_.Get(in);
    Side* b = sides_.Get(out);
    b->tcp = Tcp::New(run_->loop, run_->buffers, this, out);
    b->link = link;
    a->other = out;
    b->other = in;
    if (b->tcp->Connect(l.replica) != 0) {
      Drop(in);
      continue;
    }
    a->tcp->StartReading();
  }
}

void LinkRelay::OnConnected(Handle side, int status) {
  Side* b = sides_.Get(side);
  if (b == nullptr) return;
  if (status != 0) return Drop(side);
  b->connected = true;
  b->port = PortOf(b->tcp->LocalAddress());
  LinkRecord record;
  record.up = Now();
  if (Side* a = sides_.Get(b->other)) {
    a->port = b->port;
    if (!a->queued.empty()) record.began = Now();
  }
  records_[{b->link, b->port}] = record;
  b->tcp->StartReading();
  Forward(b->other);
}

void LinkRelay::OnRead(Handle side, std::string_view bytes) {
  Side* a = sides_.Get(side);
  if (a == nullptr) return;
  Link& l = *links_[a->link];
  if (a->from_node && l.requests_to_reset > 0 && bytes.starts_with("POST ")) {
    --l.requests_to_reset;
    a->tcp->ResetOnClose();
    return Drop(side);
  }
  if (a->port != 0) {
    LinkRecord& record = records_[{a->link, a->port}];
    if (!a->from_node) record.began = 0;
    if (a->from_node && record.began == 0) record.began = Now();
  }
  a->queued.push_back({Now() + l.delay, std::string(bytes)});
  if (!a->from_node && l.repeat_answers) ScheduleRepeat(side, bytes);
  Forward(side);
}

// Collects the answer, and schedules its repetition when it is complete.
void LinkRelay::ScheduleRepeat(Handle side, std::string_view bytes) {
  Side& a = *sides_.Get(side);
  if (bytes.starts_with("HTTP/1.1 ")) a.answer.clear();
  a.answer.append(bytes);
  if (a.answer.size() > kMaxRepeatedBytes) a.answer.clear();
  if (!a.answer.starts_with("HTTP/1.1 200") || !a.answer.ends_with("0\r\n\r\n")) return;
  const Time later = 1'000 + Now() % kRepeatDelayRange;
  run_->deadlines->Set(Now() + later, [this, side, answer = std::exchange(a.answer, {})] {
    Side* s = sides_.Get(side);
    if (s == nullptr) return;
    s->queued.push_back({Now(), answer});
    Forward(side);
  });
}

// Writes the bytes that are due to the other end, in order. The others stay queued until they are due and the
// link is not silent.
void LinkRelay::Forward(Handle side) {
  Side* a = sides_.Get(side);
  if (a == nullptr || a->forward_scheduled) return;
  Side* b = sides_.Get(a->other);
  if (b == nullptr || !b->connected) return;
  const bool silent = links_[a->link]->silent;
  while (!silent && !a->queued.empty() && a->queued.front().due <= Now()) {
    const std::string bytes = std::move(a->queued.front().bytes);
    a->queued.pop_front();
    if (!b->tcp->Write(bytes)) return Drop(side);
  }
  if (a->queued.empty()) {
    if (a->ended) Drop(side);
    return;
  }
  a->forward_scheduled = true;
  run_->deadlines->Set(silent ? Now() + kSilentRetryInterval : a->queued.front().due, [this, side] {
    if (Side* s = sides_.Get(side)) {
      s->forward_scheduled = false;
      Forward(side);
    }
  });
}

void LinkRelay::OnDisconnected(Handle side) {
  Side* a = sides_.Get(side);
  if (a == nullptr) return;
  if (a->from_node) {
    // Bytes that are still queued are dropped, because the node has given up the connection.
    if (a->port != 0) {
      records_[{a->link, a->port}].closed = Now();
      if (on_closed_) on_closed_(a->link, a->port);
    }
    return Drop(side);
  }
  a->ended = true;
  if (a->queued.empty()) Drop(side);
}

// Closes both ends of the connection.
void LinkRelay::Drop(Handle side) {
  Side* s = sides_.Get(side);
  if (s == nullptr) return;
  const Handle other = s->other;
  s->tcp->Close();
  sides_.Remove(side);
  if (Side* o = sides_.Get(other)) {
    o->tcp->Close();
    sides_.Remove(other);
  }
}

}  // namespace ryeglade::soak
