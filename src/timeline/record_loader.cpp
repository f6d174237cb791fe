#include "timeline/record_loader.h"

#include <stdexcept>
#include <utility>

#include "timeline/anomaly_model.h"

namespace ryeglade::timeline {
namespace {

// Parses "+12.5" as seconds after the begin of the record, and other numbers as Unix time in milliseconds.
Time ParseTime(const std::string& text, Time begin) {
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
                             "' is not a time; give Unix milliseconds, or +SECONDS since the begin");
  return relative ? begin + static_cast<Time>(value * 1e6) : static_cast<Time>(value * 1e3);
}

}  // namespace

ReplicaTimelineOptions BoundsOf(const LoadOptions& options, const std::vector<std::string>& files) {
  ReplicaTimelineOptions bounds;
  bounds.max_bins = options.max_bins;
  if (options.span.empty()) return bounds;
  const Time begin = FirstTime(files.front());
  bounds.from = ParseTime(options.span[0], begin);
  if (options.span.size() > 1) bounds.to = ParseTime(options.span[1], begin);
  if (bounds.to != 0 && bounds.to < bounds.from)
    throw std::runtime_error("--span: the second time is before the first; give the earlier time first");
  return bounds;
}

LoadedTimelines LoadTimelines(const std::vector<std::string>& paths, const LoadOptions& options) {
  const std::vector<std::string> files = FlightFiles(paths);
  LoadedTimelines loaded{ReplicaTimelines(BoundsOf(options, files)), {}};
  std::vector<Anomaly> detected;
  AnomalyDetector detector([&](const Anomaly& anomaly) { detected.push_back(anomaly); });
  bool has_recorded_anomalies = false;
  loaded.totals = ReadWithReasons(
      files,
      [&](const Record& r) {
        if (std::holds_alternative<Anomaly>(r)) {
          has_recorded_anomalies = true;
          if (options.detect_again) return;
        }
        const bool detect = options.detect_again || !has_recorded_anomalies;
        if (detect) detector.OnRecord(r);
        loaded.timelines.AddRecord(r);
        if (detect) {
          for (const Anomaly& anomaly : std::exchange(detected, {})) loaded.timelines.AddRecord(anomaly);
        }
      },
      options.progress);
  if (options.detect_again || !has_recorded_anomalies) {
    detector.Close();
    for (const Anomaly& anomaly : detected) loaded.timelines.AddRecord(anomaly);
  }
  loaded.timelines.Close();
  return loaded;
}

std::vector<ReplicaTimelines> LoadNodes(const std::vector<std::string>& paths, const LoadOptions& options,
                                        std::string* losses) {
  std::vector<ReplicaTimelines> nodes;
  for (const std::string& path : paths) {
    LoadedTimelines loaded = LoadTimelines({path}, options);
    if (const std::string lost = loaded.totals.Losses(); !lost.empty())
      losses->append(path).append(": ").append(lost);
    nodes.push_back(std::move(loaded.timelines));
  }
  return nodes;
}

}  // namespace ryeglade::timeline
