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
  for (const auto& [n, u] : open_anomalies_) {
    if (u.fleet || u.replica == id)
      out += fmt::format("; anomaly: {} of {} since {:.0f} ms", Name(u.kind), u.fleet ? "the fleet" : "it",
                         Ms(at - u.since));
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
  if (const auto* u = std::get_if<Anomaly>(&record)) {
    if (u->begins) {
      open_anomalies_[u->number] = *u;
    } else {
      open_anomalies_.erase(u->number);
    }
    return;
  }
  if (const auto* n = std::get_if<CallIdRecord>(&record)) {
    if (n->call_id == id_) {
      matched_[n->id] = n->call_id;
    } else {
      traced_.erase(n->id);  // the id has been reused for another request
    }
    return;
  }
  if (const auto* n = std::get_if<ReasonRecord>(&record)) {
    if (const auto* send = std::get_if<policy::DispatchRecord>(&n->reason);
        send != nullptr && IsTraced(send->id)) {
      std::string text = fmt::format("  why {}: most spare capacity, {:.3g}", ReplicaTitle(send->replica),
                                     send->score * 1000);
      text += send->runner_up_score > 0 ? fmt::format(" against {:.3g} at {}", send->runner_up_score * 1000,
                                                      ReplicaTitle(send->runner_up))
                                        : std::string(", and none elsewhere");
      text += fmt::format(
          "; {} of {} replicas had spare capacity, {} of its {:.1f} in use, {:.0f} tokens to prefill; "
          "estimated runtime {:.0f} ms, queued for {:.0f} ms; {}",
          send->candidates_with_capacity, send->candidates, send->in_flight, send->concurrency_limit,
          send->tokens_to_prefill, Ms(static_cast<Time>(send->estimated_runtime)), Ms(send->queued_for),
          StateText(send->replica, n->now));
      AddLine(n->now, text);
    }
    if (const auto* end = std::get_if<policy::ConclusionRecord>(&n->reason);
        end != nullptr && arrived_.contains(end->id)) {
      AddLine(n->now, fmt::format("  why: {}; {} attempts, {} requests queued, {} of {:.1f} in use",
                                  ryeglade::Name(end->reason), end->attempts, end->queue_length,
                                  end->in_flight, end->total_concurrency_limit));
    }
    return;
  }
  const auto* d = std::get_if<Decision>(&record);
  if (d == nullptr) return;
  if (const auto* a = std::get_if<policy::RequestArrived>(&d->event)) {
    const bool named = matched_.erase(a->id) > 0;
    if (!named && !(is_number_ && a->id == number_)) {
      traced_.erase(a->id);
      arrived_.erase(a->id);
      return;
    }
    ++found_;
    traced_.insert(a->id);
    arrived_[a->id] = d->now;
    AddLine(
        d->now,
        fmt::format("request {:x}{} arrives: class {}, {:g} prompt tokens ({:g} in the shared prefix), "
                    "max output {:g}, time budget {:.0f} ms{}",
                    a->id, named ? " (" + id_ + ")" : "", a->class_index, a->prompt_tokens, a->prefix_tokens,
                    a->max_answer_tokens, Ms(a->time_budget), a->client_retry ? ", client retry" : ""));
  } else if (const auto* s = std::get_if<policy::ResponseStarted>(&d->event);
             s != nullptr && IsTraced(s->id)) {
    AddLine(d->now,
            fmt::format("first token from {} after {:.1f} ms", ReplicaTitle(s->replica), Ms(s->elapsed)));
  } else if (const auto* e = std::get_if<policy::AttemptEnded>(&d->event); e != nullptr && IsTraced(e->id)) {
    AddLine(d->now,
            fmt::format("attempt {} at {} ends: {} after {:.1f} ms; {}", e->attempt, ReplicaTitle(e->replica),
                        ryeglade::Name(e->outcome), Ms(e->elapsed), StateText(e->replica, d->now)));
    if (e->outcome == policy::Outcome::kServed) {
      AddLine(d->now, fmt::format("served, {:.1f} ms after arrival", Ms(d->now - arrived_[e->id])));
      traced_.erase(e->id);
    }
  } else if (const auto* g = std::get_if<policy::ClientDisconnected>(&d->event);
             g != nullptr && IsTraced(g->id)) {
    AddLine(d->now,
            fmt::format("client disconnected, {:.1f} ms after arrival", Ms(d->now - arrived_[g->id])));
  }
  for (const policy::Action& a : d->actions) {
    if (const auto* send = std::get_if<policy::SendAttempt>(&a); send != nullptr && IsTraced(send->id)) {
      AddLine(d->now, fmt::format("sent to {}", ReplicaTitle(send->replica)));
    } else if (const auto* r = std::get_if<policy::RejectRequest>(&a); r != nullptr && IsTraced(r->id)) {
      AddLine(d->now, fmt::format("rejected, {:.1f} ms after arrival; retry after {:.0f} ms",
                                  Ms(d->now - arrived_[r->id]), Ms(r->retry_after)));
      traced_.erase(r->id);
    } else if (const auto* f = std::get_if<policy::FailRequest>(&a); f != nullptr && IsTraced(f->id)) {
      AddLine(d->now, fmt::format("failed, {:.1f} ms after arrival", Ms(d->now - arrived_[f->id])));
      traced_.erase(f->id);
    } else if (const auto* c = std::get_if<policy::CancelAttempt>(&a); c != nullptr && IsTraced(c->id)) {
      AddLine(d->now, fmt::format("attempt {} is cancelled", c->attempt));
    }
  }
}

}  // namespace ryeglade::timeline
