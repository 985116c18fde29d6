#include <catch2/catch.hpp>

#include "simulation/driver.hpp"
#include "simulation/group_watch.hpp"
#include "simulation/support.hpp"

using namespace madderdeck;
using namespace madderdeck::simulation;

namespace {

wire::Bytes bytes_of(const std::string& text) { return {text.begin(), text.end()}; }

/// How many of the numbered keys the disk holds; those that it holds have to come first.
std::size_t count_kept(const SimStorage& storage, std::size_t keys) {
  std::size_t kept = 0;
  bool gap = false;
  for (std::size_t key = 0; key < keys; ++key) {
    const bool held = value_of(storage.get("key " + std::to_string(key))).has_value();
    CHECK_FALSE((held && gap));
    gap = gap || !held;
    kept += held ? 1 : 0;
  }
  return kept;
}

/// A fleet whose groups are watched.
class watched_fleet {
 public:
  explicit watched_fleet(std::uint64_t seed, ScheduleMix mix = ScheduleMix::series,
                         const node::Guards& guards = node::Guards())
      : world(seed),
        fleet(world, oracle, profile_for(mix, *find_profile("qasr")), guards),
        watch(world, fleet, oracle) {
    look_on();
    world.run_for(15s);
  }

  void restart_with_power_loss(const std::set<unsigned>& lost_disks) {
    watch.power_lost();
    for (unsigned node = 0; node < fleet.nodes.size(); ++node) {
      fleet.cut_power(node);
      if (lost_disks.contains(node)) {
        watch.disk_lost(node);
        fleet.empty_disk(node);
      }
    }
    world.run_for(500ms);
    for (unsigned node = 0; node < fleet.nodes.size(); ++node) {
      fleet.start_node(node);
    }
    world.run_for(kRecover + 1s);
  }

  void lose_disk(unsigned node) {
    watch.disk_lost(node);
    fleet.lose_disk(node);
  }

  bool has_violation(Promise promise) const {
    return std::any_of(oracle.violations().begin(), oracle.violations().end(),
                       [promise](const Violation& one) { return one.promise == promise; });
  }

  Oracle oracle;
  World world;
  SimFleet fleet;
  GroupWatch watch;

 private:
  void look_on() {
    watch.look();
    world.schedule(50ms, [this] { look_on(); });
  }
};

}  // namespace

TEST_CASE("a loss of power keeps a first part of the writes that were not flushed, a kill keeps all") {
  constexpr std::size_t kFlushed = 5;
  constexpr std::size_t kWrites = 20;
  std::set<std::size_t> kept;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    World world(seed);
    SimProcess process(world);
    process.start();
    SimStorage storage(world, process);
    for (std::size_t key = 0; key < kWrites; ++key) {
      if (key == kFlushed) {
        storage.flush([](const Status&) {});
        world.run_for(10ms);
      }
      storage.put("key " + std::to_string(key), bytes_of("value"));
    }
    process.crash();
    CHECK(count_kept(storage, kWrites) == kWrites);
    storage.lose_power();
    kept.insert(count_kept(storage, kWrites));
  }
  CHECK(*kept.begin() == kFlushed);
  CHECK(*kept.rbegin() == kWrites);
  CHECK(kept.size() > 5);
}

TEST_CASE("a loss of power between two writes of one record leaves the earlier one") {
  std::set<std::string> left;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    World world(seed);
    SimProcess process(world);
    process.start();
    SimStorage storage(world, process);
    storage.put("key", bytes_of("first"));
    storage.put("key", bytes_of("second"));
    storage.lose_power();
    const auto value = value_of(storage.get("key"));
    left.insert(value ? std::string(value->begin(), value->end()) : "nothing");
  }
  CHECK(left == std::set<std::string>{"first", "nothing", "second"});
}

TEST_CASE("a link that is down one way lets messages pass the other way") {
  Oracle oracle;
  World world(1);
  SimFleet fleet(world, oracle, *find_profile("qasr"), node::Guards());
  fleet.conditions.one_way_cuts.insert({0, 1});
  CHECK(fleet.cut_from_to(0, 1));
  CHECK_FALSE(fleet.cut_from_to(1, 0));
  CHECK(fleet.is_cut_off(0));
  CHECK(fleet.is_cut_off(1));
  CHECK_FALSE(fleet.is_cut_off(2));
}

