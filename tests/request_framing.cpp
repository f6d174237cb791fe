// Requests with sound and with unreadable framing at both fronts of a node as a process: sound ones reach a
// replica with their body unchanged, unreadable ones get an error or a close within 3 s and reach nobody.
// `request_framing PROGRAM TABLE FRONT` plays one table.
#include <netinet/tcp.h>

#include <algorithm>

#include "request_framing_cases.h"
#include "scripted_peers.h"

namespace scripted {
namespace {

constexpr int kErrorDueMs = 3'000;
constexpr std::size_t kSmallPiece = 61;

class Fronts {
 public:
  Fronts(const std::string& program, bool openai)
      : openai_(openai),
        node_(program, EndpointListJson(1, true, {InstanceJson("s-a", host_.address())}), "127.0.0.1:9",
              "push", 1024, 192, "", false,
              {{"settings", {{"limits", {{"max-attempts", 1}}}}},
               {"_toml",
                "[openai]\nlisten = \"127.0.0.1:0\"\n[[openai.model]]\nid = \"m\"\nclass = \"docs\"\n"}}) {}

  static std::string Body() {
    return R"({"model":"m","stream":true,"stream_options":{"include_usage":true},)"
           R"("messages":[{"role":"user","content":"gate 17 and 12"}]})";
  }

  // Returns why a sound request was not served as it was sent; empty if it was.
  std::string Serve(const framing::Case& c, std::size_t piece) {
    Connection client = Send(framing::Text(c, NextFields()), piece);
    if (!AttemptComesWithin(client)) return "answered with " + client.ReadUntilOrEnd("\r\n\r\n");
    if (!upstream_.ReadableWithin(0)) upstream_ = host_.Accept();
    std::string body;
    const std::string head = upstream_.ReadMessage(&body);
    upstream_.Send(kStreamHead + kStreamChunk + kStreamEnd);
    const bool served = Contains(client.ReadUntilOrEnd("0\r\n\r\n"), " 200 OK");
    if (!served) return "not served";
    if (Contains(head, "t-1")) return "a trailer was passed on";
    return body == Body() ? "" : "the replica got '" + body + "'";
  }

  // Returns what was wrong with the answer to an unreadable request, behind which a sound one comes; empty if
  // nothing was.
  std::string Reject(const framing::Case& c, std::size_t piece) {
    const framing::Case next{"next", "Content-Length: " + std::to_string(Body().size()) + "\r\n", Body()};
    const std::string text = framing::Text(c, NextFields()) + framing::Text(next, NextFields());
    Connection client = Send(text, piece);
    if (AttemptComesWithin(client)) {
      Drop();
      return "served";
    }
    if (!client.ReadableWithin(0)) return "no answer in time";
    const std::string head = client.ReadUntilOrEnd("\r\n\r\n");
    if (!head.empty() && StatusOf(head) < 400) return "answered with " + head;
    client.ReadToEnd();
    if (!HasAttempt()) return "";
    Drop();
    return "the request behind it was served";
  }

 private:
  std::string NextFields() {
    const std::string id = std::to_string(++requests_);
    if (openai_) return "Host: a\r\nContent-Type: application/json\r\n";
    return "Host: a\r\nX-Call-Id: " + id + "\r\nX-Call-Class: docs\r\nX-Budget: 3.000\r\n";
  }
  // Sends `text` in pieces, up to the end of the connection.
  Connection Send(const std::string& text, std::size_t piece) const {
    Connection client = ConnectTo(openai_ ? node_.openai_port() : node_.port());
    const int one = 1;
    setsockopt(client.fd(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    for (std::size_t at = 0; at < text.size() && !client.ReadableWithin(0); at += piece) {
      const std::string part = text.substr(at, piece);
      if (send(client.fd(), part.data(), part.size(), MSG_NOSIGNAL) < 0) break;
    }
    return client;
  }
  bool HasAttempt() { return upstream_.ReadableWithin(0) || host_.HasConnectionWithin(0); }
  // Waits until the replica or the client has something to read.
  bool AttemptComesWithin(const Connection& client) {
    pollfd all[] = {{client.fd(), POLLIN, 0}, {host_.fd(), POLLIN, 0}, {upstream_.fd(), POLLIN, 0}};
    poll(all, 3, kErrorDueMs);
    return HasAttempt();
  }
  // Refuses what waits at the replica.
  void Drop() {
    if (!upstream_.ReadableWithin(0)) upstream_ = host_.Accept();
    upstream_.Close();
  }

  inline static const std::string kStreamChunk = "9\r\ndata: x\n\n\r\n";

  bool openai_;
  int requests_ = 0;
  ScriptedServer host_;
  Connection upstream_;
  Node node_;
};

// Returns the number of requests that were judged wrongly.
int Play(const std::string& program, bool sound, bool openai) {
  Fronts fronts(program, openai);
  int wrong = 0;
  const std::vector<framing::Case> cases =
      sound ? framing::SoundCases(Fronts::Body()) : framing::UnreadableCases(Fronts::Body());
  for (const framing::Case& c : cases) {
    for (const std::size_t piece : {std::string::npos / 2, kSmallPiece, std::size_t{1}}) {
      if (piece == 1 && c.content.size() > 10'000) continue;  // as many writes
      const std::string fault = sound ? fronts.Serve(c, piece) : fronts.Reject(c, piece);
      if (fault.empty()) continue;
      ++wrong;
      std::fprintf(stderr, "%s, in pieces of %zu: %s\n", c.name.c_str(), piece, fault.c_str());
    }
  }
  return wrong;
}

}  // namespace
}  // namespace scripted

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  assert(argc == 4);
  const int wrong =
      scripted::Play(argv[1], std::string(argv[2]) == "sound", std::string(argv[3]) == "openai");
  std::printf("%d wrong\n", wrong);
  return wrong == 0 ? 0 : 1;
}
