#include "lab/fake_replica.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "lab/text.h"
#include "openai/body.h"
#include "openai/strict_json.h"

namespace ryeglade::lab {
namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr Time kSlowWritePause = 300'000;  // microseconds, within each event of kSlowWrite

}  // namespace

FakeReplica::FakeReplica(const Runtime* runtime, AttemptCounts* attempt_counts, FakeReplicaOptions options)
    : runtime_(runtime),
      attempt_counts_(attempt_counts),
      options_(options),
      fault_random_(options.seed, emulator::RandomPurpose::kFailures, options.number),
      server_(
          runtime, this,
          {.listen = "127.0.0.1:0", .max_connections = 4096, .request_timeout = 60'000'000, .admits = {}}) {}

std::string FakeReplica::Listen() { return server_.Listen(); }

void FakeReplica::ReplyError(Handle connection, int status) {
  if (options_.dialect == ReplicaDialect::kPlatform) {
    const bool rejected = status == 429;
    return server_.Reply(connection, rejected ? 503 : status, rejected ? "X-Rejected: 1\r\n" : "", "");
  }
  const bool rejected = status == 429;
  server_.Reply(
      connection, status,
      std::string("Content-Type: application/json\r\n") + (rejected ? "Retry-After: 1\r\n" : ""),
      fmt::format("{{\"error\":{{\"message\":\"stand-in says {}\",\"type\":\"stand_in\",\"param\":null,"
                  "\"code\":null}}}}",
                  status));
}

void FakeReplica::OnRequest(Handle connection, HttpRequest request) {
  const std::string_view path = request.Path();
  if (path == "/ping" || path == "/_load") {
    return server_.Reply(connection, 200, "", fmt::format("qps=0,queue={},x0=0", waiting_.size()));
  }
  if (path == "/v1/models") {
    return server_.Reply(connection, 200, "Content-Type: application/json\r\n",
                         "{\"object\":\"list\",\"data\":[]}");
  }
  const bool chat = path == "/v1/chat/completions";
  if (!chat && path != "/v1/completions") return ReplyError(connection, 404);
  const std::string body = request.body.Text();
  const openai::BodyResult read =
      openai::ReadBody(body, chat ? openai::Endpoint::kChat : openai::Endpoint::kCompletions, false);
  if (!read.body) return ReplyError(connection, 400);

  Job job;
  job.prompt = PromptKey(body);
  job.chat = chat;
  job.usage = options_.dialect == ReplicaDialect::kPlatform || read.body->include_usage;
  job.prompt_tokens = read.body->prompt_bytes / kBytesPerToken + 1;
  job.tokens = options_.tokens;
  if (read.body->max_tokens) {
    job.max_tokens = *read.body->max_tokens;
    const auto wanted = static_cast<std::size_t>(job.max_tokens);
    const bool gets_all = options_.long_from > 0 && wanted >= options_.long_from;
    job.tokens = gets_all ? wanted : std::min(job.tokens, wanted);
  }
  job.fault = FaultInPrompt(body);
  if (job.fault == Fault::kNone && fault_random_.Chance(options_.fault_share)) job.fault = options_.fault;
  if (options_.observer != nullptr) {
    options_.observer->OnRequestReceived(options_.number, connection, request, server_.PeerOf(connection));
  }
  ++attempt_counts_->attempts;
  const int before = attempt_counts_->seen[job.prompt]++;
  if (attempt_counts_->running[job.prompt]++ > 0) ++attempt_counts_->overlapping_attempts;
  const Fault requested = job.fault;
  if (requested == Fault::kResetOnce) job.fault = before == 0 ? Fault::kResetBefore : Fault::kNone;
  if (requested == Fault::kBusyOnce) job.fault = before == 0 ? Fault::kBusy : Fault::kNone;
  if (requested == Fault::kErrorOnce) job.fault = before == 0 ? Fault::kError : Fault::kNone;
  if (job.fault != Fault::kNone) ++attempt_counts_->faulty_attempts;
  if (job.fault == Fault::kCutShort) {
    const std::size_t per_event = static_cast<std::size_t>(options_.tokens_per_event);
    const std::size_t events = (job.tokens + per_event - 1) / per_event + (job.usage ? 2 : 1);
    job.events_before_cut = fault_random_.Below(events);
  }
  const bool full = static_cast<int>(waiting_.size()) >= options_.queue;
  jobs_[connection] = job;
  if (job.fault == Fault::kBusy || full) {
    End(connection, FakeAttemptEnd::kRejected);
    return ReplyError(connection, 429);
  }
  if (job.fault == Fault::kError || job.fault == Fault::kBadRequest) {
    End(connection, FakeAttemptEnd::kError);
    return ReplyError(connection, job.fault == Fault::kError ? 500 : 400);
  }
  if (job.fault == Fault::kResetBefore) {
    End(connection, FakeAttemptEnd::kReset);
    return server_.Abort(connection);
  }
  if (job.fault == Fault::kSilent) return;
  waiting_.push_back(connection);
  StartWaitingJobs();
}

