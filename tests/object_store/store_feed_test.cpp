/// Distribution of the store's changes in a large fleet: few nodes watch the store and feed the others, which poll it
/// themselves when the feed is overdue.
#include <catch2/catch.hpp>

#include "node/node_core.hpp"
#include "support/fake_backends.hpp"
#include "support/table_word.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::tests;

namespace {

constexpr Duration kFeedSilence = 1500ms;
constexpr Duration kLongestSilence =
    kFeedSilence + 700ms;  ///< Includes the spread between nodes and the check interval.

/// A store without changes: replies at the end of each wait, unless it is unavailable.
class quiet_store : public object_store::PlatformClient {
 public:
  explicit quiet_store(TestEnvironment& environment) : environment_(environment) {}

  void watch_objects(std::uint64_t since, Duration wait, object_store::ChangesDone done) override {
    ++object_reads;
    if (away) {
      environment_.after(4ms, [done] { done(Error{ErrorKind::unavailable, "away"}); });
      return;
    }
    answer(since, wait, std::move(done));
  }
  void watch_machines(std::uint64_t since, Duration wait, object_store::ChangesDone done) override {
    answer(since, wait, std::move(done));
  }
  bool has_evacuations() const override { return evacuates; }
  void watch_evacuations(std::uint64_t since, Duration wait, object_store::ChangesDone done) override {
    ++evacuation_reads;
    const bool news = since < evacuation_revision;
    object_store::ChangeList changes;
    changes.since = since;
    changes.up_to = std::max<std::uint64_t>(1, evacuation_revision);
    changes.complete = true;
    if (!evacuated_zone.empty()) {
      changes.entries.push_back({{config::kEvacuationKind, evacuated_zone}, "{}", changes.up_to, false});
    }
    environment_.after(news || since == 0 ? Duration(4ms) : wait, [changes, done] { done(changes); });
  }
  void get(const config::EntryKey&, object_store::GetDone done) override {
    done(std::optional<object_store::StoredObject>());
  }
  void put(const object_store::PutRequest&, object_store::PutDone done) override {
    done(Error{ErrorKind::unavailable, "read only"});
  }

  std::size_t object_reads = 0;
  std::size_t evacuation_reads = 0;
  bool evacuates = false;
  std::string evacuated_zone;
  std::uint64_t evacuation_revision = 0;
  std::uint64_t revision = 5;
  bool away = false;

 private:
  void answer(std::uint64_t since, Duration wait, object_store::ChangesDone done) {
    answer_when_due(since, environment_.now() + wait, done);
  }
  /// Replies 4 ms after there is a revision later than @p since, or at the end of the wait.
  void answer_when_due(std::uint64_t since, Timestamp until, const object_store::ChangesDone& done) {
    if (since >= revision && environment_.now() < until) {
      const Duration pause = std::min<Duration>(10ms, until - environment_.now());
      environment_.after(pause, [this, since, until, done] { answer_when_due(since, until, done); });
      return;
    }
    object_store::ChangeList changes;
    changes.since = since;
    changes.up_to = revision;
    environment_.after(4ms, [changes, done] { done(changes); });
  }

