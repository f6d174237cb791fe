#include "fronts/openai/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <utility>
#include <vector>

#include "base/metric_family.h"

namespace ryeglade {
namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;

using Labels = MetricLabels;

void Add(MetricFamily& family, const Labels& labels, double value) { AddSample(family, labels, value); }

}  // namespace

std::string MetricsText(const ledger::Ledger& ledger, std::size_t open_requests,
                        std::size_t assembling_bytes) {
  MetricFamily requests =
      Family("ryeglade_api_requests_total", "Requests admitted, by how they ended", MetricType::Counter);
  MetricFamily tokens =
      Family("ryeglade_api_tokens_total", "Tokens, by whose figure it is", MetricType::Counter);
  MetricFamily usage_faults =
      Family("ryeglade_api_usage_faults_total", "Usage that was not believed", MetricType::Counter);
  MetricFamily rejections =
      Family("ryeglade_api_turned_away_total", "Requests turned away before admission", MetricType::Counter);
  MetricFamily open = Family("ryeglade_api_open_requests", "Requests being answered", MetricType::Gauge);
  MetricFamily assembling =
      Family("ryeglade_api_assembling_bytes", "Bytes held for whole answers", MetricType::Gauge);
  for (const auto& [id, row] : ledger.rows()) {
    const Labels base = {{"key", id.first}, {"model", id.second}};
    const auto with = [&](const char* name, const char* value) {
      Labels labels = base;
      labels.emplace_back(name, value);
      return labels;
    };
    for (std::size_t i = 0; i < ledger::kOutcomes; ++i) {
      Add(requests, with("outcome", ledger::Name(static_cast<ledger::Outcome>(i))),
          static_cast<double>(row.ended.at(i)));
    }
    const auto add_tokens = [&](const ledger::Tokens& t, const char* source) {
      for (const auto& [kind, value] :
           {std::pair{"prompt", t.prompt}, {"kept", t.cached}, {"answer", t.output}}) {
        Labels labels = with("source", source);
        labels.emplace_back("kind", kind);
        Add(tokens, labels, value);
      }
    };
    add_tokens(row.reported, "reported");
    add_tokens(row.estimated, "estimated");
    for (std::size_t i = 0; i < ledger::kUsageFaults; ++i) {
      if (row.usage_faults.at(i) == 0) continue;
      Add(usage_faults, with("fault", ledger::Name(static_cast<ledger::UsageFault>(i))),
          static_cast<double>(row.usage_faults.at(i)));
    }
  }
  for (const auto& [reason, count] : ledger.rejections())
    Add(rejections, {{"reason", reason}}, static_cast<double>(count));
  Add(open, {}, static_cast<double>(open_requests));
  Add(assembling, {}, static_cast<double>(assembling_bytes));
  return prometheus::TextSerializer().Serialize(
      {requests, tokens, usage_faults, rejections, open, assembling});
}

}  // namespace ryeglade
