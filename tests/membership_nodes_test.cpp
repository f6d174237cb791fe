// Membership among several processes of the program on loopback, without emulated links: the operators'
// commands, hostile input from a peer, the flight record, and no trace of the membership if the settings do
// not enable it.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "lab/cluster/relay.h"
#include "lab/node_process.h"
#include "membership/message_codec.h"

namespace ryeglade::lab {
namespace {

using nlohmann::json;

std::string Program() { return std::getenv("RYEGLADE_PROGRAM"); }

struct CommandOutput {
  int code = 0;
  std::string text;
};
// Runs a subcommand of the program.
CommandOutput RunCommand(const std::string& arguments) {
  std::FILE* pipe = popen((Program() + " " + arguments + " 2>&1").c_str(), "r");
  CommandOutput output;
  char buffer[4096];
  for (std::size_t n = 0; (n = std::fread(buffer, 1, sizeof buffer, pipe)) > 0;)
    output.text.append(buffer, n);
  output.code = WEXITSTATUS(pclose(pipe));
  return output;
}

// Up to `n` node processes on loopback addresses, with the first as the seed of all.
class TestCluster {
 public:
  explicit TestCluster(std::size_t n, const std::string& more_settings = "") : more_settings_(more_settings) {
    std::string name = std::filesystem::temp_directory_path().string() + "/ryeglade-tier-test-XXXXXX";
    root_ = mkdtemp(name.data());
    const unsigned pid = static_cast<unsigned>(getpid());
    for (std::size_t i = 0; i < n; ++i) {
      const std::string ip = "127." + std::to_string(30 + pid % 200) + "." + std::to_string(pid / 200 % 250) +
                             "." + std::to_string(i + 1);
      listen_addresses_.push_back(cluster::FreeAddress(ip));
      status_addresses_.push_back(cluster::FreeAddress(ip));
    }
    nodes_.resize(n);
  }
  ~TestCluster() {
    nodes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(root_, ignored);
  }
  TestCluster(const TestCluster&) = delete;
  TestCluster& operator=(const TestCluster&) = delete;

