/// Draining of a node's disk, and a node's knowledge of which other nodes are drained.
#include <catch2/catch.hpp>

#include "object_store/retirement.hpp"
#include "simulation/fleet.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using madderdeck::tests::TestEnvironment;

namespace {

/// A store whose replies to watches of retirements are given by the test.
class answered_store : public object_store::PlatformClient {
 public:
  void watch_objects(std::uint64_t, Duration, object_store::ChangesDone) override {}
  void watch_machines(std::uint64_t, Duration, object_store::ChangesDone) override {}
  void watch_retirements(std::uint64_t, Duration, object_store::ChangesDone done) override {
    waiting = std::move(done);
  }
  void get(const config::EntryKey&, object_store::GetDone) override {}
  void put(const object_store::PutRequest&, object_store::PutDone) override {}

  void answer(const Result<object_store::ChangeList>& result) { std::exchange(waiting, nullptr)(result); }
  void tell(const std::string& node, const std::string& body, bool deleted = false) {
    object_store::ChangeList changes;
    changes.entries.push_back(config::Entry{{"retirements", node}, body, ++revision, deleted});
    changes.up_to = revision;
    answer(changes);
  }

  object_store::ChangesDone waiting;
  std::uint64_t revision = 0;
};

struct fixture {
  fixture() {
    process.start();
    membership::Hooks hooks;
    hooks.local_revisions = [] { return membership::TableRevisions{}; };
    wire::MemberT self;
    self.id = "a";
    members = std::make_unique<membership::Membership>(environment, counters, self, std::vector<PeerAddress>{}, hooks);
    replica = std::make_unique<ledger::Replica>(environment, storage, counters, NodeId("a"), DiskId("disk-a"),
                                                [](const NodeId&) { return std::optional<PeerAddress>(); });
    retirement =
        std::make_unique<object_store::Retirement>(environment, counters, log, *members, *replica, ledger, store, 2);
    retirement->start();
  }

  TestEnvironment environment;
  Counters counters;
  NoDecisionLog log;
  answered_store store;
  simulation::SimProcess process{environment.world};
  simulation::SimStorage storage{environment.world, process};
  std::unique_ptr<membership::Membership> members;
  std::unique_ptr<ledger::Replica> replica;
  ledger::Client ledger{environment, counters, [](const NodeId&) { return std::optional<PeerAddress>(); }};
  std::unique_ptr<object_store::Retirement> retirement;
};

}  // namespace

// The proposer that offered the place terminated before the epoch was decided, and no other node wants that epoch.
TEST_CASE("a disk that has consented to a place determines whether an epoch names it before it counts as drained") {
  const ledger::ReplicaIdentity kOther{NodeId("b"), DiskId("disk-b")};
  fixture node;
  const ledger::GroupMap map{{{3, {kOther}, {}}}};
  node.ledger.on_group_map(map);
  node.replica->restore();
  node.replica->on_group_map(map);
  wire::CopyStatusRequestT offer;
  offer.place_epoch = 4;
  offer.offered = std::make_unique<wire::ReplicaIdT>();
  offer.offered->node = "a";
  offer.offered->disk = "disk-a";
  node.replica->handle(PeerAddress("proposer:1"), offer);
  node.environment.world.run_for(20ms);
  node.store.tell("a", "");
  node.environment.world.run_for(800ms);
  CHECK_FALSE(node.retirement->is_drained(NodeId("a")).value_or(false));
  CHECK(node.counters["retirement_places_settled_total"] == 0);
  node.environment.world.run_for(1s);
  CHECK(node.counters["retirement_places_settled_total"] > 0);
  node.ledger.learn(0, {4, {kOther}, {}});
  node.environment.world.run_for(10s);
  CHECK(node.retirement->is_drained(NodeId("a")) == std::optional(true));
}

TEST_CASE("a node with a disk knows which machines were drained as long as the store replies") {
  const NodeId other("b");
  fixture node;
  CHECK_FALSE(node.retirement->is_drained(other).has_value());
  node.store.tell("b", "{}");
  CHECK(node.retirement->is_drained(other) == std::optional(false));
  node.store.answer(Error{ErrorKind::unavailable, "away"});
  CHECK_FALSE(node.retirement->is_drained(other).has_value());
  node.environment.world.run_for(1s);
  node.store.tell("b", object_store::kCompletedRetirement);
  CHECK(node.retirement->is_drained(other) == std::optional(true));
  node.store.answer(Error{ErrorKind::unavailable, "away"});
  CHECK(node.retirement->is_drained(other) == std::optional(true));
  node.environment.world.run_for(1s);
  node.store.tell("b", "", true);
  CHECK(node.retirement->is_drained(other) == std::optional(false));
}

TEST_CASE("a node with a disk knows without the store that it is drained itself") {
  const ledger::ReplicaIdentity own{NodeId("a"), DiskId("disk-a")};
  const ledger::ReplicaIdentity other{NodeId("b"), DiskId("disk-b")};
  fixture node;
  node.replica->restore();
  node.replica->adopt_group(0, {1, {own, other}, {}});
  node.store.tell("a", "{}");
  CHECK(node.retirement->is_drained(own.node) == std::optional(false));
  node.replica->adopt_group(0, {2, {other}, {}});
  node.store.answer(Error{ErrorKind::unavailable, "away"});
  node.environment.world.run_for(1s);
  CHECK(node.retirement->is_drained(own.node) == std::optional(true));
}
