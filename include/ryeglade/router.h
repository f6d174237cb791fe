// ryeglade::policy: the decisions of a request router for fleets of language-model servers.
//
// One Router is one node of the routing tier. It is constructed from settings, a seed and the present
// time; it is then given every event that concerns it, with the time of the event, and appends the actions
// it wants carried out to a sink. It does no I/O, starts no thread, reads no clock and shares nothing:
// the same events at the same times yield the same actions. All times are microseconds.
//
// Wrong calls never corrupt state: an event for an unknown request, attempt, replica or timer, a second
// outcome of one attempt, or a second arrival under one id is ignored. Time that steps back is held still.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "ryeglade/learned.h"

namespace ryeglade::policy {

using Time = std::int64_t;  // microseconds; no particular origin
using RequestId = std::uint64_t;
using ReplicaId = std::uint32_t;

// What the node is told when it starts. Every field has a default that is safe to run with.
enum class Effect : std::uint8_t { kSafe, kKeyed, kUnsafe };
enum class DedupScope : std::uint8_t { kAll, kZone, kCell };

struct ClassSettings {
  std::string name;            // for logs only, never decided on
  Time aim = 1'000'000;        // a first token (or answer) within this earns the full worth
  Time deadline = 10'000'000;  // the client's whole patience, over all its tries
  double worth = 1.0;          // of one request
  double late_worth = 0.0;     // share of the worth still earned between aim and deadline
  Effect effect = Effect::kSafe;
  DedupScope dedup_scope = DedupScope::kAll;  // keyed only: which replicas drop repeats
  Time dedup_window = 0;                      // keyed only: and for how long
  bool stream = false;
  Time aim_per_1000_tokens = 0;  // added to the aim for each 1,000 prompt tokens
  Time token_aim = 0;            // wanted mean interval between tokens; 0: none
};

struct TenantSettings {
  std::string name;          // for logs only
  double share = 1.0;        // of the service
  double quota_per_s = 0.0;  // requests a second within its share, over all nodes; 0: unknown
};

enum class LoadField : std::uint8_t {
  kOther,
  kInflight,
  kQueue,
  kUtil,
  kLatencyMs,
  kQps,
  kErrorsPerS,
  kMemoryShare,
  kUnreadPrompt
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<LoadField> load_fields;  // what a load report holds, in order
  bool load_in_answers = false;        // reports come with outcomes (else with probes, or not at all)
  int nodes = 1;                       // nodes in this tier, this one included
  int me = 0;                          // this node's number among them
  int zone = 0;                        // this node's zone
  int zones = 1;
  int kinds = 1;
  bool ask_for_list = false;      // the list comes only when asked for
  bool weights_known = false;     // ReplicaEntry::weight means something
  double over_share_worth = 1.0;  // worth of what a tenant sends beyond its share
  double fee_cross_zone = 0.0;    // points (of 1) if every request crossed zones once
  double fee_waste = 0.0;         // points if as much work was wasted as was asked for
  double fee_late_fail = 0.0;     // points if all worth failed only after its aim
  double fee_probe = 0.0;         // points for one probe a request
  double fee_moves = 0.0;
  bool may_cancel = true;
  bool may_probe = false;
  bool parallel_attempts = false;    // two attempts of a request may be out at once
  bool retry_after_honoured = true;  // clients are given a retry-after
  bool can_move_streams = false;
  int max_attempts = 1;
  Time max_retry_after = 1'000'000;
  Time connect_timeout = 250'000;
  Time answer_slack = 0;  // a final answer this long after the deadline still counts
  Time drain_grace = 0;
  Time ask_within = 0;             // ask mode: at least one call in each such span; 0: no such rule
  Time cold_span = 0;              // a started replica is warm no later than this
  double cold_from = 1.0;          // and starts at no less than this share of its capacity
  double overload_factor = 2.0;    // sent more than this multiple of its present capacity
  Time overload_span = 1'000'000;  // for this long, a cold replica falls over
};

// Events.
enum class Phase : std::uint8_t { kGone, kReady, kDraining };

struct ReplicaEntry {
  ReplicaId id = 0;
  double weight = 1.0;
  int kind = 0;
  int zone = 0;
  int cell = 0;
  Time started_at = 0;  // 0: long ago
  Phase phase = Phase::kReady;
};

enum class ListScope : std::uint8_t { kFailed, kDelta, kCached, kFull };

struct ReplicaList {
  ListScope scope = ListScope::kFull;
  std::uint32_t version = 0;
  std::vector<ReplicaEntry> entries;
};

struct RequestArrived {
  RequestId id = 0;
  int cls = 0;
  int tenant = 0;
  std::uint64_t session = 0;  // 0: none
  std::uint64_t prefix = 0;   // shared beginning; 0: none
  double prompt_tokens = 0;
  double prefix_tokens = 0;
  double max_answer_tokens = 0;
  Time patience = 0;   // until the client gives this try up
  Time cost_hint = 0;  // expected work; 0: none
  bool client_retry = false;
  bool write = false;
  bool resumed = false;  // comes again after its stream was interrupted
};

struct AnswerStarted {  // the stream's first token; the attempt now belongs to the client
  RequestId id = 0;
  int attempt = 0;
  ReplicaId replica = 0;
  Time elapsed = 0;
};

enum class Outcome : std::uint8_t {
  kServed,
  kError,
  kFull,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent
};

struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  ReplicaId replica = 0;
  Outcome outcome = Outcome::kServed;
  Time elapsed = 0;
  bool request_concluded = false;
  double kept_tokens = 0;    // of the prompt, found in the replica's cache
  std::vector<double> load;  // in the order of Settings::load_fields; empty: none
};

