// Server-sent events: however the bytes are cut and whatever ends the lines, the events are the same.
#include "http/event_stream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace ryeglade {
namespace {

struct Seen {
  std::string data, type, id;
  bool has_data;
  bool operator==(const Seen&) const = default;
};

struct Taken {
  std::vector<Seen> events;
  std::string raw;
  bool good = true;
};

Taken Feed(const std::vector<std::string>& pieces, std::size_t most = 1 << 20) {
  EventStream stream(most);
  Taken taken;
  for (const std::string& piece : pieces) {
    taken.good = taken.good && stream.Feed(piece, [&](const EventStream::Event& e) {
      taken.raw += e.raw;
      if (e.has_data)
        taken.events.push_back({std::string(e.data), std::string(e.type), std::string(e.id), true});
      return true;
    });
  }
  taken.raw += stream.unfinished();
  return taken;
}

std::string With(std::string text, const std::string& end) {
  std::string out;
  for (const char c : text) out += c == '\n' ? end : std::string(1, c);
  return out;
}

const std::string kText =
    ": a comment\n\nevent: error\nid: 7\ndata: one\n\ndata: two\ndata:three\ndata\n\nretry: 5\n\ndata:  "
    "spaced\n\n";
const std::vector<Seen> kEvents = {
    {"one", "error", "7", true}, {"two\nthree\n", "", "", true}, {" spaced", "", "", true}};

TEST(EventStream, EveryCutGivesTheSame) {
  for (const std::string end : {"\n", "\r\n", "\r"}) {
    for (const std::string mark : {"", "\xEF\xBB\xBF"}) {
      const std::string text = mark + With(kText, end);
      for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        const Taken taken = Feed({text.substr(0, cut), text.substr(cut)});
        EXPECT_EQ(taken.events, kEvents) << cut;
        EXPECT_EQ(taken.raw, text) << cut;
      }
    }
  }
}

TEST(EventStream, ByteByByte) {
  std::vector<std::string> bytes;
  for (const char c : With(kText, "\r\n")) bytes.emplace_back(1, c);
  EXPECT_EQ(Feed(bytes).events, kEvents);
}

TEST(EventStream, ABlockOverTheBoundStops) {
  EXPECT_TRUE(Feed({"data: " + std::string(90, 'x')}, 100).good);
  EXPECT_FALSE(Feed({"data: " + std::string(90, 'x'), "yyyyyyyy"}, 100).good);
}

RC_GTEST_PROP(EventStreamProperty, CutsAndLineEndsDoNotMatter, ()) {
  const auto lines = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::elementOf(std::string("data:ievnt x7\xC3\xA9"))));
  const std::string text = [&] {
    std::string all;
    for (const std::string& line : lines) all += line + "\n";
    return all + "\n\n";
  }();
  const Taken wanted = Feed({text});
  for (const std::string end : {"\n", "\r\n", "\r"}) {
    std::string rest = With(text, end);
    const std::string whole = rest;
    std::vector<std::string> pieces;
    while (!rest.empty()) {
      const auto n = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      pieces.push_back(rest.substr(0, n));
      rest.erase(0, n);
    }
    const Taken taken = Feed(pieces);
    RC_ASSERT(taken.events == wanted.events);
    RC_ASSERT(taken.raw == whole);
  }
}

}  // namespace
}  // namespace ryeglade
