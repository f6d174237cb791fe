// Stand-ins for the cases of this review: clients, model replicas, discovery and the platform that starts the
// node. They follow the operators' protocol page. Everything uses loopback addresses, free ports and the real
// clock; one thread serves each connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// ---- Time and the record ----

// Seconds since the start of the case.
inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void Sleep(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

// Writes record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    va_list args;
    va_start(args, format);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%9.3f  ", Now());
      std::vfprintf(file_, format, args);
      std::fputc('\n', file_);
      std::fflush(file_);
    }
    va_end(args);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

#define RECORD(...) ::review::Record::Get().Line(__VA_ARGS__)

// ---- Sockets ----

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// A connected socket with a buffer of what was read and not consumed yet.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {
    const int on = 1;
    if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)), text_(std::move(other.text_)) {}
  Socket& operator=(Socket&& other) noexcept {
    Close();
    fd_ = std::exchange(other.fd_, -1);
    text_ = std::move(other.text_);
    return *this;
  }
  ~Socket() { Close(); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    text_.clear();
  }
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }

  static Socket Connect(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = Loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
      close(fd);
      return Socket();
    }
    return Socket(fd);
  }

  bool Send(const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
      const ssize_t n = send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  bool SendChunk(const std::string& bytes) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return Send(size + bytes + "\r\n");
  }
  bool ReadableWithin(double seconds) const {
    pollfd p{fd_, POLLIN, 0};
    return poll(&p, 1, static_cast<int>(seconds * 1000)) == 1;
  }
  // Whether the peer has closed its side.
  bool PeerClosed() const {
    pollfd p{fd_, POLLRDHUP, 0};
    return poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  // Reads more bytes; false at the end of the connection or when `until` (as given by Now) has passed.
  bool ReadMore(double until) {
    const double left = until - Now();
    if (left <= 0 || !ReadableWithin(left)) return false;
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n > 0) text_.append(bytes, static_cast<std::size_t>(n));
    return n > 0;
  }
  // Sets `out` to everything up to and including `mark`.
  bool ReadUntil(const std::string& mark, std::string* out, double until) {
    std::size_t at = 0;
    while ((at = text_.find(mark)) == std::string::npos) {
      if (!ReadMore(until)) return false;
    }
    *out = text_.substr(0, at + mark.size());
    text_.erase(0, at + mark.size());
    return true;
  }
  bool ReadBytes(std::size_t n, std::string* out, double until) {
    while (text_.size() < n) {
      if (!ReadMore(until)) return false;
    }
    *out = text_.substr(0, n);
    text_.erase(0, n);
    return true;
  }
  bool has_bytes() const { return !text_.empty(); }

 private:
  int fd_;
  std::string text_;
};

inline constexpr double kForever = 1e9;

// An HTTP message: its first line, its header fields by lower-case name, and its body.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;
  double begun = 0;  // when its first byte was read
  double whole = 0;  // when its last byte was read

  std::string Field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  std::string target() const {
    const std::size_t from = first_line.find(' ') + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
  int status() const { return std::atoi(first_line.c_str() + first_line.find(' ') + 1); }
};

inline void ParseHead(const std::string& head, Message* message) {
  std::size_t at = head.find("\r\n");
  message->first_line = head.substr(0, at);
  message->fields.clear();
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t from = at + 2;
    at = head.find("\r\n", from);
    const std::string line = head.substr(from, at - from);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message->fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
}

// Reads a request whose body has a Content-Length.
inline bool ReadRequest(Socket& socket, Message* request) {
  if (!socket.has_bytes() && !socket.ReadMore(kForever)) return false;
  request->begun = Now();
  std::string head;
  if (!socket.ReadUntil("\r\n\r\n", &head, kForever)) return false;
  ParseHead(head, request);
  const std::string length = request->Field("content-length");
  if (!socket.ReadBytes(length.empty() ? 0 : std::stoul(length), &request->body, kForever)) return false;
  request->whole = Now();
  return true;
}

