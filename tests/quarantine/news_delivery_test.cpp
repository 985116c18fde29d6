// Tests how often updates are sent until they are acknowledged, to which peers, and when they are abandoned.
#include "quarantine/news_delivery.hpp"

#include <catch2/catch.hpp>

#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::quarantine;
using madderdeck::routing::request_fingerprint;

namespace {

/// Peers that send no acknowledgements unless the test does so for them.
struct delivery_fixture {
  std::vector<PeerAddress> peers{PeerAddress("one"), PeerAddress("two")};
  tests::TestEnvironment environment;
  Counters counters;
  NoDecisionLog log;
  news_delivery delivery{environment, counters, log, [this] { return peers; },
                         [](const std::vector<request_fingerprint>& requests) {
                           wire::SuspicionNewsT news;
                           for (const request_fingerprint& request : requests) {
                             news.requests.push_back(std::make_unique<wire::SuspectedRequestT>());
                             news.requests.back()->high = request.high();
                           }
                           return news;
                         }};

  std::vector<std::uint64_t> numbers_to(const std::string& peer) const {
    std::vector<std::uint64_t> numbers;
    for (const auto& sent : environment.sent) {
      if (sent.to == PeerAddress(peer)) {
        numbers.push_back(sent.body.AsSuspicionNews()->number);
      }
    }
    return numbers;
  }
};

constexpr request_fingerprint kRequest{1, 2};

}  // namespace

TEST_CASE("an update is repeated to each peer until that peer has acknowledged it") {
  delivery_fixture fixture;
  fixture.delivery.send_to_all({kRequest});
  REQUIRE(fixture.numbers_to("one").size() == 1);
  fixture.delivery.on_acknowledged(PeerAddress("one"), fixture.numbers_to("one")[0]);
  fixture.environment.world.run_for(100ms);
  CHECK(fixture.numbers_to("one").size() == 1);
  CHECK(fixture.numbers_to("two").size() >= 5);
  fixture.delivery.on_acknowledged(PeerAddress("two"), fixture.numbers_to("two")[0]);
  const std::size_t sent = fixture.environment.sent.size();
  fixture.environment.world.run_for(5s);
  CHECK(fixture.environment.sent.size() == sent);
}

TEST_CASE("a peer that never acknowledges is sent a bounded number of messages, fewer for the next update") {
  delivery_fixture fixture;
  fixture.delivery.send_to_all({kRequest});
  fixture.delivery.on_acknowledged(PeerAddress("one"), fixture.numbers_to("one")[0]);
  fixture.environment.world.run_for(10s);
  CHECK(fixture.numbers_to("two").size() == news_delivery::kMaxAttempts);
  CHECK(fixture.counters["quarantine_news_unanswered_total"] == 1);
  fixture.delivery.send_to_all({kRequest});
  fixture.delivery.on_acknowledged(PeerAddress("one"), fixture.numbers_to("one").back());
  fixture.environment.world.run_for(10s);
  CHECK(fixture.numbers_to("two").size() == news_delivery::kMaxAttempts + news_delivery::kMaxAttemptsToUnresponsive);
  SECTION("until it acknowledges any message") {
    fixture.delivery.on_acknowledged(PeerAddress("two"), 0);
    fixture.delivery.send_to_all({kRequest});
    fixture.environment.world.run_for(10s);
    CHECK(fixture.numbers_to("two").size() ==
          2 * news_delivery::kMaxAttempts + news_delivery::kMaxAttemptsToUnresponsive);
  }
}

TEST_CASE("a node that knows no peers yet sends the update to those it finds later") {
  delivery_fixture fixture;
  fixture.peers.clear();
  fixture.delivery.send_to_all({kRequest});
  fixture.environment.world.run_for(300ms);
  CHECK(fixture.environment.sent.empty());
  fixture.peers = {PeerAddress("one")};
  fixture.environment.world.run_for(300ms);
  CHECK_FALSE(fixture.numbers_to("one").empty());
}

TEST_CASE("updates about many requests are split into datagrams, and unacknowledged messages are bounded") {
  delivery_fixture fixture;
  std::vector<request_fingerprint> many;
  for (std::uint64_t request = 0; request < news_delivery::kMaxRequestsPerDatagram * 2 + 1; ++request) {
    many.push_back({request, 0});
  }
  fixture.delivery.send_to_all(many);
  CHECK(fixture.numbers_to("one").size() == 3);
  for (std::size_t more = 0; more < 2 * news_delivery::kMaxOpenMessages; ++more) {
    fixture.delivery.send_to_all({kRequest});
  }
  CHECK(fixture.counters["quarantine_news_over_limit_total"] > 0);
  const std::size_t before = fixture.environment.sent.size();
  fixture.environment.world.run_for(10s);
  const std::size_t most = news_delivery::kMaxOpenMessages * 2 * (news_delivery::kMaxAttempts - 1);
  CHECK(fixture.environment.sent.size() - before <= most);
}
