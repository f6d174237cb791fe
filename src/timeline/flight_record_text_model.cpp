#include "timeline/flight_record_text_model.h"

#include <fmt/format.h>

#include <cstddef>
#include <utility>
#include <variant>

#include "core/enum_names.h"

namespace ryeglade::timeline {
namespace {

using namespace policy;

double Ms(Time t) { return static_cast<double>(t) / 1000; }

std::string LoadText(const std::vector<double>& load) {
  std::string out;
  for (const double v : load) out += fmt::format("{}{:g}", out.empty() ? "" : ",", v);
  return out.empty() ? "none" : out;
}

struct EventText {
  std::string operator()(const EndpointList& e) const {
    static constexpr const char* kScopes[] = {"failed", "delta", "cached", "full"};
    const auto scope = static_cast<std::size_t>(e.scope);
    std::string out = fmt::format("endpoint list {} version {}", scope < 4 ? kScopes[scope] : "?", e.version);
    for (const Endpoint& r : e.endpoints) {
      static constexpr const char* kStates[] = {"removed", "ready", "draining"};
      const auto state = static_cast<std::size_t>(r.state);
      out += fmt::format(" {:08x}={}", r.id, state < 3 ? kStates[state] : "?");
    }
    return out;
  }
  std::string operator()(const RequestArrived& e) const {
    return fmt::format(
        "request {:x} class {} prompt {:g} tokens (shared prefix {:g}) max output {:g} time budget {:.0f} "
        "ms{}",
        e.id, e.class_index, e.prompt_tokens, e.prefix_tokens, e.max_answer_tokens, Ms(e.time_budget),
        e.client_retry ? " client retry" : "");
  }
  std::string operator()(const ResponseStarted& e) const {
    return fmt::format("started {:x}.{} at {:08x} after {:.1f} ms", e.id, e.attempt, e.replica,
                       Ms(e.elapsed));
  }
  std::string operator()(const AttemptEnded& e) const {
    return fmt::format("ended {:x}.{} at {:08x} {} after {:.1f} ms cached {:g} load {}{}", e.id, e.attempt,
                       e.replica, ryeglade::Name(e.outcome), Ms(e.elapsed), e.cached_tokens,
                       LoadText(e.load_report), e.request_concluded ? " concluded" : "");
  }
  std::string operator()(const ClientDisconnected& e) const {
    return fmt::format("client disconnected {:x}", e.id);
  }
  std::string operator()(const TimerFired& e) const { return fmt::format("timer {}", e.token); }
  std::string operator()(const HealthCheckCompleted& e) const {
    return fmt::format("probe of {:08x} {} after {:.1f} ms load {}", e.replica, ryeglade::Name(e.outcome),
                       Ms(e.elapsed), LoadText(e.load_report));
  }
  std::string operator()(const NodeCountChanged& e) const {
    return fmt::format("cluster of {} nodes", e.node_count);
  }
  std::string operator()(const TrafficShareChanged& e) const {
    return fmt::format("traffic share of this node is {:.4f}", e.share);
  }
  std::string operator()(const PeerReportsReceived& e) const {
    std::string out = "peer reports on " + std::to_string(e.replicas.size()) + " replicas:";
    for (const PeerReplicaReport& t : e.replicas) {
      const std::string orphaned =
          t.orphaned_in_flight > 0 ? fmt::format(" orphaned in flight {:.1f}", t.orphaned_in_flight) : "";
      out += fmt::format(" {:08x} slowness {:.2f} from {:.1f} samples{}{}", t.id, t.slowness,
                         t.slowness_samples, t.ejected_until > 0 ? " ejected" : "", orphaned);
    }
    return out;
  }
  std::string operator()(const PrefixTrafficReceived& e) const {
    return fmt::format("prefix traffic shares of {} prefixes", e.shares.size());
  }
  std::string operator()(const StateRestored& e) const {
    if (e.state == nullptr) return "restored no state";
    return fmt::format("restored state: base limit {:.2f} with {} nodes, {} runtime averages, {} replicas",
                       e.state->base_limit, e.state->node_count, e.state->runtime_by_bucket.size(),
                       e.state->replicas.size());
  }
  std::string operator()(const DeadlineShortened& e) const {
    return fmt::format("time budget of {:x} shortened to {:.0f} ms", e.id, Ms(e.time_budget));
  }
  std::string operator()(const SiblingInFlightChanged& e) const {
    int total = 0;
    for (const auto& [id, count] : e.in_flight) total += count;
    return fmt::format("sibling process has {} attempts in flight at {} replicas", total, e.in_flight.size());
  }
};

struct ReasonText {
  std::string operator()(const DispatchRecord& n) const {
    std::string out =
        fmt::format("{:x}.{} to {:08x}: spare capacity {:.3g}", n.id, n.attempt, n.replica, n.score * 1000);
    out += n.runner_up_score > 0
               ? fmt::format(" against {:.3g} at {:08x}", n.runner_up_score * 1000, n.runner_up)
               : " and none elsewhere";
    out += fmt::format(
        "; {} of {} replicas had spare capacity, {} of its {:.1f} in use, {:.0f} tokens to prefill; "
        "estimated "
        "runtime {:.0f} ms, queued for {:.0f} ms",
        n.candidates_with_capacity, n.candidates, n.in_flight, n.concurrency_limit, n.tokens_to_prefill,
        n.estimated_runtime / 1000, Ms(n.queued_for));
    return out;
  }
  std::string operator()(const ConclusionRecord& n) const {
    return fmt::format(
        "{:x} concluded: {}; {} attempts, {:.0f} ms after arrival, {} queued, {} of {:.1f} in use", n.id,
        ryeglade::Name(n.reason), n.attempts, Ms(n.open_for), n.queue_length, n.in_flight,
        n.total_concurrency_limit);
  }
  std::string operator()(const EjectionRecord& n) const {
    return fmt::format("{:08x} ejected until {}: {}, {} consecutive failures", n.replica,
                       n.ejected_until / 1000, ryeglade::Name(n.outcome), n.consecutive_failures);
  }
};

struct ActionText {
  std::string operator()(const SendAttempt& a) const {
    return fmt::format("send {:x} to {:08x}{}{}", a.id, a.replica,
                       a.timeout > 0 ? fmt::format(" timeout {:.0f} ms", Ms(a.timeout)) : "",
                       a.write_within > 0 ? fmt::format(" write within {:.0f} ms", Ms(a.write_within)) : "");
  }
  std::string operator()(const CancelAttempt& a) const {
    return fmt::format("cancel {:x}.{}", a.id, a.attempt);
  }
  std::string operator()(const RejectRequest& a) const {
    return fmt::format("reject {:x}, retry after {:.0f} ms", a.id, Ms(a.retry_after));
  }
  std::string operator()(const FailRequest& a) const { return fmt::format("fail {:x}", a.id); }
  std::string operator()(const MigrateStream& a) const { return fmt::format("migrate {:x}", a.id); }
  std::string operator()(const SetTimer& a) const {
    return fmt::format("timer {} in {:.1f} ms", a.token, Ms(a.delay));
  }
  std::string operator()(const CheckHealth& a) const { return fmt::format("probe {:08x}", a.replica); }
  std::string operator()(const WatchEndpoints& a) const {
    return a.enabled ? "watch the endpoint list" : "stop watching the endpoint list";
  }
  std::string operator()(const PollEndpoints&) const { return "poll the endpoint list"; }
};

// Times are Unix time in milliseconds.
struct RecordText {
  std::string operator()(const Start& start) const {
    return fmt::format("{} node {} starts, seed {:x}", start.now / 1000, start.node, start.seed);
  }
  std::string operator()(const Decision& decision) const {
    std::string text = fmt::format("{} {}", decision.now / 1000, std::visit(EventText(), decision.event));
    for (const Action& action : decision.actions) text += " -> " + std::visit(ActionText(), action);
    return text;
  }
  std::string operator()(const Gap& gap) const {
    if (gap.records == 0) return "-- records are missing here --";
    return fmt::format("-- {} records were dropped --", gap.records);
  }
  std::string operator()(const EndpointRecord& endpoint) const {
    return fmt::format("{} replica {:08x} is {} at {}{}", endpoint.now / 1000, endpoint.id, endpoint.name,
                       endpoint.address, endpoint.repeated ? " (repeated)" : "");
  }
  std::string operator()(const EndpointListRecord& list) const {
    if (list.unavailable_reason.empty())
      return fmt::format("{} endpoint list generation {} from {}{}", list.now / 1000, list.generation,
                         list.source, list.repeated ? " (repeated)" : "");
    return fmt::format("{} endpoint list unavailable: {} failed, {}; last known generation {}",
                       list.now / 1000, list.source, list.unavailable_reason, list.generation);
  }
  std::string operator()(const CoalescedDecisions& coalesced) const {
    std::string text = fmt::format(
        "{} until {}: {} decisions coalesced: {} arrived, {} sent, {} rejected, {} failed; attempts",
        coalesced.first / 1000, coalesced.last / 1000, coalesced.decisions, coalesced.arrived, coalesced.sent,
        coalesced.rejected, coalesced.failed);
    for (std::size_t outcome = 0; outcome < coalesced.outcomes.size(); ++outcome) {
      if (coalesced.outcomes[outcome] > 0)
        text +=
            fmt::format(" {}={}", ryeglade::Name(static_cast<Outcome>(outcome)), coalesced.outcomes[outcome]);
    }
    for (const CoalescedReplica& replica : coalesced.replicas)
      text += fmt::format(" {:08x}:{}/{}", replica.id, replica.failed, replica.sent);
    return text;
  }
  std::string operator()(const ReasonRecord& reason) const {
    return fmt::format("{} because {}", reason.now / 1000, std::visit(ReasonText(), reason.reason));
  }
  std::string operator()(const Anomaly& anomaly) const {
    const std::string where = anomaly.fleet ? "the fleet" : fmt::format("{:08x}", anomaly.replica);
    return fmt::format("{} anomaly #{} {} {} of {}: {:.4g} before, {:.4g} during, {:.4g} at peers, since {}",
                       anomaly.now / 1000, anomaly.number,
                       anomaly.begins ? "begins:" : "ends:", Name(anomaly.kind), where, anomaly.baseline,
                       anomaly.during, anomaly.peers, anomaly.since / 1000);
  }
  std::string operator()(const CallIdRecord& call) const {
    return fmt::format("{} request {:x} is {}", call.now / 1000, call.id, call.call_id);
  }
  std::string operator()(const ClusterEventRecord& event) const {
    return fmt::format("{} cluster: {} {} by {} ({}), {} nodes", event.now / 1000, event.what, event.member,
                       event.by.empty() ? "-" : event.by, event.value, event.live);
  }
};

}  // namespace

std::string ToText(const Record& record) { return std::visit(RecordText(), record); }

}  // namespace ryeglade::timeline
