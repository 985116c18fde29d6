#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "ledger/client.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TestEnvironment;

namespace {

constexpr unsigned kReplicas = 3;

/// A client of a group of three replicas; the test sends their answers. Replica 1 is the nearest.
struct ScanFixture {
  ScanFixture() { client.on_group_map(map()); }

  static GroupMap map() {
    return {{{1, {{NodeId("a"), DiskId("da")}, {NodeId("b"), DiskId("db")}, {NodeId("c"), DiskId("dc")}}}}};
  }
  void start(ScanContent content = ScanContent::values) {
    client.scan(
        "k/", "", 10, [this](Result<ScanPage> result) { answer = std::move(result); }, content);
  }
  /// @return the last scan request to replica @p index.
  wire::ScanRequestT request_to(unsigned index) {
    const PeerAddress address(std::string(1, static_cast<char>('a' + index)));
    for (auto message = environment.sent.rbegin(); message != environment.sent.rend(); ++message) {
      if (message->to == address && message->body.type == wire::Message::ScanRequest) {
        return *message->body.AsScanRequest();
      }
    }
    FAIL("the replica was not asked");
    return {};
  }
  void reply(unsigned index, Ballot ballot, const wire::Bytes& value) {
    const wire::ScanRequestT request = request_to(index);
    wire::ScanReplyT message;
    message.request = request.request;
    message.replica = index;
    message.epoch = request.epoch;
    message.ballots_only = request.ballots_only;
    auto record = std::make_unique<wire::LedgerRecordT>();
    record->key = "k/1";
    record->accepted = to_wire(ballot);
    record->value = request.ballots_only ? wire::Bytes{} : value;
    message.records.push_back(std::move(record));
    client.handle(PeerAddress("x"), message);
  }
  /// @return the number of replicas whose last request asks for values.
  unsigned asked_for_values() {
    unsigned asked = 0;
    for (unsigned index = 0; index < kReplicas; ++index) {
      asked += request_to(index).ballots_only ? 0 : 1;
    }
    return asked;
  }
  std::size_t prepares() const { return environment.sent_of(wire::Message::Prepare); }

  TestEnvironment environment;
  Counters counters;
  Client client{environment,
                counters,
                [](const NodeId& node) { return std::optional(PeerAddress(node.str())); },
                {},
                [](const NodeId& node) { return node.str() == "b" ? 0U : 1U; }};
  std::optional<Result<ScanPage>> answer;
};

}  // namespace

TEST_CASE("a scan asks the nearest replica for values and the others for ballots") {
  ScanFixture fixture;
  fixture.start();
  CHECK(fixture.asked_for_values() == 1);
  CHECK_FALSE(fixture.request_to(1).ballots_only);
  fixture.reply(0, {3, 1}, {7});
  CHECK_FALSE(fixture.answer.has_value());
  fixture.reply(1, {3, 1}, {7});
  REQUIRE(fixture.answer.has_value());
  REQUIRE(succeeded(*fixture.answer));
  REQUIRE(value_of(*fixture.answer).records.size() == 1);
  CHECK(value_of(*fixture.answer).records.front().value == wire::Bytes{7});
}

TEST_CASE("a value that the ballots of the others do not confirm is settled by a read") {
  ScanFixture fixture;
  fixture.start();
  SECTION("the nearest replica has an older one") {
    fixture.reply(1, {2, 1}, {6});
    fixture.reply(2, {3, 1}, {7});
  }
  SECTION("the nearest replica has one that no other replica has") {
    fixture.reply(1, {3, 1}, {7});
    fixture.reply(2, {2, 1}, {6});
  }
  CHECK_FALSE(fixture.answer.has_value());
  CHECK(fixture.prepares() == kReplicas);
  CHECK(fixture.counters["ledger_scan_settles_total"] == 1);
}

