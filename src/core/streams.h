// Streams: the client requests that the node has accepted and not yet concluded. Each ends with exactly one
// final response, which comes from an upstream host, from the decision module, or from the watchdog on the
// client's deadline.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/slot_table.h"
#include "core/core.h"

namespace ryeglade {

// A request as a front passes it to Streams::Open.
struct StreamRequest {
  std::string method, target;
  std::string call_id;       // the id by which the client knows the request
  std::string content_type;  // empty if the client sent none
  BufferChain body;
  policy::RequestArrived arrival;   // its `time_budget` starts at `received_at`
  Time received_at = 0;             // when the first byte was received
  bool prepared = false;            // the front has already made the body ask for a stream and for usage
  bool resumable = false;           // the client asks for the rest of a stream that ends early
  std::string forwarded_headers{};  // the client's header lines that are sent to the replica unchanged
  std::optional<MemoryReservation> head_memory{};  // for the texts above; none if they are short
};

// What Streams calls on a front. `client` is the front's own handle for the stream. For each stream, exactly
// one of the last five functions is called, unless the client disconnects.
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  virtual bool Connected(Handle client) const = 0;            // false if the client has closed its connection
  virtual bool MayHaveClosedUnseen(Handle client) const = 0;  // Connected can't tell for the moment
  virtual void OnData(Handle client, std::string_view events) = 0;  // the first call starts the response
  virtual void OnComplete(Handle client) = 0;
  virtual void OnTruncated(Handle client) = 0;  // the response broke off after data and before its end
  // It is safe to repeat the request. `retry_after` is in microseconds; 0 if no time is given.
  virtual void OnRejected(Handle client, Time retry_after) = 0;
  // `last` is the outcome of the last attempt.
  virtual void OnFailed(Handle client, policy::Outcome last) = 0;
  // A host answered that the request itself is invalid; `status` and `body` are that host's.
  virtual void OnInvalidRequest(Handle client, int status, const std::string& body) = 0;
};

// One request without a final response yet.
struct Stream {
  StreamRequest request;
  StreamSink* sink = nullptr;     // the front to which the response is passed; not owned
  Handle client = 0;              // the front's handle for the stream
  Time deadline = 0;              // when the client's time budget ends
  int attempts = 0;               // number of attempts that were started
  Handle upstream_request = 0;    // the attempt in flight; 0 if there is none
  bool started = false;           // the response has started
  bool within_objective = false;  // the first event met the class's latency objective
  policy::Outcome last_outcome = policy::Outcome::kError;  // outcome of the attempt that ended last
  ReplicaId last_replica = 0;                              // replica of that attempt; 0 if none has ended
  int attempts_written = 0;  // attempts passed completely to a socket, so that they may have run
  Time retry_after = 0;      // the longest wait that a host asked for
  DeadlineId watchdog{};
  // Stored because the class may be removed from the settings before the stream ends.
  std::string class_name{};
};

// All streams of the node. Concludes each exactly once.
class Streams : public ConclusionPort, public ResponsePort {
 public:
  explicit Streams(Core* core) : core_(core) {}

  // Called by the fronts. Open may conclude the stream before it returns; the handle is then no longer valid.
  Handle Open(StreamRequest request, StreamSink* sink, Handle client);
  void OnClientDisconnected(Handle stream);
  void SetPaused(Handle stream, bool paused);  // pauses reading upstream while the client does not read

  // Called by Upstream.
  void OnData(Handle stream, std::string_view events) override;
  void OnComplete(Handle stream) override;
  void OnTruncated(Handle stream) override;
  void OnInvalidRequest(Handle stream, int status, const std::string& body) override;
  bool CheckClientConnected(Handle stream) override;
  bool ClientMayHaveClosedUnseen(Handle stream) const override;

  // Called by Decisions.
  void Reject(Handle stream, Time retry_after) override;
  void Fail(Handle stream) override;
  void Migrate(Handle stream) override;

  // Begins the graceful shutdown. Streams whose response has not started by `conclude_by` are concluded then.
  // Requests that arrive after `accept_until` are rejected at once. Of the streams that have started, those
  // that their clients can resume at another node are ended a little before `conclude_by`; all others are
  // forwarded to their end, however long that takes. May be called again with earlier times.
  void BeginShutdown(Time conclude_by, Time accept_until);

  Stream* Find(Handle stream) override { return streams_.Get(stream); }
  std::size_t size() const { return streams_.size(); }

  // An attempt ends this long before the client's deadline, microseconds. This is later than the decision
  // module's last useful dispatch (20 ms before the deadline), so that after a timeout the module concludes
  // the request instead of sending another attempt that cannot succeed.
  static constexpr Time kAttemptMargin = 15'000;
  // How long before a deadline the node acts, so that the response reaches the client in time: `usual`, but
  // at most a quarter of the time that is left.
  static Time Margin(Time time_left, Time usual) { return std::min(usual, std::max<Time>(0, time_left / 4)); }

 private:
  // How a stream ended, for the counters and the log.
  enum class Conclusion : std::uint8_t { kServed, kRejected, kFailed, kMigrated, kDisconnected };
  static const char* ConclusionName(Conclusion how);

  void SetDeadline(Stream& stream, Handle handle, Time deadline);
  void OnWatchdog(Handle stream);
  void ScheduleMigration(Time at);
  std::vector<Handle> MigratableStreams() const;
  void MigrateSome();
  std::string ClassName(const StreamRequest& request) const;
  void CountStart(Stream& stream);
  void CountConclusion(const Stream& stream, Conclusion how);
  void LogConclusion(const Stream& stream, Conclusion how) const;
  // Removes the stream and counts how it ended. Returns its sink and sets `client`, or returns nullptr if the
  // stream has already ended.
  StreamSink* Conclude(Handle stream, Conclusion how, Handle* client);

  Core* core_;
  SlotTable<Stream> streams_;
  Time conclude_by_ = 0;  // 0 until a shutdown begins
  Time accept_until_ = 0;
  DeadlineId migration_timer_{};
};

}  // namespace ryeglade
