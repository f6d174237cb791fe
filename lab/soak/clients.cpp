#include "lab/soak/clients.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace ryeglade::soak {
namespace {

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;
constexpr Time kTryAgain = 30 * kMillisecond;     // after a connection that did not come up
constexpr Time kPatience = 1'500 * kMillisecond;  // beyond the budget, to see whether an answer still comes
constexpr Time kStreamPatience = 30 * kSecond;    // for a stream that has begun
constexpr Time kCrowdAgain = 200 * kMillisecond;
constexpr Time kBadPatience = 6 * kSecond;

}  // namespace

SoakClients::SoakClients(const Runtime* run, const Plan& plan, const std::vector<std::string>& addresses)
    : run_(run), plan_(plan) {
  for (const std::string& text : addresses) {
    if (!ParseAddress(text, &addresses_.emplace_back())) throw std::runtime_error("no address: " + text);
  }
  for (std::size_t node = 0; node < plan.nodes; ++node) {
    for (std::size_t n = 0; n < plan.clients; ++n) {
      users_.push_back(
          {node, 0, emulator::Stream(plan.seed, emulator::Concern::kArrivals, users_.size()), {}});
    }
  }
}

void SoakClients::Start() {
  for (std::size_t user = 0; user < users_.size(); ++user) {
    Next(user, static_cast<Time>(users_[user].chance.Unit() * static_cast<double>(kSecond)));
  }
  for (std::size_t node = 0; node < plan_.nodes; ++node) {
    for (std::size_t n = 0; n < plan_.crowd; ++n) Crowd(node);
  }
}

bool SoakClients::idle() const { return out_ == 0; }

void SoakClients::Next(std::size_t user, Time pause) {
  if (closed_) return;
  run_->deadlines->Set(Now() + pause, [this, user] { Begin(user); });
}

void SoakClients::Begin(std::size_t user) {
  if (halted_ || closed_) return;
  User& u = users_[user];
  const Link* kept = links_.Get(u.link);
  if (kept != nullptr && kept->connected && kept->waiting.empty() && kept->bad == kNone) return Ask(u.link);
  if (kept != nullptr) Drop(u.link);
  u.link = Open(user);
}

Handle SoakClients::Open(std::size_t user) {
  const Handle handle = links_.Add({});
  Link& l = *links_.Get(handle);
  l.users = this;
  l.user = user;
  l.tcp = Tcp::New(run_->loop, run_->buffers, this, handle);
  if (l.tcp->Connect(addresses_[users_[user].node]) != 0) {
    Drop(handle);
    Next(user, kTryAgain);
    return 0;
  }
  return handle;
}

void SoakClients::OnConnected(Handle handle, int status) {
  Link* l = links_.Get(handle);
  if (l == nullptr) return;
  const std::size_t user = l->user;
  if (status != 0) {
    const bool crowd = l->crowd;
    const std::size_t node = users_[user].node;
    Drop(handle);
    if (!crowd) return Next(user, kTryAgain);
    run_->deadlines->Set(Now() + kCrowdAgain, [this, node] { Crowd(node); });
    return;
  }
  l->connected = true;
  l->up = Now();
  l->tcp->StartReading();
  if (!l->crowd) Ask(handle);
}

// Idle connections that are opened again whenever they end.
void SoakClients::Crowd(std::size_t node) {
  if (halted_ || closed_) return;
  const auto user = static_cast<std::size_t>(
      std::find_if(users_.begin(), users_.end(), [&](const User& u) { return u.node == node; }) -
      users_.begin());
  const Handle handle = Open(user);
  if (Link* l = links_.Get(handle)) l->crowd = true;
}