TEST_CASE("when the nearest replica is unresponsive, the next one is asked for values and stays selected for a while") {
  ScanFixture fixture;
  fixture.start();
  fixture.reply(0, {3, 1}, {7});
  fixture.reply(2, {3, 1}, {7});
  CHECK_FALSE(fixture.answer.has_value());
  fixture.environment.world.run_for(ClientOptions{}.value_wait + 1ms);
  CHECK(fixture.request_to(1).ballots_only);
  CHECK(fixture.asked_for_values() == 1);
  fixture.reply(0, {3, 1}, {7});
  fixture.reply(2, {3, 1}, {7});
  REQUIRE(fixture.answer.has_value());
  CHECK(value_of(*fixture.answer).records.front().value == wire::Bytes{7});

  fixture.start();
  CHECK(fixture.request_to(1).ballots_only);
  fixture.environment.world.run_for(ClientOptions{}.avoid_unresponsive);
  fixture.start();
  CHECK_FALSE(fixture.request_to(1).ballots_only);
}

TEST_CASE("a scan of keys asks no replica for values") {
  ScanFixture fixture;
  fixture.start(ScanContent::keys);
  CHECK(fixture.asked_for_values() == 0);
  fixture.reply(0, {3, 1}, {7});
  fixture.reply(2, {3, 1}, {7});
  REQUIRE(fixture.answer.has_value());
  CHECK(value_of(*fixture.answer).records.front().key == "k/1");
}

TEST_CASE("a repeated request keeps the replies received so far: only unresponsive replicas are asked again") {
  ScanFixture fixture;
  fixture.start();
  fixture.reply(0, {1, 1}, {7});
  const std::uint64_t question = fixture.request_to(0).request;
  fixture.environment.sent.clear();
  fixture.environment.world.run_for(450ms);
  CHECK(fixture.request_to(1).request == question);
  for (const auto& message : fixture.environment.sent) {
    CHECK(message.to != PeerAddress("a"));
  }
  fixture.reply(1, {1, 1}, {7});
  REQUIRE(fixture.answer);
  CHECK(value_of(*fixture.answer).records.front().value == wire::Bytes{7});
}

namespace {

/// Answers a fetch of "k/1" and "k/2" for replica @p index; an answer with values holds the first @p values records.
void answer_fetch(ScanFixture& fixture, unsigned index, std::size_t values, Ballot second) {
  const wire::ScanRequestT request = fixture.request_to(index);
  REQUIRE(request.keys == std::vector<std::string>{"k/2", "k/1"});
  wire::ScanReplyT message;
  message.request = request.request;
  message.replica = index;
  message.epoch = request.epoch;
  message.ballots_only = request.ballots_only;
  for (std::size_t position = 0; position < (request.ballots_only ? 2 : values); ++position) {
    auto record = std::make_unique<wire::LedgerRecordT>();
    record->key = request.keys[position];
    record->accepted = to_wire(position == 0 ? Ballot{1, 1} : second);
    record->value = request.ballots_only ? wire::Bytes{} : wire::Bytes{static_cast<std::uint8_t>(position)};
    message.records.push_back(std::move(record));
  }
  fixture.client.handle(PeerAddress("x"), message);
}

}  // namespace

TEST_CASE("a fetch asks each replica once, in the order of its keys, and reports where it stopped") {
  ScanFixture fixture;
  fixture.client.fetch({"k/2", "k/1"}, 100, 1s,
                       [&fixture](Result<ScanPage> result) { fixture.answer = std::move(result); });
  CHECK(fixture.environment.sent_of(wire::Message::ScanRequest) == kReplicas);
  CHECK(fixture.asked_for_values() == 1);
  SECTION("all values arrive") {
    answer_fetch(fixture, 0, 2, {1, 1});
    answer_fetch(fixture, 1, 2, {1, 1});
    REQUIRE(fixture.answer);
    CHECK(value_of(*fixture.answer).records.size() == 2);
    CHECK(value_of(*fixture.answer).next_after.empty());
  }
  SECTION("only the first value arrives") {
    answer_fetch(fixture, 0, 1, {1, 1});
    answer_fetch(fixture, 1, 1, {1, 1});
    REQUIRE(fixture.answer);
    REQUIRE(value_of(*fixture.answer).records.size() == 1);
    CHECK(value_of(*fixture.answer).records.front().key == "k/2");
    CHECK(value_of(*fixture.answer).next_after == "k/1");
  }
  SECTION("a record that no replica holds is left out") {
    answer_fetch(fixture, 0, 2, {});
    answer_fetch(fixture, 1, 2, {});
    REQUIRE(fixture.answer);
    CHECK(value_of(*fixture.answer).records.size() == 1);
  }
  SECTION("no replica answers before the deadline") {
    fixture.environment.world.run_for(1100ms);
    REQUIRE(fixture.answer);
    CHECK(error_of(*fixture.answer).kind == ErrorKind::unavailable);
  }
}

