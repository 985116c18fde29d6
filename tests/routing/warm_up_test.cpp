#include "routing/warm_up.hpp"

#include <catch2/catch.hpp>

#include "routing/registry.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::routing;

namespace {

constexpr double kPerSecond = 5.2;

struct warm_up_fixture {
  warm_up_fixture() { registry.set_warm_up("m", {3s, kPerSecond}); }
  void list(const std::string& name, std::uint32_t warm_up_left_ms, const std::string& zone = "z",
            std::uint64_t started_ms = 0) {
    config::Machine machine;
    machine.pools = {"m"};
    machine.zone = zone;
    machine.slots = 8;
    machine.warm_up_left_ms = warm_up_left_ms;
    machine.started_unix_ms = started_ms;
    const std::uint64_t next = table.revision() + 1;
    const config::EntryKey key{config::kMachineKind, name};
    registry.update(table, table.apply(next - 1, next, {{key, config::format_machine(machine), next, false}}));
  }
  std::size_t usable() { return registry.candidates("m").size(); }
  std::size_t warming() { return registry.warming("m").size(); }

  tests::TestEnvironment environment;
  Counters counters;
  config::VersionedTable table;
  Registry registry{environment, counters, "node", {true, true, false}};
};

}  // namespace

TEST_CASE("a back end that warms up gets at most its limit of requests in any second") {
  warm_up_pace pace;
  const BackendId engine("engine");
  std::vector<Timestamp> allowed;
  for (Timestamp now = 0ms; now < 10s; now += 7ms) {
    if (pace.allows(engine, kPerSecond, now)) {
      pace.count(engine, now);
      allowed.push_back(now);
    }
    pace.forget_old(now);
  }
  for (std::size_t first = 0; first + 5 < allowed.size(); ++first) {
    CHECK(allowed[first + 5] - allowed[first] >= 1s);
  }
  CHECK(allowed.size() >= 40);
}

TEST_CASE("a back end with a limit below one request a second still gets single requests") {
  warm_up_pace pace;
  const BackendId engine("engine");
  CHECK(pace.allows(engine, 0.3, 0ms));
  pace.count(engine, 0ms);
  CHECK_FALSE(pace.allows(engine, 0.3, 500ms));
  CHECK(pace.allows(engine, 0.3, 2s));
}

TEST_CASE("a back end that warms up is not among the candidates until its warm-up is over") {
  warm_up_fixture fixture;
  fixture.list("warm", 0);
  fixture.list("cold", 2000);
  CHECK(fixture.usable() == 1);
  CHECK(fixture.warming() == 1);
  fixture.list("warm", 1000);  // a back end may start to warm up again at any time
  CHECK(fixture.usable() == 0);
  CHECK(fixture.warming() == 2);
  fixture.environment.world.run_for(2001ms);
  CHECK(fixture.usable() == 2);
  CHECK(fixture.warming() == 0);
}

TEST_CASE("back ends of a pool without a warm-up limit are used immediately") {
  warm_up_fixture fixture;
  fixture.registry.set_warm_up("m", {3s, 0});
  fixture.list("cold", 2000);
  CHECK(fixture.usable() == 1);
  CHECK(fixture.warming() == 0);
}

TEST_CASE("a back end that restarted or could not be reached is treated as warming up") {
  warm_up_fixture fixture;
  fixture.list("engine", 0, "z", 7);
  fixture.list("other", 0);
  SECTION("started anew") { fixture.list("engine", 0, "z", 8); }
  SECTION("not reached") { fixture.registry.on_failure(BackendId("engine"), CallFailure::not_sent); }
  CHECK(fixture.usable() == 1);
  fixture.environment.world.run_for(3001ms);
  CHECK(fixture.usable() == 2);
}

TEST_CASE("the back ends of an evacuated zone get no requests, and warm up when the evacuation is over") {
  warm_up_fixture fixture;
  fixture.list("here", 0, "here");
  fixture.list("there", 0, "there");
  fixture.registry.set_evacuated({"here"});
  CHECK(fixture.usable() == 1);
  CHECK_FALSE(fixture.registry.open(*fixture.registry.find(BackendId("here"))));
  fixture.registry.set_evacuated({});
  CHECK(fixture.usable() == 1);
  CHECK(fixture.warming() == 1);
  fixture.environment.world.run_for(3001ms);
  CHECK(fixture.usable() == 2);
}
