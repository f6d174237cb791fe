#include "timeline/request_trace_model.h"

#include <fmt/format.h>

#include <charconv>

#include "core/enum_names.h"

namespace ryeglade::timeline {
namespace {

constexpr std::size_t kMostLines = 10'000;

double Ms(Time t) { return static_cast<double>(t) / 1000; }

}  // namespace

Story::Story(std::string id) : id_(std::move(id)) {
  if (id_.starts_with("req_")) id_.erase(0, 4);  // as the API's answers have it
  const auto [end, error] = std::from_chars(id_.data(), id_.data() + id_.size(), number_, 16);
  is_number_ = error == std::errc() && end == id_.data() + id_.size();
}

std::string Story::Who(policy::ReplicaId id) const {
  const auto it = lanes_.lanes().find(id);
  return it == lanes_.lanes().end() || it->second.name.empty()
             ? fmt::format("{:08x}", id)
             : fmt::format("{} ({:08x})", it->second.name, id);
}

// What was known of a replica just then, and what was unusual about it.
std::string Story::State(policy::ReplicaId id, Time at) const {
  std::string out;
  const auto it = lanes_.lanes().find(id);
  const LaneSpan* span = it == lanes_.lanes().end() ? nullptr : Lanes::At(it->second, at);
  if (span == nullptr) {
    out = "the record does not say what the roster said of it";
  } else if (span->state == LaneState::kUnknown) {
    out = fmt::format("its state was unknown for {:.0f} ms ({}), last known {}", Ms(at - span->from),
                      span->why, Name(span->known));
  } else {
    out = fmt::format("{} for {:.0f} ms, says {}", Name(span->state), Ms(at - span->from), span->why);
  }
  for (const auto& [n, u] : open_) {
    if (u.fleet || u.replica == id)
      out += fmt::format("; unusual: {} of {} since {:.0f} ms", Name(u.kind), u.fleet ? "the fleet" : "it",
                         Ms(at - u.since));
  }
  return out;
}

void Story::Say(Time at, const std::string& words) {
  if (lines_.size() < kMostLines) lines_.push_back(fmt::format("{} {}", at / 1000, words));
}

std::vector<std::string> Story::Lines() const { return lines_; }

void Story::Take(const Record& record) {
  lanes_.Take(record);
  if (std::holds_alternative<Start>(record) || std::holds_alternative<Gap>(record)) {
    for (const policy::RequestId id : mine_)
      lines_.push_back(fmt::format(
          "-- {:x}: {} before its end --", id,
          std::holds_alternative<Start>(record) ? "the node started anew" : "records are missing"));
    mine_.clear();
    named_.clear();
    return;
  }
  if (const auto* u = std::get_if<Unusual>(&record)) {
    if (u->begins) {
      open_[u->number] = *u;
    } else {
      open_.erase(u->number);
    }
    return;
  }
  if (const auto* n = std::get_if<Named>(&record)) {
    if (n->call_id == id_) {
      named_[n->id] = n->call_id;
    } else {
      mine_.erase(n->id);  // the number has a new owner
    }
    return;
  }
  if (const auto* n = std::get_if<Note>(&record)) {
    if (const auto* send = std::get_if<policy::DispatchRecord>(&n->what); send != nullptr && Mine(send->id)) {
      std::string words = fmt::format("  why {}: most room, {:.3g}", Who(send->replica), send->score * 1000);
      words += send->runner_up_score > 0
                   ? fmt::format(" against {:.3g} at {}", send->runner_up_score * 1000, Who(send->runner_up))
                   : std::string(", and none elsewhere");
      words += fmt::format(
          "; {} of {} replicas had room, {} of its {:.1f} in use, {:.0f} tokens to read; estimate {:.0f} ms, "
          "held {:.0f} ms; {}",
          send->candidates_with_capacity, send->candidates, send->in_flight, send->concurrency_limit,
          send->tokens_to_prefill, Ms(static_cast<Time>(send->estimated_runtime)), Ms(send->queued_for),
          State(send->replica, n->now));
      Say(n->now, words);
    }
    if (const auto* end = std::get_if<policy::ConclusionRecord>(&n->what);
        end != nullptr && arrived_.contains(end->id)) {
      Say(n->now, fmt::format("  why: {}; {} attempts, {} requests held here, {} of {:.1f} in use",
                              ryeglade::Name(end->reason), end->attempts, end->queue_length, end->in_flight,
                              end->total_concurrency_limit));
    }
    return;
  }
  const auto* d = std::get_if<Decision>(&record);
  if (d == nullptr) return;
  if (const auto* a = std::get_if<policy::RequestArrived>(&d->event)) {
    const bool named = named_.erase(a->id) > 0;
    if (!named && !(is_number_ && a->id == number_)) {
      mine_.erase(a->id);
      arrived_.erase(a->id);
      return;
    }
    ++found_;
    mine_.insert(a->id);
    arrived_[a->id] = d->now;
    Say(d->now, fmt::format("request {:x}{} arrives: class {}, {:g} tokens ({:g} shared), answer up to {:g}, "
                            "{:.0f} ms left{}",
                            a->id, named ? " (" + id_ + ")" : "", a->class_index, a->prompt_tokens,
                            a->prefix_tokens, a->max_answer_tokens, Ms(a->time_budget),
                            a->client_retry ? ", its client has asked before" : ""));
  } else if (const auto* s = std::get_if<policy::ResponseStarted>(&d->event); s != nullptr && Mine(s->id)) {
    Say(d->now, fmt::format("first token from {} after {:.1f} ms", Who(s->replica), Ms(s->elapsed)));
  } else if (const auto* e = std::get_if<policy::AttemptEnded>(&d->event); e != nullptr && Mine(e->id)) {
    Say(d->now, fmt::format("attempt {} at {} ends: {} after {:.1f} ms; {}", e->attempt, Who(e->replica),
                            ryeglade::Name(e->outcome), Ms(e->elapsed), State(e->replica, d->now)));
    if (e->outcome == policy::Outcome::kServed) {
      Say(d->now, fmt::format("served, {:.1f} ms after it came", Ms(d->now - arrived_[e->id])));
      mine_.erase(e->id);
    }
  } else if (const auto* g = std::get_if<policy::ClientDisconnected>(&d->event);
             g != nullptr && Mine(g->id)) {
    Say(d->now, fmt::format("its client left, {:.1f} ms after it came", Ms(d->now - arrived_[g->id])));
  }
  for (const policy::Action& a : d->actions) {
    if (const auto* send = std::get_if<policy::SendAttempt>(&a); send != nullptr && Mine(send->id)) {
      Say(d->now, fmt::format("sent to {}", Who(send->replica)));
    } else if (const auto* r = std::get_if<policy::RejectRequest>(&a); r != nullptr && Mine(r->id)) {
      Say(d->now, fmt::format("refused, {:.1f} ms after it came; back in {:.0f} ms",
                              Ms(d->now - arrived_[r->id]), Ms(r->retry_after)));
      mine_.erase(r->id);
    } else if (const auto* f = std::get_if<policy::FailRequest>(&a); f != nullptr && Mine(f->id)) {
      Say(d->now, fmt::format("failed, {:.1f} ms after it came", Ms(d->now - arrived_[f->id])));
      mine_.erase(f->id);
    } else if (const auto* c = std::get_if<policy::CancelAttempt>(&a); c != nullptr && Mine(c->id)) {
      Say(d->now, fmt::format("attempt {} is cancelled", c->attempt));
    }
  }
}

}  // namespace ryeglade::timeline