// Guards against a 404 for an accepted job: just started gateways answered 12 requests so in one run with real
// processes and 75 jobs. A read that begins before the node knows the replica groups waits for them, but its group was
// computed at its beginning, while there were no groups, as the first one. Once the groups were known, the request went
// to the first group, which has no such record. These requests came 0.8 s after their gateway's start, when it already
// knew its routes.
TEST_CASE("a scan that begins before the groups are known asks the group of its key") {
  TestEnvironment environment;
  Counters counters;
  Client client{environment, counters, [](const NodeId& node) { return std::optional(PeerAddress(node.str())); }};
  GroupMap map;
  for (const char* node : {"a", "b", "c", "d"}) {
    map.groups.push_back({1, {{NodeId(node), DiskId("disk")}}});
  }
  std::string prefix = "job/1";
  for (unsigned number = 2; map.group_of(prefix) == 0; ++number) {
    prefix = "job/" + std::to_string(number);
  }
  client.scan(prefix, "", 2, [](const Result<ScanPage>&) {});
  client.on_group_map(map);
  environment.world.run_for(100ms);
  REQUIRE(environment.sent_of(wire::Message::ScanRequest) >= 1);
  for (const auto& message : environment.sent) {
    CHECK(message.body.AsScanRequest()->group == map.group_of(prefix));
  }
}

namespace {

constexpr Duration kLate = 300ms;
constexpr std::size_t kShownOfLine = 150;  ///< Characters that remain of a truncated log line.

/// A client of three members with long names; members with an entry in @c refusals answer each scan with it.
struct refusing_group {
  refusing_group() {
    GroupMap map;
    map.groups.push_back({5, {}, {}});
    for (const char* name : {"storage-hall-a-1", "storage-hall-b-1", "storage-hall-c-1"}) {
      map.groups[0].replicas.push_back({NodeId(name), DiskId("disk")});
    }
    client.on_group_map(map);
  }
  /// @return the detail of the failure of a scan.
  std::string scan() {
    std::string detail;
    client.scan("k/", "", 10, [&detail](const Result<ScanPage>& result) { detail = error_of(result).detail; });
    std::size_t answered = 0;
    while (detail.empty()) {
      environment.world.run_for(10ms);
      for (; answered < environment.sent.size(); ++answered) {
        answer(environment.sent[answered]);
      }
    }
    return detail;
  }
  void answer(const tests::SentMessage& message) {
    const auto refusal = refusals.find(message.to);
    if (message.body.type != wire::Message::ScanRequest || refusal == refusals.end()) {
      return;
    }
    wire::ScanReplyT reply;
    reply.request = message.body.AsScanRequest()->request;
    reply.epoch = message.body.AsScanRequest()->epoch;
    reply.status = refusal->second.status;
    reply.standing = refusal->second.standing;
    reply.known_epoch = refusal->second.known_epoch;
    reply.copied_bytes = refusal->second.copied_bytes;
    reply.waits_ms = refusal->second.waits_ms;
    if (late.contains(message.to)) {
      environment.world.schedule(kLate, [this, to = message.to, reply = std::make_shared<wire::ScanReplyT>(reply)] {
        client.handle(to, *reply);
      });
      return;
    }
    client.handle(message.to, reply);
  }
  void refuse(const char* name, wire::ReplicaStatus status, wire::ReplicaStanding standing, std::uint64_t known_epoch) {
    wire::ScanReplyT& refusal = refusals[PeerAddress(name)];
    refusal.status = status;
    refusal.standing = standing;
    refusal.known_epoch = known_epoch;
  }

