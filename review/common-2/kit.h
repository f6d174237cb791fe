// Stand-ins and helpers for the cases 6 to 10: a replica, discovery, a client, a node as a process, a record.
// Everything runs on 127.0.0.1 and needs only the standard library and POSIX. Sockets block; each connection
// has a thread of its own.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

// ---- Time and the record ----

inline double Now() {  // seconds, monotonic
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline long long WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepUntil(double at) {
  while (Now() < at) std::this_thread::sleep_for(std::chrono::duration<double>(std::min(0.05, at - Now())));
}

inline void Sleep(double seconds) { SleepUntil(Now() + seconds); }

// The file record.txt: one line for each thing sent, answered or run, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(Now()) {}
  double Since(double at) const { return at - start_; }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f ", Now() - start_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  double start_;
};

// The case could not run.
[[noreturn]] inline void CannotRun(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  throw std::string(why);
}

// ---- Sockets ----

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

inline int ListenOn(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(*port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0)
    CannotRun("no port to listen on");
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

inline int FreePort() {
  int port = 0;
  const int fd = ListenOn(&port);
  close(fd);
  return port;
}

// Returns -1 if the connection is refused.
inline int ConnectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads more bytes into `buffer`. Returns 1, 0 at the end or after a reset, -1 if `until` has passed.
inline int ReadMore(int fd, std::string* buffer, double until) {
  for (;;) {
    const double left = until - Now();
    if (left <= 0) return -1;
    pollfd look{fd, POLLIN, 0};
    const int ready = poll(&look, 1, static_cast<int>(std::min(left, 0.5) * 1000) + 1);
    if (ready <= 0) continue;
    char bytes[65536];
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return 0;
    buffer->append(bytes, static_cast<std::size_t>(n));
    return 1;
  }
}

// ---- HTTP, as far as the stand-ins need it ----

struct Head {
  std::string line;                           // the first line
  std::map<std::string, std::string> fields;  // names in lower case
  std::string Field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
};

// Takes a head from the front of `buffer`. Returns false if it is not complete.
inline bool TakeHead(std::string* buffer, Head* head) {
  const std::size_t end = buffer->find("\r\n\r\n");
  if (end == std::string::npos) return false;
  std::istringstream lines(buffer->substr(0, end));
  buffer->erase(0, end + 4);
  *head = {};
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (head->line.empty()) {
      head->line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const std::size_t from = line.find_first_not_of(' ', colon + 1);
    head->fields[name] = from == std::string::npos ? "" : line.substr(from);
  }
  return true;
}

struct Answer {
  int status = 0;         // 0: no answer came
  bool complete = false;  // the whole answer, to its last chunk or by its length
  bool ended = false;     // the connection ended
  std::string body;
};

// Reads one answer from `fd`; `buffer` holds what was read beyond it.
inline Answer ReadAnswer(int fd, std::string* buffer, double until) {
  Answer answer;
  Head head;
  while (!TakeHead(buffer, &head)) {
    const int more = ReadMore(fd, buffer, until);
    if (more == 1) continue;
    answer.ended = more == 0;
    return answer;
  }
  answer.status = std::atoi(head.line.substr(std::min<std::size_t>(head.line.size(), 9)).c_str());
  const auto fill = [&](std::size_t bytes) {
    while (buffer->size() < bytes) {
      const int more = ReadMore(fd, buffer, until);
      if (more == 1) continue;
      answer.ended = more == 0;
      return false;
    }
    return true;
  };
  if (head.Field("transfer-encoding") != "chunked") {
    const auto length = static_cast<std::size_t>(std::atol(head.Field("content-length").c_str()));
    if (!fill(length)) return answer;
    answer.body = buffer->substr(0, length);
    buffer->erase(0, length);
    answer.complete = true;
    return answer;
  }
  for (;;) {
    std::size_t end;
    while ((end = buffer->find("\r\n")) == std::string::npos) {
      if (!fill(buffer->size() + 1)) return answer;
    }
    const auto size = static_cast<std::size_t>(std::strtoul(buffer->c_str(), nullptr, 16));
    if (!fill(end + 2 + size + 2)) {
      if (buffer->size() > end + 2) answer.body += buffer->substr(end + 2, size);
      return answer;
    }
    answer.body += buffer->substr(end + 2, size);
    buffer->erase(0, end + 2 + size + 2);
    if (size > 0) continue;
    answer.complete = true;
    return answer;
  }
}

inline std::string Chunk(const std::string& text) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// A listening socket; `serve` runs in a thread for each connection and owns its socket.
class Server {
 public:
  explicit Server(std::function<void(int)> serve, int port = 0) : serve_(std::move(serve)), port_(port) {
    fd_ = ListenOn(&port_);
    std::thread([this] {
      for (;;) {
        const int client = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) return;
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, client] {
          serve_(client);
          close(client);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  std::function<void(int)> serve_;
  int port_;
  int fd_ = -1;
};

// ---- A replica ----

struct Attempt {
  std::string replica;
  std::string id;  // X-Call-Id
  double at = 0;   // when the request's first byte was read
  std::string body;
};

// Answers every request with a stream whose text names the request, as the protocol page describes.
class Replica {
 public:
  Replica(std::string name, Record* record, double first_token = 0.02, int events = 3, double gap = 0.01)
      : name_(std::move(name)),
        record_(record),
        first_token_(first_token),
        events_(events),
        gap_(gap),
        server_([this](int fd) { Serve(fd); }) {}
  std::string address() const { return server_.address(); }
  const std::string& name() const { return name_; }
  std::vector<Attempt> attempts() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return attempts_;
  }
  // Attempts whose first byte came after `from`.
  std::vector<Attempt> AttemptsAfter(double from) const {
    std::vector<Attempt> after;
    for (const Attempt& attempt : attempts()) {
      if (attempt.at > from) after.push_back(attempt);
    }
    return after;
  }

 private:
  void Serve(int fd) {
    std::string buffer;
    for (;;) {
      const double until = Now() + 5;  // an idle connection is closed then
      if (buffer.empty() && ReadMore(fd, &buffer, until) != 1) return;
      const double at = Now();
      Head head;
      while (!TakeHead(&buffer, &head)) {
        if (ReadMore(fd, &buffer, until) != 1) return;
      }
      const auto length = static_cast<std::size_t>(std::atol(head.Field("content-length").c_str()));
      while (buffer.size() < length) {
        if (ReadMore(fd, &buffer, until) != 1) return;
      }
      const std::string id = head.Field("x-call-id");
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        attempts_.push_back({name_, id, at, buffer.substr(0, length)});
      }
      record_->Line("run %s at replica %s", id.c_str(), name_.c_str());
      buffer.erase(0, length);
      Sleep(first_token_);
      std::string out =
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
      for (int n = 0; n < events_; ++n) {
        out += Chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"for " + id + " " +
                     std::to_string(n) + " \"},\"finish_reason\":" + (n + 1 < events_ ? "null" : "\"stop\"") +
                     "}]}\n\n");
        if (!SendAll(fd, out)) return;
        out.clear();
        if (n + 1 < events_) Sleep(gap_);
      }
      out = Chunk(
          "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":3,"
          "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n");
      if (!SendAll(fd, out + "0\r\n\r\n")) return;
    }
  }

  std::string name_;
  Record* record_;
  double first_token_;
  int events_;
  double gap_;
  mutable std::mutex mutex_;
  std::vector<Attempt> attempts_;
  Server server_;
};

// ---- Discovery ----

struct Instance {
  std::string name;
  std::string address;
  std::string state = "active";
  long long started_ms = 0;
};

inline std::string ListJson(int generation, bool reset, const std::vector<Instance>& instances) {
  std::string out = "{\"generation\":" + std::to_string(generation) +
                    ",\"reset\":" + (reset ? "true" : "false") + ",\"instances\":[";
  for (std::size_t n = 0; n < instances.size(); ++n) {
    const Instance& i = instances[n];
    out += std::string(n > 0 ? "," : "") + "{\"instanceId\":\"" + i.name + "\",\"hostPort\":\"" + i.address +
           "\",\"zone\":\"seoul\",\"machineType\":\"gen2\",\"cell\":1,\"lifecycle\":\"" + i.state +
           "\",\"weight\":1.0,\"startedAtMs\":" + std::to_string(i.started_ms) + "}";
  }
  return out + "]}";
}

// Serves the list and watches on it. A watch gets the whole list first, then each change as the whole list,
// and an empty line every 2 s.
class Discovery {
 public:
  // Called for each call before it is answered; may wait. Returns false if the call is to end with 503.
  using Gate = std::function<bool()>;

  explicit Discovery(Record* record) : record_(record), server_([this](int fd) { Serve(fd); }) {}
  std::string address() const { return server_.address(); }
  void SetGate(Gate gate) {
    const std::lock_guard<std::mutex> lock(mutex_);
    gate_ = std::move(gate);
  }
  // While it is down, calls and open watches end with a reset.
  void SetDown(bool down) { down_ = down; }
  void SetList(int generation, std::vector<Instance> instances) {
    const std::lock_guard<std::mutex> lock(mutex_);
    generation_ = generation;
    instances_ = std::move(instances);
  }
  std::string Known() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ListJson(generation_, true, instances_);
  }
  // When the list of at least this generation was first written to anybody; 0: not yet.
  double told(int generation) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    double first = 0;
    for (const auto& [of, at] : told_) {
      if (of >= generation && (first == 0 || at < first)) first = at;
    }
    return first;
  }

 private:
  void Serve(int fd) {
    std::string buffer;
    for (;;) {
      Head head;
      while (!TakeHead(&buffer, &head)) {
        if (ReadMore(fd, &buffer, Now() + 120) != 1) return;
      }
      if (down_) return Reset(fd);
      const bool watch = head.line.find("follow=1") != std::string::npos;
      const char* kind = watch ? "watch" : "list";
      Gate gate;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        gate = gate_;
      }
      record_->Line("discovery is called for a %s", kind);
      if (gate && !gate()) {
        record_->Line("discovery refuses the %s with 503", kind);
        if (!SendAll(fd, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")) return;
        continue;
      }
      int generation;
      const std::string list = Current(&generation);
      record_->Line("discovery answers the %s, generation %d", kind, generation);
      if (!watch) {
        if (!SendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(list.size()) + "\r\n\r\n" + list))
          return;
        continue;
      }
      if (!SendAll(fd,
                   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       Chunk(list + "\n")))
        return;
      return Follow(fd, generation);
    }
  }

  // The caller closes the socket.
  static void Reset(int fd) {
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }

  void Follow(int fd, int generation) {
    double last = Now();
    for (;;) {
      Sleep(0.02);
      pollfd look{fd, POLLIN | POLLRDHUP, 0};
      if (poll(&look, 1, 0) > 0) return;  // the node has closed it
      if (down_) return Reset(fd);
      int current;
      const std::string list = Current(&current);
      if (current != generation) {
        if (!SendAll(fd, Chunk(list + "\n"))) return;
        record_->Line("discovery tells generation %d on a watch", current);
        generation = current;
        last = Now();
      } else if (Now() - last >= 2) {
        if (!SendAll(fd, Chunk("\n"))) return;
        last = Now();
      }
    }
  }

  std::string Current(int* generation) {
    const std::lock_guard<std::mutex> lock(mutex_);
    *generation = generation_;
    told_.try_emplace(generation_, Now());
    return ListJson(generation_, true, instances_);
  }

  Record* record_;
  mutable std::mutex mutex_;
  Gate gate_;
  std::atomic<bool> down_{false};
  int generation_ = 1;
  std::vector<Instance> instances_;
  std::map<int, double> told_;
  Server server_;
};

