// Model of a replica that answers with continuous batching (Yu et al., Orca, OSDI 2022), reads (prefills)
// prompts in chunks beside the running answers (Agrawal et al., Sarathi-Serve, OSDI 2024) and has a prefix
// cache in paged memory (Kwon et al., vLLM, SOSP 2023). It works in steps. In one step every running request
// produces one token and up to `chunk` tokens of prompts are read in the order of arrival; the step takes
//
//   (base + per_running * running + per_context * tokens in memory + per_read * tokens read) / speed
//   microseconds,
//
// so a replica slows down under load. The first token comes with the step that reads the prompt's last token.
// When memory runs out, cached prefixes are evicted first, the least recently used one before the others;
// then the request that arrived last is preempted: it returns to the head of the queue and reads all of its
// tokens again. While the replica warms up, its speed rises linearly from `slow_start_min_share` to 1. With
// `shortest_first` (SRPT), a waiting request with less left of its answer preempts a running one.
//
// Successive steps in which nothing changes are one event, because the sum of their durations is known. No
// I/O, no clock; times in microseconds.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <queue>
#include <unordered_map>
#include <vector>

#include "base/slot_table.h"
#include "ryeglade/router.h"

namespace ryeglade::emulator {

using policy::Time;

struct ReplicaSpec {
  double base_us = 6000;          // microseconds of each step, at speed 1
  double per_running_us = 40;     // added to a step per running request
  double per_context_us = 0.004;  // added per token in memory
  double per_read_us = 22;        // added per prompt token that the step reads
  int chunk = 512;                // maximum number of prompt tokens that a step reads
  int slots = 64;                 // maximum number of requests being read or answered
  int queue = 64;                 // maximum number of requests waiting for a slot; others are rejected
  double memory_tokens = 160'000;
  double speed = 1;
  bool shortest_first = false;  // the request with the least left of its answer is served first, preemptively
  Time slow_start_window = 0;   // microseconds from the replica's start until it is warm; 0: warm at once
  double slow_start_min_share = 1;  // of `speed`, at the replica's start
};

// A request as a replica receives it.
struct Job {
  std::uint64_t id = 0;
  double prompt = 1;                      // tokens
  double answer = 1;                      // tokens
  std::uint64_t prefix = 0, session = 0;  // keys of the prefix cache; 0: none
  double prefix_tokens = 0;               // length of the shared prefix
};

struct JobEvent {
  enum class Kind : std::uint8_t { kFirst, kDone } kind = Kind::kFirst;  // first token; end of the answer
  std::uint64_t id = 0;
  double cached = 0;  // prompt tokens that were found in the prefix cache
};

class Replica {
 public:
  static constexpr Time kNever = INT64_MAX;

  Replica(const ReplicaSpec& spec, Time started) : spec_(spec), started_(started) {}

  // Returns false if the request is rejected: the queue is full, or the request doesn't fit into memory.
  // Times must not decrease from call to call.
  bool Offer(Time now, const Job& job);
  // Returns false if there is no such request.
  bool Cancel(Time now, std::uint64_t id);
  std::vector<std::uint64_t> Jobs() const;  // ids of all present requests, ascending
  // Returns the time of the next event, kNever if there is none.
  Time Next() const { return plan_.steps > 0 ? plan_end_ : kNever; }
  // Advances the model to `now`, which is at most Next(), and appends what happens to `events` in order.
  void Run(Time now, std::vector<JobEvent>& events);

  // Requests being read or answered.
  int busy() const { return static_cast<int>(reading_.size()) + running_; }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  double unread() const { return unread_; }  // prompt tokens that are still to be read
  double used() const { return context_; }   // tokens in memory, without the prefix cache
  double cached() const { return cached_tokens_; }
  std::uint64_t preempted() const { return preempted_; }
  std::uint64_t read_tokens() const { return read_tokens_; }
  std::uint64_t answered_tokens() const { return answered_tokens_; }
  double Speed(Time now) const;
  // Changes the speed from the next step on.
  void SetSpeed(Time now, double speed);

 private:
  struct Request {
    Job job;
    double unread = 0;         // tokens that it still has to read
    double cached = 0;         // prompt tokens found in the prefix cache
    double context = 0;        // tokens in memory; while running, as of step `since`
    double answered = 0;       // answer tokens produced up to step `since`
    std::uint64_t since = 0;   // step at which it last started to run
    std::uint64_t finish = 0;  // step at which its answer is complete
    std::uint64_t order = 0;   // increases with every arrival
    enum class State : std::uint8_t { kWaiting, kReading, kRunning } state = State::kWaiting;
  };
  // The step at which the answer of a running request is complete.
  struct Finish {
    std::uint64_t step;
    Handle id;
    bool operator<(const Finish& o) const { return step != o.step ? step > o.step : id > o.id; }
  };
  // Successive steps in which the set of requests does not change.
  struct Plan {
    Time start = 0;
    std::uint64_t steps = 0;  // 0: there is nothing to do
    double first = 0;         // duration of the first step, microseconds
    double growth = 0;        // microseconds by which each step is longer than the one before
    double read = 0;          // prompt tokens read in each step
    double Length(double k) const { return k * first + growth * k * (k - 1) / 2; }  // of k steps
    double StepsIn(double span) const;  // number of steps in a time, not rounded
  };

  void Apply(std::uint64_t steps, std::vector<JobEvent>* events);
  void Admit();
  void MakePlan(Time now);
  // Ends the plan with the step that is in progress, so that a change takes effect from the next step on.
  void TruncatePlan(Time now);
  // Returns how many prompt tokens of the job the prefix cache holds, and marks them as recently used.
  double FindCached(const Job& job);
  void Cache(std::uint64_t key, double tokens);
  // Evicts cached prefixes until there is room for that many tokens or the cache is empty.
  void EvictFor(double wanted);
  double RemainingAnswer(const Request& request) const;  // answer tokens not produced yet
  void PreemptLongest();
  void Preempt(Handle request);
  Handle LastArrived();
  Request& At(Handle request) { return *requests_.Get(request); }

  ReplicaSpec spec_;
  Time started_;
  SlotTable<Request> requests_;
  std::deque<Handle> waiting_, reading_;
  std::priority_queue<Finish> finishing_;  // may hold entries of requests that were cancelled or preempted
  int running_ = 0;
  double context_ = 0, unread_ = 0;
  std::uint64_t step_ = 0, order_ = 0, preempted_ = 0, read_tokens_ = 0, answered_tokens_ = 0;
  Plan plan_;
  Time plan_end_ = kNever;
  struct CachedPrefix {
    std::uint64_t key;
    double tokens;
  };
  std::list<CachedPrefix> cache_;  // the most recently used one first
  std::unordered_map<std::uint64_t, std::list<CachedPrefix>::iterator> cache_by_key_;
  double cached_tokens_ = 0;
};

}  // namespace ryeglade::emulator
