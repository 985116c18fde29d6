// Symptom: a job's items stay open for as long as a cut lasts. Sequence: a scheduler reaches the other gateways and
// none of the nodes with a disk; it seems alive to all and ranks first for some of the jobs; it cannot confirm that it
// still looks after them, so it hands nothing out, and nobody else does.
#include <catch2/catch.hpp>

#include "simulation/callers.hpp"

using namespace madderdeck;
using namespace madderdeck::simulation;

namespace {

constexpr unsigned kDisks = 3;
constexpr unsigned kCutOff = 5;
constexpr unsigned kNodes = 12;
constexpr std::uint32_t kJobs = 24;
constexpr std::uint32_t kItems = 4;

Profile site() {
  Profile profile = *find_profile("ravelin");
  profile.nodes = kNodes;
  profile.loss_series = true;  // the deployed program's times
  return profile;
}

void declare(SimFleet& fleet, const std::string& kind, const std::string& name, const std::string& body) {
  object_store::PutRequest request;
  request.key = {kind, name};
  request.body = body;
  request.change_id = "initial-" + name;
  emulator::compare_and_set(*fleet.objects, request);
}

/// @return jobs that some node still looks after.
std::size_t open_jobs(SimFleet& fleet) {
  std::size_t open = 0;
  for (const unsigned node : fleet.running_nodes()) {
    open += fleet.core(node).jobs->progress().size();
  }
  return open;
}

std::size_t left_open(std::uint64_t seed, bool cut) {
  World world(seed);
  Oracle oracle;
  SimFleet fleet(world, oracle, site(), node::Guards());
  Callers callers(world, fleet, oracle, site());
  declare(fleet, "template", "bulk", R"({"pool":"model","max_tokens":1000})");
  world.run_for(10s);
  for (unsigned disk = 0; cut && disk < kDisks; ++disk) {
    fleet.conditions.cuts.insert({disk, kCutOff});
  }
  world.run_for(3s);
  for (std::uint32_t job = 0; job < kJobs; ++job) {
    callers.submit(job % kDisks, callers.new_job(kItems));
    world.run_for(100ms);
  }
  world.run_for(30s);
  return open_jobs(fleet);
}

}  // namespace

TEST_CASE("jobs whose manager reaches no node with a disk go on, and all are done") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    INFO("seed " << seed);
    CHECK(left_open(seed, false) == 0);
    CHECK(left_open(seed, true) == 0);
  }
}
