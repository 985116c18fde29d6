#include "node/peer_outbox.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::node;

namespace {

constexpr Timestamp kNow = 10s;
constexpr Timestamp kLater = 1000s;

wire::MessageUnion accept_of(std::uint64_t request, std::size_t bytes) {
  wire::AcceptT accept;
  accept.request = request;
  accept.value.assign(bytes, 1);
  wire::MessageUnion message;
  message.Set(std::move(accept));
  return message;
}

std::vector<std::uint64_t> requests_of(const std::vector<wire::MessageUnion>& frame) {
  std::vector<std::uint64_t> requests;
  for (const wire::MessageUnion& message : frame) {
    requests.push_back(message.AsAccept()->request);
  }
  return requests;
}

using requests = std::vector<std::uint64_t>;

}  // namespace

TEST_CASE("small and large messages to a peer wait in separate lanes") {
  peer_outbox outbox;
  CHECK(outbox.add(accept_of(1, 100'000), kNow, kLater) == peer_lane::bulk);
  CHECK(outbox.add(accept_of(2, 100), kNow, kLater) == peer_lane::prompt);
  CHECK(requests_of(outbox.next_frame(peer_lane::prompt, kNow)) == requests{2});
  CHECK(requests_of(outbox.next_frame(peer_lane::bulk, kNow)) == requests{1});
  CHECK(outbox.next_frame(peer_lane::bulk, kNow).empty());
}

TEST_CASE("a frame holds messages up to its limit in bytes; a longer message is sent alone") {
  outbox_limits limits;
  limits.frame_bytes = 100'000;
  peer_outbox outbox(limits);
  outbox.add(accept_of(1, 60'000), kNow, kLater);
  outbox.add(accept_of(2, 40'000), kNow, kLater);
  outbox.add(accept_of(3, 300'000), kNow, kLater);
  outbox.add(accept_of(4, 20'000), kNow, kLater);
  CHECK(requests_of(outbox.next_frame(peer_lane::bulk, kNow)) == requests{1, 2});
  CHECK(requests_of(outbox.next_frame(peer_lane::bulk, kNow)) == requests{3});
  CHECK(requests_of(outbox.next_frame(peer_lane::bulk, kNow)) == requests{4});
}

TEST_CASE("a message that has waited for longer than it is useful is dropped") {
  peer_outbox outbox;
  outbox.add(accept_of(1, 1), kNow, kNow + 1s);
  outbox.add(accept_of(2, 1), kNow, kLater);
  SECTION("the sender's limit") {
    CHECK(requests_of(outbox.next_frame(peer_lane::prompt, kNow + 2s)) == requests{2});
    CHECK(outbox.take_dropped() == 1);
    CHECK(outbox.take_dropped() == 0);
  }
  SECTION("the limit for all messages") {
    CHECK(outbox.next_frame(peer_lane::prompt, kNow + outbox_limits{}.useful_for + 1ms).empty());
    CHECK(outbox.take_dropped() == 2);
  }
}

TEST_CASE("waiting messages are limited in bytes and number, and the oldest are dropped") {
  outbox_limits limits;
  limits.waiting_bytes = 100'000;
  limits.waiting_messages = 2;
  peer_outbox outbox(limits);
  SECTION("bytes") {
    outbox.add(accept_of(1, 60'000), kNow, kLater);
    outbox.add(accept_of(2, 60'000), kNow, kLater);
    CHECK(requests_of(outbox.next_frame(peer_lane::bulk, kNow)) == requests{2});
  }
  SECTION("messages") {
    for (std::uint64_t number = 1; number <= 3; ++number) {
      outbox.add(accept_of(number, 1), kNow, kLater);
    }
    CHECK(requests_of(outbox.next_frame(peer_lane::prompt, kNow)) == requests{2, 3});
  }
  SECTION("a message that exceeds the limit is kept while it is the only one") {
    outbox.add(accept_of(1, 200'000), kNow, kLater);
    CHECK(requests_of(outbox.next_frame(peer_lane::bulk, kNow)) == requests{1});
  }
}
