// The interfaces by which the components of the core call each other, so that none of them includes another.
// Times are in microseconds on the monotonic clock (Now()).
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

// Passes events to the decision module. The resulting actions are executed before Post returns, unless the
// module is handling an earlier event; then the event is queued.
class EventPort {
 public:
  virtual ~EventPort() = default;
  virtual void Post(policy::Event event) = 0;
};

// Is notified of each event and of the actions that the decision module returned for it, in order. Must
// neither call back nor block.
class DecisionRecorder {
 public:
  virtual ~DecisionRecorder() = default;
  // Called before the first event, with the arguments that the Router was constructed from.
  virtual void OnStart(const std::string& settings, std::uint64_t seed, Time now) = 0;
  virtual void OnDecision(Time now, const policy::Event& event,
                          const std::vector<policy::Action>& actions) = 0;
};

// Executes the decision module's actions that end a stream or migrate it.
class ConclusionPort {
 public:
  virtual ~ConclusionPort() = default;
  // Reject and Fail do nothing once the response has started. A rejection tells the client that it may repeat
  // the request, after `retry_after` unless that is 0; a failure does not.
  virtual void Reject(Handle stream, Time retry_after) = 0;
  virtual void Fail(Handle stream) = 0;
  // Ends a stream whose response has started, so that the client resumes it at another node. Does nothing if
  // the client can't.
  virtual void Migrate(Handle stream) = 0;
};

// Tells whether a client may repeat its request. Only the decision module knows this.
class RetrySafetyPort {
 public:
  virtual ~RetrySafetyPort() = default;
  // Returns whether it is harmless if the client repeats the request; false if that is not known.
  virtual bool IsSafeToRetry(Handle stream) const = 0;
};

// The decision module's view of the currently listed replicas.
class ReplicaViewPort {
 public:
  virtual ~ReplicaViewPort() = default;
  virtual void ListReplicas(std::vector<policy::ReplicaView>* all) const = 0;
  virtual std::string NameOf(ReplicaId id) const = 0;
};

// ---- Streams and upstream requests ----

// What Upstream calls on Streams.
class ResponsePort {
 public:
  virtual ~ResponsePort() = default;
  virtual Stream* Find(Handle stream) = 0;                          // nullptr if the stream has ended
  virtual void OnData(Handle stream, std::string_view events) = 0;  // the next bytes of the response
  virtual void OnComplete(Handle stream) = 0;                       // all bytes have been passed to OnData
  virtual void OnTruncated(Handle stream) = 0;  // the response broke off after data and before its end
  // A host answered that the request itself is invalid; its status and body are passed on to the client.
  virtual void OnInvalidRequest(Handle stream, int status, const std::string& body) = 0;
  // Called right before an attempt is written. Returns false if the client has closed its connection, even if
  // the end has not been read yet; the stream has then been ended.
  virtual bool CheckClientConnected(Handle stream) = 0;
  // Returns whether the client may have closed its connection behind bytes that wait unread.
  virtual bool ClientMayHaveClosedUnseen(Handle stream) const = 0;
};

// What Decisions calls on Upstream.
class AttemptPort {
 public:
  virtual ~AttemptPort() = default;
  // Starts the stream's next attempt. `timeout` and `write_within` are those of policy::SendAttempt.
  virtual void Send(Handle stream, ReplicaId to, Time timeout, Time write_within) = 0;
  // Does nothing if the attempt has ended or its response has started.
  virtual void CancelAttempt(Handle stream, int attempt) = 0;
  virtual void CheckHealth(ReplicaId of) = 0;  // the result is posted as policy::HealthCheckCompleted
};

// What Streams calls on Upstream.
class UpstreamRequestPort {
 public:
  virtual ~UpstreamRequestPort() = default;
  // None of these functions does anything if the request has ended.
  virtual void Cancel(Handle upstream_request) = 0;
  // Stops reading the response, or reads on.
  virtual void SetPaused(Handle upstream_request, bool paused) = 0;
  // Moves the time by which a response must have started forward to `at`. Has no effect once a response has
  // started.
  virtual void ShortenDeadline(Handle upstream_request, Time at) = 0;
  // Ends the request now: with kConnectFailed if it has not been written completely, with kReset if its
  // response has begun, and otherwise with kTimeout.
  virtual void Abort(Handle upstream_request) = 0;
};

