#include "lab/load/load_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>

#include "base/gnuplot.h"
#include "lab/emulator/random.h"

namespace ryeglade::load {
namespace {

constexpr double kMaxRate = 200'000;  // requests per second
constexpr double kMaxSeconds = 86'400, kMaxArrivals = 20e6;

[[noreturn]] void FailProfile(const std::string& text, const std::string& what) {
  throw std::runtime_error("profile '" + text + "': " + what +
                           "; expected RATE:LENGTH or RATE-RATE:LENGTH, several separated by commas, e.g. "
                           "50/s-400/s:30s,400/s:1m");
}

// Parses a number with one of the given units, such as "400/s" or "30s", and returns it times the unit's
// factor.
double ParseQuantity(const std::string& whole, std::string_view text,
                     std::initializer_list<std::pair<const char*, double>> units, const char* what) {
  double v = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc() || v < 0) FailProfile(whole, fmt::format("'{}' is not a valid {}", text, what));
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  for (const auto& [name, factor] : units) {
    if (unit == name) return v * factor;
  }
  FailProfile(whole, fmt::format("'{}' has no unit of a {}", text, what));
}

}  // namespace

std::vector<Phase> ReadProfile(const std::string& text) {
  std::vector<Phase> phases;
  double all = 0;
  for (std::size_t from = 0; from <= text.size();) {
    const std::size_t comma = std::min(text.find(',', from), text.size());
    const std::string_view part(text.data() + from, comma - from);
    from = comma + 1;
    const std::size_t colon = part.find(':');
    if (colon == std::string_view::npos) FailProfile(text, fmt::format("'{}' has no length", part));
    const std::string_view rates = part.substr(0, colon);
    const std::size_t dash = rates.find('-');
    const auto rate = [&](std::string_view r) {
      return ParseQuantity(text, r, {{"/s", 1}, {"/m", 1 / 60.0}}, "rate");
    };
    Phase p;
    p.from = rate(rates.substr(0, dash));
    p.to = dash == std::string_view::npos ? p.from : rate(rates.substr(dash + 1));
    p.seconds = ParseQuantity(text, part.substr(colon + 1), {{"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}},
                              "length");
    if (p.seconds <= 0 || p.seconds > kMaxSeconds)
      FailProfile(text, "a length must be over 0 and at most a day");
    if (std::max(p.from, p.to) > kMaxRate) FailProfile(text, fmt::format("a rate is over {}/s", kMaxRate));
    all += (p.from + p.to) / 2 * p.seconds;
    phases.push_back(p);
  }
  if (all > kMaxArrivals)
    FailProfile(text, fmt::format("the profile makes {:.0f} requests, over {:.0f}", all, kMaxArrivals));
  return phases;
}

std::vector<ScheduledRequest> Arrivals(const LoadPlan& plan) {
  using emulator::RandomPurpose;
  using emulator::RandomStream;
  RandomStream arrivals(plan.seed, RandomPurpose::kArrivals), sizes(plan.seed, RandomPurpose::kSizes),
      sessions(plan.seed, RandomPurpose::kSessions), connections(plan.seed, RandomPurpose::kNetwork);
  double shares = 0;
  for (const LoadClass& c : plan.classes) shares += c.share;
  std::vector<ScheduledRequest> all;
  double begin = 0;
  for (const Phase& p : plan.profile) {
    const double max_rate = std::max(p.from, p.to);
    for (double t = 0; max_rate > 0;) {
      t += arrivals.Exponential(1 / max_rate);
      if (t >= p.seconds) break;
      if (arrivals.Unit() * max_rate >= p.from + (p.to - p.from) * t / p.seconds) continue;
      ScheduledRequest request;
      request.at = static_cast<Time>((begin + t) * 1e6);
      double u = sizes.Unit() * shares;
      while (request.cls + 1 < plan.classes.size() && u >= plan.classes[request.cls].share)
        u -= plan.classes[request.cls++].share;
      request.prompt_bytes = static_cast<std::size_t>(std::min(20'000.0, sizes.Lognormal(250, 0.8)));
      request.tokens = 1 + sizes.Below(plan.max_tokens);
      request.prefix = sessions.Zipf(16, 1);
      request.new_connection = connections.Chance(plan.churn);
      all.push_back(request);
    }
    begin += p.seconds;
  }
  return all;
}

const char* Name(Outcome outcome) {
  static constexpr const char* kNames[] = {"served", "refused", "rejected", "failed",
                                           "broken", "nothing", "not_sent"};
  return kNames[static_cast<std::size_t>(outcome)];
}

Tally::Tally(const LoadPlan& plan) : plan_(plan), classes_(plan.classes.size()) {}

void Tally::Record(const ScheduledRequest& request, const Response& response) {
  const LoadClass& load_class = plan_.classes[request.cls];
  ByClass& c = classes_[request.cls];
  Second& s = seconds_[request.at / 1'000'000];
  const auto ms = [](Time t) { return static_cast<double>(t) / 1000; };
  ++c.asked;
  ++s.asked;
  ++c.outcomes[static_cast<std::size_t>(response.outcome)];
  c.worth_asked += load_class.worth;
  if (response.sent > 0) late_(ms(std::max<Time>(0, response.sent - request.at)));
  if (response.outcome == Outcome::kRefused) {
    ++s.refused;
    c.with_retry_after += response.retry_after ? 1 : 0;
  } else if (response.outcome != Outcome::kServed) {
    ++s.other;
  }
  if (response.outcome != Outcome::kServed) return;
  const Time first = response.first - request.at;
  c.first(ms(first));
  s.first(ms(first));
  c.total(ms(response.ended - request.at));
  c.tokens += static_cast<double>(request.tokens);
  c.answering_ms += ms(response.ended - response.first);
  ++s.served;
  if (first <= load_class.latency_objective) ++c.in_time;
  if (first <= load_class.deadline)
    c.worth +=
        first <= load_class.latency_objective ? load_class.worth : load_class.worth * load_class.late_worth;
}

std::string Tally::Table() const {
  std::string out = fmt::format("{:<8} {:>8}", "class", "asked");
  for (std::size_t o = 0; o < static_cast<std::size_t>(Outcome::kCount); ++o)
    out += fmt::format(" {:>8}", Name(static_cast<Outcome>(o)));
  out += fmt::format(" {:>8} {:>9} {:>9} | first token, ms: {:>8} {:>8} {:>8} | whole: {:>8} {:>8}\n",
                     "in time", "worth", "of", "p50", "p90", "p99", "p50", "p99");
  for (std::size_t n = 0; n < classes_.size(); ++n) {
    const ByClass& c = classes_[n];
    out += fmt::format("{:<8} {:>8}", plan_.classes[n].name, c.asked);
    for (const std::uint64_t v : c.outcomes) out += fmt::format(" {:>8}", v);
    out += fmt::format(
        " {:>8} {:>9.1f} {:>9.1f} | {:>16} {:>8.2f} {:>8.2f} {:>8.2f} | {:>6} {:>8.2f} {:>8.2f}\n", c.in_time,
        c.worth, c.worth_asked, "", lab::QuantileOf(c.first, 0.5), lab::QuantileOf(c.first, 0.9),
        lab::QuantileOf(c.first, 0.99), "", lab::QuantileOf(c.total, 0.5), lab::QuantileOf(c.total, 0.99));
  }
  const double late = lab::QuantileOf(late_, 0.99);
  out += fmt::format(
      "latencies count from the scheduled times; delay of the load client itself: p50 {:.2f} ms, p99 {:.2f} "
      "ms{}\n",
      lab::QuantileOf(late_, 0.5), late,
      late > 20 ? ": the load client is the bottleneck; lower the rate or give it a CPU core of its own"
                : "");
  return out;
}

ColumnarFile Tally::ToFile(const std::string& how) const {
  ColumnarFile file;
  file.attributes = {{"schema", "1"}, {"what", "results of ryeglade-lab load"}, {"settings", how}};
  TextTable classes{"classes", {{"class", Strings{}}, {"asked", Integers{}}, {"in_time", Integers{}}}};
  for (std::size_t o = 0; o < static_cast<std::size_t>(Outcome::kCount); ++o)
    classes.columns.push_back({Name(static_cast<Outcome>(o)), Integers{}});
  classes.columns.push_back({"worth", Numbers{}});
  classes.columns.push_back({"worth_asked", Numbers{}});
  TableBuilder bins(
      "latency", {{"class", Strings{}}, {"what", Strings{}}, {"from_ms", Numbers{}}, {"count", Numbers{}}});
  for (std::size_t n = 0; n < classes_.size(); ++n) {
    const ByClass& c = classes_[n];
    std::size_t at = 0;
    const auto add_integer = [&](std::uint64_t v) {
      std::get<Integers>(classes.columns[at++].values).push_back(static_cast<std::int64_t>(v));
    };
    std::get<Strings>(classes.columns[at++].values).push_back(plan_.classes[n].name);
    add_integer(c.asked);
    add_integer(c.in_time);
    for (const std::uint64_t v : c.outcomes) add_integer(v);
    for (const double v : {c.worth, c.worth_asked})
      std::get<Numbers>(classes.columns[at++].values).push_back(v);
    for (const auto& [what, h] : {std::pair{"first_token", &c.first}, std::pair{"whole", &c.total}}) {
      for (const auto& bin : boost::histogram::indexed(*h, boost::histogram::coverage::all)) {
        if (*bin > 0) bins.Add(plan_.classes[n].name, what, std::max(0.0, bin.bin().lower()), double{*bin});
      }
    }
  }
  TableBuilder seconds("seconds", {{"second", Integers{}},
                                   {"asked", Integers{}},
                                   {"served", Integers{}},
                                   {"refused", Integers{}},
                                   {"other", Integers{}},
                                   {"first_p50_ms", Numbers{}},
                                   {"first_p99_ms", Numbers{}}});
  for (const auto& [second, s] : seconds_)
    seconds.Add(second, s.asked, s.served, s.refused, s.other, lab::QuantileOf(s.first, 0.5),
                lab::QuantileOf(s.first, 0.99));
  file.tables = {std::move(classes), bins.Take(), seconds.Take()};
  return file;
}

std::string Tally::Chart(const std::string& out, const std::string& title) const {
  std::string s = "$d << EOD\n";
  for (const auto& [second, x] : seconds_)
    s += fmt::format("{} {} {} {} {} {:.3f} {:.3f}\n", second, x.asked, x.served, x.refused, x.other,
                     lab::QuantileOf(x.first, 0.5), lab::QuantileOf(x.first, 0.99));
  s += "EOD\n" + GnuplotHead(out, 1100, 460, 11);
  s += fmt::format("set multiplot layout 1,2 title \"{}\"\nset grid lc rgb \"#dddddd\"\nset autoscale xfix\n",
                   title);
  s +=
      "set xlabel \"second in which they were scheduled\"\nset yrange [0:*]\nset ylabel \"requests\"\nset "
      "key top "
      "left\n"
      "plot $d using 1:2 with lines lw 1.6 title \"asked\", $d using 1:3 with lines lw 1.6 title \"served\", "
      "$d using 1:4 with lines lw 1.6 title \"refused\", $d using 1:5 with lines lw 1.6 title \"other\"\n"
      "set ylabel \"first token, ms\"\nset yrange [*:*]\nset logscale y\n"
      "plot $d using 1:($6 > 0 ? $6 : 1/0) with lines lw 1.6 title \"p50\", $d using 1:($7 > 0 ? $7 : 1/0) "
      "with lines "
      "lw 1.6 title \"p99\"\nunset multiplot\nunset output\n";
  return s;
}

}  // namespace ryeglade::load
