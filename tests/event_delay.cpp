// How long a node keeps an event of a stream. A few hundred streams run at once, and no stream's next event
// is sent before every client has the last one: an event that waited for the next, or for more bytes, would
// never come. `event_delay PROGRAM` plays it and prints the delays.
#include <algorithm>
#include <chrono>

#include "scripted_peers.h"

namespace scripted {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kStreams = 200;
constexpr int kEvents = 10;
constexpr int kDrainsAt = 5;        // the node is told to end before this event
constexpr int kLateMs = 300;        // an event that takes longer is late
constexpr int kMostLateShare = 20;  // at most one in so many may be
constexpr std::size_t kLarge = 60'000;

struct Running {
  Connection client, host;
  Clock::time_point sent;
};

std::string End(int event) { return " event=" + std::to_string(event) + "\n\n"; }

// Four forms: whole, large, cut within its text, cut within its chunk's end.
void SendFirstPart(Running& r, std::size_t form, int event, std::string* rest) {
  const std::string text = "data: " + std::string(form == 1 ? kLarge : 20, 'e') + End(event);
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  const std::string chunk = size + text + "\r\n";
  const std::size_t cut = form == 2 ? chunk.size() / 2 : form == 3 ? chunk.size() - 1 : chunk.size();
  r.host.Send(chunk.substr(0, cut));
  *rest = chunk.substr(cut);
}

void OneByOne(const std::string& program) {
  const ScriptedServer host(static_cast<int>(kStreams));
  std::vector<nlohmann::json> replicas;  // enough of them that none is held back by its cap
  for (std::size_t n = 0; n < kStreams / 8; ++n)
    replicas.push_back(InstanceJson("s-" + std::to_string(n), host.address()));
  Node node(program, EndpointListJson(1, true, replicas), "127.0.0.1:9");
  std::vector<Running> streams(kStreams);
  for (std::size_t n = 0; n < kStreams; ++n) {
    streams[n].client = node.Connect();
    streams[n].client.Send(RequestText(std::to_string(n + 1)));
    streams[n].host = host.Accept();
    streams[n].host.ReadMessage();
    streams[n].host.Send(kStreamHead);
  }
  std::vector<double> delays_ms;
  for (int event = 0; event < kEvents; ++event) {
    if (event == kDrainsAt) {
      node.SendSigterm();
      node.WaitForLog("draining");
    }
    std::vector<std::string> rest(kStreams);
    for (std::size_t n = 0; n < kStreams; ++n) SendFirstPart(streams[n], n % 4, event, &rest[n]);
    for (std::size_t n = 0; n < kStreams; ++n) {
      if (!rest[n].empty()) streams[n].host.Send(rest[n]);
      streams[n].sent = Clock::now();
    }
    for (Running& r : streams) {
      r.client.ReadUntil(End(event));
      delays_ms.push_back(std::chrono::duration<double, std::milli>(Clock::now() - r.sent).count());
    }
  }
  for (Running& r : streams) {
    r.host.SendChunk("");
    r.client.ReadUntil("0\r\n\r\n");
  }
  assert(node.WaitForExit() == 0);
  std::sort(delays_ms.begin(), delays_ms.end());
  const auto late = std::count_if(delays_ms.begin(), delays_ms.end(), [](double ms) { return ms > kLateMs; });
  std::printf("events %zu, half within %.1f ms, all within %.1f ms, late %td\n", delays_ms.size(),
              delays_ms[delays_ms.size() / 2], delays_ms.back(), late);
  assert(late * kMostLateShare <= static_cast<std::ptrdiff_t>(delays_ms.size()));
}

}  // namespace
}  // namespace scripted

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  assert(argc == 2);
  scripted::OneByOne(argv[1]);
}