void FakeReplica::OnClientDisconnected(Handle connection) { End(connection, FakeAttemptEnd::kClosedByNode); }

void FakeReplica::Send(Handle connection, const std::string& events) {
  if (options_.observer != nullptr) options_.observer->OnResponseBytes(options_.number, connection, events);
  server_.Chunk(connection, events);
}

// Returns false if the response is cut short within this event, and has ended with the last chunk.
bool FakeReplica::SendEvent(Handle connection, const std::string& event) {
  Job& job = jobs_.at(connection);
  if (job.fault != Fault::kCutShort || job.events_before_cut-- > 0) {
    Send(connection, event);
    return true;
  }
  Send(connection, event.substr(0, fault_random_.Below(event.size())));
  End(connection, FakeAttemptEnd::kCutShort);
  server_.EndChunks(connection);
  return false;
}

void FakeReplica::End(Handle connection, FakeAttemptEnd how) {
  const auto it = jobs_.find(connection);
  if (it == jobs_.end()) return;
  if (options_.observer != nullptr) options_.observer->OnAttemptEnded(options_.number, connection, how);
  runtime_->deadlines->Cancel(it->second.next);
  --attempt_counts_->running[it->second.prompt];
  if (it->second.running) {
    --running_;
  } else {
    std::erase(waiting_, connection);
  }
  jobs_.erase(it);
  StartWaitingJobs();
}

void FakeReplica::StartWaitingJobs() {
  while (running_ < options_.batch && !waiting_.empty()) {
    const Handle connection = waiting_.front();
    waiting_.pop_front();
    Job& job = jobs_.at(connection);
    job.running = true;
    ++running_;
    job.next =
        runtime_->deadlines->Set(Now() + options_.first_token, [this, connection] { Start(connection); });
  }
}

void FakeReplica::Start(Handle connection) {
  Job& job = jobs_.at(connection);
  server_.BeginChunks(connection, "Content-Type: text/event-stream\r\n");
  if (options_.dialect == ReplicaDialect::kOpenAi) Send(connection, ": stand-in\n\n");
  if (job.fault == Fault::kErrorFirst) {
    Send(connection, "data: {\"error\":{\"message\":\"stand-in failed\",\"type\":\"stand_in\"}}\n\n");
    End(connection, FakeAttemptEnd::kCompleted);
    return server_.EndChunks(connection);
  }
  SendNextEvent(connection);
}

std::string FakeReplica::Event(const Job& job, const std::string& text, bool last) const {
  const std::string head =
      options_.dialect == ReplicaDialect::kPlatform
          ? ""
          : fmt::format(
                "\"id\":\"{}-{:016x}\",\"object\":\"{}\",\"created\":1700000000,\"model\":\"stand-in\",",
                job.chat ? "chatcmpl" : "cmpl", job.prompt,
                job.chat ? "chat.completion.chunk" : "text_completion");
  const std::string piece = job.chat || options_.dialect == ReplicaDialect::kPlatform
                                ? fmt::format("\"delta\":{{\"content\":{}}}", openai::QuoteJson(text))
                                : fmt::format("\"text\":{}", openai::QuoteJson(text));
  return fmt::format("data: {{{}\"choices\":[{{\"index\":0,{},\"finish_reason\":{}}}]}}\n\n", head, piece,
                     last ? "\"stop\"" : "null");
}

