#include "lab/fault_scenarios.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <deque>
#include <fstream>
#include <map>
#include <pcg_random.hpp>
#include <queue>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "settings.h"
#include "timeline/anomaly_model.h"
#include "timeline/block.h"

namespace ryeglade::lab {
namespace {

using namespace policy;
using timeline::Anomaly;
using timeline::AnomalyKind;
using timeline::EndpointListRecord;
using timeline::EndpointRecord;
using timeline::ReasonRecord;
using timeline::Record;
using timeline::Start;

constexpr const char* kFaultNames[] = {"none",       "errors",       "slow", "full",     "cut-off", "loaded",
                                       "fleet-slow", "fleet-errors", "dark", "replaced", "drained"};
static_assert(std::size(kFaultNames) == static_cast<std::size_t>(ScriptedFault::kCount));

const std::string kSettings =
    "classes.count=1\nclasses.0.name=docs\nclasses.0.promise=2000000\nclasses.0.deadline=8000000\n"
    "classes.0.late-worth=0.3\nclasses.0.stream=true\nstats.how=answers\nstats.fields=inflight\n"
    "limits.max-attempts=3\nlimits.max-retry-after=1000000\nobligations.answer-slack=16000\n"
    "obligations.cold=20000000\nobligations.cold-from=0.3\n";

constexpr int kBatchSize = 16;
constexpr std::size_t kQueueCapacity = 64;
constexpr double kBackgroundFailures = 0.002;  // share of attempts

// Each purpose has a random stream of its own, so that a changed option does not change the draws of the
// others.
enum Stream : std::uint64_t { kArrivals = 1, kPrompts, kTimeFactors, kServing, kFailing };

class FaultScenario : public DecisionObserver {
 public:
  FaultScenario(const FaultScenarioOptions& options, const std::function<void(const Record&)>& sink)
      : options_(options),
        sink_(sink),
        arrivals_(options.seed, kArrivals),
        prompts_(options.seed, kPrompts),
        serving_(options.seed, kServing),
        failing_(options.seed, kFailing),
        router_(wire::ReadSettings(kSettings), options.seed, options.start_time + options.clock_offset),
        now_(options.start_time) {
    if (options.record_reasons) router_.SetObserver(this);
  }

  FaultScenarioResult Play() {
    sink_(Start{timeline::kFormat, options_.node, kSettings, options_.seed, Clock()});
    pcg64 time_factors(options_.seed, kTimeFactors);
    boost::random::lognormal_distribution<double> time_factor(0, 0.08);
    for (int i = 0; i < options_.replicas; ++i) {
      SimulatedReplica s;
      s.entry.id = 0x1000U + static_cast<ReplicaId>(i);
      s.name = fmt::format("replica-{:03}", i);
      s.address = fmt::format("10.0.{}.{}:8000", i / 200, i % 200 + 1);
      s.time_factor = time_factor(time_factors);
      replicas_.emplace(s.entry.id, std::move(s));
    }
    result_.victim =
        0x1000U + static_cast<ReplicaId>(options_.seed % static_cast<std::uint64_t>(options_.replicas));
    PublishList(EndpointListScope::kFull, "watch");
    const Time from = options_.start_time + static_cast<Time>(options_.fault_at * 1e6),
               to = from + static_cast<Time>(options_.fault_seconds * 1e6);
    result_.from = from + options_.clock_offset;
    result_.to = to + options_.clock_offset;
    // The list gets a new generation every 30 s.
    for (int k = 1; k * 30 < static_cast<int>(options_.seconds); ++k)
      ScheduleAfter(static_cast<Time>(k) * 30'000'000,
                    [this] { PublishList(EndpointListScope::kDelta, "watch"); });
    if (options_.fault != ScriptedFault::kNone) {
      ScheduleAt(from, [this] { BeginFault(); });
      ScheduleAt(to, [this] { EndFault(); });
    }
    ScheduleArrival();
    const Time end = options_.start_time + static_cast<Time>(options_.seconds * 1e6);
    while (!queue_.empty() && queue_.top().at <= end) {
      const ScheduledCallback item = queue_.top();
      queue_.pop();
      now_ = item.at;
      auto what = std::move(callbacks_[item.order]);
      callbacks_.erase(item.order);
      what();
    }
    return result_;
  }

  void OnDispatch(const DispatchRecord& record) override { reasons_.push_back({Clock(), record}); }
  void OnConclusion(const ConclusionRecord& record) override { reasons_.push_back({Clock(), record}); }
  void OnEjection(const EjectionRecord& record) override { reasons_.push_back({Clock(), record}); }