// Accepts connections on a free loopback port and serves each in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Socket&)>;
  explicit Server(Serve serve)
      : serve_(std::move(serve)), fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = Loopback(0);
    socklen_t length = sizeof address;
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), length) != 0 || listen(fd_, 512) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length) != 0)
      throw std::runtime_error("a stand-in cannot listen on loopback");
    port_ = ntohs(address.sin_port);
    std::thread([this] {
      for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        std::thread([this, fd] {
          Socket socket(fd);
          serve_(socket);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  Serve serve_;
  int fd_;
  int port_ = 0;
};

// A free loopback port for the node. Nobody else on this machine is expected to take it meanwhile.
inline int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof address;
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), length) != 0) throw std::runtime_error("no free port");
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  return ntohs(address.sin_port);
}

// ---- Model replicas ----

// What a replica does with a request.
struct Behavior {
  int status = 200;
  double first_after = 0.05;  // from the request's last byte to the first event
  int events = 4;             // of the answer, before the last one, the usage and [DONE]
  double event_gap = 0.03;    // between two events
  double second_after = -1;   // from the answer's end to a second answer on the connection; below 0: none
};

// One attempt as a replica saw it.
struct Attempt {
  std::string replica, id;
  double begun = 0, whole = 0;  // when its first and its last byte arrived
  int status = 0;               // of the answer; 0 while there is none
};

// All attempts at all replicas of a case.
class Attempts {
 public:
  std::size_t Add(const Attempt& attempt) {
    const std::lock_guard<std::mutex> lock(mutex_);
    all_.push_back(attempt);
    return all_.size() - 1;
  }
  void SetStatus(std::size_t index, int status) {
    const std::lock_guard<std::mutex> lock(mutex_);
    all_[index].status = status;
  }
  std::vector<Attempt> All() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return all_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Attempt> all_;
};

inline std::string Event(const std::string& id, int n, bool last) {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"for-" + id + "-" + std::to_string(n) +
         " \"},\"finish_reason\":" + (last ? "\"stop\"" : "null") + "}]}\n\n";
}

inline const char* const kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

// A model replica. The text of each answer names the request that it was made for.
class Replica {
 public:
  using Behave = std::function<Behavior(const Message&)>;
  Replica(std::string name, Attempts* attempts, Behave behave)
      : name_(std::move(name)),
        attempts_(attempts),
        behave_(std::move(behave)),
        server_([this](Socket& socket) { Serve(socket); }) {}
  const std::string& name() const { return name_; }
  std::string address() const { return server_.address(); }

