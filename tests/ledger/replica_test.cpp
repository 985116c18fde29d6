#include "ledger/replica.hpp"

#include <catch2/catch.hpp>

#include "ledger/client.hpp"
#include "simulation/fleet.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TestEnvironment;

namespace {

const PeerAddress kCaller("10.0.0.9:1");

/// One replica with a disk.
struct ReplicaFixture {
  explicit ReplicaFixture(const std::string& disk = "disk-a") {
    process.start();
    replica = std::make_unique<Replica>(environment, storage, counters, NodeId("a"), DiskId(disk),
                                        [](const NodeId& node) { return std::optional(PeerAddress(node.str())); });
  }
  GroupMap map(std::uint64_t epoch, const std::string& disk = "disk-a") {
    return {{{epoch, {{NodeId("a"), DiskId(disk)}, {NodeId("b"), DiskId("disk-b")}, {NodeId("c"), DiskId("disk-c")}}}}};
  }
  wire::PromiseT prepare(std::uint64_t epoch, Ballot ballot) {
    wire::PrepareT request;
    request.epoch = epoch;
    request.ballot = to_wire(ballot);
    request.key = "k/1";
    environment.sent.clear();
    replica->handle(kCaller, request);
    environment.world.run_for(20ms);
    return *last(wire::Message::Promise).AsPromise();
  }
  wire::AcceptedT accept(std::uint64_t epoch, Ballot ballot, const wire::Bytes& value) {
    wire::AcceptT request;
    request.epoch = epoch;
    request.ballot = to_wire(ballot);
    request.key = "k/1";
    request.value = value;
    environment.sent.clear();
    replica->handle(kCaller, request);
    environment.world.run_for(20ms);
    return *last(wire::Message::Accepted).AsAccepted();
  }
  wire::MessageUnion last(wire::Message type) {
    for (auto message = environment.sent.rbegin(); message != environment.sent.rend(); ++message) {
      if (message->body.type == type) {
        return message->body;
      }
    }
    FAIL("no such message was sent");
    return {};
  }

  TestEnvironment environment;
  Counters counters;
  simulation::SimProcess process{environment.world};
  simulation::SimStorage storage{environment.world, process};
  std::unique_ptr<Replica> replica;
};

}  // namespace

TEST_CASE("a replica promises upwards only and keeps what it accepted") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  CHECK(fixture.prepare(1, {5, 1}).status == wire::ReplicaStatus::Granted);
  CHECK(fixture.prepare(1, {4, 1}).status == wire::ReplicaStatus::BallotTooLow);
  CHECK(fixture.accept(1, {4, 1}, {1}).status == wire::ReplicaStatus::BallotTooLow);
  CHECK(fixture.accept(1, {5, 1}, {2}).status == wire::ReplicaStatus::Granted);
  const wire::PromiseT promise = fixture.prepare(1, {6, 1});
  CHECK(promise.status == wire::ReplicaStatus::Granted);
  CHECK(promise.value == std::vector<std::uint8_t>{2});
  CHECK(from_wire(promise.accepted) == Ballot{5, 1});
}

TEST_CASE("replies wait for the disk") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  wire::AcceptT request;
  request.epoch = 1;
  request.ballot = to_wire({1, 1});
  request.key = "k/1";
  fixture.environment.sent.clear();
  fixture.replica->handle(kCaller, request);
  CHECK(fixture.environment.sent.empty());
  fixture.environment.world.run_for(20ms);
  CHECK(fixture.environment.sent.size() == 1);
}

TEST_CASE("a disk that is not in the map, or not of this epoch, does not vote") {
  ReplicaFixture fixture;
  CHECK(fixture.prepare(1, {1, 1}).status == wire::ReplicaStatus::UnknownEpoch);
  fixture.replica->on_group_map(fixture.map(1));
  CHECK(fixture.prepare(2, {1, 1}).status == wire::ReplicaStatus::UnknownEpoch);
  fixture.replica->on_group_map(fixture.map(3));
  CHECK(fixture.prepare(1, {1, 1}).status == wire::ReplicaStatus::StaleEpoch);
  CHECK(fixture.prepare(3, {1, 1}).status == wire::ReplicaStatus::Granted);
}

TEST_CASE("a new disk votes only after it has copied from both others") {
  ReplicaFixture fixture("disk-new");
  fixture.replica->on_group_map(fixture.map(2, "disk-new"));
  CHECK(fixture.prepare(2, {1, 1}).status == wire::ReplicaStatus::NotReady);
  const auto answer = [&](std::uint32_t index, const std::string& peer, const std::string& after) {
    wire::CopyReplyT reply;
    reply.epoch = 2;
    reply.replica = index;
    reply.after = after;
    auto record = std::make_unique<wire::LedgerRecordT>();
    record->key = "k/1";
    record->promised = to_wire({index + 5, 1});
    record->accepted = to_wire({index + 5, 1});
    record->value = {static_cast<std::uint8_t>(index)};
    reply.records.push_back(std::move(record));
    fixture.replica->handle(PeerAddress(peer), reply);
  };
  answer(1, "b", "p:");
  answer(1, "b", "a:");
  CHECK_FALSE(fixture.replica->synchronized());
  answer(2, "c", "p:");
  answer(2, "c", "a:");
  CHECK(fixture.replica->synchronized());
  const wire::PromiseT promise = fixture.prepare(2, {9, 1});
  CHECK(promise.status == wire::ReplicaStatus::Granted);
  CHECK(promise.value == std::vector<std::uint8_t>{2});
}

TEST_CASE("a damaged value is reported, not returned") {
  ReplicaFixture fixture;
  fixture.replica->on_group_map(fixture.map(1));
  fixture.accept(1, {1, 1}, {1, 2, 3});
  auto stored = value_of(fixture.storage.get("a/0000/k/1"));
  REQUIRE(stored.has_value());
  stored->back() ^= 1;
  for (auto& byte : *stored) {
    byte ^= 0x40;
  }
  fixture.storage.put("a/0000/k/1", *stored);
  CHECK(fixture.prepare(1, {2, 1}).status == wire::ReplicaStatus::Corrupted);
  CHECK(fixture.counters["ledger_corrupted_reads_total"] == 1);
}
