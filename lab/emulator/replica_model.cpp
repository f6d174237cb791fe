#include "lab/emulator/replica_model.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::emulator {
namespace {

constexpr double kEvictionSteps = 64;       // number of steps for which memory is freed at once
constexpr double kMaxColdPlanUs = 100'000;  // maximum length of a plan while the speed still rises

}  // namespace

double Replica::Plan::StepsIn(double span) const {
  if (growth <= 0) return span / first;
  // The positive solution k of first*k + growth*k(k-1)/2 = span.
  const double b = first - growth / 2;
  return (-b + std::sqrt(b * b + 2 * growth * span)) / growth;
}

double Replica::Speed(Time now) const {
  if (spec_.slow_start_window <= 0 || now >= started_ + spec_.slow_start_window) return spec_.speed;
  const double age =
      static_cast<double>(std::max<Time>(0, now - started_)) / static_cast<double>(spec_.slow_start_window);
  return spec_.speed * (spec_.slow_start_min_share + (1 - spec_.slow_start_min_share) * age);
}

double Replica::FindCached(const Job& job) {
  double found = 0;
  for (const auto& [key, most] :
       {std::pair{job.session, job.prompt}, std::pair{job.prefix, job.prefix_tokens}}) {
    if (key == 0) continue;
    const auto it = cache_by_key_.find(key);
    if (it == cache_by_key_.end()) continue;
    found = std::max(found, std::min(it->second->tokens, most));
    cache_.splice(cache_.begin(), cache_, it->second);
  }
  return std::min(found, job.prompt - 1);  // the last token is always read
}

void Replica::Cache(std::uint64_t key, double tokens) {
  if (key == 0 || tokens <= 0) return;
  const auto it = cache_by_key_.find(key);
  if (it != cache_by_key_.end()) {
    cached_tokens_ += tokens - it->second->tokens;
    it->second->tokens = tokens;
    cache_.splice(cache_.begin(), cache_, it->second);
  } else {
    cache_.push_front({key, tokens});
    cache_by_key_[key] = cache_.begin();
    cached_tokens_ += tokens;
  }
  EvictFor(0);
}

void Replica::EvictFor(double wanted) {
  while (!cache_.empty() && context_ + cached_tokens_ + wanted > spec_.memory_tokens) {
    cached_tokens_ -= cache_.back().tokens;
    cache_by_key_.erase(cache_.back().key);
    cache_.pop_back();
  }
}

bool Replica::Offer(Time now, const Job& job) {
  if (static_cast<int>(waiting_.size()) >= spec_.queue || job.prompt + job.answer > spec_.memory_tokens)
    return false;
  Request request;
  request.job = job;
  request.job.prompt = std::max(1.0, job.prompt);
  request.job.answer = std::max(1.0, job.answer);
  request.unread = request.job.prompt;
  request.order = ++order_;
  unread_ += request.unread;
  waiting_.push_back(requests_.Add(request));
  if (busy() < spec_.slots || spec_.shortest_first) TruncatePlan(now);
  return true;
}

