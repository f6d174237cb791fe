#include "timeline/record_loader.h"

#include <stdexcept>
#include <utility>

#include "timeline/anomaly_model.h"

namespace ryeglade::timeline {
namespace {

// "+12.5" is that many seconds after the record's begin; else Unix time in milliseconds.
Time PointOf(const std::string& text, Time begin) {
  const bool relative = text.starts_with("+");
  std::size_t used = 0;
  double value = -1;
  try {
    value = std::stod(text.substr(relative ? 1 : 0), &used);
  } catch (const std::exception&) {
    used = 0;
  }
  if (!(value >= 0 && value < 1e15) || used + (relative ? 1 : 0) != text.size())
    throw std::runtime_error("--span: '" + text +
                             "' is no time; give Unix milliseconds, or +SECONDS since the begin");
  return relative ? begin + static_cast<Time>(value * 1e6) : static_cast<Time>(value * 1e3);
}

}  // namespace

ReplicaTimelineOptions BoundsOf(const LoadOptions& o, const std::vector<std::string>& files) {
  ReplicaTimelineOptions bounds;
  bounds.max_bins = o.most_bins;
  if (o.span.empty()) return bounds;
  const Time begin = FirstTime(files.front());
  bounds.from = PointOf(o.span[0], begin);
  if (o.span.size() > 1) bounds.to = PointOf(o.span[1], begin);
  if (bounds.to != 0 && bounds.to < bounds.from)
    throw std::runtime_error("--span: the second time is before the first");
  return bounds;
}

LoadedTimelines LoadTimelines(const std::vector<std::string>& paths, const LoadOptions& o) {
  const std::vector<std::string> files = FlightFiles(paths);
  LoadedTimelines loaded{ReplicaTimelines(BoundsOf(o, files)), {}};
  std::vector<Anomaly> found;
  AnomalyDetector watch([&](const Anomaly& u) { found.push_back(u); });
  bool noticed = false;  // by the node
  loaded.totals = ReadWithReasons(
      files,
      [&](const Record& r) {
        if (std::holds_alternative<Anomaly>(r)) {
          noticed = true;
          if (o.again) return;
        }
        const bool look = o.again || !noticed;
        if (look) watch.OnRecord(r);
        loaded.lanes.AddRecord(r);
        if (look) {
          for (const Anomaly& u : std::exchange(found, {})) loaded.lanes.AddRecord(u);
        }
      },
      o.progress);
  if (o.again || !noticed) {
    watch.Close();
    for (const Anomaly& u : found) loaded.lanes.AddRecord(u);
  }
  loaded.lanes.Close();
  return loaded;
}

std::vector<ReplicaTimelines> LoadNodes(const std::vector<std::string>& paths, const LoadOptions& o,
                                        std::string* losses) {
  std::vector<ReplicaTimelines> nodes;
  for (const std::string& path : paths) {
    LoadedTimelines one = LoadTimelines({path}, o);
    if (const std::string lost = one.totals.Losses(); !lost.empty())
      losses->append(path).append(": ").append(lost);
    nodes.push_back(std::move(one.lanes));
  }
  return nodes;
}

}  // namespace ryeglade::timeline
