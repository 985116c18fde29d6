#include "object_store/sole_deciders.hpp"

#include <catch2/catch.hpp>

#include "emulator/platform_model.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::object_store;
using madderdeck::tests::TestEnvironment;

namespace {

const ledger::ReplicaIdentity kA{NodeId("a"), DiskId("disk-a")};
const ledger::ReplicaIdentity kB{NodeId("b"), DiskId("disk-b")};

/// A store that may be unavailable, and whose replies may be lost.
class unreliable_store : public PlatformClient {
 public:
  explicit unreliable_store(TestEnvironment& environment) : environment_(environment), table(environment) {}
  void watch_objects(std::uint64_t, Duration, ChangesDone) override {}
  void watch_machines(std::uint64_t, Duration, ChangesDone) override {}
  void get(const config::EntryKey& key, GetDone done) override {
    if (drop_reads) {
      return;
    }
    environment_.after(1ms, [this, key, done] {
      if (away) {
        done(Error{ErrorKind::unavailable, "away"});
        return;
      }
      const StoredObject* found = table.find(key);
      done(found == nullptr ? std::optional<StoredObject>() : std::optional(*found));
    });
  }
  void put(const PutRequest& request, PutDone done) override {
    if (drop_writes) {
      return;
    }
    environment_.after(1ms, [this, request, done] {
      if (away) {
        done(Error{ErrorKind::unavailable, "away"});
        return;
      }
      Result<std::uint64_t> result = emulator::compare_and_set(table, request);
      done(lose_answers-- > 0 ? Result<std::uint64_t>(Error{ErrorKind::ambiguous, "lost"}) : result);
    });
  }
  TestEnvironment& environment_;
  emulator::WatchedTable table;
  int lose_answers = 0;
  bool away = false;
  bool drop_reads = false;   ///< Reads get no reply, not even an error.
  bool drop_writes = false;  ///< Writes get no reply, not even an error.
};

struct decider_fixture {
  std::optional<Status> ask(const ledger::ReplicaIdentity& member, std::uint64_t epoch = 7) {
    std::optional<Status> outcome;
    deciders.grant(0, epoch, member, [&outcome](const Status& status) { outcome = status; });
    environment.world.run_for(10s);
    return outcome;
  }
  TestEnvironment environment;
  Counters counters;
  unreliable_store store{environment};
  Declarations declarations{environment, counters, store};
  sole_deciders deciders{environment, declarations, store};
};

}  // namespace

TEST_CASE("one of two members is named the sole decider of an epoch, permanently") {
  decider_fixture fixture;
  REQUIRE(succeeded(*fixture.ask(kA)));
  const auto other = fixture.ask(kB);
  REQUIRE_FALSE(succeeded(*other));
  CHECK(error_of(*other).kind == ErrorKind::conflict);
  CHECK(succeeded(*fixture.ask(kA)));
}

TEST_CASE("each epoch has its own sole decider") {
  decider_fixture fixture;
  REQUIRE(succeeded(*fixture.ask(kA, 7)));
  CHECK(succeeded(*fixture.ask(kB, 8)));
}

TEST_CASE("a lost reply of the store neither grants twice nor loses the grant") {
  decider_fixture fixture;
  fixture.store.lose_answers = 1;
  CHECK(succeeded(*fixture.ask(kA)));
  CHECK_FALSE(succeeded(*fixture.ask(kB)));
}

TEST_CASE("no member is granted the decision while the store is unavailable, and one is afterwards") {
  decider_fixture fixture;
  fixture.store.away = true;
  CHECK_FALSE(succeeded(*fixture.ask(kA)));
  fixture.store.away = false;
  CHECK(succeeded(*fixture.ask(kB)));
  CHECK_FALSE(succeeded(*fixture.ask(kA)));
}

// The requester does not change the group until the reply arrives, so without a reply it would wait
// forever.
TEST_CASE("a request for a grant ends even if the store never replies") {
  decider_fixture fixture;
  fixture.store.drop_writes = true;
  const auto unwritten = fixture.ask(kA);
  REQUIRE(unwritten);
  CHECK_FALSE(succeeded(*unwritten));
  fixture.store.drop_writes = false;
  REQUIRE(succeeded(*fixture.ask(kA)));
  fixture.store.drop_reads = true;
  const auto unread = fixture.ask(kA);
  REQUIRE(unread);
  CHECK_FALSE(succeeded(*unread));
  fixture.store.drop_reads = false;
  CHECK(succeeded(*fixture.ask(kA)));
}
