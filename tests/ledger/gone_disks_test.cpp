/// Detection of the disks of a group that are permanently gone, as far as a node can know it.
#include <catch2/catch.hpp>

#include "ledger/gone_disks.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TestEnvironment;

namespace {

constexpr Duration kPatience = 60s;
const ReplicaIdentity kA{NodeId("a"), DiskId("disk-a")};
const ReplicaIdentity kB{NodeId("b"), DiskId("disk-b")};
const ReplicaIdentity kC{NodeId("c"), DiskId("disk-c")};
const ReplicaGroup kGroup{2, {kA, kB}, {kC}};

struct fixture {
  fixture() {
    for (const ReplicaIdentity& identity : {kA, kB, kC}) {
      members[identity.node].disk_id = identity.disk.str();
    }
  }
  disk_knowledge knowledge() {
    return {[this](const NodeId& node) {
              const auto member = members.find(node);
              return member == members.end() ? nullptr : &member->second;
            },
            [this](const ReplicaIdentity& identity) { return identity == obsolete; }, [] { return kPatience; },
            [this](const NodeId& node) {
              const auto known = emptied.find(node);
              return known == emptied.end() ? std::nullopt : std::optional(known->second);
            }};
  }
  void run_for(Duration time) {
    for (Duration passed{}; passed < time; passed += 500ms) {
      gone.look({kGroup});
      environment.world.run_for(500ms);
    }
  }
  std::string text() const { return text_of(gone.named_by(kGroup)); }
  wire::MemberT& b() { return members[kB.node]; }

  TestEnvironment environment;
  std::map<NodeId, wire::MemberT> members;
  ReplicaIdentity obsolete;
  std::map<NodeId, bool> emptied;
  gone_disks gone{environment, knowledge()};
};

}  // namespace

TEST_CASE("a disk is permanently gone once its node runs with another one, or a later epoch replaced it") {
  fixture fleet;
  fleet.run_for(1s);
  CHECK(fleet.text().empty());
  fleet.b().disk_id = "disk-b2";
  CHECK(fleet.text() == "b/disk-b disk_replaced");
  CHECK(fleet.gone.named_by(kGroup).front().why == "its node runs with disk-b2");
  fleet.b().disk_id = "";  // the node does not report its disk
  CHECK(fleet.text().empty());
  fleet.obsolete = kC;  // the leaving member
  CHECK(fleet.text() == "c/disk-c disk_replaced");
}

TEST_CASE("a disk is permanently gone once its node has been dead for longer than the policy's time") {
  fixture fleet;
  fleet.b().state = wire::MemberState::Dead;
  fleet.run_for(kPatience);
  CHECK(fleet.text().empty());
  fleet.run_for(1s);
  CHECK(fleet.text() == "b/disk-b dead_for_long");
  CHECK(fleet.gone.named_by(kGroup).front().why == "its node is dead for 61 s");
  fleet.b().state = wire::MemberState::Suspect;
  CHECK(fleet.text().empty());
  fleet.run_for(1s);
  fleet.b().state = wire::MemberState::Dead;  // the time starts again
  fleet.run_for(kPatience);
  CHECK(fleet.text().empty());
}

TEST_CASE("a disk is permanently gone once its node has been unknown for longer than the policy's time") {
  fixture fleet;
  fleet.members.erase(kC.node);
  fleet.run_for(kPatience);
  CHECK(fleet.text().empty());
  fleet.run_for(1s);
  CHECK(fleet.text() == "c/disk-c unknown_for_long");
}

TEST_CASE("a disk is permanently gone once its node is drained and has left or is about to") {
  fixture fleet;
  fleet.emptied[kB.node] = true;
  fleet.b().retiring = true;
  CHECK(fleet.text() == "b/disk-b emptied");
  fleet.b().state = wire::MemberState::Dead;
  CHECK(fleet.text() == "b/disk-b emptied");
  fleet.members.erase(kB.node);
  CHECK(fleet.text() == "b/disk-b emptied");
  fleet.members[kB.node].disk_id = kB.disk.str();  // another machine of that name, which is not to be drained
  CHECK(fleet.text().empty());
}

TEST_CASE("a disk whose node died while draining is permanently gone unless its draining is known to be incomplete") {
  fixture fleet;
  fleet.b().retiring = true;
  CHECK(fleet.text().empty());
  fleet.b().state = wire::MemberState::Dead;
  fleet.run_for(2s);
  CHECK(fleet.text() == "b/disk-b dead_as_it_left");
  CHECK(fleet.gone.named_by(kGroup).front().why == "its node was being emptied, dead for 2 s");
  fleet.emptied[kB.node] = false;
  CHECK(fleet.text().empty());
  fleet.run_for(kPatience);
  CHECK(fleet.text() == "b/disk-b dead_for_long");
}

TEST_CASE("without the policy's time no disk counts as permanently gone because its node is unresponsive") {
  fixture fleet;
  fleet.gone.known().patience = nullptr;
  fleet.gone.known().is_drained = nullptr;
  fleet.gone.known().is_obsolete = nullptr;
  fleet.b().state = wire::MemberState::Dead;
  fleet.run_for(10 * kPatience);
  CHECK(fleet.text().empty());
}
