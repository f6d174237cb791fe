#include "timeline/request_trace_model.h"

#include <fmt/format.h>

#include <charconv>

#include "core/enum_names.h"

namespace ryeglade::timeline {
namespace {

constexpr std::size_t kMaxLines = 10'000;

double Ms(Time t) { return static_cast<double>(t) / 1000; }

}  // namespace

RequestTrace::RequestTrace(std::string id) : id_(std::move(id)) {
  if (id_.starts_with("req_")) id_.erase(0, 4);  // the prefix in the API's responses
  const auto [end, error] = std::from_chars(id_.data(), id_.data() + id_.size(), number_, 16);
  is_number_ = error == std::errc() && end == id_.data() + id_.size();
}

std::string RequestTrace::ReplicaTitle(policy::ReplicaId id) const {
  const auto it = timelines_.replicas().find(id);
  return it == timelines_.replicas().end() || it->second.name.empty()
             ? fmt::format("{:08x}", id)
             : fmt::format("{} ({:08x})", it->second.name, id);
}

// Describes the state of a replica at that time, and its open anomalies.
std::string RequestTrace::StateText(policy::ReplicaId id, Time at) const {
  std::string out;
  const auto it = timelines_.replicas().find(id);
  const StateSpan* span =
      it == timelines_.replicas().end() ? nullptr : ReplicaTimelines::SpanAt(it->second, at);
  if (span == nullptr) {
    out = "its state is not in the record";
  } else if (span->state == ReplicaState::kUnknown) {
    out = fmt::format("its state was unknown for {:.0f} ms ({}), last known {}", Ms(at - span->from),
                      span->reason, Name(span->last_known));
  } else {
    out =
        fmt::format("{} for {:.0f} ms according to {}", Name(span->state), Ms(at - span->from), span->reason);
  }
  for (const auto& [number, anomaly] : open_anomalies_) {
    if (anomaly.fleet || anomaly.replica == id)
      out += fmt::format("; anomaly: {} of {} since {:.0f} ms", Name(anomaly.kind),
                         anomaly.fleet ? "the fleet" : "it", Ms(at - anomaly.since));
  }
  return out;
}

void RequestTrace::AddLine(Time at, const std::string& text) {
  if (lines_.size() < kMaxLines) lines_.push_back(fmt::format("{} {}", at / 1000, text));
}

std::vector<std::string> RequestTrace::Lines() const { return lines_; }

void RequestTrace::AddRecord(const Record& record) {
  timelines_.AddRecord(record);
  if (std::holds_alternative<Start>(record) || std::holds_alternative<Gap>(record)) {
    for (const policy::RequestId id : traced_)
      lines_.push_back(
          fmt::format("-- {:x}: {} before it concluded --", id,
                      std::holds_alternative<Start>(record) ? "the node restarted" : "records are missing"));
    traced_.clear();
    matched_.clear();
    return;
  }
  if (const auto* anomaly = std::get_if<Anomaly>(&record)) {
    if (anomaly->begins) {
      open_anomalies_[anomaly->number] = *anomaly;
    } else {
      open_anomalies_.erase(anomaly->number);
    }
    return;
  }
  if (const auto* call = std::get_if<CallIdRecord>(&record)) {
    if (call->call_id == id_) {
      matched_[call->id] = call->call_id;
    } else {
      traced_.erase(call->id);  // the id has been reused for another request
    }
    return;
  }
  if (const auto* reason = std::get_if<ReasonRecord>(&record)) {
    if (const auto* dispatch = std::get_if<policy::DispatchRecord>(&reason->reason);
        dispatch != nullptr && IsTraced(dispatch->id)) {
      std::string text = fmt::format("  why {}: most spare capacity, {:.3g}", ReplicaTitle(dispatch->replica),
                                     dispatch->score * 1000);
      text += dispatch->runner_up_score > 0
                  ? fmt::format(" against {:.3g} at {}", dispatch->runner_up_score * 1000,
                                ReplicaTitle(dispatch->runner_up))
                  : std::string(", and none elsewhere");
      text += fmt::format(
          "; {} of {} replicas had spare capacity, {} of its {:.1f} in use, {:.0f} tokens to prefill; "
          "estimated runtime {:.0f} ms, queued for {:.0f} ms; {}",
          dispatch->candidates_with_capacity, dispatch->candidates, dispatch->in_flight,
          dispatch->concurrency_limit, dispatch->tokens_to_prefill,
          Ms(static_cast<Time>(dispatch->estimated_runtime)), Ms(dispatch->queued_for),
          StateText(dispatch->replica, reason->now));
      AddLine(reason->now, text);
    }
    if (const auto* conclusion = std::get_if<policy::ConclusionRecord>(&reason->reason);
        conclusion != nullptr && arrived_.contains(conclusion->id)) {
      AddLine(reason->now,
              fmt::format("  why: {}; {} attempts, {} requests queued, {} of {:.1f} in use",
                          ryeglade::Name(conclusion->reason), conclusion->attempts, conclusion->queue_length,
                          conclusion->in_flight, conclusion->total_concurrency_limit));
    }
    return;
  }
  const auto* decision = std::get_if<Decision>(&record);
  if (decision == nullptr) return;
  if (const auto* arrived = std::get_if<policy::RequestArrived>(&decision->event)) {
    const bool named = matched_.erase(arrived->id) > 0;
    if (!named && !(is_number_ && arrived->id == number_)) {
      traced_.erase(arrived->id);
      arrived_.erase(arrived->id);
      return;
    }
    ++found_;
    traced_.insert(arrived->id);
    arrived_[arrived->id] = decision->now;
    AddLine(decision->now,
            fmt::format("request {:x}{} arrives: class {}, {:g} prompt tokens ({:g} in the shared prefix), "
                        "max output {:g}, time budget {:.0f} ms{}",
                        arrived->id, named ? " (" + id_ + ")" : "", arrived->class_index,
                        arrived->prompt_tokens, arrived->prefix_tokens, arrived->max_answer_tokens,
                        Ms(arrived->time_budget), arrived->client_retry ? ", client retry" : ""));
  } else if (const auto* started = std::get_if<policy::ResponseStarted>(&decision->event);
             started != nullptr && IsTraced(started->id)) {
    AddLine(decision->now, fmt::format("first token from {} after {:.1f} ms", ReplicaTitle(started->replica),
                                       Ms(started->elapsed)));
  } else if (const auto* ended = std::get_if<policy::AttemptEnded>(&decision->event);
             ended != nullptr && IsTraced(ended->id)) {
    AddLine(decision->now, fmt::format("attempt {} at {} ends: {} after {:.1f} ms; {}", ended->attempt,
                                       ReplicaTitle(ended->replica), ryeglade::Name(ended->outcome),
                                       Ms(ended->elapsed), StateText(ended->replica, decision->now)));
    if (ended->outcome == policy::Outcome::kServed) {
      AddLine(decision->now,
              fmt::format("served, {:.1f} ms after arrival", Ms(decision->now - arrived_[ended->id])));
      traced_.erase(ended->id);
    }
  } else if (const auto* disconnected = std::get_if<policy::ClientDisconnected>(&decision->event);
             disconnected != nullptr && IsTraced(disconnected->id)) {
    AddLine(decision->now, fmt::format("client disconnected, {:.1f} ms after arrival",
                                       Ms(decision->now - arrived_[disconnected->id])));
  }
  for (const policy::Action& action : decision->actions) {
    if (const auto* send = std::get_if<policy::SendAttempt>(&action); send != nullptr && IsTraced(send->id)) {
      AddLine(decision->now, fmt::format("sent to {}", ReplicaTitle(send->replica)));
    } else if (const auto* reject = std::get_if<policy::RejectRequest>(&action);
               reject != nullptr && IsTraced(reject->id)) {
      AddLine(decision->now, fmt::format("rejected, {:.1f} ms after arrival; retry after {:.0f} ms",
                                         Ms(decision->now - arrived_[reject->id]), Ms(reject->retry_after)));
      traced_.erase(reject->id);
    } else if (const auto* fail = std::get_if<policy::FailRequest>(&action);
               fail != nullptr && IsTraced(fail->id)) {
      AddLine(decision->now,
              fmt::format("failed, {:.1f} ms after arrival", Ms(decision->now - arrived_[fail->id])));
      traced_.erase(fail->id);
    } else if (const auto* cancel = std::get_if<policy::CancelAttempt>(&action);
               cancel != nullptr && IsTraced(cancel->id)) {
      AddLine(decision->now, fmt::format("attempt {} is cancelled", cancel->attempt));
    }
  }
}

}  // namespace ryeglade::timeline
