// A stand-in for a model replica on loopback. It answers in the platform's protocol and in the OpenAI-style
// API, with a text that is a fixed function of the prompt, at a set speed and batch size, and does wrong what
// it is told to.
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

// How an attempt at a stand-in was over.
enum class FakeAttemptEnd : std::uint8_t { kCompleted, kRejected, kError, kReset, kClosedByNode };

// Sees every attempt at a stand-in, as it happens. Must not call back.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  // The last byte of its request has come; `from` is where the connection comes from.
  virtual void OnRequestReceived(std::size_t replica, Handle connection, const HttpRequest& request,
                                 const sockaddr_storage& from) = 0;
  virtual void OnResponseBytes(std::size_t replica, Handle connection,
                               std::string_view bytes) = 0;  // of its body
  virtual void OnAttemptEnded(std::size_t replica, Handle connection, FakeAttemptEnd how) = 0;
};

struct FakeReplicaOptions {
  ReplicaDialect dialect = ReplicaDialect::kOpenAi;
  std::uint64_t seed = 1;
  Time first_token = 20'000;  // microseconds, once it is its turn
  Time per_token = 2'000;
  int tokens_per_event = 4;
  int batch = 16;                       // answered side by side
  int queue = 32;                       // waiting beyond that; more is turned away
  Fault fault = Fault::kNone;           // of every request that has no mark of its own
  std::size_t tokens = 64;              // of an answer whose request sets no max_tokens
  double fault_share = 1;               // of the requests that `fault` befalls
  std::size_t number = 0;               // by which the tap knows it
  AttemptObserver* observer = nullptr;  // null: nobody listens
};

// What all stand-ins of one test saw together, and the rules that they check.
struct AttemptCounts {
  std::unordered_map<std::uint64_t, int> seen;     // attempts of each prompt
  std::unordered_map<std::uint64_t, int> running;  // of them out now
  std::uint64_t attempts = 0;
  std::uint64_t overlapping_attempts = 0;  // a broken rule
  std::uint64_t faulty_attempts = 0;       // attempts that were done wrong
};

class FakeReplica : public Front {
 public:
  FakeReplica(const Runtime* run, AttemptCounts* attempt_counts, FakeReplicaOptions options);
  std::string Listen();  // its ip:port
  void Close() {
    if (!std::exchange(closed_, true)) server_.Close();
  }
  FakeReplicaOptions& options() { return options_; }  // may change while it runs
  void CloseIdle() { server_.CloseIdle(); }           // a request may be on its way on one of them

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle connection) override;
  void OnBackpressure(Handle, bool) override {}

 private:
  struct Job {
    std::uint64_t prompt = 0;
    std::size_t tokens = 0, given = 0;
    std::size_t prompt_tokens = 0;
    bool chat = true, usage = false, begun = false, running = false;
    double max_tokens = 0;
    Fault fault = Fault::kNone;
    DeadlineId next{};
  };

  void Next();
  void Start(Handle connection);
  void Step(Handle connection);
  void Finish(Handle connection);
  void End(Handle connection, FakeAttemptEnd how);  // out of the table; the next one's turn
  void Send(Handle connection, const std::string& events);
  void Turn(Handle connection, int status);
  std::string Event(const Job& job, const std::string& text, bool last) const;
  std::string Usage(const Job& job) const;

  const Runtime* run_;
  AttemptCounts* attempt_counts_;
  FakeReplicaOptions options_;
  emulator::RandomStream chance_;
  Downstream server_;
  std::map<Handle, Job> jobs_;
  std::deque<Handle> waiting_;
  int running_ = 0;
  bool closed_ = false;
};

}  // namespace ryeglade::lab
