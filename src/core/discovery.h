// Discovery: the watch, single fetches, and the names of upstream hosts. The module says when to ask, and
// asks again later each time after a failure; a call here only ever succeeds or fails.
#pragma once

#include <http_parser.h>

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

#include "base/slot_table.h"
#include "base/tcp.h"
#include "core/core.h"
#include "core/disabled_replicas_model.h"
#include "core/json_object_reader_model.h"
#include "core/replica_incarnations_model.h"

namespace ryeglade {

// The generation that a list in discovery's form tells; 0: it is none.
std::uint64_t GenerationOf(const std::string& list);

class Discovery : public TcpOwner, public EndpointDiscoveryPort {
 public:
  static constexpr std::size_t kSockets = 4;
  explicit Discovery(Core* core) : core_(core), address_(core->config->discovery) {}

  void Known(const std::string& list);  // as the node last had it; it may be old
  void Watch(bool on) override;
  // Where lists are pushed the decision module asks for none: the watch is opened here, and opened again soon
  // whenever it ends, for as long as the node runs.
  void KeepWatch();
  // Called once, when a first list has come from discovery or the first call for one has failed.
  void OnFirstAnswer(std::function<void()> heard) { first_answer_ = std::move(heard); }
  void Poll() override;
  // Another address from here on. The watch at the old one is kept until the new one has given a whole list:
  // versions of the one say nothing about versions of the other.
  void MoveTo(const std::string& address);
  // The list as it is known now, in the form that Known takes.
  std::string Roster() const;
  const std::string& address() const { return address_; }
  std::uint64_t generation() const { return generation_; }
  bool ready() const override { return !hosts_.empty(); }
  // An operator leaves `instance` out (true) or lets it serve again (false). While out, the module is told it
  // drains, whatever the lists say; once back, it is told it has just started, so that it is used again
  // cold. Twice out needs once back. False: no host of that name is known, and nothing changes.
  bool Hold(const std::string& instance, bool out);
  // What operators said, to hand to another process of this node, and taken from one: it replaces what was
  // said here, and the module is told what changes for the hosts that are listed.
  const DisabledReplicas& holds() const { return holds_; }
  void Adopt(const DisabledReplicas& holds);
  std::size_t listed() const { return hosts_.size(); }
  const std::map<policy::ReplicaId, bool>& hosts() const { return hosts_; }
  std::string NameOf(policy::ReplicaId id) const;  // empty: not known
  bool held(policy::ReplicaId id) const;
  bool avoided(policy::ReplicaId id) const;  // out by hand, or not ready as the lists tell
  void Close();

  // Alike at every node, whatever order the names come in (but for a clash of hashes, which gets the next
  // free number).
  policy::ReplicaId IdOf(const std::string& instance);

  void OnConnected(Handle call, int status) override;
  void OnRead(Handle call, std::string_view bytes) override;
  void OnEnded(Handle call) override;

 private:
  struct Call {
    Tcp* tcp = nullptr;
    bool watch = false;
    bool move = false;  // for the whole list that a watch at a new address starts from
    http_parser parser{};
    bool answered = false;  // a line of a watch has come
    bool complete = false;
    int status = 0;
    std::string text;          // of the body, not yet used
    JsonObjectReader objects;  // of a watch
    DeadlineId deadline;
  };

  void Start(bool watch, bool move = false);
  void Move();
  void Expect(Handle call, Time within);
  void Tell(policy::EndpointList list);
  void Failed(Handle call, const char* why);
  void Drop(Handle call);
  void ReadWatch(Handle call);
  void ReadList(Handle call);
  // What a watch or an answer tells; false: it is no list.
  bool ApplyText(std::string_view text, bool whole);
  // The same of the watch at an address that is being left: only what takes replicas out of use holds. The
  // whole list of the new address may be newer, and its watch tells everything else.
  bool ApplyLeft(std::string_view text);
  bool TakesOutOfUse(const nlohmann::json& entry) const;
  bool Apply(const nlohmann::json& list, policy::EndpointListScope scope, const char* source);
  static void Overlay(const DisabledReplicas& holds, const std::string& name, policy::Endpoint& e);
  void Dark(const char* source, const char* why);
  void FirstAnswer();
  int IndexOf(const std::vector<std::string>& names, const nlohmann::json& entry, const char* key) const;
  static const http_parser_settings& Callbacks();

  Core* core_;
  SlotTable<Call> calls_;
  std::string address_;
  bool begun_ = false;    // the list known at the start has been taken
  bool strange_ = false;  // no whole list from that address has come yet
  Handle watch_ = 0, moving_ = 0;
  Handle old_ = 0;  // the watch at the address that is being left
  DeadlineId move_again_;
  bool keep_watch_ = false;
  DeadlineId watch_again_;
  std::function<void()> first_answer_;
  std::uint64_t generation_ = 0;
  std::map<std::string, policy::ReplicaId> ids_;
  std::map<policy::ReplicaId, std::string> names_;
  std::map<policy::ReplicaId, bool> hosts_;             // listed now
  std::map<policy::ReplicaId, policy::Endpoint> told_;  // each listed host as the lists last told it
  ReplicaIncarnations start_times_;
  DisabledReplicas holds_;  // what operators said, by name, since ids are reused
};

}  // namespace ryeglade
