#include "lab/cluster/emulated.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <stdexcept>
#include <utility>
#include <variant>

#include "base/gnuplot.h"
#include "lab/cluster/baselines.h"
#include "lab/cluster/link_model.h"

namespace ryeglade::cluster {
namespace {

constexpr Time kOneWayDelay = 150;        // microseconds for every message, in addition to its link's faults
constexpr std::size_t kMaxWaiting = 250;  // datagrams that the socket of a paused process buffers
// Microseconds from SIGTERM to the exit of a node with few open requests.
constexpr Time kShutdownTime = 1'500'000;
// The time origin of incarnations, in milliseconds.
constexpr std::uint64_t kFirstIncarnationMs = 1'700'000'000'000;

using membership::Message;
using Packet = std::variant<Message, BaselineMessage>;

std::string AddressOf(std::size_t node) { return fmt::format("e:{}", node); }
std::size_t NodeOf(const std::string& address) {
  std::size_t n = SIZE_MAX;
  if (address.size() > 2) std::from_chars(address.data() + 2, address.data() + address.size(), n);
  return n;
}

struct Arrival {
  std::size_t from = 0;
  std::shared_ptr<const Packet> packet;
  enum class Kind : std::uint8_t { kDatagram, kRequest, kAnswer } kind = Kind::kDatagram;
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, const EmulatedOptions& options)
      : scenario_(scenario),
        options_(options),
        checker_(scenario),
        steps_(ProcessSteps(scenario)),
        nodes_(scenario.nodes),
        sent_(scenario.nodes) {
    for (std::size_t i = 0; i < scenario_.nodes * scenario_.nodes; ++i) links_.emplace_back(options_.seed, i);
    addresses_.reserve(scenario_.nodes);
    for (std::size_t i = 0; i < scenario_.nodes; ++i) addresses_.push_back(AddressOf(i));
  }

  EmulatedResult Run() {
    std::vector<bool> absent(scenario_.nodes, false);
    for (const Fault& f : scenario_.faults) {
      if (f.what != Fault::What::kAbsent) continue;
      for (const std::size_t n : f.nodes) absent[n] = true;
    }
    present_.assign(scenario_.nodes, true);
    for (std::size_t i = 0; i < scenario_.nodes; ++i) present_[i] = !absent[i];
    for (std::size_t i = 0; i < scenario_.nodes; ++i) {
      if (!absent[i]) Start(i);
    }
    const Time end = ToTime(scenario_.length);
    std::size_t step = 0;
    while (true) {
      const Time next_step = step < steps_.size() ? ToTime(steps_[step].at) : end;
      const Time next_event = queue_.empty() ? end : queue_.top().at;
      if (std::min(next_step, next_event) >= end) break;
      if (next_step <= next_event) {
        now_ = next_step;
        ApplyStep(steps_[step++]);
        continue;
      }
      Event e = queue_.top();
      queue_.pop();
      now_ = e.at;
      ++events_;
      HandleEvent(e);
    }
    now_ = end;
    EmulatedResult r;
    r.verdict = checker_.Check(scenario_.length);
    r.events = events_;
    const double periods = scenario_.length;  // without the warm-up
    for (const auto& [messages, bytes] : sent_) {
      r.messages += static_cast<double>(messages) / periods / static_cast<double>(scenario_.nodes);
      r.bytes += static_cast<double>(bytes) / periods / static_cast<double>(scenario_.nodes);
      r.max_node_bytes = std::max(r.max_node_bytes, static_cast<double>(bytes) / periods);
    }
    r.periods_to_all = PeriodsToAll();
    if (!options_.chart.empty()) RunGnuplot(checker_.Chart(options_.chart, scenario_.length));
    if (options_.events != nullptr) *options_.events = checker_.events();
    return r;
  }

