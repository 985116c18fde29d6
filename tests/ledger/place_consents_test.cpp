/// A disk becomes a member of a replica group only with its own consent, which is stored durably.
#include "ledger/place_consents.hpp"

#include <catch2/catch.hpp>

#include "ledger/replica.hpp"
#include "simulation/fleet.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TestEnvironment;
using wire::PlaceConsent;

namespace {

constexpr std::size_t kLeastCopies = least_copies(3);
const PeerAddress kProposer("10.0.0.9:1");
const ReplicaIdentity kA{NodeId("a"), DiskId("disk-a")};
const ReplicaIdentity kB{NodeId("b"), DiskId("disk-b")};
const ReplicaIdentity kC{NodeId("c"), DiskId("disk-c")};
const ReplicaIdentity kNewC{NodeId("c"), DiskId("disk-c2")};
constexpr std::uint64_t kDecided = 4;

/// The disk of node c, which is no member of the group.
struct spare_disk {
  spare_disk() {
    process.start();
    start();
  }
  void start() {
    start_unread();
    replica->restore();
  }
  void start_unread() {
    replica = std::make_unique<Replica>(environment, storage, counters, kC.node, kC.disk,
                                        [](const NodeId& node) { return std::optional(PeerAddress(node.str())); });
  }
  void learn_epoch(std::uint64_t epoch) { replica->on_group_map({{{epoch, {kA, kB}, {}}}}); }
  PlaceConsent offer(std::uint64_t epoch, bool although_retiring = false, const ReplicaIdentity& disk = kC) {
    wire::CopyStatusRequestT request;
    request.epoch = epoch;
    request.place_epoch = epoch;
    request.offered = std::make_unique<wire::ReplicaIdT>();
    request.offered->node = disk.node.str();
    request.offered->disk = disk.disk.str();
    request.although_retiring = although_retiring;
    environment.sent.clear();
    replica->handle(kProposer, request);
    environment.world.run_for(20ms);
    REQUIRE(environment.sent_of(wire::Message::CopyStatus) == 1);
    return environment.sent.back().body.AsCopyStatus()->consent;
  }
  bool may_go() const { return replica->left_all_groups(kLeastCopies); }
  bool note_emptied() {
    bool noted = false;
    replica->note_emptied([&noted](const Status& status) { noted = succeeded(status); });
    environment.world.run_for(20ms);
    return noted;
  }

  TestEnvironment environment;
  Counters counters;
  simulation::SimProcess process{environment.world};
  simulation::SimStorage storage{environment.world, process};
  std::unique_ptr<Replica> replica;
};

}  // namespace

// Guards against a maintainer with an outdated view that names a draining disk again: the disk is removed, and the loss
// of another one leaves one member of three.
TEST_CASE("a draining disk takes no place, except where a group has no other disk") {
  spare_disk disk;
  disk.learn_epoch(kDecided);
  disk.replica->begin_draining();
  CHECK(disk.offer(kDecided + 1) == PlaceConsent::Retiring);
  CHECK(disk.may_go());
  CHECK(disk.offer(kDecided + 1, true) == PlaceConsent::Given);
}

// Others may still decide the epoch with the messages that its proposer sent before it became unreachable.
TEST_CASE("a disk that has consented to a place is not drained before it knows whether that epoch names it") {
  spare_disk disk;
  disk.learn_epoch(kDecided);
  CHECK(disk.offer(kDecided + 1) == PlaceConsent::Given);
  disk.replica->begin_draining();
  CHECK_FALSE(disk.may_go());
  CHECK(disk.replica->open_places() == std::vector<open_place>{{0, kDecided + 1}});
  SECTION("it does not") {
    disk.learn_epoch(kDecided + 1);
    CHECK(disk.may_go());
  }
  SECTION("it does") {
    disk.replica->on_group_map({{{kDecided + 1, {kA, kB, kC}, {}}}});
    CHECK(disk.replica->open_places().empty());
    CHECK_FALSE(disk.may_go());
  }
}

TEST_CASE("a consent survives a power loss") {
  spare_disk disk;
  disk.learn_epoch(kDecided);
  CHECK(disk.offer(kDecided + 1) == PlaceConsent::Given);
  disk.storage.crash();
  disk.start();
  disk.learn_epoch(kDecided);
  disk.replica->begin_draining();
  CHECK_FALSE(disk.may_go());
}

TEST_CASE("a drained disk takes no place after a restart, whatever it receives") {
  spare_disk disk;
  disk.learn_epoch(kDecided);
  REQUIRE(disk.note_emptied());
  CHECK(disk.offer(kDecided + 1, true) == PlaceConsent::Retiring);
  disk.storage.crash();
  disk.start();
  disk.learn_epoch(kDecided);
  CHECK(disk.offer(kDecided + 1) == PlaceConsent::Retiring);
  disk.replica->cancel_draining();
  CHECK(disk.offer(kDecided + 1) == PlaceConsent::Given);
}

