// The clients of a soak: each has one connection to its node at a time, uses it for as long as it stays open,
// comes back at once, and behaves as its plan says. What each saw is one record a request.
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
  // `addresses`: where each node takes clients.
  SoakClients(const Runtime* run, const Plan& plan, const std::vector<std::string>& addresses);
  ~SoakClients() override { Close(); }
  SoakClients(const SoakClients&) = delete;
  SoakClients& operator=(const SoakClients&) = delete;

  void Start();
  void Halt() { halted_ = true; }  // nothing more is asked; what is out is waited for
  bool idle() const;               // nothing is out
  void LeaveBurst();               // every second client goes away now
  void Close();                    // what is still out stays open in the records

  std::vector<ClientRequest> requests() const { return {requests_.begin(), requests_.end()}; }
  const std::vector<BadClient>& bad_clients() const { return bad_clients_; }

  void OnConnected(Handle link, int status) override;
  void OnRead(Handle link, std::string_view bytes) override;
  void OnDisconnected(Handle link) override;

 private:
  static constexpr std::size_t kNone = SIZE_MAX;

  struct User {
    std::size_t node = 0;
    Handle link = 0;
    emulator::Stream chance;
    std::vector<std::size_t> again;  // records of requests that crossed a connection's end: sent once more
  };
  struct Link {
    SoakClients* users = nullptr;
    std::size_t user = 0;
    Tcp* tcp = nullptr;
    http_parser parser{};
    bool connected = false, fresh = false;
    Time up = 0;                      // since when it is connected
    std::size_t answers = 0;          // that it has carried
    std::deque<std::size_t> waiting;  // records whose answers are still to come, in order
    std::size_t bad = kNone;          // the record of a client that stops in the middle
    bool crowd = false;               // opened to stand idle
    bool whole = false;               // the parser has read the last byte of an answer
    int status = 0;
    DeadlineId give_up{}, leave{};
  };

  void Next(std::size_t user, Time pause);
  void Begin(std::size_t user);
  Handle Open(std::size_t user);
  void Ask(Handle link);
  std::string Request(std::size_t user, ClientRequest* record);
  void Behave(Handle link, std::size_t record);
  void Stall(Handle link, std::size_t user);
  void Answered(Handle link);
  void Leave(Handle link, bool half);
  void End(Handle link, ClientEnd how);
  void Drop(Handle link);
  void Crowd(std::size_t node);
  static const http_parser_settings& Callbacks();

  const Runtime* run_;
  const Plan& plan_;
  std::vector<sockaddr_storage> addresses_;
  std::vector<User> users_;
  std::deque<ClientRequest> requests_;
  std::vector<BadClient> bad_clients_;
  SlotTable<Link> links_;
  std::uint64_t ids_ = 0;
  std::size_t out_ = 0;  // requests that wait for an answer
  bool halted_ = false, closed_ = false;
};

}  // namespace ryeglade::soak