  // Starts node `i`; without the table [membership] if `membership` is false.
  NodeProcess& Start(std::size_t i, bool membership = true) {
    json config =
        json::parse(ConfigJson("127.0.0.1:0", "127.0.0.1:1", "{\"generation\":1,\"instances\":[]}"));
    config["name"] = "n" + std::to_string(i);
    NodeFiles files;
    files.config = config.dump();
    if (membership) {
      files.settings = "[membership]\nlisten = \"" + listen_addresses_[i] + "\"\nstatus = \"" +
                       status_addresses_[i] + "\"\nseeds = [\"" + listen_addresses_[0] +
                       "\"]\nnetworks = [\"127.0.0.0/8\"]\nperiod = \"200ms\"\nshrink_after = \"2s\"\n" +
                       more_settings_;
    }
    files.tmpdir = root_;
    nodes_[i] = std::make_unique<NodeProcess>();
    nodes_[i]->Start(Program(), files);
    return *nodes_[i];
  }
  // Returns what `ryeglade nodes show --json` prints for a node, or an empty object if it fails.
  json Status(std::size_t i) const {
    const CommandOutput output = RunCommand("nodes show --json --at " + status_addresses_[i]);
    return output.code == 0 ? json::parse(output.text, nullptr, false) : json::object();
  }
  // Waits until a node's status fulfils the condition. Returns false if it does not within at least 30 s.
  template <class Condition>
  bool WaitUntil(std::size_t i, Condition is_wanted) const {
    for (int tries = 0; tries < 600; ++tries) {
      const json status = Status(i);
      if (status.is_object() && is_wanted(status)) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }
  bool WaitUntilStable(std::size_t i, std::size_t live) const {
    return WaitUntil(i, [&](const json& status) {
      return status.value("settled", false) && status.value("live", 0U) == live;
    });
  }
  const std::string& listen_address(std::size_t i) const { return listen_addresses_[i]; }
  const std::string& status_address(std::size_t i) const { return status_addresses_[i]; }
  NodeProcess& node(std::size_t i) { return *nodes_[i]; }

 private:
  std::string root_, more_settings_;
  std::vector<std::string> listen_addresses_, status_addresses_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
};

std::string StateOf(const json& status, const std::string& name) {
  for (const json& member : status.value("members", json::array())) {
    if (member.value("name", "") == name) return member.value("standing", "");
  }
  return "unknown";
}

// The inodes of the sockets that a process has open.
std::set<std::string> SocketsOf(pid_t pid) {
  std::set<std::string> all;
  const std::string dir = "/proc/" + std::to_string(pid) + "/fd";
  for (const auto& entry : std::filesystem::directory_iterator(dir)) {
    std::error_code ignored;
    const std::string to = std::filesystem::read_symlink(entry.path(), ignored).string();
    if (to.starts_with("socket:[")) all.insert(to.substr(8, to.size() - 9));
  }
  return all;
}
// The number of UDP sockets that a process has open.
constexpr const char* kTcpListening = "0A";  // the state of a listening socket in /proc/net/tcp
// Counts the sockets of the process in a table such as /proc/net/udp. Counts only those in `state` unless it
// is empty.
std::size_t CountInTable(pid_t pid, const std::string& table, const std::string& state) {
  const std::set<std::string> own = SocketsOf(pid);
  std::ifstream in(table);
  std::size_t count = 0;
  for (std::string line; std::getline(in, line);) {
    std::istringstream fields(line);
    std::array<std::string, 10> columns;  // the fourth is the state, the tenth the socket's inode
    for (std::string& column : columns) fields >> column;
    if (own.contains(columns[9]) && (state.empty() || columns[3] == state)) ++count;
  }
  return count;
}
std::size_t DatagramSockets(pid_t pid) { return CountInTable(pid, "/proc/net/udp", ""); }
std::size_t TcpListeners(pid_t pid) { return CountInTable(pid, "/proc/net/tcp", kTcpListening); }

TEST(Nodes, CommandsShowMembersDeathsAndTheirReporters) {
  TestCluster cluster(4);
  for (std::size_t i = 0; i < 4; ++i) cluster.Start(i);
  for (std::size_t i = 0; i < 4; ++i) ASSERT_TRUE(cluster.WaitUntilStable(i, 4)) << cluster.Status(i).dump();
  EXPECT_EQ(RunCommand("nodes check --at " + cluster.status_address(1)).code, 0);
  EXPECT_EQ(cluster.Status(1).value("nodes_told", 0), 4);
  const CommandOutput show = RunCommand("nodes show --at " + cluster.status_address(1));
  EXPECT_NE(show.text.find("view"), std::string::npos);
  EXPECT_NE(show.text.find("n3"), std::string::npos);
  cluster.node(3).Signal(SIGKILL);
  ASSERT_TRUE(cluster.WaitUntil(1, [](const json& status) { return StateOf(status, "n3") == "dead"; }));
  const CommandOutput explain = RunCommand("nodes explain n3 --at " + cluster.status_address(1));
  EXPECT_EQ(explain.code, 0);
  EXPECT_NE(explain.text.find("member-suspect"), std::string::npos) << explain.text;
  EXPECT_NE(explain.text.find("member-dead"), std::string::npos) << explain.text;
  EXPECT_EQ(RunCommand("nodes explain nobody --at " + cluster.status_address(1)).code, 1);
  // The lower node count is announced only after the view has been stable for a while.
  EXPECT_TRUE(cluster.WaitUntil(1, [](const json& status) { return status.value("nodes_told", 0) == 3; }));
  // A node that is stopped in order has left; it is not dead.
  EXPECT_EQ(cluster.node(2).Stop(), 0);
  EXPECT_TRUE(cluster.WaitUntil(1, [](const json& status) { return StateOf(status, "n2") == "left"; }))
      << cluster.Status(1).dump();
  EXPECT_EQ(cluster.node(1).Log().find("event=member-dead member=n2"), std::string::npos);
}

TEST(Nodes, ASeedThatStartsLateIsFound) {
  TestCluster cluster(3);
  cluster.Start(1);
  cluster.Start(2);
  ASSERT_TRUE(cluster.WaitUntil(1, [](const json& status) { return !status.value("joined", true); }));
  EXPECT_EQ(RunCommand("nodes check --at " + cluster.status_address(1)).code, 1);
  cluster.Start(0);
  for (std::size_t i = 0; i < 3; ++i) EXPECT_TRUE(cluster.WaitUntilStable(i, 3));
}

TEST(Nodes, InvalidInputFromAPeerDoesNoHarm) {
  TestCluster cluster(2);
  cluster.Start(0);
  cluster.Start(1);
  ASSERT_TRUE(cluster.WaitUntilStable(0, 2));
  // A message with 100,000 invented names, then one within the size limit, then noise and an incomplete
  // message.
  membership::Message message;
  message.cluster = "ryeglade";
  message.sender.name = "liar";
  message.sender.address = cluster.listen_address(1);
  message.kind = membership::MessageKind::kPushPull;
  for (int i = 0; i < 100'000; ++i) {
    membership::Update update;
    update.record.name = "made-up-" + std::to_string(i);
    update.record.address = "127.0.0.1:" + std::to_string(1 + i % 60'000);
    update.record.incarnation = static_cast<std::uint64_t>(i);
    message.updates.push_back(update);
  }
  const auto with_length = [](const std::string& bytes) {
    std::string out;
    for (int i = 0; i < 4; ++i) out += static_cast<char>(bytes.size() >> (8 * i) & 0xff);
    return out + bytes;
  };
  const auto send = [&](const std::string& bytes) {
    sockaddr_storage to{};
    ASSERT_TRUE(ParseAddress(cluster.listen_address(0), &to));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(sockaddr_in)), 0);
    for (std::size_t at = 0; at < bytes.size();) {
      const ssize_t n = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0) break;  // the node closed the connection
      at += static_cast<std::size_t>(n);
    }
    shutdown(fd, SHUT_WR);
    char buffer[4096];
    while (recv(fd, buffer, sizeof buffer, 0) > 0) {
    }
    close(fd);
  };
  send(with_length(membership::Encode(message)));
  message.updates.resize(12'000);
  send(with_length(membership::Encode(message)));
  send(std::string(3000, '\xff'));
  send(with_length(membership::Encode(message)).substr(0, 500));
  send("");
  const json after = cluster.Status(0);
  EXPECT_LE(after.value("members", json::array()).size(), 1024U);
  EXPECT_EQ(after.value("live", 0), 2);
  EXPECT_EQ(StateOf(after, "n1"), "alive");
  EXPECT_TRUE(cluster.node(0).IsRunning());
  // Names that never answer are dropped, so that the table shrinks again.
  EXPECT_TRUE(cluster.WaitUntil(0, [](const json& status) {
    return status.value("members", json::array()).size() == 1;
  })) << cluster.Status(0).value("members", json::array()).size();
  EXPECT_EQ(cluster.Status(0).value("nodes_told", 0), 2);
}

TEST(Nodes, ASecondNodeOfTheSameNameIsRefused) {
  TestCluster cluster(4);
  for (std::size_t i = 0; i < 3; ++i) cluster.Start(i);
  for (std::size_t i = 0; i < 3; ++i) ASSERT_TRUE(cluster.WaitUntilStable(i, 3));
  // The fourth node is started under the name n1, with a directory of its own.
  json config = json::parse(ConfigJson("127.0.0.1:0", "127.0.0.1:1", "{\"generation\":1,\"instances\":[]}"));
  config["name"] = "n1";
  NodeFiles files;
  files.config = config.dump();
  files.settings = "[membership]\nlisten = \"" + cluster.listen_address(3) + "\"\nstatus = \"" +
                   cluster.status_address(3) + "\"\nseeds = [\"" + cluster.listen_address(0) +
                   "\"]\nnetworks = [\"127.0.0.0/8\"]\nperiod = \"200ms\"\n";
  std::string dir = std::filesystem::temp_directory_path().string() + "/ryeglade-twin-XXXXXX";
  files.tmpdir = mkdtemp(dir.data());
  NodeProcess second_n1;
  second_n1.Start(Program(), files);
  EXPECT_TRUE(cluster.WaitUntil(3, [](const json& status) { return status.value("refused", false); }))
      << cluster.Status(3).dump();
  EXPECT_NE(second_n1.Log().find("event=name-taken"), std::string::npos);
  EXPECT_EQ(RunCommand("nodes check --at " + cluster.status_address(3)).code, 1);
  EXPECT_EQ(StateOf(cluster.Status(0), "n1"), "alive");
  EXPECT_EQ(cluster.node(0).Log().find("event=member-dead"), std::string::npos);
  EXPECT_EQ(second_n1.Stop(), 0);
  std::filesystem::remove_all(dir);
}

TEST(Nodes, TheFlightRecordHasMembershipEventsAndVerifies) {
  TestCluster cluster(3, "\n[timeline]\ndirectory = \"@DIR@\"\nblock_within = \"100ms\"\n");
  for (std::size_t i = 0; i < 3; ++i) cluster.Start(i);
  ASSERT_TRUE(cluster.WaitUntilStable(0, 3));
  cluster.node(2).Signal(SIGKILL);
  ASSERT_TRUE(cluster.WaitUntil(0, [](const json& status) {
    return StateOf(status, "n2") == "dead" && status.value("nodes_told", 0) == 2;
  }));
  const std::string directory = cluster.node(0).directory();
  cluster.node(0).Signal(SIGTERM);
  while (cluster.node(0).IsRunning()) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  const CommandOutput show = RunCommand("timeline show " + directory);
  EXPECT_NE(show.text.find("member-dead n2"), std::string::npos) << show.text;
  const CommandOutput records = RunCommand("timeline show --records " + directory);
  EXPECT_NE(records.text.find("cluster of 3 nodes"), std::string::npos);
  EXPECT_NE(records.text.find("cluster of 2 nodes"), std::string::npos);
  const CommandOutput verify = RunCommand("timeline verify " + directory);
  EXPECT_EQ(verify.code, 0) << verify.text;
}

TEST(Nodes, WithoutTheTableThereIsNoSocketOfIt) {
  TestCluster cluster(2);
  cluster.Start(0, false);
  cluster.Start(1, true);
  ASSERT_TRUE(cluster.WaitUntil(1, [](const json& status) { return status.contains("live"); }));
  while (cluster.node(0).Log().find("event=listening ") == std::string::npos)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_EQ(DatagramSockets(cluster.node(0).pid()), 0U);
  EXPECT_EQ(DatagramSockets(cluster.node(1).pid()), 1U);  // shows that the count works
  // The socket for datagrams, the listener for push-pull exchanges and the listener of the status address.
  // Sockets of connection attempts come and go, so the listeners are counted: one for clients, and with
  // membership also one for push-pull exchanges and one for the status address.
  EXPECT_EQ(TcpListeners(cluster.node(0).pid()), 1U);
  EXPECT_EQ(TcpListeners(cluster.node(1).pid()), 3U);
  EXPECT_EQ(cluster.node(0).Log().find("membership"), std::string::npos);
}

}  // namespace
}  // namespace ryeglade::lab
