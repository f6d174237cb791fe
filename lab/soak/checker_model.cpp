#include "lab/soak/checker_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace ryeglade::soak {
namespace {

using policy::DedupScope;
using policy::Idempotency;

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;

// ---- Tolerances and limits, each with the specification page that it comes from ----

// PROTOCOL makes every time limit longer by 50 ms. The same tolerance covers the slight delay with which the
// lab itself records events.
constexpr Time kTolerance = 50 * kMillisecond;
// STANDING: an answer up to 0.5 s after its deadline earns nothing but is not lost; one that comes later or
// never is lost.
constexpr Time kLateAnswerGrace = 500 * kMillisecond;
// STANDING: a node may be held up for up to 0.15 s between reading its clock and writing. Deadlines and
// windows are extended by that; kDrainGrace already includes it.
constexpr Time kAllowedPause = 150 * kMillisecond;
// STANDING: an attempt that begins more than 0.1 s after the client closed is a violation.
constexpr Time kAttemptAfterClose = 100 * kMillisecond;
// BRIEF: new requests may reach a model replica for at most 750 ms after the node is told that it drains.
constexpr Time kDrainGrace = 750 * kMillisecond;
// PROTOCOL: a request is lost if the client is left waiting for 5 s after a running model replica's last
// event.
constexpr Time kStreamSilence = 5 * kSecond;
// PROTOCOL counts a discovery change as told to a node 6 s later at the latest. There is no constant for
// that: the checker uses the time at which discovery wrote the change to the node, and does not judge a node
// to which it was never written.

// STANDING: a stream counts as delayed if an event reaches the client over 0.3 s after its model replica
// wrote it, and over all short days at most one stream in ten may be delayed.
constexpr Time kMaxEventDelay = 300 * kMillisecond;
constexpr double kMaxDelayedShare = 0.1;
constexpr std::size_t kMinStreams = 30;  // with fewer streams, the share of delayed ones is not meaningful
// PROTOCOL: a request that SIGKILL finds unanswered is lost if it came more than 0.7 s after SIGTERM.
constexpr Time kAcceptAfterSigterm = 700 * kMillisecond;
// STANDING: clients that stop in the middle of a request get their error or close within 3 s.
constexpr Time kBadClientTimeout = 3 * kSecond;
// The lab learns of closed connections in the order in which its event loop reads sockets, which is not the
// order of the node's calls.
constexpr Time kReadOrderTolerance = 100 * kMillisecond;
// SIGHUP takes effect some time after the signal, and a node may reject the file: each class table that was
// in force within this time of the request's arrival may be the one that the node used.
constexpr Time kReloadTime = 1 * kSecond;
// A process has ended this long after its last stream, with time for its last clients to read on.
constexpr Time kExitAfterLastStream = 1500 * kMillisecond;
constexpr std::size_t kMaxDescriptorGrowth = 128;  // more than the process had when it became ready
// Bytes above the resident memory when the process became ready; a node buffers little in these soaks.
constexpr std::size_t kMaxMemoryGrowth = std::size_t{64} << 20;

// Formats a time as seconds since the soak began.
std::string Seconds(const History& h, Time t) {
  return fmt::format("{:.3f}", static_cast<double>(t - h.begin) / 1e6);
}

class Checker {
 public:
  explicit Checker(const History& history) : history_(history) {
    for (const ClientRequest& r : history_.requests) send_times_[r.id].push_back(r.sent);
    for (auto& [id, all] : send_times_) std::sort(all.begin(), all.end());
    for (const Attempt& a : history_.attempts) attempts_[a.id].push_back(&a);
    for (auto& [id, all] : attempts_) {
      std::sort(all.begin(), all.end(),
                [](const Attempt* a, const Attempt* b) { return a->began < b->began; });
    }
  }

  Verdict Run() {
    verdict_.requests = history_.requests.size();
    verdict_.attempts = history_.attempts.size();
    for (const ClientRequest& r : history_.requests) CheckRequest(r);
    CheckEventDelays();
    for (const Process& p : history_.processes) CheckProcess(p);
    for (const BadClient& b : history_.bad_clients) CheckBadClient(b);
    for (const ClientThatLeft& c : history_.clients_that_left) CheckClientThatLeft(c);
    for (const UnreadableRequest& r : history_.unreadable_requests) CheckUnreadable(r);
    return std::move(verdict_);
  }

 private:
  using Attempts = std::vector<const Attempt*>;

