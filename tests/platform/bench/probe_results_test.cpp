/// The runner began its traffic when each gateway had been asked once, whatever it had answered: one miss was not
/// enough to take it out, and nobody had put it in. Calls of the first second met gateways that did not listen yet, and
/// were counted as lost before an upgrade.
#include "probe_results.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck::users_platform::bench;

TEST_CASE("a gateway that was never ready takes no connections") {
  probe_results results;
  CHECK_FALSE(results.takes_connections("g"));
  results.note("g", false);
  CHECK_FALSE(results.takes_connections("g"));
}

TEST_CASE("a gateway that was ready is taken out by two misses in a row and comes back by one answer") {
  probe_results results;
  results.note("g", true);
  results.note("g", false);
  CHECK(results.takes_connections("g"));
  results.note("g", true);
  results.note("g", false);
  CHECK(results.takes_connections("g"));
  results.note("g", false);
  CHECK_FALSE(results.takes_connections("g"));
  results.note("g", true);
  CHECK(results.takes_connections("g"));
}