 private:
  struct Job {
    RequestId id;
    int attempt;
    double first_token, rest;  // seconds, from the time that it leaves the queue
    Time sent;
  };
  struct SimulatedReplica {
    Endpoint entry;
    std::string name, address;
    double time_factor = 1;
    int running = 0;
    std::deque<Job> waiting;
  };
  struct ScheduledCallback {
    Time at;
    std::uint64_t order;
    bool operator<(const ScheduledCallback& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };

  Time Clock() const { return now_ + options_.clock_offset; }
  void ScheduleAt(Time when, std::function<void()> what) {
    queue_.push({std::max(when, now_), ++order_});
    callbacks_[order_] = std::move(what);
  }
  void ScheduleAfter(Time span, std::function<void()> what) { ScheduleAt(now_ + span, std::move(what)); }
  void ScheduleAfter(double seconds, std::function<void()> what) {
    ScheduleAfter(static_cast<Time>(seconds * 1e6), std::move(what));
  }

  // Lets the router decide on the event, records the decision with its reasons and sets its timers. Attempts
  // are passed to `send_it`.
  template <class SendIt>
  void Decide(const Event& event, const SendIt& send_it) {
    timeline::Decision d{Clock(), event, {}};
    reasons_.clear();
    router_.Handle(d.now, event, d.actions);
    ++result_.decisions;
    sink_(d);
    for (const ReasonRecord& record : std::exchange(reasons_, {})) sink_(record);
    for (const Action& a : d.actions) {
      if (const auto* send = std::get_if<SendAttempt>(&a)) send_it(*send);
      if (const auto* timer = std::get_if<SetTimer>(&a))
        ScheduleAfter(timer->delay, [this, token = timer->token] { Handle(TimerFired{token}); });
    }
  }

  void Handle(const Event& event) {
    Decide(event, [this](const SendAttempt& send) { Send(send); });
  }

  void PublishList(EndpointListScope scope, const char* source) {
    if (list_unavailable_) return;
    ++generation_;
    EndpointList list{scope, generation_, {}};
    for (auto& [id, s] : replicas_) {
      if (scope == EndpointListScope::kDelta && id != result_.victim) continue;
      list.endpoints.push_back(s.entry);
      sink_(EndpointRecord{Clock(), id, s.name, s.address, s.entry.started_at, s.entry.state, false});
    }
    sink_(EndpointListRecord{Clock(), source, generation_, "", false});
    Handle(list);
  }

  void ScheduleArrival() {
    boost::random::exponential_distribution<double> gap(options_.requests_per_second * rate_factor_);
    ScheduleAfter(gap(arrivals_), [this] {
      boost::random::lognormal_distribution<double> prompt(std::log(700.0), 0.8), answer(std::log(60.0), 0.5);
      boost::random::uniform_int_distribution<int> rank(1, 36);
      RequestArrived a;
      a.id = ++requests_;
      ++result_.requests;
      a.prompt_tokens = std::min(8000.0, std::floor(prompt(prompts_)) + 1);
      a.max_answer_tokens = std::min(2000.0, std::floor(answer(prompts_)) + 1);
      int r = rank(prompts_), at = 0;  // weights 8, 7, ... 1
      while (r > 8 - at) r -= 8 - at++;
      a.prefix = 0xbe91 + static_cast<std::uint64_t>(at);
      a.prefix_tokens = std::min(300.0, a.prompt_tokens / 2);
      a.time_budget = 8'000'000;
      response_tokens_[a.id] = a.max_answer_tokens;
      prompt_tokens_[a.id] = a.prompt_tokens;
      sink_(timeline::CallIdRecord{Clock(), a.id, fmt::format("call-{}", a.id)});
      Handle(a);
      ScheduleArrival();
    });
  }

  bool HasFault(ReplicaId id, ScriptedFault fault) const {
    return fault_active_ && options_.fault == fault && id == result_.victim;
  }
  bool FleetHasFault(ScriptedFault fault) const { return fault_active_ && options_.fault == fault; }

