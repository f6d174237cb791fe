// A planned restart while answers run at the OpenAI-style address, where clients do not ask for the rest of a
// stream. The answers would end by themselves before SIGKILL.
#include "kit.h"

namespace {

using namespace kit;

constexpr int kStreams = 8;
constexpr double kTerminateAfter = 0.3;  // from the requests to SIGTERM
constexpr double kKillAfter = 3.7;       // from SIGTERM: the longest deadline, counted as 3 s, plus 0.7 s
constexpr int kEvents = 38;
constexpr double kGap = 0.1;  // the last event comes 3.45 s after SIGTERM

std::string OpenAiRequest() {
  const std::string body =
      "{\"model\":\"bid-assist\",\"stream\":true,\"max_tokens\":400,\"messages\":[{\"role\":\"user\","
      "\"content\":"
      "\"which rule holds at the gate\"}]}";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

int Run(Record* record) {
  std::vector<Instance> instances;
  for (int n = 1; n <= 3; ++n) {
    auto* replica = new Replica("s-" + std::to_string(n), record, 0.02, kEvents, kGap);
    instances.push_back({replica->name(), replica->address()});
  }
  auto* discovery = new Discovery(record);
  discovery->SetList(41, instances);
  const TemporaryFolder folder;
  NodeSettings settings;
  settings.port = FreePort();
  settings.discovery = discovery->address();
  settings.known = discovery->Known();
  const int port = FreePort();
  const std::string file = folder.path() + "/openai.toml";
  std::ofstream(file) << "[openai]\nlisten = \"127.0.0.1:" << port
                      << "\"\n\n[[openai.model]]\nid = \"bid-assist\"\nclass = \"docs\"\n";
  Node node(settings, folder.path(), "node", " --settings " + file);
  if (!node.WaitHealthy(10)) CannotRun("the node is not ready: " + node.Log());
  Sleep(0.5);

  std::atomic<int> begun{0}, whole{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < kStreams; ++n) {
    clients.emplace_back([&, n] {
      const int fd = ConnectTo(port);
      record->Line("client %d sends its request", n);
      std::string buffer;
      Answer answer;
      if (fd >= 0 && SendAll(fd, OpenAiRequest())) answer = ReadAnswer(fd, &buffer, Now() + 10);
      const bool done = answer.body.find("data: [DONE]") != std::string::npos;
      if (answer.status == 200) ++begun;
      if (answer.status == 200 && answer.complete && done) ++whole;
      const std::size_t end = answer.body.rfind("data: ");
      record->Line("client %d: status %d, %s, last line %s", n, answer.status,
                   answer.complete && done ? "whole" : "cut off",
                   end == std::string::npos
                       ? "-"
                       : answer.body.substr(end, answer.body.find('\n', end) - end).c_str());
      if (fd >= 0) close(fd);
    });
  }
  Sleep(kTerminateAfter);
  const double terminated = Now();
  if (!Calm()) {
    node.Signal(SIGTERM);
    record->Line("SIGTERM");
  }
  int status = 0;
  if (Calm()) SleepUntil(terminated + kKillAfter + 0.5);
  while (!Calm() && Now() < terminated + kKillAfter && !node.Ended(&status)) Sleep(0.01);
  record->Line("%.2f s after SIGTERM", Now() - terminated);
  if (!Calm()) node.Kill();
  for (std::thread& client : clients) client.join();
  if (begun < kStreams) CannotRun("not all streams began");
  record->Line("%d of %d streams whole: %s", whole.load(), kStreams, whole < kStreams ? "broken" : "held");
  return whole < kStreams ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return kit::Main(argc, argv, Run); }
