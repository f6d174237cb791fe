// What a load run asks and what came of it, without I/O: when requests are due, and the tally by class and
// second. Arrivals are open-loop: each has its moment before the run starts, and its latency counts from that
// moment, so that a server that stalls, or this tool if it falls behind, does not hide what clients would
// have waited (coordinated omission).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "columnar/columnar_file.h"
#include "lab/latency.h"
#include "ryeglade/router.h"

namespace ryeglade::load {

using policy::Time;

struct Phase {              // the rate goes from one to the other in a line; alike: steady
  double from = 0, to = 0;  // requests a second
  double seconds = 0;
};
// "200/s:30s", "50/s-400/s:2m", "100/s:10s,300/s:10s". Throws std::runtime_error saying what is wrong and
// what the form is.
std::vector<Phase> ReadProfile(const std::string& text);

struct LoadClass {
  std::string name = "docs";  // "docs" or "agent": which model is asked
  double share = 1;
  Time latency_objective = 2'000'000, deadline = 10'000'000;
  double worth = 3, late_worth = 0.3;
};

struct Due {
  Time at = 0;  // since the start
  std::size_t cls = 0;
  std::size_t prompt_bytes = 0, tokens = 0;
  std::uint64_t beginning = 0;  // which shared one
  bool fresh = false;           // on a connection of its own, closed behind the answer
};

struct LoadPlan {
  std::vector<Phase> profile{{100, 100, 10}};
  std::vector<LoadClass> classes{LoadClass{}};
  std::uint64_t seed = 1;
  double churn = 0.1;  // share of requests on fresh connections
  std::size_t most_tokens = 32;
};

// Poisson arrivals along the profile, by thinning; the same for the same seed on every machine.
std::vector<Due> Arrivals(const LoadPlan& plan);

enum class Outcome : std::uint8_t {
  kServed,
  kRefused,
  kRejected,
  kFailed,
  kBroken,
  kNothing,
  kNotSent,
  kCount
};
const char* Name(Outcome outcome);

struct Answer {
  Outcome outcome = Outcome::kNothing;
  Time sent = 0, first = 0, ended = 0;  // since the start; 0: never
  bool retry_after = false;             // a refusal that said when to come back
};

class Tally {
 public:
  explicit Tally(const LoadPlan& plan);
  void Take(const Due& due, const Answer& answer);

  struct ByClass {
    std::uint64_t asked = 0, in_time = 0, with_retry_after = 0;
    std::uint64_t outcomes[static_cast<std::size_t>(Outcome::kCount)] = {};
    double worth = 0, worth_asked = 0;
    double tokens = 0,
           answering_ms = 0;  // of what was served: asked for, and from the first token to the end
    lab::Latencies first = lab::NewLatencies(), whole = lab::NewLatencies();  // ms, of what was served
  };
  struct Second {
    std::uint64_t asked = 0, served = 0, refused = 0, other = 0;
    lab::Latencies first = lab::NewLatencies();
  };
  const std::vector<ByClass>& classes() const { return classes_; }
  const std::map<std::int64_t, Second>& seconds() const { return seconds_; }  // by when they were due
  // How late this tool itself sent them, ms: what it adds to every latency. Over a few, the tool is the
  // limit.
  const lab::Latencies& late() const { return late_; }

  std::string Table() const;
  ColumnarFile ToFile(const std::string& how) const;
  std::string Chart(const std::string& out, const std::string& title) const;  // a gnuplot script

 private:
  LoadPlan plan_;
  std::vector<ByClass> classes_;
  std::map<std::int64_t, Second> seconds_;
  lab::Latencies late_ = lab::NewLatencies();
};

}  // namespace ryeglade::load