  void Send(const SendAttempt& send) {
    const int attempt = attempts_[send.id]++;
    const auto it = replicas_.find(send.replica);
    const auto fail = [&](double after, Outcome outcome) {
      ScheduleAfter(after, [this, id = send.id, attempt, replica = send.replica, outcome, after] {
        EndAttempt(id, attempt, replica, outcome, static_cast<Time>(after * 1e6));
      });
    };
    if (it == replicas_.end() || HasFault(send.replica, ScriptedFault::kCutOff))
      return fail(0.0005, Outcome::kConnectFailed);
    boost::random::bernoulli_distribution<double> background(kBackgroundFailures), half(0.5), six_in_ten(0.6),
        three_in_ten(0.3);
    if (background(failing_)) return fail(0.02, Outcome::kReset);
    if (HasFault(send.replica, ScriptedFault::kErrors) && half(failing_)) return fail(0.01, Outcome::kError);
    if (HasFault(send.replica, ScriptedFault::kFull) && six_in_ten(failing_))
      return fail(0.003, Outcome::kAtCapacity);
    if (FleetHasFault(ScriptedFault::kFleetErrors) && three_in_ten(failing_))
      return fail(0.01, Outcome::kError);
    SimulatedReplica& s = it->second;
    if (s.waiting.size() >= kQueueCapacity) return fail(0.003, Outcome::kAtCapacity);
    boost::random::lognormal_distribution<double> noise(0, 0.25);
    const double slow =
        HasFault(send.replica, ScriptedFault::kSlow) || FleetHasFault(ScriptedFault::kFleetSlow) ? 4 : 1;
    const double first = (0.03 + prompt_tokens_[send.id] / 6000) * noise(serving_) * s.time_factor * slow;
    s.waiting.push_back(
        {send.id, attempt, first, response_tokens_[send.id] * 0.004 * s.time_factor * slow, now_});
    Serve(send.replica);
  }

  void Serve(ReplicaId id) {
    SimulatedReplica& s = replicas_.at(id);
    while (s.running < kBatchSize && !s.waiting.empty()) {
      const Job r = s.waiting.front();
      s.waiting.pop_front();
      ++s.running;
      ScheduleAfter(r.first_token, [this, id, r] {
        if (!replicas_.contains(id)) return EndAttempt(r.id, r.attempt, id, Outcome::kReset, now_ - r.sent);
        Handle(ResponseStarted{r.id, r.attempt, id, now_ - r.sent});
        ScheduleAfter(r.rest, [this, id, r] {
          if (!replicas_.contains(id)) return EndAttempt(r.id, r.attempt, id, Outcome::kReset, now_ - r.sent);
          --replicas_.at(id).running;
          EndAttempt(r.id, r.attempt, id, Outcome::kServed, now_ - r.sent);
          if (replicas_.contains(id)) Serve(id);
        });
      });
    }
  }

  void EndAttempt(RequestId id, int attempt, ReplicaId replica, Outcome outcome, Time elapsed) {
    AttemptEnded e{id, attempt, replica, outcome, elapsed, outcome == Outcome::kServed, 0, {}};
    const auto it = replicas_.find(replica);
    if (it != replicas_.end() && outcome != Outcome::kConnectFailed) {
      const double load = it->second.running + static_cast<double>(it->second.waiting.size());
      e.load_report = {HasFault(replica, ScriptedFault::kLoaded) ? 3 * load + 6 : load};
    }
    Handle(e);
    if (outcome == Outcome::kServed) {
      response_tokens_.erase(id);
      prompt_tokens_.erase(id);
      attempts_.erase(id);
    }
  }

  void BeginFault() {
    fault_active_ = true;
    if (options_.fault == ScriptedFault::kDark) {
      list_unavailable_ = true;
      sink_(EndpointListRecord{Clock(), "watch", generation_, "silent", false});
      Handle(EndpointList{EndpointListScope::kFailed, 0, {}});
      // Half of the fleet is replaced while no list is available.
      int n = 0;
      std::vector<ReplicaId> replaced;
      for (const auto& [id, s] : replicas_) {
        if (n++ % 2 == 0) replaced.push_back(id);
      }
      for (const ReplicaId id : replaced) ReplaceReplica(id);
    } else if (options_.fault == ScriptedFault::kReplaced) {
      ReplaceReplica(result_.victim);
      PublishList(EndpointListScope::kFull, "watch");
    } else if (options_.fault == ScriptedFault::kDrained) {
      rate_factor_ = 2;
      replicas_.at(result_.victim).entry.state = EndpointState::kDraining;
      PublishList(EndpointListScope::kDelta, "watch");
    }
    if (options_.burst_failures_per_second > 0) AddFailingRequests();
  }

  void EndFault() {
    fault_active_ = false;
    rate_factor_ = 1;
    if (std::exchange(list_unavailable_, false)) PublishList(EndpointListScope::kFull, "watch");
    if (options_.fault == ScriptedFault::kDrained) {
      replicas_.at(result_.victim).entry.state = EndpointState::kReady;
      PublishList(EndpointListScope::kDelta, "watch");
    }
  }