  void AddViolation(Rule rule, const ClientRequest& r, Time at, std::string what) {
    verdict_.violations.push_back({rule, r.id, r.node, at, std::move(what)});
  }
  void AddUnknown(const ClientRequest& r, const char* why) { verdict_.unknown[why].push_back(r.id); }
  void AddUnknown(const Process& p, const char* why) {
    verdict_.unknown[why].push_back(fmt::format("n{}", p.node));
  }

  // The time between `from` and `to` that a node's processes or the lab spent in pauses. Pauses of a process
  // count only if they are longer than the rules allow for.
  Time PausedTime(std::size_t node, Time from, Time to) const {
    Time sum = 0;
    const auto add = [&](const Interval& s) {
      sum += std::max<Time>(0, std::min(s.to, to) - std::max(s.from, from));
    };
    for (const Interval& s : history_.lab_lags) add(s);
    for (const Process& p : history_.processes) {
      if (p.node != node) continue;
      for (const Interval& s : p.pauses) {
        if (s.to - s.from > kAllowedPause) add(s);
      }
    }
    return sum;
  }
  // Returns `t`, or the end of the pause that `t` falls into: a paused node can't have read what it was told.
  Time EndOfPause(std::size_t node, Time t) const {
    const auto skip_pause = [&](const Interval& s) {
      if (t >= s.from && t <= s.to) t = s.to;
    };
    for (const Process& p : history_.processes) {
      if (p.node != node) continue;
      for (const Interval& s : p.pauses) {
        if (s.to - s.from > kAllowedPause) skip_pause(s);
      }
    }
    for (const Interval& s : history_.lab_lags) skip_pause(s);
    return t;
  }

  // The rules of the request's class in each class table that the node may have used for it.
  std::vector<ClassRules> RulesOf(const ClientRequest& r) const {
    const Time from = r.sent - kReloadTime, to = r.sent + kReloadTime + PausedTime(r.node, r.sent, r.ended);
    std::vector<ClassRules> all;
    const SettingsChange* before = nullptr;
    for (const SettingsChange& s : history_.settings) {
      if (s.node != r.node) continue;
      if (s.at <= from) {
        if (before == nullptr || s.at >= before->at) before = &s;
      } else if (s.at <= to && s.classes.contains(r.cls)) {
        all.push_back(s.classes.at(r.cls));
      }
    }
    if (before != nullptr && before->classes.contains(r.cls)) all.push_back(before->classes.at(r.cls));
    return all;
  }

  // Returns the attempts of one sending of a request: those that began after it and before the next sending.
  // PROTOCOL: a client sends a request once more under the same id if the connection closed while the request
  // was on its way.
  Attempts AttemptsOf(const ClientRequest& r) const {
    const auto it = attempts_.find(r.id);
    if (it == attempts_.end()) return {};
    const std::vector<Time>& send_times = send_times_.at(r.id);
    if (send_times.size() == 1) return it->second;
    const auto next = std::upper_bound(send_times.begin(), send_times.end(), r.sent);
    Attempts own;
    for (const Attempt* a : it->second) {
      if (a->began >= r.sent - kTolerance && (next == send_times.end() || a->began < *next)) own.push_back(a);
    }
    return own;
  }

  // ---- A request ----

  void CheckRequest(const ClientRequest& r) {
    const Attempts attempts = AttemptsOf(r);
    CheckAnswer(r, attempts);
    CheckRefusal(r, attempts);
    CheckRepeats(r, attempts);
    for (const Attempt* a : attempts) CheckAttempt(r, *a);
    if (r.id_again) CheckIdAgain(r, attempts);
    if (r.end == ClientEnd::kServed || r.end == ClientEnd::kTruncated) CheckContent(r, attempts);
  }

