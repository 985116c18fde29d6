#include "quarantine/end_detector.hpp"

#include <catch2/catch.hpp>

#include "support/fake_backends.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::quarantine;
using madderdeck::routing::reachability;

namespace {

struct detector_fixture {
  void breaks(const std::string& backend) {
    detector.call_broke({routing::fingerprint_of({"tenant", "POST", "/path", "body"}), "r1", BackendId(backend)},
                        [this](bool ended) { verdicts.push_back(ended); });
  }

  tests::TestEnvironment environment;
  Counters counters;
  NoDecisionLog log;
  tests::FakeBackends backends;
  end_detector detector{environment, counters, log, backends};
  std::vector<bool> verdicts;
};

}  // namespace

TEST_CASE("calls that broke together share one question about the back end") {
  detector_fixture fixture;
  fixture.breaks("engine-1");
  fixture.breaks("engine-1");
  REQUIRE(fixture.backends.checks.size() == 1);
  fixture.backends.checks[0].done(reachability::refused);
  CHECK(fixture.verdicts == std::vector<bool>{true, true});
  fixture.breaks("engine-1");  // a little later, of the same end
  CHECK(fixture.backends.checks.size() == 1);
  CHECK(fixture.verdicts.size() == 3);
  CHECK(fixture.counters["backend_ends_seen_total"] == 1);
}

TEST_CASE("a back end that takes connections or says nothing has not ended") {
  detector_fixture fixture;
  fixture.breaks("engine-1");
  fixture.backends.checks.at(0).done(reachability::listening);
  fixture.environment.world.run_for(end_detector::kSecondLook);
  REQUIRE(fixture.backends.checks.size() == 2);
  fixture.backends.checks.at(1).done(reachability::listening);
  CHECK(fixture.verdicts == std::vector<bool>{false});
  fixture.breaks("engine-2");
  fixture.environment.world.run_for(end_detector::kPatience);
  CHECK(fixture.verdicts == std::vector<bool>{false, false});
  fixture.backends.checks.at(2).done(reachability::refused);  // too late to tell which end it is
  CHECK(fixture.verdicts.size() == 2);
}

TEST_CASE("an end is not remembered longer than a back end needs to start again") {
  detector_fixture fixture;
  fixture.breaks("engine-1");
  fixture.backends.checks.at(0).done(reachability::refused);
  fixture.environment.world.run_for(end_detector::kSameEnd + 1ms);
  fixture.breaks("engine-1");
  CHECK(fixture.backends.checks.size() == 2);
}

// Symptom: a request ended eight engines instead of three. Sequence: the engine's connections were reset, the gateway
// asked its address for a connection and got one, a millisecond later another gateway was refused. Cause: a process
// that ends closes what it has open one after the other. Evidence: 'backend_checked' says 'listening' and 'refused' of
// one end.
TEST_CASE("a back end that still takes a connection while it ends has ended") {
  detector_fixture fixture;
  fixture.breaks("engine-1");
  fixture.backends.checks.at(0).done(reachability::listening);
  CHECK(fixture.verdicts.empty());
  fixture.environment.world.run_for(end_detector::kSecondLook);
  REQUIRE(fixture.backends.checks.size() == 2);
  fixture.backends.checks.at(1).done(reachability::refused);
  CHECK(fixture.verdicts == std::vector<bool>{true});
}

// The connection of a call breaks by itself, the engine goes on with the request and ends by it 20 to 110 ms later; it
// was asked only while it still took connections, so the end was not counted. Inferred from an earlier finding (seven
// ends, four seen); its schedule was not traced again.
TEST_CASE("a back end that ends a moment after a connection to it broke is noticed") {
  detector_fixture fixture;
  std::vector<std::string> late;
  fixture.detector.on_late_end = [&late](const routing::broken_call& call) { late.push_back(call.id); };
  fixture.breaks("engine-1");
  fixture.backends.checks.at(0).done(reachability::listening);
  fixture.environment.world.run_for(end_detector::kSecondLook);
  fixture.backends.checks.at(1).done(reachability::listening);
  CHECK(fixture.verdicts == std::vector<bool>{false});  // the call goes on at once
  fixture.environment.world.run_for(end_detector::kLateLook);
  REQUIRE(fixture.backends.checks.size() == 3);
  SECTION("it has ended") {
    fixture.backends.checks.at(2).done(reachability::refused);
    CHECK(late == std::vector<std::string>{"r1"});
  }
  SECTION("it goes on, and is not asked again") {
    fixture.backends.checks.at(2).done(reachability::listening);
    fixture.environment.world.run_for(5s);
    CHECK(late.empty());
    CHECK(fixture.backends.checks.size() == 3);
  }
  CHECK(fixture.verdicts.size() == 1);
}
