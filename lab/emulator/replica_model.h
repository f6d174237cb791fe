// A model replica that answers by continuous batching (Yu et al., Orca, OSDI 2022), reads prompts in chunks
// beside the running answers (Agrawal et al., Sarathi-Serve, OSDI 2024) and keeps what it has read in paged
// memory (Kwon et al., vLLM, SOSP 2023). It works in steps. In one step every running request gets one token
// and up to `chunk` tokens of waiting prompts are read, first come first; the step takes
//
//   (base + per_running * running + per_context * tokens in memory + per_read * tokens read) / speed
//   microseconds
//
// so it slows down when crowded. The first token comes with the step that reads the prompt's last token. When
// memory runs out, kept beginnings go first, by least recent use; then the request that came last is put back
// to the head of the queue and reads all of its tokens anew. Cold, its speed rises in a line from `cold_from`
// to 1. Where the shortest goes first (SRPT), a request with less left than one that runs takes its place,
// and that one reads its tokens anew when its turn comes.
//
// Steps in which nothing changes are not played one by one: their sum is known, so a stretch of them is one
// event. No I/O, no clock; times in microseconds.
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
  double base_us = 6000;           // microseconds a step
  double per_running_us = 40;      // and request
  double per_context_us = 0.004;   // and token in memory
  double per_read_us = 22;         // and prompt token read
  int chunk = 512;                 // prompt tokens a step reads at most
  int slots = 64;                  // requests reading or running
  int queue = 64;                  // more waiting are turned away
  double memory_tokens = 160'000;  // tokens
  double speed = 1;
  bool shortest_first = false;  // what has least left of its answer goes first, before what runs
  Time slow_start_window = 0;   // from its start; 0: warm at once
  double slow_start_min_share = 1;
};

struct Job {
  std::uint64_t id = 0;
  double prompt = 1;  // tokens
  double answer = 1;
  std::uint64_t prefix = 0, session = 0;  // 0: none
  double prefix_tokens = 0;
};

struct JobEvent {
  enum class Kind : std::uint8_t { kFirst, kDone } kind = Kind::kFirst;
  std::uint64_t id = 0;
  double kept = 0;  // of the prompt, found in memory
};

class Replica {
 public:
  static constexpr Time kNever = INT64_MAX;

  Replica(const ReplicaSpec& spec, Time started) : spec_(spec), started_(started) {}

  // False: turned away. Times must not step back.
  bool Offer(Time now, const Job& job);
  // False: it is not here.
  bool Cancel(Time now, std::uint64_t id);
  std::vector<std::uint64_t> Jobs() const;  // that are here, in the order of their numbers
  // When something happens next.
  Time Next() const { return plan_.steps > 0 ? plan_end_ : kNever; }
  // Plays up to `now`, which is at most Next(); what happens is appended in order.
  void Run(Time now, std::vector<JobEvent>& events);

  int busy() const { return static_cast<int>(reading_.size()) + running_; }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  double unread() const { return unread_; }  // prompt tokens that are still to be read
  double used() const { return context_; }   // tokens in memory, without what is kept
  double kept() const { return kept_tokens_; }
  std::uint64_t preempted() const { return preempted_; }
  std::uint64_t read_tokens() const { return read_tokens_; }
  std::uint64_t given_tokens() const { return given_tokens_; }
  double Speed(Time now) const;
  // Another speed, from the next step on.
  void Respeed(Time now, double speed);

 private:
  struct Part {  // a request that is here
    Job job;
    double unread = 0;  // of what it must read
    double kept = 0;
    double context = 0;        // tokens in memory, as of `since` when it runs
    double given = 0;          // answer tokens before it was last put back
    std::uint64_t since = 0;   // the step with which it began to run
    std::uint64_t finish = 0;  // the step with which it is done
    std::uint64_t order = 0;   // of its coming
    enum class At : std::uint8_t { kWaiting, kReading, kRunning } at = At::kWaiting;
  };
  struct Finish {
    std::uint64_t step;
    Handle id;
    bool operator<(const Finish& o) const { return step != o.step ? step > o.step : id > o.id; }
  };
  struct Plan {
    Time start = 0;
    std::uint64_t steps = 0;  // 0: nothing to do
    double first = 0;         // of its first step, microseconds
    double growth = 0;        // by which each step is longer than the one before
    double read = 0;          // prompt tokens read in each step
    double Length(double k) const { return k * first + growth * k * (k - 1) / 2; }
    double StepsIn(double span) const;
  };

  void Apply(std::uint64_t steps, std::vector<JobEvent>* events);
  void Admit();
  void MakePlan(Time now);
  void Shorten(Time now);  // what has changed counts from the next step on
  double Kept(const Job& job);
  void Keep(std::uint64_t key, double tokens);
  void MakeRoom(double wanted);
  double Left(const Part& part) const;  // of its answer, tokens
  void Preempt();                       // where the shortest goes first
  void PutBack(Handle part);
  Handle Latest();
  Part& At(Handle part) { return *parts_.Get(part); }

  ReplicaSpec spec_;
  Time started_;
  SlotTable<Part> parts_;  // all below names them by their handles here
  std::deque<Handle> waiting_, reading_;
  std::priority_queue<Finish> finishing_;  // some may be gone
  int running_ = 0;
  double context_ = 0, unread_ = 0;
  std::uint64_t step_ = 0, order_ = 0, preempted_ = 0, read_tokens_ = 0, given_tokens_ = 0;
  Plan plan_;
  Time plan_end_ = kNever;
  struct KeptItem {
    std::uint64_t key;
    double tokens;
  };
  std::list<KeptItem> kept_;  // the one used last in front
  std::unordered_map<std::uint64_t, std::list<KeptItem>::iterator> kept_by_key_;
  double kept_tokens_ = 0;
};

}  // namespace ryeglade::emulator