 private:
  struct Node {
    std::unique_ptr<membership::MembershipModel> model;
    std::unique_ptr<Baseline> baseline;
    bool up = false, stopped = false;
    bool leaving = false;
    // Number of the node's current process, so that an event for one process does not reach the next.
    std::uint64_t process_number = 0;
    std::deque<Arrival> waiting;
  };
  struct Event {
    Time at = 0;
    std::uint64_t order = 0;  // events at the same time are handled in the order of scheduling
    std::size_t node = 0;
    std::uint64_t process_number = 0;  // the process that a tick is for
    std::optional<Arrival> arrival;    // empty for a tick
    bool last = false;                 // true if the leaving process exits now
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  // The warm-up comes before period 0; the offset of 1 s keeps the clock positive.
  Time ToTime(double periods) const {
    return static_cast<Time>((periods + scenario_.warm_up) * static_cast<double>(scenario_.period)) +
           1'000'000;
  }
  double ToPeriods(Time t) const {
    return static_cast<double>(t - 1'000'000) / static_cast<double>(scenario_.period) - scenario_.warm_up;
  }
  bool UsesMembershipModel() const {
    return options_.detector != "swim" && options_.detector != "heartbeat" && options_.detector != "phi";
  }
  void Schedule(Event e) {
    e.order = ++last_order_;
    queue_.push(std::move(e));
  }

  void Start(std::size_t i) {
    Node& n = nodes_[i];
    if (n.up) return;
    n.up = true;
    n.stopped = n.leaving = false;
    n.waiting.clear();
    ++n.process_number;
    const double at = ToPeriods(now_);
    checker_.ProcessStarted(at, i);
    checker_.AddEvent({at, i, "started", "", "", 0});
    const std::uint64_t incarnation =
        kFirstIncarnationMs + static_cast<std::uint64_t>(now_ / 1000) + n.process_number;
    if (UsesMembershipModel()) {
      membership::MembershipOptions o = OptionsFor(options_.detector, scenario_.period);
      for (std::size_t k = 0; k < std::min(scenario_.seeds, scenario_.nodes); ++k)
        o.seeds.push_back(AddressOf(k));
      if (std::binary_search(scenario_.old_wire.begin(), scenario_.old_wire.end(), i)) o.schema = 1;
      if (std::binary_search(scenario_.other_cluster.begin(), scenario_.other_cluster.end(), i))
        o.cluster = "other";
      membership::MemberRecord self;
      self.name = scenario_.NodeName(i);
      self.address = AddressOf(i);
      self.zone = scenario_.ZoneOf(i);
      self.incarnation = incarnation;
      auto stream = std::make_shared<emulator::RandomStream>(options_.seed, emulator::RandomPurpose::kPolicy,
                                                             i * 1000 + n.process_number);
      const auto draw = [stream] { return (stream->Below(1ULL << 32) << 32) | stream->Below(1ULL << 32); };
      self.uid = (incarnation << 20) | (draw() & 0xfffff);
      n.model = std::make_unique<membership::MembershipModel>(o, self, now_, draw);
    } else {
      BaselineSetup setup;
      setup.self = i;
      setup.nodes = scenario_.nodes;
      setup.present = present_;
      setup.incarnation = incarnation;
      setup.period = scenario_.period;
      setup.now = now_;
      setup.seed = options_.seed * 7919 + n.process_number;
      setup.send = [this, i](std::size_t to, BaselineMessage p, std::size_t bytes) {
        Datagram(i, to, std::make_shared<const Packet>(std::move(p)), bytes);
      };
      setup.report = [this, i](const char* what, std::size_t member) {
        checker_.AddEvent({ToPeriods(now_), i, what, scenario_.NodeName(member), scenario_.NodeName(i), 0});
      };
      n.baseline =
          options_.detector == "swim" ? MakeSwim(setup) : MakeHeartbeat(setup, options_.detector == "phi");
    }
    Schedule({now_ + 1, 0, i, n.process_number, std::nullopt});
  }

  static void StopProcess(Node& n) {
    n.up = n.stopped = n.leaving = false;
    ++n.process_number;
  }

