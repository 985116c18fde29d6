/// Who holds a replica group next: a disk that is gone is replaced before one that is to be emptied is let go, nobody
/// keeps a place that stays empty, and no group is left without a majority of members that vote already.
#include "ledger/epoch_change.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace madderdeck;
using namespace madderdeck::ledger;

namespace {

const ReplicaIdentity kA{NodeId("a"), DiskId("disk-a")};
const ReplicaIdentity kNewA{NodeId("a"), DiskId("disk-a2")};
const ReplicaIdentity kB{NodeId("b"), DiskId("disk-b")};
const ReplicaIdentity kC{NodeId("c"), DiskId("disk-c")};
const ReplicaIdentity kD{NodeId("d"), DiskId("disk-d")};
constexpr std::size_t kReplicas = 3;

/// A fleet as it is told.
class told_view : public fleet_view {
 public:
  replica_state state_of(const ReplicaIdentity& replica) override {
    const auto told = states.find(replica);
    return told == states.end() ? replica_state::present : told->second;
  }
  bool is_there(const ReplicaIdentity& replica) const override {
    const auto told = states.find(replica);
    return told == states.end() || told->second == replica_state::present || told->second == replica_state::retiring;
  }
  bool has_gone(const ReplicaIdentity& leaver) override { return state_of(leaver) == replica_state::missing; }
  bool is_retiring(const NodeId& node) const override { return node == retiring; }
  std::vector<disk_place> places() const override { return free; }
  bool is_spare_for(const ReplicaIdentity& spare, const ReplicaIdentity&) const override {
    return used_elsewhere != spare;
  }

  std::map<ReplicaIdentity, replica_state> states;
  NodeId retiring;
  std::optional<ReplicaIdentity> used_elsewhere;
  std::vector<disk_place> free;
};

}  // namespace

TEST_CASE("a lost disk is replaced by the one that its node has now, by a majority") {
  told_view view;
  view.states[kA] = replica_state::disk_replaced;
  view.free = {{kNewA, "1"}, {kB, "2"}, {kC, "3"}, {kD, "1"}};
  const auto change = wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{5, {kNewA, kB, kC}, {}});
  CHECK(change->rule.quorum == 2);
  CHECK_FALSE(change->rule.sole);
}

TEST_CASE("of a pair the one that is left decides alone, if the store names it") {
  told_view view;
  view.states[kA] = replica_state::missing;
  view.free = {{kB, "2"}};
  const auto change = wanted_change({4, {kA, kB}, {}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{5, {kB}, {}});
  CHECK(change->rule.sole == kB);
}

TEST_CASE("a group that is short of members takes another disk") {
  told_view view;
  view.free = {{kB, "2"}, {kC, "3"}, {kD, "1"}};
  const auto change = wanted_change({4, {kB, kC}, {}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{5, {kB, kC, kD}, {}});
}

TEST_CASE("a member that is to be emptied leaves a group of three without another disk to go to") {
  told_view view;
  view.states[kA] = replica_state::retiring;
  view.free = {{kB, "2"}, {kC, "3"}};
  const auto change = wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{5, {kB, kC}, {kA}});
}

// The successor of a machine that was replaced as planned was no member yet when the machine was taken away.
TEST_CASE("a member whose process was told to stop hands its place to a free disk and is copied from") {
  told_view view;
  view.states[kA] = replica_state::stopping;
  view.free = {{kB, "2"}, {kC, "3"}, {kD, "1"}};
  const auto change = wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{5, {kD, kB, kC}, {kA}});
  CHECK(change->rule.whole_majority);
  CHECK(change->rule.let_go == kA);
}

TEST_CASE("a member whose process was told to stop keeps its place where no other disk is free") {
  told_view view;
  view.states[kA] = replica_state::stopping;
  view.free = {{kB, "2"}, {kC, "3"}};
  CHECK_FALSE(wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas));
}