std::string SoakClients::Request(std::size_t user, ClientRequest* record) {
  User& u = users_[user];
  record->node = u.node;
  if (!u.again.empty()) {
    const ClientRequest& before = requests_[u.again.back()];
    record->id = before.id;
    record->cls = before.cls;
    record->budget = before.budget;
    u.again.pop_back();
  } else {
    const auto at = static_cast<std::ptrdiff_t>(u.chance.Below(plan_.classes.size()));
    const auto& [name, rules] = *std::next(plan_.classes.begin(), at);
    const bool hurried = u.chance.Chance(plan_.habits.little_time);
    record->id = fmt::format("{:08x}{:08x}", plan_.seed & 0xffffffff, ++ids_);
    record->cls = name;
    record->budget =
        hurried ? 20 * kMillisecond + static_cast<Time>(u.chance.Unit() * 40'000.0) : rules.deadline;
  }
  const std::string body = fmt::format(
      R"({{"model":"m","stream":true,"max_tokens":100,"messages":[{{"role":"user","content":"question {} {}"}}]}})",
      record->id, std::string(u.chance.Below(400), 'q'));
  return fmt::format(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nX-Call-Id: {}\r\nX-Call-Class: "
      "{}\r\nX-Route-Hash: {:016x}\r\n"
      "X-Budget: {:.3f}\r\nX-Call-Info: prompt_len={}\r\nContent-Length: {}\r\n\r\n{}",
      record->id, record->cls, user + 1, static_cast<double>(record->budget) / 1e6, body.size() / 4,
      body.size(), body);
}

void SoakClients::Ask(Handle handle) {
  Link* l = links_.Get(handle);
  if (l == nullptr || halted_) return;
  const std::size_t user = l->user;
  User& u = users_[user];
  if (u.chance.Chance(plan_.habits.partial)) return Stall(handle, user);
  const bool twice = u.chance.Chance(plan_.habits.pipeline);
  l->fresh = u.chance.Chance(plan_.habits.fresh);
  l->whole = false;
  l->status = 0;
  http_parser_init(&l->parser, HTTP_RESPONSE);
  std::string bytes;
  const std::size_t first = requests_.size();
  for (int n = 0; n < (twice ? 2 : 1); ++n) {
    ClientRequest& r = requests_.emplace_back();
    bytes += Request(user, &r);
    r.connected = l->up;
    r.reused = l->answers > 0;
    r.behind = n > 0;
    l->waiting.push_back(requests_.size() - 1);
    ++out_;
  }
  const bool written = l->tcp->Write(bytes);
  for (std::size_t n = first; n < requests_.size(); ++n) requests_[n].sent = Now();
  if (!written) return End(handle, ClientEnd::kNotAsked);
  Behave(handle, first);
}

// What this request's client does while it waits.
void SoakClients::Behave(Handle handle, std::size_t record) {
  Link& l = *links_.Get(handle);
  User& u = users_[l.user];
  ClientRequest& r = requests_[record];
  const Habits& h = plan_.habits;
  l.give_up = run_->deadlines->Set(r.sent + r.budget + kPatience, [this, handle, record] {
    Link* late = links_.Get(handle);
    if (late == nullptr) return;
    if (requests_[record].events.empty()) return End(handle, ClientEnd::kTimedOut);
    late->give_up = run_->deadlines->Set(Now() + kStreamPatience, [this, handle] {
      if (links_.Get(handle) != nullptr) End(handle, ClientEnd::kTimedOut);
    });
  });
  const auto moment = [&] {
    return r.sent + static_cast<Time>(u.chance.Unit() * static_cast<double>(r.budget));
  };
  if (u.chance.Chance(h.leave)) {
    l.leave = run_->deadlines->Set(moment(), [this, handle] { Leave(handle, false); });
  } else if (u.chance.Chance(h.half_close)) {
    l.leave = run_->deadlines->Set(moment(), [this, handle] { Leave(handle, true); });
  } else if (u.chance.Chance(h.slow_reader)) {
    r.slow_reader = true;
    l.tcp->StopReading();
    run_->deadlines->Set(Now() + kSecond, [this, handle] {
      if (const Link* slow = links_.Get(handle)) slow->tcp->StartReading();
    });
  }
}

// Half of a request, and then nothing: it is owed an error or a close.
void SoakClients::Stall(Handle handle, std::size_t user) {
  Link& l = *links_.Get(handle);
  BadClient b;
  b.node = users_[user].node;
  b.began = Now();
  l.bad = bad_clients_.size();
  bad_clients_.push_back(b);
  if (!l.tcp->Write("POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nX-Call-Id: "))
    return End(handle, ClientEnd::kNotAsked);
  l.give_up = run_->deadlines->Set(Now() + kBadPatience, [this, handle] {
    if (links_.Get(handle) != nullptr) End(handle, ClientEnd::kTimedOut);
  });
}

void SoakClients::Leave(Handle handle, bool half) {
  Link* l = links_.Get(handle);
  if (l == nullptr || l->waiting.empty()) return;
  for (const std::size_t n : l->waiting) {
    requests_[n].left = Now();
    requests_[n].half_closed = half;
  }
  if (half) return l->tcp->ShutdownWrite();
  End(handle, ClientEnd::kLeft);
}

void SoakClients::LeaveBurst() {
  for (const Handle handle : links_.All()) {
    const Link* l = links_.Get(handle);
    if (l != nullptr && l->user % 2 == 0) Leave(handle, false);
  }
}

const http_parser_settings& SoakClients::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_headers_complete = [](http_parser* p) {
      static_cast<Link*>(p->data)->status = p->status_code;
      return 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
      Link& l = *static_cast<Link*>(p->data);
      if (l.status == 200 && !l.waiting.empty()) {
        l.users->requests_[l.waiting.front()].events.push_back({Now(), std::string(at, n)});
      }
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      static_cast<Link*>(p->data)->whole = true;
      http_parser_pause(p, 1);
      return 0;
    };
    return s;
  }();
  return settings;
}