std::vector<std::uint64_t> Replica::Jobs() const {
  std::vector<std::uint64_t> ids;
  for (const Handle h : requests_.All()) ids.push_back(requests_.Get(h)->job.id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

bool Replica::Cancel(Time now, std::uint64_t job) {
  // A linear search is enough, because cancellations are rare and a replica has few requests.
  const std::vector<Handle> all = requests_.All();
  const auto found = std::find_if(all.begin(), all.end(), [&](Handle h) { return At(h).job.id == job; });
  if (found == all.end()) return false;
  const Handle id = *found;
  // The step in progress is not undone; its memory is released together with the request.
  Request& request = At(id);
  switch (request.state) {
    case Request::State::kWaiting:
      std::erase(waiting_, id);
      unread_ -= request.unread;
      break;
    case Request::State::kReading:
      TruncatePlan(now);
      std::erase(reading_, id);
      unread_ -= request.unread;
      context_ -= request.context;
      break;
    case Request::State::kRunning:
      TruncatePlan(now);
      --running_;
      context_ -= request.context + static_cast<double>(step_ - request.since);
      break;
  }
  requests_.Remove(id);
  return true;
}

// Applies the completed steps of the plan, and lets it end with the step in progress.
void Replica::TruncatePlan(Time now) {
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

void Replica::SetSpeed(Time now, double speed) {
  spec_.speed = speed;
  if (plan_.steps > 0) TruncatePlan(now);
}

void Replica::Run(Time now, std::vector<JobEvent>& events) {
  if (plan_.steps == 0 || now < plan_end_) return;
  const std::uint64_t steps = plan_.steps;
  plan_.steps = 0;
  Apply(steps, &events);
  Admit();
  MakePlan(now);
}

// Applies whole steps. A request can finish only with the last step of a plan; `events` is not null then.
void Replica::Apply(std::uint64_t steps, std::vector<JobEvent>* events) {
  const auto k = static_cast<double>(steps);
  step_ += steps;
  context_ += running_ * k;
  answered_tokens_ += static_cast<std::uint64_t>(running_) * steps;
  double read = plan_.read * k;
  read_tokens_ += static_cast<std::uint64_t>(read);
  while (read > 1e-9 && !reading_.empty()) {
    const Handle head = reading_.front();
    Request& request = At(head);
    const double part = std::min(read, request.unread);
    request.unread -= part;
    request.context += part;
    unread_ -= part;
    context_ += part;
    read -= part;
    if (request.unread > 1e-9) break;
    reading_.pop_front();
    request.state = Request::State::kRunning;
    request.since = step_;
    request.answered += 1;
    request.context += 1;  // its first token, or the next one if it was preempted
    context_ += 1;
    ++answered_tokens_;
    ++running_;
    request.finish = step_ + static_cast<std::uint64_t>(std::max(0.0, request.job.answer - request.answered));
    finishing_.push({request.finish, head});
    if (events != nullptr && request.answered == 1)
      events->push_back({JobEvent::Kind::kFirst, request.job.id, request.cached});
  }
  while (!finishing_.empty() && finishing_.top().step <= step_) {
    const Finish f = finishing_.top();
    finishing_.pop();
    const Request* there = requests_.Get(f.id);
    if (there == nullptr || there->state != Request::State::kRunning || there->finish != f.step) continue;
    const Request request = *there;
    requests_.Remove(f.id);
    --running_;
    context_ -= request.context + static_cast<double>(step_ - request.since);
    Cache(request.job.session, request.job.prompt + request.job.answer);
    Cache(request.job.prefix, request.job.prefix_tokens);
    if (events != nullptr) events->push_back({JobEvent::Kind::kDone, request.job.id, request.cached});
  }
}

double Replica::RemainingAnswer(const Request& request) const {
  const double running =
      request.state == Request::State::kRunning ? static_cast<double>(step_ - request.since) : 0;
  return request.job.answer - request.answered - running;
}

// Sorts the waiting requests by what is left of their answers, and preempts running requests that have more
// left than the first of them.
void Replica::PreemptLongest() {
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [this](Handle a, Handle b) { return RemainingAnswer(At(a)) < RemainingAnswer(At(b)); });
  while (!waiting_.empty() && busy() >= spec_.slots) {
    Handle longest = 0;
    double most = RemainingAnswer(At(waiting_.front()));
    for (const Handle h : requests_.All()) {
      const Request& request = At(h);
      if (request.state != Request::State::kRunning || RemainingAnswer(request) <= most) continue;
      most = RemainingAnswer(request);
      longest = h;
    }
    if (longest == 0) return;
    const Handle first = waiting_.front();
    Preempt(longest);
    std::erase(waiting_, first);
    waiting_.push_front(first);
  }
}

void Replica::Admit() {
  if (spec_.shortest_first) PreemptLongest();
  while (!waiting_.empty() && busy() < spec_.slots) {
    Request& request = At(waiting_.front());
    const double cached = request.answered > 0 ? 0 : FindCached(request.job);
    const double need = request.job.prompt + request.answered;
    // If there is no room for its prompt and the next token of every request, it waits, and so do all behind
    // it.
    if (context_ + need + busy() + 1 > spec_.memory_tokens && busy() > 0) return;
    EvictFor(need - cached);
    if (request.answered == 0) request.cached = cached;
    unread_ -= cached;
    request.unread = std::max(1.0, need - cached);
    request.context = need - request.unread;
    context_ += request.context;
    request.state = Request::State::kReading;
    reading_.push_back(waiting_.front());
    waiting_.pop_front();
  }
}

// Returns the request in a slot that arrived last.
Handle Replica::LastArrived() {
  Handle last = 0;
  std::uint64_t order = 0;
  for (const Handle h : requests_.All()) {
    const Request& request = At(h);
    if (request.state == Request::State::kWaiting || request.order < order) continue;
    order = request.order;
    last = h;
  }
  return last;
}

// Returns a request to the head of the queue; it will read its prompt and its answer so far again.
void Replica::Preempt(Handle id) {
  Request& request = At(id);
  if (request.state == Request::State::kRunning) {
    const double ran = static_cast<double>(step_ - request.since);
    request.answered += ran;
    context_ -= request.context + ran;
    --running_;
  } else {
    std::erase(reading_, id);
    unread_ -= request.unread;
    context_ -= request.context;
  }
  request.context = 0;
  request.finish = 0;
  request.unread = request.job.prompt + request.answered;
  unread_ += request.unread;
  request.state = Request::State::kWaiting;
  waiting_.push_front(id);
  ++preempted_;
}

void Replica::MakePlan(Time now) {
  plan_ = {};
  plan_end_ = kNever;
  if (busy() == 0) return;
  double read = 0;
  const auto next_read = [&] {
    double all = 0;
    for (const Handle id : reading_) {
      all += At(id).unread;
      if (all >= spec_.chunk) break;
    }
    return std::min(all, static_cast<double>(spec_.chunk));
  };
  read = next_read();
  // Frees memory for many steps at once; freeing it step by step would make each step an event of its own.
  EvictFor(std::min(0.05 * spec_.memory_tokens, kEvictionSteps * (running_ + read)));
  while (context_ + running_ + read > spec_.memory_tokens && busy() > 1) {
    Preempt(LastArrived());
    read = next_read();
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
    // Steps are alike while the first prompt fills the chunk; the step that reads its end is a plan of its
    // own.
    const double head = At(reading_.front()).unread;
    steps = head > read ? std::max(1.0, std::ceil(head / read) - 1) : 1;
    if (head <= read) steps = 1;
  }
  while (!finishing_.empty()) {
    const Finish& f = finishing_.top();
    const Request* request = requests_.Get(f.id);
    if (request != nullptr && request->state == Request::State::kRunning && request->finish == f.step) {
      steps = std::min(steps, std::max(1.0, static_cast<double>(f.step) - static_cast<double>(step_)));
      break;
    }
    finishing_.pop();
  }
  // The plan ends before memory runs out, and after at most kMaxColdPlanUs while the speed still rises.
  const double grows = running_ + read;  // tokens per step
  if (grows > 0)
    steps =
        std::min(steps, std::max(1.0, std::floor((spec_.memory_tokens - context_ - cached_tokens_) / grows)));
  if (speed != spec_.speed) steps = std::min(steps, std::max(1.0, std::floor(plan_.StepsIn(kMaxColdPlanUs))));
  plan_.steps = static_cast<std::uint64_t>(steps);
  plan_end_ = now + std::max<Time>(1, static_cast<Time>(plan_.Length(steps)));
}

}  // namespace ryeglade::emulator