  void CheckAnswer(const ClientRequest& r, const Attempts& attempts) {
    switch (r.end) {
      case ClientEnd::kServed:
        ++verdict_.served;
        return CheckAnswerTime(r, BeganAt(r, attempts));
      case ClientEnd::kRefused:
        ++verdict_.refused;
        return CheckAnswerTime(r, r.ended);
      case ClientEnd::kFailed:
        ++verdict_.failed;
        if (r.api == Api::kOpenAiAssembled && HadBegun(r, attempts))
          return CheckAssembledFailure(r, *LastStream(attempts));
        return CheckAnswerTime(r, r.ended);
      case ClientEnd::kTruncated:
        return CheckTruncated(r, attempts);
      case ClientEnd::kNoAnswer:
        return CheckNoAnswer(r, attempts);
      case ClientEnd::kTimedOut:
        if (r.pipelined) return AddUnknown(r, "pipelined behind another request, which it waits for");
        if (KilledByPlan(r)) return AddUnknown(r, "its node was killed by the plan");
        if (ExplainedByPause(r))
          return AddUnknown(r, "its node was paused for longer than the pages allow for");
        return AddViolation(Rule::kAnswer, r, r.ended, "no answer came within its budget plus 0.5 s");
      case ClientEnd::kClientClosed:
        return;
      case ClientEnd::kNotSent:
        return AddUnknown(r, "no connection came up, or it broke while the request was written");
      case ClientEnd::kUnfinished:
        return AddUnknown(r, "the soak ended before the request did");
      case ClientEnd::kCount:
        return;
    }
  }

  // Returns the last attempt of which the replica wrote anything; null if there is none.
  static const Attempt* LastStream(const Attempts& attempts) {
    const Attempt* last = nullptr;
    for (const Attempt* a : attempts) {
      if (!a->events.empty()) last = a;
    }
    return last;
  }

  // When the replica had written a whole event, which it may write in pieces; 0 if it never had.
  static Time FirstEventAt(const Attempt& a) {
    std::string written;
    for (const TimedBytes& piece : a.events) {
      written += piece.bytes;
      if (written.find("\n\n") != std::string::npos) return piece.at;
    }
    return 0;
  }

  // When an answer began. Of an assembled one only the replica's first event shows that.
  static Time BeganAt(const ClientRequest& r, const Attempts& attempts) {
    const Attempt* stream = LastStream(attempts);
    if (r.api == Api::kOpenAiAssembled && stream != nullptr && FirstEventAt(*stream) != 0)
      return FirstEventAt(*stream);
    return r.events.empty() ? r.ended : r.events.front().at;
  }

  // True if the node had read a whole event of an assembled answer before the answer ended.
  static bool HadBegun(const ClientRequest& r, const Attempts& attempts) {
    const Attempt* stream = LastStream(attempts);
    const Time first = stream == nullptr ? 0 : FirstEventAt(*stream);
    return first != 0 && first + kReadOrderTolerance <= r.ended;
  }

  // An assembled answer had begun at `last` and ended with an error.
  void CheckAssembledFailure(const ClientRequest& r, const Attempt& last) {
    if (LinkWasFaulty(last)) return AddUnknown(r, "stream over a link that the plan broke");
    if (last.end == AttemptEnd::kComplete) {
      return AddViolation(Rule::kForward, r, r.ended,
                          "the replica had finished its stream, but the client got an error");
    }
    CheckEndByNode(r, last);
  }

  // A node may end a stream by itself only if the replica had stopped sending, the only fault that a node can
  // detect here.
  void CheckEndByNode(const ClientRequest& r, const Attempt& last) {
    if (last.end != AttemptEnd::kNodeClosed || r.slow_reader) return;
    if (r.ended - last.events.back().at < kStreamSilence / 2)
      AddViolation(Rule::kAnswer, r, r.ended, "the node cut a stream whose replica was still sending events");
  }

  void CheckAnswerTime(const ClientRequest& r, Time at) {
    if (r.pipelined) return;    // PROTOCOL: clients send one request at a time on a connection
    if (r.slow_reader) return;  // the delay is the client's own
    const Time by = r.sent + r.budget + kLateAnswerGrace + kTolerance + PausedTime(r.node, r.sent, at);
    if (at > by) {
      AddViolation(
          Rule::kAnswer, r, at,
          fmt::format("its answer came {} ms after its budget had run out", (at - r.sent - r.budget) / 1000));
    }
  }

  // True if its node was paused, and the wait minus that pause is within the time that an answer may take.
  bool ExplainedByPause(const ClientRequest& r) const {
    const Time paused = PausedTime(r.node, r.sent, r.ended);
    return paused > 0 && r.ended - r.sent <= r.budget + kLateAnswerGrace + kTolerance + paused;
  }

