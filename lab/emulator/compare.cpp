#include "lab/emulator/compare.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <exception>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "base/gnuplot.h"

namespace ryeglade::emulator {

Interval IntervalOf(const std::vector<double>& values) {
  Interval out;
  if (values.empty()) return out;
  const auto n = static_cast<double>(values.size());
  for (const double v : values) out.mean += v / n;
  if (values.size() < 2) return out;
  double squares = 0;
  for (const double v : values) squares += (v - out.mean) * (v - out.mean);
  const double t = boost::math::quantile(boost::math::students_t(n - 1), 0.975);
  out.half = t * std::sqrt(squares / (n - 1) / n);
  return out;
}

std::vector<CompareRow> Compare(const CompareOptions& o) {
  std::vector<CompareRow> rows;
  for (const double load : o.loads) {
    for (const std::string& policy : o.policies) {
      CompareRow row;
      row.policy = policy;
      row.load = load;
      row.runs.resize(static_cast<std::size_t>(o.seeds));
      rows.push_back(std::move(row));
    }
  }
  const std::size_t total = rows.size() * static_cast<std::size_t>(o.seeds);
  std::atomic<std::size_t> next = 0, done = 0;
  std::mutex mutex;
  std::exception_ptr failed;
  const auto work = [&] {
    for (std::size_t n = next++; n < total; n = next++) {
      CompareRow& row = rows[n / static_cast<std::size_t>(o.seeds)];
      const std::size_t seed = n % static_cast<std::size_t>(o.seeds);
      ScenarioSpec scenario = o.scenario;
      scenario.policy = row.policy;
      scenario.clients.per_second *= row.load;
      scenario.seed = o.scenario.seed + seed;
      try {
        row.runs[seed] = RunScenario(scenario);
      } catch (...) {
        const std::lock_guard lock(mutex);
        if (!failed) failed = std::current_exception();
        next = total;  // the other workers end too
      }
      ++done;
      if (o.progress) {
        const std::lock_guard lock(mutex);
        o.progress(done, total);
      }
    }
  };
  std::vector<std::thread> threads;
  for (int w = 1; w < o.workers; ++w) threads.emplace_back(work);
  work();
  for (std::thread& t : threads) t.join();
  if (failed) std::rethrow_exception(failed);

  for (std::size_t r = 0; r < rows.size(); ++r) {
    CompareRow& row = rows[r];
    const CompareRow& first = rows[r - r % o.policies.size()];
    std::vector<double> share, differences, p50, p99, refused, cached;
    for (std::size_t s = 0; s < row.runs.size(); ++s) {
      const ScenarioResult& result = row.runs[s];
      share.push_back(result.Share());
      differences.push_back(result.Share() - first.runs[s].Share());
      p50.push_back(result.Quantile(0.5));
      p99.push_back(result.Quantile(0.99));
      refused.push_back(static_cast<double>(result.refused + result.failed + result.broken + result.lost) /
                        static_cast<double>(std::max<std::uint64_t>(1, result.requests)));
      cached.push_back(result.cached_share);
      row.violations += result.violations.all();
    }
    row.share = IntervalOf(share);
    row.difference_to_first = IntervalOf(differences);
    row.p50 = IntervalOf(p50);
    row.p99 = IntervalOf(p99);
    row.refused = IntervalOf(refused);
    row.cached_share = IntervalOf(cached);
  }
  return rows;
}

namespace {

std::string Verdict(const CompareRow& row) {
  if (row.difference_to_first.mean == 0 && row.difference_to_first.half == 0) return "";
  return std::abs(row.difference_to_first.mean) > row.difference_to_first.half &&
                 row.difference_to_first.half > 0
             ? (row.difference_to_first.mean > 0 ? "better" : "worse")
             : "noise";
}

}  // namespace

std::string CompareTable(const std::vector<CompareRow>& rows) {
  std::string out =
      fmt::format("{:<16} {:>5}  {:>15}  {:>16} {:<7} {:>9} {:>9}  {:>9}  {:>6}  {:>6}\n", "policy", "load",
                  "worth", "against first", "", "p50 ms", "p99 ms", "unserved", "kept", "breaks");
  for (const CompareRow& r : rows) {
    out += fmt::format(
        "{:<16} {:>5.2f}  {:.4f} +-{:.4f}  {:+.4f} +-{:.4f} {:<7} {:>9.0f} {:>9.0f}  {:>9.4f}  {:>6.3f}  "
        "{:>6}\n",
        r.policy, r.load, r.share.mean, r.share.half, r.difference_to_first.mean, r.difference_to_first.half,
        Verdict(r), r.p50.mean, r.p99.mean, r.refused.mean, r.cached_share.mean, r.violations);
  }
  return out;
}

std::string CompareMarkdown(const std::vector<CompareRow>& rows) {
  std::string out =
      "| policy | load | share of worth | against the first | first token p50, ms | p99, ms | unserved | "
      "kept |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const CompareRow& r : rows) {
    out += fmt::format(
        "| {} | {:.2f} | {:.4f} ± {:.4f} | {:+.4f} ± {:.4f} {} | {:.0f} | {:.0f} | {:.4f} | {:.3f} |\n",
        r.policy, r.load, r.share.mean, r.share.half, r.difference_to_first.mean, r.difference_to_first.half,
        Verdict(r), r.p50.mean, r.p99.mean, r.refused.mean, r.cached_share.mean);
  }
  return out;
}

std::string CompareChart(const std::vector<CompareRow>& rows, const std::string& out,
                         const std::string& title) {
  std::vector<std::string> policies;
  for (const CompareRow& r : rows) {
    if (std::find(policies.begin(), policies.end(), r.policy) == policies.end()) policies.push_back(r.policy);
  }
  std::string s;
  for (std::size_t p = 0; p < policies.size(); ++p) {
    s += fmt::format("$p{} << EOD\n", p);
    for (const CompareRow& r : rows) {
      if (r.policy == policies[p])
        s += fmt::format("{} {:.6f} {:.6f} {:.3f} {:.3f}\n", r.load, r.share.mean, r.share.half, r.p99.mean,
                         r.p99.half);
    }
    s += "EOD\n";
  }
  s += GnuplotHead(out, 1200, 520, 11);
  s += fmt::format("set multiplot layout 1,2 title \"{}\"\n", title);
  s += "set grid lc rgb \"#dddddd\"\nset xlabel \"load\"\nset key bottom left\nset offsets graph 0.03, graph "
       "0.03, 0, 0\n";
  const auto plot = [&](int mean, int half) {
    s += "plot ";
    for (std::size_t p = 0; p < policies.size(); ++p) {
      s += fmt::format("{}$p{} using 1:{}:{} with yerrorlines lw 1.6 pt 7 ps 0.5 lc {} title \"{}\"",
                       p > 0 ? ", " : "", p, mean, half, p + 1, policies[p]);
    }
    s += "\n";
  };
  s += "set ylabel \"share of the worth asked for\"\nset yrange [0:1.02]\n";
  plot(2, 3);
  s += "set ylabel \"first token, p99, ms\"\nset yrange [*:*]\nset logscale y\nset key top left\n";
  plot(4, 5);
  return s + "unset multiplot\nunset output\n";
}

}  // namespace ryeglade::emulator
