#include "forwarding/event_splitter.hpp"

#include <catch2/catch.hpp>
#include <ctime>
#include <rapidcheck/catch.h>

using namespace madderdeck::forwarding;

namespace {
struct Seen {
  std::vector<std::uint64_t> numbers;
  std::vector<std::string> data;
  std::string bytes;
};

/// Feeds @p text to a splitter in pieces of @p size bytes.
Seen split(const std::string& text, std::size_t size, bool* at_boundary = nullptr) {
  EventSplitter splitter;
  Seen seen;
  for (std::size_t start = 0; start < text.size(); start += size) {
    splitter.feed(std::string_view(text).substr(start, size), [&seen](const StreamEvent& event) {
      seen.numbers.push_back(event.number);
      seen.data.push_back(event.data);
      seen.bytes.append(event.bytes);
    });
  }
  if (at_boundary != nullptr) {
    *at_boundary = splitter.at_boundary();
  }
  return seen;
}
}  // namespace

TEST_CASE("events are cut the same however the bytes arrive") {
  const std::string text = "id: 1\ndata: a\n\nx-versions: 3\nid:2\r\ndata:b\r\ndata: c\r\n\r\nid: 3\ndata: d\n\n";
  for (std::size_t size = 1; size <= text.size(); ++size) {
    bool at_boundary = false;
    const Seen seen = split(text, size, &at_boundary);
    CHECK(seen.numbers == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(seen.data == std::vector<std::string>{"a", "b\nc", "d"});
    CHECK(seen.bytes == text);
    CHECK(at_boundary);
  }
}

TEST_CASE("a stream that stops within an event is not at a boundary") {
  bool at_boundary = true;
  const Seen seen = split("id: 1\ndata: a\n\nid: 2\ndata: b\n", 4, &at_boundary);
  CHECK(seen.numbers.size() == 1);
  CHECK_FALSE(at_boundary);
}

TEST_CASE("empty lines after an event belong to none") {
  for (const std::string lines : {"\n", "\r\n", "\n\r"}) {
    bool at_boundary = false;
    split("id: 1\ndata: a\n\n" + lines, 3, &at_boundary);
    CHECK(at_boundary);
  }
}

TEST_CASE("whole events are passed on bit by bit, whatever they hold") {
  rc::prop("splitter is lossless", [](const std::vector<std::uint8_t>& lengths) {
    std::string text;
    std::uint64_t number = 0;
    for (const std::uint8_t length : lengths) {
      text += "id: " + std::to_string(++number) + "\ndata: " + std::string(length, 'q') + "\n\n";
    }
    const auto size = *rc::gen::inRange<std::size_t>(1, 64);
    RC_ASSERT(split(text, size).bytes == text);
  });
}

// Guards against an event that is searched from its start with every piece: a megabyte byte by byte took minutes.
TEST_CASE("a long event costs time in proportion to its bytes, however they arrive") {
  constexpr std::size_t kBytes = 1024 * 1024;
  EventSplitter splitter;
  std::size_t events = 0;
  const auto count = [&events, kBytes](const StreamEvent& event) {
    ++events;
    CHECK(event.data.size() == kBytes);
  };
  const std::clock_t began = std::clock();
  splitter.feed("data:", count);
  for (std::size_t byte = 0; byte < kBytes; ++byte) {
    splitter.feed("a", count);
  }
  splitter.feed("\n", count);
  splitter.feed("\n", count);
  CHECK(events == 1);
  CHECK((std::clock() - began) / CLOCKS_PER_SEC < 10);
}