struct ClientGone {
  RequestId id = 0;
};
struct TimerFired {
  std::uint64_t token = 0;
};

struct ProbeAnswered {
  ReplicaId replica = 0;
  Outcome outcome = Outcome::kServed;
  Time elapsed = 0;
  std::vector<double> load;
};

// How many nodes the tier has from now on, this one included: caps keep their sum over all nodes.
struct TierSize {
  int nodes = 1;
};

// This node's part of the tier's traffic, where the nodes know: over 0 to 1. Caps, quotas and what others are
// taken to have out go by it instead of by one part of `nodes`; each change of the tier's size scales it. Out
// of range: ignored.
struct TierShare {
  double share = 1;
};

// What another process of this node had learned; it takes the place of what was learned here. Of replicas
// only those count that are listed here with the same start, so the list comes first. Null: nothing.
struct Inherited {
  std::shared_ptr<const Learned> learned;
};

// How many attempts another process of this node still has out, by replica; what is not named has none. They
// count against this node's caps.
struct OutBeside {
  std::vector<std::pair<ReplicaId, int>> out;
};

// What the other nodes of the tier know of a replica, already weighed by whoever passes it on, with every
// number finite. It takes the place of what was told of that replica before.
struct ToldReplica {
  ReplicaId id = 0;
  Time started_at = 0;          // another than the listed one: ignored
  double slow = 0, slow_n = 0;  // as in LearnedReplica; counts beside this node's own answers
  Time rests_until = 0;         // nothing new before then, as after own failures
  double out = 0;               // attempts of nodes that have died: this node's part of those
};
struct TierEvidence {
  std::vector<ToldReplica> replicas;
};

// Shares, 0 to 1, of the tier's traffic that belongs to shared beginnings. They take the place of those told
// before; a beginning that is left out goes by what this node has counted itself.
struct TierKeys {
  std::vector<std::pair<std::uint64_t, double>> shares;
};

// An open request has to be answered sooner than its client's patience asks for: within `patience` of this
// event, because the process ends before then, or at once (0). More than is left is ignored, and so is a
// request whose stream has begun.
struct PatienceCut {
  RequestId id = 0;
  Time patience = 0;
};

using Event = std::variant<ReplicaList, RequestArrived, AnswerStarted, AttemptEnded, ClientGone, TimerFired,
                           ProbeAnswered, TierSize, Inherited, OutBeside, TierShare, TierEvidence, TierKeys,
                           PatienceCut>;

// Actions, to be carried out in the order appended.
struct SendAttempt {  // attempts of a request count from 0 in the order sent
  RequestId id = 0;
  ReplicaId replica = 0;
  Time timeout = 0;  // 0: until the client gives up
  // Its first byte may be written no later than this after the action: beyond it a repeat is no longer known
  // to be dropped. 0: any time. What comes too late is not sent and ends as kNotSent.
  Time write_within = 0;
};
struct CancelAttempt {
  RequestId id = 0;
  int attempt = 0;
};
struct Refuse {
  RequestId id = 0;
  Time retry_after = 0;
};  // final; tells that trying again is harmless
struct Fail {
  RequestId id = 0;
};  // final; promises nothing
struct MoveStream {
  RequestId id = 0;
};
struct SetTimer {
  std::uint64_t token = 0;
  Time delay = 0;
};
struct ProbeReplica {
  ReplicaId replica = 0;
};
struct SubscribeList {
  bool on = true;
};
struct FetchList {};