 private:
  void Serve(Socket& socket) {
    Message request;
    while (ReadRequest(socket, &request)) {
      if (request.target() == "/_load" || request.target() == "/ping") {
        const std::string load = "qps=0,queue=0,x0=0.1";
        socket.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(load.size()) + "\r\n\r\n" + load);
        continue;
      }
      const std::string id = request.Field("x-call-id");
      const std::size_t index = attempts_->Add({name_, id, request.begun, request.whole, 0});
      RECORD("replica %s  got id=%s (first byte at %.3f)", name_.c_str(), id.c_str(), request.begun);
      const Behavior behavior = behave_(request);
      Sleep(behavior.first_after);
      if (socket.PeerClosed()) {
        RECORD("replica %s  id=%s was given up by the node", name_.c_str(), id.c_str());
        return;
      }
      attempts_->SetStatus(index, behavior.status);
      if (behavior.status != 200) {
        RECORD("replica %s  ran id=%s and answers %d", name_.c_str(), id.c_str(), behavior.status);
        if (!socket.Send("HTTP/1.1 " + std::to_string(behavior.status) + " x\r\nContent-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      if (!SendAnswer(socket, id, behavior)) {
        RECORD("replica %s  id=%s: the connection ended before the answer did", name_.c_str(), id.c_str());
        return;
      }
      RECORD("replica %s  ran id=%s and served it", name_.c_str(), id.c_str());
      if (behavior.second_after < 0) continue;
      Sleep(behavior.second_after);
      RECORD("replica %s  sends a second answer to id=%s", name_.c_str(), id.c_str());
      Behavior again;
      again.events = 1;
      again.event_gap = 0;
      if (!SendAnswer(socket, id, again)) return;
    }
  }

  static bool SendAnswer(Socket& socket, const std::string& id, const Behavior& behavior) {
    if (!socket.Send(kStreamHead)) return false;
    for (int n = 0; n <= behavior.events; ++n) {
      if (n > 0 && behavior.event_gap > 0) Sleep(behavior.event_gap);
      if (!socket.SendChunk(Event(id, n, n == behavior.events))) return false;
    }
    const std::string usage =
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":512,\"completion_tokens\":8,"
        "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
    return socket.SendChunk(usage) && socket.Send("0\r\n\r\n");
  }

  std::string name_;
  Attempts* attempts_;
  Behave behave_;
  Server server_;
};

// ---- Discovery ----

// Serves the list of replicas, as a whole and as a watch.
class Discovery {
 public:
  // `zone` and `kind` are those of all replicas.
  explicit Discovery(std::string zone = "seoul", std::string kind = "gen2")
      : zone_(std::move(zone)), kind_(std::move(kind)), server_([this](Socket& socket) { Serve(socket); }) {}
  std::string address() const { return server_.address(); }

  void Add(const Replica& replica) {
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_.push_back({replica.name(), replica.address(), "active", ++generation_});
  }
  // The complete list, in discovery's form.
  std::string List() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Text(0, true);
  }

 private:
  struct Entry {
    std::string name, address, lifecycle;
    int changed = 0;  // the generation of its last change
  };

  // The entries that have changed after `since`.
  std::string Text(int since, bool whole) const {
    std::string text = "{\"generation\":" + std::to_string(generation_) +
                       ",\"reset\":" + (whole ? "true" : "false") + ",\"instances\":[";
    bool first = true;
    for (const Entry& e : entries_) {
      if (e.changed <= since) continue;
      text += std::string(first ? "" : ",") + "{\"instanceId\":\"" + e.name + "\",\"hostPort\":\"" +
              e.address + "\",\"zone\":\"" + zone_ + "\",\"machineType\":\"" + kind_ +
              "\",\"cell\":1,\"lifecycle\":\"" + e.lifecycle + "\",\"weight\":1.0,\"startedAtMs\":0}";
      first = false;
    }
    return text + "]}";
  }

  void Serve(Socket& socket) {
    Message call;
    while (ReadRequest(socket, &call)) {
      RECORD("discovery  is asked %s", call.target().c_str());
      if (call.target().find("follow=1") == std::string::npos) {
        const std::string list = List();
        if (!socket.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(list.size()) + "\r\n\r\n" + list))
          return;
        continue;
      }
      socket.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
      int told = 0;
      double spoke = 0;
      for (bool first = true; !socket.PeerClosed(); first = false) {
        std::string line;
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          if (first || told < generation_) line = Text(told, first);
          told = generation_;
        }
        if (line.empty() && Now() - spoke < 2) {
          Sleep(0.005);
          continue;
        }
        spoke = Now();
        if (!socket.SendChunk(line + "\n")) return;
      }
      return;
    }
  }

  std::string zone_, kind_;
  mutable std::mutex mutex_;
  std::vector<Entry> entries_;
  int generation_ = 40;
  Server server_;
};

// ---- Clients ----

struct Answer {
  int status = 0;       // 0: none came
  std::string text;     // the events
  bool whole = false;   // with its last chunk, or all bytes of its Content-Length
  bool resent = false;  // the client sent the request once more, as a close had crossed it
  double sent = 0, ended = 0;
};

