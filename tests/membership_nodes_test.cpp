// Membership of several processes of the program on loopback, without links between: what operators type,
// what a peer may send, the flight record, and that nothing is there where the settings do not ask for it.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

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

struct Said {
  int code = 0;
  std::string text;
};
Said Ask(const std::string& words) {
  std::FILE* pipe = popen((Program() + " " + words + " 2>&1").c_str(), "r");
  Said said;
  char piece[4096];
  for (std::size_t n = 0; (n = std::fread(piece, 1, sizeof piece, pipe)) > 0;) said.text.append(piece, n);
  said.code = WEXITSTATUS(pclose(pipe));
  return said;
}

class Tier {
 public:
  explicit Tier(std::size_t n, const std::string& more = "") : more_(more) {
    std::string name = std::filesystem::temp_directory_path().string() + "/ryeglade-tier-test-XXXXXX";
    root_ = mkdtemp(name.data());
    const unsigned pid = static_cast<unsigned>(getpid());
    for (std::size_t i = 0; i < n; ++i) {
      const std::string ip = "127." + std::to_string(30 + pid % 200) + "." + std::to_string(pid / 200 % 250) +
                             "." + std::to_string(i + 1);
      listen_.push_back(cluster::FreeAddress(ip));
      status_.push_back(cluster::FreeAddress(ip));
    }
    nodes_.resize(n);
  }
  ~Tier() {
    nodes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(root_, ignored);
  }
  Tier(const Tier&) = delete;
  Tier& operator=(const Tier&) = delete;

