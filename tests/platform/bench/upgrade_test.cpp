#include "upgrade.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace madderdeck::users_platform::bench;

TEST_CASE("upgrades of consecutive seeds go the whole way, half-way and back, planned or not, the same each time") {
  std::map<std::pair<upgrade_extent, bool>, unsigned> drawn;
  for (std::uint64_t seed = 0; seed < 16; ++seed) {
    const upgrade_plan plan = draw_upgrade(seed);
    CHECK(plan == draw_upgrade(seed));
    ++drawn[{plan.extent, plan.planned}];
  }
  for (const bool planned : {true, false}) {
    CHECK(drawn[{upgrade_extent::whole, planned}] == 4);
    CHECK(drawn[{upgrade_extent::half, planned}] == 2);
    CHECK(drawn[{upgrade_extent::back, planned}] == 2);
  }
}
