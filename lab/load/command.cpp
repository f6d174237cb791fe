#include "lab/load/command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <stdexcept>

#include "base/gnuplot.h"
#include "lab/colon_parts.h"
#include "lab/load/agreement.h"
#include "lab/load/load_client.h"
#include "lab/local_fleet.h"
#include "lab/progress.h"

namespace ryeglade::load {
namespace {

// Parses a class like "docs:0.7" or "agent:0.3:1.5:8:9": name, share, latency objective and deadline in
// seconds, worth.
LoadClass ReadClass(const std::string& text) {
  const std::vector<std::string> parts = lab::SplitAtColons(text);
  LoadClass c;
  c.name = parts[0];
  if (c.name != "docs" && c.name != "agent")
    throw std::runtime_error("--class " + text + ": '" + c.name + "' is neither docs nor agent");
  if (c.name == "agent") c.worth = 9;
  const auto number = [&](std::size_t n, double least, double fallback) {
    if (n >= parts.size()) return fallback;
    try {
      std::size_t used = 0;
      const double v = std::stod(parts[n], &used);
      if (used == parts[n].size() && v >= least && v < 1e6) return v;
    } catch (const std::exception&) {  // reported below
    }
    throw std::runtime_error("--class " + text + ": '" + parts[n] +
                             "' is invalid; the form is NAME[:SHARE[:AIM_S[:DEADLINE_S[:WORTH]]]]");
  };
  c.share = number(1, 1e-6, 1);
  c.latency_objective =
      static_cast<Time>(number(2, 0.001, static_cast<double>(c.latency_objective) / 1e6) * 1e6);
  c.deadline = static_cast<Time>(number(3, 0.001, static_cast<double>(c.deadline) / 1e6) * 1e6);
  c.worth = number(4, 0, c.worth);
  if (c.latency_objective > c.deadline)
    throw std::runtime_error("--class " + text + ": AIM_S is later than DEADLINE_S");
  return c;
}

// An event loop for a node that this program has not started.
struct EventLoop {
  EventLoop() : buffers(std::size_t{256} << 20), deadlines(Init(&loop)), run{&loop, &deadlines, &buffers} {}
  ~EventLoop() {
    deadlines.Close();
    for (int i = 0; i < 100 && uv_loop_alive(&loop) != 0; ++i) uv_run(&loop, UV_RUN_NOWAIT);
    uv_loop_close(&loop);
  }
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  static uv_loop_t* Init(uv_loop_t* l) {
    uv_loop_init(l);
    return l;
  }
  uv_loop_t loop{};
  BufferPool buffers;
  Deadlines deadlines;
  Runtime run;
};

}  // namespace

Commands::Commands(CLI::App& app) {
  load_ = app.add_subcommand(
      "load",
      "send load to a node over loopback: open-loop arrivals, latencies counted from the scheduled times");
  load_->add_option("--to", to_, "ip:port of the node's front; or use --rig");
  load_
      ->add_option("--rig", replica_count_,
                   "start a node with that many fake replicas and send the load to it")
      ->check(CLI::Range(1, 64));
  load_->add_option("--protocol", protocol_)->check(CLI::IsMember({"platform", "openai"}));
  load_->add_option("--profile", profile_,
                    "RATE:LENGTH or RATE-RATE:LENGTH, several separated by commas: 50/s-400/s:30s,400/s:1m");
  load_->add_option("--class", classes_, "NAME[:SHARE[:AIM_S[:DEADLINE_S[:WORTH]]]]; NAME is docs or agent");
  load_->add_option("--churn", churn_, "share of requests on new connections")->check(CLI::Range(0.0, 1.0));
  load_
      ->add_option("--connections", max_connections_,
                   "maximum number of open connections; requests beyond it count as not_sent")
      ->check(CLI::Range(1, 20'000));
  load_->add_option("--key", key_, "API key for the OpenAI-style front");
  load_->add_option("--seed", seed_);
  load_->add_option("--out", out_, "write results to this HDF5 file");
  load_->add_option("--chart", chart_, "write a chart by second to this file, ending in .svg or .png");

  agree_ = app.add_subcommand(
      "agree",
      "run the same trace through a real node with fake replicas and through the emulator, and compare");
  agree_->add_option("--loads", loads_, "loads relative to the capacity of the replicas, separated by commas")
      ->delimiter(',')
      ->check(CLI::Range(0.01, 3.0));
  agree_->add_option("--seconds", seconds_)->check(CLI::Range(1.0, 3600.0));
  agree_->add_option("--seed", seed_);
  agree_->add_option("--bound", bound_,
                     "exit with 1 if p50 or p99 differ by more than this share plus 15 ms, or the shares of "
                     "worth by more than 0.1");
}

bool Commands::chosen() const { return load_->parsed() || agree_->parsed(); }

int Commands::Run(const std::string& node) { return load_->parsed() ? RunLoad(node) : RunAgree(node); }

int Commands::RunLoad(const std::string& node) {
  if (to_.empty() == (replica_count_ == 0))
    throw std::runtime_error("load: give --to ip:port of a node, or --rig N to start one");
  LoadPlan plan;
  plan.profile = ReadProfile(profile_);
  plan.seed = seed_;
  plan.churn = churn_;
  if (!classes_.empty()) plan.classes.clear();
  for (const std::string& text : classes_) plan.classes.push_back(ReadClass(text));
  LoadTarget target;
  target.openai = protocol_ == "openai";
  target.key = key_;
  target.max_connections = max_connections_;
  target.address = to_;

  std::unique_ptr<lab::LocalFleet> fleet;
  std::unique_ptr<EventLoop> loop;
  if (replica_count_ > 0) {
    lab::LocalFleetOptions o;
    o.program = node;
    o.key = key_;
    o.replicas.resize(replica_count_);
    fleet = std::make_unique<lab::LocalFleet>(o);
    target.address = target.openai ? fleet->openai() : fleet->platform();
  } else {
    loop = std::make_unique<EventLoop>();
  }
  const Runtime* run = fleet ? fleet->runtime() : &loop->run;
  LoadClient client(run, plan, target);
  const auto bar = lab::ProgressLine();
  client.Start();
  Time reported_at = Now();
  while (!client.done()) {
    uv_run(run->loop, UV_RUN_ONCE);
    if (bar && Now() - reported_at > 500'000) {
      reported_at = Now();
      bar(static_cast<double>(client.ended()) /
          static_cast<double>(std::max<std::size_t>(1, client.scheduled())));
    }
  }
  std::fputs(client.tally().Table().c_str(), stdout);
  std::printf("%zu connections opened\n", client.connections());
  if (!out_.empty()) {
    WriteColumns(out_,
                 client.tally().ToFile(fmt::format("to {} profile {} protocol {} churn {} seed {}",
                                                   target.address, profile_, protocol_, churn_, seed_)));
  }
  if (!chart_.empty()) RunGnuplot(client.tally().Chart(chart_, "load " + profile_));
  return 0;
}

int Commands::RunAgree(const std::string& node) {
  std::printf("%-5s %8s | %-29s | %-29s | %-15s | %s\n", "load", "requests", "first token p50 ms, real/emu.",
              "p99 ms, real/emulated", "worth, r/e", "unserved, r/e");
  bool good = true;
  for (const double load : loads_) {
    AgreementOptions o;
    o.program = node;
    o.load = load;
    o.seconds = seconds_;
    o.seed = seed_;
    o.progress = lab::ProgressLine();
    const Agreement a = MeasureAgreement(o);
    const auto near = [&](double x, double y) { return std::abs(x - y) <= bound_ * std::max(x, y) + 15; };
    good = good && near(a.real.p50_ms, a.emulated.p50_ms) && near(a.real.p99_ms, a.emulated.p99_ms) &&
           std::abs(a.real.share - a.emulated.share) <= 0.1;
    std::printf("%-5.2f %8zu | %13.1f / %-13.1f | %13.1f / %-13.1f | %6.3f / %-6.3f | %6.3f / %-6.3f\n", load,
                a.requests, a.real.p50_ms, a.emulated.p50_ms, a.real.p99_ms, a.emulated.p99_ms, a.real.share,
                a.emulated.share, a.real.unserved, a.emulated.unserved);
    if (a.late_ms > 20)
      std::printf(
          "      the load client itself sent requests %.0f ms late (p99), so this row is unreliable\n",
          a.late_ms);
  }
  return good ? 0 : 1;
}

}  // namespace ryeglade::load