void FakeReplica::SendNextEvent(Handle connection) {
  Job& job = jobs_.at(connection);
  const bool middle = job.sent * 2 >= job.tokens;
  if (middle && job.sent > 0) {
    if (job.fault == Fault::kBreak) {
      End(connection, FakeAttemptEnd::kReset);
      return server_.Abort(connection);
    }
    if (job.fault == Fault::kStall) return;
    if (job.fault == Fault::kErrorEvent) {
      Send(connection, "data: {\"error\":{\"message\":\"stand-in failed\",\"type\":\"stand_in\"}}\n\n");
      End(connection, FakeAttemptEnd::kCompleted);
      return server_.EndChunks(connection);
    }
  }
  std::string text;
  const std::size_t to = std::min(job.tokens, job.sent + static_cast<std::size_t>(options_.tokens_per_event));
  const Time spent = static_cast<Time>(to - job.sent) * options_.per_token;
  for (; job.sent < to; ++job.sent) text += Token(job.prompt, options_.seed, job.sent);
  const bool last = job.sent >= job.tokens;
  const std::string event = Event(job, text, last);
  if (job.fault != Fault::kSlowWrite) {
    if (SendEvent(connection, event)) ScheduleAfterEvent(connection, spent, last);
    return;
  }
  Send(connection, event.substr(0, event.size() / 2));
  job.next = runtime_->deadlines->Set(Now() + kSlowWritePause, [this, connection, event, spent, last] {
    Send(connection, event.substr(event.size() / 2));
    ScheduleAfterEvent(connection, spent, last);
  });
}

void FakeReplica::ScheduleAfterEvent(Handle connection, Time delay, bool last) {
  jobs_.at(connection).next = runtime_->deadlines->Set(
      Now() + delay, [this, connection, last] { last ? Finish(connection) : SendNextEvent(connection); });
}

std::string FakeReplica::Usage(const Job& job) const {
  const std::size_t prompt = job.prompt_tokens, sent = job.sent;
  std::string answer = std::to_string(sent), total = std::to_string(prompt + sent), extra;
  if (job.fault == Fault::kUsageNegative) answer = "-" + answer;
  if (job.fault == Fault::kUsageFractional) answer += ".5";
  if (job.fault == Fault::kUsageHuge) answer = "99999999999999";
  if (job.fault == Fault::kUsageString) answer = "\"" + answer + "\"";
  if (job.fault == Fault::kUsageTwice) extra = ",\"completion_tokens\":1";
  if (job.fault == Fault::kUsageTotal) total = std::to_string(prompt + sent + 7);
  if (job.fault == Fault::kUsageOverLimit) {
    answer = std::to_string(static_cast<std::size_t>(job.max_tokens) + 1000);
    total = std::to_string(prompt + static_cast<std::size_t>(job.max_tokens) + 1000);
  }
  if (job.fault == Fault::kUsageContradicts) {
    answer = "0";
    total = std::to_string(prompt);
  }
  return fmt::format(
      "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{},"
      "\"prompt_tokens_details\":{{\"cached_tokens\":{}}}{}}}}}\n\n",
      prompt, answer, total, prompt / 2, extra);
}

void FakeReplica::Finish(Handle connection) {
  const Job job = jobs_.at(connection);
  if (job.usage && job.fault != Fault::kNoUsage && !SendEvent(connection, Usage(job))) return;
  if (job.fault != Fault::kNoDone && !SendEvent(connection, "data: [DONE]\n\n")) return;
  End(connection, FakeAttemptEnd::kCompleted);
  server_.EndChunks(connection);
}

}  // namespace ryeglade::lab