  NodeProcess& Start(std::size_t i, bool membership = true) {
    json config =
        json::parse(ConfigJson("127.0.0.1:0", "127.0.0.1:1", "{\"generation\":1,\"instances\":[]}"));
    config["name"] = "n" + std::to_string(i);
    NodeFiles files;
    files.config = config.dump();
    if (membership) {
      files.settings = "[membership]\nlisten = \"" + listen_[i] + "\"\nstatus = \"" + status_[i] +
                       "\"\nseeds = [\"" + listen_[0] +
                       "\"]\nnetworks = [\"127.0.0.0/8\"]\nperiod = \"200ms\"\nshrink_after = \"2s\"\n" +
                       more_;
    }
    files.tmpdir = root_;
    nodes_[i] = std::make_unique<NodeProcess>();
    nodes_[i]->Start(Program(), files);
    return *nodes_[i];
  }
  json Nodes(std::size_t i) const {
    const Said said = Ask("nodes show --json --at " + status_[i]);
    return said.code == 0 ? json::parse(said.text, nullptr, false) : json::object();
  }
  // Waits, generously, until a node's status is as wanted.
  template <class Wanted>
  bool Until(std::size_t i, Wanted wanted) const {
    for (int tries = 0; tries < 600; ++tries) {
      const json j = Nodes(i);
      if (j.is_object() && wanted(j)) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }
  bool Settled(std::size_t i, std::size_t live) const {
    return Until(i, [&](const json& j) { return j.value("settled", false) && j.value("live", 0U) == live; });
  }
  const std::string& listen(std::size_t i) const { return listen_[i]; }
  const std::string& status(std::size_t i) const { return status_[i]; }
  NodeProcess& node(std::size_t i) { return *nodes_[i]; }

 private:
  std::string root_, more_;
  std::vector<std::string> listen_, status_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
};

std::string Standing(const json& nodes, const std::string& name) {
  for (const json& m : nodes.value("members", json::array())) {
    if (m.value("name", "") == name) return m.value("standing", "");
  }
  return "unknown";
}

// The sockets that a process holds, by their inode.
std::set<std::string> SocketsOf(pid_t pid) {
  std::set<std::string> all;
  const std::string dir = "/proc/" + std::to_string(pid) + "/fd";
  for (const auto& e : std::filesystem::directory_iterator(dir)) {
    std::error_code ignored;
    const std::string to = std::filesystem::read_symlink(e.path(), ignored).string();
    if (to.starts_with("socket:[")) all.insert(to.substr(8, to.size() - 9));
  }
  return all;
}
std::size_t DatagramSockets(pid_t pid) {
  const std::set<std::string> own = SocketsOf(pid);
  std::ifstream in("/proc/net/udp");
  std::size_t n = 0;
  for (std::string line; std::getline(in, line);) {
    std::istringstream words(line);
    std::string word;
    for (int i = 0; i < 10; ++i) words >> word;
    n += own.contains(word) ? 1 : 0;
  }
  return n;
}

TEST(Nodes, OperatorsSeeWhoIsThereWhoDiedAndWhoSaidSo) {
  Tier tier(4);
  for (std::size_t i = 0; i < 4; ++i) tier.Start(i);
  for (std::size_t i = 0; i < 4; ++i) ASSERT_TRUE(tier.Settled(i, 4)) << tier.Nodes(i).dump();
  EXPECT_EQ(Ask("nodes check --at " + tier.status(1)).code, 0);
  EXPECT_EQ(tier.Nodes(1).value("nodes_told", 0), 4);
  const Said show = Ask("nodes show --at " + tier.status(1));
  EXPECT_NE(show.text.find("view"), std::string::npos);
  EXPECT_NE(show.text.find("n3"), std::string::npos);
  tier.node(3).Signal(SIGKILL);
  ASSERT_TRUE(tier.Until(1, [](const json& j) { return Standing(j, "n3") == "dead"; }));
  const Said explain = Ask("nodes explain n3 --at " + tier.status(1));
  EXPECT_EQ(explain.code, 0);
  EXPECT_NE(explain.text.find("member-suspect"), std::string::npos) << explain.text;
  EXPECT_NE(explain.text.find("member-dead"), std::string::npos) << explain.text;
  EXPECT_EQ(Ask("nodes explain nobody --at " + tier.status(1)).code, 1);
  // Fewer nodes are told only after the settled view has held.
  EXPECT_TRUE(tier.Until(1, [](const json& j) { return j.value("nodes_told", 0) == 3; }));
  // One that leaves in order is left, not dead.
  EXPECT_EQ(tier.node(2).Stop(), 0);
  EXPECT_TRUE(tier.Until(1, [](const json& j) { return Standing(j, "n2") == "left"; }))
      << tier.Nodes(1).dump();
  EXPECT_EQ(tier.node(1).Log().find("event=member-dead member=n2"), std::string::npos);
}

TEST(Nodes, ASeedThatComesLateIsFound) {
  Tier tier(3);
  tier.Start(1);
  tier.Start(2);
  ASSERT_TRUE(tier.Until(1, [](const json& j) { return !j.value("joined", true); }));
  EXPECT_EQ(Ask("nodes check --at " + tier.status(1)).code, 1);
  tier.Start(0);
  for (std::size_t i = 0; i < 3; ++i) EXPECT_TRUE(tier.Settled(i, 3));
}

TEST(Nodes, APeerCanSendWhatItLikes) {
  Tier tier(2);
  tier.Start(0);
  tier.Start(1);
  ASSERT_TRUE(tier.Settled(0, 2));
  // A list of 100,000 made-up names, then one that is as long as may be, then noise and half a message.
  membership::Message m;
  m.cluster = "ryeglade";
  m.sender.name = "liar";
  m.sender.address = tier.listen(1);
  m.kind = membership::MessageKind::kPushPull;
  for (int i = 0; i < 100'000; ++i) {
    membership::Update update;
    update.record.name = "made-up-" + std::to_string(i);
    update.record.address = "127.0.0.1:" + std::to_string(1 + i % 60'000);
    update.record.incarnation = static_cast<std::uint64_t>(i);
    m.updates.push_back(update);
  }
  const auto framed = [](const std::string& message) {
    std::string out;
    for (int i = 0; i < 4; ++i) out += static_cast<char>(message.size() >> (8 * i) & 0xff);
    return out + message;
  };
  const auto send = [&](const std::string& bytes) {
    sockaddr_storage to{};
    ASSERT_TRUE(ParseAddress(tier.listen(0), &to));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(sockaddr_in)), 0);
    for (std::size_t at = 0; at < bytes.size();) {
      const ssize_t n = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0) break;  // it was hung up on
      at += static_cast<std::size_t>(n);
    }
    shutdown(fd, SHUT_WR);
    char piece[4096];
    while (recv(fd, piece, sizeof piece, 0) > 0) {
    }
    close(fd);
  };
  send(framed(membership::Encode(m)));
  m.updates.resize(12'000);
  send(framed(membership::Encode(m)));
  send(std::string(3000, '\xff'));
  send(framed(membership::Encode(m)).substr(0, 500));
  send("");
  const json j = tier.Nodes(0);
  EXPECT_LE(j.value("members", json::array()).size(), 1024U);
  EXPECT_EQ(j.value("live", 0), 2);
  EXPECT_EQ(Standing(j, "n1"), "alive");
  EXPECT_TRUE(tier.node(0).Running());
  // What never answers is given up: the table empties.
  EXPECT_TRUE(tier.Until(0, [](const json& k) { return k.value("members", json::array()).size() == 1; }))
      << tier.Nodes(0).value("members", json::array()).size();
  EXPECT_EQ(tier.Nodes(0).value("nodes_told", 0), 2);
}

