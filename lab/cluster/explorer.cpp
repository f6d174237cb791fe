#include "lab/cluster/explorer.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <unordered_set>
#include <utility>

#include "lab/emulator/random.h"
#include "membership/membership_model.h"

namespace ryeglade::cluster {
namespace {

using membership::Actions;
using membership::MemberRecord;
using membership::MembershipModel;
using membership::MemberState;
using membership::Message;
using policy::Time;

constexpr Time kPeriod = 1'000'000;
constexpr int kTicks = 10;             // a period
constexpr int kShort = 1, kLong = 14;  // periods that a fault lasts: less and more than a suspicion waits
constexpr int kCalm = 120;             // periods to come to one view

struct Choice {
  enum class What : std::uint8_t {
    kCut,       // a to b
    kCutBoth,   // a and b
    kDeaf,      // all to a
    kMute,      // a to all
    kAlone,     // both
    kPause,     // a
    kCrash,     // a, started again behind it
    kStayDown,  // a, for good
    kSlow,      // all messages come half a period late, in the order of their last bits
    kTwice,     // all messages come twice, the second time three periods late
  } what = What::kCut;
  std::size_t a = 0, b = 0;
  int periods = kShort;
};

std::string Words(const Choice& c) {
  static constexpr const char* kWords[] = {"cut",   "cut-both", "deaf", "mute", "alone",
                                           "pause", "crash",    "down", "slow", "twice"};
  return fmt::format("{}({}{},{})", kWords[static_cast<int>(c.what)], c.a,
                     c.what <= Choice::What::kCutBoth ? fmt::format(">{}", c.b) : "", c.periods);
}

std::vector<Choice> Choices(std::size_t n) {
  std::vector<Choice> all;
  for (const int periods : {kShort, kLong}) {
    for (std::size_t a = 0; a < n; ++a) {
      for (std::size_t b = 0; b < n; ++b) {
        if (a != b) all.push_back({Choice::What::kCut, a, b, periods});
        if (a < b) all.push_back({Choice::What::kCutBoth, a, b, periods});
      }
      for (const Choice::What what : {Choice::What::kDeaf, Choice::What::kMute, Choice::What::kAlone,
                                      Choice::What::kPause, Choice::What::kCrash})
        all.push_back({what, a, 0, periods});
    }
    all.push_back({Choice::What::kSlow, 0, 0, periods});
    all.push_back({Choice::What::kTwice, 0, 0, periods});
  }
  for (std::size_t a = 0; a < n; ++a) all.push_back({Choice::What::kStayDown, a, 0, kLong});
  return all;
}

class Simulation {
 public:
  Simulation(const ExploreOptions& options, ExplorationResult* out, std::unordered_set<std::uint64_t>* states)
      : o_(options), out_(out), states_(states), nodes_(options.nodes) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) Start(i);
    Run(30, nullptr);
  }
  Simulation(const Simulation& w)
      : o_(w.o_), out_(w.out_), states_(w.states_), now_(w.now_), lives_(w.lives_), flying_(w.flying_) {
    for (const Node& n : w.nodes_) {
      Node copy;
      copy.up = n.up;
      copy.stopped = n.stopped;
      copy.random = n.random;
      copy.seen = n.seen;
      copy.waiting = n.waiting;
      nodes_.push_back(std::move(copy));
    }
    // The models draw from the copies' own streams.
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (w.nodes_[i].model) nodes_[i].model = w.nodes_[i].model->Clone(DrawOf(i));
    }
  }
  Simulation& operator=(const Simulation&) = delete;

  void Play(const Choice& c) {
    using What = Choice::What;
    if (c.what == What::kCrash || c.what == What::kStayDown) Kill(c.a);
    if (c.what == What::kPause) nodes_[c.a].stopped = true;
    Run(c.periods, &c);
    if (c.what == What::kPause) Wake(c.a);
    if (c.what == What::kCrash && !nodes_[c.a].up) Start(c.a);
  }

  // Faults are over. False: the views did not become one.
  bool ComesToOneView() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].stopped) Wake(i);
    }
    for (int p = 0; p < kCalm; ++p) {
      Run(1, nullptr);
      if (p >= 3 && OneView()) return true;
    }
    return false;
  }
  std::size_t up() const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.up; }));
  }
  std::string Views() const {
    std::string all;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].up) continue;
      all += fmt::format(" n{}{}:", i, nodes_[i].model->partition_suspected() ? "?" : "");
      for (std::size_t k = 0; k < nodes_.size(); ++k) {
        if (k != i) all += fmt::format(" n{}={}", k, Name(nodes_[i].model->StateOf(fmt::format("n{}", k))));
      }
      all += ";";
    }
    return all;
  }
  std::optional<Breach> breach;

 private:
  struct Last {
    std::uint64_t incarnation = 0, dead_at = 0;
    bool was_dead = false;
    MemberState state = MemberState::kLeft;
  };
  struct Node {
    std::optional<MembershipModel> model;
    std::shared_ptr<emulator::RandomStream> random;
    bool up = false, stopped = false;
    std::map<std::size_t, Last> seen;  // by member, what it was last: kept outside of the model
    std::deque<std::pair<std::size_t, std::shared_ptr<const Message>>> waiting;
  };
  struct Flight {
    Time at = 0;
    std::size_t from = 0, to = 0;
    int way = 0;  // 0: a datagram, 1: an exchange asked for, 2: its answer
    std::shared_ptr<const Message> message;
  };

  membership::RandomBits DrawOf(std::size_t i) {
    // A stream of its own for each copy of the world, going on from where the original's stood.
    if (nodes_[i].random) nodes_[i].random = std::make_shared<emulator::RandomStream>(*nodes_[i].random);
    auto stream = nodes_[i].random;
    return [stream] { return (stream->Below(1ULL << 32) << 32) | stream->Below(1ULL << 32); };
  }

  void Start(std::size_t i) {
    Node& n = nodes_[i];
    n.up = true;
    n.stopped = false;
    n.seen.clear();
    n.waiting.clear();
    n.random = std::make_shared<emulator::RandomStream>(o_.seed, emulator::RandomPurpose::kPolicy,
                                                        i * 100 + ++lives_);
    membership::MembershipOptions o;
    o.cluster = "x";
    o.probe_interval = kPeriod;
    o.seeds = {"e:0", "e:1"};
    o.refutation = o_.variant != "no-refute";
    o.incarnation_order = o_.variant != "no-order";
    o.require_majority = o_.variant != "no-majority";
    if (o_.variant == "no-memory") o.forget_after = 0;
    MemberRecord self;
    self.name = fmt::format("n{}", i);
    self.address = fmt::format("e:{}", i);
    self.incarnation = static_cast<std::uint64_t>(now_ / 1000) + 1;
    self.uid = (self.incarnation << 20) | lives_;
    n.model.emplace(o, self, now_, DrawOf(i));
  }
  void Kill(std::size_t i) {
    nodes_[i].up = nodes_[i].stopped = false;
    nodes_[i].waiting.clear();
  }
  void Wake(std::size_t i) {
    Node& n = nodes_[i];
    n.stopped = false;
    const auto waiting = std::move(n.waiting);
    n.waiting.clear();
    for (const auto& [from, message] : waiting) Receive(i, from, *message, nullptr);
  }

  bool Passes(const Choice* c, std::size_t from, std::size_t to) const {
    if (c == nullptr) return true;
    switch (c->what) {
      case Choice::What::kCut:
        return !(from == c->a && to == c->b);
      case Choice::What::kCutBoth:
        return !((from == c->a && to == c->b) || (from == c->b && to == c->a));
      case Choice::What::kDeaf:
        return to != c->a;
      case Choice::What::kMute:
        return from != c->a;
      case Choice::What::kAlone:
        return from != c->a && to != c->a;
      default:
        return true;
    }
  }

  void Run(int periods, const Choice* c) {
    for (int t = 0; t < periods * kTicks; ++t) {
      now_ += kPeriod / kTicks;
      ++out_->ticks;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!nodes_[i].up || nodes_[i].stopped) continue;
        Actions out;
        nodes_[i].model->Tick(now_, out);
        Carry(i, out, c);
      }
      // What is sent in a tick arrives in it, and answers too, unless the links are slow.
      for (std::size_t k = 0; k < flying_.size();) {
        if (flying_[k].at > now_) {
          ++k;
          continue;
        }
        const Flight f = std::move(flying_[k]);
        flying_.erase(flying_.begin() + static_cast<std::ptrdiff_t>(k));
        Arrive(f, c);
        k = 0;
      }
      Check(c);
    }
  }

  void Carry(std::size_t from, Actions& out, const Choice* c) {
    for (const membership::MembershipEvent& event : out.events) {
      const std::string_view what = event.reason;
      if (what == "member-dead") ++out_->deaths;
      if (what == "member-returned") ++out_->returns;
      if (what == "view-in-doubt") ++out_->doubts;
      // Told by itself: it decided. It must have reached a majority of what it knew as settled.
      if (what == "member-dead" && event.reporter == fmt::format("n{}", from) && !breach) {
        const std::size_t n = nodes_[from].model->stable_view_size();
        std::size_t reach = 1;
        for (std::size_t k = 0; k < nodes_.size(); ++k) {
          if (k == from) continue;  // one that crashed just now was reached all the same
          const auto m = nodes_[from].model->Find(now_, fmt::format("n{}", k));
          if (m && m->reached_at > 0 &&
              now_ - m->reached_at <= (8 + 2 * nodes_[from].model->health()) * kPeriod)
            ++reach;
        }
        if (2 * reach <= n)
          Break("minority",
                fmt::format("n{} removed {} with {} of {} reached", from, event.member, reach, n));
      }
    }
    for (membership::OutgoingMessage& send : out.sends) Fly(from, send.to, std::move(send.message), 0, c);
    for (const std::string& to : out.push_pulls) Fly(from, to, nodes_[from].model->PushPullMessage(), 1, c);
  }

  void Fly(std::size_t from, const std::string& address, Message message, int way, const Choice* c) {
    const std::size_t to = static_cast<std::size_t>(address.back() - '0');
    if (to >= nodes_.size() || !Passes(c, from, to)) return;
    if (way != 0 && !Passes(c, to, from)) return;  // a connection needs both ways
    auto shared = std::make_shared<const Message>(std::move(message));
    Time late = 0;
    if (c != nullptr && c->what == Choice::What::kSlow)
      late = kPeriod / 2 + static_cast<Time>(shared->seq % 4) * kPeriod / 10;
    flying_.push_back({now_ + late, from, to, way, shared});
    if (c != nullptr && c->what == Choice::What::kTwice && way == 0)
      flying_.push_back({now_ + 3 * kPeriod, from, to, way, shared});
  }

  void Arrive(const Flight& f, const Choice* c) {
    Node& n = nodes_[f.to];
    if (!n.up) return;
    if (n.stopped) {
      if (f.way == 0 && n.waiting.size() < 250) n.waiting.emplace_back(f.from, f.message);
      return;
    }
    if (f.way == 0) return Receive(f.to, f.from, *f.message, c);
    Actions out;
    n.model->OnPushPull(now_, *f.message, f.way == 2, out);
    Carry(f.to, out, c);
    if (f.way == 1) Fly(f.to, fmt::format("e:{}", f.from), n.model->PushPullMessage(), 2, c);
  }

  void Receive(std::size_t to, std::size_t from, const Message& message, const Choice* c) {
    Actions out;
    nodes_[to].model->OnMessage(now_, fmt::format("e:{}", from), message, out);
    Carry(to, out, c);
  }

  void Break(const char* invariant, std::string what) {
    if (!breach) breach = Breach{invariant, "", std::move(what)};
  }

  void Check(const Choice*) {
    std::string fingerprint;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& n = nodes_[i];
      fingerprint += n.up ? n.stopped ? 's' : 'u' : 'd';
      if (!n.up) continue;
      fingerprint += n.model->partition_suspected() ? '?' : n.model->stable() ? '!' : '.';
      fingerprint += static_cast<char>('0' + n.model->health());
      for (std::size_t k = 0; k < nodes_.size(); ++k) {
        if (k == i) continue;
        const auto m = n.model->Find(now_, fmt::format("n{}", k));
        Last& last = n.seen[k];
        const MemberState state = m ? m->state : MemberState::kLeft;
        fingerprint += static_cast<char>('a' + static_cast<int>(state));
        if (!m) {
          if (last.state == MemberState::kJoining) last.incarnation = 0;  // given up before it ever counted
          continue;
        }
        fingerprint += static_cast<char>('0' + m->reporters.size() * 4 + m->reachable_reporters.size());
        const std::uint64_t incarnation = m->record.incarnation;
        if (incarnation < last.incarnation)
          Break("incarnation",
                fmt::format("n{} at n{} went from {} to {}", k, i, last.incarnation, incarnation));
        const bool live = IsLive(state);
        if (last.was_dead && live && incarnation <= last.dead_at)
          Break("resurrection", fmt::format("n{} at n{} lives again with {}", k, i, incarnation));
        if (state == MemberState::kDead) {
          last.was_dead = true;
          last.dead_at = incarnation;
        }
        if (live) last.was_dead = false;
        last.incarnation = incarnation;
        last.state = state;
      }
    }
    states_->insert(XXH3_64bits(fingerprint.data(), fingerprint.size()));
  }

  bool OneView() const {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].up) continue;
      if (nodes_[i].model->partition_suspected()) return false;
      for (std::size_t k = 0; k < nodes_.size(); ++k) {
        if (k == i) continue;
        const MemberState s = nodes_[i].model->StateOf(fmt::format("n{}", k));
        const bool in = IsLive(s);
        if (in != nodes_[k].up) return false;
      }
    }
    return true;
  }

  const ExploreOptions& o_;
  ExplorationResult* out_;
  std::unordered_set<std::uint64_t>* states_;
  std::vector<Node> nodes_;
  Time now_ = 10'000'000;
  std::uint64_t lives_ = 0;
  std::vector<Flight> flying_;
};

}  // namespace