// `filling` is a number of further bytes of the prompt.
inline std::string RequestText(const std::string& id, const std::string& class_name, double budget,
                               std::size_t filling = 0) {
  const std::string body =
      "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":80,\"messages\":[{\"role\":\"user\",\"content\":"
      "\"" +
      id + std::string(filling, 'x') + "\"}]}";
  char head[512];
  std::snprintf(head, sizeof head,
                "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\n"
                "X-Call-Class: %s\r\nX-Route-Hash: %s\r\nX-Budget: %.3f\r\n"
                "X-Call-Info: prompt_len=512,max_out=80\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n",
                id.c_str(), class_name.c_str(), id.c_str(), budget, body.size());
  return head + body;
}

// Ids of requests: 16 hexadecimal digits, each used once.
inline std::string NewId() {
  static std::atomic<unsigned> next{1};
  char id[20];
  std::snprintf(id, sizeof id, "%08x%08x", 0x9b1f03aaU, next++);
  return id;
}

// A client with one connection, which it keeps for its next request.
class Client {
 public:
  explicit Client(int port) : port_(port) {}

  // Sends a request and waits for the end of its answer.
  Answer Ask(const std::string& id, const std::string& class_name, double budget) {
    for (int attempt = 0;; ++attempt) {
      const bool kept = socket_.open();
      if (!kept) socket_ = Socket::Connect(port_);
      Answer answer;
      answer.resent = attempt > 0;
      answer.sent = Now();
      if (socket_.open() && socket_.Send(RequestText(id, class_name, budget)) &&
          ReadAnswer(socket_, &answer, budget)) {
        RECORD("client  id=%s class=%s answered %d%s in %.3f s", id.c_str(), class_name.c_str(),
               answer.status, answer.whole ? "" : ", cut off", answer.ended - answer.sent);
        if (!answer.whole) socket_.Close();
        return answer;
      }
      socket_.Close();
      // A close that crosses a request on a kept connection: the client sends it once more on a new one.
      if (kept && attempt == 0 && Now() - answer.sent < budget / 2) continue;
      answer.ended = Now();
      RECORD("client  id=%s class=%s got no answer", id.c_str(), class_name.c_str());
      return answer;
    }
  }

  // Reads an answer; returns false if not even its head came within `budget` seconds and 0.5 s of the
  // sending.
  static bool ReadAnswer(Socket& socket, Answer* answer, double budget) {
    std::string head;
    if (!socket.ReadUntil("\r\n\r\n", &head, answer->sent + budget + 0.5)) return false;
    Message message;
    ParseHead(head, &message);
    answer->status = message.status();
    if (message.Field("transfer-encoding") == "chunked") {
      for (std::string line, bytes;;) {
        const double until = Now() + 10;
        if (!socket.ReadUntil("\r\n", &line, until)) break;
        const std::size_t size = std::stoul(line, nullptr, 16);
        if (!socket.ReadBytes(size + 2, &bytes, until)) break;
        answer->text += bytes.substr(0, size);
        if (size > 0) continue;
        answer->whole = true;
        break;
      }
    } else {
      const std::string length = message.Field("content-length");
      answer->whole = socket.ReadBytes(length.empty() ? 0 : std::stoul(length), &answer->text, Now() + 5);
    }
    answer->ended = Now();
    if (message.Field("connection") == "close") socket.Close();
    return true;
  }

 private:
  int port_;
  Socket socket_;
};

// ---- The platform ----

