#include "core/discovery.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace ryeglade {
namespace {

using policy::EndpointList;
using policy::EndpointListScope;

// Times in microseconds. Once a watch has been silent for 6 s, discovery counts changes as delivered whether
// they arrived or not. The following must fit into that time: kWatchIdleTimeout, a delay by the decision
// module (at most 0.3 s after a first failure), a request that fails at its timeout, a second delay (0.6 s),
// and a request that is answered just within its timeout. Discovery itself abandons a request after 1 s.
constexpr Time kConnectTimeout = 700'000;
constexpr Time kResponseTimeout = 1'200'000;
constexpr Time kWatchIdleTimeout = 2'500'000;  // discovery sends a heartbeat on an idle watch every 2 s
constexpr Time kSwitchRetryDelay = 250'000;    // minimum; the delay is less than twice this
constexpr Time kWatchRetryDelay = 200'000;     // minimum; the delay is less than twice this
constexpr std::size_t kMaxListBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t kListMemoryShare = 16;  // a list has at most one part in so many of the memory limit

// Returns the time of a retry: after `delay`, plus up to the same time again as jitter, which is taken from
// the clock. All nodes lose their watch at the same time and should not retry at the same time.
Time RetryAt(Time delay) { return Now() + delay + Now() % delay; }

}  // namespace

void Discovery::LoadCachedList(const std::string& text) {
  cached_list_loaded_ = true;
  if (const auto list = ParseEndpointList(text, *core_->config)) {
    return endpoints_.Apply(*list, EndpointListScope::kCached, "known");
  }
  core_->events->Post(EndpointList{EndpointListScope::kCached, 0, {}});
}

void Discovery::AdoptList(const std::string& text) {
  const auto list = ParseEndpointList(text, *core_->config);
  if (!list || static_cast<std::uint64_t>(list->generation) <= endpoints_.generation()) return;
  endpoints_.Apply(*list, EndpointListScope::kFull, "sibling");
}

void Discovery::Watch(bool enabled) {
  // The address may already have been switched, which the decision module does not know.
  if (enabled && (switch_poll_ != 0 || (watch_ != 0 && !address_is_new_))) return;
  Close(watch_);
  watch_ = 0;
  if (!enabled) return;
  if (address_is_new_) {
    StartSwitch();
  } else {
    StartRequest(RequestKind::kWatch);
  }
}

void Discovery::KeepWatching() {
  keep_watching_ = true;
  Watch(true);
}

void Discovery::Poll() {
  if (requests_.size() < kMaxSockets) return StartRequest(RequestKind::kPoll);
  ReportFailure("fetch", "crowded");
  core_->events->Post(EndpointList{EndpointListScope::kFailed, 0, {}});
}

void Discovery::NotifyFirstResult() {
  if (const auto callback = std::exchange(on_first_result_, nullptr)) callback();
}

// ---- The switch to another address ----

void Discovery::SwitchAddress(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  address_is_new_ = true;
  // Start at once: if the decision module is delaying a retry, that retry is for the old address and may be
  // seconds away. But before the cached list is loaded (during a hot restart, a process may still be waiting
  // for the list of the previous process) there is nothing that a newer list could be compared with.
  if (cached_list_loaded_) StartSwitch();
}

void Discovery::StartSwitch() {
  core_->deadlines->Cancel(switch_retry_);
  Close(switch_poll_);
  StartRequest(RequestKind::kSwitchPoll);
}

void Discovery::RetrySwitch() {
  switch_retry_ = core_->deadlines->Set(RetryAt(kSwitchRetryDelay), [this] {
    if (watch_ != 0 && address_is_new_) StartSwitch();
  });
}

// ---- Requests ----

void Discovery::StartRequest(RequestKind kind) {
  const std::size_t limit = core_->config->memory_mb * 1024 * 1024;
  const Handle handle =
      requests_.Add(Request(core_->buffers, std::min(kMaxListBytes, limit / kListMemoryShare)));
  Request& request = *requests_.Get(handle);
  request.kind = kind;
  if (kind == RequestKind::kWatch) watch_ = handle;
  if (kind == RequestKind::kSwitchPoll) switch_poll_ = handle;
  request.tcp = Tcp::New(core_->loop, core_->buffers, this, handle);
  sockaddr_storage address{};
  ParseAddress(address_, &address);
  SetTimeout(handle, kConnectTimeout);
  if (request.tcp->Connect(address) != 0) Fail(handle, "connect");
}

void Discovery::SetTimeout(Handle handle, Time timeout) {
  Request& request = *requests_.Get(handle);
  core_->deadlines->Cancel(request.deadline);
  request.deadline = core_->deadlines->Set(Now() + timeout, [this, handle] { Fail(handle, "silent"); });
}

void Discovery::Close(Handle handle) {
  Request* request = requests_.Get(handle);
  if (request == nullptr) return;
  core_->deadlines->Cancel(request->deadline);
  request->tcp->Close();
  requests_.Remove(handle);
}

void Discovery::Close() {
  for (const Handle request : requests_.All()) Close(request);
}