// Restarts in turn moved places from node to node where every disk has some.
TEST_CASE("a member whose process was told to stop keeps its place where the free disk has places of other nodes") {
  told_view view;
  view.states[kA] = replica_state::stopping;
  view.used_elsewhere = kD;
  view.free = {{kB, "2"}, {kC, "3"}, {kD, "1"}};
  CHECK_FALSE(wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas));
}

TEST_CASE("a member that is to be emptied is let go beside one whose process was told to stop and keeps its place") {
  told_view view;
  view.states[kA] = replica_state::stopping;
  view.states[kB] = replica_state::retiring;
  view.used_elsewhere = kD;
  view.free = {{kC, "3"}, {kD, "1"}};
  const auto change = wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{5, {kA, kD, kC}, {kB}});
}

TEST_CASE("of two members that stop at the same time none gives its place up") {
  told_view view;
  view.states[kA] = replica_state::stopping;
  view.states[kB] = replica_state::stopping;
  view.free = {{kC, "3"}, {kD, "1"}};
  CHECK_FALSE(wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas));
}

// Found by the model of epochs: its place stayed empty for good, so that the next lost disk left no majority.
TEST_CASE("a member that was to be emptied and has lost its disk gives its place up") {
  told_view view;
  view.states[kA] = replica_state::disk_replaced;
  view.retiring = kA.node;
  view.free = {{kB, "2"}, {kC, "3"}};
  const auto change = wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{5, {kB, kC}, {}});
  CHECK(change->rule.quorum == 2);
}

// Found by the model: the new disk was given the place of the member that leaves, and then waited for the one that was
// gone; a single member was left to decide anything.
TEST_CASE("a member that is gone is replaced before one that leaves is let go") {
  told_view view;
  view.states[kA] = replica_state::retiring;
  view.states[kB] = replica_state::missing;
  view.free = {{kC, "3"}, {kD, "2"}};
  const auto change = wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{5, {kA, kD, kC}, {kB}});
}

// What it held with the next member that was lost stood nowhere else, though it was back.
TEST_CASE("a silent member whose place another disk takes is copied from until a majority holds everything") {
  told_view view;
  view.states[kA] = replica_state::missing;
  view.free = {{kB, "2"}, {kC, "3"}, {kD, "1"}};
  const auto replaced = wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas);
  REQUIRE(replaced);
  CHECK(replaced->next == ReplicaGroup{5, {kD, kB, kC}, {kA}});
  const auto given_up = wanted_change(replaced->next, view, kReplicas);
  REQUIRE(given_up);
  CHECK(given_up->next == ReplicaGroup{6, {kD, kB, kC}, {}});
  CHECK(given_up->rule.whole_majority);
}

