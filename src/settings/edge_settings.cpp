#include "settings/edge_settings.h"

#include <algorithm>

#include "base/tcp.h"
#include "limits/networks.h"
#include "settings/toml_reader.h"

namespace ryeglade {
namespace {

constexpr Time kSecond = 1'000'000;

std::string ClassOf(TomlSection& section, const std::vector<std::string>& classes) {
  std::string cls = section.Text("class", "");
  if (cls.empty() || std::find(classes.begin(), classes.end(), cls) != classes.end()) return cls;
  std::string words;
  for (const std::string& word : classes) words += (words.empty() ? "\"" : ", \"") + word + "\"";
  section.Fail("class", "is \"" + cls + "\"; the configuration has " + words);
}

std::vector<std::string> NetworksOf(TomlSection& section, const std::string& key) {
  std::vector<std::string> networks = section.Texts(key);
  limits::Networks set;
  for (const std::string& network : networks) {
    if (!set.Add(network)) {
      section.Fail(
          key, "\"" + network +
                   "\" is no network; give an address or address/length, with no bits set behind the length");
    }
  }
  return networks;
}

OpenAiSettings OpenAi(TomlSection s, const std::vector<std::string>& classes) {
  OpenAiSettings o;
  if (!s.present()) return o;
  o.on = true;
  o.listen = s.Needed("listen", "the ip:port that clients of this API connect to");
  sockaddr_storage address{};
  if (!ParseAddress(o.listen, &address)) s.Fail("listen", "is not an ip:port: \"" + o.listen + "\"");
  o.networks = NetworksOf(s, "networks");
  o.metrics_networks = NetworksOf(s, "metrics_networks");
  o.keys_file = s.Text("keys", "");
  o.most_body = s.Bytes("most_body", 1024, std::size_t{16} * 1024 * 1024, o.most_body);
  o.most_answer =
      s.Bytes("most_answer", std::size_t{16} * 1024, std::size_t{64} * 1024 * 1024, o.most_answer);
  o.read_within = s.Span("read_within", 100'000, 600 * kSecond, o.read_within);
  TomlSection ledger = s.Table("ledger");
  o.ledger_dir = ledger.Text("directory", "");
  o.ledger_every = ledger.Span("every", kSecond, 3600 * kSecond, o.ledger_every);
  ledger.Close();
  TomlSection limits = s.Table("limits");
  o.limits = ReadRule(limits);
  limits.Close();
  for (TomlSection& m : s.Tables("model")) {
    ModelSettings model;
    model.id = m.Needed("id", "the name by which clients ask for the model");
    for (const ModelSettings& other : o.models) {
      if (other.id == model.id) m.Fail("id", "\"" + model.id + "\" comes twice; name each model once");
    }
    model.upstream = m.Text("upstream", "");
    model.owned_by = m.Text("owned_by", "ryeglade");
    model.created = static_cast<std::int64_t>(m.Whole("created", 0, 4'000'000'000, 0));
    model.cls = ClassOf(m, classes);
    model.answer_tokens = m.Number("answer_tokens", 1, 1e6, model.answer_tokens);
    m.Close();
    o.models.push_back(std::move(model));
  }
  if (o.models.empty()) s.Fail("model", "is missing; name each model that is served in an [[openai.model]]");
  for (TomlSection& r : s.Tables("route")) {
    RouteSettings route;
    route.model = r.Text("model", "");
    const bool known =
        std::any_of(o.models.begin(), o.models.end(), [&](const auto& m) { return m.id == route.model; });
    if (!route.model.empty() && !known) r.Fail("model", "\"" + route.model + "\" is in no [[openai.model]]");
    route.key = r.Text("key", "");
    route.path = r.Text("path", "");
    if (!route.path.empty() && route.path != "/v1/chat/completions" && route.path != "/v1/completions") {
      r.Fail("path", "must be \"/v1/chat/completions\" or \"/v1/completions\"");
    }
    route.cls = ClassOf(r, classes);
    route.deadline = r.Span("deadline", 10'000, 3600 * kSecond, 0);
    r.Close();
    o.routes.push_back(std::move(route));
  }
  s.Close();
  return o;
}

std::string AddressOf(TomlSection& s, const std::string& key, const std::string& text) {
  sockaddr_storage address{};
  if (!text.empty() && !ParseAddress(text, &address)) s.Fail(key, "is not an ip:port: \"" + text + "\"");
  return text;
}

MembershipSettings Membership(TomlSection s) {
  MembershipSettings m;
  if (!s.present()) return m;
  m.listen =
      AddressOf(s, "listen", s.Needed("listen", "the ip:port at which the other nodes reach this one"));
  m.advertise = AddressOf(s, "advertise", s.Text("advertise", ""));
  const std::string host = m.listen.substr(0, m.listen.rfind(':'));
  if (m.advertise.empty() && (host == "0.0.0.0" || host == "[::]"))
    s.Fail("advertise",
           "is missing; `listen` names no one address, so give the ip:port at which others reach it");
  m.cluster = s.Text("cluster", m.cluster);
  m.zone = s.Text("zone", "");
  const auto word = [&](const char* key, const std::string& text, std::size_t least, std::size_t most) {
    const bool shown = std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c != 0x7f; });
    if (text.size() < least || text.size() > most || !shown)
      s.Fail(key, "must be a word of " + std::to_string(least) + " to " + std::to_string(most) +
                      " letters without spaces");
  };
  word("cluster", m.cluster, 1, 64);
  word("zone", m.zone, 0, 32);
  m.status = AddressOf(s, "status", s.Text("status", ""));
  m.seeds = s.Texts("seeds");
  for (const std::string& seed : m.seeds) AddressOf(s, "seeds", seed);
  if (m.seeds.size() > 64) s.Fail("seeds", "names more than 64; a few suffice");
  m.networks = NetworksOf(s, "networks");
  if (m.networks.empty())
    s.Fail("networks",
           "is missing; name the networks that the other nodes are in, such as [\"10.1.0.0/16\"]");
  m.period = s.Span("period", 20'000, 60 * kSecond, m.period);
  m.suspicion = s.Number("suspicion", 2, 100, m.suspicion);
  m.exchange = s.Span("exchange", m.period, 3600 * kSecond, std::max(m.period, m.exchange));
  m.forget = s.Span("forget", 10 * m.period, Time{24} * 3600 * kSecond, m.forget);
  m.shrink_after = s.Span("shrink_after", 0, Time{24} * 3600 * kSecond, m.shrink_after);
  m.most_members = s.Whole("most_members", 2, 4096, m.most_members);
  m.wire = static_cast<std::uint32_t>(s.Whole("wire", 1, 2, m.wire));
  m.follow = s.Flag("follow", m.follow);
  s.Close();
  return m;
}

GossipSettings Tier(TomlSection s, bool membership) {
  GossipSettings t;
  if (!s.present()) return t;
  if (!membership)
    s.Fail("",
           "needs [membership]: what the nodes tell each other goes on its messages; set it up or take this "
           "out");
  t.on = true;
  t.parts = s.Flag("parts", t.parts);
  t.evidence = s.Flag("evidence", t.evidence);
  t.beginnings = s.Flag("beginnings", t.beginnings);
  t.departed = s.Flag("departed", t.departed);
  t.accusers = s.Whole("accusers", 2, 16, t.accusers);
  t.most_out = s.Number("most_out", 0, 0.5, t.most_out);
  s.Close();
  return t;
}

}  // namespace

limits::Rule ReadRule(TomlSection& section) {
  limits::Rule rule;
  rule.requests_per_min = section.Number("requests_per_min", 0, 1e9, 0);
  rule.tokens_per_min = section.Number("tokens_per_min", 0, 1e12, 0);
  rule.streams = static_cast<int>(section.Whole("streams", 0, 1'000'000, 0));
  return rule;
}

std::vector<std::string> ClassNames(const policy::Settings& settings) {
  std::vector<std::string> names;
  for (const auto& c : settings.classes) names.push_back(c.name);
  return names;
}

EdgeSettings ReadEdgeSettings(const std::string& file, const std::string& text,
                              const std::vector<std::string>& classes) {
  const toml::table table = ParseToml(file, text);
  TomlSection top(file, "", &table);
  EdgeSettings e;
  e.source = file;
  TomlSection log = top.Table("log");
  e.log_format = log.Choice("format", {"logfmt", "json"}, e.log_format);
  e.log_level = log.Choice("level", {"debug", "info", "warn", "error"}, e.log_level);
  e.log_lines =
      static_cast<int>(log.Whole("lines_per_second", 1, 100'000, static_cast<std::size_t>(e.log_lines)));
  log.Close();
  TomlSection upstream = top.Table("upstream");
  e.dialect = upstream.Choice("dialect", {"platform", "openai"}, e.dialect);
  e.upstream_key_file = upstream.Text("key_file", "");
  if (!e.upstream_key_file.empty() && e.dialect != "openai") {
    upstream.Fail("key_file", "is of use only with dialect = \"openai\"; take it out or change the dialect");
  }
  upstream.Close();
  e.openai = OpenAi(top.Table("openai"), classes);
  TomlSection timeline = top.Table("timeline");
  TimelineSettings& t = e.timeline;
  constexpr std::size_t kKiB = 1024, kMiB = 1024 * kKiB;
  t.directory = timeline.Text("directory", "");
  t.block = timeline.Bytes("block", 4 * kKiB, kMiB, t.block);
  t.block_within = timeline.Span("block_within", 50'000, 60 * kSecond, t.block_within);
  t.segment = timeline.Bytes("segment", 64 * kKiB, 1024 * kMiB, t.segment);
  t.total = timeline.Bytes("total", 128 * kKiB, std::size_t{1024} * 1024 * kMiB, t.total);
  t.ring = timeline.Bytes("ring", 64 * kKiB, 1024 * kMiB, t.ring);
  t.dump_directory = timeline.Text("dump_directory", t.directory);
  if (t.ring > 0 && t.dump_directory.empty())
    timeline.Fail("ring", "needs `dump_directory`, where SIGUSR2 writes it, or `directory`");
  t.bytes_per_second = timeline.Bytes("bytes_per_second", 16 * kKiB, 1024 * kMiB, t.bytes_per_second);
  t.reasons = timeline.Flag("reasons", t.reasons);
  t.watch = timeline.Flag("watch", t.watch);
  if (t.total < 2 * t.segment)
    timeline.Fail("total", "must be at least twice `segment`, or nothing older is kept");
  timeline.Close();
  e.membership = Membership(top.Table("membership"));
  e.tier = Tier(top.Table("tier"), e.membership.on());
  top.Close();
  return e;
}

EdgeSettings LoadEdgeSettings(const std::string& path, const std::vector<std::string>& classes) {
  return ReadEdgeSettings(path, ReadWholeFile(path), classes);
}

}  // namespace ryeglade
