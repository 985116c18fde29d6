/// A proposer's view of the members at the time when it proposes a group's next epoch.
#include <catch2/catch.hpp>

#include "object_store/proposer_view.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using madderdeck::object_store::proposer_view;
using madderdeck::object_store::view_of;
using madderdeck::tests::TestEnvironment;

namespace {

const ledger::ReplicaIdentity kSelf{NodeId("a"), DiskId("disk-a")};
const ledger::ReplicaIdentity kB{NodeId("b"), DiskId("disk-b")};
const ledger::ReplicaIdentity kC{NodeId("c"), DiskId("disk-c")};

wire::MemberT member(const std::string& id, std::uint64_t incarnation = 1) {
  wire::MemberT member;
  member.id = id;
  member.peer_address = id + ":1";
  member.disk_id = "disk-" + id;
  member.incarnation = incarnation;
  return member;
}

/// Delivers messages about other members to node "a".
class fixture {
 public:
  fixture() {
    hooks.local_revisions = [] { return membership::TableRevisions{}; };
    hooks.on_peer_revisions = [](const PeerAddress&, const membership::TableRevisions&) {};
    members =
        std::make_unique<membership::Membership>(environment, counters, member("a"), std::vector<PeerAddress>{}, hooks);
  }
  /// Delivers a message from the member itself.
  void receive_from(const wire::MemberT& sender) {
    wire::PingT ping;
    ping.sender = std::make_unique<wire::MemberT>(sender);
    members->handle(PeerAddress(sender.peer_address), ping);
  }
  /// Delivers a report about the member from another node.
  void receive_report(const wire::MemberT& about) {
    wire::MemberSyncT sync;
    sync.members.push_back(std::make_unique<wire::MemberT>(about));
    members->handle(PeerAddress("z:1"), sync);
  }
  proposer_view view(const ledger::ReplicaGroup& next) { return view_of(next, *members, environment.now()); }

  TestEnvironment environment;
  Counters counters;
  membership::Hooks hooks;
  std::unique_ptr<membership::Membership> members;
};

}  // namespace

TEST_CASE("a proposer's view has the state of the node of each named disk and the age of that information") {
  fixture node;
  node.receive_from(member("b"));
  node.environment.world.run_for(80ms);
  wire::MemberT leaver = member("c");
  leaver.retiring = true;
  node.receive_from(leaver);
  node.environment.world.run_for(40ms);
  const proposer_view view = node.view({3, {kSelf, kB}, {kC}});
  CHECK(view.text() == "a/disk-a alive 0ms, b/disk-b alive 120ms, c/disk-c retiring 40ms");
  REQUIRE(view.age());
  CHECK(*view.age() == 120ms);
}

TEST_CASE("a proposer's view distinguishes information from other nodes from a member's own messages") {
  fixture node;
  node.receive_report(member("b"));
  node.environment.world.run_for(70ms);
  CHECK(node.view({3, {kB}, {}}).text() == "b/disk-b alive 70ms by others");
  node.receive_from(member("b"));
  node.environment.world.run_for(30ms);
  CHECK(node.view({3, {kB}, {}}).text() == "b/disk-b alive 30ms");
  wire::MemberT dead = member("b");
  dead.state = wire::MemberState::Dead;
  dead.retiring = true;
  node.receive_report(dead);
  CHECK(node.view({3, {kB}, {}}).text() == "b/disk-b dead retiring 0ms by others");
  // A message of the member does not change its state before it refutes that state, but the age shows that it is alive.
  node.environment.world.run_for(90ms);
  node.receive_from(member("b"));
  CHECK(node.view({3, {kB}, {}}).text() == "b/disk-b dead retiring 0ms");
}

TEST_CASE("a proposer's view names the disk that a node has instead of the named one") {
  fixture node;
  wire::MemberT other = member("b");
  other.disk_id = "disk-b2";
  node.receive_from(other);
  CHECK(node.view({3, {kB}, {}}).text() == "b/disk-b alive with disk-b2 0ms");
}

TEST_CASE("a proposer's view with an unknown node has no age") {
  fixture node;
  node.receive_from(member("b"));
  const proposer_view view = node.view({3, {kB, kC}, {}});
  CHECK(view.text() == "b/disk-b alive 0ms, c/disk-c unknown");
  CHECK_FALSE(view.age());
}
