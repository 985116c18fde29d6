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

TEST_CASE("calls that break together share one check of the back end") {
  detector_fixture fixture;
  fixture.breaks("engine-1");
  fixture.breaks("engine-1");
  REQUIRE(fixture.backends.checks.size() == 1);
  fixture.backends.checks[0].done(reachability::refused);
  CHECK(fixture.verdicts == std::vector<bool>{true, true});
  fixture.breaks("engine-1");  // reported a little later, caused by the same termination
  CHECK(fixture.backends.checks.size() == 1);
  CHECK(fixture.verdicts.size() == 3);
  CHECK(fixture.counters["backend_ends_seen_total"] == 1);
}

TEST_CASE("a back end that accepts connections or does not answer has not terminated") {
  detector_fixture fixture;
  fixture.breaks("engine-1");
  fixture.backends.checks.at(0).done(reachability::listening);
  fixture.environment.world.run_for(end_detector::kSecondCheckDelay);
  REQUIRE(fixture.backends.checks.size() == 2);
  fixture.backends.checks.at(1).done(reachability::listening);
  CHECK(fixture.verdicts == std::vector<bool>{false});
  fixture.breaks("engine-2");
  fixture.environment.world.run_for(end_detector::kCheckTimeout);
  CHECK(fixture.verdicts == std::vector<bool>{false, false});
  fixture.backends.checks.at(2).done(reachability::refused);  // too late to attribute it to a termination
  CHECK(fixture.verdicts.size() == 2);
}

TEST_CASE("a termination is not remembered longer than a back end needs to restart") {
  detector_fixture fixture;
  fixture.breaks("engine-1");
  fixture.backends.checks.at(0).done(reachability::refused);
  fixture.environment.world.run_for(end_detector::kSameEndWindow + 1ms);
  fixture.breaks("engine-1");
  CHECK(fixture.backends.checks.size() == 2);
}

// Guards against a request that crashes eight engines instead of three. A terminating process closes its sockets one
// after the other: its connections were reset, a gateway could still connect to its address, and a millisecond later
// another gateway was refused. The log event 'backend_checked' then shows both 'listening' and 'refused' for one
// termination.
TEST_CASE("a back end that still accepts a connection while it terminates has terminated") {
  detector_fixture fixture;
  fixture.breaks("engine-1");
  fixture.backends.checks.at(0).done(reachability::listening);
  CHECK(fixture.verdicts.empty());
  fixture.environment.world.run_for(end_detector::kSecondCheckDelay);
  REQUIRE(fixture.backends.checks.size() == 2);
  fixture.backends.checks.at(1).done(reachability::refused);
  CHECK(fixture.verdicts == std::vector<bool>{true});
}

// Guards against a termination that is not counted: the connection of a call breaks for another reason, the engine
// continues to run the request and crashes from it 20 to 110 ms later, after the checks have found it listening. This
// is the likely cause of a run in which only four of seven terminations were counted.
TEST_CASE("a back end that terminates shortly after a connection to it broke is detected") {
  detector_fixture fixture;
  std::vector<std::string> late;
  fixture.detector.on_late_end = [&late](const routing::broken_call& call) { late.push_back(call.id); };
  fixture.breaks("engine-1");
  fixture.backends.checks.at(0).done(reachability::listening);
  fixture.environment.world.run_for(end_detector::kSecondCheckDelay);
  fixture.backends.checks.at(1).done(reachability::listening);
  CHECK(fixture.verdicts == std::vector<bool>{false});  // the call need not wait for the late check
  fixture.environment.world.run_for(end_detector::kLateCheckDelay);
  REQUIRE(fixture.backends.checks.size() == 3);
  SECTION("it has terminated") {
    fixture.backends.checks.at(2).done(reachability::refused);
    CHECK(late == std::vector<std::string>{"r1"});
  }
  SECTION("it still runs, and is not checked again") {
    fixture.backends.checks.at(2).done(reachability::listening);
    fixture.environment.world.run_for(5s);
    CHECK(late.empty());
    CHECK(fixture.backends.checks.size() == 3);
  }
  CHECK(fixture.verdicts.size() == 1);
}
