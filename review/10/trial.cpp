// A bad client sends a body in chunks of which one has a wrong length. It is owed an error or a close.
#include "kit.h"

namespace {

using namespace kit;

std::string ChunkedRequest(const std::string& id, const std::string& chunks) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id +
         "\r\nX-Call-Class: docs\r\nX-Budget: 2.000\r\nContent-Type: application/json\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         chunks;
}

int Run(Record* record) {
  auto* replica = new Replica("s-1", record);
  auto* discovery = new Discovery(record);
  discovery->SetList(41, {{replica->name(), replica->address()}});
  const TemporaryFolder folder;
  NodeSettings settings;
  settings.port = FreePort();
  settings.discovery = discovery->address();
  settings.known = discovery->Known();
  Node node(settings, folder.path(), "node");
  if (!node.WaitHealthy(10)) CannotRun("the node is not ready: " + node.Log());

  // The text of the message ends with figures, so that a length that is too small by 2 and more leaves a
  // rest which reads like the size of a further chunk.
  const std::string body = Body();
  const std::string with_figures = "{\"content\":\"gate 17\"} 12340";
  char size[16];
  std::snprintf(size, sizeof size, "%zx", body.size());
  std::vector<std::pair<std::string, std::string>> bad = {
      {"two bytes more than the length says", std::string(size) + "\r\n" + body + "}}0\r\n\r\n"},
      {"three bytes more, at the end of the body", "18\r\n" + with_figures + "\r\n\r\n"},
  };
  if (Calm()) {
    std::snprintf(size, sizeof size, "%zx", with_figures.size());
    bad = {{"the right length", std::string(size) + "\r\n" + with_figures + "\r\n0\r\n\r\n"}};
  }
  int wrong = 0;
  for (const auto& [what, chunks] : bad) {
    const std::string id = NewId();
    const std::size_t before = replica->attempts().size();
    const int fd = ConnectTo(settings.port);
    record->Line("sent %s: %s", id.c_str(), what.c_str());
    std::string buffer;
    Answer answer;
    if (fd >= 0 && SendAll(fd, ChunkedRequest(id, chunks))) answer = ReadAnswer(fd, &buffer, Now() + 4);
    if (fd >= 0) close(fd);
    const std::vector<Attempt> attempts = replica->attempts();
    const std::string ran = attempts.size() > before ? attempts.back().body : "";
    record->Line("answered %s status %d; run at a replica: '%s'", id.c_str(), answer.status, ran.c_str());
    if (Calm() && answer.status != 200) CannotRun("a sound request in chunks is not served");
    if (!Calm() && answer.status == 200) ++wrong;
  }
  int status = 0;
  if (node.Ended(&status)) CannotRun("the node has ended: " + node.Log());
  record->Line("%d of %zu served as though they had been sound: %s", wrong, bad.size(),
               wrong > 0 ? "broken" : "held");
  return wrong > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return kit::Main(argc, argv, Run); }