ExplorationResult Explore(const ExploreOptions& options) {
  const std::vector<Choice> choices = Choices(options.nodes);
  ExplorationResult all;
  std::unordered_set<std::uint64_t> all_states;
  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  std::atomic<std::size_t> broken{0};
  const auto work = [&] {
    ExplorationResult mine;
    std::unordered_set<std::uint64_t> states;
    const Simulation begin(options, &mine, &states);
    std::function<void(const Simulation&, const std::string&, int)> below =
        [&](const Simulation& world, const std::string& so_far, int depth) {
          for (std::size_t c = 0; c < choices.size(); ++c) {
            if (depth == 0) {  // the first choice is shared out over the workers
              c = next++;
              if (c >= choices.size()) return;
            }
            if (broken >= options.stop_at) return;
            Simulation one(world);
            const std::string schedule = so_far + (so_far.empty() ? "" : " ") + Words(choices[c]);
            one.Play(choices[c]);
            if (!one.breach && depth + 1 < options.depth) below(one, schedule, depth + 1);
            if (!one.breach) {
              ++mine.schedules;
              Simulation rest(one);
              const std::size_t up = rest.up();
              // With half or fewer of the nodes left nobody can tell a cut from deaths: doubt is right then.
              if (!rest.ComesToOneView() && 2 * up > options.nodes && !rest.breach)
                rest.breach =
                    Breach{"one-view", "", "after " + std::to_string(kCalm) + " periods:" + rest.Views()};
              if (rest.breach) one.breach = rest.breach;
            }
            if (one.breach) {
              ++broken;
              one.breach->schedule = schedule;
              ++mine.by_invariant[one.breach->invariant];
              mine.breaches.push_back(*one.breach);
            }
            if (depth == 0) --c;  // the loop adds one again; `next` says which comes
          }
        };
    below(begin, "", 0);
    const std::lock_guard<std::mutex> lock(mutex);
    all.schedules += mine.schedules;
    all.ticks += mine.ticks;
    all.deaths += mine.deaths;
    all.returns += mine.returns;
    all.doubts += mine.doubts;
    all_states.insert(states.begin(), states.end());
    for (Breach& b : mine.breaches) all.breaches.push_back(std::move(b));
    for (const auto& [name, n] : mine.by_invariant) all.by_invariant[name] += n;
  };
  const unsigned cores = options.workers > 0 ? static_cast<unsigned>(options.workers)
                                             : std::max(1U, std::thread::hardware_concurrency());
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < cores; ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  all.states = all_states.size();
  return all;
}

}  // namespace ryeglade::cluster