  TestEnvironment& environment_;
};

wire::MemberT member_named(const std::string& id, const std::string& zone) {
  wire::MemberT member;
  member.id = id;
  member.peer_address = id + ":1";
  member.zone = zone;
  member.roles = static_cast<std::uint32_t>(membership::Role::controller);
  member.incarnation = 1;
  return member;
}

/// One node of a fleet; the test sends the messages of the other members.
struct FeedFixture {
  explicit FeedFixture(unsigned peers, const std::string& prefix = "peer-")
      : core({environment, counters, nullptr, backends, store, log}, options()) {
    core.start();
    auto sync = std::make_unique<wire::MemberSyncT>();
    for (unsigned number = 0; number < peers; ++number) {
      sync->members.push_back(
          std::make_unique<wire::MemberT>(member_named(prefix + std::to_string(number), number % 2 == 0 ? "z" : "y")));
    }
    wire::Incoming incoming{PeerAddress("peer-0:1"), {}};
    incoming.body.Set(std::move(*sync));
    core.handle(incoming);
  }
  static node::NodeOptions options() {
    node::NodeOptions options;
    options.self = member_named("self", "z");
    options.controller.readers = 2;
    options.controller.all_read_up_to = 4;
    options.controller.feed_silence = kFeedSilence;
    // The test does not reply to probes; no member is to be suspected for that.
    options.membership.period = 1h;
    return options;
  }
  void feed(std::uint64_t revision, std::uint32_t age_ms) {
    for (const wire::TableId table : {wire::TableId::Objects, wire::TableId::Machines}) {
      wire::RevisionNoticeT notice;
      notice.table = table;
      notice.revision = revision;
      notice.age_ms = age_ms;
      wire::Incoming incoming{PeerAddress("peer-0:1"), {}};
      incoming.body.Set(std::move(notice));
      core.handle(incoming);
      answer_age_question(environment, table == wire::TableId::Objects ? core.objects : core.machines, revision,
                          age_ms);
    }
  }
  /// Runs for @p duration with a feed message every half second.
  void run_fed(Duration duration, std::uint32_t age_ms) {
    for (Duration passed{}; passed < duration; passed += 500ms) {
      feed(store.revision, age_ms);
      environment.world.run_for(500ms);
    }
  }
  std::size_t notices_sent() const { return environment.sent_of(wire::Message::RevisionNotice); }

  TestEnvironment environment;
  Counters counters;
  FakeBackends backends;
  quiet_store store{environment};
  NoDecisionLog log;
  node::NodeCore core;
};

/// @return the number of the latest pull of @p table.
std::uint64_t last_pull_of(const FeedFixture& fixture, wire::TableId table) {
  std::uint64_t number = 0;
  for (const SentMessage& message : fixture.environment.sent) {
    if (message.body.type == wire::Message::TablePull && message.body.AsTablePull()->table == table) {
      number = message.body.AsTablePull()->number;
    }
  }
  return number;
}

/// A fleet size in which "self" does not rank among the readers of its zone.
constexpr unsigned kFedFleet = 40;

}  // namespace

TEST_CASE("in a small fleet every node watches the store and no node is fed") {
  FeedFixture fixture(3);
  CHECK(fixture.core.controller->is_reader());
  fixture.environment.world.run_for(20s);
  CHECK(fixture.store.object_reads >= 2);
  CHECK(fixture.counters["platform_feed_silences_total"] == 0);
}

TEST_CASE("a node that is fed does not read the store") {
  FeedFixture fixture(kFedFleet);
  REQUIRE_FALSE(fixture.core.controller->is_reader());
  fixture.environment.world.run_for(kLongestSilence);
  const std::size_t at_start = fixture.store.object_reads;
  fixture.run_fed(20s, 200);
  CHECK(fixture.store.object_reads == at_start);
}

TEST_CASE("a node whose feed is overdue, or delivers only old data, polls the store itself") {
  FeedFixture fixture(kFedFleet);
  REQUIRE_FALSE(fixture.core.controller->is_reader());
  fixture.environment.world.run_for(kLongestSilence);
  const std::size_t at_start = fixture.store.object_reads;
  SECTION("silent") { fixture.environment.world.run_for(kLongestSilence); }
  SECTION("old data") { fixture.run_fed(kLongestSilence + 500ms, 5000); }
  CHECK(fixture.store.object_reads > at_start);
}

TEST_CASE("a feed of a later revision counts once the node has that revision") {
  FeedFixture fixture(kFedFleet);
  fixture.environment.world.run_for(kLongestSilence);
  fixture.run_fed(2s, 200);
  const Timestamp before = fixture.core.objects.as_of();
  fixture.environment.world.run_for(300ms);
  fixture.feed(9, 10);
  CHECK(fixture.core.objects.as_of() == before);
  wire::TableDeltaT delta;
  delta.table = wire::TableId::Objects;
  delta.since = 5;
  delta.up_to = 9;
  delta.age_ms = 10;
  SECTION("the age in a reply to an earlier pull is ignored") { delta.number = 0; }
  SECTION("the reply to the pull counts from the time of the pull") {
    delta.number = last_pull_of(fixture, wire::TableId::Objects);
  }
  const Timestamp pulled_at = fixture.environment.now();
  fixture.environment.world.run_for(30ms);
  fixture.core.objects.handle(PeerAddress("peer-0:1"), delta);
  if (delta.number == 0) {
    CHECK(fixture.core.objects.as_of() == before);
    return;
  }
  CHECK(fixture.core.objects.as_of() == pulled_at - 10ms);
}

