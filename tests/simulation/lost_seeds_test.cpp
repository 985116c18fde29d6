// Symptom: after a joint loss of power a group stays without a majority for good, though the disks that make one are
// there. Sequence: all nodes end at once; one with a disk starts again with seeds that nobody lives at, another one has
// lost its disk. The first knows nobody and nobody knows it.
#include <catch2/catch.hpp>

#include "simulation/driver.hpp"
#include "simulation/group_watch.hpp"
#include "simulation/support.hpp"

using namespace madderdeck;
using namespace madderdeck::simulation;

namespace {

constexpr unsigned kLost = 2;          ///< Its seeds have gone.
constexpr unsigned kEmptied = 1;       ///< Its disk is lost.
constexpr unsigned kNobody = 200;      ///< No node has this number.
constexpr unsigned kSeeds[] = {3, 4};  ///< Without a disk, as gateways are.

/// A fleet with gateways as seeds, whose nodes all lose power.
class fleet_without_power {
 public:
  explicit fleet_without_power(std::uint64_t seed)
      : world(seed),
        fleet(world, oracle, profile_for(ScheduleMix::series, *find_profile("qasr")), node::Guards()),
        watch(world, fleet, oracle) {
    fleet.set_seeds({std::begin(kSeeds), std::end(kSeeds)});
    look_on();
    world.run_for(15s);
  }

  void lose_power() {
    watch.power_lost();
    for (unsigned node = 0; node < fleet.nodes.size(); ++node) {
      fleet.cut_power(node);
    }
    world.run_for(500ms);
  }
  void lose_disk(unsigned node) {
    watch.disk_lost(node);
    fleet.empty_disk(node);
  }
  void start_all() {
    for (unsigned node = 0; node < fleet.nodes.size(); ++node) {
      fleet.start_node(node);
    }
  }
  /// @return how many nodes know that @p whom lives, itself among them.
  std::size_t known_to(unsigned whom) {
    std::size_t count = 0;
    for (unsigned node = 0; node < fleet.nodes.size(); ++node) {
      count += fleet.core(node).members.is_live(NodeId("node-" + std::to_string(whom))) ? 1 : 0;
    }
    return count;
  }
  /// @return groups that cannot vote, as the node sees it.
  CounterValue groups_without_majority(unsigned by) {
    return fleet.nodes[by]->counters["ledger_groups_without_majority"];
  }
  std::vector<std::string> violations() const {
    std::vector<std::string> found;
    for (const Violation& one : oracle.violations()) {
      found.push_back(one.detail);
    }
    return found;
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

TEST_CASE("a node with a disk whose seeds are gone is unknown to all after a joint loss of power") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    fleet_without_power site(seed);
    site.lose_power();
    site.lose_disk(kEmptied);
    site.fleet.set_seeds_of(kLost, {kNobody});
    site.start_all();
    site.world.run_for(kRecover + 1s);
    CAPTURE(seed);
    CHECK(site.known_to(kLost) == site.fleet.nodes.size());
    for (const unsigned gateway : kSeeds) {
      CHECK(site.groups_without_majority(gateway) == 0);
    }
    CHECK(site.violations() == std::vector<std::string>());
  }
}

TEST_CASE("a list of peers that is damaged on the disk ends no node, and the others remember it") {
  fleet_without_power site(11);
  site.lose_power();
  site.fleet.nodes[kLost]->storage.put(node::peer_memory::kKey, {1, 2, 3});
  site.fleet.set_seeds_of(kLost, {kNobody});
  site.start_all();
  site.world.run_for(kRecover);
  CHECK(site.fleet.nodes[kLost]->counters["membership_peers_unread_total"] == 1);
  CHECK(site.known_to(kLost) == site.fleet.nodes.size());
}

TEST_CASE("a gateway whose seeds are gone is found by a node with a disk that remembers it") {
  fleet_without_power site(12);
  site.lose_power();
  site.fleet.set_seeds_of(kSeeds[1], {kNobody});
  for (unsigned node = 0; node <= kSeeds[0]; ++node) {
    site.fleet.set_seeds_of(node, {kSeeds[0]});
  }
  site.start_all();
  site.world.run_for(kRecover);
  CHECK(site.known_to(kSeeds[1]) == site.fleet.nodes.size());
}