using Action = std::variant<SendAttempt, CancelAttempt, Refuse, Fail, MoveStream, SetTimer, ProbeReplica,
                            SubscribeList, FetchList>;

// Why the Router decided as it did, for whoever wants to know. Nothing of it is needed to carry actions out.
enum class Why : std::uint8_t {
  kNoPatience,     // it came with no time left
  kHeldTooLong,    // no replica had room for it before its last moment
  kNoTimeLeft,     // an attempt failed, and there was no time for another
  kAttemptsSpent,  // as many attempts as are allowed have failed
  kMayHaveRun,     // an attempt may have run, and running it again is not harmless
  kRetriesSpent,   // too many attempts fail: further ones are a bounded share of requests
  kStreamBroken,   // its stream had begun, so it can't be answered from elsewhere
  kCount
};

struct SendNote {
  RequestId id = 0;
  int attempt = 0;
  ReplicaId replica = 0;
  double size = 0;     // estimated runtime, microseconds
  Time held = 0;       // since it arrived
  int considered = 0;  // replicas with a cap above 0
  int with_room = 0;   // of them
  double room = 0;     // the chosen one's: free share of its cap, over tokens to read
  ReplicaId runner_up = 0;
  double runner_up_room = 0;  // 0: there is none
  double cap = 0;             // this node's, of the chosen one
  int in_flight = 0;          // this node's there, before this one
  double unread = 0;          // tokens of the prompt that it is taken to have to read
};

struct EndNote {  // a refusal or a failure
  RequestId id = 0;
  Why why = Why::kHeldTooLong;
  int attempts = 0;
  Time held = 0;            // since it arrived
  std::uint32_t queue = 0;  // requests held at this node
  double cap_total = 0;
  int in_flight = 0;  // this node's, everywhere
};

struct RestNote {  // a replica gets nothing new until then
  ReplicaId replica = 0;
  Outcome outcome = Outcome::kServed;  // that led to it
  int failures = 0;                    // in a row
  Time until = 0;
};

// A replica as a Router sees it now; all zeros: not known.
struct ReplicaView : LearnedReplica {
  ReplicaEntry entry;
  int in_flight = 0;     // this node's attempts out there
  double cap = 0;        // this node's present cap there; 0: nothing new is sent
  double reading = 0;    // tokens that it still has to read of this node's prompts, as far as is known
  Time waits_since = 0;  // while it has: so long this node has waited there without an answer's beginning
};

// Must not call back. Notes come before the Router returns, in the order of the decisions.
class Observer {
 public:
  virtual ~Observer() = default;
  // False: OnSend is not called, and what its notes cost is not spent.
  virtual bool wants_sends() const { return true; }
  virtual void OnSend(const SendNote& note) = 0;
  virtual void OnEnd(const EndNote& note) = 0;
  virtual void OnRest(const RestNote& note) = 0;
};

class Router {
 public:
  Router(const Settings& settings, std::uint64_t seed, Time now);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Takes one event that happened at `now` and appends what is to be done about it.
  void Handle(Time now, const Event& event, std::vector<Action>& actions);

  // New settings at run time: the classes by index (those of open requests keep their index and meaning, so
  // the caller only appends) and how many attempts a request may have.
  void Retune(const std::vector<ClassSettings>& classes, int max_attempts);

  // Null: nobody; then nothing is spent on reasons. What is observed changes no decision.
  void Observe(Observer* observer);

  // All that is learned, and what is out at each replica, to hand on as Inherited and OutBeside.
  Learned Export() const;

  // For dashboards and tests; none of these changes anything.
  std::size_t held() const;  // requests waiting at this node
  std::size_t open() const;  // requests taken and not finished with
  ReplicaView seen(ReplicaId replica) const;
  int in_flight(ReplicaId replica) const { return seen(replica).in_flight; }
  double cap(ReplicaId replica) const { return seen(replica).cap; }
  // After failures it gets nothing new before then; 0: never.
  Time rests_until(ReplicaId replica) const { return seen(replica).blocked_until; }
  double cap_total() const;
  // Whether a client may be told now that repeating this request is harmless: by its class's effect and
  // scope, or because every attempt provably never ran. One that is out counts as run; false for an unknown
  // request.
  bool may_refuse(RequestId id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryeglade::policy