void Discovery::Fail(Handle handle, const char* reason) {
  const Request* request = requests_.Get(handle);
  if (request == nullptr) return;
  const RequestKind kind = request->kind;
  const char* source = kind == RequestKind::kWatch ? "watch" : "fetch";
  Log(Level::kWarn, "discovery-failed", {{"call", source}, {"why", reason}, {"status", request->status}});
  const bool was_previous_watch = handle == previous_watch_;
  if (handle == watch_) watch_ = 0;
  if (handle == previous_watch_) previous_watch_ = 0;
  if (handle == switch_poll_) switch_poll_ = 0;
  Close(handle);
  if (was_previous_watch) return;
  // While the watch at the old address is open, the decision module is not told of the failure.
  if (kind == RequestKind::kSwitchPoll && watch_ != 0) return RetrySwitch();
  ReportFailure(source, reason);
  core_->events->Post(EndpointList{EndpointListScope::kFailed, 0, {}});
  if (keep_watching_) RetryWatch();
  NotifyFirstResult();
}

void Discovery::RetryWatch() {
  core_->deadlines->Cancel(watch_retry_);
  watch_retry_ = core_->deadlines->Set(RetryAt(kWatchRetryDelay), [this] {
    if (watch_ == 0) Watch(true);
  });
}

void Discovery::ReportFailure(const char* source, const char* reason) {
  if (core_->endpoint_observer == nullptr) return;
  core_->endpoint_observer->OnEndpointList(Now(), source, endpoints_.generation(), reason);
}

// ---- Responses ----

bool Discovery::Request::Parse(std::string_view bytes) {
  std::size_t consumed = 0;
  const MessageParser::Result result = parser.Parse(bytes, this, &consumed);
  complete = result == MessageParser::Result::kComplete;
  const bool has_surplus = consumed < bytes.size();  // bytes that belong to no response
  return result != MessageParser::Result::kInvalid && !has_surplus;
}

bool Discovery::Request::OnHead(const http_parser& head, BodyFraming) {
  status = static_cast<int>(head.status_code);
  return true;
}

bool Discovery::Request::OnBody(std::string_view part) {
  body.append(part);
  memory.ResizeUnchecked(body.capacity() + objects.pending());
  return body.size() <= max_bytes;
}

void Discovery::OnConnected(Handle handle, int status) {
  Request* request = requests_.Get(handle);
  if (request == nullptr) return;
  if (status != 0) return Fail(handle, "connect");
  std::string target = "/catalog/members";
  if (request->kind == RequestKind::kWatch) {
    target += "?follow=1&since=" + std::to_string(endpoints_.generation());
  }
  SetTimeout(handle, kResponseTimeout);
  request->tcp->StartReading();
  if (!request->tcp->Write("GET " + target + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n"))
    Fail(handle, "write");
}

void Discovery::OnDisconnected(Handle handle) { Fail(handle, "ended"); }

void Discovery::OnRead(Handle handle, std::string_view bytes) {
  Request* request = requests_.Get(handle);
  if (request == nullptr) return;
  if (!request->Parse(bytes)) return Fail(handle, "malformed");
  if (request->status != 0 && request->status != 200) return Fail(handle, "status");
  if (request->kind == RequestKind::kWatch) {
    ReadWatch(handle);
  } else if (request->complete) {
    ReadList(handle);
  }
}

void Discovery::ReadWatch(Handle handle) {
  using Found = JsonObjectReader::Found;
  Request* request = requests_.Get(handle);
  request->objects.Append(std::exchange(request->body, {}));
  std::string object;
  for (;;) {
    const Found found = request->objects.Next(&object);
    if (found == Found::kMalformed) return Fail(handle, "malformed");
    if (found == Found::kIncomplete) break;
    SetTimeout(handle, kWatchIdleTimeout);
    const bool is_list = found == Found::kObject;
    if (is_list && !ApplyWatchEvent(handle, object)) return Fail(handle, "malformed");
    if (handle == watch_) Close(std::exchange(previous_watch_, 0));
    request = requests_.Get(handle);  // applying the list may have led to this request being closed
    if (request == nullptr) return;
    if (is_list && !std::exchange(request->list_received, true)) {
      const auto generation = static_cast<unsigned long long>(endpoints_.generation());
      Log(Level::kInfo, "watching", {{"generation", generation}});
    }
  }
  if (request->objects.pending() > request->max_bytes) return Fail(handle, "malformed");
  request->memory.ResizeUnchecked(request->objects.pending());
  if (request->complete) Fail(handle, "ended");
}

// Returns false if the object is not an endpoint list. During a switch only withdrawals are taken from the
// old address: the complete list of the new address may be newer, and its watch reports all other changes.
bool Discovery::ApplyWatchEvent(Handle handle, std::string_view object) {
  const auto list = ParseEndpointList(object, *core_->config);
  if (!list) return false;
  if (handle == previous_watch_) {
    endpoints_.ApplyWithdrawals(*list, "watch");
    return true;
  }
  endpoints_.Apply(*list, list->reset ? EndpointListScope::kFull : EndpointListScope::kDelta, "watch");
  NotifyFirstResult();
  return true;
}

void Discovery::ReadList(Handle handle) {
  Request* request = requests_.Get(handle);
  const RequestKind kind = request->kind;
  const auto list = ParseEndpointList(std::exchange(request->body, {}), *core_->config);
  if (!list) return Fail(handle, "malformed");
  endpoints_.Apply(*list, EndpointListScope::kFull, "fetch");
  NotifyFirstResult();
  Close(handle);
  if (kind != RequestKind::kSwitchPoll) return;
  address_is_new_ = false;
  switch_poll_ = 0;
  Close(previous_watch_);
  previous_watch_ = watch_;  // closed once the new watch has sent something
  StartRequest(RequestKind::kWatch);
}

}  // namespace ryeglade
