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

constexpr Time kWay = 150;                 // microseconds, one way
constexpr std::size_t kWaitingMost = 250;  // datagrams that wait at a stopped process's socket
constexpr Time kLeaves = 1'500'000;        // from SIGTERM to the end, as a node with little to finish
constexpr std::uint64_t kOrigin = 1'700'000'000'000;  // ms, of first incarnations

using membership::Message;
using Packet = std::variant<Message, Plain>;

std::string AddressOf(std::size_t node) { return fmt::format("e:{}", node); }
std::size_t NodeOf(const std::string& address) {
  std::size_t n = SIZE_MAX;
  if (address.size() > 2) std::from_chars(address.data() + 2, address.data() + address.size(), n);
  return n;
}

struct Arrival {
  std::size_t from = 0;
  std::shared_ptr<const Packet> packet;
  enum class How : std::uint8_t { kDatagram, kAsked, kAnswer } how = How::kDatagram;
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, const EmulatedOptions& options)
      : s_(scenario),
        o_(options),
        witness_(scenario),
        steps_(StepsOf(scenario)),
        nodes_(scenario.nodes),
        sent_(scenario.nodes) {
    for (std::size_t i = 0; i < s_.nodes * s_.nodes; ++i) links_.emplace_back(o_.seed, i);
    addresses_.reserve(s_.nodes);
    for (std::size_t i = 0; i < s_.nodes; ++i) addresses_.push_back(AddressOf(i));
  }

  EmulatedResult Run() {
    std::vector<bool> absent(s_.nodes, false);
    for (const Fault& f : s_.faults) {
      if (f.what != Fault::What::kAbsent) continue;
      for (const std::size_t n : f.nodes) absent[n] = true;
    }
    present_.assign(s_.nodes, true);
    for (std::size_t i = 0; i < s_.nodes; ++i) present_[i] = !absent[i];
    for (std::size_t i = 0; i < s_.nodes; ++i) {
      if (!absent[i]) Start(i);
    }
    const Time end = Micro(s_.length);
    std::size_t step = 0;
    while (true) {
      const Time next_step = step < steps_.size() ? Micro(steps_[step].at) : end;
      const Time next_event = queue_.empty() ? end : queue_.top().at;
      if (std::min(next_step, next_event) >= end) break;
      if (next_step <= next_event) {
        now_ = next_step;
        Act(steps_[step++]);
        continue;
      }
      Event e = queue_.top();
      queue_.pop();
      now_ = e.at;
      ++events_;
      Happen(e);
    }
    now_ = end;
    EmulatedResult r;
    r.verdict = witness_.Judge(s_.length);
    r.events = events_;
    const double periods = s_.length;  // joining aside
    for (const auto& [messages, bytes] : sent_) {
      r.messages += static_cast<double>(messages) / periods / static_cast<double>(s_.nodes);
      r.bytes += static_cast<double>(bytes) / periods / static_cast<double>(s_.nodes);
      r.most_bytes = std::max(r.most_bytes, static_cast<double>(bytes) / periods);
    }
    r.news_to_all = NewsToAll();
    if (!o_.chart.empty()) RunGnuplot(witness_.Chart(o_.chart, s_.length));
    if (o_.said != nullptr) *o_.said = witness_.all();
    return r;
  }

 private:
  struct Node {
    std::unique_ptr<membership::MembershipModel> model;
    std::unique_ptr<Baseline> baseline;
    bool up = false, stopped = false;
    bool leaving = false;
    std::uint64_t life = 0;  // counts processes, so that what was meant for one does not reach the next
    std::deque<Arrival> waiting;
  };
  struct Event {
    Time at = 0;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t life = 0;          // of a tick
    std::optional<Arrival> arrival;  // none: a tick
    bool last = false;               // a leaving process has finished its work
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  // The warm-up comes before 0; the clock must not be negative.
  Time Micro(double periods) const {
    return static_cast<Time>((periods + s_.warm_up) * static_cast<double>(s_.period)) + 1'000'000;
  }
  double Periods(Time t) const {
    return static_cast<double>(t - 1'000'000) / static_cast<double>(s_.period) - s_.warm_up;
  }
  bool Ours() const { return o_.detector != "swim" && o_.detector != "heartbeat" && o_.detector != "phi"; }
  void Push(Event e) {
    e.order = ++orders_;
    queue_.push(std::move(e));
  }

  void Start(std::size_t i) {
    Node& n = nodes_[i];
    if (n.up) return;
    n.up = true;
    n.stopped = n.leaving = false;
    n.waiting.clear();
    ++n.life;
    const double at = Periods(now_);
    witness_.Up(at, i);
    witness_.Said({at, i, "started", "", "", 0});
    const std::uint64_t incarnation = kOrigin + static_cast<std::uint64_t>(now_ / 1000) + n.life;
    if (Ours()) {
      membership::MembershipOptions o = OptionsFor(o_.detector, s_.period);
      for (std::size_t k = 0; k < std::min(s_.seeds, s_.nodes); ++k) o.seeds.push_back(AddressOf(k));
      if (std::binary_search(s_.old_wire.begin(), s_.old_wire.end(), i)) o.schema = 1;
      if (std::binary_search(s_.other_cluster.begin(), s_.other_cluster.end(), i)) o.cluster = "other";
      membership::MemberRecord self;
      self.name = s_.NodeName(i);
      self.address = AddressOf(i);
      self.zone = s_.ZoneOf(i);
      self.incarnation = incarnation;
      auto stream = std::make_shared<emulator::RandomStream>(o_.seed, emulator::RandomPurpose::kPolicy,
                                                             i * 1000 + n.life);
      const auto draw = [stream] { return (stream->Below(1ULL << 32) << 32) | stream->Below(1ULL << 32); };
      self.uid = (incarnation << 20) | (draw() & 0xfffff);
      n.model = std::make_unique<membership::MembershipModel>(o, self, now_, draw);
    } else {
      BaselineSetup setup;
      setup.me = i;
      setup.nodes = s_.nodes;
      setup.present = present_;
      setup.incarnation = incarnation;
      setup.period = s_.period;
      setup.now = now_;
      setup.seed = o_.seed * 7919 + n.life;
      setup.send = [this, i](std::size_t to, Plain p, std::size_t bytes) {
        Datagram(i, to, std::make_shared<const Packet>(std::move(p)), bytes);
      };
      setup.says = [this, i](const char* what, std::size_t member) {
        witness_.Said({Periods(now_), i, what, s_.NodeName(member), s_.NodeName(i), 0});
      };
      n.baseline = o_.detector == "swim" ? MakeSwim(setup) : MakeHeartbeat(setup, o_.detector == "phi");
    }
    Push({now_ + 1, 0, i, n.life, std::nullopt});
  }

  static void End(Node& n) {
    n.up = n.stopped = n.leaving = false;
    ++n.life;
  }

  void Act(const Step& step) {
    Node& n = nodes_[step.node];
    switch (step.act) {
      case Step::Do::kStart:
        Start(step.node);
        break;
      case Step::Do::kTerm:
        if (n.up && n.model) {
          if (n.leaving) break;
          n.leaving = true;
          witness_.Down(Periods(now_), step.node);
          actions_.Clear();
          n.model->Leave(now_, actions_);
          Carry(step.node);
          Push({now_ + kLeaves, 0, step.node, n.life, std::nullopt, true});
          break;
        }
        [[fallthrough]];
      case Step::Do::kKill:
        if (!n.up) break;
        if (!n.leaving) witness_.Down(Periods(now_), step.node);
        End(n);
        break;
      case Step::Do::kStop:
        n.stopped = n.up;
        break;
      case Step::Do::kContinue: {
        if (!n.up || !n.stopped) break;
        n.stopped = false;
        std::deque<Arrival> waiting = std::move(n.waiting);
        n.waiting.clear();
        for (Arrival& a : waiting) Push({now_, 0, step.node, n.life, std::move(a)});
        Push({now_ + 1, 0, step.node, n.life, std::nullopt});
        if (n.leaving) Push({now_ + kLeaves / 8, 0, step.node, n.life, std::nullopt, true});
        break;
      }
      case Step::Do::kBeside:  // here: the same process with a new incarnation
        if (n.up) {
          End(n);
          witness_.Down(Periods(now_), step.node);
          Start(step.node);
        }
        break;
      case Step::Do::kFlood:  // noise does not get past the checksum
        break;
    }
  }

  void Happen(Event& e) {
    Node& n = nodes_[e.node];
    if (!n.up) return;
    if (!e.arrival) {
      if (e.life != n.life || n.stopped) return;
      if (e.last) {
        actions_.Clear();
        n.model->AnnounceLeft(now_, actions_);
        Carry(e.node);
        return End(n);
      }
      if (n.model) {
        actions_.Clear();
        n.model->Tick(now_, actions_);
        Carry(e.node);
      } else {
        n.baseline->Tick(now_);
      }
      Push({now_ + s_.period / 10, 0, e.node, n.life, std::nullopt});
      return;
    }
    if (n.stopped) {
      if (n.waiting.size() < kWaitingMost) n.waiting.push_back(std::move(*e.arrival));
      return;
    }
    const Arrival& a = *e.arrival;
    if (const auto* plain = std::get_if<Plain>(a.packet.get())) {
      n.baseline->Receive(now_, a.from, *plain);
      return;
    }
    const Message& m = std::get<Message>(*a.packet);
    if (*n.model->RejectReason(m) != '\0') return;
    actions_.Clear();
    if (a.how == Arrival::How::kDatagram) {
      n.model->OnMessage(now_, addresses_[a.from], m, actions_);
      Carry(e.node);
      return;
    }
    n.model->OnPushPull(now_, m, a.how == Arrival::How::kAnswer, actions_);
    Carry(e.node);
    if (a.how == Arrival::How::kAsked) State(e.node, a.from, Arrival::How::kAnswer);
  }

  void Carry(std::size_t i) {
    membership::Actions actions;
    std::swap(actions, actions_);
    for (const membership::MembershipEvent& event : actions.events)
      witness_.Said({Periods(now_), i, event.reason, event.member, event.reporter, event.value});
    for (membership::OutgoingMessage& send : actions.sends) {
      const std::size_t to = NodeOf(send.to);
      if (to >= s_.nodes) continue;
      std::size_t bytes = membership::kMessageHeaderBytes + EncodedSize(send.message.sender);
      for (const membership::Update& update : send.message.updates) bytes += EncodedSize(update);
      Datagram(i, to, std::make_shared<const Packet>(std::move(send.message)), bytes);
    }
    for (const std::string& address : actions.push_pulls) {
      const std::size_t to = NodeOf(address);
      if (to < s_.nodes) State(i, to, Arrival::How::kAsked);
    }
  }

  void State(std::size_t from, std::size_t to, Arrival::How how) {
    Message m = nodes_[from].model->PushPullMessage();
    std::size_t bytes = membership::kMessageHeaderBytes;
    for (const membership::Update& update : m.updates) bytes += EncodedSize(update);
    Count(from, 3, bytes + 120);
    const LinkState there = s_.LinkAt(from, to, Periods(now_)), back = s_.LinkAt(to, from, Periods(now_));
    if (!nodes_[to].up || there.cut || back.cut) return;
    Time at = Link_(from, to).Piece(now_, bytes, there);
    if (how == Arrival::How::kAsked) at += there.delay + back.delay + 2 * kWay;
    if (at - now_ > 10 * s_.period + 2'000'000) return;  // given up
    Push({at + kWay, 0, to, 0, Arrival{from, std::make_shared<const Packet>(std::move(m)), how}});
  }

  void Datagram(std::size_t from, std::size_t to, const std::shared_ptr<const Packet>& packet,
                std::size_t bytes) {
    Count(from, 1, bytes);
    for (const Delivery& d : Link_(from, to).Datagram(now_, bytes, s_.LinkAt(from, to, Periods(now_)))) {
      if (d.corrupt) continue;  // does not get past the checksum
      Push({d.at + kWay, 0, to, 0, Arrival{from, packet, Arrival::How::kDatagram}});
    }
  }

  void Count(std::size_t from, std::uint64_t messages, std::size_t bytes) {
    if (now_ < Micro(0)) return;
    sent_[from].first += messages;
    sent_[from].second += bytes;
  }

  Link& Link_(std::size_t from, std::size_t to) { return links_[from * s_.nodes + to]; }

  double NewsToAll() const {
    double start = -1, last = -1;
    std::string who;
    for (const Seen& seen : witness_.all()) {
      if (seen.what == "started" && seen.at >= 0) {
        start = seen.at;
        last = -1;
        who = s_.NodeName(seen.observer);
      }
      const bool came =
          seen.what == "member-alive" || seen.what == "member-returned" || seen.what == "member-restarted";
      if (start >= 0 && came && seen.member == who) last = seen.at;
    }
    return last < 0 ? -1 : last - start;
  }

  const Scenario& s_;
  const EmulatedOptions& o_;
  Witness witness_;
  std::vector<Step> steps_;
  std::vector<Node> nodes_;
  std::vector<Link> links_;
  std::vector<std::string> addresses_;
  std::vector<bool> present_;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> sent_;
  std::priority_queue<Event> queue_;
  membership::Actions actions_;
  Time now_ = 1'000'000;
  std::uint64_t orders_ = 0, events_ = 0;
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
    throw std::runtime_error("there is no detector '" + options.detector + "'");
  return Simulation(scenario, options).Run();
}

}  // namespace ryeglade::cluster