TEST_CASE("a silent member that is back takes the place of a lost one where no other disk is free") {
  told_view view;
  view.states[kB] = replica_state::missing;
  view.free = {{kA, "1"}, {kC, "3"}, {kD, "1"}};
  const auto change = wanted_change({5, {kD, kB, kC}, {kA}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{6, {kD, kA, kC}, {kB}});
}

TEST_CASE("a member that leaves stays as long as the others would have no majority without it") {
  told_view view;
  view.states[kA] = replica_state::retiring;
  view.states[kB] = replica_state::missing;
  view.free = {{kC, "3"}};
  CHECK_FALSE(wanted_change({4, {kA, kB, kC}, {}}, view, kReplicas));
}

TEST_CASE("a member that has left and is gone is copied from no more") {
  told_view view;
  view.states[kA] = replica_state::missing;
  view.free = {{kB, "2"}, {kC, "3"}};
  const auto change = wanted_change({5, {kB, kC}, {kA}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{6, {kB, kC}, {}});
  CHECK(change->rule.whole_majority);
}

// Simulation, mix `losses`, qasr, seeds 14 and 252: a node that had just started did not know yet that it was to be
// emptied, and was named beside itself.
TEST_CASE("a node that leaves takes no place in the group that it leaves") {
  told_view view;
  view.free = {{kA, "1"}, {kB, "2"}, {kC, "3"}};
  CHECK_FALSE(wanted_change({5, {kB, kC}, {kA}}, view, kReplicas));
}

// Results that could not be read any more: a pair lost one member while a third disk, which was to be emptied, still
// held everything; the other one went on alone, and its disk was the next one lost.
TEST_CASE("a member that is to be emptied takes the place of a lost one of a pair where no other disk is free") {
  told_view view;
  view.states[kA] = replica_state::retiring;
  view.states[kC] = replica_state::missing;
  view.retiring = kA.node;
  view.free = {{kB, "2"}};
  const auto change = wanted_change({5, {kC, kB}, {kA}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{6, {kA, kB}, {kC}});
  CHECK(change->rule.sole == kB);
  SECTION("and stays while there is no other one") {
    view.states[kC] = replica_state::disk_replaced;
    CHECK(wanted_change({6, {kA, kB}, {}}, view, kReplicas) == std::nullopt);
  }
  SECTION("and is let go once a new disk has joined") {
    const ReplicaIdentity new_c{kC.node, DiskId("disk-c2")};
    view.free = {{kB, "2"}, {new_c, "3"}};
    const auto joined = wanted_change({6, {kA, kB}, {}}, view, kReplicas);
    REQUIRE(joined);
    CHECK(joined->next == ReplicaGroup{7, {kA, kB, new_c}, {}});
    const auto let_go = wanted_change(joined->next, view, kReplicas);
    REQUIRE(let_go);
    CHECK(let_go->next == ReplicaGroup{8, {kB, new_c}, {kA}});
  }
}

TEST_CASE("a silent member that is back joins a group of which one is to be emptied and cannot go yet") {
  told_view view;
  view.states[kA] = replica_state::retiring;
  view.retiring = kA.node;
  view.free = {{kB, "2"}, {kC, "3"}};
  const auto change = wanted_change({6, {kA, kB}, {kC}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{7, {kA, kB, kC}, {}});
}

TEST_CASE("a member that leaves is given up only once as many others are whole as the losses ask for") {
  told_view view;
  view.states[kA] = replica_state::missing;
  view.free = {{kB, "2"}};
  const auto change = wanted_change({5, {kB}, {kA}}, view, kReplicas);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{6, {kB}, {}});
  CHECK(change->rule.whole_majority);
  CHECK(change->rule.least_whole == 2);
}

// By reading: the silent member was given up first, which takes three votes of four; two could have taken the new disk.
TEST_CASE("a lost disk is replaced before a silent member, whose end more members have to agree on") {
  const ReplicaIdentity new_b{NodeId("b"), DiskId("disk-b2")};
  const ReplicaIdentity e{NodeId("e"), DiskId("disk-e")};
  told_view view;
  view.states[kA] = replica_state::missing;
  view.states[kB] = replica_state::disk_replaced;
  view.free = {{new_b, "2"}, {kC, "3"}, {kD, "1"}, {e, "1"}};
  const auto change = wanted_change({4, {kA, kB, kC, kD}, {}}, view, 5);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{5, {kA, new_b, kC, kD}, {}});
  CHECK(change->rule.quorum == 2);
}

TEST_CASE("who stands among the leaving members takes no place, unless that rule is left out") {
  told_view view;
  view.free = {{kA, "1"}, {kB, "2"}, {kC, "3"}};
  const ReplicaGroup group{5, {kB, kC}, {kA}};
  CHECK_FALSE(wanted_change(group, view, kReplicas));
  change_guards guards;
  guards.leavers_stay_out = false;
  const auto change = wanted_change(group, view, kReplicas, guards);
  REQUIRE(change);
  CHECK(change->next == ReplicaGroup{6, {kB, kC, kA}, {}});
}
