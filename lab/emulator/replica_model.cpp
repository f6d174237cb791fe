#include "lab/emulator/replica_model.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::emulator {
namespace {

constexpr double kStretch = 64;  // steps that room is made for at once
constexpr double kColdStretch =
    100'000;  // while its speed changes, a stretch of steps is no longer than this

}  // namespace

double Replica::Plan::StepsIn(double span) const {
  if (growth <= 0) return span / first;
  // first*k + growth*k(k-1)/2 = span
  const double b = first - growth / 2;
  return (-b + std::sqrt(b * b + 2 * growth * span)) / growth;
}

double Replica::Speed(Time now) const {
  if (spec_.slow_start_window <= 0 || now >= started_ + spec_.slow_start_window) return spec_.speed;
  const double age =
      static_cast<double>(std::max<Time>(0, now - started_)) / static_cast<double>(spec_.slow_start_window);
  return spec_.speed * (spec_.slow_start_min_share + (1 - spec_.slow_start_min_share) * age);
}

double Replica::Kept(const Job& job) {
  double found = 0;
  for (const auto& [key, most] :
       {std::pair{job.session, job.prompt}, std::pair{job.prefix, job.prefix_tokens}}) {
    if (key == 0) continue;
    const auto it = kept_by_key_.find(key);
    if (it == kept_by_key_.end()) continue;
    found = std::max(found, std::min(it->second->tokens, most));
    kept_.splice(kept_.begin(), kept_, it->second);
  }
  return std::min(found, job.prompt - 1);  // the last token is always read
}

void Replica::Keep(std::uint64_t key, double tokens) {
  if (key == 0 || tokens <= 0) return;
  const auto it = kept_by_key_.find(key);
  if (it != kept_by_key_.end()) {
    kept_tokens_ += tokens - it->second->tokens;
    it->second->tokens = tokens;
    kept_.splice(kept_.begin(), kept_, it->second);
  } else {
    kept_.push_front({key, tokens});
    kept_by_key_[key] = kept_.begin();
    kept_tokens_ += tokens;
  }
  MakeRoom(0);
}

void Replica::MakeRoom(double wanted) {
  while (!kept_.empty() && context_ + kept_tokens_ + wanted > spec_.memory_tokens) {
    kept_tokens_ -= kept_.back().tokens;
    kept_by_key_.erase(kept_.back().key);
    kept_.pop_back();
  }
}

bool Replica::Offer(Time now, const Job& job) {
  if (static_cast<int>(waiting_.size()) >= spec_.queue || job.prompt + job.answer > spec_.memory_tokens)
    return false;
  Part part;
  part.job = job;
  part.job.prompt = std::max(1.0, job.prompt);
  part.job.answer = std::max(1.0, job.answer);
  part.unread = part.job.prompt;
  part.order = ++order_;
  unread_ += part.unread;
  waiting_.push_back(parts_.Add(part));
  if (busy() < spec_.slots || spec_.shortest_first) Shorten(now);
  return true;
}