// ---- The node ----

struct NodeSettings {
  std::string name = "n1";
  int port = 0;
  int management = 0;  // 0: none
  std::string discovery;
  std::string known;
  std::string mode = "ask";  // or "push"
  int drain_grace_us = 750000;
  std::string docs_effect = "free";
  int docs_deadline_us = 5000000;
  bool resume = true;
  int memory_mb = 192;
  int sockets = 1024;
};

inline std::string ConfigJson(const NodeSettings& s) {
  const auto class_json = [&](const std::string& name, const std::string& effect, int promise, int deadline,
                              double worth) {
    return "{\"name\":\"" + name + "\",\"effect\":\"" + effect +
           "\",\"dedup-scope\":\"all\",\"deadline\":" + std::to_string(deadline) +
           ",\"promise\":" + std::to_string(promise) + ",\"window\":" + std::to_string(deadline) +
           ",\"stream\":true,\"worth\":" + std::to_string(worth) + ",\"late-worth\":0.0}";
  };
  return "{\"name\":\"" + s.name + "\",\"listen\":\"127.0.0.1:" + std::to_string(s.port) +
         "\",\"discovery\":\"" + s.discovery + "\"," +
         (s.management > 0 ? "\"management\":\"127.0.0.1:" + std::to_string(s.management) + "\"," : "") +
         "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
         std::to_string(s.memory_mb) + ",\"sockets\":" + std::to_string(s.sockets) +
         "},\"known\":" + s.known +
         ",\"settings\":{\"az\":0,\"me\":0,\"balancers\":3,\"membership-mode\":\"" + s.mode +
         "\",\"localities\":[\"seoul\",\"daejeon\",\"busan\"],\"shapes\":[\"gen3\",\"gen2\",\"gen1\"],"
         "\"weights\":\"rough\",\"stats\":{\"how\":\"probe\",\"fields\":[\"qps\",\"queue\",\"x0\"]},"
         "\"classes\":[" +
         class_json("docs", s.docs_effect, std::min(1000000, s.docs_deadline_us), s.docs_deadline_us, 3) +
         "," + class_json("agent", "free", 1500000, 7500000, 9) +
         "],\"family-info\":{\"resume\":" + (s.resume ? "true" : "false") +
         ",\"aim-us-per-1000-prompt-tokens\":[40000.0,30000.0],\"token-aim\":[100000.0,80000.0]},"
         "\"limits\":{\"cancel\":true,\"probes\":true,\"parallel-tries\":false,\"retry-after\":true,"
         "\"max-attempts\":6,\"max-retry-after\":2000000,\"connect-timeout\":250000,\"idle-close\":5000000},"
         "\"obligations\":{\"answer-slack\":20000,\"ask-within\":10000000,\"drain-grace\":" +
         std::to_string(s.drain_grace_us) +
         ",\"cold\":8800000,\"cold-from\":0.35,\"overload-factor\":4.0,\"overload-for\":1000000},"
         "\"fees\":{\"cross-zone\":0.08,\"waste\":0.25,\"late-fail\":0.05,\"probe\":0.002,\"moves\":0.0}}}";
}

