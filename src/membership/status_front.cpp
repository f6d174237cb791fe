#include "membership/status_front.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <nlohmann/json.hpp>

#include "base/metric_family.h"

namespace ryeglade::membership {
namespace {

constexpr std::string_view kNodes = "/nodes/";

nlohmann::json MemberJson(const ViewMember& m, Time now, bool history) {
  const auto ago = [&](Time at) { return at == 0 ? nlohmann::json() : nlohmann::json((now - at) / 1000); };
  nlohmann::json j = {{"name", m.record.name},
                      {"address", m.record.address},
                      {"zone", m.record.zone},
                      {"standing", Name(m.standing)},
                      {"incarnation", m.record.incarnation},
                      {"since_ms_ago", ago(m.since)},
                      {"reached_ms_ago", ago(m.round_trip)},
                      {"accusers", m.accusers},
                      {"vouchers", m.vouchers}};
  if (!history) return j;
  j["history"] = nlohmann::json::array();
  for (const HistoryLine& line : m.history)
    j["history"].push_back({{"ms_ago", (now - line.at) / 1000}, {"what", line.what}, {"by", line.by}});
  return j;
}

}  // namespace

std::string StatusFront::AllJson() const {
  const Membership& m = *membership_;
  nlohmann::json j = {{"name", node_},
                      {"phase", m.phase()},
                      {"address", m.address()},
                      {"wire", m.speaks()},
                      {"nodes_told", m.told()}};
  const Time now = Now();
  if (std::string_view(m.phase()) != "waiting") {
    const Model& model = m.model();
    const Record& self = model.self();
    j["zone"] = self.zone;
    j["cluster"] = model.options().cluster;
    j["incarnation"] = self.incarnation;
    j["state"] = Name(self.state);
    j["joined"] = model.joined();
    j["refused"] = model.refused();
    j["in_doubt"] = model.in_doubt();
    j["settled"] = model.settled();
    j["live"] = model.live();
    j["view"] = model.view_version();
    j["health"] = model.health();
    j["members"] = nlohmann::json::array();
    for (const ViewMember& member : model.View(now)) j["members"].push_back(MemberJson(member, now, false));
  }
  return j.dump() + "\n";
}

std::string StatusFront::OneJson(const std::string& name) const {
  if (std::string_view(membership_->phase()) == "waiting") return "";
  const auto member = membership_->model().Find(Now(), name);
  return member ? MemberJson(*member, Now(), true).dump() + "\n" : "";
}

std::string StatusFront::Series() const {
  using prometheus::MetricType;
  const Membership& m = *membership_;
  std::vector<prometheus::MetricFamily> all;
  const auto one = [&](const char* name, const char* help, double value,
                       MetricType type = MetricType::Gauge) {
    prometheus::MetricFamily family = Family(name, help, type);
    AddSample(family, {}, value);
    all.push_back(std::move(family));
  };
  one("node_tier_told", "Nodes that the decision module is told there are", static_cast<double>(m.told()));
  if (std::string_view(m.phase()) != "waiting") {
    const Model& model = m.model();
    std::map<std::string, double> standings = {{"joining", 0}, {"alive", 0}, {"suspect", 0},
                                               {"leaving", 0}, {"dead", 0},  {"left", 0}};
    for (const ViewMember& member : model.View(Now())) ++standings[Name(member.standing)];
    prometheus::MetricFamily members =
        Family("node_tier_members", "Other nodes, by how they stand in this one's view", MetricType::Gauge);
    for (const auto& [word, n] : standings) AddSample(members, {{"standing", word}}, n);
    all.push_back(std::move(members));
    one("node_tier_joined", "1: this node has joined", model.joined() ? 1 : 0);
    one("node_tier_in_doubt", "1: the view is in doubt", model.in_doubt() ? 1 : 0);
    one("node_tier_settled", "1: the view is settled", model.settled() ? 1 : 0);
    one("node_tier_health", "0: well, to 8: this node doubts itself", model.health());
    one("node_tier_incarnation", "This node's incarnation", static_cast<double>(model.self().incarnation));
  }
  const Traffic& t = m.traffic();
  const auto counter = [&](const char* name, const char* help, std::uint64_t value) {
    one(name, help, static_cast<double>(value), MetricType::Counter);
  };
  counter("node_tier_datagrams_in", "Datagrams that came", t.datagrams_in);
  counter("node_tier_datagrams_out", "Datagrams sent", t.datagrams_out);
  counter("node_tier_bytes_in", "Bytes of datagrams that came", t.bytes_in);
  counter("node_tier_bytes_out", "Bytes of datagrams sent", t.bytes_out);
  counter("node_tier_exchanges", "Full exchanges", t.exchanges);
  counter("node_tier_exchanges_failed", "Exchanges that came to nothing", t.exchanges_failed);
  prometheus::MetricFamily dropped =
      Family("node_tier_dropped", "Messages dropped, by reason", MetricType::Counter);
  for (const auto& [why, n] : t.dropped) AddSample(dropped, {{"why", why}}, static_cast<double>(n));
  all.push_back(std::move(dropped));
  return prometheus::TextSerializer().Serialize(all);
}

void StatusFront::OnRequest(Handle connection, HttpRequest request) {
  const std::string path(request.Path());
  downstream_->CloseAfter(connection);  // one call a connection
  const auto answer = [&](int status, const std::string& body, const char* type) {
    downstream_->Reply(connection, status, std::string("Content-Type: ") + type + "\r\n", body);
  };
  if (path == "/tier" && tier_ != nullptr && request.method == "GET")
    return answer(200, tier_(), "application/json");
  if (path != "/nodes" && path != "/metrics" && !path.starts_with(kNodes))
    return answer(404, "path\n", "text/plain");
  if (request.method != "GET") return downstream_->Reply(connection, 405, "Allow: GET\r\n", "method\n");
  if (path == "/nodes") return answer(200, AllJson(), "application/json");
  if (path == "/metrics") return answer(200, Series(), "text/plain; version=0.0.4");
  const std::string body = OneJson(path.substr(kNodes.size()));
  if (body.empty()) return answer(404, "no such node is known here\n", "text/plain");
  answer(200, body, "application/json");
}

}  // namespace ryeglade::membership