// The settings of a small deployment like bid-assist-kr. `docs_effect` is the effect of class docs.
inline std::string SettingsText(const std::string& docs_effect, bool resume = false) {
  return R"({"az":0,"balancers":1,"classes":[
    {"deadline":5000000,"dedup-scope":"all","effect":")" +
         docs_effect +
         R"(","late-worth":0.0,"name":"docs","promise":1000000,"stream":true,"window":5000000,"worth":3.0},
    {"deadline":7500000,"dedup-scope":"all","effect":"free","late-worth":0.0,"name":"agent","promise":1500000,"stream":true,"window":5000000,"worth":9.0}],
   "client-habits":{"marks-retry":false},"family":"llm",
   "family-info":{"aim-us-per-1000-prompt-tokens":[40000.0,30000.0],"notes":"tokens of the prompt that were found kept",
    "report-x0":"share of memory held by running requests","resume":)" +
         (resume ? "true" : "false") + R"(,"token-aim":[100000.0,80000.0]},
   "fees":{"connection":0.0,"cross-zone":0.08,"late-fail":0.05,"probe":0.002,"waste":0.25},
   "goal":{"whole":0.65,"worst-class":0.2,"worst-tenant":0.0,"worst-window":0.15},
   "limits":{"cancel":true,"connect-timeout":250000,"cpu-us-per-request":10.0,"cpu-us-per-s":15000,"idle-close":5000000,
    "max-attempts":6,"max-open":20000,"max-retry-after":2000000,"parallel-tries":false,"peers":false,"probes":true,
    "retry-after":true,"streams-per-conn":1},
   "localities":["seoul","daejeon","busan"],"me":0,"membership-mode":"ask",
   "obligations":{"answer-slack":20000,"ask-within":10000000,"cold":8800000,"cold-from":0.35,"drain-grace":750000,
    "overload-factor":4.0,"overload-for":1000000},
   "over-share-worth":0.1,"shapes":["gen3","gen2","gen1"],"stats":{"fields":["qps","queue","x0"],"how":"probe"},
   "step":5000,"tenants":[],"tier":0,"tiers":["llm-replicas"],"weights":"rough","worth-by":"work"})";
}

// What a node is told, as the deployment page lists it.
struct NodeOptions {
  std::string name = "n0";
  int port = 0;         // for clients
  int management = 0;   // for operators
  int memory_mb = 192;  // of the limits
  int sockets = 1024;   // of the limits: descriptors
  std::string discovery, known, settings;
  std::string without;  // a top-level key that the file lacks; empty: it lacks none
};

inline std::string ConfigText(const NodeOptions& options) {
  const std::vector<std::pair<std::string, std::string>> keys = {
      {"name", "\"" + options.name + "\""},
      {"listen", "\"127.0.0.1:" + std::to_string(options.port) + "\""},
      {"discovery", "\"" + options.discovery + "\""},
      {"management", "\"127.0.0.1:" + std::to_string(options.management) + "\""},
      {"seed", "\"8c1f30d27a5be964\""},
      {"limits", R"({"cores":1.0,"memory_mb":)" + std::to_string(options.memory_mb) + R"(,"sockets":)" +
                     std::to_string(options.sockets) + "}"},
      {"known", options.known},
      {"settings", options.settings}};
  std::string text = "{";
  for (const auto& [key, value] : keys) {
    if (key == options.without) continue;
    text += (text.size() > 1 ? ",\n" : "") + ("\"" + key + "\":") + value;
  }
  return text + "}\n";
}