  // Replaces the replica by another at the same address, with an id and a name of its own. Its attempts fail.
  void ReplaceReplica(ReplicaId id) {
    SimulatedReplica fresh = replicas_.at(id);
    RemoveReplica(id);
    fresh.entry.id += 0x100000;
    fresh.entry.started_at = Clock();
    fresh.name += "-b";
    fresh.running = 0;
    fresh.waiting.clear();
    replicas_.emplace(fresh.entry.id, std::move(fresh));
  }

  void RemoveReplica(ReplicaId id) {
    SimulatedReplica& s = replicas_.at(id);
    const std::deque<Job> waiting = std::move(s.waiting);
    replicas_.erase(id);
    for (const Job& r : waiting) EndAttempt(r.id, r.attempt, id, Outcome::kReset, now_ - r.sent);
  }

  // Adds requests of which every attempt fails at once, until the fault ends.
  void AddFailingRequests() {
    if (!fault_active_) return;
    for (int i = 0; i < 100; ++i) {
      RequestArrived a;
      a.id = (std::uint64_t{1} << 40) + ++requests_;
      a.prompt_tokens = 10;
      a.time_budget = 100'000;
      Decide(a, [this](const SendAttempt& send) {
        Handle(AttemptEnded{send.id, attempts_[send.id]++, send.replica, Outcome::kReset, 300, false, 0, {}});
      });
    }
    ScheduleAfter(100 / options_.burst_failures_per_second, [this] { AddFailingRequests(); });
  }

