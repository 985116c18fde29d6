// Symptom: a lost disk stays a member of its groups for good. Sequence: the two controllers that rank first reach the
// other gateways and none of the nodes with a disk; a disk is lost; nobody else proposes the next epoch.
#include <catch2/catch.hpp>

#include <algorithm>

#include "simulation/fleet.hpp"

using namespace madderdeck;
using namespace madderdeck::simulation;

namespace {

constexpr unsigned kDisks = 3;
constexpr unsigned kMaintainers = 2;
constexpr unsigned kLeastNodes = 10;
constexpr std::uint64_t kFounding = 1;

std::uint64_t weight_of(unsigned node) { return rendezvous_weight("store-reader", "node-" + std::to_string(node)); }

/// @return the controllers of a fleet of @p nodes that look after its groups.
std::vector<unsigned> maintainers_of(unsigned nodes) {
  std::vector<unsigned> order(nodes);
  for (unsigned number = 0; number < nodes; ++number) {
    order[number] = number;
  }
  std::sort(order.begin(), order.end(), [](unsigned one, unsigned other) { return weight_of(one) > weight_of(other); });
  order.resize(kMaintainers);
  return order;
}

/// @return whether a node with a disk looks after the groups of a fleet of @p nodes, or would as the successor of one.
bool disk_maintains(unsigned nodes) {
  const auto first = maintainers_of(nodes + 1);
  return std::any_of(first.begin(), first.end(), [nodes](unsigned node) { return node < kDisks || node == nodes; });
}

/// @return a site in which no node with a disk looks after the groups.
Profile site() {
  Profile profile;
  profile.nodes = kLeastNodes;
  profile.loss_series = true;  // the deployed program's times
  while (disk_maintains(profile.nodes)) {
    ++profile.nodes;
  }
  return profile;
}

/// A fleet whose maintainers may be cut off from all nodes with a disk.
class cut_off_maintainers {
 public:
  explicit cut_off_maintainers(std::uint64_t seed, bool founded = true)
      : world(seed), fleet(world, oracle, site(), node::Guards()) {
    if (founded) {
      world.run_for(10s);
    }
  }
  void cut_off() {
    for (const unsigned maintainer : maintainers_of(fleet.profile.nodes)) {
      for (unsigned disk = 0; disk < kDisks; ++disk) {
        fleet.conditions.cuts.insert({disk, maintainer});
      }
    }
    world.run_for(3s);
  }
  /// The store does not answer the maintainers.
  void turn_away() {
    for (const unsigned maintainer : maintainers_of(fleet.profile.nodes)) {
      fleet.conditions.platform_cuts.insert(maintainer);
    }
  }
  /// @return whether every group that @p node knows has @p members.
  bool all_have(unsigned node, std::size_t members) {
    const auto& groups = fleet.core(node).ledger.group_map().groups;
    return !groups.empty() && std::all_of(groups.begin(), groups.end(),
                                          [members](const auto& group) { return group.replicas.size() == members; });
  }
  /// @return whether the groups that @p node knows have left behind all that was lost.
  bool all_changed(unsigned node) {
    const auto& groups = fleet.core(node).ledger.group_map().groups;
    return !groups.empty() &&
           std::all_of(groups.begin(), groups.end(), [](const auto& group) { return group.epoch > kFounding; });
  }

  Oracle oracle;
  World world;
  SimFleet fleet;
};

}  // namespace

TEST_CASE("a lost disk is replaced though the controllers that rank first reach no node with a disk") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    cut_off_maintainers fixture(seed);
    fixture.cut_off();
    fixture.fleet.lose_disk(0);
    fixture.world.run_for(10s);
    CHECK(fixture.all_changed(1));
  }
}

TEST_CASE("a new machine takes a lost one's place though the controllers that rank first reach no node with a disk") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    cut_off_maintainers fixture(seed);
    fixture.cut_off();
    const unsigned successor = fixture.fleet.replace_machine(0);
    fixture.fleet.start_node(successor);
    fixture.world.run_for(15s);
    CHECK(fixture.all_changed(1));
  }
}

TEST_CASE("maintainers that are cut off from the nodes with a disk do not have their members given up") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    cut_off_maintainers fixture(seed);
    fixture.cut_off();
    fixture.world.run_for(20s);
    CHECK_FALSE(fixture.all_changed(1));
    for (const auto& group : fixture.fleet.core(1).ledger.group_map().groups) {
      CHECK(group.epoch == kFounding);
    }
  }
}

TEST_CASE("one of two members decides alone though the store answers none of the controllers that rank first") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    cut_off_maintainers fixture(seed);
    fixture.fleet.retire_disk(2);
    fixture.world.run_for(15s);
    REQUIRE(fixture.all_have(1, 2));
    fixture.turn_away();
    fixture.fleet.crash_node(0);
    fixture.fleet.crash_node(2);
    fixture.world.run_for(15s);
    CHECK(fixture.all_have(1, 1));
  }
}

TEST_CASE("groups are founded though the store answers none of the controllers that rank first") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    cut_off_maintainers fixture(seed, false);
    fixture.turn_away();
    fixture.world.run_for(20s);
    CHECK(fixture.all_have(1, kDisks));
  }
}
