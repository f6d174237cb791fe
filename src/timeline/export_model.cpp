#include "timeline/export_model.h"

#include <limits>

#include "core/enum_names.h"

namespace ryeglade::timeline {
namespace {

double NanIfNegative(double v) { return v < 0 ? std::numeric_limits<double>::quiet_NaN() : v; }

}  // namespace

std::vector<TextTable> TimelineTables(const ReplicaTimelines& timelines) {
  const auto ms = [](Time t) { return t / 1000; };
  TableBuilder bins("bins", {{"start_ms", Integers{}},
                             {"replica", Strings{}},
                             {"sent", Integers{}},
                             {"served", Integers{}},
                             {"failed", Integers{}},
                             {"full", Integers{}},
                             {"cancelled", Integers{}},
                             {"first_token_mean_ms", Numbers{}},
                             {"first_token_most_ms", Numbers{}},
                             {"in_flight_most", Integers{}},
                             {"load", Numbers{}},
                             {"load_age_s", Numbers{}},
                             {"state", Strings{}}});
  TableBuilder states("states", {{"replica", Strings{}},
                                 {"from_ms", Integers{}},
                                 {"to_ms", Integers{}},
                                 {"state", Strings{}},
                                 {"last_known", Strings{}},
                                 {"why", Strings{}}});
  TableBuilder rests("rests", {{"replica", Strings{}},
                               {"from_ms", Integers{}},
                               {"until_ms", Integers{}},
                               {"outcome", Strings{}},
                               {"failures", Integers{}}});
  TableBuilder marks("marks", {{"at_ms", Integers{}}, {"replica", Strings{}}, {"what", Strings{}}});
  for (const Annotation& annotation : timelines.annotations())
    marks.Add(ms(annotation.at), "", annotation.text);
  for (const auto& [id, replica] : timelines.replicas()) {
    const std::string title = replica.Title();
    for (const auto& [n, bin] : replica.bins) {
      const StateSpan* span =
          ReplicaTimelines::SpanAt(replica, timelines.BinStart(n) + timelines.width() - 1);
      bins.Add(ms(timelines.BinStart(n)), title, bin.sent, bin.served, bin.failed, bin.at_capacity,
               bin.cancelled,
               NanIfNegative(bin.first_tokens > 0 ? bin.first_token_sum / bin.first_tokens : -1.0),
               NanIfNegative(bin.first_tokens > 0 ? bin.first_token_max : -1.0), bin.in_flight,
               NanIfNegative(bin.load), NanIfNegative(bin.load_age),
               Name(span == nullptr ? ReplicaState::kUnlisted : span->state));
    }
    for (const StateSpan& span : replica.spans)
      states.Add(title, ms(span.from), ms(span.to), Name(span.state), Name(span.last_known), span.reason);
    for (const EjectionSpan& ejection : replica.ejections)
      rests.Add(title, ms(ejection.from), ms(ejection.until), ryeglade::Name(ejection.outcome),
                ejection.consecutive_failures);
    for (const Annotation& annotation : replica.annotations)
      marks.Add(ms(annotation.at), title, annotation.text);
  }
  TableBuilder fleet("fleet", {{"start_ms", Integers{}},
                               {"arrived", Integers{}},
                               {"sent", Integers{}},
                               {"served", Integers{}},
                               {"refused", Integers{}},
                               {"failed", Integers{}},
                               {"client_gone", Integers{}},
                               {"counted_not_kept", Integers{}}});
  for (const auto& [n, f] : timelines.fleet())
    fleet.Add(ms(timelines.BinStart(n)), f.arrived, f.sent, f.served, f.rejected, f.failed, f.disconnected,
              f.coalesced);
  TableBuilder events("events", {{"at_ms", Integers{}},
                                 {"number", Integers{}},
                                 {"what", Strings{}},
                                 {"kind", Strings{}},
                                 {"replica", Strings{}},
                                 {"since_ms", Integers{}},
                                 {"before", Numbers{}},
                                 {"during", Numbers{}},
                                 {"peers", Numbers{}}});
  for (const Anomaly& anomaly : timelines.anomalies()) {
    events.Add(ms(anomaly.now), anomaly.number, anomaly.begins ? "begins" : "ends", Name(anomaly.kind),
               anomaly.fleet ? std::string("fleet") : timelines.ReplicaTitle(anomaly.replica),
               ms(anomaly.since), anomaly.baseline, anomaly.during, anomaly.peers);
  }
  std::vector<TextTable> tables;
  for (TableBuilder* builder : {&bins, &fleet, &states, &rests, &events, &marks})
    tables.push_back(builder->Take());
  return tables;
}

}  // namespace ryeglade::timeline