  FaultScenarioOptions options_;
  const std::function<void(const Record&)>& sink_;
  pcg64 arrivals_, prompts_, serving_, failing_;
  Router router_;
  Time now_;
  std::priority_queue<ScheduledCallback> queue_;
  std::unordered_map<std::uint64_t, std::function<void()>> callbacks_;
  std::uint64_t order_ = 0;
  std::map<ReplicaId, SimulatedReplica> replicas_;
  std::unordered_map<RequestId, double> response_tokens_, prompt_tokens_;
  std::unordered_map<RequestId, int> attempts_;
  std::uint64_t requests_ = 0;
  std::uint32_t generation_ = 0;
  double rate_factor_ = 1;
  bool fault_active_ = false, list_unavailable_ = false;
  std::vector<ReasonRecord> reasons_;
  FaultScenarioResult result_;
};

// Returns true if the anomaly is the one that the fault should raise.
bool IsExpected(ScriptedFault fault, const Anomaly& anomaly, ReplicaId victim) {
  const bool of_victim = !anomaly.fleet && anomaly.replica == victim;
  switch (fault) {
    case ScriptedFault::kErrors:
      return of_victim && anomaly.kind == AnomalyKind::kErrors;
    case ScriptedFault::kSlow:
      return of_victim && anomaly.kind == AnomalyKind::kFirstToken;
    case ScriptedFault::kFull:
      return of_victim && anomaly.kind == AnomalyKind::kRejections;
    case ScriptedFault::kCutOff:
      return of_victim &&
             (anomaly.kind == AnomalyKind::kErrors || anomaly.kind == AnomalyKind::kEndpointListContradicted);
    case ScriptedFault::kLoaded:
      return of_victim && anomaly.kind == AnomalyKind::kLoad;
    case ScriptedFault::kFleetSlow:
      return anomaly.fleet && anomaly.kind == AnomalyKind::kFirstToken;
    case ScriptedFault::kFleetErrors:
      return anomaly.fleet && anomaly.kind == AnomalyKind::kErrors;
    case ScriptedFault::kDark:
      return anomaly.fleet && anomaly.kind == AnomalyKind::kEndpointListUnavailable;
    default:
      return false;
  }
}

}  // namespace

const char* Name(ScriptedFault fault) { return kFaultNames[static_cast<std::size_t>(fault)]; }

ScriptedFault ParseScriptedFault(const std::string& name) {
  std::string all;
  for (std::size_t n = 0; n < std::size(kFaultNames); ++n) {
    if (name == kFaultNames[n]) return static_cast<ScriptedFault>(n);
    all += std::string(all.empty() ? "" : ", ") + kFaultNames[n];
  }
  throw std::runtime_error("'" + name + "' is not a fault; the faults are " + all);
}

FaultScenarioResult PlayFaultScenario(const FaultScenarioOptions& options,
                                      const std::function<void(const Record&)>& sink) {
  return FaultScenario(options, sink).Play();
}

std::string EncodeFaultScenario(const FaultScenarioOptions& options, FaultScenarioResult* result) {
  std::string out;
  const FaultScenarioResult r =
      PlayFaultScenario(options, [&](const Record& record) { timeline::EncodeRecord(record, out); });
  if (result != nullptr) *result = r;
  return out;
}

FaultScenarioResult WriteFaultScenario(const FaultScenarioOptions& options, const std::string& path,
                                       const std::function<void(double)>& progress) {
  std::ofstream file(path, std::ios::binary);
  file << timeline::FileHeader();
  std::string block;
  std::uint64_t number = 0;
  const FaultScenarioResult result = PlayFaultScenario(options, [&](const Record& record) {
    timeline::EncodeRecord(record, block);
    if (block.size() < std::size_t{64} * 1024) return;
    file << timeline::MakeBlock(block, number++);
    block.clear();
    if (progress && number % 64 == 0)
      progress(static_cast<double>(timeline::RecordTime(record) - options.clock_offset - options.start_time) /
               1e6 / options.seconds);
  });
  if (!block.empty()) file << timeline::MakeBlock(block, number);
  if (!file.flush()) throw std::runtime_error("cannot write " + path);
  return result;
}

std::vector<DetectionRow> MeasureDetection(int hours_each, int calm_hours,
                                           const std::function<void(int, int)>& progress) {
  static constexpr ScriptedFault kFaults[] = {
      ScriptedFault::kNone,      ScriptedFault::kErrors,      ScriptedFault::kSlow,
      ScriptedFault::kFull,      ScriptedFault::kCutOff,      ScriptedFault::kLoaded,
      ScriptedFault::kFleetSlow, ScriptedFault::kFleetErrors, ScriptedFault::kDark};
  std::vector<DetectionRow> rows;
  int done = 0;
  const int all = calm_hours + hours_each * (static_cast<int>(std::size(kFaults)) - 1);
  for (const ScriptedFault fault : kFaults) {
    DetectionRow row;
    row.fault = fault;
    const int hours = fault == ScriptedFault::kNone ? calm_hours : hours_each;
    for (int n = 0; n < hours; ++n) {
      FaultScenarioOptions o;
      o.seed = 1000 + static_cast<std::uint64_t>(n) * 7 + static_cast<std::uint64_t>(fault) * 1000;
      o.seconds = fault == ScriptedFault::kNone ? 3600 : 480;
      o.fault_at = 240;
      o.fault = fault;
      o.record_reasons = false;
      std::vector<Anomaly> events;
      timeline::AnomalyDetector detector([&](const Anomaly& anomaly) {
        if (anomaly.begins) events.push_back(anomaly);
      });
      const FaultScenarioResult result = PlayFaultScenario(o, [&](const Record& r) { detector.OnRecord(r); });
      ++row.scenarios;
      double first = -1;
      for (const Anomaly& anomaly : events) {
        // Events while the fault lasts, and for 30 s after it while the fleet recovers, are explained by it.
        const bool explained = fault != ScriptedFault::kNone && anomaly.now >= result.from &&
                               anomaly.now < result.to + 30'000'000;
        if (explained && IsExpected(fault, anomaly, result.victim) && first < 0)
          first = static_cast<double>(anomaly.now - result.from) / 1e6;
        if (!explained) ++row.other;
      }
      if (first >= 0) {
        ++row.found;
        row.delays.push_back(first);
      }
      if (progress) progress(++done, all);
    }
    std::sort(row.delays.begin(), row.delays.end());
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string DetectionTable(const std::vector<DetectionRow>& rows) {
  std::string out = fmt::format("{:<14} {:>6} {:>6} {:>10} {:>10} {:>10} {:>13}\n", "fault", "hours", "found",
                                "p50 s", "p90 s", "most s", "false alarms");
  for (const DetectionRow& r : rows) {
    const auto at = [&](double q) {
      return r.delays.empty()
                 ? std::string("-")
                 : fmt::format(
                       "{:.1f}",
                       r.delays[static_cast<std::size_t>(q * static_cast<double>(r.delays.size() - 1))]);
    };
    out += fmt::format("{:<14} {:>6} {:>6} {:>10} {:>10} {:>10} {:>13}\n",
                       r.fault == ScriptedFault::kNone ? "calm (3600 s)" : Name(r.fault), r.scenarios,
                       r.fault == ScriptedFault::kNone ? std::string("-") : std::to_string(r.found), at(0.5),
                       at(0.9), at(1), r.other);
  }
  return out;
}

}  // namespace ryeglade::lab
