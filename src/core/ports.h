// The narrow interfaces by which the parts of the core know each other, so that none includes another.
// Times are microseconds on the monotonic clock.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/slot_table.h"
#include "ryeglade/router.h"

namespace ryeglade {

using policy::ReplicaId;
using policy::Time;

struct Stream;

// ---- To and from the decision module ----

// Takes events for the decision module. Its actions are carried out before Post returns, unless it is busy
// with an earlier event.
class EventPort {
 public:
  virtual ~EventPort() = default;
  virtual void Post(policy::Event event) = 0;
};

// Sees what the decision module was told and what it decided, in order. Must not call back, and must not
// wait.
class DecisionRecorder {
 public:
  virtual ~DecisionRecorder() = default;
  // Before the first event: what the Router was built from.
  virtual void OnStart(const std::string& settings, std::uint64_t seed, Time now) = 0;
  virtual void OnDecision(Time now, const policy::Event& event,
                          const std::vector<policy::Action>& actions) = 0;
};

// How the decision module concludes a stream, or moves it.
class ConclusionPort {
 public:
  virtual ~ConclusionPort() = default;
  virtual void Reject(Handle stream, Time retry_after) = 0;
  virtual void Fail(Handle stream) = 0;
  virtual void Migrate(Handle stream) = 0;
};

// What may be told to a client of its request's attempts. The decision module is the one place that knows.
class RetrySafetyPort {
 public:
  virtual ~RetrySafetyPort() = default;
  // Whether it is harmless if the client repeats the request; false where that is not known.
  virtual bool IsSafeToRetry(Handle stream) const = 0;
};

// What the decision module has seen of the replicas that are listed now.
class ReplicaViewPort {
 public:
  virtual ~ReplicaViewPort() = default;
  virtual void ListReplicas(std::vector<policy::ReplicaView>* all) const = 0;
  virtual std::string NameOf(ReplicaId id) const = 0;
};

// ---- Streams and upstream requests ----

// The upstream's side of the streams.
class ResponsePort {
 public:
  virtual ~ResponsePort() = default;
  virtual Stream* Find(Handle stream) = 0;  // null: it is over
  virtual void OnData(Handle stream, std::string_view events) = 0;
  virtual void OnComplete(Handle stream) = 0;
  virtual void OnTruncated(Handle stream) = 0;  // broke after data, before the end
  // A host said that the request itself is wrong: the status and body pass on once.
  virtual void OnInvalidRequest(Handle stream, int status, const std::string& body) = 0;
  // Asked right before an attempt is written: false if the client has closed its connection, although its end
  // may not have been read yet. The stream is over then.
  virtual bool CheckClientConnected(Handle stream) = 0;
};

// The decisions' side of the upstream.
class AttemptPort {
 public:
  virtual ~AttemptPort() = default;
  // `timeout` and `write_within` as in policy::SendAttempt.
  virtual void Send(Handle stream, ReplicaId to, Time timeout, Time write_within) = 0;
  virtual void CancelAttempt(Handle stream, int attempt) = 0;
  virtual void CheckHealth(ReplicaId of) = 0;
};

// The streams' side of the upstream.
class UpstreamRequestPort {
 public:
  virtual ~UpstreamRequestPort() = default;
  virtual void Cancel(Handle upstream_request) = 0;
  virtual void SetPaused(Handle upstream_request, bool paused) = 0;
  // Its response is not waited for beyond `at`; one that has begun is left alone.
  virtual void ShortenDeadline(Handle upstream_request, Time at) = 0;
  // It ends now: as a timeout if it may have run, else as one that never did.
  virtual void Abort(Handle upstream_request) = 0;
};

// Discovery's side of the upstream.
class UpstreamHostPort {
 public:
  virtual ~UpstreamHostPort() = default;
  virtual void SetHost(ReplicaId id, const std::string& host_port) = 0;
  virtual void RemoveHost(ReplicaId id) = 0;
  // It drains: what has not been written to it yet ends as not sent.
  virtual void DropUnsent(ReplicaId id) = 0;
  virtual std::string AddressOf(ReplicaId id) const = 0;  // as last set; empty: not known
};

// Sees by what name clients know a request. Must not call back, and must not wait.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  virtual void OnCallId(Time now, policy::RequestId id, std::string_view call_id) = 0;
};

// ---- Service discovery ----

// The decisions' and the fronts' side of discovery.
class EndpointDiscoveryPort {
 public:
  virtual ~EndpointDiscoveryPort() = default;
  virtual void Watch(bool enabled) = 0;
  virtual void Poll() = 0;
  virtual bool ready() const = 0;  // a list with at least one host is known
};

// Sees what discovery learns beyond what the decision module is told: names, addresses, and the source. Must
// not call back, and must not wait.
class EndpointObserver {
 public:
  virtual ~EndpointObserver() = default;
  // An entry of a list that is about to be posted.
  virtual void OnEndpoint(Time now, const policy::Endpoint& endpoint, const std::string& name,
                          const std::string& address) = 0;
  // `source`: "known", "watch" or "fetch". `error` empty: a list of that generation came from there; else it
  // could not be had, for that reason, and what is known is getting old.
  virtual void OnEndpointList(Time now, std::string_view source, std::uint64_t generation,
                              std::string_view error) = 0;
};

// ---- The nodes of the routing tier ----

// A node as the membership has it.
struct ClusterMember {
  std::string name;
  std::string zone;
  bool suspect = false;
};

// The nodes of the routing tier, this one first, as the membership among them has it.
struct ClusterView {
  std::uint64_t version = 0;         // counts up with every change of who is in it
  std::size_t announced_nodes = 1;   // how many nodes the decision module goes by
  bool joined = false;               // some other node has been met, or there is none to meet
  bool stable = false;               // unchanged for a while, and not in doubt
  bool partition_suspected = false;  // absent members may live, and members that are here may be gone
  std::vector<ClusterMember> members;
};

// Where the parts of the node read the view.
class ClusterViewPort {
 public:
  virtual ~ClusterViewPort() = default;
  virtual ClusterView View() const = 0;
};

// What rides on the membership's messages: gossip messages, each of them bytes that only whoever made them
// reads.
class GossipPort {
 public:
  virtual ~GossipPort() = default;
  // Messages that fit into `capacity` bytes with `overhead` bytes for each; they count as sent.
  virtual std::vector<std::string> TakeMessages(std::size_t capacity, std::size_t overhead) = 0;
  virtual bool has_pending() const = 0;  // there are some that should go before long
  virtual void OnMessages(const std::vector<std::string>& messages) = 0;  // from a member
};

// Sees what changes among the nodes. Must not call back, and must not wait.
class ClusterObserver {
 public:
  virtual ~ClusterObserver() = default;
  // `reason`: a reason code; `member`: about whom; `reporter`: who said so; `live_nodes`: in the view.
  virtual void OnClusterEvent(Time now, std::string_view reason, std::string_view member,
                              std::string_view reporter, std::uint64_t value, std::size_t live_nodes) = 0;
};

}  // namespace ryeglade