  void ApplyStep(const Step& step) {
    Node& n = nodes_[step.node];
    switch (step.act) {
      case Step::Do::kStart:
        Start(step.node);
        break;
      case Step::Do::kTerm:
        if (n.up && n.model) {
          if (n.leaving) break;
          n.leaving = true;
          checker_.ProcessEnded(ToPeriods(now_), step.node);
          actions_.Clear();
          n.model->Leave(now_, actions_);
          PerformActions(step.node);
          Schedule({now_ + kShutdownTime, 0, step.node, n.process_number, std::nullopt, true});
          break;
        }
        [[fallthrough]];
      case Step::Do::kKill:
        if (!n.up) break;
        if (!n.leaving) checker_.ProcessEnded(ToPeriods(now_), step.node);
        StopProcess(n);
        break;
      case Step::Do::kStop:
        n.stopped = n.up;
        break;
      case Step::Do::kContinue: {
        if (!n.up || !n.stopped) break;
        n.stopped = false;
        std::deque<Arrival> waiting = std::move(n.waiting);
        n.waiting.clear();
        for (Arrival& a : waiting) Schedule({now_, 0, step.node, n.process_number, std::move(a)});
        Schedule({now_ + 1, 0, step.node, n.process_number, std::nullopt});
        if (n.leaving)
          Schedule({now_ + kShutdownTime / 8, 0, step.node, n.process_number, std::nullopt, true});
        break;
      }
      case Step::Do::kHotRestart:  // emulated as the same process with a new incarnation
        if (n.up) {
          StopProcess(n);
          checker_.ProcessEnded(ToPeriods(now_), step.node);
          Start(step.node);
        }
        break;
      case Step::Do::kFlood:  // random datagrams fail the checksum
        break;
    }
  }

  void HandleEvent(Event& e) {
    Node& n = nodes_[e.node];
    if (!n.up) return;
    if (!e.arrival) {
      if (e.process_number != n.process_number || n.stopped) return;
      if (e.last) {
        actions_.Clear();
        n.model->AnnounceLeft(now_, actions_);
        PerformActions(e.node);
        return StopProcess(n);
      }
      if (n.model) {
        actions_.Clear();
        n.model->Tick(now_, actions_);
        PerformActions(e.node);
      } else {
        n.baseline->Tick(now_);
      }
      Schedule({now_ + scenario_.period / 10, 0, e.node, n.process_number, std::nullopt});
      return;
    }
    if (n.stopped) {
      if (n.waiting.size() < kMaxWaiting) n.waiting.push_back(std::move(*e.arrival));
      return;
    }
    const Arrival& a = *e.arrival;
    if (const auto* baseline_message = std::get_if<BaselineMessage>(a.packet.get())) {
      n.baseline->Receive(now_, a.from, *baseline_message);
      return;
    }
    const Message& m = std::get<Message>(*a.packet);
    if (*n.model->RejectReason(m) != '\0') return;
    actions_.Clear();
    if (a.kind == Arrival::Kind::kDatagram) {
      n.model->OnMessage(now_, addresses_[a.from], m, actions_);
      PerformActions(e.node);
      return;
    }
    n.model->OnPushPull(now_, m, a.kind == Arrival::Kind::kAnswer, actions_);
    PerformActions(e.node);
    if (a.kind == Arrival::Kind::kRequest) SendPushPull(e.node, a.from, Arrival::Kind::kAnswer);
  }

  void PerformActions(std::size_t i) {
    membership::Actions actions;
    std::swap(actions, actions_);
    for (const membership::MembershipEvent& event : actions.events)
      checker_.AddEvent({ToPeriods(now_), i, event.reason, event.member, event.reporter, event.value});
    for (membership::OutgoingMessage& send : actions.sends) {
      const std::size_t to = NodeOf(send.to);
      if (to >= scenario_.nodes) continue;
      std::size_t bytes = membership::kMessageHeaderBytes + EncodedSize(send.message.sender);
      for (const membership::Update& update : send.message.updates) bytes += EncodedSize(update);
      Datagram(i, to, std::make_shared<const Packet>(std::move(send.message)), bytes);
    }
    for (const std::string& address : actions.push_pulls) {
      const std::size_t to = NodeOf(address);
      if (to < scenario_.nodes) SendPushPull(i, to, Arrival::Kind::kRequest);
    }
  }

