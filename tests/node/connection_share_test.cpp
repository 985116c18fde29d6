#include <catch2/catch.hpp>

#include "node/node_core.hpp"
#include "support/fake_backends.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::tests;

namespace {

constexpr unsigned kGateways = 70;
constexpr unsigned kEngines = 90;
constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kMostConnections = 530;  ///< Limit of an engine for the connections of all gateways.

constexpr Duration kAssignmentInterval = 300ms;  ///< Minimum interval between assignments of the engines.

/// A platform store that never responds.
class unresponsive_store : public object_store::PlatformClient {
 public:
  void watch_objects(std::uint64_t, Duration, object_store::ChangesDone) override {}
  void watch_machines(std::uint64_t, Duration, object_store::ChangesDone) override {}
  void get(const config::EntryKey&, object_store::GetDone) override {}
  void put(const object_store::PutRequest&, object_store::PutDone) override {}
};

wire::MemberT member(unsigned number) {
  using membership::Role;
  wire::MemberT member;
  member.id = "node-" + std::to_string(number);
  member.peer_address = member.id + ":1";
  member.zone = "z";
  member.roles = static_cast<std::uint32_t>(Role::gateway) | static_cast<std::uint32_t>(Role::scheduler);
  member.incarnation = 1;
  return member;
}

struct node_of_fleet {
  explicit node_of_fleet(unsigned self) : core({environment, counters, nullptr, backends, store, log}, options(self)) {
    core.start();
    wire::MemberSyncT others;
    for (unsigned number = 0; number < kGateways; ++number) {
      others.members.push_back(std::make_unique<wire::MemberT>(member(number)));
    }
    core.members.handle(PeerAddress("node-1:1"), others);
    std::vector<config::Entry> entries;
    for (unsigned number = 0; number < kEngines; ++number) {
      config::Machine machine;
      machine.pools = {"p"};
      machine.zone = "z";
      machine.slots = kSlots;
      entries.push_back({{config::kMachineKind, id(number).str()}, config::format_machine(machine), number + 1, false});
    }
    core.machines.apply_from_source(0, kEngines, entries, true, 1ms);
    forwarding::RouteTable table;
    table.version = 1;
    table.pools = {{"p", kMostConnections}};
    core.objects.apply_from_source(
        0, 1, {{{forwarding::kRouteTableKind, "main"}, forwarding::format_route_table(table), 1, false}}, true, 1ms);
    environment.world.run_for(kAssignmentInterval);
  }
  static BackendId id(unsigned number) { return BackendId("engine-" + std::to_string(number)); }
  static node::NodeOptions options(unsigned self) {
    node::NodeOptions options;
    options.self = member(self);
    options.membership.period = 1h;  // the peers do not exist, so probes would fail
    return options;
  }

  TestEnvironment environment;
  Counters counters;
  FakeBackends backends;
  unresponsive_store store;
  NoDecisionLog log;
  node::NodeCore core;
};

}  // namespace

// See "a call beyond this node's share of connections does not count as a failure of the engine".
TEST_CASE(
    "an engine's dispatcher gets connections for all slots of the engine, and all nodes together stay within the "
    "engine's limit") {
  std::map<BackendId, std::size_t> connections;
  std::map<BackendId, unsigned> owners;
  for (unsigned self = 0; self < kGateways; ++self) {
    node_of_fleet node(self);
    for (unsigned number = 0; number < kEngines; ++number) {
      const BackendId id = node_of_fleet::id(number);
      const std::size_t share = node.core.connection_share(id);
      connections[id] += share;
      if (node.core.dispatcher->owns(id)) {
        ++owners[id];
        CHECK(share > kSlots);
      }
    }
  }
  for (const auto& [id, count] : connections) {
    CHECK(owners[id] == 1);
    CHECK(count <= kMostConnections);
  }
}