void SoakClients::OnRead(Handle handle, std::string_view bytes) {
  Link* l = links_.Get(handle);
  if (l == nullptr) return;
  if (l->crowd) return;
  if (l->bad != kNone) {
    bad_clients_[l->bad].answered = true;
    return End(handle, ClientEnd::kFailed);
  }
  while (!bytes.empty() && !l->waiting.empty()) {
    l->parser.data = l;
    const std::size_t read = http_parser_execute(&l->parser, &Callbacks(), bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&l->parser);
    if (!l->whole) {
      if (error != HPE_OK) End(handle, ClientEnd::kCut);
      return;
    }
    bytes.remove_prefix(std::min(read, bytes.size()));
    Answered(handle);
    l = links_.Get(handle);
    if (l == nullptr) return;
  }
}

void SoakClients::Answered(Handle handle) {
  Link& l = *links_.Get(handle);
  const std::size_t user = l.user;
  User& u = users_[user];
  ClientRequest& r = requests_[l.waiting.front()];
  r.ended = Now();
  r.status = l.status;
  r.end = l.status == 200                      ? ClientEnd::kServed
          : l.status == 429 || l.status == 503 ? ClientEnd::kRefused
                                               : ClientEnd::kFailed;
  l.waiting.pop_front();
  --out_;
  ++l.answers;
  run_->deadlines->Cancel(l.give_up);
  run_->deadlines->Cancel(l.leave);
  const bool keep = http_should_keep_alive(&l.parser) != 0 && !l.fresh;
  if (!l.waiting.empty() && http_should_keep_alive(&l.parser) != 0) {
    l.whole = false;
    l.status = 0;
    http_parser_init(&l.parser, HTTP_RESPONSE);
    const std::size_t next = l.waiting.front();
    l.give_up = run_->deadlines->Set(Now() + kStreamPatience, [this, handle, next] {
      if (links_.Get(handle) != nullptr && requests_[next].ended == 0) End(handle, ClientEnd::kTimedOut);
    });
    return;
  }
  const Time pause = static_cast<Time>(u.chance.Exponential(static_cast<double>(plan_.habits.think)));
  // Whatever was written behind it has no answer.
  if (!l.waiting.empty()) return End(handle, ClientEnd::kNoAnswer);
  Next(user, pause);
  if (!keep) End(handle, ClientEnd::kNoAnswer);
}

void SoakClients::OnDisconnected(Handle handle) {
  const Link* l = links_.Get(handle);
  if (l == nullptr) return;
  const bool began = !l->waiting.empty() && !requests_[l->waiting.front()].events.empty();
  End(handle, began || l->status != 0 ? ClientEnd::kCut : ClientEnd::kNoAnswer);
}

// The connection is over; whatever still waited on it ends so.
void SoakClients::End(Handle handle, ClientEnd how) {
  Link* l = links_.Get(handle);
  if (l == nullptr) return;
  const std::size_t user = l->user;
  User& u = users_[user];
  if (l->crowd) {
    Drop(handle);
    run_->deadlines->Set(Now() + kCrowdAgain, [this, node = u.node] { Crowd(node); });
    return;
  }
  // Between two requests the next one is under way already.
  const bool between = l->waiting.empty() && l->bad == kNone;
  if (l->bad != kNone && bad_clients_[l->bad].ended == 0) bad_clients_[l->bad].ended = Now();
  bool first = true;
  for (const std::size_t n : l->waiting) {
    ClientRequest& r = requests_[n];
    r.ended = Now();
    r.end = first ? how : how == ClientEnd::kLeft ? ClientEnd::kLeft : ClientEnd::kNoAnswer;
    if (r.half_closed) r.end = ClientEnd::kLeft;
    // PROTOCOL: a request that crossed the end of a kept connection is sent once more on a new one.
    if (r.end == ClientEnd::kNoAnswer && r.reused && !r.behind && how != ClientEnd::kLeft)
      u.again.push_back(n);
    first = false;
    --out_;
  }
  l->waiting.clear();
  const Time pause = static_cast<Time>(u.chance.Exponential(static_cast<double>(plan_.habits.think)));
  Drop(handle);
  if (!between) Next(user, how == ClientEnd::kNoAnswer ? 0 : pause);
}

void SoakClients::Drop(Handle handle) {
  Link* l = links_.Get(handle);
  if (l == nullptr) return;
  run_->deadlines->Cancel(l->give_up);
  run_->deadlines->Cancel(l->leave);
  l->tcp->Close();
  links_.Remove(handle);
}

void SoakClients::Close() {
  if (std::exchange(closed_, true)) return;
  for (const Handle handle : links_.All()) Drop(handle);
}

}  // namespace ryeglade::soak
