#include "config/versioned_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "config/objects.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::config;
using madderdeck::tests::TestEnvironment;

namespace {
Entry entry(const std::string& name, std::uint64_t revision) {
  return {{"kind", name}, "body" + std::to_string(revision), revision, false};
}
const PeerAddress kFirst("10.0.0.1:1");
const PeerAddress kSecond("10.0.0.2:1");

struct Node {
  /// @param peers the peers that announcements are sent to.
  explicit Node(std::vector<PeerAddress> peers = {}) : others(std::move(peers)) {}

  TestEnvironment environment;
  Counters counters;
  std::vector<PeerAddress> others;
  TableReplicator replicator{environment, counters, wire::TableId::Objects, [this](std::size_t) { return others; },
                             [](const std::vector<EntryKey>&) {}};
};
}  // namespace

TEST_CASE("a table never takes an older state, in whatever order changes arrive") {
  rc::prop("any order of deltas ends in the same state",
           [](const std::vector<std::uint8_t>& names, std::uint64_t order) {
             // One source with a history: random deltas of it arrive repeatedly and out of order.
             VersionedTable source;
             std::uint64_t revision = 0;
             for (const std::uint8_t name : names) {
               source.apply(revision, revision + 1, {entry(std::to_string(name % 4), revision + 1)});
               ++revision;
             }
             VersionedTable copy;
             simulation::Random random(order);
             std::uint64_t highest = 0;
             for (int step = 0; step < 40; ++step) {
               const std::uint64_t since = random.below(revision + 1);
               std::vector<Entry> changes;
               for (const Entry* change : source.changes_after(since, 1000)) {
                 changes.push_back(*change);
               }
               copy.apply(since, revision, changes);
               RC_ASSERT(copy.revision() >= highest);
               highest = copy.revision();
             }
             copy.apply(0, revision, [&] {
               std::vector<Entry> all;
               for (const Entry* change : source.changes_after(0, 1000)) {
                 all.push_back(*change);
               }
               return all;
             }());
             RC_ASSERT(copy.revision() == revision);
             for (const Entry* want : source.list("kind")) {
               RC_ASSERT(copy.find(want->key) != nullptr);
               RC_ASSERT(copy.find(want->key)->revision == want->revision);
             }
           });
}

TEST_CASE("a delta that skips changes is not taken") {
  VersionedTable table;
  table.apply(5, 7, {entry("a", 6)});
  CHECK(table.revision() == 0);
}

TEST_CASE("a pull that brings nothing is not repeated at once") {
  // Guards against two nodes that endlessly ask each other for a revision that neither has (seeds 42, 328 and 568 of
  // the simulation).
  Node node;
  node.replicator.on_peer_revision(kFirst, 16);
  REQUIRE(node.environment.sent.size() == 1);
  wire::TableDeltaT empty;
  node.replicator.handle(kFirst, empty);
  CHECK(node.environment.sent.size() == 1);
  node.replicator.on_peer_revision(kSecond, 16);
  REQUIRE(node.environment.sent.size() == 2);
  CHECK(node.environment.sent.back().to == kSecond);
}

TEST_CASE("a pull follows the peer that claims most") {
  Node node;
  node.replicator.on_peer_revision(kFirst, 3);
  node.replicator.on_peer_revision(kSecond, 9);
  wire::TableDeltaT delta;
  delta.up_to = 3;
  node.replicator.handle(kFirst, delta);
  REQUIRE(node.environment.sent.size() == 2);
  CHECK(node.environment.sent.back().to == kSecond);
  CHECK(node.environment.sent.back().body.AsTablePull()->since == 3);
}

TEST_CASE("a pull without an answer gives way to the next claim") {
  Node node;
  node.replicator.on_peer_revision(kFirst, 3);
  node.environment.world.run_for(1s);
  node.replicator.on_peer_revision(kSecond, 3);
  REQUIRE(node.environment.sent.size() == 2);
  CHECK(node.environment.sent.back().to == kSecond);
}

TEST_CASE("a complete list deletes what is not on it, and peers learn of all of it") {
  config::VersionedTable table;
  const config::EntryKey kept{"machine", "kept"};
  const config::EntryKey gone{"machine", "gone"};
  const config::EntryKey lost{"machine", "lost"};
  table.apply(0, 3, {{kept, "1", 1, false}, {gone, "1", 2, false}, {lost, "1", 3, false}});
  const auto changed = table.apply(0, 9, {{kept, "1", 1, false}}, true);
  CHECK(changed.size() == 2);
  CHECK(table.find(kept) != nullptr);
  CHECK(table.find(gone) == nullptr);
  CHECK(table.find(lost) == nullptr);
  // Entries that share a revision are always sent in the same delta.
  CHECK(table.changes_after(3, 1).size() == 2);
}

