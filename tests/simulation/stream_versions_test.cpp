#include <catch2/catch.hpp>

#include "simulation/driver.hpp"

using namespace madderdeck;
using namespace madderdeck::simulation;

// Guards against streams that were continued by a back end of another software version, by their gateway or at another
// one.
TEST_CASE("streams went on at another software version than the one that began them") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    const auto schedule = make_schedule(seed, 120, ScheduleMix::versions);
    const RunResult result =
        run_schedule(seed, schedule, profile_for(ScheduleMix::versions, *find_profile("qasr")), node::Guards());
    for (const Violation& violation : result.violations) {
      INFO(violation.detail);
      CHECK(violation.promise != Promise::stream_keeps_version);
    }
    CHECK(result.counts.streams_resumed > 0);
  }
}
