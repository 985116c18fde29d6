#include "start_times.hpp"

#include <catch2/catch.hpp>

#include <numeric>

using namespace madderdeck::users_platform::bench;

TEST_CASE("start times: a start is counted from the end of its cause, at its own node only") {
  const std::vector<cause_end> causes = {{"a", 1'000, 2'000, ""}, {"b", 1'000, 2'000, ""}, {"c", 1'000, 2'000, ""}};
  const std::vector<started_line> lines = {{"a", 500}, {"a", 2'240}, {"a", 9'000}, {"b", 1'500}, {"d", 2'001}};
  const start_histogram counts = start_times_of(outcomes_of(causes, lines));
  CHECK(counts.started[1] == 1);  // 240 ms
  CHECK(std::accumulate(counts.started.begin(), counts.started.end(), std::uint64_t{0}) == 1);
  CHECK(counts.during == 1);
  CHECK(counts.none == 1);
  CHECK(counts.longest_ms == 240);
}

TEST_CASE("start times: one later than all classes has a place of its own") {
  const start_histogram counts = start_times_of(outcomes_of({{"a", 0, 0, ""}}, {{"a", 8'001}}));
  CHECK(counts.started.back() == 1);
  CHECK(counts.longest_ms == 8'001);
}

TEST_CASE("start times: only whole lines about a start count") {
  CHECK(parse_started_line("a", R"({"time_ms":12,"level":"info","event":"node_started"})")->at_unix_ms == 12);
  CHECK_FALSE(parse_started_line("a", R"({"time_ms":12,"event":"node_not_started"})"));
  CHECK_FALSE(parse_started_line("a", R"({"time_ms":12,"event":"node_started")"));
  CHECK_FALSE(parse_started_line("a", "node_started"));
}
