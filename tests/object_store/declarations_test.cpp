#include "object_store/declarations.hpp"

#include <catch2/catch.hpp>

#include "emulator/platform_model.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::object_store;
using madderdeck::tests::TestEnvironment;

namespace {
/// A store whose next requests or replies can be lost.
class FlakyStore : public PlatformClient {
 public:
  explicit FlakyStore(TestEnvironment& environment) : environment_(environment), table(environment) {}
  void watch_objects(std::uint64_t, Duration, ChangesDone) override {}
  void watch_machines(std::uint64_t, Duration, ChangesDone) override {}
  void get(const config::EntryKey& key, GetDone done) override {
    environment_.after(1ms, [this, key, done] {
      const StoredObject* found = table.find(key);
      done(found == nullptr ? std::optional<StoredObject>() : std::optional(*found));
    });
  }
  void put(const PutRequest& request, PutDone done) override {
    environment_.after(1ms, [this, request, done] {
      Result<std::uint64_t> result = Error{ErrorKind::ambiguous, "lost before"};
      if (lose_requests == 0) {
        result = emulator::compare_and_set(table, request);
      }
      lose_requests -= lose_requests > 0 ? 1 : 0;
      if (lose_answers > 0) {
        --lose_answers;
        result = Error{ErrorKind::ambiguous, "lost after"};
      }
      done(result);
    });
  }
  TestEnvironment& environment_;
  emulator::WatchedTable table;
  int lose_requests = 0;
  int lose_answers = 0;
};

struct DeclarationFixture {
  Result<std::uint64_t> declare(std::uint64_t expected) {
    Result<std::uint64_t> outcome = Error{ErrorKind::cancelled, "no outcome"};
    PutRequest request;
    request.key = {"template", "t"};
    request.expected_revision = expected;
    declarations.declare(request, [&outcome](const Result<std::uint64_t>& result) { outcome = result; });
    environment.world.run_for(10s);
    return outcome;
  }
  TestEnvironment environment;
  Counters counters;
  FlakyStore store{environment};
  Declarations declarations{environment, counters, store};
};
}  // namespace

TEST_CASE("the outcome of a write whose reply was lost is determined by reading back") {
  DeclarationFixture fixture;
  fixture.store.lose_answers = 1;
  const auto outcome = fixture.declare(0);
  REQUIRE(succeeded(outcome));
  CHECK(value_of(outcome) == 1);
  CHECK(fixture.store.table.revision() == 1);
}

TEST_CASE("a write request that was lost is sent again and takes effect once") {
  DeclarationFixture fixture;
  fixture.store.lose_requests = 2;
  REQUIRE(succeeded(fixture.declare(0)));
  CHECK(fixture.store.table.revision() == 1);
}

TEST_CASE("a write that loses a race reports the current revision") {
  DeclarationFixture fixture;
  REQUIRE(succeeded(fixture.declare(0)));
  const auto outcome = fixture.declare(0);
  REQUIRE_FALSE(succeeded(outcome));
  CHECK(error_of(outcome).kind == ErrorKind::conflict);
  CHECK(error_of(outcome).detail.find("revision 1") != std::string::npos);
}
