#include "core/connection_pool.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace ryeglade {
namespace {

// Microseconds.
constexpr Time kIdleCloseMargin = 500'000;  // idle connections are closed this long before the host does it
constexpr Time kMinIdleTime = 10'000;       // a connection must be idle for this long before it is reused

}  // namespace

ConnectionPool::OpenResult ConnectionPool::Open(ReplicaId host, Handle request,
                                                std::function<void(Handle)> on_timeout) {
  if (connections_.size() >= max_connections_ && !EvictIdleConnection()) return {0, EMFILE};
  const Handle handle = connections_.Add({});
  UpstreamConnection& connection = *connections_.Get(handle);
  connection.host = host;
  connection.request = request;
  connection.response_memory.emplace(core_->buffers);
  connection.tcp = Tcp::New(core_->loop, core_->buffers, owner_, handle);
  const Time connect_by = Now() + core_->config->settings.connect_timeout;
  connection.deadline = core_->deadlines->Set(connect_by, [this, handle, on_timeout = std::move(on_timeout)] {
    const UpstreamConnection* late = connections_.Get(handle);
    if (late != nullptr && !late->connected) on_timeout(handle);
  });
  const int error = connection.tcp->Connect(hosts_->Find(host)->address);
  if (error == 0) return {handle, 0};
  Close(handle);
  return {0, -error};  // libuv's codes are errno's values, negated
}

// Closes the connection that has been idle longest, so that the process does not run out of descriptors.
// Returns false if no connection is idle.
bool ConnectionPool::EvictIdleConnection() {
  Handle oldest = 0;
  Time oldest_since = 0;
  for (const auto& [host, idle] : idle_) {
    if (idle.empty()) continue;
    const UpstreamConnection* connection = connections_.Get(idle.front());
    if (connection != nullptr && (oldest == 0 || connection->idle_since < oldest_since)) {
      oldest = idle.front();
      oldest_since = connection->idle_since;
    }
  }
  if (oldest == 0) return false;
  Close(oldest);
  return true;
}

// A host may send a second response right after the previous one, and it must not be taken for the response
// to this request. So a connection is used only if it has been idle for a moment and nothing, not even the
// end of the stream, is waiting to be read.
Handle ConnectionPool::TakeIdle(ReplicaId host) {
  const auto found = idle_.find(host);
  if (found == idle_.end()) return 0;
  std::vector<Handle>& idle = found->second;
  for (std::size_t n = idle.size(); n-- > 0;) {
    const Handle handle = idle[n];
    const UpstreamConnection* connection = connections_.Get(handle);
    if (connection == nullptr || Now() - connection->idle_since < kMinIdleTime) continue;
    // After the process was stopped for a while, the deadline that closes the connection may have passed
    // without having been run yet. A host that has dropped the connection need not send anything that shows
    // it.
    if (Now() < connection->deadline.at && connection->tcp->NothingToRead()) {
      idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(n));
      return handle;
    }
    Close(handle);  // also removes the handle from `idle`
  }
  return 0;
}

// The deadline closes the connection before the host's own idle timeout does: a request sent just as the host
// closes the connection would fail with a reset.
void ConnectionPool::Return(Handle handle) {
  UpstreamConnection& connection = *connections_.Get(handle);
  if (!hosts_->Contains(connection.host)) return Close(handle);
  connection.request = 0;
  connection.request_written = false;
  connection.response = {};
  connection.buffered_body = {};
  connection.response_memory->Resize(0);
  connection.first_byte_at = 0;
  connection.tcp->StartReading();  // reading may have been paused for the previous client
  connection.idle_since = Now();
  const Time host_closes_after = core_->config->idle_timeout;
  const Time margin = std::min(kIdleCloseMargin, host_closes_after / 4);
  core_->deadlines->Cancel(connection.deadline);
  connection.deadline = core_->deadlines->Set(connection.idle_since + host_closes_after - margin,
                                              [this, handle] { Close(handle); });
  idle_[connection.host].push_back(handle);
}

void ConnectionPool::Close(Handle handle) {
  UpstreamConnection* connection = connections_.Get(handle);
  if (connection == nullptr) return;
  if (const auto idle = idle_.find(connection->host); idle != idle_.end()) std::erase(idle->second, handle);
  core_->deadlines->Cancel(connection->deadline);
  // The host must not get the rest of a request that was given up, which it would then run.
  if (connection->request != 0 && connection->connected && !connection->tcp->Delivered())
    connection->tcp->ResetOnClose();
  connection->tcp->Close();
  connections_.Remove(handle);
}

void ConnectionPool::CloseIdle(ReplicaId host) {
  const auto found = idle_.find(host);
  if (found == idle_.end()) return;
  const std::vector<Handle> idle = std::move(found->second);
  idle_.erase(found);
  for (const Handle connection : idle) Close(connection);
}

void ConnectionPool::CloseAll() {
  for (const Handle connection : connections_.All()) Close(connection);
}

}  // namespace ryeglade
