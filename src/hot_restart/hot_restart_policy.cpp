#include "hot_restart/hot_restart_policy.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace ryeglade::hot_restart {
namespace {

constexpr std::string_view kHead = "ryeglade-lease 1 ";
constexpr const char* kWords[] = {"starting", "serving", "yielding", "ending"};

template <class T>
bool Number(std::string_view text, T* value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size();
}

}  // namespace

const char* Name(Word word) { return kWords[static_cast<std::size_t>(word)]; }

std::string EncodeLease(const Lease& l) {
  const std::string text = fmt::format("{}pid={} started={} word={} beat={} sockets={} memory={}", kHead,
                                       l.pid, l.started, Name(l.word), l.beat, l.sockets, l.memory);
  return fmt::format("{} sum={:016x}\n", text, XXH3_64bits(text.data(), text.size()));
}

std::optional<Lease> DecodeLease(const std::string& text) {
  std::string_view rest = std::string_view(text).substr(0, text.find('\n'));
  const std::size_t at = rest.rfind(" sum=");
  if (!rest.starts_with(kHead) || at == std::string_view::npos) return std::nullopt;
  const std::string_view body = rest.substr(0, at);
  if (rest.substr(at + 5) != fmt::format("{:016x}", XXH3_64bits(body.data(), body.size())))
    return std::nullopt;
  Lease lease;
  bool pid = false, word = false;
  for (std::size_t from = kHead.size(); from < body.size();) {
    const std::size_t end = std::min(body.find(' ', from), body.size());
    const std::string_view field = body.substr(from, end - from);
    from = end + 1;
    const std::size_t is = field.find('=');
    if (is == std::string_view::npos) return std::nullopt;
    const std::string_view name = field.substr(0, is), value = field.substr(is + 1);
    bool good = true;
    if (name == "pid") {
      good = pid = Number(value, &lease.pid) && lease.pid > 0;
    } else if (name == "started") {
      good = Number(value, &lease.started);
    } else if (name == "beat") {
      good = Number(value, &lease.beat);
    } else if (name == "sockets") {
      good = Number(value, &lease.sockets);
    } else if (name == "memory") {
      good = Number(value, &lease.memory);
    } else if (name == "word") {
      const auto* const known = std::find(std::begin(kWords), std::end(kWords), value);
      word = known != std::end(kWords);
      good = word;
      if (word) lease.word = static_cast<Word>(known - std::begin(kWords));
    }
    if (!good) return std::nullopt;
  }
  if (!pid || !word) return std::nullopt;
  return lease;
}

Succession::Succession(Time now, bool beside)
    : started_(now), word_(beside ? Word::kStarting : Word::kServing), beside_(beside) {}

Step Succession::Serve(const char* why) {
  word_ = Word::kServing;
  Step step;
  step.serve = true;
  step.why = why;
  return step;
}

Step Succession::StateCame() { return word_ == Word::kStarting ? Serve("state-came") : Step{}; }

// Whether the other's loop turns, as far as can be said: its beat has changed within kSilentAfter. A process
// that was itself stopped for a while judges nobody by that time.
bool Succession::Fresh(Time now, const Other& other) {
  const bool paused = looked_ != 0 && now - looked_ > kSilentAfter / 2;
  looked_ = now;
  if (!other.said) return other.alive && now - beat_at_ <= kSilentAfter;
  if (other.said->pid != pid_ || other.said->beat != beat_ || paused) {
    pid_ = other.said->pid;
    beat_ = other.said->beat;
    beat_at_ = now;
  }
  return now - beat_at_ <= kSilentAfter;
}

Step Succession::Look(Time now, const Other& other) {
  const bool fresh = Fresh(now, other);
  Step step;
  step.alone = beside_ && !other.alive;
  beside_ = other.alive;
  const bool young = other.alive && other.said && other.said->started > started_;
  if (word_ == Word::kStarting) {
    if (!other.alive) {
      step = Serve("alone");
      step.alone = true;
    } else if (now - started_ > kWaitForState) {
      step = Serve("no-state");
    } else if (other.said && other.said->word == Word::kStarting && !young) {
      step = Serve("both-new");  // it has nothing to give either
    }
    return step;
  }
  if (young && other.said->word == Word::kStarting && gave_to_ != other.said->pid) {
    gave_to_ = step.to = other.said->pid;
    step.give = true;
  }
  if (!yielded_ && young && fresh && other.said->word == Word::kServing) {
    yielded_ = step.yield = true;
    if (word_ == Word::kServing) word_ = Word::kYielding;
    step.why = "successor-serves";
  } else if (yielded_ && word_ == Word::kYielding) {
    const bool ends = other.said && other.said->word == Word::kEnding;
    if (!other.alive || !fresh || ends) {
      yielded_ = false;
      step.take_up = true;
      word_ = Word::kServing;
      step.why = !other.alive ? "successor-gone" : ends ? "successor-ends" : "successor-silent";
    }
  }
  return step;
}

Step Succession::Term(const Other& other) {
  word_ = Word::kEnding;
  Step step;
  const bool young = other.alive && other.said && other.said->started > started_;
  if (young && !yielded_ && other.said->word == Word::kServing) {
    yielded_ = step.yield = true;
    step.why = "successor-serves";
  }
  return step;
}

std::size_t Share(std::size_t total, std::size_t used, std::size_t before, bool older, bool yielded,
                  const Other& other, std::size_t others) {
  if (!other.alive) return total;
  if (yielded) return std::min(before, std::max(used, total / 8));
  if (older) return std::max(used, total / 2);
  return std::max(total - std::min(total, others), total / 8);
}

}  // namespace ryeglade::hot_restart