TEST_CASE("a machine that replaces another one at another address takes its place in the groups") {
  watched_fleet site(1);
  site.watch.machine_removed(1);
  const unsigned successor = site.fleet.replace_machine(1);
  site.fleet.start_node(successor);
  site.world.run_for(kRecover + 1s);
  site.fleet.observe_disk(successor);
  CHECK(site.fleet.nodes[successor]->disk_whole);
  CHECK_FALSE(site.fleet.nodes[1]->process.up());
  CHECK(site.oracle.violations().empty());
}

TEST_CASE("the oracle tells of a group that had a majority of whole copies and cannot vote any more") {
  watched_fleet site(2);
  site.restart_with_power_loss({0});
  CHECK(site.oracle.violations().empty());
  site.world.run_for(kCatchUp);
  CHECK(site.watch.may_lose_disk(1));
  site.restart_with_power_loss({0, 1});  // one more than is allowed
  CHECK(site.has_violation(Promise::group_stays_readable));
}

TEST_CASE("the same seed gives the same trace of losses in series") {
  const Profile profile = profile_for(ScheduleMix::series, *find_profile("qasr"));
  const auto run = [&profile](std::uint64_t seed) {
    return run_schedule(seed, make_schedule(seed, 60, ScheduleMix::series), profile, node::Guards()).trace_hash;
  };
  const std::uint64_t first = run(3);
  CHECK(first == run(3));
  CHECK(first != run(5));
}

TEST_CASE("a group that has taken a new disk in within the time to catch up bears the next loss") {
  watched_fleet site(4, ScheduleMix::isolation);
  site.lose_disk(1);
  site.world.run_for(kCatchUp + 1s);
  CHECK(site.oracle.violations().empty());
}

TEST_CASE("the oracle tells of each group that has not taken a new disk in within the time to catch up") {
  node::Guards guards;
  guards.copies_arrive = false;
  watched_fleet site(4, ScheduleMix::isolation, guards);
  site.lose_disk(1);
  site.world.run_for(kCatchUp - 100ms);
  CHECK(site.oracle.violations().empty());
  site.world.run_for(200ms);
  REQUIRE(site.has_violation(Promise::successor_taken_in));
  const std::string& detail = site.oracle.violations().front().detail;
  CHECK(detail.find("group 0 ") != std::string::npos);
  CHECK(detail.find("epoch 2") != std::string::npos);
  CHECK(detail.find("since ") != std::string::npos);
}

TEST_CASE("a gateway that reaches no disk is away itself, one that reaches some shows that the others are cut off") {
  Oracle oracle;
  World world(1);
  SimFleet fleet(world, oracle, *find_profile("qasr"), node::Guards());
  for (const unsigned disk : {0U, 1U}) {
    fleet.conditions.cuts.insert({disk, 3});
  }
  CHECK(fleet.is_apart(0));
  fleet.conditions.cuts.insert({2, 3});
  CHECK_FALSE(fleet.is_apart(0));
  CHECK(fleet.is_cut_off(3));
  fleet.conditions.cuts.insert({0, 1});
  CHECK(fleet.is_apart(0));
  CHECK_FALSE(fleet.is_apart(2));
}

TEST_CASE("a node whose seeds are stale is found once they are corrected") {
  watched_fleet site(6, ScheduleMix::isolation);
  constexpr unsigned kNode = 1;
  site.watch.machine_removed(kNode);
  const unsigned successor = site.fleet.replace_machine(kNode);
  site.fleet.make_seeds_stale(successor);
  site.fleet.start_node(successor);
  site.world.run_for(10s);
  CHECK(site.fleet.core(successor).members.live_count() == 1);
  CHECK(site.oracle.violations().empty());  // it cannot know anybody, nor they it
  site.fleet.correct_seeds(successor);
  site.world.run_for(kCatchUp + 1s);
  CHECK(site.fleet.core(successor).members.live_count() > 1);
  CHECK(site.oracle.violations().empty());
}

TEST_CASE("the same seed gives the same trace of losses beside nodes that find or reach few") {
  const Profile profile = profile_for(ScheduleMix::isolation, *find_profile("qasr"));
  const auto run = [&profile](std::uint64_t seed) {
    return run_schedule(seed, make_schedule(seed, 60, ScheduleMix::isolation), profile, node::Guards()).trace_hash;
  };
  const std::uint64_t first = run(8);
  CHECK(first == run(8));
  CHECK(first != run(9));
}
