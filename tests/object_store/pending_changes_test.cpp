/// Changes of groups that are wanted and not made are logged.
#include "object_store/pending_changes.hpp"

#include <catch2/catch.hpp>

#include "support/kept_lines.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::object_store;
using namespace madderdeck::tests;

namespace {

ledger::epoch_change change_to(std::uint64_t epoch) {
  ledger::epoch_change change;
  change.next.epoch = epoch;
  change.reason = "a/disk-a disk_replaced";
  return change;
}

struct pending_fixture {
  void run_for(Duration time) {
    for (Duration passed{}; passed < time; passed += 500ms) {
      environment.world.run_for(500ms);
      changes.log_due({"gateway-1, gateway-2", 4});
    }
  }
  TestEnvironment environment;
  Counters counters;
  kept_lines log;
  pending_changes changes{environment, counters, log};
};

}  // namespace

TEST_CASE(
    "a change that stays pending is logged after a delay, with this node's attempts, and then at growing intervals") {
  pending_fixture fixture;
  fixture.changes.note_wanted(2, change_to(5));
  fixture.run_for(2500ms);
  CHECK(fixture.log.lines.empty());
  fixture.run_for(500ms);
  REQUIRE(fixture.log.lines.size() == 1);
  CHECK(fixture.log.lines.back() ==
        "group_change_pending group=2 epoch=4 reason=a/disk-a disk_replaced pending_ms=3000 rank=4 "
        "makers=gateway-1, gateway-2 attempts=0 attempt_ms_ago=-1 outcome=none detail=");
  CHECK(fixture.counters["ledger_group_changes_pending"] == 1);
  fixture.changes.note_attempt(2);
  fixture.run_for(1s);
  fixture.changes.note_outcome(2, Error{ErrorKind::unavailable, "b silent"});
  fixture.run_for(5s);
  REQUIRE(fixture.log.lines.size() == 2);
  CHECK(fixture.log.lines.back().ends_with("attempts=1 attempt_ms_ago=6000 outcome=unavailable detail=b silent"));
  fixture.run_for(600s);
  CHECK(fixture.log.lines.size() <= 13);
}

TEST_CASE("the record of a change is reset when it is made or wanted at another epoch") {
  pending_fixture fixture;
  fixture.changes.note_wanted(2, change_to(5));
  fixture.run_for(4s);
  fixture.changes.note_wanted(2, change_to(5));
  CHECK(fixture.changes.wanted_for(2) == 4s);
  fixture.changes.note_wanted(2, change_to(6));
  CHECK(fixture.changes.wanted_for(2) == 0s);
  fixture.changes.note_unwanted(2);
  fixture.run_for(20s);
  CHECK(fixture.log.lines.size() == 1);
  CHECK(fixture.counters["ledger_group_changes_pending"] == 0);
}

TEST_CASE("many changes that stay pending are logged a few at a time") {
  pending_fixture fixture;
  for (std::uint32_t group = 0; group < 100; ++group) {
    fixture.changes.note_wanted(group, change_to(5));
  }
  fixture.run_for(3s);
  CHECK(fixture.log.lines.size() == 8);
  CHECK(fixture.counters["ledger_group_changes_pending"] == 100);
}

TEST_CASE("proposers of a change that stays pending take turns, members first, and each takes each of its turns once") {
  pending_fixture fixture;
  fixture.changes.note_wanted(0, change_to(5));
  const proposal_turns second_member{1, 4};
  const proposal_turns third_controller{4, 10};
  std::vector<int> members;
  std::vector<int> others;
  for (int second = 0; second < 20; ++second) {
    if (fixture.changes.take_turn(0, second_member)) {
      members.push_back(second);
    }
    fixture.environment.world.run_for(1s);
  }
  CHECK(members == std::vector<int>{2, 6, 10, 14, 18});
  fixture.changes.note_wanted(0, change_to(6));
  for (int second = 0; second < 30; ++second) {
    if (fixture.changes.take_turn(0, third_controller)) {
      others.push_back(second);
    }
    fixture.environment.world.run_for(1s);
  }
  CHECK(others == std::vector<int>{5, 15, 25});
}

TEST_CASE("a turn that passed while a node made no check is taken late, and only once") {
  pending_fixture fixture;
  fixture.changes.note_wanted(0, change_to(5));
  fixture.environment.world.run_for(60s);
  CHECK(fixture.changes.take_turn(0, {0, 4}));
  CHECK_FALSE(fixture.changes.take_turn(0, {0, 4}));
}
