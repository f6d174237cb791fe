#include "core/discovery.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"

namespace ryeglade {
namespace {

using nlohmann::json;
using policy::Endpoint;
using policy::EndpointList;
using policy::EndpointListScope;
using policy::EndpointState;
using policy::ReplicaId;

// Changes count as told 6 s after a watch fell silent, whether they arrived or not. Within that must fit: the
// silence itself, a wait of the module (0.3 s at most after a first failure), a call that fails at its limit,
// a second wait (0.6 s), and a call that is answered at its limit. Discovery gives up on calls after 1 s.
constexpr Time kConnectWithin = 700'000;
constexpr Time kAnswerWithin = 1'200'000;
constexpr Time kLineWithin = 2'500'000;  // an idle watch says something every 2 s
constexpr Time kMoveAgain = 250'000;     // a move that failed is tried again after this, up to twice that
constexpr Time kWatchAgain = 200'000;    // a kept watch is opened again after this, up to twice that
constexpr double kNoCell = -1;
constexpr std::size_t kMostText = std::size_t{8} * 1024 * 1024;

}  // namespace

std::uint64_t GenerationOf(const std::string& list) {
  const json parsed = json::parse(list, nullptr, false);
  if (!parsed.is_object()) return 0;
  const auto generation = parsed.find("generation");
  return generation != parsed.end() && generation->is_number_unsigned() ? generation->get<std::uint64_t>()
                                                                        : 0;
}

ReplicaId Discovery::IdOf(const std::string& instance) {
  const auto known = ids_.find(instance);
  if (known != ids_.end()) return known->second;
  std::uint32_t id = 2166136261U;  // FNV-1a
  for (const char c : instance) id = (id ^ static_cast<unsigned char>(c)) * 16777619U;
  while (names_.contains(id)) ++id;
  ids_[instance] = id;
  names_[id] = instance;
  return id;
}

void Discovery::Known(const std::string& text) {
  begun_ = true;
  const json list = json::parse(text, nullptr, false);
  if (list.is_object() && Apply(list, EndpointListScope::kCached, "known")) return;
  core_->events->Post(EndpointList{EndpointListScope::kCached, 0, {}});
}

std::string Discovery::Roster() const {
  const auto named = [](const std::vector<std::string>& names, int at) {
    return at >= 0 && static_cast<std::size_t>(at) < names.size() ? names[static_cast<std::size_t>(at)] : "";
  };
  json instances = json::array();
  for (const auto& [id, e] : told_) {
    const auto name = names_.find(id);
    if (name == names_.end()) continue;
    instances.push_back({{"instanceId", name->second},
                         {"hostPort", core_->hosts->AddressOf(id)},
                         {"zone", named(core_->config->zones, e.zone)},
                         {"machineType", named(core_->config->replica_kinds, e.kind)},
                         {"cell", e.cell},
                         {"weight", e.weight},
                         {"startedAtMs", e.started_at / 1000},
                         {"lifecycle", e.state == EndpointState::kReady ? "active" : "leaving"}});
  }
  return json{{"generation", generation_}, {"reset", true}, {"instances", std::move(instances)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

void Discovery::Watch(bool on) {
  // A move that the module knows nothing of may have come first.
  if (on && (moving_ != 0 || (watch_ != 0 && !strange_))) return;
  Drop(watch_);
  watch_ = 0;
  if (!on) return;
  strange_ ? Move() : Start(true);
}

void Discovery::KeepWatch() {
  keep_watch_ = true;
  Watch(true);
}

void Discovery::FirstAnswer() {
  if (const auto heard = std::exchange(first_answer_, nullptr)) heard();
}

void Discovery::MoveTo(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  strange_ = true;
  // At once: what the module waits for, if it does, is the old address, and it may wait for seconds. But a
  // process that waits for its predecessor's list has nothing yet that a newer list could be held against.
  if (begun_) Move();
}

void Discovery::Move() {
  core_->deadlines->Cancel(move_again_);
  Drop(moving_);
  Start(false, true);
}

void Discovery::Poll() {
  if (calls_.size() < kSockets) return Start(false);
  Dark("fetch", "crowded");
  core_->events->Post(EndpointList{EndpointListScope::kFailed, 0, {}});
}

void Discovery::Start(bool watch, bool move) {
  const Handle handle = calls_.Add({});
  Call& c = *calls_.Get(handle);
  c.watch = watch;
  c.move = move;
  if (watch) watch_ = handle;
  if (move) moving_ = handle;
  c.tcp = Tcp::New(core_->loop, core_->buffers, this, handle);
  sockaddr_storage address{};
  ParseAddress(address_, &address);
  Expect(handle, kConnectWithin);
  if (c.tcp->Connect(address) != 0) Failed(handle, "connect");
}

void Discovery::Expect(Handle handle, Time within) {
  Call& c = *calls_.Get(handle);
  core_->deadlines->Cancel(c.deadline);
  c.deadline = core_->deadlines->Set(Now() + within, [this, handle] { Failed(handle, "silent"); });
}

void Discovery::Failed(Handle handle, const char* why) {
  const Call* c = calls_.Get(handle);
  if (c == nullptr) return;
  Log(Level::kWarn, "discovery-failed",
      {{"call", c->watch ? "watch" : "fetch"}, {"why", why}, {"status", c->status}});
  const bool move = c->move, old = handle == old_, c_watch = c->watch;
  if (handle == watch_) watch_ = 0;
  if (old) old_ = 0;
  if (handle == moving_) moving_ = 0;
  Drop(handle);
  if (old) return;
  if (move && watch_ != 0) {
    // The old address still tells, so the module need not hear of it. Nodes are told to move together: not
    // all at once again.
    move_again_ = core_->deadlines->Set(Now() + kMoveAgain + Now() % kMoveAgain, [this] {
      if (watch_ != 0 && strange_) Move();
    });
    return;
  }
  Dark(c_watch ? "watch" : "fetch", why);
  core_->events->Post(EndpointList{EndpointListScope::kFailed, 0, {}});
  if (keep_watch_) {
    core_->deadlines->Cancel(watch_again_);
    watch_again_ = core_->deadlines->Set(Now() + kWatchAgain + Now() % kWatchAgain, [this] {
      if (watch_ == 0) Watch(true);
    });
  }
  FirstAnswer();
}

void Discovery::Dark(const char* source, const char* why) {
  if (core_->endpoint_observer != nullptr)
    core_->endpoint_observer->OnEndpointList(Now(), source, generation_, why);
}

void Discovery::Drop(Handle handle) {
  Call* c = calls_.Get(handle);
  if (c == nullptr) return;
  core_->deadlines->Cancel(c->deadline);
  c->tcp->Close();
  calls_.Remove(handle);
}

void Discovery::Close() {
  for (const Handle call : calls_.All()) Drop(call);
}

const http_parser_settings& Discovery::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_headers_complete = [](http_parser* p) {
      static_cast<Call*>(p->data)->status = p->status_code;
      return 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
      Call& c = *static_cast<Call*>(p->data);
      c.text.append(at, n);
      return c.text.size() > kMostText ? 1 : 0;
    };
    s.on_message_complete = [](http_parser* p) {
      Call& c = *static_cast<Call*>(p->data);
      c.complete = c.status >= 200;
      return 0;
    };
    return s;
  }();
  return settings;
}

void Discovery::OnConnected(Handle handle, int status) {
  Call* c = calls_.Get(handle);
  if (c == nullptr) return;
  if (status != 0) return Failed(handle, "connect");
  http_parser_init(&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  std::string target = "/catalog/members";
  if (c->watch) target += "?follow=1&since=" + std::to_string(generation_);
  Expect(handle, kAnswerWithin);
  c->tcp->Read();
  if (!c->tcp->Write("GET " + target + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n")) {
    Failed(handle, "write");
  }
}

void Discovery::OnRead(Handle handle, std::string_view bytes) {
  Call* c = calls_.Get(handle);
  if (c == nullptr) return;
  http_parser_execute(&c->parser, &Callbacks(), bytes.data(), bytes.size());
  if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) return Failed(handle, "malformed");
  if (c->status != 0 && c->status != 200) return Failed(handle, "status");
  if (c->watch) {
    ReadWatch(handle);
  } else if (c->complete) {
    ReadList(handle);
  }
}

void Discovery::ReadWatch(Handle handle) {
  Call* c = calls_.Get(handle);
  c->objects.Append(std::exchange(c->text, {}));
  std::string object;
  for (;;) {
    const JsonObjectReader::Found found = c->objects.Next(&object);
    if (found == JsonObjectReader::Found::kMalformed) return Failed(handle, "malformed");
    if (found == JsonObjectReader::Found::kNothingWhole) break;
    Expect(handle, kLineWithin);
    const bool list = found == JsonObjectReader::Found::kObject;
    if (list && !(handle == old_ ? ApplyLeft(object) : ApplyText(object, false)))
      return Failed(handle, "malformed");
    if (handle == watch_) Drop(std::exchange(old_, 0));
    c = calls_.Get(handle);  // what was told may have led to another call
    if (c == nullptr) return;
    if (list && !std::exchange(c->answered, true))
      Log(Level::kInfo, "watching", {{"generation", static_cast<unsigned long long>(generation_)}});
  }
  if (c->objects.pending() > kMostText) return Failed(handle, "malformed");
  if (c->complete) Failed(handle, "ended");
}

void Discovery::ReadList(Handle handle) {
  Call* c = calls_.Get(handle);
  const std::string text = std::move(c->text);
  const bool move = c->move;
  if (!ApplyText(text, true)) return Failed(handle, "malformed");
  Drop(handle);
  if (!move) return;
  strange_ = false;
  moving_ = 0;
  Drop(old_);
  old_ = watch_;  // goes once the new watch has told something
  Start(true);
}

void Discovery::OnEnded(Handle handle) { Failed(handle, "ended"); }

bool Discovery::ApplyText(std::string_view text, bool whole) {
  const json list = json::parse(text, nullptr, false);
  if (!list.is_object()) return false;
  const auto reset = list.find("reset");
  const bool full = whole || (reset != list.end() && reset->is_boolean() && reset->get<bool>());
  if (!Apply(list, full ? EndpointListScope::kFull : EndpointListScope::kDelta, whole ? "fetch" : "watch"))
    return false;
  FirstAnswer();
  return true;
}

bool Discovery::ApplyLeft(std::string_view text) {
  json list = json::parse(text, nullptr, false);
  if (!list.is_object()) return false;
  const auto instances = list.find("instances");
  if (instances == list.end() || !instances->is_array()) return false;
  json kept = json::array();
  for (const json& entry : *instances) {
    if (TakesOutOfUse(entry)) kept.push_back(entry);
  }
  *instances = std::move(kept);
  const std::uint64_t generation = generation_;  // of the new address; the old one's means nothing there
  const bool good = Apply(list, EndpointListScope::kDelta, "watch");
  generation_ = generation;
  return good;
}

// Whether an entry says that a listed replica wants nothing new, and is no older than what is known of it.
bool Discovery::TakesOutOfUse(const json& entry) const {
  const auto text = [&](const char* key) {
    const auto field = entry.is_object() ? entry.find(key) : entry.end();
    return field != entry.end() && field->is_string() ? field->get<std::string>() : std::string();
  };
  const std::string lifecycle = text("lifecycle");
  const auto id = ids_.find(text("instanceId"));
  if (id == ids_.end() || lifecycle.empty() || lifecycle == "active") return false;
  const auto told = told_.find(id->second);
  if (told == told_.end()) return false;
  const auto started = entry.find("startedAtMs");
  const double started_at_ms = started != entry.end() && started->is_number() ? started->get<double>() : 0;
  return started_at_ms == 0 || started_at_ms * 1000 >= static_cast<double>(told->second.started_at);
}

int Discovery::IndexOf(const std::vector<std::string>& names, const json& entry, const char* key) const {
  const auto field = entry.find(key);
  if (field == entry.end() || !field->is_string()) return -1;
  const auto at = std::find(names.begin(), names.end(), field->get_ref<const std::string&>());
  return at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

bool Discovery::Apply(const json& list, EndpointListScope scope, const char* source) {
  const auto generation = list.find("generation");
  const auto instances = list.find("instances");
  if (generation == list.end() || !generation->is_number_unsigned()) return false;
  if (instances == list.end() || !instances->is_array()) return false;

  EndpointList told{scope, generation->get<std::uint32_t>(), {}};
  std::map<ReplicaId, bool> listed;
  std::vector<ReplicaId> left;
  for (const json& entry : *instances) {
    const auto name = entry.is_object() ? entry.find("instanceId") : entry.end();
    if (name == entry.end() || !name->is_string()) {
      Log(Level::kWarn, "discovery-entry-skipped", {{"why", "no-name"}});
      continue;
    }
    const auto text = [&](const char* key) {
      const auto field = entry.find(key);
      return field != entry.end() && field->is_string() ? field->get<std::string>() : std::string();
    };
    const auto number = [&](const char* key, double fallback) {
      const auto field = entry.find(key);
      return field != entry.end() && field->is_number() ? field->get<double>() : fallback;
    };
    const std::string lifecycle = text("lifecycle");
    Endpoint e;
    // A state that is not known here gets nothing new.
    e.state = lifecycle == "active" ? EndpointState::kReady
              : lifecycle == "left" ? EndpointState::kRemoved
                                    : EndpointState::kDraining;
    e.weight = number("weight", 1.0);
    e.zone = IndexOf(core_->config->zones, entry, "zone");
    e.kind = IndexOf(core_->config->replica_kinds, entry, "machineType");
    e.cell = static_cast<int>(std::clamp(number("cell", kNoCell), kNoCell, 1e9));
    e.started_at = static_cast<Time>(std::clamp(number("startedAtMs", 0), 0.0, 1e15)) * 1000;
    sockaddr_storage address{};
    const std::string host_port = text("hostPort");
    if (e.state != EndpointState::kRemoved && !ParseAddress(host_port, &address)) {
      Log(Level::kWarn, "discovery-entry-skipped",
          {{"why", "address"}, {"name", name->get_ref<const std::string&>()}});
      continue;
    }
    e.id = IdOf(name->get<std::string>());
    e.started_at = start_times_.Take(e.id, e.started_at, Now());
    if (e.state == EndpointState::kRemoved) {
      left.push_back(e.id);
      told_.erase(e.id);
    } else {
      told_[e.id] = e;
      Overlay(holds_, name->get_ref<const std::string&>(), e);
      core_->hosts->SetHost(e.id, host_port);
      if (core_->endpoint_observer != nullptr)
        core_->endpoint_observer->OnEndpoint(Now(), e, name->get_ref<const std::string&>(), host_port);
      listed[e.id] = true;
    }
    told.endpoints.push_back(e);
  }
  if (scope == EndpointListScope::kDelta) {
    for (const auto& [id, yes] : listed) hosts_[id] = yes;
    for (const ReplicaId id : left) hosts_.erase(id);
  } else {
    for (const auto& [id, yes] : hosts_) {
      if (!listed.contains(id)) left.push_back(id), told_.erase(id);
    }
    hosts_ = std::move(listed);
  }
  generation_ = generation->get<std::uint64_t>();
  if (scope != EndpointListScope::kDelta || !told.endpoints.empty()) {
    Log(Level::kInfo, "list",
        {{"scope", scope == EndpointListScope::kDelta    ? "delta"
                   : scope == EndpointListScope::kCached ? "cached"
                                                         : "full"},
         {"generation", static_cast<unsigned long long>(generation_)},
         {"entries", told.endpoints.size()},
         {"hosts", hosts_.size()}});
  }
  if (core_->endpoint_observer != nullptr)
    core_->endpoint_observer->OnEndpointList(Now(), source, generation_, "");
  Tell(std::move(told));
  for (const ReplicaId id : left) {
    if (hosts_.contains(id)) continue;
    start_times_.Forget(id);
    core_->hosts->RemoveHost(id);
    // Guards against growth: ids are always new, and one that comes back gets the same number.
    const auto known = names_.find(id);
    if (known == names_.end()) continue;
    ids_.erase(known->second);
    names_.erase(known);
  }
  return true;
}

// The module first, so that nothing is decided by the old list; then what was decided by it and is not
// written.
void Discovery::Tell(EndpointList list) {
  std::vector<ReplicaId> closed;
  for (const Endpoint& e : list.endpoints) {
    if (e.state != EndpointState::kReady) closed.push_back(e.id);
  }
  core_->events->Post(std::move(list));
  for (const ReplicaId id : closed) core_->hosts->DropUnsent(id);
}

// What an operator said comes before what the lists say.
void Discovery::Overlay(const DisabledReplicas& holds, const std::string& name, policy::Endpoint& e) {
  if (holds.out.contains(name) && e.state == EndpointState::kReady) e.state = EndpointState::kDraining;
  if (const auto back = holds.back.find(name); back != holds.back.end()) {
    e.started_at = std::max(e.started_at, back->second);
  }
}

std::string Discovery::NameOf(ReplicaId id) const {
  const auto name = names_.find(id);
  return name == names_.end() ? "" : name->second;
}

bool Discovery::held(ReplicaId id) const {
  const auto name = names_.find(id);
  return name != names_.end() && holds_.out.contains(name->second);
}

bool Discovery::avoided(ReplicaId id) const {
  const auto told = told_.find(id);
  return held(id) || (told != told_.end() && told->second.state != EndpointState::kReady);
}

void Discovery::Adopt(const DisabledReplicas& holds) {
  EndpointList told{EndpointListScope::kDelta, static_cast<std::uint32_t>(generation_), {}};
  for (const auto& [id, entry] : told_) {
    const auto name = names_.find(id);
    if (name == names_.end()) continue;
    Endpoint before = entry, after = entry;
    Overlay(holds_, name->second, before);
    Overlay(holds, name->second, after);
    if (before.state != after.state || before.started_at != after.started_at) told.endpoints.push_back(after);
  }
  holds_ = holds;
  if (!told.endpoints.empty()) Tell(std::move(told));
}

bool Discovery::Hold(const std::string& instance, bool out) {
  const auto id = ids_.find(instance);
  const bool listed = id != ids_.end() && told_.contains(id->second);
  if (!listed && !holds_.out.contains(instance)) return false;
  if (out) {
    holds_.out.try_emplace(instance, Now());
  } else if (holds_.out.erase(instance) > 0) {
    holds_.back[instance] = Now();
  }
  if (!listed) return true;
  Endpoint e = told_.at(id->second);
  Overlay(holds_, instance, e);
  Tell(EndpointList{EndpointListScope::kDelta, static_cast<std::uint32_t>(generation_), {e}});
  return true;
}

}  // namespace ryeglade