  // True if the plan killed its node's process without SIGTERM, as if the machine had failed. Repeating such
  // a request is the client's task.
  bool KilledByPlan(const ClientRequest& r) const {
    return std::any_of(history_.processes.begin(), history_.processes.end(), [&](const Process& p) {
      return p.node == r.node && p.killed_by_plan && p.started <= r.sent && p.ended >= r.connected &&
             p.ended <= r.ended + kTolerance;
    });
  }
  // The process that held this request when SIGKILL came after SIGTERM, which ended its connection. Returns
  // null if there is none: during an upgrade, the process that was killed may be the other one.
  const Process* KilledProcessOf(const ClientRequest& r) const {
    for (const Process& p : history_.processes) {
      const bool had_request = p.node == r.node && p.killed != 0 && p.started <= r.connected &&
                               p.killed >= r.sent - kTolerance && p.killed <= r.ended + kTolerance;
      if (!had_request) continue;
      // On a busy machine a process ends, and its connections with it, some time after SIGKILL.
      const bool ended_with_it = r.ended <= p.ended;
      const Time since_kill = r.ended - p.killed - PausedTime(r.node, p.killed, r.ended);
      if (ended_with_it || since_kill <= kReadOrderTolerance) return &p;
    }
    return nullptr;
  }

  // True if the request was sent at most 0.7 s after the process got SIGTERM. A process that was paused when
  // SIGTERM was sent gets it when it runs again.
  bool SentSoonAfterSigterm(const ClientRequest& r, const Process& p) const {
    return r.sent <= EndOfPause(p.node, p.sigterm_at) + kAcceptAfterSigterm;
  }

  void CheckTruncated(const ClientRequest& r, const Attempts& attempts) {
    if (KilledByPlan(r)) return AddUnknown(r, "its node was killed by the plan");
    const Attempt* last = LastStream(attempts);
    if (last == nullptr)
      return AddViolation(Rule::kContent, r, r.ended,
                          "the client got the beginning of a stream that no replica sent");
    // A stream that its replica ended may belong to the node's other process.
    const Process* p = last->end == AttemptEnd::kCutShort ? nullptr : KilledProcessOf(r);
    if (p != nullptr) {
      if (SentSoonAfterSigterm(r, *p))
        return AddUnknown(r, "stream cut by SIGKILL, its request sent at most 0.7 s after SIGTERM");
      return AddViolation(Rule::kAnswer, r, r.ended,
                          "SIGKILL cut a stream whose request was sent over 0.7 s after SIGTERM");
    }
    if (LinkWasFaulty(*last)) return AddUnknown(r, "stream over a link that the plan broke");
    if (last->end == AttemptEnd::kComplete) {
      return AddViolation(Rule::kForward, r, r.ended,
                          "the replica had finished its stream, but the client did not get all of it");
    }
    const Time silent =
        r.ended - last->events.back().at - PausedTime(r.node, last->events.back().at, r.ended);
    if (silent > kStreamSilence + kTolerance && !r.slow_reader) {
      return AddViolation(Rule::kForward, r, r.ended,
                          fmt::format("stream cut {} ms after its replica's last event", silent / 1000));
    }
    // PROTOCOL: where clients ask for the rest of a stream, asking for it before the stream's end moves it.
    // The clients of the OpenAI-style address can't.
    const bool may_move = history_.resume && r.api == Api::kPlatform;
    if (!may_move) CheckEndByNode(r, *last);
  }

  void CheckNoAnswer(const ClientRequest& r, const Attempts& attempts) {
    if (KilledByPlan(r)) return AddUnknown(r, "its node was killed by the plan");
    // PROTOCOL: a node may close a connection between requests. If the client has sent a request by then that
    // the node has not read, the client sends it once more on a new connection.
    if (attempts.empty() && (r.reused || r.pipelined))
      return AddUnknown(r, "the connection closed while the request was on its way");
    // STANDING: with `crowd`, idle clients use up the descriptors, and new connections may be closed unread.
    if (attempts.empty() && history_.crowd)
      return AddUnknown(r, "closed unread while idle connections used up the descriptors");
    if (const Process* p = KilledProcessOf(r)) {
      if (SentSoonAfterSigterm(r, *p))
        return AddUnknown(r, "unanswered at SIGKILL, sent at most 0.7 s after SIGTERM");
      if (ExplainedByPause(r))
        return AddUnknown(r, "its node was paused for longer than the pages allow for");
    }
    AddViolation(Rule::kAnswer, r, r.ended, "its connection was closed without an answer");
  }

