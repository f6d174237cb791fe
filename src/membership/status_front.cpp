#include "membership/status_front.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/metric_family.h"

namespace ryeglade::membership {
namespace {

// The JSON keys, the path /tier and the metric names are part of the interface and differ from the names in
// the code: standing = state, reached = reached_at, accusers = reporters, vouchers = reachable_reporters,
// told = announced, refused = name_refused, in_doubt = partition_suspected, settled = stable.

constexpr std::string_view kNodePath = "/nodes/";

nlohmann::json MillisecondsAgo(Time now, Time at) {
  return at == 0 ? nlohmann::json() : nlohmann::json((now - at) / 1000);
}

nlohmann::json MemberJson(const MemberView& member, Time now) {
  return {{"name", member.record.name},
          {"address", member.record.address},
          {"zone", member.record.zone},
          {"standing", Name(member.state)},
          {"incarnation", member.record.incarnation},
          {"since_ms_ago", MillisecondsAgo(now, member.state_since)},
          {"reached_ms_ago", MillisecondsAgo(now, member.reached_at)},
          {"accusers", member.reporters},
          {"vouchers", member.reachable_reporters}};
}

nlohmann::json HistoryJson(const MemberView& member, Time now) {
  nlohmann::json history = nlohmann::json::array();
  for (const HistoryEntry& entry : member.history)
    history.push_back({{"ms_ago", (now - entry.at) / 1000}, {"what", entry.event}, {"by", entry.reporter}});
  return history;
}

bool HasModel(const Membership& membership) { return std::string_view(membership.phase()) != "waiting"; }

class MetricFamilies {
 public:
  void AddGauge(const char* name, const char* help, double value) {
    Add(name, help, value, prometheus::MetricType::Gauge);
  }
  void AddCounter(const char* name, const char* help, std::uint64_t value) {
    Add(name, help, static_cast<double>(value), prometheus::MetricType::Counter);
  }
  void AddFamily(prometheus::MetricFamily family) { all_.push_back(std::move(family)); }
  std::string Serialize() const { return prometheus::TextSerializer().Serialize(all_); }