// A node, started by the line `run` of the deploy file with the variables of the deployment page. Its log
// goes to a file in the temporary folder.
class NodeProcess {
 public:
  // `folder` holds the configuration and the log; `tmpdir` is the node's $TMPDIR.
  NodeProcess(const NodeOptions& options, const std::string& run, const std::string& folder,
              const std::string& tmpdir, const std::string& label)
      : options_(options),
        config_path_(folder + "/" + label + ".json"),
        log_path_(folder + "/" + label + ".log") {
    WriteConfig(options);
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("fork failed");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("EDGE_NAME", options.name.c_str(), 1);
      setenv("EDGE_LISTEN", ("127.0.0.1:" + std::to_string(options.port)).c_str(), 1);
      setenv("EDGE_DISCOVERY", options.discovery.c_str(), 1);
      setenv("EDGE_MANAGEMENT", ("127.0.0.1:" + std::to_string(options.management)).c_str(), 1);
      setenv("EDGE_CONFIG", config_path_.c_str(), 1);
      setenv("TMPDIR", tmpdir.c_str(), 1);
      if (std::freopen(log_path_.c_str(), "w", stderr) == nullptr) _exit(9);
      if (std::freopen("/dev/null", "w", stdout) == nullptr) _exit(9);
      execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      _exit(9);
    }
    RECORD("platform  starts process %s (pid %d), clients at port %d", label.c_str(), static_cast<int>(pid_),
           options.port);
  }
  ~NodeProcess() { End(); }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  void End() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(std::exchange(pid_, -1), nullptr, 0);
  }
  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }
  // The process's own memory in MiB, without its program file and libraries; 0 if it has ended.
  double MemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    double kb = 0;
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("RssAnon:", 0) == 0) kb += std::atof(line.c_str() + 8);
      if (line.rfind("RssShmem:", 0) == 0) kb += std::atof(line.c_str() + 9);
    }
    return kb / 1024;
  }
  // Replaces the configuration file by a new one, as a whole.
  void WriteConfig(const NodeOptions& options) const {
    std::ofstream(config_path_ + ".new") << ConfigText(options);
    if (std::rename((config_path_ + ".new").c_str(), config_path_.c_str()) != 0)
      throw std::runtime_error("the configuration cannot be written");
  }

  // A call at the management address: the status, or 0 if there was no answer within a second.
  int Call(const std::string& method, const std::string& path, std::string* body = nullptr) const {
    Socket socket = Socket::Connect(options_.management);
    const double until = Now() + 1;
    std::string text;
    if (!socket.open() ||
        !socket.Send(method + " " + path + " HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n") ||
        !socket.ReadUntil("\r\n\r\n", &text, until))
      return 0;
    Message answer;
    ParseHead(text, &answer);
    const std::string length = answer.Field("content-length");
    std::string all;
    socket.ReadBytes(length.empty() ? 0 : std::stoul(length), &all, until);
    if (body != nullptr) *body = all;
    return answer.status();
  }
  // Waits until the node says yes to GET /control/ready; false if it does not within `seconds`.
  bool WaitReady(double seconds) const {
    for (const double until = Now() + seconds; Now() < until; Sleep(0.01)) {
      if (Call("GET", "/control/ready") == 200) return true;
    }
    return false;
  }
  // The value of a figure at the management address, or -1.
  double Figure(const std::string& name) const {
    std::string text;
    if (Call("GET", "/control/counters", &text) != 200) return -1;
    const std::size_t at = ("\n" + text).find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::atof(text.c_str() + at + name.size() + 1);
  }

 private:
  NodeOptions options_;
  std::string config_path_, log_path_;
  pid_t pid_ = -1;
};

// The temporary folder of a case; removed at the end with everything in it.
class Folder {
 public:
  Folder() {
    const char* base = std::getenv("TMPDIR");
    path_ = std::string(base != nullptr && *base != '\0' ? base : "/tmp") + "/review-XXXXXX";
    if (mkdtemp(path_.data()) == nullptr) throw std::runtime_error("no temporary folder");
  }
  ~Folder() {
    if (std::getenv("KEEP") == nullptr && std::system(("rm -rf '" + path_ + "'").c_str()) != 0)
      std::fprintf(stderr, "the temporary folder stays\n");
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Whether the case runs with its disruption; TROUBLE=0 leaves it out.
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Runs a case: `argv` is the path of record.txt and the line `run` of the deploy file. The process ends at
// once, with all threads of the stand-ins.
inline int Main(int argc, char** argv, int (*run_case)(const std::string& run)) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s RECORD RUN\n", argv[0]);
    return kCouldNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  Record::Get().Open(argv[1]);
  Now();
  int result = kCouldNotRun;
  try {
    result = run_case(argv[2]);
  } catch (const std::exception& e) {
    RECORD("the case could not run: %s", e.what());
  }
  RECORD("result  %d (%s)", result,
         result == kHeld     ? "the rule held"
         : result == kBroken ? "the rule was broken"
                             : "could not run");
  std::fflush(nullptr);
  _exit(result);
}

}  // namespace review
