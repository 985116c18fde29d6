#include "ledger/replica_journal.hpp"

#include <catch2/catch.hpp>

#include "simulation/fleet.hpp"
#include "support/kept_lines.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::kept_lines;
using madderdeck::tests::TestEnvironment;

namespace {

const ReplicaIdentity kA{NodeId("a"), DiskId("disk-a")};
const ReplicaIdentity kB{NodeId("b"), DiskId("disk-b")};
const ReplicaIdentity kC{NodeId("c"), DiskId("disk-c")};

/// The replica of node "a" with its journal.
class fixture {
 public:
  fixture() {
    process.start();
    start();
  }

  /// Restarts the process with its disk.
  void start() {
    journal.reset();
    replica = std::make_unique<Replica>(environment, storage, counters, kA.node, kA.disk,
                                        [](const NodeId& node) { return std::optional(PeerAddress(node.str())); });
    journal = std::make_unique<replica_journal>(environment, log, *replica);
    journal->start();
    replica->restore();
  }
  /// Member number @p number sends a page of its copy.
  void send_page(std::uint32_t number, const std::string& after, bool ballots_only) {
    wire::CopyReplyT reply;
    reply.epoch = 2;
    reply.replica = number;
    reply.after = after;
    reply.ballots_only = ballots_only;
    if (after == "a:") {
      auto record = std::make_unique<wire::LedgerRecordT>();
      record->key = "k/" + std::to_string(number);
      record->accepted = to_wire(Ballot{1, 1});
      record->value = wire::Bytes(ballots_only ? 0 : 1'000);
      reply.records.push_back(std::move(record));
    }
    replica->handle(PeerAddress(number == 1 ? "b" : "c"), reply);
  }
  void send_all(std::uint32_t number) {
    send_page(number, "p:", true);
    send_page(number, "a:", true);
    send_page(number, "a:", false);
    run_for(20ms);  // waits until the copied records are synced
  }
  wire::ScanReplyT ask() {
    wire::ScanRequestT scan;
    scan.epoch = 2;
    environment.sent.clear();
    replica->handle(PeerAddress("x"), scan);
    for (const auto& message : environment.sent) {
      if (message.body.type == wire::Message::ScanReply) {
        return *message.body.AsScanReply();
      }
    }
    FAIL("the scan was not answered");
    return {};
  }
  void run_for(Duration time) { environment.world.run_for(time); }

  TestEnvironment environment;
  Counters counters;
  kept_lines log;
  simulation::SimProcess process{environment.world};
  simulation::SimStorage storage{environment.world, process};
  std::unique_ptr<Replica> replica;
  std::unique_ptr<replica_journal> journal;
};

}  // namespace

TEST_CASE("each step of a new disk until its first vote is logged") {
  fixture node;
  node.replica->adopt_group(0, {2, {kA, kB, kC}, {}});
  REQUIRE(node.log.lines.size() == 2);
  CHECK(node.log.lines[0] ==
        "epoch_adopted group=0 from_epoch=0 epoch=2 role=copying copies_for=new_disk "
        "members=a/disk-a, b/disk-b, c/disk-c leaving=");
  CHECK(node.log.lines[1] == "replica_copy_begun group=0 epoch=2 sources=b/disk-b, c/disk-c");
  node.send_all(1);
  node.run_for(5080ms);
  REQUIRE(node.log.count("replica_copying") == 1);
  CHECK(node.log.lines.back().find("b/disk-b 3 pages 1 records 1 KB done, c/disk-c 0 pages 0 records 0 KB asked ") !=
        std::string::npos);
  node.send_all(2);
  REQUIRE(node.log.count("replica_admitted") == 1);
  CHECK(node.log.lines.back().starts_with(
      "replica_admitted group=0 epoch=2 took_ms=510"));  // 5.1 s and the time of a sync
  CHECK(node.log.lines.back().ends_with(" pages=6 records=2 bytes=2000 restarts=0"));
  node.run_for(60s);
  CHECK(node.log.count("replica_copying") == 1);
}

TEST_CASE("a stalled copy is logged with growing intervals, one that proceeds every 5 s") {
  fixture node;
  node.replica->adopt_group(0, {2, {kA, kB, kC}, {}});
  node.run_for(300s);
  CHECK(node.log.count("replica_copying") >= 3);
  CHECK(node.log.count("replica_copying") <= 8);
}

TEST_CASE("a disk that returns after missed epochs logs why it copies") {
  fixture node;
  node.replica->adopt_group(0, {1, {kA, kB, kC}, {}});
  CHECK(node.log.lines.back().starts_with("epoch_adopted group=0 from_epoch=0 epoch=1 role=voting copies_for=none"));
  node.replica->adopt_group(0, {3, {kA, kB, kC}, {}});
  REQUIRE(node.log.count("epoch_adopted") == 2);
  CHECK(
      node.log.lines[1].starts_with("epoch_adopted group=0 from_epoch=1 epoch=3 role=returning "
                                    "copies_for=epochs_missed"));
  node.start();
  REQUIRE(node.log.count("epoch_restored") == 1);
  CHECK(node.log.lines.back().starts_with("replica_copy_begun"));
  node.replica->adopt_group(0, {4, {kB, kC}, {}});
  CHECK(node.log.lines.back().starts_with("epoch_adopted group=0 from_epoch=3 epoch=4 role=left"));
}

TEST_CASE("a member that catches up with its disk logs nothing unless that takes long") {
  fixture node;
  node.replica->adopt_group(0, {1, {kA, kB, kC}, {}});
  const std::size_t lines = node.log.lines.size();
  for (int alarm = 0; alarm < 20; ++alarm) {
    node.replica->catch_up();
    node.run_for(100ms);
  }
  CHECK(node.log.lines.size() == lines);
  node.run_for(10s);
  CHECK(node.log.count("replica_copying") >= 1);
}

TEST_CASE("a member that refuses a scan reports how far it has copied and for how long") {
  fixture node;
  CHECK(node.ask().known_epoch == 0);
  CHECK(node.ask().standing == wire::ReplicaStanding::UnknownEpoch);
  node.replica->adopt_group(0, {2, {kA, kB, kC}, {}});
  node.send_all(1);
  node.run_for(2980ms);
  const wire::ScanReplyT refusal = node.ask();
  CHECK(refusal.status == wire::ReplicaStatus::NotReady);
  CHECK(refusal.standing == wire::ReplicaStanding::Copying);
  CHECK(refusal.known_epoch == 2);
  CHECK(refusal.copied_records == 1);
  CHECK(refusal.copied_bytes == 1'000);
  CHECK(refusal.waits_ms == 3'000);
  node.send_all(2);
  const wire::ScanReplyT granted = node.ask();
  CHECK(granted.status == wire::ReplicaStatus::Granted);
  CHECK(granted.known_epoch == 0);
  CHECK(granted.copied_bytes == 0);
}

TEST_CASE("a disk that receives no requests for a group logs that, with growing intervals, until one arrives") {
  fixture node;
  node.replica->adopt_group(3, {1, {kA, kB, kC}, {}});
  node.run_for(12s);
  REQUIRE(node.log.count("replica_unasked") == 1);
  CHECK(node.log.lines.back() == "replica_unasked groups=1 unasked=group 3 epoch 1 for 10000 ms");
  node.run_for(60s);
  CHECK(node.log.count("replica_unasked") == 3);
  wire::ScanRequestT scan;
  scan.group = 3;
  scan.epoch = 1;
  node.replica->handle(PeerAddress("x"), scan);
  node.run_for(9s);
  CHECK(node.log.count("replica_unasked") == 3);
  node.run_for(3s);
  CHECK(node.log.count("replica_unasked") == 4);
}