  void CheckRefusal(const ClientRequest& r, const Attempts& attempts) {
    const bool refused = r.end == ClientEnd::kRefused;
    // By closing a reused connection without an answer, a node asks the client to send the request once more.
    // CheckNoAnswer judges the connections that SIGKILL ended.
    const bool handed_back =
        r.end == ClientEnd::kNoAnswer && r.reused && !KilledByPlan(r) && KilledProcessOf(r) == nullptr;
    if (!refused && !handed_back) return;
    const Attempt* may_have_run = nullptr;
    for (const Attempt* a : attempts) {
      if (a->MayHaveRun() && a->began <= r.ended) may_have_run = a;
    }
    if (may_have_run == nullptr) return;
    const std::vector<ClassRules> rules = RulesOf(r);
    if (rules.empty()) return AddUnknown(r, "no settings are known for its class");
    const bool harmless = std::any_of(rules.begin(), rules.end(), [](const ClassRules& c) {
      return c.effect == Idempotency::kIdempotent ||
             (c.effect == Idempotency::kIdempotencyKey && c.scope == DedupScope::kAll);
    });
    if (harmless) return;
    AddViolation(Rule::kRefusal, r, r.ended,
                 fmt::format("{} although {} had received it at {}", refused ? "refused" : "handed back",
                             history_.replicas[may_have_run->replica].name,
                             Seconds(history_, may_have_run->received)));
  }

  // True if the class allows attempt `next` although attempt `first` may have run.
  bool MayRepeat(const ClassRules& c, const Attempt& first, const Attempt& next) const {
    if (c.effect == Idempotency::kIdempotent) return true;
    if (c.effect == Idempotency::kNotIdempotent) return false;
    const Replica &a = history_.replicas[first.replica], &b = history_.replicas[next.replica];
    if (c.scope == DedupScope::kZone && a.zone != b.zone) return false;
    if (c.scope == DedupScope::kCell && a.cell != b.cell) return false;
    return next.began - first.began <= c.window + kAllowedPause + kTolerance;
  }

  void CheckRepeats(const ClientRequest& r, const Attempts& attempts) {
    if (attempts.size() < 2) return;
    const std::vector<ClassRules> rules = RulesOf(r);
    if (rules.empty()) return AddUnknown(r, "no settings are known for its class");
    for (std::size_t i = 0; i < attempts.size(); ++i) {
      const Attempt& first = *attempts[i];
      if (!first.MayHaveRun()) continue;
      for (std::size_t k = i + 1; k < attempts.size(); ++k) {
        const Attempt& next = *attempts[k];
        if (next.received == 0) continue;
        if (next.received + kReadOrderTolerance < (first.ended == 0 ? history_.end : first.ended) &&
            (next.ended == 0 || next.ended > first.received)) {
          AddViolation(
              Rule::kTwoAtOnce, r, next.received,
              fmt::format("in flight at {} and at {} at the same time", history_.replicas[first.replica].name,
                          history_.replicas[next.replica].name));
        }
        const bool allowed = std::any_of(rules.begin(), rules.end(),
                                         [&](const ClassRules& c) { return MayRepeat(c, first, next); });
        if (!allowed) {
          AddViolation(Rule::kRepeat, r, next.began,
                       fmt::format("sent to {} {} ms after {}, which may have run it",
                                   history_.replicas[next.replica].name, (next.began - first.began) / 1000,
                                   history_.replicas[first.replica].name));
        }
      }
    }
  }

  // The client of an earlier request with this id has closed its connection, and the id has come again.
  void CheckIdAgain(const ClientRequest& r, const Attempts& attempts) {
    const std::vector<ClassRules> rules = RulesOf(r);
    const bool forbidden = !rules.empty() && std::all_of(rules.begin(), rules.end(), [](const ClassRules& c) {
      return c.effect == Idempotency::kNotIdempotent;
    });
    const auto again =
        std::find_if(attempts.begin(), attempts.end(), [&](const Attempt* a) { return a->began >= r.sent; });
    if (!forbidden || again == attempts.end() || WasReplaced(r)) return;
    for (const Attempt* earlier : attempts_.at(r.id)) {
      if (earlier->began >= r.sent || !earlier->MayHaveRun()) continue;
      return AddViolation(Rule::kRepeat, r, (*again)->began,
                          "its id ran again although its class forbids repeats");
    }
  }

  // True if the node's process was another one when an earlier request with this id was sent.
  bool WasReplaced(const ClientRequest& r) const {
    return std::any_of(history_.processes.begin(), history_.processes.end(), [&](const Process& p) {
      return p.node == r.node && p.started > send_times_.at(r.id).front() && p.started <= r.sent;
    });
  }

