// The narrow interfaces by which the parts of the core know each other, so that none includes another.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/slots.h"
#include "ryeglade/router.h"

namespace ryeglade {

using policy::ReplicaId;
using policy::Time;

struct Stream;

// To the decision module. Its actions are carried out before Post returns, unless it is busy with an earlier
// event.
class EventPort {
 public:
  virtual ~EventPort() = default;
  virtual void Post(policy::Event event) = 0;
};

// Sees what the decision module was told and what it decided, in order. Must not call back, and must not
// wait.
class DecisionTap {
 public:
  virtual ~DecisionTap() = default;
  // Before the first event: what the Router was built from.
  virtual void OnStart(const std::string& settings, std::uint64_t seed, Time now) = 0;
  virtual void OnDecision(Time now, const policy::Event& event,
                          const std::vector<policy::Action>& actions) = 0;
};

// Sees what the membership learns beyond what the decision module is told: names, addresses, and who said so.
// Must not call back, and must not wait.
class MembershipTap {
 public:
  virtual ~MembershipTap() = default;
  // An entry of a list that is about to be posted.
  virtual void OnMember(Time now, const policy::Endpoint& entry, const std::string& name,
                        const std::string& address) = 0;
  // `source`: "known", "watch" or "fetch". `why` empty: a list of that generation came from there; else it
  // could not be had, for that reason, and what is known is getting old.
  virtual void OnRoster(Time now, std::string_view source, std::uint64_t generation,
                        std::string_view why) = 0;
};

// Sees by what name clients know a request. Must not call back, and must not wait.
class StreamTap {
 public:
  virtual ~StreamTap() = default;
  virtual void OnNamed(Time now, policy::RequestId id, std::string_view call_id) = 0;
};

// The decisions' side of the streams.
class VerdictPort {
 public:
  virtual ~VerdictPort() = default;
  virtual void Refuse(Handle stream, Time retry_after) = 0;
  virtual void Fail(Handle stream) = 0;
  virtual void Move(Handle stream) = 0;
};

// The upstream's side of the streams.
class AnswerPort {
 public:
  virtual ~AnswerPort() = default;
  virtual Stream* Get(Handle stream) = 0;
  virtual void Data(Handle stream, std::string_view events) = 0;
  virtual void Whole(Handle stream) = 0;
  virtual void Broken(Handle stream) = 0;
  // A host said that the request itself is wrong: the status and body pass on once.
  virtual void Rejected(Handle stream, int status, const std::string& body) = 0;
  // Asked right before an attempt is written: false if the client has closed its connection, although its end
  // may not have been read yet. The stream is over then.
  virtual bool StillWanted(Handle stream) = 0;
};

// What may be told to a client of its request's attempts. The decision module is the one place that knows.
class RepeatPort {
 public:
  virtual ~RepeatPort() = default;
  // Whether repeating the request is harmless; false where that is not known.
  virtual bool MayRepeat(Handle stream) const = 0;
};

// The decisions' side of the upstream.
class AttemptPort {
 public:
  virtual ~AttemptPort() = default;
  // `timeout` and `write_within` as in policy::SendAttempt.
  virtual void Send(Handle stream, ReplicaId to, Time timeout, Time write_within) = 0;
  virtual void CancelAttempt(Handle stream, int attempt) = 0;
  virtual void Probe(ReplicaId to) = 0;
};

// The streams' side of the upstream.
class FlowPort {
 public:
  virtual ~FlowPort() = default;
  virtual void Cancel(Handle upstream_request) = 0;
  virtual void Pause(Handle upstream_request, bool pause) = 0;
  // Its answer is not waited for beyond `at`; one that has begun is left alone.
  virtual void EndBy(Handle upstream_request, Time at) = 0;
  // It ends now: as a time-out if it may have run, else as one that never did.
  virtual void EndNow(Handle upstream_request) = 0;
};

// The membership's side of the upstream.
class HostPort {
 public:
  virtual ~HostPort() = default;
  virtual void SetHost(ReplicaId id, const std::string& host_port) = 0;
  virtual void RemoveHost(ReplicaId id) = 0;
  // It wants nothing new: what has not been written to it yet ends as not sent.
  virtual void Withhold(ReplicaId id) = 0;
  virtual std::string AddressOf(ReplicaId id) const = 0;  // as last set; empty: not known
};

// The decisions' and the fronts' side of the membership.
class MembershipPort {
 public:
  virtual ~MembershipPort() = default;
  virtual void Watch(bool on) = 0;
  virtual void Fetch() = 0;
  virtual bool ready() const = 0;  // a list with at least one host is known
};

// The nodes of the tier, this one first, as the membership among them has it.
struct TierMember {
  std::string name, zone;
  bool suspect = false;
};
struct TierView {
  std::uint64_t version = 0;  // counts up with every change of who is in it
  std::size_t told = 1;       // how many nodes the decision module goes by
  bool joined = false;        // some other node has been met, or there is none to meet
  bool settled = false;       // unchanged for a while, and not in doubt
  bool in_doubt = false;      // members that are absent may live, and members that are here may be gone
  std::vector<TierMember> members;
};
class TierPort {
 public:
  virtual ~TierPort() = default;
  virtual TierView View() const = 0;
};

// What rides on the membership's messages: words, each of them bytes that only whoever made them reads.
class WordPort {
 public:
  virtual ~WordPort() = default;
  // Words that fit into `room` bytes with `overhead` bytes for each; they count as sent.
  virtual std::vector<std::string> Fill(std::size_t room, std::size_t overhead) = 0;
  virtual bool waiting() const = 0;                               // there are some that should go before long
  virtual void Heard(const std::vector<std::string>& words) = 0;  // from a member
};

// What the decision module has seen of the replicas that are listed now.
class FleetPort {
 public:
  virtual ~FleetPort() = default;
  virtual void Fleet(std::vector<policy::ReplicaView>* all) const = 0;
  virtual std::string NameOf(ReplicaId id) const = 0;
};

// Sees what changes among the nodes. Must not call back, and must not wait.
class TierTap {
 public:
  virtual ~TierTap() = default;
  // `what`: a reason word; `member`: about whom; `by`: who said so; `live`: how many nodes are in the view.
  virtual void OnTier(Time now, std::string_view what, std::string_view member, std::string_view by,
                      std::uint64_t value, std::size_t live) = 0;
};

}  // namespace ryeglade
