// A fake model replica on loopback. It speaks the platform's protocol or the OpenAI-style API. Its response
// is a fixed function of the prompt, its speed and batch size are options, and it can inject faults.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/runtime.h"
#include "http/downstream.h"
#include "lab/emulator/random.h"
#include "lab/fault.h"

namespace ryeglade::lab {

enum class ReplicaDialect : std::uint8_t { kPlatform, kOpenAi };

// How an attempt at a fake replica ended.
enum class FakeAttemptEnd : std::uint8_t { kCompleted, kCutShort, kRejected, kError, kReset, kClosedByNode };

// Is called for every attempt at a fake replica, as it happens. Must not call the replica.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  // The last byte of the request was received. `from` is the peer address of the connection.
  virtual void OnRequestReceived(std::size_t replica, Handle connection, const HttpRequest& request,
                                 const sockaddr_storage& from) = 0;
  virtual void OnResponseBytes(std::size_t replica, Handle connection,
                               std::string_view bytes) = 0;  // of the response body
  virtual void OnAttemptEnded(std::size_t replica, Handle connection, FakeAttemptEnd how) = 0;
};

struct FakeReplicaOptions {
  ReplicaDialect dialect = ReplicaDialect::kOpenAi;
  std::uint64_t seed = 1;
  Time first_token = 20'000;  // from the time that a request enters the batch
  Time per_token = 2'000;
  int tokens_per_event = 4;
  int batch = 16;                       // requests answered at the same time
  int queue = 32;                       // requests that may wait beyond the batch; more are rejected
  Fault fault = Fault::kNone;           // of requests whose prompt names no fault
  std::size_t tokens = 64;              // length of the longest response, except for those of `long_from`
  std::size_t long_from = 0;            // who asks for at least so many tokens gets them all; 0: nobody
  double fault_share = 1;               // share of these requests that get `fault`
  std::size_t number = 0;               // replica number that the observer is given
  AttemptObserver* observer = nullptr;  // null: none
};

// Counts over all fake replicas of one test.
struct AttemptCounts {
  std::unordered_map<std::uint64_t, int> seen;     // attempts by PromptKey
  std::unordered_map<std::uint64_t, int> running;  // of these, those that have not ended
  std::uint64_t attempts = 0;
  std::uint64_t overlapping_attempts = 0;  // attempts that began while another of the same prompt was
                                           // running; a router must never send any
  std::uint64_t faulty_attempts = 0;       // attempts into which a fault was injected
};

class FakeReplica : public Front {
 public:
  FakeReplica(const Runtime* runtime, AttemptCounts* attempt_counts, FakeReplicaOptions options);
  std::string Listen();  // its ip:port
  void Close() {
    if (!std::exchange(closed_, true)) server_.Close();
  }
  FakeReplicaOptions& options() { return options_; }  // may change while it runs
  void CloseIdle() { server_.CloseIdle(); }           // connections, even if a request is on its way to them

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle connection) override;
  void OnBackpressure(Handle, bool) override {}

 private:
  struct Job {
    std::uint64_t prompt = 0;          // PromptKey
    std::size_t tokens = 0, sent = 0;  // length of the response, and how much of it was sent
    std::size_t prompt_tokens = 0;
    bool chat = true;       // false: a completions request
    bool usage = false;     // a usage event follows the response
    bool running = false;   // in the batch; false: waits for it, or never enters it
    double max_tokens = 0;  // as requested; 0: not set
    Fault fault = Fault::kNone;
    std::size_t events_before_cut = 0;  // for kCutShort
    DeadlineId next{};                  // of the next event
  };

  void StartWaitingJobs();
  void Start(Handle connection);
  void SendNextEvent(Handle connection);
  void Finish(Handle connection);
  bool SendEvent(Handle connection, const std::string& event);
  void ScheduleAfterEvent(Handle connection, Time delay, bool last);
  void End(Handle connection, FakeAttemptEnd how);  // removes the job and lets the next one start
  void Send(Handle connection, const std::string& events);
  void ReplyError(Handle connection, int status);  // 429 means that the request is rejected
  std::string Event(const Job& job, const std::string& text, bool last) const;
  std::string Usage(const Job& job) const;

  const Runtime* runtime_;
  AttemptCounts* attempt_counts_;
  FakeReplicaOptions options_;
  emulator::RandomStream fault_random_;
  Downstream server_;
  std::map<Handle, Job> jobs_;
  std::deque<Handle> waiting_;
  int running_ = 0;
  bool closed_ = false;
};

}  // namespace ryeglade::lab
