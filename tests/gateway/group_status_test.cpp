/// @file Tests the description of replica groups in a node's status.
#include <catch2/catch.hpp>

#include "gateway/group_status.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using madderdeck::tests::TestEnvironment;

namespace {

const ledger::ReplicaIdentity kA{NodeId("a"), DiskId("disk-a")};
const ledger::ReplicaIdentity kB{NodeId("b"), DiskId("disk-b")};

struct fixture {
  fixture() {
    for (const ledger::ReplicaIdentity& identity : {kA, kB}) {
      members[identity.node].disk_id = identity.disk.str();
      members[identity.node].peer_address = identity.node.str() + ":1";
    }
    client.on_group_map({{ledger::ReplicaGroup{1, {kA, kB}, {}}}});
  }
  boost::json::object shown() const { return gateway::describe_groups(health).at(0).as_object(); }

  TestEnvironment environment;
  Counters counters;
  NoDecisionLog log;
  std::map<NodeId, wire::MemberT> members;
  ledger::Client client{environment, counters, [](const NodeId&) { return std::optional<PeerAddress>(); }};
  ledger::group_health health{environment, counters, log,
                              client,      nullptr,  [this](const NodeId& node) { return &members.at(node); }};
};

}  // namespace

TEST_CASE("the status of a group without a majority lists its permanently gone disks, each with its reason") {
  fixture node;
  CHECK(node.shown().at("majority").as_bool());
  CHECK(node.shown().at("gone_for_good").as_array().empty());
  node.members.at(kB.node).disk_id = "disk-b2";
  const boost::json::object shown = node.shown();
  CHECK_FALSE(shown.at("majority").as_bool());
  CHECK(boost::json::serialize(shown.at("gone_for_good")) ==
        R"([{"node":"b","disk":"disk-b","reason":"disk_replaced","why":"its node runs with disk-b2"}])");
  CHECK(shown.at("members").as_array().size() == 2);
}
