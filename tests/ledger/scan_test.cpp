#include <catch2/catch.hpp>

#include "ledger/client.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::TestEnvironment;

namespace {

constexpr unsigned kReplicas = 3;

/// A client of a group of three replicas that the test answers for. Replica 1 is the nearest.
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
  /// @return how many replicas the last requests ask for values.
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

TEST_CASE("a value that the ballots of the others do not bear out is settled by a read") {
  ScanFixture fixture;
  fixture.start();
  SECTION("the nearest replica has an older one") {
    fixture.reply(1, {2, 1}, {6});
    fixture.reply(2, {3, 1}, {7});
  }
  SECTION("the nearest replica has one that nobody else has") {
    fixture.reply(1, {3, 1}, {7});
    fixture.reply(2, {2, 1}, {6});
  }
  CHECK_FALSE(fixture.answer.has_value());
  CHECK(fixture.prepares() == kReplicas);
  CHECK(fixture.counters["ledger_scan_settles_total"] == 1);
}

TEST_CASE("when the nearest replica is silent, the next one is asked for values and stays the choice for a while") {
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
  fixture.environment.world.run_for(ClientOptions{}.avoid_silent);
  fixture.start();
  CHECK_FALSE(fixture.request_to(1).ballots_only);
}

TEST_CASE("a scan of keys asks nobody for values") {
  ScanFixture fixture;
  fixture.start(ScanContent::keys);
  CHECK(fixture.asked_for_values() == 0);
  fixture.reply(0, {3, 1}, {7});
  fixture.reply(2, {3, 1}, {7});
  REQUIRE(fixture.answer.has_value());
  CHECK(value_of(*fixture.answer).records.front().key == "k/1");
}
