// Symptom: a request that ends the engines which run it is sent on after six ends. Sequence: all ends are seen by one
// node, which has no disk; no other node hears of them before everything else loses power; what comes back begins to
// count at zero, and three engines more end.
#include <catch2/catch.hpp>

#include "simulation/callers.hpp"

using namespace madderdeck;
using namespace madderdeck::simulation;

namespace {

const std::string kBody = std::string(kFatalRequest) + " a";
constexpr unsigned kKnower = 4;  ///< Without a disk.

/// A fleet in which one node alone learns that a request ends engines.
class lone_knowledge {
 public:
  explicit lone_knowledge(std::uint64_t seed, const std::string& site)
      : world(seed),
        fleet(world, oracle, *find_profile(site), node::Guards()),
        callers(world, fleet, oracle, *find_profile(site)) {
    observe();
    world.run_for(10s);
  }
  void cut_off_knower() {
    for (unsigned other = 0; other < kKnower; ++other) {
      fleet.conditions.cuts.insert({other, kKnower});
    }
  }
  void stop_others() {
    for (unsigned other = 0; other < kKnower; ++other) {
      fleet.nodes[other]->process.freeze();
    }
  }
  /// The request is sent at the one node until three engines have ended under it.
  void end_three_engines() {
    constexpr unsigned kTries = 4;
    for (unsigned sent = 0; sent < kTries && ends() < 3; ++sent) {
      callers.send_forwarded(kKnower, kBody);
      world.run_for(1s);
    }
    world.run_for(1s);
    REQUIRE(ends() == 3);
  }
  void lose_power(unsigned nodes) {
    for (unsigned number = 0; number < nodes; ++number) {
      fleet.wake_node(number);
      fleet.crash_node(number);
    }
    world.run_for(500ms);
    for (unsigned number = 0; number < nodes; ++number) {
      fleet.start_node(number);
    }
  }
  /// The same request comes again at the other nodes, long after they have started.
  void send_again() {
    constexpr unsigned kRepeats = 20;
    world.run_for(6s);
    for (unsigned repeat = 0; repeat < kRepeats; ++repeat) {
      callers.send_forwarded(repeat % kKnower, kBody);
      callers.send_forwarded((repeat + 1) % kKnower, callers.new_body());
      world.run_for(400ms);
    }
  }
  unsigned ends() const {
    const auto found = oracle.fatal_requests().find(kBody);
    return found == oracle.fatal_requests().end() ? 0 : found->second.ends;
  }
  void check() const {
    CHECK(ends() == 3);
    CHECK(oracle.violations().empty());
  }

  Oracle oracle;
  World world;
  SimFleet fleet;
  Callers callers;

 private:
  void observe() {
    world.schedule(50ms, [this] {
      fleet.observe_disturbances();
      observe();
    });
  }
};

template <class Situation>
void on_many_seeds(Situation situation) {
  for (const char* site : {"qasr", "ravelin"}) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      INFO(site << ", seed " << seed);
      lone_knowledge fixture(seed, site);
      situation(fixture);
      fixture.check();
    }
  }
}

}  // namespace

TEST_CASE("what one node saw while all others stood still is not gone when everything loses power") {
  on_many_seeds([](lone_knowledge& fixture) {
    fixture.stop_others();
    fixture.end_three_engines();
    fixture.lose_power(kKnower + 1);
    fixture.send_again();
  });
}

TEST_CASE("what one node knows that is cut off is known to the others when they come back without it") {
  on_many_seeds([](lone_knowledge& fixture) {
    fixture.cut_off_knower();
    fixture.end_three_engines();
    fixture.lose_power(kKnower);
    fixture.send_again();
  });
}

TEST_CASE("what one node knows that stands still is known to the others when they come back without it") {
  on_many_seeds([](lone_knowledge& fixture) {
    fixture.cut_off_knower();
    fixture.end_three_engines();
    fixture.fleet.nodes[kKnower]->process.freeze();
    fixture.fleet.conditions.cuts.clear();
    fixture.lose_power(kKnower);
    fixture.send_again();
  });
}

TEST_CASE("what one node knows reaches the others though the store was away and loses answers") {
  on_many_seeds([](lone_knowledge& fixture) {
    fixture.cut_off_knower();
    fixture.fleet.conditions.platform_down = true;
    fixture.end_three_engines();
    fixture.fleet.conditions.platform_down = false;
    fixture.fleet.conditions.platform_lost_answers = 50;
    fixture.world.run_for(8s);
    fixture.lose_power(kKnower);
    fixture.send_again();
  });
}

TEST_CASE("requests at a node that starts while the store is away wait for nothing, and it reads the list later") {
  lone_knowledge fixture(1, "ravelin");
  fixture.cut_off_knower();
  fixture.end_three_engines();
  fixture.fleet.conditions.platform_down = true;
  fixture.fleet.crash_node(0);
  fixture.fleet.start_node(0);
  fixture.world.run_for(1s);  // it learns routes and engines from the others
  const std::uint64_t before = fixture.oracle.counts.live_answered;
  fixture.callers.send_forwarded(0, fixture.callers.new_body());
  fixture.world.run_for(350ms);  // twelve events 25 ms apart
  CHECK(fixture.oracle.counts.live_answered == before + 1);
  const auto known = [&fixture] { return fixture.fleet.core(0).quarantine.history().held_back(); };
  CHECK(known() == 0);
  fixture.fleet.conditions.platform_down = false;
  fixture.world.run_for(3s);
  CHECK(known() == 1);
}