TEST(Nodes, TwoOfOneNameAreNotBothTaken) {
  Tier tier(4);
  for (std::size_t i = 0; i < 3; ++i) tier.Start(i);
  for (std::size_t i = 0; i < 3; ++i) ASSERT_TRUE(tier.Settled(i, 3));
  // The fourth is started as another n1, with a directory of its own.
  json config = json::parse(ConfigJson("127.0.0.1:0", "127.0.0.1:1", "{\"generation\":1,\"instances\":[]}"));
  config["name"] = "n1";
  NodeFiles files;
  files.config = config.dump();
  files.settings = "[membership]\nlisten = \"" + tier.listen(3) + "\"\nstatus = \"" + tier.status(3) +
                   "\"\nseeds = [\"" + tier.listen(0) +
                   "\"]\nnetworks = [\"127.0.0.0/8\"]\nperiod = \"200ms\"\n";
  std::string dir = std::filesystem::temp_directory_path().string() + "/ryeglade-twin-XXXXXX";
  files.tmpdir = mkdtemp(dir.data());
  NodeProcess twin;
  twin.Start(Program(), files);
  EXPECT_TRUE(tier.Until(3, [](const json& j) { return j.value("refused", false); })) << tier.Nodes(3).dump();
  EXPECT_NE(twin.Log().find("event=name-taken"), std::string::npos);
  EXPECT_EQ(Ask("nodes check --at " + tier.status(3)).code, 1);
  EXPECT_EQ(Standing(tier.Nodes(0), "n1"), "alive");
  EXPECT_EQ(tier.node(0).Log().find("event=member-dead"), std::string::npos);
  EXPECT_EQ(twin.Stop(), 0);
  std::filesystem::remove_all(dir);
}

TEST(Nodes, TheRecordTellsTheTierBesideTheRoutingAndReplays) {
  Tier tier(3, "\n[timeline]\ndirectory = \"@DIR@\"\nblock_within = \"100ms\"\n");
  for (std::size_t i = 0; i < 3; ++i) tier.Start(i);
  ASSERT_TRUE(tier.Settled(0, 3));
  tier.node(2).Signal(SIGKILL);
  ASSERT_TRUE(tier.Until(
      0, [](const json& j) { return Standing(j, "n2") == "dead" && j.value("nodes_told", 0) == 2; }));
  const std::string where = tier.node(0).directory();
  tier.node(0).Signal(SIGTERM);
  while (tier.node(0).Running()) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  const Said show = Ask("timeline show " + where);
  EXPECT_NE(show.text.find("member-dead n2"), std::string::npos) << show.text;
  const Said records = Ask("timeline show --records " + where);
  EXPECT_NE(records.text.find("tier of 3 nodes"), std::string::npos);
  EXPECT_NE(records.text.find("tier of 2 nodes"), std::string::npos);
  const Said verify = Ask("timeline verify " + where);
  EXPECT_EQ(verify.code, 0) << verify.text;
}

TEST(Nodes, WithoutTheTableThereIsNoSocketOfIt) {
  Tier tier(2);
  tier.Start(0, false);
  tier.Start(1, true);
  ASSERT_TRUE(tier.Until(1, [](const json& j) { return j.contains("live"); }));
  while (tier.node(0).Log().find("event=listening ") == std::string::npos)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_EQ(DatagramSockets(tier.node(0).pid()), 0U);
  EXPECT_EQ(DatagramSockets(tier.node(1).pid()), 1U);  // the count can tell
  EXPECT_EQ(SocketsOf(tier.node(0).pid()).size() + 3, SocketsOf(tier.node(1).pid()).size());
  EXPECT_EQ(tier.node(0).Log().find("membership"), std::string::npos);
}

}  // namespace
}  // namespace ryeglade::lab