  void CheckClientThatLeft(const ClientThatLeft& c) {
    for (auto it = attempts_.lower_bound(c.id_prefix);
         it != attempts_.end() && it->first.starts_with(c.id_prefix); ++it) {
      for (const Attempt* a : it->second) {
        if (a->began <= EndOfPause(c.node, c.closed) + kAttemptAfterClose + kTolerance) continue;
        verdict_.violations.push_back(
            {Rule::kClientGone, it->first, c.node, a->began,
             fmt::format("an attempt began {} ms after its client had sent much and left",
                         (a->began - c.closed) / 1000)});
      }
    }
  }

  void CheckAttempt(const ClientRequest& r, const Attempt& a) {
    if (r.client_closed != 0 && !r.half_closed &&
        a.began > EndOfPause(r.node, r.client_closed) + kAttemptAfterClose + kTolerance) {
      AddViolation(Rule::kClientGone, r, a.began,
                   fmt::format("an attempt began {} ms after its client had disconnected",
                               (a.began - r.client_closed) / 1000));
    }
    // A node can't know how long bytes waited unread while its process was paused, or in the kernel's accept
    // queue while idle connections used up the descriptors.
    const Time left = r.sent + r.budget - a.began + PausedTime(r.node, r.sent, a.began);
    const bool too_much = a.budget > std::max<Time>(0, left) + kAllowedPause + kTolerance;
    if (too_much && history_.crowd && !r.reused) {
      AddUnknown(r, "its connection waited to be accepted while idle connections used up the descriptors");
    } else if (too_much) {
      AddViolation(Rule::kBudget, r, a.began,
                   fmt::format("{} was given a budget of {} ms, but its client has {} ms left",
                               history_.replicas[a.replica].name, a.budget / 1000, left / 1000));
    }
    CheckBody(r, a);
    CheckOperatorCalls(r, a);
    // The latest change that was written to the node before the attempt began.
    const DiscoveryChange* state = nullptr;
    for (const DiscoveryChange& c : history_.discovery_changes) {
      if (c.node != a.node || c.replica != a.replica || c.written == 0 || c.written > a.began) continue;
      if (state == nullptr || c.written >= state->written) state = &c;
    }
    if (state == nullptr || state->accepts_requests) return;
    const Time told = EndOfPause(a.node, state->written);
    if (a.began <= told + kDrainGrace + kTolerance) return;
    AddViolation(Rule::kDrain, r, a.began,
                 fmt::format("sent to {} {} ms after its node was told that it drains",
                             history_.replicas[a.replica].name, (a.began - told) / 1000));
  }

  // PROTOCOL: the body passes on unchanged. A request that is sent again has another body under the same id.
  void CheckBody(const ClientRequest& r, const Attempt& a) {
    const bool known = r.body_hash != 0 && a.body_hash != 0 && send_times_.at(r.id).size() == 1;
    if (!known || r.body_hash == a.body_hash) return;
    AddViolation(
        Rule::kContent, r, a.began,
        fmt::format("{} got a body that its client did not send", history_.replicas[a.replica].name));
  }

  // DAYS: for a replica that an operator takes out, the rule on drains holds from the node's yes until the
  // call back, over an upgrade, too.
  void CheckOperatorCalls(const ClientRequest& r, const Attempt& a) {
    const OperatorCall* out = nullptr;  // the first accepted call out since the last call back
    for (const OperatorCall& call : history_.operator_calls) {
      if (call.node != a.node || call.replica != a.replica || call.sent > a.began) continue;
      const bool binding = call.accepted() && call.answered <= a.began;
      if (!call.out) out = nullptr;
      if (call.out && binding && out == nullptr) out = &call;
    }
    if (out == nullptr) return;
    const Time told = EndOfPause(a.node, out->answered);
    if (a.began <= told + kDrainGrace + kTolerance) return;
    AddViolation(Rule::kDrain, r, a.began,
                 fmt::format("sent to {} {} ms after the node's yes to taking it out by hand",
                             history_.replicas[a.replica].name, (a.began - told) / 1000));
  }

