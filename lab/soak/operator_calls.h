// The operator of a soak: takes replicas out of use by hand and calls them back, one call after another, at
// whichever processes of a node run. Each call is recorded as its caller saw it.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/runtime.h"
#include "base/slot_table.h"
#include "base/tcp.h"
#include "lab/emulator/random.h"
#include "lab/soak/history_model.h"
#include "lab/soak/plan.h"

namespace ryeglade::soak {

class OperatorCalls : public TcpOwner {
 public:
  // Returns the management addresses (ip:port) of the processes of a node that serve.
  using ManagementAddresses = std::function<std::vector<std::string>(std::size_t node)>;

  // `run` and `plan` must outlive this object; `replicas` holds the names of the replicas.
  OperatorCalls(const Runtime* run, const Plan& plan, std::vector<std::string> replicas,
                ManagementAddresses addresses);
  ~OperatorCalls() override { Close(); }
  OperatorCalls(const OperatorCalls&) = delete;
  OperatorCalls& operator=(const OperatorCalls&) = delete;

  // Makes calls at the fault's node until its duration is over, and then calls all replicas back. Does
  // nothing while an earlier fault's calls go on at that node.
  void Start(const Fault& fault);
  void Close();  // closes all connections

  const std::vector<OperatorCall>& calls() const { return calls_; }

  void OnConnected(Handle link, int status) override;
  void OnRead(Handle link, std::string_view bytes) override;
  void OnDisconnected(Handle link) override;

 private:
  // An operator at one node.
  struct Session {
    bool running = false;
    Time until = 0;
    std::size_t burst = 0;      // calls that follow before the next pause
    std::set<std::size_t> out;  // replicas that were called out and not back, or may have been
  };
  struct Link {
    std::size_t call = 0;  // index of its record
    Tcp* tcp = nullptr;
    std::string answer;
    DeadlineId timeout{};
  };

  void Next(std::size_t node);
  void Send(std::size_t node, std::size_t replica, bool out);
  void Finish(Handle link);
  Time PauseAfterCall(Session& session);

  const Runtime* run_;
  std::vector<std::string> replicas_;
  ManagementAddresses addresses_;
  emulator::RandomStream random_;
  std::vector<Session> sessions_;  // by node
  std::vector<OperatorCall> calls_;
  SlotTable<Link> links_;
  bool closed_ = false;
};

}  // namespace ryeglade::soak
