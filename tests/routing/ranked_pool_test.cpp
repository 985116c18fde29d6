#include "routing/ranked_pool.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

#include "common/hash.hpp"
#include "routing/registry.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::routing;

// A node learns of the back ends of a large fleet a few at a time. Ranking all known back ends again for each new one
// took minutes of processor time with 10,000 back ends, so the fleet was not ready when its traffic arrived.
TEST_CASE("a node that learns of 10,000 back ends one by one chooses the same subset as from the whole list") {
  constexpr unsigned kBackEnds = 10'000;
  constexpr std::uint32_t kUsed = 16;
  tests::TestEnvironment environment;
  Counters counters;
  config::VersionedTable table;
  Registry registry(environment, counters, "node", {true, true, false});
  registry.set_subset_size(kUsed);
  std::vector<std::string> ids;
  for (unsigned number = 1; number <= kBackEnds; ++number) {
    const config::EntryKey key{config::kMachineKind, "engine-" + std::to_string(number)};
    ids.push_back(key.name);
    registry.update(table, table.apply(number - 1, number, {{key, R"({"pool":"m","slots":4})", number, false}}));
  }
  std::sort(ids.begin(), ids.end(), [](const std::string& left, const std::string& right) {
    return rendezvous_weight("node", left) > rendezvous_weight("node", right);
  });
  const std::vector<Backend*> used = registry.candidates("m");
  REQUIRE(used.size() == kUsed);
  for (std::size_t position = 0; position < kUsed; ++position) {
    CHECK(used[position]->machine.id.str() == ids[position]);
  }
  CHECK(registry.pool_size("m") == kBackEnds);
}

TEST_CASE("a back end that is no longer listed counts as a member until it is removed") {
  Backend listed;
  listed.machine.id = BackendId("a");
  Backend lapsed;
  lapsed.machine.id = BackendId("b");
  lapsed.unlisted = lapse{};
  ranked_pool pool;
  pool.add(1, listed);
  pool.add(1, lapsed);
  pool.add(1, lapsed);  // added twice, as by an entry that names its pool twice
  CHECK(pool.size() == 2);
  CHECK(pool.listed() == 1);
  pool.remove(1, lapsed);
  pool.remove(1, lapsed);
  CHECK(pool.size() == 1);
  CHECK(pool.listed() == 1);
}