// Guards against entries that nodes of an earlier version reject. In an upgrade and downgrade of real processes (seed
// 23), each earlier node that started beside newer ones logged 'backend_listed state=gone' for all engines within a
// millisecond, then 'request_given_up reason=unavailable sends=0' (217 of 2,015 live calls): newer nodes' entries had
// an additional field, and the earlier version rejects entries with unknown fields.
TEST_CASE("a node of an earlier version is told entries that it can read, others the whole") {
  Node node;
  const std::string body = R"({"target":"model","pool":"lm","state":"live","started_ms":7})";
  node.replicator.apply_from_source(0, 1, {Entry{{kMachineKind, "engine-1"}, body, 1, false}}, true, 1ms);
  const auto told_for = [&node](std::uint64_t number) {
    wire::TablePullT pull;
    pull.number = number;
    node.replicator.handle(PeerAddress("peer"), pull);
    return node.environment.sent.back().body.AsTableDelta()->entries.at(0)->body;
  };
  CHECK(told_for(5) == body);
  CHECK(told_for(0) == R"({"target":"model","pool":"lm","state":"live"})");
}

// Guards against many small deltas that are each announced. In a starting fleet of 10,000 back ends, each node pulled
// 417 deltas of 24 entries and announced each to three peers: 1,251 announcements, of which only the last were useful.
TEST_CASE("a node that starts learns of 10,000 back ends in few exchanges, and tells its peers of the last") {
  constexpr std::uint64_t kBackEnds = 10'000;
  constexpr std::size_t kMostExchanges = 40;
  Node keeper;
  std::vector<Entry> entries;
  for (std::uint64_t number = 1; number <= kBackEnds; ++number) {
    Machine machine;
    machine.id = BackendId("i-" + std::to_string(100'000 + number));
    machine.address = "10.128.100.100:8080";
    machine.pools = {"lm-booking"};
    machine.zone = "tabarbour-hall";
    entries.push_back({{kMachineKind, machine.id.str()}, format_machine(machine), number, false});
  }
  keeper.replicator.apply_from_source(0, kBackEnds, entries, true, 1ms);
  Node learner({kFirst, kSecond, PeerAddress("10.0.0.3:1")});
  learner.replicator.on_peer_revision(PeerAddress("keeper"), kBackEnds);
  std::size_t exchanges = 0;
  while (learner.replicator.table().revision() < kBackEnds && exchanges < kBackEnds) {
    const auto pull = std::find_if(learner.environment.sent.rbegin(), learner.environment.sent.rend(),
                                   [](const auto& sent) { return sent.body.type == wire::Message::TablePull; });
    REQUIRE(pull != learner.environment.sent.rend());
    keeper.replicator.handle(PeerAddress("learner"), *pull->body.AsTablePull());
    learner.replicator.handle(PeerAddress("keeper"), *keeper.environment.sent.back().body.AsTableDelta());
    ++exchanges;
  }
  CHECK(learner.replicator.table().size() == kBackEnds);
  CHECK(exchanges <= kMostExchanges);
  CHECK(learner.environment.sent_of(wire::Message::RevisionNotice) == learner.others.size());
}

TEST_CASE("a node that misses much waits a moment for a peer of its zone, one that misses little does not") {
  constexpr std::uint64_t kTable = 10'000;
  const auto pulls = [](Node& node) { return node.environment.sent_of(wire::Message::TablePull); };
  const auto is_near = [](const PeerAddress& peer) { return peer == kSecond; };
  Node node;
  node.replicator.prefer_near(is_near);
  SECTION("little") {
    node.replicator.on_peer_revision(kFirst, 20);
    CHECK(pulls(node) == 1);
  }
  SECTION("a near peer") {
    node.replicator.on_peer_revision(kFirst, kTable);
    CHECK(pulls(node) == 0);
    node.replicator.on_peer_revision(kSecond, kTable / 2);
    REQUIRE(pulls(node) == 1);
    CHECK(node.environment.sent.back().to == kSecond);
  }
  SECTION("none in time") {
    for (int claim = 0; claim < 10; ++claim) {
      node.replicator.on_peer_revision(kFirst, kTable);
      node.environment.world.run_for(400ms);
    }
    CHECK(pulls(node) >= 1);
    CHECK(node.environment.sent.back().to == kFirst);
  }
}
