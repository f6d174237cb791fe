#include "lab/soak/operator_calls.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ryeglade::soak {
namespace {

constexpr Time kMillisecond = 1'000;
constexpr Time kCallInterval = 15 * kMillisecond;  // as a loop of curl sends them
// Calls come in bursts; between two of them what they said has time to be broken.
constexpr std::size_t kMaxBurst = 8;
constexpr Time kMinPause = 900 * kMillisecond;
constexpr Time kMaxPause = 1'800 * kMillisecond;
constexpr Time kRetryInterval = 100 * kMillisecond;
constexpr Time kAnswerTimeout = 1'500 * kMillisecond;
constexpr double kOutShare = 0.6;  // of the calls for a replica that is in
constexpr std::size_t kStreamNumber = SIZE_MAX - 1;

// Returns 0 if the answer has no status yet.
int StatusOf(const std::string& answer) {
  int status = 0;
  const std::size_t blank = answer.find(' ');
  if (blank == std::string::npos) return 0;
  std::from_chars(answer.data() + blank + 1, answer.data() + answer.size(), status);
  return status;
}

}  // namespace

OperatorCalls::OperatorCalls(const Runtime* run, const Plan& plan, std::vector<std::string> replicas,
                             ManagementAddresses addresses)
    : run_(run),
      replicas_(std::move(replicas)),
      addresses_(std::move(addresses)),
      random_(plan.seed, emulator::RandomPurpose::kArrivals, kStreamNumber),
      sessions_(plan.nodes) {}

void OperatorCalls::Start(const Fault& fault) {
  Session& session = sessions_[fault.node];
  if (session.running) return;
  session.running = true;
  session.until = Now() + fault.duration;
  Next(fault.node);
}

void OperatorCalls::Next(std::size_t node) {
  if (closed_) return;
  Session& session = sessions_[node];
  if (Now() >= session.until) {
    session.running = !session.out.empty();
    if (session.running) Send(node, *session.out.begin(), false);
    return;
  }
  const std::size_t replica = random_.Below(replicas_.size());
  // One replica at least stays in.
  const bool may_go_out = session.out.contains(replica) || session.out.size() + 1 < replicas_.size();
  const bool out = may_go_out && random_.Chance(kOutShare);
  Send(node, replica, out);
}

void OperatorCalls::Send(std::size_t node, std::size_t replica, bool out) {
  const std::vector<std::string> addresses = addresses_(node);
  sockaddr_storage address{};
  if (addresses.empty() || !ParseAddress(addresses[random_.Below(addresses.size())], &address)) {
    run_->deadlines->Set(Now() + kRetryInterval, [this, node] { Next(node); });
    return;
  }
  const Handle handle = links_.Add({});
  Link& link = *links_.Get(handle);
  link.call = calls_.size();
  OperatorCall call;
  call.node = node;
  call.replica = replica;
  call.out = out;
  call.sent = Now();
  calls_.push_back(call);
  if (out) sessions_[node].out.insert(replica);
  link.tcp = Tcp::New(run_->loop, run_->buffers, this, handle);
  link.timeout = run_->deadlines->Set(Now() + kAnswerTimeout, [this, handle] { Finish(handle); });
  if (link.tcp->Connect(address) != 0) Finish(handle);
}

void OperatorCalls::OnConnected(Handle handle, int status) {
  Link* link = links_.Get(handle);
  if (link == nullptr) return;
  if (status != 0) return Finish(handle);
  const OperatorCall& call = calls_[link->call];
  link->tcp->StartReading();
  link->tcp->Write("POST /control/model-replicas/" + replicas_[call.replica] +
                   (call.out ? "/offline" : "/online") +
                   " HTTP/1.1\r\nHost: soak\r\nContent-Length: 0\r\n\r\n");
}

void OperatorCalls::OnRead(Handle handle, std::string_view bytes) {
  Link* link = links_.Get(handle);
  if (link == nullptr) return;
  link->answer.append(bytes);
  if (link->answer.find("\r\n") != std::string::npos) Finish(handle);
}

void OperatorCalls::OnDisconnected(Handle handle) { Finish(handle); }

void OperatorCalls::Finish(Handle handle) {
  Link* link = links_.Get(handle);
  if (link == nullptr) return;
  OperatorCall& call = calls_[link->call];
  call.status = StatusOf(link->answer);
  call.answered = call.status != 0 ? Now() : 0;
  if (!call.out && call.accepted()) sessions_[call.node].out.erase(call.replica);
  const std::size_t node = call.node;
  run_->deadlines->Cancel(link->timeout);
  link->tcp->Close();
  links_.Remove(handle);
  run_->deadlines->Set(Now() + PauseAfterCall(sessions_[node]), [this, node] { Next(node); });
}

Time OperatorCalls::PauseAfterCall(Session& session) {
  const bool calls_all_back = Now() >= session.until;
  if (calls_all_back || session.burst > 0) {
    session.burst -= std::min<std::size_t>(session.burst, 1);
    return kCallInterval;
  }
  session.burst = 1 + random_.Below(kMaxBurst);
  return kMinPause + static_cast<Time>(random_.Unit() * static_cast<double>(kMaxPause - kMinPause));
}

void OperatorCalls::Close() {
  if (std::exchange(closed_, true)) return;
  for (const Handle handle : links_.All()) {
    Link* link = links_.Get(handle);
    run_->deadlines->Cancel(link->timeout);
    link->tcp->Close();
    links_.Remove(handle);
  }
}

}  // namespace ryeglade::soak