  // LATER: things that can't be read are owed an error or a close within 3 s, and are not served.
  void CheckUnreadable(const UnreadableRequest& r) {
    const auto add_violation = [&](Time at, std::string what) {
      verdict_.violations.push_back({Rule::kBadClient, r.id, r.node, at, std::move(what)});
    };
    if (const auto it = attempts_.find(r.id); it != attempts_.end())
      add_violation(it->second.front()->began, "a request whose framing can't be read was sent to a replica");
    if (r.status != 0 && r.status < 400)
      add_violation(r.ended, fmt::format("a request whose framing can't be read got {}", r.status));
    const Time end = r.ended == 0 ? history_.end : r.ended;
    const Time waited = end - r.began - PausedTime(r.node, r.began, end);
    if (waited > kBadClientTimeout + kTolerance && !history_.crowd)
      add_violation(end, fmt::format("a request whose framing can't be read waited {} ms", waited / 1000));
  }

  static std::string Concatenate(const std::vector<TimedBytes>& pieces) {
    std::string text;
    for (const TimedBytes& p : pieces) text += p.bytes;
    return text;
  }

  // The generated text of an answer, streamed or assembled. At the OpenAI-style address the rest of an event
  // is the node's own.
  static std::string TextOf(const std::string& answer) {
    constexpr std::string_view kBeforeText = "\"content\":\"";
    std::string text;
    for (std::size_t at = 0; (at = answer.find(kBeforeText, at)) != std::string::npos;) {
      at += kBeforeText.size();
      const std::size_t end = answer.find('"', at);
      if (end == std::string::npos) break;  // cut off within an event
      text += answer.substr(at, end - at);
      at = end;
    }
    return text;
  }

  void CheckContent(const ClientRequest& r, const Attempts& attempts) {
    const bool platform = r.api == Api::kPlatform;
    const std::string bytes = Concatenate(r.events);
    const std::string got = platform ? bytes : TextOf(bytes);
    for (const Attempt* a : attempts) {
      const std::string written = Concatenate(a->events);
      const std::string made = platform ? written : TextOf(written);
      const bool matches = r.end == ClientEnd::kServed ? a->end == AttemptEnd::kComplete && got == made
                                                       : made.starts_with(got);
      if (!matches) continue;
      if (platform) CountEventDelay(r, *a);  // matches bytes, which the other front writes anew
      return;
    }
    AddViolation(Rule::kContent, r, r.ended,
                 "what the client got is not what one replica sent, complete and in order");
  }

  // Compares the time at which the client got each byte with the time at which the replica wrote it, matching
  // the two by position in the stream. Counts a stream as delayed if one event took too long.
  void CountEventDelay(const ClientRequest& r, const Attempt& a) {
    if (r.slow_reader || PausedTime(r.node, a.received, r.ended) > 0) return;
    ++streams_;
    std::size_t got = 0, made = 0, next = 0;
    for (const TimedBytes& p : r.events) {
      got += p.bytes.size();
      Time written = 0;
      while (next < a.events.size() && made + a.events[next].bytes.size() <= got) {
        made += a.events[next].bytes.size();
        written = written == 0 ? a.events[next].at : written;
        ++next;
      }
      if (written != 0 && p.at - written > kMaxEventDelay + kTolerance) {
        ++delayed_streams_;
        last_delayed_ = &r;
        return;
      }
    }
  }

  void CheckEventDelays() {
    if (streams_ < kMinStreams ||
        static_cast<double>(delayed_streams_) <= kMaxDelayedShare * static_cast<double>(streams_)) {
      return;
    }
    AddViolation(
        Rule::kInTime, *last_delayed_, last_delayed_->ended,
        fmt::format("{} of {} streams had an event delayed by over 0.3 s", delayed_streams_, streams_));
  }

  // True if bytes that the replica wrote may not have reached the node.
  bool LinkWasFaulty(const Attempt& a) const {
    return std::any_of(history_.link_faults.begin(), history_.link_faults.end(), [&](const LinkFault& f) {
      return f.replica == a.replica &&
             f.from <= (a.ended == 0 ? history_.end : a.ended) + kReadOrderTolerance && f.to >= a.began;
    });
  }

  // ---- A process ----

  // True if a client of the node was receiving a stream at `t`. PROTOCOL: a node that ends after SIGTERM has
  // not crashed, and it may run until SIGKILL while it forwards a stream.
  bool HasStreamAt(std::size_t node, Time t) const {
    return std::any_of(history_.requests.begin(), history_.requests.end(), [&](const ClientRequest& r) {
      if (r.node != node || r.end == ClientEnd::kRefused || r.sent > t) return false;
      if (r.ended != 0 && r.ended < t - kReadOrderTolerance) return false;
      if (r.api != Api::kOpenAiAssembled) return !r.events.empty() && r.events.front().at <= t;
      const Attempt* stream = LastStream(AttemptsOf(r));
      return stream != nullptr && stream->events.front().at <= t;
    });
  }