 private:
  void Add(const char* name, const char* help, double value, prometheus::MetricType type) {
    prometheus::MetricFamily family = Family(name, help, type);
    AddSample(family, {}, value);
    all_.push_back(std::move(family));
  }
  std::vector<prometheus::MetricFamily> all_;
};

void AddModelMetrics(const MembershipModel& model, MetricFamilies* metrics) {
  std::map<std::string, double> states = {{"joining", 0}, {"alive", 0}, {"suspect", 0},
                                          {"leaving", 0}, {"dead", 0},  {"left", 0}};
  for (const MemberView& member : model.View(Now())) ++states[Name(member.state)];
  prometheus::MetricFamily members =
      Family("node_tier_members", "Other nodes, by how they stand in this one's view",
             prometheus::MetricType::Gauge);
  for (const auto& [state, n] : states) AddSample(members, {{"standing", state}}, n);
  metrics->AddFamily(std::move(members));
  metrics->AddGauge("node_tier_joined", "1: this node has joined", model.joined() ? 1 : 0);
  metrics->AddGauge("node_tier_in_doubt", "1: the view is in doubt", model.partition_suspected() ? 1 : 0);
  metrics->AddGauge("node_tier_settled", "1: the view is settled", model.stable() ? 1 : 0);
  metrics->AddGauge("node_tier_health", "0: well, to 8: this node doubts itself", model.health());
  metrics->AddGauge("node_tier_incarnation", "This node's incarnation",
                    static_cast<double>(model.self().incarnation));
}

void AddTrafficMetrics(const Membership& membership, MetricFamilies* metrics) {
  const Traffic& traffic = membership.traffic();
  metrics->AddCounter("node_tier_datagrams_in", "Datagrams that came", traffic.datagrams_in);
  metrics->AddCounter("node_tier_datagrams_out", "Datagrams sent", traffic.datagrams_out);
  metrics->AddCounter("node_tier_bytes_in", "Bytes of datagrams that came", traffic.bytes_in);
  metrics->AddCounter("node_tier_bytes_out", "Bytes of datagrams sent", traffic.bytes_out);
  metrics->AddCounter("node_tier_exchanges", "Full exchanges", membership.exchanges().completed());
  metrics->AddCounter("node_tier_exchanges_failed", "Exchanges that came to nothing",
                      membership.exchanges().failed());
  prometheus::MetricFamily dropped =
      Family("node_tier_dropped", "Messages dropped, by reason", prometheus::MetricType::Counter);
  for (const auto& [why, n] : traffic.dropped) AddSample(dropped, {{"why", why}}, static_cast<double>(n));
  metrics->AddFamily(std::move(dropped));
}

}  // namespace

std::string StatusFront::NodesJson() const {
  const Membership& membership = *membership_;
  nlohmann::json json = {{"name", node_},
                         {"phase", membership.phase()},
                         {"address", membership.address()},
                         {"wire", membership.schema()},
                         {"nodes_told", membership.announced_nodes()}};
  if (!HasModel(membership)) return json.dump() + "\n";
  const Time now = Now();
  const MembershipModel& model = membership.model();
  const MemberRecord& self = model.self();
  json["zone"] = self.zone;
  json["cluster"] = model.options().cluster;
  json["incarnation"] = self.incarnation;
  json["state"] = Name(self.state);
  json["joined"] = model.joined();
  json["refused"] = model.name_refused();
  json["in_doubt"] = model.partition_suspected();
  json["settled"] = model.stable();
  json["live"] = model.live();
  json["view"] = model.view_version();
  json["health"] = model.health();
  json["members"] = nlohmann::json::array();
  for (const MemberView& member : model.View(now)) json["members"].push_back(MemberJson(member, now));
  return json.dump() + "\n";
}

std::string StatusFront::NodeJson(const std::string& name) const {
  if (!HasModel(*membership_)) return "";
  const Time now = Now();
  const std::optional<MemberView> member = membership_->model().Find(now, name);
  if (!member) return "";
  nlohmann::json json = MemberJson(*member, now);
  json["history"] = HistoryJson(*member, now);
  return json.dump() + "\n";
}

std::string StatusFront::Metrics() const {
  MetricFamilies metrics;
  metrics.AddGauge("node_tier_told", "Nodes that the decision module is told there are",
                   static_cast<double>(membership_->announced_nodes()));
  if (HasModel(*membership_)) AddModelMetrics(membership_->model(), &metrics);
  AddTrafficMetrics(*membership_, &metrics);
  return metrics.Serialize();
}

void StatusFront::OnRequest(Handle connection, HttpRequest request) {
  const std::string path(request.Path());
  downstream_->CloseAfterResponse(connection);  // one request per connection
  const auto reply = [&](int status, const std::string& body, const char* type) {
    downstream_->Reply(connection, status, std::string("Content-Type: ") + type + "\r\n", body);
  };
  if (path == "/tier" && gossip_status_ != nullptr && request.method == "GET")
    return reply(200, gossip_status_(), "application/json");
  if (path != "/nodes" && path != "/metrics" && !path.starts_with(kNodePath))
    return reply(404, "path\n", "text/plain");
  if (request.method != "GET") return downstream_->Reply(connection, 405, "Allow: GET\r\n", "method\n");
  if (path == "/nodes") return reply(200, NodesJson(), "application/json");
  if (path == "/metrics") return reply(200, Metrics(), "text/plain; version=0.0.4");
  const std::string body = NodeJson(path.substr(kNodePath.size()));
  if (body.empty()) return reply(404, "no such node is known here\n", "text/plain");
  reply(200, body, "application/json");
}

}  // namespace ryeglade::membership
