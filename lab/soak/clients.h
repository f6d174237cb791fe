// The clients of a soak, at both addresses of the nodes. Each has one connection to its node at a time, uses
// it for as long as it stays open, reconnects when it has closed, and behaves as the plan says. Each sending
// of a request adds one record of what its client observed.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <deque>
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

class SoakClients : public TcpOwner {
 public:
  // `addresses` and `openai_addresses` hold, by node, the ip:port at which the node listens for the clients
  // of each API. `run` and `plan` must outlive this object. Throws std::runtime_error if an address is
  // invalid.
  SoakClients(const Runtime* run, const Plan& plan, const std::vector<std::string>& addresses,
              const std::vector<std::string>& openai_addresses);
  ~SoakClients() override { Close(); }
  SoakClients(const SoakClients&) = delete;
  SoakClients& operator=(const SoakClients&) = delete;

  void Start();  // schedules the first request of each client and opens the idle connections
  void StopSending() { sending_stopped_ = true; }  // starts no more requests and lets those in flight finish
  bool idle() const;                               // true if no request is in flight
  void CloseEverySecondClient();  // closes the connection of every second client that waits for an answer
  void Close();                   // closes all connections; records of requests in flight stay unfinished

  std::vector<ClientRequest> requests() const { return {requests_.begin(), requests_.end()}; }
  const std::vector<BadClient>& bad_clients() const { return bad_clients_; }

  void OnConnected(Handle link, int status) override;
  void OnRead(Handle link, std::string_view bytes) override;
  void OnDisconnected(Handle link) override;

 private:
  static constexpr std::size_t kNone = SIZE_MAX;

  struct Client {
    std::size_t node = 0;
    bool openai = false;  // asks at the node's OpenAI-style address
    Handle link = 0;      // its current connection; 0 if it has none
    emulator::RandomStream random;
    emulator::RandomStream framing;  // apart from `random`, so that seeds give the same requests as before
    // Records of requests whose connection closed before the node read them; they are sent once more.
    std::vector<std::size_t> resend;
  };
  struct Link {
    SoakClients* owner = nullptr;
    std::size_t client = 0;
    Tcp* tcp = nullptr;
    http_parser parser{};
    bool connected = false, close_after_answer = false;
    Time connected_at = 0;                    // when the connection was established
    std::size_t answers = 0;                  // received on this connection so far
    std::deque<std::size_t> awaiting_answer;  // records of the requests without a complete answer, in order
    std::size_t bad_client = kNone;  // index of the record if the client stopped in the middle of a request
    bool idle_crowd = false;         // opened only to stay idle
    bool answer_complete = false;    // the parser has read the last byte of an answer
    int status = 0;                  // of the answer that is being read; 0 until its headers are complete
    DeadlineId give_up_timer{}, client_close_timer{};
  };

  void ScheduleNext(std::size_t client, Time pause);
  void StartRequest(std::size_t client);
  Handle Open(std::size_t client);
  void SendRequest(Handle link);
  void AddClient(std::size_t node, bool openai);
  std::string Framed(Client& client, const std::string& body) const;
  std::string PlatformHead(std::size_t client, const ClientRequest& record, std::size_t prompt_tokens) const;
  static std::string OpenAiHead(const ClientRequest& record);
  std::string BuildRequest(std::size_t client, ClientRequest* record);
  void ScheduleBehavior(Handle link, std::size_t record);
  void SendPartialRequest(Handle link, std::size_t client);
  void OnAnswerComplete(Handle link);
  void CloseByClient(Handle link, bool half);
  void EndConnection(Handle link, ClientEnd how);
  void CloseConnection(Handle link);
  void OpenIdleConnection(std::size_t node);
  static const http_parser_settings& Callbacks();

  const Runtime* run_;
  const Plan& plan_;
  std::vector<sockaddr_storage> addresses_, openai_addresses_;  // by node
  std::vector<Client> clients_;
  std::deque<ClientRequest> requests_;
  std::vector<BadClient> bad_clients_;
  SlotTable<Link> links_;
  std::uint64_t last_id_ = 0;
  std::size_t outstanding_ = 0;   // requests in flight
  bool sending_stopped_ = false;  // StopSending was called
  bool closed_ = false;
};

}  // namespace ryeglade::soak
