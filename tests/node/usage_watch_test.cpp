#include "node/usage_watch.hpp"

#include <catch2/catch.hpp>

#include "support/kept_lines.hpp"

using namespace madderdeck;
using namespace madderdeck::node;

namespace {

struct watch_fixture {
  Counters counters;
  tests::kept_lines lines;
  usage_watch watch{counters, lines};
  bool shows(const std::string& gauge) const { return counters.values().contains(gauge); }
};

}  // namespace

// Guards against a process that ends at its limit without a line before it.
TEST_CASE("three quarters of a limit in use are logged once, and once that they are free again") {
  watch_fixture fixture;
  for (const std::int64_t used : {10, 74, 75, 80, 99, 74, 70, 76, 69, 60, 74}) {
    fixture.watch.note(process_resource::descriptors, {used, 100});
  }
  REQUIRE(fixture.lines.lines.size() == 2);
  CHECK(fixture.lines.lines.at(0) == "process_limit_near resource=descriptors used=75 limit=100 percent=75");
  CHECK(fixture.lines.lines.at(1) == "process_limit_eased resource=descriptors used=69 limit=100 percent=69");
  CHECK(fixture.counters["process_limits_near_total"] == 1);
  CHECK(fixture.counters["process_descriptors"] == 74);
  CHECK(fixture.counters["process_descriptors_limit"] == 100);
}

TEST_CASE("resources near their limits are told apart") {
  watch_fixture fixture;
  fixture.watch.note(process_resource::memory_bytes, {90, 100});
  fixture.watch.note(process_resource::threads, {90, 100});
  fixture.watch.note(process_resource::memory_bytes, {10, 100});
  CHECK(fixture.lines.count("process_limit_near") == 2);
  CHECK(fixture.lines.count("process_limit_eased") == 1);
}

// Guards against a use that nobody can read and that is shown as none.
TEST_CASE("a value that is not known is not shown as zero") {
  watch_fixture fixture;
  fixture.watch.note(process_resource::threads, {std::nullopt, 100});
  CHECK_FALSE(fixture.shows("process_threads"));
  fixture.watch.note(process_resource::threads, {99, std::nullopt});
  CHECK(fixture.counters["process_threads"] == 99);
  CHECK(fixture.counters["process_threads_limit"] == usage_watch::kUnknown);
  fixture.watch.note(process_resource::threads, {std::nullopt, std::nullopt});
  CHECK(fixture.counters["process_threads"] == usage_watch::kUnknown);
  CHECK(fixture.lines.lines.empty());
}

TEST_CASE("of two limits the smaller one counts") {
  CHECK(smaller_limit(3, 4) == 3);
  CHECK(smaller_limit(4, 3) == 3);
  CHECK(smaller_limit(std::nullopt, 3) == 3);
  CHECK(smaller_limit(3, std::nullopt) == 3);
  CHECK(smaller_limit(std::nullopt, std::nullopt) == std::nullopt);
}