TEST_CASE("a node does not consent to a place for its former disk") {
  spare_disk disk;
  disk.learn_epoch(kDecided);
  CHECK(disk.offer(kDecided + 1, false, kNewC) == PlaceConsent::OtherDisk);
}

TEST_CASE("a disk takes no place in an epoch that is over, nor while it stops or refuses writes") {
  spare_disk disk;
  disk.learn_epoch(kDecided);
  CHECK(disk.offer(kDecided) == PlaceConsent::EpochOver);
  disk.replica->suspend();
  CHECK(disk.offer(kDecided + 1) == PlaceConsent::NotReady);
  disk.replica->resume();
  disk.replica->begin_stopping();
  CHECK(disk.offer(kDecided + 1) == PlaceConsent::Stopping);
  CHECK(disk.replica->open_places().empty());
}

TEST_CASE("a reply to a status request without a place reports that none was offered") {
  spare_disk disk;
  wire::CopyStatusRequestT request;
  disk.replica->handle(kProposer, request);
  disk.environment.world.run_for(20ms);
  REQUIRE(disk.environment.sent_of(wire::Message::CopyStatus) == 1);
  CHECK(disk.environment.sent.back().body.AsCopyStatus()->consent == PlaceConsent::NotAsked);
}

// Guards against a sole decision made while both members of a pair are reachable: a gateway that had been disconnected
// had one of them decide alone, and that disk was lost next.
TEST_CASE("one of a pair does not decide alone while it knows that the other one is reachable") {
  spare_disk disk;
  disk.learn_epoch(kDecided);
  wire::CopyStatusRequestT request;
  request.place_epoch = kDecided + 1;
  request.offered = std::make_unique<wire::ReplicaIdT>();
  request.offered->node = kC.node.str();
  request.offered->disk = kC.disk.str();
  request.gives_up = std::make_unique<wire::ReplicaIdT>();
  request.gives_up->node = kA.node.str();
  request.gives_up->disk = kA.disk.str();
  bool there = true;
  disk.replica->is_there = [&there](const ReplicaIdentity& member) { return there && member == kA; };
  disk.replica->handle(kProposer, request);
  disk.environment.world.run_for(20ms);
  REQUIRE(disk.environment.sent_of(wire::Message::CopyStatus) == 1);
  CHECK(disk.environment.sent.back().body.AsCopyStatus()->consent == PlaceConsent::MemberThere);
  there = false;
  disk.replica->handle(kProposer, request);
  disk.environment.world.run_for(20ms);
  CHECK(disk.environment.sent.back().body.AsCopyStatus()->consent == PlaceConsent::Given);
  CHECK(disk.replica->open_places().empty());
}

TEST_CASE("a member is not given up as unresponsive by the vote of one that knows that it is reachable") {
  spare_disk disk;
  disk.replica->on_group_map({{{1, {kA, kB, kC}, {}}}});
  bool there = true;
  disk.replica->is_there = [&there](const ReplicaIdentity& member) { return there && member == kA; };
  const auto vote = [&disk](std::uint64_t counter) {
    wire::PrepareT request;
    request.epoch = 1;
    request.ballot = ledger::to_wire(Ballot{counter, 1});
    request.key = group_config_key(0, 2);
    request.gives_up = std::make_unique<wire::ReplicaIdT>();
    request.gives_up->node = kA.node.str();
    request.gives_up->disk = kA.disk.str();
    disk.environment.sent.clear();
    disk.replica->handle(kProposer, request);
    disk.environment.world.run_for(20ms);
    return disk.environment.sent.back().body.AsPromise()->status;
  };
  CHECK(vote(1) == wire::ReplicaStatus::MemberThere);
  there = false;
  CHECK(vote(2) == wire::ReplicaStatus::Granted);
}

TEST_CASE("a disk whose consent cannot be read takes no place and is not drained") {
  spare_disk disk;
  disk.storage.put("c/0000", wire::Bytes{1, 2});
  disk.start();
  disk.learn_epoch(kDecided);
  CHECK(disk.offer(kDecided + 1) == PlaceConsent::NotReady);
  CHECK_FALSE(disk.may_go());
}

// Guards against an ignored message of the platform that the disk stays, received before the disk could be read.
TEST_CASE("a disk that stays takes places, also where its draining mark is read after the platform's message") {
  spare_disk disk;
  disk.learn_epoch(kDecided);
  REQUIRE(disk.note_emptied());
  disk.storage.crash();
  disk.start_unread();
  disk.replica->cancel_draining();
  disk.replica->restore();
  disk.learn_epoch(kDecided);
  CHECK(disk.offer(kDecided + 1) == PlaceConsent::Given);
}
