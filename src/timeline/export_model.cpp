#include "timeline/export_model.h"

#include <limits>

#include "core/enum_names.h"

namespace ryeglade::timeline {
namespace {

double OrNothing(double v) { return v < 0 ? std::numeric_limits<double>::quiet_NaN() : v; }

}  // namespace

std::vector<TextTable> Sheets(const Lanes& lanes) {
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
  for (const LaneMark& m : lanes.marks()) marks.Add(ms(m.at), "", m.text);
  for (const auto& [id, lane] : lanes.lanes()) {
    const std::string title = lane.Title();
    for (const auto& [n, b] : lane.bins) {
      const LaneSpan* span = Lanes::At(lane, lanes.BinStart(n) + lanes.width() - 1);
      bins.Add(ms(lanes.BinStart(n)), title, b.sent, b.served, b.failed, b.full, b.cancelled,
               OrNothing(b.first_n > 0 ? b.first_sum / b.first_n : -1.0),
               OrNothing(b.first_n > 0 ? b.first_most : -1.0), b.in_flight, OrNothing(b.load),
               OrNothing(b.load_age), Name(span == nullptr ? LaneState::kUnlisted : span->state));
    }
    for (const LaneSpan& s : lane.spans)
      states.Add(title, ms(s.from), ms(s.to), Name(s.state), Name(s.known), s.why);
    for (const LaneRest& r : lane.rests)
      rests.Add(title, ms(r.from), ms(r.until), ryeglade::Name(r.outcome), r.failures);
    for (const LaneMark& m : lane.marks) marks.Add(ms(m.at), title, m.text);
  }
  Rows fleet("fleet", {{"start_ms", Wholes{}},
                       {"arrived", Wholes{}},
                       {"sent", Wholes{}},
                       {"served", Wholes{}},
                       {"refused", Wholes{}},
                       {"failed", Wholes{}},
                       {"client_gone", Wholes{}},
                       {"counted_not_kept", Wholes{}}});
  for (const auto& [n, f] : lanes.fleet())
    fleet.Add(ms(lanes.BinStart(n)), f.arrived, f.sent, f.served, f.refused, f.failed, f.gone, f.coalesced);
  Rows events("events", {{"at_ms", Wholes{}},
                         {"number", Wholes{}},
                         {"what", Texts{}},
                         {"kind", Texts{}},
                         {"replica", Texts{}},
                         {"since_ms", Wholes{}},
                         {"before", Numbers{}},
                         {"during", Numbers{}},
                         {"peers", Numbers{}}});
  for (const Unusual& u : lanes.unusual()) {
    events.Add(ms(u.now), u.number, u.begins ? "begins" : "ends", Name(u.kind),
               u.fleet ? std::string("fleet") : lanes.TitleOf(u.replica), ms(u.since), u.before, u.during,
               u.peers);
  }
  std::vector<TextTable> sheets;
  for (Rows* r : {&bins, &fleet, &states, &rests, &events, &marks}) sheets.push_back(r->Take());
  return sheets;
}

}  // namespace ryeglade::timeline
