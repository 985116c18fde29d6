/// Guards against a return that is late without a line that says what it waited for.
#include "node/start_progress.hpp"

#include <catch2/catch.hpp>

#include "support/kept_lines.hpp"

using namespace madderdeck;
using namespace madderdeck::node;

TEST_CASE("a start tells what it waited for, for how long, and when it answered") {
  Counters counters;
  tests::kept_lines lines;
  const Timestamp began{10s};
  start_progress progress("n", began, counters, lines);
  progress.look(began + 50ms, start_need::configuration, 0);
  progress.look(began + 600ms, start_need::configuration, 0);
  progress.look(began + 1'100ms, start_need::machines, 0);
  progress.look(began + 1'500ms, start_need::machines, 0);
  progress.look(began + 1'600ms, std::nullopt, 0);
  progress.look(began + 1'700ms, start_need::own_records, 0);
  progress.look(began + 2'500ms, std::nullopt, 0);
  CHECK_FALSE(progress.is_over());
  progress.look(began + 2'600ms, std::nullopt, 3);
  CHECK(progress.is_over());
  progress.look(began + 9'000ms, start_need::drain, 4);
  CHECK(lines.lines ==
        std::vector<std::string>{
            "start_waits_for node=n need=machines since_start_ms=1100 waited_ms=configuration 600, machines 500",
            "start_ready node=n since_start_ms=1600 waited_ms=configuration 600, machines 900",
            "first_request_answered node=n since_start_ms=2600 was_ready=true"});
  CHECK(counters["start_waited_configuration_ms"] == 600);
  CHECK(counters["start_waited_machines_ms"] == 900);
  CHECK(counters["start_ready_ms"] == 1'600);
  CHECK(counters["start_served_ms"] == 2'600);
}

TEST_CASE("a start that waits for long has a line after 1, 2, 4 and 8 seconds") {
  Counters counters;
  tests::kept_lines lines;
  const Timestamp began{0s};
  start_progress progress("n", began, counters, lines);
  for (Duration since = 50ms; since <= 10s; since += 50ms) {
    progress.look(began + since, start_need::groups, 0);
  }
  CHECK(lines.lines.size() == 4);
  CHECK(counters["start_waited_groups_ms"] == 10'000);
}
