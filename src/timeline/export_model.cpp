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
  for (const Annotation& m : timelines.annotations()) marks.Add(ms(m.at), "", m.text);
  for (const auto& [id, replica] : timelines.replicas()) {
    const std::string title = replica.Title();
    for (const auto& [n, b] : replica.bins) {
      const StateSpan* span =
          ReplicaTimelines::SpanAt(replica, timelines.BinStart(n) + timelines.width() - 1);
      bins.Add(ms(timelines.BinStart(n)), title, b.sent, b.served, b.failed, b.at_capacity, b.cancelled,
               NanIfNegative(b.first_tokens > 0 ? b.first_token_sum / b.first_tokens : -1.0),
               NanIfNegative(b.first_tokens > 0 ? b.first_token_max : -1.0), b.in_flight,
               NanIfNegative(b.load), NanIfNegative(b.load_age),
               Name(span == nullptr ? ReplicaState::kUnlisted : span->state));
    }
    for (const StateSpan& s : replica.spans)
      states.Add(title, ms(s.from), ms(s.to), Name(s.state), Name(s.last_known), s.reason);
    for (const EjectionSpan& r : replica.ejections)
      rests.Add(title, ms(r.from), ms(r.until), ryeglade::Name(r.outcome), r.consecutive_failures);
    for (const Annotation& m : replica.annotations) marks.Add(ms(m.at), title, m.text);
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
  for (const Anomaly& u : timelines.anomalies()) {
    events.Add(ms(u.now), u.number, u.begins ? "begins" : "ends", Name(u.kind),
               u.fleet ? std::string("fleet") : timelines.ReplicaTitle(u.replica), ms(u.since), u.baseline,
               u.during, u.peers);
  }
  std::vector<TextTable> tables;
  for (TableBuilder* r : {&bins, &fleet, &states, &rests, &events, &marks}) tables.push_back(r->Take());
  return tables;
}

}  // namespace ryeglade::timeline