std::vector<std::uint64_t> Replica::Jobs() const {
  std::vector<std::uint64_t> ids;
  for (const Handle h : parts_.All()) ids.push_back(parts_.Get(h)->job.id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

bool Replica::Cancel(Time now, std::uint64_t job) {
  // Seldom asked and few are here: they are looked through.
  const std::vector<Handle> all = parts_.All();
  const auto found = std::find_if(all.begin(), all.end(), [&](Handle h) { return At(h).job.id == job; });
  if (found == all.end()) return false;
  const Handle id = *found;
  // What it holds until the step's end is given back with it: a step is not undone.
  Part& p = At(id);
  switch (p.at) {
    case Part::At::kWaiting:
      std::erase(waiting_, id);
      unread_ -= p.unread;
      break;
    case Part::At::kReading:
      Shorten(now);
      std::erase(reading_, id);
      unread_ -= p.unread;
      context_ -= p.context;
      break;
    case Part::At::kRunning:
      Shorten(now);
      --running_;
      context_ -= p.context + static_cast<double>(step_ - p.since);
      break;
  }
  parts_.Remove(id);
  return true;
}

// The steps that are over are played, and the plan ends with the one at hand.
void Replica::Shorten(Time now) {
  if (plan_.steps == 0) {
    Admit();
    return MakePlan(now);
  }
  const double span = static_cast<double>(now - plan_.start);
  const auto over = static_cast<std::uint64_t>(std::max(0.0, std::floor(plan_.StepsIn(span) + 1e-9)));
  const std::uint64_t steps = std::min(over, plan_.steps - 1);
  if (steps > 0) {
    Apply(steps, nullptr);
    plan_.start += static_cast<Time>(plan_.Length(static_cast<double>(steps)));
    plan_.first += plan_.growth * static_cast<double>(steps);
    plan_.steps -= steps;
  }
  if (plan_.steps > 1) {
    plan_.steps = 1;
    plan_end_ = plan_.start + std::max<Time>(1, static_cast<Time>(plan_.first));
  }
  plan_end_ = std::max(plan_end_, now);
}

void Replica::Respeed(Time now, double speed) {
  spec_.speed = speed;
  if (plan_.steps > 0) Shorten(now);
}

void Replica::Run(Time now, std::vector<JobEvent>& events) {
  if (plan_.steps == 0 || now < plan_end_) return;
  const std::uint64_t steps = plan_.steps;
  plan_.steps = 0;
  Apply(steps, &events);
  Admit();
  MakePlan(now);
}

// Plays whole steps. Only the last of a plan can finish anything, which is when `events` is given.
void Replica::Apply(std::uint64_t steps, std::vector<JobEvent>* events) {
  const auto k = static_cast<double>(steps);
  step_ += steps;
  context_ += running_ * k;
  given_tokens_ += static_cast<std::uint64_t>(running_) * steps;
  double read = plan_.read * k;
  read_tokens_ += static_cast<std::uint64_t>(read);
  while (read > 1e-9 && !reading_.empty()) {
    const Handle head = reading_.front();
    Part& p = At(head);
    const double part = std::min(read, p.unread);
    p.unread -= part;
    p.context += part;
    unread_ -= part;
    context_ += part;
    read -= part;
    if (p.unread > 1e-9) break;
    reading_.pop_front();
    p.at = Part::At::kRunning;
    p.since = step_;
    p.given += 1;
    p.context += 1;  // its first token, or the next where it was put back
    context_ += 1;
    ++given_tokens_;
    ++running_;
    p.finish = step_ + static_cast<std::uint64_t>(std::max(0.0, p.job.answer - p.given));
    finishing_.push({p.finish, head});
    if (events != nullptr && p.given == 1) events->push_back({JobEvent::Kind::kFirst, p.job.id, p.kept});
  }
  while (!finishing_.empty() && finishing_.top().step <= step_) {
    const Finish f = finishing_.top();
    finishing_.pop();
    const Part* there = parts_.Get(f.id);
    if (there == nullptr || there->at != Part::At::kRunning || there->finish != f.step) continue;
    const Part p = *there;
    parts_.Remove(f.id);
    --running_;
    context_ -= p.context + static_cast<double>(step_ - p.since);
    Keep(p.job.session, p.job.prompt + p.job.answer);
    Keep(p.job.prefix, p.job.prefix_tokens);
    if (events != nullptr) events->push_back({JobEvent::Kind::kDone, p.job.id, p.kept});
  }
}

double Replica::Left(const Part& p) const {
  const double running = p.at == Part::At::kRunning ? static_cast<double>(step_ - p.since) : 0;
  return p.job.answer - p.given - running;
}

// Those that wait in order of what they have left; one that runs and has more left than the first gives way.
void Replica::Preempt() {
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [this](Handle a, Handle b) { return Left(At(a)) < Left(At(b)); });
  while (!waiting_.empty() && busy() >= spec_.slots) {
    Handle longest = 0;
    double most = Left(At(waiting_.front()));
    for (const Handle h : parts_.All()) {
      const Part& p = At(h);
      if (p.at != Part::At::kRunning || Left(p) <= most) continue;
      most = Left(p);
      longest = h;
    }
    if (longest == 0) return;
    const Handle first = waiting_.front();
    PutBack(longest);
    std::erase(waiting_, first);
    waiting_.push_front(first);
  }
}

void Replica::Admit() {
  if (spec_.shortest_first) Preempt();
  while (!waiting_.empty() && busy() < spec_.slots) {
    Part& p = At(waiting_.front());
    const double kept = p.given > 0 ? 0 : Kept(p.job);
    const double need = p.job.prompt + p.given;
    // Room for its prompt and a little to go on with; else it waits, and so does all behind it.
    if (context_ + need + busy() + 1 > spec_.memory_tokens && busy() > 0) return;
    MakeRoom(need - kept);
    if (p.given == 0) p.kept = kept;
    unread_ -= kept;
    p.unread = std::max(1.0, need - kept);
    p.context = need - p.unread;
    context_ += p.context;
    p.at = Part::At::kReading;
    reading_.push_back(waiting_.front());
    waiting_.pop_front();
  }
}

// The request that came last.
Handle Replica::Latest() {
  Handle last = 0;
  std::uint64_t order = 0;
  for (const Handle h : parts_.All()) {
    const Part& p = At(h);
    if (p.at == Part::At::kWaiting || p.order < order) continue;
    order = p.order;
    last = h;
  }
  return last;
}

// It goes back and reads all it had anew.
void Replica::PutBack(Handle id) {
  Part& p = At(id);
  if (p.at == Part::At::kRunning) {
    const double ran = static_cast<double>(step_ - p.since);
    p.given += ran;
    context_ -= p.context + ran;
    --running_;
  } else {
    std::erase(reading_, id);
    unread_ -= p.unread;
    context_ -= p.context;
  }
  p.context = 0;
  p.finish = 0;
  p.unread = p.job.prompt + p.given;
  unread_ += p.unread;
  p.at = Part::At::kWaiting;
  waiting_.push_front(id);
  ++preempted_;
}

void Replica::MakePlan(Time now) {
  plan_ = {};
  plan_end_ = kNever;
  if (busy() == 0) return;
  // Memory for the next step.
  double read = 0;
  const auto reads = [&] {
    double all = 0;
    for (const Handle id : reading_) {
      all += At(id).unread;
      if (all >= spec_.chunk) break;
    }
    return std::min(all, static_cast<double>(spec_.chunk));
  };
  read = reads();
  // For a stretch of steps at once: room that is made step by step would make each step an event of its own.
  MakeRoom(std::min(0.05 * spec_.memory_tokens, kStretch * (running_ + read)));
  while (context_ + running_ + read > spec_.memory_tokens && busy() > 1) {
    PutBack(Latest());
    read = reads();
  }
  const double speed = Speed(now);
  plan_.start = now;
  plan_.read = read;
  plan_.first = (spec_.base_us + spec_.per_running_us * running_ + spec_.per_context_us * context_ +
                 spec_.per_read_us * read) /
                speed;
  plan_.growth = spec_.per_context_us * (running_ + read) / speed;
  double steps = 1e9;
  if (read > 0) {
    // As long as the prompt at the head fills the chunk, steps are alike; the one that ends it is its own.
    const double head = At(reading_.front()).unread;
    steps = head > read ? std::max(1.0, std::ceil(head / read) - 1) : 1;
    if (head <= read) steps = 1;
  }
  while (!finishing_.empty()) {
    const Finish& f = finishing_.top();
    const Part* p = parts_.Get(f.id);
    if (p != nullptr && p->at == Part::At::kRunning && p->finish == f.step) {
      steps = std::min(steps, std::max(1.0, static_cast<double>(f.step) - static_cast<double>(step_)));
      break;
    }
    finishing_.pop();
  }
  // Until memory runs out, and no further than its speed holds.
  const double grows = running_ + read;
  if (grows > 0)
    steps =
        std::min(steps, std::max(1.0, std::floor((spec_.memory_tokens - context_ - kept_tokens_) / grows)));
  if (speed != spec_.speed) steps = std::min(steps, std::max(1.0, std::floor(plan_.StepsIn(kColdStretch))));
  plan_.steps = static_cast<std::uint64_t>(steps);
  plan_end_ = now + std::max<Time>(1, static_cast<Time>(plan_.Length(steps)));
}

}  // namespace ryeglade::emulator
