#include "placement/duties.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "placement/fleet_members.hpp"
#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::placement;
using namespace madderdeck::tests;

TEST_CASE("in a fleet of up to 25 gateways every scheduler may dispatch and manage") {
  fleet_members fleet(25);
  CHECK_FALSE(fleet.who.divided());
  CHECK(fleet.who.managers().size() == 25);
  CHECK(fleet.who.dispatchers().size() == 25);
}

TEST_CASE("in a large fleet few nodes manage jobs and run batch work, in every zone some") {
  fleet_members fleet(250);
  CHECK(fleet.who.divided());
  CHECK(fleet.who.managers().size() == 250 / 32);
  CHECK(fleet.who.dispatchers().size() == fleet_members::kZones * (250 / fleet_members::kZones / 8));
}

TEST_CASE("the engine's dispatcher and the engines' coordinator stand in the engines' zone") {
  fleet_members fleet(250);
  for (const std::string zone : {"z0", "z1", "z2", "z3", "z4"}) {
    REQUIRE(fleet.who.dispatcher_of("engine-1", zone) != nullptr);
    CHECK(fleet.who.dispatcher_of("engine-1", zone)->zone == zone);
    REQUIRE_FALSE(fleet.who.coordinators_of("engines p " + zone, zone).empty());
    CHECK(fleet.who.coordinators_of("engines p " + zone, zone).front()->zone == zone);
  }
}

TEST_CASE("an engine in a zone without gateways still has a dispatcher and a coordinator") {
  fleet_members fleet(250);
  CHECK(fleet.who.dispatcher_of("engine-1", "elsewhere") != nullptr);
  CHECK_FALSE(fleet.who.coordinators_of("engines p", "elsewhere").empty());
}

TEST_CASE("the better equipped nodes decide for the others") {
  fleet_members fleet(250, [](unsigned number) { return number % 10 == 0 ? 50U : 12U; });
  for (const wire::MemberT* member : fleet.who.coordinators_of("engines p z0", "z0")) {
    CHECK(member->capacity == 50);
  }
}

TEST_CASE("a coordinator that answers no probes is followed by the next") {
  fleet_members fleet(250);
  const std::string first = fleet.who.coordinators_of("engines p z1", "z1").front()->id;
  const std::string second = fleet.who.coordinators_of("engines p z1", "z1").at(1)->id;
  fleet.set_member_state(first, wire::MemberState::Suspect);
  CHECK(fleet.who.coordinators_of("engines p z1", "z1").front()->id == second);
}

TEST_CASE("nodes with the same view agree on every duty") {
  rc::prop("whatever the order in which they heard of the members", [] {
    const auto count = *rc::gen::inRange<unsigned>(26, 120);
    fleet_members left(count);
    fleet_members right(count, fleet_members::equal, true);
    for (int number = 0; number < 20; ++number) {
      const std::string engine = "engine-" + std::to_string(number);
      RC_ASSERT(left.who.dispatcher_of(engine, "z2")->id == right.who.dispatcher_of(engine, "z2")->id);
      RC_ASSERT(left.who.manager_of(engine)->id == right.who.manager_of(engine)->id);
    }
  });
}

TEST_CASE("of a zone's gateways the better equipped are coordinators before all others, whatever the key") {
  // Only two of the ten gateways in zone z0 have more capacity than a small fraction of a core.
  fleet_members fleet(50, [](unsigned number) { return number == 5 || number == 40 ? 50U : 12U; });
  for (int key = 0; key < 20; ++key) {
    const auto ranked = fleet.who.coordinators_of("domain " + std::to_string(key), "z0");
    REQUIRE(ranked.size() == 3);
    CHECK(ranked.at(0)->capacity == 50);
    CHECK(ranked.at(1)->capacity == 50);
    CHECK(ranked.at(2)->capacity == 12);
  }
}