// What EndpointTable calls on Upstream.
class UpstreamHostPort {
 public:
  virtual ~UpstreamHostPort() = default;
  // Adds a host, or changes the address of a known one.
  virtual void SetHost(ReplicaId id, const std::string& host_port) = 0;
  virtual void RemoveHost(ReplicaId id) = 0;
  // Its process has gone: nothing more may be sent on its idle connections.
  virtual void CloseIdle(ReplicaId id) = 0;
  // For a host that drains: requests that have not been written to it yet end as not sent.
  virtual void DropUnsent(ReplicaId id) = 0;
  virtual std::string AddressOf(ReplicaId id) const = 0;  // as last set; empty if unknown
};

// Is notified of the id by which a client knows its request. Must neither call back nor block.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  virtual void OnCallId(Time now, policy::RequestId id, std::string_view call_id) = 0;
};

// ---- Service discovery ----

// What Decisions and the fronts call on Discovery.
class EndpointDiscoveryPort {
 public:
  virtual ~EndpointDiscoveryPort() = default;
  virtual void Watch(bool enabled) = 0;  // opens the watch of the endpoint lists, or closes it
  virtual void Poll() = 0;               // requests the complete list once
  virtual bool ready() const = 0;        // whether a list with at least one host is known
};

// Is notified of what the decision module does not see of the endpoint lists: names, addresses and the
// source. Must neither call back nor block.
class EndpointObserver {
 public:
  virtual ~EndpointObserver() = default;
  // Called for an entry of a list before the list is posted to the decision module.
  virtual void OnEndpoint(Time now, const policy::Endpoint& endpoint, const std::string& name,
                          const std::string& address) = 0;
  // `source` is "known" (the cached list), "watch" or "fetch" (a poll). If `error` is empty, a list of that
  // generation was received. Otherwise the request failed for the reason in `error`, and the known list may
  // become outdated.
  virtual void OnEndpointList(Time now, std::string_view source, std::uint64_t generation,
                              std::string_view error) = 0;
};

// ---- The nodes of the routing tier ----

// A node, as the membership protocol sees it.
struct ClusterMember {
  std::string name;
  std::string zone;
  bool suspect = false;  // it may have failed, but this is not confirmed yet
};

// The nodes of the routing tier, this one first, as the membership protocol sees them.
struct ClusterView {
  std::uint64_t version = 0;         // incremented with every change of the members
  std::size_t announced_nodes = 1;   // the node count that the decision module uses
  bool joined = false;               // another node has been reached, or there is none to reach
  bool stable = false;               // unchanged for a while, and no partition suspected
  bool partition_suspected = false;  // missing members may be alive, and listed members may be gone
  std::vector<ClusterMember> members;
};

// Gives the components of the node the current view.
class ClusterViewPort {
 public:
  virtual ~ClusterViewPort() = default;
  virtual ClusterView View() const = 0;
};

// Gossip messages that are carried on the membership protocol's messages. Their bytes are opaque to the
// membership.
class GossipPort {
 public:
  virtual ~GossipPort() = default;
  // Returns messages that together fit into `capacity` bytes, counting `overhead` extra bytes for each. They
  // count as sent.
  virtual std::vector<std::string> TakeMessages(std::size_t capacity, std::size_t overhead) = 0;
  virtual bool has_pending() const = 0;  // whether messages are waiting that should be sent soon
  virtual void OnMessages(const std::vector<std::string>& messages) = 0;  // received from a member
};

// Is notified of changes among the nodes. Must neither call back nor block.
class ClusterObserver {
 public:
  virtual ~ClusterObserver() = default;
  // `reason` is a reason code, `member` the member concerned, `reporter` the member that reported it, `value`
  // a number that depends on the reason, and `live_nodes` the number of live nodes in the view.
  virtual void OnClusterEvent(Time now, std::string_view reason, std::string_view member,
                              std::string_view reporter, std::uint64_t value, std::size_t live_nodes) = 0;
};

}  // namespace ryeglade
