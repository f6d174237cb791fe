#include "lab/soak/link_relay.h"

#include <netinet/in.h>

#include <stdexcept>
#include <utility>

namespace ryeglade::soak {
namespace {

constexpr Time kLookAgain = 20'000;   // at a silent link, for what it holds
constexpr Time kTwiceWithin = 7'000;  // for a second answer
constexpr std::size_t kMostRepeated = std::size_t{64} * 1024;

int PortOf(const sockaddr_storage& address) {
  return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

}  // namespace

std::string LinkRelay::Add(const std::string& replica) {
  const std::size_t n = links_.size();
  links_.push_back(std::make_unique<Link>());
  Link& link = *links_.back();
  if (!ParseAddress(replica, &link.replica)) throw std::runtime_error("no address: " + replica);
  link.listener = std::make_unique<Listener>(run_->loop, [this, n] { Accept(n); });
  return link.listener->Listen("127.0.0.1:0", false);
}

void LinkRelay::Close() {
  if (std::exchange(ended_, true)) return;
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

const LinkView* LinkRelay::ViewOf(std::size_t link, int port) const {
  const auto it = views_.find({link, port});
  return it == views_.end() ? nullptr : &it->second;
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
  LinkView view;
  view.up = Now();
  if (Side* a = sides_.Get(b->other)) {
    a->port = b->port;
    if (!a->held.empty()) view.began = Now();
  }
  views_[{b->link, b->port}] = view;
  b->tcp->StartReading();
  Move(b->other);
}

void LinkRelay::OnRead(Handle side, std::string_view bytes) {
  Side* a = sides_.Get(side);
  if (a == nullptr) return;
  Link& l = *links_[a->link];
  if (a->from_node && l.reset_under > 0 && bytes.starts_with("POST ")) {
    --l.reset_under;
    a->tcp->ResetOnClose();
    return Drop(side);
  }
  if (a->port != 0) {
    LinkView& view = views_[{a->link, a->port}];
    if (!a->from_node) view.began = 0;
    if (a->from_node && view.began == 0) view.began = Now();
  }
  a->held.push_back({Now() + l.delay, std::string(bytes)});
  if (!a->from_node && l.twice) Repeat(side, bytes);
  Move(side);
}

void LinkRelay::Repeat(Handle side, std::string_view bytes) {
  Side& a = *sides_.Get(side);
  if (bytes.starts_with("HTTP/1.1 ")) a.answer.clear();
  a.answer.append(bytes);
  if (a.answer.size() > kMostRepeated) a.answer.clear();
  if (!a.answer.starts_with("HTTP/1.1 200") || !a.answer.ends_with("0\r\n\r\n")) return;
  const Time later = 1'000 + Now() % kTwiceWithin;
  run_->deadlines->Set(Now() + later, [this, side, answer = std::exchange(a.answer, {})] {
    Side* s = sides_.Get(side);
    if (s == nullptr) return;
    s->held.push_back({Now(), answer});
    Move(side);
  });
}

// What is due goes over the link, in order; the rest waits for its time, or for the link to speak again.
void LinkRelay::Move(Handle side) {
  Side* a = sides_.Get(side);
  if (a == nullptr || a->moving) return;
  Side* b = sides_.Get(a->other);
  if (b == nullptr || !b->connected) return;
  const bool silent = links_[a->link]->silent;
  while (!silent && !a->held.empty() && a->held.front().due <= Now()) {
    const std::string bytes = std::move(a->held.front().bytes);
    a->held.pop_front();
    if (!b->tcp->Write(bytes)) return Drop(side);
  }
  if (a->held.empty()) {
    if (a->ended) Drop(side);
    return;
  }
  a->moving = true;
  run_->deadlines->Set(silent ? Now() + kLookAgain : a->held.front().due, [this, side] {
    if (Side* s = sides_.Get(side)) {
      s->moving = false;
      Move(side);
    }
  });
}

void LinkRelay::OnDisconnected(Handle side) {
  Side* a = sides_.Get(side);
  if (a == nullptr) return;
  if (a->from_node) {
    // Whatever is still held goes nowhere: the node has given the connection up.
    if (a->port != 0) {
      views_[{a->link, a->port}].closed = Now();
      if (closed_) closed_(a->link, a->port);
    }
    return Drop(side);
  }
  a->ended = true;
  if (a->held.empty()) Drop(side);
}

// Both ends together.
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
