/// Machines with a disk that are replaced as planned: the successor starts first, then the old one is told to stop.
#include <catch2/catch.hpp>

#include "simulation/driver.hpp"
#include "simulation/fleet.hpp"
#include "simulation/support.hpp"

using namespace madderdeck;
using namespace madderdeck::simulation;

namespace {

constexpr unsigned kRecords = 40;
constexpr unsigned kReplaced = 1;
constexpr unsigned kReader = 4;  ///< A node without a disk.
constexpr Duration kFounded = 15s;
constexpr Duration kLook = 50ms;
constexpr Duration kEndsSoon = 3s;    ///< A few records are copied by then.
constexpr Duration kStopWithin = 8s;  ///< Then the platform ends a process that was told to stop.

std::string key_of(unsigned number) { return "record/" + std::to_string(number) + "/value"; }

wire::Bytes value_of_key(unsigned number) {
  const std::string text = "value " + std::to_string(number);
  return {text.begin(), text.end()};
}

/// A fleet with records, one of whose three machines with a disk is replaced as planned.
class replaced_fleet {
 public:
  explicit replaced_fleet(std::uint64_t seed)
      : world(seed), fleet(world, oracle, profile_for(ScheduleMix::series, *find_profile("qasr")), node::Guards()) {
    look_on();
    world.run_for(kFounded);
    for (unsigned number = 0; number < kRecords; ++number) {
      fleet.core(kReader).ledger.write_exclusive(key_of(number), value_of_key(number),
                                                 [](const Result<ledger::OptionalValue>&) {});
    }
    world.run_for(2s);
  }

  /// Starts the successor, and tells the old machine to stop once the successor has had the time to catch up.
  /// @return the successor's number.
  unsigned begin_replacement() {
    const unsigned successor = fleet.add_successor(kReplaced);
    fleet.start_node(successor);
    world.run_for(kCatchUp);
    fleet.drain_node(kReplaced);
    return successor;
  }

  std::uint64_t latest_epoch() {
    std::uint64_t latest = 0;
    for (const ledger::ReplicaGroup& group : fleet.core(kReader).ledger.group_map().groups) {
      latest = std::max(latest, group.epoch);
    }
    return latest;
  }

  /// Lets the old machine end, by itself or when its time is over, and takes it away.
  /// @return how long it took.
  Duration finish_replacement() {
    const Timestamp told_at = world.now();
    wait_for_end(kReplaced);
    fleet.remove_machine(kReplaced);
    return world.now() - told_at;
  }

  /// Lets a node that was told to stop end, by itself or when its time is over.
  void wait_for_end(unsigned node) {
    const Timestamp told_at = world.now();
    while (fleet.nodes[node]->process.up() && world.now() - told_at < kStopWithin) {
      world.run_for(kLook);
    }
    if (fleet.nodes[node]->process.up()) {
      fleet.kill_node(node);
    }
  }

  unsigned readable_records() {
    auto readable = std::make_shared<unsigned>(0);
    for (unsigned number = 0; number < kRecords; ++number) {
      fleet.core(kReader).ledger.read(key_of(number), [readable, number](const Result<ledger::OptionalValue>& result) {
        *readable += succeeded(result) && madderdeck::value_of(result) == value_of_key(number) ? 1 : 0;
      });
    }
    world.run_for(5s);
    return *readable;
  }

  Oracle oracle;
  World world;
  SimFleet fleet;

 private:
  void look_on() {
    fleet.check_drains();
    world.schedule(kLook, [this] { look_on(); });
  }
};

}  // namespace

// Its successor had been there for the whole time to catch up, and no group knew it when the old machine had gone.
TEST_CASE("a disk that is lost right after a planned replacement leaves every record readable") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    replaced_fleet site(seed);
    REQUIRE(site.readable_records() == kRecords);
    site.begin_replacement();
    site.finish_replacement();
    site.fleet.lose_disk(seed % 2 == 0 ? 0 : 2);
    site.world.run_for(kRecover);
    CHECK(site.readable_records() == kRecords);
  }
}

// Controllers that had just started took the machine that was gone for present for longer than its successor may take.
TEST_CASE("a disk that is lost after a machine was replaced and all lost power leaves every record readable") {
  constexpr Duration kPageTime = 200ms;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    replaced_fleet site(seed);
    site.fleet.copy_page_time = kPageTime;
    site.fleet.conditions.loss_percent = 0;  // copies go over connections
    site.fleet.conditions.late_percent = 0;
    const unsigned successor = site.fleet.replace_machine(kReplaced);
    for (unsigned node = 0; node < site.fleet.nodes.size(); ++node) {
      if (site.fleet.nodes[node]->process.up()) {
        site.fleet.cut_power(node);
      }
    }
    for (unsigned node = 0; node < site.fleet.nodes.size(); ++node) {
      site.fleet.start_node(node);
    }
    site.world.run_for(kCatchUp);
    site.fleet.observe_disk(successor);
    CHECK(site.fleet.nodes[successor]->disk_whole);
    site.fleet.lose_disk(seed % 2 == 0 ? 0 : 2);
    site.world.run_for(kRecover);
    CHECK(site.readable_records() == kRecords);
  }
}

TEST_CASE("a node with a disk that is told to stop does not wait where no other disk is free") {
  constexpr Duration kSoon = 1s;
  replaced_fleet site(1);
  const std::uint64_t before = site.latest_epoch();
  site.fleet.drain_node(kReplaced);
  site.world.run_for(kSoon);
  CHECK_FALSE(site.fleet.nodes[kReplaced]->process.up());
  site.fleet.start_node(kReplaced);
  site.world.run_for(kRecover);
  CHECK(site.latest_epoch() == before);
  CHECK(site.readable_records() == kRecords);
}

TEST_CASE("restarts in turn beside a spare disk leave every record readable and a majority each time") {
  replaced_fleet site(3);
  const unsigned spare = site.fleet.add_successor(kReplaced);
  site.fleet.start_node(spare);
  site.world.run_for(kCatchUp);
  for (const unsigned node : {0U, 1U, 2U, spare}) {
    CAPTURE(node);
    site.fleet.drain_node(node);
    site.wait_for_end(node);
    site.fleet.start_node(node);
    site.world.run_for(kCatchUp);
    CHECK(site.readable_records() == kRecords);
  }
}

TEST_CASE("a node with a disk that is told to stop ends once its successor holds its records") {
  replaced_fleet site(1);
  const unsigned successor = site.begin_replacement();
  CHECK(site.finish_replacement() < kEndsSoon);
  site.fleet.observe_disk(successor);
  CHECK(site.fleet.nodes[successor]->disk_whole);
}
