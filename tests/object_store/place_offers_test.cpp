#include "object_store/place_offers.hpp"

#include <catch2/catch.hpp>

#include "support/kept_lines.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::object_store;
using madderdeck::tests::kept_lines;
using madderdeck::tests::TestEnvironment;
using wire::PlaceConsent;

namespace {

const ledger::ReplicaIdentity kDisk{NodeId("d"), DiskId("disk-d")};
const PeerAddress kAddress("d:1");
constexpr std::uint64_t kEpoch = 7;

struct proposer {
  void ask() {
    offers.ask({0, kEpoch, kDisk, false, std::nullopt}, [this](const Status& status) {
      ++answers;
      outcome = status;
    });
  }
  void answer(PlaceConsent consent, std::uint64_t epoch = kEpoch, const PeerAddress& from = kAddress) {
    wire::CopyStatusT status;
    status.place_epoch = epoch;
    status.consent = consent;
    offers.handle(from, status);
  }
  bool accepted() const { return outcome && succeeded(*outcome); }

  TestEnvironment environment;
  Counters counters;
  kept_lines log;
  std::optional<PeerAddress> address = kAddress;
  place_offers offers{environment, counters, log, [this](const NodeId&) { return address; }};
  std::optional<Status> outcome;
  unsigned answers = 0;
};

}  // namespace

TEST_CASE("a place is accepted only by the disk's own reply for that epoch") {
  proposer node;
  node.ask();
  node.answer(PlaceConsent::Given, kEpoch - 1);
  node.answer(PlaceConsent::Given, kEpoch, PeerAddress("other:1"));
  node.answer(PlaceConsent::NotAsked);
  CHECK(node.answers == 0);
  node.answer(PlaceConsent::Given);
  CHECK(node.accepted());
  node.answer(PlaceConsent::Given);
  CHECK(node.answers == 1);
  CHECK_FALSE(node.offers.is_declined(kDisk));
}

TEST_CASE("a disk that refuses a place is avoided for a while") {
  proposer node;
  node.ask();
  node.answer(PlaceConsent::Retiring);
  REQUIRE(node.answers == 1);
  CHECK(error_of(*node.outcome).kind == ErrorKind::conflict);
  CHECK(node.offers.is_declined(kDisk));
  node.environment.world.run_for(4s);
  CHECK_FALSE(node.offers.is_declined(kDisk));
  CHECK(node.counters["replica_places_declined_retiring_total"] == 1);
}

TEST_CASE("a disk that is gone does not accept a place although the proposer considers it present") {
  proposer node;
  node.ask();
  node.environment.world.run_for(2s);
  REQUIRE(node.answers == 1);
  CHECK(error_of(*node.outcome).kind == ErrorKind::unavailable);
  CHECK(node.environment.sent_of(wire::Message::CopyStatusRequest) > 1);
  CHECK(node.offers.is_declined(kDisk));
}

TEST_CASE("a node without an address does not accept a place") {
  proposer node;
  node.address.reset();
  node.ask();
  node.environment.world.run_for(2s);
  REQUIRE(node.answers == 1);
  CHECK(error_of(*node.outcome).kind == ErrorKind::unavailable);
}

TEST_CASE("an offer for an epoch that is over succeeds, as its members report the outcome") {
  proposer node;
  node.ask();
  node.answer(PlaceConsent::EpochOver);
  CHECK(node.accepted());
}

TEST_CASE("a node of an earlier version accepts a place by replying") {
  proposer node;
  node.ask();
  node.answer(PlaceConsent::NotSaid, 0);
  CHECK(node.accepted());
}