TEST_CASE("a reader of a large fleet feeds the state of the store to the nodes that rely on it, each second") {
  std::unique_ptr<FeedFixture> fixture;
  for (char letter = 'a'; letter <= 'z'; ++letter) {
    fixture = std::make_unique<FeedFixture>(8, std::string(1, letter));
    if (fixture->core.controller->is_reader()) {
      break;
    }
  }
  REQUIRE(fixture->core.controller->is_reader());
  fixture->environment.world.run_for(2s);
  const std::size_t before = fixture->notices_sent();
  fixture->environment.world.run_for(5s);
  constexpr std::size_t kFed = 4;  // the others of its zone
  constexpr std::size_t kTables = 2;
  CHECK(fixture->notices_sent() - before >= 4 * kFed * kTables);
  CHECK(fixture->notices_sent() - before <= 6 * kFed * kTables);
}

TEST_CASE("a burst of changes costs a reader of a large fleet one call per 400 ms, not one per change") {
  std::unique_ptr<FeedFixture> fixture;
  for (char letter = 'a'; letter <= 'z'; ++letter) {
    fixture = std::make_unique<FeedFixture>(8, std::string(1, letter));
    if (fixture->core.controller->is_reader()) {
      break;
    }
  }
  REQUIRE(fixture->core.controller->is_reader());
  fixture->environment.world.run_for(2s);
  const std::size_t before = fixture->store.object_reads;
  constexpr int kChanges = 150;
  for (int change = 0; change < kChanges; ++change) {
    ++fixture->store.revision;
    fixture->environment.world.run_for(10ms);
  }
  CHECK(fixture->store.object_reads - before >= 2);
  CHECK(fixture->store.object_reads - before <= 6);
}

TEST_CASE("a starting node that knows a seed waits for a peer's feed, a seed does not") {
  const auto reads_within = [](Duration time, bool is_seed) {
    TestEnvironment environment;
    Counters counters;
    FakeBackends backends;
    quiet_store store{environment};
    NoDecisionLog log;
    node::NodeOptions options = FeedFixture::options();
    options.seeds = {PeerAddress(is_seed ? "self:1" : "peer-0:1")};
    options.controller.keep_within(4s);
    node::NodeCore core({environment, counters, nullptr, backends, store, log}, options);
    core.start();
    environment.world.run_for(time);
    return store.object_reads;
  };
  CHECK(reads_within(100ms, true) > 0);
  CHECK(reads_within(500ms, false) == 0);
  CHECK(reads_within(700ms, false) > 0);
}

TEST_CASE("while the store is unavailable, nodes that are not readers poll it rarely") {
  FeedFixture fixture(kFedFleet);
  REQUIRE_FALSE(fixture.core.controller->is_reader());
  fixture.environment.world.run_for(kLongestSilence);
  fixture.store.away = true;
  const std::size_t before = fixture.store.object_reads;
  fixture.environment.world.run_for(10s);
  CHECK(fixture.store.object_reads - before >= 2);
  CHECK(fixture.store.object_reads - before <= 6);
  fixture.store.away = false;
  fixture.environment.world.run_for(9s);
  CHECK(fixture.core.objects.age_ms() < 3000);
}

