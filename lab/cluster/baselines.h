// Failure detectors for comparison with the membership model, in the lab only, each implemented as its paper
// describes it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/emulator/random.h"
#include "ryeglade/router.h"

namespace ryeglade::cluster {

using policy::Time;

// The message of all baselines. Members are identified by number.
struct BaselineMessage {
  enum class Kind : std::uint8_t { kPing, kPingRequest, kAck, kHeartbeat } kind = Kind::kHeartbeat;
  std::uint64_t seq = 0;
  std::size_t target = 0;         // of a ping request: the member to ping
  std::uint64_t incarnation = 0;  // of the sender
  struct Update {
    std::size_t member = 0;
    std::uint64_t incarnation = 0;
    std::uint8_t state = 0;  // 0 alive, 1 suspect, 2 dead
  };
  std::vector<Update> updates;
};

// One node's failure detector. It sends messages and reports events through the functions in its setup.
class Baseline {
 public:
  using SendTo = std::function<void(std::size_t to, BaselineMessage message, std::size_t bytes)>;
  // Gets the name of a membership event, as in the node's log, and the member that it concerns.
  using ReportEvent = std::function<void(const char* what, std::size_t member)>;
  virtual ~Baseline() = default;
  // Does what is due at `now`; called several times in each period.
  virtual void Tick(Time now) = 0;
  virtual void Receive(Time now, std::size_t from, const BaselineMessage& message) = 0;
};

struct BaselineSetup {
  std::size_t self = 0, nodes = 0;
  std::vector<bool> present;  // by node: whether it runs at the start; these know each other without joining
  std::uint64_t incarnation = 1;
  Time period = 1'000'000, now = 0;  // probe or heartbeat period; the time of the start
  std::uint64_t seed = 1;
  Baseline::SendTo send;
  Baseline::ReportEvent report;
};

std::unique_ptr<Baseline> MakeSwim(BaselineSetup setup);
// With `phi`, deaths are decided by phi accrual, otherwise by a fixed time without a heartbeat.
std::unique_ptr<Baseline> MakeHeartbeat(BaselineSetup setup, bool phi);

}  // namespace ryeglade::cluster
