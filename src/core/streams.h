// Streams: the requests that the node has taken. Each has a slot here until its one final answer is given,
// whoever gives it: an upstream host, the decision module, or the guard that watches the client's budget.
#pragma once

#include <string>
#include <string_view>

#include "base/slot_table.h"
#include "core/core.h"

namespace ryeglade {

// A request as any front hands it in. `arrival.patience` counts from `sent_at`.
struct StreamRequest {
  std::string method, target, call_id, content_type;
  BufferChain body;
  policy::RequestArrived arrival;
  Time sent_at = 0;
  bool prepared = false;    // the body already asks for a stream and for usage, as a front saw to it
  std::string passed_on{};  // header lines of the client's that a replica gets unchanged
};

// The front's side of a stream. `client` is the front's own name for it. Of the last five, exactly one comes.
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  virtual bool Connected(Handle client) const = 0;  // false: the client has closed its connection
  virtual void OnData(Handle client, std::string_view events) = 0;  // the first call starts the answer
  virtual void OnWhole(Handle client) = 0;
  virtual void OnBroken(Handle client) = 0;  // after data, before the end
  virtual void OnRefused(Handle client, Time retry_after) = 0;
  // `last` is how the last attempt ended.
  virtual void OnFailed(Handle client, policy::Outcome last) = 0;
  // A host said that the request itself is wrong; its own status and body.
  virtual void OnRejected(Handle client, int status, const std::string& body) = 0;
};

struct Stream {
  StreamRequest request;
  StreamSink* sink = nullptr;
  Handle client = 0;
  Time deadline = 0;
  int attempts = 0;
  Handle upstream_request = 0;  // the one that is out
  bool started = false;
  bool in_time = false;                                    // its first event came within its aim
  policy::Outcome last_outcome = policy::Outcome::kError;  // of its attempts
  policy::ReplicaId last_replica = 0;                      // that an attempt ended at; 0: none has
  int written = 0;     // attempts that were handed whole to a socket, so that they may have run
  Time stay_away = 0;  // the longest that a host told
  DeadlineId guard{};
  std::string class_name{};  // as it came: the class may be gone from the settings before it ends
};

class Streams : public ConclusionPort, public ResponsePort {
 public:
  explicit Streams(Core* core) : core_(core) {}

  // From the front. Open may answer before it returns; the handle is then already old.
  Handle Open(StreamRequest request, StreamSink* sink, Handle client);
  void ClientGone(Handle stream);
  void Pause(Handle stream, bool pause);  // the client does not drain what it is sent, or does again

  // From the upstream side.
  void OnData(Handle stream, std::string_view events) override;
  void OnComplete(Handle stream) override;
  void OnTruncated(Handle stream) override;
  void OnRequestRefused(Handle stream, int status, const std::string& body) override;
  bool CheckClientConnected(Handle stream) override;

  // From the decisions.
  void Reject(Handle stream, Time retry_after) override;
  void Fail(Handle stream) override;
  void Migrate(Handle stream) override;

  // Whatever has not begun by `at` gets its answer then. What comes after `take_until` is refused at once.
  // What has begun ends a little earlier if its client may ask for the rest elsewhere. May be called again
  // with earlier times.
  void EndBy(Time at, Time take_until);

  Stream* Find(Handle stream) override { return table_.Get(stream); }
  std::size_t size() const { return table_.size(); }

  // An attempt ends this long before the client's time is up. Guards against a last, hopeless attempt: it is
  // after the module's own last call (20 ms before), so that a time-out makes the module answer and not send
  // again.
  static constexpr Time kTimeoutMargin = 15'000;
  // How long before a deadline the node acts, so that the answer is with the client in time.
  static Time Margin(Time patience, Time usual) { return std::min(usual, std::max<Time>(0, patience / 4)); }

 private:
  void Guard(Handle stream);
  void CountStart(Stream& stream);
  void MoveOn();
  void Bound(Stream& stream, Handle handle, Time deadline);
  enum class Ended : unsigned char { kServed, kRefused, kFailed, kGone };
  void LogEnd(const Stream& stream, Ended how) const;
  // Frees the slot and counts how it ended; null: it was free already.
  StreamSink* End(Handle stream, Handle* client, Ended how);

  Core* core_;
  SlotTable<Stream> table_;
  Time end_by_ = 0;  // 0: no end in sight
  Time take_until_ = 0;
  DeadlineId move_on_{};
};

}  // namespace ryeglade
