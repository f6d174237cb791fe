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
    Side* node_side = sides_.Get(in);
    node_side->tcp = Tcp::New(run_->loop, run_->buffers, this, in);
    node_side->link = link;
    node_side->from_node = node_side->connected = true;
    if (!node_side->tcp->Open(fd)) {
      Drop(in);
      continue;
    }
    const Handle out = sides_.Add({});
    node_side = sides_.Get(in);
    Side* replica_side = sides_.Get(out);
    replica_side->tcp = Tcp::New(run_->loop, run_->buffers, this, out);
    replica_side->link = link;
    node_side->other = out;
    replica_side->other = in;
    if (replica_side->tcp->Connect(l.replica) != 0) {
      Drop(in);
      continue;
    }
    node_side->tcp->StartReading();
  }
}

void LinkRelay::OnConnected(Handle side, int status) {
  Side* replica_side = sides_.Get(side);
  if (replica_side == nullptr) return;
  if (status != 0) return Drop(side);
  replica_side->connected = true;
  replica_side->port = PortOf(replica_side->tcp->LocalAddress());
  LinkRecord record;
  record.up = Now();
  if (Side* node_side = sides_.Get(replica_side->other)) {
    node_side->port = replica_side->port;
    if (!node_side->queued.empty()) record.began = Now();
  }
  records_[{replica_side->link, replica_side->port}] = record;
  replica_side->tcp->StartReading();
  Forward(replica_side->other);
}

void LinkRelay::OnRead(Handle side, std::string_view bytes) {
  Side* source = sides_.Get(side);
  if (source == nullptr) return;
  Link& l = *links_[source->link];
  if (source->from_node && l.requests_to_reset > 0 && bytes.starts_with("POST ")) {
    --l.requests_to_reset;
    source->tcp->ResetOnClose();
    return Drop(side);
  }
  if (source->port != 0) {
    LinkRecord& record = records_[{source->link, source->port}];
    if (!source->from_node) record.began = 0;
    if (source->from_node && record.began == 0) record.began = Now();
  }
  source->queued.push_back({Now() + l.delay, std::string(bytes)});
  if (!source->from_node && l.repeat_answers) ScheduleRepeat(side, bytes);
  Forward(side);
}

// Collects the answer, and schedules its repetition when it is complete.
void LinkRelay::ScheduleRepeat(Handle side, std::string_view bytes) {
  Side& source = *sides_.Get(side);
  if (bytes.starts_with("HTTP/1.1 ")) source.answer.clear();
  source.answer.append(bytes);
  if (source.answer.size() > kMaxRepeatedBytes) source.answer.clear();
  if (!source.answer.starts_with("HTTP/1.1 200") || !source.answer.ends_with("0\r\n\r\n")) return;
  const Time later = 1'000 + Now() % kRepeatDelayRange;
  run_->deadlines->Set(Now() + later, [this, side, answer = std::exchange(source.answer, {})] {
    Side* s = sides_.Get(side);
    if (s == nullptr) return;
    s->queued.push_back({Now(), answer});
    Forward(side);
  });
}

// Writes the bytes that are due to the other end, in order. The others stay queued until they are due and the
// link is not silent.
void LinkRelay::Forward(Handle side) {
  Side* source = sides_.Get(side);
  if (source == nullptr || source->forward_scheduled) return;
  Side* target = sides_.Get(source->other);
  if (target == nullptr || !target->connected) return;
  const bool silent = links_[source->link]->silent;
  while (!silent && !source->queued.empty() && source->queued.front().due <= Now()) {
    const std::string bytes = std::move(source->queued.front().bytes);
    source->queued.pop_front();
    if (!target->tcp->Write(bytes)) return Drop(side);
  }
  if (source->queued.empty()) {
    if (source->ended) Drop(side);
    return;
  }
  source->forward_scheduled = true;
  run_->deadlines->Set(silent ? Now() + kSilentRetryInterval : source->queued.front().due, [this, side] {
    if (Side* s = sides_.Get(side)) {
      s->forward_scheduled = false;
      Forward(side);
    }
  });
}

void LinkRelay::OnDisconnected(Handle side) {
  Side* closed_side = sides_.Get(side);
  if (closed_side == nullptr) return;
  if (closed_side->from_node) {
    // Bytes that are still queued are dropped, because the node has given up the connection.
    if (closed_side->port != 0) {
      records_[{closed_side->link, closed_side->port}].closed = Now();
      if (on_closed_) on_closed_(closed_side->link, closed_side->port);
    }
    return Drop(side);
  }
  closed_side->ended = true;
  if (closed_side->queued.empty()) Drop(side);
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