  void SendPushPull(std::size_t from, std::size_t to, Arrival::Kind kind) {
    Message m = nodes_[from].model->PushPullMessage();
    std::size_t bytes = membership::kMessageHeaderBytes;
    for (const membership::Update& update : m.updates) bytes += EncodedSize(update);
    Count(from, 3, bytes + 120);
    const LinkState there = scenario_.LinkAt(from, to, ToPeriods(now_)),
                    back = scenario_.LinkAt(to, from, ToPeriods(now_));
    if (!nodes_[to].up || there.cut || back.cut) return;
    Time at = LinkBetween(from, to).StreamBytes(now_, bytes, there);
    if (kind == Arrival::Kind::kRequest) at += there.delay + back.delay + 2 * kOneWayDelay;
    if (at - now_ > 10 * scenario_.period + 2'000'000) return;  // the sender has given up
    Schedule(
        {at + kOneWayDelay, 0, to, 0, Arrival{from, std::make_shared<const Packet>(std::move(m)), kind}});
  }

  void Datagram(std::size_t from, std::size_t to, const std::shared_ptr<const Packet>& packet,
                std::size_t bytes) {
    Count(from, 1, bytes);
    for (const Delivery& d :
         LinkBetween(from, to).Datagram(now_, bytes, scenario_.LinkAt(from, to, ToPeriods(now_)))) {
      if (d.corrupt) continue;  // fails the checksum
      Schedule({d.at + kOneWayDelay, 0, to, 0, Arrival{from, packet, Arrival::Kind::kDatagram}});
    }
  }

  void Count(std::size_t from, std::uint64_t messages, std::size_t bytes) {
    if (now_ < ToTime(0)) return;
    sent_[from].first += messages;
    sent_[from].second += bytes;
  }

  Link& LinkBetween(std::size_t from, std::size_t to) { return links_[from * scenario_.nodes + to]; }

  // See EmulatedResult::periods_to_all.
  double PeriodsToAll() const {
    double start = -1, last = -1;
    std::string started_member;
    for (const NodeEvent& event : checker_.events()) {
      if (event.what == "started" && event.at >= 0) {
        start = event.at;
        last = -1;
        started_member = scenario_.NodeName(event.observer);
      }
      const bool member_added =
          event.what == "member-alive" || event.what == "member-returned" || event.what == "member-restarted";
      if (start >= 0 && member_added && event.member == started_member) last = event.at;
    }
    return last < 0 ? -1 : last - start;
  }

  const Scenario& scenario_;
  const EmulatedOptions& options_;
  InvariantChecker checker_;
  std::vector<Step> steps_;
  std::vector<Node> nodes_;
  std::vector<Link> links_;
  std::vector<std::string> addresses_;
  std::vector<bool> present_;
  // Messages and bytes that each node has sent after the warm-up.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> sent_;
  std::priority_queue<Event> queue_;
  membership::Actions actions_;
  Time now_ = 1'000'000;
  std::uint64_t last_order_ = 0, events_ = 0;
};

}  // namespace

const std::vector<std::string>& Detectors() {
  static const std::vector<std::string> all = {"ryeglade",    "swim",       "heartbeat",   "phi",
                                               "no-accusers", "no-vouches", "no-majority", "no-self-doubt"};
  return all;
}

membership::MembershipOptions OptionsFor(const std::string& detector, Time period) {
  membership::MembershipOptions o;
  o.cluster = "lab";
  o.probe_interval = period;
  o.max_members = 4096;
  o.several_reporters = detector != "no-accusers";
  o.reachable_reports = detector != "no-vouches";
  o.require_majority = detector != "no-majority";
  o.local_health = detector != "no-self-doubt";
  return o;
}

EmulatedResult PlayEmulated(const Scenario& scenario, const EmulatedOptions& options) {
  const auto& known = Detectors();
  if (std::find(known.begin(), known.end(), options.detector) == known.end())
    throw std::runtime_error(fmt::format("cluster: '{}' is not a known detector; expected one of {}",
                                         options.detector, fmt::join(known, ", ")));
  return Simulation(scenario, options).Run();
}

}  // namespace ryeglade::cluster