TEST_CASE(
    "a starting node that is fed by a peer in a large fleet does not read the store, even if it knows few members") {
  TestEnvironment environment;
  Counters counters;
  FakeBackends backends;
  quiet_store store{environment};
  NoDecisionLog log;
  node::NodeOptions options = FeedFixture::options();
  options.seeds = {PeerAddress("peer-0:1")};
  options.controller.keep_within(4s);
  node::NodeCore core({environment, counters, nullptr, backends, store, log}, options);
  core.start();
  const auto word = [&core, &store, &environment](std::uint32_t age_ms) {
    wire::TableDeltaT delta;
    delta.table = wire::TableId::Objects;
    delta.up_to = store.revision;
    core.objects.handle(PeerAddress("peer-0:1"), delta);
    hear_and_confirm(environment, core.objects, PeerAddress("peer-0:1"), store.revision, age_ms);
    core.machines.handle(PeerAddress("peer-0:1"), delta);
    hear_and_confirm(environment, core.machines, PeerAddress("peer-0:1"), store.revision, age_ms);
  };
  for (int step = 0; step < 9; ++step) {
    word(100);
    environment.world.run_for(500ms);
  }
  CHECK(store.object_reads == 0);
  environment.world.run_for(3s);  // no feed and start-up is over: the node knows few members, so it reads
  CHECK(store.object_reads > 0);
}

TEST_CASE("a relay forwards the readers' feed to its own zone, a node that is neither forwards nothing") {
  bool relay_seen = false;
  bool other_seen = false;
  for (char letter = 'a'; letter <= 'z'; ++letter) {
    FeedFixture fixture(16, std::string(1, letter));
    if (fixture.core.controller->is_reader()) {
      continue;
    }
    fixture.environment.world.run_for(kLongestSilence);
    fixture.environment.sent.clear();
    fixture.run_fed(3s, 100);
    const bool relayed = fixture.counters["platform_feeds_relayed_total"] > 0;
    relay_seen = relay_seen || relayed;
    other_seen = other_seen || !relayed;
    CHECK((fixture.notices_sent() > 0) == relayed);
    for (const SentMessage& message : fixture.environment.sent) {
      if (message.body.type == wire::Message::RevisionNotice) {
        const std::string& peer =
            message.to.str();  // for example "a3:1"; peers with even numbers are in this node's zone
        CHECK(std::stoi(peer.substr(1)) % 2 == 0);
      }
    }
  }
  CHECK(relay_seen);
  CHECK(other_seen);
}

TEST_CASE("a node that reads the store applies and lifts the evacuation of a zone, and its peers learn of both") {
  FeedFixture fixture(2);
  FeedFixture peer(2);
  fixture.store.evacuates = true;
  fixture.store.evacuated_zone = "y";
  fixture.store.evacuation_revision = 7;
  fixture.core.controller->start();
  const auto evacuated = [](FeedFixture& node) {
    return node.core.evacuations.table().list(config::kEvacuationKind).size();
  };
  const auto tell_peer = [&] {
    peer.core.evacuations.on_peer_revision(PeerAddress("self:1"), fixture.core.evacuations.table().revision());
    wire::TablePullT pull;
    pull.since = peer.core.evacuations.table().revision();
    pull.number = 1;
    fixture.core.evacuations.handle(PeerAddress("peer-1:1"), pull);
    peer.core.evacuations.handle(PeerAddress("self:1"), *fixture.environment.sent.back().body.AsTableDelta());
  };
  fixture.environment.world.run_for(1s);
  CHECK(evacuated(fixture) == 1);
  tell_peer();
  CHECK(evacuated(peer) == 1);
  fixture.store.evacuated_zone.clear();
  fixture.store.evacuation_revision = 9;
  fixture.environment.world.run_for(21s);
  CHECK(evacuated(fixture) == 0);
  tell_peer();
  CHECK(evacuated(peer) == 0);
}

TEST_CASE("a store without evacuations is not asked for evacuated zones") {
  FeedFixture fixture(2);
  fixture.environment.world.run_for(30s);
  CHECK(fixture.store.evacuation_reads == 0);
}

TEST_CASE("a node whose feed is overdue reads the evacuated zones, too") {
  FeedFixture fixture(kFedFleet);
  fixture.store.evacuates = true;
  fixture.environment.world.run_for(kLongestSilence + 100ms);
  CHECK(fixture.store.evacuation_reads > 0);
}
