// Measures how long a node delays the events of a stream. kStreams streams run at once, and the next event is
// sent only after every client has received the previous one: a node that held an event back until the next
// event or further bytes arrive would never deliver it. `event_delay PROGRAM` runs the test and prints the
// delays.
#include <algorithm>
#include <chrono>

#include "scripted_peers.h"

namespace scripted {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kStreams = 200;
constexpr int kEvents = 10;
constexpr int kDrainBeforeEvent = 5;         // the node gets SIGTERM before this event
constexpr int kLateMs = 300;                 // an event that takes longer is late
constexpr int kEventsPerLateEvent = 20;      // at most one in this many events may be late
constexpr std::size_t kLargeBytes = 60'000;  // of the text of a large event

// One stream, with the client's and the host's end of it.
struct RunningStream {
  Connection client, host;
  Clock::time_point sent;  // when the last part of the current event was sent
};

// Returns the last bytes of an event, which differ from those of all other events.
std::string EventEnd(int event) { return " event=" + std::to_string(event) + "\n\n"; }

// Sends an event, or its first part, and sets `rest` to what is left. `form` selects how it is sent: 0
// complete, 1 complete and large, 2 split within its text, 3 split within the line end of its chunk.
void SendFirstPart(RunningStream& stream, std::size_t form, int event, std::string* rest) {
  const std::string text = "data: " + std::string(form == 1 ? kLargeBytes : 20, 'e') + EventEnd(event);
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  const std::string chunk = size + text + "\r\n";
  const std::size_t cut = form == 2 ? chunk.size() / 2 : form == 3 ? chunk.size() - 1 : chunk.size();
  stream.host.Send(chunk.substr(0, cut));
  *rest = chunk.substr(cut);
}

void MeasureDelays(const std::string& program) {
  const ScriptedServer host(static_cast<int>(kStreams));
  std::vector<nlohmann::json> replicas;  // enough that no stream is delayed by a concurrency limit
  for (std::size_t n = 0; n < kStreams / 8; ++n)
    replicas.push_back(InstanceJson("s-" + std::to_string(n), host.address()));
  Node node(program, EndpointListJson(1, true, replicas), "127.0.0.1:9");
  std::vector<RunningStream> streams(kStreams);
  for (std::size_t n = 0; n < kStreams; ++n) {
    streams[n].client = node.Connect();
    streams[n].client.Send(RequestText(std::to_string(n + 1)));
    streams[n].host = host.Accept();
    streams[n].host.ReadMessage();
    streams[n].host.Send(kStreamHead);
  }
  std::vector<double> delays_ms;
  for (int event = 0; event < kEvents; ++event) {
    if (event == kDrainBeforeEvent) {
      node.SendSigterm();
      node.WaitForLog("draining");
    }
    std::vector<std::string> rest(kStreams);
    for (std::size_t n = 0; n < kStreams; ++n) SendFirstPart(streams[n], n % 4, event, &rest[n]);
    for (std::size_t n = 0; n < kStreams; ++n) {
      if (!rest[n].empty()) streams[n].host.Send(rest[n]);
      streams[n].sent = Clock::now();
    }
    for (RunningStream& stream : streams) {
      stream.client.ReadUntil(EventEnd(event));
      delays_ms.push_back(std::chrono::duration<double, std::milli>(Clock::now() - stream.sent).count());
    }
  }
  for (RunningStream& stream : streams) {
    stream.host.EndStream();
    stream.client.ReadUntil("0\r\n\r\n");
  }
  assert(node.WaitForExit() == 0);
  std::sort(delays_ms.begin(), delays_ms.end());
  const auto late = std::count_if(delays_ms.begin(), delays_ms.end(), [](double ms) { return ms > kLateMs; });
  std::printf("events %zu, half within %.1f ms, all within %.1f ms, late %td\n", delays_ms.size(),
              delays_ms[delays_ms.size() / 2], delays_ms.back(), late);
  assert(late * kEventsPerLateEvent <= static_cast<std::ptrdiff_t>(delays_ms.size()));
}

}  // namespace
}  // namespace scripted

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  assert(argc == 2);
  scripted::MeasureDelays(argv[1]);
}
