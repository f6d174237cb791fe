#include "timeline/export_model.h"

#include <limits>

#include "core/enum_names.h"

namespace ryeglade::timeline {
namespace {

double OrNothing(double v) { return v < 0 ? std::numeric_limits<double>::quiet_NaN() : v; }

}  // namespace

std::vector<TextTable> TimelineTables(const ReplicaTimelines& timelines) {
  const auto ms = [](Time t) { return t / 1000; };
  Rows bins("bins", {{"start_ms", Wholes{}},
                     {"replica", Texts{}},
                     {"sent", Wholes{}},
                     {"served", Wholes{}},
                     {"failed", Wholes{}},
                     {"full", Wholes{}},
                     {"cancelled", Wholes{}},
                     {"first_token_mean_ms", Numbers{}},
                     {"first_token_most_ms", Numbers{}},
                     {"in_flight_most", Wholes{}},
                     {"load", Numbers{}},
                     {"load_age_s", Numbers{}},
                     {"state", Texts{}}});
  Rows states("states", {{"replica", Texts{}},
                         {"from_ms", Wholes{}},
                         {"to_ms", Wholes{}},
                         {"state", Texts{}},
                         {"last_known", Texts{}},
                         {"why", Texts{}}});
  Rows rests("rests", {{"replica", Texts{}},
                       {"from_ms", Wholes{}},
                       {"until_ms", Wholes{}},
                       {"outcome", Texts{}},
                       {"failures", Wholes{}}});
  Rows marks("marks", {{"at_ms", Wholes{}}, {"replica", Texts{}}, {"what", Texts{}}});
  for (const Annotation& m : timelines.annotations()) marks.Add(ms(m.at), "", m.text);
  for (const auto& [id, replica] : timelines.replicas()) {
    const std::string title = replica.Title();
    for (const auto& [n, b] : replica.bins) {
      const StateSpan* span =
          ReplicaTimelines::SpanAt(replica, timelines.BinStart(n) + timelines.width() - 1);
      bins.Add(ms(timelines.BinStart(n)), title, b.sent, b.served, b.failed, b.at_capacity, b.cancelled,
               OrNothing(b.first_tokens > 0 ? b.first_token_sum / b.first_tokens : -1.0),
               OrNothing(b.first_tokens > 0 ? b.first_token_max : -1.0), b.in_flight, OrNothing(b.load),
               OrNothing(b.load_age), Name(span == nullptr ? ReplicaState::kUnlisted : span->state));
    }
    for (const StateSpan& s : replica.spans)
      states.Add(title, ms(s.from), ms(s.to), Name(s.state), Name(s.known), s.why);
    for (const EjectionSpan& r : replica.ejections)
      rests.Add(title, ms(r.from), ms(r.until), ryeglade::Name(r.outcome), r.consecutive_failures);
    for (const Annotation& m : replica.annotations) marks.Add(ms(m.at), title, m.text);
  }
  Rows fleet("fleet", {{"start_ms", Wholes{}},
                       {"arrived", Wholes{}},
                       {"sent", Wholes{}},
                       {"served", Wholes{}},
                       {"refused", Wholes{}},
                       {"failed", Wholes{}},
                       {"client_gone", Wholes{}},
                       {"counted_not_kept", Wholes{}}});
  for (const auto& [n, f] : timelines.fleet())
    fleet.Add(ms(timelines.BinStart(n)), f.arrived, f.sent, f.served, f.rejected, f.failed, f.disconnected,
              f.coalesced);
  Rows events("events", {{"at_ms", Wholes{}},
                         {"number", Wholes{}},
                         {"what", Texts{}},
                         {"kind", Texts{}},
                         {"replica", Texts{}},
                         {"since_ms", Wholes{}},
                         {"before", Numbers{}},
                         {"during", Numbers{}},
                         {"peers", Numbers{}}});
  for (const Anomaly& u : timelines.anomalies()) {
    events.Add(ms(u.now), u.number, u.begins ? "begins" : "ends", Name(u.kind),
               u.fleet ? std::string("fleet") : timelines.ReplicaTitle(u.replica), ms(u.since), u.baseline,
               u.during, u.peers);
  }
  std::vector<TextTable> sheets;
  for (Rows* r : {&bins, &fleet, &states, &rests, &events, &marks}) sheets.push_back(r->Take());
  return sheets;
}

}  // namespace ryeglade::timeline
