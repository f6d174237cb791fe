// Streams: the requests that the node has taken. Each has a slot here until its one final response is given,
// whoever gives it: an upstream host, the decision module, or the watchdog that watches the client's
// deadline.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/slot_table.h"
#include "core/core.h"

namespace ryeglade {

// A request as any front passes it in.
struct StreamRequest {
  std::string method, target, call_id, content_type;
  BufferChain body;
  policy::RequestArrived arrival;   // its `time_budget` counts from `received_at`
  Time received_at = 0;             // its first byte
  bool prepared = false;            // the body already asks for a stream and for usage, as a front saw to it
  std::string forwarded_headers{};  // header lines of the client's that a replica gets unchanged
};

// The front's side of a stream. `client` is the front's own name for it. Of the last five, exactly one comes.
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  virtual bool Connected(Handle client) const = 0;  // false: the client has closed its connection
  virtual void OnData(Handle client, std::string_view events) = 0;  // the first call starts the response
  virtual void OnComplete(Handle client) = 0;
  virtual void OnTruncated(Handle client) = 0;  // after data, before the end
  // No attempt may have run. `retry_after`: microseconds; 0: nothing is said.
  virtual void OnRejected(Handle client, Time retry_after) = 0;
  // `last` is how the last attempt ended.
  virtual void OnFailed(Handle client, policy::Outcome last) = 0;
  // A host said that the request itself is wrong; its own status and body.
  virtual void OnInvalidRequest(Handle client, int status, const std::string& body) = 0;
};

// One request that has no final response yet.
struct Stream {
  StreamRequest request;
  StreamSink* sink = nullptr;
  Handle client = 0;
  Time deadline = 0;
  int attempts = 0;
  Handle upstream_request = 0;    // the one that is in flight; 0: none
  bool started = false;           // the response has begun
  bool within_objective = false;  // its first event came within the class's latency objective
  policy::Outcome last_outcome = policy::Outcome::kError;  // of its attempts
  ReplicaId last_replica = 0;                              // that an attempt ended at; 0: none has
  int attempts_written = 0;  // completely handed to a socket, so that they may have run
  Time retry_after = 0;      // the longest that a host asked for
  DeadlineId watchdog{};
  std::string class_name{};  // as it came: the class may be gone from the settings before it ends
};

// All streams of the node. Gives each exactly one conclusion.
class Streams : public ConclusionPort, public ResponsePort {
 public:
  explicit Streams(Core* core) : core_(core) {}

  // From the front. Open may conclude the stream before it returns; the handle then finds nothing.
  Handle Open(StreamRequest request, StreamSink* sink, Handle client);
  void OnClientDisconnected(Handle stream);
  void SetPaused(Handle stream, bool paused);  // whether the client leaves unread what it is sent

  // From the upstream side.
  void OnData(Handle stream, std::string_view events) override;
  void OnComplete(Handle stream) override;
  void OnTruncated(Handle stream) override;
  void OnInvalidRequest(Handle stream, int status, const std::string& body) override;
  bool CheckClientConnected(Handle stream) override;

  // From the decisions.
  void Reject(Handle stream, Time retry_after) override;
  void Fail(Handle stream) override;
  void Migrate(Handle stream) override;

  // Graceful shutdown: whatever has not started by `conclude_by` gets its answer then. What comes after
  // `accept_until` is rejected at once. What has started ends a little earlier if its client may ask for the
  // rest elsewhere. May be called again with earlier times.
  void BeginShutdown(Time conclude_by, Time accept_until);

  Stream* Find(Handle stream) override { return streams_.Get(stream); }
  std::size_t size() const { return streams_.size(); }

  // An attempt ends this long before the client's deadline. Guards against a last, hopeless attempt: it is
  // after the module's own latest useful dispatch (20 ms before), so that a timeout makes the module conclude
  // and not send again.
  static constexpr Time kAttemptMargin = 15'000;
  // How long before a deadline the node acts, so that the answer is with the client in time: `usual`, or less
  // where little time is left.
  static Time Margin(Time time_left, Time usual) { return std::min(usual, std::max<Time>(0, time_left / 4)); }

 private:
  // How a stream ended, for its counters and the log.
  enum class Conclusion : std::uint8_t { kServed, kRejected, kFailed, kDisconnected };

  void SetDeadline(Stream& stream, Handle handle, Time deadline);
  void OnWatchdog(Handle stream);
  void ScheduleMigration(Time at);
  void MigrateSome();
  std::string ClassName(const StreamRequest& request) const;
  void CountStart(Stream& stream);
  void CountConclusion(const Stream& stream, Conclusion how);
  void LogConclusion(const Stream& stream, Conclusion how) const;
  // Frees the slot and counts how it ended; null: it was free already.
  StreamSink* Conclude(Handle stream, Conclusion how, Handle* client);

  Core* core_;
  SlotTable<Stream> streams_;
  Time conclude_by_ = 0;  // 0: no shutdown has begun
  Time accept_until_ = 0;
  DeadlineId migration_timer_{};
};

}  // namespace ryeglade
