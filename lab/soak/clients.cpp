#include "lab/soak/clients.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "lab/soak/framings.h"
#include "lab/soak/node_settings.h"

namespace ryeglade::soak {
namespace {

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;
constexpr Time kReconnectDelay = 30 * kMillisecond;  // after a connection that could not be established
// Time beyond the budget that a client waits, to record whether an answer still comes.
constexpr Time kWaitBeyondBudget = 1'500 * kMillisecond;
constexpr Time kStreamTimeout = 30 * kSecond;  // for the rest of a stream that has begun
constexpr Time kIdleReconnectDelay = 200 * kMillisecond;
constexpr std::size_t kFramingStreams = 1'000'000;  // number of the first stream for framing
constexpr Time kBadClientTimeout = 6 * kSecond;     // for the error or close after a partial request
constexpr int kUsualTokens = 100;                   // that a request asks for
constexpr double kLongShareOpenAi = 0.5;            // of the requests at the OpenAI-style address
constexpr double kStreamedShare = 0.6;              // of the same

}  // namespace

SoakClients::SoakClients(const Runtime* run, const Plan& plan, const std::vector<std::string>& addresses,
                         const std::vector<std::string>& openai_addresses)
    : run_(run),
      plan_(plan),
      addresses_(ParseAddresses(addresses)),
      openai_addresses_(ParseAddresses(openai_addresses)) {
  for (std::size_t node = 0; node < plan.nodes; ++node) {
    for (std::size_t n = 0; n < plan.clients; ++n) AddClient(node, false);
  }
  // Behind all others, so that seeds give those the same requests as before there were these.
  for (std::size_t node = 0; node < plan.nodes; ++node) {
    for (std::size_t n = 0; n < plan.openai_clients; ++n) AddClient(node, true);
  }
}

void SoakClients::AddClient(std::size_t node, bool openai) {
  const std::size_t number = clients_.size();
  clients_.push_back(
      {node,
       openai,
       0,
       emulator::RandomStream(plan_.seed, emulator::RandomPurpose::kArrivals, number),
       emulator::RandomStream(plan_.seed, emulator::RandomPurpose::kArrivals, kFramingStreams + number),
       {}});
}

void SoakClients::Start() {
  for (std::size_t client = 0; client < clients_.size(); ++client) {
    ScheduleNext(client, static_cast<Time>(clients_[client].random.Unit() * static_cast<double>(kSecond)));
  }
  for (std::size_t node = 0; node < plan_.nodes; ++node) {
    for (std::size_t n = 0; n < plan_.crowd; ++n) OpenIdleConnection(node);
  }
}

bool SoakClients::idle() const { return outstanding_ == 0; }

void SoakClients::ScheduleNext(std::size_t client, Time pause) {
  if (closed_) return;
  run_->deadlines->Set(Now() + pause, [this, client] { StartRequest(client); });
}

void SoakClients::StartRequest(std::size_t client) {
  if (sending_stopped_ || closed_) return;
  Client& c = clients_[client];
  const Link* kept = links_.Get(c.link);
  if (kept != nullptr && kept->connected && kept->awaiting_answer.empty() && kept->bad_client == kNone)
    return SendRequest(c.link);
  if (kept != nullptr) CloseConnection(c.link);
  c.link = Open(client);
}

Handle SoakClients::Open(std::size_t client) {
  const Handle handle = links_.Add({});
  Link& l = *links_.Get(handle);
  l.owner = this;
  l.client = client;
  l.tcp = Tcp::New(run_->loop, run_->buffers, this, handle);
  const Client& c = clients_[client];
  if (l.tcp->Connect((c.openai ? openai_addresses_ : addresses_)[c.node]) != 0) {
    CloseConnection(handle);
    ScheduleNext(client, kReconnectDelay);
    return 0;
  }
  return handle;
}

void SoakClients::OnConnected(Handle handle, int status) {
  Link* l = links_.Get(handle);
  if (l == nullptr) return;
  const std::size_t client = l->client;
  if (status != 0) {
    const bool crowd = l->idle_crowd;
    const std::size_t node = clients_[client].node;
    CloseConnection(handle);
    if (!crowd) return ScheduleNext(client, kReconnectDelay);
    run_->deadlines->Set(Now() + kIdleReconnectDelay, [this, node] { OpenIdleConnection(node); });
    return;
  }
  l->connected = true;
  l->connected_at = Now();
  l->tcp->StartReading();
  if (!l->idle_crowd) SendRequest(handle);
}

// Opens an idle connection, which is opened again whenever it closes.
void SoakClients::OpenIdleConnection(std::size_t node) {
  if (sending_stopped_ || closed_) return;
  const auto client = static_cast<std::size_t>(
      std::find_if(clients_.begin(), clients_.end(), [&](const Client& c) { return c.node == node; }) -
      clients_.begin());
  const Handle handle = Open(client);
  if (Link* l = links_.Get(handle)) l->idle_crowd = true;
}

std::string SoakClients::BuildRequest(std::size_t client, ClientRequest* record) {
  Client& c = clients_[client];
  record->node = c.node;
  if (c.openai) record->api = c.framing.Chance(kStreamedShare) ? Api::kOpenAiStreamed : Api::kOpenAiAssembled;
  if (!c.resend.empty()) {
    const ClientRequest& before = requests_[c.resend.back()];
    record->api = before.api;
    record->id = before.id;
    record->cls = before.cls;
    record->budget = before.budget;
    record->id_again = before.client_closed != 0;
    c.resend.pop_back();
  } else {
    const auto at = static_cast<std::ptrdiff_t>(c.random.Below(plan_.classes.size()));
    const auto& [name, rules] = *std::next(plan_.classes.begin(), at);
    const bool short_budget = c.random.Chance(plan_.habits.little_time);
    record->id = fmt::format("{:08x}{:08x}", plan_.seed & 0xffffffff, ++last_id_);
    record->cls = name;
    record->budget =
        short_budget ? 20 * kMillisecond + static_cast<Time>(c.random.Unit() * 40'000.0) : rules.deadline;
  }
  const bool wants_long = c.framing.Chance(c.openai ? kLongShareOpenAi : plan_.habits.long_answer);
  const std::string body = fmt::format(
      R"({{"model":"{}","stream":{},"max_tokens":{},"messages":[{{"role":"user","content":"question {} {}"}}]}})",
      record->cls, record->api != Api::kOpenAiAssembled, wants_long ? plan_.long_answer : kUsualTokens,
      record->id, std::string(c.random.Below(400), 'q'));
  if (c.openai) return OpenAiHead(*record) + Framed(c, body);
  record->body_hash = std::hash<std::string>()(body);  // the OpenAI-style front changes bodies
  return PlatformHead(client, *record, body.size() / 4) + Framed(c, body);
}

std::string SoakClients::PlatformHead(std::size_t client, const ClientRequest& record,
                                      std::size_t prompt_tokens) const {
  return fmt::format(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nX-Call-Id: {}\r\nX-Call-Class: "
      "{}\r\nX-Route-Hash: {:016x}\r\n"
      "X-Budget: {:.3f}\r\nX-Call-Info: prompt_len={}\r\n",
      record.id, record.cls, client + 1, static_cast<double>(record.budget) / 1e6, prompt_tokens);
}

std::string SoakClients::OpenAiHead(const ClientRequest& record) {
  return fmt::format(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nContent-Type: application/json\r\n"
      "x-deadline-ms: {}\r\n",
      record.budget / kMillisecond);
}

// Returns the framing fields, the empty line and the body.
std::string SoakClients::Framed(Client& client, const std::string& body) const {
  if (client.framing.Chance(plan_.habits.chunked))
    return "Transfer-Encoding: chunked\r\n\r\n" + SoundChunks(body, client.framing);
  return fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

void SoakClients::SendRequest(Handle handle) {
  Link* l = links_.Get(handle);
  if (l == nullptr || sending_stopped_) return;
  const std::size_t client = l->client;
  Client& c = clients_[client];
  if (c.random.Chance(plan_.habits.partial)) return SendPartialRequest(handle, client);
  const bool pipelined = c.random.Chance(plan_.habits.pipeline);
  l->close_after_answer = c.random.Chance(plan_.habits.fresh);
  l->answer_complete = false;
  l->status = 0;
  http_parser_init(&l->parser, HTTP_RESPONSE);
  std::string bytes;
  const std::size_t first = requests_.size();
  for (int n = 0; n < (pipelined ? 2 : 1); ++n) {
    ClientRequest& r = requests_.emplace_back();
    bytes += BuildRequest(client, &r);
    r.connected = l->connected_at;
    r.reused = l->answers > 0;
    r.pipelined = n > 0;
    l->awaiting_answer.push_back(requests_.size() - 1);
    ++outstanding_;
  }
  const bool written = l->tcp->Write(bytes);
  for (std::size_t n = first; n < requests_.size(); ++n) requests_[n].sent = Now();
  if (!written) return EndConnection(handle, ClientEnd::kNotSent);
  ScheduleBehavior(handle, first);
}

// Schedules what the client does while it waits: it gives up, closes, half-closes, or stops reading for 1 s.
void SoakClients::ScheduleBehavior(Handle handle, std::size_t record) {
  Link& l = *links_.Get(handle);
  Client& c = clients_[l.client];
  ClientRequest& r = requests_[record];
  const Habits& h = plan_.habits;
  l.give_up_timer = run_->deadlines->Set(r.sent + r.budget + kWaitBeyondBudget, [this, handle, record] {
    Link* late = links_.Get(handle);
    if (late == nullptr) return;
    const ClientRequest& waiting = requests_[record];
    // Of an assembled answer nothing shows before its end.
    if (waiting.events.empty() && waiting.api != Api::kOpenAiAssembled)
      return EndConnection(handle, ClientEnd::kTimedOut);
    late->give_up_timer = run_->deadlines->Set(Now() + kStreamTimeout, [this, handle] {
      if (links_.Get(handle) != nullptr) EndConnection(handle, ClientEnd::kTimedOut);
    });
  });
  const auto random_time_in_budget = [&] {
    return r.sent + static_cast<Time>(c.random.Unit() * static_cast<double>(r.budget));
  };
  if (c.random.Chance(h.leave)) {
    l.client_close_timer =
        run_->deadlines->Set(random_time_in_budget(), [this, handle] { CloseByClient(handle, false); });
  } else if (c.random.Chance(h.half_close)) {
    l.client_close_timer =
        run_->deadlines->Set(random_time_in_budget(), [this, handle] { CloseByClient(handle, true); });
  } else if (c.random.Chance(h.slow_reader)) {
    r.slow_reader = true;
    l.tcp->StopReading();
    run_->deadlines->Set(Now() + kSecond, [this, handle] {
      if (const Link* slow = links_.Get(handle)) slow->tcp->StartReading();
    });
  }
}

// Sends part of a request and then nothing. The node must answer with an error or close the connection.
void SoakClients::SendPartialRequest(Handle handle, std::size_t client) {
  Link& l = *links_.Get(handle);
  BadClient b;
  b.node = clients_[client].node;
  b.began = Now();
  l.bad_client = bad_clients_.size();
  bad_clients_.push_back(b);
  if (!l.tcp->Write("POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nX-Call-Id: "))
    return EndConnection(handle, ClientEnd::kNotSent);
  l.give_up_timer = run_->deadlines->Set(Now() + kBadClientTimeout, [this, handle] {
    if (links_.Get(handle) != nullptr) EndConnection(handle, ClientEnd::kTimedOut);
  });
}

void SoakClients::CloseByClient(Handle handle, bool half) {
  Link* l = links_.Get(handle);
  if (l == nullptr || l->awaiting_answer.empty()) return;
  for (const std::size_t n : l->awaiting_answer) {
    requests_[n].client_closed = Now();
    requests_[n].half_closed = half;
  }
  if (half) return l->tcp->ShutdownWrite();
  EndConnection(handle, ClientEnd::kClientClosed);
}

void SoakClients::CloseEverySecondClient() {
  for (const Handle handle : links_.All()) {
    const Link* l = links_.Get(handle);
    if (l != nullptr && l->client % 2 == 0) CloseByClient(handle, false);
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
      if (l.status == 200 && !l.awaiting_answer.empty()) {
        l.owner->requests_[l.awaiting_answer.front()].events.push_back({Now(), std::string(at, n)});
      }
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      static_cast<Link*>(p->data)->answer_complete = true;
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
  if (l->idle_crowd) return;
  if (l->bad_client != kNone) {
    bad_clients_[l->bad_client].answered = true;
    return EndConnection(handle, ClientEnd::kFailed);
  }
  while (!bytes.empty() && !l->awaiting_answer.empty()) {
    l->parser.data = l;
    const std::size_t read = http_parser_execute(&l->parser, &Callbacks(), bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&l->parser);
    if (!l->answer_complete) {
      if (error != HPE_OK) EndConnection(handle, ClientEnd::kTruncated);
      return;
    }
    bytes.remove_prefix(std::min(read, bytes.size()));
    OnAnswerComplete(handle);
    l = links_.Get(handle);
    if (l == nullptr) return;
  }
}

void SoakClients::OnAnswerComplete(Handle handle) {
  Link& l = *links_.Get(handle);
  const std::size_t client = l.client;
  Client& c = clients_[client];
  ClientRequest& r = requests_[l.awaiting_answer.front()];
  r.ended = Now();
  r.status = l.status;
  r.end = l.status == 200                      ? ClientEnd::kServed
          : l.status == 429 || l.status == 503 ? ClientEnd::kRefused
                                               : ClientEnd::kFailed;
  l.awaiting_answer.pop_front();
  --outstanding_;
  ++l.answers;
  run_->deadlines->Cancel(l.give_up_timer);
  run_->deadlines->Cancel(l.client_close_timer);
  const bool keep = http_should_keep_alive(&l.parser) != 0 && !l.close_after_answer;
  if (!l.awaiting_answer.empty() && http_should_keep_alive(&l.parser) != 0) {
    l.answer_complete = false;
    l.status = 0;
    http_parser_init(&l.parser, HTTP_RESPONSE);
    const std::size_t next = l.awaiting_answer.front();
    l.give_up_timer = run_->deadlines->Set(Now() + kStreamTimeout, [this, handle, next] {
      if (links_.Get(handle) != nullptr && requests_[next].ended == 0)
        EndConnection(handle, ClientEnd::kTimedOut);
    });
    return;
  }
  const Time pause = static_cast<Time>(c.random.Exponential(static_cast<double>(plan_.habits.think)));
  // The connection closes after this answer, so the request pipelined behind it gets none.
  if (!l.awaiting_answer.empty()) return EndConnection(handle, ClientEnd::kNoAnswer);
  ScheduleNext(client, pause);
  if (!keep) EndConnection(handle, ClientEnd::kNoAnswer);
}

void SoakClients::OnDisconnected(Handle handle) {
  const Link* l = links_.Get(handle);
  if (l == nullptr) return;
  const bool began = !l->awaiting_answer.empty() && !requests_[l->awaiting_answer.front()].events.empty();
  EndConnection(handle, began || l->status != 0 ? ClientEnd::kTruncated : ClientEnd::kNoAnswer);
}

// Closes the connection and ends the requests that waited on it: the first with `how`, the others as
// unanswered or as closed by the client.
void SoakClients::EndConnection(Handle handle, ClientEnd how) {
  Link* l = links_.Get(handle);
  if (l == nullptr) return;
  const std::size_t client = l->client;
  Client& c = clients_[client];
  if (l->idle_crowd) {
    CloseConnection(handle);
    run_->deadlines->Set(Now() + kIdleReconnectDelay, [this, node = c.node] { OpenIdleConnection(node); });
    return;
  }
  // If no request is in flight, the next one has been scheduled already.
  const bool was_idle = l->awaiting_answer.empty() && l->bad_client == kNone;
  if (l->bad_client != kNone && bad_clients_[l->bad_client].ended == 0)
    bad_clients_[l->bad_client].ended = Now();
  bool first = true;
  for (const std::size_t n : l->awaiting_answer) {
    ClientRequest& r = requests_[n];
    r.ended = Now();
    r.end = first ? how : how == ClientEnd::kClientClosed ? ClientEnd::kClientClosed : ClientEnd::kNoAnswer;
    if (r.half_closed) r.end = ClientEnd::kClientClosed;
    // PROTOCOL: if a reused connection closes while a request is on its way, the client sends the request
    // once more on a new connection.
    if (r.end == ClientEnd::kNoAnswer && r.reused && !r.pipelined && how != ClientEnd::kClientClosed)
      c.resend.push_back(n);
    if (r.end == ClientEnd::kClientClosed && !r.half_closed && !r.pipelined && !c.openai &&
        c.random.Chance(plan_.habits.id_again))
      c.resend.push_back(n);
    first = false;
    --outstanding_;
  }
  l->awaiting_answer.clear();
  const Time pause = static_cast<Time>(c.random.Exponential(static_cast<double>(plan_.habits.think)));
  CloseConnection(handle);
  if (!was_idle) ScheduleNext(client, how == ClientEnd::kNoAnswer ? 0 : pause);
}

void SoakClients::CloseConnection(Handle handle) {
  Link* l = links_.Get(handle);
  if (l == nullptr) return;
  run_->deadlines->Cancel(l->give_up_timer);
  run_->deadlines->Cancel(l->client_close_timer);
  l->tcp->Close();
  links_.Remove(handle);
}

void SoakClients::Close() {
  if (std::exchange(closed_, true)) return;
  for (const Handle handle : links_.All()) CloseConnection(handle);
}

}  // namespace ryeglade::soak