  // The last time at which a process must have passed on a stream to run until `t`.
  static Time LastNeededAt(const Process& p, Time t) {
    return std::min(t, std::max(p.sigkill_due, t - kExitAfterLastStream));
  }

  // The most descriptors that bad clients took when the figures were read: for each its connection, and one
  // to a replica.
  std::size_t DescriptorsOfBadClients(const Process& p) const {
    std::size_t descriptors = 0;
    for (const BadCrowd& crowd : history_.bad_crowds) {
      const bool present = crowd.node == p.node && p.sigterm_at >= crowd.from && p.sigterm_at <= crowd.to;
      if (present) descriptors += 2 * crowd.clients;
    }
    return descriptors;
  }

  void CheckProcess(const Process& p) {
    const auto add_violation = [&](Time at, std::string what) {
      verdict_.violations.push_back({Rule::kProcess, "", p.node, at, std::move(what)});
    };
    if (p.last_descriptors > p.first_descriptors + kMaxDescriptorGrowth + DescriptorsOfBadClients(p) &&
        !history_.crowd) {
      add_violation(p.ended, fmt::format("had {} descriptors at its end, {} at its start", p.last_descriptors,
                                         p.first_descriptors));
    }
    if (p.memory_limit != 0 && p.peak_memory > p.memory_limit) {
      add_violation(p.ended, fmt::format("used {} MB of memory, over its limit of {} MB", p.peak_memory >> 20,
                                         p.memory_limit >> 20));
    }
    if (p.last_memory > p.first_memory + kMaxMemoryGrowth) {
      add_violation(p.ended, fmt::format("used {} MB more memory than at its start",
                                         (p.last_memory - p.first_memory) >> 20));
    }
    if (p.killed_by_plan || p.ended == 0) return;
    if (p.sigterm_at == 0)
      return add_violation(p.ended, fmt::format("exited without a SIGTERM, with status {}", p.status));
    if (p.killed != 0) {
      ++verdict_.killed;
      if (HasStreamAt(p.node, LastNeededAt(p, p.killed)))
        return AddUnknown(p, "a process that was passing on a stream at SIGKILL");
      if (PausedTime(p.node, p.sigterm_at, p.killed) > 0)
        return AddUnknown(p, "a process that was paused during its shutdown");
      return add_violation(p.killed, "had not exited when SIGKILL came, although it passed on no stream");
    }
    if (p.ended > p.sigkill_due + kTolerance && PausedTime(p.node, p.sigterm_at, p.ended) == 0 &&
        !HasStreamAt(p.node, LastNeededAt(p, p.ended)))
      return add_violation(p.ended, "exited after SIGKILL was due, although it had passed on no stream");
    if (p.status != 0)
      return add_violation(p.ended, fmt::format("exited after SIGTERM with status {}", p.status));
    ++verdict_.ended;
  }

  void CheckBadClient(const BadClient& b) {
    const Time end = b.ended == 0 ? history_.end : b.ended;
    const Time waited = end - b.began - PausedTime(b.node, b.began, end);
    if (waited <= kBadClientTimeout + kTolerance) return;
    verdict_.violations.push_back(
        {Rule::kBadClient, "", b.node, end,
         fmt::format("a client that stopped in the middle of a request waited {} ms for an error or a close",
                     waited / 1000)});
  }

  const History& history_;
  Verdict verdict_;
  std::map<std::string, Attempts> attempts_;
  std::map<std::string, std::vector<Time>> send_times_;  // by request id, ascending
  std::size_t streams_ = 0, delayed_streams_ = 0;
  const ClientRequest* last_delayed_ = nullptr;  // the request of the last delayed stream; null if none
};

}  // namespace

const char* Name(Rule rule) {
  static constexpr std::array<const char*, static_cast<std::size_t>(Rule::kCount)> kWords = {
      "answer", "refusal", "repeat",  "two-at-once", "client-gone", "budget",
      "drain",  "content", "forward", "in-time",     "process",     "bad-client"};
  return kWords[static_cast<std::size_t>(rule)];
}

std::size_t Verdict::Count(Rule rule) const {
  return static_cast<std::size_t>(std::count_if(violations.begin(), violations.end(),
                                                [&](const Violation& b) { return b.rule == rule; }));
}

Verdict CheckHistory(const History& history) { return Checker(history).Run(); }

}  // namespace ryeglade::soak