// The line `run` of the deploy file, in the current folder, which is the repository's.
inline std::string RunLine() {
  std::ifstream in("deploy/balancer.toml");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
  }
  CannotRun("no line `run` in deploy/balancer.toml");
}

// A folder of its own in the system's folder for temporary files, removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    const char* base = std::getenv("TMPDIR");
    std::string path = std::string(base != nullptr && *base != '\0' ? base : "/tmp") + "/review-XXXXXX";
    if (mkdtemp(path.data()) == nullptr) CannotRun("no temporary folder");
    path_ = path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// One process of a node, started as the deploy file says.
class Node {
 public:
  // `more` is added to the line `run`.
  Node(const NodeSettings& settings, const std::string& folder, const std::string& log_name,
       const std::string& more = "")
      : settings_(settings) {
    const std::string config = folder + "/" + log_name + ".json";
    std::ofstream(config) << ConfigJson(settings);
    const std::string temporary = folder + "/tmp-" + settings.name;
    mkdir(temporary.c_str(), 0700);
    const std::string run = RunLine() + more;
    const std::string log = folder + "/" + log_name + ".log";
    started_ = Now();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the test is killed
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      setenv("EDGE_CONFIG", config.c_str(), 1);
      setenv("TMPDIR", temporary.c_str(), 1);
      for (const char* name : {"EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_MANAGEMENT"})
        unsetenv(name);
      execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    log_ = log;
  }
  ~Node() { Kill(); }
  double started() const { return started_; }
  pid_t pid() const { return pid_; }
  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Returns true if the process has ended by itself.
  bool Ended(int* status) {
    if (pid_ <= 0 || waitpid(pid_, status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  // Waits until GET /_health is answered with 200. Returns false after `seconds`.
  bool WaitHealthy(double seconds) const { return WaitFor(settings_.port, "/_health", seconds); }
  bool WaitReady(double seconds) const { return WaitFor(settings_.management, "/control/ready", seconds); }
  std::string Log() const {
    std::ifstream in(log_);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  }
  // Makes one call at the management address; returns the status.
  int Manage(const std::string& method, const std::string& path) const {
    const int fd = ConnectTo(settings_.management);
    if (fd < 0) return 0;
    SendAll(fd, method + " " + path + " HTTP/1.1\r\nHost: service.internal\r\nContent-Length: 0\r\n\r\n");
    std::string buffer;
    const Answer answer = ReadAnswer(fd, &buffer, Now() + 2);
    close(fd);
    return answer.status;
  }

 private:
  static bool WaitFor(int port, const std::string& path, double seconds) {
    const double until = Now() + seconds;
    while (Now() < until) {
      const int fd = ConnectTo(port);
      if (fd >= 0) {
        SendAll(fd, "GET " + path + " HTTP/1.1\r\nHost: service.internal\r\n\r\n");
        std::string buffer;
        const Answer answer = ReadAnswer(fd, &buffer, Now() + 1);
        close(fd);
        if (answer.status == 200) return true;
      }
      Sleep(0.02);
    }
    return false;
  }

  NodeSettings settings_;
  std::string log_;
  double started_ = 0;
  pid_t pid_ = -1;
};

// ---- Clients ----

inline std::string NewId() {
  static std::atomic<unsigned long long> next{static_cast<unsigned long long>(WallMs()) << 16};
  char id[24];
  std::snprintf(id, sizeof id, "%016llx", next++);
  return id;
}

inline std::string Body() {
  return "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":"
         "\"which rule holds at the gate\"}]}";
}

inline std::string RequestText(const std::string& id, double budget, const std::string& type = "docs") {
  const std::string body = Body();
  char seconds[16];
  std::snprintf(seconds, sizeof seconds, "%.3f", budget);
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id +
         "\r\nX-Call-Class: " + type + "\r\nX-Route-Hash: " + id + "\r\nX-Budget: " + seconds +
         "\r\nX-Call-Info: prompt_len=20,max_out=8\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Clients that each send one request after another on a connection that they keep, until told to stop.
class Clients {
 public:
  Clients(int port, int count, double pause, Record* record) : port_(port), record_(record) {
    for (int n = 0; n < count; ++n) threads_.emplace_back([this, pause] { Run(pause); });
  }
  ~Clients() { Stop(); }
  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }
  int served() const { return served_; }
  int other() const { return other_; }

 private:
  void Run(double pause) {
    int fd = -1;
    std::string buffer;
    while (!stop_) {
      if (fd < 0) {
        fd = ConnectTo(port_);
        buffer.clear();
        if (fd < 0) {
          Sleep(0.02);
          continue;
        }
      }
      const std::string id = NewId();
      record_->Line("sent %s", id.c_str());
      Answer answer;
      if (SendAll(fd, RequestText(id, 3))) answer = ReadAnswer(fd, &buffer, Now() + 6);
      record_->Line("answered %s status %d %s", id.c_str(), answer.status,
                    answer.complete ? "complete" : "not complete");
      ++(answer.status == 200 && answer.complete ? served_ : other_);
      if (!answer.complete) {
        close(fd);
        fd = -1;
      }
      Sleep(pause);
    }
    if (fd >= 0) close(fd);
  }

  int port_;
  Record* record_;
  std::atomic<bool> stop_{false};
  std::atomic<int> served_{0}, other_{0};
  std::vector<std::thread> threads_;
};

// Whether the disruption is left out.
inline bool Calm() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

// Runs the case: 0 the rule held, 1 it was broken, 2 the case could not run. The stand-ins' threads are still
// running, so the process ends without destroying what they use.
inline int Main(int argc, char** argv, const std::function<int(Record*)>& run) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s RECORD-FILE\n", argv[0]);
    return 2;
  }
  auto* record = new Record(argv[1]);
  int result = 2;
  try {
    result = run(record);
  } catch (const std::string&) {
  }
  std::fflush(nullptr);
  _exit(result);
}

}  // namespace kit
