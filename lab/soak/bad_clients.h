// Clients of a soak that misbehave, many at once: they flood a node, stop half way, do not read, or send much
// and leave. The other clients' requests are judged meanwhile; of these clients it is recorded when they
// left.
#pragma once

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

class BadClients : public TcpOwner {
 public:
  // `run` and `plan` must outlive this object; `addresses` holds the nodes' ip:port.
  BadClients(const Runtime* run, const Plan& plan, const std::vector<std::string>& addresses);
  ~BadClients() override { Close(); }
  BadClients(const BadClients&) = delete;
  BadClients& operator=(const BadClients&) = delete;

  // Plays a fault of bad clients at its node, until its duration is over. Returns the number of clients.
  std::size_t Start(const Fault& fault);
  void Close();  // closes all connections

  const std::vector<ClientThatLeft>& clients_that_left() const { return clients_that_left_; }
  const std::vector<UnreadableRequest>& unreadable_requests() const { return unreadable_requests_; }

  void OnConnected(Handle link, int status) override;
  void OnRead(Handle link, std::string_view bytes) override;
  void OnDisconnected(Handle link) override;

 private:
  static constexpr std::size_t kNone = SIZE_MAX;

  struct Link {
    FaultKind kind = FaultKind::kFlood;
    std::size_t node = 0;
    Time until = 0;
    Tcp* tcp = nullptr;
    std::string id_prefix;           // of the ids of its requests
    std::size_t unreadable = kNone;  // index of the record of its unreadable request
  };

  void Open(FaultKind kind, std::size_t node, Time until);
  void OpenAgain(const Link& link);
  void Flood(Handle link);
  void Leave(Handle link);
  void SendUnreadable(Handle link);
  void EndUnreadable(const Link& link, std::string_view answer);
  std::string FloodText();
  std::string Requests(const std::string& id_prefix, int count, std::size_t body_bytes) const;
  void Drop(Handle link);

  const Runtime* run_;
  const Plan& plan_;
  std::vector<sockaddr_storage> addresses_;
  emulator::RandomStream random_;
  SlotTable<Link> links_;
  std::vector<ClientThatLeft> clients_that_left_;
  std::vector<UnreadableRequest> unreadable_requests_;
  unsigned last_id_ = 0;
  bool closed_ = false;
};

}  // namespace ryeglade::soak