  TestEnvironment environment;
  Counters counters;
  Client client{environment, counters, [](const NodeId& node) { return std::optional(PeerAddress(node.str())); }};
  std::map<PeerAddress, wire::ScanReplyT> refusals;
  std::set<PeerAddress> late;  ///< Members whose refusals arrive after those of all others.
};

}  // namespace

// Guards against truncated log lines: reads failed for 12 s at every gateway, and each line was cut before the members'
// answers.
TEST_CASE("a failed scan reports each member's answer first and briefly") {
  refusing_group group;
  group.refuse("storage-hall-b-1", wire::ReplicaStatus::NotReady, wire::ReplicaStanding::Copying, 5);
  group.refusals[PeerAddress("storage-hall-b-1")].copied_bytes = 3'160'000;
  group.refusals[PeerAddress("storage-hall-b-1")].waits_ms = 5'400;
  group.refuse("storage-hall-c-1", wire::ReplicaStatus::UnknownEpoch, wire::ReplicaStanding::UnknownEpoch, 4);
  const std::string detail = group.scan();
  CHECK(
      detail.starts_with("group 0 epoch 5, 0 of 3: storage-hall-a-1 silent, "
                         "storage-hall-b-1 NotReady copied 3.1 MB in 5 s, storage-hall-c-1 UnknownEpoch epoch 4; "));
  CHECK(detail.find(';') < kShownOfLine);
  CHECK(detail.find("no majority of replicas answered the scan, attempts ") != std::string::npos);
  CHECK(detail.find(", refusals storage-hall-b-1 NotReady ") != std::string::npos);
}

// Guards against a member wrongly logged as silent: in a group of two, one member refused at once, so that each attempt
// ended before the other one's refusal arrived.
TEST_CASE("a member whose refusal comes after its attempt is over is not called silent") {
  refusing_group group;
  group.refuse("storage-hall-a-1", wire::ReplicaStatus::UnknownEpoch, wire::ReplicaStanding::UnknownEpoch, 0);
  group.refuse("storage-hall-b-1", wire::ReplicaStatus::UnknownEpoch, wire::ReplicaStanding::UnknownEpoch, 0);
  group.refuse("storage-hall-c-1", wire::ReplicaStatus::NotReady, wire::ReplicaStanding::Copying, 5);
  group.late.insert(PeerAddress("storage-hall-c-1"));
  std::set<PeerAddress> told;
  group.client.on_refusal = [&told](const PeerAddress& sender, std::uint32_t, std::uint64_t, wire::ReplicaStatus) {
    told.insert(sender);
  };
  const std::string detail = group.scan();
  CHECK(detail.find("storage-hall-c-1 NotReady copied 0 KB in 0 s;") != std::string::npos);
  CHECK(told.size() == 3);
  group.environment.world.run_for(1s);  // answers after the end are ignored
}

TEST_CASE("a failed scan reports where a member of an earlier version gives no refusal reason") {
  refusing_group group;
  group.refuse("storage-hall-b-1", wire::ReplicaStatus::NotReady, wire::ReplicaStanding::NotSaid, 0);
  group.refuse("storage-hall-c-1", wire::ReplicaStatus::UnknownEpoch, wire::ReplicaStanding::UnknownEpoch, 0);
  const std::string detail = group.scan();
  CHECK(detail.find("storage-hall-b-1 NotReady (why not said), storage-hall-c-1 UnknownEpoch knows none;") !=
        std::string::npos);
}

TEST_CASE("each member that grants a request is reported, also before the majority is complete") {
  ScanFixture fixture;
  std::vector<std::uint64_t> epochs;
  fixture.client.on_granted = [&epochs](const PeerAddress&, std::uint32_t group, std::uint64_t epoch) {
    CHECK(group == 0);
    epochs.push_back(epoch);
  };
  fixture.start();
  fixture.reply(0, {3, 1}, {7});
  fixture.reply(1, {3, 1}, {7});
  CHECK(epochs == std::vector<std::uint64_t>{1, 1});
}
