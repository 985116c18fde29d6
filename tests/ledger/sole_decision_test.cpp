/// Of a group with two members the one that the platform named decides the next epoch alone.
#include <catch2/catch.hpp>

#include "ledger/client.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TestEnvironment;

namespace {

const ReplicaIdentity kA{NodeId("a"), DiskId("disk-a")};
const ReplicaIdentity kB{NodeId("b"), DiskId("disk-b")};
constexpr std::uint32_t kNumberOfA = 0;
constexpr std::uint32_t kNumberOfB = 1;

struct pair_fixture {
  pair_fixture() {
    GroupMap map;
    map.groups.push_back({3, {kA, kB}, {}});
    client.on_group_map(map);
  }
  /// Answers every question that @p number has been asked since the last call, as an empty replica would.
  void answer_as(std::uint32_t number) {
    const std::string node = number == kNumberOfA ? "a" : "b";
    const auto sent = std::exchange(environment.sent, {});
    for (const auto& message : sent) {
      if (message.to.str() != node) {
        continue;
      }
      if (message.body.type == wire::Message::Prepare) {
        wire::PromiseT promise;
        promise.request = message.body.AsPrepare()->request;
        promise.replica = number;
        promise.epoch = 3;
        client.handle(message.to, promise);
      } else if (message.body.type == wire::Message::Accept) {
        wire::AcceptedT accepted;
        accepted.request = message.body.AsAccept()->request;
        accepted.replica = number;
        accepted.epoch = 3;
        client.handle(message.to, accepted);
      }
    }
  }
  void decide(const EpochRule& rule) {
    client.decide_next(0, {4, {kA}, {}}, rule, [this](const Result<ReplicaGroup>& result) { outcome = result; });
    for (int step = 0; step < 5; ++step) {
      answer_as(responder);
      environment.world.run_for(300ms);
    }
  }

  TestEnvironment environment;
  Counters counters;
  Client client{environment, counters, [](const NodeId& node) { return std::optional(PeerAddress(node.str())); }};
  std::uint32_t responder = kNumberOfA;
  std::optional<Result<ReplicaGroup>> outcome;
};

bool decided(const std::optional<Result<ReplicaGroup>>& outcome) { return outcome && succeeded(*outcome); }

}  // namespace

TEST_CASE("one of two members does not decide by itself") {
  pair_fixture fixture;
  fixture.decide({});
  CHECK_FALSE(decided(fixture.outcome));
}

TEST_CASE("the member that was named the sole decider does") {
  pair_fixture fixture;
  fixture.decide({1, kA});
  REQUIRE(decided(fixture.outcome));
  CHECK(value_of(*fixture.outcome).replicas == std::vector<ReplicaIdentity>{kA});
  CHECK(fixture.client.group_map().groups.at(0).epoch == 4);
}

TEST_CASE("the other member's word does not count for it, though it may be heard again") {
  pair_fixture fixture;
  fixture.responder = kNumberOfB;
  fixture.decide({1, kA});
  CHECK_FALSE(decided(fixture.outcome));
}
